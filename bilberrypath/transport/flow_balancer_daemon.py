"""The balancer of datagram flows: sockets and clock around ``FlowBalancer``."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Protocol

from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.flow_balancer import FlowBalancer
from bilberrypath.protocol.bulk import MemberTableReply
from bilberrypath.state.members import Member, Role, Status, make_own_record
from bilberrypath.transport.bulk_calls import FlowStatusReply
from bilberrypath.transport.clock import make_incarnation, read_clock
from bilberrypath.transport.datagrams import DatagramSocket
from bilberrypath.transport.flow_daemon import FlowDaemon

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.flow_settings import FlowBalancerSettings
    from bilberrypath.protocol.flow_packet import PacketCodec
    from bilberrypath.state.routes import RouteTable
    from bilberrypath.transport.bound_sockets import BoundSockets
    from bilberrypath.transport.bulk_calls import MembersRequest
    from bilberrypath.types import Address, Seconds

STORE_TURN_POLL_PERIOD: Seconds = (
    0.3  # between two looks whether it is this balancer's turn
)
INITIAL_BACKOFF: Seconds = 0.2  # after a failed read; doubled each time
MAX_BACKOFF: Seconds = 1.0  # the service is used again within this
FABRIC_REROUTE_TIME: Seconds = 1.5  # the fabric turns away after two misses of 0.5 s
DRAIN_QUIET_PERIOD: Seconds = 0.5  # without a packet, when turned away
PACKET_HOLD_LIMIT: Seconds = 0.5  # a client gives an open up after 1.4 s
PACKET_HOLD_POLL_PERIOD: Seconds = 0.005  # a fraction of a read of the routes


class RoutesUnavailable(Exception):
    """The platform's service gave no answer, or none that can be used."""


class RouteSource(Protocol):
    """Where the configuration lasts, as far as a balancer uses it."""

    async def read_next_table(self, have: RouteTable) -> RouteTable | None:
        """Return the next table after ``have``, or None if none came in time.

        Raises :class:`RoutesUnavailable` when the source can't tell.
        """


class FlowBalancerDaemon(FlowDaemon):
    """Take the packets of clients, and keep routes and members in step."""

    role = "balancer"

    def __init__(
        self,
        settings: FlowBalancerSettings,
        codec: PacketCodec,
        source: RouteSource,
        load_settings: Callable[[], FlowBalancerSettings],
        sockets: BoundSockets,
    ) -> None:
        node = settings.node
        own_member = make_own_record(
            node.peer_address,
            Role.BALANCER,
            node.data_centre,
            "",
            Status.SERVING,
            make_incarnation(),
        )
        core = FlowBalancer(own_member, node.seeds, codec, Random(), read_clock())
        super().__init__(node, core, lambda: load_settings().node, sockets)
        self._packet_address = settings.packet_address
        self._source = source
        self._last_packet_at = 0.0
        self._is_store_away = False

    @property
    def is_ready(self) -> bool:
        """Whether clients' packets may be sent here."""
        return self.core.is_ready and not self.is_stopping

    async def open_sockets(self) -> None:
        """Open the socket for clients' packets and begin to follow the routes."""
        core = self.core
        self.metrics.register_gauge("revision", lambda: core.routes.revision)
        self.metrics.register_gauge("members", lambda: len(core.members.table))
        self.metrics.register_gauge("places", lambda: len(core.location_cache))
        self.metrics.register_gauge(
            "silent_peers", lambda: len(core.unresponsive_peers.since_by_id)
        )
        self.start(self._watch_routes())
        self.start(self._read_packets())

    async def _read_packets(self) -> None:
        """Take clients' packets, once there is where to send them.

        Until then they wait in the kernel: what comes just after a start would be
        lost here, and its client would send it again much later.
        """
        end = read_clock() + PACKET_HOLD_LIMIT
        while not self.core.can_forward and read_clock() < end:
            await asyncio.sleep(PACKET_HOLD_POLL_PERIOD)
        bound = self.sockets.take_datagram_socket(self._packet_address)
        self.close_on_stop(DatagramSocket(bound, self._handle_packet))

    async def wait_until_drained(self) -> None:
        """Forward until the fabric has turned away."""
        await asyncio.sleep(FABRIC_REROUTE_TIME)
        while read_clock() - self._last_packet_at < DRAIN_QUIET_PERIOD:
            await asyncio.sleep(0.1)

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take over other seeds while running."""
        self.core.gossiper.seeds = seeds

    def _handle_packet(self, datagram: bytes, _sender: Address) -> None:
        now = read_clock()
        self._last_packet_at = now
        self.perform_all(self.core.handle_client_packet(datagram, now), now)

    async def _watch_routes(self) -> None:
        pause = INITIAL_BACKOFF
        while True:
            if not self.core.should_read_store:
                await asyncio.sleep(STORE_TURN_POLL_PERIOD)
                continue
            try:
                table = await self._source.read_next_table(self.core.routes.table)
            except RoutesUnavailable as error:
                self._record_store_state(str(error))
                await asyncio.sleep(pause * self.core.rng.uniform(0.8, 1.2))
                pause = min(2 * pause, MAX_BACKOFF)
                continue
            self._record_store_state("")
            pause = INITIAL_BACKOFF
            self.handle_event(fev.RoutesRead(table))

    def _record_store_state(self, error: str) -> None:
        """Tell when the platform's service is lost and when it is regained."""
        self.metrics.count("store_call", "failed" if error else "answered")
        if bool(error) == self._is_store_away:
            return
        self._is_store_away = bool(error)
        if error:
            self.write_log("store_lost", error=error)
        else:
            self.write_log("store_regained", revision=self.core.routes.revision)

    def list_members(self, request: MembersRequest) -> MemberTableReply:
        """Return the records that another balancer lacks."""
        members = self.core.members.table.list_differing_members(request.digests)
        return MemberTableReply(tuple(members))

    def make_status(self, flow: bytes, now: Seconds) -> FlowStatusReply:
        """Return how the balancer stands, or where it takes a flow to be."""
        core = self.core
        if flow:
            place = core.location_cache.location_by_flow.get(flow)
            known = {} if place is None else {"holder": place.holder}
            return FlowStatusReply(known, {})
        table = core.routes.table
        values = {
            "node": core.members.own_member.node_id,
            "role": "balancer",
            "data_centre": core.members.own_member.data_centre,
            "ready": self.is_ready,
            "revision": table.revision,
            "configuration": table.version,
            "routes": len(table.routes),
            "flows_placed": len(core.location_cache),
            "store_away": self._is_store_away,
        }
        lists = {
            "out": sorted(table.data_centres_out),
            "silent": sorted(core.unresponsive_peers.since_by_id),
            "members": sorted(_format_member(m) for m in core.members.table),
        }
        return FlowStatusReply(values, lists)


def _format_member(member: Member) -> str:
    return " ".join(
        (
            member.node_id,
            member.role.name.lower(),
            member.data_centre,
            member.service or "-",
            member.status.name.lower(),
            member.suspicion.name.lower(),
        )
    )
