import msgspec
import pytest

from bilberrypath.coordination.effects import Count, LogStateChange
from bilberrypath.coordination.flow_effects import PullRoutes
from bilberrypath.coordination.route_tracker import (
    MAX_DELTAS,
    PULL_TIMEOUT,
    RESTORE_SETTLE_TIME,
    RouteTracker,
)
from bilberrypath.protocol.flow_packet import pack_flow_key
from bilberrypath.state.route_delta import (
    NO_TABLE_DIGEST,
    RouteTableReply,
    index_route_table,
)
from bilberrypath.state.route_terms import RouteTerms
from bilberrypath.state.store_position import make_revision
from tests.support.flow_world import ADDRESS, make_table


@pytest.fixture
def tracker():
    tracker = RouteTracker()
    tracker.adopt_if_newer(make_table(5))
    return tracker


class TestTable:
    def test_finds_the_route_of_a_flow(self, tracker):
        flow = pack_flow_key(("100.64.0.1", 5), ADDRESS)
        assert tracker.find_route(flow).allows("board")
        assert tracker.find_route(flow[:-1] + b"\0") is None

    @pytest.mark.parametrize("revision", [4, 5])
    def test_older_or_equal_revision_is_not_adopted(self, tracker, revision):
        effects = tracker.adopt_if_newer(make_table(revision, service="photo"))
        assert effects == [Count("routes", "older")] * (revision < 5)
        assert tracker.limits_by_service.keys() >= {"board"}
        assert tracker.revision == 5

    def test_newer_table_is_adopted(self, tracker):
        assert tracker.adopt_if_newer(make_table(6))
        assert tracker.revision == 6


class TestTerms:
    FLOW = pack_flow_key(("100.64.0.1", 5), ADDRESS)

    def make_tables(self):
        """Return a table without terms, and one that differs in its terms alone."""
        before = make_table(5)
        route = msgspec.structs.replace(before.routes[0], terms=RouteTerms(2, 0.309))
        return before, make_table(6, routes=(route,))

    def test_are_found_for_a_flow_of_the_route(self):
        tracker = RouteTracker()
        assert tracker.find_terms(self.FLOW) is None
        tracker.adopt_if_newer(self.make_tables()[1])
        assert tracker.find_terms(self.FLOW) == RouteTerms(2, 0.309)
        assert tracker.find_terms(self.FLOW[:-1] + b"\0") is None

    @pytest.mark.parametrize("has_table", [True, False])
    def test_arrive_by_delta_and_by_snapshot(self, has_table):
        before, after = self.make_tables()
        source, requester = RouteTracker(), RouteTracker()
        source.adopt_if_newer(before)
        source.adopt_if_newer(after)
        if has_table:
            requester.adopt_if_newer(before)
        reply = msgspec.msgpack.decode(
            msgspec.msgpack.encode(source.make_reply(requester.base_digest)),
            type=RouteTableReply,
        )
        assert (reply.snapshot is None) == has_table
        requester.handle_reply(reply)
        assert requester.find_terms(self.FLOW) == RouteTerms(2, 0.309)
        assert requester.former_services.list(self.FLOW[6:]) == ()

    def test_are_described_by_address(self):
        tracker = RouteTracker()
        tracker.adopt_if_newer(self.make_tables()[0])
        assert tracker.describe_terms() == []
        tracker.adopt_if_newer(self.make_tables()[1])
        assert tracker.describe_terms() == [
            "198.18.0.1:443: priority 2, latency_objective 0.309, timeout 10"
        ]


class TestDeltas:
    def adopt_all(self, *tables):
        tracker = RouteTracker()
        for table in tables:
            tracker.adopt_if_newer(table)
        return tracker

    def test_deltas_lead_from_an_earlier_table_to_the_one_in_force(self):
        tables = [make_table(n, out=("a",) * (n % 2)) for n in (5, 6, 8)]
        source = self.adopt_all(*tables)
        requester = self.adopt_all(tables[0])
        reply = source.make_reply(requester.base_digest)
        assert len(reply.deltas) == 2 and reply.snapshot is None
        requester.handle_reply(reply)
        assert requester.table == tables[-1]
        assert requester.route_by_endpoint == source.route_by_endpoint
        assert source.make_reply(requester.base_digest) == RouteTableReply()

    def test_process_without_a_table_gets_a_snapshot(self, tracker):
        requester = RouteTracker()
        reply = tracker.make_reply(requester.base_digest)
        assert reply.snapshot == tracker.table
        requester.handle_reply(reply)
        assert requester.revision == 5

    def test_removed_routes_are_not_found(self, tracker):
        requester = self.adopt_all(make_table(5))
        tracker.adopt_if_newer(make_table(6, routes=()))
        requester.handle_reply(tracker.make_reply(requester.base_digest))
        flow = pack_flow_key(("100.64.0.1", 5), ADDRESS)
        assert requester.find_route(flow) is None

    def test_deltas_older_than_the_table_in_force_are_ignored(self, tracker):
        requester = self.adopt_all(make_table(5))
        tracker.adopt_if_newer(make_table(6))
        late_reply = tracker.make_reply(requester.base_digest)
        requester.adopt_if_newer(make_table(7))
        requester.handle_reply(late_reply)
        assert requester.table == make_table(7)

    def test_pull_from_an_unknown_table_gets_a_snapshot(self, tracker):
        requester = self.adopt_all(make_table(4, service="photo"))
        assert tracker.make_reply(requester.base_digest).snapshot == tracker.table

    def test_pull_that_needs_too_many_deltas_gets_a_snapshot(self, tracker):
        requester = self.adopt_all(make_table(5))
        for revision in range(6, 6 + MAX_DELTAS + 1):
            tracker.adopt_if_newer(make_table(revision))
        assert tracker.make_reply(requester.base_digest).snapshot == tracker.table

    def test_mismatching_delta_leads_to_a_snapshot(self, tracker):
        other = self.adopt_all(make_table(5, service="photo"), make_table(6))
        old_digest = index_route_table(make_table(5, service="photo")).digest
        (delta,) = other.make_reply(old_digest).deltas
        wrong_delta = msgspec.structs.replace(delta, digest=1)
        effects = tracker.handle_reply(RouteTableReply((wrong_delta,)))
        assert effects == [Count("routes", "step_mismatch")]
        assert tracker.revision == 5
        assert tracker.base_digest == NO_TABLE_DIGEST
        tracker.handle_reply(other.make_reply(tracker.base_digest))
        assert tracker.table == make_table(6)


class TestRevisionReports:
    def test_newer_revision_starts_one_pull_at_a_time(self, tracker):
        assert tracker.observe_revision("x:1", 7, 0.0) == [PullRoutes("x:1")]
        assert tracker.observe_revision("y:1", 7, 0.1) == []
        assert tracker.observe_revision("y:1", 7, 0.1 + PULL_TIMEOUT) == [
            PullRoutes("y:1")
        ]
        assert tracker.is_behind

    def test_failed_pull_allows_the_next(self, tracker):
        tracker.observe_revision("x:1", 7, 0.0)
        tracker.allow_pull()
        assert tracker.observe_revision("y:1", 7, 0.1) == [PullRoutes("y:1")]

    def test_revision_in_force_starts_no_pull(self, tracker):
        assert tracker.observe_revision("x:1", 5, 0.0) == []
        assert not tracker.is_behind


def make_restored_table(store_revision, version, out=(), epoch=1):
    """Return a table of a store that was restored ``epoch`` times."""
    revision = make_revision(epoch, store_revision)
    table = make_table(store_revision, out=out)
    return msgspec.structs.replace(table, revision=revision, version=version)


class TestRestoredStore:
    """The table in force is of configuration 5, and of the store's revision 5."""

    def test_newer_version_is_adopted_at_a_revision_given_out_again(self, tracker):
        tracker.handle_store_read(make_restored_table(3, 6), 0.0)
        assert tracker.table.version == 6
        assert tracker.revision_label == "1.3"

    def test_older_version_from_the_copy_is_not_adopted(self, tracker):
        copied_table = make_restored_table(3, 4)
        for now in (0.0, 2 * RESTORE_SETTLE_TIME):
            tracker.handle_store_read(copied_table, now)
            assert tracker.table.version == 5
        tracker.handle_store_read(make_restored_table(4, 5), 9.0)
        assert tracker.revision_label == "1.4"

    def test_older_version_is_not_adopted_from_a_peer(self, tracker):
        """A process that started after the restore may have the copied table."""
        peer = RouteTracker()
        peer.handle_store_read(make_restored_table(3, 4), 0.0)
        tracker.handle_reply(peer.make_reply(tracker.base_digest))
        assert tracker.table == make_table(5)

    def test_table_in_force_elsewhere_replaces_an_older_version_from_the_copy(
        self, tracker
    ):
        started_later = RouteTracker()
        started_later.handle_store_read(make_restored_table(3, 4), 0.0)
        assert started_later.observe_revision("x:1", tracker.revision, 0.0)
        started_later.handle_reply(tracker.make_reply(started_later.base_digest))
        assert started_later.table == tracker.table
        started_later.handle_store_read(make_restored_table(4, 5), 9.0)
        assert started_later.revision_label == "1.4"

    def test_table_from_before_the_restore_is_pulled_once(self, tracker):
        started_later = RouteTracker()
        started_later.handle_store_read(make_restored_table(4, 5), 0.0)
        assert started_later.observe_revision("x:1", tracker.revision, 0.0)
        started_later.handle_reply(tracker.make_reply(started_later.base_digest))
        assert started_later.revision_label == "1.4"
        assert started_later.observe_revision("x:1", tracker.revision, 9.0) == []

    def test_copied_table_is_pulled_once(self, tracker):
        peer = RouteTracker()
        peer.handle_store_read(make_restored_table(3, 4), 0.0)
        assert tracker.observe_revision("x:1", peer.revision, 0.0)
        tracker.handle_reply(peer.make_reply(tracker.base_digest))
        assert tracker.observe_revision("x:1", peer.revision, 9.0) == []
        assert not tracker.is_behind

    def test_revision_from_before_an_adopted_restore_starts_no_pull(self, tracker):
        tracker.handle_store_read(make_restored_table(4, 6), 0.0)
        assert tracker.observe_revision("x:1", 5, 0.0) == []
        assert not tracker.is_behind

    def test_data_centre_out_that_the_copy_lacks_stays_out_until_it_has_settled(self):
        tracker = RouteTracker()
        tracker.adopt_if_newer(make_table(5, out=("a",)))
        copied_table = make_restored_table(3, 5)
        tracker.handle_store_read(copied_table, 0.0)
        tracker.handle_store_read(copied_table, 0.9 * RESTORE_SETTLE_TIME)
        assert tracker.table.data_centres_out == ("a",)
        tracker.handle_store_read(copied_table, RESTORE_SETTLE_TIME)
        assert tracker.table.data_centres_out == ()

    def test_data_centre_taken_out_after_the_restore_is_out_at_once(self, tracker):
        tracker.handle_store_read(make_restored_table(3, 5, out=("a",)), 0.0)
        assert tracker.table.data_centres_out == ("a",)

    def test_each_restore_settles_anew(self):
        tracker = RouteTracker()
        tracker.adopt_if_newer(make_table(5, out=("a",)))
        tracker.handle_store_read(make_restored_table(3, 5), 0.0)
        second_copy = make_restored_table(3, 5, epoch=2)
        tracker.handle_store_read(second_copy, RESTORE_SETTLE_TIME)
        assert tracker.table.data_centres_out == ("a",)
        tracker.handle_store_read(second_copy, 2 * RESTORE_SETTLE_TIME)
        assert tracker.revision_label == "2.3"

    def test_restore_is_logged_once(self, tracker):
        events = [
            effect
            for now in (0.0, 0.5)
            for effect in tracker.handle_store_read(make_restored_table(3, 4), now)
            if isinstance(effect, LogStateChange)
        ]
        fields = {"read": "1.3", "read_version": 4, "revision": "0.5", "version": 5}
        assert events == [LogStateChange("store_restored", fields)]

    def test_delta_leads_from_the_table_before_the_restore(self, tracker):
        requester = RouteTracker()
        requester.adopt_if_newer(make_table(5))
        tracker.handle_store_read(make_restored_table(3, 6), 0.0)
        reply = tracker.make_reply(requester.base_digest)
        assert len(reply.deltas) == 1
        requester.handle_reply(reply)
        assert requester.table == tracker.table
