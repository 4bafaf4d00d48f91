"""Tests of several decision cores in sessions on a virtual clock.

The transcripts of messages are compared with snapshots.
"""

import pytest

from bilberrypath.state.release import Release
from tests.support.notes import CENTRES, first_note, out_note
from tests.support.session import Session, make_open, make_short

B1, B2, B3 = "127.1.0.1", "127.1.0.2", "127.1.0.3"
CONNECTION_ID = b"openopen"


@pytest.fixture
def session():
    """Return a session with three balancers and three agents of ``dispatch``.

    Revision 1 is in force in all of them.
    """
    new_session = Session()
    for name, host, centre in zip(
        ("b1", "b2", "b3"), (B1, B2, B3), CENTRES, strict=True
    ):
        new_session.add_balancer(name, host, centre, seeds=(B1, B2, B3))
    for index, centre in enumerate(CENTRES, start=1):
        new_session.add_agent(
            f"a{index}", f"127.1.1.{index}", centre, "dispatch", seeds=(B1, B2, B3)
        )
    _, new_session.release = new_session.accept(first_note(), Release())
    new_session.run(3.0)
    new_session.lines.clear()
    return new_session


def accept_next(session, note):
    _, session.release = session.accept(note, session.release)


def open_flow(session, balancer="b1", connection_id=CONNECTION_ID):
    """Open a flow and return its agent's name and its token."""
    session.packet(balancer, make_open(connection_id), "open")
    session.run(0.05)
    return session.opened[connection_id]


class TestFlows:
    def test_new_balancer_without_member_table_forwards_established_flow(
        self, session, snapshot
    ):
        """The token in the packet alone determines the agent."""
        agent, token = open_flow(session)
        session.loses_table_pulls = True
        session.add_balancer("b4", "127.1.0.4", "citybowl", seeds=(B2,))
        session.run(0.01)
        assert not list(session.core("b4").members.table.list_agents("dispatch"))
        session.packet("b4", make_short(token), "packet of the flow")
        session.run(0.5)
        assert session.delivered[-1][0] == agent
        assert session.transcript() == snapshot

    def test_repeated_open_reaches_same_agent_through_any_balancer(
        self, session, snapshot
    ):
        agent, _ = open_flow(session, "b1")
        for balancer in ("b2", "b3"):
            session.packet(balancer, make_open(CONNECTION_ID), "open, repeated")
            session.run(0.05)
        assert [name for name, _ in session.delivered] == [agent] * 2
        assert session.transcript() == snapshot

    def test_old_flow_is_not_delivered_to_service_that_reuses_address(
        self, session, snapshot
    ):
        """An agent of ``photos`` starts at the address of the killed agent."""
        agent, token = open_flow(session)
        session.kill(agent)
        session.add_agent("p1", _get_host(agent), "atlantic", "photos", seeds=(B1,))
        session.run(1.0)
        session.packet("b3", make_short(token), "packet of the old flow")
        session.run(0.05)
        assert not [name for name, _ in session.delivered if name == "p1"]
        assert len(session.to_callers) == 1
        assert session.transcript() == snapshot

    def test_old_flow_is_not_delivered_when_balancer_missed_address_reuse(
        self, session, snapshot
    ):
        """The balancer's links are cut when ``photos`` starts at the old address."""
        agent, token = open_flow(session)
        session.kill(agent)
        session.cut |= {("p1", "b3"), ("b1", "b3"), ("b2", "b3")}
        session.add_agent("p1", _get_host(agent), "atlantic", "photos", seeds=(B1,))
        session.run(1.0)
        session.cut.clear()
        session.packet("b3", make_short(token), "packet of the old flow")
        session.run(0.05)
        assert not [name for name, _ in session.delivered if name == "p1"]
        assert len(session.to_callers) == 1
        assert session.transcript() == snapshot

    def test_open_is_relayed_to_less_loaded_agent(self, session, snapshot):
        for name, connections in (("a1", 40), ("a2", 40), ("a3", 10)):
            session.record_load(name, connections)
        session.run(1.0)
        session.lines.clear()
        for index in range(4):
            open_flow(session, "b1", b"open%04d" % index)
        accepting_agents = [agent for agent, _ in session.opened.values()]
        assert accepting_agents == ["a3"] * 4
        assert session.transcript() == snapshot

    def test_open_is_not_relayed_to_unhealthy_agent(self, session):
        for name in ("a1", "a2"):
            session.record_load(name, 40)
        session.record_load("a3", 0, healthy=False)
        session.run(1.0)
        for index in range(6):
            open_flow(session, "b1", b"open%04d" % index)
        accepting_agents = {agent for agent, _ in session.opened.values()}
        assert len(session.opened) == 6
        assert accepting_agents <= {"a1", "a2"}
        assert "-> a3 Forward hops=1" not in session.transcript()

    @pytest.mark.parametrize(("running", "load"), [(0, 6), (1, 18)])
    def test_cold_limit_raises_load_only_while_it_is_reached(
        self, session, running, load
    ):
        session.core("a3").set_load(6, 1, running, True)
        assert session.core("a3").load == load

    @pytest.mark.parametrize(
        ("wants_trial", "takes_open"), [(True, True), (False, False)]
    )
    def test_agent_with_idle_flows_takes_an_open_only_for_a_trial(
        self, session, wants_trial, takes_open
    ):
        """Idle flows count as load, which would keep opens from the agent for ever."""
        for name in ("a1", "a2"):
            session.record_load(name, 5)
        session.run(2.0)
        session.core("a3").set_load(6, 1, 1, True, wants_trial)
        for index in range(8):
            open_flow(session, "b1", b"open%04d" % index)
        assert ("a3" in {agent for agent, _ in session.opened.values()}) is takes_open


class TestDataCentreOut:
    def test_thawed_balancer_sends_nothing_to_data_centre_out(self, session, snapshot):
        """The balancer is suspended, with a packet buffered, during the release."""
        agent, token = open_flow(session)
        centre = _get_data_centre(agent)
        suspended = next(
            b
            for b in ("b1", "b2", "b3")
            if session.core(b).members.own_member.data_centre != centre
        )
        session.suspend(suspended)
        session.packet(suspended, make_short(token), "packet, waits in the socket")
        buffered_packets = list(session.process_by_name[suspended].backlog)
        session.run(2.5)
        accept_next(session, out_note("n2", centre))
        session.run(3.0)
        session.delivered.clear()
        session.process_by_name[suspended].backlog = buffered_packets
        before = len(session.lines)
        session.resume(suspended)
        session.packet(suspended, make_short(token), "packet after the thaw")
        session.run(0.5)
        assert session.delivered == []
        forwarded_lines = [line for line in session.lines[before:] if "Forward" in line]
        assert forwarded_lines == []
        assert session.core(suspended).releases.revision == 2
        assert session.transcript() == snapshot

    def test_cut_off_and_new_balancers_send_nothing_to_data_centre_out(
        self, session, snapshot
    ):
        """One balancer cannot reach the store, and another has just started."""
        agent, token = open_flow(session)
        session.cut |= {("b3", "store")}
        accept_next(session, out_note("n2", _get_data_centre(agent)))
        session.add_balancer("b4", "127.1.0.4", "citybowl", seeds=(B3,))
        session.run(2.0)
        session.delivered.clear()
        for balancer in ("b1", "b2", "b3", "b4"):
            session.packet(balancer, make_short(token), "packet of the flow")
        session.run(0.1)
        assert session.delivered == []
        assert len(session.to_callers) == 4
        assert session.transcript() == snapshot

    def test_buffered_packet_is_routed_by_the_release_just_read(self):
        """The only balancer is suspended for 5 s while its data centre is taken out."""
        session = Session()
        core = session.add_balancer("b1", B1, "atlantic").core
        session.add_agent("a1", "127.1.1.1", "atlantic", "dispatch", seeds=(B1,))
        _, release = session.accept(first_note(), Release())
        session.run(2.0)
        _, token = open_flow(session)
        session.suspend("b1")
        session.packet("b1", make_short(token), "packet, waits in the socket")
        buffered_packets = list(session.process_by_name["b1"].backlog)
        session.run(5.0)
        session.accept(out_note("n2", "atlantic"), release)
        session.process_by_name["b1"].backlog = buffered_packets
        before = len(session.lines)
        session.resume("b1")
        session.run(1.0)
        assert core.releases.revision == 2
        assert not [line for line in session.lines[before:] if "Forward" in line]

    def test_cached_agent_is_not_used_after_a_new_release(self, session):
        agent, token = open_flow(session)
        for _ in range(3):
            session.packet("b1", make_short(token), "packet of the flow")
            session.run(0.05)
        assert len(session.delivered) == 3
        accept_next(session, out_note("n2", _get_data_centre(agent)))
        session.run(2.0)
        session.delivered.clear()
        session.packet("b1", make_short(token), "packet of the flow")
        session.run(0.05)
        assert session.delivered == []
        assert len(session.to_callers) == 1

    def test_flows_in_other_data_centres_are_unaffected(self, session):
        agent, token = open_flow(session)
        other = next(c for c in CENTRES if c != _get_data_centre(agent))
        accept_next(session, out_note("n2", other))
        session.run(2.0)
        session.packet("b1", make_short(token), "packet of the flow")
        session.run(0.05)
        assert session.delivered[-1][0] == agent


class TestMembership:
    def test_killed_agent_is_suspected_then_removed(self, session, snapshot):
        session.kill("a1")
        session.run(8.0)
        assert session.transcript() == snapshot
        for balancer in ("b1", "b2", "b3"):
            assert session.core(balancer).members.table.get("127.1.1.1:7000").is_gone

    def test_suspected_agent_refutes_suspicion_when_links_heal(self, session, snapshot):
        """The agent cannot reach any balancer for 3.5 s."""
        session.cut |= {("a1", "b1"), ("a1", "b2"), ("a1", "b3")}
        session.run(3.5)
        session.restore_links()
        session.run(3.0)
        assert session.transcript() == snapshot
        for balancer in ("b1", "b2", "b3"):
            member = session.core(balancer).members.table.get("127.1.1.1:7000")
            assert member.may_take_work

    def test_paused_balancer_removes_no_members(self, session, snapshot):
        """The balancer is suspended for 10 s; messages of that time are lost."""
        session.suspend("b1")
        session.run(1.0)
        session.process_by_name["b1"].backlog.clear()
        session.run(9.0)
        session.process_by_name["b1"].backlog.clear()
        session.resume("b1")
        session.run(2.0)
        removed = [m for m in session.core("b1").members.table if m.is_gone]
        assert removed == []
        assert session.transcript() == snapshot

    def test_draining_agent_gets_no_opens(self, session, snapshot):
        core = session.core("a1")
        for effect in core.drain(session.now):
            session._perform(session.process_by_name["a1"], effect)
        session.run(1.0)
        for index in range(12):
            open_flow(session, "b2", b"open%04d" % index)
        assert "a1" not in {agent for agent, _ in session.opened.values()}
        assert session.transcript() == snapshot

    def test_new_balancer_and_agent_join_while_store_is_unreachable(
        self, session, snapshot
    ):
        session.key_value.is_unavailable = True
        session.add_remark("the key-value service is away")
        session.add_balancer("b4", "127.1.0.4", "atlantic", seeds=(B2,))
        session.add_agent("a4", "127.1.1.4", "atlantic", "dispatch", seeds=(B2,))
        session.run(3.0)
        assert session.core("b4").is_ready
        assert session.core("a4").is_ready
        assert session.core("b4").releases.revision == 1
        assert "suspected" not in session.transcript()
        assert session.transcript() == snapshot

    def test_unreachable_data_centre_removes_no_members_and_recovers(
        self, session, snapshot
    ):
        """One of three data centres is cut off for 60 s."""
        cut_links = [("b3", "b1"), ("b3", "b2"), ("a3", "b1"), ("a3", "b2")]
        cut_links += [("b3", "a1"), ("b3", "a2"), ("b3", "store")]
        session.cut |= {pair for a, b in cut_links for pair in ((a, b), (b, a))}
        session.add_remark("winelands is cut off")
        run_and_check_members(session, 60.0, {"b1": 4, "b2": 4, "b3": 2})
        session.restore_links()
        run_and_check_members(session, 15.0, {"b1": 4, "b2": 4, "b3": 2})
        assert "removed" not in session.transcript()
        for balancer in ("b1", "b2", "b3"):
            members = session.core(balancer).members
            serving = [m for m in members.table if m.may_take_work]
            assert len(serving) == 6
        assert session.transcript() == snapshot


class TestReleases:
    def test_store_restored_to_old_state_is_brought_up_to_date(self, session, snapshot):
        old_values = dict(session.key_value.value_by_key)
        accept_next(session, out_note("n2"))
        session.run(1.0)
        session.add_remark("the key-value service is set back to revision 1")
        session.key_value.value_by_key = old_values
        session.run(3.0)
        for name in ("b1", "b2", "b3"):
            assert session.core(name).releases.revision == 2
        assert session.transcript() == snapshot

    def test_conflicting_release_on_restored_store_does_not_replace_release(
        self, session, snapshot
    ):
        """The store returns to revision 1, where another note is accepted."""
        old_values = dict(session.key_value.value_by_key)
        before = session.release
        accept_next(session, out_note("n2"))
        session.run(1.0)
        session.key_value.value_by_key = old_values
        session.accept(out_note("n2b", "atlantic"), before)
        session.run(3.0)
        for name in ("b1", "b2", "b3"):
            assert session.core(name).releases.release.note_id == "n2"
        assert session.transcript() == snapshot

    def test_release_accepted_on_another_history_is_adopted(self, session):
        """The store returns to revision 1 and is at revision 3 when it is next read."""
        old_values = dict(session.key_value.value_by_key)
        before = session.release
        accept_next(session, out_note("n2"))
        session.run(1.0)
        session.key_value.value_by_key = old_values
        _, other = session.accept(out_note("n2b", "atlantic"), before)
        session.accept(out_note("n3b"), other)
        session.run(3.0)
        for name in ("b1", "b2", "b3"):
            assert session.core(name).releases.release.note_id == "n3b"

    def test_release_spreads_to_all_within_a_second(self, session, snapshot):
        accept_next(session, out_note("n2"))
        session.run(1.0)
        for name in ("b1", "b2", "b3"):
            assert session.core(name).releases.revision == 2
        for name in ("a1", "a2", "a3"):
            assert session.core(name).registration.revision == 2
        assert session.transcript() == snapshot

    def test_paused_process_does_not_bring_back_an_old_release(self, session):
        session.suspend("b1")
        accept_next(session, out_note("n2"))
        session.run(5.0)
        session.resume("b1")
        session.run(2.0)
        for name in ("b1", "b2", "b3"):
            assert session.core(name).releases.revision == 2


def run_and_check_members(session, seconds, min_members_by_balancer):
    """Run, and check every 0.1 s how many members each balancer may use."""
    for _ in range(int(seconds * 10)):
        session.run(0.1)
        for balancer, min_members in min_members_by_balancer.items():
            table = session.core(balancer).members.table
            assert sum(m.may_take_work for m in table) >= min_members, (
                session.transcript()
            )


def _get_host(agent):
    return f"127.1.1.{agent[1:]}"


def _get_data_centre(agent):
    return CENTRES[int(agent[1:]) - 1]
