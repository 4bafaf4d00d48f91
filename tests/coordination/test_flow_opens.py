"""Tests of the placement of opens.

They cover which upstreams may take an open, relays between agents, and bursts of opens
during a cold start.
"""

from collections import Counter

import msgspec
import pytest

from bilberrypath.coordination.open_handler import MAX_UNANSWERED_RELAYS
from bilberrypath.coordination.upstream_health import COLD_RATE_BURST
from bilberrypath.coordination.upstream_monitor import UpstreamMonitor
from bilberrypath.platform.packet_codec import SYN
from bilberrypath.protocol.flow_messages import ForwardedPacket, LoadReport
from bilberrypath.state.routes import FlowRoute, Target
from bilberrypath.state.store_position import make_revision
from tests.support.flow_world import (
    REPORT_PERIOD,
    find_holder,
    make_table,
    make_world,
    open_flows,
    send_requests,
    write_packet,
)


class TestFailingUpstreams:
    def test_upstream_that_resets_requests_gets_few_opens(self):
        world = make_world(agents=6)
        failing = world.upstream_by_host["10.2.0.1"]
        failing.resets_requests = True
        send_requests(world, 600, 4.0)
        opens_before = len(failing.opens)
        send_requests(world, 600, 4.0)
        assert len(failing.opens) - opens_before < 600 / 6 / 3

    def test_failing_upstreams_are_used_if_all_fail(self):
        world = make_world(agents=3)
        for upstream in world.upstream_by_host.values():
            upstream.resets_requests = True
        requests = send_requests(world, 200, 2.0)
        assert all(client.opened for _, client in requests)

    def test_recovered_upstream_gets_its_share_of_opens(self):
        world = make_world(agents=6)
        failing = world.upstream_by_host["10.2.0.1"]
        failing.resets_requests = True
        send_requests(world, 600, 4.0)
        failing.resets_requests = False
        send_requests(world, 900, 6.0)
        opens_before = len(failing.opens)
        send_requests(world, 600, 4.0)
        assert len(failing.opens) - opens_before > 600 / 6 / 2


class TestOpens:
    def test_open_is_accepted_and_request_is_answered(self):
        world = make_world()
        (client,) = open_flows(world, 1)
        client.send_request()
        world.run(0.1)
        assert client.opened
        assert client.answers == 1
        assert client.resets == 0

    def test_copies_of_an_open_from_several_balancers_reach_one_upstream(self):
        world = make_world(agents=7, balancers=3)
        for _ in range(50):
            client = world.make_client()
            for host in ("10.1.0.1", "10.1.0.2", "10.1.0.3"):
                client.open(host)
                world.run(0.003)
        world.run(0.1)
        flows_per_upstream = [u.flows for u in world.upstream_by_host.values()]
        assert sum(len(flows) for flows in flows_per_upstream) == 50

    def test_opens_are_spread_over_the_upstreams(self):
        world = make_world(agents=4)
        clients = open_flows(world, 200)
        counts = [len(u.flows) for u in world.upstream_by_host.values()]
        assert sum(counts) == len(clients)
        assert max(counts) <= 2 * 200 / 4

    def test_dead_home_agent_delays_opens_by_less_than_a_retransmission_timeout(self):
        world = make_world(agents=4)
        world.kill("10.2.0.1")
        clients = [world.make_client() for _ in range(40)]
        for client in clients:
            client.open()
        world.run(0.15)  # clients retransmit an open after 0.2 s
        assert all(client.opened for client in clients)

    def test_silent_upstream_delays_opens_by_less_than_a_retransmission_timeout(self):
        world = make_world(agents=4)
        world.upstream_by_host["10.2.0.1"].is_silent = True
        clients = [world.make_client() for _ in range(40)]
        for client in clients:
            client.open()
        world.run(0.15)  # clients retransmit an open after 0.2 s
        assert all(client.opened for client in clients)

    def test_open_to_an_address_without_a_route_is_reset_at_once(self):
        world = make_world()
        client = world.make_client(("198.18.0.9", 443))
        client.open()
        world.run(0.01)
        assert client.resets == 1

    def test_open_that_no_upstream_can_take_is_reset_at_once(self):
        world = make_world(agents=2)
        for upstream in world.upstream_by_host.values():
            upstream.draining = True
        world.run(2.0)
        client = world.make_client()
        client.open()
        world.run(0.05)
        assert client.resets == 1
        assert not client.opened


class TestOpenAdmission:
    def test_upstream_gets_no_opens_after_it_reports_a_drain(self):
        world = make_world(agents=3)
        upstream = world.upstream_by_host["10.2.0.1"]
        upstream.draining = True
        upstream.report()
        opens_before = len(upstream.opens)
        clients = open_flows(world, 30)
        assert len(upstream.opens) == opens_before
        assert all(client.opened for client in clients)

    def test_data_centre_that_is_out_gets_no_opens_and_keeps_its_flows(self):
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        world.set_routes(make_table(2, out=("a",)))
        world.run(1.0)
        upstream = world.upstream_by_host["10.2.0.1"]
        opens_before = len(upstream.opens)
        later_clients = open_flows(world, 30)
        assert len(upstream.opens) == opens_before
        assert all(client.opened for client in later_clients)
        for client in clients:
            client.send_request()
        world.run(0.2)
        assert all(client.answers == 1 for client in clients)

    def test_open_to_a_removed_route_is_reset(self):
        world = make_world()
        other_route = FlowRoute(("198.18.0.2", 443), (Target("board", 1),))
        world.set_routes(make_table(2, routes=(other_route,)))
        world.run(1.0)
        client = world.make_client()
        client.open()
        world.run(0.1)
        assert client.resets == 1
        assert not client.opened

    def test_agent_rejects_an_open_routed_by_an_older_route_table(self):
        world = make_world()
        other_route = FlowRoute(("198.18.0.2", 443), (Target("board", 1),))
        newer_table = make_table(2, routes=(other_route,))
        for host, node in world.node_by_host.items():
            if host.startswith("10.2."):
                node.routes.adopt_if_newer(newer_table)
        client = world.make_client()
        client.open()
        world.run(0.002)
        world.run(0.1)
        assert not client.opened
        assert find_holder(world, client.flow) is None

    def test_agent_rejects_an_open_routed_by_a_table_from_before_a_restore(self):
        """Balancers that started after the restore have the copied table."""
        world = make_world()
        other_route = FlowRoute(("198.18.0.2", 443), (Target("board", 1),))
        table_in_force = make_table(9, routes=(other_route,))
        copied_table = msgspec.structs.replace(
            make_table(8), revision=make_revision(1, 8)
        )
        for host, node in world.node_by_host.items():
            is_agent = host.startswith("10.2.")
            node.routes.adopt_if_newer(table_in_force if is_agent else copied_table)
        client = world.make_client()
        client.open()
        world.run(0.5)
        assert not client.opened
        assert client.resets
        assert {node.routes.table.version for node in world.node_by_host.values()} == {
            9
        }

    @pytest.mark.parametrize("rate", [1.0, 8.0])
    def test_cold_upstream_gets_opens_up_to_its_rate_limit(self, rate):
        world = make_world(agents=1)
        upstream = world.upstream_by_host["10.2.0.1"]
        world.set_routes(make_table(2, cold_opens_per_s=rate))
        upstream.restart()
        upstream.cold_for = 3.0
        world.run(1.5)
        upstream.opens.clear()
        for _ in range(100):
            world.make_client().open()
            world.run(0.02)
        for window_start, _ in upstream.opens:
            in_window = [
                at
                for at, _ in upstream.opens
                if window_start <= at < window_start + 1.0
            ]
            assert len(in_window) <= rate + COLD_RATE_BURST

    def test_cold_upstream_without_a_rate_limit_gets_opens(self):
        world = make_world(agents=1)
        upstream = world.upstream_by_host["10.2.0.1"]
        upstream.restart()
        upstream.cold_for = 3.0
        world.run(1.5)
        clients = open_flows(world, 30)
        assert all(client.opened for client in clients)


class TestRelaying:
    def set_misleading_loads(self, world, count=3):
        """Give each of ``count`` busy agents reports that only the next one is idle."""
        hosts = [f"10.2.0.{n + 1}" for n in range(count)]
        for number, host in enumerate(hosts):
            node = world.node_by_host[host]
            node.flows.busy_count = 3
            for other in hosts:
                peer = node.placement.peer_by_id.get(f"{other}:7600")
                if peer is not None:
                    is_next = other == hosts[(number + 1) % count]
                    utilization = 0.0 if is_next else 5.0
                    report = LoadReport(1, "board", True, utilization, 3)
                    peer.handle_report(report, world.now)

    def test_open_is_not_relayed_in_a_loop(self):
        world = make_world(agents=3)
        for _ in range(10):
            self.set_misleading_loads(world)
            client = world.make_client()
            client.open()
            world.run(0.015)
            assert client.opened
        world.run(0.2)
        held_count = sum(len(u.flows) for u in world.upstream_by_host.values())
        assert held_count == 10

    def test_all_agents_that_relayed_an_open_are_notified_of_its_holder(self):
        """Guard against an open that two upstreams accept.

        An agent that is not notified of the holder of a relayed open places it again
        after a timeout.
        """
        world = make_world(agents=5)
        for _ in range(10):
            self.set_misleading_loads(world, count=5)
            client = world.make_client()
            client.open()
            world.run(0.1)
            assert client.opened
        open_counts = [len(u.opens) for u in world.upstream_by_host.values()]
        assert sum(open_counts) == 10

    def test_open_that_its_target_relays_back_is_accepted_once(self):
        """Guard against placing an accepted open again at the timeout of its relay."""
        world = make_world(agents=2)
        home, other = "10.2.0.1", "10.2.0.2"
        node = world.node_by_host[home]
        self.set_misleading_loads(world, count=2)
        world.cut.add((home, other))
        client = world.make_client()
        datagram = write_packet(client.flow, SYN, 1)
        forwarded = ForwardedPacket(
            1, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram
        )

        def receive(packet, sender):
            sender = (sender, 7600)
            effects = node.handle_forwarded_packet(packet, sender, world.now)
            world.perform(home, effects)

        receive(forwarded, "10.1.0.1")
        assert world.counts["open_passed_on", "load"] == 1
        node.flows.busy_count = 0
        own_id = f"{home}:7600"
        relayed_back = msgspec.structs.replace(
            forwarded, home_agent=own_id, relayed_by=(own_id,), hops=2
        )
        receive(relayed_back, other)
        world.run(0.5)
        assert world.counts["open", "accepted"] == 1
        assert node.flows.get(client.flow).is_confirmed

    def test_open_is_not_queued_once_the_first_report_is_overdue(self):
        """Guard against opens that wait for the report of an upstream that is down.

        The upstream's agent has restarted. While it awaits the first report, it queues
        an open if all other agents are crowded, but only for two report periods.
        """
        world = make_world(agents=3)
        restarted = "10.2.0.1"
        world.upstream_by_host[restarted].is_up = False
        world.kill(restarted)
        world.run(0.3)
        world.add_agent(restarted, seeds=["10.1.0.1"], tracks_all_flows=False)
        world.run(2 * REPORT_PERIOD + 0.5)
        for host in ("10.2.0.2", "10.2.0.3"):
            report = LoadReport(1, "board", True, 2.0, 3)
            peer = world.node_by_host[restarted].placement.peer_by_id[f"{host}:7600"]
            peer.handle_report(report, world.now)
        clients = [world.make_client() for _ in range(12)]
        for client in clients:
            client.open()
        world.run(0.1)
        assert all(client.opened for client in clients)


class TestBurstDuringColdStart:
    """All clients return at once while the upstreams are in cold start.

    Four upstreams with three slots each run a request in 55 ms, together 218 requests
    per second. Each queues up to 16 more. A burst of requests arrives within 0.2 s,
    then further requests for 2 s.
    """

    LATENCY_TARGET = 0.2  # seconds from sending a request to its answer
    REQUEST_DEADLINE = 2.5  # seconds; the run continues so long after the last request

    def run_requests(self, burst_size, later_count):
        """Return the seconds from sending to answer of each answered request."""
        world = make_world(agents=4)
        for upstream in world.upstream_by_host.values():
            upstream.restart()
            (
                upstream.service_time,
                upstream.queue_capacity,
                upstream.cold_for,
            ) = 0.055, 16, 3.0
            upstream.report()
        requests = send_requests(world, burst_size, 0.2) + send_requests(
            world, later_count, 2.0
        )
        world.run(self.REQUEST_DEADLINE)
        attempts = [(sent_at, client.last_try) for sent_at, client in requests]
        return [
            last.answered_at - sent_at for sent_at, last in attempts if last.answers
        ]

    @pytest.mark.parametrize(
        ("burst_size", "later_count"), [(200, 280), (400, 280), (200, 400)]
    )
    def test_queue_limit_increases_answers_and_answers_within_target(
        self, burst_size, later_count, monkeypatch
    ):
        durations = self.run_requests(burst_size, later_count)
        monkeypatch.setattr(UpstreamMonitor, "_is_crowded", lambda *_: False)
        unlimited_durations = self.run_requests(burst_size, later_count)
        assert len(durations) > len(unlimited_durations)
        assert self.count_within_target(durations) > 1.1 * self.count_within_target(
            unlimited_durations
        )

    def test_open_whose_relay_was_not_answered_is_not_refused(self):
        """Guard against the reset of a flow that another upstream has accepted.

        The home agent is crowded and relays the last copy of an open. Messages from the
        other agent are lost, so the home agent is not notified that it was taken.
        """
        world = make_world(agents=2)
        home, other = "10.2.0.1", "10.2.0.2"
        node = world.node_by_host[home]
        for host in (home, other):
            upstream = world.upstream_by_host[host]
            upstream.restart()
            upstream.cold_for = 3.0
            upstream.report()
        node.flows.busy_count = 9
        report = LoadReport(1, "board", True, 0.0, 3)
        node.placement.peer_by_id[f"{other}:7600"].handle_report(report, world.now)
        world.cut.add((other, home))
        client = world.make_client()
        datagram = write_packet(client.flow, SYN, 1, 2)
        forwarded = ForwardedPacket(
            1, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram
        )
        effects = node.handle_forwarded_packet(forwarded, ("10.1.0.1", 7600), world.now)
        world.perform(home, effects)
        world.run(0.1)
        assert client.opened
        assert client.resets == 0

    def test_sustainable_load_is_answered_within_target(self):
        durations = self.run_requests(60, 280)
        assert self.count_within_target(durations) == 340

    def count_within_target(self, durations):
        return sum(duration <= self.LATENCY_TARGET for duration in durations)


class TestOneWayPartitions:
    def send_during_partition(self, agents):
        """Send requests while one agent receives no messages from the other agents.

        The agent's data centre is out, so it has to relay each open. Return the world
        and the requests.
        """
        world = make_world(agents)
        isolated, *others = [host for host in world.node_by_host if "10.2." in host]
        world.set_routes(make_table(2, out=("a",)))
        world.run(1.0)
        world.cut.update((other, isolated) for other in others)
        requests = send_requests(world, 300, 3.0)
        world.run(1.0)
        return world, requests

    def test_agent_that_receives_nothing_from_other_agents_resets_nothing(self):
        _, requests = self.send_during_partition(agents=6)
        assert sum(client.resets for _, client in requests) == 0
        assert all(client.last_try.answers for _, client in requests)

    def test_open_is_relayed_to_few_agents_that_do_not_answer(self):
        world, requests = self.send_during_partition(agents=9)
        accept_counts = Counter(
            flow for u in world.upstream_by_host.values() for _, flow in u.opens
        )
        assert (
            max(accept_counts[client.flow] for _, client in requests)
            <= MAX_UNANSWERED_RELAYS
        )
