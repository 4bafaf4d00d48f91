"""Established flows through planned changes, and without the platform."""

import pytest

from bilberrypath.coordination.events import Leave
from bilberrypath.coordination.flow_events import UpstreamUnreachable
from bilberrypath.platform.packet_codec import SYN
from bilberrypath.protocol.flow_messages import ForwardedPacket
from bilberrypath.state.members import Status
from tests.support.flow_world import (
    ADDRESS,
    REPORT_PERIOD,
    count_foreign,
    find_holder,
    make_table,
    make_world,
    open_flows,
    write_packet,
)


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
            "10.2.0.2", data_centre="b", seeds=["10.1.0.1"], tracks_all_flows=False
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
            "10.2.0.2", data_centre="b", seeds=["10.1.0.1"], tracks_all_flows=False
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
                world.add_agent(host, seeds=balancers, tracks_all_flows=False)
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

    def test_an_agent_that_leaves_does_not_say_that_it_serves_again(self):
        world = make_world(agents=2)
        node = world.node_by_host["10.2.0.1"]
        world.feed("10.2.0.1", Leave())
        world.run(2 * REPORT_PERIOD)
        assert node.registration.own_member.status is Status.DRAINING

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
        carry = ForwardedPacket(
            1, "board", "10.1.0.1:7600", True, "", (), 3, True, datagram
        )
        node = world.node_by_host[other]
        effects = node.handle_forwarded_packet(carry, ("10.1.0.1", 7600), world.now)
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
