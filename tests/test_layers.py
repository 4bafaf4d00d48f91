"""Tests that each layer imports only the layers below it.

``protocol`` and ``state`` are on one level and may import each other.
"""

import ast
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[1] / "bilberrypath"
ALLOWED_IMPORTS = {
    "protocol": {"protocol", "state"},
    "state": {"state", "protocol"},
    "load": {"load", "protocol", "state"},
    "coordination": {"coordination", "load", "protocol", "state"},
    "transport": {
        "transport",
        "coordination",
        "load",
        "protocol",
        "state",
        "generated",
    },
}
IO_MODULES = {"asyncio", "socket", "time", "grpc", "aioquic", "aetcd", "structlog"}
PURE_LAYERS = ("coordination", "load", "state", "protocol")
SHARED_MODULES = {"dispatch", "types", "settings", "settings_reader", "flow_settings"}
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
    "targetLatencyMs",
    "timeoutMs",
    "bounced",
    "kv-watch",
    "kv-range",
    "op/",
    "evacuate",
    "BILBERRYPATH_BOOT",
    "/v1/",
    "born",
    "tenant",
    "store-era",
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
    @pytest.mark.parametrize("layer", ALLOWED_IMPORTS)
    def test_layer_imports_only_allowed_layers(self, layer):
        for path in list_modules(layer):
            for name in list_imports(path):
                parts = name.split(".")
                if parts[0] == "bilberrypath" and parts[1] not in SHARED_MODULES:
                    assert parts[1] in ALLOWED_IMPORTS[layer], (
                        f"{path.name} imports {name}"
                    )

    @pytest.mark.parametrize("layer", PURE_LAYERS)
    def test_pure_layers_import_no_socket_clock_or_client(self, layer):
        for path in list_modules(layer):
            if path.name == "token.py":  # uses socket only to convert addresses
                continue
            used = {name.split(".")[0] for name in list_imports(path)}
            assert not used & IO_MODULES, f"{path.name} imports {used & IO_MODULES}"


class TestPlatform:
    """Only the adapter, ``bilberrypath/platform``, depends on the users' platform."""

    def list_other_modules(self):
        folder = PACKAGE / "platform"
        paths = PACKAGE.rglob("*.py")
        return [path for path in paths if folder not in path.parents]

    def test_no_other_module_imports_the_adapter(self):
        for path in self.list_other_modules():
            for name in list_imports(path):
                is_adapter = name and name.startswith("bilberrypath.platform")
                assert not is_adapter, f"{path.name} imports {name}"

    @pytest.mark.parametrize("wire_name", WIRE_NAMES)
    def test_wire_names_are_used_only_in_the_adapter(self, wire_name):
        for path in self.list_other_modules():
            text = path.read_text().lower()
            assert wire_name.lower() not in text, f"{path.name} contains {wire_name}"

    def test_adapter_has_at_most_900_lines(self):
        paths = (PACKAGE / "platform").glob("*.py")
        lines = sum(len(path.read_text().splitlines()) for path in paths)
        assert lines <= 900
