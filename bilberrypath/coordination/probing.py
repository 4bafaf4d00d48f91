"""Failure detection among balancers, after SWIM (Das, Gupta, Motivala 2002).

Each period one peer is probed. A peer that does not answer is probed indirectly
through other peers, and is suspected if that fails too. It is removed only if it
does not refute the suspicion in time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from bilberrypath.types import NodeId, Seconds

PROBE_PERIOD: Seconds = 0.5
DIRECT_PROBE_TIMEOUT: Seconds = 0.4  # then indirect probes are sent
# Since the direct probe; then the target is suspected.
INDIRECT_PROBE_TIMEOUT: Seconds = 1.2
INDIRECT_PROBE_COUNT = 3  # peers that probe the target on request


@frozen
class PendingProbe:
    """A probe that has not been answered yet."""

    target: NodeId
    started_at: Seconds


@frozen
class ProbePlan:
    """The probes and suspicions that are due, by node ID.

    ``probe_indirectly`` holds pairs of the peer that sends the probe and its target.
    """

    probe: NodeId | None = None
    probe_indirectly: tuple[tuple[NodeId, NodeId], ...] = ()
    suspect: tuple[NodeId, ...] = ()


@define
class Prober:
    """Choose the peers to probe, and detect the ones that do not answer.

    ``is_peer`` returns whether a process is a member that is not gone.
    """

    rng: Random
    next_probe_at: Seconds
    is_peer: Callable[[NodeId], bool]
    _shuffled_peers: list[NodeId] = Factory(list)
    _probe_by_target: dict[NodeId, PendingProbe] = Factory(dict)
    _indirectly_probed: set[NodeId] = Factory(set)

    def plan(self, peers: list[NodeId], now: Seconds) -> ProbePlan:
        """Return the probes and suspicions that are due at ``now``."""
        self._drop_gone_targets()
        suspects = self._pop_unanswered(now)
        indirect_probes = self._plan_indirect_probes(peers, now)
        return ProbePlan(self._choose_target(peers, now), indirect_probes, suspects)

    def end_probe(self, target: NodeId) -> None:
        """End the pending probe of a peer: answered, timed out or no longer needed."""
        self._probe_by_target.pop(target, None)
        self._indirectly_probed.discard(target)

    def _drop_gone_targets(self) -> None:
        for target in [
            peer for peer in self._probe_by_target if not self.is_peer(peer)
        ]:
            self.end_probe(target)

    def _pop_unanswered(self, now: Seconds) -> tuple[NodeId, ...]:
        unanswered = [
            probe.target
            for probe in self._probe_by_target.values()
            if now - probe.started_at >= INDIRECT_PROBE_TIMEOUT
        ]
        for target in unanswered:
            self.end_probe(target)
        return tuple(unanswered)

    def _plan_indirect_probes(
        self, peers: list[NodeId], now: Seconds
    ) -> tuple[tuple[NodeId, NodeId], ...]:
        indirect_probes = []
        for probe in self._probe_by_target.values():
            if probe.target in self._indirectly_probed:
                continue
            if now - probe.started_at < DIRECT_PROBE_TIMEOUT:
                continue
            self._indirectly_probed.add(probe.target)
            relay_peers = self._sample(peers, INDIRECT_PROBE_COUNT, probe.target)
            indirect_probes += [
                (relay_peer, probe.target) for relay_peer in relay_peers
            ]
        return tuple(indirect_probes)

    def _sample(
        self, peers: list[NodeId], count: int, excluded: NodeId
    ) -> list[NodeId]:
        candidates = self.rng.sample(peers, min(count + 1, len(peers)))
        return [peer for peer in candidates if peer != excluded][:count]

    def _choose_target(self, peers: list[NodeId], now: Seconds) -> NodeId | None:
        if now < self.next_probe_at or not peers:
            return None
        self.next_probe_at = now + PROBE_PERIOD * self.rng.uniform(0.9, 1.1)
        target = self._draw_target(peers)
        if target not in self._probe_by_target:
            self._probe_by_target[target] = PendingProbe(target, now)
        return target

    def _draw_target(self, peers: list[NodeId]) -> NodeId:
        """Return the next peer of a shuffled round that contains each peer once.

        A new round begins when the last one is used up.
        """
        while True:
            if not self._shuffled_peers:
                self._shuffled_peers = list(peers)
                self.rng.shuffle(self._shuffled_peers)
            target = self._shuffled_peers.pop()
            if self.is_peer(target):
                return target
