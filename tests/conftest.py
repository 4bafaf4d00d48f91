"""Fixtures for tests that run real processes, and the tests that are known to fail."""

import itertools
from pathlib import Path

import pytest

from tests.support.deployment import Deployment

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
_subnets = itertools.count(60)


@pytest.fixture
def deployment(tmp_path):
    """A deployment of processes that ends with the test."""
    made = Deployment(tmp_path, next(_subnets))
    yield made
    made.stop()


def read_known_red():
    """Return the line of KNOWN-RED.txt for each test or command that it names."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.partition("|")[0].strip(): line for line in lines if line.strip()}


def pytest_collection_modifyitems(items):
    """Expect the tests of KNOWN-RED.txt to fail at times; they run all the same."""
    line_by_test = read_known_red()
    for item in items:
        if item.nodeid in line_by_test:
            reason = line_by_test[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the result of each test of KNOWN-RED.txt that ran."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"known red: {report.nodeid}: {outcome}")
