"""What the processes around the decisions report to them."""

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
    """Time has passed; sent every :data:`TICK_PERIOD`."""


@frozen
class ControlReceived:
    """A control message came from the peer socket of another process."""

    sender: Address
    message: ControlMessage


@frozen
class FrameReceived:
    """A packet frame came from the peer socket of another process."""

    sender: Address
    frame: PacketFrame


@frozen
class PacketReceived:
    """A caller's datagram came to the socket of a service."""

    service_port: int
    caller: Address
    payload: bytes


@frozen
class ReleasePulled:
    """A peer's answer: the steps that follow ours, or the whole release."""

    peer: Address
    deltas: tuple[ReleaseDelta, ...] = ()
    snapshot: Release | None = None


@frozen
class TablePulled:
    """A peer's answer: the records of the buckets that differed."""

    peer: Address
    members: tuple[Member, ...]


@frozen
class PullFailed:
    """A pull from a peer failed or ran out of time."""

    peer: Address


@frozen
class StoreRead:
    """The platform's service answered a read that was sent at ``sent_at``."""

    sent_at: Seconds
    head: Revision
    note_id: str = ""
    deltas: tuple[ReleaseDelta, ...] = ()
    snapshot: Release | None = None


@frozen
class StoreFailed:
    """The platform's service did not answer."""


@frozen
class Leave:
    """This process is to end; others are to stop counting on it."""


TICK_PERIOD: Seconds = 0.2
STARTUP_WINDOW: Seconds = 3.0  # processes that start together are all up within it

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
