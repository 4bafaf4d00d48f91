"""Opens that an agent may have read so late that another agent has taken them.

Balancers and agents that get no answer to an open hand it to another agent. An agent
that did not run meanwhile still finds its copy in the socket. If it refused that with a
reset, the reset could reach the client of an established flow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, field

from bilberrypath.coordination import effects as fx
from bilberrypath.coordination import flow_effects as ffx

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_agent import FlowAgent
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.types import Seconds

# Within which this agent hears of one that had just joined and took the open: two
# heartbeats, as one may be lost.
UNTAKEN_OPEN_TTL: Seconds = 2.0
MAX_UNTAKEN_OPENS = 4096  # flows


@define
class LateOpens:
    """The part of an agent that leaves the refusal of late opens to their balancers.

    A balancer knows whether it has given an open to another agent.
    """

    agent: FlowAgent = field(repr=False)
    _untaken_at_by_flow: dict[bytes, Seconds] = Factory(dict)

    def may_be_late(self, forwarded: ForwardedPacket, now: Seconds) -> bool:
        """Return whether an open that is read now may have been given to others.

        Its balancer follows it up only if it waits for the location of the flow.
        """
        pause_detector = self.agent.pause_detector
        return forwarded.wants_location and pause_detector.may_have_waited(now)

    def leave_refusal(
        self, forwarded: ForwardedPacket, flow: bytes, reason: str, now: Seconds
    ) -> list[FlowEffect]:
        """Have the balancer refuse an open unless it has given it to another agent."""
        self._untaken_at_by_flow[flow] = now
        if len(self._untaken_at_by_flow) > MAX_UNTAKEN_OPENS:
            del self._untaken_at_by_flow[next(iter(self._untaken_at_by_flow))]
        tried = forwarded.tried_agents
        fields = {"reason": reason, "tried": list(tried)}
        return [
            *self.agent.send_location(
                forwarded, flow, "", tried_agents=tried, refuses_open=True
            ),
            fx.Count("open", "refusal_left"),
            ffx.LogDecision("open_refusal_left", flow, fields),
        ]

    def may_be_taken(self, flow: bytes, now: Seconds) -> bool:
        """Return whether an agent that is not listed here yet may have taken an open.

        That is possible for ``UNTAKEN_OPEN_TTL`` after its refusal was left.
        """
        untaken_at = self._untaken_at_by_flow.get(flow, float("-inf"))
        return now - untaken_at < UNTAKEN_OPEN_TTL
