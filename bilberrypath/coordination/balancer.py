"""The balancer's decisions, as a state machine without I/O.

:meth:`BalancerCore.handle` takes an event and the time and returns effects.
The core has no socket, clock or task, so that any driver can run it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.forwarding import Forwarder
from bilberrypath.coordination.freshness import Freshness
from bilberrypath.coordination.gossiper import PUSH_FANOUT, Gossiper, send_to_node
from bilberrypath.coordination.release_tracker import ReleaseTracker
from bilberrypath.coordination.rendezvous import is_store_reader
from bilberrypath.dispatch import dispatchmethod
from bilberrypath.protocol import control as ctl
from bilberrypath.protocol.frame import FlowNotFoundFrame, ForwardFrame, ReturnFrame
from bilberrypath.protocol.stateless_reset import MAX_RESET_BYTES
from bilberrypath.state.members import Member, Role, Status

if TYPE_CHECKING:
    from random import Random

    from bilberrypath.coordination.effects import Effect
    from bilberrypath.coordination.events import Event
    from bilberrypath.protocol.token import TokenCodec
    from bilberrypath.types import Address, NodeId, Seconds

MAX_PUSHED_DELTA_BYTES = 1000  # encoded; a delta up to this size fits one datagram
AGENT_PROBE_FANOUT = 2  # agents probed per tick by a balancer without peers
MIN_CONFIRM_INTERVAL: Seconds = 0.2  # between probes caused by an agent's revision
MAX_UNANSWERED_EXCHANGES = 6  # recent, in a row; a balancer with so many is isolated


@frozen
class BalancerSetup:
    """Start-up parameters of a balancer.

    ``own_member`` is its first member record, ``seeds`` the peer addresses of
    processes through which it may join. Without ``has_store`` it never reads
    the platform's key-value service.
    """

    own_member: Member
    seeds: tuple[Address, ...]
    has_store: bool = True


class BalancerCore:
    """Route packets; maintain and distribute the release and the member table.

    Examples
    --------
    >>> from random import Random
    >>> from bilberrypath.protocol.token import TokenCodec
    >>> me = Member("127.0.0.1:7000", Role.BALANCER, "a", "", 1, 1, Status.SERVING)
    >>> setup = BalancerSetup(me, seeds=())
    >>> core = BalancerCore(setup, TokenCodec({1: bytes(16)}, 1), Random(1), 0.0)
    >>> core.handle(ev.PacketReceived(9443, ("127.0.0.1", 5), b""), 0.0)
    [Count(event='packet_dropped', reason='empty')]
    """

    def __init__(
        self, setup: BalancerSetup, codec: TokenCodec, rng: Random, now: Seconds
    ) -> None:
        self.setup = setup
        self.codec = codec
        self.rng = rng
        self.releases = ReleaseTracker()
        self.freshness = Freshness()
        self.gossiper = Gossiper(
            setup.own_member,
            setup.seeds,
            rng,
            self.freshness,
            lambda: self.releases.revision,
            self.releases.observe_revision,
            now,
        )
        self.members = self.gossiper.members
        self.forwarder = Forwarder(
            codec, rng, self.members, self.releases, self.freshness
        )
        self.router = self.forwarder.router
        self._next_confirm_at = now
        self._reader_epoch = -1
        self._is_reader = False

    @property
    def is_ready(self) -> bool:
        """Whether opens can be routed: a release is loaded and the join is done."""
        return self.releases.revision > 0 and self.gossiper.is_joined

    def handle(self, event: Event, now: Seconds) -> list[Effect]:
        """Handle one event and return the effects for the daemon to execute.

        ``now`` is a monotonic time in seconds that must not decrease. Whatever a
        message contains, this method raises no exception.
        """
        effects = self._handle(event, now)
        if any(isinstance(effect, fx.ReleaseAdopted) for effect in effects):
            effects += self._apply_release()
        if self.members.changed_services:
            self._invalidate_routes()
        return effects + self.forwarder.flush_held_packets(now)

    # Packets

    def find_cached_agent(
        self, service_port: int, payload: bytes, now: Seconds
    ) -> Address | None:
        """Return the agent of an established flow from the route cache, or None.

        None means that :meth:`route_packet` has to decide: the flow is not cached,
        the cache was cleared by a change, or the release is not fresh.
        """
        return self.forwarder.find_cached_agent(service_port, payload, now)

    def route_packet(
        self, service_port: int, caller: Address, payload: bytes, now: Seconds
    ) -> list[Effect]:
        """Return the effects of a caller's datagram.

        While the release is not confirmed as fresh, packets are held; the first
        one to be held triggers the probes that confirm it.
        """
        packet = ev.PacketReceived(service_port, caller, payload)
        held_before = self.forwarder.held_count
        effects = self.forwarder.route(packet, now)
        if not held_before and self.forwarder.held_count:
            effects += self._request_confirmation(now)
        return effects

    def make_frame(
        self,
        service_port: int,
        caller: Address,
        payload: bytes,
        other_candidates: tuple,
    ) -> ForwardFrame:
        """Return a packet's frame to an agent; see :meth:`Forwarder.make_frame`."""
        packet = ev.PacketReceived(service_port, caller, payload)
        return self.forwarder.make_frame(packet, other_candidates)

    # Events

    @dispatchmethod
    def _handle(self, event: Event, now: Seconds) -> list[Effect]:
        raise TypeError(
            f"BalancerCore has no handler for event type {type(event).__name__}; "
            "register one with BalancerCore._handle"
        )

    @_handle.register(ev.PacketReceived)
    def _(self, event: ev.PacketReceived, now: Seconds) -> list[Effect]:
        return self.route_packet(event.service_port, event.caller, event.payload, now)

    @_handle.register(ev.FrameReceived)
    def _(self, event: ev.FrameReceived, now: Seconds) -> list[Effect]:
        frame = event.frame
        if not isinstance(frame, ReturnFrame | FlowNotFoundFrame):
            return [fx.Count("frame_dropped", "unexpected")]
        caller = (frame.caller_host, frame.caller_port)
        effects = self._handle_agent_revision(frame.revision, now)
        if isinstance(frame, ReturnFrame):
            self.router.record_load(event.sender, frame.load, now)
            effects.append(fx.SendToCaller(frame.service_port, caller, frame.payload))
            return effects
        return effects + self.forwarder.reset_flow(
            frame.service_port,
            caller,
            frame.connection_id,
            MAX_RESET_BYTES + 1,  # assumed, as the frame lacks the packet's length
            "not_mine",
        )

    @_handle.register(ev.ControlReceived)
    def _(self, event: ev.ControlReceived, now: Seconds) -> list[Effect]:
        return self._handle_message(event.message, event.sender, now)

    @_handle.register(ev.ReleasePulled)
    def _(self, event: ev.ReleasePulled, now: Seconds) -> list[Effect]:
        return self.releases.handle_pulled(event)

    @_handle.register(ev.TablePulled)
    def _(self, event: ev.TablePulled, now: Seconds) -> list[Effect]:
        return self.gossiper.handle_pulled_table(event, now)

    @_handle.register(ev.PullFailed)
    def _(self, event: ev.PullFailed, now: Seconds) -> list[Effect]:
        self.releases.record_pull_failed()
        return [fx.Count("pull_failed", "peer")]

    @_handle.register(ev.StoreRead)
    def _(self, event: ev.StoreRead, now: Seconds) -> list[Effect]:
        if self._is_isolated(now):
            self.freshness.confirm_started(event.sent_at)
        return self.releases.handle_store_read(event, now)

    @_handle.register(ev.StoreFailed)
    def _(self, event: ev.StoreFailed, now: Seconds) -> list[Effect]:
        self.releases.record_read_failed(now)
        return [fx.Count("store_failed", "read")]

    @_handle.register(ev.Leave)
    def _(self, event: ev.Leave, now: Seconds) -> list[Effect]:
        self.members.announce(Status.LEFT)
        targets = self.gossiper.sample_peers(self.members.list_peers(), PUSH_FANOUT)
        return [
            send_to_node(peer, ctl.Gossip(self.gossiper.make_gossip()))
            for peer in targets
        ]

    @_handle.register(ev.Tick)
    def _(self, event: ev.Tick, now: Seconds) -> list[Effect]:
        effects = self.members.tick(now)
        self.router.unreachable_data_centres = (
            self.members.data_centre_liveness.list_unreachable(now)
        )
        peers = self.members.list_peers()
        effects += self.gossiper.probe(peers, now)
        if not peers:
            effects += self._probe_agents(now)
        effects += self.gossiper.probe_seeds(peers, now)
        effects += self._push_next_round(peers)
        effects += self.gossiper.send_gossip(peers)
        effects += self.gossiper.pull_differing_records(now)
        if self.setup.has_store and self._should_read_store():
            effects += self.releases.plan_read(now)
        self.gossiper.stop_waiting_to_join(now)
        return effects

    def _is_isolated(self, now: Seconds) -> bool:
        """Return whether no other balancer can confirm the release in force.

        The key-value service may have been restored to an older state, so its
        answer confirms the release only while no balancer can.
        """
        if not self.members.list_peers():
            return True
        return self.freshness.count_unanswered(now) >= MAX_UNANSWERED_EXCHANGES

    # Ticks

    def _should_read_store(self) -> bool:
        """Return whether this balancer is a store reader or has no release yet.

        The store readers are computed again only after a change of the balancers.
        """
        if self._reader_epoch != self.members.balancers_epoch:
            self._reader_epoch = self.members.balancers_epoch
            self._is_reader = is_store_reader(
                self.members.own_member, self.members.table
            )
        return self._is_reader or self.releases.revision == 0

    def _probe_agents(self, now: Seconds) -> list[Effect]:
        """Probe random agents, whose answers confirm the release in force."""
        agents = list(self.members.heartbeat_monitor.heartbeat_by_id)
        targets = self.rng.sample(agents, min(AGENT_PROBE_FANOUT, len(agents)))
        revision = self.releases.revision
        return [
            send_to_node(
                agent, ctl.AgentProbe(self.freshness.start_exchange(now), revision)
            )
            for agent in targets
        ]

    def _request_confirmation(self, now: Seconds) -> list[Effect]:
        """Probe random peers, or agents where there are no peers."""
        peers = self.members.list_peers()
        effects = self.gossiper.probe_random_peers(peers, now)
        if not peers:
            effects += self._probe_agents(now)
        return effects

    def _push_next_round(self, peers: list[NodeId]) -> list[Effect]:
        """Push the release in force again while push rounds remain."""
        if self.releases.push_rounds_left <= 0:
            return []
        self.releases.push_rounds_left -= 1
        return self._push_release(peers)

    def _push_release(self, peers: list[NodeId]) -> list[Effect]:
        targets = self.gossiper.sample_peers(peers, PUSH_FANOUT)
        message = self._make_release_message()
        return [send_to_node(peer, message) for peer in targets]

    def _make_release_message(self) -> ctl.ReleasePush | ctl.Gossip:
        """Return the last delta if it fits a datagram, else the revision alone."""
        if self.releases.deltas:
            push = ctl.ReleasePush(
                self.releases.deltas[-1], self.gossiper.make_gossip()
            )
            if len(ctl.encode_control_message(push.delta)) <= MAX_PUSHED_DELTA_BYTES:
                return push
        return ctl.Gossip(self.gossiper.make_gossip())

    # Messages

    @dispatchmethod
    def _handle_message(
        self, message: ctl.ControlMessage, sender: Address, now: Seconds
    ) -> list[Effect]:
        return [fx.Count("control_dropped", "unexpected")]

    @_handle_message.register(ctl.Heartbeat)
    def _(self, message: ctl.Heartbeat, sender: Address, now: Seconds) -> list[Effect]:
        member = message.member
        if member.role is not Role.AGENT or member.address != sender:
            return [fx.Count("control_dropped", "wrong_sender")]
        effects = self.members.merge(member, now)
        known_record = self.members.table.get(member.node_id)
        if not member.is_gone:
            self.members.heartbeat_monitor.record(
                member.node_id, message.revision, message.running, now
            )
        self.members.data_centre_liveness.record_received(member.data_centre, now)
        self.router.record_load(sender, message.load, now)
        heartbeat_targets = self.members.list_heartbeat_targets(
            member.node_id, member.data_centre
        )
        view = self.releases.make_view(member)
        answer = ctl.HeartbeatAck(
            message.sequence, view, known_record, heartbeat_targets
        )
        effects += self._handle_agent_revision(message.revision, now)
        return [*effects, fx.SendControl(sender, answer)]

    @_handle_message.register(ctl.Probe)
    def _(self, message: ctl.Probe, sender: Address, now: Seconds) -> list[Effect]:
        return self.gossiper.answer_probe(message, sender, now)

    @_handle_message.register(ctl.IndirectProbe)
    def _(
        self, message: ctl.IndirectProbe, sender: Address, now: Seconds
    ) -> list[Effect]:
        return self.gossiper.relay_probe(message, sender, now)

    @_handle_message.register(ctl.ProbeAck)
    def _(self, message: ctl.ProbeAck, sender: Address, now: Seconds) -> list[Effect]:
        return self.gossiper.handle_probe_ack(message, sender, now)

    @_handle_message.register(ctl.Gossip)
    def _(self, message: ctl.Gossip, sender: Address, now: Seconds) -> list[Effect]:
        return self.gossiper.handle_gossip(message.gossip, sender, now)

    @_handle_message.register(ctl.ReleasePush)
    def _(
        self, message: ctl.ReleasePush, sender: Address, now: Seconds
    ) -> list[Effect]:
        adopted = self.releases.offer_delta(message.delta)
        effects = list(adopted or ())
        return effects + self.gossiper.handle_gossip(message.gossip, sender, now)

    @_handle_message.register(ctl.AgentProbeAck)
    def _(
        self, message: ctl.AgentProbeAck, sender: Address, now: Seconds
    ) -> list[Effect]:
        if message.revision > self.releases.revision:
            return self._handle_agent_revision(message.revision, now)
        self.freshness.confirm(message.sequence)
        return []

    def _handle_agent_revision(self, revision: int, now: Seconds) -> list[Effect]:
        """Probe peers at once when an agent reports a newer revision."""
        if revision <= self.releases.revision or now < self._next_confirm_at:
            return []
        self._next_confirm_at = now + MIN_CONFIRM_INTERVAL
        return [fx.Count("behind_agent", "revision"), *self._request_confirmation(now)]

    # Shared

    def _apply_release(self) -> list[Effect]:
        """Route by the adopted release, and send it to peers and to agents."""
        release = self.releases.release
        self.forwarder.clear_route_cache()
        self.router.apply_release(release)
        self.gossiper.record_adopted(release.revision)
        effects = self._push_release(self.members.list_peers())
        for node_id in self.members.heartbeat_monitor.heartbeat_by_id:
            member = self.members.table.get(node_id)
            if member is not None:
                view = self.releases.make_view(member)
                effects.append(send_to_node(node_id, ctl.ViewPush(view)))
        return effects

    def _invalidate_routes(self) -> None:
        """Drop cached routing of the services whose members changed."""
        self.forwarder.clear_route_cache()
        for name in self.members.changed_services:
            self.router.invalidate_service(name)
        self.members.changed_services.clear()
