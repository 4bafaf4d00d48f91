"""One caller's flow at its agent: a QUIC connection that speaks HTTP/3."""

from __future__ import annotations

import asyncio
import time
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Protocol

from aioquic.h3.connection import ErrorCode, ProtocolError
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic import events as quic_events
from attrs import define, field

from bilberrypath.protocol.http import BadRequest, decode_request_head
from bilberrypath.transport.quic import GoawayH3Connection, TokenConnection

if TYPE_CHECKING:
    from opentelemetry.context import Context

    from bilberrypath.protocol.http import RequestHead
    from bilberrypath.types import Address, Seconds

MAX_UNACKED_BYTES = 1_048_576  # bytes a stream may have waiting for its caller


class FlowOwner(Protocol):
    """What a flow needs of the daemon that owns it."""

    def send_packet(self, flow: Http3Flow, payload: bytes, caller: Address) -> None:
        """Send a packet to the caller of a flow."""

    def add_flow_id(self, flow: Http3Flow, connection_id: bytes) -> None:
        """Have packets with an id delivered to a flow."""

    def remove_flow_id(self, connection_id: bytes) -> None:
        """Stop delivering packets with an id."""

    def remove_flow(self, flow: Http3Flow) -> None:
        """Forget a flow that is over."""

    def start_request(self, flow: Http3Flow, stream: RequestStream) -> asyncio.Task:
        """Run a request that has arrived whole."""

    def reject_bad_request(self, flow: Http3Flow, stream_id: int, what: str) -> None:
        """Answer headers that can't be a request."""

    def reserve_body(self, length: int) -> bool:
        """Return whether that many more bytes of bodies can be held."""

    def free_body(self, length: int) -> None:
        """Give back what was reserved."""

    def reject_large_body(self, flow: Http3Flow, stream_id: int) -> None:
        """Answer a body that can't be held."""


@define
class RequestStream:
    """A request on its way in, on one stream of a flow."""

    stream_id: int
    head: RequestHead
    arrived_at: Seconds
    body: bytearray = field(factory=bytearray)
    task: asyncio.Task | None = None
    is_rejected: bool = False


class Http3Flow:
    """Own one connection: its timer, its streams and its requests."""

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
        """Whether a request is open, or an answer not confirmed by the caller."""
        return bool(self._stream_by_id) or self.connection.has_unacked_data()

    def receive(self, payload: bytes, caller: Address, now: Seconds) -> None:
        """Take in one packet of the flow."""
        self.connection.receive_datagram(payload, caller, now=now)
        self._handle_events()
        self.schedule_transmit()

    def send_goaway(self) -> None:
        """Ask the caller to open its next requests elsewhere."""
        if self._h3 is None:
            self._is_goaway_due = True
        elif not self.is_terminated:
            self._h3.send_goaway()
            self.schedule_transmit()

    def close(self, reason: str) -> None:
        """End the flow at once and tell its caller."""
        self.connection.close(error_code=ErrorCode.H3_NO_ERROR, reason_phrase=reason)
        self._transmit()

    def send_headers(self, stream_id: int, headers: Any, end: bool) -> None:
        """Send the headers of an answer, unless the flow is over."""
        if self.is_terminated or self._h3 is None:
            return
        self._h3.send_headers(stream_id, headers, end_stream=end)
        self.schedule_transmit()

    def send_data(self, stream_id: int, data: bytes, end: bool) -> None:
        """Send a part of an answer, unless the flow is over."""
        if self.is_terminated or self._h3 is None:
            return
        self._h3.send_data(stream_id, data, end_stream=end)
        self.schedule_transmit()

    def is_send_buffer_full(self, stream_id: int) -> bool:
        """Return whether the caller takes in a stream too slowly."""
        return self.connection.count_unacked_bytes(stream_id) > MAX_UNACKED_BYTES

    def finish(self, stream_id: int) -> None:
        """Forget a request that is answered."""
        stream = self._stream_by_id.pop(stream_id, None)
        if stream is not None:
            self._owner.free_body(len(stream.body))

    def schedule_transmit(self) -> None:
        """Send what is due after the events of this wake-up."""
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

    @singledispatchmethod
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

    @singledispatchmethod
    def _handle_http_event(self, event: Any) -> None:
        """Ignore events that no request of ours causes."""

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

    def _start_if_ended(self, ended: bool, stream_id: int) -> None:
        stream = self._stream_by_id.get(stream_id)
        if ended and stream is not None and stream.task is None:
            stream.task = self._owner.start_request(self, stream)

    def _cancel_stream(self, stream_id: int) -> None:
        stream = self._stream_by_id.get(stream_id)
        self.finish(stream_id)
        if stream is not None and stream.task is not None:
            stream.task.cancel()
