"""When an agent reports its load, and to which other agents of its service.

Homes choose among a few agents with recent reports, so that each needs to know only
some of them: the messages of an agent do not depend on the size of its service.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from bilberrypath.coordination.effects import SendControl
from bilberrypath.protocol.flow_messages import parse_address

if TYPE_CHECKING:
    from random import Random

    from bilberrypath.protocol.flow_messages import LoadReport
    from bilberrypath.types import NodeId, Seconds

LOAD_REPORT_PERIOD: Seconds = 0.5  # ten times the duration of a request
LOAD_REPORT_FANOUT = 4  # agents per period; each then knows nine fresh loads of others
# A rise since the last report that is sent at once: an upstream that fails, or that has
# a request waiting for each slot. A single request makes half of this with one slot.
URGENT_RISE = 1.0


@define
class LoadReporter:
    """The load that an agent reported last, and the time of its next report."""

    rng: Random
    next_at: Seconds
    _reported_utilization: float = 0.0

    def is_due(self, utilization: float, now: Seconds) -> bool:
        """Return whether to report now.

        That is so each period, and at once when the load has risen so far that others
        would send opens to an upstream that fails or has a queue.
        """
        has_risen = utilization - self._reported_utilization > URGENT_RISE
        return now >= self.next_at or has_risen

    def send(
        self, report: LoadReport, peers: list[NodeId], now: Seconds
    ) -> list[SendControl]:
        """Return the effects that send a report to a random sample of the peers."""
        self.next_at = now + LOAD_REPORT_PERIOD
        self._reported_utilization = report.utilization
        recipients = self.rng.sample(peers, min(LOAD_REPORT_FANOUT, len(peers)))
        return [SendControl(parse_address(node_id), report) for node_id in recipients]
