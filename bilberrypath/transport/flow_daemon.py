"""What the daemons of datagram flows share: sockets, clock, log, calls."""

from __future__ import annotations

import asyncio
import signal
import traceback
from abc import ABC, abstractmethod
from contextlib import suppress
from functools import singledispatchmethod
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

from attrs import evolve

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination import flow_events as fev
from bilberrypath.protocol.bulk import MemberTableReply
from bilberrypath.protocol.flow_messages import (
    ForwardedPacket,
    decode_flow_message,
    encode_flow_message,
    format_node_id,
    parse_address,
)
from bilberrypath.protocol.flow_packet import format_flow
from bilberrypath.settings_reader import SettingsError
from bilberrypath.state.route_delta import RouteTableReply
from bilberrypath.transport.bulk_calls import (
    BulkServer,
    CallFailed,
    FlowStatusReply,
    FlowStatusRequest,
    MembersRequest,
    RoutesRequest,
    call_bulk,
)
from bilberrypath.transport.clock import read_clock
from bilberrypath.transport.datagrams import ConnectedDatagramSocket, DatagramSocket
from bilberrypath.transport.http_server import HttpRequest, HttpResponse, HttpServer
from bilberrypath.transport.json_log import JsonLog
from bilberrypath.transport.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_balancer import FlowBalancer
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.flow_settings import FlowNodeSettings
    from bilberrypath.transport.bound_sockets import BoundSockets
    from bilberrypath.transport.bulk_calls import BulkRequest
    from bilberrypath.transport.stream_server import StreamServer
    from bilberrypath.types import Address, NodeId, Seconds

Socket = TypeVar("Socket", DatagramSocket, ConnectedDatagramSocket)
SETTINGS_RELOAD_PERIOD: Seconds = (
    2.0  # seeds are at most three seconds behind the fleet
)
DRAIN_TIMEOUT: Seconds = 4.5  # below the six seconds that a process is given to end


class FlowDaemon(ABC):
    """Own the sockets of one process and carry out its core's effects."""

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
        self._load_settings = load_settings
        self._http_servers: list[tuple[HttpServer, Address]] = []
        self.metrics = Metrics()
        self.log = JsonLog(format_node_id(settings.peer_address), self.role)
        self._tasks: set[asyncio.Task] = set()
        self._sockets_to_close: list[
            DatagramSocket | ConnectedDatagramSocket | StreamServer
        ] = []
        self._stopping = asyncio.Event()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: Seconds = 0.0
        self._bulk_server = BulkServer(self.handle_request)
        self._metrics_server = HttpServer(self._handle_metrics_request)

    async def run(self) -> None:
        """Serve until a signal asks to stop, then leave without harm."""
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
        datagrams = self.sockets.take_datagram_socket(peer)
        self._peer_socket = self.close_on_stop(
            DatagramSocket(datagrams, self._handle_message)
        )
        await self._bulk_server.start_on(self.sockets.take_listener(peer))
        if self.settings.metrics_address is not None:
            await self._metrics_server.start(self.settings.metrics_address)
        await self.open_sockets()
        for server, address in self._http_servers:
            await server.start_on(self.sockets.take_listener(address))
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._log_exception)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        self.write_log("started", data_centre=self.settings.data_centre)
        self.start(self._tick_forever())
        self.start(self._watch_settings())

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
        """Open the sockets that only this kind of process has."""

    @abstractmethod
    async def wait_until_drained(self) -> None:
        """Go on until ending harms nobody."""

    @abstractmethod
    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take over other seeds while running."""

    def close_on_stop(self, opened: Socket) -> Socket:
        """Return a socket, which is closed when the process ends."""
        self._sockets_to_close.append(opened)
        return opened

    def add_http_server(self, server: HttpServer, address: Address) -> None:
        """Have a server started with this process."""
        self._http_servers.append((server, address))

    @property
    def is_stopping(self) -> bool:
        """Whether the process was asked to end."""
        return self._stopping.is_set()

    def handle_event(self, event: ev.Event) -> None:
        """Give the core an event and do what it asks for."""
        now = read_clock()
        self.perform_all(self.core.handle(event, now), now)

    def perform_all(self, effects: list[FlowEffect], now: Seconds) -> None:
        """Carry out effects, and wake the core at its next deadline."""
        for effect in effects:
            if type(effect) is fx.SendControl:
                self._peer_socket.send(encode_flow_message(effect.message), effect.to)
            else:
                self.perform(effect, now)
        self._set_timer(now)

    def start(self, work: Coroutine) -> None:
        """Run work beside the rest, as long as the process lives."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def write_log(self, event: str, **fields: object) -> None:
        """Write a line to the log."""
        self.log.write(event, read_clock(), **fields)

    def _handle_task_end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()

    def _log_exception(
        self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Tell of an error that nothing expected; the process goes on."""
        error = context.get("exception")
        self.metrics.count("internal_error", type(error).__name__)
        frames = traceback.extract_tb(error.__traceback__) if error else []
        where = [f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames]
        self.write_log(
            "internal_error",
            message=context.get("message"),
            error=repr(error),
            where=where[-4:],
        )

    def _reload_settings(self) -> None:
        """Take over what may change while running, and tell of the rest."""
        try:
            settings = self._load_settings()
        except SettingsError as error:
            self.write_log("settings_refused", error=str(error))
            return
        if settings == self.settings:
            return
        self.set_seeds(settings.seeds)
        same = evolve(settings, seeds=self.settings.seeds) == self.settings
        self.settings = evolve(self.settings, seeds=settings.seeds)
        self.write_log("settings_changed", seeds=len(settings.seeds), restart=not same)

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_RELOAD_PERIOD)
            self._reload_settings()

    async def _tick_forever(self) -> None:
        while True:
            self.handle_event(ev.Tick())
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
        self, carry: ForwardedPacket, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        """Return what to do with a packet that another process handed here."""
        return [fx.Count("packet_dropped", "not_an_agent")]

    def _set_timer(self, now: Seconds) -> None:
        """Wake the core at its next deadline.

        The loop's own clock stands still in a suspended machine, so that the time
        of a timer is kept here.
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

    @singledispatchmethod
    def perform(self, effect: FlowEffect, now: Seconds) -> None:
        """Carry out one effect."""
        raise TypeError(f"no way to perform {type(effect).__name__}")

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
        client = ".".join(map(str, effect.flow[:4]))
        self._peer_socket.send(effect.datagram, (client, self.settings.client_port))

    @perform.register(ffx.PullRoutes)
    def _(self, effect: ffx.PullRoutes, now: Seconds) -> None:
        self.start(self._pull_routes(effect))

    @perform.register(ffx.ProbeMachine)
    def _(self, effect: ffx.ProbeMachine, now: Seconds) -> None:
        self.probe_machine(effect.node_id)

    @perform.register(fx.PullTable)
    def _(self, effect: fx.PullTable, now: Seconds) -> None:
        self.start(self._pull_table(effect))

    def send_to_upstream(self, datagram: bytes) -> None:
        """Send a datagram to the upstream beside this process."""
        raise TypeError(f"a {self.role} has no upstream beside it")

    def probe_machine(self, node_id: NodeId) -> None:
        """Find out whether the machine of another process is there."""
        raise TypeError(f"a {self.role} probes no machines")

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

    # Calls

    @singledispatchmethod
    def handle_request(
        self, request: BulkRequest
    ) -> RouteTableReply | MemberTableReply | FlowStatusReply:
        """Answer a call of another process."""
        raise CallFailed(f"{type(request).__name__} is not answered by a {self.role}")

    @handle_request.register(RoutesRequest)
    def _(self, request: RoutesRequest) -> RouteTableReply:
        return self.core.routes.make_reply(request.table_digest)

    @handle_request.register(MembersRequest)
    def _(self, request: MembersRequest) -> MemberTableReply:
        return self.list_members(request)

    @handle_request.register(FlowStatusRequest)
    def _(self, request: FlowStatusRequest) -> FlowStatusReply:
        return self.make_status(request.flow, read_clock())

    def list_members(self, request: MembersRequest) -> MemberTableReply:
        """Return the records that another balancer lacks."""
        raise CallFailed(f"a {self.role} keeps no table of members")

    @abstractmethod
    def make_status(self, flow: bytes, now: Seconds) -> FlowStatusReply:
        """Return how the process stands, or what it knows of one flow."""

    def _handle_metrics_request(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, self.metrics.render(), "text/plain; version=0.0.4")
