"""Faults planted in the flow decisions: a scenario of the model catches each."""

import pytest

from bilberrypath.coordination.failure_rate import FailureRate
from bilberrypath.coordination.flow_agent import FlowAgent
from bilberrypath.coordination.flow_balancer import FlowBalancer
from bilberrypath.coordination.flow_location_cache import FlowLocationCache
from bilberrypath.coordination.flow_locator import FlowLocator
from bilberrypath.coordination.flow_lookup import ActiveLookups, NoHolder
from bilberrypath.coordination.flow_resolver import FlowResolver
from bilberrypath.coordination.held_flows import HeldFlows
from bilberrypath.coordination.open_handler import OpenHandler
from bilberrypath.coordination.pause_detector import PauseDetector
from bilberrypath.coordination.route_tracker import RouteTracker
from bilberrypath.coordination.unresponsive_peers import UnresponsivePeers
from bilberrypath.coordination.upstream_health import RejectReason, UpstreamHealth
from bilberrypath.coordination.upstream_monitor import UpstreamMonitor
from bilberrypath.state.route_delta import index_route_table
from tests.coordination import test_flow_affinity as affinity
from tests.coordination import test_flow_opens as opens
from tests.coordination import test_flow_recovery as recovery
from tests.coordination import test_route_tracker
from tests.support.flow_world import make_table

find_reject_reason = UpstreamHealth.find_reject_reason
adopt_if_newer = RouteTracker.adopt_if_newer


def ignore(reason):
    """Return a gate that lets one reason pass."""

    def find(watch, cold_rate, flow_count, max_flows, now):
        unable = find_reject_reason(watch, cold_rate, flow_count, max_flows, now)
        return None if unable is reason else unable

    return find


def give_up_at_once(locator, carry, packet, now, may_have_it=False):
    """Take a flow for lost without asking anybody."""
    search = locator.lookups.begin(carry, packet, (), ())
    return (
        locator._finish_lookup(packet.flow, NoHolder(is_certain=True), now)
        if search
        else []
    )


FAULTS = {
    "the gate ignores a drain": (
        UpstreamHealth,
        "find_reject_reason",
        ignore(RejectReason.DRAINING),
        lambda: (
            opens.TestOpenAdmission().test_upstream_gets_no_opens_after_it_reports_a_drain()
        ),
    ),
    "the gate ignores cold start": (
        UpstreamHealth,
        "find_reject_reason",
        ignore(RejectReason.COLD),
        lambda: (
            opens.TestOpenAdmission().test_cold_upstream_gets_opens_up_to_its_rate_limit(
                1.0
            )
        ),
    ),
    "the gate ignores data centres that are out": (
        OpenHandler,
        "_find_reject_reason",
        lambda open_handler, now, copies: None,
        lambda: (
            opens.TestOpenAdmission().test_data_centre_that_is_out_gets_no_opens_and_keeps_its_flows()
        ),
    ),
    "agents trust balancers with older routes": (
        OpenHandler,
        "_check_routes",
        lambda open_handler, carry, packet: None,
        lambda: (
            opens.TestOpenAdmission().test_agent_rejects_an_open_routed_by_an_older_route_table()
        ),
    ),
    "redirects are not kept": (
        FlowLocationCache,
        "record",
        lambda places, flow, holder, now: None,
        lambda: (
            opens.TestOpens().test_copies_of_an_open_from_several_balancers_reach_one_upstream()
        ),
    ),
    "unknown flows are reset without a search": (
        FlowLocator,
        "_query_agents",
        give_up_at_once,
        lambda: affinity.TestAffinity().test_new_agents_do_not_move_flows(),
    ),
    "a restarted agent takes its flows for all": (
        UpstreamMonitor,
        "tracks_all_flows",
        lambda keeper, now: True,
        lambda: affinity.TestAffinity().test_restarted_agent_regains_its_flows(),
    ),
    "flows of a restarted upstream are kept": (
        UpstreamMonitor,
        "_reset_flows",
        lambda keeper, reason, now: [],
        lambda: (
            affinity.TestAffinity().test_flows_of_a_restarted_upstream_are_reset_at_once()
        ),
    ),
    "a missing answer counts as a denial": (
        ActiveLookups,
        "compute_result",
        lambda searches, flow: NoHolder(is_certain=True),
        lambda: (
            recovery.TestPauses().test_flows_of_a_paused_agent_are_not_reset_by_other_agents()
        ),
    ),
    "silent agents are waited for without end": (
        UnresponsivePeers,
        "is_gone",
        lambda silent, node_id, now: False,
        lambda: (
            recovery.TestUnresponsiveAgents().test_flows_of_an_agent_on_a_failed_machine_are_reset()
        ),
    ),
    "a dead home is asked for ever": (
        FlowResolver,
        "_ask_next_agent",
        lambda seeker, flow, now: [],
        lambda: (
            opens.TestOpens().test_dead_home_agent_delays_opens_by_less_than_a_retransmission_timeout()
        ),
    ),
    "an open that nobody accepts is left": (
        OpenHandler,
        "_handle_unaccepted",
        lambda open_handler, opening, now: [],
        lambda: (
            opens.TestOpens().test_silent_upstream_delays_opens_by_less_than_a_retransmission_timeout()
        ),
    ),
    "opens do not wait for a first report": (
        UpstreamMonitor,
        "awaits_first_report",
        lambda keeper, now: False,
        lambda: (
            recovery.TestAfterRestart().test_opens_wait_for_the_first_upstream_reports()
        ),
    ),
    "opens that waited through a pause are taken": (
        PauseDetector,
        "is_reading_backlog",
        lambda pauses, now: False,
        lambda: (
            recovery.TestPauses().test_agent_drops_opens_that_waited_through_its_pause()
        ),
    ),
    "an older table of routes is taken": (
        RouteTracker,
        "adopt_if_newer",
        lambda keeper, table: (
            setattr(keeper, "_indexed_table", index_route_table(table)) or []
        ),
        lambda: test_route_tracker.TestTable().test_never_goes_back(_make_keeper(), 4),
    ),
    "opens that were handed on unanswered are refused": (
        OpenHandler,
        "_leave_to_asked_agents",
        lambda open_handler, carry, packet: open_handler.agent.reset(
            packet.flow, 0, "planted"
        ),
        lambda: (
            opens.TestOneWayPartitions().test_agent_that_receives_nothing_from_other_agents_resets_nothing()
        ),
    ),
    "failed requests count for nothing": (
        FailureRate,
        "record_failed",
        lambda share, now: None,
        lambda: (
            opens.TestFailingUpstreams().test_upstream_that_resets_requests_gets_few_opens()
        ),
    ),
    "handed-back packets are not looked at": (
        FlowAgent,
        "_handle_returned",
        lambda agent, packet, now: [],
        lambda: affinity.TestAffinity().test_flows_survive_a_restart_of_all_processes(),
    ),
    "a machine that answers is taken for gone": (
        UnresponsivePeers,
        "record_machine_alive",
        lambda silent, node_id, now: None,
        lambda: (
            recovery.TestUnresponsiveAgents().test_flows_of_an_agent_that_is_down_on_a_live_machine_are_not_reset()
        ),
    ),
    "guesses into the void are kept": (
        FlowLocator,
        "abandon_tentative_deliveries",
        lambda locator, now: [],
        lambda: (
            recovery.TestAfterRestart().test_flows_of_a_dead_upstream_are_reset_once_its_first_report_is_overdue()
        ),
    ),
    "flows of a power loss settle first": (
        UpstreamMonitor,
        "started_together",
        lambda keeper, now: False,
        lambda: (
            recovery.TestAfterRestart().test_flows_are_reset_within_1_s_after_a_power_failure()
        ),
    ),
    "an agent that ends takes opens": (
        OpenHandler,
        "_choose_better",
        OpenHandler._choose_less_busy,
        lambda: (
            affinity.TestLeaving().test_leaving_agent_takes_no_opens_and_keeps_its_flows()
        ),
    ),
    "every acceptance counts as chosen": (
        HeldFlows,
        "record_upstream_packet",
        lambda flows, held, packet, now: _note_chosen(flows, held, packet, now),
        lambda: (
            affinity.TestTwoAcceptances().test_restart_of_an_upstream_that_was_not_chosen_resets_nothing()
        ),
    ),
    "unknown addresses are not told": (
        FlowResolver,
        "_reset_unroutable",
        lambda seeker, packet: [],
        lambda: (
            opens.TestOpens().test_open_to_an_address_without_a_route_is_reset_at_once()
        ),
    ),
    "places are never told": (
        FlowBalancer,
        "forward",
        lambda balancer, packet, service, to, wants_location, may_reset: (
            _carry_silently(balancer, packet, service, to)
        ),
        lambda: (
            opens.TestOpens().test_dead_home_agent_delays_opens_by_less_than_a_retransmission_timeout()
        ),
    ),
}


def _make_keeper():
    keeper = RouteTracker()
    adopt_if_newer(keeper, make_table(5))
    return keeper


carry = FlowBalancer.forward


def _carry_silently(balancer, packet, service, to):
    return carry(balancer, packet, service, to, False, False)


record_upstream_packet = HeldFlows.record_upstream_packet


def _note_chosen(flows, held, packet, now):
    record_upstream_packet(flows, held, packet, now)
    held.is_chosen = True


class TestPlantedFaults:
    @pytest.mark.parametrize("name", FAULTS)
    def test_each_is_caught(self, name, monkeypatch):
        owner, attribute, planted, scenario = FAULTS[name]
        scenario()
        monkeypatch.setattr(owner, attribute, planted)
        with pytest.raises(AssertionError):
            scenario()
