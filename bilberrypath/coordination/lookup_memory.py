"""What an agent remembers of flows that it looked up; bounded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.coordination.trial_budget import TrialBudget

if TYPE_CHECKING:
    from bilberrypath.protocol.flow_messages import ForwardedPacket
    from bilberrypath.types import Seconds

NOT_FOUND_TTL: Seconds = 0.4  # equals a client's second retransmission timeout
MAX_REMEMBERED_FLOWS = 4096  # flows; the upstream returns a packet within 1 ms


@define
class LookupMemory:
    """Tentative deliveries, and flows that were not found a moment ago.

    The metadata of each tentatively delivered packet is kept, so that the packet can
    be relayed if the upstream returns it. A flow that was not found is kept with the
    time of that lookup. ``_returned_flows`` are those whose packets the upstream
    returned: it has them only if they are opened there anew.
    """

    tentative_by_flow: dict[bytes, ForwardedPacket] = Factory(dict)
    trials: TrialBudget = Factory(TrialBudget)
    _returned_flows: dict[bytes, None] = Factory(dict)
    _not_found_at_by_flow: dict[bytes, float] = Factory(dict)

    def record_not_found(self, flow: bytes, now: Seconds) -> None:
        """Record that a lookup did not find a flow."""
        self._not_found_at_by_flow[flow] = now
        if len(self._not_found_at_by_flow) > MAX_REMEMBERED_FLOWS:
            del self._not_found_at_by_flow[next(iter(self._not_found_at_by_flow))]

    def was_recently_not_found(self, flow: bytes, now: Seconds) -> bool:
        """Return whether a lookup within ``NOT_FOUND_TTL`` did not find the flow."""
        not_found_at = self._not_found_at_by_flow.get(flow, float("-inf"))
        return now - not_found_at < NOT_FOUND_TTL

    def record_returned(self, flow: bytes) -> None:
        """Record that the upstream returned a packet of a flow."""
        self._returned_flows[flow] = None
        if len(self._returned_flows) > MAX_REMEMBERED_FLOWS:
            del self._returned_flows[next(iter(self._returned_flows))]

    def forget_returned(self, flow: bytes) -> None:
        """Forget that a flow was returned, as the upstream has it now."""
        self._returned_flows.pop(flow, None)

    def was_returned(self, flow: bytes) -> bool:
        """Return whether the upstream returned a packet of a flow."""
        return flow in self._returned_flows

    def record_tentative(self, flow: bytes, forwarded: ForwardedPacket) -> None:
        """Keep a packet's metadata for the case that the upstream returns it."""
        self.tentative_by_flow[flow] = forwarded
        if len(self.tentative_by_flow) > MAX_REMEMBERED_FLOWS:
            del self.tentative_by_flow[next(iter(self.tentative_by_flow))]

    def take_tentative(self) -> dict[bytes, ForwardedPacket]:
        """Remove and return all tentative deliveries."""
        tentative, self.tentative_by_flow = self.tentative_by_flow, {}
        return tentative
