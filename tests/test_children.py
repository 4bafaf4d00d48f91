"""Tests that the child processes of a test run end when it is killed."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
PARENT_SCRIPT = """
import subprocess, sys, time
from tests.support.children import end_with_parent
child = subprocess.Popen(
    [sys.executable, "-c", "import time; time.sleep(60)"], preexec_fn=end_with_parent
)
print(child.pid, flush=True)
time.sleep(60)
"""


def is_running(pid):
    """Return whether a process runs; one in state Z has ended but is not reaped."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except FileNotFoundError:
        return False
    return state != "Z"


class TestEndWithParent:
    def test_child_does_not_outlive_a_killed_parent(self):
        parent = subprocess.Popen(
            [sys.executable, "-c", PARENT_SCRIPT],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        child_pid = int(parent.stdout.readline())
        assert is_running(child_pid)
        os.kill(parent.pid, signal.SIGKILL)
        parent.wait()
        deadline = time.monotonic() + 5.0
        while is_running(child_pid) and time.monotonic() < deadline:
            time.sleep(0.01)
        assert not is_running(child_pid)
        parent.stdout.close()
