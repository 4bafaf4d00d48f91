"""Tests of releases and of the release notes that change them."""

import pytest
from attrs import evolve

from bilberrypath.state.release import (
    DataCentre,
    Release,
    ReleaseDelta,
    ReleaseNote,
    Service,
    apply_note,
    apply_release_delta,
    check_note,
)
from bilberrypath.state.release_notes import (
    NOTE_TEMPLATE,
    NoteErrors,
    format_note,
    parse_note,
)
from tests.support.notes import CENTRES, first_note, out_note


@pytest.fixture
def release():
    """Return revision 1, with three data centres and two services."""
    return apply_note(Release(), first_note())


class TestApplyNote:
    def test_numbers_are_never_reused(self, release):
        after = apply_note(release, ReleaseNote("n2", withdrawn_services=("photos",)))
        again = ReleaseNote("n3", added_services=(Service("photos", 9444, CENTRES),))
        assert release.get_service("photos").number == 2
        assert apply_note(after, again).get_service("photos").number == 3

    def test_changed_service_keeps_its_number(self, release):
        note = ReleaseNote("n2", changed_services=(Service("dispatch", 9999, CENTRES),))
        service = apply_note(release, note).get_service("dispatch")
        assert (service.port, service.number) == (9999, 1)

    def test_earlier_release_is_unchanged(self, release):
        apply_note(release, out_note("n2"))
        assert release.list_data_centres_out() == frozenset()

    def test_same_notes_give_the_same_digest(self, release):
        other = apply_note(Release(), first_note())
        assert other.digest() == release.digest()
        assert apply_note(other, out_note("n2")).digest() != release.digest()


class TestApplyReleaseDelta:
    def test_delta_of_another_revision_is_not_applied(self, release):
        after = apply_note(release, out_note("n2"))
        delta = ReleaseDelta(3, after.digest(), out_note("n2"))
        assert apply_release_delta(release, delta) is None

    def test_delta_with_a_wrong_digest_is_not_applied(self, release):
        delta = ReleaseDelta(2, b"x" * 16, out_note("n2"))
        assert apply_release_delta(release, delta) is None

    def test_matching_delta_is_applied(self, release):
        after = apply_note(release, out_note("n2"))
        delta = ReleaseDelta(2, after.digest(), out_note("n2"))
        assert apply_release_delta(release, delta) == after


class TestCheckNote:
    @pytest.mark.parametrize(
        ("note", "expected_text"),
        [
            (ReleaseNote("x"), "changes nothing"),
            (
                ReleaseNote("x", added_data_centres=(DataCentre("atlantic"),)),
                "exists already",
            ),
            (out_note("x", "karoo"), "data centre 'karoo' is not in revision 1"),
            (
                ReleaseNote("x", withdrawn_services=("board",)),
                "service 'board' is not in",
            ),
            (
                ReleaseNote("x", added_services=(Service("board", 9443, CENTRES),)),
                "port 9443 is already used by service 'dispatch'",
            ),
            (
                ReleaseNote("x", added_services=(Service("board", 9, ("karoo",)),)),
                "data centre 'karoo' is not known",
            ),
            (
                ReleaseNote("x", withdrawn_data_centres=("atlantic",)),
                "cannot be withdrawn while service 'dispatch'",
            ),
        ],
    )
    def test_error_names_the_value_and_the_remedy(self, release, note, expected_text):
        assert any(expected_text in error for error in check_note(release, note))

    def test_valid_note_has_no_errors(self, release):
        assert check_note(release, out_note("n2")) == []

    def test_services_may_swap_ports_in_one_note(self, release):
        swapped = (
            evolve(release.get_service("dispatch"), port=9444),
            evolve(release.get_service("photos"), port=9443),
        )
        assert check_note(release, ReleaseNote("n2", changed_services=swapped)) == []


class TestParseNote:
    def test_all_errors_are_returned_at_once(self):
        parsed = parse_note(
            "[added]\nservice a = port x\nboat b = in\n[gone]\nz = 1\n"
            "[changed]\ndata centre c = maybe\n"
        )
        assert isinstance(parsed, NoteErrors)
        assert len(parsed.errors) == 4

    def test_template_is_a_note_that_changes_nothing(self):
        assert format_note(parse_note(NOTE_TEMPLATE)) == []

    def test_formatted_note_lists_its_changes(self):
        note = parse_note(
            "[added]\ndata centre a = in\nservice s = port 80, data centres a\n"
            "[changed]\ndata centre b = out\n[withdrawn]\nservice t\n"
        )
        assert format_note(note) == [
            "added: data centre a in",
            "added: service s port 80 in a",
            "changed: data centre b out",
            "withdrawn: service t",
        ]
