"""What a process of the platform holds decides its memory and its start."""

import subprocess
import sys

import pytest

NEEDLESS = ("ssl", "_ssl", "_hashlib", "aioquic", "grpc", "opentelemetry")
CHECK = """
import sys
from bilberrypath.platform import __main__
from bilberrypath.transport import flow_agent_daemon, flow_balancer_daemon
print(*sys.modules)
import ssl
assert ssl.create_default_context
"""


@pytest.fixture(scope="module")
def loaded():
    done = subprocess.run(
        [sys.executable, "-c", CHECK], capture_output=True, text=True, check=True
    )
    return done.stdout.split()


class TestLeanStart:
    @pytest.mark.parametrize("module", NEEDLESS)
    def test_what_is_not_used_is_not_loaded(self, loaded, module):
        assert module not in loaded
