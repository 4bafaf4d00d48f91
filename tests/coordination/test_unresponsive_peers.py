import pytest

from bilberrypath.coordination.unresponsive_peers import (
    ANSWER_TIMEOUT,
    GONE_AFTER,
    MACHINE_ALIVE_FOR,
    UnresponsivePeers,
)

PEER = "10.0.0.2:7600"


@pytest.fixture
def silent():
    silent = UnresponsivePeers()
    silent.record_late(PEER, 1.0)
    return silent


class TestSilence:
    def test_is_asked_about_at_each_tick(self, silent):
        assert len(silent.tick(1.2)) == 1
        silent.record_heard(PEER)
        assert silent.tick(1.4) == []

    def test_for_long_means_gone(self, silent):
        assert not silent.is_gone(PEER, 1.0 + GONE_AFTER - 0.1)
        assert silent.is_gone(PEER, 1.0 + GONE_AFTER)

    def test_a_process_whose_machine_answers_is_not_gone(self, silent):
        assert [probe.node_id for probe in silent.probe_machines(1.2)] == [PEER]
        assert silent.probe_machines(1.4) == []
        silent.record_machine_alive(PEER, 1.0 + GONE_AFTER - 1.0)
        assert not silent.is_gone(PEER, 1.0 + GONE_AFTER)
        assert silent.is_gone(PEER, GONE_AFTER + MACHINE_ALIVE_FOR + 0.1)

    def test_a_machine_that_answered_before_does_not_count_for_the_next(self, silent):
        silent.record_machine_alive(PEER, 2.0)
        silent.record_heard(PEER)
        silent.record_late(PEER, 2.5)
        silent.record_machine_alive("10.0.0.3:7600", 2.5)
        assert silent.is_gone(PEER, 2.5 + GONE_AFTER)

    def test_an_own_pause_does_not_count(self, silent):
        silent.shift_for_pause(10.0)
        assert not silent.is_gone(PEER, 11.5)
        assert silent.is_gone(PEER, 11.0 + GONE_AFTER)

    def test_a_word_that_is_owed_is_waited_for(self):
        silent = UnresponsivePeers()
        silent.expect_answer(PEER, 1.0)
        silent.expect_answer(PEER, 1.1)
        assert silent.tick(1.0 + ANSWER_TIMEOUT / 2) == []
        assert len(silent.tick(1.0 + ANSWER_TIMEOUT + 0.01)) == 1

    def test_an_own_pause_does_not_make_words_late(self):
        silent = UnresponsivePeers()
        silent.expect_answer(PEER, 1.0)
        silent.shift_for_pause(10.0)
        assert silent.tick(11.0 + ANSWER_TIMEOUT / 2) == []
