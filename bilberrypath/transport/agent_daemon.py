"""Run the agent process of one upstream: its flows, requests and membership."""

from __future__ import annotations

import asyncio
import signal
import time
from random import Random
from typing import TYPE_CHECKING

import structlog
from transitions import Machine

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.admission import Admission, BackoffReason
from bilberrypath.coordination.agent import (
    AgentCore,
    AgentSetup,
    CloseAllFlows,
    Deliver,
    OpenFlow,
)
from bilberrypath.dispatch import dispatchmethod
from bilberrypath.protocol import bulk
from bilberrypath.protocol.frame import (
    FrameSealer,
    ReturnFrame,
)
from bilberrypath.protocol.http import (
    AGENT_ENDED_REASON,
    AGENT_HEADER,
    DATA_CENTRE_OUT_REASON,
    OUTCOME_HEADER,
    OUTCOME_PATH,
    STREAM_MEDIA_TYPE,
    encode_outcome,
)
from bilberrypath.protocol.outcome import Outcome, Reason, RefusedNotRun, Unknown
from bilberrypath.protocol.token import TokenCodec
from bilberrypath.state.members import Role, Status, make_own_record
from bilberrypath.transport.clock import make_incarnation
from bilberrypath.transport.control_calls import ControlServer
from bilberrypath.transport.http3_flow import Http3Flow, RequestStream
from bilberrypath.transport.metrics import Metrics
from bilberrypath.transport.peer_socket import PeerSocket
from bilberrypath.transport.quic import TokenConnection, make_agent_configuration
from bilberrypath.transport.request_runner import Request, RequestRunner
from bilberrypath.transport.telemetry import MetricsServer
from bilberrypath.transport.tracing import (
    choose_context,
    format_span_traceparent,
    make_open_context,
    make_tracer,
)
from bilberrypath.transport.upstream_session import (
    UpstreamConnected,
    UpstreamDisconnected,
    UpstreamEvent,
    UpstreamSession,
    UpstreamStatus,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from opentelemetry.context import Context

    from bilberrypath.coordination.events import Event
    from bilberrypath.settings import AgentSettings
    from bilberrypath.types import Address, Seconds

ADMISSION_PERIOD: Seconds = 0.05  # between two ticks of ``admission``
MIN_PAUSE: Seconds = 0.5  # a longer time between these ticks counts as a pause
DRAIN_POLL_PERIOD: Seconds = 0.05
DRAIN_QUIET_PERIOD: Seconds = 1.0  # without requests, before a draining agent leaves
FLOW_CLOSE_DELAY: Seconds = 0.05  # lets refusals of queued requests be sent first
_log = structlog.get_logger("agent")


class AgentDaemon:
    """The daemon of one agent, with its sockets, flows and upstream session.

    ``core`` decides on packets and membership, ``admission`` on requests. The states
    of ``lifecycle`` are starting, serving, draining and stopped. ``_boot_id`` is that
    of the upstream, empty until its first status.
    """

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        node = settings.node
        self.metrics = Metrics()
        self._sealer = FrameSealer(node.keys.peer_key)
        self._codec = TokenCodec(node.keys.token_key_by_id, node.keys.active_token_key)
        own_member = make_own_record(
            node.peer_address,
            Role.AGENT,
            node.data_centre,
            settings.service,
            Status.SERVING,
            make_incarnation(),
        )
        setup = AgentSetup(
            own_member, node.seeds, settings.slots, settings.max_connections
        )
        self.core = AgentCore(setup, self._codec, Random())
        self.admission = Admission(
            settings.slots, settings.cold_limit, settings.warm_up
        )
        self._upstream = UpstreamSession(settings.upstream, self._handle_upstream_event)
        self.runner = RequestRunner(self.admission, self._upstream, self.metrics.count)
        self._configuration = make_agent_configuration(
            settings.certificate, settings.private_key
        )
        self._tracer = make_tracer(node.traces, "bilberrypath-agent")
        self._flow_by_id: dict[bytes, Http3Flow] = {}
        self._flows: set[Http3Flow] = set()
        self._buffered_bytes = 0
        self._stream_count = 0
        self._boot_id = ""
        self._is_upstream_draining = False
        self._tasks: set[asyncio.Task] = set()
        self._stopping = asyncio.Event()
        self._stop_forced = asyncio.Event()
        self._last_admission_tick = time.monotonic()
        self.lifecycle = Machine(
            states=["starting", "serving", "draining", "stopped"],
            transitions=[
                ["serve", "starting", "serving"],
                ["drain", ["starting", "serving"], "draining"],
                ["resume", "draining", "serving"],
                ["stop", "*", "stopped"],
            ],
            initial="starting",
            ignore_invalid_triggers=True,
            after_state_change=self._log_lifecycle,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and leave the cluster.

        Requests in progress are completed first; a second signal cuts them short.
        """
        node = self.settings.node
        self._peer_socket = PeerSocket(
            node.peer_address, self._sealer, self._handle, self.metrics.count
        )
        self._control_server = ControlServer(node.peer_address, self._sealer)
        self._control_server.register_handler(
            bulk.SHOW_STATUS, bulk.StatusRequest, self._handle_status_request
        )
        await self._control_server.start()
        metrics_server = self._serve_metrics()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._handle_signal)
        self._upstream.start()
        self._peer_socket.start_reading()
        self.lifecycle.serve()
        tick_tasks = [
            asyncio.create_task(self._tick_forever()),
            asyncio.create_task(self._tick_admission_forever()),
        ]
        await self._stopping.wait()
        await self._leave()
        for task in tick_tasks:
            task.cancel()
        await self._control_server.stop()
        await self._upstream.close()
        if metrics_server is not None:
            metrics_server.close()
        self.lifecycle.stop()

    def _log_lifecycle(self) -> None:
        node_id = self.core.registration.own_member.node_id
        _log.info("lifecycle", node=node_id, state=self.lifecycle.state)

    def _handle_signal(self) -> None:
        """Start to leave at the first signal, and end the wait at a second one."""
        if self._stopping.is_set():
            self._stop_forced.set()
        self._stopping.set()

    async def _leave(self) -> None:
        """Drain, wait until no request or stream is left, and close all flows.

        The wait ends after ``DRAIN_QUIET_PERIOD`` without work, or on a second signal.
        ``AGENT_ENDED_REASON`` informs callers that every request the agent received was
        answered and the answer acknowledged, so requests without one did not run.
        """
        self._drain()
        quiet_since = time.monotonic()
        while (
            time.monotonic() - quiet_since < DRAIN_QUIET_PERIOD
            and not self._stop_forced.is_set()
        ):
            if self._is_busy():
                quiet_since = time.monotonic()
            await asyncio.sleep(DRAIN_POLL_PERIOD)
        self._handle(ev.Leave())
        reason = "killed" if self._is_busy() else AGENT_ENDED_REASON
        for flow in list(self._flows):
            flow.close(reason)
        await asyncio.sleep(DRAIN_POLL_PERIOD)

    def _is_busy(self) -> bool:
        if self.runner.pending_count or self._tasks:
            return True
        return any(flow.is_busy for flow in self._flows)

    def _drain(self) -> None:
        if self.lifecycle.state == "draining":
            return
        self.lifecycle.drain()
        self._perform_all(self.core.drain(time.monotonic()))
        for flow in list(self._flows):
            flow.send_goaway()

    def _resume(self) -> None:
        if self._stopping.is_set():
            return
        self.lifecycle.resume()
        self._perform_all(self.core.resume(time.monotonic()))

    def _serve_metrics(self) -> MetricsServer | None:
        """Register the gauges; return the metrics server if one is configured."""
        register_gauge = self.metrics.register_gauge
        register_gauge("revision", lambda: self.core.registration.revision)
        register_gauge("flows", lambda: len(self._flows))
        register_gauge("streams", lambda: self._stream_count)
        register_gauge("running", lambda: self.admission.running_count)
        register_gauge("queue", lambda: self.admission.queue_length)
        register_gauge("limit", lambda: self.admission.limit)
        register_gauge("keys", lambda: len(self.runner.idempotency_table))
        address = self.settings.node.metrics_address
        if address is None:
            return None
        return MetricsServer(address, self.metrics, lambda: self.core.is_ready)

    def _handle_status_request(self, _request: bulk.StatusRequest) -> bulk.StatusReply:
        registration = self.core.registration
        fresh = registration.freshness.is_fresh(time.monotonic())
        return bulk.StatusReply(
            registration.own_member, registration.revision, "", fresh, (), ()
        )

    async def _tick_forever(self) -> None:
        while True:
            self._handle(ev.Tick())
            await asyncio.sleep(ev.TICK_PERIOD)

    async def _tick_admission_forever(self) -> None:
        while True:
            self._detect_own_pause()
            self.runner.apply_decisions(self.admission.tick(time.monotonic()))
            await asyncio.sleep(ADMISSION_PERIOD)

    def _detect_own_pause(self) -> None:
        """Reset the admission limit if this process was paused.

        Its measurements of the upstream from before the pause may no longer hold.
        """
        now = time.monotonic()
        if now - self._last_admission_tick > MIN_PAUSE:
            self.admission.back_off(BackoffReason.REPLACED, now)
        self._last_admission_tick = now

    # Upstream

    def _handle_upstream_event(self, event: UpstreamEvent) -> None:
        now = time.monotonic()
        if isinstance(event, UpstreamConnected):
            self.runner.apply_decisions(self.admission.set_unreachable(False, now))
        elif isinstance(event, UpstreamDisconnected):
            self.runner.apply_decisions(self.admission.set_unreachable(True, now))
        elif isinstance(event, UpstreamStatus):
            self._handle_upstream_status(event)

    def _handle_upstream_status(self, status: UpstreamStatus) -> None:
        if status.boot_id != self._boot_id:
            if self._boot_id:
                self.admission.back_off(BackoffReason.REPLACED, time.monotonic())
                _log.info("upstream_replaced", boot_id=status.boot_id)
            self._boot_id = status.boot_id
        if status.draining is None or status.draining is self._is_upstream_draining:
            return
        self._is_upstream_draining = status.draining
        if status.draining:
            self._drain()
        else:
            self._resume()

    # Datagrams

    def _handle(self, event: Event) -> None:
        now = time.monotonic()
        self.core.set_load(
            len(self._flows),
            self.admission.limit,
            self.admission.running_count,
            self.admission.may_accept_flows(now),
            self.admission.wants_trial(now),
        )
        self._perform_all(self.core.handle(event, now))

    def _perform_all(self, effects: list) -> None:
        for effect in effects:
            self._perform(effect)

    @dispatchmethod
    def _perform(self, effect: object) -> None:
        raise TypeError(
            f"unsupported effect {type(effect).__name__}; add a handler to _perform"
        )

    @_perform.register(Deliver)
    def _(self, effect: Deliver) -> None:
        flow = self._flow_by_id.get(effect.connection_id)
        if flow is not None:
            self._deliver_frame(flow, effect.frame)

    @_perform.register(OpenFlow)
    def _(self, effect: OpenFlow) -> None:
        connection = TokenConnection(
            configuration=self._configuration,
            original_destination_connection_id=effect.connection_id,
            issue=self.core.make_token,
            derive_reset_token=self._codec.derive_reset_token,
        )
        flow = Http3Flow(connection, self, effect.connection_id)
        flow.trace_context = self._trace_open(effect.connection_id)
        self._flows.add(flow)
        self.add_flow_id(flow, effect.connection_id)
        self.add_flow_id(flow, connection.host_cid)
        if self.lifecycle.state == "draining":
            flow.send_goaway()
        self._deliver_frame(flow, effect.frame)

    @_perform.register(CloseAllFlows)
    def _(self, effect: CloseAllFlows) -> None:
        _log.info("flows_given_up", flows=len(self._flows))
        self.runner.apply_decisions(
            self.admission.refuse_queued(Reason.DATA_CENTRE_OUT)
        )
        loop = asyncio.get_running_loop()
        loop.call_later(FLOW_CLOSE_DELAY, self._close_flows)

    @_perform.register(fx.SendFrame)
    def _(self, effect: fx.SendFrame) -> None:
        self._peer_socket.send_frame(effect)

    @_perform.register(fx.SendControl)
    def _(self, effect: fx.SendControl) -> None:
        self._peer_socket.send_control(effect)

    @_perform.register(fx.Count)
    def _(self, effect: fx.Count) -> None:
        self.metrics.count(effect.event, effect.reason)

    @_perform.register(fx.LogStateChange)
    def _(self, effect: fx.LogStateChange) -> None:
        _log.info(effect.event, **effect.fields)

    def _trace_open(self, connection_id: bytes) -> Context:
        """Record a span for an open, and return the flow's trace context."""
        ratio = self.settings.node.traces.sample_ratio
        context = make_open_context(connection_id, ratio)
        self._tracer.start_span("agent.open", context).end()
        return context

    def _close_flows(self) -> None:
        """Close all flows because the data centre is out of service.

        Runs after the queued requests have been refused.
        """
        for flow in list(self._flows):
            self.metrics.count("flow_given_up", "data_centre_out")
            flow.close(DATA_CENTRE_OUT_REASON)

    def _deliver_frame(self, flow: Http3Flow, frame: object) -> None:
        flow.balancer = (frame.balancer_host, frame.balancer_port)
        flow.service_port = frame.service_port
        caller = (frame.caller_host, frame.caller_port)
        flow.receive(frame.payload, caller, asyncio.get_running_loop().time())

    # FlowOwner, called by the flows

    def send_packet(self, flow: Http3Flow, payload: bytes, caller: Address) -> None:
        """Send a packet to the caller of a flow through a balancer that is alive."""
        now = time.monotonic()
        balancer = self.core.registration.choose_return_balancer(flow.balancer, now)
        frame = ReturnFrame(
            self.core.registration.revision,
            caller[0],
            caller[1],
            flow.service_port,
            self.core.load,
            payload,
        )
        self._peer_socket.send_frame(fx.SendFrame(balancer, frame))

    def add_flow_id(self, flow: Http3Flow, connection_id: bytes) -> None:
        """Deliver packets that carry a connection ID to a flow."""
        self._flow_by_id[connection_id] = flow
        self.core.flow_ids.add(connection_id)

    def remove_flow_id(self, connection_id: bytes) -> None:
        """Stop delivering packets that carry a connection ID."""
        self._flow_by_id.pop(connection_id, None)
        self.core.flow_ids.discard(connection_id)

    def remove_flow(self, flow: Http3Flow) -> None:
        """Remove a terminated flow and all its connection IDs."""
        self._flows.discard(flow)
        for connection_id in [
            flow.original_connection_id,
            *flow.connection.list_connection_ids(),
        ]:
            self.remove_flow_id(connection_id)

    def reserve_body(self, length: int) -> bool:
        """Reserve buffer space for request bodies; return whether there was room.

        ``length`` is in bytes; the limit for all bodies is ``settings.max_buffered``.
        """
        if self._buffered_bytes + length > self.settings.max_buffered:
            return False
        self._buffered_bytes += length
        return True

    def free_body(self, length: int) -> None:
        """Release ``length`` bytes of reserved buffer space."""
        self._buffered_bytes -= length

    def reject_bad_request(self, flow: Http3Flow, stream_id: int, reason: str) -> None:
        """Refuse a request whose headers are invalid; count it by ``reason``."""
        self.metrics.count("bad_request", reason)
        self._send_outcome(flow, stream_id, RefusedNotRun(Reason.BAD_REQUEST, False))

    def reject_large_body(self, flow: Http3Flow, stream_id: int) -> None:
        """Refuse a request whose body exceeds a size limit."""
        self._send_outcome(flow, stream_id, RefusedNotRun(Reason.TOO_LARGE, False))

    def start_request(self, flow: Http3Flow, stream: RequestStream) -> asyncio.Task:
        """Start a task that answers a completely received request."""
        if stream.head.path == OUTCOME_PATH:
            return self._start_task(self._answer_outcome_query(flow, stream))
        if stream.head.is_stream:
            return self._start_task(self._run_stream(flow, stream))
        return self._start_task(self._run_request(flow, stream))

    def _start_task(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_request(self, flow: Http3Flow, stream: RequestStream) -> None:
        head = stream.head
        if len(stream.body) > self.settings.max_body:
            self.reject_large_body(flow, stream.stream_id)
            flow.finish(stream.stream_id)
            return
        context = choose_context(head.traceparent, flow.trace_context)
        with self._tracer.start_as_current_span("agent.request", context) as span:
            deadline = stream.arrived_at + head.deadline
            body = bytes(stream.body)
            request = Request(head, body, deadline, format_span_traceparent(span))
            outcome = await self.runner.run(request)
            span.set_attribute("outcome", outcome.kind)
        self._send_outcome(flow, stream.stream_id, outcome)
        flow.finish(stream.stream_id)

    async def _answer_outcome_query(
        self, flow: Http3Flow, stream: RequestStream
    ) -> None:
        head = stream.head
        registration = self.core.registration
        own_incarnations = {
            registration.own_member.incarnation,
            *registration.former_incarnations,
        }
        if not head.key:
            outcome: Outcome = RefusedNotRun(Reason.BAD_REQUEST, False)
        elif head.incarnation not in own_incarnations:
            outcome = Unknown(Reason.OTHER_INCARNATION)
        else:
            deadline = stream.arrived_at + head.deadline
            outcome = await self.runner.query_outcome(head.key, head.age, deadline)
        self.metrics.count("asked", outcome.kind)
        self._send_outcome(flow, stream.stream_id, outcome)
        flow.finish(stream.stream_id)

    async def _run_stream(self, flow: Http3Flow, stream: RequestStream) -> None:
        stream_id = stream.stream_id
        if self.lifecycle.state == "draining":
            self._send_outcome(flow, stream_id, RefusedNotRun(Reason.DRAINING, True))
            flow.finish(stream_id)
            return
        self._stream_count += 1
        try:
            await self._send_items(flow, stream)
        finally:
            self._stream_count -= 1
            flow.finish(stream_id)

    async def _send_items(self, flow: Http3Flow, stream: RequestStream) -> None:
        """Send the upstream's items until they end or the caller is too slow.

        A failure before the first item is sent as an outcome.
        """
        stream_id = stream.stream_id
        has_sent_headers = False
        async for item in self._upstream.stream(stream.head, stream.head.traceparent):
            if not isinstance(item, bytes):
                if not has_sent_headers:
                    self._send_outcome(flow, stream_id, item)
                else:
                    flow.send_data(stream_id, b"", end=True)
                return
            if not has_sent_headers:
                self._send_stream_headers(flow, stream_id)
                has_sent_headers = True
            if flow.is_send_buffer_full(stream_id):
                self.metrics.count("stream_ended", "caller_too_slow")
                break
            flow.send_data(stream_id, item, end=False)
        if not has_sent_headers:
            self._send_stream_headers(flow, stream_id)
        flow.send_data(stream_id, b"", end=True)

    def _send_stream_headers(self, flow: Http3Flow, stream_id: int) -> None:
        headers = [
            (b":status", b"200"),
            (b"content-type", STREAM_MEDIA_TYPE),
            (OUTCOME_HEADER, b"answered"),
            (AGENT_HEADER, self._format_incarnation()),
        ]
        flow.send_headers(stream_id, headers, end=False)

    def _send_outcome(self, flow: Http3Flow, stream_id: int, outcome: Outcome) -> None:
        headers, body = encode_outcome(outcome, self._format_incarnation())
        flow.send_headers(stream_id, headers, end=not body)
        if body:
            flow.send_data(stream_id, body, end=True)

    def _format_incarnation(self) -> bytes:
        own_member = self.core.registration.own_member
        return f"{own_member.incarnation}".encode()
