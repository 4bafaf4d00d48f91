"""Mean and variation of a series of values in which older values weigh less."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds


DECAY_STEPS = 20  # per decay time; a decay for each value would cost more than it adds


@define
class DecayingMean:
    """Mean and variation of values that lose weight exponentially with time.

    The decay is applied in steps of ``decay_time / DECAY_STEPS``. ``max_weight`` bounds
    the sum of the weights, so that at a high rate the last ``max_weight`` values count.
    """

    decay_time: Seconds
    max_weight: float = float("inf")
    weight: float = 0.0
    total: float = 0.0
    total_of_squares: float = 0.0
    updated_at: Seconds = 0.0

    @property
    def mean(self) -> float:
        """The mean, 0 without values."""
        return self.total / self.weight if self.weight else 0.0

    @property
    def variation(self) -> float:
        """The standard deviation over the mean."""
        mean = self.mean
        variance = self.total_of_squares / self.weight - mean * mean
        return math.sqrt(max(0.0, variance)) / mean

    def compute_weight(self, now: Seconds) -> float:
        """Return the sum of the weights at a time."""
        return self.weight * math.exp(min(0.0, self.updated_at - now) / self.decay_time)

    def add(self, count: int, total: float, squares: float, now: Seconds) -> None:
        """Add ``count`` values of weight 1, given as their sum and that of squares."""
        if (now - self.updated_at) * DECAY_STEPS > self.decay_time:
            self._scale(math.exp((self.updated_at - now) / self.decay_time))
            self.updated_at = now
        if self.weight > self.max_weight:
            self._scale(self.max_weight / (self.weight + count))
        self.weight += count
        self.total += total
        self.total_of_squares += squares

    def reset(self) -> None:
        """Forget all values."""
        self.weight = self.total = self.total_of_squares = 0.0

    def _scale(self, factor: float) -> None:
        self.weight *= factor
        self.total *= factor
        self.total_of_squares *= factor

    def replace_by(self, other: DecayingMean, max_weight: float) -> None:
        """Take over the values of another mean, with at most some weight."""
        self.weight = min(other.weight, max_weight)
        scale = self.weight / other.weight
        self.total = other.total * scale
        self.total_of_squares = other.total_of_squares * scale
        self.updated_at = other.updated_at
