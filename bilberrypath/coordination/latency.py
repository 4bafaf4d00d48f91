"""The estimate of an upstream's latency, and the detection of slow answers.

The mean and the mean deviation are exponentially weighted moving averages with
fixed weights, as in TCP's round-trip time estimator (RFC 6298).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
SLOW_SAMPLE_WEIGHT = 1 / 64  # of a slow answer in the mean
# An answer is slow if it exceeds all three: the mean by SLOW_DEVIATIONS times the mean
# deviation, SLOW_FACTOR times the mean, and SLOW_FLOOR.
SLOW_DEVIATIONS = 4.0
SLOW_FACTOR = 2.5
SLOW_FLOOR: Seconds = 0.02


@define
class LatencyEstimator:
    """An estimator of the mean latency and its mean deviation, both in seconds.

    Examples
    --------
    >>> latency = LatencyEstimator()
    >>> for _ in range(20):
    ...     latency.add(0.05)
    >>> latency.is_slow(0.06), latency.is_slow(0.2)
    (False, True)
    """

    _mean: Seconds | None = None
    _deviation: Seconds = 0.0

    def add(self, seconds: Seconds) -> None:
        """Add the latency of one complete answer.

        Slow answers have a small weight, so that the mean adapts only gradually to
        an upstream that has become slower permanently.
        """
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 2
            return
        if self.is_slow(seconds):
            self._mean += SLOW_SAMPLE_WEIGHT * (seconds - self._mean)
            return
        deviation = abs(seconds - self._mean)
        self._deviation += DEVIATION_WEIGHT * (deviation - self._deviation)
        self._mean += MEAN_WEIGHT * (seconds - self._mean)

    def estimate(self, default: Seconds) -> Seconds:
        """Return the mean, or ``default`` before the first answer."""
        return default if self._mean is None else self._mean

    def is_slow(self, seconds: Seconds) -> bool:
        """Return whether a latency is unusually high; false before the first answer."""
        if self._mean is None:
            return False
        deviation_limit = self._mean + SLOW_DEVIATIONS * self._deviation
        return seconds > max(SLOW_FLOOR, SLOW_FACTOR * self._mean, deviation_limit)
