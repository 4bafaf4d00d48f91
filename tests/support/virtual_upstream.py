"""An upstream on a virtual clock under an ``Admission``, with its story."""

import heapq
import itertools

from attrs import Factory, define, field

from bilberrypath.coordination.admission import Admission, BackoffReason, Refuse, Run


@define
class VirtualUpstream:
    """Run what is admitted; falls over when it gets more than it bears."""

    slots: int = 3
    cold_slots: int = 1
    service_time: float = 0.05
    cold_factor: float = 4.0
    cold_until: float = 0.0
    answers: bool = True
    now: float = 0.0
    deadline: float = 2.0
    warm_up: float = 1.5
    admission: Admission = field(init=False)
    running: dict = Factory(dict)
    overruns: int = 0
    answered: int = 0
    answered_late: int = 0
    refused: int = 0
    unknown: int = 0
    refused_after_waiting: list = Factory(list)
    lines: list = Factory(list)
    _arrived_at: dict = Factory(dict)
    _ids: object = field(factory=itertools.count)
    _heap: list = Factory(list)
    _order: object = field(factory=itertools.count)
    _shown: tuple = ()

    def __attrs_post_init__(self):
        self.admission = Admission(self.slots, self.cold_slots, self.warm_up)
        self.admission.set_unreachable(False, 0.0)
        self._show("starts")

    @property
    def bears(self):
        return self.cold_slots if self.now < self.cold_until else self.slots

    def say(self, text):
        self.lines.append(f"{self.now:7.3f} -- {text}")

    def arrive_every(self, period, count):
        """Let requests arrive at a steady rate from now on."""
        for index in range(count):
            self._later(index * period, self._arrive)

    def run(self, seconds):
        """Let time pass, with the admission's ticks."""
        until = self.now + seconds
        tick_at = self.now
        while tick_at < until:
            self._later(tick_at - self.now, self._tick)
            tick_at += 0.05
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until

    def go_cold(self, seconds):
        """Start cold again without warning, losing nothing that runs."""
        self.say(f"upstream goes cold for {seconds} s, unannounced")
        self.cold_until = self.now + seconds

    def replace(self, seconds):
        """Start anew: all that runs is lost, and the agent sees the connection go."""
        self.say("upstream is replaced by a cold one")
        lost, self.running = list(self.running), {}
        for request_id in lost:
            self._fail(request_id)
        self._carry_out(self.admission.set_unreachable(True, self.now))
        self.cold_until = self.now + seconds
        self._show("away")
        self._later(0.2, self._come_back)

    def _come_back(self):
        self._carry_out(self.admission.set_unreachable(False, self.now))
        self._show("back")

    def _tick(self):
        self._carry_out(self.admission.tick(self.now))
        self._show("tick")

    def _arrive(self):
        request_id = next(self._ids)
        self._arrived_at[request_id] = self.now
        decision = self.admission.offer(request_id, self.now + self.deadline, self.now)
        self._carry_out([decision])

    def _carry_out(self, decisions):
        for decision in decisions:
            if isinstance(decision, Run):
                self._start(decision.request_id)
            elif isinstance(decision, Refuse):
                self.refused += 1
                waited = self.now - self._arrived_at[decision.request_id]
                if waited > 0:
                    self.refused_after_waiting.append(waited)

    def _start(self, request_id):
        self.running[request_id] = self.now
        if len(self.running) > self.bears:
            self.overruns += 1
            self.say(f"overrun: {len(self.running)} running, bears {self.bears}")
        if not self.answers:
            left = self._arrived_at[request_id] + self.deadline - self.now
            self._later(left, lambda: self._expire(request_id))
            return
        factor = self.cold_factor if self.now < self.cold_until else 1.0
        self._later(self.service_time * factor, lambda: self._finish(request_id))

    def _finish(self, request_id):
        if self.running.pop(request_id, None) is None:
            return
        self.answered += 1
        if self.now - self._arrived_at[request_id] > self.deadline:
            self.answered_late += 1
        self._carry_out(self.admission.record_success(request_id, self.now))
        self._show("answer")

    def _expire(self, request_id):
        if self.running.pop(request_id, None) is not None:
            self._fail(request_id, BackoffReason.STALLED)

    def _fail(self, request_id, sign=BackoffReason.FAILED):
        self.unknown += 1
        decisions = self.admission.record_failure(request_id, sign, self.now)
        self._carry_out(decisions)
        self._show("failure")

    def _later(self, delay, action):
        at = self.now + delay
        heapq.heappush(self._heap, (at, next(self._order), action))

    def _show(self, cause):
        shown = (self.admission.state, self.admission.limit)
        if shown != self._shown:
            self._shown = shown
            self.lines.append(f"{self.now:7.3f} {cause}: {shown[0]} limit={shown[1]}")

    def transcript(self):
        """Return the story and its sums."""
        sums = (
            f"answered={self.answered} refused={self.refused} "
            f"unknown={self.unknown} overruns={self.overruns} "
            f"late={self.answered_late}"
        )
        return "\n".join([*self.lines, sums])
