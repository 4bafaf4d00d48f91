"""Tests of the digest and the latest changes of a service's agents."""

from msgspec.structs import replace

from bilberrypath.state.member_digest import digest_agents
from bilberrypath.state.members import Member, MemberTable, Role, Status, Suspicion
from bilberrypath.state.service_agents import MAX_CHANGES


def make_agent(index, version=1, service="board"):
    return Member(
        f"10.2.0.{index}:7600", Role.AGENT, "a", service, 1, version, Status.SERVING
    )


def make_table(count):
    table = MemberTable()
    for index in range(count):
        table.merge(make_agent(index))
    return table


def list_changed_ids(table, digest):
    changed = table.list_changed_agents("board", digest)
    return None if changed is None else {member.node_id for member in changed}


class TestServiceAgents:
    def test_digest_equals_that_of_the_whole_list(self):
        table = make_table(5)
        table.merge(make_agent(2, version=2))
        table.merge(replace(make_agent(3), suspicion=Suspicion.REMOVED))
        table.merge(make_agent(4, version=2, service="photo"))
        agents = list(table.list_agents("board"))
        assert len(agents) == 3
        assert table.digest_agents("board") == digest_agents(agents)

    def test_only_changed_records_are_listed(self):
        table = make_table(100)
        digest = table.digest_agents("board")
        table.merge(make_agent(7, version=2))
        table.merge(replace(make_agent(8), suspicion=Suspicion.REMOVED))
        table.merge(make_agent(9, version=2, service="photo"))
        assert list_changed_ids(table, digest) == {
            "10.2.0.7:7600",
            "10.2.0.8:7600",
            "10.2.0.9:7600",
        }

    def test_changes_since_an_unknown_digest_are_not_known(self):
        table = make_table(3)
        assert list_changed_ids(table, 12345) is None
        assert table.list_changed_agents("photo", 12345) is None

    def test_changes_before_the_latest_are_not_known(self):
        table = make_table(2)
        digest = table.digest_agents("board")
        for version in range(2, MAX_CHANGES + 3):
            table.merge(make_agent(0, version))
        assert list_changed_ids(table, digest) is None
