"""Requests and streams with outcomes, retries and re-attachment."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen
from opentelemetry import trace

from bilberrypath.caller.flow import RESET_REASON, CallerFlow, FlowLost, open_flow
from bilberrypath.caller.retry_budget import RetryBudget
from bilberrypath.caller.sse import ItemParser, StreamItem
from bilberrypath.protocol.http import (
    AGENT_ENDED_REASON,
    DATA_CENTRE_OUT_REASON,
    DEFAULT_DEADLINE,
    OUTCOME_PATH,
    SAFE_METHODS,
    RequestHead,
    decode_outcome,
)
from bilberrypath.protocol.outcome import (
    Answered,
    Outcome,
    Reason,
    RefusedNotRun,
    Unknown,
)
from bilberrypath.transport.quic import make_caller_configuration
from bilberrypath.transport.tracing import (
    choose_context,
    format_span_traceparent,
    make_open_context,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from bilberrypath.types import Address, Seconds

MAX_FLOWS = 2
MAX_OPEN_ATTEMPTS = 4
UNANSWERABLE_REASONS = frozenset({RESET_REASON, DATA_CENTRE_OUT_REASON})
ANSWER_GRACE: Seconds = 0.5
OUTCOME_QUERY_TIMEOUT: Seconds = 6.0
REOPEN_DELAY: Seconds = 0.1
MAX_REOPEN_DELAY: Seconds = 2.0


@frozen
class CallerOptions:
    """How a caller reaches a service.

    ``authorities`` is a PEM file of the authorities to trust, ``server_name``
    what the agents' certificate must say, ``local_host`` the address to send
    from, ``trace_ratio`` the share of flows whose requests are traced.
    """

    address: Address
    authorities: str | None = None
    server_name: str = "localhost"
    local_host: str = "0.0.0.0"
    trace_ratio: float = 0.0


@frozen
class LostFlowRecord:
    """A flow that ended while it was in use, and the agent that it led to."""

    reason: str
    agent_incarnation: int


@define
class CallerCounts:
    """What a caller saw."""

    flows_opened: int = 0
    lost_flows: list[LostFlowRecord] = field(factory=list)
    reattachments: int = 0
    retries: int = 0
    outcome_queries: int = 0


@define
class Caller:
    """Call one service.

    Every request ends in exactly one outcome: ``Answered``, ``RefusedNotRun``
    or ``Unknown``. A non-idempotent request is sent a second time only when
    the system said that it did not run and will not.

    Examples
    --------
    Book a ride, then follow the board::

        caller = Caller(CallerOptions(("127.0.0.1", 9443), "ca.pem"))
        outcome = await caller.request("POST", "/rides", b"two seats")
        async for item in caller.stream("/board"):
            print(item.number, item.data)
    """

    options: CallerOptions
    counts: CallerCounts = field(factory=CallerCounts)
    retry_budget: RetryBudget = field(factory=RetryBudget)
    _flows: list[CallerFlow] = field(factory=list)
    _open_lock: asyncio.Lock = field(factory=asyncio.Lock)

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        key: str = "",
        deadline: Seconds = DEFAULT_DEADLINE,
        idempotent: bool | None = None,
        traceparent: str = "",
    ) -> Outcome:
        """Send a request and return its outcome.

        ``deadline`` is in seconds from now. ``key`` identifies the request;
        one is made if it is empty. ``idempotent`` follows from the method
        unless it is given.
        """
        until = time.monotonic() + deadline
        is_idempotent = method in SAFE_METHODS if idempotent is None else idempotent
        head = RequestHead(
            method,
            path,
            key or uuid.uuid4().hex,
            deadline,
            is_idempotent,
            traceparent=traceparent,
        )
        self.retry_budget.earn()
        tried: list[CallerFlow] = []
        while True:
            outcome = await self._try_once(head, body, until, tried)
            if not self._may_retry(outcome, is_idempotent, until):
                return outcome
            if not self.retry_budget.spend():
                return outcome
            self.counts.retries += 1
            pause = getattr(outcome, "retry_after", 0.0) * random.uniform(0.05, 0.2)
            await asyncio.sleep(min(pause, max(0.0, until - time.monotonic())))

    async def stream(
        self, path: str, *, after_item: int = 0
    ) -> AsyncIterator[StreamItem]:
        """Yield the items of a stream for as long as the caller wants them.

        When the flow is lost, or its agent asks callers to go, the stream is
        opened elsewhere and resumes after the last item that was yielded. The
        next flow is open before the last one is let go.
        """
        last = after_item
        pause = REOPEN_DELAY
        flow: CallerFlow | None = None
        try:
            while True:
                try:
                    flow = await self._replace_flow(flow)
                    async for item in self._read_stream(flow, path, last):
                        if item.number <= last:
                            continue
                        last = item.number
                        pause = REOPEN_DELAY
                        yield item
                except FlowLost:
                    self._record_lost_flow(flow)
                self.counts.reattachments += 1
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(MAX_REOPEN_DELAY, 2 * pause)
        finally:
            if flow is not None:
                flow.shutdown()

    async def close(self) -> None:
        """Close all flows."""
        flows, self._flows = self._flows, []
        for flow in flows:
            flow.shutdown()

    def _record_lost_flow(self, flow: CallerFlow | None) -> None:
        if flow is None or flow.lost_reason is None:
            return
        lost = LostFlowRecord(flow.lost_reason, flow.agent_incarnation)
        self.counts.lost_flows.append(lost)

    # Requests

    def _may_retry(self, outcome: Outcome, idempotent: bool, until: Seconds) -> bool:
        if time.monotonic() >= until or isinstance(outcome, Answered):
            return False
        if isinstance(outcome, RefusedNotRun):
            return outcome.elsewhere
        return idempotent and outcome.reason is not Reason.DEADLINE_PASSED

    async def _try_once(
        self,
        head: RequestHead,
        body: bytes,
        until: Seconds,
        tried: list[CallerFlow],
    ) -> Outcome:
        first_sent_at = time.monotonic()
        try:
            flow = await self._pick_flow(tried, until)
        except FlowLost:
            return RefusedNotRun(Reason.NO_AGENT, elsewhere=True, retry_after=1.0)
        tried.append(flow)
        left = until - time.monotonic()
        if left <= 0.0:
            return RefusedNotRun(Reason.DEADLINE, elsewhere=False)
        try:
            return await self._exchange_traced(flow, evolve(head, deadline=left), body)
        except FlowLost:
            self._record_lost_flow(flow)
        except TimeoutError:
            pass
        if flow.lost_reason == AGENT_ENDED_REASON:
            return RefusedNotRun(Reason.DRAINING, elsewhere=True)
        if head.idempotent:
            return Unknown(Reason.FLOW_LOST)
        return await self._resolve_outcome(flow, head.key, first_sent_at)

    async def _exchange_traced(
        self, flow: CallerFlow, head: RequestHead, body: bytes
    ) -> Outcome:
        """Send a request within a span of the trace that the flow belongs to."""
        ratio = self.options.trace_ratio
        flow_context = make_open_context(flow.original_connection_id, ratio)
        context = choose_context(head.traceparent, flow_context)
        tracer = trace.get_tracer("bilberrypath")
        with tracer.start_as_current_span("caller.request", context) as span:
            carried = evolve(head, traceparent=format_span_traceparent(span))
            return await self._exchange(flow, carried, body, head.deadline)

    async def _exchange(
        self, flow: CallerFlow, head: RequestHead, body: bytes, left: Seconds
    ) -> Outcome:
        stream_id, reply = flow.send_request(head, body)
        try:
            async with asyncio.timeout(left + ANSWER_GRACE):
                whole = await flow.read_body(reply)
        finally:
            flow.close_stream(stream_id)
        return decode_outcome(reply.headers, whole)

    async def _resolve_outcome(
        self, lost: CallerFlow, key: str, first_sent_at: Seconds
    ) -> Outcome:
        """Ask the agent of a lost flow what became of a request."""
        if not lost.agent_incarnation or lost.lost_reason in UNANSWERABLE_REASONS:
            return Unknown(Reason.FLOW_LOST)
        until = time.monotonic() + OUTCOME_QUERY_TIMEOUT
        while time.monotonic() < until:
            try:
                return await self._query_outcome(lost, key, first_sent_at, until)
            except (FlowLost, TimeoutError):
                await asyncio.sleep(REOPEN_DELAY)
        return Unknown(Reason.FLOW_LOST)

    async def _query_outcome(
        self, lost: CallerFlow, key: str, first_sent_at: Seconds, until: Seconds
    ) -> Outcome:
        self.counts.outcome_queries += 1
        flow = await self._open(lost.token)
        try:
            left = max(0.1, until - time.monotonic())
            head = RequestHead(
                "GET",
                OUTCOME_PATH,
                key,
                left,
                incarnation=lost.agent_incarnation,
                age=time.monotonic() - first_sent_at,
            )
            return await self._exchange(flow, head, b"", left)
        finally:
            flow.shutdown()

    # Flows

    async def _pick_flow(self, tried: list[CallerFlow], until: Seconds) -> CallerFlow:
        async with self._open_lock:
            self._drop_lost()
            for flow in self._flows:
                if flow not in tried and not flow.has_received_goaway:
                    return flow
            flow = await self._open_with_retries(until)
            self._flows.insert(0, flow)
            self._trim_flows()
            return flow

    def _drop_lost(self) -> None:
        for flow in list(self._flows):
            if flow.is_lost:
                self._flows.remove(flow)
            elif flow.has_received_goaway and not flow.open_stream_count:
                self._flows.remove(flow)
                flow.shutdown()

    def _trim_flows(self) -> None:
        for flow in self._flows[MAX_FLOWS:]:
            if not flow.open_stream_count:
                self._flows.remove(flow)
                flow.shutdown()

    async def _open_with_retries(self, until: Seconds) -> CallerFlow:
        for attempt in range(MAX_OPEN_ATTEMPTS):
            try:
                return await self._open()
            except FlowLost:
                if time.monotonic() >= until or attempt == MAX_OPEN_ATTEMPTS - 1:
                    raise
        raise FlowLost("no_answer")

    async def _open(self, token: bytes | None = None) -> CallerFlow:
        options = self.options
        configuration = make_caller_configuration(
            options.authorities, options.server_name
        )
        flow = await open_flow(
            options.address,
            configuration,
            f"{options.server_name}:{options.address[1]}",
            token,
            options.local_host,
        )
        self.counts.flows_opened += 1
        flow.agent_incarnation = await self._query_incarnation(flow)
        return flow

    async def _query_incarnation(self, flow: CallerFlow) -> int:
        """Ask a new flow's agent for its incarnation, to name it if need be."""
        head = RequestHead("GET", OUTCOME_PATH, "", INCARNATION_QUERY_TIMEOUT)
        try:
            await self._exchange(flow, head, b"", INCARNATION_QUERY_TIMEOUT)
        except TimeoutError as error:
            flow.shutdown()
            raise FlowLost("no_answer") from error
        return flow.agent_incarnation

    async def _replace_flow(self, before: CallerFlow | None) -> CallerFlow:
        """Open a flow for a stream before the last one is let go."""
        try:
            return await self._open()
        finally:
            if before is not None:
                before.shutdown()

    async def _read_stream(
        self, flow: CallerFlow, path: str, after_item: int
    ) -> AsyncIterator[StreamItem]:
        head = RequestHead("GET", path, is_stream=True, after_item=after_item)
        stream_id, reply = flow.send_request(head, b"")
        parser = ItemParser()
        try:
            while not flow.has_received_goaway:
                try:
                    async with asyncio.timeout(GOAWAY_POLL_PERIOD):
                        part = await flow.read_body_part(reply)
                except TimeoutError:
                    continue
                if part is None:
                    return
                for item in parser.feed(part):
                    yield item
        finally:
            flow.close_stream(stream_id)


INCARNATION_QUERY_TIMEOUT: Seconds = 3.0
GOAWAY_POLL_PERIOD: Seconds = 0.25
