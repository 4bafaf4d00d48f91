"""Tests that established flows survive planned changes and restarts.

They also cover route tables while the platform's store is unavailable, and agents
that are leaving.
"""

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
    def test_new_balancer_finds_established_flows(self):
        world = make_world(agents=7)
        clients = open_flows(world, 60)
        world.add_balancer("10.1.0.9", "c", ["10.1.0.1"])
        world.run(1.0)
        for client in clients:
            client.send_request("10.1.0.9")
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
            client.send_request("10.1.0.1")
        world.run(0.3)
        assert [client.answers for client in clients] == [1] * 60
        assert all(client.resets == 0 for client in clients)

    def test_restarted_agent_regains_its_flows(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        world.kill("10.2.0.2")
        world.run(0.5)
        world.add_agent(
            "10.2.0.2", data_centre="b", seeds=["10.1.0.1"], tracks_all_flows=False
        )
        world.run(2.0)
        for client in clients:
            client.send_request()
        world.run(0.3)
        assert [client.answers for client in clients] == [1] * 40
        assert all(client.resets == 0 for client in clients)

    def test_restarted_agent_regains_its_flows_after_the_clock_was_set_back(self):
        """Guard against judging the upstream's age by its start time alone.

        The upstream's start time is set to 4.5 s after the agent's, as if the clock had
        been set back since. Its report sequence number shows that it is older.
        """
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
            client.send_request()
        world.run(0.3)
        assert [client.answers for client in clients] == [1] * 40
        assert all(client.resets == 0 for client in clients)

    def test_flows_survive_a_restart_of_all_processes(self):
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
            client.send_request()
        world.run(0.5)
        assert [client.answers for client in clients] == [1] * 40
        assert all(client.resets == 0 for client in clients)

    def test_flows_of_a_restarted_upstream_are_reset_at_once(self):
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        host = "10.2.0.1"
        lost_clients = [c for c in clients if find_holder(world, c.flow) == host]
        upstream = world.upstream_by_host[host]
        upstream.restart()
        upstream.report()
        world.run(0.1)
        assert lost_clients
        assert all(client.resets == 1 for client in lost_clients)
        other_clients = [client for client in clients if client not in lost_clients]
        assert all(client.resets == 0 for client in other_clients)

    @pytest.mark.parametrize("seed", range(4))
    def test_message_loss_breaks_no_flow(self, seed):
        world = make_world(agents=5, balancers=3, seed=seed, loss=0.05)
        clients = open_flows(world, 40)
        world.run(2.0)
        opened = [client for client in clients if client.opened]
        world.kill("10.1.0.1")
        world.add_balancer("10.1.0.1", "a", ["10.1.0.2"])
        world.run(1.0)
        for _ in range(6):  # clients repeat a request until it is answered
            for client in opened:
                if not client.answers:
                    client.send_request()
            world.run(0.4)
        assert len(opened) >= 36
        assert all(client.answers for client in opened)
        assert all(client.resets == 0 for client in opened)


class TestPlatformUnavailable:
    def test_new_balancer_gets_routes_from_peers_while_the_store_is_unavailable(self):
        world = make_world()
        world.is_store_unavailable = True
        node = world.add_balancer("10.1.0.9", "a", ["10.1.0.1"])
        world.run(1.0)
        assert node.is_ready
        assert node.routes.revision == 1

    def test_revisions_never_decrease(self):
        world = make_world()
        world.set_routes(make_table(5))
        world.run(1.0)
        world.set_routes(make_table(3))
        world.run(1.0)
        revisions = {node.routes.revision for node in world.node_by_host.values()}
        assert revisions == {5}


def test_route_of_an_address_allows_its_service():
    assert make_table().index()[ADDRESS].allows("board")


class TestLeaving:
    def test_leaving_agent_takes_no_opens_and_keeps_its_flows(self):
        world = make_world(agents=4)
        clients = open_flows(world, 20)
        leaving = "10.2.0.1"
        opens_before = len(world.upstream_by_host[leaving].opens)
        world.feed(leaving, Leave())
        later_clients = open_flows(world, 40)
        for client in clients:
            client.send_request()
        world.run(0.1)
        assert len(world.upstream_by_host[leaving].opens) == opens_before
        assert all(client.opened for client in later_clients)
        assert all(client.answers for client in clients)

    def test_leaving_agent_does_not_announce_that_it_serves_again(self):
        world = make_world(agents=2)
        node = world.node_by_host["10.2.0.1"]
        world.feed("10.2.0.1", Leave())
        world.run(2 * REPORT_PERIOD)
        assert node.registration.own_member.status is Status.DRAINING

    def test_only_agent_takes_opens_while_it_is_leaving(self):
        world = make_world(agents=1)
        world.feed("10.2.0.1", Leave())
        (client,) = open_flows(world, 1)
        assert client.opened

    def test_leaving_agent_may_end_once_no_request_is_running(self):
        world = make_world(agents=1)
        (client,) = open_flows(world, 1)
        node = world.node_by_host["10.2.0.1"]
        client.send_request()
        world.run(0.01)
        world.feed("10.2.0.1", Leave())
        assert not node.may_end(world.now)
        world.run(0.1)
        assert client.answers
        assert node.may_end(world.now)

    def test_agent_may_end_during_a_request_if_its_upstream_is_unreachable(self):
        world = make_world(agents=1)
        (client,) = open_flows(world, 1)
        client.send_request()
        world.run(0.01)
        world.feed("10.2.0.1", UpstreamUnreachable())
        assert world.node_by_host["10.2.0.1"].may_end(world.now)


class TestTwoAcceptances:
    def test_restart_of_an_upstream_that_was_not_chosen_resets_nothing(self):
        """Guard against the reset of a flow that the client uses at another upstream.

        A second upstream accepts a copy of the open after the client has chosen the
        first, and then restarts. Its agent must not reset the client's flow.
        """
        world = make_world(agents=3)
        (client,) = open_flows(world, 1)
        client.send_request()
        world.run(0.1)
        holder = find_holder(world, client.flow)
        other = next(
            host
            for host, node in world.node_by_host.items()
            if host in world.upstream_by_host
            and host != holder
            and node.redirects.find(client.flow, world.now) is None
        )
        datagram = write_packet(client.flow, SYN, 1)
        forwarded = ForwardedPacket(
            1, "board", "10.1.0.1:7600", True, "", (), 3, True, datagram
        )
        node = world.node_by_host[other]
        effects = node.handle_forwarded_packet(forwarded, ("10.1.0.1", 7600), world.now)
        world.perform(other, effects)
        world.run(0.1)
        assert client.flow in world.upstream_by_host[other].flows
        world.upstream_by_host[other].restart()
        world.upstream_by_host[other].report()
        world.run(0.1)
        client.send_request()
        world.run(0.2)
        assert client.resets == 0
        assert client.answers == 2
