"""What the processes around the flow decisions report to them.

Messages of other processes, ticks and the end of the process are the events
of :mod:`bilberrypath.coordination.events`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from bilberrypath.state.route_delta import RouteTableReply
    from bilberrypath.state.routes import RouteTable
    from bilberrypath.types import Address, DataCentreName, NodeId, Seconds, ServiceName


@frozen
class RoutesPulled:
    """Another process answered with what is new in its table of routes."""

    peer: NodeId
    reply: RouteTableReply


@frozen
class RoutesPullFailed:
    """Another process did not answer a fetch in time."""

    peer: NodeId


@frozen
class RoutesRead:
    """The platform's service answered; ``table`` is None if nothing is new."""

    table: RouteTable | None


@frozen
class MachineAnswered:
    """The machine of a process answered, though the process itself is silent."""

    node_id: NodeId


@frozen
class UpstreamReport:
    """What an upstream said of itself.

    ``started_at`` is the upstream's own word of its start, in milliseconds
    since the epoch, 0 if it said none; ``sequence`` rises with each report of
    one start. ``cold_for`` is how long it stays in cold start.
    """

    upstream_id: str
    started_at: int
    sequence: int
    service: ServiceName
    address: Address
    data_centre: DataCentreName
    slots: int
    draining: bool
    cold_for: Seconds


@frozen
class UpstreamLeft:
    """An upstream said that it ends now."""

    upstream_id: str


@frozen
class UpstreamUnreachable:
    """The machine refused a packet to the upstream: nothing listens there."""
