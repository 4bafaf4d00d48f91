"""Run many balancer cores in one process on a virtual clock.

Messages are encoded as on the wire to count their bytes. Delays and losses are drawn
from a seeded generator. Machines and upstreams are not modelled.
"""

import heapq
import itertools
from random import Random

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.balancer import BalancerCore, BalancerSetup
from bilberrypath.protocol import control as ctl
from bilberrypath.protocol.frame import MAC_LENGTH
from bilberrypath.protocol.token import TokenCodec
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.state.release import (
    DataCentre,
    Release,
    ReleaseDelta,
    ReleaseNote,
    Service,
    apply_note,
)

CENTRES = tuple(f"centre{index:02d}" for index in range(14))
NEAR, FAR = 0.002, 0.06  # one-way delay within and between data centres, seconds
HEADER_BYTES = 28 + 1 + MAC_LENGTH  # bytes: IP and UDP 28, frame 1 and its MAC
CODEC = TokenCodec({1: bytes(16)}, 1)


def make_node_id(index):
    return f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}:7000"


def make_balancer(index):
    """Return the member record of a balancer."""
    centre = CENTRES[index % len(CENTRES)]
    node_id = make_node_id(index)
    return Member(node_id, Role.BALANCER, centre, "", 1000, 1, Status.SERVING)


def make_agent(index, services):
    """Return the member record of an agent."""
    centre = CENTRES[index % len(CENTRES)]
    node_id = make_node_id(index + (1 << 20))
    service = f"service{index % services:05d}"
    return Member(node_id, Role.AGENT, centre, service, 1000, 1, Status.SERVING)


def make_first_release(services):
    """Return a release with all data centres and ``services`` services."""
    note = ReleaseNote(
        "first",
        added_data_centres=tuple(DataCentre(name) for name in CENTRES),
        added_services=tuple(
            Service(f"service{i:05d}", 1024 + i, CENTRES) for i in range(services)
        ),
    )
    return apply_note(Release(), note)


def make_next_delta(release, out=True):
    """Return a delta and the release that it leads to.

    The delta takes a data centre out of service, or back into it if not ``out``.
    """
    note = ReleaseNote(
        f"change{release.revision}",
        changed_data_centres=(DataCentre(CENTRES[3], out=out),),
    )
    after = apply_note(release, note)
    return ReleaseDelta(after.revision, after.digest(), note), after


@define
class Fleet:
    """A fleet of ``count`` balancers that list each other and hold revision 1.

    ``loss`` is the share of messages that are lost. Balancers in
    ``partitioned_centres`` reach only each other, and not the store. ``adopted_at`` is
    the time at which each balancer adopted the newest release. ``messages`` and
    ``bytes_sent`` count datagrams, and ``pulled_bytes`` the bytes of member tables that
    were pulled in control calls.
    """

    count: int
    loss: float = 0.0
    seed: int = 1
    now: float = 0.0
    release: Release = field(factory=lambda: make_first_release(10))
    deltas: list = Factory(list)
    cores: dict = Factory(dict)
    partitioned_centres: frozenset = frozenset()
    messages: int = 0
    bytes_sent: int = 0
    pulled_bytes: int = 0
    pulls: int = 0
    store_reads: int = 0
    adopted_at: dict = Factory(dict)
    _heap: list = Factory(list)
    _order: object = field(factory=itertools.count)
    _rng: Random = field(init=False)

    def __attrs_post_init__(self):
        self._rng = Random(self.seed)
        members = [make_balancer(index) for index in range(self.count)]
        for index, member in enumerate(members):
            rng = Random(self.seed * 100_003 + index)
            core = BalancerCore(BalancerSetup(member, ()), CODEC, rng, 0.0)
            core.members.table._member_by_id.clear()
            core.members.table.__init__()
            for other in members:
                core.members.table.merge(other)
            core.members.balancers_epoch += 1
            core.releases.release = self.release
            core.router.apply_release(self.release)
            self.cores[member.address] = core
            self._schedule(rng.uniform(0, ev.TICK_PERIOD), self._tick, core)

    def run(self, seconds):
        """Advance the virtual clock and handle the events due."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        self.now = end

    def accept(self):
        """Put a new release into the store for balancers to read; return its delta."""
        delta, self.release = make_next_delta(self.release, len(self.deltas) % 2 == 0)
        self.deltas.append(delta)
        self.adopted_at.clear()
        return delta

    def count_behind(self):
        """Return how many balancers do not hold the newest release."""
        newest = self.release.revision
        return sum(c.releases.revision < newest for c in self.cores.values())

    def time_release(self, limit):
        """Accept a release; return the seconds until every balancer holds it.

        Returns infinity if that takes longer than ``limit`` seconds.
        """
        self.accept()
        started = self.now
        while self.count_behind() and self.now - started < limit:
            self.run(0.05)
        return self.now - started if not self.count_behind() else float("inf")

    def send_heartbeat(self, agent):
        """Send an agent's first heartbeat to its heartbeat targets."""
        any_core = next(iter(self.cores.values()))
        for target in any_core.members.list_heartbeat_targets(
            agent.node_id, agent.data_centre
        ):
            host, _, port = target.rpartition(":")
            heartbeat = ctl.Heartbeat(agent, 1, 1, 0, 0)
            event = ev.ControlReceived(agent.address, heartbeat)
            self._schedule(
                NEAR, self._handle_event, self.cores[(host, int(port))], event
            )

    def _schedule(self, delay, action, *arguments):
        entry = (self.now + delay, next(self._order), action, arguments)
        heapq.heappush(self._heap, entry)

    def _tick(self, core):
        self._handle_event(core, ev.Tick())
        self._schedule(ev.TICK_PERIOD, self._tick, core)

    def _handle_event(self, core, event):
        for effect in core.handle(event, self.now):
            self._perform(core, effect)

    def _perform(self, core, effect):
        if isinstance(effect, fx.SendControl):
            self._send(core, effect)
        elif isinstance(effect, fx.PullRelease):
            self._pull_release(core, effect)
        elif isinstance(effect, fx.PullTable):
            self._pull_table(core, effect)
        elif isinstance(effect, fx.ReadStore):
            self._read_store(core, effect)
        elif isinstance(effect, fx.ReleaseAdopted):
            self.adopted_at[core.members.own_member.node_id] = self.now

    def _send(self, core, effect):
        self.messages += 1
        self.bytes_sent += HEADER_BYTES + len(
            ctl.encode_control_message(effect.message)
        )
        target = self.cores.get(effect.to)
        if target is None or self._rng.random() < self.loss:
            return
        if self._is_partitioned(core, target):
            return
        event = ev.ControlReceived(core.members.own_member.address, effect.message)
        self._schedule(self._delay(core, target), self._handle_event, target, event)

    def _delay(self, sender, receiver):
        is_local = (
            sender.members.own_member.data_centre
            == receiver.members.own_member.data_centre
        )
        return (NEAR if is_local else FAR) * self._rng.uniform(0.8, 1.5)

    def _is_partitioned(self, sender, receiver):
        inside = sender.members.own_member.data_centre in self.partitioned_centres
        return inside != (
            receiver.members.own_member.data_centre in self.partitioned_centres
        )

    def _pull_release(self, core, effect):
        self.pulls += 1
        target = self.cores[effect.peer]
        if self._is_partitioned(core, target):
            event = ev.PullFailed(effect.peer)
            self._schedule(2.0, self._handle_event, core, event)
            return
        deltas = target.releases.list_deltas_after(effect.known_revision)
        snapshot = target.releases.release if deltas is None else None
        event = ev.ReleasePulled(effect.peer, deltas or (), snapshot)
        self._schedule(2 * self._delay(core, target), self._handle_event, core, event)

    def _pull_table(self, core, effect):
        self.pulls += 1
        target = self.cores[effect.peer]
        if self._is_partitioned(core, target):
            return
        members = tuple(target.members.table.list_differing_members(effect.digests))
        self.pulled_bytes += 9 * len(effect.digests)  # 64-bit integers in MessagePack
        self.pulled_bytes += len(ctl.encode_control_message(members))
        event = ev.TablePulled(effect.peer, members)
        self._schedule(2 * self._delay(core, target), self._handle_event, core, event)

    def _read_store(self, core, effect):
        self.store_reads += 1
        new_deltas = tuple(d for d in self.deltas if d.revision > effect.known_revision)
        head = self.release
        if core.members.own_member.data_centre in self.partitioned_centres:
            self._schedule(1.5, self._handle_event, core, ev.StoreFailed())
            return
        event = ev.StoreRead(self.now, head.revision, head.note_id, new_deltas)
        self._schedule(0.01, self._handle_event, core, event)
