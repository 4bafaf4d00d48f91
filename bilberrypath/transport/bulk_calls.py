"""Calls between processes of datagram flows for what does not fit a datagram.

A call is one TCP connection with one request and one reply, each a length and
a MessagePack body.
"""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING, TypeVar, Union

import msgspec

from bilberrypath.protocol.bulk import CallStruct, MemberTableReply
from bilberrypath.transport.stream_server import StreamServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.state.route_delta import RouteTableReply
    from bilberrypath.types import Address, Seconds

CALL_TIMEOUT: Seconds = 0.5  # a call takes a few ms; the next peer is asked then
MAX_BODY_BYTES = 64 * 1024 * 1024  # bytes; 22,000 services take about 2 MB
LENGTH_PREFIX = struct.Struct("!I")
Reply = TypeVar("Reply")


class RoutesRequest(CallStruct, tag=1):
    """Ask for what follows a table of routes; ``table_digest`` is its digest, or 0."""

    table_digest: int


class MembersRequest(CallStruct, tag=2):
    """Ask for the records of the buckets whose digests differ."""

    digests: tuple[int, ...]


class FlowStatusRequest(CallStruct, tag=3):
    """Ask a process how it stands; ``flow`` asks for one flow, if not empty."""

    flow: bytes


class FlowStatusReply(CallStruct):
    """How a process stands, as names and values for people and programs."""

    values: dict[str, str | int | float | bool]
    lists: dict[str, list[str]]


BulkRequest = Union[RoutesRequest, MembersRequest, FlowStatusRequest]  # noqa: UP007
_decode_request = msgspec.msgpack.Decoder(BulkRequest).decode
_encode = msgspec.msgpack.Encoder().encode


class CallFailed(Exception):
    """A call was not answered in time, or not by one of ours."""


class BulkServer(StreamServer):
    """Answer calls on the TCP side of the peer address."""

    def __init__(
        self,
        handle_request: Callable[
            [BulkRequest], RouteTableReply | MemberTableReply | FlowStatusReply
        ],
    ) -> None:
        super().__init__()
        self._handle_request = handle_request

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the one call of a connection."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                request = _decode_request(await _read_body(reader))
                _write_body(writer, _encode(self._handle_request(request)))
                await writer.drain()
        except (OSError, EOFError, TimeoutError, msgspec.MsgspecError, CallFailed):
            writer.transport.abort()
            return
        writer.close()


async def call_bulk(peer: Address, request: BulkRequest, reply: type[Reply]) -> Reply:
    """Call a process; raises :class:`CallFailed`."""
    writer = None
    try:
        async with asyncio.timeout(CALL_TIMEOUT):
            reader, writer = await asyncio.open_connection(*peer)
            _write_body(writer, _encode(request))
            return msgspec.msgpack.decode(await _read_body(reader), type=reply)
    except (OSError, EOFError, TimeoutError, msgspec.MsgspecError) as error:
        name = type(error).__name__
        raise CallFailed(f"{peer[0]}:{peer[1]}: {name} {error}".strip()) from error
    finally:
        if writer is not None:
            writer.transport.abort()


async def _read_body(reader: asyncio.StreamReader) -> bytes:
    (length,) = LENGTH_PREFIX.unpack(await reader.readexactly(LENGTH_PREFIX.size))
    if length > MAX_BODY_BYTES:
        raise CallFailed(f"a body of {length} bytes is above {MAX_BODY_BYTES}")
    return await reader.readexactly(length)


def _write_body(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(LENGTH_PREFIX.pack(len(body)) + body)
