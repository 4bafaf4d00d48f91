"""Calls between datagram flow daemons, for data that does not fit a datagram.

A call is one TCP connection with one request and one reply. Each is a length prefix
followed by a MessagePack body.
"""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING, TypeVar, Union

import msgspec

from bilberrypath.protocol.bulk import CallStruct, MemberTableReply
from bilberrypath.protocol.decoding import DECODE_ERRORS
from bilberrypath.transport.stream_server import StreamServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.state.route_delta import RouteTableReply
    from bilberrypath.types import Address, Seconds

# A call takes a few ms; after a timeout, the next peer is called.
CALL_TIMEOUT: Seconds = 0.5
MAX_BODY_BYTES = 64 * 1024 * 1024  # 22,000 services take about 2 MB
LENGTH_PREFIX = struct.Struct("!I")
Reply = TypeVar("Reply")


class RoutesRequest(CallStruct, tag=1):
    """Request the changes since a route table.

    ``table_digest`` is the digest of that table, or 0 to request the whole table.
    """

    table_digest: int


class MembersRequest(CallStruct, tag=2):
    """Request the member records in the buckets whose digests differ from these."""

    digests: tuple[int, ...]


class FlowStatusRequest(CallStruct, tag=3):
    """Request the status of a process, or of one flow if ``flow`` is not empty."""

    flow: bytes


class FlowStatusReply(CallStruct):
    """The status of a process or flow, as named values for people and programs."""

    values: dict[str, str | int | float | bool]
    lists: dict[str, list[str]]


class FlowExplainRequest(CallStruct, tag=4):
    """Request what a process would do with a new open, or a flow's next packet.

    ``is_open`` is None if the process is to choose: a new open if it does not know the
    flow. ``client_data_centre`` is that of the balancer that the client's packet
    reaches, empty if it is not known.
    """

    flow: bytes
    is_open: bool | None = None
    client_data_centre: str = ""


class FlowExplainReply(CallStruct):
    """What a process would do, and why, as named values for people and programs.

    ``candidates`` has the values of each agent that may take the flow. ``error`` is not
    empty if the flow cannot be explained; it states the problem and the remedy.
    """

    values: dict[str, str | int | float | bool]
    candidates: list[dict[str, str | int | float | bool]]
    error: str = ""


BulkRequest = Union[  # noqa: UP007
    RoutesRequest, MembersRequest, FlowStatusRequest, FlowExplainRequest
]
BulkReply = Union[
    "RouteTableReply", MemberTableReply, FlowStatusReply, FlowExplainReply
]
_decode_request = msgspec.msgpack.Decoder(BulkRequest).decode
_encode = msgspec.msgpack.Encoder().encode


class CallFailed(Exception):
    """A call got no valid reply in time, or a process does not serve the request."""


class BulkServer(StreamServer):
    """A server of bulk calls, on the TCP port of the peer address.

    ``handle_request`` raises :class:`CallFailed` for a request that is not served.
    """

    def __init__(
        self,
        handle_request: Callable[[BulkRequest], BulkReply],
    ) -> None:
        super().__init__()
        self._handle_request = handle_request

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the one call of a connection; a failure aborts it without a reply."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                request = _decode_request(await _read_body(reader))
                _write_body(writer, _encode(self._handle_request(request)))
                await writer.drain()
        except (OSError, EOFError, TimeoutError, *DECODE_ERRORS, CallFailed):
            writer.transport.abort()
            return
        writer.close()


async def call_bulk(peer: Address, request: BulkRequest, reply: type[Reply]) -> Reply:
    """Return the reply of a process to a request; raises :class:`CallFailed`.

    ``reply`` is the type that the reply is decoded as.
    """
    writer = None
    try:
        async with asyncio.timeout(CALL_TIMEOUT):
            reader, writer = await asyncio.open_connection(*peer)
            _write_body(writer, _encode(request))
            return msgspec.msgpack.decode(await _read_body(reader), type=reply)
    except (OSError, EOFError, TimeoutError, *DECODE_ERRORS) as error:
        error_name = type(error).__name__
        raise CallFailed(
            f"{peer[0]}:{peer[1]}: {error_name} {error}".strip()
        ) from error
    finally:
        if writer is not None:
            writer.transport.abort()


async def _read_body(reader: asyncio.StreamReader) -> bytes:
    (length,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
    if length > MAX_BODY_BYTES:
        raise CallFailed(
            f"body of {length} bytes exceeds the limit of {MAX_BODY_BYTES} bytes"
        )
    return await reader.readexactly(length)


def _write_body(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(LENGTH_PREFIX.pack(len(body)) + body)
