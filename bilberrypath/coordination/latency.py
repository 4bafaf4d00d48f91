"""How long an upstream's answers take, and which are unusually slow.

The mean and the mean deviation are followed with fixed weights, as TCP follows
its round trips (RFC 6298).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
SLOW_SAMPLE_WEIGHT = 1 / 64
SLOW_DEVIATIONS = 4.0
SLOW_FACTOR = 2.5
SLOW_FLOOR: Seconds = 0.02


@define
class LatencyEstimator:
    """Follow the time that answers take.

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
        """Take in the time of one whole answer.

        Slow ones count little, so that an upstream that stays slower for good
        becomes the usual only after a while.
        """
        if self._mean is None:
            self._mean = seconds
            self._deviation = seconds / 2
            return
        if self.is_slow(seconds):
            self._mean += SLOW_SAMPLE_WEIGHT * (seconds - self._mean)
            return
        gap = abs(seconds - self._mean)
        self._deviation += DEVIATION_WEIGHT * (gap - self._deviation)
        self._mean += MEAN_WEIGHT * (seconds - self._mean)

    def estimate(self, guess: Seconds) -> Seconds:
        """Return the mean, or a guess while nothing is known."""
        return guess if self._mean is None else self._mean

    def is_slow(self, seconds: Seconds) -> bool:
        """Return whether an answer that takes so long is unusual."""
        if self._mean is None:
            return False
        usual = self._mean + SLOW_DEVIATIONS * self._deviation
        return seconds > max(SLOW_FLOOR, SLOW_FACTOR * self._mean, usual)
