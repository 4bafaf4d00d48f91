"""Events that daemons pass to the cores for datagram flows.

Control messages, ticks and the shutdown of the process are events of
:mod:`bilberrypath.coordination.events`.
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
    """Another process answered a pull with route deltas or a snapshot."""

    peer: NodeId
    reply: RouteTableReply


@frozen
class RoutesPullFailed:
    """A pull of the route table from another process failed."""

    peer: NodeId


@frozen
class RoutesRead:
    """The platform's route service answered; ``table`` is None if it is unchanged."""

    table: RouteTable | None


@frozen
class MachineAnswered:
    """The machine of an unresponsive peer answered a probe."""

    node_id: NodeId


@frozen
class UpstreamReport:
    """An upstream's report of its own status.

    ``started_at`` is its start time by its own clock, in milliseconds since the epoch,
    or 0 if it reports none. ``sequence`` increases with each new report since that
    start. ``address`` is where it receives packets, and ``slots`` the number of
    requests that it runs at once. While ``draining`` it takes no opens. ``cold_for`` is
    the remaining time of its cold start.
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
    """An upstream sent notice that it ends now."""

    upstream_id: str


@frozen
class UpstreamUnreachable:
    """A packet to the upstream was refused: nothing listens at its address."""


@frozen
class Ending:
    """This process is drained and ends now, after an earlier ``Leave``."""
