"""Flows without a known holder: proof that an agent's service does not have them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.unproven_losses import LATE_AGENT_TIME, UnprovenLosses

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.coordination.flow_locator import FlowLocator
    from bilberrypath.coordination.flow_lookup import FlowLookup, NoHolder
    from bilberrypath.types import NodeId, Seconds

AGENTS_SETTLE_TIME: Seconds = 1.0  # agents started together differ by less than 0.5 s
JOINT_START_SETTLE_TIME: Seconds = 0.4  # two heartbeats of an agent that has started
LATE_REPLY_TIME: Seconds = 0.3  # of a busy agent; a lookup waits for 0.05 s
NEW_FLOW_JOIN_TIME: Seconds = 0.6  # within which an agent that took an open is known


@define
class LostFlows:
    """The part of an agent that handles the flows which a lookup did not find.

    Such a flow is looked up again until it is proven that no agent of the service has
    it. Then it is reset if no other service can have it; else its balancer is told.
    """

    agent: FlowAgent = field(repr=False)
    locator: FlowLocator = field(repr=False)
    _unproven_losses: UnprovenLosses = Factory(UnprovenLosses)

    def forget(self, flow: bytes) -> None:
        """Forget a flow that a lookup has found."""
        self._unproven_losses.forget(flow)

    def record_late_reply(self, flow: bytes, holder: NodeId, now: Seconds) -> None:
        """Record the holder that a reply names after the end of its lookup.

        It is used if the flow is still looked up, and the holder has not denied it.
        """
        loss = self._unproven_losses.get(flow)
        if holder and loss is not None and holder not in loss.denied_by:
            self.agent.redirects.record(flow, holder, now)

    def may_be_known_soon(self, lookup: FlowLookup, now: Seconds) -> bool:
        """Return whether an agent that has not replied yet may know the holder.

        Agents that are busy reply late, and one that has just started may not know whom
        to ask. So the first lookup of a flow that some agent did not answer has no
        upstream tried, and neither has one before a list of agents has arrived.
        """
        if not self._is_agent_list_known(now):
            return True
        loss = self._unproven_losses.get(lookup.queued_packets[0][1].flow)
        is_new = loss is None or now - loss.since < LATE_REPLY_TIME
        return is_new and self.may_be_at_silent_agent(lookup, now)

    def is_only_service(self, flow: bytes) -> bool:
        """Return whether a flow's route has no service but this agent's.

        That includes services which the route named until recently.
        """
        return {self.agent.service}.issuperset(self.agent.routes.list_services(flow))

    def is_agent_list_settled(self, flow: bytes, now: Seconds) -> bool:
        """Return whether the list of agents is complete enough to reset a flow.

        Agents that start together are added to the list one by one, and one that is
        not listed yet may have the flow. Beside upstreams that lived on, they may also
        still have to hear these and to announce former flows. After a power failure,
        when the upstream started together with this process, so did the others: only a
        flow that was opened since can be at an agent that is not listed yet. Such an
        agent has joined once no other did for ``JOINT_START_SETTLE_TIME``, or
        ``NEW_FLOW_JOIN_TIME`` after the first lookup of the flow. An open that this
        agent read late may have been taken by one that has just joined.
        """
        if self.agent.open_handler.late_opens.may_be_taken(flow, now):
            return False
        quiet_for = now - self.agent.agents_changed_at
        upstream = self.agent.upstream
        if not upstream.started_together(now):
            is_quiet = quiet_for > AGENTS_SETTLE_TIME
            is_quiet &= not upstream.may_others_be_silent(now)
            return is_quiet and self._knows_others_if_any(now)
        if quiet_for > JOINT_START_SETTLE_TIME:
            return True
        loss = self._unproven_losses.get(flow)
        return (
            self._is_agent_list_known(now)
            and loss is not None
            and now - loss.since >= NEW_FLOW_JOIN_TIME
        )

    def _knows_others_if_any(self, now: Seconds) -> bool:
        """Return whether the list of agents is not just that of isolated balancers.

        Balancers that have restarted at about one time may know only each other and
        this agent. Its service counts as having no other agent after
        ``LATE_AGENT_TIME``.
        """
        placement = self.agent.placement
        knows_others = bool(placement.peer_by_id or placement.absent.list_ids())
        return knows_others or now - self.agent.started_at >= LATE_AGENT_TIME

    def _is_agent_list_known(self, now: Seconds) -> bool:
        return self.agent.agents_changed_at <= now

    def may_be_at_unknown_agent(self, lookup: FlowLookup, now: Seconds) -> bool:
        """Return whether an agent that no agent knows of may have a flow.

        If all processes restarted at once beside upstreams that lived on, nobody
        remembers an agent that is back later than the others. Until
        ``LATE_AGENT_TIME`` after this process's start, a flow that all known upstreams
        returned is likely to be there. It is lost if a known upstream may have lost
        it: its agent saw it start or found it gone, or its machine has failed. An
        agent that saw its upstream start long ago names the absent agents.
        """
        agent = self.agent
        if now - agent.started_at >= LATE_AGENT_TIME:
            return False
        loss = self._unproven_losses.get(lookup.queued_packets[0][1].flow)
        has_complete_record = (
            lookup.has_complete_record
            or (loss is not None and loss.has_complete_record)
            or agent.upstream.tracks_all_flows(now)
        )
        known_ids = (*agent.placement.peer_by_id, *agent.placement.absent)
        return not has_complete_record and not any(
            agent.unresponsive_peers.has_failed(node_id, now) for node_id in known_ids
        )

    def list_unasked(self, lookup: FlowLookup, now: Seconds) -> list[NodeId]:
        """Return the absent agents that a lookup did not ask.

        It began before this agent learned of them.
        """
        agent = self.agent
        asked = {*lookup.tried_agents, *lookup.queried_ids, agent.node_id}
        return [
            node_id
            for node_id in agent.placement.absent.list_ids()
            if node_id not in asked
            and not agent.unresponsive_peers.has_failed(node_id, now)
        ]

    def may_be_at_silent_agent(self, lookup: FlowLookup, now: Seconds) -> bool:
        """Return whether an agent without a reply may be back soon, and have the flow.

        One whose machine is silent as well is not waited for.
        """
        peers = self.agent.unresponsive_peers
        silent_ids = {*lookup.pending_ids, *self.list_unasked(lookup, now)}
        return any(not peers.is_machine_silent(node_id, now) for node_id in silent_ids)

    def handle_no_holder(
        self, flow: bytes, lookup: FlowLookup, result: NoHolder, now: Seconds
    ) -> list[FlowEffect]:
        """Reset a flow that certainly no agent has, or look it up again later.

        A flow that another service or an unknown agent may have is not reset: its
        origin balancer is told that this service certainly does not have it.
        """
        agent = self.agent
        forwarded, packet = lookup.queued_packets[-1]
        is_settled = self.is_agent_list_settled(flow, now)
        queued = [queued_forwarded for queued_forwarded, _ in lookup.queued_packets]
        may_reset = self.is_only_service(flow) and not packet.is_rst
        may_reset &= all(f.may_reset for f in queued)
        unasked = self.list_unasked(lookup, now)
        is_certain = result.is_certain and not unasked
        is_untried_here = agent.node_id not in lookup.tried_agents
        if is_untried_here and self.locator.may_hold(flow, now):
            is_certain = False
        has_queried_all = all(f.has_queried_all for f in queued)
        is_proven = is_certain and is_settled and has_queried_all
        may_be_unknown = is_proven and self.may_be_at_unknown_agent(lookup, now)
        may_reset &= not may_be_unknown
        is_news = is_proven or self._unproven_losses.get(flow) is None
        if is_news and not may_reset:
            forwarded = msgspec.structs.replace(forwarded, wants_location=True)
        notices = agent.send_location(
            forwarded,
            flow,
            "",
            is_certain=is_proven,
            may_be_at_unknown_agent=may_be_unknown,
        )
        if is_proven:
            self._unproven_losses.forget(flow)
            if may_reset:
                reset = agent.reset(flow, packet.acknowledged, "nobody_has_it")
                return [*notices, *reset]
        else:
            self.locator.memory.record_not_found(flow, now)
            # The home agent of an incomplete lookup repeats it.
            if has_queried_all or not forwarded.is_lookup_done:
                self.retry_later(lookup, now)
        fields = {
            "certain": is_certain,
            "asked": len(lookup.queried_ids),
            "settled": is_settled,
            "silent": sorted({*lookup.pending_ids, *unasked}),
        }
        return [
            *notices,
            fx.Count("flow_search", "nobody"),
            ffx.LogDecision("flow_not_found", flow, fields),
        ]

    def retry(self, flow: bytes, now: Seconds) -> list[FlowEffect]:
        """Ask agents that were not asked before for a flow without a known holder."""
        unproven = self._unproven_losses.get(flow)
        is_known = self.agent.flows.get(flow) is not None or self.agent.redirects.find(
            flow, now
        )
        if unproven is None or is_known or self.locator.lookups.get(flow) is not None:
            self._unproven_losses.forget(flow)
            return []
        restarted = msgspec.structs.replace(
            unproven.forwarded,
            tried_agents=tuple(sorted(unproven.denied_by)),
            is_lookup_done=False,
            possible_holders=(),
            has_queried_all=True,
            wants_location=False,  # the balancer was told of the first lookup
        )
        may_hold = self.locator.may_hold(flow, now)
        return self.locator.query_agents(restarted, unproven.packet, now, may_hold)

    def retry_later(self, lookup: FlowLookup, now: Seconds) -> None:
        """Have a lookup without a holder repeated among the agents that may have it.

        If this service may try no upstream yet, the balancer asks again itself.
        """
        forwarded, packet = lookup.queued_packets[-1]
        if packet.is_rst or not forwarded.may_try:
            return
        denied_by = {*lookup.tried_agents, *lookup.queried_ids} - lookup.pending_ids
        denied_by -= {*lookup.possible_holders, *lookup.silent_upstream_agents}
        retry_at = self._unproven_losses.record(forwarded, packet, denied_by, now)
        if retry_at is None:
            return
        self.agent.deadlines.set(("retry", packet.flow), retry_at)
        loss = self._unproven_losses.get(packet.flow)
        loss.has_complete_record |= lookup.has_complete_record
        if forwarded.max_trials < loss.forwarded.max_trials:
            loss.forwarded = forwarded
