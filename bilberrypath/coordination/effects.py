"""Effects: what a core returns for its daemon to execute."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import frozen

if TYPE_CHECKING:
    from bilberrypath.protocol.control import ControlMessage
    from bilberrypath.protocol.frame import PacketFrame
    from bilberrypath.state.release import Release, ReleaseDelta
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
    """Send a packet to a caller from the socket of the service's port."""

    service_port: int
    caller: Address
    payload: bytes


@frozen
class PullRelease:
    """Pull the deltas after ``known_revision``, or a snapshot, from a peer."""

    peer: Address
    known_revision: Revision


@frozen
class PullTable:
    """Pull the member records of the buckets that differ from a peer's.

    ``digests`` are the own bucket digests, which the peer compares with its own.
    """

    peer: Address
    digests: tuple[int, ...]


@frozen
class ReadStore:
    """Read the head, and what is newer than a revision, from the key-value service."""

    known_revision: Revision


@frozen
class RestoreStore:
    """Write the release in force to a key-value service restored to an older state.

    ``deltas`` are the last consecutive deltas up to the release.
    """

    release: Release
    deltas: tuple[ReleaseDelta, ...]


@frozen
class Count:
    """Increment the counter of an event and reason."""

    event: str
    reason: str


@frozen
class LogStateChange:
    """Log a change of state, with ``event`` as the name of the log line."""

    event: str
    fields: dict[str, Any]


@frozen
class ReleaseAdopted:
    """Report that this process has adopted a new release."""

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
