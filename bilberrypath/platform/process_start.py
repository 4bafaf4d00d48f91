"""What a process does before anything else is imported.

It ignores SIGHUP, which would end it, until its daemon handles the signal; the settings
are read after that anyway. Then it takes its start time.
"""

from signal import SIG_IGN, SIGHUP, signal
from time import time_ns

NANOSECONDS_PER_MILLISECOND = 1_000_000

signal(SIGHUP, SIG_IGN)
STARTED_AT_MS = time_ns() // NANOSECONDS_PER_MILLISECOND  # Unix time
