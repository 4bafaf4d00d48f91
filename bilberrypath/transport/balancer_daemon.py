"""Run the balancer process: I/O and timers around :class:`BalancerCore`."""

from __future__ import annotations

import asyncio
import signal
import time
from random import Random
from typing import TYPE_CHECKING

import structlog

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.balancer import BalancerCore, BalancerSetup
from bilberrypath.coordination.release_store import ReleaseStore, StoreUnavailable
from bilberrypath.dispatch import dispatchmethod
from bilberrypath.protocol import bulk
from bilberrypath.protocol.frame import FrameSealer
from bilberrypath.protocol.quic_header import (
    PacketHeader,
    PacketKind,
    parse_quic_header,
)
from bilberrypath.protocol.token import TokenCodec
from bilberrypath.state.members import Role, Status, make_own_record
from bilberrypath.transport.clock import make_incarnation
from bilberrypath.transport.control_calls import (
    CallFailed,
    ControlServer,
    call_control,
    decode_release,
    encode_release,
)
from bilberrypath.transport.datagrams import DatagramSocket
from bilberrypath.transport.etcd import EtcdKeyValue
from bilberrypath.transport.metrics import Metrics
from bilberrypath.transport.peer_socket import PeerSocket
from bilberrypath.transport.telemetry import MetricsServer
from bilberrypath.transport.tracing import make_open_context, make_tracer

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from bilberrypath.coordination.effects import Effect
    from bilberrypath.coordination.events import Event
    from bilberrypath.settings import BalancerSettings
    from bilberrypath.state.release import Release
    from bilberrypath.types import Address, Seconds

DRAIN_QUIET_PERIOD: Seconds = 1.0  # without packets, before a leaving balancer ends
DRAIN_TIMEOUT: Seconds = 10.0  # the longest time that a leaving balancer forwards
MAX_CACHED_HEADS = 65536  # sealed frame heads, one per caller and service port
_log = structlog.get_logger("balancer")


class BalancerDaemon:
    """The daemon of one balancer: it owns the sockets and performs the core's effects.

    ``_key_value`` and ``_store`` are None if no release store is configured.
    ``_sealed_head_by_caller`` caches frame heads by service port and caller.
    """

    def __init__(self, settings: BalancerSettings) -> None:
        self.settings = settings
        node = settings.node
        self.metrics = Metrics()
        self._sealer = FrameSealer(node.keys.peer_key)
        codec = TokenCodec(node.keys.token_key_by_id, node.keys.active_token_key)
        own_member = make_own_record(
            node.peer_address,
            Role.BALANCER,
            node.data_centre,
            "",
            Status.SERVING,
            make_incarnation(),
        )
        setup = BalancerSetup(own_member, node.seeds, node.store.address is not None)
        self.core = BalancerCore(setup, codec, Random(), time.monotonic())
        self._key_value = (
            EtcdKeyValue(node.store.address) if node.store.address else None
        )
        self._store = (
            ReleaseStore(self._key_value, node.store.prefix)
            if self._key_value
            else None
        )
        self._tracer = make_tracer(node.traces, "bilberrypath-balancer")
        self._is_tracing_enabled = bool(node.traces.collector)
        self._service_socket_by_port: dict[int, DatagramSocket] = {}
        self._sealed_head_by_caller: dict[tuple[int, Address], bytes] = {}
        self._tasks: set[asyncio.Task] = set()
        self._stopping = asyncio.Event()
        self._stop_forced = asyncio.Event()
        self._last_packet_at = 0.0

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave the cluster.

        Packets are forwarded until callers have moved to other balancers; a second
        signal ends this at once.
        """
        node = self.settings.node
        self._peer_socket = PeerSocket(
            node.peer_address, self._sealer, self._handle, self.metrics.count
        )
        self._control_server = ControlServer(node.peer_address, self._sealer)
        self._register_handlers()
        await self._control_server.start()
        metrics_server = self._serve_metrics()
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._handle_signal)
        self._peer_socket.start_reading()
        _log.info("started", node=self.core.members.own_member.node_id)
        tick_task = asyncio.create_task(self._tick_forever())
        await self._stopping.wait()
        await self._leave()
        tick_task.cancel()
        await self._control_server.stop()
        if metrics_server is not None:
            metrics_server.close()
        _log.info("stopped", node=self.core.members.own_member.node_id)

    def _handle_signal(self) -> None:
        """Start to leave at the first signal, and end the wait at a second one."""
        if self._stopping.is_set():
            self._stop_forced.set()
        self._stopping.set()

    async def _leave(self) -> None:
        """Announce the departure and forward packets until no more arrive.

        Stops after ``DRAIN_QUIET_PERIOD`` without packets from callers, which have
        then moved to other balancers, after ``DRAIN_TIMEOUT`` at the latest, or on a
        second signal.
        """
        self._handle(ev.Leave())
        deadline = time.monotonic() + DRAIN_TIMEOUT
        self._last_packet_at = time.monotonic()
        while time.monotonic() < deadline and not self._stop_forced.is_set():
            if time.monotonic() - self._last_packet_at > DRAIN_QUIET_PERIOD:
                return
            await asyncio.sleep(0.05)

    def _serve_metrics(self) -> MetricsServer | None:
        """Register the gauges; return the metrics server if one is configured."""
        core = self.core
        self.metrics.register_gauge("revision", lambda: core.releases.revision)
        self.metrics.register_gauge("members", lambda: len(core.members.table))
        self.metrics.register_gauge(
            "fresh", lambda: core.freshness.is_fresh(time.monotonic())
        )
        self.metrics.register_gauge("rumours", lambda: len(core.members.gossip_queue))
        address = self.settings.node.metrics_address
        if address is None:
            return None
        return MetricsServer(address, self.metrics, lambda: core.is_ready)

    async def _tick_forever(self) -> None:
        while True:
            self._handle(ev.Tick())
            await asyncio.sleep(ev.TICK_PERIOD)

    # Datagrams

    def _handle_packet(self, service_port: int, data: bytes, caller: Address) -> None:
        now = time.monotonic()
        self._last_packet_at = now
        agent = self.core.find_cached_agent(service_port, data, now) if data else None
        if agent is not None:
            head = self._get_sealed_head(service_port, caller)
            self._peer_socket.send_sealed(head + data, agent)
            return
        for effect in self.core.route_packet(service_port, caller, data, now):
            if isinstance(effect, fx.SendFrame) and self._is_tracing_enabled:
                self._trace_open(data, effect.to)
            self._perform(effect)

    def _trace_open(self, data: bytes, agent: Address) -> None:
        """Record a span for an open that is forwarded to an agent."""
        header = parse_quic_header(data)
        if not isinstance(header, PacketHeader) or header.kind is PacketKind.SHORT:
            return
        ratio = self.settings.node.traces.sample_ratio
        context = make_open_context(header.connection_id, ratio)
        span = self._tracer.start_span("balancer.open", context)
        span.set_attribute("agent", f"{agent[0]}:{agent[1]}")
        span.end()

    def _get_sealed_head(self, service_port: int, caller: Address) -> bytes:
        """Return the sealed head of the frames that carry a caller's packets.

        All packets of a caller to a service share one head, which is cached until
        the revision in it changes.
        """
        key = (service_port, caller)
        head = self._sealed_head_by_caller.get(key)
        if head is None:
            if len(self._sealed_head_by_caller) >= MAX_CACHED_HEADS:
                self._sealed_head_by_caller.clear()
            frame = self.core.make_frame(service_port, caller, b"", ())
            head = self._sealed_head_by_caller[key] = self._sealer.seal_head(frame)
        return head

    # Effects

    def _handle(self, event: Event) -> None:
        for effect in self.core.handle(event, time.monotonic()):
            self._perform(effect)

    @dispatchmethod
    def _perform(self, effect: Effect) -> None:
        raise TypeError(
            f"unsupported effect {type(effect).__name__}; add a handler to _perform"
        )

    @_perform.register(fx.SendFrame)
    def _(self, effect: fx.SendFrame) -> None:
        self._peer_socket.send_frame(effect)

    @_perform.register(fx.SendControl)
    def _(self, effect: fx.SendControl) -> None:
        self._peer_socket.send_control(effect)

    @_perform.register(fx.SendToCaller)
    def _(self, effect: fx.SendToCaller) -> None:
        service_socket = self._service_socket_by_port.get(effect.service_port)
        if service_socket is None:
            self.metrics.count("return_dropped", "unknown_service")
            return
        service_socket.send(effect.payload, effect.caller)

    @_perform.register(fx.Count)
    def _(self, effect: fx.Count) -> None:
        self.metrics.count(effect.event, effect.reason)

    @_perform.register(fx.LogStateChange)
    def _(self, effect: fx.LogStateChange) -> None:
        _log.info(effect.event, **effect.fields)

    @_perform.register(fx.ReleaseAdopted)
    def _(self, effect: fx.ReleaseAdopted) -> None:
        self._sealed_head_by_caller.clear()
        self._open_service_sockets(effect.release)

    @_perform.register(fx.PullRelease)
    def _(self, effect: fx.PullRelease) -> None:
        self._start_task(self._pull_release(effect))

    @_perform.register(fx.PullTable)
    def _(self, effect: fx.PullTable) -> None:
        self._start_task(self._pull_table(effect))

    @_perform.register(fx.ReadStore)
    def _(self, effect: fx.ReadStore) -> None:
        self._start_task(self._read_store())

    @_perform.register(fx.RestoreStore)
    def _(self, effect: fx.RestoreStore) -> None:
        self._start_task(self._restore_store(effect))

    def _start_task(self, coroutine: Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _open_service_sockets(self, release: Release) -> None:
        """Open a socket for each new service port; close those no longer used."""
        wanted_ports = {service.port for service in release.list_services()}
        for port in self._service_socket_by_port.keys() - wanted_ports:
            self._service_socket_by_port.pop(port).close()
        for port in wanted_ports - self._service_socket_by_port.keys():
            self._open_service_socket(port)

    def _open_service_socket(self, port: int) -> None:
        def handle_datagram(data: bytes, caller: Address) -> None:
            self._handle_packet(port, data, caller)

        address = (self.settings.listen_host, port)
        try:
            service_socket = DatagramSocket(address, handle_datagram)
        except OSError as error:
            _log.error("service_socket_failed", port=port, error=str(error))
            self.metrics.count("service_socket", "failed")
            return
        self._service_socket_by_port[port] = service_socket
        service_socket.start_reading()

    # Control calls

    def _register_handlers(self) -> None:
        register_handler = self._control_server.register_handler
        register_handler(
            bulk.PULL_RELEASE, bulk.ReleaseRequest, self._handle_release_request
        )
        register_handler(
            bulk.PULL_TABLE, bulk.MemberTableRequest, self._handle_table_request
        )
        register_handler(
            bulk.SHOW_STATUS, bulk.StatusRequest, self._handle_status_request
        )

    def _handle_release_request(
        self, request: bulk.ReleaseRequest
    ) -> bulk.ReleaseReply:
        deltas = self.core.releases.list_deltas_after(request.known_revision)
        if deltas is not None:
            return bulk.ReleaseReply(deltas, None)
        return bulk.ReleaseReply((), encode_release(self.core.releases.release))

    def _handle_table_request(
        self, request: bulk.MemberTableRequest
    ) -> bulk.MemberTableReply:
        members = self.core.members.table.list_differing_members(request.digests)
        return bulk.MemberTableReply(tuple(members))

    def _handle_status_request(self, _request: bulk.StatusRequest) -> bulk.StatusReply:
        now = time.monotonic()
        members = self.core.members
        reported_agents = tuple(
            bulk.ReportedAgentStatus(
                node_id,
                heartbeat.revision,
                now - heartbeat.received_at,
                heartbeat.running,
            )
            for node_id, heartbeat in members.heartbeat_monitor.heartbeat_by_id.items()
        )
        return bulk.StatusReply(
            members.own_member,
            self.core.releases.revision,
            self.core.releases.release.note_id,
            self.core.freshness.is_fresh(now),
            tuple(members.table),
            reported_agents,
        )

    async def _pull_release(self, effect: fx.PullRelease) -> None:
        request = bulk.ReleaseRequest(effect.known_revision)
        try:
            reply = await call_control(
                effect.peer, self._sealer, bulk.PULL_RELEASE, request, bulk.ReleaseReply
            )
        except CallFailed:
            self._handle(ev.PullFailed(effect.peer))
            return
        release = decode_release(reply.snapshot) if reply.snapshot else None
        self._handle(ev.ReleasePulled(effect.peer, reply.deltas, release))

    async def _pull_table(self, effect: fx.PullTable) -> None:
        request = bulk.MemberTableRequest(effect.digests)
        try:
            reply = await call_control(
                effect.peer,
                self._sealer,
                bulk.PULL_TABLE,
                request,
                bulk.MemberTableReply,
            )
        except CallFailed:
            self._handle(ev.PullFailed(effect.peer))
            return
        self._handle(ev.TablePulled(effect.peer, reply.members))

    async def _read_store(self) -> None:
        sent_at = time.monotonic()
        try:
            update = await self._store.read(self.core.releases.release)
        except StoreUnavailable:
            self._handle(ev.StoreFailed())
            return
        self._handle(
            ev.StoreRead(
                sent_at,
                update.head,
                update.note_id,
                update.deltas,
                update.snapshot,
            )
        )

    async def _restore_store(self, effect: fx.RestoreStore) -> None:
        release = effect.release
        try:
            restored = await self._store.restore(release, effect.deltas)
        except StoreUnavailable:
            self.metrics.count("store_failed", "restore")
            return
        if restored:
            _log.info("store_restored", revision=release.revision)
