"""The base of the datagram flow daemons: sockets, timers, log and bulk calls."""

from __future__ import annotations

import asyncio
import signal
from abc import ABC, abstractmethod
from contextlib import suppress
from typing import TYPE_CHECKING, Any, TypeVar

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination import flow_events as fev
from bilberrypath.dispatch import dispatchmethod
from bilberrypath.protocol.bulk import MemberTableReply
from bilberrypath.protocol.flow_messages import (
    ForwardedPacket,
    decode_flow_message,
    encode_flow_message,
    format_node_id,
    parse_address,
)
from bilberrypath.protocol.flow_packet import format_flow
from bilberrypath.state.route_delta import RouteTableReply
from bilberrypath.transport.bulk_calls import (
    BulkServer,
    CallFailed,
    FlowExplainReply,
    FlowExplainRequest,
    FlowStatusReply,
    FlowStatusRequest,
    MembersRequest,
    RoutesRequest,
    call_bulk,
)
from bilberrypath.transport.clock import read_clock
from bilberrypath.transport.datagrams import ConnectedDatagramSocket, DatagramSocket
from bilberrypath.transport.http_server import HttpRequest, HttpResponse, HttpServer
from bilberrypath.transport.json_log import JsonLog, describe_loop_error
from bilberrypath.transport.metrics import Metrics
from bilberrypath.transport.settings_reloader import SettingsReloader

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_balancer import FlowBalancer
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.flow_settings import FlowNodeSettings
    from bilberrypath.transport.bound_sockets import BoundSockets
    from bilberrypath.transport.bulk_calls import BulkReply, BulkRequest
    from bilberrypath.transport.stream_server import StreamServer
    from bilberrypath.types import Address, NodeId, Seconds

Socket = TypeVar("Socket", DatagramSocket, ConnectedDatagramSocket)
DRAIN_TIMEOUT: Seconds = 4.5  # a process is given 6 s to end


class FlowDaemon(ABC):
    """A daemon that owns the sockets of its process and performs its core's effects.

    ``core`` makes the decisions, without I/O. ``load_settings`` reads the settings file
    again. ``role`` is the process's role in log lines and error messages.
    """

    role = ""

    def __init__(
        self,
        settings: FlowNodeSettings,
        core: FlowBalancer | FlowAgent,
        load_settings: Callable[[], FlowNodeSettings],
        sockets: BoundSockets,
    ) -> None:
        self.sockets = sockets
        self.settings = settings
        self.core = core
        self._http_servers: list[tuple[HttpServer, Address]] = []
        self.metrics = Metrics()
        self.log = JsonLog(format_node_id(settings.peer_address), self.role)
        self._settings_reloader = SettingsReloader(
            settings, load_settings, self.set_seeds, self.write_log
        )
        self._tasks: set[asyncio.Task] = set()
        self._sockets_to_close: list[
            DatagramSocket | ConnectedDatagramSocket | StreamServer
        ] = []
        self._sockets_to_read: list[DatagramSocket] = []
        self._stopping = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: Seconds = 0.0
        self._bulk_server = BulkServer(self.handle_request)
        self._metrics_server = HttpServer(self._handle_metrics_request)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT; then announce the leave, drain and close.

        Draining takes at most :data:`DRAIN_TIMEOUT`.
        """
        try:
            await self._start()
            await self._stopping.wait()
            self.write_log("stopping")
            self.handle_event(ev.Leave())
            with suppress(TimeoutError):
                async with asyncio.timeout(DRAIN_TIMEOUT):
                    await self.wait_until_drained()
        finally:
            self._close()
        self.write_log("stopped")
        self.log.close()

    async def _start(self) -> None:
        peer = self.settings.peer_address
        bound_socket = self.sockets.take_datagram_socket(peer)
        self._peer_socket = self.read_when_started(
            DatagramSocket(bound_socket, self._handle_message)
        )
        await self._bulk_server.start_on(self.sockets.take_listener(peer))
        if self.settings.metrics_address is not None:
            await self._metrics_server.start(self.settings.metrics_address)
        await self.open_sockets()
        for server, address in self._http_servers:
            await server.start_on(self.sockets.take_listener(address))
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_exception)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._settings_reloader.reload)
        for opened in self._sockets_to_read:
            opened.start_reading()
        self.write_log("started", data_centre=self.settings.data_centre)
        self.start(self._tick_forever())
        self.start(self._settings_reloader.reload_forever())

    def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        servers = [server for server, _ in self._http_servers]
        for opened in [
            *self._sockets_to_close,
            *servers,
            self._bulk_server,
            self._metrics_server,
        ]:
            opened.close()
        self.sockets.close()

    @abstractmethod
    async def open_sockets(self) -> None:
        """Open the sockets that only this role has."""

    @abstractmethod
    async def wait_until_drained(self) -> None:
        """Wait until the process can end without loss of requests or packets."""

    @abstractmethod
    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seed addresses at run time."""

    def close_on_stop(self, opened: Socket) -> Socket:
        """Register a socket to be closed when the process stops, and return it."""
        self._sockets_to_close.append(opened)
        return opened

    def read_when_started(self, opened: DatagramSocket) -> DatagramSocket:
        """Register a socket to be read once all sockets are open, and return it."""
        self._sockets_to_read.append(opened)
        return self.close_on_stop(opened)

    def add_http_server(self, server: HttpServer, address: Address) -> None:
        """Register an HTTP server that is started and closed with this process."""
        self._http_servers.append((server, address))

    @property
    def is_stopping(self) -> bool:
        """Whether the process has received SIGTERM or SIGINT."""
        return self._stopping.is_set()

    def handle_event(self, event: ev.Event) -> None:
        """Pass an event to the core and perform the resulting effects."""
        now = read_clock()
        self.perform_all(self.core.handle(event, now), now)

    def perform_all(self, effects: list[FlowEffect], now: Seconds) -> None:
        """Perform effects, and set the timer for the core's next deadline."""
        for effect in effects:
            if type(effect) is fx.SendControl:
                self._peer_socket.send(encode_flow_message(effect.message), effect.to)
            else:
                self.perform(effect, now)
        self._set_timer(now)

    def start(self, coroutine: Coroutine) -> None:
        """Run a coroutine as a background task, cancelled when the process stops."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def write_log(self, event: str, **fields: object) -> None:
        """Write one log line, unless its event is above its rate limit."""
        self.log.write(event, read_clock(), **fields)

    def _handle_task_end(self, task: asyncio.Task) -> None:
        """Re-raise a task's exception, which the loop passes to ``_log_exception``."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()

    def record_internal_error(self, error: Exception) -> None:
        """Count and log an unexpected exception in a loop that goes on after it."""
        loop = asyncio.get_running_loop()
        self._log_exception(loop, {"message": "error in a loop", "exception": error})

    def _log_exception(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Count and log an unexpected exception; the process continues."""
        error = context.get("exception")
        self.metrics.count("internal_error", type(error).__name__)
        self.write_log("internal_error", **describe_loop_error(context))

    async def _tick_forever(self) -> None:
        while True:
            try:
                self.handle_event(ev.Tick())
            except Exception as error:
                self.record_internal_error(error)
            self.log.flush()
            await asyncio.sleep(ev.TICK_PERIOD)

    # Datagrams and deadlines

    def _handle_message(self, datagram: bytes, sender: Address) -> None:
        message = decode_flow_message(datagram)
        if message is None:
            self.metrics.count("control_dropped", "unreadable")
            return
        now = read_clock()
        if type(message) is ForwardedPacket:
            self.perform_all(self.handle_forwarded_packet(message, sender, now), now)
            return
        event = ev.ControlReceived(sender, message)
        self.perform_all(self.core.handle(event, now), now)

    def handle_forwarded_packet(
        self, forwarded: ForwardedPacket, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        """Return the effects of a forwarded packet; only an agent accepts one."""
        return [fx.Count("packet_dropped", "not_an_agent")]

    def _set_timer(self, now: Seconds) -> None:
        """Schedule :meth:`_run_due_timers` for the core's next deadline.

        The event loop's clock stops while the machine is suspended. The due time of
        the scheduled timer is therefore kept here, on the :func:`read_clock` scale.
        """
        wake_at = self.core.next_timer_at()
        if self._timer is not None:
            if wake_at is not None and self._timer_at <= wake_at:
                return
            self._timer.cancel()
            self._timer = None
        if wake_at is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, wake_at - now), self._run_due_timers)
            self._timer_at = wake_at

    def _run_due_timers(self) -> None:
        self._timer = None
        now = read_clock()
        self.perform_all(self.core.run_due_timers(now), now)

    # Effects

    @dispatchmethod
    def perform(self, effect: FlowEffect, now: Seconds) -> None:
        """Perform one effect."""
        raise TypeError(
            f"unsupported effect {type(effect).__name__}; add a handler to perform"
        )

    @perform.register(fx.Count)
    def _(self, effect: fx.Count, now: Seconds) -> None:
        self.metrics.count(effect.event, effect.reason)

    @perform.register(fx.LogStateChange)
    def _(self, effect: fx.LogStateChange, now: Seconds) -> None:
        self.log.write(effect.event, now, **effect.fields)

    @perform.register(ffx.LogDecision)
    def _(self, effect: ffx.LogDecision, now: Seconds) -> None:
        flow = format_flow(effect.flow)
        self.log.write(effect.event, now, flow=flow, **effect.fields)

    @perform.register(ffx.RecordDuration)
    def _(self, effect: ffx.RecordDuration, now: Seconds) -> None:
        self.metrics.observe(effect.name, effect.seconds)

    @perform.register(ffx.RoutesAdopted)
    def _(self, effect: ffx.RoutesAdopted, now: Seconds) -> None:
        self.metrics.count("routes", "adopted")

    @perform.register(ffx.SendToUpstream)
    def _(self, effect: ffx.SendToUpstream, now: Seconds) -> None:
        self.send_to_upstream(effect.datagram)

    @perform.register(ffx.SendToClient)
    def _(self, effect: ffx.SendToClient, now: Seconds) -> None:
        host = ".".join(map(str, effect.flow[:4]))
        self._peer_socket.send(effect.datagram, (host, self.settings.client_port))

    @perform.register(ffx.PullRoutes)
    def _(self, effect: ffx.PullRoutes, now: Seconds) -> None:
        self.start(self._pull_routes(effect))

    @perform.register(ffx.ProbeMachine)
    def _(self, effect: ffx.ProbeMachine, now: Seconds) -> None:
        self.probe_machine(effect.node_id)

    @perform.register(ffx.ProbeUpstream)
    def _(self, effect: ffx.ProbeUpstream, now: Seconds) -> None:
        self.probe_upstream()

    @perform.register(fx.PullTable)
    def _(self, effect: fx.PullTable, now: Seconds) -> None:
        self.start(self._pull_table(effect))

    def send_to_upstream(self, datagram: bytes) -> None:
        """Send a datagram to the local upstream; only an agent has one."""
        raise TypeError(f"a {self.role} has no upstream; only an agent sends to one")

    def probe_upstream(self) -> None:
        """Start to check whether the local upstream exists; only an agent has one."""
        raise TypeError(f"a {self.role} has no upstream; only an agent can probe one")

    def probe_machine(self, node_id: NodeId) -> None:
        """Start to check whether the machine of another process is reachable."""
        raise TypeError(f"a {self.role} cannot probe machines; only an agent can")

    async def _pull_routes(self, effect: ffx.PullRoutes) -> None:
        try:
            peer = parse_address(effect.peer)
            request = RoutesRequest(self.core.routes.base_digest)
            reply = await call_bulk(peer, request, RouteTableReply)
        except CallFailed as error:
            self.write_log("pull_failed", what="routes", error=str(error))
            self.handle_event(fev.RoutesPullFailed(effect.peer))
            return
        self.handle_event(fev.RoutesPulled(effect.peer, reply))

    async def _pull_table(self, effect: fx.PullTable) -> None:
        request = MembersRequest(effect.digests)
        try:
            reply = await call_bulk(effect.peer, request, MemberTableReply)
        except CallFailed as error:
            self.write_log("pull_failed", what="members", error=str(error))
            self.handle_event(ev.PullFailed(effect.peer))
            return
        self.handle_event(ev.TablePulled(effect.peer, reply.members))

    # Bulk calls

    @dispatchmethod
    def handle_request(self, request: BulkRequest) -> BulkReply:
        """Return the reply to a bulk call; raises :class:`CallFailed` if not served."""
        raise CallFailed(f"a {self.role} does not serve {type(request).__name__}")

    @handle_request.register(RoutesRequest)
    def _(self, request: RoutesRequest) -> RouteTableReply:
        return self.core.routes.make_reply(request.table_digest)

    @handle_request.register(MembersRequest)
    def _(self, request: MembersRequest) -> MemberTableReply:
        return self.list_members(request)

    @handle_request.register(FlowStatusRequest)
    def _(self, request: FlowStatusRequest) -> FlowStatusReply:
        return self.make_status(request.flow, read_clock())

    @handle_request.register(FlowExplainRequest)
    def _(self, request: FlowExplainRequest) -> FlowExplainReply:
        return self.explain(request, read_clock())

    @abstractmethod
    def explain(self, request: FlowExplainRequest, now: Seconds) -> FlowExplainReply:
        """Return what the process would do with a flow's open or next packet."""

    def list_members(self, request: MembersRequest) -> MemberTableReply:
        """Return the member records in the buckets whose digests differ."""
        raise CallFailed(f"a {self.role} has no member table; call a balancer")

    @abstractmethod
    def make_status(self, flow: bytes, now: Seconds) -> FlowStatusReply:
        """Return the status of the process, or of ``flow`` if that is not empty."""

    def _handle_metrics_request(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, self.metrics.render(), "text/plain; version=0.0.4")
