"""Routing tokens: QUIC connection IDs that identify the agent of a flow.

A token has 20 bytes, the maximum in RFC 9000: one byte with the key ID, one AES block
that hides the route from callers, and a three-byte keyed hash. Any balancer with the
key can route the packets of an established flow without a table of flows. The scheme
follows the single-pass mode of the QUIC-LB draft.
"""

import hashlib
import os
import socket
import struct

from attrs import Factory, define, frozen
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes

TOKEN_LENGTH = 20  # bytes
TAG_LENGTH = 3  # bytes
RESET_TOKEN_LENGTH = 16  # bytes, RFC 9000 section 10.3
KEY_LENGTH = 16  # bytes
INCARNATION_MASK = 0xFFFFFF
_ROUTE = struct.Struct("!4sHHB3s4s")
_NONCE_LENGTH = 4  # bytes


@frozen
class Route:
    """The agent process that the packets of a flow are sent to, and what it serves.

    ``service`` and ``data_centre`` are their numbers in the release. ``incarnation``
    holds the low 24 bits of the agent's incarnation.
    """

    host: str
    port: int
    service: int
    data_centre: int
    incarnation: int


@define
class TokenCodec:
    """A codec that issues and reads routing tokens with a set of keys.

    Parameters
    ----------
    key_by_id : dict of int to bytes
        Keys of 16 bytes. Tokens of all these keys are accepted, so that tokens issued
        with the previous key remain valid during a key rotation.
    active_id : int
        The ID of the key that new tokens are issued with.

    Examples
    --------
    >>> codec = TokenCodec({1: bytes(16)}, active_id=1)
    >>> route = Route("127.0.0.9", 7000, 3, 1, 77)
    >>> codec.read(codec.issue(route)) == route
    True
    """

    key_by_id: dict[int, bytes]
    active_id: int
    _encryptor_by_id: dict = Factory(dict)
    _decryptor_by_id: dict = Factory(dict)

    def __attrs_post_init__(self) -> None:
        if self.active_id not in self.key_by_id:
            raise ValueError(
                f"active key id {self.active_id} is not among the token keys "
                f"{sorted(self.key_by_id)}; add the key or choose one of these"
            )
        for key_id, key in self.key_by_id.items():
            cipher = Cipher(algorithms.AES(key), modes.ECB())
            self._encryptor_by_id[key_id] = cipher.encryptor()
            self._decryptor_by_id[key_id] = cipher.decryptor()

    def issue(self, route: Route, nonce: bytes | None = None) -> bytes:
        """Return a new token for ``route``; its tokens differ by their nonces."""
        plain = _ROUTE.pack(
            socket.inet_aton(route.host),
            route.port,
            route.service,
            route.data_centre,
            (route.incarnation & INCARNATION_MASK).to_bytes(3, "big"),
            os.urandom(_NONCE_LENGTH) if nonce is None else nonce,
        )
        block = self._encryptor_by_id[self.active_id].update(plain)
        body = bytes([self.active_id]) + block
        return body + _compute_tag(self.key_by_id[self.active_id], body)

    def read(self, token: bytes) -> Route | None:
        """Return the route in ``token``, or None if no key authenticates it."""
        if len(token) != TOKEN_LENGTH:
            return None
        key = self.key_by_id.get(token[0])
        if key is None:
            return None
        if _compute_tag(key, token[:-TAG_LENGTH]) != token[-TAG_LENGTH:]:
            return None
        plain = self._decryptor_by_id[token[0]].update(token[1:-TAG_LENGTH])
        host, port, service, data_centre, incarnation, _ = _ROUTE.unpack(plain)
        return Route(
            socket.inet_ntoa(host),
            port,
            service,
            data_centre,
            int.from_bytes(incarnation, "big"),
        )

    def derive_reset_token(self, token: bytes) -> bytes | None:
        """Return the stateless reset token for a routing token, or None.

        None means that the key of the token is unknown. Every process with the key
        derives the same value, so that a balancer can notify a caller that the agent
        of its flow has ended and will not return.
        """
        key = self.key_by_id.get(token[0]) if token else None
        if key is None:
            return None
        return hashlib.blake2s(
            token, digest_size=RESET_TOKEN_LENGTH, key=key, person=b"reset"
        ).digest()


def _compute_tag(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2s(body, digest_size=TAG_LENGTH, key=key).digest()
