"""An upstream with slots and a queue behind a request gate, in virtual time.

Requests of several kinds arrive at random times. One that finds the queue full is shed,
and its client retries at once on a new flow, twice.
"""

import heapq
import itertools
from collections import Counter, deque
from random import Random

from attrs import Factory, define, field, frozen

from bilberrypath.load.request_gate import (
    GatedRequest,
    RequestGate,
    compute_release_at,
)

HOP_TIME = 0.0003  # seconds from the gate to the upstream, or back
RETRY_TIME = 0.003  # seconds from a shed answer to the retry on a new, open flow
MAX_RETRIES = 2


@frozen
class Kind:
    """Requests that need the same.

    ``share`` is their share of all requests, ``work`` the time that one takes, and
    ``objective`` the latency objective, both in seconds.
    """

    name: str
    priority: int
    share: float
    work: float
    objective: float


@define(eq=False)
class GatedUpstream:
    """The simulation; without ``is_gated`` every request is forwarded on arrival.

    ``shed_at`` is what the gate is told. ``offered`` and ``served`` count requests by
    kind; served are those answered within the objective of their kind, counted from the
    first attempt. ``answered`` counts all answers.
    """

    is_gated: bool
    kinds: tuple = ()
    shed_at: int | None = None
    slots: int = 2
    queue_capacity: int = 6
    seed: int = 1
    now: float = 0.0
    rng: Random = field(init=False)
    gate: RequestGate = field(init=False)
    offered: Counter = Factory(Counter)
    served: Counter = Factory(Counter)
    answered: Counter = Factory(Counter)
    in_flight: int = 0
    _running: int = 0
    _queue: deque = Factory(deque)
    _kept_by_flow: dict = Factory(dict)
    _events: list = Factory(list)
    _numbers: object = field(factory=itertools.count)

    def __attrs_post_init__(self):
        self.rng = Random(self.seed)
        self.gate = RequestGate(min((k.priority for k in self.kinds), default=0))
        self.gate.set_room(self.slots, self.shed_at)

    def play(self, load, seconds):
        """Let requests arrive at ``load`` times the capacity, and wait for the rest."""
        mean_work = sum(kind.share * kind.work for kind in self.kinds)
        rate = load * self.slots / mean_work
        at = 0.0
        while True:
            at += self.rng.expovariate(rate)
            if at > seconds:
                break
            kind = self.rng.choices(self.kinds, [k.share for k in self.kinds])[0]
            self.offered[kind.name] += 1
            self._after(at, lambda kind=kind: self._arrive(kind, self.now, 0))
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return {
            kind.name: self.served[kind.name] / max(1, self.offered[kind.name])
            for kind in self.kinds
        }

    def _after(self, delay, action):
        event = (self.now + delay, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def _arrive(self, kind, started_at, retries):
        attempt = (kind, started_at, retries)
        if not self.is_gated:
            self._forward(attempt)
            return
        self._forward_all(self.gate.release_free(self.in_flight))
        flow = next(self._numbers).to_bytes(12)
        release_at = compute_release_at(kind.objective, self.now)
        request = GatedRequest(flow, (), kind.priority, self.now, release_at)
        if self.gate.offer(request, self.in_flight, self.now):
            self._forward(attempt)
            return
        self._kept_by_flow[flow] = attempt
        self._forward_all(self.gate.release_excess(kind.priority))
        self._after(
            release_at - self.now,
            lambda: self._forward_all(self.gate.release_due(self.now)),
        )

    def _forward_all(self, requests):
        for request in requests:
            self._forward(self._kept_by_flow.pop(request.flow))

    def _forward(self, attempt):
        self.in_flight += 1
        sent_at = self.now
        self._after(HOP_TIME, lambda: self._receive(attempt, sent_at))

    def _receive(self, attempt, sent_at):
        if self._running < self.slots:
            self._run(attempt, sent_at)
        elif len(self._queue) < self.queue_capacity:
            self._queue.append((attempt, sent_at))
        else:
            kind, started_at, retries = attempt
            self._after(HOP_TIME, lambda: self._record_answer(sent_at))
            if retries < MAX_RETRIES:
                retry = (kind, started_at, retries + 1)
                self._after(RETRY_TIME, lambda: self._arrive(*retry))

    def _run(self, attempt, sent_at):
        self._running += 1
        self._after(attempt[0].work, lambda: self._finish(attempt, sent_at))

    def _finish(self, attempt, sent_at):
        self._running -= 1
        if self._queue:
            self._run(*self._queue.popleft())
        kind, started_at, _ = attempt
        self.answered[kind.name] += 1
        if self.now - started_at <= kind.objective:
            self.served[kind.name] += 1
        self._after(HOP_TIME, lambda: self._record_answer(sent_at))

    def _record_answer(self, sent_at):
        self.in_flight -= 1
        if self.is_gated:
            released = self.gate.record_answer(sent_at, self.in_flight, self.now)
            self._forward_all(released)
