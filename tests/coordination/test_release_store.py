"""Accepting notes through a service that fails in every way it may."""

import pytest

from bilberrypath.coordination.release_store import (
    Accepted,
    Conflict,
    StoreBehind,
    UnknownYet,
)
from bilberrypath.state.release import Release, ReleaseDelta, apply_note
from tests.support.fake_store import FakeKeyValue, make_store, run_now
from tests.support.notes import first_note, out_note


def make_delta(before, note):
    after = apply_note(before, note)
    return ReleaseDelta(after.revision, after.digest(), note), after


@pytest.fixture
def key_value():
    """A service that holds nothing yet."""
    return FakeKeyValue()


@pytest.fixture
def store(key_value):
    """The releases in it."""
    return make_store(key_value)


def accept(store, before, note):
    step, after = make_delta(before, note)
    return run_now(store.accept(before, step)), step, after


class TestAccept:
    def test_answer_lost_after_the_write_took_effect(self, store, key_value):
        key_value.loses_next_answer = True
        result, _, _ = accept(store, Release(), first_note())
        assert result == Accepted(1)

    def test_write_lost_is_unknown_until_the_history_tells(self, store, key_value):
        key_value.loses_next_write = True
        result, step, _ = accept(store, Release(), first_note())
        assert result == UnknownYet("n1")
        assert run_now(store.check_accepted(step)) == UnknownYet("n1")
        accept(store, Release(), first_note("other"))
        settled = run_now(store.check_accepted(step))
        assert isinstance(settled, Conflict)
        assert settled.delta.note.note_id == "other"

    def test_race_has_one_winner_and_shows_the_other_note(self, store):
        won, _, release = accept(store, Release(), first_note())
        one, _, _ = accept(store, release, out_note("one"))
        two, _, _ = accept(store, release, out_note("two", "atlantic"))
        assert (won, one) == (Accepted(1), Accepted(2))
        assert isinstance(two, Conflict)
        assert two.delta.note.note_id == "one"

    def test_other_note_between_read_and_swap_wins(self, store, key_value):
        _, _, release = accept(store, Release(), first_note())
        key_value.before_next_swap = lambda: accept(store, release, out_note("first"))
        result, _, _ = accept(store, release, out_note("second", "atlantic"))
        assert isinstance(result, Conflict)
        assert run_now(store.read_snapshot()).note_id == "first"

    def test_service_away_is_unknown_yet(self, store, key_value):
        key_value.is_away = True
        result, _, _ = accept(store, Release(), first_note())
        assert result == UnknownYet("n1")

    def test_service_set_back_refuses(self, store, key_value):
        _, _, release = accept(store, Release(), first_note())
        old = dict(key_value.value_by_key)
        _, _, newer = accept(store, release, out_note("n2"))
        key_value.value_by_key = old
        result, _, _ = accept(store, newer, out_note("n3", "atlantic"))
        assert result == StoreBehind(1)


class TestRead:
    def test_steps_when_little_is_missing(self, store):
        _, _, release = accept(store, Release(), first_note())
        _, step, after = accept(store, release, out_note("n2"))
        reading = run_now(store.read(release))
        assert reading.deltas == (step,)
        assert run_now(store.read_snapshot()) == after

    def test_whole_when_the_history_is_gone(self, store, key_value):
        _, _, release = accept(store, Release(), first_note())
        for key in [key for key in key_value.value_by_key if "/note/" in key]:
            del key_value.value_by_key[key]
        assert run_now(store.read(Release())).snapshot == release

    def test_part_that_does_not_fit_its_name_is_not_taken(self, store, key_value):
        accept(store, Release(), first_note())
        for key in [key for key in key_value.value_by_key if "/part/" in key]:
            key_value.value_by_key[key] = b"\x90"
        with pytest.raises(Exception, match="do not match the digests in /t/head"):
            run_now(store.read_snapshot())

    def test_change_writes_only_what_changed(self, store, key_value):
        _, _, release = accept(store, Release(), first_note())
        before = set(key_value.value_by_key)
        accept(store, release, out_note("n2"))
        assert len(set(key_value.value_by_key) - before) == 1


class TestRestore:
    def test_newer_release_in_the_service_stays(self, store):
        _, _, release = accept(store, Release(), first_note())
        accept(store, release, out_note("n2"))
        assert run_now(store.restore(release)) is False

    def test_restored_release_reads_the_same(self, store, key_value):
        _, _, release = accept(store, Release(), first_note())
        key_value.value_by_key.clear()
        assert run_now(store.restore(release)) is True
        assert run_now(store.read_snapshot()) == release
