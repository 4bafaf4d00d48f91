"""The decisions of a balancer about datagram flows, as one state machine.

A balancer holds nothing that a flow would miss. Where a flow is it learns
from the agents; until then it hands packets to the flow's home, the first
agent of the service by rendezvous hash, which knows or finds out.
"""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.flow_location_cache import FlowPlaces
from bilberrypath.coordination.flow_resolver import FlowSeeker
from bilberrypath.coordination.freshness import Freshness
from bilberrypath.coordination.gossiper import PUSH_FANOUT, Fleet, send
from bilberrypath.coordination.pause_detector import OwnPauses
from bilberrypath.coordination.rendezvous import is_reader
from bilberrypath.coordination.route_tracker import RouteKeeper
from bilberrypath.coordination.unresponsive_peers import SilentPeers
from bilberrypath.protocol import control as ctl
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import to_address, to_node_id
from bilberrypath.state.agents_digest import digest_agents
from bilberrypath.state.members import Role, Status

if TYPE_CHECKING:
    from random import Random

    from bilberrypath.coordination.events import Event
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_packet import FlowPacket, PacketCodec
    from bilberrypath.state.members import Member
    from bilberrypath.types import Address, NodeId, Seconds, ServiceName

IDLE_SLACK: Seconds = 5.0  # a place outlives the flow's own idle timeout


class FlowBalancer:
    """Hand packets of clients to agents, and keep members and routes.

    Every public method takes the time as the last argument, a monotonic time
    in seconds that never falls, and returns effects.
    """

    def __init__(
        self,
        me: Member,
        seeds: tuple[Address, ...],
        codec: PacketCodec,
        rng: Random,
        now: Seconds,
    ) -> None:
        self.rng = rng
        self.routes = RouteKeeper()
        self.freshness = Freshness()
        self.fleet = Fleet(
            me,
            seeds,
            rng,
            self.freshness,
            lambda: self.routes.revision,
            self._learn_of,
            now,
        )
        self.members = self.fleet.members
        self.places = FlowPlaces()
        self.silent = SilentPeers()
        self.codec = codec
        self.seeker = FlowSeeker(self)
        self.pauses = OwnPauses(now)
        self.unreachable: frozenset[str] = frozenset()

    @property
    def is_ready(self) -> bool:
        """Whether opens can be placed: routes are held and peers are known."""
        return self.routes.revision > 0 and self.fleet.is_joined

    @property
    def can_place(self) -> bool:
        """Whether there are routes, and an agent to hand packets to."""
        return self.routes.revision > 0 and self.members.table.has_agents

    @property
    def reads_store(self) -> bool:
        """Whether this balancer should watch the platform's service now."""
        if self.routes.revision == 0:
            return True
        return is_reader(self.members.me, self.members.table)

    def next_wake(self) -> Seconds | None:
        """Return when :meth:`wake` is to be called, or None."""
        return self.seeker.deadlines.next_at()

    def wake(self, now: Seconds) -> list[FlowEffect]:
        """Ask other agents for the flows whose place nobody told in time."""
        return self.seeker.wake(now)

    # Packets

    def take_packet(self, datagram: bytes, now: Seconds) -> list[FlowEffect]:
        """Return what to do with a datagram of a client."""
        packet = self.codec.read_from_client(datagram)
        if packet is None:
            return [fx.Count("packet_dropped", "not_a_packet")]
        self.pauses.note(now)
        if packet.opens and self.pauses.reads_backlog(now):
            return [fx.Count("open_dropped", "waited_through_pause")]
        holder = self.places.find(packet.flow, now)
        if holder is None or self._is_gone(holder):
            return self.seeker.seek(packet, now)
        return [self.carry(packet, "", holder, False, True)]

    def _is_gone(self, holder: NodeId) -> bool:
        member = self.members.table.get(holder)
        return member is not None and member.is_gone

    def carry(
        self,
        packet: FlowPacket,
        service: ServiceName,
        to: NodeId,
        seeks: bool,
        may_reset: bool,
    ) -> fx.SendControl:
        """Return a packet on its way to an agent."""
        message = msg.Carry(
            self.routes.revision,
            service,
            origin=self.members.me.node_id,
            seeks=seeks,
            home="",
            tried=(),
            hops=0,
            may_reset=may_reset,
            datagram=packet.datagram,
            near=self.members.me.data_centre,
        )
        return fx.SendControl(to_address(to), message)

    # Events

    @singledispatchmethod
    def handle(self, event: Event, now: Seconds) -> list[FlowEffect]:
        """Take one event at a time and return what is to be done."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @handle.register(ev.ControlReceived)
    def _(self, event: ev.ControlReceived, now: Seconds) -> list[FlowEffect]:
        if self.silent.awaits:
            self.silent.note_heard(to_node_id(event.sender))
        effects = self._take_message(event.message, event.sender, now)
        self._forget_changed()
        return effects

    @handle.register(ev.TablePulled)
    def _(self, event: ev.TablePulled, now: Seconds) -> list[FlowEffect]:
        effects = self.fleet.take_table(event, now)
        self._forget_changed()
        return effects

    @handle.register(ev.PullFailed)
    def _(self, event: ev.PullFailed, now: Seconds) -> list[FlowEffect]:
        return [fx.Count("pull_failed", "members")]

    @handle.register(fev.RoutesPulled)
    def _(self, event: fev.RoutesPulled, now: Seconds) -> list[FlowEffect]:
        return self._adopt(self.routes.take_reply(event.reply))

    @handle.register(fev.RoutesRead)
    def _(self, event: fev.RoutesRead, now: Seconds) -> list[FlowEffect]:
        if event.table is None:
            return []
        return self._adopt(self.routes.offer(event.table))

    @handle.register(fev.RoutesPullFailed)
    def _(self, event: fev.RoutesPullFailed, now: Seconds) -> list[FlowEffect]:
        self.routes.allow_pull()
        return [fx.Count("pull_failed", "routes")]

    @handle.register(ev.Leave)
    def _(self, event: ev.Leave, now: Seconds) -> list[FlowEffect]:
        self.members.announce(Status.LEFT)
        drawn = self.fleet.draw(self.members.list_peers(), PUSH_FANOUT)
        return [send(peer, ctl.Gossip(self.fleet.make_news())) for peer in drawn]

    @handle.register(ev.Tick)
    def _(self, event: ev.Tick, now: Seconds) -> list[FlowEffect]:
        self.silent.pardon(self.pauses.note(now))
        effects: list[FlowEffect] = list(self.members.tick(now))
        self.unreachable = self.members.beacons.list_unreachable(now)
        peers = self.members.list_peers()
        effects += self.fleet.probe(peers, now)
        effects += self.fleet.seek_seeds(peers, now)
        effects += self.fleet.spread_rumours(peers)
        effects += self.fleet.compare(now)
        effects += self.silent.tick(now)
        self.fleet.stop_waiting_to_join(now)
        self.places.sweep(self.routes.table.idle_timeout + IDLE_SLACK, now)
        self._forget_changed()
        return effects

    # Messages

    @singledispatchmethod
    def _take_message(
        self, message: msg.FlowMessage, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return [fx.Count("control_dropped", "unexpected")]

    @_take_message.register(msg.Placed)
    def _(self, message: msg.Placed, sender: Address, now: Seconds) -> list[FlowEffect]:
        if message.holder:
            self.places.note(message.flow, message.holder, now)
        else:
            self.places.forget(message.flow)
        return self.seeker.note_placed(message.flow, message.holder, now)

    @_take_message.register(msg.FlowHeartbeat)
    def _(
        self, message: msg.FlowHeartbeat, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        member = message.member
        if member.role is not Role.AGENT or member.address != sender:
            return [fx.Count("control_dropped", "wrong_sender")]
        effects = self.members.merge(member, now)
        if not member.is_gone:
            self.members.hearing.note(member.node_id, message.revision, 0, now)
        self.members.beacons.note_heard(member.data_centre, now)
        effects += self.routes.learn_of(member.node_id, message.revision, now)
        return [*effects, fx.SendControl(sender, self._answer_heartbeat(message))]

    @_take_message.register(msg.RoutesChanged)
    def _(
        self, message: msg.RoutesChanged, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return self._learn_of(sender, message.revision, now)

    @_take_message.register(msg.Ping)
    def _(self, message: msg.Ping, sender: Address, now: Seconds) -> list[FlowEffect]:
        return [fx.SendControl(sender, msg.Pong())]

    @_take_message.register(msg.Pong)
    def _(self, message: msg.Pong, sender: Address, now: Seconds) -> list[FlowEffect]:
        return []

    @_take_message.register(ctl.Probe)
    def _(self, message: ctl.Probe, sender: Address, now: Seconds) -> list[FlowEffect]:
        return self.fleet.answer_probe(message, sender, now)

    @_take_message.register(ctl.ProbeFor)
    def _(
        self, message: ctl.ProbeFor, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return self.fleet.relay_probe(message, sender, now)

    @_take_message.register(ctl.ProbeAck)
    def _(
        self, message: ctl.ProbeAck, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        return self.fleet.take_probe_ack(message, sender, now)

    @_take_message.register(ctl.Gossip)
    def _(self, message: ctl.Gossip, sender: Address, now: Seconds) -> list[FlowEffect]:
        return self.fleet.take_news(message.news, sender, now)

    # Shared

    def _answer_heartbeat(self, message: msg.FlowHeartbeat) -> msg.FlowHeartbeatAck:
        member = message.member
        table = self.members.table
        agents = tuple(table.list_agents(member.service))
        same = digest_agents(agents) == message.agents_digest
        return msg.FlowHeartbeatAck(
            message.sequence,
            self.routes.revision,
            table.get(member.node_id) or member,
            self.members.list_homes(member.node_id, member.data_centre),
            agents if self.fleet.is_joined and not same else None,
        )

    def _learn_of(
        self, sender: Address, revision: int, now: Seconds
    ) -> list[FlowEffect]:
        return self.routes.learn_of(to_node_id(sender), revision, now)

    def _adopt(self, effects: list[FlowEffect]) -> list[FlowEffect]:
        """Tell peers and agents of a table that was just taken over."""
        if not any(isinstance(effect, ffx.RoutesAdopted) for effect in effects):
            return effects
        self.fleet.note_adopted(self.routes.revision)
        told = self.fleet.draw(self.members.list_peers(), PUSH_FANOUT)
        told += list(self.members.hearing.heard_by_id)
        message = msg.RoutesChanged(self.routes.revision)
        return [*effects, *(send(node_id, message) for node_id in told)]

    def _forget_changed(self) -> None:
        if self.members.changed_services:
            self.seeker.ranking.forget(self.members.changed_services)
            self.members.changed_services.clear()
