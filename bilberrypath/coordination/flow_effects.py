"""Effects that the cores for datagram flows request from their daemons.

Control messages to other processes use
:class:`~bilberrypath.coordination.effects.SendControl`, as everywhere else.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import frozen

from bilberrypath.coordination import effects as fx

if TYPE_CHECKING:
    from bilberrypath.state.routes import RouteTable
    from bilberrypath.types import NodeId, Seconds


@frozen(slots=True)
class SendToClient:
    """Send a datagram to the client of a flow."""

    flow: bytes
    datagram: bytes


@frozen(slots=True)
class SendToUpstream:
    """Send a datagram to this agent's upstream."""

    datagram: bytes


@frozen
class PullRoutes:
    """Pull the route table from another process."""

    peer: NodeId


@frozen
class ProbeMachine:
    """Check whether the machine of an unresponsive peer is still alive."""

    node_id: NodeId


@frozen
class ProbeUpstream:
    """Check whether this agent's upstream, which fell silent, still exists."""


@frozen
class RoutesAdopted:
    """Report that this process now uses a newer route table."""

    table: RouteTable


@frozen
class LogDecision:
    """Log a decision about one flow."""

    event: str
    flow: bytes
    fields: dict[str, Any]


@frozen
class RecordDuration:
    """Add a duration to the histogram ``name``."""

    name: str
    seconds: Seconds


FlowEffect = (
    fx.SendControl
    | fx.PullTable
    | fx.Count
    | fx.LogStateChange
    | SendToClient
    | SendToUpstream
    | PullRoutes
    | ProbeMachine
    | ProbeUpstream
    | RoutesAdopted
    | LogDecision
    | RecordDuration
)
