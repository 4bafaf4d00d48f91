"""The decisions of an agent about datagram flows, as one state machine.

The agent is the only way to its upstream: what must never reach the upstream
is refused here, whatever balancers and other agents believe. It knows its
upstream's flows from seeing both directions, places opens as the home of a
flow, and finds the holder of a flow that it does not have.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

import msgspec
from attrs import evolve, frozen

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.deadlines import Deadlines
from bilberrypath.coordination.flow_location_cache import FlowLocationCache
from bilberrypath.coordination.flow_locator import FlowLocator
from bilberrypath.coordination.flow_registration import FlowRegistration
from bilberrypath.coordination.held_flows import HeldFlows
from bilberrypath.coordination.open_handler import OpenHandler
from bilberrypath.coordination.open_placement import OpenPlacement
from bilberrypath.coordination.pause_detector import PauseDetector
from bilberrypath.coordination.route_tracker import RouteTracker
from bilberrypath.coordination.unresponsive_peers import UnresponsivePeers
from bilberrypath.coordination.upstream_monitor import UpstreamMonitor
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import format_node_id, parse_address
from bilberrypath.state.agents_digest import digest_agents
from bilberrypath.state.members import Status

if TYPE_CHECKING:
    from random import Random

    from bilberrypath.coordination.events import Event
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.held_flows import HeldFlow
    from bilberrypath.protocol.flow_packet import FlowPacket, PacketCodec
    from bilberrypath.state.members import Member
    from bilberrypath.types import Address, NodeId, Seconds

LOAD_REPORT_PERIOD: Seconds = 0.3  # a few running times of a request
LOAD_REPORT_FANOUT = 8  # agents told each time; others hear within a few periods
IDLE_MARGIN: Seconds = 5.0  # a flow is kept longer than its ends keep it


@frozen
class FlowAgentSetup:
    """What an agent is told at its start.

    ``upstream_address`` is the address at which its upstream receives packets.
    ``tracks_all_flows`` says that the upstream has no flow that this process did not
    see; otherwise that is so after ``flow_lifetime``, the longest that a flow
    lasts. ``report_period`` is the time between reports of the upstream.
    """

    own_member: Member
    seeds: tuple[Address, ...]
    upstream_address: Address
    report_period: Seconds
    flow_lifetime: Seconds
    tracks_all_flows: bool = False


class FlowAgent:
    """Guard one upstream, and find and place the flows of its service."""

    def __init__(
        self, setup: FlowAgentSetup, codec: PacketCodec, rng: Random, now: Seconds
    ) -> None:
        self.setup = setup
        self.codec = codec
        self.rng = rng
        self.routes = RouteTracker()
        self.registration = FlowRegistration(setup.own_member, setup.seeds, rng)
        self.flows = HeldFlows()
        self.redirects = FlowLocationCache()
        self.unresponsive_peers = UnresponsivePeers()
        self.placement = OpenPlacement(rng)
        self.deadlines: Deadlines[tuple[str, bytes]] = Deadlines()
        self.upstream = UpstreamMonitor(self, now)
        self.open_handler = OpenHandler(self)
        self.locator = FlowLocator(self)
        self.agents_changed_at = float("inf")  # no list of agents was heard yet
        self._next_load_report_at = now
        self.is_leaving = False
        self.pause_detector = PauseDetector(now)

    @property
    def node_id(self) -> NodeId:
        """The name of this process."""
        return self.registration.own_member.node_id

    @property
    def service(self) -> str:
        """The service of the upstream."""
        return self.registration.own_member.service

    @property
    def may_end(self) -> bool:
        """Whether ending now cuts no request: none runs, or none can."""
        return self.flows.busy_count == 0 or not self.upstream.is_alive

    @property
    def is_ready(self) -> bool:
        """Whether opens can be judged."""
        return self.routes.revision > 0

    def next_timer_at(self) -> Seconds | None:
        """Return when :meth:`run_due_timers` is to be called, or None."""
        return self.deadlines.next_at()

    def run_due_timers(self, now: Seconds) -> list[FlowEffect]:
        """Act on the deadlines that have come."""
        self._shift_for_pause(now)
        effects: list[FlowEffect] = []
        for kind, flow in self.deadlines.pop_due(now):
            if kind == "lookup":
                effects += self.locator.handle_timeout(flow, now)
            else:
                effects += self.open_handler.handle_deadline(kind, flow, now)
        return effects

    # Packets

    def handle_forwarded_packet(
        self, carry: msg.ForwardedPacket, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        """Return what to do with a packet of a client."""
        self._shift_for_pause(now)
        packet = self.codec.parse_client_packet(carry.datagram)
        if packet is None:
            return [fx.Count("packet_dropped", "not_a_packet")]
        if packet.is_syn and self.pause_detector.is_reading_backlog(now):
            return [fx.Count("open_dropped", "waited_through_pause")]
        effects: list[FlowEffect] = []
        if carry.revision > self.routes.revision:
            effects += self.routes.observe_revision(
                carry.origin_balancer, carry.revision, now
            )
        return effects + self.route(carry, packet, format_node_id(sender), now)

    def route(
        self,
        carry: msg.ForwardedPacket,
        packet: FlowPacket,
        sender: NodeId,
        now: Seconds,
    ) -> list[FlowEffect]:
        """Deliver a packet here, or hand it to whoever has or takes its flow."""
        held = self.flows.get(packet.flow)
        if held is not None:
            self.flows.record_client_packet(held, packet, now)
            told = self.send_location(carry, packet.flow, self.node_id, sender)
            return [ffx.SendToUpstream(packet.datagram), *told]
        if self.locator.try_queue(carry, packet):
            return []
        holder = self.redirects.find(packet.flow, now)
        if holder is not None and self._may_follow_redirect(holder, sender, carry, now):
            self.unresponsive_peers.expect_answer(holder, now)
            return self.relay_to(holder, carry, packet)
        self.redirects.forget(packet.flow)
        if packet.is_syn:
            return self.open_handler.place(carry, packet, sender, now)
        return self.locator.locate(carry, packet, now)

    def _may_follow_redirect(
        self, holder: NodeId, sender: NodeId, carry: msg.ForwardedPacket, now: Seconds
    ) -> bool:
        """Return whether a redirect is still to be followed."""
        known = holder in self.placement.peer_by_id
        if self.node_id in carry.relayed_by or self.unresponsive_peers.is_gone(
            holder, now
        ):
            return False
        return (
            known
            and holder not in (sender, self.node_id)
            and holder not in carry.tried_agents
        )

    def relay_to(
        self, agent: NodeId, carry: msg.ForwardedPacket, packet: FlowPacket
    ) -> list[FlowEffect]:
        """Hand a packet to another agent."""
        passed = msgspec.structs.replace(
            carry,
            revision=max(carry.revision, self.routes.revision),
            service=carry.service or self.service,
            home_agent=carry.home_agent or self.node_id,
            wants_location=True,
            hops=carry.hops + 1,
        )
        return [fx.SendControl(parse_address(agent), passed)]

    def send_location(
        self,
        carry: msg.ForwardedPacket,
        flow: bytes,
        holder: NodeId,
        sender: NodeId = "",
    ) -> list[FlowEffect]:
        """Tell those who asked where a flow is, and all who passed it on."""
        if not carry.wants_location:
            return []
        told = {
            carry.origin_balancer,
            carry.home_agent,
            sender,
            *carry.relayed_by,
            *carry.tried_agents,
        }
        told -= {"", self.node_id}
        message = msg.FlowLocation(flow, holder)
        return [
            fx.SendControl(parse_address(node_id), message) for node_id in sorted(told)
        ]

    def handle_upstream_packet(self, datagram: bytes, now: Seconds) -> list[FlowEffect]:
        """Return what to do with a packet that the upstream sent or handed back."""
        self._shift_for_pause(now)
        packet = self.codec.parse_upstream_packet(datagram)
        if packet is None:
            return [fx.Count("packet_dropped", "not_a_packet")]
        effects = self.upstream.record_heard(now)
        if packet.is_returned:
            return effects + self._handle_returned(packet, now)
        held = self.flows.get(packet.flow)
        if held is None:
            if packet.is_rst or packet.is_fin:
                return [*effects, ffx.SendToClient(packet.flow, packet.datagram)]
            held = self._adopt_from_upstream(packet, now)
        if packet.is_syn_ack:
            effects += self.open_handler.record_accepted(packet.flow, now)
        self.flows.record_upstream_packet(held, packet, now)
        return [*effects, ffx.SendToClient(packet.flow, packet.datagram)]

    def _adopt_from_upstream(self, packet: FlowPacket, now: Seconds) -> HeldFlow:
        held = self.flows.add(packet, is_confirmed=True, now=now)
        held.acknowledged = packet.sequence
        return held

    def _handle_returned(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Go on with a packet that the upstream does not hold or can't take."""
        clean = evolve(
            packet, is_returned=False, datagram=self.codec.clear_returned_flag(packet)
        )
        held = self.flows.remove(packet.flow, now)
        count = fx.Count("upstream_refused", "open" if packet.is_syn else "packet")
        if packet.is_syn:
            return [count, *self.open_handler.handle_returned(clean, now)]
        lost = held is not None and held.is_confirmed
        return [count, *self.locator.handle_returned(clean, lost, now)]

    def reset(self, flow: bytes, acknowledged: int, reason: str) -> list[FlowEffect]:
        """Tell a client that its flow is over."""
        datagram = self.codec.make_reset(flow, acknowledged)
        return [
            fx.Count("flow_reset", reason),
            ffx.SendToClient(flow, datagram),
            ffx.LogDecision("flow_reset", flow, {"reason": reason}),
        ]

    @singledispatchmethod
    def handle(self, event: Event, now: Seconds) -> list[FlowEffect]:
        """Take one event at a time and return what is to be done."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @handle.register(ev.ControlReceived)
    def _(self, event: ev.ControlReceived, now: Seconds) -> list[FlowEffect]:
        self._shift_for_pause(now)
        if self.unresponsive_peers.is_tracking:
            self.unresponsive_peers.record_heard(format_node_id(event.sender))
        return self._handle_message(event.message, event.sender, now)

    @handle.register(fev.UpstreamReport)
    def _(self, event: fev.UpstreamReport, now: Seconds) -> list[FlowEffect]:
        return self.upstream.handle_report(event, now)

    @handle.register(fev.UpstreamLeft)
    def _(self, event: fev.UpstreamLeft, now: Seconds) -> list[FlowEffect]:
        return self.upstream.handle_end(event, now)

    @handle.register(fev.UpstreamUnreachable)
    def _(self, event: fev.UpstreamUnreachable, now: Seconds) -> list[FlowEffect]:
        return self.upstream.handle_unreachable(now)

    @handle.register(fev.MachineAnswered)
    def _(self, event: fev.MachineAnswered, now: Seconds) -> list[FlowEffect]:
        self.unresponsive_peers.record_machine_alive(event.node_id, now)
        return [fx.Count("machine_probe", "answered")]

    @handle.register(fev.RoutesPulled)
    def _(self, event: fev.RoutesPulled, now: Seconds) -> list[FlowEffect]:
        effects = self.routes.handle_reply(event.reply)
        self.registration.routes_revision = self.routes.revision
        return effects + self.open_handler.retry_queued(now)

    @handle.register(fev.RoutesPullFailed)
    def _(self, event: fev.RoutesPullFailed, now: Seconds) -> list[FlowEffect]:
        self.routes.allow_pull()
        return [fx.Count("pull_failed", "routes")]

    @handle.register(ev.Leave)
    def _(self, event: ev.Leave, now: Seconds) -> list[FlowEffect]:
        self.is_leaving = True
        alive = self.upstream.is_alive
        self.registration.announce(Status.DRAINING if alive else Status.LEFT)
        heartbeats = self.registration.send_heartbeats(0, 0, now)
        return [*heartbeats, *self.send_load_report(now)]

    @handle.register(ev.Tick)
    def _(self, event: ev.Tick, now: Seconds) -> list[FlowEffect]:
        self._shift_for_pause(now)
        effects: list[FlowEffect] = list(self.registration.tick(0, 0, now))
        effects += self.unresponsive_peers.tick(now)
        effects += self.unresponsive_peers.probe_machines(now)
        effects += self.upstream.tick(now)
        idle_limit = self.routes.table.idle_timeout + IDLE_MARGIN
        self.flows.sweep(idle_limit, now)
        self.redirects.sweep(idle_limit, now)
        if now >= self._next_load_report_at:
            effects += self.send_load_report(now)
        return effects

    # Messages

    @singledispatchmethod
    def _handle_message(
        self, message: msg.FlowMessage, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return [fx.Count("control_dropped", "unexpected")]

    @_handle_message.register(msg.FlowLocation)
    def _(
        self, message: msg.FlowLocation, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        self.open_handler.record_taken(message.flow)
        if message.holder and message.holder != self.node_id:
            self.redirects.record(message.flow, message.holder, now)
        else:
            self.redirects.forget(message.flow)
        return []

    @_handle_message.register(msg.FlowQuery)
    def _(
        self, message: msg.FlowQuery, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return [fx.SendControl(sender, self.locator.answer_query(message.flow, now))]

    @_handle_message.register(msg.FlowQueryReply)
    def _(
        self, message: msg.FlowQueryReply, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return self.locator.handle_query_reply(message, format_node_id(sender), now)

    @_handle_message.register(msg.LoadReport)
    def _(
        self, message: msg.LoadReport, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        node_id = format_node_id(sender)
        peer = self.placement.peer_by_id.get(node_id)
        if peer is not None and message.service == self.service:
            peer.handle_report(message, now)
        return []

    @_handle_message.register(msg.FlowHeartbeatAck)
    def _(
        self, message: msg.FlowHeartbeatAck, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        if not self.registration.handle_flow_ack(message, sender, now):
            return []
        if message.agents is not None:
            changed = self.placement.update_agents(message.agents, self.node_id, now)
            if changed or self.agents_changed_at > now:
                self.agents_changed_at = now
            self.registration.agents_digest = digest_agents(message.agents)
        balancer = format_node_id(sender)
        return self.routes.observe_revision(balancer, message.revision, now)

    @_handle_message.register(msg.RoutesChanged)
    def _(
        self, message: msg.RoutesChanged, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        balancer = format_node_id(sender)
        return self.routes.observe_revision(balancer, message.revision, now)

    @_handle_message.register(msg.Ping)
    def _(self, message: msg.Ping, sender: Address, now: Seconds) -> list[FlowEffect]:
        return [fx.SendControl(sender, msg.Pong())]

    @_handle_message.register(msg.Pong)
    def _(self, message: msg.Pong, sender: Address, now: Seconds) -> list[FlowEffect]:
        return []

    # Shared

    def send_load_report(self, now: Seconds) -> list[FlowEffect]:
        """Tell some of the other agents how busy the upstream is."""
        peers = list(self.placement.peer_by_id)
        told = self.rng.sample(peers, min(LOAD_REPORT_FANOUT, len(peers)))
        self._next_load_report_at = now + LOAD_REPORT_PERIOD
        slots = self.upstream.slots
        message = msg.LoadReport(
            self.routes.revision,
            self.service,
            not self.is_leaving and self.upstream.find_reject_reason(now) is None,
            round(self.flows.compute_utilization(slots, now), 3),
            slots,
        )
        return [fx.SendControl(parse_address(node_id), message) for node_id in told]

    def _shift_for_pause(self, now: Seconds) -> None:
        gap = self.pause_detector.record(now)
        if gap:
            self.upstream.health.shift_for_pause(gap)
            self.unresponsive_peers.shift_for_pause(gap)
            self.deadlines.shift_for_pause(gap)
