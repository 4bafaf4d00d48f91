"""The clock of a process: steady, and running on while its machine is suspended."""

from __future__ import annotations

from time import CLOCK_BOOTTIME, clock_gettime, time_ns
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bilberrypath.types import Incarnation, Seconds

NANOSECONDS_PER_MILLISECOND = 1_000_000  # in a millisecond


def read_clock() -> Seconds:
    """Return the seconds since the machine was started.

    ``time.monotonic`` stands still while a machine is suspended, so that what waited
    in its sockets would seem to have come just now.
    """
    return clock_gettime(CLOCK_BOOTTIME)


def make_incarnation() -> Incarnation:
    """Return the time of day in milliseconds, which orders the starts of a process."""
    return time_ns() // NANOSECONDS_PER_MILLISECOND
