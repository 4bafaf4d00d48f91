"""Tests of the connections that use private parts of aioquic.

They fail if a new version of aioquic changes these parts.
"""

import pytest
from aioquic.quic import events

from bilberrypath.protocol.token import Route, TokenCodec
from bilberrypath.transport.quic import (
    CallerConnection,
    GoawayH3Connection,
    TokenConnection,
    make_agent_configuration,
    make_caller_configuration,
)
from tests.support.deployment import make_certificate

CLIENT, SERVER = ("127.0.0.1", 1), ("127.0.0.1", 2)
CODEC = TokenCodec({1: bytes(16)}, 1)
ROUTE = Route("127.0.0.1", 7000, 1, 1, 1)


class ConnectedPair:
    """A client and a server connection that exchange packets in memory."""

    def __init__(self, folder, token=None):
        make_certificate(folder)
        pem, key = str(folder / "certificate.pem"), str(folder / "key.pem")
        self.client = CallerConnection(
            configuration=make_caller_configuration(
                str(folder / "authorities.pem"), "localhost"
            ),
            token=token,
        )
        self.original_connection_id = self.client.peer_token
        self.server = TokenConnection(
            configuration=make_agent_configuration(pem, key),
            original_destination_connection_id=self.original_connection_id,
            issue=lambda: CODEC.issue(ROUTE),
            derive_reset_token=CODEC.derive_reset_token,
        )
        self.now = 0.0
        self.client.connect(SERVER, now=self.now)
        self.exchange()
        self.client_h3 = GoawayH3Connection(self.client)
        self.server_h3 = GoawayH3Connection(self.server)
        self.exchange()

    def exchange(self):
        """Deliver packets in both directions in six rounds, until none is due."""
        for _ in range(6):
            self.now += 0.01
            for data, _ in self.client.datagrams_to_send(self.now):
                self.server.receive_datagram(data, CLIENT, self.now)
            for data, _ in self.server.datagrams_to_send(self.now):
                self.client.receive_datagram(data, SERVER, self.now)

    def handle_events(self, connection, h3):
        """Pass a connection's events to its HTTP/3 layer, and return them."""
        events_seen = []
        while (event := connection.next_event()) is not None:
            events_seen.append(event)
            h3.handle_event(event)
        return events_seen


@pytest.fixture
def pair(tmp_path):
    """Return a connected pair after the handshake."""
    return ConnectedPair(tmp_path)


class TestTokenConnection:
    def test_every_connection_id_is_a_token(self, pair):
        assert len(pair.server.list_connection_ids()) == 8
        assert {CODEC.read(cid) for cid in pair.server.list_connection_ids()} == {ROUTE}

    def test_caller_uses_a_token_after_the_handshake(self, pair):
        assert pair.client.peer_token in pair.server.list_connection_ids()

    def test_reset_tokens_are_derived_from_the_connection_ids(self, pair):
        derived_tokens = {
            CODEC.derive_reset_token(cid) for cid in pair.server.list_connection_ids()
        }
        assert pair.client.list_reset_tokens() <= derived_tokens
        assert CODEC.derive_reset_token(pair.client.peer_token) in (
            pair.client.list_reset_tokens()
        )

    def test_retired_connection_id_is_replaced_by_a_token(self, pair):
        ids_before = set(pair.server.list_connection_ids())
        pair.client.change_connection_id()
        pair.client.send_ping(1)
        pair.exchange()
        ids_after = set(pair.server.list_connection_ids())
        assert len(ids_after) == 8
        assert ids_after != ids_before
        assert {CODEC.read(cid) for cid in ids_after} == {ROUTE}

    def test_caller_can_connect_to_the_agent_of_a_token(self, tmp_path):
        token = CODEC.issue(ROUTE)
        pair = ConnectedPair(tmp_path, token)
        assert pair.original_connection_id == token
        events_seen = pair.handle_events(pair.client, pair.client_h3)
        assert any(
            isinstance(event, events.HandshakeCompleted) for event in events_seen
        )


class TestUnackedData:
    def test_data_is_unacked_until_the_caller_acknowledges_it(self, pair):
        pair.handle_events(pair.client, pair.client_h3)
        assert not pair.server.has_unacked_data()
        pair.server_h3.send_goaway()
        assert pair.server.has_unacked_data()
        pair.exchange()
        assert not pair.server.has_unacked_data()


class TestGoaway:
    def test_goaway_is_received(self, pair):
        pair.handle_events(pair.client, pair.client_h3)
        assert not pair.client_h3.has_received_goaway
        pair.server_h3.send_goaway()
        pair.exchange()
        pair.handle_events(pair.client, pair.client_h3)
        assert pair.client_h3.has_received_goaway
