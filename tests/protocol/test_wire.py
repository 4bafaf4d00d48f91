"""Tests of the wire formats.

Arbitrary bytes raise no exception, and forged data is not accepted.
"""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberrypath.coordination import events as ev
from bilberrypath.protocol.control import decode_control_message
from bilberrypath.protocol.frame import (
    Candidate,
    ForwardFrame,
    FrameSealer,
    ReturnFrame,
)
from bilberrypath.protocol.http import (
    BadRequest,
    RequestHead,
    decode_outcome,
    decode_request_head,
    encode_outcome,
    encode_request_head,
)
from bilberrypath.protocol.outcome import (
    Answered,
    Reason,
    RefusedNotRun,
    Unknown,
)
from bilberrypath.protocol.quic_header import PacketError, parse_quic_header
from bilberrypath.protocol.stateless_reset import (
    build_stateless_reset,
    is_stateless_reset,
)
from bilberrypath.protocol.token import Route, TokenCodec
from tests.support.session import Session

deterministic = settings(derandomize=True, deadline=None)
SEALER = FrameSealer(b"k" * 32)
CODEC = TokenCodec({1: bytes(16), 2: bytes(range(16))}, 2)
FORWARD_FRAME = ForwardFrame(
    7, "10.0.0.1", 5, "10.0.0.2", 7000, 9443, 0, (Candidate("10.0.0.3", 1, -1),), b"p"
)
routes = st.builds(
    Route,
    host=st.ip_addresses(v=4).map(str),
    port=st.integers(0, 65535),
    service=st.integers(0, 65535),
    data_centre=st.integers(0, 255),
    incarnation=st.integers(0, (1 << 24) - 1),
)


class TestToken:
    @deterministic
    @given(routes)
    def test_round_trip(self, route):
        assert CODEC.read(CODEC.issue(route)) == route

    def test_tokens_of_one_route_differ(self):
        route = Route("10.0.0.1", 1, 1, 1, 1)
        tokens = {CODEC.issue(route)[1:6] for _ in range(50)}
        assert len(tokens) == 50

    @deterministic
    @given(st.binary(max_size=24))
    def test_reading_any_bytes_raises_nothing(self, data):
        CODEC.read(data)

    @deterministic
    @given(st.integers(0, 19), st.integers(1, 255))
    def test_changed_token_is_rejected(self, position, mask):
        token = bytearray(CODEC.issue(Route("10.0.0.1", 1, 1, 1, 1), nonce=b"nnnn"))
        token[position] ^= mask
        assert CODEC.read(bytes(token)) is None

    def test_former_key_is_accepted_during_a_key_rotation(self):
        old_codec = TokenCodec({1: bytes(16)}, 1)
        route = Route("10.0.0.1", 1, 1, 1, 1)
        assert CODEC.read(old_codec.issue(route)) == route

    def test_unknown_active_key_is_an_error(self):
        with pytest.raises(ValueError, match=r"active key id 3 .* \[1\]"):
            TokenCodec({1: bytes(16)}, 3)


class TestPacket:
    @deterministic
    @given(st.binary(max_size=1600))
    def test_parsing_any_bytes_raises_nothing(self, data):
        parse_quic_header(data)

    @pytest.mark.parametrize(
        ("data", "error"),
        [
            (b"", PacketError.EMPTY),
            (b"\x40abc", PacketError.TRUNCATED),
            (b"\x00" + bytes(60), PacketError.NOT_QUIC),
            (bytes([0xC0, 0, 0, 0, 1, 21]) + bytes(1300), PacketError.NOT_QUIC),
            (b"\xc0\x00\x00\x00\x01\x08" + bytes(60), PacketError.SMALL_INITIAL),
            (bytes(1501), PacketError.OVERSIZED),
        ],
    )
    def test_invalid_packet_has_an_error(self, data, error):
        assert parse_quic_header(data) is error


class TestFrame:
    def test_round_trip(self):
        assert SEALER.open_packet(SEALER.seal_packet(FORWARD_FRAME)) == FORWARD_FRAME

    @deterministic
    @given(st.binary(max_size=200))
    def test_any_bytes_are_rejected(self, data):
        assert SEALER.open_packet(data) is None
        assert SEALER.open_control(data) is None
        decode_control_message(data)

    @deterministic
    @given(st.integers(0, 60), st.integers(1, 255))
    def test_changed_frame_is_rejected(self, position, mask):
        sealed = bytearray(SEALER.seal_packet(FORWARD_FRAME))
        if position in (0, len(sealed) - 1) or position >= len(sealed) - 1:
            return
        sealed[position] ^= mask
        assert SEALER.open_packet(bytes(sealed)) is None

    def test_frame_of_another_key_is_rejected(self):
        other = FrameSealer(b"o" * 32)
        assert SEALER.open_packet(other.seal_packet(FORWARD_FRAME)) is None


class TestReset:
    def test_reset_is_shorter_than_its_trigger_and_recognized_by_its_token(self):
        token = CODEC.derive_reset_token(CODEC.issue(Route("10.0.0.1", 1, 1, 1, 1)))
        packet = build_stateless_reset(token, 30, Random(1))
        assert len(packet) < 30
        assert is_stateless_reset(packet, {token})
        assert build_stateless_reset(token, 21, Random(1)) is None


class TestHttp:
    @pytest.mark.parametrize(
        "outcome",
        [
            Answered(200, b"body"),
            Answered(503, b"the upstream's own"),
            RefusedNotRun(Reason.OVERLOADED, True, 0.5),
            RefusedNotRun(Reason.TOO_LARGE, False),
            Unknown(Reason.DEADLINE_PASSED),
        ],
    )
    def test_outcome_round_trip(self, outcome):
        headers, body = encode_outcome(outcome, b"1")
        assert decode_outcome(headers, body) == outcome

    def test_request_head_round_trip(self):
        head = RequestHead("POST", "/rides", "k", 2.5, False, incarnation=7, age=1.0)
        assert decode_request_head(encode_request_head(head, "localhost")) == head

    @deterministic
    @given(st.lists(st.tuples(st.binary(max_size=8), st.binary(max_size=8))))
    def test_decoding_any_headers_raises_nothing(self, headers):
        assert isinstance(decode_request_head(headers), RequestHead | BadRequest)


class TestBalancerWithAnyEvents:
    @deterministic
    @given(
        st.lists(
            st.one_of(
                st.builds(
                    ev.PacketReceived,
                    st.sampled_from([9443, 1]),
                    st.just(("10.0.0.1", 1)),
                    st.binary(max_size=80),
                ),
                st.builds(
                    ev.FrameReceived,
                    st.just(("10.0.0.9", 7000)),
                    st.sampled_from(
                        [FORWARD_FRAME, ReturnFrame(99, "10.0.0.1", 1, 9443, 3, b"x")]
                    ),
                ),
                st.just(ev.Tick()),
                st.just(ev.StoreFailed()),
                st.just(ev.PullFailed(("10.0.0.9", 7000))),
                st.just(ev.ReleasePulled(("10.0.0.9", 7000))),
                st.just(ev.Leave()),
            ),
            max_size=20,
        )
    )
    def test_handling_any_events_raises_nothing(self, events):
        session = Session()
        core = session.add_balancer("b1", "10.0.0.2", "a").core
        for index, event in enumerate(events):
            core.handle(event, index * 0.3)
