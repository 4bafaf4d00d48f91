import pytest

from bilberrypath.platform.packet_codec import (
    ACK,
    BOUNCED,
    FIN,
    RST,
    SYN,
    PlatformPacketCodec,
)
from bilberrypath.protocol.flow_packet import format_flow, pack_flow_key
from tests.support.flow_world import write_packet

FLOW = pack_flow_key(("100.64.0.7", 40001), ("198.18.0.1", 443))
OPEN = bytes.fromhex(
    "0000 6440 0007 9c41 c612 0001 01bb 0000 0000 a1b2 c3d5 80 000000 11223344 00000000"
)
RESET = bytes.fromhex(
    "0000 c612 0001 01bb 6440 0007 9c41 0000 0000 0000 0000 40 000000 00000000 00000000"
)


@pytest.fixture
def codec():
    return PlatformPacketCodec()


class TestReading:
    def test_an_open_of_a_client(self, codec):
        packet = codec.parse_client_packet(OPEN)
        assert packet.flow == FLOW
        assert packet.is_syn
        assert not packet.is_syn_ack
        assert packet.sequence == 0x11223344
        assert format_flow(packet.flow) == "100.64.0.7:40001>198.18.0.1:443"

    def test_a_packet_of_an_upstream_has_the_same_flow(self, codec):
        packet = codec.parse_upstream_packet(
            write_packet(FLOW, SYN | ACK, 5, 6, back=True)
        )
        assert packet.flow == FLOW
        assert packet.is_syn_ack
        assert not packet.is_syn

    def test_a_packet_that_was_handed_back(self, codec):
        sent = write_packet(FLOW, ACK, 5, 6, b"abc")
        handed_back = bytearray(sent)
        handed_back[22] |= BOUNCED
        packet = codec.parse_upstream_packet(bytes(handed_back))
        assert packet.is_returned
        assert packet.flow == FLOW
        assert codec.clear_returned_flag(packet) == sent

    @pytest.mark.parametrize(
        ("flags", "name"), [(FIN | ACK, "is_fin"), (RST, "is_rst"), (SYN, "is_syn")]
    )
    def test_flags(self, codec, flags, name):
        packet = codec.parse_client_packet(write_packet(FLOW, flags))
        assert getattr(packet, name)

    @pytest.mark.parametrize(
        "datagram",
        [b"", OPEN[:33], OPEN + b"x", write_packet(FLOW, ACK, data=b"x" * 1201)],
        ids=["empty", "short", "longer than it says", "too much data"],
    )
    def test_what_can_not_be_a_packet(self, codec, datagram):
        assert codec.parse_client_packet(datagram) is None
        assert codec.parse_upstream_packet(datagram[:20]) is None


class TestReset:
    def test_is_as_the_platform_writes_it(self, codec):
        assert codec.make_reset(FLOW, 0) == RESET

    def test_reaches_the_client_as_one(self, codec):
        packet = codec.parse_upstream_packet(codec.make_reset(FLOW, 77))
        assert packet.is_rst
        assert packet.flow == FLOW
        assert packet.sequence == 77
