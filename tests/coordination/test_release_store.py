"""Tests of releases in a key-value service that fails.

The service loses answers or writes, is unreachable, or returns to an old state.
"""

import pytest

from bilberrypath.coordination.release_store import (
    Accepted,
    Conflict,
    StoreBehind,
    StoreUnavailable,
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
    """Return a key-value service without any keys."""
    return FakeKeyValue()


@pytest.fixture
def store(key_value):
    """Return the release store on that service."""
    return make_store(key_value)


def accept(store, before, note):
    delta, after = make_delta(before, note)
    return run_now(store.accept(before, delta)), delta, after


def lose_second_note(store, key_value):
    """Accept two notes, and set the service back to the first.

    Return the release of the first, the delta of the second, and its release.
    """
    _, _, release = accept(store, Release(), first_note())
    old_values = dict(key_value.value_by_key)
    _, lost_delta, lost_release = accept(store, release, out_note("n2"))
    key_value.value_by_key = old_values
    return release, lost_delta, lost_release


class TestAccept:
    def test_accept_succeeds_when_the_answer_to_its_write_is_lost(
        self, store, key_value
    ):
        key_value.loses_next_answer = True
        result, _, _ = accept(store, Release(), first_note())
        assert result == Accepted(1)

    def test_lost_write_is_unknown_until_the_history_has_another_note(
        self, store, key_value
    ):
        key_value.loses_next_write = True
        result, own_delta, _ = accept(store, Release(), first_note())
        assert result == UnknownYet("n1")
        assert run_now(store.check_accepted(own_delta)) == UnknownYet("n1")
        accept(store, Release(), first_note("other"))
        check_result = run_now(store.check_accepted(own_delta))
        assert isinstance(check_result, Conflict)
        assert check_result.delta.note.note_id == "other"

    def test_second_of_two_notes_conflicts_and_returns_the_first(self, store):
        base_result, _, release = accept(store, Release(), first_note())
        first_result, _, _ = accept(store, release, out_note("one"))
        second_result, _, _ = accept(store, release, out_note("two", "atlantic"))
        assert (base_result, first_result) == (Accepted(1), Accepted(2))
        assert isinstance(second_result, Conflict)
        assert second_result.delta.note.note_id == "one"

    def test_note_accepted_between_read_and_swap_wins(self, store, key_value):
        _, _, release = accept(store, Release(), first_note())
        key_value.before_next_swap = lambda: accept(store, release, out_note("first"))
        result, _, _ = accept(store, release, out_note("second", "atlantic"))
        assert isinstance(result, Conflict)
        assert run_now(store.read_snapshot()).note_id == "first"

    def test_result_is_unknown_while_the_service_is_unreachable(self, store, key_value):
        key_value.is_unavailable = True
        result, _, _ = accept(store, Release(), first_note())
        assert result == UnknownYet("n1")

    def test_accept_is_refused_by_a_service_restored_to_an_old_state(
        self, store, key_value
    ):
        _, _, lost_release = lose_second_note(store, key_value)
        result, _, _ = accept(store, lost_release, out_note("n3", "atlantic"))
        assert result == StoreBehind(1)

    def test_accept_is_refused_by_a_restored_service_with_another_note(
        self, store, key_value
    ):
        """Guard against a head whose buckets are those of a note that was lost."""
        release, _, lost_release = lose_second_note(store, key_value)
        accept(store, release, out_note("other", "atlantic"))
        result, _, _ = accept(store, lost_release, out_note("n3"))
        assert result == StoreBehind(2)
        assert run_now(store.read_snapshot()).note_id == "other"


class TestRead:
    def test_reads_deltas_when_few_are_missing(self, store):
        _, _, release = accept(store, Release(), first_note())
        _, delta, after = accept(store, release, out_note("n2"))
        read_result = run_now(store.read(release))
        assert read_result.deltas == (delta,)
        assert run_now(store.read_snapshot()) == after

    def test_restored_store_with_another_history_is_read_as_a_snapshot(
        self, store, key_value
    ):
        """Guard against deltas that do not apply to the release in force."""
        release, _, lost_release = lose_second_note(store, key_value)
        _, _, other = accept(store, release, out_note("other-2", "atlantic"))
        _, _, newest = accept(store, other, out_note("other-3"))
        read_result = run_now(store.read(lost_release))
        assert read_result.deltas == ()
        assert read_result.snapshot == newest

    def test_reads_a_snapshot_when_the_history_is_deleted(self, store, key_value):
        _, _, release = accept(store, Release(), first_note())
        for key in [key for key in key_value.value_by_key if "/note/" in key]:
            del key_value.value_by_key[key]
        assert run_now(store.read(Release())).snapshot == release

    def test_bucket_that_does_not_match_its_digest_is_an_error(self, store, key_value):
        accept(store, Release(), first_note())
        for key in [key for key in key_value.value_by_key if "/part/" in key]:
            key_value.value_by_key[key] = b"\x90"
        with pytest.raises(Exception, match="do not match the digests in /t/head"):
            run_now(store.read_snapshot())

    def test_accept_adds_keys_only_for_changes(self, store, key_value):
        _, _, release = accept(store, Release(), first_note())
        keys_before = set(key_value.value_by_key)
        accept(store, release, out_note("n2"))
        assert len(set(key_value.value_by_key) - keys_before) == 1


class TestRestore:
    def test_restore_does_not_replace_a_newer_release(self, store):
        _, _, release = accept(store, Release(), first_note())
        accept(store, release, out_note("n2"))
        assert run_now(store.restore(release, ())) is False

    def test_result_of_a_note_is_known_after_the_restore(self, store, key_value):
        """Guard against a conflict that is reported for a note that is in force."""
        release, lost_delta, lost_release = lose_second_note(store, key_value)
        last_delta, last_release = make_delta(lost_release, out_note("n3", "atlantic"))
        accept(store, release, out_note("other"))
        run_now(store.restore(last_release, (lost_delta, last_delta)))
        assert run_now(store.check_accepted(lost_delta)) == Accepted(2)
        assert run_now(store.check_accepted(last_delta)) == Accepted(3)
        assert run_now(store.find_note("other")) is None
        assert run_now(store.read(release)).deltas == (lost_delta, last_delta)

    def test_restored_release_equals_the_original(self, store, key_value):
        _, _, release = accept(store, Release(), first_note())
        key_value.value_by_key.clear()
        assert run_now(store.restore(release, ())) is True
        assert run_now(store.read_snapshot()) == release


class TestOddValues:
    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xc1",
            b"\xa5odd!!",
            b"\x91" * 30000 + b"\x01",
            b"\x96" + b"\xcf" + b"\xff" * 8 + b"\xa0\x01\x01\x90\x90",
            b"\x97\x01\xa0\x01\x01\x90\x90" + b"\x91" * 30000 + b"\x01",
        ],
        ids=["empty", "unused", "text", "nested", "revision", "nested after all"],
    )
    def test_odd_head_is_an_unusable_answer_that_names_the_key(
        self, store, key_value, value
    ):
        """Guard against an odd value that ends the task which reads the store."""
        accept(store, Release(), first_note())
        key_value.value_by_key["/t/head"] = value
        with pytest.raises(
            StoreUnavailable, match="value of /t/head cannot be decoded"
        ):
            run_now(store.read(Release()))

    def test_odd_note_is_an_unusable_answer_that_names_the_key(self, store, key_value):
        accept(store, Release(), first_note())
        key = next(key for key in key_value.value_by_key if "/note/" in key)
        key_value.value_by_key[key] = b"\xc1"
        with pytest.raises(StoreUnavailable, match=f"value of {key} cannot be decoded"):
            run_now(store.read_deltas(1, 1))
