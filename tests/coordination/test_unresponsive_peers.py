import pytest

from bilberrypath.coordination.unresponsive_peers import (
    ANSWER_TIMEOUT,
    FAILED_AFTER,
    MACHINE_ALIVE_FOR,
    UnresponsivePeers,
)

PEER = "10.0.0.2:7600"


@pytest.fixture
def peers():
    peers = UnresponsivePeers()
    peers.record_timeout(PEER, 1.0)
    return peers


class TestUnresponsivePeers:
    def test_unresponsive_peer_is_pinged_at_each_tick(self, peers):
        assert len(peers.tick(1.2)) == 1
        peers.record_received(PEER)
        assert peers.tick(1.4) == []

    def test_peer_has_failed_after_its_time_limit(self, peers):
        assert not peers.has_failed(PEER, 1.0 + FAILED_AFTER - 0.1)
        assert peers.has_failed(PEER, 1.0 + FAILED_AFTER)

    def test_peer_whose_machine_answers_has_not_failed(self, peers):
        assert [probe.node_id for probe in peers.probe_machines(1.2)] == [PEER]
        assert peers.probe_machines(1.4) == []
        peers.record_machine_alive(PEER, 1.0 + FAILED_AFTER - 1.0)
        assert not peers.has_failed(PEER, 1.0 + FAILED_AFTER)
        assert peers.has_failed(PEER, FAILED_AFTER + MACHINE_ALIVE_FOR + 0.1)

    def test_earlier_machine_answer_does_not_count_for_later_silence(self, peers):
        peers.record_machine_alive(PEER, 2.0)
        peers.record_received(PEER)
        peers.record_timeout(PEER, 2.5)
        peers.record_machine_alive("10.0.0.3:7600", 2.5)
        assert peers.has_failed(PEER, 2.5 + FAILED_AFTER)

    def test_own_pause_does_not_count_as_silence(self, peers):
        peers.shift_for_pause(10.0)
        assert not peers.has_failed(PEER, 11.5)
        assert peers.has_failed(PEER, 11.0 + FAILED_AFTER)

    def test_peer_is_unresponsive_only_after_the_answer_timeout(self):
        peers = UnresponsivePeers()
        peers.expect_answer(PEER, 1.0)
        peers.expect_answer(PEER, 1.1)
        assert peers.tick(1.0 + ANSWER_TIMEOUT / 2) == []
        assert len(peers.tick(1.0 + ANSWER_TIMEOUT + 0.01)) == 1

    def test_own_pause_does_not_make_peers_unresponsive(self):
        peers = UnresponsivePeers()
        peers.expect_answer(PEER, 1.0)
        peers.shift_for_pause(10.0)
        assert peers.tick(11.0 + ANSWER_TIMEOUT / 2) == []
