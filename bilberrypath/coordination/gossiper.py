"""Membership, failure detection and gossip among balancers.

Probes, suspicion and gossip follow SWIM; periodic anti-entropy transfers the
records that gossip missed. The messages also carry the revision of the configuration
in force, a release or a route table, but not its content. The core that owns the
configuration provides its revision and is notified of those that peers report.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination.events import STARTUP_WINDOW
from bilberrypath.coordination.membership import Membership
from bilberrypath.coordination.probing import Prober
from bilberrypath.protocol import control as ctl

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from bilberrypath.coordination.effects import Effect
    from bilberrypath.coordination.events import TablePulled
    from bilberrypath.coordination.freshness import Freshness
    from bilberrypath.state.members import Member
    from bilberrypath.types import Address, NodeId, Revision, Seconds

GOSSIP_FANOUT = 2  # peers that receive changed records at each tick
PUSH_FANOUT = 3  # peers that receive an announcement or an extra probe
SEED_PROBE_PERIOD: Seconds = 1.0  # while this process is isolated
# The time that two partitions may take to find each other.
JOINED_SEED_PROBE_PERIOD: Seconds = 10.0
ANTI_ENTROPY_PERIOD: Seconds = 10.0
DIGEST_MISMATCH_TTL: Seconds = 1.0  # older mismatches are ignored
RECORD_BYTES = 80  # approximate size of a record on the wire
ANTI_ENTROPY_BYTES_PER_S = 6000  # average bandwidth after a large transfer
MAX_ANTI_ENTROPY_DELAY: Seconds = 60.0
JOIN_TIMEOUT: Seconds = 3.0
MAX_PENDING_PROBES = 64  # above it the oldest is dropped


class Gossiper:
    """Synchronize the member table of one balancer with those of the others.

    ``read_revision`` returns the revision in force in this process, and
    ``observe_revision`` is called with the address of a peer and the revision that
    it reported. ``is_joined`` is set once a peer sent its records, or after
    ``JOIN_TIMEOUT`` without that.
    """

    def __init__(
        self,
        own_member: Member,
        seeds: tuple[Address, ...],
        rng: Random,
        freshness: Freshness,
        read_revision: Callable[[], Revision],
        observe_revision: Callable[[Address, Revision, Seconds], list[Effect]],
        now: Seconds,
    ) -> None:
        self.members = Membership(own_member)
        self.seeds = seeds
        self.freshness = freshness
        self.prober = Prober(rng, now, self.members.is_peer)
        self.started_at = now
        self.is_joined = False
        self._rng = rng
        self._read_revision = read_revision
        self._observe_revision = observe_revision
        self._next_seed_probe_at = now
        self._next_anti_entropy_at = now + ANTI_ENTROPY_PERIOD * rng.uniform(0.5, 1.5)
        self._probe_target_by_sequence: dict[int, NodeId] = {}
        self._relayed_probe_by_sequence: dict[int, tuple[Address, int]] = {}
        self._last_digest_mismatch: tuple[Address, Seconds] | None = None
        self._pending_confirmation: tuple[int, Seconds] | None = None

    # Ticks

    def probe(self, peers: list[NodeId], now: Seconds) -> list[Effect]:
        """Return the probes that are due, and suspect the peers that did not answer."""
        plan = self.prober.plan(peers, now)
        effects: list[Effect] = []
        if plan.probe is not None:
            effects.append(self.start_probe(plan.probe, now))
        for relay_peer, target in plan.probe_indirectly:
            sequence = self._start_exchange(target, now)
            message = ctl.IndirectProbe(sequence, target, self.make_gossip())
            effects.append(send_to_node(relay_peer, message))
        for target in plan.suspect:
            effects += self.members.suspect(target, now)
        return effects

    def start_probe(self, target: NodeId, now: Seconds) -> fx.SendControl:
        """Return a probe of a process and record it as pending."""
        sequence = self._start_exchange(target, now)
        return send_to_node(target, ctl.Probe(sequence, self.make_gossip()))

    def probe_random_peers(self, peers: list[NodeId], now: Seconds) -> list[Effect]:
        """Return probes of a few peers, to receive newer revisions without delay."""
        return [
            self.start_probe(peer, now)
            for peer in self.sample_peers(peers, PUSH_FANOUT)
        ]

    def probe_seeds(self, peers: list[NodeId], now: Seconds) -> list[Effect]:
        """Probe all seeds while isolated, and one random seed per period after that.

        A process is isolated while it has no peers or has not joined.
        The later probes rejoin two partitions that were separated for so long
        that each has removed the members of the other.
        """
        if now < self._next_seed_probe_at or not self.seeds:
            return []
        is_isolated = not peers or not self.is_joined
        self._next_seed_probe_at = now + self._choose_seed_probe_period(
            is_isolated, now
        )
        seeds = [seed for seed in self.seeds if seed != self.members.own_member.address]
        if not is_isolated:
            seeds = self._rng.sample(seeds, min(1, len(seeds)))
        return [self.start_probe(f"{host}:{port}", now) for host, port in seeds]

    def send_gossip(self, peers: list[NodeId]) -> list[Effect]:
        """Send changed records to a few random peers.

        While the queue is backlogged only one peer receives them.
        """
        if not self.members.gossip_queue or not peers:
            return []
        fanout = 1 if self.members.gossip_queue.is_backlogged else GOSSIP_FANOUT
        return [
            send_to_node(peer, ctl.Gossip(self.make_gossip()))
            for peer in self.sample_peers(peers, fanout)
        ]

    def pull_differing_records(self, now: Seconds) -> list[Effect]:
        """Pull the records that differ from a peer whose digest did not match."""
        if now < self._next_anti_entropy_at or self._last_digest_mismatch is None:
            return []
        self._next_anti_entropy_at = now + ANTI_ENTROPY_PERIOD * self._rng.uniform(
            0.8, 1.2
        )
        peer, seen_at = self._last_digest_mismatch
        self._last_digest_mismatch = None
        if now - seen_at > DIGEST_MISMATCH_TTL:
            return []
        return [fx.PullTable(peer, self.members.table.list_bucket_digests())]

    def stop_waiting_to_join(self, now: Seconds) -> None:
        """Continue without a join if no peer sent records for ``JOIN_TIMEOUT``."""
        if not self.is_joined and now - self.started_at > JOIN_TIMEOUT:
            self.is_joined = True

    # Messages

    def handle_pulled_table(self, pulled: TablePulled, now: Seconds) -> list[Effect]:
        """Merge the records that a peer sent.

        The next pull is delayed in proportion to their size, so that anti-entropy
        uses ``ANTI_ENTROPY_BYTES_PER_S`` on average.
        """
        self.is_joined = True
        delay = len(pulled.members) * RECORD_BYTES / ANTI_ENTROPY_BYTES_PER_S
        not_before = now + min(delay, MAX_ANTI_ENTROPY_DELAY)
        self._next_anti_entropy_at = max(self._next_anti_entropy_at, not_before)
        return self.members.merge_all(pulled.members, now)

    def handle_gossip(
        self, payload: ctl.GossipPayload, sender: Address, now: Seconds
    ) -> list[Effect]:
        """Merge the gossip in a peer's message."""
        effects = self.members.merge(payload.sender, now)
        effects += self.members.merge_all(payload.members, now)
        self.members.data_centre_liveness.merge(payload.data_centre_liveness, now)
        self.members.data_centre_liveness.record_received(
            payload.sender.data_centre, now
        )
        effects += self._observe_revision(sender, payload.revision, now)
        if payload.table_digest != self.members.table.digest():
            self._last_digest_mismatch = (sender, now)
        return effects

    def answer_probe(
        self, message: ctl.Probe, sender: Address, now: Seconds
    ) -> list[Effect]:
        """Merge a probe's gossip and acknowledge the probe."""
        effects = self.handle_gossip(message.gossip, sender, now)
        ack = ctl.ProbeAck(message.sequence, self.make_gossip())
        return [*effects, fx.SendControl(sender, ack)]

    def relay_probe(
        self, message: ctl.IndirectProbe, sender: Address, now: Seconds
    ) -> list[Effect]:
        """Probe a process on behalf of a peer that received no answer from it."""
        effects = self.handle_gossip(message.gossip, sender, now)
        sequence = self._start_exchange(message.target, now)
        self._relayed_probe_by_sequence[sequence] = (sender, message.sequence)
        if len(self._relayed_probe_by_sequence) > MAX_PENDING_PROBES:
            del self._relayed_probe_by_sequence[
                next(iter(self._relayed_probe_by_sequence))
            ]
        probe = ctl.Probe(sequence, self.make_gossip())
        return [*effects, send_to_node(message.target, probe)]

    def handle_probe_ack(
        self, message: ctl.ProbeAck, sender: Address, now: Seconds
    ) -> list[Effect]:
        """Handle the answer to a probe, and forward it if the probe was indirect."""
        effects = self.handle_gossip(message.gossip, sender, now)
        target = self._probe_target_by_sequence.pop(message.sequence, None)
        if target is not None:
            self.prober.end_probe(target)
        effects += self._confirm_freshness(message, sender, now)
        relayed_probe = self._relayed_probe_by_sequence.pop(message.sequence, None)
        if relayed_probe is not None:
            requester, sequence = relayed_probe
            ack = ctl.ProbeAck(sequence, message.gossip)
            effects.append(fx.SendControl(requester, ack))
        return effects

    def record_adopted(self, revision: Revision) -> None:
        """Confirm freshness by a deferred answer, once its revision is in force.

        See :meth:`_confirm_freshness`.
        """
        if (
            self._pending_confirmation is not None
            and self._pending_confirmation[0] <= revision
        ):
            self.freshness.confirm_started(self._pending_confirmation[1])
            self._pending_confirmation = None

    # Shared

    def sample_peers(self, peers: list[NodeId], count: int) -> list[NodeId]:
        """Return up to ``count`` random peers."""
        return self._rng.sample(peers, min(count, len(peers)))

    def make_gossip(self) -> ctl.GossipPayload:
        """Return the gossip for the next message to a peer, and count it as sent."""
        balancer_count = len(self.members.list_peers()) + 1
        return ctl.GossipPayload(
            sender=self.members.own_member,
            revision=self._read_revision(),
            table_digest=self.members.table.digest(),
            data_centre_liveness=dict(
                self.members.data_centre_liveness.counter_by_data_centre
            ),
            members=self.members.gossip_queue.take_batch(balancer_count),
        )

    def _choose_seed_probe_period(self, is_isolated: bool, now: Seconds) -> Seconds:
        """Return the time until the next probe of seeds.

        During ``STARTUP_WINDOW`` an isolated process probes them at each tick,
        since the seeds may be starting too.
        """
        if is_isolated and now - self.started_at < STARTUP_WINDOW:
            return 0.0
        period = SEED_PROBE_PERIOD if is_isolated else JOINED_SEED_PROBE_PERIOD
        return period * self._rng.uniform(0.8, 1.2)

    def _start_exchange(self, target: NodeId, now: Seconds) -> int:
        sequence = self.freshness.start_exchange(now)
        self._probe_target_by_sequence[sequence] = target
        if len(self._probe_target_by_sequence) > MAX_PENDING_PROBES:
            oldest = next(iter(self._probe_target_by_sequence))
            del self._probe_target_by_sequence[oldest]
        return sequence

    def _confirm_freshness(
        self, message: ctl.ProbeAck, sender: Address, now: Seconds
    ) -> list[Effect]:
        """Confirm freshness by a probe's answer, and pull records if not yet joined.

        An answer with a newer revision than the one in force counts only once that
        revision is adopted, since until then this process acts on an older one.
        """
        has_newer_revision = message.gossip.revision > self._read_revision()
        started_at = self.freshness.confirm(message.sequence, defer=has_newer_revision)
        if started_at is None:
            return []
        if has_newer_revision:
            self._pending_confirmation = (message.gossip.revision, started_at)
        if self.is_joined:
            return []
        return [fx.PullTable(sender, self.members.table.list_bucket_digests())]


def send_to_node(node_id: NodeId, message: ctl.ControlMessage) -> fx.SendControl:
    """Return the effect that sends a control message to a process by its node ID."""
    host, _, port = node_id.rpartition(":")
    return fx.SendControl((host, int(port)), message)
