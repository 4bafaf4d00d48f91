"""Serve a caller's flow on its agent: one QUIC connection with HTTP/3."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Protocol

from aioquic.h3.connection import ErrorCode, ProtocolError
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic import events as quic_events
from attrs import define, field

from bilberrypath.dispatch import dispatchmethod
from bilberrypath.protocol.http import BadRequest, decode_request_head
from bilberrypath.transport.quic import GoawayH3Connection, TokenConnection

if TYPE_CHECKING:
    from opentelemetry.context import Context

    from bilberrypath.protocol.http import RequestHead
    from bilberrypath.types import Address, Seconds

MAX_UNACKED_BYTES = 1_048_576  # per stream, buffered for its caller


class FlowOwner(Protocol):
    """The interface of the daemon that owns a flow.

    Methods that refuse a request send an outcome to its caller.
    """

    def send_packet(self, flow: Http3Flow, payload: bytes, caller: Address) -> None:
        """Send a packet to the caller of a flow."""

    def add_flow_id(self, flow: Http3Flow, connection_id: bytes) -> None:
        """Deliver packets that carry a connection ID to a flow."""

    def remove_flow_id(self, connection_id: bytes) -> None:
        """Stop delivering packets that carry a connection ID."""

    def remove_flow(self, flow: Http3Flow) -> None:
        """Remove a terminated flow and all its connection IDs."""

    def start_request(self, flow: Http3Flow, stream: RequestStream) -> asyncio.Task:
        """Start a task that answers a completely received request."""

    def reject_bad_request(self, flow: Http3Flow, stream_id: int, reason: str) -> None:
        """Refuse a request whose headers are invalid, for ``reason``."""

    def reserve_body(self, length: int) -> bool:
        """Reserve ``length`` bytes for a request body; return whether they fit."""

    def free_body(self, length: int) -> None:
        """Release ``length`` bytes of reserved buffer space."""

    def reject_large_body(self, flow: Http3Flow, stream_id: int) -> None:
        """Refuse a request whose body exceeds a size limit."""


@define
class RequestStream:
    """A request that is being received or answered on one stream of a flow.

    ``arrived_at`` is the monotonic time at which the headers arrived; the deadline
    counts from it. ``task`` answers the request and is None until the request is
    complete. ``is_rejected`` is set if the body did not fit in the buffer; the rest
    of the body is then discarded.
    """

    stream_id: int
    head: RequestHead
    arrived_at: Seconds
    body: bytearray = field(factory=bytearray)
    task: asyncio.Task | None = None
    is_rejected: bool = False


class Http3Flow:
    """One QUIC connection of a caller, with its timer, streams and requests.

    ``balancer`` is the balancer that forwarded the last packet, and ``service_port``
    the port of the service that the caller sent it to; the owner sets both with each
    packet, and ``trace_context`` before the first. ``original_connection_id`` is the
    ID that the caller chose for the open. ``_is_goaway_due`` is set if a GOAWAY was
    requested before HTTP/3 had been negotiated; it is then sent after negotiation.
    """

    def __init__(
        self,
        connection: TokenConnection,
        owner: FlowOwner,
        original_connection_id: bytes,
    ) -> None:
        self.connection = connection
        self.balancer: Address | None = None
        self.service_port = 0
        self.trace_context: Context | None = None
        self.is_terminated = False
        self.original_connection_id = original_connection_id
        self._owner = owner
        self._h3: GoawayH3Connection | None = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: float | None = None
        self._transmit_handle: asyncio.Handle | None = None
        self._stream_by_id: dict[int, RequestStream] = {}
        self._is_goaway_due = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is open or the caller has not acknowledged all data."""
        return bool(self._stream_by_id) or self.connection.has_unacked_data()

    def receive(self, payload: bytes, caller: Address, now: Seconds) -> None:
        """Process one packet from the caller."""
        self.connection.receive_datagram(payload, caller, now=now)
        self._handle_events()
        self.schedule_transmit()

    def send_goaway(self) -> None:
        """Send GOAWAY, so that the caller sends its next requests on another flow."""
        if self._h3 is None:
            self._is_goaway_due = True
        elif not self.is_terminated:
            self._h3.send_goaway()
            self.schedule_transmit()

    def close(self, reason: str) -> None:
        """Close the connection at once and send its caller the reason phrase."""
        self.connection.close(error_code=ErrorCode.H3_NO_ERROR, reason_phrase=reason)
        self._transmit()

    def send_headers(self, stream_id: int, headers: Any, end: bool) -> None:
        """Send response headers, unless the flow has terminated."""
        if self.is_terminated or self._h3 is None:
            return
        self._h3.send_headers(stream_id, headers, end_stream=end)
        self.schedule_transmit()

    def send_data(self, stream_id: int, data: bytes, end: bool) -> None:
        """Send a part of a response body, unless the flow has terminated."""
        if self.is_terminated or self._h3 is None:
            return
        self._h3.send_data(stream_id, data, end_stream=end)
        self.schedule_transmit()

    def is_send_buffer_full(self, stream_id: int) -> bool:
        """Return whether a stream has more than ``MAX_UNACKED_BYTES`` unacknowledged.

        The caller then receives it too slowly.
        """
        return self.connection.count_unacked_bytes(stream_id) > MAX_UNACKED_BYTES

    def finish(self, stream_id: int) -> None:
        """Remove a request and release the buffer space of its body."""
        stream = self._stream_by_id.pop(stream_id, None)
        if stream is not None:
            self._owner.free_body(len(stream.body))

    def schedule_transmit(self) -> None:
        """Send what is due in the next iteration of the event loop.

        Further calls before that have no effect, so packets are sent once for all
        events that are handled until then.
        """
        if self._transmit_handle is None:
            self._transmit_handle = self._loop.call_soon(self._transmit)

    def _transmit(self) -> None:
        self._transmit_handle = None
        now = self._loop.time()
        for payload, caller in self.connection.datagrams_to_send(now=now):
            self._owner.send_packet(self, payload, caller)
        self._arm_timer()

    def _arm_timer(self) -> None:
        timer_at = self.connection.get_timer()
        if self._timer is not None and timer_at != self._timer_at:
            self._timer.cancel()
            self._timer = None
        if self._timer is None and timer_at is not None:
            self._timer = self._loop.call_at(timer_at, self._handle_timer)
        self._timer_at = timer_at

    def _handle_timer(self) -> None:
        now = max(self._timer_at or 0.0, self._loop.time())
        self._timer = None
        self.connection.handle_timer(now=now)
        self._handle_events()
        self._transmit()

    def _handle_events(self) -> None:
        event = self.connection.next_event()
        while event is not None:
            self._handle_event(event)
            event = self.connection.next_event()

    @dispatchmethod
    def _handle_event(self, event: quic_events.QuicEvent) -> None:
        self._feed_h3(event)

    @_handle_event.register(quic_events.ProtocolNegotiated)
    def _(self, event: quic_events.ProtocolNegotiated) -> None:
        self._h3 = GoawayH3Connection(self.connection)
        if self._is_goaway_due:
            self._h3.send_goaway()

    @_handle_event.register(quic_events.ConnectionIdIssued)
    def _(self, event: quic_events.ConnectionIdIssued) -> None:
        self._owner.add_flow_id(self, event.connection_id)

    @_handle_event.register(quic_events.ConnectionIdRetired)
    def _(self, event: quic_events.ConnectionIdRetired) -> None:
        self._owner.remove_flow_id(event.connection_id)

    @_handle_event.register(quic_events.StreamReset)
    def _(self, event: quic_events.StreamReset) -> None:
        self._cancel_stream(event.stream_id)
        self._feed_h3(event)

    @_handle_event.register(quic_events.StopSendingReceived)
    def _(self, event: quic_events.StopSendingReceived) -> None:
        self._cancel_stream(event.stream_id)
        self._feed_h3(event)

    @_handle_event.register(quic_events.ConnectionTerminated)
    def _(self, event: quic_events.ConnectionTerminated) -> None:
        self.is_terminated = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for stream_id in list(self._stream_by_id):
            self._cancel_stream(stream_id)
        self._owner.remove_flow(self)

    def _feed_h3(self, event: quic_events.QuicEvent) -> None:
        if self._h3 is None:
            return
        try:
            http_events = self._h3.handle_event(event)
        except ProtocolError:
            return
        for http_event in http_events:
            self._handle_http_event(http_event)

    @dispatchmethod
    def _handle_http_event(self, event: Any) -> None:
        """Ignore events other than headers and data, which requests do not cause."""

    @_handle_http_event.register(HeadersReceived)
    def _(self, event: HeadersReceived) -> None:
        if event.stream_id in self._stream_by_id:
            self._start_if_ended(event.stream_ended, event.stream_id)
            return
        head = decode_request_head(event.headers)
        if isinstance(head, BadRequest):
            self._owner.reject_bad_request(self, event.stream_id, head.reason)
            return
        stream = RequestStream(event.stream_id, head, time.monotonic())
        self._stream_by_id[event.stream_id] = stream
        self._start_if_ended(event.stream_ended, event.stream_id)

    @_handle_http_event.register(DataReceived)
    def _(self, event: DataReceived) -> None:
        stream = self._stream_by_id.get(event.stream_id)
        if stream is None or stream.is_rejected:
            return
        if not self._owner.reserve_body(len(event.data)):
            stream.is_rejected = True
            self._owner.reject_large_body(self, event.stream_id)
            self.finish(event.stream_id)
            return
        stream.body += event.data
        self._start_if_ended(event.stream_ended, event.stream_id)

    def _start_if_ended(self, has_ended: bool, stream_id: int) -> None:
        stream = self._stream_by_id.get(stream_id)
        if has_ended and stream is not None and stream.task is None:
            stream.task = self._owner.start_request(self, stream)

    def _cancel_stream(self, stream_id: int) -> None:
        stream = self._stream_by_id.get(stream_id)
        self.finish(stream_id)
        if stream is not None and stream.task is not None:
            stream.task.cancel()
