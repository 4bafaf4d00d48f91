"""Mean and variation of a series of values in which older values weigh less."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds


@define
class DecayingMean:
    """Mean and variation of values that lose weight exponentially with time.

    ``max_weight`` bounds the sum of the weights, so that at a high rate the last
    ``max_weight`` values count.
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

    def add(self, value: float, now: Seconds) -> None:
        """Add a value of weight 1."""
        decay = math.exp(min(0.0, self.updated_at - now) / self.decay_time)
        if self.weight * decay > self.max_weight - 1:
            decay = (self.max_weight - 1) / self.weight
        self.updated_at = now
        self.weight = self.weight * decay + 1
        self.total = self.total * decay + value
        self.total_of_squares = self.total_of_squares * decay + value * value

    def replace_by(self, other: DecayingMean, max_weight: float) -> None:
        """Take over the values of another mean, with at most some weight."""
        self.weight = min(other.weight, max_weight)
        scale = self.weight / other.weight
        self.total = other.total * scale
        self.total_of_squares = other.total_of_squares * scale
        self.updated_at = other.updated_at
