"""Tests of the repeated lookups of flows without a known holder."""

import pytest

from bilberrypath.coordination import unproven_losses
from bilberrypath.coordination.unproven_losses import (
    RETRY_LIMIT,
    RETRY_PERIOD,
    UnprovenLosses,
)


class Packet:
    def __init__(self, flow):
        self.flow = flow


@pytest.fixture
def losses():
    return UnprovenLosses()


class TestRecord:
    def test_agents_that_denied_the_flow_add_up(self, losses):
        assert losses.record(None, Packet(b"f"), {"a:1"}, 1.0) == 1.0 + RETRY_PERIOD
        losses.record(None, Packet(b"f"), {"b:1"}, 1.3)
        assert losses.get(b"f").denied_by == {"a:1", "b:1"}
        assert losses.get(b"f").since == 1.0

    def test_loss_is_forgotten_after_the_limit(self, losses):
        losses.record(None, Packet(b"f"), set(), 1.0)
        assert losses.record(None, Packet(b"f"), set(), 1.1 + RETRY_LIMIT) is None
        assert losses.get(b"f") is None

    def test_number_of_flows_is_limited(self, losses, monkeypatch):
        monkeypatch.setattr(unproven_losses, "MAX_UNPROVEN_LOSSES", 2)
        due = [losses.record(None, Packet(bytes([n])), set(), 1.0) for n in range(3)]
        assert due[2] is None
        assert len(losses.loss_by_flow) == 2
        losses.forget(b"\0")
        assert losses.record(None, Packet(b"\2"), set(), 1.0) is not None
