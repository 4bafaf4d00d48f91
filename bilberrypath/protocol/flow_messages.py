"""Messages about datagram flows between the system's own processes.

They share the socket with the probes and rumours of the balancers. Nothing
here is secret or signed: the platform gives its processes no common key, so
the network between them is trusted, as the platform's own calls are.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Union

import msgspec

from bilberrypath.protocol import control as ctl
from bilberrypath.protocol.control import ControlStruct
from bilberrypath.state.members import Member  # noqa: TC001
from bilberrypath.types import Address, NodeId  # noqa: TC001


class ForwardedPacket(ControlStruct, tag=20):
    """A client's packet on its way to an upstream.

    ``origin_balancer`` is the balancer that took the packet, which is told where the
    flow is if it ``wants_location``. ``home_agent`` is the agent that keeps the
    redirect of the flow, empty until the first agent has it. ``tried_agents`` are
    agents that can't have or take the flow, and ``hops`` counts the agents that passed
    the packet on. A flow that none of the service's agents has is reset only where
    ``may_reset`` says that no other service can have it. An open that ``has_waited``
    for an upstream's report does not wait again. ``is_lookup_done`` says that a search
    has ended with agents that can't tell; ``possible_holders`` are those that are still
    to try their upstream, and ``has_asked_all`` that the search reached every agent
    that may have the flow. ``relayed_by`` are the agents that passed an open on for
    their load, and ``unanswered_count`` counts those that were handed it and said
    nothing: each may have taken it all the same. ``client_data_centre`` is the data
    centre of the balancer, and so of the client.
    """

    revision: int
    service: str
    origin_balancer: str
    wants_location: bool
    home_agent: str
    tried_agents: tuple[str, ...]
    hops: int
    may_reset: bool
    datagram: bytes
    has_waited: bool = False
    is_lookup_done: bool = False
    possible_holders: tuple[str, ...] = ()
    relayed_by: tuple[str, ...] = ()
    client_data_centre: str = ""
    has_asked_all: bool = True
    unanswered_count: int = 0


class FlowLocation(ControlStruct, tag=21):
    """Where a flow is; an empty ``holder`` means that nobody is known to have it."""

    flow: bytes
    holder: str


class FlowQuery(ControlStruct, tag=22):
    """Ask an agent whether it has a flow or knows who has."""

    flow: bytes


class FlowQueryReply(ControlStruct, tag=23):
    """The answer: the holder if known.

    ``may_hold`` means that the agent started after its upstream did, so that the
    upstream may have the flow unknown to the agent; ``has_heard_upstream`` that the
    upstream was heard since, and so will hand back what is not its own.
    """

    flow: bytes
    holder: str
    may_hold: bool
    has_heard_upstream: bool = True


class LoadReport(ControlStruct, tag=24):
    """An agent's word of its load to the other agents of its service.

    ``utilization`` is running requests over ``slots``, half of it now and half the
    mean of late; ``may_take_opens`` is false while the agent would refuse an open.
    """

    revision: int
    service: str
    may_take_opens: bool
    utilization: float
    slots: int


class FlowHeartbeat(ControlStruct, tag=25):
    """An agent's word to its balancers that it lives.

    ``agents_digest`` tells which list of its service's agents it holds.
    """

    member: Member
    sequence: int
    revision: int
    agents_digest: int


class FlowHeartbeatAck(ControlStruct, tag=26):
    """A balancer's answer: the record it holds, where to go next.

    ``agents`` lists the live agents of the service, or is None when the
    sender holds the same list already.
    """

    sequence: int
    revision: int
    known_record: Member
    heartbeat_targets: tuple[str, ...]
    agents: tuple[Member, ...] | None


class RoutesChanged(ControlStruct, tag=27):
    """A balancer's word that a newer table of routes is in force."""

    revision: int


class Ping(ControlStruct, tag=28):
    """Ask a process that owed an answer whether it lives."""


class Pong(ControlStruct, tag=29):
    """The answer to a ping."""


FlowMessage = Union[  # noqa: UP007
    ForwardedPacket,
    FlowLocation,
    FlowQuery,
    FlowQueryReply,
    LoadReport,
    FlowHeartbeat,
    FlowHeartbeatAck,
    RoutesChanged,
    Ping,
    Pong,
    ctl.Probe,
    ctl.ProbeAck,
    ctl.IndirectProbe,
    ctl.Gossip,
]

encode_flow_message = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(FlowMessage)


def decode_flow_message(body: bytes) -> FlowMessage | None:
    """Return the message in a datagram, or None if it can't be one."""
    try:
        return _decoder.decode(body)
    except msgspec.DecodeError:
        return None


@lru_cache(maxsize=1 << 17)
def format_node_id(address: Address) -> NodeId:
    """Return the name of the process at an address."""
    return f"{address[0]}:{address[1]}"


@lru_cache(maxsize=1 << 17)
def parse_address(node_id: NodeId) -> Address:
    """Return the socket address in the name of a process."""
    host, _, port = node_id.rpartition(":")
    return host, int(port)
