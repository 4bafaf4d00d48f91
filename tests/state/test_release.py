"""Tests of releases and of the release notes that change them."""

import msgspec
import pytest
from attrs import evolve, frozen

from bilberrypath.state.release import (
    DataCentre,
    Release,
    ReleaseDelta,
    ReleaseNote,
    Service,
    apply_note,
    apply_release_delta,
    check_note,
    decode_bucket,
    digest_bucket,
    encode_bucket,
)
from bilberrypath.state.release_notes import (
    NOTE_TEMPLATE,
    NoteErrors,
    format_note,
    parse_note,
)
from bilberrypath.state.route_terms import RouteTerms
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


class TestStoredReleases:
    SERVICE = Service("dispatch", 9443, CENTRES, 3)
    # Of a service without terms, as commit f146380 encodes it.
    OLD_BUCKET = (
        b"\x91\x84\xacdata_centres\x93\xa8atlantic\xa8citybowl\xa9winelands"
        b"\xa4name\xa8dispatch\xa6number\x03\xa4port\xcd$\xe3"
    )

    def test_bucket_of_an_older_build_keeps_its_bytes_and_its_digest(self):
        """Guard against stored buckets that no process finds by their digest."""
        bucket = decode_bucket(self.OLD_BUCKET)
        assert bucket.service_by_name == {"dispatch": self.SERVICE}
        assert encode_bucket(bucket.service_by_name) == self.OLD_BUCKET
        assert bucket.digest == digest_bucket(self.OLD_BUCKET)

    def test_bucket_with_terms_is_read_as_it_was_written(self):
        service = evolve(self.SERVICE, terms=RouteTerms(2, 0.309, 1.314, "upload"))
        data = encode_bucket({"dispatch": service})
        bucket = decode_bucket(data)
        assert bucket.service_by_name == {"dispatch": service}
        assert bucket.digest == digest_bucket(data) != digest_bucket(self.OLD_BUCKET)

    def test_older_build_ignores_terms(self):
        @frozen
        class OldService:
            name: str
            port: int
            data_centres: tuple[str, ...]
            number: int = 0

        service = evolve(self.SERVICE, terms=RouteTerms(2))
        data = encode_bucket({"dispatch": service})
        (old,) = msgspec.msgpack.decode(data, type=list[OldService])
        assert old == OldService("dispatch", 9443, CENTRES, 3)


SERVICE_LINE = "[added]\nservice s = port 80, data centres a b"


class TestTermsOfAService:
    def test_are_read_and_formatted(self):
        note = parse_note(
            f"{SERVICE_LINE}, priority 2, latency_objective 0.309, timeout 1.314, "
            "kind idempotent\n"
        )
        (service,) = note.added_services
        assert service.data_centres == ("a", "b")
        assert service.terms == RouteTerms(2, 0.309, 1.314, "idempotent")
        assert format_note(note) == [
            "added: service s port 80 in a b, priority 2, latency_objective 0.309, "
            "timeout 1.314, kind idempotent"
        ]

    def test_may_be_stated_on_further_lines(self):
        note = parse_note(f"{SERVICE_LINE},\n  priority 2,\n  timeout\t3\n")
        assert note.added_services[0].terms == RouteTerms(2, timeout=3.0)

    def test_missing_one_has_its_default(self):
        (service,) = parse_note(f"{SERVICE_LINE}, priority 2\n").added_services
        assert service.terms == RouteTerms(priority=2)

    def test_service_without_terms_is_read_as_before(self):
        (service,) = parse_note(f"{SERVICE_LINE}\n").added_services
        assert service == Service("s", 80, ("a", "b"))

    @pytest.mark.parametrize(
        ("text", "parts"),
        [
            ("priority 101", ["'101'", "0, the most urgent, to 100"]),
            ("priority -1", ["'-1'", "0, the most urgent, to 100"]),
            ("priority 1.5", ["'1.5'", "whole number"]),
            ("priority", ["''", "whole number"]),
            ("priority " + "9" * 5000, ["999'", "whole number"]),
            ("latency_objective 0", ["'0'", "above 0, up to 3600"]),
            ("latency_objective nan", ["'nan'", "above 0, up to 3600"]),
            ("timeout 3601", ["'3601'", "above 0, up to 3600"]),
            ("timeout 1 s", ["'1 s'", "above 0, up to 3600"]),
            ("kind soap", ["'soap'", "idempotent, non_idempotent, upload, download"]),
            ("priority 2,", ["'' is no term", "expected one of priority"]),
            ("urgency 2", ["'urgency 2'", "priority, latency_objective, timeout"]),
            ("", []),
        ],
    )
    def test_error_names_the_value_the_range_and_the_remedy(self, text, parts):
        parsed = parse_note(f"{SERVICE_LINE}, {text}\n")
        if not parts:
            assert parsed.added_services[0].terms is None
            return
        (error,) = parsed.errors
        assert error.startswith("[added] service 's': ")
        assert all(part in error for part in parts)
        assert "correct it, or leave it out" in error or "expected one of" in error

    def test_all_errors_are_returned_at_once(self):
        parsed = parse_note(f"{SERVICE_LINE}, priority x, timeout 0, timeout 2\n")
        assert len(parsed.errors) == 2
        parsed = parse_note(f"{SERVICE_LINE}, priority 1, priority 2\n")
        assert parsed.errors == (
            "[added] service 's': priority is stated twice; state it once",
        )

    def test_reach_another_process_by_a_delta(self, release):
        service = Service("board", 9445, CENTRES, terms=RouteTerms(2, 0.309))
        note = ReleaseNote("n2", added_services=(service,))
        after = apply_note(release, note)
        delta = msgspec.msgpack.decode(
            msgspec.msgpack.encode(ReleaseDelta(2, after.digest(), note)),
            type=ReleaseDelta,
        )
        assert apply_release_delta(release, delta) == after
        assert after.get_service("board").terms == RouteTerms(2, 0.309)

    def test_note_of_an_older_build_is_applied(self, release):
        """Guard against a digest that differs because of the new field."""
        note = ReleaseNote("n2", added_services=(Service("board", 9445, CENTRES),))
        after = apply_note(release, note)
        delta = ReleaseDelta(2, after.digest(), note)
        row = msgspec.to_builtins(delta, builtin_types=(bytes,))
        del row["note"]["added_services"][0]["terms"]
        delta = msgspec.msgpack.decode(msgspec.msgpack.encode(row), type=ReleaseDelta)
        assert apply_release_delta(release, delta) == after


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
