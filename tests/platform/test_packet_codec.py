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
OPEN_PACKET = bytes.fromhex(
    "0000 6440 0007 9c41 c612 0001 01bb 0000 0000 a1b2 c3d5 80 000000 11223344 00000000"
)
RESET_PACKET = bytes.fromhex(
    "0000 c612 0001 01bb 6440 0007 9c41 0000 0000 0000 0000 40 000000 00000000 00000000"
)


@pytest.fixture
def codec():
    return PlatformPacketCodec()


class TestParsing:
    def test_open_of_a_client(self, codec):
        packet = codec.parse_client_packet(OPEN_PACKET)
        assert packet.flow == FLOW
        assert packet.is_syn
        assert not packet.is_syn_ack
        assert packet.sequence == 0x11223344
        assert format_flow(packet.flow) == "100.64.0.7:40001>198.18.0.1:443"

    def test_packet_of_an_upstream_has_the_clients_flow(self, codec):
        packet = codec.parse_upstream_packet(
            write_packet(FLOW, SYN | ACK, 5, 6, back=True)
        )
        assert packet.flow == FLOW
        assert packet.is_syn_ack
        assert not packet.is_syn

    def test_returned_packet(self, codec):
        sent = write_packet(FLOW, ACK, 5, 6, b"abc")
        returned = bytearray(sent)
        returned[22] |= BOUNCED
        packet = codec.parse_upstream_packet(bytes(returned))
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
        [
            b"",
            OPEN_PACKET[:33],
            OPEN_PACKET + b"x",
            write_packet(FLOW, ACK, data=b"x" * 1201),
        ],
        ids=["empty", "short", "longer than its length field", "too much data"],
    )
    def test_invalid_datagram_is_not_a_packet(self, codec, datagram):
        assert codec.parse_client_packet(datagram) is None
        assert codec.parse_upstream_packet(datagram[:20]) is None


class TestReset:
    def test_reset_has_the_platforms_format(self, codec):
        assert codec.make_reset(FLOW, 0) == RESET_PACKET

    def test_reset_is_parsed_as_a_reset_of_its_flow(self, codec):
        packet = codec.parse_upstream_packet(codec.make_reset(FLOW, 77))
        assert packet.is_rst
        assert packet.flow == FLOW
        assert packet.sequence == 77
