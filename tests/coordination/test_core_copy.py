"""Tests of the copies of a core that explanations run on."""

from bilberrypath.coordination.core_copy import copy_core
from tests.support.core_state import describe_state
from tests.support.flow_world import make_world, open_flows


class TestCopyCore:
    def test_copy_has_the_same_state_and_parts_of_its_own(self):
        world = make_world()
        (client,) = open_flows(world, 1)
        for core in world.node_by_host.values():
            copied = copy_core(core, client.flow)
            assert describe_state(copied) == describe_state(core)
            assert copied.routes is not core.routes
            assert copied.rng is not core.rng

    def test_parts_of_the_copy_refer_to_the_copy(self):
        """Guard against a copied part that changes the core that it refers to."""
        agent = make_world().node_by_host["10.2.0.1"]
        copied = copy_core(agent, b"")
        assert copied.upstream.agent is copied
        assert copied.open_handler.target.agent is copied
        assert copied.locator.lost_flows.agent is copied

    def test_draws_the_numbers_that_the_core_draws_next(self):
        agent = make_world().node_by_host["10.2.0.1"]
        copied = copy_core(agent, b"")
        drawn = [copied.placement.rng.random() for _ in range(5)]
        assert [agent.placement.rng.random() for _ in range(5)] == drawn

    def test_only_entries_of_the_flow_and_of_other_processes_are_copied(self):
        """Guard against a copy that takes time for each flow of an agent."""
        world = make_world(agents=2)
        clients = open_flows(world, 20)
        agent = world.node_by_host["10.2.0.1"]
        held = [client.flow for client in clients if agent.flows.get(client.flow)]
        copied = copy_core(agent, held[0])
        same = [copied.flows.get(flow) is agent.flows.get(flow) for flow in held]
        assert same == [False] + [True] * (len(held) - 1)
        peer = "10.2.0.2:7600"
        assert copied.placement.peer_by_id[peer] is not agent.placement.peer_by_id[peer]
