"""Many balancer cores in one process on a virtual clock; a plain loop.

Messages are coded as on the wire, so that their bytes are counted; delays and
losses are drawn from a seed. There is no model of machines or upstreams.
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
NEAR, FAR = 0.002, 0.06  # seconds one way within and between data centres
HEADERS = 28 + 1 + MAC_LENGTH  # bytes of IP, UDP and the frame
CODEC = TokenCodec({1: bytes(16)}, 1)


def make_node_id(index):
    return f"10.{index >> 16 & 255}.{index >> 8 & 255}.{index & 255}:7000"


def make_balancer(index):
    """Return the record of a balancer."""
    centre = CENTRES[index % len(CENTRES)]
    node_id = make_node_id(index)
    return Member(node_id, Role.BALANCER, centre, "", 1000, 1, Status.SERVING)


def make_agent(index, services):
    """Return the record of an agent."""
    centre = CENTRES[index % len(CENTRES)]
    node_id = make_node_id(index + (1 << 20))
    service = f"service{index % services:05d}"
    return Member(node_id, Role.AGENT, centre, service, 1000, 1, Status.SERVING)


def first_release(services):
    """Return a release with all data centres and a number of services."""
    note = ReleaseNote(
        "first",
        added_data_centres=tuple(DataCentre(name) for name in CENTRES),
        added_services=tuple(
            Service(f"service{i:05d}", 1024 + i, CENTRES) for i in range(services)
        ),
    )
    return apply_note(Release(), note)


def next_step(release, out=True):
    """Return a step that takes a data centre out or brings it back."""
    note = ReleaseNote(
        f"change{release.revision}",
        changed_data_centres=(DataCentre(CENTRES[3], out=out),),
    )
    after = apply_note(release, note)
    return ReleaseDelta(after.revision, after.digest(), note), after


@define
class Fleet:
    """Drive ``count`` balancers that know each other and hold revision 1."""

    count: int
    loss: float = 0.0
    seed: int = 1
    now: float = 0.0
    release: Release = field(factory=lambda: first_release(10))
    deltas: list = Factory(list)
    cores: dict = Factory(dict)
    cut_centres: frozenset = frozenset()
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
            core._joined = True
            self.cores[member.address] = core
            self._later(rng.uniform(0, ev.TICK_PERIOD), self._tick, core)

    def run(self, seconds):
        """Let time pass."""
        until = self.now + seconds
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action, arguments = heapq.heappop(self._heap)
            action(*arguments)
        self.now = until

    def accept(self):
        """Put a new release into the service; readers find it."""
        step, self.release = next_step(self.release, len(self.deltas) % 2 == 0)
        self.deltas.append(step)
        self.adopted_at.clear()
        return step

    def count_behind(self):
        """Return how many balancers do not hold the newest release."""
        newest = self.release.revision
        return sum(c.releases.revision < newest for c in self.cores.values())

    def spread(self, limit):
        """Accept a change; return the seconds until every balancer holds it."""
        self.accept()
        started = self.now
        while self.count_behind() and self.now - started < limit:
            self.run(0.05)
        return self.now - started if not self.count_behind() else float("inf")

    def hear(self, agent):
        """Let an agent's first heartbeat reach its homes."""
        any_core = next(iter(self.cores.values()))
        for home in any_core.members.list_heartbeat_targets(
            agent.node_id, agent.data_centre
        ):
            host, _, port = home.rpartition(":")
            beat = ctl.Heartbeat(agent, 1, 1, 0, 0)
            event = ev.ControlReceived(agent.address, beat)
            self._later(NEAR, self._feed, self.cores[(host, int(port))], event)

    def _later(self, delay, action, *arguments):
        entry = (self.now + delay, next(self._order), action, arguments)
        heapq.heappush(self._heap, entry)

    def _tick(self, core):
        self._feed(core, ev.Tick())
        self._later(ev.TICK_PERIOD, self._tick, core)

    def _feed(self, core, event):
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
        self.bytes_sent += HEADERS + len(ctl.encode_control_message(effect.message))
        target = self.cores.get(effect.to)
        if target is None or self._rng.random() < self.loss:
            return
        if self._is_cut(core, target):
            return
        event = ev.ControlReceived(core.members.own_member.address, effect.message)
        self._later(self._delay(core, target), self._feed, target, event)

    def _delay(self, left, right):
        same = (
            left.members.own_member.data_centre == right.members.own_member.data_centre
        )
        return (NEAR if same else FAR) * self._rng.uniform(0.8, 1.5)

    def _is_cut(self, left, right):
        inside = left.members.own_member.data_centre in self.cut_centres
        return inside != (right.members.own_member.data_centre in self.cut_centres)

    def _pull_release(self, core, effect):
        self.pulls += 1
        target = self.cores[effect.peer]
        if self._is_cut(core, target):
            event = ev.PullFailed(effect.peer)
            self._later(2.0, self._feed, core, event)
            return
        steps = target.releases.list_deltas_after(effect.known_revision)
        whole = target.releases.release if steps is None else None
        event = ev.ReleasePulled(effect.peer, steps or (), whole)
        self._later(2 * self._delay(core, target), self._feed, core, event)

    def _pull_table(self, core, effect):
        self.pulls += 1
        target = self.cores[effect.peer]
        if self._is_cut(core, target):
            return
        members = tuple(target.members.table.list_differing_members(effect.digests))
        self.pulled_bytes += 9 * len(effect.digests)
        self.pulled_bytes += len(ctl.encode_control_message(members))
        event = ev.TablePulled(effect.peer, members)
        self._later(2 * self._delay(core, target), self._feed, core, event)

    def _read_store(self, core, effect):
        self.store_reads += 1
        steps = tuple(s for s in self.deltas if s.revision > effect.known_revision)
        head = self.release
        if core.members.own_member.data_centre in self.cut_centres:
            self._later(1.5, self._feed, core, ev.StoreFailed())
            return
        event = ev.StoreRead(self.now, head.revision, head.note_id, steps)
        self._later(0.01, self._feed, core, event)
