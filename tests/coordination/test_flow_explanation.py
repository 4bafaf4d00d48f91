"""Tests that explanations are what the packet path does, and change nothing."""

import msgspec
import pytest

from bilberrypath.coordination import events as ev
from bilberrypath.coordination import flow_effects as ffx
from bilberrypath.coordination.flow_agent import FlowAgent
from bilberrypath.coordination.flow_explanation import (
    FlowQuestion,
    FlowUnexplained,
    describe_decision,
    explain_at_agent,
    explain_at_balancer,
)
from bilberrypath.platform.packet_codec import ACK, SYN
from bilberrypath.protocol import flow_messages as msg
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.state.route_terms import RouteTerms
from bilberrypath.state.routes import FlowRoute, Target
from tests.support.core_state import describe_state
from tests.support.flow_world import (
    ADDRESS,
    find_holder,
    make_table,
    make_world,
    open_flows,
    send_requests,
    write_packet,
)

PEER_PORT = 7600


def explain(core, flow, now, **fields):
    function = explain_at_agent if isinstance(core, FlowAgent) else explain_at_balancer
    return function(core, FlowQuestion(flow, **fields), now)


def make_flow(port):
    return pack_flow_key(("100.64.9.9", port), ADDRESS)


def list_cores(world, kind):
    return [node for node in world.node_by_host.values() if isinstance(node, kind)]


def forward_open(agent, flow, now, data_centre="a"):
    """Have an agent handle an open straight from a balancer; return the effects."""
    forwarded = msg.ForwardedPacket(
        agent.routes.revision,
        "board",
        "10.1.0.1:7600",
        True,
        "",
        (),
        0,
        False,
        write_packet(flow, SYN, 1),
        client_data_centre=data_centre,
    )
    return agent.handle_forwarded_packet(forwarded, ("10.1.0.1", PEER_PORT), now)


def make_states():
    """Yield worlds in states that differ in what the packet path does."""
    yield make_world(agents=4)
    world = make_world(agents=6, seed=2)
    open_flows(world, 12)
    send_requests(world, 120, 1.0)
    yield world
    world.set_routes(make_table(2, out=("a",)))
    world.run(1.0)
    yield world
    world = make_world(agents=5, seed=3)
    world.power_off("10.2.0.2")
    open_flows(world, 10)
    yield world
    world = make_world(agents=4, seed=4)
    open_flows(world, 8)
    world.kill("10.2.0.1")
    world.add_agent("10.2.0.1", seeds=("10.1.0.1",), tracks_all_flows=False)
    world.run(0.3)
    yield world
    world = make_world(agents=1, seed=5)
    world.set_routes(make_table(2, cold_opens_per_s=1.0))
    world.upstream_by_host["10.2.0.1"].is_up = False
    world.run(5.0)
    yield world


class TestPurity:
    def test_state_of_a_process_is_unchanged(self):
        """Guard against an explanation that places, counts or forgets something.

        That includes the random generators, moving averages, and the opens that are
        counted for the rate limit of a cold start.
        """
        for world in make_states():
            flows = [make_flow(7), *list(world.client_by_flow)[:4]]
            for core in world.node_by_host.values():
                before = describe_state(core)
                for flow in flows:
                    for is_open in (None, True, False):
                        explain(core, flow, world.now, is_open=is_open)
                assert describe_state(core) == before

    def test_test_sees_what_the_path_changes(self):
        """Guard against a comparison that overlooks parts of a core."""
        world = make_world()
        for core in world.node_by_host.values():
            before = describe_state(core)
            core.rng.random()
            assert describe_state(core) != before
        agent = world.node_by_host["10.2.0.1"]
        before = describe_state(agent)
        agent.flows.compute_utilization(3, world.now)
        assert describe_state(agent) != before
        before = describe_state(agent)
        agent.placement.peer_by_id["10.2.0.2:7600"].opens_since_report += 1
        assert describe_state(agent) != before


class TestAtAgent:
    def test_decision_is_that_of_the_next_open(self):
        """Guard against an explanation that differs from what happens then."""
        decisions = set()
        for world in make_states():
            for port, agent in enumerate(list_cores(world, FlowAgent) * 8, start=100):
                flow = make_flow(port)
                explained = explain(
                    agent, flow, world.now, is_open=True, client_data_centre="a"
                ).values
                effects = forward_open(agent, flow, world.now)
                actual = describe_decision(effects)
                assert explained["decision"] == actual["decision"]
                assert explained.get("to") == actual.get("to")
                decisions.add(explained["decision"])
                if "reason" in actual:
                    assert explained["reason"] == actual["reason"]
        assert {"open_accepted", "open_passed_on", "open_refusal_left"} <= decisions

    def test_open_of_a_leaving_agent_goes_to_another(self):
        world = make_world()
        agent = world.node_by_host["10.2.0.1"]
        agent.handle(ev.Leave(), world.now)
        values = explain(agent, make_flow(1), world.now).values
        assert (values["decision"], values["reason"]) == ("open_passed_on", "leaving")
        assert values["to"] != agent.node_id

    def test_next_packet_of_a_flow_is_delivered_by_its_holder(self):
        world = make_world()
        (client,) = open_flows(world, 1)
        holder = find_holder(world, client.flow)
        values = explain(world.node_by_host[holder], client.flow, world.now).values
        assert (values["packet"], values["location"]) == ("next", "held")
        assert (values["decision"], values["reason"]) == ("delivered", "held")

    def test_home_agent_follows_its_redirect(self):
        world = make_world()
        agent = world.node_by_host["10.2.0.1"]
        flow = make_flow(1)
        agent.redirects.record(flow, "10.2.0.3:7600", world.now)
        values = explain(agent, flow, world.now).values
        assert values["holder"] == values["to"] == "10.2.0.3:7600"
        assert (values["decision"], values["reason"]) == ("forwarded", "redirect")

    def test_unknown_flow_is_looked_up(self):
        world = make_world()
        agent = world.node_by_host["10.2.0.1"]
        values = explain(agent, make_flow(1), world.now, is_open=False).values
        assert values["decision"] == "looked_up"
        assert values["asked"] == 3

    def test_names_what_excludes_each_candidate(self):
        world = make_world(agents=6)
        agent = world.node_by_host["10.2.0.1"]
        peers = agent.placement.peer_by_id
        agent.unresponsive_peers.since_by_id["10.2.0.2:7600"] = world.now
        member = peers["10.2.0.3:7600"].member
        peers["10.2.0.3:7600"].member = msgspec.structs.replace(
            member, status=type(member.status).DRAINING
        )
        report = peers["10.2.0.4:7600"].report
        peers["10.2.0.4:7600"].report = msgspec.structs.replace(
            report, may_take_opens=False
        )
        candidates = explain(agent, make_flow(1), world.now).candidates
        assert {row["node"]: row["excluded"] for row in candidates} == {
            "10.2.0.2:7600": "silent",
            "10.2.0.3:7600": "not_serving",
            "10.2.0.4:7600": "reports_unable",
            "10.2.0.5:7600": "",
            "10.2.0.6:7600": "",
        }
        assert [row["excluded"] for row in candidates[:2]] == ["", ""]

    def test_candidates_that_are_not_excluded_are_those_of_the_placement(self):
        """Guard against exclusions that differ from those of the packet path."""
        for world in make_states():
            for agent in list_cores(world, FlowAgent):
                if agent.upstream.find_reject_reason(world.now) is not None:
                    continue
                flow = make_flow(1)
                rows = explain(
                    agent, flow, world.now, client_data_centre="b"
                ).candidates
                eligible = {row["node"] for row in rows if not row["excluded"]}
                chosen = set()
                for port in range(2, 60):
                    effects = forward_open(agent, make_flow(port), world.now, "b")
                    for effect in effects:
                        if (
                            isinstance(effect, ffx.LogDecision)
                            and "to" in effect.fields
                        ):
                            chosen.add(effect.fields["to"])
                assert chosen <= eligible

    @pytest.mark.parametrize(
        ("targets", "reason"),
        [
            ((Target("photo", 1),), "other_service"),
            ((Target("board", 0), Target("photo", 0)), "routed_by_older_table"),
        ],
    )
    def test_open_of_another_service_is_dropped(self, targets, reason):
        world = make_world()
        world.set_routes(make_table(2, routes=(FlowRoute(ADDRESS, targets),)))
        world.run(1.0)
        agent = world.node_by_host["10.2.0.1"]
        values = explain(agent, make_flow(1), world.now).values
        assert (values["decision"], values["reason"]) == ("open_dropped", reason)
        balancer = world.node_by_host["10.1.0.1"]
        values = explain(balancer, make_flow(1), world.now).values
        assert values["decision"] == "packet_dropped"

    def test_names_route_terms_and_reason_of_a_full_data_centre(self):
        world = make_world()
        route = FlowRoute(ADDRESS, (Target("board", 1),), RouteTerms(2, 0.309, 1.314))
        world.set_routes(make_table(2, routes=(route,), out=("a",)))
        world.run(1.0)
        agent = world.node_by_host["10.2.0.1"]
        values = explain(agent, make_flow(1), world.now).values
        assert values["route"] == "board 1"
        assert values["terms"] == "priority 2, latency_objective 0.309, timeout 1.314"
        assert values["unable"] == "data_centre_out"
        assert values["decision"] == "open_passed_on"
        assert values["reason"] == "data_centre_out"

    def test_flow_without_a_route_is_an_error_that_names_the_remedy(self):
        world = make_world()
        flow = pack_flow_key(("100.64.9.9", 1), ("198.18.0.77", 443))
        for core in world.node_by_host.values():
            with pytest.raises(
                FlowUnexplained,
                match="no route to 198.18.0.77:443 in revision 0.1; ask",
            ):
                explain(core, flow, world.now)


class TestAtBalancer:
    def test_open_goes_to_the_home_agent(self):
        world = make_world()
        balancer = world.node_by_host["10.1.0.1"]
        flow = make_flow(1)
        values = explain(balancer, flow, world.now).values
        assert (values["packet"], values["location"]) == ("open", "unknown")
        assert (values["decision"], values["reason"]) == ("forwarded", "home_agent")
        assert values["to"] == values["home_agent"]
        effects = balancer.handle_client_packet(write_packet(flow, SYN, 1), world.now)
        assert describe_decision(effects)["to"] == values["to"]

    def test_next_packet_goes_to_the_cached_holder(self):
        world = make_world()
        (client,) = open_flows(world, 1)
        for balancer_host in ("10.1.0.1", "10.1.0.2"):
            balancer = world.node_by_host[balancer_host]
            if balancer.location_cache.location_by_flow.get(client.flow) is None:
                continue
            values = explain(balancer, client.flow, world.now).values
            assert (values["packet"], values["location"]) == ("next", "cached")
            assert (values["decision"], values["reason"]) == ("forwarded", "cached")
            assert values["to"] == f"{find_holder(world, client.flow)}:{PEER_PORT}"
            packet = write_packet(client.flow, ACK, 2, 1, b"x")
            effects = balancer.handle_client_packet(packet, world.now)
            assert describe_decision(effects)["to"] == values["to"]

    def test_silent_agent_is_excluded(self):
        world = make_world()
        balancer = world.node_by_host["10.1.0.1"]
        flow = make_flow(1)
        home_agent = explain(balancer, flow, world.now).values["home_agent"]
        balancer.unresponsive_peers.since_by_id[home_agent] = world.now
        explanation = explain(balancer, flow, world.now)
        assert explanation.values["to"] != home_agent
        assert explanation.candidates[-1]["node"] == home_agent
        assert explanation.candidates[-1]["excluded"] == "silent"
