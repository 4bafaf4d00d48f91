import pytest

from bilberrypath.coordination.flow_lookup import (
    MAX_QUEUED_PACKETS,
    ActiveLookups,
    HolderFound,
    NoHolder,
    TryCandidates,
)
from bilberrypath.platform.packet_codec import ACK, PlatformPacketCodec
from bilberrypath.protocol.flow_messages import FlowQueryReply, ForwardedPacket
from bilberrypath.protocol.flow_packet import pack_flow_key
from tests.support.flow_world import write_packet

FLOW = pack_flow_key(("100.64.0.7", 40001), ("198.18.0.1", 443))
PACKET = PlatformPacketCodec().parse_client_packet(write_packet(FLOW, ACK))
CARRY = ForwardedPacket(1, "board", "b:1", True, "", (), 0, True, PACKET.datagram)


@pytest.fixture
def searches():
    searches = ActiveLookups()
    searches.begin(CARRY, PACKET, ("me:1",), ["x:1", "y:1"])
    return searches


def answer(searches, agent, holder="", unsure=False):
    return searches.handle_query_reply(FlowQueryReply(FLOW, holder, unsure), agent)


class TestAnswers:
    def test_the_first_that_knows_settles_it(self, searches):
        assert answer(searches, "y:1", "y:1") == HolderFound("y:1")

    def test_a_holder_that_was_tried_does_not_count(self, searches):
        assert answer(searches, "x:1", "me:1") is None
        assert answer(searches, "y:1") == NoHolder(is_certain=True)

    def test_all_deny_it(self, searches):
        assert answer(searches, "x:1") is None
        assert answer(searches, "y:1") == NoHolder(is_certain=True)

    def test_who_can_not_tell_is_tried(self, searches):
        assert answer(searches, "y:1", unsure=True) is None
        assert answer(searches, "x:1") == TryCandidates(("y:1",), is_complete=True)

    def test_all_who_can_not_tell_are_tried_in_one_order(self, searches):
        answer(searches, "y:1", unsure=True)
        assert answer(searches, "x:1", unsure=True) == TryCandidates(
            ("x:1", "y:1"), True
        )

    def test_a_missing_answer_is_told_to_those_who_try(self, searches):
        answer(searches, "y:1", unsure=True)
        assert searches.compute_result(FLOW) == TryCandidates(
            ("y:1",), is_complete=False
        )

    def test_a_missing_answer_leaves_it_uncertain(self, searches):
        answer(searches, "x:1")
        assert searches.compute_result(FLOW) == NoHolder(is_certain=False)

    def test_doubled_and_foreign_answers_do_not_count(self, searches):
        answer(searches, "x:1")
        assert answer(searches, "x:1") is None
        assert answer(searches, "z:1") is None
        assert searches.get(FLOW).pending_ids == {"y:1"}


class TestPackets:
    def test_wait_up_to_a_bound(self, searches):
        search = searches.get(FLOW)
        kept = [search.try_queue(CARRY, PACKET) for _ in range(MAX_QUEUED_PACKETS)]
        assert kept == [True] * (MAX_QUEUED_PACKETS - 1) + [False]

    def test_are_returned_at_the_end(self, searches):
        assert searches.pop(FLOW).queued_packets == [(CARRY, PACKET)]
        assert searches.get(FLOW) is None
