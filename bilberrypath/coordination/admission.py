"""How much work an agent lets its upstream have.

The limit is learnt, not read: it begins at what an upstream in cold start
bears, grows on success, and falls to the start at the first sign that the
upstream is cold, sheds, stalls or was replaced. What waits is bounded by what
can still meet its deadline.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen
from transitions import Machine

from bilberrypath.coordination.latency import Latency
from bilberrypath.protocol.outcome import Reason, RefusedNotRun

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

RequestId = int

STALL_FACTOR = 20.0  # mean answer times without any answer
STALL_FLOOR: Seconds = 2.0
GROW_AFTER = 4  # good answers for each unit of the limit
FIRST_GUESS: Seconds = 0.05
FAILURES_TO_TRIP = 3  # one after the other; those of one moment count once
TRIAL_PERIOD: Seconds = 1.0
MAX_TRIAL_PERIOD: Seconds = 8.0
MAX_QUEUE_PER_SLOT = 16
RETRY_AFTER: Seconds = 0.5


@frozen
class Run:
    """Send a request to the upstream now."""

    request_id: RequestId


@frozen
class Refuse:
    """Refuse a request; it has not run."""

    request_id: RequestId
    outcome: RefusedNotRun


@frozen
class Queued:
    """The request waits; a later decision names it."""

    request_id: RequestId


Admitting = Run | Refuse | Queued


@define
class Waiting:
    """A request in the queue."""

    request_id: RequestId
    deadline: Seconds


class Sign(str):
    """What an upstream showed that makes the limit fall."""

    SHED = "shed"
    REPLACED = "replaced"
    SLOW = "slow"
    STALLED = "stalled"
    FAILED = "failed"


def _build_machine(model: Admission) -> Machine:
    transitions = [
        ["_grow_warm", "cold", "warm"],
        ["_fall_cold", "warm", "cold"],
        ["_trip", ["cold", "warm"], "unhealthy"],
        ["_heal", "unhealthy", "cold"],
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

    Parameters
    ----------
    slots : int
        Requests that the upstream runs at once when warm.
    cold_limit : int
        Requests that it bears in cold start.
    warm_up : float
        Seconds for which it may stay cold after its start. The limit does not
        grow before they have passed without a sign of a cold start.
    """

    slots: int
    cold_limit: int
    warm_up: Seconds = 0.0
    limit: int = 0
    is_away: bool = True
    _running: dict[RequestId, float] = Factory(dict)
    _queue: deque[Waiting] = Factory(deque)
    _good: int = 0
    _failures: int = 0
    _grows_from: Seconds = float("-inf")
    _answered_at: Seconds = float("-inf")
    _failed_at: Seconds = float("-inf")
    _latency: Latency = Factory(Latency)
    _trial_at: Seconds = 0.0
    _trial_period: Seconds = TRIAL_PERIOD

    def __attrs_post_init__(self) -> None:
        self.limit = self.cold_limit
        _build_machine(self)

    @property
    def running_count(self) -> int:
        """How many requests the upstream has."""
        return len(self._running)

    @property
    def queue_length(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def takes_flows(self, now: Seconds) -> bool:
        """Return whether new flows should come here.

        An unhealthy upstream gets some when a trial is due, since without
        flows nothing would ever show that it is well again.
        """
        if self.is_away:
            return False
        return self.state != "unhealthy" or self.wants_trial(now)

    def wants_trial(self, now: Seconds) -> bool:
        """Return whether one flow is wanted to see if the upstream is well."""
        return self.state == "unhealthy" and not self.is_away and self._may_try(now)

    def offer(
        self, request_id: RequestId, deadline: Seconds, now: Seconds
    ) -> Admitting:
        """Decide on a request that has arrived whole."""
        refusal = self._find_refusal(deadline, now)
        if refusal is not None:
            return Refuse(request_id, refusal)
        if self._has_room(now) and not self._queue:
            return self._run(request_id, now)
        if not self._fits_queue(deadline, now):
            return Refuse(request_id, self._say_overloaded())
        self._queue.append(Waiting(request_id, deadline))
        return Queued(request_id)

    def cancel(self, request_id: RequestId) -> bool:
        """Take a request out of the queue; False if it does not wait there."""
        for waiting in self._queue:
            if waiting.request_id == request_id:
                self._queue.remove(waiting)
                return True
        return False

    def note_success(
        self, request_id: RequestId, now: Seconds, weigh: bool = True
    ) -> list[Admitting]:
        """Record a whole answer of the upstream.

        ``weigh`` is false for work whose time says nothing of the upstream,
        such as large uploads.
        """
        started_at = self._running.pop(request_id, now)
        self._failures = 0
        self._answered_at = now
        if self.state == "unhealthy":
            self._heal()
            self._trial_period = TRIAL_PERIOD
        if weigh:
            self._weigh(now - started_at, now)
        return self.admit_waiting(now)

    def note_failure(
        self, request_id: RequestId, sign: str, now: Seconds
    ) -> list[Admitting]:
        """Record a request that the upstream shed, lost or left unanswered."""
        started_at = self._running.pop(request_id, now)
        self.fall(sign, now)
        if sign != Sign.SHED and started_at > self._failed_at:
            self._failed_at = now
            self._failures += 1
            if self._failures >= FAILURES_TO_TRIP or self.state == "unhealthy":
                self._note_trip(now)
        return self.admit_waiting(now)

    def note_cancelled(self, request_id: RequestId, now: Seconds) -> list[Admitting]:
        """Record that a running request was given up by its caller."""
        self._running.pop(request_id, None)
        return self.admit_waiting(now)

    def fall(self, sign: str, now: Seconds) -> None:
        """Go back to what an upstream in cold start bears."""
        self.limit = self.cold_limit
        self._good = 0
        if sign in (Sign.REPLACED, Sign.SLOW):
            self._grows_from = now + self.warm_up
        if self.state == "warm":
            self._fall_cold()

    def set_away(self, is_away: bool, now: Seconds) -> list[Admitting]:
        """Record whether the upstream can be reached at all."""
        if is_away != self.is_away:
            self.fall(Sign.REPLACED, now)
        self.is_away = is_away
        return self.admit_waiting(now)

    def tick(self, now: Seconds) -> list[Admitting]:
        """Refuse what can't meet its deadline any more, and see stalls."""
        oldest = min(self._running.values(), default=now)
        if self._latency.is_slow(now - oldest) and self.limit > self.cold_limit:
            self.fall(Sign.SLOW, now)
        if self.state != "unhealthy" and self._is_stalled(oldest, now):
            self._note_trip(now)
        return self.admit_waiting(now)

    def admit_waiting(self, now: Seconds) -> list[Admitting]:
        """Run or refuse what waits, as far as the limit and the deadlines say."""
        decisions: list[Admitting] = []
        while self._queue:
            head = self._queue[0]
            refusal = self._find_refusal(head.deadline, now)
            if refusal is not None:
                self._queue.popleft()
                decisions.append(Refuse(head.request_id, refusal))
            elif self._has_room(now):
                self._queue.popleft()
                decisions.append(self._run(head.request_id, now))
            else:
                break
        return decisions + self._refuse_late(now)

    def refuse_waiting(self, reason: Reason) -> list[Admitting]:
        """Refuse all that waits, so that it may run elsewhere."""
        waiting, self._queue = self._queue, deque()
        refusal = RefusedNotRun(reason, elsewhere=True)
        return [Refuse(w.request_id, refusal) for w in waiting]

    def _refuse_late(self, now: Seconds) -> list[Admitting]:
        kept: deque[Waiting] = deque()
        decisions: list[Admitting] = []
        for waiting in self._queue:
            if now + self._expect_wait(len(kept)) > waiting.deadline:
                refusal = RefusedNotRun(Reason.DEADLINE, True, RETRY_AFTER)
                decisions.append(Refuse(waiting.request_id, refusal))
            else:
                kept.append(waiting)
        self._queue = kept
        return decisions

    def _find_refusal(self, deadline: Seconds, now: Seconds) -> RefusedNotRun | None:
        if self.is_away:
            return RefusedNotRun(Reason.UPSTREAM_AWAY, True)
        if self.state == "unhealthy" and not self._may_try(now):
            return RefusedNotRun(Reason.UPSTREAM_UNHEALTHY, True, RETRY_AFTER)
        if now + self._expect_service() > deadline:
            return RefusedNotRun(Reason.DEADLINE, True, RETRY_AFTER)
        return None

    def _fits_queue(self, deadline: Seconds, now: Seconds) -> bool:
        if self.state == "unhealthy":
            return False
        if len(self._queue) >= self.slots * MAX_QUEUE_PER_SLOT:
            return False
        return now + self._expect_wait(len(self._queue)) <= deadline

    def _say_overloaded(self) -> RefusedNotRun:
        return RefusedNotRun(Reason.OVERLOADED, True, RETRY_AFTER)

    def _expect_service(self) -> Seconds:
        return self._latency.expect(FIRST_GUESS)

    def _expect_wait(self, ahead: int) -> Seconds:
        rounds = (ahead + self.running_count) / max(1, self.limit) + 1
        return rounds * self._expect_service()

    def _has_room(self, now: Seconds) -> bool:
        if self.state == "unhealthy":
            return not self._running and self._may_try(now)
        return self.running_count < self.limit

    def _may_try(self, now: Seconds) -> bool:
        return now >= self._trial_at and not self._running

    def _run(self, request_id: RequestId, now: Seconds) -> Run:
        self._running[request_id] = now
        return Run(request_id)

    def _weigh(self, latency: Seconds, now: Seconds) -> None:
        is_slow = self._latency.is_slow(latency)
        self._latency.add(latency)
        if is_slow:
            self.fall(Sign.SLOW, now)
            return
        if now < self._grows_from:
            return
        self._good += 1
        if self._good >= GROW_AFTER * self.limit and self.limit < self.slots:
            self.limit += 1
            self._good = 0
        if self.limit == self.slots and self.state == "cold":
            self._grow_warm()

    def _is_stalled(self, oldest: Seconds, now: Seconds) -> bool:
        """Return whether nothing at all has been answered for too long."""
        quiet_since = max(oldest, self._answered_at)
        usual = STALL_FACTOR * self._expect_service()
        return bool(self._running) and now - quiet_since > max(STALL_FLOOR, usual)

    def _note_trip(self, now: Seconds) -> None:
        if self.state == "unhealthy":
            self._trial_period = min(MAX_TRIAL_PERIOD, 2 * self._trial_period)
        else:
            self._trip()
        self._trial_at = now + self._trial_period
