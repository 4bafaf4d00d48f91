"""Events: what a daemon passes to its core."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from bilberrypath.protocol.control import ControlMessage
    from bilberrypath.protocol.frame import PacketFrame
    from bilberrypath.state.members import Member
    from bilberrypath.state.release import Release, ReleaseDelta
    from bilberrypath.types import Address, Revision, Seconds


@frozen
class Tick:
    """Time has passed; occurs every :data:`TICK_PERIOD`."""


@frozen
class ControlReceived:
    """A control message arrived from the peer socket of another process."""

    sender: Address
    message: ControlMessage


@frozen
class FrameReceived:
    """A packet frame arrived from the peer socket of another process."""

    sender: Address
    frame: PacketFrame


@frozen
class PacketReceived:
    """A caller's datagram arrived at the socket of a service."""

    service_port: int
    caller: Address
    payload: bytes


@frozen
class ReleasePulled:
    """A peer answered a pull with the newer deltas, or with a snapshot."""

    peer: Address
    deltas: tuple[ReleaseDelta, ...] = ()
    snapshot: Release | None = None


@frozen
class TablePulled:
    """A peer answered a pull with the member records of the differing buckets."""

    peer: Address
    members: tuple[Member, ...]


@frozen
class PullFailed:
    """A pull from a peer failed or timed out."""

    peer: Address


@frozen
class StoreRead:
    """The platform's key-value service answered a read sent at ``sent_at``.

    ``head`` and ``note_id`` are those of its newest release; ``deltas`` or
    ``snapshot`` hold what is newer than the release in force here.
    """

    sent_at: Seconds
    head: Revision
    note_id: str = ""
    deltas: tuple[ReleaseDelta, ...] = ()
    snapshot: Release | None = None


@frozen
class StoreFailed:
    """The platform's key-value service did not answer a read."""


@frozen
class Leave:
    """This process is stopping; peers are notified so that they stop using it."""


TICK_PERIOD: Seconds = 0.2
STARTUP_WINDOW: Seconds = 3.0  # processes that start together are all running by then

Event = (
    Tick
    | ControlReceived
    | FrameReceived
    | PacketReceived
    | ReleasePulled
    | TablePulled
    | PullFailed
    | StoreRead
    | StoreFailed
    | Leave
)
