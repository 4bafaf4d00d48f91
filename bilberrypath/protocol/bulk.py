"""Messages of the control calls (gRPC) between processes, and from operators.

These carry what does not fit a datagram. They are coded by msgspec and sealed
with the same key as control datagrams, so no generated code is needed.
"""

from __future__ import annotations

import msgspec

from bilberrypath.state.members import Member  # noqa: TC001
from bilberrypath.state.release import DataCentre, ReleaseDelta  # noqa: TC001

GRPC_SERVICE = "bilberrypath.Control"
PULL_RELEASE = f"/{GRPC_SERVICE}/PullRelease"
PULL_TABLE = f"/{GRPC_SERVICE}/PullTable"
SHOW_STATUS = f"/{GRPC_SERVICE}/ShowStatus"


class CallStruct(msgspec.Struct, array_like=True, frozen=True):
    """Base of the control calls' messages."""


class ReleaseRequest(CallStruct):
    """Ask for what follows a revision."""

    known_revision: int


class ReleaseSnapshot(CallStruct):
    """A release with its services in encoded buckets."""

    revision: int
    note_id: str
    next_service_number: int
    next_data_centre_number: int
    data_centres: tuple[DataCentre, ...]
    buckets: tuple[bytes, ...]
    digest: bytes


class ReleaseReply(CallStruct):
    """The steps after a revision, or the parts of the whole release."""

    deltas: tuple[ReleaseDelta, ...]
    snapshot: ReleaseSnapshot | None


class MemberTableRequest(CallStruct):
    """Ask for the records of the buckets whose digests differ."""

    digests: tuple[int, ...]


class MemberTableReply(CallStruct):
    """The records asked for."""

    members: tuple[Member, ...]


class StatusRequest(CallStruct):
    """Ask a daemon how it stands."""


class HeardAgentStatus(CallStruct):
    """An agent as a balancer heard it last; ``age`` in seconds."""

    node_id: str
    revision: int
    age: float
    running: int


class StatusReply(CallStruct):
    """How a daemon stands."""

    member: Member
    revision: int
    note_id: str
    is_fresh: bool
    members: tuple[Member, ...]
    heard_agents: tuple[HeardAgentStatus, ...]
