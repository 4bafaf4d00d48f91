"""Requests with outcomes and retries, and streams that outlive their flows."""

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

MAX_FLOWS = 2  # kept open for requests; older ones are closed when idle
MAX_OPEN_ATTEMPTS = 4  # to open one flow for a request
# Reasons of lost flows whose agent cannot be queried for outcomes.
UNANSWERABLE_REASONS = frozenset({RESET_REASON, DATA_CENTRE_OUT_REASON})
ANSWER_GRACE: Seconds = 0.5  # wait beyond the deadline for the agent's outcome
OUTCOME_QUERY_TIMEOUT: Seconds = 6.0  # for all queries about one request
REOPEN_DELAY: Seconds = 0.1  # before a stream is reopened or a query repeated
MAX_REOPEN_DELAY: Seconds = 2.0  # the delay of a stream doubles up to this


@frozen
class CallerOptions:
    """How a caller reaches a service.

    ``address`` is that of the service at a balancer. ``authorities`` is the path of a
    PEM file with the certificate authorities to trust; None means those of the
    system. The agents' certificate must be valid for ``server_name``. ``local_host``
    is the local IP address to send from, ``trace_ratio`` the share of flows, from 0
    to 1, whose requests are traced.
    """

    address: Address
    authorities: str | None = None
    server_name: str = "localhost"
    local_host: str = "0.0.0.0"
    trace_ratio: float = 0.0


@frozen
class LostFlowRecord:
    """A flow that was lost in use; its agent's incarnation is 0 if not known."""

    reason: str
    agent_incarnation: int


@define
class CallerCounts:
    """Counters of a caller; ``reattachments`` counts reopened streams."""

    flows_opened: int = 0
    lost_flows: list[LostFlowRecord] = field(factory=list)
    reattachments: int = 0
    retries: int = 0
    outcome_queries: int = 0


@define
class Caller:
    """A client of one service, which sends requests and follows streams.

    Every request has exactly one outcome: ``Answered``, ``RefusedNotRun`` or
    ``Unknown``. A non-idempotent request is sent again only after the outcome of the
    previous attempt was ``RefusedNotRun``: it did not run and will not run.

    Examples
    --------
    Send a request, then follow a stream::

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

        ``deadline`` is in seconds from now. ``key`` is the idempotency key; if it is
        empty, a random one is generated. ``idempotent`` defaults to whether the method
        is one of ``SAFE_METHODS``. Retries are limited by ``retry_budget``.
        """
        expiry = time.monotonic() + deadline
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
            outcome = await self._try_once(head, body, expiry, tried)
            if not self._may_retry(outcome, is_idempotent, expiry):
                return outcome
            if not self.retry_budget.spend():
                return outcome
            self.counts.retries += 1
            delay = getattr(outcome, "retry_after", 0.0) * random.uniform(0.05, 0.2)
            await asyncio.sleep(min(delay, max(0.0, expiry - time.monotonic())))

    async def stream(
        self, path: str, *, after_item: int = 0
    ) -> AsyncIterator[StreamItem]:
        """Yield the items of a stream until the iteration is ended.

        The stream starts after item number ``after_item``. When the flow is lost, the
        agent sends GOAWAY or the stream ends, the stream is reopened on another flow
        and resumes after the last item that was yielded. The new flow is opened
        before the previous one is closed.
        """
        last_number = after_item
        delay = REOPEN_DELAY
        flow: CallerFlow | None = None
        try:
            while True:
                try:
                    flow = await self._replace_flow(flow)
                    async for item in self._read_stream(flow, path, last_number):
                        if item.number <= last_number:
                            continue
                        last_number = item.number
                        delay = REOPEN_DELAY
                        yield item
                except FlowLost:
                    self._record_lost_flow(flow)
                self.counts.reattachments += 1
                await asyncio.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(MAX_REOPEN_DELAY, 2 * delay)
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
        record = LostFlowRecord(flow.lost_reason, flow.agent_incarnation)
        self.counts.lost_flows.append(record)

    # Requests

    def _may_retry(self, outcome: Outcome, idempotent: bool, expiry: Seconds) -> bool:
        if time.monotonic() >= expiry or isinstance(outcome, Answered):
            return False
        if isinstance(outcome, RefusedNotRun):
            return outcome.elsewhere
        return idempotent and outcome.reason is not Reason.DEADLINE_PASSED

    async def _try_once(
        self,
        head: RequestHead,
        body: bytes,
        expiry: Seconds,
        tried: list[CallerFlow],
    ) -> Outcome:
        first_sent_at = time.monotonic()
        try:
            flow = await self._pick_flow(tried, expiry)
        except FlowLost:
            return RefusedNotRun(Reason.NO_AGENT, elsewhere=True, retry_after=1.0)
        tried.append(flow)
        remaining = expiry - time.monotonic()
        if remaining <= 0.0:
            return RefusedNotRun(Reason.DEADLINE, elsewhere=False)
        try:
            return await self._exchange_traced(
                flow, evolve(head, deadline=remaining), body
            )
        except FlowLost:
            self._record_lost_flow(flow)
        except TimeoutError:
            pass
        # An agent ends after it has answered all requests that it received. This one
        # has no answer, so it was not received and did not run.
        if flow.lost_reason == AGENT_ENDED_REASON:
            return RefusedNotRun(Reason.DRAINING, elsewhere=True)
        if head.idempotent:
            return Unknown(Reason.FLOW_LOST)
        return await self._resolve_outcome(flow, head.key, first_sent_at)

    async def _exchange_traced(
        self, flow: CallerFlow, head: RequestHead, body: bytes
    ) -> Outcome:
        """Send a request within a span of its own trace, or else of the flow's."""
        ratio = self.options.trace_ratio
        flow_context = make_open_context(flow.original_connection_id, ratio)
        context = choose_context(head.traceparent, flow_context)
        tracer = trace.get_tracer("bilberrypath")
        with tracer.start_as_current_span("caller.request", context) as span:
            traced_head = evolve(head, traceparent=format_span_traceparent(span))
            return await self._exchange(flow, traced_head, body, head.deadline)

    async def _exchange(
        self, flow: CallerFlow, head: RequestHead, body: bytes, remaining: Seconds
    ) -> Outcome:
        stream_id, reply = flow.send_request(head, body)
        try:
            async with asyncio.timeout(remaining + ANSWER_GRACE):
                reply_body = await flow.read_body(reply)
        finally:
            flow.close_stream(stream_id)
        return decode_outcome(reply.headers, reply_body)

    async def _resolve_outcome(
        self, lost_flow: CallerFlow, key: str, first_sent_at: Seconds
    ) -> Outcome:
        """Query the agent of a lost flow for the outcome of a request.

        Retries for ``OUTCOME_QUERY_TIMEOUT``. Returns ``Unknown`` after that, and at
        once if the agent cannot be queried.
        """
        if (
            not lost_flow.agent_incarnation
            or lost_flow.lost_reason in UNANSWERABLE_REASONS
        ):
            return Unknown(Reason.FLOW_LOST)
        expiry = time.monotonic() + OUTCOME_QUERY_TIMEOUT
        while time.monotonic() < expiry:
            try:
                return await self._query_outcome(lost_flow, key, first_sent_at, expiry)
            except (FlowLost, TimeoutError):
                await asyncio.sleep(REOPEN_DELAY)
        return Unknown(Reason.FLOW_LOST)

    async def _query_outcome(
        self, lost_flow: CallerFlow, key: str, first_sent_at: Seconds, expiry: Seconds
    ) -> Outcome:
        self.counts.outcome_queries += 1
        flow = await self._open(lost_flow.token)
        try:
            remaining = max(0.1, expiry - time.monotonic())
            head = RequestHead(
                "GET",
                OUTCOME_PATH,
                key,
                remaining,
                incarnation=lost_flow.agent_incarnation,
                age=time.monotonic() - first_sent_at,
            )
            return await self._exchange(flow, head, b"", remaining)
        finally:
            flow.shutdown()

    # Flows

    async def _pick_flow(self, tried: list[CallerFlow], expiry: Seconds) -> CallerFlow:
        """Return an open flow that is not among ``tried``, or else a new one."""
        async with self._open_lock:
            self._drop_ended_flows()
            for flow in self._flows:
                if flow not in tried and not flow.has_received_goaway:
                    return flow
            flow = await self._open_with_retries(expiry)
            self._flows.insert(0, flow)
            self._trim_flows()
            return flow

    def _drop_ended_flows(self) -> None:
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

    async def _open_with_retries(self, expiry: Seconds) -> CallerFlow:
        for attempt in range(MAX_OPEN_ATTEMPTS):
            try:
                return await self._open()
            except FlowLost:
                if time.monotonic() >= expiry or attempt == MAX_OPEN_ATTEMPTS - 1:
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
        """Return the incarnation of a new flow's agent, which outcome queries name.

        Every answer carries it, even the one to an outcome query without a key.
        """
        head = RequestHead("GET", OUTCOME_PATH, "", INCARNATION_QUERY_TIMEOUT)
        try:
            await self._exchange(flow, head, b"", INCARNATION_QUERY_TIMEOUT)
        except TimeoutError as error:
            flow.shutdown()
            raise FlowLost("no_answer") from error
        return flow.agent_incarnation

    async def _replace_flow(self, previous: CallerFlow | None) -> CallerFlow:
        """Open a flow for a stream; close the previous one even if that fails."""
        try:
            return await self._open()
        finally:
            if previous is not None:
                previous.shutdown()

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
GOAWAY_POLL_PERIOD: Seconds = 0.25  # while a stream delivers no items
