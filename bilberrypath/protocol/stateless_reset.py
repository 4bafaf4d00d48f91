"""Stateless resets (RFC 9000 section 10.3), which notify callers of lost flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.protocol.token import RESET_TOKEN_LENGTH

if TYPE_CHECKING:
    from random import Random

MIN_RESET_BYTES = 21
MAX_RESET_BYTES = 43
_SHORT_FORM = 0x40


def build_stateless_reset(
    reset_token: bytes | None, trigger_length: int, rng: Random
) -> bytes | None:
    """Return a reset, or None if the packet is too short or there is no token.

    A reset is always shorter than the packet that triggers it, so that two endpoints
    cannot answer each other's resets in an endless loop.
    """
    length = min(MAX_RESET_BYTES, trigger_length - 1)
    if reset_token is None or length < MIN_RESET_BYTES:
        return None
    random_prefix = bytearray(rng.randbytes(length - RESET_TOKEN_LENGTH))
    random_prefix[0] = _SHORT_FORM | (random_prefix[0] & 0x3F)
    return bytes(random_prefix) + reset_token


def is_stateless_reset(packet: bytes, reset_tokens: set[bytes]) -> bool:
    """Return whether a datagram is a reset that ends with one of the tokens."""
    if len(packet) < MIN_RESET_BYTES:
        return False
    return packet[-RESET_TOKEN_LENGTH:] in reset_tokens
