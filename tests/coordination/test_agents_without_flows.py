"""Tests that an agent without flows does not delay the reset of lost flows.

After a loss of power, an agent beside a server that had left before may start, join,
and vanish with its machine. Its silence is no reason to wait, as it announced that its
upstream has no flows.
"""

import pytest

from bilberrypath.coordination.flow_events import UpstreamUnreachable
from tests.support.flow_world import make_world, open_flows

BALANCERS = ["10.1.0.1", "10.1.0.2"]
VANISHED = "10.2.0.9"


def lose_power(world, hosts):
    """End everything for 0.5 s; upstreams start 50 ms before their agents."""
    for host in [*BALANCERS, *hosts]:
        world.power_off(host)
    world.run(0.5)
    for host in hosts:
        world.upstream_by_host[host].restart()
    world.run(0.05)
    for host in [*BALANCERS, *hosts]:
        world.powered_off.discard(host)
    for host in BALANCERS:
        world.add_balancer(host, "a", BALANCERS)
    for host in hosts:
        world.add_agent(host, seeds=BALANCERS, tracks_all_flows=False)
        world.upstream_by_host[host].report()


def add_agent_without_upstream(world):
    """Start an agent that finds nothing listening at its upstream's address."""
    world.add_agent(VANISHED, seeds=BALANCERS, tracks_all_flows=False)
    world.upstream_by_host[VANISHED].is_up = False
    world.feed(VANISHED, UpstreamUnreachable())


def count_reset(clients):
    return sum(client.resets > 0 for client in clients)


@pytest.fixture
def world():
    return make_world(agents=6)


class TestVanishedAgent:
    def lose_power_with_a_vanished_agent(self, world):
        clients = open_flows(world, 40)
        hosts = sorted(world.upstream_by_host)
        lose_power(world, hosts)
        add_agent_without_upstream(world)
        world.run(0.5)
        world.power_off(VANISHED)
        return clients

    def test_does_not_delay_resets_of_lost_flows(self, world):
        clients = self.lose_power_with_a_vanished_agent(world)
        for client in clients:
            client.send_request()
        world.run(1.5)
        assert count_reset(clients) == len(clients)

    def test_delays_resets_while_its_machine_answers(self, world):
        """A process that ended alone may be back, and its record may be outdated."""
        clients = self.lose_power_with_a_vanished_agent(world)
        world.powered_off.discard(VANISHED)
        for client in clients:
            client.send_request()
        world.run(1.5)
        assert count_reset(clients) < len(clients)


class TestAnnouncement:
    def read_record(self, world, host):
        return world.node_by_host[host].registration.own_member

    def test_is_made_with_the_first_heartbeat_if_nothing_listens(self, world):
        add_agent_without_upstream(world)
        assert self.read_record(world, VANISHED).has_no_flows

    def test_is_taken_back_in_the_record_that_announces_opens(self, world):
        add_agent_without_upstream(world)
        world.upstream_by_host[VANISHED].restart()
        world.upstream_by_host[VANISHED].report()
        record = self.read_record(world, VANISHED)
        assert record.may_take_work
        assert not record.has_no_flows

    def test_is_not_made_beside_an_upstream_that_may_have_flows(self, world):
        world.kill("10.2.0.1")
        world.add_agent("10.2.0.1", seeds=BALANCERS, tracks_all_flows=False)
        assert not self.read_record(world, "10.2.0.1").has_no_flows
        world.run(2.0)
        world.upstream_by_host["10.2.0.1"].draining = True
        world.run(2.0)
        assert not self.read_record(world, "10.2.0.1").has_no_flows
