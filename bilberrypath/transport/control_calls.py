"""Control calls over gRPC: bulk pulls between processes, status for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import grpc
import msgspec

from bilberrypath.protocol import bulk
from bilberrypath.state.release import Release, decode_bucket, encode_bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.protocol.frame import FrameSealer
    from bilberrypath.types import Address, Seconds

CALL_TIMEOUT: Seconds = 2.0
MAX_MESSAGE_BYTES = 64 * 1024 * 1024  # bytes
Reply = TypeVar("Reply")
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.enable_http_proxy", 0),
)


class CallFailed(Exception):
    """A control call was not answered, or not by one of ours."""


class ControlServer:
    """Answer control calls on the TCP side of the peer address."""

    def __init__(self, address: Address, seal: FrameSealer) -> None:
        self._seal = seal
        self._handler_by_method: dict[str, grpc.RpcMethodHandler] = {}
        self._server = grpc.aio.server(options=(*_OPTIONS, ("grpc.so_reuseport", 0)))
        self._server.add_insecure_port(f"{address[0]}:{address[1]}")

    def register_handler(self, method: str, request_type: type, make: Callable) -> None:
        """Have ``make`` answer a method's requests."""

        async def handle(sealed: bytes, context: grpc.aio.ServicerContext) -> bytes:
            body = self._seal.open_control(sealed)
            if body is None:
                await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong peer key")
            request = msgspec.msgpack.decode(body, type=request_type)
            return self._seal.seal_control(msgspec.msgpack.encode(make(request)))

        name = method.rpartition("/")[2]
        self._handler_by_method[name] = grpc.unary_unary_rpc_method_handler(handle)

    async def start(self) -> None:
        """Begin to answer."""
        handler = grpc.method_handlers_generic_handler(
            bulk.GRPC_SERVICE, self._handler_by_method
        )
        self._server.add_generic_rpc_handlers((handler,))
        await self._server.start()

    async def stop(self) -> None:
        """Stop answering."""
        await self._server.stop(grace=0.2)


async def call_control(
    peer: Address, seal: FrameSealer, method: str, request: object, reply: type[Reply]
) -> Reply:
    """Call a daemon; raises :class:`CallFailed`."""
    target = f"{peer[0]}:{peer[1]}"
    async with grpc.aio.insecure_channel(target, options=_OPTIONS) as channel:
        try:
            sealed = await channel.unary_unary(method)(
                seal.seal_control(msgspec.msgpack.encode(request)),
                timeout=CALL_TIMEOUT,
            )
        except grpc.RpcError as error:
            raise CallFailed(f"{target}: {error.details()}") from error
    body = seal.open_control(sealed)
    if body is None:
        raise CallFailed(f"{target}: the answer bears another peer key")
    return msgspec.msgpack.decode(body, type=reply)


def encode_release(release: Release) -> bulk.ReleaseSnapshot:
    """Return a release in the form that travels."""
    return bulk.ReleaseSnapshot(
        release.revision,
        release.note_id,
        release.next_service_number,
        release.next_data_centre_number,
        tuple(release.data_centre_by_name.values()),
        tuple(encode_bucket(bucket.service_by_name) for bucket in release.buckets),
        release.digest(),
    )


def decode_release(whole: bulk.ReleaseSnapshot) -> Release | None:
    """Return the release that travelled, or None if it is torn."""
    release = Release(
        whole.revision,
        whole.note_id,
        whole.next_service_number,
        whole.next_data_centre_number,
        {centre.name: centre for centre in whole.data_centres},
        tuple(decode_bucket(data) for data in whole.buckets),
    )
    return release if release.digest() == whole.digest else None
