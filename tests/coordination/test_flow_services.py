"""Tests of flows that more than one service may have."""

import pytest

from bilberrypath.coordination.flow_resolver import MAX_TRIED_SERVICES, PendingLookup
from bilberrypath.coordination.upstream_monitor import (
    HEARD_AFTER_PERIODS,
    UpstreamMonitor,
)
from bilberrypath.platform.packet_codec import ACK
from bilberrypath.protocol.flow_messages import FlowLocation, ForwardedPacket
from bilberrypath.state.routes import FlowRoute, RouteTable, Target, UpstreamLimits
from tests.support.flow_world import (
    ADDRESS,
    REPORT_PERIOD,
    FlowWorld,
    count_foreign,
    find_holder,
    open_flows,
    write_packet,
)

BALANCERS = ["10.1.0.1", "10.1.0.2"]
BOARD_HOSTS = ["10.2.0.1", "10.2.0.2", "10.2.0.3", "10.2.0.4"]
CANARY_HOSTS = ["10.3.0.1", "10.3.0.2"]
NEW_BALANCER = "10.1.0.9"


def make_split_table(revision, **weight_by_service):
    """Return a table whose route has the given services by weight."""
    targets = tuple(Target(name, weight) for name, weight in weight_by_service.items())
    limits = tuple(UpstreamLimits(name, 2000, 0.0) for name in ("board", "canary"))
    return RouteTable(revision, revision, (FlowRoute(ADDRESS, targets),), limits)


def make_two_service_world(table, seed=1):
    """Return a running world with agents of the services board and canary."""
    world = FlowWorld(seed)
    world.set_routes(table)
    for index, host in enumerate(BALANCERS):
        world.add_balancer(host, "ab"[index], BALANCERS)
    for hosts, service in ((BOARD_HOSTS, "board"), (CANARY_HOSTS, "canary")):
        for index, host in enumerate(hosts):
            world.add_agent(host, service, "ab"[index % 2], BALANCERS)
    world.run(4.0)
    return world


def add_new_balancer(world):
    """Add a balancer that knows the location of no flow."""
    world.add_balancer(NEW_BALANCER, "a", BALANCERS)
    world.run(1.0)


def use_until_answered(world, clients, seconds):
    """Retransmit the request of each client until it is answered or reset."""
    for _ in range(round(seconds / 0.2)):
        for client in clients:
            if not client.answers and not client.resets:
                client.send_request(NEW_BALANCER)
        world.run(0.2)


def restart_agent(world, host, service="board"):
    world.add_agent(host, service, "a", BALANCERS, tracks_all_flows=False)


def restart_all(world):
    """End all processes at once and start them again, beside their upstreams."""
    for host in list(world.node_by_host):
        world.kill(host)
    world.run(0.3)
    for host in BALANCERS:
        world.add_balancer(host, "a", BALANCERS)
    for hosts, service in ((BOARD_HOSTS, "board"), (CANARY_HOSTS, "canary")):
        for host in hosts:
            restart_agent(world, host, service)
    world.run(3.0)


def make_moved_world(count=30):
    """Return a world, and flows of ``board`` whose route now names ``canary``."""
    world = make_two_service_world(make_split_table(1, board=1))
    clients = open_flows(world, count)
    world.set_routes(make_split_table(2, canary=1))
    world.run(2.0)
    return world, clients


def list_held_by(world, clients, hosts):
    return [c for c in clients if find_holder(world, c.flow) in hosts]


class TestSplitRoute:
    def test_flows_are_found_in_the_service_that_has_them(self):
        world = make_two_service_world(make_split_table(1, board=60, canary=40))
        clients = open_flows(world, 40)
        assert list_held_by(world, clients, BOARD_HOSTS)
        assert list_held_by(world, clients, CANARY_HOSTS)
        add_new_balancer(world)
        use_until_answered(world, clients, 1.0)
        assert all(client.answers for client in clients)
        assert all(client.resets == 0 for client in clients)

    def test_uncertain_lookup_in_one_service_does_not_reset_the_flow_in_another(self):
        """Guard against a reset by a service that never had the flow.

        Two agents of the service that has the flows restart, so that its lookups miss
        answers; the other service is certain not to have them.
        """
        world = make_two_service_world(make_split_table(1, board=90, canary=10))
        clients = open_flows(world, 80)
        kept = list_held_by(world, clients, BOARD_HOSTS[:2])
        add_new_balancer(world)
        for host in BOARD_HOSTS[:2]:
            world.kill(host)
        use_until_answered(world, kept, 0.6)
        for host in BOARD_HOSTS[:2]:
            restart_agent(world, host)
        use_until_answered(world, kept, 3.0)
        assert kept
        assert sum(client.resets for client in kept) == 0
        assert all(client.answers for client in kept)

    def test_flow_that_no_service_has_is_reset(self):
        world = make_two_service_world(make_split_table(1, board=60, canary=40))
        clients = open_flows(world, 40)
        lost = list_held_by(world, clients, [BOARD_HOSTS[0], CANARY_HOSTS[0]])
        for host in (BOARD_HOSTS[0], CANARY_HOSTS[0]):
            world.power_off(host)
        add_new_balancer(world)
        use_until_answered(world, lost, 8.0)
        assert lost
        assert all(client.resets for client in lost)

    def test_lost_flow_is_reset_while_agents_try_their_upstreams(self):
        """Guard against a lookup that ends with an agent's guess.

        The agents of both services have just restarted, so that each tries its upstream
        for flows that it does not know.
        """
        world = make_two_service_world(make_split_table(1, board=60, canary=40))
        clients = open_flows(world, 30)
        for hosts, service in ((BOARD_HOSTS, "board"), (CANARY_HOSTS, "canary")):
            for host in hosts:
                world.kill(host)
                restart_agent(world, host, service)
        world.run(3.0)
        lost = clients[:10]
        for client in lost:
            upstream = world.upstream_by_host[find_holder(world, client.flow)]
            del upstream.flows[client.flow]
        add_new_balancer(world)
        use_until_answered(world, clients, 4.0)
        assert all(client.resets for client in lost)
        assert all(client.answers for client in clients[10:])
        assert all(client.resets == 0 for client in clients[10:])

    def test_cached_location_that_was_a_guess_does_not_reset_the_flow(self):
        """Guard against a packet to a wrong cached location that may be reset there."""
        world = make_two_service_world(make_split_table(1, board=60, canary=40))
        clients = open_flows(world, 30)
        kept = list_held_by(world, clients, BOARD_HOSTS)
        add_new_balancer(world)
        balancer = world.node_by_host[NEW_BALANCER]
        for client in kept:
            holder = f"{CANARY_HOSTS[0]}:7600"
            balancer.location_cache.record(client.flow, holder, world.now)
        use_until_answered(world, kept, 2.0)
        assert kept
        assert sum(client.resets for client in kept) == 0
        assert all(client.answers for client in kept)

    def test_returned_flow_that_the_client_did_not_choose_is_not_reset(self):
        """Guard against a reset by one of two services that accepted an open."""
        world = make_two_service_world(make_split_table(1, board=60, canary=40))
        client = list_held_by(world, open_flows(world, 30), BOARD_HOSTS)[0]
        agent = world.node_by_host[CANARY_HOSTS[0]]
        syn_ack = write_packet(client.flow, 0x88, 900, 2, back=True)
        world.perform(CANARY_HOSTS[0], agent.handle_upstream_packet(syn_ack, world.now))
        datagram = write_packet(client.flow, ACK, 2, client.acknowledged, b"x")
        forwarded = ForwardedPacket(
            1, "canary", "10.1.0.1:7600", False, "", (), 0, True, datagram
        )
        sender = ("10.1.0.1", 7600)
        effects = agent.handle_forwarded_packet(forwarded, sender, world.now)
        world.perform(CANARY_HOSTS[0], effects)
        world.run(0.5)
        assert count_foreign(world) == 1
        assert client.resets == 0


class TestUncertainLookups:
    def test_agent_reports_a_packet_that_arrives_while_it_repeats_a_lookup(
        self, monkeypatch
    ):
        """Guard against a balancer that takes a busy agent for an unresponsive one.

        One agent is away, so that the lookup is not certain and is repeated each 0.2 s.
        The second packet of the flow is queued in the repeated lookup.
        """
        sent = []
        send = FlowWorld._send

        def record_and_send(world, host, effect):
            if isinstance(effect.message, FlowLocation) and effect.to[0] == "10.1.0.1":
                sent.append((host, effect.message))
            send(world, host, effect)

        monkeypatch.setattr(FlowWorld, "_send", record_and_send)
        world = make_two_service_world(make_split_table(1, board=1))
        world.kill(BOARD_HOSTS[1])
        host = BOARD_HOSTS[0]
        agent = world.node_by_host[host]
        flow = world.make_client().flow
        forwarded = ForwardedPacket(
            *(1, "board", "10.1.0.1:7600", True, "", (), 0, True),
            datagram=write_packet(flow, ACK, 2, 101, b"x"),
        )
        for wait in (0.26, 0.1):
            effects = agent.handle_forwarded_packet(
                forwarded, ("10.1.0.1", 7600), world.now
            )
            world.perform(host, effects)
            world.run(wait)
        assert agent.locator.lookups.get(flow) is None
        assert sent == [(host, FlowLocation(flow, "", "board", False, ("board",)))] * 2


class TestMovedRoute:
    def test_new_balancer_finds_flows_of_the_service_that_the_route_named_before(self):
        """Guard against a reset by the new service of a route that was moved."""
        world, clients = make_moved_world()
        add_new_balancer(world)
        use_until_answered(world, clients, 1.0)
        assert sum(client.resets for client in clients) == 0
        assert all(client.answers for client in clients)
        assert count_foreign(world) == 0

    def test_flows_stay_whole_before_members_are_known(self):
        """Guard against a reset by a balancer that knows of no former flows yet.

        It learns of the former service from the agents of the new one.
        """
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                UpstreamMonitor, "may_have_former_flows", lambda monitor, now: False
            )
            world, clients = make_moved_world()
            add_new_balancer(world)
            use_until_answered(world, clients, 1.0)
        assert sum(client.resets for client in clients) == 0
        assert all(client.answers for client in clients)

    def test_flows_are_found_after_all_processes_restarted(self):
        """Guard against former services that only processes remember."""
        world, clients = make_moved_world()
        restart_all(world)
        add_new_balancer(world)
        use_until_answered(world, clients, 3.0)
        assert sum(client.resets for client in clients) == 0
        assert all(client.answers for client in clients)

    def test_cached_location_of_a_moved_flow_is_used(self):
        world, clients = make_moved_world()
        for client in clients:
            client.send_request()
        world.run(0.2)
        assert all(client.answers for client in clients)

    def test_open_flows_of_a_route_without_weight_are_found(self):
        """Guard against a lookup that ends as no service takes new flows."""
        world = make_two_service_world(make_split_table(1, board=60, canary=40))
        clients = open_flows(world, 20)
        world.set_routes(make_split_table(2, board=0, canary=0))
        world.run(2.0)
        add_new_balancer(world)
        use_until_answered(world, clients, 1.0)
        assert sum(client.resets for client in clients) == 0
        assert all(client.answers for client in clients)

    def test_lost_flow_of_a_moved_route_is_reset(self):
        world, clients = make_moved_world()
        lost = list_held_by(world, clients, BOARD_HOSTS[:1])
        world.power_off(BOARD_HOSTS[0])
        add_new_balancer(world)
        use_until_answered(world, lost, 8.0)
        assert lost
        assert all(client.resets for client in lost)

    def test_new_flows_go_to_the_new_service_only(self):
        world, clients = make_moved_world()
        new_clients = open_flows(world, 10)
        assert len(list_held_by(world, new_clients, CANARY_HOSTS)) == 10
        assert len(list_held_by(world, clients, BOARD_HOSTS)) == len(clients)

    def test_agents_announce_former_flows_until_these_have_ended(self):
        world, clients = make_moved_world()
        table = world.node_by_host[BALANCERS[0]].members.table
        assert table.list_services_with_former_flows() == ["board"]
        for client in clients:
            client.close()
        world.run(40.0)
        assert table.list_services_with_former_flows() == []

    def test_restarted_agent_announces_that_it_cannot_know_once_its_upstream_reports(
        self,
    ):
        world, _ = make_moved_world()
        world.kill(BOARD_HOSTS[0])
        restart_agent(world, BOARD_HOSTS[0])
        agent = world.node_by_host[BOARD_HOSTS[0]]
        assert not agent.registration.own_member.may_have_former_flows
        world.run(REPORT_PERIOD)
        assert agent.registration.own_member.may_have_former_flows

    def test_agents_that_restarted_with_all_others_reset_nothing_before_these_report(
        self,
    ):
        """Guard against a reset while agents with former flows await their upstreams.

        The upstreams of the former service report 0.1 s before the reports of all are
        due, and no process remembers the former service.
        """
        world, clients = make_moved_world()
        for host in list(world.node_by_host):
            world.kill(host)
        for host in BOARD_HOSTS:
            world.upstream_by_host[host].is_silent = True
        for host in BALANCERS:
            world.add_balancer(host, "a", BALANCERS)
        for hosts, service in ((BOARD_HOSTS, "board"), (CANARY_HOSTS, "canary")):
            for host in hosts:
                restart_agent(world, host, service)
        wait = HEARD_AFTER_PERIODS * REPORT_PERIOD - 0.1
        for _ in range(round(wait / 0.05)):
            for client in clients:
                client.send_request(BALANCERS[0])
            world.run(0.05)
        for host in BOARD_HOSTS:
            world.upstream_by_host[host].is_silent = False
            world.upstream_by_host[host].report()
        for _ in range(10):
            for client in clients:
                if not client.answers:
                    client.send_request(BALANCERS[0])
            world.run(0.2)
        assert sum(client.resets for client in clients) == 0
        assert all(client.answers for client in clients)

    def test_only_a_limited_number_of_services_is_tried_for_one_packet(self):
        world = make_two_service_world(make_split_table(1, board=1))
        balancer = world.node_by_host[BALANCERS[0]]
        services = tuple(f"s{number}" for number in range(2 * MAX_TRIED_SERVICES))
        packet = world.codec.parse_client_packet(
            write_packet(world.make_client().flow, ACK, 2, 101, b"x")
        )
        lookup = PendingLookup(packet, services, world.now)
        lookup.start_round()
        assert lookup.untried_services == list(services[:MAX_TRIED_SERVICES])
        lookup.denied_by.update(lookup.untried_services)
        lookup.start_round()
        assert lookup.untried_services == list(services[MAX_TRIED_SERVICES:])
        assert balancer.resolver.may_reset(packet.flow)
