"""Whole flows through balancers and agents, in virtual time."""

import pytest

from bilberrypath.coordination.events import Leave, Tick
from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamUnreachable
from bilberrypath.coordination.upstream_keeper import UpstreamKeeper
from bilberrypath.coordination.upstream_watch import COLD_SPARE
from bilberrypath.platform.packet_head import ACK, SYN
from bilberrypath.protocol.flow_messages import Carry, LoadReport
from bilberrypath.state.routes import FlowRoute, Target
from tests.support.flow_world import (
    ADDRESS,
    REPORT_PERIOD,
    find_holder,
    make_table,
    make_world,
    write_packet,
)


def open_flows(world, count):
    clients = [world.make_client() for _ in range(count)]
    for client in clients:
        client.open()
        world.run(0.02)
    return clients


def count_foreign(world):
    return sum(sum(u.foreign.values()) for u in world.upstream_by_host.values())


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
                node.routes.offer(newer)
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
        world.set_routes(make_table(2, cold_opens=rate))
        upstream.restart()
        upstream.cold_for = 3.0
        world.run(1.5)
        upstream.opens.clear()
        for _ in range(100):
            world.make_client().open()
            world.run(0.02)
        for start, _ in upstream.opens:
            within = [at for at, _ in upstream.opens if start <= at < start + 1.0]
            assert len(within) <= rate + COLD_SPARE

    def test_a_cold_upstream_without_a_stated_rate_is_used(self):
        world = make_world(agents=1)
        upstream = world.upstream_by_host["10.2.0.1"]
        upstream.restart()
        upstream.cold_for = 3.0
        world.run(1.5)
        clients = open_flows(world, 30)
        assert all(client.opened for client in clients)


class TestAffinity:
    def test_a_new_balancer_finds_established_flows(self):
        world = make_world(agents=7)
        clients = open_flows(world, 60)
        world.add_balancer("10.1.0.9", "c", ["10.1.0.1"])
        world.run(1.0)
        for client in clients:
            client.ask("10.1.0.9")
        world.run(0.3)
        assert [client.answers for client in clients] == [1] * 60
        assert count_foreign(world) == 0

    def test_new_agents_do_not_move_flows(self):
        world = make_world(agents=4)
        clients = open_flows(world, 60)
        for n in range(4):
            world.add_agent(f"10.2.1.{n + 1}", seeds=["10.1.0.1"])
        world.run(2.0)
        world.kill("10.1.0.1")
        world.add_balancer("10.1.0.1", "a", ["10.1.0.2"])
        world.run(1.0)
        for client in clients:
            client.ask("10.1.0.1")
        world.run(0.3)
        assert [client.answers for client in clients] == [1] * 60
        assert all(client.resets == 0 for client in clients)

    def test_a_restarted_agent_regains_its_flows(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        world.kill("10.2.0.2")
        world.run(0.5)
        world.add_agent(
            "10.2.0.2", data_centre="b", seeds=["10.1.0.1"], knows_all=False
        )
        world.run(2.0)
        for client in clients:
            client.ask()
        world.run(0.3)
        assert [client.answers for client in clients] == [1] * 40
        assert all(client.resets == 0 for client in clients)

    def test_an_agent_regains_its_flows_though_the_clock_was_set_back(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        world.run(8.0)
        world.kill("10.2.0.2")
        upstream = world.upstream_by_host["10.2.0.2"]
        upstream.started_at = 6000 + round(world.now * 1000)
        world.run(0.5)
        world.add_agent(
            "10.2.0.2", data_centre="b", seeds=["10.1.0.1"], knows_all=False
        )
        world.run(1.5)
        for client in clients:
            client.ask()
        world.run(0.3)
        assert [client.answers for client in clients] == [1] * 40
        assert all(client.resets == 0 for client in clients)

    def test_all_processes_restart_and_flows_go_on(self):
        world = make_world(agents=5, balancers=2)
        clients = open_flows(world, 40)
        hosts = list(world.node_by_host)
        for host in hosts:
            world.kill(host)
        world.run(0.5)
        balancers = [host for host in hosts if host.startswith("10.1.")]
        for host in balancers:
            world.add_balancer(host, "a", balancers)
        for host in hosts:
            if host not in balancers:
                world.add_agent(host, seeds=balancers, knows_all=False)
        world.run(3.0)
        for client in clients:
            client.ask()
        world.run(0.5)
        assert [client.answers for client in clients] == [1] * 40
        assert all(client.resets == 0 for client in clients)

    def test_a_restarted_upstream_resets_its_flows_at_once(self):
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        host = "10.2.0.1"
        lost = [c for c in clients if find_holder(world, c.flow) == host]
        upstream = world.upstream_by_host[host]
        upstream.restart()
        upstream.report()
        world.run(0.1)
        assert lost
        assert all(client.resets == 1 for client in lost)
        kept = [client for client in clients if client not in lost]
        assert all(client.resets == 0 for client in kept)

    @pytest.mark.parametrize("seed", range(4))
    def test_lost_messages_break_no_flow(self, seed):
        world = make_world(agents=5, balancers=3, seed=seed, loss=0.05)
        clients = open_flows(world, 40)
        world.run(2.0)
        opened = [client for client in clients if client.opened]
        world.kill("10.1.0.1")
        world.add_balancer("10.1.0.1", "a", ["10.1.0.2"])
        world.run(1.0)
        for _ in range(6):
            for client in opened:
                if not client.answers:
                    client.ask()
            world.run(0.4)
        assert len(opened) >= 36
        assert all(client.answers for client in opened)
        assert all(client.resets == 0 for client in opened)


class TestPlatformAway:
    def test_routes_come_from_peers_while_the_store_is_away(self):
        world = make_world()
        world.store_is_away = True
        node = world.add_balancer("10.1.0.9", "a", ["10.1.0.1"])
        world.run(1.0)
        assert node.is_ready
        assert node.routes.revision == 1

    def test_revisions_never_fall(self):
        world = make_world()
        world.set_routes(make_table(5))
        world.run(1.0)
        world.set_routes(make_table(3))
        world.run(1.0)
        revisions = {node.routes.revision for node in world.node_by_host.values()}
        assert revisions == {5}


def test_addresses_are_as_the_routes_say():
    assert make_table().index()[ADDRESS].allows("board")


class TestAfterAStart:
    def restart_all(self, world, silence):
        """Power off everything; upstreams report only after ``silence``."""
        hosts = list(world.node_by_host)
        for host in hosts:
            world.kill(host)
        for upstream in world.upstream_by_host.values():
            upstream.restart()
            upstream.is_up = False
        balancers = [host for host in hosts if host.startswith("10.1.")]
        for host in balancers:
            world.add_balancer(host, "a", balancers)
        for host in hosts:
            if host not in balancers:
                world.add_agent(host, seeds=balancers, knows_all=False)

        def come_back(upstream):
            upstream.is_up = True
            upstream.report()

        for upstream in world.upstream_by_host.values():
            world.after(silence, lambda u=upstream: come_back(u))

    def test_opens_wait_for_the_first_reports(self):
        world = make_world(agents=3)
        self.restart_all(world, silence=1.0)
        world.run(0.9)
        clients = [world.make_client() for _ in range(20)]
        for client in clients:
            client.open()
        world.run(0.15)
        assert all(client.resets == 0 for client in clients)
        assert all(client.opened for client in clients)
        held = sum(len(u.flows) for u in world.upstream_by_host.values())
        assert held == 20

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_a_balancer_that_starts_before_its_seeds_joins_soon(self, seed):
        world = make_world(agents=3, seed=seed)
        seeds = ["10.1.0.1", "10.1.0.2"]
        for host in list(world.node_by_host):
            world.kill(host)
        early = world.add_balancer("10.1.0.9", "a", seeds)
        world.run(0.4)
        for host in seeds:
            world.add_balancer(host, "a", seeds)
        for n in range(3):
            world.add_agent(f"10.2.0.{n + 1}", seeds=seeds, knows_all=False)
        world.run(0.7)
        assert early.is_ready
        assert len(early.members.table.list_agents("board")) == 3

    def test_an_open_does_not_wait_for_ever(self):
        world = make_world(agents=3)
        self.restart_all(world, silence=30.0)
        world.run(2.0)
        client = world.make_client()
        client.open()
        world.run(2.0)
        assert not client.opened
        waiting = [
            node.opener._waiting_by_flow
            for host, node in world.node_by_host.items()
            if host.startswith("10.2.")
        ]
        assert not any(waiting)

    def test_flows_of_before_are_reset_soon(self):
        world = make_world(agents=5)
        clients = open_flows(world, 20)
        self.restart_all(world, silence=0.3)
        world.run(1.8)
        for client in clients:
            client.ask()
        world.run(0.1)
        assert all(client.resets == 1 for client in clients)

    def test_flows_of_before_a_power_loss_are_reset_at_once(self):
        world = make_world(agents=5)
        clients = open_flows(world, 20)
        world.run(2.0)
        self.restart_all(world, silence=0.3)
        world.run(0.8)
        for client in clients:
            client.ask()
        world.run(0.1)
        assert all(client.resets == 1 for client in clients)

    def test_flows_of_living_upstreams_outlive_a_restart_of_all_processes(self):
        world = make_world(agents=5)
        clients = open_flows(world, 40)
        world.run(2.0)
        agents = [host for host in world.node_by_host if host.startswith("10.2.")]
        for host in list(world.node_by_host):
            world.kill(host)
        balancers = ["10.1.0.1", "10.1.0.2"]
        for host in balancers:
            world.add_balancer(host, "a", balancers)
        for n, host in enumerate(agents):
            world.after(
                0.3 * n,
                lambda h=host: world.add_agent(h, seeds=balancers, knows_all=False),
            )
        for _ in range(20):
            world.run(0.2)
            for client in clients:
                if not client.answers:
                    client.ask()
        world.run(0.2)
        assert all(client.resets == 0 for client in clients)
        assert all(client.answers for client in clients)

    def test_an_agent_that_heard_no_list_of_agents_resets_nothing(self):
        world = make_world(agents=3)
        clients = open_flows(world, 20)
        world.kill("10.2.0.1")
        world.add_agent("10.2.0.1", seeds=[], knows_all=False)
        world.run(2.0)
        node = world.node_by_host["10.2.0.1"]
        for client in clients:
            datagram = write_packet(client.flow, ACK, 2, 101, b"x")
            carry = Carry(1, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram)
            effects = node.take_carry(carry, ("10.1.0.1", 7600), world.now)
            world.perform("10.2.0.1", effects)
        world.run(0.2)
        assert all(client.resets == 0 for client in clients)

    def test_flows_guessed_beside_a_dead_upstream_are_looked_for_elsewhere(self):
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        dead = "10.2.0.1"
        elsewhere = [c for c in clients if find_holder(world, c.flow) != dead]
        for host in list(world.node_by_host):
            world.kill(host)
        world.upstream_by_host[dead].is_up = False
        world.run(0.3)
        world.add_balancer("10.1.0.1", "a", ["10.1.0.1"])
        for n in range(3):
            world.add_agent(f"10.2.0.{n + 1}", seeds=["10.1.0.1"], knows_all=False)
        world.run(4.5)
        for client in elsewhere:
            client.ask()
        for _ in range(20):
            world.run(0.01)
            world.feed(dead, UpstreamUnreachable())
        assert elsewhere
        assert all(client.answers for client in elsewhere)

    def restart_beside_a_dark_upstream(self, world, dark):
        """Restart all processes while one upstream is dead and says nothing."""
        hosts = [host for host in world.node_by_host if host.startswith("10.2.")]
        for host in list(world.node_by_host):
            world.kill(host)
        world.upstream_by_host[dark].is_up = False
        world.run(0.3)
        balancers = ["10.1.0.1", "10.1.0.2"]
        for host in balancers:
            world.add_balancer(host, "a", balancers)
        for host in hosts:
            world.add_agent(host, seeds=balancers, knows_all=False)
        world.run(1.2)

    def test_a_dark_upstream_does_not_keep_flows_from_being_found(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        dark = "10.2.0.1"
        elsewhere = [c for c in clients if find_holder(world, c.flow) != dark]
        self.restart_beside_a_dark_upstream(world, dark)
        for client in elsewhere:
            client.ask()
        world.run(0.3)
        assert elsewhere
        assert all(client.answers for client in elsewhere)

    def test_flows_of_a_dark_upstream_are_reset_once_it_should_have_reported(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        dark = "10.2.0.1"
        lost = [c for c in clients if find_holder(world, c.flow) == dark]
        self.restart_beside_a_dark_upstream(world, dark)
        for client in lost:
            client.ask()
        world.run(2 * REPORT_PERIOD)
        assert lost
        assert all(client.resets == 1 for client in lost)

    def test_late_agents_are_waited_for(self):
        world = make_world(agents=5)
        clients = open_flows(world, 20)
        hosts = list(world.node_by_host)
        for host in hosts:
            world.kill(host)
        balancers = [host for host in hosts if host.startswith("10.1.")]
        for host in balancers:
            world.add_balancer(host, "a", balancers)
        for number, host in enumerate(hosts[len(balancers) :]):
            world.add_agent(host, seeds=balancers, knows_all=False)
            world.run(0.15)
            for client in clients:
                client.ask()
            assert number < 5
        world.run(0.5)
        for client in clients:
            client.ask()
        world.run(0.5)
        assert all(client.resets == 0 for client in clients)
        assert all(client.answers for client in clients)

    def test_an_end_that_was_not_announced_resets_nothing(self):
        world = make_world(agents=2)
        clients = open_flows(world, 10)
        for host, upstream in world.upstream_by_host.items():
            world.feed(host, UpstreamLeft(upstream.name))
        world.run(0.1)
        assert all(client.resets == 0 for client in clients)
        world.run(1.5)
        client = world.make_client()
        client.open()
        world.run(0.1)
        assert client.opened

    def test_an_announced_end_resets_what_is_left(self):
        world = make_world(agents=2)
        clients = open_flows(world, 10)
        upstream = world.upstream_by_host["10.2.0.1"]
        lost = [c for c in clients if c.flow in upstream.flows]
        upstream.draining = True
        upstream.report()
        world.feed("10.2.0.1", UpstreamLeft(upstream.name))
        world.run(0.1)
        assert all(client.resets == 1 for client in lost)


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
                    peer.take_report(report, world.now)

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
        world.add_agent(absent, seeds=["10.1.0.1"], knows_all=False)
        world.run(2 * REPORT_PERIOD + 0.5)
        for host in ("10.2.0.2", "10.2.0.3"):
            report = LoadReport(1, "board", True, 2.0, 3)
            peer = world.node_by_host[absent].placement.peer_by_id[f"{host}:7600"]
            peer.take_report(report, world.now)
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
        sent = self.send(world, crowd, 0.2) + self.send(world, later, 2.0)
        world.run(self.DEADLINE)
        ends = [(at, client.last_try) for at, client in sent]
        return [end.answered_at - at for at, end in ends if end.answers]

    def send(self, world, count, seconds):
        sent = []
        for _ in range(count):
            client = world.make_client()
            client.request()
            sent.append((world.now, client))
            world.run(seconds / count)
        return sent

    @pytest.mark.parametrize(("crowd", "later"), [(200, 280), (400, 280), (200, 400)])
    def test_more_are_answered_and_more_within_their_aim(
        self, crowd, later, monkeypatch
    ):
        waits = self.play(crowd, later)
        monkeypatch.setattr(UpstreamKeeper, "_is_crowded", lambda *_: False)
        before = self.play(crowd, later)
        assert len(waits) > len(before)
        assert self.count_in_aim(waits) > 1.1 * self.count_in_aim(before)

    def test_a_load_that_is_borne_is_not_held_up(self):
        waits = self.play(60, 280)
        assert self.count_in_aim(waits) == 340

    def count_in_aim(self, waits):
        return sum(wait <= self.AIM for wait in waits)


class TestLeaving:
    def test_an_agent_that_leaves_takes_no_opens_and_keeps_its_flows(self):
        world = make_world(agents=4)
        clients = open_flows(world, 20)
        leaving = "10.2.0.1"
        before = len(world.upstream_by_host[leaving].opens)
        world.feed(leaving, Leave())
        later = open_flows(world, 40)
        for client in clients:
            client.ask()
        world.run(0.1)
        assert len(world.upstream_by_host[leaving].opens) == before
        assert all(client.opened for client in later)
        assert all(client.answers for client in clients)

    def test_the_only_agent_takes_opens_until_it_ends(self):
        world = make_world(agents=1)
        world.feed("10.2.0.1", Leave())
        (client,) = open_flows(world, 1)
        assert client.opened

    def test_it_ends_between_requests(self):
        world = make_world(agents=1)
        (client,) = open_flows(world, 1)
        node = world.node_by_host["10.2.0.1"]
        client.ask()
        world.run(0.01)
        world.feed("10.2.0.1", Leave())
        assert not node.may_end
        world.run(0.1)
        assert client.answers
        assert node.may_end

    def test_it_does_not_wait_for_an_upstream_that_is_gone(self):
        world = make_world(agents=1)
        (client,) = open_flows(world, 1)
        client.ask()
        world.run(0.01)
        world.feed("10.2.0.1", UpstreamUnreachable())
        assert world.node_by_host["10.2.0.1"].may_end


class TestTwoAcceptances:
    def test_an_upstream_that_was_not_chosen_resets_nothing(self):
        world = make_world(agents=3)
        (client,) = open_flows(world, 1)
        client.ask()
        world.run(0.1)
        holder = find_holder(world, client.flow)
        other = next(h for h in world.upstream_by_host if h != holder)
        datagram = write_packet(client.flow, SYN, 1)
        carry = Carry(1, "board", "10.1.0.1:7600", True, "", (), 3, True, datagram)
        node = world.node_by_host[other]
        effects = node.take_carry(carry, ("10.1.0.1", 7600), world.now)
        world.perform(other, effects)
        world.run(0.1)
        assert client.flow in world.upstream_by_host[other].flows
        world.upstream_by_host[other].restart()
        world.upstream_by_host[other].report()
        world.run(0.1)
        client.ask()
        world.run(0.2)
        assert client.resets == 0
        assert client.answers == 2


class TestGoneAgents:
    def test_flows_of_an_agent_that_vanished_are_reset(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        gone = "10.2.0.1"
        lost = [c for c in clients if find_holder(world, c.flow) == gone]
        world.power_off(gone)
        world.add_balancer("10.1.0.9", "a", ["10.1.0.1"])
        world.run(0.8)
        for _ in range(16):
            for client in lost:
                client.ask("10.1.0.9")
            world.run(0.3)
        assert lost
        assert all(client.resets for client in lost)
        for client in set(clients) - set(lost):
            client.ask("10.1.0.9")
        world.run(0.2)
        assert all(c.answers for c in set(clients) - set(lost))

    def test_flows_of_an_agent_that_is_away_for_long_are_not_reset(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        away = "10.2.0.1"
        kept = [c for c in clients if find_holder(world, c.flow) == away]
        world.kill(away)
        world.add_balancer("10.1.0.9", "a", ["10.1.0.1"])
        for _ in range(18):
            world.run(0.3)
            for client in kept:
                client.ask("10.1.0.9")
        world.add_agent(away, seeds=["10.1.0.1"], knows_all=False)
        for _ in range(4):
            world.run(0.5)
            for client in kept:
                if not client.answers:
                    client.ask("10.1.0.9")
        world.run(0.2)
        assert kept
        assert all(client.resets == 0 for client in kept)
        assert all(client.answers for client in kept)


class TestPauses:
    def test_an_agent_that_wakes_takes_no_open_that_waited(self):
        world = make_world(agents=3)
        frozen = world.node_by_host["10.2.0.1"]
        waited = []
        original = frozen.take_carry
        frozen.take_carry = lambda *taken: waited.append(taken[:2]) or []
        ticking = frozen.handle
        frozen.handle = lambda event, now: []
        clients = open_flows(world, 30)
        world.run(1.0)
        frozen.take_carry, frozen.handle = original, ticking
        before = len(world.upstream_by_host["10.2.0.1"].opens)
        for carry, sender in waited:
            world.perform("10.2.0.1", frozen.take_carry(carry, sender, world.now))
        world.run(0.2)
        assert waited
        assert len(world.upstream_by_host["10.2.0.1"].opens) == before
        assert all(client.opened for client in clients)
        for client in clients:
            client.ask()
        world.run(0.2)
        assert all(client.answers for client in clients)
        assert count_foreign(world) == 0

    def test_a_guessed_flow_is_not_reset_with_its_supposed_upstream(self):
        world = make_world(agents=2)
        clients = open_flows(world, 20)
        host = "10.2.0.1"
        elsewhere = [c for c in clients if find_holder(world, c.flow) != host]
        world.kill(host)
        world.run(0.3)
        world.add_agent(host, seeds=["10.1.0.1"], knows_all=False)
        world.run(1.5)
        upstream = world.upstream_by_host[host]
        upstream.is_silent = True
        node = world.node_by_host[host]
        for client in elsewhere:
            datagram = write_packet(client.flow, ACK, 2, 101, b"x")
            carry = Carry(1, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram)
            effects = node.take_carry(carry, ("10.1.0.1", 7600), world.now)
            world.perform(host, effects)
        world.run(0.1)
        upstream.restart()
        upstream.report()
        world.run(0.5)
        assert elsewhere
        assert all(client.resets == 0 for client in elsewhere)

    def test_a_frozen_agents_flows_are_not_reset_by_others(self):
        world = make_world(agents=4)
        clients = open_flows(world, 30)
        frozen = world.node_by_host["10.2.0.1"]
        world.kill("10.2.0.1")
        world.add_balancer("10.1.0.9", "a", ["10.1.0.1"])
        for _ in range(10):
            world.run(0.3)
            for client in clients:
                if not client.answers:
                    client.ask("10.1.0.9")
        world.node_by_host["10.2.0.1"] = frozen
        frozen.pauses.note(world.now)
        for _ in range(3):
            world.run(0.5)
            for client in clients:
                if not client.answers:
                    client.ask("10.1.0.9")
        world.run(0.5)
        assert all(client.resets == 0 for client in clients)
        assert all(client.answers for client in clients)

    def test_an_agent_that_wakes_does_not_take_others_for_gone(self):
        world = make_world(agents=2)
        node = world.node_by_host["10.2.0.1"]
        peer = "10.2.0.2:7600"
        node.silent.note_late(peer, world.now)
        node.handle(Tick(), world.now + 5.0)
        assert not node.silent.is_gone(peer, world.now + 5.0)
