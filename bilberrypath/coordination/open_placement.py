"""Choice of the agent of a service that takes an open.

The home agent of a flow takes the open itself unless another agent is clearly less
busy. Load reports are always slightly out of date, so the choice is made among a
small random sample of agents, and the opens relayed to an agent since its last report
are added to its load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.coordination.absent_agents import MAX_SENT_AGENTS, AbsentAgents
from bilberrypath.coordination.peer_agent import MAX_REPORT_AGE, PeerAgent
from bilberrypath.load.expected_wait import (
    MIN_REFERENCE_CONFIDENCE,
    compute_load,
    compute_reference,
    compute_relative_time,
)
from bilberrypath.load.pressure import UpstreamLoad

if TYPE_CHECKING:
    from random import Random

    from bilberrypath.coordination.placement_constraints import (
        OwnLoad,
        PlacementConstraints,
    )
    from bilberrypath.load.upstream_speed import SpeedEstimate
    from bilberrypath.protocol.flow_messages import AbsentAgent
    from bilberrypath.state.members import Member
    from bilberrypath.types import DataCentreName, NodeId, Seconds, ServiceName

SAMPLE_SIZE = 3  # agents compared per open; as many again near its client
MIN_GAIN = 0.3  # of the slots; a smaller gain does not justify a relay
CROWDED_UTILIZATION = 1.0  # running requests over slots; requests queue above it
FRESH_REPORT_AGE: Seconds = 1.1  # two load report periods
MAX_HOPS = 3  # relays of an open after which load is ignored


@define
class OpenPlacement:
    """The known peers of an agent, and the choice among them for an open.

    ``_unlisted_ids`` are peers that are gone by the list of agents, and are kept until
    their last load report is old. ``absent`` are those dropped then, unless they had
    announced that they left: they get no opens, but may have flows. ``reference`` is
    the median of the service times of the service's agents, 0 if unknown, and
    ``own_relative_time`` this agent's service time relative to it.
    """

    rng: Random
    peer_by_id: dict[NodeId, PeerAgent] = Factory(dict)
    absent: AbsentAgents = Factory(AbsentAgents)
    reference: Seconds = 0.0
    own_relative_time: float = 1.0
    _unlisted_ids: set[NodeId] = Factory(set)

    def update_reference(self, own: SpeedEstimate, now: Seconds) -> None:
        """Compute the reference of service times from recent reports and this agent."""
        times = [peer.get_reference_time(now) for peer in self.peer_by_id.values()]
        if own.confidence >= MIN_REFERENCE_CONFIDENCE:
            times.append(own.service_time)
        self.reference = compute_reference(times)
        self.own_relative_time = compute_relative_time(
            own.service_time, own.confidence, self.reference
        )
        for peer in self.peer_by_id.values():
            peer.update_relative_time(self.reference)

    def update_agents(
        self, agents: tuple[Member, ...], own_id: NodeId, now: Seconds
    ) -> bool:
        """Replace the list of peers; return whether one was added or removed.

        The list may be incomplete, from a balancer that has just started, so a peer
        with a recent load report is kept while it sends more of them.
        """
        previous = set(self.peer_by_id)
        listed_ids = {member.node_id for member in agents} - {own_id}
        for member in agents:
            if member.node_id != own_id:
                self._set_member(member)
        self._unlisted_ids = previous - listed_ids
        self.drop_unlisted(now)
        return previous != set(self.peer_by_id)

    def apply_changes(
        self,
        changed: tuple[Member, ...],
        service: ServiceName,
        own_id: NodeId,
        now: Seconds,
    ) -> bool:
        """Apply changed records to the list; return whether a peer came or went.

        A peer that is gone gets no opens from now on. While its load reports are recent
        it is still asked for flows, since its removal may be a mistake. One that runs
        another service now is dropped at once.
        """
        previous = set(self.peer_by_id)
        for member in changed:
            if member.node_id == own_id:
                continue
            if member.service != service:
                self.peer_by_id.pop(member.node_id, None)
                self.absent.forget(member.node_id)
            elif not member.is_gone:
                self._set_member(member)
            elif not member.may_have_flows:
                self.absent.record_left(member.node_id, now)
            if member.is_gone and member.node_id in self.peer_by_id:
                self.peer_by_id[member.node_id].member = member
                self._unlisted_ids.add(member.node_id)
            elif member.is_gone and member.may_have_flows:
                self.absent.record(member.node_id, now)
        self.drop_unlisted(now)
        return previous != set(self.peer_by_id)

    def drop_unlisted(self, now: Seconds) -> None:
        """Drop the unlisted peers whose last load report is old."""
        for node_id in sorted(self._unlisted_ids):
            peer = self.peer_by_id.get(node_id)
            if peer is None or now - peer.reported_at > MAX_REPORT_AGE:
                self.peer_by_id.pop(node_id, None)
                self._unlisted_ids.discard(node_id)
                if peer is not None and peer.member.may_have_flows:
                    self.absent.record(node_id, now)

    def report_absent(self, now: Seconds) -> tuple[AbsentAgent, ...]:
        """Return what to tell another agent of those that may be unknown to it.

        Besides the absent agents these are peers that are about to be dropped.
        """
        unlisted = [
            (node_id, 0.0)
            for node_id in sorted(self._unlisted_ids & self.peer_by_id.keys())
            if self.peer_by_id[node_id].member.may_have_flows
        ]
        return (*self.absent.make_report(now), *unlisted[:MAX_SENT_AGENTS])

    def has_announced_no_flows(self, node_id: NodeId) -> bool:
        """Return whether a listed agent announced that its upstream has no flows."""
        peer = self.peer_by_id.get(node_id)
        return peer is not None and peer.member.has_no_flows

    def may_have_flows(self, node_id: NodeId) -> bool:
        """Return whether an agent is a known one of the service, listed or absent."""
        return node_id in self.peer_by_id or node_id in self.absent.list_ids()

    def forget_all(self) -> None:
        """Forget all peers, as this agent belongs to another service now."""
        self.peer_by_id.clear()
        self.absent.clear()
        self.reference = 0.0
        self.own_relative_time = 1.0

    def _set_member(self, member: Member) -> None:
        self._unlisted_ids.discard(member.node_id)
        self.absent.forget(member.node_id)
        peer = self.peer_by_id.get(member.node_id)
        if peer is None:
            self.peer_by_id[member.node_id] = PeerAgent(member)
        else:
            peer.member = member

    def list_near_first(self, client_data_centre: DataCentreName) -> list[NodeId]:
        """Return all agents that may have a flow, those near its client first.

        Opens are placed in the client's data centre if the load allows it, so that a
        peer there is the most likely holder. Absent agents come last.
        """
        ranked = [
            (peer.member.data_centre != client_data_centre, node_id)
            for node_id, peer in self.peer_by_id.items()
        ]
        return [node_id for _, node_id in sorted(ranked)] + self.absent.list_ids()

    def choose_less_busy(
        self, own: OwnLoad, constraints: PlacementConstraints, now: Seconds
    ) -> NodeId | None:
        """Return an agent that is clearly better than this one, or None.

        The gain must exceed ``MIN_GAIN``, or just be positive if this agent is full, or
        if terms are stated and only the other agent is in the client's data centre.
        """
        best = self._sample_best(constraints, now)
        if best is None:
            return None
        if constraints.pressure is None:
            load = compute_load(own.utilization, own.slots, self.own_relative_time)
        else:
            load = own.utilization
        own_score = constraints.compute_score(load, own.data_centre)
        gain = own_score - _score(best, constraints, now)
        is_full = own.busy_count >= own.slots
        is_nearer = constraints.pressure is not None and (
            constraints.is_near(best.member.data_centre)
            and not constraints.is_near(own.data_centre)
        )
        if gain > MIN_GAIN or ((is_full or is_nearer) and gain > 0):
            return self._record_choice(best, now)
        return None

    def list_recent_loads(self, now: Seconds) -> list[UpstreamLoad]:
        """Return what peers reported within the last two report periods.

        Opens sent since are left out: they would let the pressure follow each of this
        agent's own choices.
        """
        return [
            UpstreamLoad(
                peer.member.data_centre,
                peer.report.utilization,
                peer.may_take_opens(now),
            )
            for peer in self.peer_by_id.values()
            if peer.report is not None and now - peer.reported_at <= FRESH_REPORT_AGE
        ]

    def choose_any(
        self, constraints: PlacementConstraints, now: Seconds
    ) -> NodeId | None:
        """Return the best agent for an open that this agent cannot take, or None."""
        best = self._sample_best(constraints, now)
        return None if best is None else self._record_choice(best, now)

    def is_crowded(self, node_id: NodeId, now: Seconds) -> bool:
        """Return whether requests are expected to queue at an agent."""
        return self.peer_by_id[node_id].estimate_utilization(now) > CROWDED_UTILIZATION

    def describe(self, node_id: NodeId, now: Seconds) -> dict[str, float]:
        """Return log fields: an agent's expected utilization and its report's age."""
        peer = self.peer_by_id[node_id]
        if peer.report is None:
            return {}
        age = round(now - peer.reported_at, 3)
        utilization = peer.estimate_utilization(now)
        fields = {"pressure": round(utilization, 2), "pressure_age": age}
        load = peer.estimate_load(now)
        if load != utilization:
            fields["load"] = round(load, 2)
        return fields

    def _record_choice(self, peer: PeerAgent, now: Seconds) -> NodeId:
        peer.record_open(now)
        return peer.member.node_id

    def _sample_best(
        self, constraints: PlacementConstraints, now: Seconds
    ) -> PeerAgent | None:
        """Return the best of two random samples, or None if no agent is eligible.

        One is of all agents, the other of those in the client's data centre. Agents
        with a fresh report are preferred if there are enough for a sample.
        """
        eligible = [
            peer
            for node_id, peer in self.peer_by_id.items()
            if node_id not in constraints.excluded_ids
            and peer.member.data_centre not in constraints.excluded_data_centres
            and peer.may_take_opens(now)
        ]
        fresh = [
            peer for peer in eligible if now - peer.reported_at <= FRESH_REPORT_AGE
        ]
        candidates = fresh if len(fresh) >= SAMPLE_SIZE else eligible
        near = [
            peer
            for peer in candidates
            if peer.member.data_centre == constraints.client_data_centre
        ]
        if constraints.pressure is not None:
            candidates = _prefer_with_room(candidates, now)
            near = _prefer_with_room(near, now)
        sampled = self._sample(candidates, SAMPLE_SIZE) + self._sample(
            near, SAMPLE_SIZE
        )
        return min(
            sampled, key=lambda peer: _score(peer, constraints, now), default=None
        )

    def _sample(self, peers: list[PeerAgent], count: int) -> list[PeerAgent]:
        return self.rng.sample(peers, min(count, len(peers)))


def _prefer_with_room(peers: list[PeerAgent], now: Seconds) -> list[PeerAgent]:
    """Return the peers that probably have a free slot, or all if none has."""
    return [
        peer for peer in peers if peer.estimate_upstream_load(now).has_room
    ] or peers


def estimate_compared_load(
    peer: PeerAgent, constraints: PlacementConstraints, now: Seconds
) -> float:
    """Return the load by which an agent is compared with others."""
    if constraints.pressure is None:
        return peer.estimate_load(now)
    return peer.estimate_upstream_load(now).utilization


def _score(peer: PeerAgent, constraints: PlacementConstraints, now: Seconds) -> float:
    load = estimate_compared_load(peer, constraints, now)
    return constraints.compute_score(load, peer.member.data_centre)
