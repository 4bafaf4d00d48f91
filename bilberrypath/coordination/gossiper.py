"""How balancers find, watch and inform each other.

Probes, suspicion and rumours after SWIM; records that were missed come by a
periodic compare. What is in force in this process, a release or a table of
routes, takes part by its revision alone: the owner is asked for it and told
of newer ones.
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

GOSSIP_FANOUT = 2
PUSH_FANOUT = 3
SEED_PROBE_PERIOD: Seconds = 1.0
JOINED_SEED_PROBE_PERIOD: Seconds = (
    10.0  # what two parted halves may take to find each other
)
ANTI_ENTROPY_PERIOD: Seconds = 10.0
DIGEST_MISMATCH_TTL: Seconds = 1.0
RECORD_BYTES = 80  # bytes of a record on the wire, about
ANTI_ENTROPY_BYTES_PER_S = 6000  # bytes a second that compares may take for a while
MAX_ANTI_ENTROPY_PAUSE: Seconds = 60.0
JOIN_TIMEOUT: Seconds = 3.0
MAX_PENDING_PROBES = 64


class Gossiper:
    """Keep the members of one balancer in step with those of the others.

    ``read_revision`` tells the revision in force here, and ``observe_revision`` is
    called with a peer and the revision that it told.
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

    # Time

    def probe(self, peers: list[NodeId], now: Seconds) -> list[Effect]:
        """Return the probes that are due, and suspect who did not answer."""
        plan = self.prober.plan(peers, now)
        effects: list[Effect] = []
        if plan.probe is not None:
            effects.append(self.start_probe(plan.probe, now))
        for helper, target in plan.probe_indirectly:
            sequence = self._start_exchange(target, now)
            message = ctl.IndirectProbe(sequence, target, self.make_gossip())
            effects.append(send_to_node(helper, message))
        for target in plan.suspect:
            effects += self.members.suspect(target, now)
        return effects

    def start_probe(self, target: NodeId, now: Seconds) -> fx.SendControl:
        """Return a probe of a process."""
        sequence = self._start_exchange(target, now)
        return send_to_node(target, ctl.Probe(sequence, self.make_gossip()))

    def probe_random_peers(self, peers: list[NodeId], now: Seconds) -> list[Effect]:
        """Return probes of a few peers, to learn of news at once."""
        return [
            self.start_probe(peer, now)
            for peer in self.sample_peers(peers, PUSH_FANOUT)
        ]

    def probe_seeds(self, peers: list[NodeId], now: Seconds) -> list[Effect]:
        """Probe the seeds while alone, and one of them now and then.

        The latter joins two halves that lost each other for so long that
        each took the other for gone.
        """
        if now < self._next_seed_probe_at or not self.seeds:
            return []
        is_alone = not peers or not self.is_joined
        self._next_seed_probe_at = now + self._choose_seed_probe_period(is_alone, now)
        seeds = [s for s in self.seeds if s != self.members.own_member.address]
        if not is_alone:
            seeds = self._rng.sample(seeds, min(1, len(seeds)))
        return [self.start_probe(f"{host}:{port}", now) for host, port in seeds]

    def send_gossip(self, peers: list[NodeId]) -> list[Effect]:
        """Return the records that changed, on their way to a few peers."""
        if not self.members.gossip_queue or not peers:
            return []
        fanout = 1 if self.members.gossip_queue.is_backlogged else GOSSIP_FANOUT
        return [
            send_to_node(peer, ctl.Gossip(self.make_gossip()))
            for peer in self.sample_peers(peers, fanout)
        ]

    def pull_differing_records(self, now: Seconds) -> list[Effect]:
        """Return the pull of records that a peer holds and this one lacks."""
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
        """Go on alone when nobody let this process in for too long."""
        if not self.is_joined and now - self.started_at > JOIN_TIMEOUT:
            self.is_joined = True

    # Messages

    def handle_pulled_table(self, pulled: TablePulled, now: Seconds) -> list[Effect]:
        """Take in the records that a peer sent."""
        self.is_joined = True
        pause = len(pulled.members) * RECORD_BYTES / ANTI_ENTROPY_BYTES_PER_S
        later = now + min(pause, MAX_ANTI_ENTROPY_PAUSE)
        self._next_anti_entropy_at = max(self._next_anti_entropy_at, later)
        return self.members.merge_all(pulled.members, now)

    def handle_gossip(
        self, news: ctl.GossipPayload, sender: Address, now: Seconds
    ) -> list[Effect]:
        """Take in what rides on a peer's message."""
        effects = self.members.merge(news.sender, now)
        effects += self.members.merge_all(news.members, now)
        self.members.data_centre_liveness.merge(news.data_centre_liveness, now)
        self.members.data_centre_liveness.record_heard(news.sender.data_centre, now)
        effects += self._observe_revision(sender, news.revision, now)
        if news.table_digest != self.members.table.digest():
            self._last_digest_mismatch = (sender, now)
        return effects

    def answer_probe(
        self, message: ctl.Probe, sender: Address, now: Seconds
    ) -> list[Effect]:
        """Show a peer that this process lives."""
        effects = self.handle_gossip(message.gossip, sender, now)
        answer = ctl.ProbeAck(message.sequence, self.make_gossip())
        return [*effects, fx.SendControl(sender, answer)]

    def relay_probe(
        self, message: ctl.IndirectProbe, sender: Address, now: Seconds
    ) -> list[Effect]:
        """Probe a process for a peer that got no answer from it."""
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
        """Take in the answer to a probe, and pass it on to who asked for it."""
        effects = self.handle_gossip(message.gossip, sender, now)
        target = self._probe_target_by_sequence.pop(message.sequence, None)
        if target is not None:
            self.prober.record_answer(target)
        effects += self._confirm_freshness(message, sender, now)
        relayed = self._relayed_probe_by_sequence.pop(message.sequence, None)
        if relayed is not None:
            asker, sequence = relayed
            answer = ctl.ProbeAck(sequence, message.gossip)
            effects.append(fx.SendControl(asker, answer))
        return effects

    def record_adopted(self, revision: Revision) -> None:
        """Count the answer that told of a revision, now that it is held."""
        if (
            self._pending_confirmation is not None
            and self._pending_confirmation[0] <= revision
        ):
            self.freshness.confirm_started(self._pending_confirmation[1])
            self._pending_confirmation = None

    # Shared

    def sample_peers(self, peers: list[NodeId], count: int) -> list[NodeId]:
        """Return some of the peers, or all if they are few."""
        return self._rng.sample(peers, min(count, len(peers)))

    def make_gossip(self) -> ctl.GossipPayload:
        """Return what rides on the next message to a peer."""
        balancers = len(self.members.list_peers()) + 1
        return ctl.GossipPayload(
            sender=self.members.own_member,
            revision=self._read_revision(),
            table_digest=self.members.table.digest(),
            data_centre_liveness=dict(
                self.members.data_centre_liveness.counter_by_data_centre
            ),
            members=self.members.gossip_queue.take_batch(balancers),
        )

    def _choose_seed_probe_period(self, is_alone: bool, now: Seconds) -> Seconds:
        """Return the time to the next probe of seeds.

        Just after its start a process that is alone probes them at each tick,
        as the seeds may be starting too.
        """
        if is_alone and now - self.started_at < STARTUP_WINDOW:
            return 0.0
        period = SEED_PROBE_PERIOD if is_alone else JOINED_SEED_PROBE_PERIOD
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
        """Count an answer as proof of freshness once its revision is held."""
        newer = message.gossip.revision > self._read_revision()
        started_at = self.freshness.confirm(message.sequence, defer=newer)
        if started_at is None:
            return []
        if newer:
            self._pending_confirmation = (message.gossip.revision, started_at)
        if self.is_joined:
            return []
        return [fx.PullTable(sender, self.members.table.list_bucket_digests())]


def send_to_node(node_id: NodeId, message: ctl.ControlMessage) -> fx.SendControl:
    """Return a control message for a process by its name."""
    host, _, port = node_id.rpartition(":")
    return fx.SendControl((host, int(port)), message)
