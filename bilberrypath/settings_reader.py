"""Reading typed settings from INI files, with all faults reported at once."""

from __future__ import annotations

import configparser
import ipaddress
import math
from pathlib import Path
from typing import TYPE_CHECKING, Any

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.types import Address


@frozen
class Fault:
    """One fault of a settings file."""

    section: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key} = {self.value!r}: expected {self.expected}"


class SettingsError(Exception):
    """A settings file has faults; ``faults`` lists all of them."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        self.path = path
        self.faults = faults
        lines = "\n".join(f"  {fault}" for fault in faults)
        super().__init__(f"{path} has {len(faults)} faults:\n{lines}")


@define
class Reader:
    """Read typed values from sections, collecting faults."""

    parser: configparser.ConfigParser
    faults: list[Fault] = Factory(list)
    _known: set[tuple[str, str]] = Factory(set)

    def read(
        self,
        section: str,
        key: str,
        convert: Callable[[str], Any],
        expected: str,
        default: Any = None,
        required: bool = True,
    ) -> Any:
        """Return the converted value, or the default with a fault noted."""
        self._known.add((section, key))
        text = self.parser.get(section, key, fallback=None)
        if text is None or not text.strip():
            if required and default is None:
                self.faults.append(Fault(section, key, text or "", expected))
            return default
        try:
            return convert(text.strip())
        except (ValueError, OSError):
            self.faults.append(Fault(section, key, text, expected))
            return default

    def note_unknown(self) -> None:
        """Report the keys that nothing has read."""
        known_sections = {section for section, _ in self._known}
        for section in self.parser.sections():
            for key, value in self.parser[section].items():
                if (section, key) in self._known:
                    continue
                names = sorted(k for s, k in self._known if s == section)
                expected = (
                    f"one of the keys {', '.join(names)}"
                    if section in known_sections
                    else f"one of the sections {', '.join(sorted(known_sections))}"
                )
                self.faults.append(Fault(section, key, value or "", expected))


def open_settings(path: str) -> Reader:
    """Return a reader of a file; raises :class:`SettingsError`."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text())
    except OSError as error:
        raise SettingsError(path, [Fault("", "", path, f"a file: {error}")]) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        message = " ".join(str(error).split())
        raise SettingsError(path, [Fault("", "", "", f"INI: {message}")]) from error
    return Reader(parser)


def finish(path: str, reader: Reader) -> None:
    """Raise :class:`SettingsError` if the file has faults or unknown keys."""
    reader.note_unknown()
    if reader.faults:
        raise SettingsError(path, reader.faults)


def to_address(text: str) -> Address:
    """Return the address in ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise ValueError(text)
    return to_ip(host), int(port)


def to_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses in a list separated by spaces."""
    return tuple(to_address(word) for word in text.split())


def to_ip(text: str) -> str:
    """Return an IP number in its usual form."""
    return str(ipaddress.IPv4Address(text))


def to_positive(text: str) -> int:
    """Return a whole number above 0."""
    number = int(text)
    if number <= 0:
        raise ValueError(text)
    return number


def to_seconds(text: str) -> float:
    """Return a duration of 0 or more."""
    seconds = float(text)
    if not 0 <= seconds < math.inf:
        raise ValueError(text)
    return seconds


def to_ratio(text: str) -> float:
    """Return a number from 0 to 1."""
    ratio = float(text)
    if not 0 <= ratio <= 1:
        raise ValueError(text)
    return ratio


def to_file(text: str) -> str:
    """Return the path of a file that exists."""
    if not Path(text).is_file():
        raise ValueError(text)
    return text
