"""What the decoders of data of other writers share: errors, and types with ranges."""

from __future__ import annotations

from typing import Annotated, TypeAlias

import msgspec
from msgspec import Meta

# The decoders of msgspec and json raise RecursionError for input that is nested deeper
# than the interpreter's recursion limit, also in fields that are skipped.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
MAX_INTEGER = 2**53 - 1  # all JSON decoders keep it, and MessagePack can encode sums
_OCTET = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_PORT = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[1-5]\d{4}|[1-9]\d{0,3})"
_NODE_ID = rf"({_OCTET}\.){{3}}{_OCTET}:{_PORT}"

BoundedInteger: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
"""A whole number from another writer, which can be added to and encoded again."""

CheckedNodeId: TypeAlias = Annotated[str, Meta(pattern=rf"\A{_NODE_ID}\Z")]
"""A node ID that names an IPv4 address and a port to which datagrams can be sent."""

OptionalNodeId: TypeAlias = Annotated[str, Meta(pattern=rf"\A({_NODE_ID})?\Z")]
"""A node ID as :data:`CheckedNodeId`, or an empty string."""
