import pytest

from bilberrypath.coordination.failure_rate import FailureRate
from bilberrypath.coordination.held_flows import (
    ENDED_FLOW_LINGER,
    LOAD_PER_OPEN_FLOW,
    MAX_BUSY_TIME,
    HeldFlows,
)
from bilberrypath.platform.packet_codec import ACK, FIN, RST, SYN, PlatformPacketCodec
from bilberrypath.protocol.flow_packet import pack_flow_key
from tests.support.flow_world import write_packet

CODEC = PlatformPacketCodec()
FLOW = pack_flow_key(("100.64.0.7", 40001), ("198.18.0.1", 443))


def from_client(flags, data=b"", acknowledged=0, sequence=1):
    packet = write_packet(FLOW, flags, sequence, acknowledged, data)
    return CODEC.parse_client_packet(packet)


def from_upstream(flags, data=b"", received=1):
    packet = write_packet(FLOW, flags, 1, received, data, back=True)
    return CODEC.parse_upstream_packet(packet)


@pytest.fixture
def flows():
    return HeldFlows()


@pytest.fixture
def held(flows):
    return flows.add(from_client(SYN), is_confirmed=True, now=0.0)


class TestLoad:
    def test_a_flow_is_busy_from_request_to_answer(self, flows, held):
        flows.record_client_packet(held, from_client(ACK, b"request"), 1.0)
        assert flows.busy_count == 1
        flows.record_client_packet(held, from_client(ACK, b"more"), 1.1)
        assert flows.busy_count == 1
        flows.record_upstream_packet(held, from_upstream(ACK), 1.2)
        assert flows.busy_count == 1
        flows.record_upstream_packet(held, from_upstream(ACK, b"answer"), 1.3)
        assert flows.busy_count == 0

    @pytest.mark.parametrize("start", [1, 2**32 - 3])
    def test_a_copy_of_what_the_upstream_has_begins_nothing(self, flows, held, start):
        request = from_client(ACK, b"request", sequence=start)
        received = (start + 7) % 2**32
        flows.record_client_packet(held, request, 1.0)
        flows.record_upstream_packet(held, from_upstream(ACK, b"", received), 1.1)
        flows.record_upstream_packet(held, from_upstream(ACK, b"answer", received), 1.2)
        flows.record_client_packet(held, request, 1.3)
        assert flows.busy_count == 0
        flows.record_client_packet(
            held, from_client(ACK, b"next", sequence=received), 1.4
        )
        assert flows.busy_count == 1

    def test_an_acknowledgement_that_comes_late_counts_for_nothing(self, flows, held):
        flows.record_upstream_packet(held, from_upstream(ACK, b"answer", 9), 1.0)
        flows.record_upstream_packet(held, from_upstream(ACK, b"", 5), 1.1)
        flows.record_client_packet(held, from_client(ACK, b"request", sequence=2), 1.2)
        assert flows.busy_count == 0

    def test_a_closing_packet_that_overtakes_the_answer_is_no_failure(
        self, flows, held
    ):
        flows.record_client_packet(held, from_client(ACK, b"request"), 1.0)
        flows.record_upstream_packet(held, from_upstream(ACK | FIN), 1.1)
        flows.record_upstream_packet(held, from_upstream(ACK, b"answer"), 1.1)
        assert flows.failure_rate.compute_load(1.1) == 0.0

    def test_a_removed_flow_is_not_busy(self, flows, held):
        flows.record_client_packet(held, from_client(ACK, b"request"), 1.0)
        flows.remove(FLOW, 1.1)
        assert flows.busy_count == 0
        assert len(flows) == 0

    def test_requests_that_are_reset_add_to_the_load(self, flows):
        for number in range(8):
            held = flows.add(from_client(SYN), is_confirmed=True, now=1.0)
            flows.record_client_packet(held, from_client(ACK, b"request"), 1.0)
            answer = from_upstream(RST) if number % 2 else from_upstream(ACK, b"a")
            flows.record_upstream_packet(held, answer, 1.0)
        assert flows.compute_utilization(1, 1.0) > 1.0
        assert flows.compute_utilization(1, 7.0) < 0.2

    def test_a_flow_that_is_reset_between_requests_adds_nothing(self, flows):
        for _ in range(8):
            held = flows.add(from_client(SYN), is_confirmed=True, now=1.0)
            flows.record_upstream_packet(held, from_upstream(RST), 1.0)
        assert flows.compute_utilization(1, 1.0) == 0.0

    def test_a_request_without_an_answer_counts_once(self, flows, held):
        flows.record_client_packet(held, from_client(ACK, b"request"), 0.0)
        flows.sweep(60.0, 0.9)
        assert flows.failure_rate.compute_load(0.9) == 0.0
        for now in (1.1, 1.2, 1.3):
            flows.sweep(60.0, now)
        flows.record_upstream_packet(held, from_upstream(RST), 1.3)
        once = FailureRate()
        once.record_failed(1.1)
        assert flows.failure_rate.compute_load(1.3) == once.compute_load(1.3)

    def test_the_mean_follows(self, flows, held):
        flows.record_client_packet(held, from_client(ACK, b"request"), 1.0)
        assert flows.compute_mean_busy(1.0) == 0.0
        assert 0.6 < flows.compute_mean_busy(2.0) < 0.7
        assert flows.compute_mean_busy(9.0) > 0.99

    def test_the_pressure_sees_a_burst_at_once(self, flows, held):
        flows.record_client_packet(held, from_client(ACK, b"request"), 1.0)
        assert flows.compute_utilization(1, 1.0) == 0.5
        assert flows.compute_utilization(2, 1.0) == 0.25
        assert flows.compute_utilization(1, 9.0) > 0.99

    def test_open_flows_weigh_before_they_are_used(self, flows, held):
        other = pack_flow_key(("100.64.0.8", 1), ("198.18.0.1", 443))
        packet = CODEC.parse_client_packet(write_packet(other, SYN, 1))
        flows.add(packet, is_confirmed=True, now=0.0)
        assert flows.live_count == 2
        assert flows.compute_utilization(1, 1.0) == 2 * LOAD_PER_OPEN_FLOW
        flows.record_client_packet(held, from_client(ACK | FIN), 1.0)
        assert flows.live_count == 1
        flows.remove(FLOW, 1.1)
        assert flows.live_count == 1
        flows.remove(other, 1.2)
        assert flows.live_count == 0

    def test_a_request_without_answer_is_not_busy_for_ever(self, flows, held):
        flows.record_client_packet(held, from_client(ACK, b"request"), 1.0)
        flows.sweep(60.0, 1.0 + MAX_BUSY_TIME + 0.1)
        assert flows.busy_count == 0


class TestEnds:
    def test_both_ends_close(self, flows, held):
        flows.record_client_packet(held, from_client(ACK | FIN), 1.0)
        assert not held.is_ended
        flows.record_upstream_packet(held, from_upstream(ACK | FIN), 1.1)
        assert held.is_ended

    def test_a_reset_of_the_upstream_ends_it(self, flows, held):
        flows.record_upstream_packet(held, from_upstream(RST), 1.0)
        assert held.is_ended

    def test_an_ended_flow_lingers_for_late_packets(self, flows, held):
        flows.record_upstream_packet(held, from_upstream(RST), 1.0)
        flows.sweep(60.0, 1.0 + ENDED_FLOW_LINGER - 0.1)
        assert flows.get(FLOW) is held
        flows.sweep(60.0, 1.0 + ENDED_FLOW_LINGER + 0.1)
        assert flows.get(FLOW) is None

    def test_an_idle_flow_is_forgotten_after_its_limit(self, flows, held):
        flows.sweep(15.0, 14.9)
        assert flows.get(FLOW) is held
        flows.sweep(15.0, 15.1)
        assert flows.get(FLOW) is None

    def test_the_last_acknowledgement_is_kept_for_a_reset(self, flows, held):
        flows.record_client_packet(held, from_client(ACK, b"x", acknowledged=4711), 1.0)
        assert held.acknowledged == 4711
