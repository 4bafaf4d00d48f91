"""Control messages between the system's own processes."""

from __future__ import annotations

from typing import Union

import msgspec

from bilberrypath.state.members import Member  # noqa: TC001
from bilberrypath.state.release import ReleaseStep  # noqa: TC001


class Struct(msgspec.Struct, array_like=True, frozen=True):
    """Base of the control messages."""


class View(Struct):
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


class Heartbeat(Struct, tag=1):
    """An agent's word to one of its balancers.

    ``load`` is its connections in units of its present limit, ``running`` the
    requests that run. ``sequence`` is echoed by the answer.
    """

    member: Member
    sequence: int
    revision: int
    load: int
    running: int


class HeartbeatAck(Struct, tag=2):
    """A balancer's answer: the view, the record it holds, where to go next."""

    sequence: int
    view: View
    known: Member
    homes: tuple[str, ...]


class ViewPush(Struct, tag=3):
    """A balancer's word of a new release to the agents it hears."""

    view: View


class News(Struct):
    """What rides on every message between balancers.

    ``beacons`` maps a data centre to a counter that rises while any process
    hears from it; ``members`` are records that changed of late.
    """

    sender: Member
    revision: int
    table_digest: int
    beacons: dict[str, int]
    members: tuple[Member, ...]


class Probe(Struct, tag=4):
    """Ask a process to show that it lives."""

    sequence: int
    news: News


class ProbeAck(Struct, tag=5):
    """The answer to a probe, which names the probe's number."""

    sequence: int
    news: News


class ProbeFor(Struct, tag=6):
    """Ask a balancer to probe another one that does not answer us."""

    sequence: int
    target: str
    news: News


class Gossip(Struct, tag=7):
    """Records that changed, sent on while they are new."""

    news: News


class ReleasePush(Struct, tag=8):
    """The step to a new release, small enough for one datagram."""

    step: ReleaseStep
    news: News


class AgentProbe(Struct, tag=9):
    """A balancer that hears no other balancer asks an agent."""

    sequence: int
    revision: int


class AgentProbeAck(Struct, tag=10):
    """An agent's answer to a balancer's probe."""

    sequence: int
    revision: int


ControlMessage = Union[  # noqa: UP007
    Heartbeat,
    HeartbeatAck,
    ViewPush,
    Probe,
    ProbeAck,
    ProbeFor,
    Gossip,
    ReleasePush,
    AgentProbe,
    AgentProbeAck,
]

encode_control = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(ControlMessage)


def decode_control(body: bytes) -> ControlMessage | None:
    """Return the message in ``body``, or None if it can't be one."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        return None
