"""Property tests of flows under random schedules of failures and planned changes.

Hypothesis draws schedules, which are run in virtual time. A schedule that violates a
property is shrunk to the shortest that still does. The injected faults at the end show
that each check can fail.
"""

import math
from collections import defaultdict

import pytest
from hypothesis import HealthCheck, Phase, find, given, settings
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample

from bilberrypath.coordination.events import Leave
from bilberrypath.coordination.flow_locator import FlowLocator
from bilberrypath.coordination.open_handler import OpenHandler
from bilberrypath.coordination.upstream_monitor import UpstreamMonitor
from bilberrypath.coordination.upstream_packets import UpstreamPackets
from tests.coordination.test_injected_faults import skip_lookup
from tests.support.flow_world import find_holder, make_table, make_world

AGENTS = 5
BALANCERS = ("10.1.0.1", "10.1.0.2")
FOREIGN_LIMIT = 2  # packets of a flow at upstreams that do not hold it, in 2 s
FOREIGN_WINDOW = 2.0  # seconds
OUT_LIMIT = 3.0  # seconds after which a data centre that is out gets no opens
PLANNED = ("agent_ends", "balancer_ends", "balancer_added", "agent_added", "drain")
FAILURES = ("agent_dies", "balancer_dies", "all_processes_die", "messages_lost", "cut")
ROUTES = ("data_centre_out", "data_centre_back")

# ``derandomize`` derives the seed of a test from its source, decorators included: any
# change of the text of a test, such as its name, draws other schedules.
SETTINGS = settings(
    max_examples=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)

SEARCH_SETTINGS = settings(
    SETTINGS, max_examples=60, phases=[Phase.generate], database=None
)


def make_schedules(*kinds):
    """Return a strategy of schedules.

    A schedule is a list of steps: the kind, which names a method of
    :class:`ScheduleRun`, the index of the affected process, and the seconds until the
    next step.
    """
    step = st.tuples(
        st.sampled_from(kinds), st.integers(0, AGENTS - 1), st.sampled_from((0.1, 0.7))
    )
    return st.lists(step, min_size=1, max_size=6)


class ScheduleRun:
    """One schedule, run in a world of its own, and what was observed.

    ``out_periods`` holds the start and end of each period in which the data centre "a"
    was out; the end is None if it still is. ``revision_decreases`` holds the values
    before and after each decrease of a process's route revision.
    """

    def __init__(self, schedule):
        self.world = make_world(agents=AGENTS, balancers=2)
        self.out_periods = []
        self.revision_by_node = {}
        self.revision_decreases = []
        self.added_count = 0
        self.clients = [self._open_flow() for _ in range(30)]
        for kind, index, gap in schedule:
            getattr(self, kind)(index)
            self._run_for(gap)
        self._run_for(1.5)
        for client in self.clients:
            client.answers = 0
        for _ in range(8):
            self._run_for(0.4, opens=False)

    # Steps of a schedule

    def agent_ends(self, index):
        """Have an agent leave, and end it 0.1 s later as in ``agent_dies``."""
        host = f"10.2.0.{index + 1}"
        self.world.feed(host, Leave())
        self.world.run(0.1)
        self.agent_dies(index)

    def agent_dies(self, index):
        """End an agent process without notice, and start it again after 0.6 s."""
        host = f"10.2.0.{index + 1}"
        self.world.kill(host)
        self.world.after(0.6, lambda: self._start_agent(host))

    def balancer_ends(self, index):
        """Have a balancer leave, and end it 0.1 s later as in ``balancer_dies``."""
        self.world.feed(BALANCERS[index % 2], Leave())
        self.world.run(0.1)
        self.balancer_dies(index)

    def balancer_dies(self, index):
        """End a balancer, unless it is the last, and start it again after 0.5 s."""
        host = BALANCERS[index % 2]
        if len(self._list_balancers()) > 1:
            self.world.kill(host)
            self.world.after(0.5, lambda: self._start_balancer(host))

    def balancer_added(self, index):
        self.added_count += 1
        self.world.add_balancer(f"10.1.1.{self.added_count}", "a", BALANCERS)

    def agent_added(self, index):
        self.added_count += 1
        host = f"10.2.1.{self.added_count}"
        self.world.add_agent(host, data_centre="c", seeds=BALANCERS)

    def drain(self, index):
        upstream = self.world.upstream_by_host[f"10.2.0.{index + 1}"]
        upstream.draining = True
        upstream.report()

    def all_processes_die(self, index):
        """End all processes; start the balancers at once and the agents after 0.1 s."""
        agents = [h for h in self.world.node_by_host if h.startswith("10.2.")]
        for host in list(self.world.node_by_host):
            self.world.kill(host)
        for host in BALANCERS:
            self._start_balancer(host)
        for host in agents:
            self.world.after(0.1, lambda h=host: self._start_agent(h))

    def messages_lost(self, index):
        """Lose 5 % of the messages between processes for 1 s."""
        self.world.loss = 0.05
        self.world.after(1.0, lambda: setattr(self.world, "loss", 0.0))

    def cut(self, index):
        """Lose all messages between one agent and one balancer for 1 s."""
        link = (f"10.2.0.{index + 1}", BALANCERS[index % 2])
        self.world.cut |= {link, link[::-1]}
        self.world.after(1.0, lambda: self.world.cut.clear())

    def time_passes(self, index):
        """Change nothing; the time until the next step passes."""

    def data_centre_out(self, index):
        revision = self.world.table.revision + 1
        self.world.set_routes(make_table(revision, out=("a",)))
        if not self.out_periods or self.out_periods[-1][1] is not None:
            self.out_periods.append([self.world.now, None])

    def data_centre_back(self, index):
        self.world.set_routes(make_table(self.world.table.revision + 1))
        if self.out_periods and self.out_periods[-1][1] is None:
            self.out_periods[-1][1] = self.world.now

    # Clients and observations

    def _run_for(self, seconds, opens=True):
        """Send a request from each open client without an answer, and let time pass.

        With ``opens``, one more flow is opened in between.
        """
        for client in self.clients:
            if client.opened and not client.answers:
                client.send_request(self._choose_balancer())
        if opens and self._list_balancers():
            self.clients.append(self._open_flow())
        self.world.run(seconds)
        self._record_revisions()

    def _record_revisions(self):
        for node in self.world.node_by_host.values():
            previous = self.revision_by_node.get(id(node), 0)
            if node.routes.revision < previous:
                self.revision_decreases.append((previous, node.routes.revision))
            self.revision_by_node[id(node)] = node.routes.revision

    def _open_flow(self):
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

    def list_clients_with_holder(self):
        """Return the clients whose flow an upstream holds."""
        return [c for c in self.clients if c.opened and find_holder(self.world, c.flow)]

    def list_late_opens(self):
        """Return the opens at a data centre that was out for over ``OUT_LIMIT``."""
        return [
            arrival
            for upstream in self.world.upstream_by_host.values()
            if upstream.data_centre == "a"
            for arrival in upstream.arrivals
            for since, until in self.out_periods
            if arrival.opens and since + OUT_LIMIT < arrival.at < (until or math.inf)
        ]

    def count_most_foreign_packets(self):
        """Return the maximum of ``_count_foreign_in_window`` over all flows."""
        by_flow = defaultdict(list)
        for upstream in self.world.upstream_by_host.values():
            for arrival in upstream.arrivals:
                if not arrival.opens:
                    by_flow[arrival.flow].append(arrival)
        return max(map(_count_foreign_in_window, by_flow.values()), default=0)


def _count_foreign_in_window(arrivals):
    """Return the maximum number of foreign packets of a flow in ``FOREIGN_WINDOW``.

    Only windows in which no packet reached an upstream that holds the flow count.
    """
    maximum = 0
    for first in arrivals:
        window = [a for a in arrivals if 0 <= a.at - first.at < FOREIGN_WINDOW]
        if not any(arrival.held for arrival in window):
            maximum = max(maximum, len(window))
    return maximum


def keeps_flows(schedule):
    """Return whether no flow with a holder is reset or goes unanswered.

    Within any 2 s, at most ``FOREIGN_LIMIT`` packets of a flow may reach upstreams that
    do not hold it while none reaches its holder.
    """
    run = ScheduleRun(schedule)
    held_clients = run.list_clients_with_holder()
    are_intact = all(client.resets == 0 and client.answers for client in held_clients)
    return (
        bool(held_clients)
        and are_intact
        and run.count_most_foreign_packets() <= FOREIGN_LIMIT
    )


def runs_once(schedule):
    """Return whether no flow's data was accepted by more than one upstream."""
    run = ScheduleRun(schedule)
    hosts_by_flow = defaultdict(set)
    for host, upstream in run.world.upstream_by_host.items():
        for flow in upstream.opened:
            hosts_by_flow[flow].add(host)
    return all(len(hosts) == 1 for hosts in hosts_by_flow.values())


def leaves_out(schedule):
    """Return whether a data centre that is out gets no opens and no revision falls."""
    run = ScheduleRun([*schedule, *[("time_passes", 0, 0.7)] * 6])
    return not run.list_late_opens() and not run.revision_decreases


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


INJECTED_FAULTS = {
    "a restarted agent assumes that it tracks all flows": (
        UpstreamMonitor,
        "tracks_all_flows",
        lambda monitor, now: True,
        keeps_flows,
        make_schedules("agent_ends"),
    ),
    "unknown flows are reset without a lookup": (
        FlowLocator,
        "query_agents",
        skip_lookup,
        keeps_flows,
        make_schedules("agent_added", "balancer_ends"),
    ),
    "returned packets are ignored": (
        UpstreamPackets,
        "_handle_returned",
        lambda packets, packet, now: [],
        keeps_flows,
        make_schedules("all_processes_die"),
    ),
    "data centres that are out take opens": (
        OpenHandler,
        "_find_reject_reason",
        lambda open_handler, now, retransmit_count: None,
        leaves_out,
        make_schedules("data_centre_out"),
    ),
}


class TestInjectedFaults:
    @pytest.mark.parametrize("name", INJECTED_FAULTS)
    def test_some_schedule_reveals_the_fault(self, name, monkeypatch):
        owner, attribute, faulty, holds, schedules = INJECTED_FAULTS[name]
        monkeypatch.setattr(owner, attribute, faulty)
        try:
            find(
                schedules,
                lambda schedule: not holds(schedule),
                settings=SEARCH_SETTINGS,
            )
        except NoSuchExample:
            pytest.fail(f"no schedule revealed the injected fault: {name}")
