"""What the decisions about datagram flows ask of the process around them.

Messages to other processes are :class:`~bilberrypath.coordination.effects.
SendControl`, as for all other control messages.
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
    """Send a datagram to the upstream beside this agent."""

    datagram: bytes


@frozen
class PullRoutes:
    """Fetch the table of routes from another process."""

    peer: NodeId


@frozen
class ProbeMachine:
    """Find out whether the machine of a silent process is still there."""

    node_id: NodeId


@frozen
class RoutesAdopted:
    """A newer table of routes is in force in this process."""

    table: RouteTable


@frozen
class LogDecision:
    """A decision about one flow, for the log."""

    event: str
    flow: bytes
    fields: dict[str, Any]


@frozen
class RecordDuration:
    """Add a duration to a histogram."""

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
    | RoutesAdopted
    | LogDecision
    | RecordDuration
)
