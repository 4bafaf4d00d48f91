"""The agent process: flows, requests and presence beside one upstream."""

from __future__ import annotations

import asyncio
import signal
import time
from functools import singledispatchmethod
from random import Random
from typing import TYPE_CHECKING

import structlog
from transitions import Machine

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.admission import Admission, Sign
from bilberrypath.coordination.agent import (
    AgentCore,
    AgentSetup,
    Deliver,
    GiveUpFlows,
    OpenFlow,
)
from bilberrypath.protocol import bulk
from bilberrypath.protocol.frame import (
    FrameSeal,
    Return,
)
from bilberrypath.protocol.http import (
    AGENT,
    AGENT_ENDED,
    DATA_CENTRE_OUT,
    OUTCOME,
    OUTCOME_PATH,
    STREAM_TYPE,
    write_outcome,
)
from bilberrypath.protocol.outcome import Outcome, Reason, RefusedNotRun, Unknown
from bilberrypath.protocol.token import TokenCodec
from bilberrypath.state.members import Role, Status, make_own_record
from bilberrypath.transport.clock import make_incarnation
from bilberrypath.transport.control_calls import ControlServer
from bilberrypath.transport.http3_flow import Flow, RequestStream
from bilberrypath.transport.metrics import Metrics
from bilberrypath.transport.peer_socket import PeerSocket
from bilberrypath.transport.quic import TokenConnection, make_agent_configuration
from bilberrypath.transport.request_runner import Request, RequestRunner
from bilberrypath.transport.telemetry import MetricsServer
from bilberrypath.transport.tracing import (
    choose_context,
    make_open_context,
    make_tracer,
    write_span,
)
from bilberrypath.transport.upstream_session import (
    Lost,
    Reached,
    Said,
    UpstreamNews,
    UpstreamSession,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from opentelemetry.context import Context

    from bilberrypath.coordination.events import Event
    from bilberrypath.settings import AgentSettings
    from bilberrypath.types import Address, Seconds

ADMISSION_PERIOD: Seconds = 0.05
PAUSE_LIMIT: Seconds = 0.5
DRAIN_POLL: Seconds = 0.05
LINGER: Seconds = 1.0
GIVE_UP_PAUSE: Seconds = 0.05
_log = structlog.get_logger("agent")


class AgentDaemon:
    """Own the sockets and flows of one agent, and its upstream session."""

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        node = settings.node
        self.metrics = Metrics()
        self._seal = FrameSeal(node.keys.peer_key)
        self._codec = TokenCodec(node.keys.token_key_by_id, node.keys.active_token_key)
        me = make_own_record(
            node.peer_address,
            Role.AGENT,
            node.data_centre,
            settings.service,
            Status.SERVING,
            make_incarnation(),
        )
        setup = AgentSetup(me, node.seeds, settings.slots, settings.max_connections)
        self.core = AgentCore(setup, self._codec, Random())
        self.admission = Admission(
            settings.slots, settings.cold_limit, settings.warm_up
        )
        self._upstream = UpstreamSession(settings.upstream, self._take_news)
        self.runner = RequestRunner(self.admission, self._upstream, self.metrics.count)
        self._configuration = make_agent_configuration(
            settings.certificate, settings.private_key
        )
        self._tracer = make_tracer(node.traces, "bilberrypath-agent")
        self._flow_by_id: dict[bytes, Flow] = {}
        self._flows: set[Flow] = set()
        self._buffered = 0
        self._stream_count = 0
        self._boot_id = ""
        self._upstream_draining = False
        self._tasks: set[asyncio.Task] = set()
        self._stopping = asyncio.Event()
        self._killed = asyncio.Event()
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
            after_state_change=self._log_state,
        )

    async def run(self) -> None:
        """Serve until a signal asks to stop, then leave without cutting requests."""
        node = self.settings.node
        self._peer_socket = PeerSocket(
            node.peer_address, self._seal, self._handle, self.metrics.count
        )
        self._control = ControlServer(node.peer_address, self._seal)
        self._control.answer(bulk.SHOW_STATUS, bulk.StatusRequest, self._give_status)
        await self._control.start()
        server = self._serve_metrics()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take_signal)
        self._upstream.start()
        self.lifecycle.serve()
        ticking = [
            asyncio.create_task(self._tick_forever()),
            asyncio.create_task(self._tick_admission_forever()),
        ]
        await self._stopping.wait()
        await self._leave()
        for task in ticking:
            task.cancel()
        await self._control.stop()
        await self._upstream.close()
        if server is not None:
            server.close()
        self.lifecycle.stop()

    def _log_state(self) -> None:
        node_id = self.core.presence.me.node_id
        _log.info("lifecycle", node=node_id, state=self.lifecycle.state)

    def _take_signal(self) -> None:
        if self._stopping.is_set():
            self._killed.set()
        self._stopping.set()

    async def _leave(self) -> None:
        """Take no new work, and wait until no request or stream is left."""
        self._drain()
        quiet_since = time.monotonic()
        while time.monotonic() - quiet_since < LINGER and not self._killed.is_set():
            if self._is_busy():
                quiet_since = time.monotonic()
            await asyncio.sleep(DRAIN_POLL)
        self._handle(ev.Leave())
        reason = "killed" if self._is_busy() else AGENT_ENDED
        for flow in list(self._flows):
            flow.close(reason)
        await asyncio.sleep(DRAIN_POLL)

    def _is_busy(self) -> bool:
        if self.runner.open_count or self._tasks:
            return True
        return any(flow.is_busy for flow in self._flows)

    def _drain(self) -> None:
        if self.lifecycle.state == "draining":
            return
        self.lifecycle.drain()
        self._carry_out(self.core.drain(time.monotonic()))
        for flow in list(self._flows):
            flow.say_goaway()

    def _resume(self) -> None:
        if self._stopping.is_set():
            return
        self.lifecycle.resume()
        self._carry_out(self.core.resume(time.monotonic()))

    def _serve_metrics(self) -> MetricsServer | None:
        show = self.metrics.show
        show("revision", lambda: self.core.presence.revision)
        show("flows", lambda: len(self._flows))
        show("streams", lambda: self._stream_count)
        show("running", lambda: self.admission.running_count)
        show("queue", lambda: self.admission.queue_length)
        show("limit", lambda: self.admission.limit)
        show("keys", lambda: len(self.runner.book))
        address = self.settings.node.metrics_address
        if address is None:
            return None
        return MetricsServer(address, self.metrics, lambda: self.core.is_ready)

    def _give_status(self, _request: bulk.StatusRequest) -> bulk.StatusReply:
        presence = self.core.presence
        fresh = presence.freshness.is_fresh(time.monotonic())
        return bulk.StatusReply(presence.me, presence.revision, "", fresh, (), ())

    async def _tick_forever(self) -> None:
        while True:
            self._handle(ev.Tick())
            await asyncio.sleep(ev.TICK_PERIOD)

    async def _tick_admission_forever(self) -> None:
        while True:
            self._notice_own_pause()
            self.runner.decide(self.admission.tick(time.monotonic()))
            await asyncio.sleep(ADMISSION_PERIOD)

    def _notice_own_pause(self) -> None:
        """Trust nothing learnt of the upstream before this process was frozen."""
        now = time.monotonic()
        if now - self._last_admission_tick > PAUSE_LIMIT:
            self.admission.fall(Sign.REPLACED, now)
        self._last_admission_tick = now

    # Upstream

    def _take_news(self, news: UpstreamNews) -> None:
        now = time.monotonic()
        if isinstance(news, Reached):
            self.runner.decide(self.admission.set_away(False, now))
        elif isinstance(news, Lost):
            self.runner.decide(self.admission.set_away(True, now))
        elif isinstance(news, Said):
            self._take_said(news)

    def _take_said(self, said: Said) -> None:
        if said.boot_id != self._boot_id:
            if self._boot_id:
                self.admission.fall(Sign.REPLACED, time.monotonic())
                _log.info("upstream_replaced", boot_id=said.boot_id)
            self._boot_id = said.boot_id
        if said.draining and not self._upstream_draining:
            self._upstream_draining = True
            self._drain()
        elif self._upstream_draining and not said.draining:
            self._upstream_draining = False
            self._resume()

    # Datagrams

    def _handle(self, event: Event) -> None:
        now = time.monotonic()
        self.core.set_load(
            len(self._flows),
            self.admission.limit,
            self.admission.running_count,
            self.admission.takes_flows(now),
            self.admission.wants_trial(now),
        )
        self._carry_out(self.core.handle(event, now))

    def _carry_out(self, effects: list) -> None:
        for effect in effects:
            self._perform(effect)

    @singledispatchmethod
    def _perform(self, effect: object) -> None:
        raise TypeError(f"no way to perform {type(effect).__name__}")

    @_perform.register(Deliver)
    def _(self, effect: Deliver) -> None:
        flow = self._flow_by_id.get(effect.connection_id)
        if flow is not None:
            self._feed(flow, effect.frame)

    @_perform.register(OpenFlow)
    def _(self, effect: OpenFlow) -> None:
        connection = TokenConnection(
            configuration=self._configuration,
            original_destination_connection_id=effect.connection_id,
            issue=self.core.make_token,
            derive_reset_token=self._codec.derive_reset_token,
        )
        flow = Flow(connection, self, effect.connection_id)
        flow.trace_context = self._trace_open(effect.connection_id)
        self._flows.add(flow)
        self.add_flow_id(flow, effect.connection_id)
        self.add_flow_id(flow, connection.host_cid)
        if self.lifecycle.state == "draining":
            flow.say_goaway()
        self._feed(flow, effect.frame)

    @_perform.register(GiveUpFlows)
    def _(self, effect: GiveUpFlows) -> None:
        _log.info("flows_given_up", flows=len(self._flows))
        self.runner.decide(self.admission.refuse_waiting(Reason.DATA_CENTRE_OUT))
        loop = asyncio.get_running_loop()
        loop.call_later(GIVE_UP_PAUSE, self._close_flows)

    @_perform.register(fx.SendFrame)
    def _(self, effect: fx.SendFrame) -> None:
        self._peer_socket.send_frame(effect)

    @_perform.register(fx.SendControl)
    def _(self, effect: fx.SendControl) -> None:
        self._peer_socket.send_control(effect)

    @_perform.register(fx.Count)
    def _(self, effect: fx.Count) -> None:
        self.metrics.count(effect.event, effect.reason)

    @_perform.register(fx.Changed)
    def _(self, effect: fx.Changed) -> None:
        _log.info(effect.event, **effect.fields)

    def _trace_open(self, connection_id: bytes) -> Context:
        ratio = self.settings.node.traces.sample_ratio
        context = make_open_context(connection_id, ratio)
        self._tracer.start_span("agent.open", context).end()
        return context

    def _close_flows(self) -> None:
        """End all flows, once what waited has been refused."""
        for flow in list(self._flows):
            self.metrics.count("flow_given_up", "data_centre_out")
            flow.close(DATA_CENTRE_OUT)

    def _feed(self, flow: Flow, frame: object) -> None:
        flow.balancer = (frame.balancer_host, frame.balancer_port)
        flow.service_port = frame.service_port
        caller = (frame.caller_host, frame.caller_port)
        flow.receive(frame.payload, caller, asyncio.get_running_loop().time())

    # What flows ask of their owner

    def send_packet(self, flow: Flow, payload: bytes, caller: Address) -> None:
        """Send a packet to the caller of a flow through a live balancer."""
        now = time.monotonic()
        balancer = self.core.presence.choose_way_back(flow.balancer, now)
        frame = Return(
            self.core.presence.revision,
            caller[0],
            caller[1],
            flow.service_port,
            self.core.load,
            payload,
        )
        self._peer_socket.send_frame(fx.SendFrame(balancer, frame))

    def add_flow_id(self, flow: Flow, connection_id: bytes) -> None:
        """Have packets with an id delivered to a flow."""
        self._flow_by_id[connection_id] = flow
        self.core.flow_ids.add(connection_id)

    def remove_flow_id(self, connection_id: bytes) -> None:
        """Stop delivering packets with an id."""
        self._flow_by_id.pop(connection_id, None)
        self.core.flow_ids.discard(connection_id)

    def note_terminated(self, flow: Flow) -> None:
        """Forget a flow that is over."""
        self._flows.discard(flow)
        for connection_id in [flow.first_id, *flow.connection.list_ids()]:
            self.remove_flow_id(connection_id)

    def reserve_body(self, length: int) -> bool:
        """Return whether that many more bytes of bodies can be held."""
        if self._buffered + length > self.settings.max_buffered:
            return False
        self._buffered += length
        return True

    def free_body(self, length: int) -> None:
        """Give back what was reserved."""
        self._buffered -= length

    def refuse_bad(self, flow: Flow, stream_id: int, what: str) -> None:
        """Answer headers that can't be a request."""
        self.metrics.count("bad_request", what)
        self._answer(flow, stream_id, RefusedNotRun(Reason.BAD_REQUEST, False))

    def refuse_large(self, flow: Flow, stream_id: int) -> None:
        """Answer a body that can't be held."""
        self._answer(flow, stream_id, RefusedNotRun(Reason.TOO_LARGE, False))

    def start_request(self, flow: Flow, stream: RequestStream) -> asyncio.Task:
        """Run a request that has arrived whole."""
        if stream.head.path == OUTCOME_PATH:
            return self._start(self._answer_ask(flow, stream))
        if stream.head.is_stream:
            return self._start(self._run_stream(flow, stream))
        return self._start(self._run_request(flow, stream))

    def _start(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_request(self, flow: Flow, stream: RequestStream) -> None:
        head = stream.head
        if len(stream.body) > self.settings.max_body:
            self.refuse_large(flow, stream.stream_id)
            flow.finish(stream.stream_id)
            return
        context = choose_context(head.traceparent, flow.trace_context)
        with self._tracer.start_as_current_span("agent.request", context) as span:
            deadline = stream.arrived_at + head.deadline
            body = bytes(stream.body)
            request = Request(head, body, deadline, write_span(span))
            outcome = await self.runner.run(request)
            span.set_attribute("outcome", outcome.kind)
        self._answer(flow, stream.stream_id, outcome)
        flow.finish(stream.stream_id)

    async def _answer_ask(self, flow: Flow, stream: RequestStream) -> None:
        head = stream.head
        presence = self.core.presence
        mine = {presence.me.incarnation, *presence.former_incarnations}
        if not head.key:
            outcome: Outcome = RefusedNotRun(Reason.BAD_REQUEST, False)
        elif head.incarnation not in mine:
            outcome = Unknown(Reason.OTHER_INCARNATION)
        else:
            deadline = stream.arrived_at + head.deadline
            outcome = await self.runner.ask(head.key, head.age, deadline)
        self.metrics.count("asked", outcome.kind)
        self._answer(flow, stream.stream_id, outcome)
        flow.finish(stream.stream_id)

    async def _run_stream(self, flow: Flow, stream: RequestStream) -> None:
        stream_id = stream.stream_id
        if self.lifecycle.state == "draining":
            self._answer(flow, stream_id, RefusedNotRun(Reason.DRAINING, True))
            flow.finish(stream_id)
            return
        self._stream_count += 1
        try:
            await self._pass_items(flow, stream)
        finally:
            self._stream_count -= 1
            flow.finish(stream_id)

    async def _pass_items(self, flow: Flow, stream: RequestStream) -> None:
        stream_id = stream.stream_id
        started = False
        async for item in self._upstream.stream(stream.head, stream.head.traceparent):
            if not isinstance(item, bytes):
                if not started:
                    self._answer(flow, stream_id, item)
                else:
                    flow.send_data(stream_id, b"", end=True)
                return
            if not started:
                self._begin_stream(flow, stream_id)
                started = True
            if flow.is_clogged(stream_id):
                self.metrics.count("stream_ended", "caller_too_slow")
                break
            flow.send_data(stream_id, item, end=False)
        if not started:
            self._begin_stream(flow, stream_id)
        flow.send_data(stream_id, b"", end=True)

    def _begin_stream(self, flow: Flow, stream_id: int) -> None:
        headers = [
            (b":status", b"200"),
            (b"content-type", STREAM_TYPE),
            (OUTCOME, b"answered"),
            (AGENT, self._name_agent()),
        ]
        flow.send_headers(stream_id, headers, end=False)

    def _answer(self, flow: Flow, stream_id: int, outcome: Outcome) -> None:
        headers, body = write_outcome(outcome, self._name_agent())
        flow.send_headers(stream_id, headers, end=not body)
        if body:
            flow.send_data(stream_id, body, end=True)

    def _name_agent(self) -> bytes:
        me = self.core.presence.me
        return f"{me.incarnation}".encode()
