"""Stateless resets (RFC 9000 section 10.3): how a caller learns of a lost flow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bilberrypath.protocol.token import RESET_TOKEN_LENGTH

if TYPE_CHECKING:
    from random import Random

MIN_RESET_BYTES = 21  # bytes
MAX_RESET_BYTES = 43  # bytes
_SHORT_FORM = 0x40


def build_stateless_reset(
    reset_token: bytes | None, trigger_length: int, rng: Random
) -> bytes | None:
    """Return a reset shorter than the packet that caused it, or None.

    A reset is never as long as its cause, so that two ends can't answer each
    other's resets for ever.
    """
    length = min(MAX_RESET_BYTES, trigger_length - 1)
    if reset_token is None or length < MIN_RESET_BYTES:
        return None
    noise = bytearray(rng.randbytes(length - RESET_TOKEN_LENGTH))
    noise[0] = _SHORT_FORM | (noise[0] & 0x3F)
    return bytes(noise) + reset_token


def is_stateless_reset(packet: bytes, reset_tokens: set[bytes]) -> bool:
    """Return whether a datagram is a reset that bears one of the tokens."""
    if len(packet) < MIN_RESET_BYTES:
        return False
    return packet[-RESET_TOKEN_LENGTH:] in reset_tokens
