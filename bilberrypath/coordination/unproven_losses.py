"""Flows that no agent seems to have, while their loss is not proven yet.

The client of a lost flow should be told soon, by a reset. A reset needs the proof that
every agent of the service denies the flow, and the first lookup may miss agents that
are still to join or do not answer. The client sends copies at growing intervals, which
soon exceed its deadline, so the lookup is repeated without waiting for them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.protocol.flow_packet import FlowPacket
    from bilberrypath.types import NodeId, Seconds

RETRY_PERIOD: Seconds = 0.2
RETRY_LIMIT: Seconds = 4.0  # by then an agent that does not answer counts as failed
# After all processes restarted. An agent that is away for planned work is back within
# 6 s, and takes 2 s to join and to hear its upstream.
LATE_AGENT_TIME: Seconds = 8.0
MAX_UNPROVEN_LOSSES = 4096  # flows


@define
class UnprovenLoss:
    """A flow without a known holder.

    ``packet`` is the one of its client that was looked up first, ``forwarded`` the
    message that brought it with the trials that are left, and ``since`` the time of
    that lookup. ``denied_by`` are
    the agents that were found not to have the flow; they are not asked again.
    ``has_complete_record`` is true if it was of a lookup so far.
    """

    forwarded: ForwardedPacket
    packet: FlowPacket
    since: Seconds
    denied_by: set[NodeId]
    has_complete_record: bool = False


@define
class UnprovenLosses:
    """The unproven losses of one agent by flow; at most ``MAX_UNPROVEN_LOSSES``."""

    loss_by_flow: dict[bytes, UnprovenLoss] = Factory(dict)

    def record(
        self,
        forwarded: ForwardedPacket,
        packet: FlowPacket,
        denied_by: set[NodeId],
        now: Seconds,
    ) -> Seconds | None:
        """Record a lookup without a holder; return when to repeat it, or None.

        A loss that is not proven within ``RETRY_LIMIT`` is forgotten, and one above
        the limit is not recorded.
        """
        loss = self.loss_by_flow.get(packet.flow)
        if loss is None:
            if len(self.loss_by_flow) >= MAX_UNPROVEN_LOSSES:
                return None
            loss = UnprovenLoss(forwarded, packet, now, set())
            self.loss_by_flow[packet.flow] = loss
        loss.denied_by.update(denied_by)
        if now - loss.since > RETRY_LIMIT:
            self.forget(packet.flow)
            return None
        return now + RETRY_PERIOD

    def get(self, flow: bytes) -> UnprovenLoss | None:
        """Return the unproven loss of a flow, or None."""
        return self.loss_by_flow.get(flow)

    def forget(self, flow: bytes) -> None:
        """Forget a flow whose loss is proven, or which was found."""
        self.loss_by_flow.pop(flow, None)
