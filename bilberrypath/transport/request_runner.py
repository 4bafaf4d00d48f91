"""Run the requests of an agent, from complete receipt to outcome."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from attrs import frozen

from bilberrypath.coordination.admission import (
    Admission,
    AdmissionDecision,
    BackoffReason,
    Queued,
    Refuse,
    Run,
)
from bilberrypath.protocol.outcome import (
    Answered,
    Outcome,
    Reason,
    RefusedNotRun,
    Unknown,
)
from bilberrypath.state.idempotency_table import (
    CompletedKey,
    IdempotencyTable,
    PendingKey,
    TableFull,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bilberrypath.protocol.http import RequestHead
    from bilberrypath.transport.upstream_session import UpstreamSession
    from bilberrypath.types import Seconds

# Requests with larger bodies are no latency samples: how long a large upload takes
# does not show the state of the upstream.
MAX_TIMED_BODY_BYTES = 262_144


@frozen
class Request:
    """A completely received request; ``deadline`` is a monotonic time."""

    head: RequestHead
    body: bytes
    deadline: Seconds
    traceparent: str = ""


class RequestRunner:
    """A runner that admits requests, runs them upstream and records their outcomes.

    A non-idempotent request with a key runs at most once. ``count`` is called with
    the event and the reason of each metric to increment. ``_decision_by_request_id``
    holds the futures of queued requests, ``_outcome_by_key`` those of pending keys.
    """

    def __init__(
        self,
        admission: Admission,
        upstream: UpstreamSession,
        count: Callable[[str, str], None],
    ) -> None:
        self.admission = admission
        self.idempotency_table = IdempotencyTable()
        self._upstream = upstream
        self._count = count
        self._next_request_id = 1
        self._decision_by_request_id: dict[int, asyncio.Future] = {}
        self._outcome_by_key: dict[str, asyncio.Future] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def pending_count(self) -> int:
        """The number of queued and running requests."""
        return self.admission.running_count + self.admission.queue_length

    async def run(self, request: Request) -> Outcome:
        """Return the outcome of a request.

        A non-idempotent request with a key continues when this coroutine is
        cancelled, so that its outcome can be queried by key later.
        """
        if request.head.idempotent or not request.head.key:
            outcome = await self._admit_and_run(request)
        else:
            outcome = await self._run_once(request)
        self._count("outcome", outcome.kind)
        if not isinstance(outcome, Answered):
            self._count(outcome.kind, outcome.reason.value)
        return outcome

    async def query_outcome(self, key: str, age: Seconds, deadline: Seconds) -> Outcome:
        """Return the outcome of a key; wait for it until ``deadline`` if pending.

        A key that has not arrived is sealed: a later request with it does not run.
        ``age`` is the time since the caller first sent the key; the outcome of a key
        that may have expired is unknown.
        """
        entry = self.idempotency_table.query_outcome(key, age, time.monotonic())
        if isinstance(entry, CompletedKey):
            return entry.outcome
        return await self._wait_for_outcome(key, deadline)

    def apply_decisions(self, decisions: Iterable[AdmissionDecision]) -> None:
        """Resume the queued requests on which ``admission`` has decided.

        A request that was admitted after its task was cancelled is recorded as
        cancelled, which frees its slot.
        """
        for decision in decisions:
            future = self._decision_by_request_id.pop(decision.request_id, None)
            if future is not None and not future.done():
                future.set_result(decision)
            elif isinstance(decision, Run):
                now = time.monotonic()
                self.apply_decisions(
                    self.admission.record_cancelled(decision.request_id, now)
                )

    async def _run_once(self, request: Request) -> Outcome:
        key = request.head.key
        entry = self.idempotency_table.begin(key, time.monotonic())
        if isinstance(entry, CompletedKey):
            return entry.outcome
        if isinstance(entry, TableFull):
            return RefusedNotRun(Reason.OVERLOADED, elsewhere=True, retry_after=1.0)
        if isinstance(entry, PendingKey):
            return await self._wait_for_outcome(key, request.deadline)
        future = asyncio.get_running_loop().create_future()
        self._outcome_by_key[key] = future
        task = asyncio.create_task(self._run_and_settle(request, future))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(future)

    async def _run_and_settle(self, request: Request, future: asyncio.Future) -> None:
        outcome: Outcome = Unknown(Reason.UPSTREAM_LOST)
        try:
            outcome = await self._admit_and_run(request)
        finally:
            self.idempotency_table.record_outcome(
                request.head.key, outcome, time.monotonic()
            )
            self._outcome_by_key.pop(request.head.key, None)
            if not future.done():
                future.set_result(outcome)

    async def _wait_for_outcome(self, key: str, deadline: Seconds) -> Outcome:
        future = self._outcome_by_key.get(key)
        if future is None:
            return Unknown(Reason.DEADLINE_PASSED)
        timeout = max(0.0, deadline - time.monotonic())
        done, _ = await asyncio.wait({future}, timeout=timeout)
        return future.result() if done else Unknown(Reason.DEADLINE_PASSED)

    async def _admit_and_run(self, request: Request) -> Outcome:
        request_id = self._next_request_id
        self._next_request_id += 1
        decision = await self._admit(request_id, request.deadline)
        if isinstance(decision, Refuse):
            return decision.outcome
        return await self._run_admitted(request_id, request)

    async def _admit(self, request_id: int, deadline: Seconds) -> AdmissionDecision:
        decision = self.admission.offer(request_id, deadline, time.monotonic())
        if not isinstance(decision, Queued):
            return decision
        future = asyncio.get_running_loop().create_future()
        self._decision_by_request_id[request_id] = future
        try:
            return await future
        except asyncio.CancelledError:
            self._decision_by_request_id.pop(request_id, None)
            if not self.admission.cancel(request_id):
                now = time.monotonic()
                self.apply_decisions(self.admission.record_cancelled(request_id, now))
            raise

    async def _run_admitted(self, request_id: int, request: Request) -> Outcome:
        timeout = request.deadline - time.monotonic()
        try:
            outcome = await self._upstream.exchange(
                request.head, request.body, max(0.001, timeout), request.traceparent
            )
        except asyncio.CancelledError:
            now = time.monotonic()
            self.apply_decisions(self.admission.record_cancelled(request_id, now))
            raise
        self._record_outcome(request_id, request, outcome)
        return outcome

    def _record_outcome(
        self, request_id: int, request: Request, outcome: Outcome
    ) -> None:
        now = time.monotonic()
        if isinstance(outcome, Answered):
            is_latency_sample = len(request.body) <= MAX_TIMED_BODY_BYTES
            self.apply_decisions(
                self.admission.record_success(request_id, now, is_latency_sample)
            )
            return
        if isinstance(outcome, RefusedNotRun):
            backoff_reason = BackoffReason.SHED
        elif outcome.reason is Reason.DEADLINE_PASSED:
            backoff_reason = BackoffReason.STALLED
        else:
            backoff_reason = BackoffReason.FAILED
        self.apply_decisions(
            self.admission.record_failure(request_id, backoff_reason, now)
        )
