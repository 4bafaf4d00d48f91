"""Access the platform's key-value service with the etcd v3 protocol."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aetcd
import grpc

from bilberrypath.coordination.release_store import StoreUnavailable, Write

if TYPE_CHECKING:
    from collections.abc import Awaitable, Sequence
    from typing import TypeVar

    from bilberrypath.types import Address, Seconds

    T = TypeVar("T")

CALL_TIMEOUT: Seconds = 1.5


class EtcdKeyValue:
    """The implementation of ``KeyValue`` with the aetcd client.

    Every call has a timeout. A call that times out or fails raises
    :class:`StoreUnavailable`; whether its write took effect is then unknown.
    """

    def __init__(self, address: Address, timeout: Seconds = CALL_TIMEOUT) -> None:
        host, port = address
        self._client = aetcd.Client(host=host, port=port)
        self._timeout = timeout

    async def close(self) -> None:
        """Close the channel to the service."""
        await self._client.close()

    async def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None if it does not exist."""
        entry = await self._call_with_timeout(self._client.get(key.encode()))
        return None if entry is None else entry.value

    async def get_range(self, start: str, end: str) -> Sequence[tuple[str, bytes]]:
        """Return the keys in [``start``, ``end``) with their values, in key order."""
        entries = await self._call_with_timeout(
            self._client.get_range(start.encode(), end.encode())
        )
        return sorted((entry.key.decode(), entry.value) for entry in entries)

    async def compare_and_swap(
        self, key: str, expected: bytes | None, writes: Sequence[Write]
    ) -> bool:
        """Apply all writes in one transaction if ``key`` has the value ``expected``.

        ``expected`` is None for a key that must not exist. Returns whether the writes
        were applied.
        """
        encoded_key = key.encode()
        await self._call_with_timeout(self._client.connect())
        builder = self._client.transactions
        if expected is None:
            compare = [builder.create(encoded_key) == 0]
        else:
            compare = [builder.value(encoded_key) == expected]
        operations = [
            builder.delete(write.key.encode())
            if write.value is None
            else builder.put(write.key.encode(), write.value)
            for write in writes
        ]
        succeeded, _ = await self._call_with_timeout(
            self._client.transaction(compare=compare, success=operations, failure=[])
        )
        return succeeded

    async def _call_with_timeout(self, call: Awaitable[T]) -> T:
        try:
            async with asyncio.timeout(self._timeout):
                return await call
        except (TimeoutError, aetcd.ClientError, grpc.RpcError, OSError) as error:
            raise StoreUnavailable(
                str(error) or f"call failed or took longer than {self._timeout} s"
            ) from error
