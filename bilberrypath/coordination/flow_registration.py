"""Registration of an agent for datagram flows with its balancers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from bilberrypath.coordination.effects import SendControl
from bilberrypath.coordination.events import STARTUP_WINDOW
from bilberrypath.coordination.registration import Registration
from bilberrypath.protocol.flow_messages import FlowHeartbeat, FlowHeartbeatAck
from bilberrypath.state.member_digest import digest_agents

if TYPE_CHECKING:
    from bilberrypath.coordination.effects import Effect
    from bilberrypath.coordination.open_placement import OpenPlacement
    from bilberrypath.types import Address, Revision, Seconds


@define
class FlowRegistration(Registration):
    """A registration whose heartbeats carry the routes revision and agents digest.

    For ``STARTUP_WINDOW`` after the start one is sent at each tick, so that agents
    that start together discover each other quickly. ``_has_list`` is true once a list
    of agents was adopted.
    """

    routes_revision: Revision = 0
    agents_digest: int = 0
    _has_list: bool = False
    _startup_until: Seconds | None = None

    def tick(self, load: int, running: int, now: Seconds) -> list[Effect]:
        """Return the heartbeats that are due."""
        if self._startup_until is None:
            self._startup_until = now + STARTUP_WINDOW
        if now < self._startup_until:
            self._next_heartbeat_at = min(self._next_heartbeat_at, now)
        return super().tick(load, running, now)

    def send_heartbeats(self, load: int, running: int, now: Seconds) -> list[Effect]:
        """Return a heartbeat for each target, or for seeds while no target is known.

        ``load`` and ``running`` are not used: agents of datagram flows send their load
        to other agents, in load reports.
        """
        return [
            SendControl(
                target,
                FlowHeartbeat(
                    self.own_member,
                    self.freshness.start_exchange(now),
                    self.routes_revision,
                    self.agents_digest,
                    takes_changes=True,
                ),
            )
            for target in self._list_targets(now)
        ]

    def adopt_agents(
        self, ack: FlowHeartbeatAck, placement: OpenPlacement, now: Seconds
    ) -> bool:
        """Adopt the list of agents in an acknowledgement, or the changes to it.

        Return whether this is the first list, or an agent came or went. Changes to
        another list than the one held here are ignored: the next heartbeat names the
        digest that they must apply to.
        """
        own = self.own_member
        if ack.agents is not None:
            is_changed = placement.update_agents(ack.agents, own.node_id, now)
            self.agents_digest = digest_agents(ack.agents)
        elif ack.changed_agents and ack.base_digest == self.agents_digest:
            is_changed = placement.apply_changes(
                ack.changed_agents, own.service, own.node_id, now
            )
            self.agents_digest = ack.agents_digest
        else:
            return False
        is_first_list, self._has_list = not self._has_list, True
        return is_changed or is_first_list

    def handle_flow_ack(
        self, ack: FlowHeartbeatAck, balancer: Address, now: Seconds
    ) -> bool:
        """Process an acknowledgement; return whether it matches a sent heartbeat."""
        if self.freshness.confirm(ack.sequence) is None:
            return False
        self.record_balancer(balancer, now)
        if ack.heartbeat_targets:
            self._heartbeat_targets = ack.heartbeat_targets
        self._refute_record(ack.known_record)
        return True
