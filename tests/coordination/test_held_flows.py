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


def make_client_packet(flags, data=b"", acknowledged=0, sequence=1):
    packet = write_packet(FLOW, flags, sequence, acknowledged, data)
    return CODEC.parse_client_packet(packet)


def make_upstream_packet(flags, data=b"", acknowledged=1):
    packet = write_packet(FLOW, flags, 1, acknowledged, data, back=True)
    return CODEC.parse_upstream_packet(packet)


@pytest.fixture
def flows():
    return HeldFlows()


@pytest.fixture
def held(flows):
    return flows.add(make_client_packet(SYN), is_confirmed=True, now=0.0)


class TestLoad:
    def test_flow_is_busy_from_request_to_answer(self, flows, held):
        flows.record_client_packet(held, make_client_packet(ACK, b"request"), 1.0)
        assert flows.busy_count == 1
        flows.record_client_packet(held, make_client_packet(ACK, b"more"), 1.1)
        assert flows.busy_count == 1
        flows.record_upstream_packet(held, make_upstream_packet(ACK), 1.2)
        assert flows.busy_count == 1
        flows.record_upstream_packet(held, make_upstream_packet(ACK, b"answer"), 1.3)
        assert flows.busy_count == 0

    def test_request_counts_as_sent_until_it_is_answered(self, flows, held):
        flows.record_client_packet(held, make_client_packet(ACK, b"request"), 1.0)
        assert (held.sent_at, flows.sent_count) == (1.0, 1)
        flows.record_upstream_packet(held, make_upstream_packet(ACK, b"answer"), 1.3)
        assert (held.sent_at, flows.sent_count) == (None, 0)

    def test_kept_request_is_busy_and_counts_as_sent_later(self, flows, held):
        flows.record_client_packet(held, make_client_packet(ACK, b"request"), 1.0)
        flows.mark_kept(held, 1.0)
        assert (flows.busy_count, flows.sent_count) == (1, 0)
        flows.mark_sent(held, 1.1)
        assert (held.busy_since, held.sent_at, flows.sent_count) == (1.0, 1.1, 1)

    @pytest.mark.parametrize("first_sequence", [1, 2**32 - 3])
    def test_retransmitted_request_does_not_make_the_flow_busy(
        self, flows, held, first_sequence
    ):
        """Acknowledged data is a copy; sequence numbers wrap around at 2**32."""
        request = make_client_packet(ACK, b"request", sequence=first_sequence)
        next_sequence = (first_sequence + 7) % 2**32
        flows.record_client_packet(held, request, 1.0)
        flows.record_upstream_packet(
            held, make_upstream_packet(ACK, b"", next_sequence), 1.1
        )
        flows.record_upstream_packet(
            held, make_upstream_packet(ACK, b"answer", next_sequence), 1.2
        )
        flows.record_client_packet(held, request, 1.3)
        assert flows.busy_count == 0
        flows.record_client_packet(
            held, make_client_packet(ACK, b"next", sequence=next_sequence), 1.4
        )
        assert flows.busy_count == 1

    def test_reordered_older_acknowledgement_is_ignored(self, flows, held):
        flows.record_upstream_packet(held, make_upstream_packet(ACK, b"answer", 9), 1.0)
        flows.record_upstream_packet(held, make_upstream_packet(ACK, b"", 5), 1.1)
        flows.record_client_packet(
            held, make_client_packet(ACK, b"request", sequence=2), 1.2
        )
        assert flows.busy_count == 0

    def test_fin_that_overtakes_the_answer_is_not_a_failure(self, flows, held):
        flows.record_client_packet(held, make_client_packet(ACK, b"request"), 1.0)
        flows.record_upstream_packet(held, make_upstream_packet(ACK | FIN), 1.1)
        flows.record_upstream_packet(held, make_upstream_packet(ACK, b"answer"), 1.1)
        assert flows.failure_rate.compute_load(1.1) == 0.0

    def test_removed_flow_is_not_busy(self, flows, held):
        flows.record_client_packet(held, make_client_packet(ACK, b"request"), 1.0)
        flows.remove(FLOW, 1.1)
        assert flows.busy_count == 0
        assert len(flows) == 0

    def test_reset_requests_increase_utilization(self, flows):
        for number in range(8):
            held = flows.add(make_client_packet(SYN), is_confirmed=True, now=1.0)
            flows.record_client_packet(held, make_client_packet(ACK, b"request"), 1.0)
            answer = (
                make_upstream_packet(RST)
                if number % 2
                else make_upstream_packet(ACK, b"a")
            )
            flows.record_upstream_packet(held, answer, 1.0)
        assert flows.compute_utilization(1, 1.0) > 1.0
        assert flows.compute_utilization(1, 7.0) < 0.2

    def test_reset_between_requests_does_not_increase_utilization(self, flows):
        for _ in range(8):
            held = flows.add(make_client_packet(SYN), is_confirmed=True, now=1.0)
            flows.record_upstream_packet(held, make_upstream_packet(RST), 1.0)
        assert flows.compute_utilization(1, 1.0) == 0.0

    def test_unanswered_request_counts_as_one_failure(self, flows, held):
        flows.record_client_packet(held, make_client_packet(ACK, b"request"), 0.0)
        flows.sweep(60.0, 0.9)
        assert flows.failure_rate.compute_load(0.9) == 0.0
        for now in (1.1, 1.2, 1.3):
            flows.sweep(60.0, now)
        flows.record_upstream_packet(held, make_upstream_packet(RST), 1.3)
        one_failure = FailureRate()
        one_failure.record_failed(1.1)
        assert flows.failure_rate.compute_load(1.3) == one_failure.compute_load(1.3)

    def test_mean_of_busy_flows_approaches_the_current_count(self, flows, held):
        flows.record_client_packet(held, make_client_packet(ACK, b"request"), 1.0)
        assert flows.compute_mean_busy(1.0) == 0.0
        assert 0.6 < flows.compute_mean_busy(2.0) < 0.7
        assert flows.compute_mean_busy(9.0) > 0.99

    def test_utilization_reflects_a_burst_at_once(self, flows, held):
        flows.record_client_packet(held, make_client_packet(ACK, b"request"), 1.0)
        assert flows.compute_utilization(1, 1.0) == 0.5
        assert flows.compute_utilization(2, 1.0) == 0.25
        assert flows.compute_utilization(1, 9.0) > 0.99

    def test_open_flows_add_load_before_their_first_request(self, flows, held):
        other = pack_flow_key(("100.64.0.8", 1), ("198.18.0.1", 443))
        packet = CODEC.parse_client_packet(write_packet(other, SYN, 1))
        flows.add(packet, is_confirmed=True, now=0.0)
        assert flows.live_count == 2
        assert flows.compute_utilization(1, 1.0) == 2 * LOAD_PER_OPEN_FLOW
        flows.record_client_packet(held, make_client_packet(ACK | FIN), 1.0)
        assert flows.live_count == 1
        flows.remove(FLOW, 1.1)
        assert flows.live_count == 1
        flows.remove(other, 1.2)
        assert flows.live_count == 0

    def test_unanswered_request_is_not_busy_after_max_busy_time(self, flows, held):
        flows.record_client_packet(held, make_client_packet(ACK, b"request"), 1.0)
        flows.sweep(60.0, 1.0 + MAX_BUSY_TIME + 0.1)
        assert flows.busy_count == 0


class TestFlowEnd:
    def test_flow_ends_when_both_sides_have_closed(self, flows, held):
        flows.record_client_packet(held, make_client_packet(ACK | FIN), 1.0)
        assert not held.is_ended
        flows.record_upstream_packet(held, make_upstream_packet(ACK | FIN), 1.1)
        assert held.is_ended

    def test_reset_by_the_upstream_ends_the_flow(self, flows, held):
        flows.record_upstream_packet(held, make_upstream_packet(RST), 1.0)
        assert held.is_ended

    def test_ended_flow_is_kept_for_late_packets(self, flows, held):
        flows.record_upstream_packet(held, make_upstream_packet(RST), 1.0)
        flows.sweep(60.0, 1.0 + ENDED_FLOW_LINGER - 0.1)
        assert flows.get(FLOW) is held
        flows.sweep(60.0, 1.0 + ENDED_FLOW_LINGER + 0.1)
        assert flows.get(FLOW) is None

    def test_idle_flow_is_removed_after_the_idle_limit(self, flows, held):
        flows.sweep(15.0, 14.9)
        assert flows.get(FLOW) is held
        flows.sweep(15.0, 15.1)
        assert flows.get(FLOW) is None

    def test_last_client_acknowledgement_is_kept_for_a_reset(self, flows, held):
        flows.record_client_packet(
            held, make_client_packet(ACK, b"x", acknowledged=4711), 1.0
        )
        assert held.acknowledged == 4711
