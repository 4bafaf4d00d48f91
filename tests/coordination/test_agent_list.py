"""Tests of the lists of agents that agents of one service keep."""

import msgspec
import pytest

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.peer_agent import MAX_REPORT_AGE
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.state.members import Status
from tests.support.flow_world import FlowWorld, make_world

HOST = "10.2.0.1"


@pytest.fixture
def sent_acks(monkeypatch):
    """Return the acknowledgements of heartbeats that balancers send, as they come."""
    acks = []
    perform = FlowWorld._perform

    def record(world, host, effect):
        if isinstance(effect, fx.SendControl):
            message = effect.message
            if isinstance(message, msg.FlowHeartbeatAck):
                acks.append(message)
        perform(world, host, effect)

    monkeypatch.setattr(FlowWorld, "_perform", record)
    return acks


def list_peers(world, host=HOST):
    return set(world.node_by_host[host].placement.peer_by_id)


def deliver(world, ack, host=HOST):
    """Have an agent handle an acknowledgement that answers a heartbeat of its own."""
    agent = world.node_by_host[host]
    sequence = agent.registration.freshness.start_exchange(world.now)
    answer = msgspec.structs.replace(ack, sequence=sequence)
    world.feed(host, ev.ControlReceived(("10.1.0.1", 7600), answer))


class TestAgentList:
    def test_joining_agent_is_sent_to_others_as_a_change(self, sent_acks):
        world = make_world(agents=30, balancers=3)
        world.run(3.0)
        sent_acks.clear()
        world.add_agent("10.2.0.99", seeds=["10.1.0.1"])
        world.run(4.0)
        for index in range(30):
            assert "10.2.0.99:7600" in list_peers(world, f"10.2.0.{index + 1}")
        joiner = "10.2.0.99:7600"
        acks = [ack for ack in sent_acks if ack.known_record.node_id != joiner]
        assert not any(ack.agents for ack in acks)
        assert max(len(ack.changed_agents) for ack in acks) == 1

    def test_agent_of_an_older_build_is_sent_the_whole_list(self, sent_acks):
        """Guard against an agent that never learns of others, as it skips changes."""
        world = make_world(agents=4)
        world.run(2.0)
        registration = world.node_by_host[HOST].registration
        heartbeat = msg.FlowHeartbeat(
            registration.own_member, 900, 1, registration.agents_digest
        )
        world.add_agent("10.2.0.99", seeds=["10.1.0.1"])
        world.run(2.0)
        sent_acks.clear()
        event = ev.ControlReceived((HOST, 7600), heartbeat)
        world.feed("10.1.0.1", event)
        (ack,) = [ack for ack in sent_acks if ack.sequence == 900]
        assert len(ack.agents) == 5
        assert ack.changed_agents == ()

    def test_changes_to_another_list_are_ignored(self, sent_acks):
        world = make_world(agents=4)
        world.run(2.0)
        agent = world.node_by_host[HOST]
        before, digest = list_peers(world), agent.registration.agents_digest
        gone = msgspec.structs.replace(
            agent.placement.peer_by_id["10.2.0.2:7600"].member, status=Status.LEFT
        )
        ack = msgspec.structs.replace(
            sent_acks[-1],
            agents=None,
            changed_agents=(gone,),
            base_digest=digest + 1,
            agents_digest=5,
        )
        deliver(world, ack)
        world.run(MAX_REPORT_AGE + 0.1)
        assert list_peers(world) == before
        assert agent.registration.agents_digest == digest

    @pytest.mark.parametrize("has_upstream", [True, False])
    def test_agent_that_left_is_no_peer_once_its_reports_are_old(self, has_upstream):
        """Guard against a peer that stays listed since it reported just before the end.

        An agent without an upstream announces its end at once, not a drain, and the
        next list arrives while its last load report is still recent.
        """
        world = make_world(agents=4)
        world.run(2.0)
        if not has_upstream:
            world.upstream_by_host["10.2.0.2"].is_up = False
            world.run(6.0)
        world.feed("10.2.0.2", ev.Leave())
        world.run(0.3)
        world.power_off("10.2.0.2")
        peer = world.node_by_host[HOST].placement.peer_by_id["10.2.0.2:7600"]
        assert not peer.may_take_opens(world.now)
        world.run(8.0)
        assert "10.2.0.2:7600" not in list_peers(world)

    def test_peer_with_recent_reports_is_kept_through_a_mistaken_removal(
        self, sent_acks
    ):
        world = make_world(agents=4)
        world.run(2.0)
        listed = world.node_by_host[HOST].placement.peer_by_id["10.2.0.2:7600"].member
        removed = msgspec.structs.replace(listed, status=Status.LEFT)
        digest = world.node_by_host[HOST].registration.agents_digest
        ack = msgspec.structs.replace(
            sent_acks[-1],
            agents=None,
            changed_agents=(removed,),
            base_digest=digest,
            agents_digest=5,
        )
        deliver(world, ack)
        assert "10.2.0.2:7600" in list_peers(world)

    def test_agent_of_another_service_is_no_peer_at_once(self, sent_acks):
        world = make_world(agents=4)
        world.run(2.0)
        listed = world.node_by_host[HOST].placement.peer_by_id["10.2.0.2:7600"].member
        moved = msgspec.structs.replace(listed, service="photo", version=9)
        digest = world.node_by_host[HOST].registration.agents_digest
        ack = msgspec.structs.replace(
            sent_acks[-1],
            agents=None,
            changed_agents=(moved,),
            base_digest=digest,
            agents_digest=5,
        )
        deliver(world, ack)
        assert "10.2.0.2:7600" not in list_peers(world)
