"""An upstream behind an ``Admission`` on a virtual clock, with a transcript."""

import heapq
import itertools

from attrs import Factory, define, field

from bilberrypath.coordination.admission import Admission, BackoffReason, Refuse, Run


@define
class VirtualUpstream:
    """Run the admitted requests, and count those started beyond the capacity.

    It can run ``slots`` requests, but only ``cold_slots`` during a cold start, when
    each takes ``cold_factor`` times ``service_time``. Times are in seconds, and
    ``deadline`` counts from a request's arrival. While ``answers`` is false, requests
    run until their deadline and fail. ``refused_after_waiting`` lists how long the
    requests waited that were queued and then refused.
    """

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
    _request_ids: object = field(factory=itertools.count)
    _scheduled: list = Factory(list)
    _sequence_numbers: object = field(factory=itertools.count)
    _recorded: tuple = ()

    def __attrs_post_init__(self):
        self.admission = Admission(self.slots, self.cold_slots, self.warm_up)
        self.admission.set_unreachable(False, 0.0)
        self._record_change("starts")

    @property
    def capacity(self):
        return self.cold_slots if self.now < self.cold_until else self.slots

    def add_remark(self, text):
        """Add a remark to the transcript."""
        self.lines.append(f"{self.now:7.3f} -- {text}")

    def arrive_every(self, period, count):
        """Let ``count`` requests arrive, one every ``period`` seconds from now on."""
        for index in range(count):
            self._schedule(index * period, self._arrive)

    def run(self, seconds):
        """Advance the time, with a tick of the admission every 50 ms."""
        end_at = self.now + seconds
        tick_at = self.now
        while tick_at < end_at:
            self._schedule(tick_at - self.now, self._tick)
            tick_at += 0.05
        while self._scheduled and self._scheduled[0][0] <= end_at:
            self.now, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now = end_at

    def go_cold(self, seconds):
        """Enter a cold start without notice; running requests continue."""
        self.add_remark(f"upstream goes cold for {seconds} s, unannounced")
        self.cold_until = self.now + seconds

    def replace(self, seconds):
        """Restart cold: running requests are lost, and the connection drops for 0.2 s.

        The admission is notified that the upstream is unreachable meanwhile.
        """
        self.add_remark("upstream is replaced by a cold one")
        lost, self.running = list(self.running), {}
        for request_id in lost:
            self._fail(request_id)
        self._apply(self.admission.set_unreachable(True, self.now))
        self.cold_until = self.now + seconds
        self._record_change("away")
        self._schedule(0.2, self._reconnect)

    def _reconnect(self):
        self._apply(self.admission.set_unreachable(False, self.now))
        self._record_change("back")

    def _tick(self):
        self._apply(self.admission.tick(self.now))
        self._record_change("tick")

    def _arrive(self):
        request_id = next(self._request_ids)
        self._arrived_at[request_id] = self.now
        decision = self.admission.offer(request_id, self.now + self.deadline, self.now)
        self._apply([decision])

    def _apply(self, decisions):
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
        if len(self.running) > self.capacity:
            self.overruns += 1
            self.add_remark(
                f"overrun: {len(self.running)} running, bears {self.capacity}"
            )
        if not self.answers:
            remaining = self._arrived_at[request_id] + self.deadline - self.now
            self._schedule(remaining, lambda: self._expire(request_id))
            return
        factor = self.cold_factor if self.now < self.cold_until else 1.0
        self._schedule(self.service_time * factor, lambda: self._finish(request_id))

    def _finish(self, request_id):
        if self.running.pop(request_id, None) is None:
            return
        self.answered += 1
        if self.now - self._arrived_at[request_id] > self.deadline:
            self.answered_late += 1
        self._apply(self.admission.record_success(request_id, self.now))
        self._record_change("answer")

    def _expire(self, request_id):
        if self.running.pop(request_id, None) is not None:
            self._fail(request_id, BackoffReason.STALLED)

    def _fail(self, request_id, reason=BackoffReason.FAILED):
        self.unknown += 1
        decisions = self.admission.record_failure(request_id, reason, self.now)
        self._apply(decisions)
        self._record_change("failure")

    def _schedule(self, delay, callback):
        due_at = self.now + delay
        heapq.heappush(
            self._scheduled, (due_at, next(self._sequence_numbers), callback)
        )

    def _record_change(self, cause):
        current = (self.admission.state, self.admission.limit)
        if current != self._recorded:
            self._recorded = current
            self.lines.append(
                f"{self.now:7.3f} {cause}: {current[0]} limit={current[1]}"
            )

    def transcript(self):
        """Return the transcript, with totals in its last line."""
        totals = (
            f"answered={self.answered} refused={self.refused} "
            f"unknown={self.unknown} overruns={self.overruns} "
            f"late={self.answered_late}"
        )
        return "\n".join([*self.lines, totals])
