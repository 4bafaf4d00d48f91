"""A probe that distinguishes an unreachable machine from one with no process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberrypath.types import Address, Seconds

PROBE_TIMEOUT: Seconds = 0.5  # the first two SYN packets of a connection may be lost


async def is_machine_reachable(address: Address) -> bool:
    """Return whether a machine accepts or refuses a TCP connection.

    A refusal also shows that the machine is up, although nothing listens at the
    address. A timeout or a network error means that the machine is unreachable.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except OSError:  # includes TimeoutError
        return False
    writer.transport.abort()
    return True
