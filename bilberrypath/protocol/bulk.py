"""Messages of the control calls (gRPC) between processes, and from operators.

These carry what does not fit a datagram. They are coded by msgspec and sealed
with the same key as control datagrams, so no generated code is needed.
"""

from __future__ import annotations

import msgspec

from bilberrypath.state.members import Member  # noqa: TC001
from bilberrypath.state.release import DataCentre, ReleaseStep  # noqa: TC001

SERVICE = "bilberrypath.Control"
PULL_RELEASE = f"/{SERVICE}/PullRelease"
PULL_TABLE = f"/{SERVICE}/PullTable"
SHOW_STATUS = f"/{SERVICE}/ShowStatus"


class Struct(msgspec.Struct, array_like=True, frozen=True):
    """Base of the control calls' messages."""


class ReleaseRequest(Struct):
    """Ask for what follows a revision."""

    have: int


class WholeRelease(Struct):
    """A release with its services in encoded buckets."""

    revision: int
    note_id: str
    next_service_number: int
    next_data_centre_number: int
    data_centres: tuple[DataCentre, ...]
    buckets: tuple[bytes, ...]
    digest: bytes


class ReleaseReply(Struct):
    """The steps after a revision, or the parts of the whole release."""

    steps: tuple[ReleaseStep, ...]
    whole: WholeRelease | None


class TableRequest(Struct):
    """Ask for the records of the buckets whose digests differ."""

    digests: tuple[int, ...]


class TableReply(Struct):
    """The records asked for."""

    members: tuple[Member, ...]


class StatusRequest(Struct):
    """Ask a daemon how it stands."""


class HeardStatus(Struct):
    """An agent as a balancer heard it last; ``age`` in seconds."""

    node_id: str
    revision: int
    age: float
    running: int


class StatusReply(Struct):
    """How a daemon stands."""

    member: Member
    revision: int
    note_id: str
    fresh: bool
    members: tuple[Member, ...]
    heard: tuple[HeardStatus, ...]
