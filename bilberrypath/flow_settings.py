"""Settings of the daemons that serve datagram flows, read from INI files."""

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
    """What each daemon is told of its place.

    ``seeds`` are processes that may let this one in; they listen at the same
    port as this one, so that only their IP numbers count. ``client_port`` is
    the UDP port at which clients take packets.
    """

    peer_address: Address
    data_centre: str
    seeds: tuple[Address, ...]
    ready_address: Address
    client_port: int
    metrics_address: Address | None


@frozen
class FlowBalancerSettings:
    """Settings of a balancer; its clients' packets come to ``packet_address``."""

    node: FlowNodeSettings
    packet_address: Address
    store_address: Address


@frozen
class FlowAgentSettings:
    """Settings of an agent.

    ``upstream`` is where its upstream takes packets, ``outbound`` where the
    upstream sends its own, ``report_address`` where it reports itself each
    ``report_period``. No flow lasts longer than ``flow_lifetime``. ``first_start``
    says that the whole system starts for the first time.
    """

    node: FlowNodeSettings
    service: ServiceName
    upstream: Address
    outbound: Address
    report_address: Address
    report_period: Seconds
    flow_lifetime: Seconds
    first_start: bool


def load_flow_balancer_settings(path: str) -> FlowBalancerSettings:
    """Return the settings of a balancer; raises ``SettingsError``."""
    reader = open_settings(path)
    node = _read_node_settings(reader)
    packets = reader.read("flow_balancer", "packet_address", parse_address, "IP:PORT")
    store = reader.read("store", "address", parse_address, "IP:PORT of the service")
    raise_for_errors(path, reader)
    return FlowBalancerSettings(node, packets, store)


def load_flow_agent_settings(path: str) -> FlowAgentSettings:
    """Return the settings of an agent; raises ``SettingsError``."""
    reader = open_settings(path)
    node = _read_node_settings(reader)
    section = "flow_agent"
    address = "IP:PORT"
    service = reader.read(section, "service", str, "the name of a service")
    upstream = reader.read(section, "upstream", parse_address, address)
    outbound = reader.read(section, "outbound", parse_address, address)
    reports = reader.read(section, "report_address", parse_address, address)
    period = reader.read(section, "report_period", _parse_milliseconds, "milliseconds")
    lifetime = reader.read(section, "flow_lifetime", parse_seconds, "seconds")
    first = reader.read(section, "first_start", _parse_bool, "true or false", False)
    raise_for_errors(path, reader)
    return FlowAgentSettings(
        node, service, upstream, outbound, reports, period, lifetime, first
    )


def _read_node_settings(reader: SettingsReader) -> FlowNodeSettings:
    peer = reader.read("node", "peer_address", parse_address, "IP:PORT to bind")
    seeds = reader.read("node", "seeds", _parse_hosts, "IP or IP:PORT, with commas", ())
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
    words = [word.strip() for word in text.split(",")]
    return tuple(
        parse_address(f"{word.partition(':')[0]}:1")[0] for word in words if word
    )


def _parse_port(text: str) -> int:
    return parse_address(f"127.0.0.1:{text.rpartition(':')[2]}")[1]


def _parse_milliseconds(text: str) -> Seconds:
    return parse_positive(text) / 1000


def _parse_bool(text: str) -> bool:
    if text.lower() not in ("true", "false"):
        raise ValueError(text)
    return text.lower() == "true"
