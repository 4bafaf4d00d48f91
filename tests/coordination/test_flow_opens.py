"""Opens: where they go, who may take them, and what a crowd gets."""

from collections import Counter

import pytest

from bilberrypath.coordination.open_handler import MAX_UNANSWERED_RELAYS
from bilberrypath.coordination.upstream_health import COLD_RATE_BURST
from bilberrypath.coordination.upstream_monitor import UpstreamMonitor
from bilberrypath.platform.packet_codec import SYN
from bilberrypath.protocol.flow_messages import ForwardedPacket, LoadReport
from bilberrypath.state.routes import FlowRoute, Target
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
    def test_one_that_resets_its_requests_gets_few(self):
        world = make_world(agents=6)
        bad = world.upstream_by_host["10.2.0.1"]
        bad.resets_requests = True
        send_requests(world, 600, 4.0)
        before = len(bad.opens)
        send_requests(world, 600, 4.0)
        assert len(bad.opens) - before < 600 / 6 / 3

    def test_they_are_used_where_all_are_as_bad(self):
        world = make_world(agents=3)
        for upstream in world.upstream_by_host.values():
            upstream.resets_requests = True
        sent = send_requests(world, 200, 2.0)
        assert all(client.opened for _, client in sent)

    def test_one_that_is_well_again_gets_its_share(self):
        world = make_world(agents=6)
        bad = world.upstream_by_host["10.2.0.1"]
        bad.resets_requests = True
        send_requests(world, 600, 4.0)
        bad.resets_requests = False
        send_requests(world, 900, 6.0)
        before = len(bad.opens)
        send_requests(world, 600, 4.0)
        assert len(bad.opens) - before > 600 / 6 / 2


class TestOpens:
    def test_an_open_is_accepted_and_answered(self):
        world = make_world()
        (client,) = open_flows(world, 1)
        client.ask()
        world.run(0.1)
        assert client.opened
        assert client.answers == 1
        assert client.resets == 0

    def test_copies_through_any_balancer_meet_one_upstream(self):
        world = make_world(agents=7, balancers=3)
        for _ in range(50):
            client = world.make_client()
            for host in ("10.1.0.1", "10.1.0.2", "10.1.0.3"):
                client.open(host)
                world.run(0.003)
        world.run(0.1)
        holders = [u.flows for u in world.upstream_by_host.values()]
        assert sum(len(flows) for flows in holders) == 50

    def test_opens_are_spread(self):
        world = make_world(agents=4)
        clients = open_flows(world, 200)
        counts = [len(u.flows) for u in world.upstream_by_host.values()]
        assert sum(counts) == len(clients)
        assert max(counts) <= 2 * 200 / 4

    def test_a_dead_home_costs_less_than_a_clients_copy(self):
        world = make_world(agents=4)
        world.kill("10.2.0.1")
        clients = [world.make_client() for _ in range(40)]
        for client in clients:
            client.open()
        world.run(0.15)
        assert all(client.opened for client in clients)

    def test_a_silent_upstream_costs_less_than_a_clients_copy(self):
        world = make_world(agents=4)
        world.upstream_by_host["10.2.0.1"].is_silent = True
        clients = [world.make_client() for _ in range(40)]
        for client in clients:
            client.open()
        world.run(0.15)
        assert all(client.opened for client in clients)

    def test_no_route_is_told_at_once(self):
        world = make_world()
        client = world.make_client(("198.18.0.9", 443))
        client.open()
        world.run(0.01)
        assert client.resets == 1

    def test_nobody_able_is_told_at_once(self):
        world = make_world(agents=2)
        for upstream in world.upstream_by_host.values():
            upstream.draining = True
        world.run(2.0)
        client = world.make_client()
        client.open()
        world.run(0.05)
        assert client.resets == 1
        assert not client.opened


class TestGate:
    def test_a_draining_upstream_gets_no_open_at_once(self):
        world = make_world(agents=3)
        upstream = world.upstream_by_host["10.2.0.1"]
        upstream.draining = True
        upstream.report()
        before = len(upstream.opens)
        clients = open_flows(world, 30)
        assert len(upstream.opens) == before
        assert all(client.opened for client in clients)

    def test_a_data_centre_that_is_out_gets_no_open(self):
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        world.set_routes(make_table(2, out=("a",)))
        world.run(1.0)
        upstream = world.upstream_by_host["10.2.0.1"]
        before = len(upstream.opens)
        later = open_flows(world, 30)
        assert len(upstream.opens) == before
        assert all(client.opened for client in later)
        for client in clients:
            client.ask()
        world.run(0.2)
        assert all(client.answers == 1 for client in clients)

    def test_a_dropped_route_takes_no_open(self):
        world = make_world()
        other = FlowRoute(("198.18.0.2", 443), (Target("board", 1),))
        world.set_routes(make_table(2, routes=(other,)))
        world.run(1.0)
        client = world.make_client()
        client.open()
        world.run(0.1)
        assert client.resets == 1
        assert not client.opened

    def test_a_stale_balancer_is_corrected_by_the_agent(self):
        world = make_world()
        other = FlowRoute(("198.18.0.2", 443), (Target("board", 1),))
        newer = make_table(2, routes=(other,))
        for host, node in world.node_by_host.items():
            if host.startswith("10.2."):
                node.routes.adopt_if_newer(newer)
        client = world.make_client()
        client.open()
        world.run(0.002)
        world.run(0.1)
        assert not client.opened
        assert find_holder(world, client.flow) is None

    @pytest.mark.parametrize("rate", [1.0, 8.0])
    def test_a_cold_upstream_gets_what_it_bears(self, rate):
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
        for start, _ in upstream.opens:
            within = [at for at, _ in upstream.opens if start <= at < start + 1.0]
            assert len(within) <= rate + COLD_RATE_BURST

    def test_a_cold_upstream_without_a_stated_rate_is_used(self):
        world = make_world(agents=1)
        upstream = world.upstream_by_host["10.2.0.1"]
        upstream.restart()
        upstream.cold_for = 3.0
        world.run(1.5)
        clients = open_flows(world, 30)
        assert all(client.opened for client in clients)


class TestPassing:
    def mislead(self, world, count=3):
        """Have each of some busy agents take the next one for idle."""
        hosts = [f"10.2.0.{n + 1}" for n in range(count)]
        for number, host in enumerate(hosts):
            node = world.node_by_host[host]
            node.flows.busy_count = 3
            for other in hosts:
                peer = node.placement.peer_by_id.get(f"{other}:7600")
                if peer is not None:
                    idle = other == hosts[(number + 1) % count]
                    pressure = 0.0 if idle else 5.0
                    report = LoadReport(1, "board", True, pressure, 3)
                    peer.handle_report(report, world.now)

    def test_an_open_does_not_go_round(self):
        world = make_world(agents=3)
        for _ in range(10):
            self.mislead(world)
            client = world.make_client()
            client.open()
            world.run(0.015)
            assert client.opened
        world.run(0.2)
        held = sum(len(u.flows) for u in world.upstream_by_host.values())
        assert held == 10

    def test_all_who_passed_an_open_on_hear_who_took_it(self):
        world = make_world(agents=5)
        for _ in range(10):
            self.mislead(world, count=5)
            client = world.make_client()
            client.open()
            world.run(0.1)
            assert client.opened
        opens = [len(u.opens) for u in world.upstream_by_host.values()]
        assert sum(opens) == 10

    def test_an_open_does_not_wait_for_an_upstream_that_should_have_reported(self):
        world = make_world(agents=3)
        absent = "10.2.0.1"
        world.upstream_by_host[absent].is_up = False
        world.kill(absent)
        world.run(0.3)
        world.add_agent(absent, seeds=["10.1.0.1"], tracks_all_flows=False)
        world.run(2 * REPORT_PERIOD + 0.5)
        for host in ("10.2.0.2", "10.2.0.3"):
            report = LoadReport(1, "board", True, 2.0, 3)
            peer = world.node_by_host[absent].placement.peer_by_id[f"{host}:7600"]
            peer.handle_report(report, world.now)
        clients = [world.make_client() for _ in range(12)]
        for client in clients:
            client.open()
        world.run(0.1)
        assert all(client.opened for client in clients)


class TestColdLoad:
    """All clients come back at once to upstreams in cold start.

    Four upstreams of three slots run a request in 55 ms, 218 a second together; 16
    may wait at each. A crowd comes within 0.2 s, then others for two seconds.
    """

    AIM = 0.2  # seconds in which a request is to be answered
    DEADLINE = 2.5

    def play(self, crowd, later):
        """Return the seconds that each request of a crowd and after it took."""
        world = make_world(agents=4)
        for upstream in world.upstream_by_host.values():
            upstream.restart()
            upstream.work, upstream.room, upstream.cold_for = 0.055, 16, 3.0
            upstream.report()
        sent = send_requests(world, crowd, 0.2) + send_requests(world, later, 2.0)
        world.run(self.DEADLINE)
        ends = [(at, client.last_try) for at, client in sent]
        return [end.answered_at - at for at, end in ends if end.answers]

    @pytest.mark.parametrize(("crowd", "later"), [(200, 280), (400, 280), (200, 400)])
    def test_more_are_answered_and_more_within_their_aim(
        self, crowd, later, monkeypatch
    ):
        waits = self.play(crowd, later)
        monkeypatch.setattr(UpstreamMonitor, "_is_crowded", lambda *_: False)
        before = self.play(crowd, later)
        assert len(waits) > len(before)
        assert self.count_in_aim(waits) > 1.1 * self.count_in_aim(before)

    def test_an_open_that_another_may_have_taken_is_not_refused(self):
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
        carry = ForwardedPacket(
            1, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram
        )
        effects = node.handle_forwarded_packet(carry, ("10.1.0.1", 7600), world.now)
        world.perform(home, effects)
        world.run(0.1)
        assert client.opened
        assert client.resets == 0

    def test_a_load_that_is_borne_is_not_held_up(self):
        waits = self.play(60, 280)
        assert self.count_in_aim(waits) == 340

    def count_in_aim(self, waits):
        return sum(wait <= self.AIM for wait in waits)


class TestOneWayCuts:
    def play(self, agents):
        """Send requests in a world where one agent, which is out, hears no other.

        Return the world and the requests.
        """
        world = make_world(agents)
        lonely, *others = [host for host in world.node_by_host if "10.2." in host]
        world.set_routes(make_table(2, out=("a",)))
        world.run(1.0)
        world.cut.update((other, lonely) for other in others)
        sent = send_requests(world, 300, 3.0)
        world.run(1.0)
        return world, sent

    def test_an_agent_that_hears_nobody_resets_nothing(self):
        _, sent = self.play(agents=6)
        assert sum(client.resets for _, client in sent) == 0
        assert all(client.last_try.answers for _, client in sent)

    def test_an_open_is_handed_to_few_that_do_not_answer(self):
        world, sent = self.play(agents=9)
        accepted = Counter(
            flow for u in world.upstream_by_host.values() for _, flow in u.opens
        )
        assert max(accepted[client.flow] for _, client in sent) <= MAX_UNANSWERED_RELAYS
