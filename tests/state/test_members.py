"""Tests that member records merge to the same table in any order."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberrypath.state.members import (
    Member,
    MemberTable,
    Role,
    Status,
    Suspicion,
)

MEMBERS = st.builds(
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


def _build_table(records):
    table = MemberTable()
    for record in records:
        table.merge(record)
    return table


class TestMemberTable:
    @settings(derandomize=True, deadline=None)
    @given(st.lists(MEMBERS, max_size=12), st.randoms(use_true_random=False))
    def test_table_does_not_depend_on_the_order_of_records(self, records, rng):
        record_by_version = {}
        for record in records:
            record_by_version[
                (record.node_id, record.incarnation, record.version, record.suspicion)
            ] = record
        unique_records = list(record_by_version.values())
        shuffled_records = list(unique_records)
        rng.shuffle(shuffled_records)
        left, right = _build_table(unique_records), _build_table(shuffled_records)
        assert left.digest() == right.digest()
        assert {m.node_id: m.suspicion for m in left} == {
            m.node_id: m.suspicion for m in right
        }

    @settings(derandomize=True, deadline=None)
    @given(st.lists(MEMBERS, max_size=12), st.lists(MEMBERS, max_size=12))
    def test_exchange_of_differing_buckets_makes_tables_equal(
        self, left_records, right_records
    ):
        left, right = _build_table(left_records), _build_table(right_records)
        for member in left.list_differing_members(right.list_bucket_digests()):
            right.merge(member)
        for member in right.list_differing_members(left.list_bucket_digests()):
            left.merge(member)
        assert left.digest() == right.digest()

    def test_drop_of_removed_member_does_not_change_the_digest(self):
        table = MemberTable()
        record = Member("10.0.0.1:7", Role.AGENT, "a", "s", 1, 1, Status.SERVING)
        table.merge(record)
        table.merge(msgspec.structs.replace(record, suspicion=Suspicion.REMOVED))
        digest_before = table.digest()
        table.drop("10.0.0.1:7")
        assert table.digest() == digest_before == MemberTable().digest()

    def test_newer_incarnation_wins_over_removal(self):
        table = MemberTable()
        record = Member("10.0.0.1:7", Role.AGENT, "a", "s", 1, 9, Status.SERVING)
        table.merge(msgspec.structs.replace(record, suspicion=Suspicion.REMOVED))
        table.merge(
            msgspec.structs.replace(record, incarnation=2, version=1, service="t")
        )
        assert [m.service for m in table.list_agents("t")] == ["t"]
        assert list(table.list_agents("s")) == []


class TestFormerFlows:
    @pytest.fixture
    def agent(self):
        return Member(
            "10.0.0.1:7",
            Role.AGENT,
            "a",
            "board",
            1,
            1,
            Status.SERVING,
            may_have_former_flows=True,
        )

    @pytest.mark.parametrize(
        "change",
        [
            {"may_have_former_flows": False},
            {"status": Status.LEFT},
            {"suspicion": Suspicion.REMOVED},
        ],
    )
    def test_service_is_listed_until_its_agent_has_no_former_flows(self, agent, change):
        table = MemberTable()
        table.merge(agent)
        assert table.list_services_with_former_flows() == ["board"]
        table.merge(msgspec.structs.replace(agent, version=2, **change))
        assert table.list_services_with_former_flows() == []

    @pytest.mark.parametrize("restarts", [1, 2])
    def test_service_stays_listed_until_its_restarted_agent_serves(
        self, agent, restarts
    ):
        """Guard against forgetting former flows before their upstream is heard."""
        table = MemberTable()
        table.merge(agent)
        for number in range(restarts):
            restarted = msgspec.structs.replace(
                agent,
                incarnation=agent.incarnation + 1 + number,
                status=Status.DRAINING,
                may_have_former_flows=False,
            )
            table.merge(restarted)
            suspected = msgspec.structs.replace(
                restarted, suspicion=Suspicion.SUSPECTED
            )
            table.merge(suspected)
        assert table.list_services_with_former_flows() == ["board"]
        table.merge(
            msgspec.structs.replace(restarted, version=2, status=Status.SERVING)
        )
        assert table.list_services_with_former_flows() == []

    @pytest.mark.parametrize(
        "change",
        [
            {"service": "canary"},
            {"status": Status.LEFT},
            {"suspicion": Suspicion.REMOVED},
        ],
    )
    def test_service_is_not_listed_after_its_restarted_agent_is_gone(
        self, agent, change
    ):
        table = MemberTable()
        table.merge(agent)
        fields = {"status": Status.DRAINING, "may_have_former_flows": False, **change}
        table.merge(msgspec.structs.replace(agent, incarnation=2, **fields))
        assert table.list_services_with_former_flows() == []

    def test_draining_agent_whose_former_flows_have_ended_is_not_listed(self, agent):
        table = MemberTable()
        table.merge(agent)
        fields = {"status": Status.DRAINING, "may_have_former_flows": False}
        table.merge(msgspec.structs.replace(agent, version=2, **fields))
        assert table.list_services_with_former_flows() == []

    def test_record_of_an_older_build_has_no_former_flows(self, agent):
        known_fields = Member.__struct_fields__.index("may_have_former_flows")
        fields = msgspec.to_builtins(agent)[:known_fields]
        record = msgspec.convert(fields, Member)
        assert not record.may_have_former_flows
        assert not record.has_no_flows
