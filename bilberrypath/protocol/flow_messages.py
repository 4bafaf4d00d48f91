"""Messages about datagram flows, between balancers and agents.

They share the socket with the balancers' probes and gossip. They are neither encrypted
nor authenticated: the platform gives its processes no common key, so the network
between them is trusted, as it is for the platform's own calls.
"""

from __future__ import annotations

from functools import lru_cache
from typing import Any, Union

import msgspec

from bilberrypath.protocol import control as ctl
from bilberrypath.protocol.control import ControlStruct
from bilberrypath.protocol.decoding import (
    DECODE_ERRORS,
    CheckedNodeId,
    OptionalNodeId,
)
from bilberrypath.state.members import Member  # noqa: TC001
from bilberrypath.types import Address, NodeId  # noqa: TC001

# The node ID of an agent, and for how many seconds it has been absent.
AbsentAgent = tuple[CheckedNodeId, float]
# A flow, the node ID of its holder, and for how many seconds it has been idle.
IdleLocation = tuple[bytes, CheckedNodeId, float]
# A flow, and how many seconds ago it was tried at an upstream that may not have it.
PastTrial = tuple[bytes, float]


class ForwardedPacket(ControlStruct, tag=20):
    """A client's packet on its way to an upstream.

    ``origin_balancer`` received the packet from the client; it is sent the location
    of the flow if ``wants_location``. ``home_agent`` keeps the redirect of the flow;
    it is empty until the packet reaches the first agent. ``tried_agents`` cannot have
    or accept the flow, and ``hops`` counts the agents that relayed the packet. An agent
    resets a flow that its service does not have only if ``may_reset``: no other service
    can have it, and no balancer waits for the report. An open with ``has_waited`` was
    already queued for an upstream's report and is not queued again. ``is_lookup_done``
    means that a lookup ended without a holder while some agents could not rule out that
    their upstream has the flow; ``possible_holders`` are those of them whose upstream
    is still to be tried. ``has_queried_all`` means that the lookup reached all agents
    that may have the flow.
    ``relayed_by`` are the agents that relayed an open because of their load.
    ``unanswered_count`` counts the agents that an open was relayed to and that did not
    answer: each of them may have accepted it nevertheless. ``client_data_centre`` is
    the data centre of the balancer, and so of the client. Upstreams
    that may not have the flow are sent its packet only if ``may_try``, and while an
    agent does not answer ``max_trials`` of them at most. ``is_located`` means that the
    sender knows the receiver as the holder of the flow.
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
    has_queried_all: bool = True
    unanswered_count: int = 0
    may_try: bool = True
    max_trials: int = 2
    is_located: bool = False


class FlowLocation(ControlStruct, tag=21):
    """The location of a flow; ``holder`` is empty if no agent is known to have it.

    ``service`` is that of the sender, empty from an agent of an older build.
    ``is_certain`` states that the holder's upstream has the flow, or that no agent of
    the service has it. A holder that is not certain is being tried; without a holder,
    agents that did not answer or are still to join may have the flow. ``services`` are
    those that the flow's route names or named recently; empty with a holder.
    ``may_be_at_unknown_agent`` qualifies a certain report without a holder: all agents
    that know their service have just started, and one that is away may have the flow.
    ``refuses_open`` has the balancer refuse an open that nobody can take, unless it has
    asked another agent meanwhile: the sender may have read the open late.
    """

    flow: bytes
    holder: OptionalNodeId
    service: str = ""
    is_certain: bool = False
    services: tuple[str, ...] = ()
    may_be_at_unknown_agent: bool = False
    refuses_open: bool = False


class FlowQuery(ControlStruct, tag=22):
    """A request to an agent for the holders of ``flow`` and ``other_flows``."""

    flow: bytes
    other_flows: tuple[bytes, ...] = ()


class FlowQueryReply(ControlStruct, tag=23):
    """The answer to a query; ``holder`` is empty if the agent has no record of one.

    ``may_hold`` means that the agent started after its upstream, so that the upstream
    may have the flow without a record at the agent. ``has_upstream_reported`` means
    that a report or packet has arrived from the upstream lately, and the upstream will
    therefore return packets of flows that it does not hold. Both apply to all flows of
    the query; ``other_holders`` has the holder of each of its other flows. The upstream
    returned packets of ``returned_flows``, and does not have them. ``absent``
    are agents that may have flows, although they are not listed any more.
    ``trials`` are those that the agent knows of and that limit further ones.
    The upstream accepted the opens of ``unchosen_flows``, but their clients have not
    gone on with it: it may have them even if ``may_hold`` is false.
    """

    flow: bytes
    holder: OptionalNodeId
    may_hold: bool
    has_upstream_reported: bool = True
    other_holders: tuple[tuple[bytes, str], ...] = ()
    returned_flows: tuple[bytes, ...] = ()
    absent: tuple[AbsentAgent, ...] = ()
    trials: tuple[PastTrial, ...] = ()
    unchosen_flows: tuple[bytes, ...] = ()


class LoadReport(ControlStruct, tag=24):
    """An agent's load, sent to other agents of its service.

    ``utilization`` is running requests over ``slots``: the mean of the current value
    and the recent average. ``may_take_opens`` is false while the agent would refuse an
    open. ``absent`` are agents that may have flows, although they are not listed any
    more. ``service_time`` is that of one request at the upstream in seconds, 0 if
    unknown, and ``confidence`` says how well it is known, in hundredths. Values of any
    type are decoded, as an invalid one does not make the rest of the report useless.
    """

    revision: int
    service: str
    may_take_opens: bool
    utilization: float
    slots: int
    absent: tuple[AbsentAgent, ...] = ()
    service_time: Any = 0.0
    confidence: Any = 0


class FlowHeartbeat(ControlStruct, tag=25):
    """An agent's liveness message to its heartbeat targets.

    An agent that has left sends one to the other agents of its service too.
    ``agents_digest`` is the digest of the sender's list of its service's agents.
    ``takes_changes`` states that the sender applies changes to that list; an agent of
    an older build needs the whole list.
    """

    member: Member
    sequence: int
    revision: int
    agents_digest: int
    takes_changes: bool = False


class FlowHeartbeatAck(ControlStruct, tag=26):
    """A balancer's answer to a heartbeat.

    ``known_record`` is the member record that the balancer holds of the agent, and
    ``heartbeat_targets`` are the balancers to send the next heartbeats to. ``agents``
    lists the live agents of the service, or is None if the agent already has this list
    or ``changed_agents`` brings it up to date: the records that differ from the list
    whose digest is ``base_digest``. ``agents_digest`` is that of the whole list.
    ``absent`` goes with a list or changes to it: agents of the service that were
    removed without having announced that they left.
    """

    sequence: int
    revision: int
    known_record: Member
    heartbeat_targets: tuple[CheckedNodeId, ...]
    agents: tuple[Member, ...] | None
    agents_digest: int = 0
    base_digest: int = 0
    changed_agents: tuple[Member, ...] = ()
    absent: tuple[AbsentAgent, ...] = ()


class RoutesChanged(ControlStruct, tag=27):
    """A balancer's notification that a newer route table is in force."""

    revision: int


class Ping(ControlStruct, tag=28):
    """A check whether a process that did not answer in time is alive."""


class Pong(ControlStruct, tag=29):
    """The answer to a ping."""


class LocationTransfer(ControlStruct, tag=30):
    """What an agent that ends knows about the flows of its service.

    ``locations`` are those of open flows at its own upstream and at others, and
    ``trials`` those that still limit further trials of their flows. The receiver
    acknowledges ``number``, which counts the messages of the sender.
    """

    service: str
    number: int
    locations: tuple[IdleLocation, ...] = ()
    trials: tuple[PastTrial, ...] = ()


class LocationTransferAck(ControlStruct, tag=31):
    """The acknowledgement of a :class:`LocationTransfer` by its number."""

    number: int


TransferMessage = LocationTransfer | LocationTransferAck
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
    LocationTransfer,
    LocationTransferAck,
    ctl.Probe,
    ctl.ProbeAck,
    ctl.IndirectProbe,
    ctl.Gossip,
]

encode_flow_message = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(FlowMessage)


def decode_flow_message(body: bytes) -> FlowMessage | None:
    """Return the message in a datagram, or None if it cannot be decoded."""
    try:
        return _decoder.decode(body)
    except DECODE_ERRORS:
        return None


@lru_cache(maxsize=1 << 17)
def format_node_id(address: Address) -> NodeId:
    """Return the node ID of the process at an address, as ``host:port``."""
    return f"{address[0]}:{address[1]}"


@lru_cache(maxsize=1 << 17)
def parse_address(node_id: NodeId) -> Address:
    """Return the socket address in a node ID."""
    host, _, port = node_id.rpartition(":")
    return host, int(port)
