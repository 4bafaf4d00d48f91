"""Tests of opens that an agent may have read late, and cannot take."""

import pytest

from bilberrypath.coordination.late_opens import UNTAKEN_OPEN_TTL
from bilberrypath.coordination.pause_detector import (
    BACKLOG_TIME,
    MAX_SURE_WAIT,
    PauseDetector,
)
from bilberrypath.platform.packet_codec import SYN
from bilberrypath.protocol.flow_messages import FlowLocation, ForwardedPacket
from tests.support.flow_world import make_world, write_packet

BALANCER = "10.1.0.1"
HOST = "10.2.0.1"


def make_draining_world():
    """Return a world whose only upstream drains, so that it can take no open."""
    world = make_world(agents=1)
    upstream = world.upstream_by_host[HOST]
    upstream.draining = True
    upstream.report()
    world.run(1.0)
    return world


def give_open(world, client, wants_location=True):
    """Have the agent read an open of a client that a balancer forwarded."""
    forwarded = ForwardedPacket(
        *(1, "board", f"{BALANCER}:7600", wants_location, "", (), 0, False),
        datagram=write_packet(client.flow, SYN, 1),
    )
    agent = world.node_by_host[HOST]
    sender = (BALANCER, 7600)
    effects = agent.handle_forwarded_packet(forwarded, sender, world.now)
    world.perform(HOST, effects)


class TestRefusal:
    @pytest.mark.parametrize("idle_for", [0.0, 0.15])
    def test_reaches_the_client_at_once(self, idle_for):
        """Guard against opens that neither agent nor balancer refuses."""
        world = make_draining_world()
        client = world.make_client()
        world.run(idle_for)
        client.open(BALANCER)
        world.run(0.01)
        assert client.resets == 1

    def test_of_an_open_that_was_not_read_late_comes_from_the_agent(self):
        world = make_draining_world()
        agent = world.node_by_host[HOST]
        for _ in range(8):
            world.run(0.01)
            agent.pause_detector.record(world.now)
        client = world.make_client()
        give_open(world, client)
        world.run(0.001)
        assert client.resets == 1

    def test_comes_from_the_agent_if_no_balancer_waits_for_it(self):
        world = make_draining_world()
        world.run(0.1)
        world.node_by_host[HOST].pause_detector.record(world.now - 0.1)
        client = world.make_client()
        give_open(world, client, wants_location=False)
        world.run(0.001)
        assert client.resets == 1

    def test_is_no_reset_if_the_balancer_has_asked_another_agent(self):
        """Guard against the reset of a flow that the other agent has taken."""
        world = make_world(agents=2)
        balancer = world.node_by_host[BALANCER]
        world.cut.update((BALANCER, f"10.2.0.{number}") for number in (1, 2))
        client = world.make_client()
        client.open(BALANCER)
        world.run(0.1)
        refusal = FlowLocation(client.flow, "", "board", refuses_open=True)
        assert balancer.resolver.handle_location(refusal, world.now) == []

    def test_does_not_make_a_balancer_forget_who_took_the_open(self):
        world = make_world(agents=2)
        client = world.make_client()
        client.open(BALANCER)
        world.run(0.1)
        balancer = world.node_by_host[BALANCER]
        holder = balancer.location_cache.find(client.flow, world.now)
        refusal = FlowLocation(client.flow, "", "board", refuses_open=True)
        balancer._handle_message(refusal, (HOST, 7600), world.now)
        assert holder is not None
        assert balancer.location_cache.find(client.flow, world.now) == holder


class TestDenial:
    def test_of_an_open_whose_refusal_was_left_is_not_certain_for_a_while(self):
        world = make_draining_world()
        client = world.make_client()
        world.run(0.1)
        world.node_by_host[HOST].pause_detector.record(world.now - 0.1)
        give_open(world, client)
        late_opens = world.node_by_host[HOST].open_handler.late_opens
        assert late_opens.may_be_taken(client.flow, world.now)
        assert not late_opens.may_be_taken(client.flow, world.now + UNTAKEN_OPEN_TTL)


class TestPauseDetectorOfShortStalls:
    def test_counts_what_is_read_soon_after_a_time_without_events(self):
        detector = PauseDetector(0.0)
        detector.record(MAX_SURE_WAIT)
        assert not detector.may_have_waited(MAX_SURE_WAIT)
        now = 3 * MAX_SURE_WAIT
        detector.record(now)
        assert detector.may_have_waited(now)
        assert not detector.may_have_waited(now + BACKLOG_TIME)
