"""The platform's key-value service, spoken to by the etcd v3 protocol."""

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
    """Implement ``KeyValue`` with the aetcd client.

    Every call has a timeout, and any failure to answer is told as
    :class:`StoreUnavailable`: a write may then have taken effect or not.
    """

    def __init__(self, address: Address, timeout: Seconds = CALL_TIMEOUT) -> None:
        host, port = address
        self._client = aetcd.Client(host=host, port=port)
        self._timeout = timeout

    async def close(self) -> None:
        """Close the channel to the service."""
        await self._client.close()

    async def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None."""
        got = await self._call_with_timeout(self._client.get(key.encode()))
        return None if got is None else got.value

    async def get_range(self, start: str, end: str) -> Sequence[tuple[str, bytes]]:
        """Return the keys from ``start`` up to but not including ``end``."""
        rows = await self._call_with_timeout(
            self._client.get_range(start.encode(), end.encode())
        )
        return sorted((row.key.decode(), row.value) for row in rows)

    async def compare_and_swap(
        self, key: str, expected: bytes | None, writes: Sequence[Write]
    ) -> bool:
        """Apply all writes if ``key`` holds ``expected``; return whether."""
        name = key.encode()
        await self._call_with_timeout(self._client.connect())
        make = self._client.transactions
        if expected is None:
            compare = [make.create(name) == 0]
        else:
            compare = [make.value(name) == expected]
        operations = [
            make.delete(write.key.encode())
            if write.value is None
            else make.put(write.key.encode(), write.value)
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
            raise StoreUnavailable(str(error) or "timed out") from error
