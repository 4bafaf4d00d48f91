"""QUIC connections whose IDs are routing tokens, and HTTP/3 with GOAWAY.

aioquic has no public interface for choosing connection IDs, nor for sending and
receiving GOAWAY. The private names of aioquic that are used for this are confined to
this module; tests/transport/test_quic.py covers them.
"""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import H3_ALPN, FrameType, H3Connection, encode_frame
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection, QuicConnectionId

from bilberrypath.protocol.token import TOKEN_LENGTH

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.types import Seconds

IDLE_TIMEOUT: Seconds = 30.0
MAX_DATAGRAM_BYTES = 1200
STREAM_WINDOW_BYTES = 4 * 1024 * 1024
CONNECTION_WINDOW_BYTES = 8 * 1024 * 1024
MAX_REQUEST_STREAM_ID = 2**62 - 4  # the largest ID of a request stream (RFC 9114)


def make_agent_configuration(certificate: str, private_key: str) -> QuicConfiguration:
    """Return the QUIC configuration of an agent."""
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=H3_ALPN,
        connection_id_length=TOKEN_LENGTH,
        idle_timeout=IDLE_TIMEOUT,
        max_datagram_size=MAX_DATAGRAM_BYTES,
        max_data=CONNECTION_WINDOW_BYTES,
        max_stream_data=STREAM_WINDOW_BYTES,
    )
    configuration.load_cert_chain(certificate, private_key)
    return configuration


def make_caller_configuration(
    authorities: str | None, server_name: str
) -> QuicConfiguration:
    """Return the QUIC configuration of a caller.

    ``authorities`` is the path of a PEM file with the certificate authorities to
    trust; without it, those of the system are trusted. The agent's certificate must
    be valid for ``server_name``.
    """
    configuration = QuicConfiguration(
        is_client=True,
        alpn_protocols=H3_ALPN,
        idle_timeout=IDLE_TIMEOUT,
        max_datagram_size=MAX_DATAGRAM_BYTES,
        max_data=CONNECTION_WINDOW_BYTES,
        max_stream_data=STREAM_WINDOW_BYTES,
        server_name=server_name,
        verify_mode=ssl.CERT_REQUIRED,
    )
    if authorities:
        configuration.load_verify_locations(authorities)
    return configuration


class TokenConnection(QuicConnection):
    """A server connection of which every connection ID is a routing token.

    ``issue`` returns a new token, and ``derive_reset_token`` the stateless reset
    token of a connection ID. ``host_cid`` is the first connection ID.
    """

    def __init__(
        self,
        *,
        configuration: QuicConfiguration,
        original_destination_connection_id: bytes,
        issue: Callable[[], bytes],
        derive_reset_token: Callable[[bytes], bytes],
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination_connection_id,
        )
        self._issue = issue
        self._derive_reset_token = derive_reset_token
        initial_cid = self._host_cids[0]
        initial_cid.cid = issue()
        initial_cid.stateless_reset_token = derive_reset_token(initial_cid.cid)
        self.host_cid = initial_cid.cid
        self._local_initial_source_connection_id = initial_cid.cid

    def list_connection_ids(self) -> list[bytes]:
        """Return the connection IDs by which the caller may address this connection."""
        return [connection_id.cid for connection_id in self._host_cids]

    def count_unacked_bytes(self, stream_id: int) -> int:
        """Return how many bytes of a stream the caller has not acknowledged."""
        stream = self._streams.get(stream_id)
        return len(stream.sender._buffer) if stream else 0

    def has_unacked_data(self) -> bool:
        """Return whether any stream has data that the caller has not acknowledged."""
        return any(len(stream.sender._buffer) for stream in self._streams.values())

    def _replenish_connection_ids(self) -> None:
        while len(self._host_cids) < min(8, self._remote_active_connection_id_limit):
            cid = self._issue()
            self._host_cids.append(
                QuicConnectionId(
                    cid=cid,
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=self._derive_reset_token(cid),
                )
            )
            self._host_cid_seq += 1


class CallerConnection(QuicConnection):
    """A client connection that can be opened to the agent that a token names.

    ``token`` then serves as the connection ID that a client otherwise picks at
    random for its first packet.
    """

    def __init__(
        self, *, configuration: QuicConfiguration, token: bytes | None = None
    ) -> None:
        super().__init__(configuration=configuration)
        if token is not None:
            self._peer_cid.cid = token
            self._original_destination_connection_id = token

    @property
    def peer_token(self) -> bytes:
        """The connection ID under which packets are now sent to the agent."""
        return self._peer_cid.cid

    def list_reset_tokens(self) -> set[bytes]:
        """Return the stateless reset tokens of the agent's connection IDs."""
        peer_cids = [self._peer_cid, *self._peer_cid_available]
        return {
            cid.stateless_reset_token for cid in peer_cids if cid.stateless_reset_token
        }


class GoawayH3Connection(H3Connection):
    """HTTP/3 that can send GOAWAY and detect that one was received."""

    has_received_goaway = False

    def send_goaway(self) -> None:
        """Send GOAWAY, so that the peer sends new requests on another connection.

        The frame names the largest stream ID, so requests in transit are still served.
        """
        frame = encode_frame(FrameType.GOAWAY, encode_uint_var(MAX_REQUEST_STREAM_ID))
        self._quic.send_stream_data(self._local_control_stream_id, frame)

    def _check_control_frame_type(self, frame_type: int) -> None:
        """Record that a GOAWAY was received; aioquic discards the frame."""
        super()._check_control_frame_type(frame_type)
        if frame_type == FrameType.GOAWAY:
            self.has_received_goaway = True
