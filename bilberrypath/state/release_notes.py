"""Parse and format release notes, INI files with three sections."""

from __future__ import annotations

import configparser
import uuid

from attrs import frozen

from bilberrypath.state.release import DataCentre, ReleaseNote, Service

NOTE_SECTIONS = ("added", "changed", "withdrawn")
NOTE_TEMPLATE = """\
# A release note. Keys are 'service NAME' or 'data centre NAME'.
[added]
# data centre citybowl = in
# service dispatch = port 9443, data centres citybowl atlantic

[changed]
# data centre citybowl = out

[withdrawn]
# service dispatch
"""
_SERVICE_PREFIX = "service "
_DATA_CENTRE_PREFIX = "data centre "
_SERVICE_FORMAT = "expected 'port NUMBER, data centres NAME NAME ...'"


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
        service = _read_service(name, value or "")
        if service is None:
            errors.append(
                f"[{section}] service {name!r} = {value!r}: {_SERVICE_FORMAT}"
            )
        else:
            services.append(service)
    return tuple(services)


def _read_service(name: str, value: str) -> Service | None:
    port_part, _, centres_part = value.partition(",")
    port_words = port_part.split()
    centre_words = centres_part.split()
    if len(port_words) != 2 or port_words[0] != "port":
        return None
    if not port_words[1].isdigit() or not 0 < int(port_words[1]) < 65536:
        return None
    if centre_words[:2] != ["data", "centres"] or len(centre_words) < 3:
        return None
    return Service(name, int(port_words[1]), tuple(sorted(set(centre_words[2:]))))


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
            for s in services
        ]
    lines += [f"withdrawn: service {name}" for name in note.withdrawn_services]
    lines += [f"withdrawn: data centre {name}" for name in note.withdrawn_data_centres]
    return lines
