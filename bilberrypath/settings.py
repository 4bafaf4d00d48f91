"""Settings of the daemons and the command line, read from INI files.

All errors of a file are reported at once, each with its section, key, value and
what was expected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from bilberrypath.flow_settings import (
    load_flow_agent_settings,
    load_flow_balancer_settings,
)
from bilberrypath.protocol.token import KEY_LENGTH
from bilberrypath.settings_reader import (
    InvalidSetting,
    SettingsError,
    SettingsReader,
    open_settings,
    parse_address,
    parse_addresses,
    parse_file_path,
    parse_ip,
    parse_positive,
    parse_ratio,
    parse_seconds,
    raise_for_errors,
)

if TYPE_CHECKING:
    from bilberrypath.types import Address

__all__ = ["InvalidSetting", "SettingsError"]

PEER_KEY_LENGTH = 32  # bytes
DEFAULT_STORE_PREFIX = "/bilberrypath"


@frozen
class StoreSettings:
    """Address of the platform's key-value service and prefix of the keys in it.

    ``address`` is None if the process does not connect to the service.
    """

    address: Address | None = None
    prefix: str = DEFAULT_STORE_PREFIX


@frozen
class TraceSettings:
    """Export of trace spans.

    ``collector`` is HOST:PORT; if it is empty, nothing is exported. ``sample_ratio`` is
    the share of traces that are recorded, from 0 to 1.
    """

    collector: str = ""
    sample_ratio: float = 0.01


@frozen
class KeySettings:
    """Keys that all processes of one system share.

    ``active_token_key`` is the ID of the key that new routing tokens are issued with.
    ``peer_key`` authenticates the messages between processes.
    """

    token_key_by_id: dict[int, bytes]
    active_token_key: int
    peer_key: bytes


@frozen
class NodeSettings:
    """Settings that balancers and agents share.

    ``seeds`` are the peer sockets of processes through which this one may join. No
    metrics are served if ``metrics_address`` is None.
    """

    peer_address: Address
    data_centre: str
    seeds: tuple[Address, ...]
    metrics_address: Address | None
    keys: KeySettings
    store: StoreSettings
    traces: TraceSettings


@frozen
class BalancerSettings:
    """Settings of a balancer; it receives callers' packets at ``listen_host``."""

    node: NodeSettings
    listen_host: str


@frozen
class AgentSettings:
    """Settings of an agent and of its upstream.

    ``slots`` is the number of requests that the upstream runs at once when warm,
    ``cold_limit`` the number during its cold start, and ``warm_up`` the seconds for
    which it may stay cold. ``max_connections`` is the number of connections that it can
    hold. ``max_body`` limits the body of one request and ``max_buffered`` all bodies
    that the agent holds at once, in bytes. ``certificate`` and ``private_key`` are the
    paths of the PEM files for its connections with callers.
    """

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
    """Settings of the operators' command line.

    ``balancers`` are the peer sockets of the balancers to query.
    """

    store: StoreSettings
    balancers: tuple[Address, ...]
    peer_key: bytes


def load_balancer_settings(path: str) -> BalancerSettings:
    """Return the settings of a balancer; raises :class:`SettingsError`."""
    reader = open_settings(path)
    node = _read_node_settings(reader)
    listen_host = reader.read("balancer", "listen_host", parse_ip, "an IPv4 address")
    raise_for_errors(path, reader)
    return BalancerSettings(node, listen_host)


def load_agent_settings(path: str) -> AgentSettings:
    """Return the settings of an agent; raises :class:`SettingsError`."""
    reader = open_settings(path)
    node = _read_node_settings(reader)
    expected = "a whole number above 0"
    service = reader.read("agent", "service", str, "the name of a service")
    upstream = reader.read(
        "agent", "upstream", parse_address, "IP:PORT of the upstream"
    )
    slots = reader.read("agent", "slots", parse_positive, expected, 3)
    cold_limit = reader.read("agent", "cold_limit", parse_positive, expected, 1)
    warm_up = reader.read("agent", "warm_up", parse_seconds, "seconds", 5.0)
    connections = reader.read(
        "agent", "max_connections", parse_positive, expected, 2000
    )
    max_body = reader.read("agent", "max_body", parse_positive, expected, 16_777_216)
    buffered = reader.read(
        "agent", "max_buffered", parse_positive, expected, 67_108_864
    )
    certificate = reader.read("agent", "certificate", parse_file_path, "a PEM file")
    private_key = reader.read("agent", "private_key", parse_file_path, "a PEM file")
    raise_for_errors(path, reader)
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
    reader = open_settings(path)
    store = _read_store_settings(reader)
    balancers = reader.read(
        "operator", "balancers", parse_addresses, "IP:PORT of peer sockets", ()
    )
    peer_key = _read_peer_key(reader)
    raise_for_errors(path, reader)
    return OperatorSettings(store, balancers, peer_key)


def check_settings(path: str) -> list[InvalidSetting]:
    """Return all errors of a settings file, whichever process it is for."""
    loaders = {
        "agent": load_agent_settings,
        "balancer": load_balancer_settings,
        "flow_agent": load_flow_agent_settings,
        "flow_balancer": load_flow_balancer_settings,
        "operator": load_operator_settings,
    }
    sections = open_settings(path).parser.sections()
    for section, load in loaders.items():
        if section in sections:
            try:
                load(path)
            except SettingsError as error:
                return error.errors
            return []
    expected = f"a section {', '.join(f'[{name}]' for name in sorted(loaders))}"
    return [InvalidSetting("", "", ", ".join(sections), expected)]


def _read_node_settings(reader: SettingsReader) -> NodeSettings:
    return NodeSettings(
        reader.read("node", "peer_address", parse_address, "IP:PORT to bind"),
        reader.read("node", "data_centre", str, "the name of a data centre"),
        reader.read("node", "seeds", parse_addresses, "IP:PORT IP:PORT ...", ()),
        reader.read(
            "node", "metrics_address", parse_address, "IP:PORT to bind", required=False
        ),
        _read_key_settings(reader),
        _read_store_settings(reader),
        TraceSettings(
            reader.read("traces", "collector", str, "HOST:PORT", ""),
            reader.read(
                "traces", "sample_ratio", parse_ratio, "a number from 0 to 1", 0.01
            ),
        ),
    )


def _read_store_settings(reader: SettingsReader) -> StoreSettings:
    address = reader.read(
        "store",
        "address",
        parse_address,
        "IP:PORT of the key-value service",
        required=False,
    )
    prefix = reader.read("store", "prefix", str, "a key prefix", DEFAULT_STORE_PREFIX)
    return StoreSettings(address, prefix)


def _read_key_settings(reader: SettingsReader) -> KeySettings:
    expected = "ID:HEX ID:HEX ..., ids 0 to 255, keys of 16 bytes"
    keys = reader.read("keys", "token_keys", _parse_token_keys, expected)
    active = reader.read("keys", "active_token_key", int, "the id of a token key")
    if keys and active is not None and active not in keys:
        key_ids = ", ".join(str(key_id) for key_id in sorted(keys))
        error = InvalidSetting(
            "keys", "active_token_key", str(active), f"one of {key_ids}"
        )
        reader.errors.append(error)
    return KeySettings(keys, active, _read_peer_key(reader))


def _read_peer_key(reader: SettingsReader) -> bytes:
    expected = f"{PEER_KEY_LENGTH} bytes in hexadecimal"
    return reader.read("keys", "peer_key", _parse_peer_key, expected)


def _parse_token_keys(text: str) -> dict[int, bytes]:
    key_by_id = {}
    for item in text.split():
        key_id, _, key = item.partition(":")
        key_by_id[int(key_id)] = bytes.fromhex(key)
        if len(key_by_id[int(key_id)]) != KEY_LENGTH or not 0 <= int(key_id) < 256:
            raise ValueError(item)
    return key_by_id


def _parse_peer_key(text: str) -> bytes:
    key = bytes.fromhex(text)
    if len(key) != PEER_KEY_LENGTH:
        raise ValueError(text)
    return key
