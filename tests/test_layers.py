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
SHARED = {"types", "settings"}


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
