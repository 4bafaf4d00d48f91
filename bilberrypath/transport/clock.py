"""The clock of a process: monotonic, and not stopped while the machine is suspended."""

from __future__ import annotations

from time import CLOCK_BOOTTIME, clock_gettime, time_ns
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberrypath.types import Incarnation, Seconds

NANOSECONDS_PER_MILLISECOND = 1_000_000


def read_clock() -> Seconds:
    """Return the seconds since the machine was booted, including suspended time.

    ``time.monotonic`` stops while a machine is suspended. Packets that waited in its
    sockets during that time would then be taken for new ones.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def make_incarnation() -> Incarnation:
    """Return the Unix time in milliseconds, which orders the starts of a process."""
    return time_ns() // NANOSECONDS_PER_MILLISECOND
