"""The throughput of an upstream by the number of requests that it runs."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

CURVE_TIME: Seconds = 10.0  # time constant of the decay
DECAY_INTERVAL: Seconds = 0.5  # a decay at each answer would cost more than it adds
MAX_LEVEL_WEIGHT = 100.0  # answers; their mean varies by 3% with heavy tails
MIN_LEVEL_WEIGHT = 15.0  # answers at a level that make it known
KNEE_THROUGHPUT_SHARE = 0.92  # of the highest; the rest is noise, not a gain
# Of the highest known level. Without a knee, throughput at this share of the level is
# the same share of the highest, well below ``KNEE_THROUGHPUT_SHARE``.
MAX_KNEE_SHARE = 0.8
MAX_LEVELS = 64  # upstreams with more slots than this are not analysed


@define
class ThroughputCurve:
    """How long requests take that start as the 1st, 2nd, ... of ``slots`` running ones.

    The knee of the curve is the least number of running requests above which
    throughput hardly rises. A level that has not been seen of late is unknown, and no
    knee is concluded from it: an upstream that is given few requests because of a low
    knee is tried at higher levels again after some time.
    """

    _slots: int = 1
    _count_by_level: dict[int, float] = Factory(dict)
    _total_by_level: dict[int, float] = Factory(dict)
    _decayed_at: Seconds = 0.0

    def reset(self, slots: int) -> None:
        """Forget everything, for an upstream with a number of slots."""
        self._slots = slots
        self._count_by_level.clear()
        self._total_by_level.clear()

    def record_answer(self, level: int, time: float) -> None:
        """Record the time of a request that started as one of ``level`` running."""
        counts = self._count_by_level
        if level in counts:
            counts[level] += 1.0
            self._total_by_level[level] += time
        elif level <= MAX_LEVELS:
            counts[level] = 1.0
            self._total_by_level[level] = time

    def decay(self, now: Seconds) -> None:
        """Let earlier answers weigh less; to be called a few times per second."""
        if now - self._decayed_at < DECAY_INTERVAL:
            return
        factor = math.exp((self._decayed_at - now) / CURVE_TIME)
        self._decayed_at = now
        for level, count in self._count_by_level.items():
            factor_here = min(factor, MAX_LEVEL_WEIGHT / count) if count else factor
            self._count_by_level[level] = count * factor_here
            self._total_by_level[level] *= factor_here

    def find_knee(self, now: Seconds) -> float:
        """Return the number of running requests above which throughput hardly rises.

        It is the number of slots if that is not known of any lower number.
        """
        self.decay(now)
        throughput_by_level = {
            level: level * count / self._total_by_level[level]
            for level, count in sorted(self._count_by_level.items())
            if count >= MIN_LEVEL_WEIGHT
        }
        if len(throughput_by_level) < 2:
            return float(self._slots)
        enough = KNEE_THROUGHPUT_SHARE * max(throughput_by_level.values())
        highest_level = max(throughput_by_level)
        for level, throughput in throughput_by_level.items():
            if level <= MAX_KNEE_SHARE * highest_level and throughput >= enough:
                return float(level)
        return float(self._slots)
