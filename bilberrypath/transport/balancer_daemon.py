"""The balancer process: sockets, clock and clients around ``BalancerCore``."""

from __future__ import annotations

import asyncio
import signal
import time
from functools import singledispatchmethod
from random import Random
from typing import TYPE_CHECKING

import structlog

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.balancer import BalancerCore, BalancerSetup
from bilberrypath.coordination.release_store import ReleaseStore, StoreUnavailable
from bilberrypath.protocol import bulk
from bilberrypath.protocol.frame import FrameSeal
from bilberrypath.protocol.quic_header import PacketHeader, PacketKind, read_header
from bilberrypath.protocol.token import TokenCodec
from bilberrypath.state.members import Role, Status, make_own_record
from bilberrypath.transport.clock import make_incarnation
from bilberrypath.transport.control_calls import (
    CallFailed,
    ControlServer,
    call_control,
    pack_release,
    unpack_release,
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

LEAVE_QUIET: Seconds = 1.0
LEAVE_LIMIT: Seconds = 10.0
MAX_KEPT_HEADS = 65536
_log = structlog.get_logger("balancer")


class BalancerDaemon:
    """Own the sockets of one balancer and carry out its core's effects."""

    def __init__(self, settings: BalancerSettings) -> None:
        self.settings = settings
        node = settings.node
        self.metrics = Metrics()
        self._seal = FrameSeal(node.keys.peer_key)
        codec = TokenCodec(node.keys.token_key_by_id, node.keys.active_token_key)
        me = make_own_record(
            node.peer_address,
            Role.BALANCER,
            node.data_centre,
            "",
            Status.SERVING,
            make_incarnation(),
        )
        setup = BalancerSetup(me, node.seeds, node.store.address is not None)
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
        self._traces_opens = bool(node.traces.collector)
        self._service_socket_by_port: dict[int, DatagramSocket] = {}
        self._head_by_caller: dict[tuple[int, Address], bytes] = {}
        self._tasks: set[asyncio.Task] = set()
        self._stopping = asyncio.Event()
        self._killed = asyncio.Event()
        self._last_packet_at = 0.0

    async def run(self) -> None:
        """Serve until a signal asks to stop, then leave without cutting flows."""
        node = self.settings.node
        self._peer_socket = PeerSocket(
            node.peer_address, self._seal, self._handle, self.metrics.count
        )
        self._control = ControlServer(node.peer_address, self._seal)
        self._register_calls()
        await self._control.start()
        server = self._serve_metrics()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._take_signal)
        _log.info("started", node=self.core.members.me.node_id)
        ticking = asyncio.create_task(self._tick_forever())
        await self._stopping.wait()
        await self._leave()
        ticking.cancel()
        await self._control.stop()
        if server is not None:
            server.close()
        _log.info("stopped", node=self.core.members.me.node_id)

    def _take_signal(self) -> None:
        if self._stopping.is_set():
            self._killed.set()
        self._stopping.set()

    async def _leave(self) -> None:
        """Tell the others, and go on forwarding until callers are elsewhere."""
        self._handle(ev.Leave())
        deadline = time.monotonic() + LEAVE_LIMIT
        self._last_packet_at = time.monotonic()
        while time.monotonic() < deadline and not self._killed.is_set():
            if time.monotonic() - self._last_packet_at > LEAVE_QUIET:
                return
            await asyncio.sleep(0.05)

    def _serve_metrics(self) -> MetricsServer | None:
        core = self.core
        self.metrics.show("revision", lambda: core.releases.revision)
        self.metrics.show("members", lambda: len(core.members.table))
        self.metrics.show("fresh", lambda: core.freshness.is_fresh(time.monotonic()))
        self.metrics.show("rumours", lambda: len(core.members.rumours))
        address = self.settings.node.metrics_address
        if address is None:
            return None
        return MetricsServer(address, self.metrics, lambda: core.is_ready)

    async def _tick_forever(self) -> None:
        while True:
            self._handle(ev.Tick())
            await asyncio.sleep(ev.TICK_PERIOD)

    # Datagrams

    def _take_packet(self, service_port: int, data: bytes, caller: Address) -> None:
        now = time.monotonic()
        self._last_packet_at = now
        agent = self.core.find_established(service_port, data, now) if data else None
        if agent is not None:
            head = self._get_head(service_port, caller)
            self._peer_socket.send_sealed(head + data, agent)
            return
        for effect in self.core.route_packet(service_port, caller, data, now):
            if isinstance(effect, fx.SendFrame) and self._traces_opens:
                self._trace_open(data, effect.to)
            self._perform(effect)

    def _trace_open(self, data: bytes, agent: Address) -> None:
        header = read_header(data)
        if not isinstance(header, PacketHeader) or header.kind is PacketKind.SHORT:
            return
        ratio = self.settings.node.traces.sample_ratio
        context = make_open_context(header.connection_id, ratio)
        span = self._tracer.start_span("balancer.open", context)
        span.set_attribute("agent", f"{agent[0]}:{agent[1]}")
        span.end()

    def _get_head(self, service_port: int, caller: Address) -> bytes:
        """Return the sealed head of frames with a caller's packets."""
        key = (service_port, caller)
        head = self._head_by_caller.get(key)
        if head is None:
            if len(self._head_by_caller) >= MAX_KEPT_HEADS:
                self._head_by_caller.clear()
            frame = self.core.make_frame(service_port, caller, b"", ())
            head = self._head_by_caller[key] = self._seal.seal_head(frame)
        return head

    # Effects

    def _handle(self, event: Event) -> None:
        for effect in self.core.handle(event, time.monotonic()):
            self._perform(effect)

    @singledispatchmethod
    def _perform(self, effect: Effect) -> None:
        raise TypeError(f"no way to perform {type(effect).__name__}")

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

    @_perform.register(fx.Changed)
    def _(self, effect: fx.Changed) -> None:
        _log.info(effect.event, **effect.fields)

    @_perform.register(fx.Adopted)
    def _(self, effect: fx.Adopted) -> None:
        self._head_by_caller.clear()
        self._open_service_sockets(effect.release)

    @_perform.register(fx.PullRelease)
    def _(self, effect: fx.PullRelease) -> None:
        self._start(self._pull_release(effect))

    @_perform.register(fx.PullTable)
    def _(self, effect: fx.PullTable) -> None:
        self._start(self._pull_table(effect))

    @_perform.register(fx.ReadStore)
    def _(self, effect: fx.ReadStore) -> None:
        self._start(self._read_store())

    @_perform.register(fx.RestoreStore)
    def _(self, effect: fx.RestoreStore) -> None:
        self._start(self._restore_store(effect.release))

    def _start(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _open_service_sockets(self, release: Release) -> None:
        wanted = {service.port for service in release.list_services()}
        for port in self._service_socket_by_port.keys() - wanted:
            self._service_socket_by_port.pop(port).close()
        for port in wanted - self._service_socket_by_port.keys():
            self._open_service_socket(port)

    def _open_service_socket(self, port: int) -> None:
        def take(data: bytes, caller: Address) -> None:
            self._take_packet(port, data, caller)

        address = (self.settings.listen_host, port)
        try:
            self._service_socket_by_port[port] = DatagramSocket(address, take)
        except OSError as error:
            _log.error("service_socket_failed", port=port, error=str(error))
            self.metrics.count("service_socket", "failed")

    # Calls

    def _register_calls(self) -> None:
        answer = self._control.answer
        answer(bulk.PULL_RELEASE, bulk.ReleaseRequest, self._give_release)
        answer(bulk.PULL_TABLE, bulk.TableRequest, self._give_table)
        answer(bulk.SHOW_STATUS, bulk.StatusRequest, self._give_status)

    def _give_release(self, request: bulk.ReleaseRequest) -> bulk.ReleaseReply:
        steps = self.core.releases.list_steps_after(request.have)
        if steps is not None:
            return bulk.ReleaseReply(steps, None)
        return bulk.ReleaseReply((), pack_release(self.core.releases.release))

    def _give_table(self, request: bulk.TableRequest) -> bulk.TableReply:
        members = self.core.members.table.list_differing(request.digests)
        return bulk.TableReply(tuple(members))

    def _give_status(self, _request: bulk.StatusRequest) -> bulk.StatusReply:
        now = time.monotonic()
        members = self.core.members
        heard = tuple(
            bulk.HeardStatus(node_id, h.revision, now - h.heard_at, h.running)
            for node_id, h in members.hearing.heard_by_id.items()
        )
        return bulk.StatusReply(
            members.me,
            self.core.releases.revision,
            self.core.releases.release.note_id,
            self.core.freshness.is_fresh(now),
            tuple(members.table),
            heard,
        )

    async def _pull_release(self, effect: fx.PullRelease) -> None:
        request = bulk.ReleaseRequest(effect.have)
        try:
            reply = await call_control(
                effect.peer, self._seal, bulk.PULL_RELEASE, request, bulk.ReleaseReply
            )
        except CallFailed:
            self._handle(ev.PullFailed(effect.peer))
            return
        whole = unpack_release(reply.whole) if reply.whole else None
        self._handle(ev.ReleasePulled(effect.peer, reply.steps, whole))

    async def _pull_table(self, effect: fx.PullTable) -> None:
        request = bulk.TableRequest(effect.digests)
        try:
            reply = await call_control(
                effect.peer, self._seal, bulk.PULL_TABLE, request, bulk.TableReply
            )
        except CallFailed:
            self._handle(ev.PullFailed(effect.peer))
            return
        self._handle(ev.TablePulled(effect.peer, reply.members))

    async def _read_store(self) -> None:
        asked_at = time.monotonic()
        try:
            reading = await self._store.read(self.core.releases.release)
        except StoreUnavailable:
            self._handle(ev.StoreFailed())
            return
        self._handle(
            ev.StoreRead(
                asked_at, reading.head, reading.note_id, reading.steps, reading.whole
            )
        )

    async def _restore_store(self, release: Release) -> None:
        try:
            restored = await self._store.restore(release)
        except StoreUnavailable:
            self.metrics.count("store_failed", "restore")
            return
        if restored:
            _log.info("store_restored", revision=release.revision)
