"""The start time of this process, taken before anything else is imported."""

from time import time_ns

NANOSECONDS_PER_MILLISECOND = 1_000_000
STARTED_AT_MS = time_ns() // NANOSECONDS_PER_MILLISECOND  # Unix time
