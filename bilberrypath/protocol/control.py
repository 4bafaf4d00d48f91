"""Control messages between balancers and agents of the QUIC service."""

from __future__ import annotations

from typing import Union

import msgspec

from bilberrypath.protocol.decoding import (
    DECODE_ERRORS,
    BoundedInteger,
    CheckedNodeId,
)
from bilberrypath.state.members import Member  # noqa: TC001
from bilberrypath.state.release import ReleaseDelta  # noqa: TC001


class ControlStruct(msgspec.Struct, array_like=True, frozen=True):
    """Base class of the control messages."""


class ReleaseView(ControlStruct):
    """The part of a release that one agent needs.

    ``service_number`` is 0 if the release does not contain the agent's service, and
    ``data_centre_number`` is 0 if it does not contain its data centre. ``assigned``
    states whether the service is assigned to the data centre, and ``out`` whether the
    data centre is taken out of service.
    """

    revision: int
    service_number: int
    service_port: int
    data_centre_number: int
    assigned: bool
    out: bool


class Heartbeat(ControlStruct, tag=1):
    """An agent's liveness message to one of its heartbeat targets.

    ``load`` is its number of connections, multiplied by slots / admission limit while
    that limit holds requests back. ``running`` is the number of running requests. The
    acknowledgement repeats ``sequence``.
    """

    member: Member
    sequence: int
    revision: int
    load: int
    running: int


class HeartbeatAck(ControlStruct, tag=2):
    """A balancer's answer to a heartbeat.

    ``known_record`` is the member record that the balancer holds of the agent, and
    ``heartbeat_targets`` are the balancers to send the next heartbeats to.
    """

    sequence: int
    view: ReleaseView
    known_record: Member
    heartbeat_targets: tuple[CheckedNodeId, ...]


class ViewPush(ControlStruct, tag=3):
    """A balancer's notification of a new release to agents that send it heartbeats."""

    view: ReleaseView


class GossipPayload(ControlStruct):
    """Member records and revision carried by every message between balancers.

    ``data_centre_liveness`` maps a data centre to a counter that increases while any
    balancer receives messages from it. ``members`` are recently changed records, and
    ``table_digest`` is the digest of the sender's member table.
    """

    sender: Member
    revision: int
    table_digest: int
    data_centre_liveness: dict[str, BoundedInteger]
    members: tuple[Member, ...]


class Probe(ControlStruct, tag=4):
    """A request for an acknowledgement, to check that a process is alive."""

    sequence: int
    gossip: GossipPayload


class ProbeAck(ControlStruct, tag=5):
    """The answer to the probe with the same ``sequence``."""

    sequence: int
    gossip: GossipPayload


class IndirectProbe(ControlStruct, tag=6):
    """A request to probe the balancer ``target``, which did not answer the sender."""

    sequence: int
    target: CheckedNodeId
    gossip: GossipPayload


class Gossip(ControlStruct, tag=7):
    """Changed member records, passed on while they are recent."""

    gossip: GossipPayload


class ReleasePush(ControlStruct, tag=8):
    """The delta to a new release, if it fits into one datagram."""

    delta: ReleaseDelta
    gossip: GossipPayload


class AgentProbe(ControlStruct, tag=9):
    """A probe that a balancer without balancer peers sends to an agent.

    The answer confirms the revision in force, as those of peers do otherwise.
    """

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
    """Return the message in ``body``, or None if it cannot be decoded."""
    try:
        return _decoder.decode(body)
    except DECODE_ERRORS:
        return None
