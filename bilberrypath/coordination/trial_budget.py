"""How many upstreams may be sent a packet of a flow that they may not have.

An agent that started after its upstream learns by a packet whether the upstream has a
flow. While the flow's own agent does not answer, such trials reach only upstreams that
do not have it. The third such packet within two seconds breaks the flow.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.types import Seconds

MAX_TRIALS = 2  # upstreams in any TRIAL_WINDOW; the third packet breaks the flow
TRIAL_WINDOW: Seconds = 2.5  # the two seconds, and delays on the way
MAX_FLOWS = 4096


@define
class TrialBudget:
    """The times of the latest trials by flow, at most ``MAX_FLOWS`` flows."""

    _times_by_flow: dict[bytes, list[Seconds]] = Factory(dict)

    def count_left(self, flow: bytes, now: Seconds) -> int:
        """Return how many more trials a flow may have now."""
        times = self._times_by_flow.get(flow, ())
        return MAX_TRIALS - sum(now - at < TRIAL_WINDOW for at in times)

    def list_recent(
        self, now: Seconds, flows: Iterable[bytes] | None = None
    ) -> list[tuple[bytes, Seconds]]:
        """Return the flow and the age of each trial that counts now.

        With ``flows`` only the trials of these are listed.
        """
        return [
            (flow, now - at)
            for flow in (self._times_by_flow if flows is None else flows)
            for at in self._times_by_flow.get(flow, ())
            if now - at < TRIAL_WINDOW
        ]

    def learn(self, trials: Iterable[tuple[bytes, Seconds]], now: Seconds) -> None:
        """Record trials that another agent knows of, given by flow and age."""
        for flow, age in trials:
            if 0 <= age < TRIAL_WINDOW:
                self.record(flow, 1, now - age)

    def record(self, flow: bytes, count: int, now: Seconds) -> None:
        """Record trials of a flow; the latest ``MAX_TRIALS`` are kept."""
        times = [*self._times_by_flow.get(flow, ()), *[now] * min(count, MAX_TRIALS)]
        self._times_by_flow[flow] = sorted(times)[-MAX_TRIALS:]
        if len(self._times_by_flow) > MAX_FLOWS:
            del self._times_by_flow[next(iter(self._times_by_flow))]
