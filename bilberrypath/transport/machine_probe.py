"""Telling a machine that is gone from one whose process is away."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberrypath.types import Address, Seconds

PROBE_TIMEOUT: Seconds = 0.5  # two opening packets of a connection may be lost


async def is_machine_reachable(address: Address) -> bool:
    """Return whether a machine accepts or refuses a connection.

    A refusal is as good: the machine is there, and nothing listens. No answer in
    time, or an error of the network, means that it can't be reached.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return True
    except OSError:  # a timeout is one too
        return False
    writer.transport.abort()
    return True
