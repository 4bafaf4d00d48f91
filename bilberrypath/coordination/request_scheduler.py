"""The order in which an agent sends requests to its upstream.

Where the routes of the service state different priorities, the first packet of a
request may be kept until the upstream has room; see
:class:`~bilberrypath.load.request_gate.RequestGate`. Only requests on open flows that
the upstream is known to hold are kept.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.load.request_gate import (
    GatedRequest,
    RequestGate,
    compute_release_at,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.held_flows import HeldFlow
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import Seconds

TIMER_KEY = ("gate", b"")
URGENT_KEPT = fx.Count("request_kept", "most_urgent")
LESS_URGENT_KEPT = fx.Count("request_kept", "less_urgent")
RELEASED_BY_REASON = {
    reason: fx.Count("request_released", reason)
    for reason in (
        "answer",
        "room",
        "due",
        "excess",
        "overflow",
        "leaving",
        "inactive",
    )
}
UPLOAD = "upload"  # its bytes arrive over many packets before it runs


@define
class RequestScheduler:
    """The part of an agent that keeps requests while its upstream is full.

    ``is_active`` is true while the routes of the agent's service state at least two
    priorities and the agent is not leaving. A flow is in the gate exactly while its
    ``HeldFlow.is_kept`` is true. A timer is set for ``_timer_at`` or later releases,
    None if there is none.
    """

    agent: FlowAgent = field(repr=False)
    is_active: bool = False
    gate: RequestGate = Factory(RequestGate)
    _timer_at: Seconds | None = None

    def update(self, now: Seconds) -> list[FlowEffect]:
        """Adapt to the routes in force, the agent's service, and whether it leaves."""
        priorities = self.agent.routes.list_priorities(self.agent.service)
        self.is_active = len(priorities) > 1 and not self.agent.is_leaving
        if self.is_active:
            self.gate.most_urgent = min(priorities)
            return []
        reason = "leaving" if self.agent.is_leaving else "inactive"
        return self._forward(self.gate.release_all(), reason, now)

    def update_room(self) -> None:
        """Tell the gate the upstream's slots, and when it sheds if that was seen."""
        agent = self.agent
        self.gate.set_room(agent.upstream.slots, agent.flows.speed.shed_at)

    def deliver(
        self, held: HeldFlow, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Record a client packet of a flow, and send it to the upstream or keep it."""
        was_busy = held.busy_since is not None
        self.agent.flows.record_client_packet(held, packet, now)
        if not was_busy and held.busy_since is not None:
            return self._offer(held, packet, now)
        if held.is_kept:
            return self._deliver_later(held, packet, now)
        send = ffx.SendToUpstream(packet.datagram)
        if packet.is_rst and self.gate:
            return [send, *self._release_free(now)]
        return [send]

    def record_upstream_packet(
        self, held: HeldFlow, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Record an upstream packet of a flow, and send requests if there is room.

        A kept request whose flow the upstream has closed or reset is discarded.
        """
        flows = self.agent.flows
        sent_at, was_kept = held.sent_at, held.is_kept
        flows.record_upstream_packet(held, packet, now)
        if was_kept and not held.is_kept:
            self.gate.discard(packet.flow)
            return [fx.Count("request_discarded", "flow_ended")]
        if sent_at is None or held.sent_at is not None:
            return []
        released = self.gate.record_answer(sent_at, flows.sent_count, now)
        return self._forward(released, "answer", now) if released else []

    def release_due(self, now: Seconds) -> list[FlowEffect]:
        """Send the requests that may not be kept longer, and set the next timer."""
        self._timer_at = None
        effects = self._forward(self.gate.release_due(now), "due", now)
        self._set_timer(self.gate.next_release_at())
        return effects

    def handle_removed(self, now: Seconds) -> list[FlowEffect]:
        """Discard the requests of flows that were removed, and send others instead."""
        if not self.gate:
            return []
        effects: list[FlowEffect] = []
        for flow in self.gate.list_flows():
            held = self.agent.flows.get(flow)
            if held is None or not held.is_kept:
                self.gate.discard(flow)
                effects.append(fx.Count("request_discarded", "flow_ended"))
        return effects + self._release_free(now)

    def discard_all(self, reason: str, now: Seconds) -> list[FlowEffect]:
        """Discard all kept requests, as the upstream no longer has their flows."""
        requests = self.gate.release_all()
        for request in requests:
            held = self.agent.flows.get(request.flow)
            if held is not None and held.is_kept:
                self.agent.flows.mark_discarded(held, now)
        return [fx.Count("request_discarded", reason) for _ in requests]

    def change_service(self, now: Seconds) -> list[FlowEffect]:
        """Discard the kept requests of the former service, and adapt to the new one."""
        effects = self.discard_all("service_changed", now)
        return effects + self.update(now)

    def shift_for_pause(self) -> None:
        """Set the timer anew after a pause, which postponed it.

        Clients do not pause with this process, so kept requests are not postponed.
        """
        self._timer_at = None
        self._set_timer(self.gate.next_release_at())

    def _offer(
        self, held: HeldFlow, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Send the first packet of a request, or keep it."""
        flows, gate = self.agent.flows, self.gate
        is_empty = not gate
        if is_empty and flows.sent_count <= gate.limit:  # which count this request
            return [ffx.SendToUpstream(packet.datagram)]
        terms = self.agent.routes.find_terms(packet.flow)
        if terms is None or terms.kind == UPLOAD or not _may_keep(held, packet):
            return [ffx.SendToUpstream(packet.datagram)]
        flows.mark_kept(held, now)
        effects = [] if is_empty else self._release_free(now)
        request = GatedRequest(
            packet.flow,
            (packet.datagram,),
            terms.priority,
            now,
            compute_release_at(terms.latency_objective, now),
            (packet.sequence,),
        )
        if gate.offer(request, flows.sent_count, now):
            flows.mark_sent(held, now)
            effects.append(ffx.SendToUpstream(packet.datagram))
            return effects
        excess = gate.release_excess(terms.priority)
        if excess:
            effects += self._forward(excess, "excess", now)
        self._set_timer(request.release_at)
        is_urgent = terms.priority <= gate.most_urgent
        effects.append(URGENT_KEPT if is_urgent else LESS_URGENT_KEPT)
        return effects

    def _deliver_later(
        self, held: HeldFlow, packet: FlowPacket, now: Seconds
    ) -> list[FlowEffect]:
        """Handle a packet of a flow whose request is kept; later data waits behind it.

        If too many packets wait, all are sent.
        """
        flow = packet.flow
        send = ffx.SendToUpstream(packet.datagram)
        if packet.is_rst:
            self.gate.discard(flow)
            self.agent.flows.mark_discarded(held, now)
            return [fx.Count("request_discarded", "reset"), send]
        if not packet.data_length and not packet.is_fin:
            return [send]
        if self.gate.has_copy(flow, packet.sequence):
            return [fx.Count("packet_dropped", "copy_of_kept")]
        if self.gate.append(flow, packet.datagram, packet.sequence):
            return [fx.Count("packet_queued", "request_kept")]
        request = self.gate.discard(flow)
        return [*self._forward((request,), "overflow", now), send]

    def _release_free(self, now: Seconds) -> list[FlowEffect]:
        released = self.gate.release_free(self.agent.flows.sent_count)
        return self._forward(released, "room", now)

    def _forward(
        self, requests: Iterable[GatedRequest], reason: str, now: Seconds
    ) -> list[FlowEffect]:
        """Send requests that left the gate; those of removed flows are discarded."""
        effects: list[FlowEffect] = []
        flows = self.agent.flows
        for request in requests:
            held = flows.get(request.flow)
            if held is None or not held.is_kept:
                effects.append(fx.Count("request_discarded", "flow_ended"))
                continue
            flows.mark_sent(held, now)
            effects += [ffx.SendToUpstream(datagram) for datagram in request.datagrams]
            effects.append(RELEASED_BY_REASON[reason])
        return effects

    def _set_timer(self, release_at: Seconds | None) -> None:
        """Set the timer for a release, unless it is set for an earlier one."""
        if release_at is None:
            return
        if self._timer_at is None or release_at < self._timer_at:
            self._timer_at = release_at
            self.agent.deadlines.set(TIMER_KEY, release_at)


def _may_keep(held: HeldFlow, packet: FlowPacket) -> bool:
    """Return whether a request may be kept: its flow is open at this upstream."""
    is_established = held.is_open and held.is_confirmed and held.is_live
    return is_established and not packet.is_syn and not packet.is_fin
