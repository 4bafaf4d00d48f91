"""Settings of the daemons of the datagram service, read from INI files."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from bilberrypath.settings_reader import (
    open_settings,
    parse_address,
    parse_positive,
    parse_seconds,
    raise_for_errors,
)

if TYPE_CHECKING:
    from bilberrypath.settings_reader import SettingsReader
    from bilberrypath.types import Address, Seconds, ServiceName


@frozen
class FlowNodeSettings:
    """Settings that balancers and agents share.

    ``seeds`` are the peer sockets of processes through which this one may join. They
    listen at the port of ``peer_address``, so that only their IP addresses are read
    from the file. ``ready_address`` is where the readiness check is served,
    ``client_port`` the UDP port at which clients receive packets. No metrics are
    served if ``metrics_address`` is None.
    """

    peer_address: Address
    data_centre: str
    seeds: tuple[Address, ...]
    ready_address: Address
    client_port: int
    metrics_address: Address | None


@frozen
class FlowBalancerSettings:
    """Settings of a balancer; it receives clients' packets at ``packet_address``."""

    node: FlowNodeSettings
    packet_address: Address
    store_address: Address


@frozen
class FlowAgentSettings:
    """Settings of an agent.

    ``upstream`` is the address at which the upstream receives packets, ``outbound``
    the one to which it sends packets, and ``report_address`` the one to which it sends
    a status report each ``report_period``. No flow lasts longer than
    ``flow_lifetime``. ``first_start`` is true when the whole system starts for the
    first time, so that no earlier flows exist. ``spillover`` is true if opens of routes
    with terms leave their client's data centre only if no upstream there has room.
    """

    node: FlowNodeSettings
    service: ServiceName
    upstream: Address
    outbound: Address
    report_address: Address
    report_period: Seconds
    flow_lifetime: Seconds
    first_start: bool
    spillover: bool = False


def load_flow_balancer_settings(path: str) -> FlowBalancerSettings:
    """Return the settings of a balancer; raises ``SettingsError``."""
    reader = open_settings(path)
    node = _read_node_settings(reader)
    packet_address = reader.read(
        "flow_balancer", "packet_address", parse_address, "IP:PORT"
    )
    store_address = reader.read(
        "store", "address", parse_address, "IP:PORT of the key-value service"
    )
    raise_for_errors(path, reader)
    return FlowBalancerSettings(node, packet_address, store_address)


def load_flow_agent_settings(path: str) -> FlowAgentSettings:
    """Return the settings of an agent; raises ``SettingsError``."""
    reader = open_settings(path)
    node = _read_node_settings(reader)
    section = "flow_agent"
    expected = "IP:PORT"
    service = reader.read(section, "service", str, "the name of a service")
    upstream = reader.read(section, "upstream", parse_address, expected)
    outbound = reader.read(section, "outbound", parse_address, expected)
    report_address = reader.read(section, "report_address", parse_address, expected)
    period = reader.read(section, "report_period", _parse_milliseconds, "milliseconds")
    lifetime = reader.read(section, "flow_lifetime", parse_seconds, "seconds")
    first_start = reader.read(
        section, "first_start", _parse_bool, "true or false", False
    )
    spillover = reader.read(section, "spillover", _parse_bool, "true or false", False)
    raise_for_errors(path, reader)
    return FlowAgentSettings(
        node,
        service,
        upstream,
        outbound,
        report_address,
        period,
        lifetime,
        first_start,
        spillover,
    )


def _read_node_settings(reader: SettingsReader) -> FlowNodeSettings:
    peer = reader.read("node", "peer_address", parse_address, "IP:PORT to bind")
    seeds = reader.read(
        "node", "seeds", _parse_hosts, "IP or IP:PORT, separated by commas", ()
    )
    return FlowNodeSettings(
        peer,
        reader.read("node", "data_centre", str, "the name of a data centre"),
        tuple((host, peer[1]) for host in seeds if peer is not None),
        reader.read("node", "ready_address", parse_address, "IP:PORT to bind"),
        reader.read("node", "client_port", _parse_port, "IP:PORT or a port"),
        reader.read(
            "node", "metrics_address", parse_address, "IP:PORT to bind", required=False
        ),
    )


def _parse_hosts(text: str) -> tuple[str, ...]:
    """Return the hosts of a list of ``IP`` or ``IP:PORT``; ports are ignored."""
    items = [item.strip() for item in text.split(",")]
    return tuple(
        parse_address(f"{item.partition(':')[0]}:1")[0] for item in items if item
    )


def _parse_port(text: str) -> int:
    """Return the port of ``IP:PORT``, or of a port alone."""
    return parse_address(f"127.0.0.1:{text.rpartition(':')[2]}")[1]


def _parse_milliseconds(text: str) -> Seconds:
    return parse_positive(text) / 1000


def _parse_bool(text: str) -> bool:
    if text.lower() not in ("true", "false"):
        raise ValueError(text)
    return text.lower() == "true"
