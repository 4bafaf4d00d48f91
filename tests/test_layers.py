"""Each layer imports only what is below it."""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / "bilberrypath"
ALLOWED = {
    "protocol": {"protocol", "state"},
    "state": {"state", "protocol"},
    "coordination": {"coordination", "protocol", "state"},
    "transport": {"transport", "coordination", "protocol", "state", "generated"},
}
FOREIGN = {"asyncio", "socket", "time", "grpc", "aioquic", "aetcd", "structlog"}
PURE = ("coordination", "state", "protocol")
SHARED = {"types", "settings", "settings_reader", "flow_settings"}
WIRE_NAMES = (
    "heartbeatAddr",
    "coldRemainingMs",
    "cold_remaining",
    "maxConns",
    "max_conns",
    "coldPerS",
    "cold_per_s",
    "datagramAddr",
    "idleTimeoutMs",
    "idle_timeout_ms",
    "bounced",
    "kv-watch",
    "kv-range",
    "op/",
    "evacuate",
    "BILBERRYPATH_BOOT",
    "/v1/",
    "born",
    "tenant",
)


def list_imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


def list_modules(layer):
    return sorted((PACKAGE / layer).glob("*.py"))


class TestLayers:
    @pytest.mark.parametrize("layer", ALLOWED)
    def test_imports_point_down(self, layer):
        for path in list_modules(layer):
            for name in list_imports(path):
                parts = name.split(".")
                if parts[0] == "bilberrypath" and parts[1] not in SHARED:
                    assert parts[1] in ALLOWED[layer], f"{path.name} imports {name}"

    @pytest.mark.parametrize("layer", PURE)
    def test_decisions_know_no_socket_clock_or_client(self, layer):
        for path in list_modules(layer):
            if path.name == "token.py":
                continue
            used = {name.split(".")[0] for name in list_imports(path)}
            assert not used & FOREIGN, f"{path.name} imports {used & FOREIGN}"


class TestPlatform:
    """The users' platform is known in one folder only."""

    def list_other_modules(self):
        folder = PACKAGE / "platform"
        paths = PACKAGE.rglob("*.py")
        return [path for path in paths if folder not in path.parents]

    def test_nothing_imports_the_adapter(self):
        for path in self.list_other_modules():
            for name in list_imports(path):
                adapter = name and name.startswith("bilberrypath.platform")
                assert not adapter, f"{path.name} imports {name}"

    @pytest.mark.parametrize("word", WIRE_NAMES)
    def test_no_name_of_the_wire_is_used_elsewhere(self, word):
        for path in self.list_other_modules():
            text = path.read_text().lower()
            assert word.lower() not in text, f"{path.name} says {word}"

    def test_the_adapter_stays_small(self):
        paths = (PACKAGE / "platform").glob("*.py")
        lines = sum(len(path.read_text().splitlines()) for path in paths)
        assert lines <= 900
