"""The member table of one balancer, and what its own pause does to it."""

import msgspec

from bilberrypath.coordination.membership import Membership
from bilberrypath.state.members import Member, Role, Status, Suspicion

ME = Member("10.0.0.1:7000", Role.BALANCER, "a", "", 1, 1, Status.SERVING)
AGENT = Member("10.0.1.1:7000", Role.AGENT, "a", "s", 1, 1, Status.SERVING)


def make_membership():
    """A balancer that heard one agent at the time 0."""
    members = Membership(ME)
    members.merge(AGENT, 0.0)
    members.heartbeat_monitor.record(AGENT.node_id, 0, 0, 0.0)
    members.tick(0.0)
    members.data_centre_liveness.record_heard("a", 0.2)
    members.tick(0.2)
    return members


class TestPause:
    def test_own_pause_is_no_silence_of_others(self):
        members = make_membership()
        members.tick(2.9)
        members.tick(3.1)
        assert members.table.get(AGENT.node_id).suspicion is Suspicion.NONE

    def test_silence_without_a_pause_is_suspected(self):
        members = make_membership()
        for tenth in range(3, 32):
            members.data_centre_liveness.record_heard("a", tenth / 10)
            members.tick(tenth / 10)
        assert members.table.get(AGENT.node_id).suspicion is Suspicion.SUSPECTED


class TestOwnRecord:
    def test_suspicion_of_oneself_is_denied_by_a_higher_version(self):
        members = make_membership()
        members.merge(msgspec.structs.replace(ME, suspicion=Suspicion.REMOVED), 1.0)
        assert members.own_member.version == 2
        assert members.table.get(ME.node_id).may_take_work

    def test_later_incarnation_at_ones_address_is_topped(self):
        members = make_membership()
        members.merge(msgspec.structs.replace(ME, incarnation=9), 1.0)
        assert members.own_member.incarnation == 10
