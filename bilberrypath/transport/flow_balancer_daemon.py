"""The balancer daemon of datagram flows: sockets and timers for ``FlowBalancer``."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Protocol

from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.flow_balancer import FlowBalancer
from bilberrypath.protocol.bulk import MemberTableReply
from bilberrypath.protocol.flow_messages import format_node_id
from bilberrypath.state.members import Member, Role, Status, make_own_record
from bilberrypath.transport.bulk_calls import FlowStatusReply
from bilberrypath.transport.clock import make_incarnation, read_clock
from bilberrypath.transport.datagrams import DatagramSocket
from bilberrypath.transport.flow_daemon import FlowDaemon

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.flow_settings import FlowBalancerSettings
    from bilberrypath.protocol.flow_packet import PacketCodec
    from bilberrypath.state.route_terms import InvalidTerms
    from bilberrypath.state.routes import RouteTable
    from bilberrypath.transport.bound_sockets import BoundSockets
    from bilberrypath.transport.bulk_calls import (
        FlowExplainReply,
        FlowExplainRequest,
        MembersRequest,
    )
    from bilberrypath.types import Address, Seconds

STORE_READER_POLL_PERIOD: Seconds = 0.3  # between checks whether to read the store
INITIAL_BACKOFF: Seconds = 0.2  # after a failed read; doubled each time
MAX_BACKOFF: Seconds = 1.0  # a recovered store is read again within this time
# The fabric sends a balancer no packets after two missed readiness checks, 0.5 s each.
FABRIC_REROUTE_TIME: Seconds = 1.5
DRAIN_QUIET_PERIOD: Seconds = 0.5  # no packet for this long: the fabric has rerouted
PACKET_HOLD_LIMIT: Seconds = 0.5  # a client's open times out only after 1.4 s
PACKET_HOLD_POLL_PERIOD: Seconds = 0.005  # a fraction of the time to read the routes


class RoutesUnavailable(Exception):
    """The route source sent no reply in time, or an unusable one."""


class EntriesRejected(RoutesUnavailable):
    """The source has entries that cannot be applied, and follows all others."""


class RouteSource(Protocol):
    """The durable store of the configuration, as a balancer reads it.

    ``epoch`` numbers the store's histories: it increases when the store is restored
    from an older copy of itself. ``history_gaps`` counts the reads that could not
    continue where the last one ended.
    """

    epoch: int
    history_gaps: int

    async def read_next_table(self, current_table: RouteTable) -> RouteTable | None:
        """Return the store's table if it is newer than ``current_table``, else None.

        Waits some time for one. A table that was not adopted is returned again.

        Raises :class:`RoutesUnavailable` when the source cannot be read.
        """

    def take_invalid_terms(self) -> InvalidTerms | None:
        """Return the invalid terms of a configuration that was read, once, else None.

        Their defaults are in the table that was returned.
        """

    def close(self) -> None:
        """Close the connection to the store."""


class FlowBalancerDaemon(FlowDaemon):
    """A daemon that forwards clients' packets and keeps routes and members current.

    ``source`` provides the route tables.
    """

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
        self._is_store_unavailable = False

    @property
    def is_ready(self) -> bool:
        """Whether the fabric may send clients' packets to this balancer."""
        return self.core.is_ready and not self.is_stopping

    async def open_sockets(self) -> None:
        """Register the gauges, and start to watch the routes and receive packets."""
        core = self.core
        self.metrics.register_revision_gauges(lambda: core.routes.revision)
        self.metrics.register_gauge("store_epoch", lambda: self._source.epoch)
        self.metrics.register_gauge("history_gaps", lambda: self._source.history_gaps)
        self.metrics.register_gauge("members", lambda: len(core.members.table))
        self.metrics.register_gauge("places", lambda: len(core.location_cache))
        self.metrics.register_gauge(
            "silent_peers", lambda: len(core.unresponsive_peers.since_by_id)
        )
        self.start(self._watch_routes())
        self.start(self._read_packets())

    async def _read_packets(self) -> None:
        """Start to read clients' packets once routes and an agent are known.

        Until then, and for at most :data:`PACKET_HOLD_LIMIT`, packets wait in the
        kernel. A packet read just after the start would be dropped for lack of a
        destination, and its client would retransmit it only much later.
        """
        hold_until = read_clock() + PACKET_HOLD_LIMIT
        while not self.core.can_forward and read_clock() < hold_until:
            await asyncio.sleep(PACKET_HOLD_POLL_PERIOD)
        bound = self.sockets.take_datagram_socket(self._packet_address)
        packet_socket = self.close_on_stop(DatagramSocket(bound, self._handle_packet))
        packet_socket.start_reading()

    async def wait_until_drained(self) -> None:
        """Forward packets until the fabric sends this balancer no more of them."""
        await asyncio.sleep(FABRIC_REROUTE_TIME)
        while read_clock() - self._last_packet_at < DRAIN_QUIET_PERIOD:
            await asyncio.sleep(0.1)

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seed addresses at run time."""
        self.core.gossiper.seeds = seeds

    def _handle_packet(self, datagram: bytes, _sender: Address) -> None:
        now = read_clock()
        self._last_packet_at = now
        self.perform_all(self.core.handle_client_packet(datagram, now), now)

    async def _watch_routes(self) -> None:
        try:
            await self._read_routes_forever()
        finally:
            self._source.close()

    async def _read_routes_forever(self) -> None:
        backoff = INITIAL_BACKOFF
        while True:
            if not self.core.should_read_store:
                await asyncio.sleep(STORE_READER_POLL_PERIOD)
                continue
            try:
                await self._read_routes()
                backoff = INITIAL_BACKOFF
                continue
            except EntriesRejected as error:
                self.metrics.count("store_call", "entry_rejected")
                self.write_log("store_entry_rejected", error=str(error))
            except RoutesUnavailable as error:
                self._record_store_call(str(error))
            except Exception as error:
                self.record_internal_error(error)
            await asyncio.sleep(backoff * self.core.rng.uniform(0.8, 1.2))
            backoff = min(2 * backoff, MAX_BACKOFF)

    async def _read_routes(self) -> None:
        """Read the next table, or wait until a watch ends, and handle it."""
        try:
            table = await self._source.read_next_table(self.core.routes.table)
        finally:
            self._log_invalid_terms()
        self._record_store_call("")
        self.handle_event(fev.RoutesRead(table))

    def _log_invalid_terms(self) -> None:
        invalid = self._source.take_invalid_terms()
        if invalid is None:
            return
        self.write_log(
            "route_terms_invalid",
            version=invalid.version,
            route=format_node_id(invalid.address),
            field=invalid.field,
            value=invalid.value,
            expected=invalid.expected,
            routes=invalid.route_count,
        )

    def _record_store_call(self, error: str) -> None:
        """Count a read of the store, and log when the store's availability changes.

        ``error`` is empty after a successful read.
        """
        self.metrics.count("store_call", "failed" if error else "answered")
        if bool(error) == self._is_store_unavailable:
            return
        self._is_store_unavailable = bool(error)
        if error:
            self.write_log("store_lost", error=error)
        else:
            self.write_log("store_regained", revision=self.core.routes.revision_label)

    def list_members(self, request: MembersRequest) -> MemberTableReply:
        """Return the member records in the buckets whose digests differ."""
        members = self.core.members.table.list_differing_members(request.digests)
        return MemberTableReply(tuple(members))

    def explain(self, request: FlowExplainRequest, now: Seconds) -> FlowExplainReply:
        """Return what the balancer would do with a flow's open or next packet."""
        from bilberrypath.transport.explain_calls import answer_at_balancer

        return answer_at_balancer(self.core, request, now)

    def make_status(self, flow: bytes, now: Seconds) -> FlowStatusReply:
        """Return the status of the balancer, or the cached holder of a given flow."""
        core = self.core
        if flow:
            location = core.location_cache.location_by_flow.get(flow)
            flow_values = {} if location is None else {"holder": location.holder}
            return FlowStatusReply(flow_values, {})
        table = core.routes.table
        values = {
            "node": core.members.own_member.node_id,
            "role": "balancer",
            "data_centre": core.members.own_member.data_centre,
            "ready": self.is_ready,
            "revision": core.routes.revision_label,
            "configuration": table.version,
            "routes": len(table.routes),
            "flows_placed": len(core.location_cache),
            "store_away": self._is_store_unavailable,
        }
        lists = {
            "out": sorted(table.data_centres_out),
            "silent": sorted(core.unresponsive_peers.since_by_id),
            "members": sorted(_format_member(m) for m in core.members.table),
            "terms": core.routes.describe_terms(),
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
