"""Which table of routes is in force here, and how newer ones come.

The revision only rises, whoever offers a table: the platform's service or
another process. Whoever hears of a newer revision fetches what changed since its own
table, or the whole where the other process does not know that one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.coordination.effects import Changed, Count
from bilberrypath.coordination.flow_effects import PullRoutes, RoutesAdopted
from bilberrypath.protocol.flow_packet import END_LENGTH, pack_end
from bilberrypath.state.route_delta import (
    NO_TABLE,
    RoutesReply,
    StepMismatch,
    apply_step,
    index_table,
    make_step,
)
from bilberrypath.state.routes import RouteTable

if TYPE_CHECKING:
    from bilberrypath.coordination.flow_effects import FlowEffect
    from bilberrypath.state.route_delta import IndexedTable, RouteStep
    from bilberrypath.state.routes import FlowRoute, UpstreamLimits
    from bilberrypath.types import NodeId, Revision, Seconds, ServiceName

PULL_TIMEOUT: Seconds = 0.5  # a fetch takes a few ms; the next source is asked then
MAX_STEPS = 32  # changes kept; at 14,000 a day about three minutes of them


@define
class RouteKeeper:
    """Hold the table in force, with its routes by the address in a flow's key."""

    route_by_end: dict[bytes, FlowRoute] = Factory(dict)
    heard_revision: Revision = 0
    _held: IndexedTable = Factory(lambda: index_table(RouteTable()))
    _step_by_digest: dict[int, RouteStep] = Factory(dict)
    _needs_whole: bool = True
    _pull_until: Seconds = float("-inf")

    @property
    def table(self) -> RouteTable:
        """The table in force in this process, an empty one before the first."""
        return self._held.table

    @property
    def limits_by_service(self) -> dict[ServiceName, UpstreamLimits]:
        """The limits of the table in force."""
        return self._held.limits_by_service

    @property
    def revision(self) -> Revision:
        """The revision in force in this process, 0 before the first."""
        return self._held.table.revision

    @property
    def is_behind(self) -> bool:
        """Whether another process is known to have a newer table."""
        return self.heard_revision > self.revision

    @property
    def asks_since(self) -> int:
        """The digest of the table that a fetch is to begin with."""
        return NO_TABLE if self._needs_whole else self._held.digest

    def find_route(self, flow: bytes) -> FlowRoute | None:
        """Return the route of a flow, or None."""
        return self.route_by_end.get(flow[END_LENGTH:])

    def learn_of(
        self, peer: NodeId, revision: Revision, now: Seconds
    ) -> list[FlowEffect]:
        """Fetch what a peer has and we have not, one fetch at a time."""
        if revision <= self.revision:
            return []
        self.heard_revision = max(self.heard_revision, revision)
        if now < self._pull_until:
            return []
        self._pull_until = now + PULL_TIMEOUT
        return [PullRoutes(peer)]

    def allow_pull(self) -> None:
        """Allow the next fetch at once, as this one is over."""
        self._pull_until = float("-inf")

    def reply_since(self, digest: int) -> RoutesReply:
        """Return what leads from another process's table to the one in force."""
        steps = []
        while digest != self._held.digest:
            step = self._step_by_digest.get(digest)
            if step is None or len(steps) == MAX_STEPS:
                return RoutesReply(whole=self.table)
            steps.append(step)
            digest = step.digest
        return RoutesReply(tuple(steps))

    def take_reply(self, reply: RoutesReply) -> list[FlowEffect]:
        """Take over what another process answered to a fetch."""
        self.allow_pull()
        if reply.whole is not None:
            return self.offer(reply.whole)
        effects: list[FlowEffect] = []
        for step in reply.steps:
            try:
                after = apply_step(self._held, step)
            except StepMismatch:
                self._needs_whole = True
                return [*effects, Count("routes", "step_mismatch")]
            if after.table.revision > self.revision:
                effects = self._take_over(after, step)
        return effects

    def offer(self, table: RouteTable) -> list[FlowEffect]:
        """Take over a table unless the one in force is as new."""
        self.allow_pull()
        if table.revision <= self.revision:
            return []
        after = index_table(table)
        return self._take_over(after, make_step(self._held, after))

    def _take_over(self, after: IndexedTable, step: RouteStep) -> list[FlowEffect]:
        before, self._held = self._held, after
        self._needs_whole = False
        self._keep_step(before.digest, step)
        for address in step.removed_routes:
            self.route_by_end.pop(pack_end(address), None)
        for route in step.routes:
            self.route_by_end[pack_end(route.address)] = route
        table = after.table
        fields = {
            "revision": table.revision,
            "before": before.table.revision,
            "version": table.version,
            "routes": len(table.routes),
            "out": sorted(table.out),
        }
        return [Changed("routes", fields), RoutesAdopted(table)]

    def _keep_step(self, since: int, step: RouteStep) -> None:
        """Keep how this table came from the one before, for those who have that."""
        self._step_by_digest[since] = step
        if len(self._step_by_digest) > MAX_STEPS:
            del self._step_by_digest[next(iter(self._step_by_digest))]
