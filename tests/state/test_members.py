"""Records of members merge to the same table in any order."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberrypath.state.members import (
    Member,
    MemberTable,
    Role,
    Status,
    Suspicion,
)

members = st.builds(
    Member,
    node_id=st.sampled_from(["10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"]),
    role=st.just(Role.AGENT),
    data_centre=st.just("a"),
    service=st.sampled_from(["s", "t"]),
    incarnation=st.integers(1, 3),
    version=st.integers(1, 3),
    status=st.just(Status.SERVING),
    suspicion=st.sampled_from(list(Suspicion)),
)


def _fill(rows):
    table = MemberTable()
    for row in rows:
        table.merge(row)
    return table


class TestMemberTable:
    @settings(derandomize=True, deadline=None)
    @given(st.lists(members, max_size=12), st.randoms(use_true_random=False))
    def test_order_of_arrival_does_not_matter(self, rows, rng):
        by_order = {}
        for row in rows:
            by_order[(row.node_id, row.incarnation, row.version, row.suspicion)] = row
        unique = list(by_order.values())
        other = list(unique)
        rng.shuffle(other)
        left, right = _fill(unique), _fill(other)
        assert left.digest() == right.digest()
        assert {m.node_id: m.suspicion for m in left} == {
            m.node_id: m.suspicion for m in right
        }

    @settings(derandomize=True, deadline=None)
    @given(st.lists(members, max_size=12), st.lists(members, max_size=12))
    def test_exchange_of_differing_buckets_makes_tables_alike(self, ours, theirs):
        left, right = _fill(ours), _fill(theirs)
        for member in left.list_differing_members(right.list_bucket_digests()):
            right.merge(member)
        for member in right.list_differing_members(left.list_bucket_digests()):
            left.merge(member)
        assert left.digest() == right.digest()

    def test_drop_of_gone_member_does_not_change_the_digest(self):
        table = MemberTable()
        row = Member("10.0.0.1:7", Role.AGENT, "a", "s", 1, 1, Status.SERVING)
        table.merge(row)
        table.merge(msgspec.structs.replace(row, suspicion=Suspicion.REMOVED))
        before = table.digest()
        table.drop("10.0.0.1:7")
        assert table.digest() == before == MemberTable().digest()

    def test_newer_incarnation_wins_over_removal(self):
        table = MemberTable()
        row = Member("10.0.0.1:7", Role.AGENT, "a", "s", 1, 9, Status.SERVING)
        table.merge(msgspec.structs.replace(row, suspicion=Suspicion.REMOVED))
        table.merge(msgspec.structs.replace(row, incarnation=2, version=1, service="t"))
        assert [m.service for m in table.list_agents("t")] == ["t"]
        assert list(table.list_agents("s")) == []
