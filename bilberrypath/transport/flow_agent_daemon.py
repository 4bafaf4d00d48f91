"""The agent of datagram flows: sockets and clock around ``FlowAgent``."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from bilberrypath.coordination import flow_events as fev
from bilberrypath.coordination.flow_agent import FlowAgent, FlowAgentSetup
from bilberrypath.protocol.flow_messages import to_address
from bilberrypath.state.members import Role, Status, make_own_record
from bilberrypath.transport.bulk_calls import StatusReply
from bilberrypath.transport.clock import make_incarnation, read_clock
from bilberrypath.transport.datagrams import ConnectedSocket, DatagramSocket
from bilberrypath.transport.flow_daemon import FlowDaemon
from bilberrypath.transport.machine_probe import does_machine_answer

if TYPE_CHECKING:
    from collections.abc import Callable

    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.flow_settings import FlowAgentSettings
    from bilberrypath.protocol.flow_messages import Carry
    from bilberrypath.protocol.flow_packet import PacketCodec
    from bilberrypath.transport.bound_sockets import BoundSockets
    from bilberrypath.types import Address, NodeId, Seconds

LEAVE_TIME: Seconds = 0.05  # for the last heartbeats to go out
LEAVE_LOOK: Seconds = 0.005  # a fraction of the time that a request runs


class FlowAgentDaemon(FlowDaemon):
    """Guard the upstream beside this process."""

    role = "agent"

    def __init__(
        self,
        settings: FlowAgentSettings,
        codec: PacketCodec,
        reload: Callable[[], FlowAgentSettings],
        sockets: BoundSockets,
    ) -> None:
        node = settings.node
        me = make_own_record(
            node.peer_address,
            Role.AGENT,
            node.data_centre,
            settings.service,
            Status.DRAINING,
            make_incarnation(),
        )
        setup = FlowAgentSetup(
            me,
            node.seeds,
            settings.upstream,
            settings.report_period,
            settings.flow_lifetime,
            settings.first_start,
        )
        core = FlowAgent(setup, codec, Random(), read_clock())
        super().__init__(node, core, lambda: reload().node, sockets)
        self._agent_settings = settings

    @property
    def is_ready(self) -> bool:
        """Whether opens can be judged here."""
        return self.core.is_ready and not self.is_stopping

    async def open(self) -> None:
        """Open the sockets to and from the upstream."""
        settings = self._agent_settings
        outbound = self.sockets.take_datagrams(settings.outbound)
        self.keep(DatagramSocket(outbound, self._take_upstream))
        to_upstream = ConnectedSocket(settings.upstream, self._note_refused)
        self._upstream = self.keep(to_upstream)
        core = self.core
        self.metrics.show("revision", lambda: core.routes.revision)
        self.metrics.show("flows", lambda: len(core.flows))
        self.metrics.show("busy", lambda: core.flows.busy_count)
        self.metrics.show("redirects", lambda: len(core.redirects))
        self.metrics.show("searches", lambda: len(core.finder.searches.search_by_flow))

    async def leave(self) -> None:
        """End when no request runs; what comes meanwhile waits for the next process.

        Opens go elsewhere from now on, but flows that are open stay here.
        """
        await asyncio.sleep(LEAVE_TIME)
        while not self.core.may_end:
            await asyncio.sleep(LEAVE_LOOK)

    def use_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take over other seeds while running."""
        self.core.presence.seeds = seeds

    def take_carry(
        self, carry: Carry, sender: Address, now: Seconds
    ) -> list[FlowEffect]:
        """Return what to do with a packet that another process handed here."""
        return self.core.take_carry(carry, sender, now)

    def _take_upstream(self, datagram: bytes, _sender: Address) -> None:
        now = read_clock()
        self.perform_all(self.core.take_upstream_packet(datagram, now), now)

    def _note_refused(self) -> None:
        self.feed(fev.UpstreamUnreachable())

    def send_upstream(self, datagram: bytes) -> None:
        """Send a datagram to the upstream."""
        self._upstream.send(datagram)

    def probe_machine(self, node_id: NodeId) -> None:
        """Find out whether the machine of another agent is there."""
        self.start(self._probe_machine(node_id))

    async def _probe_machine(self, node_id: NodeId) -> None:
        if await does_machine_answer(to_address(node_id)):
            self.feed(fev.MachineAnswered(node_id))

    def describe(self, flow: bytes, now: Seconds) -> StatusReply:
        """Return how the agent stands, or what it knows of a flow."""
        core = self.core
        if flow:
            return _describe_flow(core, flow, now)
        report = core.upstream.watch.report
        unable = core.upstream.find_unable(now)
        values = {
            "node": core.node_id,
            "role": "agent",
            "data_centre": core.presence.me.data_centre,
            "service": core.service,
            "ready": self.is_ready,
            "revision": core.routes.revision,
            "upstream": "" if report is None else report.upstream_id,
            "unable": "" if unable is None else unable.value,
            "flows": len(core.flows),
            "busy": core.flows.busy_count,
            "redirects": len(core.redirects),
            "knows_all_flows": core.upstream.knows_all_flows(now),
        }
        lists = {
            "agents": sorted(core.placement.peer_by_id),
            "silent": sorted(core.silent.since_by_id),
        }
        return StatusReply(values, lists)


def _describe_flow(core: FlowAgent, flow: bytes, now: Seconds) -> StatusReply:
    held = core.flows.get(flow)
    if held is not None:
        values = {
            "holder": core.node_id,
            "open": held.is_open,
            "confirmed": held.confirmed,
            "idle_seconds": round(now - held.seen_at, 3),
            "busy": held.busy_since is not None,
        }
        return StatusReply(values, {})
    place = core.redirects.place_by_flow.get(flow)
    return StatusReply({} if place is None else {"holder": place.holder}, {})
