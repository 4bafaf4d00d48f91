"""Read typed settings from INI files and report all errors at once."""

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
class InvalidSetting:
    """One error of a settings file: the value found and what was expected."""

    section: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key} = {self.value!r}: expected {self.expected}"


class SettingsError(Exception):
    """An error in a settings file; ``errors`` lists all that were found."""

    def __init__(self, path: str, invalid_settings: list[InvalidSetting]) -> None:
        self.path = path
        self.errors = invalid_settings
        lines = "\n".join(f"  {setting}" for setting in invalid_settings)
        super().__init__(
            f"{path}: invalid settings ({len(invalid_settings)}):\n{lines}"
        )


@define
class SettingsReader:
    """A reader of typed values that collects the errors of a settings file."""

    parser: configparser.ConfigParser
    errors: list[InvalidSetting] = Factory(list)
    _requested_keys: set[tuple[str, str]] = Factory(set)

    def read(
        self,
        section: str,
        key: str,
        convert: Callable[[str], Any],
        expected: str,
        default: Any = None,
        required: bool = True,
    ) -> Any:
        """Return the converted value, or the default if it is missing or invalid.

        Records an error if the value is invalid, or missing where it is ``required``
        and there is no default. ``convert`` raises ``ValueError`` or ``OSError`` for an
        invalid value; ``expected`` describes a valid one.
        """
        self._requested_keys.add((section, key))
        text = self.parser.get(section, key, fallback=None)
        if text is None or not text.strip():
            if required and default is None:
                self.errors.append(InvalidSetting(section, key, text or "", expected))
            return default
        try:
            return convert(text.strip())
        except (ValueError, OSError):
            self.errors.append(InvalidSetting(section, key, text, expected))
            return default

    def record_unknown_keys(self) -> None:
        """Record an error for each key that was not requested through :meth:`read`."""
        known_sections = {section for section, _ in self._requested_keys}
        for section in self.parser.sections():
            for key, value in self.parser[section].items():
                if (section, key) in self._requested_keys:
                    continue
                names = sorted(k for s, k in self._requested_keys if s == section)
                expected = (
                    f"one of the keys {', '.join(names)}"
                    if section in known_sections
                    else f"one of the sections {', '.join(sorted(known_sections))}"
                )
                self.errors.append(InvalidSetting(section, key, value or "", expected))


def open_settings(path: str) -> SettingsReader:
    """Return a reader of an INI file; raises :class:`SettingsError`."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text())
    except OSError as error:
        raise SettingsError(
            path, [InvalidSetting("", "", path, f"a file: {error}")]
        ) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        message = " ".join(str(error).split())
        raise SettingsError(
            path, [InvalidSetting("", "", "", f"INI: {message}")]
        ) from error
    return SettingsReader(parser)


def raise_for_errors(path: str, reader: SettingsReader) -> None:
    """Raise :class:`SettingsError` if the file has errors or unknown keys."""
    reader.record_unknown_keys()
    if reader.errors:
        raise SettingsError(path, reader.errors)


def parse_address(text: str) -> Address:
    """Return the IPv4 address and port of ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise ValueError(text)
    return parse_ip(host), int(port)


def parse_addresses(text: str) -> tuple[Address, ...]:
    """Return the addresses of a list of ``IP:PORT`` separated by spaces."""
    return tuple(parse_address(item) for item in text.split())


def parse_ip(text: str) -> str:
    """Return an IPv4 address in dotted-decimal form."""
    return str(ipaddress.IPv4Address(text))


def parse_positive(text: str) -> int:
    """Return an integer above 0."""
    number = int(text)
    if number <= 0:
        raise ValueError(text)
    return number


def parse_seconds(text: str) -> float:
    """Return a finite number of seconds, 0 or more."""
    seconds = float(text)
    if not 0 <= seconds < math.inf:
        raise ValueError(text)
    return seconds


def parse_ratio(text: str) -> float:
    """Return a number from 0 to 1."""
    ratio = float(text)
    if not 0 <= ratio <= 1:
        raise ValueError(text)
    return ratio


def parse_file_path(text: str) -> str:
    """Return the path of a file that exists."""
    if not Path(text).is_file():
        raise ValueError(text)
    return text
