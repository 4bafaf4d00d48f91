"""Tests of the lookup by a home agent that has restarted."""

import pytest

from bilberrypath.coordination.flow_effects import PullRoutes
from bilberrypath.coordination.flow_lookup import FlowLookup
from bilberrypath.coordination.query_answers import answer_query
from bilberrypath.coordination.unproven_losses import LATE_AGENT_TIME
from bilberrypath.platform.packet_codec import ACK, SYN
from bilberrypath.protocol.flow_messages import (
    FlowQuery,
    FlowQueryReply,
    ForwardedPacket,
)
from tests.coordination.test_absent_agents import (
    AWAY,
    add_restarted_agent,
    make_world_with_answered_flows,
    restart_agents_in_turn,
    restart_balancers,
)
from tests.coordination.test_flow_absence import stall_agent
from tests.support.flow_world import (
    count_foreign,
    find_holder,
    make_world,
    open_flows,
    write_packet,
)

OTHER = "10.2.0.2:7600"


class TestRestartedHomeAgent:
    def test_asks_the_others_before_it_tries_its_own_upstream(self):
        """Guard against foreign packets of a flow whose holder others know."""
        world, clients = make_world_with_answered_flows()
        held = [c for c in clients if find_holder(world, c.flow) != AWAY]
        restart_agents_in_turn(world, [1])
        restart_balancers(world)
        world.run(2.0)
        for client in held:
            client.send_request()
        world.run(0.5)
        assert count_foreign(world) == 0

    def test_tries_its_own_upstream_first_if_nobody_knows(self):
        """Guard against trials of all others for flows that the home itself took."""
        world, clients = make_world_with_answered_flows()
        restart_agents_in_turn(world, range(1, 6))
        restart_balancers(world)
        world.run(2.0)
        for client in clients:
            client.send_request()
        world.run(0.5)
        at_home = [c for c in clients if c.answers == 2 and not is_foreign(world, c)]
        assert len(at_home) > len(clients) / 4

    def test_tries_no_upstream_while_the_holder_answers_late(self):
        """Guard against trials of a flow whose holder is only busy."""
        world, clients = make_world_with_answered_flows()
        held = [c for c in clients if find_holder(world, c.flow) == "10.2.0.2"]
        for number in (1, 3, 4, 5):
            restart_agents_in_turn(world, [number])
        restart_balancers(world)
        world.run(2.0)
        stall_agent(world, "10.2.0.2", 0.15)
        for client in held:
            client.send_request()
        world.run(1.0)
        assert held
        assert count_foreign(world) == 0

    def test_tries_no_upstream_before_it_knows_another_agent(self):
        """Guard against trials by a process that has just started and asked nobody."""
        world, clients = make_world_with_answered_flows()
        world.kill(AWAY)
        world.run(0.5)
        add_restarted_agent(world, AWAY)
        agent = world.node_by_host[AWAY]
        agent.upstream.health.record_received(world.now)
        packet = write_packet(clients[0].flow, ACK, 2, clients[0].acknowledged)
        forwarded = ForwardedPacket(
            1, "board", "10.1.0.1:7600", True, "", (), 0, False, packet
        )
        sender = ("10.1.0.1", 7600)
        effects = agent.handle_forwarded_packet(forwarded, sender, world.now)
        effects += agent.run_due_timers(world.now + 0.1)
        assert not any(is_relayed(effect) for effect in effects)


class TestAgentThatKnowsNoOther:
    @pytest.fixture
    def agent(self):
        """Return an agent that has restarted beside its upstream, all alone."""
        world = make_world(agents=1)
        world.kill(AWAY)
        world.run(0.5)
        add_restarted_agent(world, AWAY)
        world.run(LATE_AGENT_TIME - 1.0)
        return world.node_by_host[AWAY]

    def is_settled(self, agent, seconds):
        now = agent.started_at + seconds
        return agent.locator.lost_flows.is_agent_list_settled(bytes(12), now)

    def test_is_not_certain_while_others_may_be_known_elsewhere(self, agent):
        """Guard against resets where restarted balancers know only each other."""
        assert not self.is_settled(agent, LATE_AGENT_TIME - 0.5)

    def test_is_certain_later(self, agent):
        assert self.is_settled(agent, LATE_AGENT_TIME)

    def test_is_certain_with_an_absent_agent_that_can_be_asked(self, agent):
        agent.placement.absent.record("10.2.0.2:7600", agent.started_at)
        assert self.is_settled(agent, LATE_AGENT_TIME - 0.5)


class TestOpenThatTwoUpstreamsAccepted:
    @pytest.fixture
    def world(self):
        return make_world(agents=3)

    def open_at_two(self, world):
        """Return the client of a flow at AWAY whose open OTHER accepted as well."""
        clients = open_flows(world, 20)
        client = next(c for c in clients if find_holder(world, c.flow) == AWAY)
        agent = world.node_by_host["10.2.0.2"]
        syn = agent.codec.parse_client_packet(write_packet(client.flow, SYN, 1))
        agent.flows.add(syn, is_confirmed=True, now=world.now)
        client.send_request()
        world.run(0.2)
        return client

    def ask(self, world, host, flow):
        return answer_query(world.node_by_host[host], FlowQuery(flow), world.now)

    def test_is_named_by_the_agent_alone_that_the_client_chose(self, world):
        """Guard against packets to an upstream that the client did not choose."""
        flow = self.open_at_two(world).flow
        assert self.ask(world, AWAY, flow).holder == f"{AWAY}:7600"
        assert self.ask(world, AWAY, flow).unchosen_flows == ()
        assert self.ask(world, "10.2.0.2", flow).holder == ""
        assert self.ask(world, "10.2.0.2", flow).unchosen_flows == (flow,)

    def test_is_found_at_the_agent_that_the_client_chose(self, world):
        client = self.open_at_two(world)
        third = world.node_by_host["10.2.0.3"]
        datagram = write_packet(client.flow, ACK, 2, client.acknowledged, b"request")
        forwarded = ForwardedPacket(
            1, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram
        )
        sender = ("10.1.0.1", 7600)
        third.redirects.forget(client.flow)
        effects = third.handle_forwarded_packet(forwarded, sender, world.now)
        world.perform("10.2.0.3", effects)
        world.run(0.3)
        assert client.answers == 2
        assert count_foreign(world) == 0


class TestLateReply:
    FLOW = bytes(12)
    HOLDER = "10.2.0.3:7600"

    @pytest.fixture
    def agent(self):
        """Return an agent that looks up a flow again, which OTHER has denied."""
        world = make_world()
        agent = world.node_by_host[AWAY]
        packet = agent.codec.parse_client_packet(write_packet(self.FLOW, ACK))
        forwarded = ForwardedPacket(
            1, "board", "10.1.0.1:7600", True, "", (OTHER,), 0, False, packet.datagram
        )
        lookup = FlowLookup([(forwarded, packet)], (OTHER,), set())
        agent.locator.lost_flows.retry_later(lookup, world.now)
        return agent

    def reply(self, agent, holder):
        now = agent.started_at + 4.0
        reply = FlowQueryReply(self.FLOW, holder, may_hold=False)
        agent.locator.handle_query_reply(reply, "10.2.0.4:7600", now)
        return agent.redirects.find(self.FLOW, now)

    def test_names_the_holder_of_a_flow_that_is_looked_up(self, agent):
        assert self.reply(agent, self.HOLDER) == self.HOLDER

    def test_that_names_an_agent_without_the_flow_is_ignored(self, agent):
        """Guard against a stale location that ends the search for a flow."""
        assert self.reply(agent, OTHER) is None

    def test_to_a_running_lookup_is_left_to_it(self, agent):
        agent.locator.lookups.lookup_by_flow[self.FLOW] = FlowLookup([], (), set())
        assert self.reply(agent, self.HOLDER) is None


class TestPacketWithoutABalancer:
    def test_has_newer_routes_pulled_from_its_sender(self):
        """Guard against a pull from an empty address."""
        world = make_world()
        agent = world.node_by_host[AWAY]
        datagram = write_packet(bytes(12), ACK)
        forwarded = ForwardedPacket(
            agent.routes.revision + 1, "board", "", False, "", (), 1, True, datagram
        )
        sender = ("10.2.0.2", 7600)
        effects = agent.handle_forwarded_packet(forwarded, sender, world.now)
        assert [e.peer for e in effects if isinstance(e, PullRoutes)] == [OTHER]


def is_relayed(effect):
    return isinstance(getattr(effect, "message", None), ForwardedPacket)


def is_foreign(world, client):
    upstreams = world.upstream_by_host.values()
    return any(upstream.foreign[client.flow] for upstream in upstreams)
