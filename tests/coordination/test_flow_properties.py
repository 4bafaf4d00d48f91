"""Random schedules of failures and planned changes, and what holds in all.

Hypothesis draws a schedule; the model plays it in virtual time. A schedule that
fails is shrunk to the shortest that still does. The planted faults at the end
show that each check can fail.
"""

import math
from collections import defaultdict

import pytest
from hypothesis import HealthCheck, Phase, find, given, settings
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample

from bilberrypath.coordination.events import Leave
from bilberrypath.coordination.flow_agent import FlowAgent
from bilberrypath.coordination.flow_locator import FlowLocator
from bilberrypath.coordination.open_handler import OpenHandler
from bilberrypath.coordination.upstream_monitor import UpstreamMonitor
from tests.coordination.test_planted_faults import give_up_at_once
from tests.support.flow_world import find_holder, make_table, make_world

AGENTS = 5
BALANCERS = ("10.1.0.1", "10.1.0.2")
FOREIGN_LIMIT = 2  # packets of a flow at upstreams that don't hold it, in 2 s
FOREIGN_WINDOW = 2.0  # seconds
OUT_LIMIT = 3.0  # seconds after which a data centre that is out gets no opens
PLANNED = ("agent_ends", "balancer_ends", "balancer_added", "agent_added", "drain")
FAILURES = ("agent_dies", "balancer_dies", "everything_dies", "links_lose", "cut")
ROUTES = ("out", "back")

SETTINGS = settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

SEARCH = settings(SETTINGS, max_examples=60, phases=[Phase.generate], database=None)


def make_schedules(*kinds):
    """Return a strategy of lists of what happens, to whom, and when."""
    step = st.tuples(
        st.sampled_from(kinds), st.integers(0, AGENTS - 1), st.sampled_from((0.1, 0.7))
    )
    return st.lists(step, min_size=1, max_size=6)


class Play:
    """One schedule in a world of its own, watched from outside."""

    def __init__(self, schedule):
        self.world = make_world(agents=AGENTS, balancers=2)
        self.outs = []
        self.revision_by_node = {}
        self.fallen = []
        self.added = 0
        self.clients = [self._open() for _ in range(30)]
        for kind, index, gap in schedule:
            getattr(self, kind)(index)
            self._go_on(gap)
        self._go_on(1.5)
        for client in self.clients:
            client.answers = 0
        for _ in range(8):
            self._go_on(0.4, opens=False)

    # What happens

    def agent_ends(self, index):
        host = f"10.2.0.{index + 1}"
        self.world.feed(host, Leave())
        self.world.run(0.1)
        self.agent_dies(index)

    def agent_dies(self, index):
        host = f"10.2.0.{index + 1}"
        self.world.kill(host)
        self.world.after(0.6, lambda: self._start_agent(host))

    def balancer_ends(self, index):
        self.world.feed(BALANCERS[index % 2], Leave())
        self.world.run(0.1)
        self.balancer_dies(index)

    def balancer_dies(self, index):
        host = BALANCERS[index % 2]
        if len(self._list_balancers()) > 1:
            self.world.kill(host)
            self.world.after(0.5, lambda: self._start_balancer(host))

    def balancer_added(self, index):
        self.added += 1
        self.world.add_balancer(f"10.1.1.{self.added}", "a", BALANCERS)

    def agent_added(self, index):
        self.added += 1
        host = f"10.2.1.{self.added}"
        self.world.add_agent(host, data_centre="c", seeds=BALANCERS)

    def drain(self, index):
        upstream = self.world.upstream_by_host[f"10.2.0.{index + 1}"]
        upstream.draining = True
        upstream.report()

    def everything_dies(self, index):
        agents = [h for h in self.world.node_by_host if h.startswith("10.2.")]
        for host in list(self.world.node_by_host):
            self.world.kill(host)
        for host in BALANCERS:
            self._start_balancer(host)
        for host in agents:
            self.world.after(0.1, lambda h=host: self._start_agent(h))

    def links_lose(self, index):
        self.world.loss = 0.05
        self.world.after(1.0, lambda: setattr(self.world, "loss", 0.0))

    def cut(self, index):
        pair = (f"10.2.0.{index + 1}", BALANCERS[index % 2])
        self.world.cut |= {pair, pair[::-1]}
        self.world.after(1.0, lambda: self.world.cut.clear())

    def rest(self, index):
        """Let time pass."""

    def out(self, index):
        revision = self.world.table.revision + 1
        self.world.set_routes(make_table(revision, out=("a",)))
        if not self.outs or self.outs[-1][1] is not None:
            self.outs.append([self.world.now, None])

    def back(self, index):
        self.world.set_routes(make_table(self.world.table.revision + 1))
        if self.outs and self.outs[-1][1] is None:
            self.outs[-1][1] = self.world.now

    # What is seen

    def _go_on(self, seconds, opens=True):
        """Let time pass while clients ask and, now and then, open flows."""
        for client in self.clients:
            if client.opened and not client.answers:
                client.ask(self._choose_balancer())
        if opens and self._list_balancers():
            self.clients.append(self._open())
        self.world.run(seconds)
        self._note_revisions()

    def _note_revisions(self):
        for node in self.world.node_by_host.values():
            before = self.revision_by_node.get(id(node), 0)
            if node.routes.revision < before:
                self.fallen.append((before, node.routes.revision))
            self.revision_by_node[id(node)] = node.routes.revision

    def _open(self):
        client = self.world.make_client()
        client.open(self._choose_balancer())
        self.world.run(0.02)
        return client

    def _choose_balancer(self):
        return self.world.rng.choice(self._list_balancers())

    def _list_balancers(self):
        return sorted(h for h in self.world.node_by_host if h.startswith("10.1."))

    def _start_agent(self, host):
        if host not in self.world.node_by_host:
            self.world.add_agent(host, seeds=BALANCERS, tracks_all_flows=False)

    def _start_balancer(self, host):
        if host not in self.world.node_by_host:
            self.world.add_balancer(host, "a", BALANCERS)

    def list_kept(self):
        """Return the clients whose flow an upstream holds."""
        return [c for c in self.clients if c.opened and find_holder(self.world, c.flow)]

    def list_late_opens(self):
        """Return the opens that came to a data centre that was out for long."""
        return [
            arrival
            for upstream in self.world.upstream_by_host.values()
            if upstream.data_centre == "a"
            for arrival in upstream.arrivals
            for since, until in self.outs
            if arrival.opens and since + OUT_LIMIT < arrival.at < (until or math.inf)
        ]

    def count_most_foreign(self):
        """Return the most packets of a flow that met foreign upstreams only."""
        by_flow = defaultdict(list)
        for upstream in self.world.upstream_by_host.values():
            for arrival in upstream.arrivals:
                if not arrival.opens:
                    by_flow[arrival.flow].append(arrival)
        return max(map(_count_lost, by_flow.values()), default=0)


def _count_lost(arrivals):
    """Return the most foreign packets of a flow in a window without one at home."""
    most = 0
    for first in arrivals:
        window = [a for a in arrivals if 0 <= a.at - first.at < FOREIGN_WINDOW]
        if not any(arrival.held for arrival in window):
            most = max(most, len(window))
    return most


def keeps_flows(schedule):
    """Whether no flow is reset, all go on, and none meets strangers for long."""
    play = Play(schedule)
    kept = play.list_kept()
    whole = all(client.resets == 0 and client.answers for client in kept)
    return bool(kept) and whole and play.count_most_foreign() <= FOREIGN_LIMIT


def runs_once(schedule):
    """Whether the bytes of each flow reached one upstream that took them."""
    play = Play(schedule)
    taken_by_flow = defaultdict(set)
    for host, upstream in play.world.upstream_by_host.items():
        for flow in upstream.opened:
            taken_by_flow[flow].add(host)
    return all(len(hosts) == 1 for hosts in taken_by_flow.values())


def leaves_out(schedule):
    """Whether a data centre that is out gets no opens, and revisions never fall."""
    play = Play([*schedule, *[("rest", 0, 0.7)] * 6])
    return not play.list_late_opens() and not play.fallen


class TestSchedules:
    @SETTINGS
    @given(make_schedules(*PLANNED))
    def test_planned_changes_break_no_flow(self, schedule):
        assert keeps_flows(schedule)

    @SETTINGS
    @given(make_schedules(*FAILURES, "agent_ends"))
    def test_failures_beside_living_upstreams_break_no_flow(self, schedule):
        assert keeps_flows(schedule)

    @SETTINGS
    @given(make_schedules(*PLANNED, *FAILURES))
    def test_the_bytes_of_a_flow_run_once(self, schedule):
        assert runs_once(schedule)

    @SETTINGS
    @given(make_schedules(*ROUTES, "balancer_dies", "agent_dies", "cut"))
    def test_a_data_centre_that_is_out_gets_no_opens(self, schedule):
        assert leaves_out(schedule)


PLANTED = {
    "a restarted agent takes its flows for all": (
        UpstreamMonitor,
        "tracks_all_flows",
        lambda keeper, now: True,
        keeps_flows,
        make_schedules("agent_ends"),
    ),
    "unknown flows are reset without a search": (
        FlowLocator,
        "_query_agents",
        give_up_at_once,
        keeps_flows,
        make_schedules("agent_added", "balancer_ends"),
    ),
    "handed-back packets are not looked at": (
        FlowAgent,
        "_handle_returned",
        lambda agent, packet, now: [],
        keeps_flows,
        make_schedules("everything_dies"),
    ),
    "the gate ignores data centres that are out": (
        OpenHandler,
        "_find_reject_reason",
        lambda open_handler, now, copies: None,
        leaves_out,
        make_schedules("out"),
    ),
}


class TestPlantedFaults:
    @pytest.mark.parametrize("name", PLANTED)
    def test_a_schedule_shows_each(self, name, monkeypatch):
        owner, attribute, fault, holds, schedules = PLANTED[name]
        monkeypatch.setattr(owner, attribute, fault)
        try:
            find(schedules, lambda schedule: not holds(schedule), settings=SEARCH)
        except NoSuchExample:
            pytest.fail(f"no schedule shows that {name}")
