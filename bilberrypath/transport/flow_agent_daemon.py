"""The agent daemon of datagram flows: sockets and timers for ``FlowAgent``."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.flow_agent import FlowAgent
from bilberrypath.coordination.flow_agent_setup import FlowAgentSetup
from bilberrypath.protocol.flow_messages import parse_address
from bilberrypath.state.members import Role, Status, make_own_record
from bilberrypath.transport.bulk_calls import FlowStatusReply
from bilberrypath.transport.clock import make_incarnation, read_clock
from bilberrypath.transport.datagrams import ConnectedDatagramSocket, DatagramSocket
from bilberrypath.transport.flow_daemon import FlowDaemon
from bilberrypath.transport.machine_probe import (
    ProbeResult,
    is_machine_reachable,
    probe_address,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.flow_settings import FlowAgentSettings
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.protocol.flow_packet import PacketCodec
    from bilberrypath.transport.bound_sockets import BoundSockets
    from bilberrypath.transport.bulk_calls import FlowExplainReply, FlowExplainRequest
    from bilberrypath.types import Address, NodeId, Seconds

FINAL_HEARTBEAT_DELAY: Seconds = 0.05  # lets the last heartbeats be sent
DRAIN_POLL_PERIOD: Seconds = 0.005  # short compared with the run time of a request
SPEED_GAUGES = ("service_time", "relative_speed", "confidence", "limit")
GATE_EVENTS = ("request_kept", "request_released", "request_discarded")


class FlowAgentDaemon(FlowDaemon):
    """The daemon of the local upstream's agent; its core is a :class:`FlowAgent`.

    ``process_started_at`` is the start of this process in Unix milliseconds.
    """

    role = "agent"

    def __init__(
        self,
        settings: FlowAgentSettings,
        codec: PacketCodec,
        load_settings: Callable[[], FlowAgentSettings],
        sockets: BoundSockets,
        process_started_at: int,
    ) -> None:
        node = settings.node
        own_member = make_own_record(
            node.peer_address,
            Role.AGENT,
            node.data_centre,
            settings.service,
            Status.DRAINING,
            make_incarnation(),
        )
        setup = FlowAgentSetup(
            own_member,
            node.seeds,
            settings.upstream,
            settings.report_period,
            settings.flow_lifetime,
            process_started_at,
            settings.first_start,
            settings.spillover,
        )
        core = FlowAgent(setup, codec, Random(), read_clock())
        super().__init__(node, core, lambda: load_settings().node, sockets)
        self._agent_settings = settings

    @property
    def is_ready(self) -> bool:
        """Whether opens can be handled: routes are loaded and no stop is under way."""
        return self.core.is_ready and not self.is_stopping

    async def open_sockets(self) -> None:
        """Open the sockets to and from the upstream, and register the gauges."""
        settings = self._agent_settings
        outbound = self.sockets.take_datagram_socket(settings.outbound)
        self.read_when_started(DatagramSocket(outbound, self._handle_upstream_datagram))
        to_upstream = ConnectedDatagramSocket(
            settings.upstream, self._handle_upstream_refused
        )
        self._upstream = self.close_on_stop(to_upstream)
        self.start(self._check_upstream())
        core = self.core
        self.metrics.register_revision_gauges(lambda: core.routes.revision)
        self.metrics.register_gauge("flows", lambda: len(core.flows))
        self.metrics.register_gauge("busy", lambda: core.flows.busy_count)
        self.metrics.register_gauge(
            "kept_requests", lambda: len(core.request_scheduler.gate)
        )
        self.metrics.register_gauge("redirects", lambda: len(core.redirects))
        for name in SPEED_GAUGES:
            self.metrics.register_gauge(
                name, lambda n=name: core.peers.describe_speed(read_clock())[n]
            )
        self.metrics.register_gauge(
            "searches", lambda: len(core.locator.lookups.lookup_by_flow)
        )

    async def _check_upstream(self) -> None:
        """Find out at the start whether anything listens at the upstream's address.

        An upstream that is gone would otherwise count as one that may have any flow
        until its reports are overdue, and packets of lost flows would be tried there.
        """
        result = await probe_address(self._agent_settings.upstream)
        if result is ProbeResult.REFUSED:
            self._handle_upstream_refused()

    async def wait_until_drained(self) -> None:
        """Wait until the upstream runs no request or is down.

        New opens are relayed to other agents from now on, while established flows
        stay here. Packets that arrive meanwhile wait for the next process. The core is
        told of the end also if this is cancelled, as the time for it is over.
        """
        try:
            await asyncio.sleep(FINAL_HEARTBEAT_DELAY)
            await self._wait_until_it_may_end()
        finally:
            self.handle_event(fev.Ending())
        await self._wait_until_it_may_end()

    async def _wait_until_it_may_end(self) -> None:
        while not self.core.may_end(read_clock()):
            await asyncio.sleep(DRAIN_POLL_PERIOD)

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seed addresses at run time."""
        self.core.registration.seeds = seeds

    def handle_forwarded_packet(
        self, forwarded: ForwardedPacket, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        """Return the effects of a packet that another process forwarded."""
        return self.core.handle_forwarded_packet(forwarded, sender, now)

    def _handle_upstream_datagram(self, datagram: bytes, _sender: Address) -> None:
        now = read_clock()
        self.perform_all(self.core.handle_upstream_packet(datagram, now), now)

    def _handle_upstream_refused(self) -> None:
        self.handle_event(fev.UpstreamUnreachable())

    def send_to_upstream(self, datagram: bytes) -> None:
        """Send a datagram to the local upstream."""
        self._upstream.send(datagram)

    def probe_upstream(self) -> None:
        """Start to check whether the upstream, which fell silent, still exists.

        The core receives ``UpstreamUnreachable`` if a connection is refused. The kernel
        accepts one for a process that is paused or slow, or drops it once the process
        has too many that wait.
        """
        self.start(self._probe_upstream())

    async def _probe_upstream(self) -> None:
        result = await probe_address(self._agent_settings.upstream)
        if result is ProbeResult.REFUSED:
            self._handle_upstream_refused()

    def probe_machine(self, node_id: NodeId) -> None:
        """Start to check whether the machine of another agent is reachable.

        The core receives ``MachineAnswered`` if it is, and no event otherwise.
        """
        self.start(self._probe_machine(node_id))

    async def _probe_machine(self, node_id: NodeId) -> None:
        if await is_machine_reachable(parse_address(node_id)):
            self.handle_event(fev.MachineAnswered(node_id))

    def explain(self, request: FlowExplainRequest, now: Seconds) -> FlowExplainReply:
        """Return what the agent would do with a flow's open or next packet."""
        from bilberrypath.transport.explain_calls import answer_at_agent

        return answer_at_agent(self.core, request, now)

    def make_status(self, flow: bytes, now: Seconds) -> FlowStatusReply:
        """Return the status of the agent, or of ``flow`` if that is not empty."""
        core = self.core
        if flow:
            return _make_flow_status(core, flow, now)
        report = core.upstream.health.report
        reject_reason = core.upstream.find_reject_reason(now)
        values = {
            "node": core.node_id,
            "role": "agent",
            "data_centre": core.registration.own_member.data_centre,
            "service": core.service,
            "ready": self.is_ready,
            "revision": core.routes.revision_label,
            "upstream": "" if report is None else report.upstream_id,
            "unable": "" if reject_reason is None else reject_reason.value,
            "flows": len(core.flows),
            "busy": core.flows.busy_count,
            "kept_requests": len(core.request_scheduler.gate),
            **self._list_gate_counts(),
            "redirects": len(core.redirects),
            "knows_all_flows": core.upstream.tracks_all_flows(now),
            **core.peers.describe_speed(now),
        }
        lists = {
            "agents": sorted(core.placement.peer_by_id),
            "silent": sorted(core.unresponsive_peers.since_by_id),
            "terms": core.routes.describe_terms(),
        }
        return FlowStatusReply(values, lists)

    def _list_gate_counts(self) -> dict[str, int]:
        """Return how many requests were kept, released and discarded, by reason."""
        return {
            f"{event}{{{reason}}}": count
            for (event, reason), count in sorted(self.metrics.count_by_event.items())
            if event in GATE_EVENTS
        }


def _make_flow_status(core: FlowAgent, flow: bytes, now: Seconds) -> FlowStatusReply:
    """Return the status of a flow: in full if held here, else the holder if known."""
    held_flow = core.flows.get(flow)
    if held_flow is not None:
        values = {
            "holder": core.node_id,
            "open": held_flow.is_open,
            "confirmed": held_flow.is_confirmed,
            "idle_seconds": round(now - held_flow.seen_at, 3),
            "busy": held_flow.busy_since is not None,
        }
        return FlowStatusReply(values, {})
    redirect = core.redirects.location_by_flow.get(flow)
    return FlowStatusReply({} if redirect is None else {"holder": redirect.holder}, {})
