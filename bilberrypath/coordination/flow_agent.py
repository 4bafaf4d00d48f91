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
from bilberrypath.coordination.flow_location_cache import FlowPlaces
from bilberrypath.coordination.flow_locator import FlowFinder
from bilberrypath.coordination.flow_registration import FlowPresence
from bilberrypath.coordination.held_flows import HeldFlows
from bilberrypath.coordination.open_handler import FlowOpener
from bilberrypath.coordination.open_placement import OpenPlacement
from bilberrypath.coordination.pause_detector import OwnPauses
from bilberrypath.coordination.route_tracker import RouteKeeper
from bilberrypath.coordination.unresponsive_peers import SilentPeers
from bilberrypath.coordination.upstream_monitor import UpstreamKeeper
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import to_address, to_node_id
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

REPORT_PERIOD: Seconds = 0.3  # a few running times of a request
REPORT_FANOUT = 8  # agents told each time; others hear within a few periods
IDLE_SLACK: Seconds = 5.0  # a flow is kept longer than its ends keep it


@frozen
class FlowAgentSetup:
    """What an agent is told at its start.

    ``upstream_address`` is the address at which its upstream receives packets.
    ``knows_all`` says that the upstream has no flow that this process did not
    see; otherwise that is so after ``flow_lifetime``, the longest that a flow
    lasts. ``report_period`` is the time between reports of the upstream.
    """

    me: Member
    seeds: tuple[Address, ...]
    upstream_address: Address
    report_period: Seconds
    flow_lifetime: Seconds
    knows_all: bool = False


class FlowAgent:
    """Guard one upstream, and find and place the flows of its service."""

    def __init__(
        self, setup: FlowAgentSetup, codec: PacketCodec, rng: Random, now: Seconds
    ) -> None:
        self.setup = setup
        self.codec = codec
        self.rng = rng
        self.routes = RouteKeeper()
        self.presence = FlowPresence(setup.me, setup.seeds, rng)
        self.flows = HeldFlows()
        self.redirects = FlowPlaces()
        self.silent = SilentPeers()
        self.placement = OpenPlacement(rng)
        self.deadlines: Deadlines[tuple[str, bytes]] = Deadlines()
        self.upstream = UpstreamKeeper(self, now)
        self.opener = FlowOpener(self)
        self.finder = FlowFinder(self)
        self.agents_changed_at = float("inf")  # no list of agents was heard yet
        self._next_report_at = now
        self.is_leaving = False
        self.pauses = OwnPauses(now)

    @property
    def node_id(self) -> NodeId:
        """The name of this process."""
        return self.presence.me.node_id

    @property
    def service(self) -> str:
        """The service of the upstream."""
        return self.presence.me.service

    @property
    def may_end(self) -> bool:
        """Whether ending now cuts no request: none runs, or none can."""
        return self.flows.busy_count == 0 or not self.upstream.is_alive

    @property
    def is_ready(self) -> bool:
        """Whether opens can be judged."""
        return self.routes.revision > 0

    def next_wake(self) -> Seconds | None:
        """Return when :meth:`wake` is to be called, or None."""
        return self.deadlines.next_at()

    def wake(self, now: Seconds) -> list[FlowEffect]:
        """Act on the deadlines that have come."""
        self._pardon_own_pause(now)
        effects: list[FlowEffect] = []
        for kind, flow in self.deadlines.take_due(now):
            if kind == "search":
                effects += self.finder.stop_waiting(flow, now)
            else:
                effects += self.opener.take_deadline(kind, flow, now)
        return effects

    # Packets

    def take_carry(
        self, carry: msg.Carry, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        """Return what to do with a packet of a client."""
        self._pardon_own_pause(now)
        packet = self.codec.read_from_client(carry.datagram)
        if packet is None:
            return [fx.Count("packet_dropped", "not_a_packet")]
        if packet.opens and self.pauses.reads_backlog(now):
            return [fx.Count("open_dropped", "waited_through_pause")]
        effects: list[FlowEffect] = []
        if carry.revision > self.routes.revision:
            effects += self.routes.learn_of(carry.origin, carry.revision, now)
        return effects + self.route(carry, packet, to_node_id(sender), now)

    def route(
        self, carry: msg.Carry, packet: FlowPacket, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Deliver a packet here, or hand it to whoever has or takes its flow."""
        held = self.flows.get(packet.flow)
        if held is not None:
            self.flows.note_client(held, packet, now)
            told = self.tell_place(carry, packet.flow, self.node_id, sender)
            return [ffx.SendToUpstream(packet.datagram), *told]
        if self.finder.keep(carry, packet):
            return []
        holder = self.redirects.find(packet.flow, now)
        if holder is not None and self._may_ask(holder, sender, carry, now):
            self.silent.expect(holder, now)
            return self.pass_to(holder, carry, packet)
        self.redirects.forget(packet.flow)
        if packet.opens:
            return self.opener.place(carry, packet, sender, now)
        return self.finder.locate(carry, packet, now)

    def _may_ask(
        self, holder: NodeId, sender: NodeId, carry: msg.Carry, now: Seconds
    ) -> bool:
        """Return whether a redirect is still to be followed."""
        known = holder in self.placement.peer_by_id
        if self.node_id in carry.passed or self.silent.is_gone(holder, now):
            return False
        return (
            known and holder not in (sender, self.node_id) and holder not in carry.tried
        )

    def pass_to(
        self, agent: NodeId, carry: msg.Carry, packet: FlowPacket
    ) -> list[FlowEffect]:
        """Hand a packet to another agent."""
        passed = msgspec.structs.replace(
            carry,
            revision=max(carry.revision, self.routes.revision),
            service=carry.service or self.service,
            home=carry.home or self.node_id,
            seeks=True,
            hops=carry.hops + 1,
        )
        return [fx.SendControl(to_address(agent), passed)]

    def tell_place(
        self, carry: msg.Carry, flow: bytes, holder: NodeId, sender: NodeId = ""
    ) -> list[FlowEffect]:
        """Tell those who asked where a flow is, and all who passed it on."""
        if not carry.seeks:
            return []
        told = {carry.origin, carry.home, sender, *carry.passed, *carry.tried}
        told -= {"", self.node_id}
        message = msg.Placed(flow, holder)
        return [
            fx.SendControl(to_address(node_id), message) for node_id in sorted(told)
        ]

    def take_upstream_packet(self, datagram: bytes, now: Seconds) -> list[FlowEffect]:
        """Return what to do with a packet that the upstream sent or handed back."""
        self._pardon_own_pause(now)
        packet = self.codec.read_from_upstream(datagram)
        if packet is None:
            return [fx.Count("packet_dropped", "not_a_packet")]
        effects = self.upstream.note_heard(now)
        if packet.refused:
            return effects + self._take_refused(packet, now)
        held = self.flows.get(packet.flow)
        if held is None:
            if packet.resets or packet.closes:
                return [*effects, ffx.SendToClient(packet.flow, packet.datagram)]
            held = self._adopt_from_upstream(packet, now)
        if packet.accepts_open:
            effects += self.opener.note_accepted(packet.flow, now)
        self.flows.note_upstream(held, packet, now)
        return [*effects, ffx.SendToClient(packet.flow, packet.datagram)]

    def _adopt_from_upstream(self, packet: FlowPacket, now: Seconds) -> HeldFlow:
        held = self.flows.add(packet, confirmed=True, now=now)
        held.acknowledged = packet.sequence
        return held

    def _take_refused(self, packet: FlowPacket, now: Seconds) -> list[FlowEffect]:
        """Go on with a packet that the upstream does not hold or can't take."""
        clean = evolve(packet, refused=False, datagram=self.codec.strip_mark(packet))
        held = self.flows.remove(packet.flow, now)
        count = fx.Count("upstream_refused", "open" if packet.opens else "packet")
        if packet.opens:
            return [count, *self.opener.take_refused(clean, now)]
        lost = held is not None and held.confirmed
        return [count, *self.finder.take_refused(clean, lost, now)]

    def reset(self, flow: bytes, acknowledged: int, reason: str) -> list[FlowEffect]:
        """Tell a client that its flow is over."""
        datagram = self.codec.make_reset(flow, acknowledged)
        return [
            fx.Count("flow_reset", reason),
            ffx.SendToClient(flow, datagram),
            ffx.Decided("flow_reset", flow, {"reason": reason}),
        ]

    @singledispatchmethod
    def handle(self, event: Event, now: Seconds) -> list[FlowEffect]:
        """Take one event at a time and return what is to be done."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @handle.register(ev.ControlReceived)
    def _(self, event: ev.ControlReceived, now: Seconds) -> list[FlowEffect]:
        self._pardon_own_pause(now)
        if self.silent.awaits:
            self.silent.note_heard(to_node_id(event.sender))
        return self._take_message(event.message, event.sender, now)

    @handle.register(fev.UpstreamReport)
    def _(self, event: fev.UpstreamReport, now: Seconds) -> list[FlowEffect]:
        return self.upstream.take_report(event, now)

    @handle.register(fev.UpstreamLeft)
    def _(self, event: fev.UpstreamLeft, now: Seconds) -> list[FlowEffect]:
        return self.upstream.take_end(event, now)

    @handle.register(fev.UpstreamUnreachable)
    def _(self, event: fev.UpstreamUnreachable, now: Seconds) -> list[FlowEffect]:
        return self.upstream.take_unreachable(now)

    @handle.register(fev.MachineAnswered)
    def _(self, event: fev.MachineAnswered, now: Seconds) -> list[FlowEffect]:
        self.silent.note_machine(event.node_id, now)
        return [fx.Count("machine_probe", "answered")]

    @handle.register(fev.RoutesPulled)
    def _(self, event: fev.RoutesPulled, now: Seconds) -> list[FlowEffect]:
        effects = self.routes.take_reply(event.reply)
        self.presence.table_revision = self.routes.revision
        return effects + self.opener.retry_waiting(now)

    @handle.register(fev.RoutesPullFailed)
    def _(self, event: fev.RoutesPullFailed, now: Seconds) -> list[FlowEffect]:
        self.routes.allow_pull()
        return [fx.Count("pull_failed", "routes")]

    @handle.register(ev.Leave)
    def _(self, event: ev.Leave, now: Seconds) -> list[FlowEffect]:
        self.is_leaving = True
        alive = self.upstream.is_alive
        self.presence.announce(Status.DRAINING if alive else Status.LEFT)
        heartbeats = self.presence.send_heartbeats(0, 0, now)
        return [*heartbeats, *self.report_load(now)]

    @handle.register(ev.Tick)
    def _(self, event: ev.Tick, now: Seconds) -> list[FlowEffect]:
        self._pardon_own_pause(now)
        effects: list[FlowEffect] = list(self.presence.tick(0, 0, now))
        effects += self.silent.tick(now)
        effects += self.silent.probe_machines(now)
        effects += self.upstream.tick(now)
        idle_limit = self.routes.table.idle_timeout + IDLE_SLACK
        self.flows.sweep(idle_limit, now)
        self.redirects.sweep(idle_limit, now)
        if now >= self._next_report_at:
            effects += self.report_load(now)
        return effects

    # Messages

    @singledispatchmethod
    def _take_message(
        self, message: msg.FlowMessage, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return [fx.Count("control_dropped", "unexpected")]

    @_take_message.register(msg.Placed)
    def _(self, message: msg.Placed, sender: Address, now: Seconds) -> list[FlowEffect]:
        self.opener.note_placed(message.flow)
        if message.holder and message.holder != self.node_id:
            self.redirects.note(message.flow, message.holder, now)
        else:
            self.redirects.forget(message.flow)
        return []

    @_take_message.register(msg.WhoHolds)
    def _(
        self, message: msg.WhoHolds, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return [fx.SendControl(sender, self.finder.answer(message.flow, now))]

    @_take_message.register(msg.Holds)
    def _(self, message: msg.Holds, sender: Address, now: Seconds) -> list[FlowEffect]:
        return self.finder.take_answer(message, to_node_id(sender), now)

    @_take_message.register(msg.LoadReport)
    def _(
        self, message: msg.LoadReport, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        node_id = to_node_id(sender)
        peer = self.placement.peer_by_id.get(node_id)
        if peer is not None and message.service == self.service:
            peer.take_report(message, now)
        return []

    @_take_message.register(msg.FlowHeartbeatAck)
    def _(
        self, message: msg.FlowHeartbeatAck, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        if not self.presence.take_flow_ack(message, sender, now):
            return []
        if message.agents is not None:
            changed = self.placement.use_agents(message.agents, self.node_id, now)
            if changed or self.agents_changed_at > now:
                self.agents_changed_at = now
            self.presence.agents_digest = digest_agents(message.agents)
        balancer = to_node_id(sender)
        return self.routes.learn_of(balancer, message.revision, now)

    @_take_message.register(msg.RoutesChanged)
    def _(
        self, message: msg.RoutesChanged, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        balancer = to_node_id(sender)
        return self.routes.learn_of(balancer, message.revision, now)

    @_take_message.register(msg.Ping)
    def _(self, message: msg.Ping, sender: Address, now: Seconds) -> list[FlowEffect]:
        return [fx.SendControl(sender, msg.Pong())]

    @_take_message.register(msg.Pong)
    def _(self, message: msg.Pong, sender: Address, now: Seconds) -> list[FlowEffect]:
        return []

    # Shared

    def report_load(self, now: Seconds) -> list[FlowEffect]:
        """Tell some of the other agents how busy the upstream is."""
        peers = list(self.placement.peer_by_id)
        told = self.rng.sample(peers, min(REPORT_FANOUT, len(peers)))
        self._next_report_at = now + REPORT_PERIOD
        slots = self.upstream.slots
        message = msg.LoadReport(
            self.routes.revision,
            self.service,
            not self.is_leaving and self.upstream.find_unable(now) is None,
            round(self.flows.compute_pressure(slots, now), 3),
            slots,
        )
        return [fx.SendControl(to_address(node_id), message) for node_id in told]

    def _pardon_own_pause(self, now: Seconds) -> None:
        gap = self.pauses.note(now)
        if gap:
            self.upstream.watch.pardon(gap)
            self.silent.pardon(gap)
            self.deadlines.shift(gap)
