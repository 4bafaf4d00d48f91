"""Tests of the requests that an agent keeps while its upstream is full."""

from collections import Counter

import pytest
from hypothesis import event, given, settings
from hypothesis import strategies as st

from bilberrypath.coordination import events as ev
from bilberrypath.coordination.held_flows import MAX_BUSY_TIME
from bilberrypath.load.request_gate import MAX_KEPT_TIME, MAX_LATER_DATAGRAMS
from bilberrypath.platform.packet_codec import ACK, FIN, RST
from bilberrypath.state.route_terms import RouteTerms
from bilberrypath.state.routes import FlowRoute, Target
from tests.support.flow_world import make_table, make_world
from tests.support.gated_agent import (
    NORMAL_ADDRESS,
    PLAIN_ADDRESS,
    TERMS_BY_ADDRESS,
    UPLOAD_ADDRESS,
    URGENT_ADDRESS,
    GatedAgent,
    make_routes,
)

KEPT_TIME = 0.1  # a quarter of the routes' objective


@pytest.fixture
def gated():
    return GatedAgent()


@pytest.fixture
def kept(gated):
    """A flow whose request is kept at an agent with two requests running."""
    gated.fill()
    flow = gated.open_flow()
    assert gated.request(flow, b"kept") == []
    return flow


def read_bodies(datagrams):
    return [datagram[34:] for datagram in datagrams]


class TestActivation:
    @pytest.mark.parametrize(
        "terms",
        [None, RouteTerms(priority=3), RouteTerms(priority=3, latency_objective=0.1)],
    )
    def test_nothing_is_kept_where_routes_state_at_most_one_priority(
        self, gated, terms
    ):
        routes = {
            NORMAL_ADDRESS: RouteTerms(priority=3),
            URGENT_ADDRESS: terms,
        }
        gated.set_routes(make_routes(routes, 2))
        gated.fill(6)
        assert not gated.agent.request_scheduler.is_active
        assert gated.request(gated.open_flow())

    def test_routes_of_other_services_do_not_count(self, gated):
        table = make_routes({NORMAL_ADDRESS: RouteTerms(priority=3)}, 2)
        other = FlowRoute(URGENT_ADDRESS, (Target("photo", 1),), RouteTerms())
        gated.set_routes(make_table(2, routes=(*table.routes, other)))
        assert not gated.agent.request_scheduler.is_active

    def test_kept_requests_are_sent_when_priorities_become_equal(self, gated, kept):
        gated.set_routes(make_routes(dict.fromkeys(TERMS_BY_ADDRESS), 2))
        assert read_bodies(gated.sent)[-1] == b"kept"
        assert len(gated.gate) == 0

    def test_requests_running_at_activation_count(self, gated):
        """Guard against a count that starts at zero when routes change."""
        gated.set_routes(make_routes(dict.fromkeys(TERMS_BY_ADDRESS), 2))
        gated.fill()
        gated.set_routes(make_routes(revision=3))
        assert gated.request(gated.open_flow()) == []


class TestKeptRequests:
    def test_answer_releases_the_request(self, gated):
        running = gated.fill()
        flow = gated.open_flow()
        assert gated.request(flow) == []
        gated.now += 0.02
        assert len(gated.answer(running[0])) == 1
        assert gated.agent.flows.get(flow).sent_at == gated.now
        assert gated.counts["request_released", "answer"] == 1

    def test_urgent_request_goes_before_one_that_arrived_earlier(self, gated):
        running = gated.fill(3)  # two queued requests for the slot
        gated.request(gated.open_flow(), b"normal")
        gated.request(gated.open_flow(URGENT_ADDRESS), b"urgent")
        gated.now += 0.02
        assert read_bodies(gated.answer(running[0])) == [b"urgent"]

    def test_request_is_sent_when_it_is_due(self, gated, kept):
        gated.wait(KEPT_TIME - 0.001)
        assert kept in gated.gate.list_flows()
        gated.wait(0.001)
        assert read_bodies(gated.sent)[-1] == b"kept"
        assert gated.counts["request_released", "due"] == 1

    def test_flow_is_busy_from_arrival(self, gated, kept):
        held = gated.agent.flows.get(kept)
        assert held.busy_since == gated.now
        assert held.sent_at is None
        assert (gated.agent.flows.busy_count, gated.agent.flows.sent_count) == (3, 2)

    def test_late_data_of_the_answer_before_does_not_end_the_request(self, gated, kept):
        gated.answer(kept, data=b"rest of an answer")
        assert gated.agent.flows.get(kept).busy_since is not None
        assert kept in gated.gate.list_flows()

    def test_reset_of_a_running_request_makes_room(self, gated):
        running = gated.fill()
        flow = gated.open_flow()
        gated.request(flow)
        sent = gated.send(running[0], RST, 9)
        assert len(sent) == 2
        assert gated.agent.flows.sent_count == 2

    @pytest.mark.parametrize("flags", [FIN | ACK, RST])
    def test_end_of_a_running_request_makes_room(self, gated, flags):
        running = gated.fill()
        gated.request(gated.open_flow())
        gated.now += 0.02
        assert len(gated.answer(running[0], flags, b"")) == 1

    def test_returned_packet_makes_room(self, gated):
        running = gated.fill()
        gated.request(gated.open_flow(), b"kept")
        assert read_bodies(gated.return_packet(running[0])) == [b"kept"]


class TestPassing:
    @pytest.mark.parametrize("address", [UPLOAD_ADDRESS, PLAIN_ADDRESS])
    def test_uploads_and_routes_without_terms_are_not_kept(self, gated, address):
        gated.fill(6, UPLOAD_ADDRESS)
        assert gated.request(gated.open_flow(address))

    def test_opens_are_not_kept(self, gated):
        gated.fill(6, UPLOAD_ADDRESS)
        gated.open_flow()
        assert len(gated.gate) == 0

    def test_request_of_a_flow_that_is_not_open_yet_is_not_kept(self, gated):
        gated.fill(6, UPLOAD_ADDRESS)
        flow = gated.open_flow()
        gated.agent.flows.get(flow).is_open = False
        assert gated.request(flow)

    def test_request_of_an_unconfirmed_flow_is_not_kept(self, gated):
        """A tentative delivery must show at once whether the flow is here."""
        gated.fill(6, UPLOAD_ADDRESS)
        flow = gated.open_flow()
        gated.agent.flows.get(flow).is_confirmed = False
        assert gated.request(flow)

    def test_data_of_a_running_request_passes(self, gated):
        running = gated.fill()
        assert gated.request(running[0], b"more")

    @pytest.mark.parametrize("flags", [FIN | ACK, RST])
    def test_end_of_a_flow_with_nothing_kept_passes(self, gated, flags):
        gated.fill(6, UPLOAD_ADDRESS)
        assert gated.request(gated.open_flow(), b"", flags)


class TestLaterPackets:
    def test_copies_are_dropped_and_later_data_waits_in_order(self, gated, kept):
        assert gated.send(kept, ACK, 2, b"kept") == []
        assert gated.request(kept, b"second") == []
        assert gated.request(kept, b"third") == []
        assert gated.request(kept, b"", FIN | ACK) == []
        gated.wait(KEPT_TIME)
        sent = read_bodies(gated.sent)
        assert sent[sent.index(b"kept") :] == [b"kept", b"second", b"third", b""]
        assert gated.counts["packet_dropped", "copy_of_kept"] == 1

    def test_packets_without_data_pass(self, gated, kept):
        assert gated.send(kept, ACK, 6)
        assert kept in gated.gate.list_flows()

    def test_too_many_later_packets_are_sent_at_once(self, gated, kept):
        for number in range(MAX_LATER_DATAGRAMS):
            assert gated.request(kept, b"%d" % number) == []
        assert len(gated.request(kept, b"last")) == MAX_LATER_DATAGRAMS + 2
        assert read_bodies(gated.sent)[-1] == b"last"

    def test_reset_discards_the_request_and_passes(self, gated, kept):
        assert len(gated.send(kept, RST, 6)) == 1
        gated.wait(1.0)
        assert b"kept" not in read_bodies(gated.sent)
        assert gated.agent.flows.get(kept).busy_since is None

    @pytest.mark.parametrize("flags", [FIN | ACK, RST])
    def test_end_by_the_upstream_discards_the_request(self, gated, kept, flags):
        gated.answer(kept, flags, b"")
        assert len(gated.gate) == 0
        gated.wait(1.0)
        assert b"kept" not in read_bodies(gated.sent)
        assert gated.agent.flows.sent_count == 2

    def test_clients_copy_of_a_discarded_request_starts_again(self, gated, kept):
        gated.gate.discard(kept)
        gated.agent.flows.mark_discarded(gated.agent.flows.get(kept), gated.now)
        assert gated.send(kept, ACK, 2, b"kept") == []
        gated.wait(KEPT_TIME)
        assert read_bodies(gated.sent).count(b"kept") == 1


class TestUpstreamAndAgent:
    def test_restart_of_the_upstream_discards(self, gated, kept):
        gated.restart_upstream()
        gated.wait(1.0)
        assert b"kept" not in read_bodies(gated.sent)
        assert gated.counts["request_discarded", "upstream_restarted"] == 1
        assert gated.agent.flows.sent_count == 0

    def test_change_of_service_discards(self, gated, kept):
        gated.report("photo")
        gated.wait(1.0)
        assert b"kept" not in read_bodies(gated.sent)
        assert not gated.agent.request_scheduler.is_active

    def test_upstream_that_is_gone_has_nothing_kept(self, gated, kept):
        gated.agent.upstream.handle_unreachable(gated.now)
        assert len(gated.gate) == 0

    def test_leaving_agent_sends_all_and_waits_for_the_answers(self, gated, kept):
        sent = gated.handle(ev.Leave())
        assert read_bodies(sent) == [b"kept"]
        assert not gated.agent.may_end(gated.now + 1.0)
        assert gated.request(gated.open_flow())

    def test_all_due_requests_are_sent_in_order_after_a_pause(self, gated):
        """Guard against deadlines that are postponed by the pause."""
        gated.fill()
        for body in (b"first", b"second"):
            gated.request(gated.open_flow(), body)
            gated.now += 0.01
        # the first was forwarded as one too many of its class for one slot
        assert read_bodies(gated.sent)[-1] == b"first"
        gated.request(gated.open_flow(URGENT_ADDRESS), b"urgent")
        assert read_bodies(gated.pause(2.0)) == [b"second", b"urgent"]

    def test_unanswered_request_leaves_the_count_when_it_expires(self, gated):
        gated.fill()
        gated.wait(MAX_BUSY_TIME + 1.0)
        assert gated.agent.flows.sent_count == 0


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("open"), st.sampled_from(sorted(TERMS_BY_ADDRESS))),
        st.tuples(
            st.sampled_from(
                (
                    "request",
                    "copy",
                    "acknowledge",
                    "client_fin",
                    "client_rst",
                    "answer",
                    "upstream_fin",
                    "upstream_rst",
                    "returned",
                )
            ),
            st.integers(0, 30),
        ),
        st.tuples(st.just("request"), st.integers(0, 30)),
        st.tuples(st.just("wait"), st.sampled_from((0.0005, 0.02, 0.1, 0.5, 6.0))),
        st.tuples(st.just("pause"), st.sampled_from((0.05, 0.7, 3.0))),
        st.tuples(st.sampled_from(("restart", "routes", "leave")), st.none()),
    ),
    max_size=120,
)


class AgentRun:
    """Random events at an agent, with its counts checked after each of them."""

    def __init__(self, slots):
        self.gated = GatedAgent(slots)
        self.flows = []
        self.bodies = 0
        self.gated.fill(4 * slots, UPLOAD_ADDRESS)  # so that requests are kept
        for address in (URGENT_ADDRESS, NORMAL_ADDRESS, NORMAL_ADDRESS) * 3:
            self.flows.append(self.gated.open_flow(address))

    def run(self, name, argument):
        gated = self.gated
        if name == "open":
            self.flows.append(gated.open_flow(argument))
        elif name in ("wait", "pause"):
            getattr(gated, name)(argument)
        elif name == "restart":
            gated.restart_upstream()
        elif name == "routes":
            revision = gated.agent.routes.revision + 1
            terms = (
                TERMS_BY_ADDRESS if revision % 2 else dict.fromkeys(TERMS_BY_ADDRESS)
            )
            gated.set_routes(make_routes(terms, revision))
        elif name == "leave":
            gated.handle(ev.Leave())
        else:
            self._run_on_flow(name, self.flows[argument % len(self.flows)])
        self.check()

    def _run_on_flow(self, name, flow):
        gated = self.gated
        if gated.agent.flows.get(flow) is None:
            return
        if name == "request":
            self.bodies += 1
            gated.request(flow, b"body %d" % self.bodies)
        elif name == "copy":
            gated.send(flow, ACK, 2, b"copy")
        elif name == "acknowledge":
            gated.send(flow, ACK, gated.next_sequence[flow])
        elif name == "client_fin":
            gated.request(flow, b"", FIN | ACK)
        elif name == "client_rst":
            gated.send(flow, RST, gated.next_sequence[flow])
        elif name == "answer":
            gated.answer(flow)
        elif name == "upstream_fin":
            gated.answer(flow, FIN | ACK, b"")
        elif name == "upstream_rst":
            gated.answer(flow, RST, b"")
        else:
            gated.return_packet(flow)

    def check(self):
        agent, gate = self.gated.agent, self.gated.gate
        held = dict(agent.flows)
        is_kept = {flow for flow, entry in held.items() if entry.is_kept}
        assert set(gate.list_flows()) == is_kept
        sent = [entry for entry in held.values() if entry.sent_at is not None]
        assert agent.flows.sent_count == len(sent)
        assert all(entry.busy_since is not None for entry in sent)
        assert all(held[flow].busy_since is not None for flow in is_kept)
        busy = [entry for entry in held.values() if entry.busy_since is not None]
        assert agent.flows.busy_count == len(busy) >= len(sent) + len(is_kept)
        if is_kept:
            assert agent.request_scheduler.is_active
            assert agent.next_timer_at() <= gate.next_release_at()
            assert gate.next_release_at() <= self.gated.now + MAX_KEPT_TIME
            assert len(sent) > self.gated.slots
        bodies = Counter(read_bodies(self.gated.sent))
        assert all(bodies[b"body %d" % n] <= 1 for n in range(1, self.bodies + 1))


class TestProperties:
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(slots=st.integers(1, 2), steps=STEPS)
    def test_counts_agree_with_held_flows(self, slots, steps):
        """Guard against requests that stay counted, or kept, after their flow ended."""
        run = AgentRun(slots)
        for name, argument in steps:
            run.run(name, argument)
        kept = sum(n for (e, _), n in run.gated.counts.items() if e == "request_kept")
        event("requests were kept" if kept else "none was kept")
        run.gated.wait(MAX_BUSY_TIME + 2.0)
        run.check()
        assert run.gated.agent.flows.sent_count == 0
        assert len(run.gated.gate) == 0


def run_overload(terms_by_address):
    """Return the world after urgent and other requests at twice the capacity."""
    world = make_world(agents=2)
    routes = tuple(
        FlowRoute(address, (Target("board", 1),), terms)
        for address, terms in terms_by_address.items()
    )
    world.set_routes(make_table(2, routes=routes))
    for upstream in world.upstream_by_host.values():
        upstream.slots, upstream.queue_capacity = 2, 6
        upstream.service_time = 0.04
    world.run(2.0)
    normal = [world.make_client(NORMAL_ADDRESS) for _ in range(60)]
    for client in normal:
        client.open()
        world.run(0.01)
    urgent = []
    for round_number in range(300):
        normal[round_number % 60].send_request()
        if round_number % 3 == 0:
            client = world.make_client(URGENT_ADDRESS)
            client.request()
            urgent.append((world.now, client))
        world.run(0.0066)
    world.run(5.0)
    in_time = sum(
        client.last_try.answers > 0 and client.last_try.answered_at - at <= 0.37
        for at, client in urgent
    )
    return world, in_time / len(urgent)


class TestModel:
    def test_urgent_requests_are_in_time_at_overload(self):
        """150 requests a second on long flows and 50 urgent ones; 100 are served."""
        terms = {a: TERMS_BY_ADDRESS[a] for a in (NORMAL_ADDRESS, URGENT_ADDRESS)}
        world, share = run_overload(terms)
        plain_world, plain_share = run_overload(dict.fromkeys(terms))
        assert world.counts["request_kept", "less_urgent"] > 50
        assert not any(e.startswith("request_") for e, _ in plain_world.counts)
        assert share > 0.95
        assert plain_share < 0.8
        for host in world.upstream_by_host:
            agent = world.node_by_host[host]
            assert agent.flows.sent_count == len(agent.request_scheduler.gate) == 0
