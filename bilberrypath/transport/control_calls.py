"""Control calls over gRPC: bulk pulls between processes and status queries."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import grpc
import msgspec

from bilberrypath.protocol import bulk
from bilberrypath.protocol.decoding import DECODE_ERRORS
from bilberrypath.state.release import Release, decode_bucket, encode_bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.protocol.frame import FrameSealer
    from bilberrypath.types import Address, Seconds

CALL_TIMEOUT: Seconds = 2.0
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
Reply = TypeVar("Reply")
_CHANNEL_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
)


class CallFailed(Exception):
    """A control call failed, or its reply was sealed with another peer key."""


class ControlServer:
    """A gRPC server of control calls, on the TCP port of the peer address.

    Requests and replies are sealed with the peer key. A request that is sealed with
    another key is rejected as unauthenticated.
    """

    def __init__(self, address: Address, sealer: FrameSealer) -> None:
        self._sealer = sealer
        self._handler_by_method: dict[str, grpc.RpcMethodHandler] = {}
        self._server = grpc.aio.server(
            options=(*_CHANNEL_OPTIONS, ("grpc.so_reuseport", 0))
        )
        self._server.add_insecure_port(f"{address[0]}:{address[1]}")

    def register_handler(
        self, method: str, request_type: type, make_reply: Callable
    ) -> None:
        """Register ``make_reply`` as the function that answers a method's requests.

        ``method`` is the full gRPC path; requests are decoded as ``request_type``.
        """

        async def handle(sealed: bytes, context: grpc.aio.ServicerContext) -> bytes:
            body = self._sealer.open_control(sealed)
            if body is None:
                await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong peer key")
            request = msgspec.msgpack.decode(body, type=request_type)
            return self._sealer.seal_control(
                msgspec.msgpack.encode(make_reply(request))
            )

        method_name = method.rpartition("/")[2]
        self._handler_by_method[method_name] = grpc.unary_unary_rpc_method_handler(
            handle
        )

    async def start(self) -> None:
        """Start to accept calls."""
        handler = grpc.method_handlers_generic_handler(
            bulk.GRPC_SERVICE, self._handler_by_method
        )
        self._server.add_generic_rpc_handlers((handler,))
        await self._server.start()

    async def stop(self) -> None:
        """Stop the server; running calls have 0.2 s to complete."""
        await self._server.stop(grace=0.2)


async def call_control(
    peer: Address,
    sealer: FrameSealer,
    method: str,
    request: object,
    reply_type: type[Reply],
) -> Reply:
    """Call a daemon and return its reply, decoded as ``reply_type``.

    Raises :class:`CallFailed` if the call fails or takes longer than
    ``CALL_TIMEOUT``, or if the reply is sealed with another peer key.
    """
    target = f"{peer[0]}:{peer[1]}"
    async with grpc.aio.insecure_channel(target, options=_CHANNEL_OPTIONS) as channel:
        try:
            sealed = await channel.unary_unary(method)(
                sealer.seal_control(msgspec.msgpack.encode(request)),
                timeout=CALL_TIMEOUT,
            )
        except grpc.RpcError as error:
            raise CallFailed(f"{target}: {error.details()}") from error
    body = sealer.open_control(sealed)
    if body is None:
        raise CallFailed(
            f"{target}: reply is not sealed with the configured peer key; "
            "set the same peer_key on both sides"
        )
    try:
        return msgspec.msgpack.decode(body, type=reply_type)
    except DECODE_ERRORS as error:
        raise CallFailed(f"{target}: reply cannot be decoded: {error}") from error


def encode_release(release: Release) -> bulk.ReleaseSnapshot:
    """Return a release as the message that carries it."""
    return bulk.ReleaseSnapshot(
        release.revision,
        release.note_id,
        release.next_service_number,
        release.next_data_centre_number,
        tuple(release.data_centre_by_name.values()),
        tuple(encode_bucket(bucket.service_by_name) for bucket in release.buckets),
        release.digest(),
    )


def decode_release(snapshot: bulk.ReleaseSnapshot) -> Release | None:
    """Return the release in a message, or None if its digest does not match."""
    release = Release(
        snapshot.revision,
        snapshot.note_id,
        snapshot.next_service_number,
        snapshot.next_data_centre_number,
        {centre.name: centre for centre in snapshot.data_centres},
        tuple(decode_bucket(data) for data in snapshot.buckets),
    )
    return release if release.digest() == snapshot.digest else None
