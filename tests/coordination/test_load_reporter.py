"""Tests of when and to whom an agent reports its load."""

from random import Random

from bilberrypath.coordination.load_reporter import (
    LOAD_REPORT_FANOUT,
    LOAD_REPORT_PERIOD,
    URGENT_RISE,
    LoadReporter,
)
from bilberrypath.protocol.flow_messages import LoadReport

PEERS = [f"10.2.0.{index}:7600" for index in range(50)]


def make_report(utilization):
    return LoadReport(1, "board", True, utilization, 1)


class TestLoadReporter:
    def test_report_goes_to_a_few_peers_whatever_their_number(self):
        reporter = LoadReporter(Random(1), 0.0)
        effects = reporter.send(make_report(0.2), PEERS, 0.0)
        assert len({effect.to for effect in effects}) == LOAD_REPORT_FANOUT
        assert len(reporter.send(make_report(0.2), PEERS[:2], 1.0)) == 2

    def test_next_report_is_due_after_the_period(self):
        reporter = LoadReporter(Random(1), 0.0)
        assert reporter.is_due(0.0, 0.0)
        reporter.send(make_report(0.2), PEERS, 0.0)
        assert not reporter.is_due(0.2, LOAD_REPORT_PERIOD / 2)
        assert reporter.is_due(0.2, LOAD_REPORT_PERIOD)

    def test_large_rise_is_reported_at_once(self):
        reporter = LoadReporter(Random(1), 0.0)
        reporter.send(make_report(0.2), PEERS, 0.0)
        assert not reporter.is_due(0.2 + URGENT_RISE, 0.1)
        assert reporter.is_due(0.3 + URGENT_RISE, 0.1)
