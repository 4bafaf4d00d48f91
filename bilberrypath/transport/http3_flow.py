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

from bilberrypath.protocol.http import BadRequest, read_request_head
from bilberrypath.transport.quic import GoawayH3, TokenConnection

if TYPE_CHECKING:
    from opentelemetry.context import Context

    from bilberrypath.protocol.http import RequestHead
    from bilberrypath.types import Address, Seconds

MAX_UNSENT = 1_048_576  # bytes a stream may have waiting for its caller


class FlowOwner(Protocol):
    """What a flow needs of the daemon that owns it."""

    def send_packet(self, flow: Flow, payload: bytes, caller: Address) -> None:
        """Send a packet to the caller of a flow."""

    def add_flow_id(self, flow: Flow, connection_id: bytes) -> None:
        """Have packets with an id delivered to a flow."""

    def remove_flow_id(self, connection_id: bytes) -> None:
        """Stop delivering packets with an id."""

    def note_terminated(self, flow: Flow) -> None:
        """Forget a flow that is over."""

    def start_request(self, flow: Flow, stream: RequestStream) -> asyncio.Task:
        """Run a request that has arrived whole."""

    def refuse_bad(self, flow: Flow, stream_id: int, what: str) -> None:
        """Answer headers that can't be a request."""

    def reserve_body(self, length: int) -> bool:
        """Return whether that many more bytes of bodies can be held."""

    def free_body(self, length: int) -> None:
        """Give back what was reserved."""

    def refuse_large(self, flow: Flow, stream_id: int) -> None:
        """Answer a body that can't be held."""


@define
class RequestStream:
    """A request on its way in, on one stream of a flow."""

    stream_id: int
    head: RequestHead
    arrived_at: Seconds
    body: bytearray = field(factory=bytearray)
    task: asyncio.Task | None = None
    refused: bool = False


class Flow:
    """Own one connection: its timer, its streams and its requests."""

    def __init__(
        self, connection: TokenConnection, owner: FlowOwner, first_id: bytes
    ) -> None:
        self.connection = connection
        self.balancer: Address | None = None
        self.service_port = 0
        self.trace_context: Context | None = None
        self.is_over = False
        self.first_id = first_id
        self._owner = owner
        self._h3: GoawayH3 | None = None
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at: float | None = None
        self._transmit_soon: asyncio.Handle | None = None
        self._stream_by_id: dict[int, RequestStream] = {}
        self._goaway_due = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is open, or an answer not confirmed by the caller."""
        return bool(self._stream_by_id) or self.connection.has_unconfirmed()

    def receive(self, payload: bytes, caller: Address, now: Seconds) -> None:
        """Take in one packet of the flow."""
        self.connection.receive_datagram(payload, caller, now=now)
        self._take_events()
        self.transmit_soon()

    def say_goaway(self) -> None:
        """Ask the caller to open its next requests elsewhere."""
        if self._h3 is None:
            self._goaway_due = True
        elif not self.is_over:
            self._h3.send_goaway()
            self.transmit_soon()

    def close(self, reason: str) -> None:
        """End the flow at once and tell its caller."""
        self.connection.close(error_code=ErrorCode.H3_NO_ERROR, reason_phrase=reason)
        self._transmit()

    def send_headers(self, stream_id: int, headers: Any, end: bool) -> None:
        """Send the headers of an answer, unless the flow is over."""
        if self.is_over or self._h3 is None:
            return
        self._h3.send_headers(stream_id, headers, end_stream=end)
        self.transmit_soon()

    def send_data(self, stream_id: int, data: bytes, end: bool) -> None:
        """Send a part of an answer, unless the flow is over."""
        if self.is_over or self._h3 is None:
            return
        self._h3.send_data(stream_id, data, end_stream=end)
        self.transmit_soon()

    def is_clogged(self, stream_id: int) -> bool:
        """Return whether the caller takes in a stream too slowly."""
        return self.connection.count_unsent(stream_id) > MAX_UNSENT

    def finish(self, stream_id: int) -> None:
        """Forget a request that is answered."""
        stream = self._stream_by_id.pop(stream_id, None)
        if stream is not None:
            self._owner.free_body(len(stream.body))

    def transmit_soon(self) -> None:
        """Send what is due after the events of this wake-up."""
        if self._transmit_soon is None:
            self._transmit_soon = self._loop.call_soon(self._transmit)

    def _transmit(self) -> None:
        self._transmit_soon = None
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
            self._timer = self._loop.call_at(timer_at, self._take_timer)
        self._timer_at = timer_at

    def _take_timer(self) -> None:
        now = max(self._timer_at or 0.0, self._loop.time())
        self._timer = None
        self.connection.handle_timer(now=now)
        self._take_events()
        self._transmit()

    def _take_events(self) -> None:
        event = self.connection.next_event()
        while event is not None:
            self._take_event(event)
            event = self.connection.next_event()

    @singledispatchmethod
    def _take_event(self, event: quic_events.QuicEvent) -> None:
        self._pass_to_h3(event)

    @_take_event.register(quic_events.ProtocolNegotiated)
    def _(self, event: quic_events.ProtocolNegotiated) -> None:
        self._h3 = GoawayH3(self.connection)
        if self._goaway_due:
            self._h3.send_goaway()

    @_take_event.register(quic_events.ConnectionIdIssued)
    def _(self, event: quic_events.ConnectionIdIssued) -> None:
        self._owner.add_flow_id(self, event.connection_id)

    @_take_event.register(quic_events.ConnectionIdRetired)
    def _(self, event: quic_events.ConnectionIdRetired) -> None:
        self._owner.remove_flow_id(event.connection_id)

    @_take_event.register(quic_events.StreamReset)
    def _(self, event: quic_events.StreamReset) -> None:
        self._cancel_stream(event.stream_id)
        self._pass_to_h3(event)

    @_take_event.register(quic_events.StopSendingReceived)
    def _(self, event: quic_events.StopSendingReceived) -> None:
        self._cancel_stream(event.stream_id)
        self._pass_to_h3(event)

    @_take_event.register(quic_events.ConnectionTerminated)
    def _(self, event: quic_events.ConnectionTerminated) -> None:
        self.is_over = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for stream_id in list(self._stream_by_id):
            self._cancel_stream(stream_id)
        self._owner.note_terminated(self)

    def _pass_to_h3(self, event: quic_events.QuicEvent) -> None:
        if self._h3 is None:
            return
        try:
            http_events = self._h3.handle_event(event)
        except ProtocolError:
            return
        for http_event in http_events:
            self._take_http_event(http_event)

    @singledispatchmethod
    def _take_http_event(self, event: Any) -> None:
        """Ignore events that no request of ours causes."""

    @_take_http_event.register(HeadersReceived)
    def _(self, event: HeadersReceived) -> None:
        if event.stream_id in self._stream_by_id:
            self._end_if(event.stream_ended, event.stream_id)
            return
        head = read_request_head(event.headers)
        if isinstance(head, BadRequest):
            self._owner.refuse_bad(self, event.stream_id, head.what)
            return
        stream = RequestStream(event.stream_id, head, time.monotonic())
        self._stream_by_id[event.stream_id] = stream
        self._end_if(event.stream_ended, event.stream_id)

    @_take_http_event.register(DataReceived)
    def _(self, event: DataReceived) -> None:
        stream = self._stream_by_id.get(event.stream_id)
        if stream is None or stream.refused:
            return
        if not self._owner.reserve_body(len(event.data)):
            stream.refused = True
            self._owner.refuse_large(self, event.stream_id)
            self.finish(event.stream_id)
            return
        stream.body += event.data
        self._end_if(event.stream_ended, event.stream_id)

    def _end_if(self, ended: bool, stream_id: int) -> None:
        stream = self._stream_by_id.get(stream_id)
        if ended and stream is not None and stream.task is None:
            stream.task = self._owner.start_request(self, stream)

    def _cancel_stream(self, stream_id: int) -> None:
        stream = self._stream_by_id.get(stream_id)
        self.finish(stream_id)
        if stream is not None and stream.task is not None:
            stream.task.cancel()
