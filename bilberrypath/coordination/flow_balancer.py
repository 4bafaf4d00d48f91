"""The state machine of a balancer for datagram flows.

A balancer keeps no state that a flow depends on: agents report the location of
a flow, and it is only cached here. Packets of a flow without a cached location
are forwarded to the flow's home agent, the first agent of the service by
rendezvous hash, which has a redirect to the holder or looks the holder up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.absent_agents import MAX_SENT_AGENTS
from bilberrypath.coordination.flow_location_cache import FlowLocationCache
from bilberrypath.coordination.flow_resolver import FlowResolver
from bilberrypath.coordination.freshness import Freshness
from bilberrypath.coordination.gossiper import PUSH_FANOUT, Gossiper, send_to_node
from bilberrypath.coordination.pause_detector import PauseDetector
from bilberrypath.coordination.rendezvous import is_store_reader
from bilberrypath.coordination.route_tracker import RouteTracker
from bilberrypath.coordination.trial_budget import MAX_TRIALS
from bilberrypath.coordination.unproven_losses import LATE_AGENT_TIME
from bilberrypath.coordination.unresponsive_peers import UnresponsivePeers
from bilberrypath.dispatch import dispatchmethod
from bilberrypath.protocol import control as ctl
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import format_node_id, parse_address
from bilberrypath.state.members import Role, Status

if TYPE_CHECKING:
    from random import Random

    from bilberrypath.coordination.events import Event
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_packet import FlowPacket, PacketCodec
    from bilberrypath.state.members import Member
    from bilberrypath.types import Address, NodeId, Seconds, ServiceName

MS_PER_SECOND = 1000
IDLE_MARGIN: Seconds = 5.0  # a cached location outlives the flow's own idle timeout


class FlowBalancer:
    """The core of a balancer: it forwards packets and tracks members and routes.

    Methods that handle events or packets take ``now`` as the last argument, a
    monotonic time in seconds that never decreases, and return effects.
    """

    def __init__(
        self,
        own_member: Member,
        seeds: tuple[Address, ...],
        codec: PacketCodec,
        rng: Random,
        now: Seconds,
    ) -> None:
        self.rng = rng
        self.routes = RouteTracker()
        self.freshness = Freshness()
        self.gossiper = Gossiper(
            own_member,
            seeds,
            rng,
            self.freshness,
            lambda: self.routes.revision,
            self._observe_revision,
            now,
        )
        self.members = self.gossiper.members
        self.location_cache = FlowLocationCache()
        self.unresponsive_peers = UnresponsivePeers()
        self.codec = codec
        self.resolver = FlowResolver(self)
        self.pause_detector = PauseDetector(now)
        self.unreachable_data_centres: frozenset[str] = frozenset()

    @property
    def is_ready(self) -> bool:
        """Whether opens can be placed: a route table is loaded and the join is done."""
        return self.routes.revision > 0 and self.gossiper.is_joined

    @property
    def can_forward(self) -> bool:
        """Whether there is a route table and an agent to forward packets to."""
        return self.routes.revision > 0 and self.members.table.has_agents

    @property
    def should_read_store(self) -> bool:
        """Whether this balancer should watch the platform's route service.

        Without a route table every balancer does, later only the store readers
        of the data centre.
        """
        if self.routes.revision == 0:
            return True
        return is_store_reader(self.members.own_member, self.members.table)

    def remembers_agents(self, now: Seconds) -> bool:
        """Return whether an agent that is away is known to some balancer.

        That is so unless all balancers started within the last ``LATE_AGENT_TIME``.
        """
        own_member = self.members.own_member
        balancers = self.members.table.list_balancers()
        incarnations = [own_member.incarnation, *(b.incarnation for b in balancers)]
        older_by = (own_member.incarnation - min(incarnations)) / MS_PER_SECOND
        return now - self.gossiper.started_at + older_by >= LATE_AGENT_TIME

    def next_timer_at(self) -> Seconds | None:
        """Return when :meth:`run_due_timers` is due next; None if no timer is set."""
        return self.resolver.deadlines.next_at()

    def run_due_timers(self, now: Seconds) -> list[FlowEffect]:
        """Retry each lookup whose answer is overdue at the next agent in rank."""
        return self.resolver.run_due_timers(now)

    # Packets

    def handle_client_packet(self, datagram: bytes, now: Seconds) -> list[FlowEffect]:
        """Forward a client's datagram, or drop it."""
        packet = self.codec.parse_client_packet(datagram)
        if packet is None:
            return [fx.Count("packet_dropped", "not_a_packet")]
        self.pause_detector.record(now)
        # An open that waited in the socket through a pause is stale: its client has
        # since retransmitted it elsewhere or abandoned it.
        if packet.is_syn and self.pause_detector.is_reading_backlog(now):
            return [fx.Count("open_dropped", "waited_through_pause")]
        return self.route_packet(packet, now)

    def route_packet(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Forward a packet to the holder of its flow, or look the flow up."""
        holder = self.location_cache.find(packet.flow, now)
        if holder is None or self._is_gone(holder):
            return self.resolver.resolve(packet, now)
        may_reset = self.resolver.may_reset(packet.flow)
        forwarded = self.forward(
            packet,
            "",
            holder,
            wants_location=False,
            may_reset=may_reset,
            is_located=True,
        )
        return [forwarded]

    def _is_gone(self, holder: NodeId) -> bool:
        """Return whether the member table lists an agent as left or removed."""
        member = self.members.table.get(holder)
        return member is not None and member.is_gone

    def forward(
        self,
        packet: FlowPacket,
        service: ServiceName,
        agent_id: NodeId,
        wants_location: bool,
        may_reset: bool,
        may_try: bool = True,
        max_trials: int = MAX_TRIALS,
        is_located: bool = False,
    ) -> fx.SendControl:
        """Return the effect that forwards a packet to an agent.

        ``wants_location`` makes the agent report the flow's location, and
        ``may_reset`` allows a reset if no agent of the service has the flow.
        ``may_try`` and ``max_trials`` limit deliveries to upstreams that may not have
        it, and ``is_located`` states that the agent is known as its holder; see
        :class:`~bilberrypath.protocol.flow_messages.ForwardedPacket`.
        """
        message = msg.ForwardedPacket(
            self.routes.revision,
            service,
            origin_balancer=self.members.own_member.node_id,
            wants_location=wants_location,
            home_agent="",
            tried_agents=(),
            hops=0,
            may_reset=may_reset,
            datagram=packet.datagram,
            client_data_centre=self.members.own_member.data_centre,
            may_try=may_try,
            max_trials=max_trials,
            is_located=is_located,
        )
        return fx.SendControl(parse_address(agent_id), message)

    # Events

    @dispatchmethod
    def handle(self, event: Event, now: Seconds) -> list[FlowEffect]:
        """Handle one event and return its effects."""
        raise TypeError(
            f"FlowBalancer has no handler for event type {type(event).__name__}; "
            "register one with FlowBalancer.handle"
        )

    @handle.register(ev.ControlReceived)
    def _(self, event: ev.ControlReceived, now: Seconds) -> list[FlowEffect]:
        if self.unresponsive_peers.is_tracking:
            self.unresponsive_peers.record_received(format_node_id(event.sender))
        effects = self._handle_message(event.message, event.sender, now)
        self._forget_changed_services()
        return effects

    @handle.register(ev.TablePulled)
    def _(self, event: ev.TablePulled, now: Seconds) -> list[FlowEffect]:
        effects = self.gossiper.handle_pulled_table(event, now)
        self._forget_changed_services()
        return effects

    @handle.register(ev.PullFailed)
    def _(self, event: ev.PullFailed, now: Seconds) -> list[FlowEffect]:
        return [fx.Count("pull_failed", "members")]

    @handle.register(fev.RoutesPulled)
    def _(self, event: fev.RoutesPulled, now: Seconds) -> list[FlowEffect]:
        return self._announce_adopted(self.routes.handle_reply(event.reply))

    @handle.register(fev.RoutesRead)
    def _(self, event: fev.RoutesRead, now: Seconds) -> list[FlowEffect]:
        if event.table is None:
            return []
        return self._announce_adopted(self.routes.handle_store_read(event.table, now))

    @handle.register(fev.RoutesPullFailed)
    def _(self, event: fev.RoutesPullFailed, now: Seconds) -> list[FlowEffect]:
        self.routes.allow_pull()
        return [fx.Count("pull_failed", "routes")]

    @handle.register(ev.Leave)
    def _(self, event: ev.Leave, now: Seconds) -> list[FlowEffect]:
        self.members.announce(Status.LEFT)
        recipients = self.gossiper.sample_peers(self.members.list_peers(), PUSH_FANOUT)
        return [
            send_to_node(peer, ctl.Gossip(self.gossiper.make_gossip()))
            for peer in recipients
        ]

    @handle.register(ev.Tick)
    def _(self, event: ev.Tick, now: Seconds) -> list[FlowEffect]:
        self.unresponsive_peers.shift_for_pause(self.pause_detector.record(now))
        self.routes.former_services.tick(now)
        effects: list[FlowEffect] = list(self.members.tick(now))
        self.unreachable_data_centres = (
            self.members.data_centre_liveness.list_unreachable(now)
        )
        peers = self.members.list_peers()
        effects += self.gossiper.probe(peers, now)
        effects += self.gossiper.probe_seeds(peers, now)
        effects += self.gossiper.send_gossip(peers)
        effects += self.gossiper.pull_differing_records(now)
        effects += self.unresponsive_peers.tick(now)
        self.gossiper.stop_waiting_to_join(now)
        self.location_cache.sweep(self.routes.table.idle_timeout + IDLE_MARGIN, now)
        self._forget_changed_services()
        return effects

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
        if message.holder:
            self.location_cache.record(message.flow, message.holder, now)
        elif not message.refuses_open:  # another agent may have taken that one
            self.location_cache.forget(message.flow)
        return self.resolver.handle_location(message, now)

    @_handle_message.register(msg.FlowHeartbeat)
    def _(
        self, message: msg.FlowHeartbeat, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        member = message.member
        if member.role is not Role.AGENT or member.address != sender:
            return [fx.Count("control_dropped", "wrong_sender")]
        effects = self.members.merge(member, now)
        if not member.is_gone:
            self.members.heartbeat_monitor.record(
                member.node_id, message.revision, 0, now
            )
        self.members.data_centre_liveness.record_received(member.data_centre, now)
        effects += self.routes.observe_revision(member.node_id, message.revision, now)
        return [
            *effects,
            fx.SendControl(sender, self._make_heartbeat_ack(message, now)),
        ]

    @_handle_message.register(msg.RoutesChanged)
    def _(
        self, message: msg.RoutesChanged, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return self._observe_revision(sender, message.revision, now)

    @_handle_message.register(msg.Ping)
    def _(self, message: msg.Ping, sender: Address, now: Seconds) -> list[FlowEffect]:
        return [fx.SendControl(sender, msg.Pong())]

    @_handle_message.register(msg.Pong)
    def _(self, message: msg.Pong, sender: Address, now: Seconds) -> list[FlowEffect]:
        return []

    @_handle_message.register(ctl.Probe)
    def _(self, message: ctl.Probe, sender: Address, now: Seconds) -> list[FlowEffect]:
        return self.gossiper.answer_probe(message, sender, now)

    @_handle_message.register(ctl.IndirectProbe)
    def _(
        self, message: ctl.IndirectProbe, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return self.gossiper.relay_probe(message, sender, now)

    @_handle_message.register(ctl.ProbeAck)
    def _(
        self, message: ctl.ProbeAck, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return self.gossiper.handle_probe_ack(message, sender, now)

    @_handle_message.register(ctl.Gossip)
    def _(self, message: ctl.Gossip, sender: Address, now: Seconds) -> list[FlowEffect]:
        return self.gossiper.handle_gossip(message.gossip, sender, now)

    # Shared

    def _make_heartbeat_ack(
        self, message: msg.FlowHeartbeat, now: Seconds
    ) -> msg.FlowHeartbeatAck:
        member = message.member
        table = self.members.table
        ack = msg.FlowHeartbeatAck(
            message.sequence,
            self.routes.revision,
            table.get(member.node_id) or member,
            self.members.list_heartbeat_targets(member.node_id, member.data_centre),
            agents=None,
            agents_digest=table.digest_agents(member.service),
            base_digest=message.agents_digest,
        )
        if ack.agents_digest == message.agents_digest or not self.gossiper.is_joined:
            return ack
        removed = self.members.list_removed_agents(member.service, now)
        ack = msgspec.structs.replace(ack, absent=tuple(removed[:MAX_SENT_AGENTS]))
        changed = table.list_changed_agents(member.service, message.agents_digest)
        if changed is not None and message.takes_changes:
            return msgspec.structs.replace(ack, changed_agents=tuple(changed))
        agents = tuple(table.list_agents(member.service))
        return msgspec.structs.replace(ack, agents=agents)

    def _observe_revision(
        self, sender: Address, revision: int, now: Seconds
    ) -> list[FlowEffect]:
        return self.routes.observe_revision(format_node_id(sender), revision, now)

    def _announce_adopted(self, effects: list[FlowEffect]) -> list[FlowEffect]:
        """Announce a newly adopted route table to some peers and to the agents."""
        if not any(isinstance(effect, ffx.RoutesAdopted) for effect in effects):
            return effects
        self.gossiper.record_adopted(self.routes.revision)
        recipients = self.gossiper.sample_peers(self.members.list_peers(), PUSH_FANOUT)
        recipients += list(self.members.heartbeat_monitor.heartbeat_by_id)
        message = msg.RoutesChanged(self.routes.revision)
        return [*effects, *(send_to_node(node_id, message) for node_id in recipients)]

    def _forget_changed_services(self) -> None:
        """Drop the cached ranks of services whose members changed."""
        if self.members.changed_services:
            self.resolver.ranking.forget(self.members.changed_services)
            self.members.changed_services.clear()
