"""Pressure of a service: the share of its upstreams that have no room.

An agent knows the loads that other agents report to it. From them it derives which
data centres have no upstream with room, and compares agents in and outside the
client's data centre: an open stays near its client while an upstream there has room,
and goes elsewhere to the extent that none there has.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bilberrypath.types import DataCentreName

# Running requests over slots. At 1 each slot has a request, and the next one queues.
FULL_UTILIZATION = 1.0
# Shares of upstreams without room. One of the nine recent reports that an agent has
# changes the share by 0.11; the distance between the limits is more than three.
ENTER_SHARE = 0.9
LEAVE_SHARE = 0.5
MIN_KNOWN_UPSTREAMS = 2  # with one, each of its requests would change the pressure
# Of the slots: the queue that an open near its client accepts rather than leave its
# data centre, before and after that data centre is full.
STAY_MARGIN = 0.25
SPILL_MARGIN = 0.1


@frozen
class UpstreamLoad:
    """What an agent knows of one upstream of its service.

    ``utilization`` is running requests over slots.
    """

    data_centre: DataCentreName
    utilization: float
    may_take_opens: bool = True

    @property
    def has_room(self) -> bool:
        """Whether an open sent there now would probably find a free slot."""
        return self.may_take_opens and self.utilization < FULL_UTILIZATION


@frozen
class ServicePressure:
    """The share of upstreams without room, in all and by data centre.

    ``known_count`` is the number of upstreams with a recent load. ``is_high`` and
    ``full_data_centres`` change with hysteresis.
    """

    share: float = 0.0
    known_count: int = 0
    is_high: bool = False
    share_by_data_centre: Mapping[DataCentreName, float] = Factory(dict)
    full_data_centres: frozenset[DataCentreName] = frozenset()


NO_PRESSURE = ServicePressure()


def compute_share_without_room(loads: Iterable[UpstreamLoad]) -> float:
    """Return the share of upstreams without room; 0 if none is known.

    Examples
    --------
    >>> compute_share_without_room([UpstreamLoad("a", 0.2), UpstreamLoad("a", 1.5)])
    0.5
    """
    rooms = [load.has_room for load in loads]
    return rooms.count(False) / len(rooms) if rooms else 0.0


def compute_spillover_load(
    utilization: float, is_near: bool, is_near_full: bool
) -> float:
    """Return the load by which agents in all data centres are compared.

    An agent outside the client's data centre counts as full while it has room, so that
    it is never better than a near one with room. Above that, the load is divided over
    all data centres.

    Examples
    --------
    >>> compute_spillover_load(0.1, is_near=False, is_near_full=False)
    1.25
    >>> compute_spillover_load(0.9, is_near=True, is_near_full=False)
    0.9
    """
    if is_near:
        return utilization
    margin = SPILL_MARGIN if is_near_full else STAY_MARGIN
    return max(utilization, FULL_UTILIZATION) + margin


@define
class PressureTracker:
    """The pressure of one service, as known to one agent."""

    pressure: ServicePressure = NO_PRESSURE

    def update(self, loads: list[UpstreamLoad]) -> bool:
        """Derive the pressure from recent loads; return whether a limit was crossed.

        ``loads`` has this agent's own upstream and those whose report is recent.
        Upstreams without a recent report count neither as full nor as free.
        """
        before = self.pressure
        by_data_centre: dict[DataCentreName, list[UpstreamLoad]] = {}
        for load in loads:
            by_data_centre.setdefault(load.data_centre, []).append(load)
        shares = {
            name: compute_share_without_room(group)
            for name, group in sorted(by_data_centre.items())
        }
        share = compute_share_without_room(loads)
        is_known = len(loads) >= MIN_KNOWN_UPSTREAMS
        self.pressure = ServicePressure(
            share,
            len(loads),
            is_known and _is_above(share, before.is_high),
            shares,
            frozenset(
                name
                for name, value in shares.items()
                if _is_above(value, name in before.full_data_centres)
            ),
        )
        return (before.is_high, before.full_data_centres) != (
            self.pressure.is_high,
            self.pressure.full_data_centres,
        )


def _is_above(share: float, was_above: bool) -> bool:
    return share >= (LEAVE_SHARE if was_above else ENTER_SHARE)
