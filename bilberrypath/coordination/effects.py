"""What decisions ask of the processes around them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from bilberrypath.protocol.control import ControlMessage
    from bilberrypath.protocol.frame import PacketFrame
    from bilberrypath.state.release import Release
    from bilberrypath.types import Address, Revision


@frozen
class SendControl:
    """Send a control message to the peer socket of another process."""

    to: Address
    message: ControlMessage


@frozen
class SendFrame:
    """Send a packet frame to the peer socket of another process."""

    to: Address
    frame: PacketFrame


@frozen
class SendToCaller:
    """Send a packet to a caller from the socket of a service."""

    service_port: int
    caller: Address
    payload: bytes


@frozen
class PullRelease:
    """Fetch the steps after ``known_revision``, or the whole release, from a peer."""

    peer: Address
    known_revision: Revision


@frozen
class PullTable:
    """Fetch the records of the buckets that differ from a peer."""

    peer: Address
    digests: tuple[int, ...]


@frozen
class ReadStore:
    """Read the head and what follows ``known_revision`` from the platform's service."""

    known_revision: Revision


@frozen
class RestoreStore:
    """Bring the platform's service, set back to an older state, up to date."""

    release: Release


@frozen
class Count:
    """Add one to the counter of an event, by reason."""

    event: str
    reason: str


@frozen
class LogStateChange:
    """A change of state that is worth a log line."""

    event: str
    fields: dict[str, Any]


@frozen
class ReleaseAdopted:
    """A new release is in force in this process."""

    release: Release


Effect = (
    SendControl
    | SendFrame
    | SendToCaller
    | PullRelease
    | PullTable
    | ReadStore
    | RestoreStore
    | Count
    | LogStateChange
    | ReleaseAdopted
)
