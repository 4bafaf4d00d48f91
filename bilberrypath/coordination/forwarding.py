"""Forwarding of callers' packets by a balancer.

A balancer whose release is not confirmed as fresh might send packets by an old
release. It therefore holds packets until the release is confirmed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, field

from bilberrypath.coordination.effects import Count, SendFrame, SendToCaller
from bilberrypath.coordination.routing import (
    MAX_CACHED_ROUTES,
    Candidates,
    Established,
    FlowEnded,
    Router,
    RoutingDecision,
)
from bilberrypath.protocol.frame import ForwardFrame
from bilberrypath.protocol.quic_header import (
    FIXED_BIT,
    LONG_FORM,
    PacketError,
    PacketHeader,
    PacketKind,
    parse_quic_header,
)
from bilberrypath.protocol.stateless_reset import build_stateless_reset
from bilberrypath.protocol.token import TOKEN_LENGTH

if TYPE_CHECKING:
    from random import Random

    from bilberrypath.coordination.effects import Effect
    from bilberrypath.coordination.events import PacketReceived
    from bilberrypath.coordination.freshness import Freshness
    from bilberrypath.coordination.membership import Membership
    from bilberrypath.coordination.release_tracker import ReleaseTracker
    from bilberrypath.protocol.token import TokenCodec
    from bilberrypath.types import Address, Seconds

MAX_HELD_PACKETS = 512
MAX_HOLD_TIME: Seconds = 0.5  # a packet that is held for longer is dropped
# Bits of the first byte; a short header has FIXED_BIT without LONG_FORM.
SHORT_HEADER_MASK = LONG_FORM | FIXED_BIT
SHORT_HEADER_END = 1 + TOKEN_LENGTH  # the token follows the first byte


@define
class Forwarder:
    """Route packets while the release is fresh, and hold them while it is not.

    The route cache maps (service port, token) to the agent of a flow.
    """

    codec: TokenCodec
    rng: Random
    members: Membership
    releases: ReleaseTracker
    freshness: Freshness
    router: Router = field(init=False)
    _agent_by_flow: dict[tuple[int, bytes], Address] = Factory(dict)
    _held_packets: list[tuple[Seconds, PacketReceived]] = Factory(list)

    def __attrs_post_init__(self) -> None:
        self.router = Router(self.codec)

    @property
    def held_count(self) -> int:
        """The number of packets held until the release is fresh."""
        return len(self._held_packets)

    def find_cached_agent(
        self, service_port: int, payload: bytes, now: Seconds
    ) -> Address | None:
        """Return the agent of a flow from the route cache, or None.

        This fast path serves most packets. None means that :meth:`route` has to
        decide: the flow is not cached, or the release is not fresh.
        """
        if (
            now > self.freshness.fresh_until
            or payload[0] & SHORT_HEADER_MASK != FIXED_BIT
        ):
            return None
        return self._agent_by_flow.get((service_port, payload[1:SHORT_HEADER_END]))

    def clear_route_cache(self) -> None:
        """Clear the route cache after a change, so that all flows are routed again."""
        self._agent_by_flow.clear()

    def route(self, packet: PacketReceived, now: Seconds) -> list[Effect]:
        """Return the effects of a packet: forward, hold, reset or count as dropped."""
        header = parse_quic_header(packet.payload)
        if isinstance(header, PacketError):
            return [Count("packet_dropped", header.value)]
        if not self.freshness.is_fresh(now):
            return self._hold(packet, now)
        routing = self._find_routing(packet, header, now)
        if routing is None:
            return [Count("packet_dropped", "no_token")]
        return self._apply_routing(routing, packet, header.connection_id)

    def flush_held_packets(self, now: Seconds) -> list[Effect]:
        """Route held packets if the release is fresh, else drop those held too long."""
        if not self._held_packets:
            return []
        held, self._held_packets = self._held_packets, []
        effects: list[Effect] = []
        if self.freshness.is_fresh(now):
            for _, packet in held:
                effects += self.route(packet, now)
            return effects
        for held_at, packet in held:
            if now - held_at <= MAX_HOLD_TIME:
                self._held_packets.append((held_at, packet))
            else:
                effects.append(Count("packet_dropped", "stale"))
        return effects

    def make_frame(
        self, packet: PacketReceived, other_candidates: tuple
    ) -> ForwardFrame:
        """Return the frame that forwards a packet to an agent.

        ``other_candidates`` are the agents to which it may relay an open.
        """
        host, port = self.members.own_member.address
        return ForwardFrame(
            self.releases.revision,
            packet.caller[0],
            packet.caller[1],
            host,
            port,
            packet.service_port,
            0,
            other_candidates,
            packet.payload,
        )

    def reset_flow(
        self, port: int, caller: Address, token: bytes, length: int, reason: str
    ) -> list[Effect]:
        """Send a caller a stateless reset, which ends its flow at once.

        ``length`` is that of the packet which the reset answers. The reset is
        shorter; none is sent if that leaves too few bytes, or if no reset token
        can be derived from the flow's token.
        """
        effects: list[Effect] = [Count("flow_given_up", reason)]
        reset_token = self.codec.derive_reset_token(token)
        packet = build_stateless_reset(reset_token, length, self.rng)
        if packet is not None:
            effects.append(SendToCaller(port, caller, packet))
        return effects

    def _find_routing(
        self, packet: PacketReceived, header: PacketHeader, now: Seconds
    ) -> RoutingDecision | None:
        port, token = packet.service_port, header.connection_id
        routing = self.router.route_token(port, token)
        if header.kind is PacketKind.SHORT:
            return self._check_flow_ended(routing, port, token)
        if routing is not None:
            return routing
        return self.router.route_open(port, token, self.members.table, now)

    def _check_flow_ended(
        self, routing: RoutingDecision | None, service_port: int, token: bytes
    ) -> RoutingDecision | None:
        """Return :class:`FlowEnded` if a flow has ended, else its route.

        The route of an established flow is cached; another decision is returned
        unchanged.
        """
        if not isinstance(routing, Established):
            return routing
        host, port = routing.to
        member = self.members.table.get(f"{host}:{port}")
        ended = self.router.check_agent_ended(routing, member)
        if ended is not None:
            return ended
        if len(self._agent_by_flow) >= MAX_CACHED_ROUTES:
            self._agent_by_flow.clear()
        self._agent_by_flow[(service_port, token)] = routing.to
        return routing

    def _apply_routing(
        self, routing: RoutingDecision, packet: PacketReceived, connection_id: bytes
    ) -> list[Effect]:
        if isinstance(routing, Established):
            return [SendFrame(routing.to, self.make_frame(packet, ()))]
        if isinstance(routing, Candidates):
            first, *other_candidates = routing.agents
            frame = self.make_frame(packet, tuple(other_candidates))
            return [SendFrame((first.host, first.port), frame)]
        if isinstance(routing, FlowEnded):
            length = len(packet.payload)
            return self.reset_flow(
                packet.service_port,
                packet.caller,
                connection_id,
                length,
                routing.reason,
            )
        return [Count("packet_dropped", routing.reason)]

    def _hold(self, packet: PacketReceived, now: Seconds) -> list[Effect]:
        if len(self._held_packets) >= MAX_HELD_PACKETS:
            return [Count("packet_dropped", "stale")]
        self._held_packets.append((now, packet))
        return []
