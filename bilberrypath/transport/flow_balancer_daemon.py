"""The balancer of datagram flows: sockets and clock around ``FlowBalancer``."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Protocol

from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.flow_balancer import FlowBalancer
from bilberrypath.protocol.bulk import TableReply
from bilberrypath.state.members import Member, Role, Status, make_own_record
from bilberrypath.transport.bulk_calls import StatusReply
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

TURN_PERIOD: Seconds = 0.3  # between two looks whether it is this balancer's turn
FIRST_PAUSE: Seconds = 0.2  # after a failed read; doubled each time
LONGEST_PAUSE: Seconds = 1.0  # the service is used again within this
LEAVE_TURNED_AWAY: Seconds = 1.5  # the fabric turns away after two misses of 0.5 s
LEAVE_QUIET: Seconds = 0.5  # without a packet, when turned away
FIRST_PACKETS_LIMIT: Seconds = 0.5  # a client gives an open up after 1.4 s
FIRST_PACKETS_LOOK: Seconds = 0.005  # a fraction of a read of the routes


class RoutesUnavailable(Exception):
    """The platform's service gave no answer, or none that can be used."""


class RouteSource(Protocol):
    """Where the configuration lasts, as far as a balancer uses it."""

    async def follow(self, have: RouteTable) -> RouteTable | None:
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
        reload: Callable[[], FlowBalancerSettings],
        sockets: BoundSockets,
    ) -> None:
        node = settings.node
        me = make_own_record(
            node.peer_address,
            Role.BALANCER,
            node.data_centre,
            "",
            Status.SERVING,
            make_incarnation(),
        )
        core = FlowBalancer(me, node.seeds, codec, Random(), read_clock())
        super().__init__(node, core, lambda: reload().node, sockets)
        self._packet_address = settings.packet_address
        self._source = source
        self._last_packet_at = 0.0
        self._store_is_away = False

    @property
    def is_ready(self) -> bool:
        """Whether clients' packets may be sent here."""
        return self.core.is_ready and not self.is_stopping

    async def open(self) -> None:
        """Open the socket for clients' packets and begin to follow the routes."""
        core = self.core
        self.metrics.show("revision", lambda: core.routes.revision)
        self.metrics.show("members", lambda: len(core.members.table))
        self.metrics.show("places", lambda: len(core.places))
        self.metrics.show("silent_peers", lambda: len(core.silent.since_by_id))
        self.start(self._follow_routes())
        self.start(self._read_packets())

    async def _read_packets(self) -> None:
        """Take clients' packets, once there is where to send them.

        Until then they wait in the kernel: what comes just after a start would be
        lost here, and its client would send it again much later.
        """
        end = read_clock() + FIRST_PACKETS_LIMIT
        while not self.core.can_place and read_clock() < end:
            await asyncio.sleep(FIRST_PACKETS_LOOK)
        bound = self.sockets.take_datagrams(self._packet_address)
        self.keep(DatagramSocket(bound, self._take_packet))

    async def leave(self) -> None:
        """Forward until the fabric has turned away."""
        await asyncio.sleep(LEAVE_TURNED_AWAY)
        while read_clock() - self._last_packet_at < LEAVE_QUIET:
            await asyncio.sleep(0.1)

    def use_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take over other seeds while running."""
        self.core.fleet.seeds = seeds

    def _take_packet(self, datagram: bytes, _sender: Address) -> None:
        now = read_clock()
        self._last_packet_at = now
        self.perform_all(self.core.take_packet(datagram, now), now)

    async def _follow_routes(self) -> None:
        pause = FIRST_PAUSE
        while True:
            if not self.core.reads_store:
                await asyncio.sleep(TURN_PERIOD)
                continue
            try:
                table = await self._source.follow(self.core.routes.table)
            except RoutesUnavailable as error:
                self._note_store(str(error))
                await asyncio.sleep(pause * self.core.rng.uniform(0.8, 1.2))
                pause = min(2 * pause, LONGEST_PAUSE)
                continue
            self._note_store("")
            pause = FIRST_PAUSE
            self.feed(fev.RoutesRead(table))

    def _note_store(self, error: str) -> None:
        """Tell when the platform's service is lost and when it is regained."""
        self.metrics.count("store_call", "failed" if error else "answered")
        if bool(error) == self._store_is_away:
            return
        self._store_is_away = bool(error)
        if error:
            self.write_log("store_lost", error=error)
        else:
            self.write_log("store_regained", revision=self.core.routes.revision)

    def list_members(self, request: MembersRequest) -> TableReply:
        """Return the records that another balancer lacks."""
        members = self.core.members.table.list_differing(request.digests)
        return TableReply(tuple(members))

    def describe(self, flow: bytes, now: Seconds) -> StatusReply:
        """Return how the balancer stands, or where it takes a flow to be."""
        core = self.core
        if flow:
            place = core.places.place_by_flow.get(flow)
            known = {} if place is None else {"holder": place.holder}
            return StatusReply(known, {})
        table = core.routes.table
        values = {
            "node": core.members.me.node_id,
            "role": "balancer",
            "data_centre": core.members.me.data_centre,
            "ready": self.is_ready,
            "revision": table.revision,
            "configuration": table.version,
            "routes": len(table.routes),
            "flows_placed": len(core.places),
            "store_away": self._store_is_away,
        }
        lists = {
            "out": sorted(table.out),
            "silent": sorted(core.silent.since_by_id),
            "members": sorted(_describe_member(m) for m in core.members.table),
        }
        return StatusReply(values, lists)


def _describe_member(member: Member) -> str:
    return " ".join(
        (
            member.node_id,
            member.role.name.lower(),
            member.data_centre,
            member.service or "-",
            member.status.name.lower(),
            member.doubt.name.lower(),
        )
    )
