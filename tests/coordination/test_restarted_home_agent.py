"""Tests of the lookup by a home agent that has restarted."""

from tests.coordination.test_absent_agents import (
    AWAY,
    restart_agents_in_turn,
    restart_balancers,
)
from tests.support.flow_world import count_foreign, find_holder, make_world, open_flows


def make_world_with_answered_flows(agents=5, seed=1):
    world = make_world(agents=agents, seed=seed)
    clients = open_flows(world, 40)
    for client in clients:
        client.send_request()
    world.run(0.3)
    return world, clients


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


def is_foreign(world, client):
    upstreams = world.upstream_by_host.values()
    return any(upstream.foreign[client.flow] for upstream in upstreams)
