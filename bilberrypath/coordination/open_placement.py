"""Which agent of a service takes an open.

The home of a flow takes the open itself unless another agent is clearly less
busy. Loads of others are reports of a moment ago, so the choice is made among
a few drawn at random, and what was just sent there is added.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Container
    from random import Random

    from bilberrypath.protocol.flow_messages import LoadReport
    from bilberrypath.state.members import Member
    from bilberrypath.types import DataCentreName, NodeId, Seconds

SAMPLE_SIZE = 3  # agents compared for an open
MIN_GAIN = 0.15  # of the slots; a smaller gain is not worth the way
DISTANCE_PENALTY = 0.2  # of the slots; what a way between data centres has to gain
CROWDED_UTILIZATION = 1.0  # running requests over slots; above it requests queue
FRESH_REPORT_AGE: Seconds = 0.7  # two periods of reports
MAX_REPORT_AGE: Seconds = 2.0  # older reports say nothing of the load
MAX_HOPS = 3  # passes from agent to agent before the load no longer counts


@define
class PeerAgent:
    """Another agent of the service, with its last word."""

    member: Member
    report: LoadReport | None = None
    reported_at: Seconds = float("-inf")
    opens_since_report: int = 0

    def handle_report(self, report: LoadReport, now: Seconds) -> None:
        """Take in the agent's word of its load."""
        self.report = report
        self.reported_at = now
        self.opens_since_report = 0

    def may_take_opens(self, now: Seconds) -> bool:
        """Return whether the agent may take an open, as far as is known."""
        if not self.member.may_take_work:
            return False
        if self.report is None or now - self.reported_at > MAX_REPORT_AGE:
            return True
        return self.report.may_take_opens

    def estimate_utilization(self, now: Seconds) -> float:
        """Return the pressure that is to be expected, 1 where nothing is known."""
        if self.report is None or now - self.reported_at > MAX_REPORT_AGE:
            return 1.0
        return self.report.utilization + self.opens_since_report / max(
            1, self.report.slots
        )


@frozen
class OwnLoad:
    """The load of the agent that decides: busy flows, slots, pressure."""

    busy_count: int
    slots: int
    utilization: float
    data_centre: DataCentreName


@frozen
class PlacementConstraints:
    """Where an open should go: near its client, not to those named."""

    client_data_centre: DataCentreName
    excluded_ids: Container[NodeId]
    excluded_data_centres: Container[DataCentreName]


def compute_distance_penalty(
    data_centre: DataCentreName, near: DataCentreName
) -> float:
    """Return what is added to the pressure of an agent for its distance.

    A flow that stays in its client's data centre outlives a cut between data
    centres, and its bytes cost less.
    """
    return 0.0 if near in ("", data_centre) else DISTANCE_PENALTY


@define
class OpenPlacement:
    """Choose another agent for an open, or none."""

    rng: Random
    peer_by_id: dict[NodeId, PeerAgent] = Factory(dict)

    def update_agents(
        self, agents: tuple[Member, ...], me: NodeId, now: Seconds
    ) -> bool:
        """Take over the agents of the service; return whether one came or went.

        A balancer that has just started may not know all of them: one that
        was heard of late stays.
        """
        before = set(self.peer_by_id)
        found = {member.node_id: member for member in agents if member.node_id != me}
        for node_id in before - set(found):
            if now - self.peer_by_id[node_id].reported_at > MAX_REPORT_AGE:
                del self.peer_by_id[node_id]
        for node_id, member in found.items():
            peer = self.peer_by_id.get(node_id)
            if peer is None:
                self.peer_by_id[node_id] = PeerAgent(member)
            else:
                peer.member = member
        return before != set(self.peer_by_id)

    def choose_less_busy(
        self, own: OwnLoad, rules: PlacementConstraints, now: Seconds
    ) -> NodeId | None:
        """Return an agent that is clearly better than this one, or None."""
        best = self._sample_best(rules, now)
        if best is None:
            return None
        mine = own.utilization + compute_distance_penalty(
            own.data_centre, rules.client_data_centre
        )
        gain = mine - _score(best, rules, now)
        is_full = own.busy_count >= own.slots
        if gain > MIN_GAIN or (is_full and gain > 0):
            return self._record_choice(best)
        return None

    def choose_any(self, rules: PlacementConstraints, now: Seconds) -> NodeId | None:
        """Return the best agent for an open that can't be taken here, or None."""
        best = self._sample_best(rules, now)
        return None if best is None else self._record_choice(best)

    def is_crowded(self, node_id: NodeId, now: Seconds) -> bool:
        """Return whether requests queue at an agent, as far as is known."""
        return self.peer_by_id[node_id].estimate_utilization(now) > CROWDED_UTILIZATION

    def describe(self, node_id: NodeId, now: Seconds) -> dict[str, float]:
        """Return what is known of an agent's load, and how old that is, for the log."""
        peer = self.peer_by_id[node_id]
        if peer.report is None:
            return {}
        age = round(now - peer.reported_at, 3)
        return {
            "pressure": round(peer.estimate_utilization(now), 2),
            "pressure_age": age,
        }

    def _record_choice(self, peer: PeerAgent) -> NodeId:
        peer.opens_since_report += 1
        return peer.member.node_id

    def _sample_best(
        self, rules: PlacementConstraints, now: Seconds
    ) -> PeerAgent | None:
        """Return the best of a few drawn anywhere and a few drawn near."""
        able = [
            peer
            for node_id, peer in self.peer_by_id.items()
            if node_id not in rules.excluded_ids
            and peer.member.data_centre not in rules.excluded_data_centres
            and peer.may_take_opens(now)
        ]
        fresh = [peer for peer in able if now - peer.reported_at <= FRESH_REPORT_AGE]
        among = fresh if len(fresh) >= SAMPLE_SIZE else able
        near = [
            peer
            for peer in among
            if peer.member.data_centre == rules.client_data_centre
        ]
        drawn = self._sample(among, SAMPLE_SIZE) + self._sample(near, SAMPLE_SIZE)
        return min(drawn, key=lambda peer: _score(peer, rules, now), default=None)

    def _sample(self, peers: list[PeerAgent], count: int) -> list[PeerAgent]:
        return self.rng.sample(peers, min(count, len(peers)))


def _score(peer: PeerAgent, rules: PlacementConstraints, now: Seconds) -> float:
    distance = compute_distance_penalty(
        peer.member.data_centre, rules.client_data_centre
    )
    return peer.estimate_utilization(now) + distance
