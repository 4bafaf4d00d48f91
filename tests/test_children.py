"""Children of a test run that is ended from outside end with it."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
PARENT = """
import subprocess, sys, time
from tests.support.children import end_with_parent
child = subprocess.Popen(
    [sys.executable, "-c", "import time; time.sleep(60)"], preexec_fn=end_with_parent
)
print(child.pid, flush=True)
time.sleep(60)
"""


def is_running(pid):
    """Return whether a process runs; one that has ended may wait to be reaped."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"


class TestEndWithParent:
    def test_a_child_does_not_outlive_a_killed_parent(self):
        parent = subprocess.Popen(
            [sys.executable, "-c", PARENT], cwd=ROOT, stdout=subprocess.PIPE, text=True
        )
        child = int(parent.stdout.readline())
        assert is_running(child)
        os.kill(parent.pid, signal.SIGKILL)
        parent.wait()
        end = time.monotonic() + 5.0
        while is_running(child) and time.monotonic() < end:
            time.sleep(0.01)
        assert not is_running(child)
        parent.stdout.close()
