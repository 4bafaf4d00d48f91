"""End child processes together with the process that started them.

A test run that is killed cannot stop its child processes; they would keep their
addresses, and the next run would exchange packets with them.
"""

import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1  # linux/prctl.h
_libc = ctypes.CDLL(None, use_errno=True)


def end_with_parent():
    """Have the kernel kill this process when its parent ends.

    It is called in the child, as ``preexec_fn`` of :class:`subprocess.Popen`.
    """
    if _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL) != 0:
        os._exit(1)
