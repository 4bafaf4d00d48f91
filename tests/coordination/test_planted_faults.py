"""Faults planted in the flow decisions: a scenario of the model catches each."""

import pytest

from bilberrypath.coordination.failure_rate import FailureShare
from bilberrypath.coordination.flow_agent import FlowAgent
from bilberrypath.coordination.flow_balancer import FlowBalancer
from bilberrypath.coordination.flow_location_cache import FlowPlaces
from bilberrypath.coordination.flow_locator import FlowFinder
from bilberrypath.coordination.flow_lookup import Nowhere, Searches
from bilberrypath.coordination.flow_resolver import FlowSeeker
from bilberrypath.coordination.held_flows import HeldFlows
from bilberrypath.coordination.open_handler import FlowOpener
from bilberrypath.coordination.pause_detector import OwnPauses
from bilberrypath.coordination.route_tracker import RouteKeeper
from bilberrypath.coordination.unresponsive_peers import SilentPeers
from bilberrypath.coordination.upstream_health import Unable, UpstreamWatch
from bilberrypath.coordination.upstream_monitor import UpstreamKeeper
from bilberrypath.state.route_delta import index_table
from tests.coordination import test_flow_affinity as affinity
from tests.coordination import test_flow_opens as opens
from tests.coordination import test_flow_recovery as recovery
from tests.coordination import test_route_tracker
from tests.support.flow_world import make_table

find_unable = UpstreamWatch.find_unable
offer = RouteKeeper.offer


def ignore(reason):
    """Return a gate that lets one reason pass."""

    def find(watch, cold_rate, flow_count, max_flows, now):
        unable = find_unable(watch, cold_rate, flow_count, max_flows, now)
        return None if unable is reason else unable

    return find


def give_up_at_once(finder, carry, packet, now, may_have_it=False):
    """Take a flow for lost without asking anybody."""
    search = finder.searches.begin(carry, packet, (), ())
    return finder._end(packet.flow, Nowhere(certain=True), now) if search else []


FAULTS = {
    "the gate ignores a drain": (
        UpstreamWatch,
        "find_unable",
        ignore(Unable.DRAINING),
        lambda: opens.TestGate().test_a_draining_upstream_gets_no_open_at_once(),
    ),
    "the gate ignores cold start": (
        UpstreamWatch,
        "find_unable",
        ignore(Unable.COLD),
        lambda: opens.TestGate().test_a_cold_upstream_gets_what_it_bears(1.0),
    ),
    "the gate ignores data centres that are out": (
        FlowOpener,
        "_find_unable",
        lambda opener, now, copies: None,
        lambda: opens.TestGate().test_a_data_centre_that_is_out_gets_no_open(),
    ),
    "agents trust balancers with older routes": (
        FlowOpener,
        "_check_routes",
        lambda opener, carry, packet: None,
        lambda: opens.TestGate().test_a_stale_balancer_is_corrected_by_the_agent(),
    ),
    "redirects are not kept": (
        FlowPlaces,
        "note",
        lambda places, flow, holder, now: None,
        lambda: opens.TestOpens().test_copies_through_any_balancer_meet_one_upstream(),
    ),
    "unknown flows are reset without a search": (
        FlowFinder,
        "_ask",
        give_up_at_once,
        lambda: affinity.TestAffinity().test_new_agents_do_not_move_flows(),
    ),
    "a restarted agent takes its flows for all": (
        UpstreamKeeper,
        "knows_all_flows",
        lambda keeper, now: True,
        lambda: affinity.TestAffinity().test_a_restarted_agent_regains_its_flows(),
    ),
    "flows of a restarted upstream are kept": (
        UpstreamKeeper,
        "_lose_flows",
        lambda keeper, reason, now: [],
        lambda: (
            affinity.TestAffinity().test_a_restarted_upstream_resets_its_flows_at_once()
        ),
    ),
    "a missing answer counts as a denial": (
        Searches,
        "conclude",
        lambda searches, flow: Nowhere(certain=True),
        lambda: (
            recovery.TestPauses().test_a_frozen_agents_flows_are_not_reset_by_others()
        ),
    ),
    "silent agents are waited for without end": (
        SilentPeers,
        "is_gone",
        lambda silent, node_id, now: False,
        lambda: (
            recovery.TestGoneAgents().test_flows_of_an_agent_that_vanished_are_reset()
        ),
    ),
    "a dead home is asked for ever": (
        FlowSeeker,
        "_ask_next",
        lambda seeker, flow, now: [],
        lambda: opens.TestOpens().test_a_dead_home_costs_less_than_a_clients_copy(),
    ),
    "an open that nobody accepts is left": (
        FlowOpener,
        "_give_up_opening",
        lambda opener, opening, now: [],
        lambda: (
            opens.TestOpens().test_a_silent_upstream_costs_less_than_a_clients_copy()
        ),
    ),
    "opens do not wait for a first report": (
        UpstreamKeeper,
        "awaits_first_report",
        lambda keeper, now: False,
        lambda: recovery.TestAfterAStart().test_opens_wait_for_the_first_reports(),
    ),
    "opens that waited through a pause are taken": (
        OwnPauses,
        "reads_backlog",
        lambda pauses, now: False,
        lambda: (
            recovery.TestPauses().test_an_agent_that_wakes_takes_no_open_that_waited()
        ),
    ),
    "an older table of routes is taken": (
        RouteKeeper,
        "offer",
        lambda keeper, table: setattr(keeper, "_held", index_table(table)) or [],
        lambda: test_route_tracker.TestTable().test_never_goes_back(_make_keeper(), 4),
    ),
    "opens that were handed on unanswered are refused": (
        FlowOpener,
        "_leave_to_those_asked",
        lambda opener, carry, packet: opener.agent.reset(packet.flow, 0, "planted"),
        lambda: opens.TestOneWayCuts().test_an_agent_that_hears_nobody_resets_nothing(),
    ),
    "failed requests count for nothing": (
        FailureShare,
        "note_failed",
        lambda share, now: None,
        lambda: (
            opens.TestFailingUpstreams().test_one_that_resets_its_requests_gets_few()
        ),
    ),
    "handed-back packets are not looked at": (
        FlowAgent,
        "_take_refused",
        lambda agent, packet, now: [],
        lambda: affinity.TestAffinity().test_all_processes_restart_and_flows_go_on(),
    ),
    "a machine that answers is taken for gone": (
        SilentPeers,
        "note_machine",
        lambda silent, node_id, now: None,
        lambda: (
            recovery.TestGoneAgents().test_flows_of_an_agent_that_is_away_for_long_are_not_reset()
        ),
    ),
    "guesses into the void are kept": (
        FlowFinder,
        "give_up_guesses",
        lambda finder, now: [],
        lambda: (
            recovery.TestAfterAStart().test_flows_of_a_dark_upstream_are_reset_once_it_should_have_reported()
        ),
    ),
    "flows of a power loss settle first": (
        UpstreamKeeper,
        "began_together",
        lambda keeper, now: False,
        lambda: (
            recovery.TestAfterAStart().test_flows_of_before_a_power_loss_are_reset_at_once()
        ),
    ),
    "an agent that ends takes opens": (
        FlowOpener,
        "_find_better",
        FlowOpener._find_less_busy,
        lambda: (
            affinity.TestLeaving().test_an_agent_that_leaves_takes_no_opens_and_keeps_its_flows()
        ),
    ),
    "every acceptance counts as chosen": (
        HeldFlows,
        "note_upstream",
        lambda flows, held, packet, now: _note_chosen(flows, held, packet, now),
        lambda: (
            affinity.TestTwoAcceptances().test_an_upstream_that_was_not_chosen_resets_nothing()
        ),
    ),
    "unknown addresses are not told": (
        FlowSeeker,
        "_refuse_unknown",
        lambda seeker, packet: [],
        lambda: opens.TestOpens().test_no_route_is_told_at_once(),
    ),
    "places are never told": (
        FlowBalancer,
        "carry",
        lambda balancer, packet, service, to, seeks, may_reset: _carry_silently(
            balancer, packet, service, to
        ),
        lambda: opens.TestOpens().test_a_dead_home_costs_less_than_a_clients_copy(),
    ),
}


def _make_keeper():
    keeper = RouteKeeper()
    offer(keeper, make_table(5))
    return keeper


carry = FlowBalancer.carry


def _carry_silently(balancer, packet, service, to):
    return carry(balancer, packet, service, to, False, False)


note_upstream = HeldFlows.note_upstream


def _note_chosen(flows, held, packet, now):
    note_upstream(flows, held, packet, now)
    held.chosen = True


class TestPlantedFaults:
    @pytest.mark.parametrize("name", FAULTS)
    def test_each_is_caught(self, name, monkeypatch):
        owner, attribute, planted, scenario = FAULTS[name]
        scenario()
        monkeypatch.setattr(owner, attribute, planted)
        with pytest.raises(AssertionError):
            scenario()
