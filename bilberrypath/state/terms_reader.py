"""Read route terms from an operator's document, of which single fields may be invalid.

A route with an invalid term is served with that term's default: a route that is not
served costs its clients more than one whose requests have the usual urgency.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, evolve, field, frozen

from bilberrypath.protocol.decoding import DECODE_ERRORS
from bilberrypath.state.route_terms import InvalidTerms, RouteTerms

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from bilberrypath.types import Address

MAX_LOGGED_LENGTH = 50  # characters of an invalid value


@frozen
class TermField:
    """One field of the terms in a document: its name there, and its valid values.

    ``decode`` raises ``ValueError`` or one of :data:`DECODE_ERRORS` for a value that is
    not as ``expected``.
    """

    name: str
    decode: Callable[[bytes], int | float | str]
    expected: str


@define
class TermsReader:
    """A reader of the terms of all routes of one configuration.

    ``field_by_attribute`` has the document's field for each attribute of
    :class:`RouteTerms`. ``invalid`` describes the first invalid value; it is None while
    there is none.
    """

    field_by_attribute: Mapping[str, TermField]
    version: int
    invalid: InvalidTerms | None = field(init=False, default=None)

    def read(
        self, address: Address, raw_by_attribute: Mapping[str, bytes]
    ) -> RouteTerms | None:
        """Return the terms of the route to an address, or None if it states none.

        ``raw_by_attribute`` has the values as in the document, empty for a missing one.
        A missing field and one with an invalid value have their defaults.
        """
        values = {}
        invalid = []
        for attribute, raw in raw_by_attribute.items():
            if not raw:
                continue
            term_field = self.field_by_attribute[attribute]
            try:
                values[attribute] = term_field.decode(raw)
            except (*DECODE_ERRORS, ValueError):
                invalid.append((term_field, raw))
        if invalid:
            self._record_invalid(address, *invalid[0])
        return RouteTerms(**values) if values or invalid else None

    def _record_invalid(
        self, address: Address, term_field: TermField, raw: bytes
    ) -> None:
        if self.invalid is not None:
            count = self.invalid.route_count + 1
            self.invalid = evolve(self.invalid, route_count=count)
            return
        # Several bytes may make one character.
        value = raw[: 4 * MAX_LOGGED_LENGTH].decode(errors="replace")
        self.invalid = InvalidTerms(
            self.version,
            address,
            term_field.name,
            value[:MAX_LOGGED_LENGTH],
            term_field.expected,
            route_count=1,
        )
