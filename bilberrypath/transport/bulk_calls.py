"""Calls between processes of datagram flows for what does not fit a datagram.

A call is one TCP connection with one request and one reply, each a length and
a MessagePack body.
"""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING, TypeVar, Union

import msgspec

from bilberrypath.protocol.bulk import Struct, TableReply
from bilberrypath.transport.stream_server import StreamServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.state.route_delta import RoutesReply
    from bilberrypath.types import Address, Seconds

CALL_TIMEOUT: Seconds = 0.5  # a call takes a few ms; the next peer is asked then
MAX_BODY = 64 * 1024 * 1024  # bytes; 22,000 services take about 2 MB
LENGTH = struct.Struct("!I")
Reply = TypeVar("Reply")


class RoutesRequest(Struct, tag=1):
    """Ask for what follows a table of routes; ``since`` is its digest, or 0."""

    since: int


class MembersRequest(Struct, tag=2):
    """Ask for the records of the buckets whose digests differ."""

    digests: tuple[int, ...]


class StatusRequest(Struct, tag=3):
    """Ask a process how it stands; ``flow`` asks for one flow, if not empty."""

    flow: bytes


class StatusReply(Struct):
    """How a process stands, as names and values for people and programs."""

    values: dict[str, str | int | float | bool]
    lists: dict[str, list[str]]


Request = Union[RoutesRequest, MembersRequest, StatusRequest]  # noqa: UP007
_decode_request = msgspec.msgpack.Decoder(Request).decode
_encode = msgspec.msgpack.Encoder().encode


class CallFailed(Exception):
    """A call was not answered in time, or not by one of ours."""


class BulkServer(StreamServer):
    """Answer calls on the TCP side of the peer address."""

    def __init__(
        self, answer: Callable[[Request], RoutesReply | TableReply | StatusReply]
    ) -> None:
        super().__init__()
        self._answer = answer

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the one call of a connection."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                request = _decode_request(await _read_body(reader))
                _write_body(writer, _encode(self._answer(request)))
                await writer.drain()
        except (OSError, EOFError, TimeoutError, msgspec.MsgspecError, CallFailed):
            writer.transport.abort()
            return
        writer.close()


async def call_bulk(peer: Address, request: Request, reply: type[Reply]) -> Reply:
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
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > MAX_BODY:
        raise CallFailed(f"a body of {length} bytes is above {MAX_BODY}")
    return await reader.readexactly(length)


def _write_body(writer: asyncio.StreamWriter, body: bytes) -> None:
    writer.write(LENGTH.pack(len(body)) + body)
