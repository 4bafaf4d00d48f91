"""The agent's decisions about flows, as a state machine without I/O.

:meth:`AgentCore.handle` takes an event and the time and returns effects; the
daemon sends the packets and runs the flows.
"""

from __future__ import annotations

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
from bilberrypath.dispatch import dispatchmethod
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

MIN_CONFIRM_INTERVAL: Seconds = 0.2  # between heartbeats sent to regain freshness
UNAVAILABLE_LOAD = 1 << 20  # connections; higher than any real load


@frozen
class Deliver:
    """Pass a packet to the flow with its connection ID."""

    frame: ForwardFrame
    connection_id: bytes


@frozen
class OpenFlow:
    """Open a flow with this packet."""

    frame: ForwardFrame
    connection_id: bytes


@frozen
class CloseAllFlows:
    """Close all flows at once, because the data centre was taken out of service."""


@frozen
class AgentSetup:
    """Start-up parameters of an agent.

    ``own_member`` is the agent's first member record, ``seeds`` the peer
    addresses of balancers that it may register with. The upstream runs up to
    ``slots`` requests at once and holds up to ``max_connections`` connections.
    """

    own_member: Member
    seeds: tuple[Address, ...]
    slots: int
    max_connections: int


class AgentCore:
    """Place opens, deliver packets of the agent's own flows and send heartbeats.

    Before each event the daemon calls :meth:`set_load` with the number of
    connections, the present admission limit and the health of the upstream.
    ``flow_ids`` holds the connection IDs of the flows that this agent has.
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
        """The number of connections, scaled up while the admission limit is reached.

        The factor is ``slots`` divided by the limit. Below the limit the number is
        not scaled: otherwise idle flows would keep new flows away from an upstream
        at its cold limit. An agent that cannot take flows reports
        :data:`UNAVAILABLE_LOAD`.
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
        """Whether this agent may take new flows."""
        return self._may_accept_flows()

    def set_load(
        self,
        connections: int,
        limit: int,
        running: int,
        healthy: bool,
        wants_trial: bool = False,
    ) -> None:
        """Set the present load and the health of the upstream.

        ``limit`` is the admission limit, ``running`` the number of running
        requests. With ``wants_trial`` the next open is accepted whatever the
        load: idle flows count as load, so that an unhealthy upstream that
        has some would otherwise never be tried again.
        """
        self._wants_trial = wants_trial
        self._connection_count = connections
        self._admission_limit = limit
        self._running_count = running
        self._is_upstream_healthy = healthy

    def make_token(self) -> bytes:
        """Return a new routing token that names this agent.

        Before the first view its service and data centre numbers are 0.
        """
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
        """Return whether this process issued a token for its present service.

        Tokens with a former incarnation of this process count as its own.
        """
        route = self.codec.read(token)
        if (
            route is None
            or (route.host, route.port) != self.registration.own_member.address
        ):
            return False
        own_incarnations = {
            self.registration.own_member.incarnation,
            *self.registration.former_incarnations,
        }
        if route.incarnation not in {
            value & INCARNATION_MASK for value in own_incarnations
        }:
            return False
        view = self.registration.view
        return view is not None and route.service == view.service_number

    @dispatchmethod
    def handle(
        self, event: Event, now: Seconds
    ) -> list[Effect | Deliver | OpenFlow | CloseAllFlows]:
        """Handle one event and return the effects for the daemon to execute."""
        raise TypeError(
            f"AgentCore has no handler for event type {type(event).__name__}; "
            "register one with AgentCore.handle"
        )

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
        previous_revision = self.registration.revision
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
        if self.registration.revision > previous_revision:
            heartbeats = self.registration.send_heartbeats(
                self.load, self._running_count, now
            )
            effects = [*effects, *heartbeats]
        return effects

    @handle.register(ev.Tick)
    def _(self, event: ev.Tick, now: Seconds) -> list:
        return self.registration.tick(self.load, self._running_count, now)

    @handle.register(ev.Leave)
    def _(self, event: ev.Leave, now: Seconds) -> list:
        self.registration.announce(Status.LEFT)
        return self.registration.send_heartbeats(self.load, self._running_count, now)

    def drain(self, now: Seconds) -> list[Effect]:
        """Announce the status DRAINING, so that no new flows are sent here."""
        self.registration.announce(Status.DRAINING)
        return self.registration.send_heartbeats(self.load, self._running_count, now)

    def resume(self, now: Seconds) -> list[Effect]:
        """Announce the status SERVING, so that new flows may be sent here again."""
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
        decision = self.placement.decide(
            connection_id, frame, load, self._may_accept_flows(), now
        )
        return self._apply_placement(decision, frame, connection_id)

    def _apply_placement(
        self,
        decision: AcceptOpen | RelayOpen | DropOpen,
        frame: ForwardFrame,
        connection_id: bytes,
    ) -> list:
        if isinstance(decision, AcceptOpen):
            return [OpenFlow(frame, connection_id)]
        if isinstance(decision, DropOpen):
            return [fx.Count("open_dropped", decision.reason)]
        relayed = ForwardFrame(
            max(frame.revision, self.registration.revision),
            frame.caller_host,
            frame.caller_port,
            frame.balancer_host,
            frame.balancer_port,
            frame.service_port,
            frame.hops + 1,
            decision.other_candidates,
            frame.payload,
        )
        return [
            fx.SendFrame(decision.to, relayed),
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
        """Report to the balancer that this agent does not have the flow.

        The balancer then sends the caller a stateless reset. A connection ID
        that is not a valid token gets no answer.
        """
        if self.codec.read(connection_id) is None:
            return [fx.Count("packet_dropped", "no_token")]
        answer = FlowNotFoundFrame(
            self.registration.revision,
            frame.caller_host,
            frame.caller_port,
            frame.service_port,
            connection_id,
        )
        balancer = (frame.balancer_host, frame.balancer_port)
        return [fx.SendFrame(balancer, answer), fx.Count("packet_dropped", "not_mine")]

    def _request_confirmation(self, now: Seconds) -> list[Effect]:
        """Send heartbeats at once, unless the last request is too recent."""
        if now < self._next_confirm_at:
            return []
        self._next_confirm_at = now + MIN_CONFIRM_INTERVAL
        return self.registration.send_heartbeats(self.load, self._running_count, now)
