"""Child processes that end with the process that started them.

A run that is ended from outside has no time to end its children; they would keep
their addresses, and the next run would talk to them.
"""

import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1  # linux/prctl.h
_libc = ctypes.CDLL(None, use_errno=True)


def end_with_parent():
    """Ask the kernel to end this process with its parent; called in the child."""
    if _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL) != 0:
        os._exit(1)
