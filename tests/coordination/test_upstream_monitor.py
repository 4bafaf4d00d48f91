"""Tests of reports that name no upstream to use, beside a live upstream."""

import pytest
from attrs import evolve

from bilberrypath.coordination.flow_events import UpstreamReport
from tests.support.flow_world import find_holder, make_table, make_world, open_flows

HOST = "10.2.0.1"


def make_report(world, **changes):
    """Return a report of another writer, later than all of the live upstream."""
    report = UpstreamReport(
        "i-other",
        2000 + round(world.now * 1000),
        1,
        "board",
        (HOST, 8080),
        "a",
        3,
        False,
        0.0,
    )
    return evolve(report, **changes)


def feed_and_use_flows(world, clients, report):
    """Have the agent handle a report; then send a request on each flow."""
    world.feed(HOST, report)
    world.run(0.2)
    for client in clients:
        client.send_request()
    world.run(0.5)


class TestForeignReports:
    @pytest.mark.parametrize(
        "changes",
        [{"service": "not-configured"}, {"address": ("10.2.0.77", 8080)}],
    )
    def test_report_of_another_writer_does_not_reset_flows_of_the_live_upstream(
        self, changes
    ):
        """Guard against a report with an unknown service that counts as a restart."""
        world = make_world(agents=3)
        clients = open_flows(world, 30)
        assert any(find_holder(world, client.flow) == HOST for client in clients)
        feed_and_use_flows(world, clients, make_report(world, **changes))
        assert sum(client.resets for client in clients) == 0
        assert [client.answers for client in clients] == [1] * 30
        assert world.node_by_host[HOST].service == "board"
        assert world.counts["report_dropped", "not_this_upstream"] == 1

    def test_error_names_the_value_and_the_remedy(self):
        world = make_world(agents=1)
        monitor = world.node_by_host[HOST].upstream
        error = monitor.find_report_error(make_report(world, service="boat"))
        assert error == (
            "service 'boat' is not in configuration 1; add it there, or report 'board'"
        )

    def test_service_of_a_later_configuration_is_accepted(self):
        world = make_world(agents=1)
        monitor = world.node_by_host[HOST].upstream
        report = make_report(world, service="canary")
        assert monitor.find_report_error(report) is not None
        world.set_routes(make_table(2, "canary"))
        world.run(2.0)
        assert monitor.find_report_error(report) is None

    def test_own_service_is_accepted_after_it_left_the_configuration(self):
        """Guard against an upstream that cannot report that it is draining."""
        world = make_world(agents=1)
        monitor = world.node_by_host[HOST].upstream
        world.set_routes(make_table(2, "canary"))
        world.run(2.0)
        assert monitor.find_report_error(make_report(world, service="board")) is None
