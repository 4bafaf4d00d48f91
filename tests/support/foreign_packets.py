"""The check of where the packets of open flows arrived.

While a flow is open and its upstream serves it, no span of ``REORDER_TIME`` may have
``FOREIGN_COUNT`` packets of the flow at other upstreams and none at its own. Excused
are spans in which the process beside its upstream was killed or suspended, and those
less than ``STABLE_WINDOW`` later; planned restarts excuse nothing.
"""

import time
from itertools import pairwise

from attrs import define

REORDER_TIME = 2.0  # seconds
FOREIGN_COUNT = 3
STABLE_WINDOW = 4.0  # seconds; the shorter one of the users' deployments


@define
class Gap:
    """A time without packets of a flow at its upstream, and those at others in it."""

    start: float
    end: float
    foreign: list  # times of arrival


def find_gap(own, foreign, start, end, excused=()):
    """Return the first gap that contains a violation, or None.

    ``own`` and ``foreign`` are the sorted times of arrival at the flow's upstream and
    at others, of which those between ``start`` and ``end`` are checked. ``excused``
    has the (start, end) of times that no gap includes.
    """
    bounds = [start, *(at for at in own if start < at < end), end]
    for previous, following in pairwise(bounds):
        for first, last in _leave_out(excused, previous, following):
            between = [at for at in foreign if first < at < last]
            spans = zip(between, between[FOREIGN_COUNT - 1 :], strict=False)
            is_long = last - first >= REORDER_TIME
            if is_long and any(b - a < REORDER_TIME for a, b in spans):
                return Gap(first, last, between)
    return None


def _leave_out(excused, start, end):
    """Yield the (start, end) of what remains of a time without those excused."""
    for excused_start, excused_end in sorted(excused):
        if excused_start < end and excused_end > start:
            yield start, excused_start
            start = excused_end
    yield start, end


def find_violations(deployment, flow_lifetime):
    """Yield the flow, its upstream's host and the gap of each violation.

    A flow is checked from its first packet at its upstream until that upstream stops
    or falls silent, for ``flow_lifetime`` at most.
    """
    upstreams = deployment.upstream_by_host.values()
    for flow, client in deployment.fabric.client_by_flow.items():
        for upstream in upstreams:
            own = upstream.held_arrivals.get(flow)
            if not own or upstream.first_sequence != client.acknowledged - 1:
                continue
            foreign = sorted(
                at
                for other in upstreams
                if other is not upstream
                for at in other.foreign_arrivals.get(flow, ())
            )
            start = own[0]
            limits = [start + flow_lifetime, time.monotonic(), *upstream.ends]
            end = min(at for at in limits if at > start)
            excused = [
                (since, until + STABLE_WINDOW)
                for since, until in deployment.disruptions_by_host[upstream.host]
            ]
            gap = find_gap(own, foreign, start, end, excused)
            if gap is not None:
                yield flow, upstream.host, gap
