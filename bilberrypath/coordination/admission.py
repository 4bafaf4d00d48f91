"""Admission control of the requests that an agent sends to its upstream.

The limit of concurrent requests is adaptive, not configured. It starts at what
an upstream can run in a cold start, grows with successful answers, and returns
to its start at the first sign that the upstream is cold, sheds requests, stalls
or was replaced. Only requests that can still meet their deadline are queued.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen
from transitions import Machine

from bilberrypath.coordination.latency import LatencyEstimator
from bilberrypath.protocol.outcome import Reason, RefusedNotRun

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

RequestId = int

STALL_LATENCY_FACTOR = 20.0  # times the mean latency without any answer is a stall
MIN_STALL_TIME: Seconds = 2.0  # a shorter time without an answer is never a stall
SUCCESSES_PER_INCREASE = 4  # times the limit: successes until the limit rises by one
INITIAL_LATENCY: Seconds = 0.05  # mean latency assumed until the first answer
FAILURES_TO_TRIP = 3  # consecutive; requests that fail together count once
TRIAL_PERIOD: Seconds = 1.0  # before the first trial; doubles with each failed trial
MAX_TRIAL_PERIOD: Seconds = 8.0
MAX_QUEUE_PER_SLOT = 16  # queued requests for each of the upstream's slots
RETRY_AFTER: Seconds = 0.5  # sent with refusals, as the time to wait


@frozen
class Run:
    """Send a request to the upstream now."""

    request_id: RequestId


@frozen
class Refuse:
    """Refuse a request that has not run."""

    request_id: RequestId
    outcome: RefusedNotRun


@frozen
class Queued:
    """The request is queued; a later :class:`Run` or :class:`Refuse` settles it."""

    request_id: RequestId


AdmissionDecision = Run | Refuse | Queued


@define
class QueuedRequest:
    """A request in the queue, and the time by which its answer is due."""

    request_id: RequestId
    deadline: Seconds


class BackoffReason(str):
    """Why the limit drops to its initial value."""

    SHED = "shed"
    REPLACED = "replaced"
    SLOW = "slow"
    STALLED = "stalled"
    FAILED = "failed"


def _build_machine(model: Admission) -> Machine:
    transitions = [
        ["_become_warm", "cold", "warm"],
        ["_become_cold", "warm", "cold"],
        ["_trip", ["cold", "warm"], "unhealthy"],
        ["_recover", "unhealthy", "cold"],
    ]
    return Machine(
        model,
        states=["cold", "warm", "unhealthy"],
        transitions=transitions,
        initial="cold",
        auto_transitions=False,
    )


@define(slots=False, eq=False)
class Admission:
    """Admit, queue or refuse requests for one upstream.

    The upstream is ``cold``, ``warm`` (the limit has reached ``slots``) or
    ``unhealthy``; an unhealthy one gets a single trial request at a time.
    Methods that may change what can run return decisions on queued requests.

    Parameters
    ----------
    slots : int
        Requests that the upstream can run at once when warm.
    cold_limit : int
        Requests that it can run at once in a cold start.
    warm_up : float
        Seconds for which it may stay cold after its start. The limit does not
        grow until this time has passed without a sign of a cold start.
    limit : int
        Requests that it may run at once now; starts at ``cold_limit``.
    is_unreachable : bool
        Whether the agent has no connection to it.
    """

    slots: int
    cold_limit: int
    warm_up: Seconds = 0.0
    limit: int = 0
    is_unreachable: bool = True
    _started_at_by_id: dict[RequestId, float] = Factory(dict)
    _queue: deque[QueuedRequest] = Factory(deque)
    _success_count: int = 0
    _failure_count: int = 0
    _may_grow_at: Seconds = float("-inf")
    _last_answer_at: Seconds = float("-inf")
    _last_failure_at: Seconds = float("-inf")
    _latency: LatencyEstimator = Factory(LatencyEstimator)
    _next_trial_at: Seconds = 0.0
    _trial_period: Seconds = TRIAL_PERIOD

    def __attrs_post_init__(self) -> None:
        self.limit = self.cold_limit
        _build_machine(self)

    @property
    def running_count(self) -> int:
        """The number of requests that the upstream is running."""
        return len(self._started_at_by_id)

    @property
    def queue_length(self) -> int:
        """The number of requests in the queue."""
        return len(self._queue)

    def may_accept_flows(self, now: Seconds) -> bool:
        """Return whether the upstream may get new flows.

        An unhealthy upstream may when a trial is due, because without flows
        no answer could show that it has recovered.
        """
        if self.is_unreachable:
            return False
        return self.state != "unhealthy" or self.wants_trial(now)

    def wants_trial(self, now: Seconds) -> bool:
        """Return whether a flow is needed to test if the upstream has recovered."""
        return (
            self.state == "unhealthy"
            and not self.is_unreachable
            and self._is_trial_due(now)
        )

    def offer(
        self, request_id: RequestId, deadline: Seconds, now: Seconds
    ) -> AdmissionDecision:
        """Decide on a request that has been received completely."""
        refusal = self._find_refusal(deadline, now)
        if refusal is not None:
            return Refuse(request_id, refusal)
        if self._has_capacity(now) and not self._queue:
            return self._start_request(request_id, now)
        if not self._may_queue(deadline, now):
            return Refuse(request_id, self._make_overload_refusal())
        self._queue.append(QueuedRequest(request_id, deadline))
        return Queued(request_id)

    def cancel(self, request_id: RequestId) -> bool:
        """Remove a request from the queue; return False if it is not queued."""
        for queued in self._queue:
            if queued.request_id == request_id:
                self._queue.remove(queued)
                return True
        return False

    def record_success(
        self, request_id: RequestId, now: Seconds, is_latency_sample: bool = True
    ) -> list[AdmissionDecision]:
        """Record a complete answer of the upstream.

        ``is_latency_sample`` is false for requests whose duration does not
        reflect the speed of the upstream, such as large uploads.
        """
        started_at = self._started_at_by_id.pop(request_id, now)
        self._failure_count = 0
        self._last_answer_at = now
        if self.state == "unhealthy":
            self._recover()
            self._trial_period = TRIAL_PERIOD
        if is_latency_sample:
            self._record_latency(now - started_at, now)
        return self.admit_queued(now)

    def record_failure(
        self, request_id: RequestId, reason: str, now: Seconds
    ) -> list[AdmissionDecision]:
        """Record a request that the upstream shed, lost or did not answer.

        Every failure returns the limit to ``cold_limit``. Shed requests, and requests
        that were already running at the last failure, do not count as a further
        failure towards :data:`FAILURES_TO_TRIP`.
        """
        started_at = self._started_at_by_id.pop(request_id, now)
        self.back_off(reason, now)
        if reason != BackoffReason.SHED and started_at > self._last_failure_at:
            self._last_failure_at = now
            self._failure_count += 1
            if self._failure_count >= FAILURES_TO_TRIP or self.state == "unhealthy":
                self._mark_unhealthy(now)
        return self.admit_queued(now)

    def record_cancelled(
        self, request_id: RequestId, now: Seconds
    ) -> list[AdmissionDecision]:
        """Record that the caller cancelled a running request."""
        self._started_at_by_id.pop(request_id, None)
        return self.admit_queued(now)

    def back_off(self, reason: str, now: Seconds) -> None:
        """Drop the limit to ``cold_limit``, for a value of :class:`BackoffReason`.

        After a slow answer or a replacement the limit does not grow for
        ``warm_up`` seconds.
        """
        self.limit = self.cold_limit
        self._success_count = 0
        if reason in (BackoffReason.REPLACED, BackoffReason.SLOW):
            self._may_grow_at = now + self.warm_up
        if self.state == "warm":
            self._become_cold()

    def set_unreachable(
        self, is_unreachable: bool, now: Seconds
    ) -> list[AdmissionDecision]:
        """Record whether the upstream is unreachable.

        A change either way is treated like a replaced upstream.
        """
        if is_unreachable != self.is_unreachable:
            self.back_off(BackoffReason.REPLACED, now)
        self.is_unreachable = is_unreachable
        return self.admit_queued(now)

    def tick(self, now: Seconds) -> list[AdmissionDecision]:
        """Detect slow answers and stalls; run queued requests or refuse late ones."""
        oldest = min(self._started_at_by_id.values(), default=now)
        if self._latency.is_slow(now - oldest) and self.limit > self.cold_limit:
            self.back_off(BackoffReason.SLOW, now)
        if self.state != "unhealthy" and self._is_stalled(oldest, now):
            self._mark_unhealthy(now)
        return self.admit_queued(now)

    def admit_queued(self, now: Seconds) -> list[AdmissionDecision]:
        """Run or refuse queued requests according to the limit and their deadlines."""
        decisions: list[AdmissionDecision] = []
        while self._queue:
            head = self._queue[0]
            refusal = self._find_refusal(head.deadline, now)
            if refusal is not None:
                self._queue.popleft()
                decisions.append(Refuse(head.request_id, refusal))
            elif self._has_capacity(now):
                self._queue.popleft()
                decisions.append(self._start_request(head.request_id, now))
            else:
                break
        return decisions + self._refuse_late(now)

    def refuse_queued(self, reason: Reason) -> list[AdmissionDecision]:
        """Refuse all queued requests, so that they may run elsewhere."""
        queued, self._queue = self._queue, deque()
        refusal = RefusedNotRun(reason, elsewhere=True)
        return [Refuse(entry.request_id, refusal) for entry in queued]

    def _refuse_late(self, now: Seconds) -> list[AdmissionDecision]:
        """Refuse the queued requests that are not expected to meet their deadline."""
        kept: deque[QueuedRequest] = deque()
        decisions: list[AdmissionDecision] = []
        for queued in self._queue:
            if now + self._estimate_wait(len(kept)) > queued.deadline:
                refusal = RefusedNotRun(Reason.DEADLINE, True, RETRY_AFTER)
                decisions.append(Refuse(queued.request_id, refusal))
            else:
                kept.append(queued)
        self._queue = kept
        return decisions

    def _find_refusal(self, deadline: Seconds, now: Seconds) -> RefusedNotRun | None:
        """Return the refusal of a request that cannot run in time, or None."""
        if self.is_unreachable:
            return RefusedNotRun(Reason.UPSTREAM_AWAY, True)
        if self.state == "unhealthy" and not self._is_trial_due(now):
            return RefusedNotRun(Reason.UPSTREAM_UNHEALTHY, True, RETRY_AFTER)
        if now + self._estimate_service_time() > deadline:
            return RefusedNotRun(Reason.DEADLINE, True, RETRY_AFTER)
        return None

    def _may_queue(self, deadline: Seconds, now: Seconds) -> bool:
        if self.state == "unhealthy":
            return False
        if len(self._queue) >= self.slots * MAX_QUEUE_PER_SLOT:
            return False
        return now + self._estimate_wait(len(self._queue)) <= deadline

    def _make_overload_refusal(self) -> RefusedNotRun:
        return RefusedNotRun(Reason.OVERLOADED, True, RETRY_AFTER)

    def _estimate_service_time(self) -> Seconds:
        return self._latency.estimate(INITIAL_LATENCY)

    def _estimate_wait(self, queued_ahead: int) -> Seconds:
        rounds = (queued_ahead + self.running_count) / max(1, self.limit) + 1
        return rounds * self._estimate_service_time()

    def _has_capacity(self, now: Seconds) -> bool:
        if self.state == "unhealthy":
            return not self._started_at_by_id and self._is_trial_due(now)
        return self.running_count < self.limit

    def _is_trial_due(self, now: Seconds) -> bool:
        """Return whether an unhealthy upstream may get its single trial request."""
        return now >= self._next_trial_at and not self._started_at_by_id

    def _start_request(self, request_id: RequestId, now: Seconds) -> Run:
        self._started_at_by_id[request_id] = now
        return Run(request_id)

    def _record_latency(self, latency: Seconds, now: Seconds) -> None:
        is_slow = self._latency.is_slow(latency)
        self._latency.add(latency)
        if is_slow:
            self.back_off(BackoffReason.SLOW, now)
            return
        if now < self._may_grow_at:
            return
        self._success_count += 1
        if (
            self._success_count >= SUCCESSES_PER_INCREASE * self.limit
            and self.limit < self.slots
        ):
            self.limit += 1
            self._success_count = 0
        if self.limit == self.slots and self.state == "cold":
            self._become_warm()

    def _is_stalled(self, oldest: Seconds, now: Seconds) -> bool:
        """Return whether running requests have had no answer at all for too long."""
        silent_since = max(oldest, self._last_answer_at)
        latency_limit = STALL_LATENCY_FACTOR * self._estimate_service_time()
        return bool(self._started_at_by_id) and now - silent_since > max(
            MIN_STALL_TIME, latency_limit
        )

    def _mark_unhealthy(self, now: Seconds) -> None:
        if self.state == "unhealthy":
            self._trial_period = min(MAX_TRIAL_PERIOD, 2 * self._trial_period)
        else:
            self._trip()
        self._next_trial_at = now + self._trial_period
