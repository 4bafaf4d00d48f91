"""Transfer of flow locations from an agent that ends to agents that stay.

The location of a flow is known to the agent that holds it and to those that relayed
it, in memory. An agent that ends sends what it knows to a few others, which do the same
when they end. So the next process of a holder gets the packets of its flows, and no
other upstream has to be tried, however many agents restart meanwhile.
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

TRANSFER_FANOUT = 3  # agents; some of these may be about to end as well
MIN_CONFIRMED = 2  # of them, which this agent waits for
CONFIRM_TIMEOUT: Seconds = 1.0  # a small part of the time a process is given to end
MAX_ENTRIES_PER_MESSAGE = 32  # about 1.3 KB


@define
class LocationTransfers:
    """The part of an agent that sends and receives the locations of flows.

    ``_messages`` are those sent so far, by number, the last at ``_sent_at``, and
    ``_missing_by_id`` has for each recipient the numbers that it has not acknowledged.
    """

    agent: FlowAgent = field(repr=False)
    _messages: list[msg.LocationTransfer] = Factory(list)
    _missing_by_id: dict[NodeId, set[int]] = Factory(dict)
    _sent_at: Seconds = float("-inf")

    def send(self, now: Seconds) -> list[FlowEffect]:
        """Send the locations that were not sent before, and at first recent trials."""
        sent = {entry[:2] for message in self._messages for entry in message.locations}
        known = self._list_locations(now)
        locations = [location for location in known if location[:2] not in sent]
        budget = self.agent.locator.memory.trials
        trials = [] if self._messages else budget.list_recent(now)
        messages = self._make_messages(locations, trials)
        if not messages:
            return []
        self._sent_at = now
        self._messages += messages
        recipients = list(self._missing_by_id) or self._choose_recipients(now)
        return self._send_to(recipients, messages)

    def tick(self, now: Seconds) -> list[FlowEffect]:
        """Send all messages to further agents while too few have received them."""
        if self.is_confirmed(now):
            return []
        recipients = self._choose_recipients(now) or list(self._missing_by_id)
        return self._send_to(recipients, self._messages)

    def is_confirmed(self, now: Seconds) -> bool:
        """Return whether this agent need not wait for acknowledgements.

        Enough agents have received what it sent, or it has waited long enough.
        """
        if now - self._sent_at > CONFIRM_TIMEOUT:
            return True
        confirmed = sum(not missing for missing in self._missing_by_id.values())
        return confirmed >= min(MIN_CONFIRMED, len(self.agent.placement.peer_by_id))

    def _send_to(
        self, recipients: list[NodeId], messages: list[msg.LocationTransfer]
    ) -> list[FlowEffect]:
        for node_id in recipients:
            missing = self._missing_by_id.setdefault(node_id, set())
            missing.update(message.number for message in messages)
        count = sum(len(message.locations) for message in messages)
        fields = {"flows": count, "to": recipients}
        return [
            fx.LogStateChange("locations_transferred", fields),
            *(
                fx.SendControl(parse_address(node_id), message)
                for message in messages
                for node_id in recipients
            ),
        ]

    def _make_messages(
        self, locations: list[msg.IdleLocation], trials: list[msg.PastTrial]
    ) -> list[msg.LocationTransfer]:
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
            msg.LocationTransfer(self.agent.service, number, *part)
            for number, part in enumerate(parts, first)
        ]

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
        return [node_id for *_, node_id in ranked[:TRANSFER_FANOUT]]

    @dispatchmethod
    def handle(
        self, message: msg.TransferMessage, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Handle a transfer of another agent, or its acknowledgement."""
        raise TypeError(
            f"LocationTransfers has no handler for {type(message).__name__}; "
            "register one with LocationTransfers.handle"
        )

    @handle.register(msg.LocationTransferAck)
    def _(
        self, message: msg.LocationTransferAck, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        self._missing_by_id.get(sender, set()).discard(message.number)
        return []

    @handle.register(msg.LocationTransfer)
    def _(
        self, message: msg.LocationTransfer, sender: NodeId, now: Seconds
    ) -> list[FlowEffect]:
        """Record the locations and trials that an agent of the service sent.

        What the holder itself states replaces what is known here; other locations
        replace older ones.
        """
        agent = self.agent
        if message.service != agent.service:
            return [fx.Count("location_transfer_dropped", "other_service")]
        limit = agent.setup.flow_lifetime
        for flow, holder, idle_time in message.locations:
            if not 0 <= idle_time <= limit:
                continue
            known = agent.redirects.location_by_flow.get(flow)
            seen_at = now - idle_time
            if known is None or sender == holder or known.seen_at < seen_at:
                agent.redirects.record(flow, holder, seen_at)
        agent.locator.memory.trials.learn(message.trials, now)
        acknowledgement = msg.LocationTransferAck(message.number)
        return [
            fx.Count("location_transfer", "received"),
            fx.SendControl(parse_address(sender), acknowledgement),
        ]
