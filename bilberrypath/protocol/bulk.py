"""Messages of the control calls (gRPC), made by processes and by operators.

They carry what does not fit into a datagram. msgspec encodes them, and they are sealed
with the same key as control datagrams, so that gRPC needs no generated code.
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
    """Base class of the control calls' messages."""


class ReleaseRequest(CallStruct):
    """A request for the deltas after ``known_revision``, or else a snapshot."""

    known_revision: int


class ReleaseSnapshot(CallStruct):
    """A whole release, with its services in encoded buckets.

    ``note_id`` is the ID of the note that led to the release. The ``next_*_number``
    fields are the numbers that the next service and data centre to be added get.
    """

    revision: int
    note_id: str
    next_service_number: int
    next_data_centre_number: int
    data_centres: tuple[DataCentre, ...]
    buckets: tuple[bytes, ...]
    digest: bytes


class ReleaseReply(CallStruct):
    """The deltas after the requested revision, or a snapshot of the release."""

    deltas: tuple[ReleaseDelta, ...]
    snapshot: ReleaseSnapshot | None


class MemberTableRequest(CallStruct):
    """A request for the member records of the buckets whose digests differ.

    ``digests`` are those of the requester's member table, one for each bucket.
    """

    digests: tuple[int, ...]


class MemberTableReply(CallStruct):
    """The requested member records."""

    members: tuple[Member, ...]


class StatusRequest(CallStruct):
    """A request for the status of a daemon."""


class ReportedAgentStatus(CallStruct):
    """An agent's state as of its last heartbeat to a balancer.

    ``age`` is the time since that heartbeat in seconds, and ``running`` the number of
    running requests.
    """

    node_id: str
    revision: int
    age: float
    running: int


class StatusReply(CallStruct):
    """The status of a daemon.

    ``member`` is its own member record, and ``is_fresh`` states whether its revision
    was confirmed recently. ``reported_agents`` are the agents that send it heartbeats.
    """

    member: Member
    revision: int
    note_id: str
    is_fresh: bool
    members: tuple[Member, ...]
    reported_agents: tuple[ReportedAgentStatus, ...]
