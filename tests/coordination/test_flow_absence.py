"""Tests that absence or silence of a process is not taken for a lost flow."""

import asyncio
import itertools
import resource
import time

import pytest
from attrs import Factory, define

from bilberrypath.coordination.events import TICK_PERIOD, Leave
from bilberrypath.coordination.flow_events import UpstreamLeft, UpstreamUnreachable
from bilberrypath.coordination.unresponsive_peers import UnresponsivePeers
from bilberrypath.state.members import Status
from bilberrypath.transport.machine_probe import ProbeResult, probe_address
from tests.coordination.test_flow_services import (
    BALANCERS,
    BOARD_HOSTS,
    CANARY_HOSTS,
    list_held_by,
    make_split_table,
    make_two_service_world,
)
from tests.support import flow_world
from tests.support.flow_model import ModelUpstream
from tests.support.flow_world import (
    find_holder,
    make_world,
    open_flows,
)

REORDER_TIME = 2.0  # seconds; the users' bound
RETRANSMITTED_AT = (0.0, 0.2, 0.6, 1.4)  # seconds after a client's first copy
SEEDS = ["10.1.0.1", "10.1.0.2"]


@define
class Stalled:
    """Stand in for a node or an upstream whose process does not run for a while."""

    real: object
    calls: list = Factory(list)

    def __getattr__(self, name):
        if name in ("handle", "handle_forwarded_packet", "handle_upstream_packet"):
            return lambda *args: self.calls.append((name, args)) or []
        if name == "receive":
            return lambda *args: self.calls.append((name, args))
        if name == "run_due_timers":
            return lambda now: []
        if name == "next_timer_at":
            return lambda: None
        return getattr(self.real, name)


def stall_agent(world, host, seconds):
    """Stop an agent; it then reads what has arrived, first its due timers."""
    stalled = world.node_by_host[host] = Stalled(world.node_by_host[host])

    def go_on():
        node = stalled.real
        world._start(host, node)
        world.perform(host, node.run_due_timers(world.now))
        for name, args in stalled.calls:
            world.perform(host, getattr(node, name)(*args[:-1], world.now))

    world.after(seconds, go_on)


def stall_upstream(world, host, seconds):
    """Stop an upstream; it then reads the packets that have arrived."""
    upstream = world.upstream_by_host[host]
    stalled = world.upstream_by_host[host] = Stalled(upstream)
    upstream.is_silent = True

    def go_on():
        world.upstream_by_host[host] = upstream
        upstream.is_silent = False
        upstream.report()
        for _, args in stalled.calls:
            upstream.receive(*args)

    world.after(seconds, go_on)


def restart_agent(world, host, service="board", away=0.3):
    """End an agent as planned work does, and start it beside its upstream."""
    world.feed(host, Leave())
    world.kill(host)
    world.run(away)
    world.add_agent(host, service, seeds=SEEDS, tracks_all_flows=False)


def retransmit(world, clients, through=None):
    """Send copies of a request as the users' clients do, until it is answered."""
    started_at = world.now
    for delay in RETRANSMITTED_AT:
        world.run(started_at + delay - world.now)
        for client in clients:
            if not client.answers and not client.resets:
                client.send_request(through)
    world.run(1.0)


def count_strayed(world, client):
    """Return the result of :func:`count_between` for a flow in the model."""
    own_host = find_holder(world, client.flow)
    own, foreign = [], []
    for host, upstream in world.upstream_by_host.items():
        times = own if host == own_host else foreign
        times += [a.at for a in upstream.arrivals if a.flow == client.flow]
    return count_between(own, foreign, world.now)


def count_between(own, foreign, now):
    """Return the most foreign packets within a bound in which no own one arrived."""
    own = [float("-inf"), *sorted(own), now]
    strayed = 0
    for previous, following in itertools.pairwise(own):
        if following - previous >= REORDER_TIME:
            between = [at for at in foreign if previous < at < following]
            strayed = max(
                [strayed]
                + [sum(at <= t < at + REORDER_TIME for t in between) for at in between]
            )
    return strayed


def count_resets(clients):
    return sum(client.resets for client in clients)


class TestStatusAnnouncedOnStop:
    """An agent with a silent upstream announces that it left, though flows go on."""

    def stay_away(self, world, host, held):
        """End an agent for 3 s, in which its balancers do not remove it."""
        world.feed(host, Leave())
        world.kill(host)
        world.after(
            3.0, lambda: world.add_agent(host, seeds=SEEDS, tracks_all_flows=False)
        )
        world.run(1.0)
        retransmit(world, held)
        world.run(1.0)

    def test_flows_survive_a_second_restart_before_the_first_report(self):
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        host = "10.2.0.1"
        held = [c for c in clients if find_holder(world, c.flow) == host]
        assert held
        world.run(0.3)
        restart_agent(world, host)
        world.run(0.25)
        assert not world.node_by_host[host].upstream.is_alive
        self.stay_away(world, host, held)
        assert count_resets(held) == 0

    def test_flows_survive_a_restart_during_a_stall_of_the_upstream(self):
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        host = "10.2.0.1"
        held = [c for c in clients if find_holder(world, c.flow) == host]
        assert held
        world.run(0.5)
        stall_upstream(world, host, 0.9)
        for _ in range(17):
            world.make_client().open()
            world.run(0.05)
        assert not world.node_by_host[host].upstream.is_alive
        self.stay_away(world, host, held)
        assert count_resets(held) == 0


class TestProbeOfAnUpstream:
    """A probe that fails for another reason is no sign that nothing listens."""

    def test_probe_during_a_stall_of_the_own_process_is_no_failure(self):
        async def probe():
            server = await asyncio.start_server(
                lambda reader, writer: writer.close(), "127.0.0.1", 0
            )
            address = server.sockets[0].getsockname()
            probing = asyncio.create_task(probe_address(address))
            await asyncio.sleep(0)
            time.sleep(0.7)
            result = await probing
            server.close()
            return result

        assert asyncio.run(probe()) is ProbeResult.ACCEPTED

    def test_probe_without_a_free_descriptor_is_no_failure(self):
        async def probe():
            server = await asyncio.start_server(
                lambda reader, writer: writer.close(), "127.0.0.1", 0
            )
            address = server.sockets[0].getsockname()
            limits = resource.getrlimit(resource.RLIMIT_NOFILE)
            resource.setrlimit(resource.RLIMIT_NOFILE, (3, limits[1]))
            try:
                return await probe_address(address)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)
                server.close()

        assert asyncio.run(probe()) is not ProbeResult.UNREACHABLE


class TestMachineProbes:
    def test_each_of_many_silent_peers_is_probed(self):
        """Guard against counting live machines as failed when many agents restart."""
        peers = UnresponsivePeers()
        node_ids = [f"10.2.0.{n + 1}:7600" for n in range(60)]
        for node_id in node_ids:
            peers.record_timeout(node_id, 0.0)
        for tick in range(1, 30):
            now = tick * TICK_PERIOD
            peers.tick(now)
            for probe in peers.probe_machines(now):
                peers.record_machine_alive(probe.node_id, now)
        assert [n for n in node_ids if peers.has_failed(n, now)] == []


class TestOverdueFirstReport:
    def test_flows_survive_a_stall_of_their_upstream_after_a_restart(self, monkeypatch):
        """Guard against taking a late first report for an upstream without flows."""
        monkeypatch.setattr(flow_world, "REPORT_PERIOD", 0.5)
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        host = "10.2.0.1"
        held = [c for c in clients if find_holder(world, c.flow) == host]
        assert held
        world.run(1.9 - world.now % 0.5)
        restart_agent(world, host, away=0.2)
        world.run(0.35)
        stall_upstream(world, host, 0.9)
        world.run(0.3)
        retransmit(world, held)
        assert count_resets(held) == 0


class TestMachineThatJoins:
    def test_new_machine_resets_no_flow_of_an_agent_that_is_not_listed_yet(self):
        """Guard against the short wait of a machine that started with its upstream."""
        world = make_world(agents=3)
        clients = open_flows(world, 60)
        host, new_host = "10.2.0.1", "10.2.0.9"
        held = [c for c in clients if find_holder(world, c.flow) == host]
        assert held
        world.run(1.0)
        for killed in (*SEEDS, host):
            world.kill(killed)
        world.run(0.3)
        for balancer in SEEDS:
            world.add_balancer(balancer, "a", SEEDS)
        upstream = ModelUpstream(world, "u-new", new_host, "board", "a")
        world.upstream_by_host[new_host] = upstream
        upstream.restart()
        world.add_agent(new_host, seeds=SEEDS, tracks_all_flows=False)
        upstream.report()
        assert world.node_by_host[new_host].upstream.started_together(world.now)
        world.after(
            1.4, lambda: world.add_agent(host, seeds=SEEDS, tracks_all_flows=False)
        )
        world.run(0.8)
        retransmit(world, held)
        assert count_resets(held) == 0


class TestMovedRoute:
    def test_flows_survive_a_restart_of_their_agent_after_that_of_all_others(self):
        """Guard against a proof before the holder's upstream has reported."""
        world = make_two_service_world(make_split_table(1, board=1))
        host = BOARD_HOSTS[0]
        for ended in BOARD_HOSTS[1:]:
            world.upstream_by_host[ended].is_up = False
            world.feed(ended, UpstreamUnreachable())
            world.feed(ended, Leave())
            world.kill(ended)
        world.run(2.0)
        clients = open_flows(world, 20)
        assert list_held_by(world, clients, [host]) == clients
        world.set_routes(make_split_table(2, canary=1))
        world.run(2.0)
        for balancer in BALANCERS:
            world.kill(balancer)
            world.run(0.3)
            world.add_balancer(balancer, "a", BALANCERS)
            world.run(2.0)
        for canary_host in CANARY_HOSTS:
            restart_agent(world, canary_host, "canary")
            world.run(3.0)
        world.run(1.1 - world.now % 1.0)
        restart_agent(world, host)
        world.run(0.3)
        retransmit(world, clients)
        assert count_resets(clients) == 0


class TestStallsAfterARestart:
    """Agents that started after their upstreams are tried for flows of others."""

    def test_packets_do_not_gather_at_a_stalled_upstream(self):
        world = make_world(agents=4)
        clients = open_flows(world, 40)
        stalled_host = "10.2.0.1"
        restart_agent(world, stalled_host)
        world.run(3.0)
        others = [c for c in clients if find_holder(world, c.flow) != stalled_host]
        for balancer in SEEDS:
            world.kill(balancer)
            world.add_balancer(balancer, "a", SEEDS)
        world.run(2.0)
        stall_upstream(world, stalled_host, 0.9)
        retransmit(world, others)
        assert max(count_strayed(world, client) for client in others) < 3
        assert count_resets(others) == 0

    @pytest.mark.parametrize("seconds", [0.08, 0.9])
    def test_packets_are_not_tried_elsewhere_while_the_holder_stalls(self, seconds):
        world = make_world(agents=5)
        clients = open_flows(world, 40)
        holder = "10.2.0.1"
        held = [c for c in clients if find_holder(world, c.flow) == holder]
        assert held
        for host in ("10.2.0.2", "10.2.0.3", "10.2.0.4", "10.2.0.5"):
            restart_agent(world, host)
            world.run(2.0)
        for balancer in SEEDS:
            world.kill(balancer)
            world.add_balancer(balancer, "a", SEEDS)
        world.run(2.0)
        stall_agent(world, holder, seconds)
        retransmit(world, held)
        assert max(count_strayed(world, client) for client in held) < 3
        assert count_resets(held) == 0

    def test_burst_of_a_client_is_not_all_delivered_to_a_foreign_upstream(self):
        world = make_world(agents=3)
        clients = open_flows(world, 40)
        home = "10.2.0.1"
        restart_agent(world, home)
        world.run(3.0)
        for balancer in SEEDS:
            world.kill(balancer)
            world.add_balancer(balancer, "a", SEEDS)
        world.run(2.0)
        others = [c for c in clients if find_holder(world, c.flow) != home]
        for client in others:
            for _ in range(8):
                client.send_request(SEEDS[0])
        world.run(0.2)
        assert max(count_strayed(world, client) for client in others) < 3


class TestOpenReadAfterAStall:
    @pytest.mark.parametrize("seconds", [0.08, 0.4])
    def test_open_flow_is_not_reset_by_an_agent_that_reads_its_open_late(self, seconds):
        """Guard against refusing an old copy of an open that another agent took."""
        world = make_world(agents=1)
        draining_host, new_host = "10.2.0.1", "10.2.0.2"
        draining = world.upstream_by_host[draining_host]
        draining.draining = True
        draining.report()
        world.add_agent(new_host, seeds=SEEDS)
        new_member = world.node_by_host[new_host].registration
        while new_member.own_member.status is not Status.SERVING:
            world.run(0.01)
        world.run(0.01)
        stall_agent(world, draining_host, seconds)
        clients = [world.make_client() for _ in range(20)]
        for client in clients:
            client.open(SEEDS[0])
        world.run(0.3)
        assert all(client.opened for client in clients)
        world.run(0.5)
        assert count_resets(clients) == 0


class TestEndNotice:
    def test_repeated_notice_of_an_earlier_start_resets_no_flow(self):
        """Guard against two copies of a notice that were read after a new start."""
        world = make_world(agents=2)
        host = "10.2.0.1"
        upstream = world.upstream_by_host[host]
        upstream.restart()
        upstream.report()
        clients = open_flows(world, 20)
        held = [c for c in clients if find_holder(world, c.flow) == host]
        assert held
        for client in held:
            client.send_request()
        world.run(0.1)
        for _ in range(2):
            world.feed(host, UpstreamLeft(upstream.name))
        world.run(0.1)
        assert count_resets(held) == 0


class TestClockSetBack:
    def test_flows_survive_a_restart_of_an_agent_whose_clock_was_set_back(self):
        """Guard against an upstream that seems to have started after its agent."""
        world = make_world(agents=3)
        host = "10.2.0.1"
        upstream = world.upstream_by_host[host]
        upstream.restart()
        upstream.started_at += 8000
        upstream.report()
        clients = open_flows(world, 40)
        held = [c for c in clients if find_holder(world, c.flow) == host]
        assert held
        world.run(2.5)
        restart_agent(world, host)
        world.run(2.5)
        retransmit(world, held)
        assert upstream.sequence < 10
        assert count_resets(held) == 0
