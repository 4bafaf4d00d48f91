"""Tests of flows whose agent is away, and of what their lookups cost."""

import pytest

from bilberrypath.coordination.events import Leave
from bilberrypath.coordination.flow_effects import SendToUpstream
from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamUnreachable
from bilberrypath.coordination.unproven_losses import RETRY_LIMIT
from bilberrypath.platform.packet_codec import ACK
from bilberrypath.protocol.flow_messages import FlowQueryReply, ForwardedPacket
from tests.coordination.test_absent_agents import (
    AWAY,
    BALANCERS,
    add_restarted_agent,
    assert_whole,
    count_misled,
    make_world_with_flows,
    restart_agents_in_turn,
    restart_balancers,
    use,
)
from tests.coordination.test_flow_services import (
    BOARD_HOSTS,
    list_held_by,
    make_split_table,
    make_two_service_world,
)
from tests.support.flow_model import ModelUpstream
from tests.support.flow_world import find_holder, make_world, open_flows, write_packet

OTHERS = [f"10.2.0.{number}" for number in range(2, 5)]


def restart_at_once(world, hosts, away=0.5, service="board"):
    for host in hosts:
        world.feed(host, Leave())
        world.run(0.02)
        world.kill(host)
    world.run(away)
    for host in hosts:
        world.add_agent(host, service, seeds=BALANCERS, tracks_all_flows=False)


def make_world_with_ignorant_agents(agents=7, seed=1):
    """Return a world in which AWAY is away and no other agent knows all flows."""
    world, clients = make_world_with_flows(agents, seed)
    restart_agents_in_turn(world, range(2, agents + 1))
    world.feed(AWAY, Leave())
    world.kill(AWAY)
    restart_balancers(world)
    world.run(2.0)
    return world, clients


class TestKnowledgeOfAnAbsentAgent:
    def test_outlasts_a_restart_of_all_other_agents_at_once(self):
        world, clients = make_world_with_flows()
        world.feed(AWAY, Leave())
        world.kill(AWAY)
        world.run(8.0)
        restart_at_once(world, OTHERS)
        world.run(3.0)
        use(world, clients, 3.0)
        add_restarted_agent(world, AWAY)
        world.run(1.5)
        assert_whole(world, clients)

    @pytest.mark.parametrize("away", [2.0, 4.0, 6.0])
    def test_outlasts_a_restart_of_all_processes_with_one_late(self, away):
        world, clients = make_world_with_flows()
        for host in list(world.node_by_host):
            world.feed(host, Leave())
        world.run(0.05)
        for host in list(world.node_by_host):
            world.kill(host)
        world.run(0.3)
        for host in BALANCERS:
            world.add_balancer(host, "a", BALANCERS)
        for host in OTHERS:
            add_restarted_agent(world, host)
        use(world, clients, away)
        add_restarted_agent(world, AWAY)
        world.run(1.5)
        assert_whole(world, clients)

    def test_outlasts_restarts_beside_more_absent_agents_than_a_message_names(self):
        world = make_world(agents=30)
        clients = open_flows(world, 120)
        for client in clients:
            client.send_request()
        world.run(0.2)
        gone = [f"10.2.0.{number}" for number in range(1, 25)]
        rest = [f"10.2.0.{number}" for number in range(25, 31)]
        held = [c for c in clients if find_holder(world, c.flow) in gone]
        for host in gone:
            world.feed(host, Leave())
            world.kill(host)
            world.run(0.1)
        world.run(8.0)
        for host in rest:
            restart_at_once(world, [host])
            world.run(2.0)
        restart_balancers(world)
        world.run(2.0)
        known = [world.node_by_host[h].placement.absent.list_ids() for h in rest]
        assert [len(node_ids) for node_ids in known] == [len(gone)] * len(rest)
        use(world, held, 4.0)
        for host in gone:
            add_restarted_agent(world, host)
        world.run(2.0)
        assert_whole(world, held)


class TestForeignPackets:
    def test_of_a_burst_are_two_at_most_while_the_agent_is_away(self):
        world, clients = make_world_with_ignorant_agents()
        since = world.now
        for client in clients:
            for _ in range(4):
                client.send_request(BALANCERS[0])
        world.run(2.0)
        assert count_misled(world, clients, since) == 0

    def test_of_packets_in_flight_are_two_at_most_while_the_agent_is_away(self):
        world, clients = make_world_with_ignorant_agents()
        since = world.now
        for _ in range(4):
            for client in clients:
                client.send_request(BALANCERS[0])
            world.run(0.001)
        world.run(2.0)
        assert count_misled(world, clients, since) == 0

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_are_two_at_most_if_a_balancer_and_agents_end(self, seed):
        """Guard against a limit that is forgotten with the processes that count."""
        world, clients = make_world_with_ignorant_agents(agents=9, seed=seed)
        since = world.now
        for client in clients:
            client.send_request(BALANCERS[0])
        world.run(0.25)
        world.kill(BALANCERS[0])
        ended = [f"10.2.0.{number}" for number in range(2, 6)]
        for host in ended:
            world.feed(host, Leave())
            world.kill(host)
        world.run(0.3)
        for host in ended:
            add_restarted_agent(world, host)
        for delay in (0.05, 0.8):
            for client in clients:
                client.send_request(BALANCERS[1])
            world.run(delay)
        world.run(1.0)
        assert count_misled(world, clients, since) == 0


class TestTriedFlow:
    def test_is_served_after_two_of_its_packets_were_lost(self):
        """Guard against packets that wait for an answer which nothing asks for."""
        world, clients = make_world_with_flows()
        world.kill(AWAY)
        world.run(0.3)
        add_restarted_agent(world, AWAY)
        world.run(1.5)
        restart_balancers(world)
        world.run(1.0)
        upstream = world.upstream_by_host[AWAY]
        upstream.is_silent = True
        for _ in range(2):
            for client in clients:
                client.send_request()
            world.run(0.2)
        upstream.is_silent = False
        assert_whole(world, clients)

    def test_is_served_after_two_acknowledgements(self):
        """Guard against waiting for an answer to packets that have none."""
        world, clients = make_world_with_flows()
        world.kill(AWAY)
        world.run(0.3)
        add_restarted_agent(world, AWAY)
        world.run(0.1)
        for client in clients:
            for _ in range(2):
                packet = write_packet(client.flow, ACK, 9, client.acknowledged)
                world.send_packet(packet, BALANCERS[0])
        world.run(0.5)
        assert_whole(world, clients)


class TestLookups:
    def test_end_within_their_limit_after_the_last_packet(self):
        """Guard against a limit that begins anew with each trial."""
        world, clients = make_world_with_ignorant_agents(agents=16)
        for client in clients:
            client.send_request()
        world.run(RETRY_LIMIT + 1.0)
        count = len(world.decisions)
        world.run(6.0)
        late = [event for event, _, _ in world.decisions[count:]]
        assert late == []


class TestReusedAddress:
    def test_of_an_absent_agent_is_not_asked_for_flows_of_its_service(self):
        """Guard against asking the new owner of an absent agent's address."""
        world = make_two_service_world(make_split_table(1, board=1))
        host = BOARD_HOSTS[0]
        clients = list_held_by(world, open_flows(world, 30), [host])
        world.power_off(host)
        restart_balancers(world)
        world.run(3.0)
        world.powered_off.discard(host)
        upstream = ModelUpstream(world, "u-new", host, "canary", "a")
        upstream.restart()
        world.upstream_by_host[host] = upstream
        world._report_forever(upstream)
        world.add_agent(host, "canary", "a", BALANCERS)
        world.run(3.0)
        restart_at_once(world, [host], service="canary")
        world.run(2.0)
        world.decisions.clear()
        for client in clients:
            client.send_request(BALANCERS[0])
        world.run(5.0)
        assert clients
        asked = [fields.get("to") for _, _, fields in world.decisions]
        assert f"{host}:7600" not in asked
        assert all(client.resets for client in clients)


class TestEndNoticeAfterTheEnd:
    def test_lets_the_agent_end(self):
        """Guard against waiting for the end of an upstream that has ended."""
        world, clients = make_world_with_flows()
        upstream = world.upstream_by_host[AWAY]
        upstream.draining = True
        upstream.report()
        upstream.is_up = False
        world.feed(AWAY, UpstreamUnreachable())
        world.feed(AWAY, UpstreamLeft(upstream.name))
        world.run(1.0)
        assert world.node_by_host[AWAY].may_end(world.now)


class TestAbsentAgentsOfAReply:
    def test_of_another_service_are_not_learned(self):
        world = make_world()
        agent = world.node_by_host[AWAY]
        absent = (("10.9.0.1:7600", 1.0),)
        reply = FlowQueryReply(b"\0" * 12, "", False, True, absent=absent)
        agent.locator.handle_query_reply(reply, "10.9.0.2:7600", world.now)
        assert agent.placement.absent.list_ids() == []

    def test_infinite_absence_does_not_end_a_known_one(self):
        world = make_world()
        agent = world.node_by_host[AWAY]
        agent.placement.absent.record("10.9.0.1:7600", world.now)
        agent.peers.learn_absent((("10.9.0.1:7600", float("inf")),), world.now)
        world.run(0.5)
        assert agent.placement.absent.list_ids() == ["10.9.0.1:7600"]


class TestTrialLimitOfAMessage:
    def test_below_zero_allows_no_trial(self):
        """Guard against a limit that counts from the end of the candidates."""
        world, clients = make_world_with_ignorant_agents(agents=4)
        packet = write_packet(clients[0].flow, ACK, 9, clients[0].acknowledged)
        forwarded = ForwardedPacket(
            1, "board", "10.1.0.1:7600", True, "", (), 0, False, packet, max_trials=-1
        )
        agent = world.node_by_host[OTHERS[0]]
        sender = ("10.1.0.1", 7600)
        effects = agent.handle_forwarded_packet(forwarded, sender, world.now)
        assert not any(isinstance(e, SendToUpstream) for e in effects)


class TestAnnouncedLeave:
    def test_is_known_to_agents_although_the_balancers_end_at_the_same_time(self):
        """Guard against waiting for an agent whose upstream is known to be gone."""
        world, _ = make_world_with_flows()
        upstream = world.upstream_by_host[AWAY]
        upstream.draining = True
        upstream.report()
        world.feed(AWAY, UpstreamLeft(upstream.name))
        upstream.is_up = False
        upstream.flows.clear()
        world.run(0.2)
        world.feed(AWAY, Leave())
        world.run(0.01)
        world.kill(AWAY)
        for host in BALANCERS:
            world.kill(host)
        world.run(0.3)
        for host in BALANCERS:
            world.add_balancer(host, "a", BALANCERS)
        world.run(4.0)
        absent = [
            world.node_by_host[host].placement.absent.list_ids() for host in OTHERS
        ]
        assert absent == [[], [], []]


class TestTriedUpstreamThatIsSilent:
    def test_does_not_keep_the_flow_once_its_own_agent_is_back(self):
        """Guard against packets that wait beside an upstream without the flow."""
        world, clients = make_world_with_ignorant_agents(agents=4)
        for host in OTHERS:
            world.upstream_by_host[host].is_silent = True
        use(world, clients, 0.6)
        add_restarted_agent(world, AWAY)
        world.run(1.5)
        use(world, clients, 3.0)
        assert_whole(world, clients)


class TestMachineThatAnswersAgain:
    def test_is_no_longer_failed(self):
        """Guard against a short cut that makes an absent agent count as failed."""
        world, clients = make_world_with_flows()
        world.feed(AWAY, Leave())
        world.kill(AWAY)
        restart_balancers(world)
        world.run(2.0)
        world.powered_off.add(AWAY)
        use(world, clients[:1], 5.1)
        world.powered_off.discard(AWAY)
        world.run(5.0)
        use(world, clients[1:], 3.0)
        assert [client.resets for client in clients[1:]] == [0] * (len(clients) - 1)


class TestReusedAddressWithoutOtherChanges:
    def test_of_an_absent_agent_is_forgotten(self):
        """Guard against asking another service that has the address now."""
        world = make_two_service_world(make_split_table(1, board=1))
        host = BOARD_HOSTS[0]
        world.power_off(host)
        world.run(10.0)
        world.powered_off.discard(host)
        upstream = ModelUpstream(world, "u-new", host, "canary", "a")
        upstream.restart()
        world.upstream_by_host[host] = upstream
        world._report_forever(upstream)
        world.add_agent(host, "canary", "a", BALANCERS)
        world.run(3.0)
        absent = [world.node_by_host[h].placement.absent for h in BOARD_HOSTS[1:]]
        assert [agents.list_ids() for agents in absent] == [[], [], []]
