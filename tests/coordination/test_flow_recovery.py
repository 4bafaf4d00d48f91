"""Tests of flows and opens after restarts, power failures and pauses."""

import pytest

from bilberrypath.coordination.events import Leave, Tick
from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamUnreachable
from bilberrypath.platform.packet_codec import ACK, SYN
from bilberrypath.protocol.flow_messages import ForwardedPacket
from tests.support.flow_world import (
    REPORT_PERIOD,
    count_foreign,
    find_holder,
    make_table,
    make_world,
    open_flows,
    write_packet,
)


class TestAgentStartedSoonAfterItsUpstream:
    """A former agent process may have had opens accepted in between."""

    @pytest.mark.parametrize("gap", [0.2, 0.5, 0.9])
    def test_flows_opened_in_between_are_not_reset(self, gap):
        """Guard against taking both for started together (soak seed 3002)."""
        world = make_world(agents=3)
        upstreams = world.upstream_by_host.values()
        restarted_at = world.now
        for upstream in upstreams:
            upstream.restart()
            upstream.report()
        clients = open_flows(world, 5)
        for host in list(world.upstream_by_host):
            world.kill(host)
        world.run(restarted_at + gap - world.now)
        hosts = [host for host in world.node_by_host]
        for host in hosts:
            world.kill(host)
            world.add_balancer(host, "a", hosts)
        for host in world.upstream_by_host:
            world.add_agent(host, seeds=hosts, tracks_all_flows=False)
        for upstream in upstreams:
            upstream.report()
        for _ in range(8):
            for client in clients:
                client.send_request()
            world.run(0.25)
        assert [client.resets for client in clients] == [0] * 5
        assert all(client.answers > 0 for client in clients)


class TestSilentUpstream:
    HOST = "10.2.0.1"

    def send_opens(self, world, count):
        for _ in range(count):
            world.make_client().open()
            world.run(0.1)

    def make_world_with_flows(self):
        world = make_world(agents=2)
        clients = open_flows(world, 20)
        held = [c for c in clients if find_holder(world, c.flow) == self.HOST]
        assert held
        return world, held

    def test_flows_of_an_upstream_that_is_only_silent_are_kept(self):
        """Guard against giving up the running requests of a paused upstream.

        It neither reports nor answers for five seconds, but its address still takes
        connections. The requests that it runs are answered later.
        """
        world, held = self.make_world_with_flows()
        upstream = world.upstream_by_host[self.HOST]
        upstream.service_time = 6.0
        for client in held:
            client.send_request()
        world.run(0.1)
        upstream.is_silent = True
        self.send_opens(world, 50)
        assert not world.node_by_host[self.HOST].upstream.is_alive
        upstream.is_silent = False
        upstream.report()
        world.run(2.0)
        assert [client.resets for client in held] == [0] * len(held)
        assert all(client.answers == 1 for client in held)

    def test_flows_of_a_silent_upstream_that_is_gone_are_reset(self):
        world, held = self.make_world_with_flows()
        world.upstream_by_host[self.HOST].is_up = False
        self.send_opens(world, 20)
        assert [client.resets for client in held] == [1] * len(held)

    def test_upstream_that_goes_after_a_silence_is_noticed(self):
        world, held = self.make_world_with_flows()
        upstream = world.upstream_by_host[self.HOST]
        upstream.is_silent = True
        world.run(6.0)
        assert sum(client.resets for client in held) == 0
        upstream.is_up = False
        world.run(2.0)
        assert [client.resets for client in held] == [1] * len(held)


class TestEndOfAnAgent:
    def test_agent_waits_for_the_request_of_a_flow_that_was_just_opened(self):
        """Guard against a planned stop between an open and its first data."""
        world = make_world(agents=1)
        agent = world.node_by_host["10.2.0.1"]
        client = world.make_client()
        client.open()
        world.run(0.003)
        assert client.opened
        world.feed("10.2.0.1", Leave())
        assert not agent.may_end(world.now)
        client.send_request()
        world.run(0.003)
        assert not agent.may_end(world.now)
        world.run(0.1)
        assert client.answers == 1
        assert agent.may_end(world.now)


class TestUpstreamThatSeemedGone:
    def test_flows_of_an_older_upstream_are_not_reset(self):
        """Guard against trusting a refused connection more than a report.

        The upstream refused the connection of an agent that was started again, but
        reports that it started long before.
        """
        world = make_world(agents=2)
        clients = open_flows(world, 6)
        host = next(iter(world.upstream_by_host))
        world.kill(host)
        world.add_agent(host, seeds=["10.1.0.1"], tracks_all_flows=False)
        world.feed(host, UpstreamUnreachable())
        world.upstream_by_host[host].report()
        world.run(2.0)
        for client in clients:
            client.send_request()
        world.run(0.5)
        assert [client.resets for client in clients] == [0] * 6
        assert all(client.answers for client in clients)


class TestAfterRestart:
    def restart_everything(self, world, report_delay):
        """Restart all machines; upstreams report after ``report_delay`` seconds."""
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
                world.add_agent(host, seeds=balancers, tracks_all_flows=False)

        def start_reporting(upstream):
            upstream.is_up = True
            upstream.report()

        for upstream in world.upstream_by_host.values():
            world.after(report_delay, lambda u=upstream: start_reporting(u))

    def test_lost_flows_are_reset_before_their_clients_send_again(self):
        """Guard against waiting for a client's next copy to prove a loss.

        All machines start after a loss of power, but half of the upstreams are gone.
        Their agents can not know at first whether others are still to join, and do not
        find the flows that they are home of. The client's next copies come 0.8 and
        1.6 s later, which is past the deadline of most requests.
        """
        world = make_world(agents=6)
        clients = open_flows(world, 30)
        hosts = list(world.node_by_host)
        for host in hosts:
            world.kill(host)
        balancers = [host for host in hosts if host.startswith("10.1.")]
        for host in balancers:
            world.add_balancer(host, "a", balancers)
        for number, (host, upstream) in enumerate(world.upstream_by_host.items()):
            upstream.restart()
            upstream.is_up = number % 2 == 0
            world.add_agent(host, seeds=balancers, tracks_all_flows=False)
            if upstream.is_up:
                upstream.report()
            else:
                world.feed(host, UpstreamUnreachable())
        world.run(0.5)
        for client in clients:
            client.send_request()
        world.run(1.3)
        assert [client.resets for client in clients] == [1] * 30

    @pytest.mark.parametrize("seed", range(1, 7))
    def test_flows_opened_while_agents_join_are_not_reset(self, seed):
        """Guard against a proof among the few agents that are known so far.

        All machines lost power, so that upstreams started with their agents. A flow is
        opened at one agent, and its next packet reaches a home that does not know that
        agent yet (33 such resets in a replay of the large site).
        """
        world = make_world(agents=10, balancers=4, seed=seed)
        hosts = list(world.node_by_host)
        for host in hosts:
            world.kill(host)
        balancers = [host for host in hosts if host.startswith("10.1.")]
        for host in balancers:
            world.add_balancer(host, "a", balancers[:2])

        def start(host, upstream):
            upstream.restart()
            world.add_agent(host, seeds=balancers[:2], tracks_all_flows=False)
            world.after(0.05, upstream.report)

        for host, upstream in world.upstream_by_host.items():
            upstream.is_up = False
            world.after(
                world.rng.uniform(0, 0.5), lambda h=host, u=upstream: start(h, u)
            )
        clients = []
        for _ in range(100):
            client = world.make_client()
            client.request(tries_left=0)
            clients.append(client)
            world.run(0.01)
        world.run(1.0)
        assert [c.resets for c in clients if c.opened] == [0] * sum(
            client.opened for client in clients
        )

    def test_opens_wait_for_the_list_of_agents(self):
        """Guard against refusing an open while the other agents are not known yet.

        An agent whose data centre is out has just started; others could take the open.
        """
        world = make_world(agents=3)
        host = next(iter(world.upstream_by_host))
        data_centre = world.upstream_by_host[host].data_centre
        world.set_routes(make_table(revision=2, out=(data_centre,)))
        world.run(1.0)
        world.kill(host)
        agent = world.add_agent(host, data_centre=data_centre, seeds=["10.1.0.1"])
        agent.routes.adopt_if_newer(world.table)
        world.upstream_by_host[host].report()
        client = world.make_client()
        datagram = write_packet(client.flow, SYN, 1, 2)
        forwarded = ForwardedPacket(
            2, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram
        )
        world.perform(
            host,
            agent.handle_forwarded_packet(forwarded, ("10.1.0.1", 7600), world.now),
        )
        world.run(0.6)
        assert client.resets == 0
        assert client.opened
        assert find_holder(world, client.flow) not in (None, host)

    def test_opens_wait_for_the_first_upstream_reports(self):
        world = make_world(agents=3)
        self.restart_everything(world, report_delay=1.0)
        world.run(0.9)
        clients = [world.make_client() for _ in range(20)]
        for client in clients:
            client.open()
        world.run(0.15)
        assert all(client.resets == 0 for client in clients)
        assert all(client.opened for client in clients)
        held_count = sum(len(u.flows) for u in world.upstream_by_host.values())
        assert held_count == 20

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_balancer_that_starts_before_its_seeds_joins_soon_after(self, seed):
        world = make_world(agents=3, seed=seed)
        seeds = ["10.1.0.1", "10.1.0.2"]
        for host in list(world.node_by_host):
            world.kill(host)
        early_balancer = world.add_balancer("10.1.0.9", "a", seeds)
        world.run(0.4)
        for host in seeds:
            world.add_balancer(host, "a", seeds)
        for n in range(3):
            world.add_agent(f"10.2.0.{n + 1}", seeds=seeds, tracks_all_flows=False)
        world.run(0.7)
        assert early_balancer.is_ready
        assert len(early_balancer.members.table.list_agents("board")) == 3

    def test_open_is_dropped_if_no_upstream_reports(self):
        world = make_world(agents=3)
        self.restart_everything(world, report_delay=30.0)
        world.run(2.0)
        client = world.make_client()
        client.open()
        world.run(2.0)
        assert not client.opened
        queued_opens = [
            node.open_handler._queued_open_by_flow
            for host, node in world.node_by_host.items()
            if host.startswith("10.2.")
        ]
        assert not any(queued_opens)

    def test_flows_are_reset_after_a_power_failure(self):
        world = make_world(agents=5)
        clients = open_flows(world, 20)
        self.restart_everything(world, report_delay=0.3)
        world.run(1.8)
        for client in clients:
            client.send_request()
        world.run(0.1)
        assert all(client.resets == 1 for client in clients)

    def test_flows_are_reset_within_1_s_after_a_power_failure(self):
        """Check a reset before the list of agents has settled, which takes 1 s.

        All machines started together 0.8 s ago. An upstream that started with its agent
        shows that the other upstreams have no older flows either.
        """
        world = make_world(agents=5)
        clients = open_flows(world, 20)
        world.run(2.0)
        self.restart_everything(world, report_delay=0.3)
        world.run(0.8)
        for client in clients:
            client.send_request()
        world.run(0.1)
        assert all(client.resets == 1 for client in clients)

    def test_flows_of_live_upstreams_survive_a_staggered_restart_of_all_processes(self):
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
                lambda h=host: world.add_agent(
                    h, seeds=balancers, tracks_all_flows=False
                ),
            )
        for _ in range(20):
            world.run(0.2)
            for client in clients:
                if not client.answers:
                    client.send_request()
        world.run(0.2)
        assert all(client.resets == 0 for client in clients)
        assert all(client.answers for client in clients)

    def test_agent_without_a_list_of_agents_resets_nothing(self):
        world = make_world(agents=3)
        clients = open_flows(world, 20)
        world.kill("10.2.0.1")
        world.add_agent("10.2.0.1", seeds=[], tracks_all_flows=False)
        world.run(2.0)
        node = world.node_by_host["10.2.0.1"]
        for client in clients:
            datagram = write_packet(client.flow, ACK, 2, 101, b"x")
            forwarded = ForwardedPacket(
                1, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram
            )
            effects = node.handle_forwarded_packet(
                forwarded, ("10.1.0.1", 7600), world.now
            )
            world.perform("10.2.0.1", effects)
        world.run(0.2)
        assert all(client.resets == 0 for client in clients)

    def test_flows_of_live_upstreams_are_found_while_an_upstream_is_unreachable(self):
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        dead = "10.2.0.1"
        other_clients = [c for c in clients if find_holder(world, c.flow) != dead]
        for host in list(world.node_by_host):
            world.kill(host)
        world.upstream_by_host[dead].is_up = False
        world.run(0.3)
        world.add_balancer("10.1.0.1", "a", ["10.1.0.1"])
        for n in range(3):
            world.add_agent(
                f"10.2.0.{n + 1}", seeds=["10.1.0.1"], tracks_all_flows=False
            )
        world.run(4.5)
        for client in other_clients:
            client.send_request()
        for _ in range(20):
            world.run(0.01)
            world.feed(dead, UpstreamUnreachable())
        assert other_clients
        assert all(client.answers for client in other_clients)

    def test_lookup_with_an_incomplete_list_of_agents_causes_no_reset(self):
        """Guard against a reset by the last candidate of an incomplete lookup.

        An agent that started 0.6 s ago does not list the holder. It relays the packet
        to the only other agent, whose upstream returns it. That agent must not reset
        the flow, as the holder was not queried.
        """
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        other, holder, querying = "10.2.0.1", "10.2.0.2", "10.2.0.3"
        kept_clients = [c for c in clients if find_holder(world, c.flow) == holder]
        seeds = ["10.1.0.1", "10.1.0.2"]
        for host in (other, holder):
            world.kill(host)
            world.run(0.3)
            world.add_agent(host, seeds=seeds, tracks_all_flows=False)
        world.run(3.0)
        world.kill(querying)
        world.run(0.3)
        world.add_agent(querying, seeds=seeds, tracks_all_flows=False)
        world.run(0.6)
        node = world.node_by_host[querying]
        del node.placement.peer_by_id[f"{holder}:7600"]
        for client in kept_clients:
            datagram = write_packet(client.flow, ACK, 2, client.acknowledged, b"x")
            forwarded = ForwardedPacket(
                1, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram
            )
            effects = node.handle_forwarded_packet(
                forwarded, ("10.1.0.1", 7600), world.now
            )
            world.perform(querying, effects)
        world.run(0.1)
        assert kept_clients
        assert all(client.resets == 0 for client in kept_clients)

    def restart_with_a_dead_upstream(self, world, dead):
        """Restart all processes while the upstream on host ``dead`` is down."""
        hosts = [host for host in world.node_by_host if host.startswith("10.2.")]
        for host in list(world.node_by_host):
            world.kill(host)
        world.upstream_by_host[dead].is_up = False
        world.run(0.3)
        balancers = ["10.1.0.1", "10.1.0.2"]
        for host in balancers:
            world.add_balancer(host, "a", balancers)
        for host in hosts:
            world.add_agent(host, seeds=balancers, tracks_all_flows=False)
        world.run(1.2)

    def test_flows_of_live_upstreams_are_found_despite_a_dead_upstream(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        dead = "10.2.0.1"
        other_clients = [c for c in clients if find_holder(world, c.flow) != dead]
        self.restart_with_a_dead_upstream(world, dead)
        for client in other_clients:
            client.send_request()
        world.run(0.3)
        assert other_clients
        assert all(client.answers for client in other_clients)

    def test_flows_of_a_dead_upstream_are_reset_once_its_first_report_is_overdue(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        dead = "10.2.0.1"
        lost_clients = [c for c in clients if find_holder(world, c.flow) == dead]
        self.restart_with_a_dead_upstream(world, dead)
        for client in lost_clients:
            client.send_request()
        world.run(2 * REPORT_PERIOD)
        assert lost_clients
        assert all(client.resets == 1 for client in lost_clients)

    def test_flows_of_agents_that_start_late_are_not_reset(self):
        world = make_world(agents=5)
        clients = open_flows(world, 20)
        hosts = list(world.node_by_host)
        for host in hosts:
            world.kill(host)
        balancers = [host for host in hosts if host.startswith("10.1.")]
        for host in balancers:
            world.add_balancer(host, "a", balancers)
        for number, host in enumerate(hosts[len(balancers) :]):
            world.add_agent(host, seeds=balancers, tracks_all_flows=False)
            world.run(0.15)
            for client in clients:
                client.send_request()
            assert number < 5
        world.run(0.5)
        for client in clients:
            client.send_request()
        world.run(0.5)
        assert all(client.resets == 0 for client in clients)
        assert all(client.answers for client in clients)

    def test_end_notice_without_a_drain_resets_nothing(self):
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

    def test_end_notice_after_a_drain_resets_the_remaining_flows(self):
        world = make_world(agents=2)
        clients = open_flows(world, 10)
        upstream = world.upstream_by_host["10.2.0.1"]
        lost_clients = [c for c in clients if c.flow in upstream.flows]
        upstream.draining = True
        upstream.report()
        world.feed("10.2.0.1", UpstreamLeft(upstream.name))
        upstream.is_up = False
        world.run(0.1)
        assert all(client.resets == 1 for client in lost_clients)


class TestUnresponsiveAgents:
    """An agent has failed after 3.5 s of silence unless its machine answers probes."""

    def test_flows_of_an_agent_on_a_failed_machine_are_reset(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        failed_host = "10.2.0.1"
        lost_clients = [c for c in clients if find_holder(world, c.flow) == failed_host]
        world.power_off(failed_host)
        world.add_balancer("10.1.0.9", "a", ["10.1.0.1"])
        world.run(0.8)
        for _ in range(16):
            for client in lost_clients:
                client.send_request("10.1.0.9")
            world.run(0.3)
        assert lost_clients
        assert all(client.resets for client in lost_clients)
        for client in set(clients) - set(lost_clients):
            client.send_request("10.1.0.9")
        world.run(0.2)
        assert all(c.answers for c in set(clients) - set(lost_clients))

    def test_flows_of_an_agent_that_is_down_on_a_live_machine_are_not_reset(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        killed_host = "10.2.0.1"
        kept_clients = [c for c in clients if find_holder(world, c.flow) == killed_host]
        world.kill(killed_host)
        world.add_balancer("10.1.0.9", "a", ["10.1.0.1"])
        for _ in range(18):
            world.run(0.3)
            for client in kept_clients:
                client.send_request("10.1.0.9")
        world.add_agent(killed_host, seeds=["10.1.0.1"], tracks_all_flows=False)
        for _ in range(4):
            world.run(0.5)
            for client in kept_clients:
                if not client.answers:
                    client.send_request("10.1.0.9")
        world.run(0.2)
        assert kept_clients
        assert all(client.resets == 0 for client in kept_clients)
        assert all(client.answers for client in kept_clients)


class TestPauses:
    def test_agent_drops_opens_that_waited_through_its_pause(self):
        world = make_world(agents=3)
        paused = world.node_by_host["10.2.0.1"]
        delayed = []
        handle_packet = paused.handle_forwarded_packet
        paused.handle_forwarded_packet = lambda *args: delayed.append(args[:2]) or []
        handle_event = paused.handle
        paused.handle = lambda event, now: []
        clients = open_flows(world, 30)
        world.run(1.0)
        paused.handle_forwarded_packet, paused.handle = handle_packet, handle_event
        opens_before = len(world.upstream_by_host["10.2.0.1"].opens)
        for forwarded, sender in delayed:
            world.perform(
                "10.2.0.1", paused.handle_forwarded_packet(forwarded, sender, world.now)
            )
        world.run(0.2)
        assert delayed
        assert len(world.upstream_by_host["10.2.0.1"].opens) == opens_before
        assert all(client.opened for client in clients)
        for client in clients:
            client.send_request()
        world.run(0.2)
        assert all(client.answers for client in clients)
        assert count_foreign(world) == 0

    def test_tentative_flow_is_not_reset_when_the_upstream_restarts(self):
        """Guard against the reset of a flow that another upstream holds.

        A restarted agent delivers packets of unknown flows tentatively to its upstream,
        which does not answer them and then restarts.
        """
        world = make_world(agents=2)
        clients = open_flows(world, 20)
        host = "10.2.0.1"
        other_clients = [c for c in clients if find_holder(world, c.flow) != host]
        world.kill(host)
        world.run(0.3)
        world.add_agent(host, seeds=["10.1.0.1"], tracks_all_flows=False)
        world.run(1.5)
        upstream = world.upstream_by_host[host]
        upstream.is_silent = True
        node = world.node_by_host[host]
        for client in other_clients:
            datagram = write_packet(client.flow, ACK, 2, 101, b"x")
            forwarded = ForwardedPacket(
                1, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram
            )
            effects = node.handle_forwarded_packet(
                forwarded, ("10.1.0.1", 7600), world.now
            )
            world.perform(host, effects)
        world.run(0.1)
        upstream.restart()
        upstream.report()
        world.run(0.5)
        assert other_clients
        assert all(client.resets == 0 for client in other_clients)

    def test_flows_of_a_paused_agent_are_not_reset_by_other_agents(self):
        """Guard against a lookup that counts a missing reply as a denial.

        The agent does not run for 3 s, while a new balancer without cached locations
        has its flows looked up.
        """
        world = make_world(agents=4)
        clients = open_flows(world, 30)
        paused = world.node_by_host["10.2.0.1"]
        world.kill("10.2.0.1")
        world.add_balancer("10.1.0.9", "a", ["10.1.0.1"])
        for _ in range(10):
            world.run(0.3)
            for client in clients:
                if not client.answers:
                    client.send_request("10.1.0.9")
        world.node_by_host["10.2.0.1"] = paused
        paused.pause_detector.record(world.now)
        for _ in range(3):
            world.run(0.5)
            for client in clients:
                if not client.answers:
                    client.send_request("10.1.0.9")
        world.run(0.5)
        assert all(client.resets == 0 for client in clients)
        assert all(client.answers for client in clients)

    def test_peers_do_not_count_as_failed_after_a_pause_of_the_agent(self):
        world = make_world(agents=2)
        node = world.node_by_host["10.2.0.1"]
        peer = "10.2.0.2:7600"
        node.unresponsive_peers.record_timeout(peer, world.now)
        node.handle(Tick(), world.now + 5.0)
        assert not node.unresponsive_peers.has_failed(peer, world.now + 5.0)
