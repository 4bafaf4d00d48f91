"""Tests of the transfer of flow locations when agents restart as planned."""

import pytest

from bilberrypath.coordination.events import ControlReceived, Leave
from bilberrypath.coordination.flow_events import Ending
from bilberrypath.coordination.location_transfers import (
    CONFIRM_TIMEOUT,
    TRANSFER_FANOUT,
)
from bilberrypath.platform.packet_codec import ACK
from bilberrypath.protocol.flow_messages import LocationTransfer
from tests.coordination.test_absent_agents import (
    AWAY,
    add_restarted_agent,
    assert_whole,
    count_misled,
    make_world_with_answered_flows,
    restart_agents_in_turn,
    restart_balancers,
    use,
)
from tests.support.flow_world import (
    count_foreign,
    find_holder,
    make_world,
    open_flows,
    write_packet,
)

OTHER = "10.2.0.2"
THIRD = "10.2.0.3:7600"
FLOW = bytes(12)


def end_as_planned(world, host):
    """End a process as after SIGTERM: it announces its end, drains and exits."""
    world.feed(host, Leave())
    world.run(0.05)
    world.feed(host, Ending())
    world.kill(host)


def receive_transfer(world, locations=(), trials=(), service="board", sender=OTHER):
    """Have AWAY receive what an agent at its end states."""
    message = LocationTransfer(service, 0, tuple(locations), tuple(trials))
    world.feed(AWAY, ControlReceived((sender, 7600), message))


class TestLocationsAtAPlannedEnd:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_outlast_restarts_of_all_agents_and_balancers(self, seed):
        """Guard against locations that end with the processes that know them."""
        world, clients = make_world_with_answered_flows(agents=7, seed=seed)
        hosts = [f"10.2.0.{number}" for number in range(1, 8)]
        for _ in range(2):
            for pair in (hosts[:2], hosts[2:4], hosts[4:6], hosts[6:]):
                for host in pair:
                    end_as_planned(world, host)
                world.run(1.0)
                for host in pair:
                    add_restarted_agent(world, host)
                world.run(1.2)
            restart_balancers(world)
            world.run(2.0)
            use(world, clients, 0.6)
        assert_whole(world, clients)
        assert count_misled(world, clients, 0.0) == 0
        assert count_foreign(world) == 0

    def test_are_kept_while_the_holder_is_away(self):
        world, clients = make_world_with_answered_flows()
        held = [c for c in clients if find_holder(world, c.flow) == AWAY]
        end_as_planned(world, AWAY)
        restart_balancers(world)
        for number in range(2, 6):
            end_as_planned(world, f"10.2.0.{number}")
            world.run(0.5)
            add_restarted_agent(world, f"10.2.0.{number}")
            world.run(1.0)
        for client in held:
            client.send_request()
        world.run(1.0)
        assert count_foreign(world) == 0
        add_restarted_agent(world, AWAY)
        world.run(1.5)
        assert_whole(world, held)

    def test_include_flows_that_opened_while_the_agent_drained(self):
        world, _ = make_world_with_answered_flows(agents=2)
        world.feed(AWAY, Leave())
        world.run(0.05)
        clients = open_flows(world, 20)
        for client in clients:
            client.send_request()
        world.run(0.3)
        world.feed(AWAY, Ending())
        world.kill(AWAY)
        world.run(0.1)
        held = [c for c in clients if find_holder(world, c.flow) == AWAY]
        redirects = world.node_by_host[OTHER].redirects
        holders = {redirects.find(c.flow, world.now) for c in held}
        assert holders <= {f"{AWAY}:7600"}

    def test_are_sent_once_to_few_agents(self):
        """Guard against messages that grow with the size of the service."""
        world, _ = make_world_with_answered_flows(agents=8)
        agent = world.node_by_host[AWAY]
        first = agent.handle(Leave(), world.now)
        again = agent.handle(Ending(), world.now)
        recipients = [e.to for e in first if is_transfer(e)]
        assert len(set(recipients)) == TRANSFER_FANOUT
        assert not any(is_transfer(effect) for effect in again)

    def test_leave_out_flows_of_an_upstream_that_is_gone(self):
        world, clients = make_world_with_answered_flows()
        held = [c.flow for c in clients if find_holder(world, c.flow) == AWAY]
        agent = world.node_by_host[AWAY]
        agent.upstream.is_gone = True
        sent = [e.message for e in agent.handle(Leave(), world.now) if is_transfer(e)]
        named = {flow for message in sent for flow, _, _ in message.locations}
        assert named.isdisjoint(held)

    def test_reach_agents_that_live_although_most_others_have_just_ended(self):
        """Guard against locations that are sent to processes that are gone."""
        world, clients = make_world_with_answered_flows(agents=8)
        held = [c.flow for c in clients if find_holder(world, c.flow) == AWAY]
        for number in range(2, 7):
            world.kill(f"10.2.0.{number}")
        world.feed(AWAY, Leave())
        world.run(0.6)
        assert held
        for host in ("10.2.0.7", "10.2.0.8"):
            redirects = world.node_by_host[host].redirects
            assert {redirects.find(flow, world.now) for flow in held} == {
                f"{AWAY}:7600"
            }

    def test_keep_the_process_until_they_are_acknowledged(self):
        world, _ = make_world_with_answered_flows()
        agent = world.node_by_host[AWAY]
        world.feed(AWAY, Leave())
        assert not agent.may_end(world.now)
        world.run(0.01)
        assert agent.may_end(world.now)

    def test_that_changed_while_it_drained_keep_the_process_too(self):
        """Guard against a flow that opens just before its agent ends."""
        world, clients = make_world_with_answered_flows()
        agent = world.node_by_host[AWAY]
        world.feed(AWAY, Leave())
        world.run(0.05)
        assert agent.may_end(world.now)
        held = next(c for c in clients if find_holder(world, c.flow) != AWAY)
        packet = write_packet(held.flow, ACK, 101, 2, b"answer", back=True)
        world.perform(AWAY, agent.handle_upstream_packet(packet, world.now))
        world.feed(AWAY, Ending())
        assert not agent.may_end(world.now)
        world.run(0.01)
        assert agent.may_end(world.now)

    def test_keep_the_process_for_a_limited_time(self):
        world, _ = make_world_with_answered_flows()
        agent = world.node_by_host[AWAY]
        for number in range(2, 6):
            world.kill(f"10.2.0.{number}")
        world.feed(AWAY, Leave())
        world.run(CONFIRM_TIMEOUT - 0.1)
        assert not agent.may_end(world.now)
        world.run(0.2)
        assert agent.may_end(world.now)


def is_transfer(effect):
    return isinstance(getattr(effect, "message", None), LocationTransfer)


class TestReceivedLocation:
    @pytest.fixture
    def world(self):
        return make_world()

    def find(self, world):
        location = world.node_by_host[AWAY].redirects.location_by_flow.get(FLOW)
        return None if location is None else location.holder

    def test_is_used(self, world):
        receive_transfer(world, [(FLOW, THIRD, 1.0)])
        assert self.find(world) == THIRD

    @pytest.mark.parametrize(
        ("stated", "expected"),
        [
            pytest.param(f"{OTHER}:7600", f"{OTHER}:7600", id="by the holder itself"),
            pytest.param("10.2.0.4:7600", THIRD, id="by another agent"),
        ],
    )
    def test_replaces_a_newer_one_if_its_holder_states_it(
        self, world, stated, expected
    ):
        world.node_by_host[AWAY].redirects.record(FLOW, THIRD, world.now)
        receive_transfer(world, [(FLOW, stated, 1.0)])
        assert self.find(world) == expected

    @pytest.mark.parametrize("idle_time", [-1.0, 61.0, float("nan"), float("inf")])
    def test_with_an_impossible_time_is_ignored(self, world, idle_time):
        receive_transfer(world, [(FLOW, THIRD, idle_time)])
        assert self.find(world) is None

    def test_of_another_service_is_ignored(self, world):
        receive_transfer(world, [(FLOW, THIRD, 1.0)], service="photo")
        assert self.find(world) is None
        assert world.counts["location_transfer_dropped", "other_service"] == 1


class TestTrials:
    def test_include_a_packet_that_an_upstream_with_the_open_alone_returned(self):
        """Guard against a third foreign packet where two upstreams accepted an open."""
        world, clients = make_world_with_answered_flows()
        client = next(c for c in clients if find_holder(world, c.flow) != AWAY)
        agent = world.node_by_host[AWAY]
        datagram = write_packet(client.flow, ACK, 2, client.acknowledged)
        packet = agent.codec.parse_client_packet(datagram)
        held = agent.flows.add(packet, is_confirmed=True, now=world.now)
        agent.locator.handle_returned(packet, held, world.now)
        assert agent.locator.memory.trials.count_left(client.flow, world.now) == 1

    def test_that_another_agent_counted_limit_those_of_this_one(self):
        """Guard against a limit that each home agent of a flow begins anew."""
        world, clients = make_world_with_answered_flows()
        held = [c for c in clients if find_holder(world, c.flow) == AWAY]
        restart_agents_in_turn(world, range(2, 6))
        world.kill(AWAY)
        restart_balancers(world)
        world.run(2.0)
        for client in held:
            world.node_by_host[OTHER].locator.memory.trials.record(
                client.flow, 2, world.now
            )
            client.send_request()
        world.run(1.0)
        assert held
        assert count_foreign(world) == 0

    def test_are_transferred(self):
        world = make_world()
        receive_transfer(world, trials=[(FLOW, 0.5), (FLOW, 0.6)])
        trials = world.node_by_host[AWAY].locator.memory.trials
        assert trials.count_left(FLOW, world.now) == 0
        assert trials.count_left(FLOW, world.now + 2.1) == 2

    @pytest.mark.parametrize("age", [-1.0, float("nan")])
    def test_with_an_impossible_age_are_ignored(self, age):
        world = make_world()
        receive_transfer(world, trials=[(FLOW, age)])
        trials = world.node_by_host[AWAY].locator.memory.trials
        assert trials.count_left(FLOW, world.now) == 2
