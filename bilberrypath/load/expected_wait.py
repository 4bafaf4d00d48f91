"""The load of an upstream in terms of the expected wait of one more request.

Utilization compares upstreams of equal speed. Where an upstream's service time clearly
differs from the reference of its service, its load is scaled by the ratio of the two.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bilberrypath.types import Seconds

# Ratios to the reference up to which speeds count as equal. The estimates of equal
# upstreams differ by up to a fifth: heavy tails, and another mix of kinds of request.
DEAD_BAND = 1.25
FULL_BAND = 1.5  # ratio from which the learned speed takes effect in full
# A fast upstream would get so many requests for an equal wait that bursts overflow its
# queue: at 0.9 of capacity 0.8% of requests were lost without this bound, 0.1% with it.
MIN_RELATIVE_TIME = 0.6
MAX_RELATIVE_TIME = 4.0  # a slower upstream gets opens only as its confidence decays
MIN_REFERENCE_CONFIDENCE = 0.5  # of an upstream whose service time is a reference
FULL_REPORTED_CONFIDENCE = 100  # a whole number takes 1 byte in a report, not 9
MAX_SERVICE_TIME: Seconds = 60.0  # a longer one in a report is an error


def is_valid_service_time(value: object) -> bool:
    """Return whether a reported value is a service time, 0 if unknown."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 <= value <= MAX_SERVICE_TIME


def is_valid_confidence(value: object) -> bool:
    """Return whether a reported value is a confidence in hundredths."""
    return type(value) is int and 0 <= value <= FULL_REPORTED_CONFIDENCE


def compute_reference(service_times: Iterable[Seconds]) -> Seconds:
    """Return the median of the known service times of a service, 0 if there is none.

    Examples
    --------
    >>> compute_reference([0.04, 0.0, 0.02, 0.03])
    0.03
    """
    known = sorted(time for time in service_times if time > 0)
    if not known:
        return 0.0
    middle = len(known) // 2
    if len(known) % 2:
        return known[middle]
    return (known[middle - 1] + known[middle]) / 2


def compute_relative_time(
    service_time: Seconds, confidence: float, reference: Seconds
) -> float:
    """Return a service time relative to the reference, exactly 1 if about equal.

    Between ``DEAD_BAND`` and ``FULL_BAND`` the effect grows from none to full, so that
    an estimate at the edge of the band does not change the load abruptly. Confidence
    below 1 moves the result towards 1.

    Examples
    --------
    >>> compute_relative_time(0.048, 1.0, 0.04)
    1.0
    >>> compute_relative_time(0.08, 1.0, 0.04)
    2.0
    >>> compute_relative_time(0.08, 0.5, 0.04)
    1.5
    """
    if service_time <= 0 or reference <= 0 or confidence <= 0:
        return 1.0
    ratio = service_time / reference
    ratio = min(MAX_RELATIVE_TIME, max(MIN_RELATIVE_TIME, ratio))
    distance = max(ratio, 1 / ratio)
    if distance <= DEAD_BAND:
        return 1.0
    effect = min(1.0, math.log(distance / DEAD_BAND) / math.log(FULL_BAND / DEAD_BAND))
    return 1.0 + (ratio - 1.0) * effect * min(1.0, confidence)


def compute_load(utilization: float, slots: int, relative_time: float) -> float:
    """Return the load of one more open at an upstream, in utilization of a usual one.

    At a relative service time of 1 it is the utilization itself.

    Examples
    --------
    >>> compute_load(0.5, 2, 1.0)
    0.5
    >>> compute_load(0.5, 2, 2.0)
    1.5
    """
    if relative_time == 1.0:
        return utilization
    share = 1 / max(1, slots)
    return (utilization + share) * relative_time - share
