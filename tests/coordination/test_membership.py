"""Tests of one balancer's membership: suspicion, own pauses and its own record."""

import msgspec

from bilberrypath.coordination.membership import Membership
from bilberrypath.state.members import Member, Role, Status, Suspicion

OWN_MEMBER = Member("10.0.0.1:7000", Role.BALANCER, "a", "", 1, 1, Status.SERVING)
AGENT = Member("10.0.1.1:7000", Role.AGENT, "a", "s", 1, 1, Status.SERVING)


def make_membership():
    """Return the membership of a balancer that got an agent's heartbeat at 0 s."""
    membership = Membership(OWN_MEMBER)
    membership.merge(AGENT, 0.0)
    membership.heartbeat_monitor.record(AGENT.node_id, 0, 0, 0.0)
    membership.tick(0.0)
    membership.data_centre_liveness.record_received("a", 0.2)
    membership.tick(0.2)
    return membership


class TestPause:
    def test_agent_is_not_suspected_after_own_pause(self):
        """This process runs no ticks from 0.2 s to 2.9 s, and gets no heartbeats."""
        membership = make_membership()
        membership.tick(2.9)
        membership.tick(3.1)
        assert membership.table.get(AGENT.node_id).suspicion is Suspicion.NONE

    def test_silent_agent_is_suspected_without_a_pause(self):
        membership = make_membership()
        for tenth in range(3, 32):
            membership.data_centre_liveness.record_received("a", tenth / 10)
            membership.tick(tenth / 10)
        assert membership.table.get(AGENT.node_id).suspicion is Suspicion.SUSPECTED


class TestOwnRecord:
    def test_own_suspicion_is_refuted_with_a_higher_version(self):
        membership = make_membership()
        membership.merge(
            msgspec.structs.replace(OWN_MEMBER, suspicion=Suspicion.REMOVED), 1.0
        )
        assert membership.own_member.version == 2
        assert membership.table.get(OWN_MEMBER.node_id).may_take_work

    def test_own_incarnation_exceeds_a_later_one_at_the_same_address(self):
        membership = make_membership()
        membership.merge(msgspec.structs.replace(OWN_MEMBER, incarnation=9), 1.0)
        assert membership.own_member.incarnation == 10
