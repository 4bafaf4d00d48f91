"""Handing over of flow locations by an agent that ends.

The location of a flow is known to the agent that holds it, to the agents that relayed
it, and to nobody else in the service. An agent that ends passes on what it knows to a
few agents that stay, and these do the same when they end. So the next process of a
holder gets the packets of its flows, and no other upstream has to be tried, however
many agents restart meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.dispatch import dispatchmethod
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import parse_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.types import NodeId, Seconds

HANDOVER_FANOUT = 3  # agents; some of these may be about to end as well
MIN_CONFIRMED = 2  # of them, which this agent waits for
CONFIRM_TIMEOUT: Seconds = 1.0  # a small part of the time a process is given to end
MAX_ENTRIES_PER_MESSAGE = 32  # about 1.3 KB


@define
class LocationHandover:
    """The part of an agent that passes on and receives the locations of flows.

    ``_messages`` are those sent so far, by number, and ``_missing_by_id`` has for each
    recipient the numbers that it has not acknowledged. ``_sent_holder_by_flow`` is what
    they contain.
    """

    agent: FlowAgent = field(repr=False)
    _messages: list[msg.LocationHandover] = Factory(list)
    _missing_by_id: dict[NodeId, set[int]] = Factory(dict)
    _sent_holder_by_flow: dict[bytes, NodeId] = Factory(dict)
    _sent_at: Seconds = float("-inf")

    def send(self, now: Seconds) -> list[FlowEffect]:
        """Pass on the locations that were not passed on before, and recent trials."""
        locations = [
            location
            for location in self._list_locations(now)
            if self._sent_holder_by_flow.get(location[0]) != location[1]
        ]
        trials = [] if self._messages else self._list_trials(now)
        messages = self._make_messages(locations, trials)
        if not messages:
            return []
        self._sent_at = now
        self._sent_holder_by_flow |= {flow: holder for flow, holder, _ in locations}
        self._messages += messages
        recipients = list(self._missing_by_id) or self._choose_recipients(now)
        fields = {"flows": len(locations), "to": recipients}
        return [
            fx.LogStateChange("locations_handed_over", fields),
            *self._send_to(recipients, messages),
        ]

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Send all messages to further agents while too few have received them."""
        if self.is_confirmed(now):
            return []
        recipients = self._choose_recipients(now) or list(self._missing_by_id)
        fields = {"flows": len(self._sent_holder_by_flow), "to": recipients}
        return [
            fx.LogStateChange("locations_handed_over", fields),
            *self._send_to(recipients, self._messages),
        ]

    def is_confirmed(self, now: Seconds) -> bool:
        """Return whether this agent need not wait for acknowledgements.

        Enough agents have received what it had to pass on, or it has waited for long.
        """
        if now - self._sent_at > CONFIRM_TIMEOUT:
            return True
        confirmed = sum(not missing for missing in self._missing_by_id.values())
        return confirmed >= min(MIN_CONFIRMED, len(self.agent.placement.peer_by_id))

    def _send_to(
        self, recipients: list[NodeId], messages: list[msg.LocationHandover]
    ) -> list[FlowEffect]:
        for node_id in recipients:
            missing = self._missing_by_id.setdefault(node_id, set())
            missing.update(message.number for message in messages)
        return [
            fx.SendControl(parse_address(node_id), message)
            for message in messages
            for node_id in recipients
        ]

    def _make_messages(
        self, locations: list[msg.IdleLocation], trials: list[msg.PastTrial]
    ) -> list[msg.LocationHandover]:
        step = MAX_ENTRIES_PER_MESSAGE
        parts = [
            (tuple(locations[start : start + step]), ())
            for start in range(0, len(locations), step)
        ] + [
            ((), tuple(trials[start : start + step]))
            for start in range(0, len(trials), step)
        ]
        first = len(self._messages)
        return [
            msg.LocationHandover(self.agent.service, number, *part)
            for number, part in enumerate(parts, first)
        ]

    def _list_trials(self, now: Seconds) -> list[msg.PastTrial]:
        return self.agent.locator.memory.trials.list_recent(now)

    def _list_locations(self, now: Seconds) -> list[msg.IdleLocation]:
        """Return the known locations of open flows, and how long each was idle.

        A flow of this agent counts if its client has chosen this upstream.
        """
        agent = self.agent
        own = {
            flow: (flow, agent.node_id, now - held.seen_at)
            for flow, held in agent.flows
            if held.is_chosen and held.is_confirmed and held.is_live
        }
        cached = [
            (flow, location.holder, now - location.seen_at)
            for flow, location in agent.redirects.location_by_flow.items()
            if flow not in own
        ]
        return [*([] if agent.upstream.is_gone else own.values()), *cached]

    def _choose_recipients(self, now: Seconds) -> list[NodeId]:
        """Return agents that got nothing yet, those first that are likely to stay.

        These answer, take opens, and have sent a load report a short time ago.
        """
        agent = self.agent
        ranked = sorted(
            (
                node_id in agent.unresponsive_peers.since_by_id,
                not peer.may_take_opens(now),
                -peer.reported_at,
                node_id,
            )
            for node_id, peer in agent.placement.peer_by_id.items()
            if node_id not in self._missing_by_id
        )
        return [node_id for *_, node_id in ranked[:HANDOVER_FANOUT]]

    @dispatchmethod
    def handle(
        self, message: msg.HandoverMessage, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Handle what another agent passes on, or its acknowledgement."""
        raise TypeError(
            f"LocationHandover has no handler for {type(message).__name__}; "
            "register one with LocationHandover.handle"
        )

    @handle.register(msg.LocationHandoverAck)
    def _(
        self, message: msg.LocationHandoverAck, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        self._missing_by_id.get(sender, set()).discard(message.number)
        return []

    @handle.register(msg.LocationHandover)
    def _(
        self, message: msg.LocationHandover, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Record the locations and trials that an agent of the service passed on.

        What the holder itself states replaces what is known here; other locations
        replace older ones.
        """
        agent = self.agent
        if message.service != agent.service:
            return [fx.Count("handover_dropped", "other_service")]
        limit = agent.setup.flow_lifetime
        for flow, holder, idle_time in message.locations:
            if not 0 <= idle_time <= limit:
                continue
            known = agent.redirects.location_by_flow.get(flow)
            seen_at = now - idle_time
            if known is None or sender == holder or known.seen_at < seen_at:
                agent.redirects.record(flow, holder, seen_at)
        agent.locator.memory.trials.learn(message.trials, now)
        acknowledgement = msg.LocationHandoverAck(message.number)
        return [
            fx.Count("handover", "received"),
            fx.SendControl(parse_address(sender), acknowledgement),
        ]
