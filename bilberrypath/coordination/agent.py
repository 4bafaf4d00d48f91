"""The decisions of an agent about flows, as one pure state machine."""

from __future__ import annotations

from functools import singledispatchmethod
from typing import TYPE_CHECKING

from attrs import frozen

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.placement import (
    AcceptOpen,
    DropOpen,
    Placement,
    RelayOpen,
)
from bilberrypath.coordination.registration import Registration
from bilberrypath.protocol import control as ctl
from bilberrypath.protocol.frame import FlowNotFoundFrame, ForwardFrame
from bilberrypath.protocol.quic_header import PacketError, PacketKind, parse_quic_header
from bilberrypath.protocol.token import INCARNATION_MASK, Route
from bilberrypath.state.members import Member, Status

if TYPE_CHECKING:
    from random import Random

    from bilberrypath.coordination.effects import Effect
    from bilberrypath.coordination.events import Event
    from bilberrypath.protocol.token import TokenCodec
    from bilberrypath.types import Address, Seconds

MIN_CONFIRM_INTERVAL: Seconds = 0.2
UNAVAILABLE_LOAD = 1 << 20  # connections


@frozen
class Deliver:
    """Hand a packet to the flow that it belongs to."""

    frame: ForwardFrame
    connection_id: bytes


@frozen
class OpenFlow:
    """Begin a flow with this packet."""

    frame: ForwardFrame
    connection_id: bytes


@frozen
class CloseAllFlows:
    """End all flows at once, since the data centre was taken out."""


@frozen
class AgentSetup:
    """What an agent is told at its start.

    ``max_connections`` is what its upstream holds, ``slots`` the requests it
    runs at once.
    """

    own_member: Member
    seeds: tuple[Address, ...]
    slots: int
    max_connections: int


class AgentCore:
    """Place opens, know the agent's own flows, and keep in touch.

    The shell tells the number of its connections, the limit that admission
    has learnt and whether the upstream is healthy, before each event, by
    :meth:`set_load`.
    """

    def __init__(self, setup: AgentSetup, codec: TokenCodec, rng: Random) -> None:
        self.setup = setup
        self.codec = codec
        self.registration = Registration(setup.own_member, setup.seeds, rng)
        self.placement = Placement(setup.own_member.address)
        self.flow_ids: set[bytes] = set()
        self._connection_count = 0
        self._admission_limit = setup.slots
        self._running_count = 0
        self._is_upstream_healthy = False
        self._wants_trial = False
        self._next_confirm_at = float("-inf")

    @property
    def load(self) -> int:
        """Connections, weighed by the share of the slots that the limit allows.

        The weight counts only while the limit holds work back: flows that
        idle must not keep an upstream at its cold limit from new ones. An
        agent that can take no flows tells a load that nobody tops.
        """
        if not self._may_accept_flows():
            return UNAVAILABLE_LOAD
        if self._running_count < self._admission_limit:
            return self._connection_count
        return (
            self._connection_count * self.setup.slots // max(1, self._admission_limit)
        )

    @property
    def is_ready(self) -> bool:
        """Whether new flows may come."""
        return self._may_accept_flows()

    def set_load(
        self,
        connections: int,
        limit: int,
        running: int,
        healthy: bool,
        wants_trial: bool = False,
    ) -> None:
        """Take over what the shell knows of the present load.

        With ``wants_trial`` the next open is taken whatever the load, since
        flows that idle here would keep an upstream from being tried again.
        """
        self._wants_trial = wants_trial
        self._connection_count = connections
        self._admission_limit = limit
        self._running_count = running
        self._is_upstream_healthy = healthy

    def make_token(self) -> bytes:
        """Return a new routing token that names this agent."""
        host, port = self.registration.own_member.address
        view = self.registration.view
        route = Route(
            host,
            port,
            view.service_number if view else 0,
            view.data_centre_number if view else 0,
            self.registration.own_member.incarnation & INCARNATION_MASK,
        )
        return self.codec.issue(route)

    def is_own_token(self, token: bytes) -> bool:
        """Return whether this very process issued a token."""
        route = self.codec.read(token)
        if (
            route is None
            or (route.host, route.port) != self.registration.own_member.address
        ):
            return False
        mine = {
            self.registration.own_member.incarnation,
            *self.registration.former_incarnations,
        }
        if route.incarnation not in {i & INCARNATION_MASK for i in mine}:
            return False
        view = self.registration.view
        return view is not None and route.service == view.service_number

    @singledispatchmethod
    def handle(
        self, event: Event, now: Seconds
    ) -> list[Effect | Deliver | OpenFlow | CloseAllFlows]:
        """Take one event at a time and return what is to be done."""
        raise TypeError(f"no handler for {type(event).__name__}")

    @handle.register(ev.FrameReceived)
    def _(self, event: ev.FrameReceived, now: Seconds) -> list:
        frame = event.frame
        if not isinstance(frame, ForwardFrame):
            return [fx.Count("frame_dropped", "unexpected")]
        self.registration.record_balancer(
            (frame.balancer_host, frame.balancer_port), now
        )
        if self.registration.is_data_centre_out:
            return [fx.Count("packet_dropped", "data_centre_out")]
        if not self.registration.freshness.is_fresh(now):
            return [
                fx.Count("packet_dropped", "stale"),
                *self._request_confirmation(now),
            ]
        return self._handle_packet(frame, event.sender, now)

    @handle.register(ev.ControlReceived)
    def _(self, event: ev.ControlReceived, now: Seconds) -> list:
        was_out = self.registration.is_data_centre_out
        revision = self.registration.revision
        message = event.message
        if isinstance(message, ctl.HeartbeatAck):
            effects = self.registration.handle_ack(message, event.sender, now)
        elif isinstance(message, ctl.ViewPush):
            effects = self.registration.adopt_view(message.view)
        elif isinstance(message, ctl.AgentProbe):
            self.registration.record_balancer(event.sender, now)
            answer = ctl.AgentProbeAck(message.sequence, self.registration.revision)
            effects = [fx.SendControl(event.sender, answer)]
        else:
            effects = [fx.Count("control_dropped", "unexpected")]
        if self.registration.is_data_centre_out and not was_out:
            effects = [*effects, CloseAllFlows()]
        if self.registration.revision > revision:
            beats = self.registration.send_heartbeats(
                self.load, self._running_count, now
            )
            effects = [*effects, *beats]
        return effects

    @handle.register(ev.Tick)
    def _(self, event: ev.Tick, now: Seconds) -> list:
        return self.registration.tick(self.load, self._running_count, now)

    @handle.register(ev.Leave)
    def _(self, event: ev.Leave, now: Seconds) -> list:
        self.registration.announce(Status.LEFT)
        return self.registration.send_heartbeats(self.load, self._running_count, now)

    def drain(self, now: Seconds) -> list[Effect]:
        """Announce that no new work should come."""
        self.registration.announce(Status.DRAINING)
        return self.registration.send_heartbeats(self.load, self._running_count, now)

    def resume(self, now: Seconds) -> list[Effect]:
        """Announce that new work may come again."""
        self.registration.announce(Status.SERVING)
        return self.registration.send_heartbeats(self.load, self._running_count, now)

    def _handle_packet(
        self, frame: ForwardFrame, sender: Address, now: Seconds
    ) -> list:
        header = parse_quic_header(frame.payload)
        if isinstance(header, PacketError):
            return [fx.Count("packet_dropped", header.value)]
        connection_id = header.connection_id
        if connection_id in self.flow_ids:
            return [Deliver(frame, connection_id)]
        if header.kind is PacketKind.INITIAL:
            return self._handle_open(frame, connection_id, now)
        if header.kind is PacketKind.LONG:
            return [fx.Count("packet_dropped", "unknown_flow")]
        return self._reject_unknown_flow(frame, connection_id)

    def _handle_open(
        self, frame: ForwardFrame, connection_id: bytes, now: Seconds
    ) -> list:
        if self._is_for_other_process(connection_id):
            return [fx.Count("packet_dropped", "not_mine")]
        if self.is_own_token(connection_id):
            return [OpenFlow(frame, connection_id)]
        load = 0 if self._wants_trial else self.load
        placing = self.placement.decide(
            connection_id, frame, load, self._may_accept_flows(), now
        )
        return self._apply_placement(placing, frame, connection_id)

    def _apply_placement(
        self,
        placing: AcceptOpen | RelayOpen | DropOpen,
        frame: ForwardFrame,
        connection_id: bytes,
    ) -> list:
        if isinstance(placing, AcceptOpen):
            return [OpenFlow(frame, connection_id)]
        if isinstance(placing, DropOpen):
            return [fx.Count("open_dropped", placing.reason)]
        passed = ForwardFrame(
            max(frame.revision, self.registration.revision),
            frame.caller_host,
            frame.caller_port,
            frame.balancer_host,
            frame.balancer_port,
            frame.service_port,
            frame.hops + 1,
            placing.other_candidates,
            frame.payload,
        )
        return [
            fx.SendFrame(placing.to, passed),
            fx.Count(
                "open_passed_on", "load" if self._may_accept_flows() else "unable"
            ),
        ]

    def _may_accept_flows(self) -> bool:
        return (
            self.registration.may_take_work
            and self._is_upstream_healthy
            and self.registration.own_member.status is Status.SERVING
            and self._connection_count < self.setup.max_connections
        )

    def _is_for_other_process(self, connection_id: bytes) -> bool:
        if self.codec.read(connection_id) is None:
            return False
        return not self.is_own_token(connection_id)

    def _reject_unknown_flow(self, frame: ForwardFrame, connection_id: bytes) -> list:
        """Tell the caller, through its balancer, that the flow is over."""
        if self.codec.read(connection_id) is None:
            return [fx.Count("packet_dropped", "no_token")]
        answer = FlowNotFoundFrame(
            self.registration.revision,
            frame.caller_host,
            frame.caller_port,
            frame.service_port,
            connection_id,
        )
        to = (frame.balancer_host, frame.balancer_port)
        return [fx.SendFrame(to, answer), fx.Count("packet_dropped", "not_mine")]

    def _request_confirmation(self, now: Seconds) -> list[Effect]:
        if now < self._next_confirm_at:
            return []
        self._next_confirm_at = now + MIN_CONFIRM_INTERVAL
        return self.registration.send_heartbeats(self.load, self._running_count, now)
