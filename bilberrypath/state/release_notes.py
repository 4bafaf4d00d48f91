"""Parse and format release notes, INI files with three sections."""

from __future__ import annotations

import configparser
import uuid
from typing import TYPE_CHECKING

from attrs import frozen

from bilberrypath.state.release import DataCentre, ReleaseNote, Service
from bilberrypath.state.route_terms import (
    EXPECTED_DURATION,
    EXPECTED_PRIORITY,
    RequestKind,
    RouteTerms,
    check_duration,
    check_priority,
    describe_terms,
)

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

NOTE_SECTIONS = ("added", "changed", "withdrawn")
NOTE_TEMPLATE = """\
# A release note. Keys are 'service NAME' or 'data centre NAME'.
[added]
# data centre citybowl = in
# service dispatch = port 9443, data centres citybowl atlantic
# Terms may follow, separated by commas; times are in seconds:
#     , priority 2, latency_objective 0.3, timeout 1.3, kind idempotent

[changed]
# data centre citybowl = out

[withdrawn]
# service dispatch
"""
_SERVICE_PREFIX = "service "
_DATA_CENTRE_PREFIX = "data centre "
_SERVICE_FORMAT = "expected 'port NUMBER, data centres NAME NAME ...'"
_KINDS = tuple(kind.value for kind in RequestKind)


@frozen
class NoteErrors:
    """The errors in the text of a note, one message each."""

    errors: tuple[str, ...]


def parse_note(text: str, author: str = "") -> ReleaseNote | NoteErrors:
    """Return the note in ``text``, or all of its syntax errors.

    Whether the note applies to a release is checked by ``check_note``.

    Examples
    --------
    >>> note = parse_note("[changed]\\ndata centre citybowl = out\\n")
    >>> note.changed_data_centres[0].out
    True
    """
    parser = configparser.ConfigParser(allow_no_value=True, interpolation=None)
    parser.optionxform = str
    try:
        parser.read_string(text)
    except configparser.Error as error:
        return NoteErrors((" ".join(str(error).split()),))
    errors: list[str] = [
        f"section [{name}] is unknown; expected [added], [changed] or [withdrawn]"
        for name in parser.sections()
        if name not in NOTE_SECTIONS
    ]
    services = {name: _read_services(parser, name, errors) for name in NOTE_SECTIONS}
    centres = {name: _read_data_centres(parser, name, errors) for name in NOTE_SECTIONS}
    _check_keys(parser, errors)
    if errors:
        return NoteErrors(tuple(errors))
    return ReleaseNote(
        note_id=uuid.uuid4().hex,
        author=author,
        added_services=services["added"],
        changed_services=services["changed"],
        withdrawn_services=tuple(s.name for s in services["withdrawn"]),
        added_data_centres=centres["added"],
        changed_data_centres=centres["changed"],
        withdrawn_data_centres=tuple(c.name for c in centres["withdrawn"]),
    )


def _check_keys(parser: configparser.ConfigParser, errors: list[str]) -> None:
    for section in set(NOTE_SECTIONS) & set(parser.sections()):
        for key in parser[section]:
            if not key.startswith((_SERVICE_PREFIX, _DATA_CENTRE_PREFIX)):
                errors.append(
                    f"[{section}] {key!r}: expected 'service NAME' or "
                    "'data centre NAME'"
                )


def _read_services(
    parser: configparser.ConfigParser, section: str, errors: list[str]
) -> tuple[Service, ...]:
    if section not in parser:
        return ()
    services = []
    for key, value in parser[section].items():
        if not key.startswith(_SERVICE_PREFIX):
            continue
        name = key.removeprefix(_SERVICE_PREFIX).strip()
        if section == "withdrawn":
            services.append(Service(name, 0, ()))
            continue
        where = f"[{section}] service {name!r}"
        service = _read_service(name, value or "", where, errors)
        if service is None:
            errors.append(f"{where} = {value!r}: {_SERVICE_FORMAT}")
        else:
            services.append(service)
    return tuple(services)


def _read_service(
    name: str, value: str, where: str, errors: list[str]
) -> Service | None:
    """Return a service, or None if its port or data centres cannot be read.

    Errors in its terms are appended to ``errors``, each preceded by ``where``.
    """
    port_part, _, rest = value.partition(",")
    centres_part, _, terms_part = rest.partition(",")
    port_words = port_part.split()
    centre_words = centres_part.split()
    if len(port_words) != 2 or port_words[0] != "port":
        return None
    if not port_words[1].isdigit() or not 0 < int(port_words[1]) < 65536:
        return None
    if centre_words[:2] != ["data", "centres"] or len(centre_words) < 3:
        return None
    terms = _read_terms(terms_part, where, errors)
    centres = tuple(sorted(set(centre_words[2:])))
    return Service(name, int(port_words[1]), centres, terms=terms)


def _read_terms(text: str, where: str, errors: list[str]) -> RouteTerms | None:
    """Return the terms in a list of names and values, or None if there are none."""
    if not text.strip():
        return None
    values = {}
    for part in text.split(","):
        name, value = (*part.split(maxsplit=1), "", "")[:2]
        if name not in _READ_TERM_BY_NAME:
            names = ", ".join(_READ_TERM_BY_NAME)
            errors.append(
                f"{where}: {part.strip()!r} is no term; expected one of {names}, with "
                "its value; data centres are separated by spaces"
            )
            continue
        if name in values:
            errors.append(f"{where}: {name} is stated twice; state it once")
        read, expected = _READ_TERM_BY_NAME[name]
        try:
            values[name] = read(value.strip())
        except ValueError:
            errors.append(
                f"{where}: {name} is {value.strip()!r}, expected {expected}; correct "
                "it, or leave it out for the default"
            )
    return RouteTerms(**values)


def _read_priority(text: str) -> int:
    return check_priority(int(text))


def _read_duration(text: str) -> Seconds:
    return check_duration(float(text))


def _read_kind(text: str) -> str:
    return RequestKind(text).value


_READ_TERM_BY_NAME = {
    "priority": (_read_priority, EXPECTED_PRIORITY),
    "latency_objective": (_read_duration, EXPECTED_DURATION),
    "timeout": (_read_duration, EXPECTED_DURATION),
    "kind": (_read_kind, f"one of {', '.join(_KINDS)}"),
}


def _read_data_centres(
    parser: configparser.ConfigParser, section: str, errors: list[str]
) -> tuple[DataCentre, ...]:
    if section not in parser:
        return ()
    centres = []
    for key, value in parser[section].items():
        if not key.startswith(_DATA_CENTRE_PREFIX):
            continue
        name = key.removeprefix(_DATA_CENTRE_PREFIX).strip()
        in_or_out = (value or "in").strip()
        if section != "withdrawn" and in_or_out not in ("in", "out"):
            errors.append(
                f"[{section}] data centre {name!r} = {value!r}: expected 'in' or 'out'"
            )
        centres.append(DataCentre(name, out=in_or_out == "out"))
    return tuple(centres)


def format_note(note: ReleaseNote) -> list[str]:
    """Return a description of a note's changes for operators, one line each."""
    lines = []
    for title, services, centres in (
        ("added", note.added_services, note.added_data_centres),
        ("changed", note.changed_services, note.changed_data_centres),
    ):
        lines += [
            f"{title}: data centre {c.name} {'out' if c.out else 'in'}" for c in centres
        ]
        lines += [
            f"{title}: service {s.name} port {s.port} in {' '.join(s.data_centres)}"
            + ("" if s.terms is None else f", {describe_terms(s.terms)}")
            for s in services
        ]
    lines += [f"withdrawn: service {name}" for name in note.withdrawn_services]
    lines += [f"withdrawn: data centre {name}" for name in note.withdrawn_data_centres]
    return lines
