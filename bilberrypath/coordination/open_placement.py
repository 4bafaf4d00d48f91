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

DRAWN = 3  # agents compared for an open
MARGIN = 0.15  # of the slots; a smaller gain is not worth the way
FAR = 0.2  # of the slots; what a way between data centres has to gain
CROWDED = 1.0  # running requests over slots; above it requests queue
FRESH: Seconds = 0.7  # two periods of reports
REPORT_LIMIT: Seconds = 2.0  # older reports say nothing of the load
MAX_HOPS = 3  # passes from agent to agent before the load no longer counts


@define
class PeerAgent:
    """Another agent of the service, with its last word."""

    member: Member
    report: LoadReport | None = None
    heard_at: Seconds = float("-inf")
    sent_since: int = 0

    def take_report(self, report: LoadReport, now: Seconds) -> None:
        """Take in the agent's word of its load."""
        self.report = report
        self.heard_at = now
        self.sent_since = 0

    def takes_opens(self, now: Seconds) -> bool:
        """Return whether the agent may take an open, as far as is known."""
        if not self.member.takes_work:
            return False
        if self.report is None or now - self.heard_at > REPORT_LIMIT:
            return True
        return self.report.takes_opens

    def rate_pressure(self, now: Seconds) -> float:
        """Return the pressure that is to be expected, 1 where nothing is known."""
        if self.report is None or now - self.heard_at > REPORT_LIMIT:
            return 1.0
        return self.report.pressure + self.sent_since / max(1, self.report.slots)


@frozen
class OwnLoad:
    """The load of the agent that decides: busy flows, slots, pressure."""

    busy: int
    slots: int
    pressure: float
    data_centre: DataCentreName


@frozen
class OpenRules:
    """Where an open should go: ``near`` its client, not to those named."""

    near: DataCentreName
    passed_over: Container[NodeId]
    out: Container[DataCentreName]


def rate_distance(data_centre: DataCentreName, near: DataCentreName) -> float:
    """Return what is added to the pressure of an agent for its distance.

    A flow that stays in its client's data centre outlives a cut between data
    centres, and its bytes cost less.
    """
    return 0.0 if near in ("", data_centre) else FAR


@define
class OpenPlacement:
    """Choose another agent for an open, or none."""

    rng: Random
    peer_by_id: dict[NodeId, PeerAgent] = Factory(dict)

    def use_agents(self, agents: tuple[Member, ...], me: NodeId, now: Seconds) -> bool:
        """Take over the agents of the service; return whether one came or went.

        A balancer that has just started may not know all of them: one that
        was heard of late stays.
        """
        before = set(self.peer_by_id)
        found = {member.node_id: member for member in agents if member.node_id != me}
        for node_id in before - set(found):
            if now - self.peer_by_id[node_id].heard_at > REPORT_LIMIT:
                del self.peer_by_id[node_id]
        for node_id, member in found.items():
            peer = self.peer_by_id.get(node_id)
            if peer is None:
                self.peer_by_id[node_id] = PeerAgent(member)
            else:
                peer.member = member
        return before != set(self.peer_by_id)

    def choose_less_busy(
        self, own: OwnLoad, rules: OpenRules, now: Seconds
    ) -> NodeId | None:
        """Return an agent that is clearly better than this one, or None."""
        best = self._draw_best(rules, now)
        if best is None:
            return None
        mine = own.pressure + rate_distance(own.data_centre, rules.near)
        gain = mine - _rate(best, rules, now)
        is_full = own.busy >= own.slots
        if gain > MARGIN or (is_full and gain > 0):
            return self._send_to(best)
        return None

    def choose_any(self, rules: OpenRules, now: Seconds) -> NodeId | None:
        """Return the best agent for an open that can't be taken here, or None."""
        best = self._draw_best(rules, now)
        return None if best is None else self._send_to(best)

    def is_crowded(self, node_id: NodeId, now: Seconds) -> bool:
        """Return whether requests queue at an agent, as far as is known."""
        return self.peer_by_id[node_id].rate_pressure(now) > CROWDED

    def describe(self, node_id: NodeId, now: Seconds) -> dict[str, float]:
        """Return what is known of an agent's load, and how old that is, for the log."""
        peer = self.peer_by_id[node_id]
        if peer.report is None:
            return {}
        age = round(now - peer.heard_at, 3)
        return {"pressure": round(peer.rate_pressure(now), 2), "pressure_age": age}

    def _send_to(self, peer: PeerAgent) -> NodeId:
        peer.sent_since += 1
        return peer.member.node_id

    def _draw_best(self, rules: OpenRules, now: Seconds) -> PeerAgent | None:
        """Return the best of a few drawn anywhere and a few drawn near."""
        able = [
            peer
            for node_id, peer in self.peer_by_id.items()
            if node_id not in rules.passed_over
            and peer.member.data_centre not in rules.out
            and peer.takes_opens(now)
        ]
        fresh = [peer for peer in able if now - peer.heard_at <= FRESH]
        among = fresh if len(fresh) >= DRAWN else able
        near = [peer for peer in among if peer.member.data_centre == rules.near]
        drawn = self._draw(among, DRAWN) + self._draw(near, DRAWN)
        return min(drawn, key=lambda peer: _rate(peer, rules, now), default=None)

    def _draw(self, peers: list[PeerAgent], count: int) -> list[PeerAgent]:
        return self.rng.sample(peers, min(count, len(peers)))


def _rate(peer: PeerAgent, rules: OpenRules, now: Seconds) -> float:
    distance = rate_distance(peer.member.data_centre, rules.near)
    return peer.rate_pressure(now) + distance
