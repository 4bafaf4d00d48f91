"""Settings of the daemons and the command line, read from INI files.

All faults of a file are reported at once, each with its section, key, value
and what was expected.
"""

from __future__ import annotations

import configparser
import ipaddress
import math
from pathlib import Path
from typing import TYPE_CHECKING, Any

from attrs import Factory, define, frozen

from bilberrypath.protocol.token import KEY_LENGTH

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.types import Address

PEER_KEY_LENGTH = 32  # bytes
DEFAULT_PREFIX = "/bilberrypath"


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


@frozen
class StoreSettings:
    """Where the platform's key-value service is."""

    address: Address | None = None
    prefix: str = DEFAULT_PREFIX


@frozen
class TraceSettings:
    """Where spans go; nothing is exported without a collector."""

    collector: str = ""
    sample_ratio: float = 0.01


@frozen
class KeySettings:
    """The keys that all processes of one system share."""

    token_key_by_id: dict[int, bytes]
    active_token_key: int
    peer_key: bytes


@frozen
class NodeSettings:
    """What every daemon is told of its place."""

    peer_address: Address
    data_centre: str
    seeds: tuple[Address, ...]
    metrics_address: Address | None
    keys: KeySettings
    store: StoreSettings
    traces: TraceSettings


@frozen
class BalancerSettings:
    """Settings of a balancer; ``listen_host`` is where callers' packets come."""

    node: NodeSettings
    listen_host: str


@frozen
class AgentSettings:
    """Settings of an agent and of the upstream beside it."""

    node: NodeSettings
    service: str
    upstream: Address
    slots: int
    cold_limit: int
    warm_up: float
    max_connections: int
    max_body: int
    max_buffered: int
    certificate: str
    private_key: str


@frozen
class OperatorSettings:
    """Settings of the operators' command line."""

    store: StoreSettings
    balancers: tuple[Address, ...]
    peer_key: bytes


@define
class _Reader:
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


def load_balancer_settings(path: str) -> BalancerSettings:
    """Return the settings of a balancer; raises :class:`SettingsError`."""
    reader = _open(path)
    node = _read_node(reader)
    listen_host = reader.read("balancer", "listen_host", _to_ip, "an IP number")
    _finish(path, reader)
    return BalancerSettings(node, listen_host)


def load_agent_settings(path: str) -> AgentSettings:
    """Return the settings of an agent; raises :class:`SettingsError`."""
    reader = _open(path)
    node = _read_node(reader)
    whole = "a whole number above 0"
    service = reader.read("agent", "service", str, "the name of a service")
    upstream = reader.read("agent", "upstream", _to_address, "IP:PORT of the upstream")
    slots = reader.read("agent", "slots", _to_positive, whole, 3)
    cold_limit = reader.read("agent", "cold_limit", _to_positive, whole, 1)
    warm_up = reader.read("agent", "warm_up", _to_seconds, "seconds", 5.0)
    connections = reader.read("agent", "max_connections", _to_positive, whole, 2000)
    max_body = reader.read("agent", "max_body", _to_positive, whole, 16_777_216)
    buffered = reader.read("agent", "max_buffered", _to_positive, whole, 67_108_864)
    certificate = reader.read("agent", "certificate", _to_file, "a PEM file")
    private_key = reader.read("agent", "private_key", _to_file, "a PEM file")
    _finish(path, reader)
    return AgentSettings(
        node,
        service,
        upstream,
        slots,
        cold_limit,
        warm_up,
        connections,
        max_body,
        buffered,
        certificate,
        private_key,
    )


def load_operator_settings(path: str) -> OperatorSettings:
    """Return the settings of the command line; raises :class:`SettingsError`."""
    reader = _open(path)
    store = _read_store(reader)
    balancers = reader.read(
        "operator", "balancers", _to_addresses, "IP:PORT of peer sockets", ()
    )
    peer_key = _read_peer_key(reader)
    _finish(path, reader)
    return OperatorSettings(store, balancers, peer_key)


def check_settings(path: str) -> list[Fault]:
    """Return every fault of a settings file, whichever process it is for."""
    loaders = {
        "agent": load_agent_settings,
        "balancer": load_balancer_settings,
        "operator": load_operator_settings,
    }
    sections = _open(path).parser.sections()
    for section, load in loaders.items():
        if section in sections:
            try:
                load(path)
            except SettingsError as error:
                return error.faults
            return []
    return [
        Fault(
            "", "", ", ".join(sections), "a section [agent], [balancer] or [operator]"
        )
    ]


def _open(path: str) -> _Reader:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text())
    except OSError as error:
        raise SettingsError(path, [Fault("", "", path, f"a file: {error}")]) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        message = " ".join(str(error).split())
        raise SettingsError(path, [Fault("", "", "", f"INI: {message}")]) from error
    return _Reader(parser)


def _finish(path: str, reader: _Reader) -> None:
    reader.note_unknown()
    if reader.faults:
        raise SettingsError(path, reader.faults)


def _read_node(reader: _Reader) -> NodeSettings:
    return NodeSettings(
        reader.read("node", "peer_address", _to_address, "IP:PORT to bind"),
        reader.read("node", "data_centre", str, "the name of a data centre"),
        reader.read("node", "seeds", _to_addresses, "IP:PORT IP:PORT ...", ()),
        reader.read(
            "node", "metrics_address", _to_address, "IP:PORT to bind", required=False
        ),
        _read_keys(reader),
        _read_store(reader),
        TraceSettings(
            reader.read("traces", "collector", str, "HOST:PORT", ""),
            reader.read("traces", "sample_ratio", _to_ratio, "a number 0 to 1", 0.01),
        ),
    )


def _read_store(reader: _Reader) -> StoreSettings:
    address = reader.read(
        "store", "address", _to_address, "IP:PORT of the service", required=False
    )
    prefix = reader.read("store", "prefix", str, "a key prefix", DEFAULT_PREFIX)
    return StoreSettings(address, prefix)


def _read_keys(reader: _Reader) -> KeySettings:
    expected = "ID:HEX ID:HEX ..., ids 0 to 255, keys of 16 bytes"
    keys = reader.read("keys", "token_keys", _to_keys, expected)
    active = reader.read("keys", "active_token_key", int, "the id of a token key")
    if keys and active is not None and active not in keys:
        among = ", ".join(str(key_id) for key_id in sorted(keys))
        fault = Fault("keys", "active_token_key", str(active), f"one of {among}")
        reader.faults.append(fault)
    return KeySettings(keys, active, _read_peer_key(reader))


def _read_peer_key(reader: _Reader) -> bytes:
    expected = f"{PEER_KEY_LENGTH} bytes in hexadecimal"
    return reader.read("keys", "peer_key", _to_peer_key, expected)


def _to_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not 0 < int(port) < 65536:
        raise ValueError(text)
    return _to_ip(host), int(port)


def _to_addresses(text: str) -> tuple[Address, ...]:
    return tuple(_to_address(word) for word in text.split())


def _to_ip(text: str) -> str:
    return str(ipaddress.IPv4Address(text))


def _to_positive(text: str) -> int:
    number = int(text)
    if number <= 0:
        raise ValueError(text)
    return number


def _to_seconds(text: str) -> float:
    seconds = float(text)
    if not 0 <= seconds < math.inf:
        raise ValueError(text)
    return seconds


def _to_ratio(text: str) -> float:
    ratio = float(text)
    if not 0 <= ratio <= 1:
        raise ValueError(text)
    return ratio


def _to_file(text: str) -> str:
    if not Path(text).is_file():
        raise ValueError(text)
    return text


def _to_keys(text: str) -> dict[int, bytes]:
    key_by_id = {}
    for word in text.split():
        key_id, _, key = word.partition(":")
        key_by_id[int(key_id)] = bytes.fromhex(key)
        if len(key_by_id[int(key_id)]) != KEY_LENGTH or not 0 <= int(key_id) < 256:
            raise ValueError(word)
    return key_by_id


def _to_peer_key(text: str) -> bytes:
    key = bytes.fromhex(text)
    if len(key) != PEER_KEY_LENGTH:
        raise ValueError(text)
    return key
