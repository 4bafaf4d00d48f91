"""Probes by a TCP connection: is a machine up, and does a process listen there?"""

from __future__ import annotations

import asyncio
import errno
import time
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberrypath.types import Address, Seconds

PROBE_TIMEOUT: Seconds = 0.5  # the first two SYN packets of a connection may be lost
OWN_STALL: Seconds = 0.1  # by which a timer of a process that runs is not late
LOCAL_ERRORS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}


class ProbeResult(Enum):
    """How a machine responded to an attempt to connect."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


async def is_machine_reachable(address: Address) -> bool:
    """Return whether a machine accepts or refuses a TCP connection.

    A refusal also shows that the machine is up, although nothing listens at the
    address. A timeout or a network error means that the machine is unreachable. It
    counts as reachable if this process could not probe it.
    """
    return await probe_address(address) is not ProbeResult.UNREACHABLE


async def probe_address(address: Address) -> ProbeResult:
    """Try to connect to an address by TCP, and return how its machine responded.

    An attempt that timed out while this process did not run is repeated once.
    """
    started_at = time.monotonic()
    result = await _try_to_connect(address)
    if time.monotonic() - started_at > PROBE_TIMEOUT + OWN_STALL:
        result = await _try_to_connect(address)
    return result


async def _try_to_connect(address: Address) -> ProbeResult:
    try:
        async with asyncio.timeout(PROBE_TIMEOUT):
            _, writer = await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except OSError as error:  # includes TimeoutError
        has_resources = error.errno not in LOCAL_ERRORS
        return ProbeResult.UNREACHABLE if has_resources else ProbeResult.UNKNOWN
    writer.transport.abort()
    return ProbeResult.ACCEPTED
