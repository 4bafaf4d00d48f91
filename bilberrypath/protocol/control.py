"""Control messages between the system's own processes."""

from __future__ import annotations

from typing import Union

import msgspec

from bilberrypath.state.members import Member  # noqa: TC001
from bilberrypath.state.release import ReleaseDelta  # noqa: TC001


class ControlStruct(msgspec.Struct, array_like=True, frozen=True):
    """Base of the control messages."""


class ReleaseView(ControlStruct):
    """What an agent needs to know of a release.

    ``service_number`` is 0 when the release has no such service, and
    ``data_centre_number`` is 0 when it has no such data centre.
    """

    revision: int
    service_number: int
    service_port: int
    data_centre_number: int
    assigned: bool
    out: bool


class Heartbeat(ControlStruct, tag=1):
    """An agent's word to one of its balancers.

    ``load`` is its connections in units of its present limit, ``running`` the
    requests that run. ``sequence`` is echoed by the answer.
    """

    member: Member
    sequence: int
    revision: int
    load: int
    running: int


class HeartbeatAck(ControlStruct, tag=2):
    """A balancer's answer: the view, the record it holds, where to go next."""

    sequence: int
    view: ReleaseView
    known_record: Member
    heartbeat_targets: tuple[str, ...]


class ViewPush(ControlStruct, tag=3):
    """A balancer's word of a new release to the agents it hears."""

    view: ReleaseView


class GossipPayload(ControlStruct):
    """What rides on every message between balancers.

    ``data_centre_liveness`` maps a data centre to a counter that rises while any
    process hears from it; ``members`` are records that changed of late.
    """

    sender: Member
    revision: int
    table_digest: int
    data_centre_liveness: dict[str, int]
    members: tuple[Member, ...]


class Probe(ControlStruct, tag=4):
    """Ask a process to show that it lives."""

    sequence: int
    gossip: GossipPayload


class ProbeAck(ControlStruct, tag=5):
    """The answer to a probe, which names the probe's number."""

    sequence: int
    gossip: GossipPayload


class IndirectProbe(ControlStruct, tag=6):
    """Ask a balancer to probe another one that does not answer us."""

    sequence: int
    target: str
    gossip: GossipPayload


class Gossip(ControlStruct, tag=7):
    """Records that changed, sent on while they are new."""

    gossip: GossipPayload


class ReleasePush(ControlStruct, tag=8):
    """The step to a new release, small enough for one datagram."""

    delta: ReleaseDelta
    gossip: GossipPayload


class AgentProbe(ControlStruct, tag=9):
    """A balancer that hears no other balancer asks an agent."""

    sequence: int
    revision: int


class AgentProbeAck(ControlStruct, tag=10):
    """An agent's answer to a balancer's probe."""

    sequence: int
    revision: int


ControlMessage = Union[  # noqa: UP007
    Heartbeat,
    HeartbeatAck,
    ViewPush,
    Probe,
    ProbeAck,
    IndirectProbe,
    Gossip,
    ReleasePush,
    AgentProbe,
    AgentProbeAck,
]

encode_control_message = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(ControlMessage)


def decode_control_message(body: bytes) -> ControlMessage | None:
    """Return the message in ``body``, or None if it can't be one."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        return None
