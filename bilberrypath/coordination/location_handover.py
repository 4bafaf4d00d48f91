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
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_messages import parse_address

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.types import NodeId, Seconds

HANDOVER_FANOUT = 3  # agents; messages are lost, and some of these may end as well
MAX_ENTRIES_PER_MESSAGE = 32  # about 1.3 KB


@define
class LocationHandover:
    """The part of an agent that passes on and receives the locations of flows.

    ``_sent_holder_by_flow`` is what this agent has passed on since it began to leave.
    """

    agent: FlowAgent = field(repr=False)
    _sent_holder_by_flow: dict[bytes, NodeId] = Factory(dict)

    def send(self, now: Seconds) -> list[FlowEffect]:
        """Pass on the locations that were not passed on before, and recent trials."""
        recipients = self._choose_recipients()
        if not recipients:
            return []
        locations = [
            location
            for location in self._list_locations(now)
            if self._sent_holder_by_flow.get(location[0]) != location[1]
        ]
        trials = self.agent.locator.memory.trials.list_recent(now)
        if not locations and not trials:
            return []
        self._sent_holder_by_flow |= {flow: holder for flow, holder, _ in locations}
        fields = {"flows": len(locations), "to": recipients}
        return [
            fx.LogStateChange("locations_handed_over", fields),
            *(
                fx.SendControl(parse_address(node_id), message)
                for message in self._make_messages(locations, trials)
                for node_id in recipients
            ),
        ]

    def _make_messages(
        self, locations: list[msg.IdleLocation], trials: list[msg.PastTrial]
    ) -> list[msg.LocationHandover]:
        service, step = self.agent.service, MAX_ENTRIES_PER_MESSAGE
        return [
            msg.LocationHandover(service, tuple(locations[start : start + step]))
            for start in range(0, len(locations), step)
        ] + [
            msg.LocationHandover(service, trials=tuple(trials[start : start + step]))
            for start in range(0, len(trials), step)
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

    def _choose_recipients(self) -> list[NodeId]:
        """Return agents that are to stay, if possible."""
        agent = self.agent
        peers = [
            node_id
            for node_id in agent.placement.peer_by_id
            if node_id not in agent.unresponsive_peers.since_by_id
        ]
        serving = [
            node_id
            for node_id in peers
            if agent.placement.peer_by_id[node_id].member.may_take_work
        ]
        candidates = serving if len(serving) >= HANDOVER_FANOUT else peers
        count = min(HANDOVER_FANOUT, len(candidates))
        return agent.rng.sample(candidates, count)

    def receive(
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
        for flow, age in message.trials:
            if age >= 0:
                agent.locator.memory.trials.record(flow, 1, now - age)
        return [fx.Count("handover", "received")]
