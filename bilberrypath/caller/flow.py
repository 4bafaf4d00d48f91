"""A caller's flow: one QUIC connection whose path is monitored with pings."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import ErrorCode, ProtocolError
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic import events as quic_events
from attrs import define, field

from bilberrypath.dispatch import dispatchmethod
from bilberrypath.protocol.http import AGENT_HEADER, encode_request_head
from bilberrypath.protocol.stateless_reset import is_stateless_reset
from bilberrypath.transport.quic import CallerConnection, GoawayH3Connection

if TYPE_CHECKING:
    from aioquic.quic.configuration import QuicConfiguration

    from bilberrypath.protocol.http import Headers, RequestHead
    from bilberrypath.types import Address, Seconds

PING_PERIOD: Seconds = 1.0
SILENCE_LIMIT: Seconds = 2.5  # without a packet, before the path is changed
MIGRATION_TIMEOUT: Seconds = 2.0  # for a packet on the new path
OPEN_TIMEOUT: Seconds = 3.0
RESET_REASON = "reset"  # a stateless reset was received


class FlowLost(Exception):
    """The end of a flow before an answer was complete; ``reason`` names the cause."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@define
class Reply:
    """An answer that is being received.

    ``parts`` queues the parts of the body, followed by None at its end or by a
    :class:`FlowLost`.
    """

    headers: Headers = field(factory=list)
    parts: asyncio.Queue = field(factory=asyncio.Queue)


class CallerFlow(QuicConnectionProtocol):
    """A QUIC connection to a service that carries HTTP/3 requests.

    The flow sends a ping every ``PING_PERIOD``. If no packet arrives for
    ``SILENCE_LIMIT``, it moves to another local port; if no packet arrives there
    within ``MIGRATION_TIMEOUT`` either, the flow is lost. ``original_connection_id``
    is the connection ID of the open, from which its trace is derived.
    ``agent_incarnation`` is 0 until an answer has named the agent's incarnation.
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
        """Whether the flow has ended; ``lost_reason`` is then set."""
        return self.lost_reason is not None

    @property
    def has_received_goaway(self) -> bool:
        """Whether the agent requested that new requests use another flow."""
        return self._h3.has_received_goaway

    @property
    def open_stream_count(self) -> int:
        """The number of requests and streams that are not finished."""
        return len(self._reply_by_stream)

    @property
    def token(self) -> bytes:
        """The routing token of the agent of this flow."""
        return self._quic.peer_token

    async def open(self, address: Address) -> None:
        """Connect to a service.

        Raises :class:`FlowLost` if no agent accepts the flow within ``OPEN_TIMEOUT``.
        """
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
        """Send a request; return its stream ID and the reply that receives its answer.

        Raises :class:`FlowLost` if the flow has ended.
        """
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
        """Return the next part of a body, or None at its end.

        Raises :class:`FlowLost` if the flow ended before the body was complete.
        """
        part = await reply.parts.get()
        if isinstance(part, FlowLost):
            raise part
        return part

    async def read_body(self, reply: Reply) -> bytes:
        """Return the complete body of an answer; raises :class:`FlowLost`."""
        parts = []
        while (part := await self.read_body_part(reply)) is not None:
            parts.append(part)
        return b"".join(parts)

    def close_stream(self, stream_id: int) -> None:
        """Remove a stream; cancel it if it is not finished."""
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
        """Keep asyncio from logging a connect error as never retrieved.

        :meth:`open` already reports it as :class:`FlowLost`.
        """
        waiter = self._connected_waiter
        if waiter is not None:
            waiter.add_done_callback(
                lambda future: future.cancelled() or future.exception()
            )

    def transmit(self) -> None:
        """Send the packets that are due, unless the socket is closed."""
        if self._transport is not None and not self._transport.is_closing():
            super().transmit()

    # Events

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Process a packet; a stateless reset means that the agent lost the flow."""
        self.last_received_at = time.monotonic()
        if is_stateless_reset(data, self._quic.list_reset_tokens()):
            self._mark_lost(RESET_REASON)
            return
        super().datagram_received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore socket errors; a path is given up only after ``SILENCE_LIMIT``."""

    @dispatchmethod
    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Handle an event of the QUIC connection."""
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

    @dispatchmethod
    def _handle_http_event(self, event: Any) -> None:
        """Ignore other events; an answer consists of headers and data only."""

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

    # Path monitoring

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
        """Move to another local port; mark the flow lost if no packet arrives there."""
        silent_since = self.last_received_at
        await self._move_to_new_port()
        expiry = time.monotonic() + MIGRATION_TIMEOUT
        while time.monotonic() < expiry and not self.is_lost:
            self._quic.send_ping(id(self))
            self.transmit()
            await asyncio.sleep(0.1)
            if self.last_received_at > silent_since:
                self.migration_count += 1
                return
        self._mark_lost("silent")

    async def _move_to_new_port(self) -> None:
        old_transport = self._transport
        loop = asyncio.get_running_loop()
        host = old_transport.get_extra_info("sockname")[0]
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _MigrationProtocol(self), local_addr=(host, 0)
        )
        self._transport = transport
        old_transport.close()
        self._quic.change_connection_id()


class _MigrationProtocol(asyncio.DatagramProtocol):
    """The protocol of a new socket, for the flow that moved to it."""

    def __init__(self, flow: CallerFlow) -> None:
        self._flow = flow

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Deliver a datagram to the flow."""
        self._flow.datagram_received(data, addr)


async def open_flow(
    address: Address,
    configuration: QuicConfiguration,
    authority: str,
    token: bytes | None = None,
    local_host: str = "0.0.0.0",
) -> CallerFlow:
    """Open a flow to a service, or to the agent that a routing token names.

    Raises :class:`FlowLost` if the flow cannot be opened.
    """
    connection = CallerConnection(configuration=configuration, token=token)
    loop = asyncio.get_running_loop()
    _, flow = await loop.create_datagram_endpoint(
        lambda: CallerFlow(connection, authority), local_addr=(local_host, 0)
    )
    await flow.open(address)
    return flow
