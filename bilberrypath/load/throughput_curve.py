"""The throughput of an upstream by the number of requests that it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define

from bilberrypath.load.decaying_mean import DecayingMean

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

CURVE_TIME: Seconds = 10.0  # time constant of the decay
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
    _time_by_level: dict[int, DecayingMean] = Factory(dict)

    def reset(self, slots: int) -> None:
        """Forget everything, for an upstream with a number of slots."""
        self._slots = slots
        self._time_by_level.clear()

    def record_answer(self, level: int, time: float, now: Seconds) -> None:
        """Record the time of a request that started as one of ``level`` running."""
        if level > MAX_LEVELS:
            return
        mean = self._time_by_level.get(level)
        if mean is None:
            mean = DecayingMean(CURVE_TIME, MAX_LEVEL_WEIGHT)
            self._time_by_level[level] = mean
        mean.add(1, time, time * time, now)

    def find_knee(self, now: Seconds) -> float:
        """Return the number of running requests above which throughput hardly rises.

        It is the number of slots if that is not known of any lower number.
        """
        throughput_by_level = {
            level: level / mean.mean
            for level, mean in sorted(self._time_by_level.items())
            if mean.compute_weight(now) >= MIN_LEVEL_WEIGHT
        }
        if len(throughput_by_level) < 2:
            return float(self._slots)
        enough = KNEE_THROUGHPUT_SHARE * max(throughput_by_level.values())
        highest_level = max(throughput_by_level)
        for level, throughput in throughput_by_level.items():
            if level <= MAX_KNEE_SHARE * highest_level and throughput >= enough:
                return float(level)
        return float(self._slots)
