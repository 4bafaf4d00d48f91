"""An upstream with slots and a queue, observed as its agent observes it."""

import heapq
from collections import deque
from random import Random

from attrs import Factory, define, field

from bilberrypath.load.upstream_speed import UpstreamSpeed


@define
class QueueModel:
    """Requests to one upstream that runs ``slots`` of them and queues ``room`` more.

    ``speed`` divides the work of each request. ``crowd_cost`` is a function from the
    number of running requests to a factor on their time. ``answered`` counts answers,
    and ``shed`` the requests that were shed.
    """

    slots: int = 2
    room: int = 6
    speed: float = 1.0
    seed: int = 1
    crowd_cost: object = None
    observed: UpstreamSpeed = Factory(UpstreamSpeed)
    now: float = 0.0
    answered: int = 0
    shed: int = 0
    rng: Random = field(init=False)
    _running: int = 0
    _queue: deque = Factory(deque)
    _events: list = Factory(list)
    _count: int = 0

    def __attrs_post_init__(self):
        self.rng = Random(self.seed)
        self.observed.set_slots(self.slots)

    def offer(self, rate, seconds, draw):
        """Send Poisson requests for some time; ``draw`` returns (kind, work)."""
        end_at = self.now + seconds
        next_at = self.now + self.rng.expovariate(rate)
        while next_at <= end_at:
            self.run_until(next_at)
            self.send(*draw(self.rng))
            next_at += self.rng.expovariate(rate)
        self.run_until(end_at)

    def send(self, kind, work):
        """Send one request now."""
        self.observed.record_sent(kind, self.now)
        request = (kind, work, self.now)
        if self._running < self.slots:
            self._run(request)
        elif len(self._queue) < self.room:
            self._queue.append(request)
        else:
            self.shed += 1
            self._after(0.0005, self._answer_shed, request)

    def run_until(self, time):
        """Advance the time."""
        while self._events and self._events[0][0] <= time:
            self.now, _, action, request = heapq.heappop(self._events)
            action(request)
        self.now = time

    def _run(self, request):
        self._running += 1
        time = request[1] / self.speed
        if self.crowd_cost:
            time *= self.crowd_cost(self._running)
        self._after(time, self._finish, request)

    def _finish(self, request):
        self._running -= 1
        self.answered += 1
        kind, _, sent_at = request
        self.observed.record_answered(kind, sent_at, self.now)
        if self._queue:
            self._run(self._queue.popleft())

    def _answer_shed(self, request):
        kind, _, sent_at = request
        self.observed.record_answered(kind, sent_at, self.now)

    def _after(self, delay, action, request):
        self._count += 1
        heapq.heappush(self._events, (self.now + delay, self._count, action, request))


def draw_even(rng):
    """Return a request of a route without terms, of about 40 ms."""
    return "", 0.04 * rng.uniform(0.9, 1.1)


def draw_with_tail(rng):
    """Return a request of which 3% take seven times as long."""
    return "idempotent", 0.04 * (7.0 if rng.random() < 0.03 else 1.0)


def draw_mix(share):
    """Return a function that draws orders of 90 ms with a share, others of 30 ms."""

    def draw(rng):
        if rng.random() < share:
            return "non_idempotent", 0.09
        return "idempotent", 0.03

    return draw
