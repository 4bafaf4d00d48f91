"""A caller's flow: one QUIC connection, watched for silence."""

from __future__ import annotations

import asyncio
import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import ErrorCode, ProtocolError
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic import events as quic_events
from attrs import define, field

from bilberrypath.protocol.http import AGENT_HEADER, encode_request_head
from bilberrypath.protocol.stateless_reset import is_stateless_reset
from bilberrypath.transport.quic import CallerConnection, GoawayH3Connection

if TYPE_CHECKING:
    from aioquic.quic.configuration import QuicConfiguration

    from bilberrypath.protocol.http import Headers, RequestHead
    from bilberrypath.types import Address, Seconds

PING_PERIOD: Seconds = 1.0
SILENCE_LIMIT: Seconds = 2.5
MIGRATION_TIMEOUT: Seconds = 2.0
OPEN_TIMEOUT: Seconds = 3.0
RESET_REASON = "reset"


class FlowLost(Exception):
    """The flow ended before an answer was whole; ``reason`` says how."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@define
class Reply:
    """An answer on its way in."""

    headers: Headers = field(factory=list)
    parts: asyncio.Queue = field(factory=asyncio.Queue)


class CallerFlow(QuicConnectionProtocol):
    """Speak HTTP/3 over one connection to a service.

    The flow pings while it is idle. A path that answers nothing is left for
    another local port first; if that does not answer either the flow is lost.
    """

    def __init__(self, quic: CallerConnection, authority: str) -> None:
        super().__init__(quic)
        self.authority = authority
        self.original_connection_id = quic.peer_token
        self.lost_reason: str | None = None
        self.agent_incarnation = 0
        self.last_received_at = time.monotonic()
        self.migration_count = 0
        self._h3 = GoawayH3Connection(quic)
        self._reply_by_stream: dict[int, Reply] = {}
        self._watch_task: asyncio.Task | None = None
        self._remote: Address | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the flow is over."""
        return self.lost_reason is not None

    @property
    def has_received_goaway(self) -> bool:
        """Whether the agent asked for new requests to go elsewhere."""
        return self._h3.has_received_goaway

    @property
    def open_stream_count(self) -> int:
        """How many requests and streams are not finished."""
        return len(self._reply_by_stream)

    @property
    def token(self) -> bytes:
        """The routing token that leads to the agent of this flow."""
        return self._quic.peer_token

    async def open(self, address: Address) -> None:
        """Connect; raises :class:`FlowLost` if no agent takes the flow."""
        self._remote = address
        self.connect(address)
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                await self.wait_connected()
        except (TimeoutError, ConnectionError) as error:
            self._ignore_connect_error()
            self._mark_lost("no_answer")
            self.shutdown()
            raise FlowLost("no_answer") from error
        self._watch_task = asyncio.create_task(self._watch_path())

    def send_request(self, head: RequestHead, body: bytes) -> tuple[int, Reply]:
        """Send a request; its answer comes to the reply returned."""
        if self.is_lost:
            raise FlowLost(self.lost_reason)
        stream_id = self._quic.get_next_available_stream_id()
        reply = Reply()
        self._reply_by_stream[stream_id] = reply
        headers = encode_request_head(head, self.authority)
        self._h3.send_headers(stream_id, headers, end_stream=not body)
        if body:
            self._h3.send_data(stream_id, body, end_stream=True)
        self.transmit()
        return stream_id, reply

    async def read_body_part(self, reply: Reply) -> bytes | None:
        """Return the next part of a body, None at its end."""
        part = await reply.parts.get()
        if isinstance(part, FlowLost):
            raise part
        return part

    async def read_body(self, reply: Reply) -> bytes:
        """Return the whole body of an answer."""
        parts = []
        while (part := await self.read_body_part(reply)) is not None:
            parts.append(part)
        return b"".join(parts)

    def close_stream(self, stream_id: int) -> None:
        """Forget a stream; one that is not finished is cancelled."""
        if self._reply_by_stream.pop(stream_id, None) is None or self.is_lost:
            return
        if stream_id in self._quic._streams:
            self._quic.stop_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)
            self.transmit()

    def shutdown(self) -> None:
        """Close the connection and its socket."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self.close(error_code=ErrorCode.H3_NO_ERROR)
        if self._transport is not None:
            self._transport.close()

    def _ignore_connect_error(self) -> None:
        """Keep asyncio from reporting a failure that was told already."""
        waiter = self._connected_waiter
        if waiter is not None:
            waiter.add_done_callback(lambda done: done.cancelled() or done.exception())

    def transmit(self) -> None:
        """Send what is due, unless the flow's socket is closed."""
        if self._transport is not None and not self._transport.is_closing():
            super().transmit()

    # Events

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take in a packet, or the word that the flow's agent is gone."""
        self.last_received_at = time.monotonic()
        if is_stateless_reset(data, self._quic.list_reset_tokens()):
            self._mark_lost(RESET_REASON)
            return
        super().datagram_received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore what the network says; silence decides."""

    @singledispatchmethod
    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Take in an event of the connection."""
        self._feed_h3(event)

    @quic_event_received.register(quic_events.ConnectionTerminated)
    def _(self, event: quic_events.ConnectionTerminated) -> None:
        self._mark_lost(event.reason_phrase or "closed")

    def _feed_h3(self, event: quic_events.QuicEvent) -> None:
        try:
            http_events = self._h3.handle_event(event)
        except ProtocolError:
            self._mark_lost("protocol_error")
            return
        for http_event in http_events:
            self._handle_http_event(http_event)

    @singledispatchmethod
    def _handle_http_event(self, event: Any) -> None:
        """Ignore events that no answer of ours brings."""

    @_handle_http_event.register(HeadersReceived)
    def _(self, event: HeadersReceived) -> None:
        reply = self._reply_by_stream.get(event.stream_id)
        if reply is None:
            return
        reply.headers = event.headers
        self.agent_incarnation = int(dict(event.headers).get(AGENT_HEADER, b"0"))
        self._end_reply_if(event.stream_ended, event.stream_id, reply)

    @_handle_http_event.register(DataReceived)
    def _(self, event: DataReceived) -> None:
        reply = self._reply_by_stream.get(event.stream_id)
        if reply is None:
            return
        if event.data:
            reply.parts.put_nowait(event.data)
        self._end_reply_if(event.stream_ended, event.stream_id, reply)

    def _end_reply_if(self, ended: bool, stream_id: int, reply: Reply) -> None:
        if ended:
            self._reply_by_stream.pop(stream_id, None)
            reply.parts.put_nowait(None)

    def _mark_lost(self, reason: str) -> None:
        if self.is_lost:
            return
        self.lost_reason = reason
        replies, self._reply_by_stream = self._reply_by_stream, {}
        for reply in replies.values():
            reply.parts.put_nowait(FlowLost(reason))
        if self._transport is not None:
            self._transport.close()

    # Silence

    async def _watch_path(self) -> None:
        while not self.is_lost:
            await asyncio.sleep(PING_PERIOD)
            if self.is_lost:
                return
            self._quic.send_ping(id(self))
            self.transmit()
            if time.monotonic() - self.last_received_at > SILENCE_LIMIT:
                await self._migrate_path()

    async def _migrate_path(self) -> None:
        """Move to another local port; give the flow up if that is silent too."""
        silent_since = self.last_received_at
        await self._move_to_new_port()
        until = time.monotonic() + MIGRATION_TIMEOUT
        while time.monotonic() < until and not self.is_lost:
            self._quic.send_ping(id(self))
            self.transmit()
            await asyncio.sleep(0.1)
            if self.last_received_at > silent_since:
                self.migration_count += 1
                return
        self._mark_lost("silent")

    async def _move_to_new_port(self) -> None:
        old = self._transport
        loop = asyncio.get_running_loop()
        host = old.get_extra_info("sockname")[0]
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _MigrationProtocol(self), local_addr=(host, 0)
        )
        self._transport = transport
        old.close()
        self._quic.change_connection_id()


class _MigrationProtocol(asyncio.DatagramProtocol):
    """Hand the datagrams of a new socket to the flow that moved to it."""

    def __init__(self, flow: CallerFlow) -> None:
        self._flow = flow

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Pass a datagram on."""
        self._flow.datagram_received(data, addr)


async def open_flow(
    address: Address,
    configuration: QuicConfiguration,
    authority: str,
    token: bytes | None = None,
    local_host: str = "0.0.0.0",
) -> CallerFlow:
    """Open a flow to a service, or to the agent that a token names."""
    connection = CallerConnection(configuration=configuration, token=token)
    loop = asyncio.get_running_loop()
    _, flow = await loop.create_datagram_endpoint(
        lambda: CallerFlow(connection, authority), local_addr=(local_host, 0)
    )
    await flow.open(address)
    return flow
