"""Tests that lookups of many flows among many agents take few messages."""

from collections import Counter

import pytest

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination.flow_lookup import ActiveLookups, TryCandidates
from bilberrypath.platform.packet_codec import ACK
from bilberrypath.protocol import flow_messages as msg
from tests.support.flow_world import (
    FlowWorld,
    count_foreign,
    find_holder,
    make_world,
    open_flows,
    write_packet,
)

AGENTS = 24
FLOWS = 40


@pytest.fixture
def sent(monkeypatch):
    """Return the number of messages between processes by type."""
    count_by_type = Counter()
    send = FlowWorld._send

    def record(world, host, effect):
        assert isinstance(effect, fx.SendControl)
        count_by_type[type(effect.message)] += 1
        send(world, host, effect)

    monkeypatch.setattr(FlowWorld, "_send", record)
    return count_by_type


def restart_all_processes(world):
    """End all processes beside living upstreams, and start them again."""
    hosts = list(world.node_by_host)
    balancers = [host for host in hosts if host not in world.upstream_by_host]
    centre_by_host = {
        host: upstream.data_centre for host, upstream in world.upstream_by_host.items()
    }
    for host in hosts:
        world.kill(host)
    world.run(0.5)
    for index, host in enumerate(balancers):
        world.add_balancer(host, "abc"[index % 3], balancers)
    for host, data_centre in centre_by_host.items():
        world.add_agent(host, "board", data_centre, balancers, tracks_all_flows=False)
    world.run(2.5)


def forward_request(world, client, host):
    """Have an agent receive a request of a client's flow from a balancer."""
    datagram = write_packet(client.flow, ACK, 2, client.acknowledged, b"request")
    forwarded = msg.ForwardedPacket(
        1, "board", "10.1.0.1:7600", True, "", (), 0, True, datagram
    )
    agent = world.node_by_host[host]
    effects = agent.handle_forwarded_packet(forwarded, ("10.1.0.1", 7600), world.now)
    world.perform(host, effects)


class TestMessagesOfLookups:
    def test_notices_of_a_search_do_not_grow_with_the_square_of_the_agents(self, sent):
        """Guard against a search that notifies all agents it tried at each try.

        After the restart of all processes beside living upstreams, a flow's packet is
        tried at one upstream after the other. Each try told all earlier ones where it
        was: 1.3 million messages for 800 flows and 109 agents.
        """
        world = make_world(agents=AGENTS, balancers=3)
        clients = open_flows(world, FLOWS)
        restart_all_processes(world)
        sent.clear()
        for client in clients:
            client.send_request()
        world.run(2.0)
        assert all(client.resets == 0 for client in clients)
        tries = count_foreign(world) + FLOWS
        assert sent[msg.FlowLocation] <= 3 * tries

    def test_flows_that_are_looked_up_together_share_queries(self, sent):
        """Guard against a query to each agent for each flow of a crowd."""
        world = make_world(agents=AGENTS, balancers=1)
        clients = open_flows(world, FLOWS)
        host = next(iter(world.upstream_by_host))
        agent = world.node_by_host[host]
        agent.redirects.location_by_flow.clear()
        foreign_flows = [
            client for client in clients if find_holder(world, client.flow) != host
        ]
        sent.clear()
        for client in foreign_flows:
            forward_request(world, client, host)
        world.run(0.15)
        assert len(foreign_flows) > FLOWS // 2
        assert all(client.answers == 1 for client in foreign_flows)
        assert sent[msg.FlowQuery] == 2 * (AGENTS - 1)

    def test_candidates_are_tried_in_the_order_of_the_queries(self):
        lookups = ActiveLookups()
        lookup = lookups.begin(None, FlowPacketStub(b"f"), (), ("c:1", "a:1", "b:1"))
        for agent in ("b:1", "a:1", "c:1"):
            reported = agent != "c:1"
            result = lookups.handle_query_reply(
                msg.FlowQueryReply(b"f", "", True, reported), agent
            )
        assert result == TryCandidates(("a:1", "b:1", "c:1"), True)
        assert lookup.pending_ids == set()


class FlowPacketStub:
    def __init__(self, flow):
        self.flow = flow
