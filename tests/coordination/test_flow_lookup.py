"""Tests of the results of flow lookups, and of the packets queued meanwhile."""

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
FORWARDED = ForwardedPacket(1, "board", "b:1", True, "", (), 0, True, PACKET.datagram)


@pytest.fixture
def lookups():
    lookups = ActiveLookups()
    lookups.begin(FORWARDED, PACKET, ("me:1",), ["x:1", "y:1"])
    return lookups


def send_reply(lookups, agent, holder="", may_hold=False):
    return lookups.handle_query_reply(FlowQueryReply(FLOW, holder, may_hold), agent)


class TestReplies:
    def test_first_reply_that_names_the_holder_ends_the_lookup(self, lookups):
        assert send_reply(lookups, "y:1", "y:1") == HolderFound("y:1")

    def test_agent_whose_upstream_accepted_the_open_is_a_candidate(self, lookups):
        """Guard against the reset of a flow whose first packet took another way."""
        reply = FlowQueryReply(FLOW, "", False, unchosen_flows=(FLOW,))
        assert lookups.handle_query_reply(reply, "x:1") is None
        assert send_reply(lookups, "y:1") == TryCandidates(("x:1",), True)

    def test_holder_that_was_already_tried_is_ignored(self, lookups):
        assert send_reply(lookups, "x:1", "me:1") is None
        assert send_reply(lookups, "y:1") == NoHolder(is_certain=True)

    def test_no_holder_is_certain_if_all_agents_deny(self, lookups):
        assert send_reply(lookups, "x:1") is None
        assert send_reply(lookups, "y:1") == NoHolder(is_certain=True)

    def test_agent_that_may_hold_the_flow_is_a_candidate(self, lookups):
        assert send_reply(lookups, "y:1", may_hold=True) is None
        assert send_reply(lookups, "x:1") == TryCandidates(("y:1",), is_complete=True)

    def test_candidates_are_sorted_regardless_of_the_order_of_replies(self, lookups):
        send_reply(lookups, "y:1", may_hold=True)
        assert send_reply(lookups, "x:1", may_hold=True) == TryCandidates(
            ("x:1", "y:1"), True
        )

    def test_candidates_are_incomplete_if_a_reply_is_missing(self, lookups):
        send_reply(lookups, "y:1", may_hold=True)
        assert lookups.compute_result(FLOW) == TryCandidates(
            ("y:1",), is_complete=False
        )

    def test_no_holder_is_uncertain_if_a_reply_is_missing(self, lookups):
        send_reply(lookups, "x:1")
        assert lookups.compute_result(FLOW) == NoHolder(is_certain=False)

    def test_repeated_and_unrequested_replies_are_ignored(self, lookups):
        send_reply(lookups, "x:1")
        assert send_reply(lookups, "x:1") is None
        assert send_reply(lookups, "z:1") is None
        assert lookups.get(FLOW).pending_ids == {"y:1"}


class TestQueuedPackets:
    def test_number_is_limited(self, lookups):
        lookup = lookups.get(FLOW)
        was_queued = [
            lookup.try_queue(FORWARDED, PACKET) for _ in range(MAX_QUEUED_PACKETS)
        ]
        assert was_queued == [True] * (MAX_QUEUED_PACKETS - 1) + [False]

    def test_are_returned_when_the_lookup_is_removed(self, lookups):
        assert lookups.pop(FLOW).queued_packets == [(FORWARDED, PACKET)]
        assert lookups.get(FLOW) is None
