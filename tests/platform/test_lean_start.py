"""What a process of the platform holds decides its memory and its start."""

import subprocess
import sys

import pytest

from bilberrypath.transport.bound_sockets import bind_datagram_socket
from tests.test_flow_settings import AGENT, BALANCER

NEEDLESS = ("ssl", "_ssl", "_hashlib", "aioquic", "grpc", "opentelemetry")
CHECK = """
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


def prepare(role, folder):
    text = BALANCER if role == "balancer" else AGENT
    path = folder / "node.ini"
    path.write_text(text.replace("10.1.0.10", HOST).replace("10.1.0.12", HOST))
    return subprocess.run(
        [sys.executable, "-c", CHECK, f"prepare_{role}", str(path)],
        capture_output=True,
        text=True,
    )


@pytest.mark.parametrize("role", ["balancer", "agent"])
class TestLeanStart:
    def test_what_is_not_used_is_not_loaded(self, role, tmp_path):
        done = prepare(role, tmp_path)
        assert done.returncode == 0, done.stderr
        loaded = done.stdout.split()
        assert "asyncio" in loaded
        assert not set(NEEDLESS) & set(loaded)

    def test_sockets_are_bound_before_the_rest_is_loaded(self, role, tmp_path):
        taken = bind_datagram_socket((HOST, 7720))
        done = prepare(role, tmp_path)
        taken.close()
        assert f"{HOST}:7720: Address already in use" in done.stderr
        assert not {"asyncio", "h11", "structlog"} & set(done.stdout.split())
