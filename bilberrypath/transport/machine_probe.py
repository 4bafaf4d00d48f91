"""Probes by a TCP connection: is a machine up, and does a process listen there?"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberrypath.types import Address, Seconds

PROBE_TIMEOUT: Seconds = 0.5  # the first two SYN packets of a connection may be lost


class ProbeResult(Enum):
    """How a machine responded to an attempt to connect."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


async def is_machine_reachable(address: Address) -> bool:
    """Return whether a machine accepts or refuses a TCP connection.

    A refusal also shows that the machine is up, although nothing listens at the
    address. A timeout or a network error means that the machine is unreachable.
    """
    return await probe_address(address) is not ProbeResult.UNREACHABLE


async def probe_address(address: Address) -> ProbeResult:
    """Try to connect to an address by TCP, and return how its machine responded."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except OSError:  # includes TimeoutError
        return ProbeResult.UNREACHABLE
    writer.transport.abort()
    return ProbeResult.ACCEPTED
