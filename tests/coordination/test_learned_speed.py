"""Tests of what agents do with the measured speeds of their upstreams."""

import math
from random import Random

import msgspec
import pytest

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import events as ev
from bilberrypath.coordination.held_flows import HeldFlows
from bilberrypath.coordination.open_placement import OpenPlacement
from bilberrypath.coordination.peer_agent import MAX_SPEED_AGE
from bilberrypath.coordination.placement_constraints import (
    OwnLoad,
    PlacementConstraints,
)
from bilberrypath.load.upstream_speed import SpeedEstimate
from bilberrypath.platform.packet_codec import ACK, FIN, RST, SYN, PlatformPacketCodec
from bilberrypath.protocol.control import ControlStruct
from bilberrypath.protocol.flow_messages import (
    LoadReport,
    decode_flow_message,
    encode_flow_message,
)
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.state.members import Member, Role, Status
from bilberrypath.state.route_terms import RouteTerms
from bilberrypath.state.routes import FlowRoute, Target
from tests.support.flow_world import ADDRESS, make_table, make_world, write_packet

CODEC = PlatformPacketCodec()
FLOW = pack_flow_key(("100.64.0.7", 40001), ADDRESS)
OWN_ID = "10.0.0.1:7600"


class OldLoadReport(ControlStruct, tag=24):
    """A load report of a build without learned speeds."""

    revision: int
    service: str
    may_take_opens: bool
    utilization: float
    slots: int
    absent: tuple[tuple[str, float], ...] = ()


def make_report(service_time, utilization=0.5, confidence=100):
    return LoadReport(1, "board", True, utilization, 2, (), service_time, confidence)


def make_estimate(service_time, confidence=1.0):
    return SpeedEstimate(service_time, confidence, 0.0, 2.0, None)


def find_own_speed(node, world):
    return node.flows.speed.estimate(world.now)


def request_often(world, client, count, gap=0.1):
    for _ in range(count):
        client.send_request()
        world.run(gap)


class TestHeldFlows:
    def make_held(self, find_terms=None):
        flows = HeldFlows(find_terms=find_terms)
        packet = CODEC.parse_client_packet(write_packet(FLOW, SYN, 1))
        return flows, flows.add(packet, is_confirmed=True, now=0.0)

    def send(self, flows, held, now, sequence=2):
        packet = write_packet(FLOW, ACK, sequence, 0, b"request")
        flows.record_client_packet(held, CODEC.parse_client_packet(packet), now)

    def answer(self, flows, held, now, flags=ACK, data=b"answer", acknowledged=9):
        packet = write_packet(FLOW, flags, 1, acknowledged, data, back=True)
        flows.record_upstream_packet(held, CODEC.parse_upstream_packet(packet), now)

    def test_requests_are_measured_and_pauses_between_them_are_not(self):
        flows, held = self.make_held()
        for number in range(10):
            self.send(flows, held, number, sequence=2 + 7 * number)
            self.answer(flows, held, number + 0.04, acknowledged=9 + 7 * number)
        assert flows.speed.estimate(10.0).service_time == pytest.approx(0.04)

    def test_retransmitted_request_is_sent_once(self):
        flows, held = self.make_held()
        self.send(flows, held, 1.0)
        self.send(flows, held, 1.2)
        assert held.sent_at == 1.0
        self.answer(flows, held, 1.25)
        self.send(flows, held, 1.3)
        assert held.sent_at is None

    @pytest.mark.parametrize("flags", [ACK | RST, ACK | FIN])
    def test_request_that_ends_without_an_answer_is_not_measured(self, flags):
        flows, held = self.make_held()
        for now in range(10):
            self.send(flows, held, now, sequence=2 + 7 * now)
            self.answer(flows, held, now + 0.001, flags, b"")
        assert flows.speed.estimate(10.0).confidence == 0.0
        assert held.sent_at is None

    def test_kind_is_that_of_the_route(self):
        flows, held = self.make_held(lambda flow: RouteTerms(kind="upload"))
        self.send(flows, held, 1.0)
        assert held.kind == "upload"

    # Guards against an answer after a pause that is not found, or that looks slow.
    def test_pause_of_this_process_shifts_running_requests(self):
        flows, held = self.make_held()
        for number in range(10):
            self.send(flows, held, number * 1.0, sequence=2 + 7 * number)
            if number == 9:
                flows.shift_for_pause(3.0)
            now = number + (3.04 if number == 9 else 0.04)
            self.answer(flows, held, now, acknowledged=9 + 7 * number)
        known = flows.speed.estimate(13.0)
        assert known.service_time == pytest.approx(0.04)
        assert known.age == pytest.approx(13.0 - 12.04)

    def test_other_upstream_is_not_taken_for_the_measured_one(self):
        flows, held = self.make_held()
        for number in range(10):
            self.send(flows, held, number, sequence=2 + 7 * number)
            self.answer(flows, held, number + 0.04, acknowledged=9 + 7 * number)
        flows.update_speed(2, -math.inf, is_other=False, now=10.0)
        assert flows.speed.estimate(10.0).confidence > 0.0
        flows.update_speed(2, -math.inf, is_other=True, now=10.0)
        assert flows.speed.estimate(10.0).confidence == 0.0


class TestLoadReport:
    def test_grows_by_at_most_16_bytes(self):
        fields = (1 << 30, "board", True, 0.333, 3, ())
        before = len(encode_flow_message(OldLoadReport(*fields)))
        after = len(encode_flow_message(LoadReport(*fields, 0.057143, 100)))
        assert after <= before + 16

    def test_of_an_older_build_is_read_and_an_older_build_reads_a_new_one(self):
        fields = (1, "board", True, 0.5, 2, ())
        report = decode_flow_message(encode_flow_message(OldLoadReport(*fields)))
        assert report == LoadReport(*fields)
        body = encode_flow_message(make_report(0.04))
        assert msgspec.msgpack.decode(body, type=OldLoadReport).utilization == 0.5

    @pytest.mark.parametrize(
        ("service_time", "confidence"),
        [
            (math.nan, 100),
            (math.inf, 100),
            (-0.1, 100),
            (61.0, 100),
            ("0.04", 100),
            (None, 100),
            (0.04, 101),
            (0.04, -1),
            (0.04, "full"),
        ],
    )
    def test_invalid_speed_is_counted_and_the_rest_is_used(
        self, service_time, confidence
    ):
        world = make_world(agents=2)
        node = world.node_by_host["10.2.0.1"]
        report = make_report(service_time, 0.77, confidence)
        report = decode_flow_message(encode_flow_message(report))
        event = ev.ControlReceived(("10.2.0.2", 7600), report)
        effects = node.handle(event, world.now)
        assert fx.Count("report_dropped", "bad_service_time") in effects
        peer = node.placement.peer_by_id["10.2.0.2:7600"]
        assert peer.report.utilization == 0.77
        assert peer.report.service_time == 0.0

    def test_valid_speed_is_stored(self):
        world = make_world(agents=2)
        node = world.node_by_host["10.2.0.1"]
        event = ev.ControlReceived(("10.2.0.2", 7600), make_report(0.04))
        assert node.handle(event, world.now) == []
        peer = node.placement.peer_by_id["10.2.0.2:7600"]
        assert peer.report.service_time == 0.04


class TestOpenPlacement:
    @pytest.fixture
    def placement(self):
        placement = OpenPlacement(Random(1))
        members = tuple(
            Member(f"10.0.0.{n}:7600", Role.AGENT, "a", "board", 1, 1, Status.SERVING)
            for n in range(1, 5)
        )
        placement.update_agents(members, OWN_ID, 0.0)
        return placement

    def deliver(self, placement, service_times, utilization=0.5, confidence=100):
        for number, service_time in service_times.items():
            peer = placement.peer_by_id[f"10.0.0.{number}:7600"]
            report = make_report(service_time, utilization, confidence)
            peer.handle_report(report, 0.0)

    def choose(self, placement, utilization, now=0.1):
        own = OwnLoad(1, 2, utilization, "a")
        constraints = PlacementConstraints("a", (), ())
        return placement.choose_less_busy(own, constraints, now)

    def test_faster_upstream_takes_an_open_at_equal_utilization(self, placement):
        self.deliver(placement, {2: 0.057, 3: 0.057, 4: 0.024})
        placement.update_reference(make_estimate(0.057), 0.1)
        assert placement.reference == 0.057
        assert self.choose(placement, 0.5) == "10.0.0.4:7600"

    def test_slow_agent_relays_opens_that_it_would_take_at_usual_speed(self, placement):
        self.deliver(placement, {2: 0.04, 3: 0.04, 4: 0.04})
        placement.update_reference(make_estimate(0.04), 0.1)
        assert self.choose(placement, 0.5) is None
        placement.update_reference(make_estimate(0.13), 0.1)
        assert self.choose(placement, 0.5) is not None

    # Guards against noise that moves opens between equal upstreams.
    def test_noise_of_equal_upstreams_changes_no_load(self, placement):
        self.deliver(placement, {2: 0.036, 3: 0.044, 4: 0.04})
        placement.update_reference(make_estimate(0.045), 0.1)
        assert placement.own_relative_time == 1.0
        for peer in placement.peer_by_id.values():
            assert peer.estimate_load(0.1) == 0.5

    def test_speed_without_confidence_changes_no_load(self, placement):
        self.deliver(placement, {2: 0.04, 3: 0.04, 4: 0.004}, confidence=0)
        placement.update_reference(make_estimate(0.4, confidence=0.0), 0.1)
        assert (placement.reference, placement.own_relative_time) == (0.0, 1.0)
        assert self.choose(placement, 0.5) is None

    def test_old_reports_are_no_reference_and_count_as_unknown(self, placement):
        self.deliver(placement, {2: 0.02, 3: 0.02, 4: 0.02}, utilization=0.0)
        now = MAX_SPEED_AGE + 0.1
        placement.update_reference(make_estimate(0.04), now)
        assert placement.reference == 0.04
        for peer in placement.peer_by_id.values():
            assert peer.estimate_load(now) == 1.0

    def test_another_service_has_its_own_reference(self, placement):
        self.deliver(placement, {2: 0.04, 3: 0.04, 4: 0.04})
        placement.update_reference(make_estimate(0.4), 0.1)
        placement.forget_all()
        assert (placement.reference, placement.own_relative_time) == (0.0, 1.0)

    def test_log_states_the_load_only_where_the_speed_differs(self, placement):
        self.deliver(placement, {2: 0.04, 3: 0.04, 4: 0.12})
        placement.update_reference(make_estimate(0.04), 0.1)
        assert "load" not in placement.describe("10.0.0.2:7600", 0.1)
        assert placement.describe("10.0.0.4:7600", 0.1)["load"] == 2.5


class TestAgent:
    def open_at(self, world):
        client = world.make_client()
        client.open()
        world.run(0.1)
        redirects = (
            host
            for host, upstream in world.upstream_by_host.items()
            if client.flow in upstream.flows
        )
        return client, next(redirects)

    def test_learns_forgets_at_a_restart_and_learns_again(self):
        world = make_world(agents=1)
        client, host = self.open_at(world)
        node, upstream = world.node_by_host[host], world.upstream_by_host[host]
        request_often(world, client, 20)
        assert find_own_speed(node, world).service_time == pytest.approx(0.03, rel=0.1)
        upstream.restart()
        upstream.report()
        assert find_own_speed(node, world).confidence == 0.0
        upstream.service_time = 0.09
        client, _ = self.open_at(world)
        request_often(world, client, 20, gap=0.2)
        assert find_own_speed(node, world).service_time == pytest.approx(0.09, rel=0.1)

    def test_does_not_learn_the_time_of_a_cold_start(self):
        world = make_world(agents=1)
        upstream = world.upstream_by_host["10.2.0.1"]
        node = world.node_by_host["10.2.0.1"]
        upstream.restart()
        upstream.cold_for, upstream.service_time = 3.0, 0.09
        upstream.report()
        client, _ = self.open_at(world)
        request_often(world, client, 10)
        assert find_own_speed(node, world).confidence == 0.0
        upstream.cold_for, upstream.service_time = 0.0, 0.03
        upstream.report()
        request_often(world, client, 20)
        assert find_own_speed(node, world).service_time == pytest.approx(0.03, rel=0.1)

    def test_forgets_the_upstream_of_another_service(self):
        world = make_world(agents=1)
        client, host = self.open_at(world)
        request_often(world, client, 20)
        upstream, node = world.upstream_by_host[host], world.node_by_host[host]
        upstream.service = "photo"
        upstream.report()
        assert find_own_speed(node, world).confidence == 0.0

    def test_uses_the_kind_of_the_route(self):
        world = make_world(agents=1)
        route = FlowRoute(ADDRESS, (Target("board", 1),), RouteTerms(kind="upload"))
        world.set_routes(make_table(revision=2, routes=(route,)))
        world.run(2.0)
        client, host = self.open_at(world)
        request_often(world, client, 10)
        assert find_own_speed(world.node_by_host[host], world).confidence == 0.0

    def test_reports_its_speed_to_other_agents(self):
        world = make_world(agents=2)
        client, host = self.open_at(world)
        request_often(world, client, 40)
        (other,) = {"10.2.0.1", "10.2.0.2"} - {host}
        placement = world.node_by_host[other].placement
        report = placement.peer_by_id[f"{host}:7600"].report
        assert report.service_time == pytest.approx(0.03, rel=0.1)
        assert report.confidence == 100
        assert placement.reference == pytest.approx(0.03, rel=0.1)

    def test_status_shows_what_is_known(self):
        world = make_world(agents=1)
        node = world.node_by_host["10.2.0.1"]
        assert node.peers.describe_speed(world.now) == {
            "service_time": 0.0,
            "relative_speed": 1.0,
            "confidence": 0.0,
            "limit": 3.0,
        }
        client, _ = self.open_at(world)
        request_often(world, client, 40)
        fields = node.peers.describe_speed(world.now)
        assert fields["service_time"] == pytest.approx(0.03, rel=0.1)
        assert fields["confidence"] == 1.0
        assert 0 < fields["speed_age"] < 0.2

    # Guards against a line for each tick, and one at a mere change of slots.
    def test_changed_limit_is_logged_once(self):
        world = make_world(agents=1)
        node, now = world.node_by_host["10.2.0.1"], world.now
        lines = []
        for limit in (3.0, 2.5, 1.0, 1.0, 3.0, 3.0):
            speed = SpeedEstimate(0.04, 1.0, 0.0, limit, None)
            lines += node.peers._log_limit(speed, now)
            now += 0.2
        assert [line.fields["limit"] for line in lines] == [1.0]
        assert len(node.peers._log_limit(SpeedEstimate(0, 0, 0, 3.0, None), 99.0)) == 1

    # Guards against an upstream that was slow for a while and never gets opens again.
    def test_slow_upstream_keeps_few_opens_and_regains_its_share(self):
        world = make_world(agents=3)
        for upstream in world.upstream_by_host.values():
            upstream.queue_capacity = 6
        slow = world.upstream_by_host["10.2.0.1"]
        slow.service_time = 0.3
        self.offer(world, 10.0)
        before = len(slow.opens)
        all_before = self.count_opens(world)
        self.offer(world, 10.0)
        slow_share = (len(slow.opens) - before) / (self.count_opens(world) - all_before)
        assert 0.0 < slow_share < 0.15
        slow.service_time = 0.03
        self.offer(world, 30.0)
        before, all_before = len(slow.opens), self.count_opens(world)
        self.offer(world, 10.0)
        share = (len(slow.opens) - before) / (self.count_opens(world) - all_before)
        assert share > 0.25

    def offer(self, world, seconds, rate=60):
        for _ in range(round(seconds * rate)):
            client = world.make_client()
            client.request()
            world.after(2.0, client.close)
            world.run(1 / rate)

    def count_opens(self, world):
        return sum(len(upstream.opens) for upstream in world.upstream_by_host.values())


class TestShedPointOfAnEarlierStart:
    def test_is_not_used_for_the_next_start(self):
        """Guard against a gate that takes an upstream for the one before it."""
        world = make_world()
        host = "10.2.0.1"
        node = world.node_by_host[host]
        upstream = world.upstream_by_host[host]
        unknown_limit = node.request_scheduler.gate.urgent_limit
        node.flows.speed._shed_at = unknown_limit + 5
        upstream.report()
        assert node.request_scheduler.gate.urgent_limit == unknown_limit + 5
        upstream.restart()
        upstream.report()
        assert node.request_scheduler.gate.urgent_limit == unknown_limit
