"""Tests that each fault injected into the flow decisions fails a test.

Each entry of ``FAULTS`` holds a class, one of its methods, a faulty replacement, and a
test that passes without the replacement and must fail with it.
"""

import msgspec
import pytest

from bilberrypath.coordination.failure_rate import FailureRate
from bilberrypath.coordination.flow_balancer import FlowBalancer
from bilberrypath.coordination.flow_location_cache import FlowLocationCache
from bilberrypath.coordination.flow_locator import FlowLocator
from bilberrypath.coordination.flow_lookup import ActiveLookups, NoHolder
from bilberrypath.coordination.flow_resolver import FlowResolver
from bilberrypath.coordination.held_flows import HeldFlows
from bilberrypath.coordination.lost_flows import LostFlows
from bilberrypath.coordination.open_handler import OpenHandler
from bilberrypath.coordination.open_target import OpenTarget
from bilberrypath.coordination.pause_detector import PauseDetector
from bilberrypath.coordination.route_tracker import RouteTracker
from bilberrypath.coordination.unresponsive_peers import UnresponsivePeers
from bilberrypath.coordination.upstream_health import RejectReason, UpstreamHealth
from bilberrypath.coordination.upstream_monitor import UpstreamMonitor
from bilberrypath.coordination.upstream_packets import UpstreamPackets
from bilberrypath.state.route_delta import index_route_table
from bilberrypath.state.store_position import get_store_revision
from tests.coordination import test_absent_agents_review as review
from tests.coordination import test_flow_affinity as affinity
from tests.coordination import test_flow_opens as opens
from tests.coordination import test_flow_recovery as recovery
from tests.coordination import test_flow_services as services
from tests.coordination import test_route_tracker
from tests.coordination import test_upstream_monitor as upstream_reports
from tests.support.flow_world import make_table

find_reject_reason = UpstreamHealth.find_reject_reason
adopt_if_newer = RouteTracker.adopt_if_newer
handle_location = FlowResolver.handle_location


def ignore_reject_reason(reason):
    """Return a faulty ``find_reject_reason`` that never returns one of the reasons."""

    def find_other_reason(health, cold_rate, flow_count, max_flows, now):
        reject_reason = find_reject_reason(
            health, cold_rate, flow_count, max_flows, now
        )
        return None if reject_reason is reason else reject_reason

    return find_other_reason


def skip_lookup(locator, forwarded, packet, now, may_hold=False):
    """Conclude that no agent has a flow, without querying any."""
    lookup = locator.lookups.begin(forwarded, packet, (), ())
    return (
        locator._finish_lookup(packet.flow, NoHolder(is_certain=True), now)
        if lookup
        else []
    )


FAULTS = {
    "draining upstreams take opens": (
        UpstreamHealth,
        "find_reject_reason",
        ignore_reject_reason(RejectReason.DRAINING),
        lambda: (
            opens.TestOpenAdmission().test_upstream_gets_no_opens_after_it_reports_a_drain()
        ),
    ),
    "the rate limit of a cold start is ignored": (
        UpstreamHealth,
        "find_reject_reason",
        ignore_reject_reason(RejectReason.COLD),
        lambda: (
            opens.TestOpenAdmission().test_cold_upstream_gets_opens_up_to_its_rate_limit(
                1.0
            )
        ),
    ),
    "data centres that are out take opens": (
        OpenHandler,
        "_find_reject_reason",
        lambda open_handler, now, retransmit_count: None,
        lambda: (
            opens.TestOpenAdmission().test_data_centre_that_is_out_gets_no_opens_and_keeps_its_flows()
        ),
    ),
    "opens routed by an older route table are accepted": (
        OpenHandler,
        "_check_routes",
        lambda open_handler, forwarded, packet: None,
        lambda: (
            opens.TestOpenAdmission().test_agent_rejects_an_open_routed_by_an_older_route_table()
        ),
    ),
    "flow locations and redirects are not recorded": (
        FlowLocationCache,
        "record",
        lambda cache, flow, holder, now: None,
        lambda: (
            opens.TestOpens().test_copies_of_an_open_from_several_balancers_reach_one_upstream()
        ),
    ),
    "unknown flows are reset without a lookup": (
        FlowLocator,
        "query_agents",
        skip_lookup,
        lambda: affinity.TestAffinity().test_new_agents_do_not_move_flows(),
    ),
    "a restarted agent assumes that it tracks all flows": (
        UpstreamMonitor,
        "tracks_all_flows",
        lambda monitor, now: True,
        lambda: affinity.TestAffinity().test_restarted_agent_regains_its_flows(),
    ),
    "flows of a restarted upstream are not reset": (
        UpstreamMonitor,
        "_reset_flows",
        lambda monitor, reason, now: [],
        lambda: (
            affinity.TestAffinity().test_flows_of_a_restarted_upstream_are_reset_at_once()
        ),
    ),
    "a missing reply counts as a denial": (
        ActiveLookups,
        "compute_result",
        lambda lookups, flow: NoHolder(is_certain=True),
        lambda: (
            recovery.TestPauses().test_flows_of_a_paused_agent_are_not_reset_by_other_agents()
        ),
    ),
    "unresponsive agents never count as failed": (
        UnresponsivePeers,
        "has_failed",
        lambda peers, node_id, now: False,
        lambda: (
            recovery.TestUnresponsiveAgents().test_flows_of_an_agent_on_a_failed_machine_are_reset()
        ),
    ),
    "no further agent is tried after an unresponsive home agent": (
        FlowResolver,
        "_try_next_agent",
        lambda resolver, flow, now: [],
        lambda: (
            opens.TestOpens().test_dead_home_agent_delays_opens_by_less_than_a_retransmission_timeout()
        ),
    ),
    "an open that an upstream does not accept is not retried": (
        OpenHandler,
        "_handle_unaccepted",
        lambda open_handler, pending, now: [],
        lambda: (
            opens.TestOpens().test_silent_upstream_delays_opens_by_less_than_a_retransmission_timeout()
        ),
    ),
    "opens do not wait for the first upstream report": (
        UpstreamMonitor,
        "awaits_first_report",
        lambda monitor, now: False,
        lambda: (
            recovery.TestAfterRestart().test_opens_wait_for_the_first_upstream_reports()
        ),
    ),
    "opens that waited through a pause are accepted": (
        PauseDetector,
        "is_reading_backlog",
        lambda pause_detector, now: False,
        lambda: (
            recovery.TestPauses().test_agent_drops_opens_that_waited_through_its_pause()
        ),
    ),
    "an older route table is adopted": (
        RouteTracker,
        "adopt_if_newer",
        lambda tracker, table: (
            setattr(tracker, "_indexed_table", index_route_table(table)) or []
        ),
        lambda: (
            test_route_tracker.TestTable().test_older_or_equal_revision_is_not_adopted(
                _make_route_tracker(), 4
            )
        ),
    ),
    "an older version is adopted from a restored store": (
        RouteTracker,
        "_is_outdated",
        lambda tracker, table: table.revision <= tracker.revision,
        lambda: (
            test_route_tracker.TestRestoredStore().test_older_version_from_the_copy_is_not_adopted(
                _make_route_tracker()
            )
        ),
    ),
    "the epoch of a restored store is ignored": (
        RouteTracker,
        "_is_outdated",
        lambda tracker, table: (
            get_store_revision(table.revision) <= get_store_revision(tracker.revision)
        ),
        lambda: (
            test_route_tracker.TestRestoredStore().test_newer_version_is_adopted_at_a_revision_given_out_again(
                _make_route_tracker()
            )
        ),
    ),
    "a restored store is not left to settle": (
        RouteTracker,
        "handle_store_read",
        lambda tracker, table, now: tracker.adopt_if_newer(table),
        lambda: (
            test_route_tracker.TestRestoredStore().test_data_centre_out_that_the_copy_lacks_stays_out_until_it_has_settled()
        ),
    ),
    "opens with unanswered relays are refused": (
        OpenHandler,
        "_drop_without_reset",
        lambda open_handler, forwarded, packet: open_handler.agent.reset(
            packet.flow, 0, "injected"
        ),
        lambda: (
            opens.TestOneWayPartitions().test_agent_that_receives_nothing_from_other_agents_resets_nothing()
        ),
    ),
    "failed requests are not counted": (
        FailureRate,
        "record_failed",
        lambda failure_rate, now: None,
        lambda: (
            opens.TestFailingUpstreams().test_upstream_that_resets_requests_gets_few_opens()
        ),
    ),
    "returned packets are ignored": (
        UpstreamPackets,
        "_handle_returned",
        lambda packets, packet, now: [],
        lambda: affinity.TestAffinity().test_flows_survive_a_restart_of_all_processes(),
    ),
    "an agent whose machine answers counts as gone": (
        UnresponsivePeers,
        "record_machine_alive",
        lambda peers, node_id, now: None,
        lambda: (
            recovery.TestUnresponsiveAgents().test_flows_of_an_agent_that_is_down_on_a_live_machine_are_not_reset()
        ),
    ),
    "tentative deliveries to a dead upstream are not abandoned": (
        FlowLocator,
        "abandon_tentative_deliveries",
        lambda locator, now: [],
        lambda: (
            recovery.TestAfterRestart().test_flows_of_a_dead_upstream_are_reset_once_its_first_report_is_overdue()
        ),
    ),
    "resets after a power failure wait for the agent list": (
        UpstreamMonitor,
        "started_together",
        lambda monitor, now: False,
        lambda: (
            recovery.TestAfterRestart().test_flows_are_reset_within_1_s_after_a_power_failure()
        ),
    ),
    "a leaving agent takes opens": (
        OpenTarget,
        "choose_better",
        OpenTarget._choose_less_busy,
        lambda: (
            affinity.TestLeaving().test_leaving_agent_takes_no_opens_and_keeps_its_flows()
        ),
    ),
    "every accepted flow counts as chosen by its client": (
        HeldFlows,
        "record_upstream_packet",
        lambda flows, held, packet, now: _record_as_chosen(flows, held, packet, now),
        lambda: (
            affinity.TestTwoAcceptances().test_restart_of_an_upstream_that_was_not_chosen_resets_nothing()
        ),
    ),
    "opens to addresses without a route are not reset": (
        FlowResolver,
        "_reset_unroutable",
        lambda resolver, packet: [],
        lambda: (
            opens.TestOpens().test_open_to_an_address_without_a_route_is_reset_at_once()
        ),
    ),
    "balancers never request flow locations": (
        FlowBalancer,
        "forward",
        lambda balancer, packet, service, agent_id, **others: (
            _forward_without_location_request(balancer, packet, service, agent_id)
        ),
        lambda: (
            opens.TestOpens().test_dead_home_agent_delays_opens_by_less_than_a_retransmission_timeout()
        ),
    ),
    "an uncertain report counts as a denial": (
        FlowResolver,
        "handle_location",
        lambda resolver, location, now: handle_location(
            resolver, msgspec.structs.replace(location, is_certain=True), now
        ),
        lambda: (
            services.TestSplitRoute().test_uncertain_lookup_in_one_service_does_not_reset_the_flow_in_another()
        ),
    ),
    "flows are looked up in the present services of their route alone": (
        RouteTracker,
        "list_services",
        lambda tracker, flow: tracker.find_route(flow).list_services(),
        lambda: (
            services.TestMovedRoute().test_flows_stay_whole_before_members_are_known()
        ),
    ),
    "agents do not announce former flows": (
        UpstreamMonitor,
        "may_have_former_flows",
        lambda monitor, now: False,
        lambda: (
            services.TestMovedRoute().test_flows_are_found_after_all_processes_restarted()
        ),
    ),
    "agents that nobody remembers are not waited for": (
        LostFlows,
        "may_be_at_unknown_agent",
        lambda lost_flows, lookup, now: False,
        lambda: (
            review.TestKnowledgeOfAnAbsentAgent().test_outlasts_a_restart_of_all_processes_with_one_late(
                2.0
            )
        ),
    ),
    "reports with an unknown service are accepted": (
        UpstreamMonitor,
        "find_report_error",
        lambda monitor, report: None,
        lambda: (
            upstream_reports.TestForeignReports().test_report_of_another_writer_does_not_reset_flows_of_the_live_upstream(
                {"service": "not-configured"}
            )
        ),
    ),
}


def _make_route_tracker():
    tracker = RouteTracker()
    adopt_if_newer(tracker, make_table(5))
    return tracker


forward_packet = FlowBalancer.forward


def _forward_without_location_request(balancer, packet, service, agent_id):
    return forward_packet(balancer, packet, service, agent_id, False, False)


record_upstream_packet = HeldFlows.record_upstream_packet


def _record_as_chosen(flows, held, packet, now):
    record_upstream_packet(flows, held, packet, now)
    held.is_chosen = True


class TestInjectedFaults:
    @pytest.mark.parametrize("name", FAULTS)
    def test_fault_is_caught(self, name, monkeypatch):
        owner, attribute, faulty, scenario = FAULTS[name]
        scenario()
        monkeypatch.setattr(owner, attribute, faulty)
        with pytest.raises(AssertionError):
            scenario()
