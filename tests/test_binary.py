"""Tests of the single-file executable: it runs, and its process has no child."""

import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.support.deployment import ROOT, Process

BINARY = ROOT / "dist" / "bilberrypath"


@pytest.fixture(scope="module")
def binary():
    """Build the executable and return its path."""
    subprocess.run(["make", "binary"], cwd=ROOT, check=True, capture_output=True)
    return str(BINARY)


def list_children(pid):
    """Return the IDs of the child processes of a process that have not ended."""
    path = Path(f"/proc/{pid}/task/{pid}/children")
    return path.read_text().split()


class TestBinary:
    def test_help(self, binary):
        result = subprocess.run(
            [sys.executable, binary, "--help"], capture_output=True, check=True
        )
        assert b"check-settings" in result.stdout

    def test_running_balancer_has_no_child(self, binary, deployment):
        deployment.has_store = False
        node = deployment.add_balancer("atlantic")
        node.balancer.kill()
        settings = str(deployment.folder / f"{node.host}.ini")
        log = deployment.folder / "binary.log"
        with log.open("wb") as output:
            popen = subprocess.Popen(
                [sys.executable, binary, "balancer", "--settings", settings],
                stdout=output,
                stderr=output,
            )
        deployment.processes.append(Process("binary", popen, []))
        while b"started" not in log.read_bytes():
            assert popen.poll() is None, log.read_text()
            time.sleep(0.05)
        assert list_children(popen.pid) == []
