"""Tests of what a process on the platform loads when it starts.

The loaded modules determine its memory and its start time.
"""

import subprocess
import sys

import pytest

from bilberrypath.transport.bound_sockets import bind_datagram_socket
from tests.test_flow_settings import AGENT, BALANCER

UNNEEDED_MODULES = ("ssl", "_ssl", "_hashlib", "aioquic", "grpc", "opentelemetry")
PREPARE_SCRIPT = """
import sys
from bilberrypath.platform import __main__
try:
    getattr(__main__, sys.argv[1])(sys.argv[2])
finally:
    print(*sys.modules)
import ssl
assert ssl.create_default_context
"""
HOST = "127.82.0.1"


def run_prepare(role, folder):
    text = BALANCER if role == "balancer" else AGENT
    path = folder / "node.ini"
    path.write_text(text.replace("10.1.0.10", HOST).replace("10.1.0.12", HOST))
    return subprocess.run(
        [sys.executable, "-c", PREPARE_SCRIPT, f"prepare_{role}", str(path)],
        capture_output=True,
        text=True,
    )


@pytest.mark.parametrize("role", ["balancer", "agent"])
class TestLoadedModules:
    def test_unneeded_modules_are_not_loaded(self, role, tmp_path):
        result = run_prepare(role, tmp_path)
        assert result.returncode == 0, result.stderr
        loaded = result.stdout.split()
        assert "asyncio" in loaded
        assert not set(UNNEEDED_MODULES) & set(loaded)

    def test_sockets_are_bound_before_other_modules_are_loaded(self, role, tmp_path):
        other_socket = bind_datagram_socket((HOST, 7720))
        result = run_prepare(role, tmp_path)
        other_socket.close()
        assert f"{HOST}:7720: Address already in use" in result.stderr
        assert not {"asyncio", "h11", "structlog"} & set(result.stdout.split())


def test_sighup_does_not_end_a_process_that_is_starting():
    """Guard against changed settings that end a process before it serves."""
    script = """
import os, signal
import bilberrypath.platform.process_start
os.kill(os.getpid(), signal.SIGHUP)
print("running")
"""
    result = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True
    )
    assert result.stdout == "running\n"
