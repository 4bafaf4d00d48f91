"""The state machine of an agent for datagram flows, without I/O.

All packets to an upstream pass through its agent, so the agent enforces what must
never reach the upstream, regardless of the state of balancers and other agents. It
tracks its upstream's flows from the packets of both directions, places opens as the
home agent of a flow, and looks up the holder of a flow that it does not have.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.deadlines import Deadlines
from bilberrypath.coordination.flow_location_cache import FlowLocationCache
from bilberrypath.coordination.flow_locator import FlowLocator
from bilberrypath.coordination.flow_registration import FlowRegistration
from bilberrypath.coordination.held_flows import HeldFlows
from bilberrypath.coordination.load_reporter import LoadReporter
from bilberrypath.coordination.location_transfers import LocationTransfers
from bilberrypath.coordination.open_handler import OpenHandler
from bilberrypath.coordination.open_placement import OpenPlacement
from bilberrypath.coordination.packet_relay import (
    is_redirect_refuted,
    list_notified,
    may_follow_redirect,
    relay_to,
)
from bilberrypath.coordination.pause_detector import PauseDetector
from bilberrypath.coordination.query_answers import answer_query
from bilberrypath.coordination.request_scheduler import RequestScheduler
from bilberrypath.coordination.route_tracker import RouteTracker
from bilberrypath.coordination.service_peers import ServicePeers
from bilberrypath.coordination.trials import has_unanswered_trial
from bilberrypath.coordination.unresponsive_peers import UnresponsivePeers
from bilberrypath.coordination.upstream_monitor import UpstreamMonitor
from bilberrypath.coordination.upstream_packets import UpstreamPackets
from bilberrypath.dispatch import dispatchmethod
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import format_node_id, parse_address

if TYPE_CHECKING:
    from random import Random

    from bilberrypath.coordination.events import Event
    from bilberrypath.coordination.flow_agent_setup import FlowAgentSetup
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_packet import FlowPacket, PacketCodec
    from bilberrypath.types import Address, NodeId, Seconds

JOIN_QUIET_TIME: Seconds = 0.3  # no new agent for longer than a heartbeat's period
IDLE_MARGIN: Seconds = 5.0  # added to the idle timeout, to outlast both ends of a flow


class FlowAgent:
    """The core of an agent: it guards one upstream, and places and looks up flows."""

    def __init__(
        self, setup: FlowAgentSetup, codec: PacketCodec, rng: Random, now: Seconds
    ) -> None:
        self.setup = setup
        self.codec = codec
        self.rng = rng
        self.routes = RouteTracker()
        self.registration = FlowRegistration(setup.own_member, setup.seeds, rng)
        self.flows = HeldFlows(find_terms=self.routes.find_terms)
        self.redirects = FlowLocationCache()
        self.unresponsive_peers = UnresponsivePeers()
        self.placement = OpenPlacement(rng)
        self.deadlines: Deadlines[tuple[str, bytes]] = Deadlines()
        self.request_scheduler = RequestScheduler(self)
        self.upstream = UpstreamMonitor(self, now)
        self.open_handler = OpenHandler(self)
        self.locator = FlowLocator(self)
        self.location_transfers = LocationTransfers(self)
        self.upstream_packets = UpstreamPackets(self)
        self.started_at = now
        self.agents_changed_at = float("inf")  # until a first list of agents arrives
        self.peers = ServicePeers(self, LoadReporter(rng, now))
        self.is_leaving = False
        self.pause_detector = PauseDetector(now)

    @property
    def node_id(self) -> NodeId:
        """The node ID of this process."""
        return self.registration.own_member.node_id

    @property
    def service(self) -> str:
        """The service that the upstream runs."""
        return self.registration.own_member.service

    def may_end(self, now: Seconds) -> bool:
        """Return whether this process can exit without interrupting a request.

        It can if no request is running and none is about to begin on a flow that was
        just opened, or if the upstream is not alive. Flows of one that is about to end
        are still to be reset, and sent locations of flows to be acknowledged.
        """
        if self.upstream.awaits_end or not self.location_transfers.is_confirmed(now):
            return False
        is_idle = self.flows.busy_count + self.flows.count_awaiting_data(now) == 0
        return is_idle or not self.upstream.is_alive

    @property
    def is_ready(self) -> bool:
        """Whether a route table is known, so that opens can be placed."""
        return self.routes.revision > 0

    def is_joining(self, now: Seconds) -> bool:
        """Return whether this process just started and may learn of more agents."""
        is_new = now - self.started_at < ev.STARTUP_WINDOW
        return is_new and now - self.agents_changed_at < JOIN_QUIET_TIME

    def next_timer_at(self) -> Seconds | None:
        """Return when :meth:`run_due_timers` is due next; None if no timer is set."""
        return self.deadlines.next_at()

    def run_due_timers(self, now: Seconds) -> list[FlowEffect]:
        """Handle all deadlines that have passed, and return the effects."""
        self._shift_for_pause(now)
        effects: list[FlowEffect] = []
        for kind, flow in self.deadlines.pop_due(now):
            if kind == "lookup":
                effects += self.locator.handle_timeout(flow, now)
            elif kind == "query":
                effects += self.locator.query_waiting(now)
            elif kind == "retry":
                effects += self.locator.lost_flows.retry(flow, now)
            elif kind == "end":
                effects += self.upstream.probe_until_end(now)
            elif kind == "gate":
                effects += self.request_scheduler.release_due(now)
            else:
                effects += self.open_handler.handle_deadline(kind, flow, now)
        return effects

    # Packets

    def handle_forwarded_packet(
        self, forwarded: msg.ForwardedPacket, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        """Return the effects of a client packet from a balancer or another agent.

        An open that was read just after a pause is dropped: it may have waited in the
        socket, and the client may have retransmitted it elsewhere.
        """
        self._shift_for_pause(now)
        packet = self.codec.parse_client_packet(forwarded.datagram)
        if packet is None:
            return [fx.Count("packet_dropped", "not_a_packet")]
        if packet.is_syn and self.pause_detector.is_reading_backlog(now):
            return [fx.Count("open_dropped", "waited_through_pause")]
        effects: list[FlowEffect] = []
        sender_id = format_node_id(sender)
        if forwarded.revision != self.routes.revision:
            peer = forwarded.origin_balancer or sender_id
            effects += self.routes.observe_revision(peer, forwarded.revision, now)
        return effects + self.route(forwarded, packet, sender_id, now)

    def route(
        self,
        forwarded: msg.ForwardedPacket,
        packet: FlowPacket,
        sender: NodeId,
        now: Seconds,
    ) -> list[FlowEffect]:
        """Deliver, queue or relay a packet, or place or look up its flow."""
        held = self.flows.get(packet.flow)
        if held is not None and has_unanswered_trial(self, held, now):
            return self.locator.end_trial(forwarded, packet, now)
        if held is not None and not held.may_take(packet, now):
            return [fx.Count("packet_queued", "not_confirmed")]
        if held is not None:
            if self.request_scheduler.is_active:
                sent = self.request_scheduler.deliver(held, packet, now)
            else:
                self.flows.record_client_packet(held, packet, now)
                sent = [ffx.SendToUpstream(packet.datagram)]
            if not forwarded.wants_location:
                return sent
            tried = forwarded.tried_agents if packet.is_syn else ()
            own = self.node_id
            notices = self.send_location(
                forwarded, packet.flow, own, sender, tried, is_certain=held.is_confirmed
            )
            return [*sent, *notices]
        if self.locator.try_queue(forwarded, packet):
            return []
        holder = self.redirects.find(packet.flow, now)
        if holder is not None and may_follow_redirect(
            self, holder, sender, forwarded, now
        ):
            self.unresponsive_peers.expect_answer(holder, now)
            return relay_to(self, holder, forwarded, packet, is_located=True)
        if packet.is_syn or is_redirect_refuted(holder, sender, forwarded):
            self.redirects.forget(packet.flow)
        if packet.is_syn:
            return self.open_handler.place(forwarded, packet, sender, now)
        return self.locator.locate(forwarded, packet, now)

    def send_location(
        self,
        forwarded: msg.ForwardedPacket,
        flow: bytes,
        holder: NodeId,
        sender: NodeId = "",
        tried_agents: tuple[NodeId, ...] = (),
        **qualifiers: bool,
    ) -> list[FlowEffect]:
        """Send a flow's location to the processes that handled its packet.

        ``tried_agents`` are told too; see :func:`list_notified`. Nothing is sent unless
        the location is wanted. An empty ``holder`` means that no holder is known, and
        ``qualifiers`` are further fields of the message.
        """
        if not forwarded.wants_location:
            return []
        services = () if holder else tuple(self.routes.list_services(flow))
        message = msg.FlowLocation(
            flow, holder, self.service, services=services, **qualifiers
        )
        return [
            fx.SendControl(parse_address(node_id), message)
            for node_id in list_notified(forwarded, self.node_id, sender, tried_agents)
        ]

    def handle_upstream_packet(self, datagram: bytes, now: Seconds) -> list[FlowEffect]:
        """Return the effects of a packet that the upstream sent or returned."""
        self._shift_for_pause(now)
        return self.upstream_packets.handle(datagram, now)

    def reset(self, flow: bytes, acknowledged: int, reason: str) -> list[FlowEffect]:
        """Send a reset for a flow to its client, and log and count the reason."""
        datagram = self.codec.make_reset(flow, acknowledged)
        return [
            fx.Count("flow_reset", reason),
            ffx.SendToClient(flow, datagram),
            ffx.LogDecision("flow_reset", flow, {"reason": reason}),
        ]

    @dispatchmethod
    def handle(self, event: Event, now: Seconds) -> list[FlowEffect]:
        """Handle one event and return its effects."""
        raise TypeError(
            f"FlowAgent has no handler for event type {type(event).__name__}; "
            "register one with FlowAgent.handle"
        )

    @handle.register(ev.ControlReceived)
    def _(self, event: ev.ControlReceived, now: Seconds) -> list[FlowEffect]:
        self._shift_for_pause(now)
        if self.unresponsive_peers.is_tracking:
            self.unresponsive_peers.record_received(format_node_id(event.sender))
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
        effects += self.request_scheduler.update(now)
        effects += self.upstream.announce_status("routes", now)
        return effects + self.open_handler.retry_queued(now)

    @handle.register(fev.RoutesPullFailed)
    def _(self, event: fev.RoutesPullFailed, now: Seconds) -> list[FlowEffect]:
        self.routes.allow_pull()
        return [fx.Count("pull_failed", "routes")]

    @handle.register(ev.Leave)
    def _(self, event: ev.Leave, now: Seconds) -> list[FlowEffect]:
        self.is_leaving = True
        return [*self.request_scheduler.update(now), *self.peers.announce_end(now)]

    @handle.register(fev.Ending)
    def _(self, event: fev.Ending, now: Seconds) -> list[FlowEffect]:
        return self.location_transfers.send(now)

    @handle.register(ev.Tick)
    def _(self, event: ev.Tick, now: Seconds) -> list[FlowEffect]:
        self._shift_for_pause(now)
        self.routes.former_services.tick(now)
        effects: list[FlowEffect] = list(self.registration.tick(0, 0, now))
        effects += self.unresponsive_peers.tick(now)
        effects += self.unresponsive_peers.probe_machines(now)
        effects += self.upstream.tick(now)
        idle_limit = self.routes.table.idle_timeout + IDLE_MARGIN
        self.flows.sweep(idle_limit, now)
        self.redirects.sweep(idle_limit, now)
        effects += self.request_scheduler.handle_removed(now)
        return effects + self.peers.tick(now)

    # Messages

    @dispatchmethod
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
        return [fx.SendControl(sender, answer_query(self, message, now))]

    @_handle_message.register(msg.FlowQueryReply)
    def _(
        self, message: msg.FlowQueryReply, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return self.locator.handle_query_reply(message, format_node_id(sender), now)

    @_handle_message.register(msg.LocationTransfer)
    @_handle_message.register(msg.LocationTransferAck)
    def _(
        self, message: msg.TransferMessage, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return self.location_transfers.handle(message, format_node_id(sender), now)

    @_handle_message.register(msg.LoadReport)
    def _(
        self, message: msg.LoadReport, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return self.peers.handle_load_report(message, format_node_id(sender), now)

    @_handle_message.register(msg.FlowHeartbeat)
    def _(
        self, message: msg.FlowHeartbeat, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        self.peers.handle_end(message.member, format_node_id(sender), now)
        return []

    @_handle_message.register(msg.FlowHeartbeatAck)
    def _(
        self, message: msg.FlowHeartbeatAck, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        if not self.registration.handle_flow_ack(message, sender, now):
            return []
        balancer = format_node_id(sender)
        effects = self.routes.observe_revision(balancer, message.revision, now)
        self.peers.learn_absent(message.absent, now)
        if self.registration.adopt_agents(message, self.placement, now):
            self.agents_changed_at = now
            effects += self.open_handler.retry_queued(now)
        return effects

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

    def _shift_for_pause(self, now: Seconds) -> None:
        if pause := self.pause_detector.record(now):
            self.upstream.health.shift_for_pause(pause)
            self.flows.shift_for_pause(pause)
            self.unresponsive_peers.shift_for_pause(pause)
            self.deadlines.shift_for_pause(pause)
            self.request_scheduler.shift_for_pause()
