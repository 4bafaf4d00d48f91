"""Call the upstream of an agent over gRPC."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import grpc
from attrs import frozen

from bilberrypath.generated import upstream_pb2 as pb
from bilberrypath.generated.upstream_pb2_grpc import UpstreamStub
from bilberrypath.protocol.outcome import (
    Answered,
    Outcome,
    Reason,
    RefusedNotRun,
    Unknown,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from bilberrypath.protocol.http import RequestHead
    from bilberrypath.types import Address, Seconds

STATUS_PERIOD: Seconds = 0.5
STATUS_TIMEOUT: Seconds = 1.0
BODY_PART_BYTES = 64 * 1024
_CHANNEL_OPTIONS = (
    ("grpc.enable_retries", 0),
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.use_local_subchannel_pool", 1),
)


@frozen
class UpstreamConnected:
    """The connection to the upstream is up; its boot ID is not known yet."""


@frozen
class UpstreamDisconnected:
    """The connection to the upstream was lost."""


@frozen
class UpstreamStatus:
    """A status that the upstream reported.

    ``boot_id`` changes when the upstream restarts. ``draining`` is None in a status
    from the head of an answer, which does not state it; a reply to a poll does.
    """

    boot_id: str
    draining: bool | None


UpstreamEvent = UpstreamConnected | UpstreamDisconnected | UpstreamStatus


class UpstreamSession:
    """A connection to the upstream, over which requests are run.

    ``on_event`` is called with every event of the upstream. The event of a new
    connection precedes the first request that is sent over it.
    """

    def __init__(
        self, address: Address, on_event: Callable[[UpstreamEvent], None]
    ) -> None:
        self._target = f"{address[0]}:{address[1]}"
        self._on_event = on_event
        self._channel = grpc.aio.insecure_channel(
            self._target, options=_CHANNEL_OPTIONS
        )
        self._stub = UpstreamStub(self._channel)
        self._is_connected = False
        self._tasks: list[asyncio.Task] = []

    def start(self) -> None:
        """Connect to the upstream and start to monitor its connection and status."""
        self._tasks = [
            asyncio.create_task(self._watch_connection()),
            asyncio.create_task(self._poll_status()),
        ]

    async def close(self) -> None:
        """Stop monitoring and close the connection."""
        for task in self._tasks:
            task.cancel()
        await self._channel.close()

    async def exchange(
        self, head: RequestHead, body: bytes, timeout: Seconds, traceparent: str = ""
    ) -> Outcome:
        """Send one request and return its outcome within ``timeout``."""
        if not self._is_connected:
            return RefusedNotRun(Reason.UPSTREAM_AWAY, elsewhere=True)
        call = self._stub.Exchange(
            _make_request_parts(head, body),
            timeout=timeout,
            metadata=_make_metadata(traceparent),
        )
        status = None
        parts = []
        try:
            async for part in call:
                if part.WhichOneof("part") == "head":
                    status = part.head.status
                    self._on_event(UpstreamStatus(part.head.boot_id, draining=None))
                else:
                    parts.append(part.body)
        except grpc.aio.AioRpcError as error:
            return _make_failure_outcome(error.code())
        except asyncio.CancelledError:
            call.cancel()
            raise
        if status is None:  # the call ended well, but without an answer
            return Unknown(Reason.UPSTREAM_LOST)
        return Answered(status, b"".join(parts))

    async def stream(
        self, head: RequestHead, traceparent: str = ""
    ) -> AsyncIterator[bytes | Outcome]:
        """Yield the items of a stream, and an outcome as the last one if it failed."""
        if not self._is_connected:
            yield RefusedNotRun(Reason.UPSTREAM_AWAY, elsewhere=True)
            return
        call = self._stub.Exchange(
            _make_request_parts(head, b""), metadata=_make_metadata(traceparent)
        )
        try:
            async for part in call:
                if part.WhichOneof("part") == "body":
                    yield part.body
        except grpc.aio.AioRpcError as error:
            yield _make_failure_outcome(error.code())
        finally:
            call.cancel()

    async def _watch_connection(self) -> None:
        state = self._channel.get_state(try_to_connect=True)
        while True:
            is_ready = state is grpc.ChannelConnectivity.READY
            if is_ready != self._is_connected:
                self._on_event(
                    UpstreamConnected() if is_ready else UpstreamDisconnected()
                )
                self._is_connected = is_ready
            await self._channel.wait_for_state_change(state)
            state = self._channel.get_state(try_to_connect=True)
            if self._is_connected and state is grpc.ChannelConnectivity.READY:
                # The channel left READY and returned to it: the connection is new.
                self._on_event(UpstreamDisconnected())
                self._on_event(UpstreamConnected())

    async def _poll_status(self) -> None:
        while True:
            if self._is_connected:
                await self._read_status()
            await asyncio.sleep(STATUS_PERIOD)

    async def _read_status(self) -> None:
        try:
            reply = await self._stub.Status(pb.StatusRequest(), timeout=STATUS_TIMEOUT)
        except grpc.aio.AioRpcError:
            return
        self._on_event(UpstreamStatus(reply.boot_id, reply.draining))


def _make_metadata(traceparent: str) -> tuple[tuple[str, str], ...]:
    return (("traceparent", traceparent),) if traceparent else ()


async def _make_request_parts(
    head: RequestHead, body: bytes
) -> AsyncIterator[pb.RequestPart]:
    yield pb.RequestPart(
        head=pb.RequestHead(
            method=head.method,
            path=head.path,
            key=head.key,
            idempotent=head.idempotent,
            after_item=head.after_item,
        )
    )
    for start in range(0, len(body), BODY_PART_BYTES):
        yield pb.RequestPart(body=body[start : start + BODY_PART_BYTES])


def _make_failure_outcome(code: grpc.StatusCode) -> Outcome:
    if code is grpc.StatusCode.RESOURCE_EXHAUSTED:
        return RefusedNotRun(Reason.UPSTREAM_SHED, elsewhere=True)
    if code is grpc.StatusCode.FAILED_PRECONDITION:
        return RefusedNotRun(Reason.DRAINING, elsewhere=True)
    if code is grpc.StatusCode.DEADLINE_EXCEEDED:
        return Unknown(Reason.DEADLINE_PASSED)
    return Unknown(Reason.UPSTREAM_LOST)
