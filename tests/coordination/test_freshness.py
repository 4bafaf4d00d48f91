"""Tests of which answers, of peers or of the store, make a process fresh."""

from bilberrypath.coordination import events as ev
from bilberrypath.coordination.freshness import Freshness
from bilberrypath.state.members import Member, Role, Status
from tests.support.session import Session

PEER = Member("10.0.0.2:7000", Role.BALANCER, "a", "", 1, 1, Status.SERVING)


class TestFreshness:
    def test_answered_exchange_counts_from_its_start(self):
        freshness = Freshness(limit=2.0)
        sequence = freshness.start_exchange(10.0)
        assert freshness.confirm(sequence) == 10.0
        assert freshness.is_fresh(12.0)
        assert not freshness.is_fresh(12.1)

    def test_answer_without_pending_exchange_is_ignored(self):
        freshness = Freshness()
        assert freshness.confirm(7) is None
        assert not freshness.is_fresh(0.0)


class TestStoreReads:
    def make_core(self, with_peer):
        core = Session().add_balancer("b1", "10.0.0.1", "a").core
        if with_peer:
            core.members.merge(PEER, 0.0)
        return core

    def test_store_read_counts_for_a_balancer_without_peers(self):
        core = self.make_core(with_peer=False)
        core.handle(ev.StoreRead(10.0, 0), 10.0)
        assert core.freshness.is_fresh(10.0)

    def test_store_read_does_not_count_while_peers_may_have_a_newer_release(self):
        core = self.make_core(with_peer=True)
        core.handle(ev.StoreRead(10.0, 0), 10.0)
        assert not core.freshness.is_fresh(10.0)

    def test_store_read_counts_once_no_peer_has_answered_for_several_seconds(self):
        core = self.make_core(with_peer=True)
        for tick in range(40):
            core.handle(ev.Tick(), 10.0 + tick * 0.2)
        core.handle(ev.StoreRead(18.0, 0), 18.0)
        assert core.freshness.is_fresh(18.0)
