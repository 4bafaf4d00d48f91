"""Tests of headers and bodies that another writer filled with odd values."""

import pytest

from bilberrypath.protocol.http import (
    AGE_HEADER,
    DEADLINE_HEADER,
    INCARNATION_HEADER,
    LAST_ITEM_HEADER,
    OUTCOME_HEADER,
    BadRequest,
    RequestHead,
    decode_outcome,
    decode_request_head,
)
from bilberrypath.protocol.outcome import Reason, Unknown

HEAD = [(b":method", b"GET"), (b":path", b"/board")]
NUMBER_HEADERS = (DEADLINE_HEADER, LAST_ITEM_HEADER, INCARNATION_HEADER, AGE_HEADER)
ODD_NUMBERS = (b"9" * 400, b"9" * 5000, b"-" + b"9" * 400, b"1e400", b"", b"\xff")


class TestOddNumbers:
    @pytest.mark.parametrize("value", ODD_NUMBERS)
    @pytest.mark.parametrize("name", NUMBER_HEADERS)
    def test_request_with_an_odd_number_is_a_bad_request(self, name, value):
        """Guard against an exception that leaves a request without an answer."""
        assert isinstance(decode_request_head([*HEAD, (name, value)]), BadRequest)

    def test_error_names_the_header_and_the_range(self):
        bad_request = decode_request_head([*HEAD, (DEADLINE_HEADER, b"9" * 400)])
        assert "bilberrypath-deadline-ms" in bad_request.reason
        assert "at most 9007199254740991" in bad_request.reason

    def test_missing_numbers_have_defaults(self):
        assert isinstance(decode_request_head(HEAD), RequestHead)


class TestOddProblems:
    def test_deeply_nested_problem_is_an_unknown_outcome(self):
        body = b"[" * 100_000
        headers = [(b":status", b"503"), (OUTCOME_HEADER, b"not_run")]
        assert decode_outcome(headers, body) == Unknown(Reason.UPSTREAM_LOST)
