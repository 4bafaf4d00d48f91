"""The speed of an upstream, measured by its agent from requests and answers.

The upstream runs up to ``slots`` requests at once and queues others in order of
arrival. So the running ones are the oldest without an answer, and the time that a
request ran is known: from when it became one of them, or was sent, until its answer.
The sum of these times is the slot time used (the integral of the smaller of requests in
flight and slots), so that its ratio to the number of answers is the service time by
Little's law. Neither a queue nor a low load biases it.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from operator import attrgetter
from typing import TYPE_CHECKING

import msgspec
from attrs import Factory, define, frozen

from bilberrypath.load.decaying_mean import DecayingMean
from bilberrypath.load.throughput_curve import ThroughputCurve

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

UPLOAD_KIND = (
    "upload"  # runs once its bytes have arrived, which takes long on a slow link
)
FAST_TIME: Seconds = 0.6  # half of a change of speed shows within 0.4 s
SLOW_TIME: Seconds = 8.0  # less would leave too few answers at a few per second
MAX_SLOW_WEIGHT = 40.0  # answers; the mean of as many varies by 5% with heavy tails
MIN_FAST_WEIGHT = 4.0  # answers in the fast window that may show a change
MIN_CHANGE = 1.16  # ratio of speeds; a smaller change is followed slowly
CHANGE_DEVIATIONS = 3.5  # standard errors that a change of speed must exceed
MAX_VARIATION = 0.35  # deviation over mean that is assumed; a change itself adds to it
CHANGED_WEIGHT = 6.0  # answers that a mean across a change of speed counts as
FULL_CONFIDENCE_WEIGHT = 20.0  # answers
LEAST_WEIGHT = 0.5  # answers; with less, nothing is known
MAX_OUTLIER = 2.2  # times the mean; a rare long request counts as no more
# Times the mean; an answer in a shorter time ran no request: it was shed or failed.
MIN_RUN_SHARE = 1 / 8
LOST_AFTER: Seconds = 1.0  # a running request without an answer was abandoned
LOST_AFTER_SHARE = 12.0  # times the mean; more than the longest requests take
WORK_MEMORY = 200  # answers that the mean work of a kind covers
MIX_ANSWERS = 2000  # a change of the mix shows in the service time this slowly
BATCH_ANSWERS = 4
BATCH_TIME: Seconds = 0.1  # without an answer, after which a batch is not kept back
MAX_KINDS = 16
MAX_RUNNING = 256  # requests in flight that are tracked, for the memory
FIRST_ANSWERS = 3  # of a kind; from their median on, one long request has little weight
SENT_TOLERANCE: Seconds = 1e-9  # rounding of times that were shifted for a pause


@frozen
class SpeedEstimate:
    """What is known of the speed of an upstream.

    ``service_time`` is that of one request in one slot in seconds, 0 if unknown.
    ``confidence`` is 0 if nothing is known and 1 with as many answers as weigh in.
    ``age`` is the time since the last answer that counted. ``limit`` is the number of
    running requests above which throughput does not rise, and ``shed_at`` the number in
    flight above which the upstream sheds requests, None if that was not seen.
    """

    service_time: Seconds
    confidence: float
    age: Seconds
    limit: float
    shed_at: int | None


class RunningRequest(msgspec.Struct, gc=False):
    """A request in flight: ``started_at`` is None while it is queued.

    ``ahead`` is the number of requests that were in flight when it was sent. It is a
    struct as one is made for each request, which takes a third of the time.
    """

    sent_at: Seconds
    started_at: Seconds | None
    ahead: int


@define
class KindWork:
    """The mean work of one kind of request, at the slowness that was measured with it.

    ``share`` is the number of its answers, halved from time to time. ``mean`` is 0
    until ``FIRST_ANSWERS`` were seen, whose work is kept in ``first``.
    """

    mean: Seconds = 0.0
    first: list[Seconds] = Factory(list)
    count: int = 0
    share: float = 0.0

    def take_first(self, work: Seconds) -> list[Seconds]:
        """Return the work of the answers that can be learned from, one of ``work``.

        Those before the mean is known are kept until it is.
        """
        if self.mean:
            return [work]
        self.first.append(work)
        if len(self.first) < FIRST_ANSWERS:
            return []
        self.mean = sorted(self.first)[FIRST_ANSWERS // 2]
        works, self.first = self.first, []
        return works


@define
class UpstreamSpeed:
    """The speed of one upstream, and the concurrency that it takes.

    An answer's time is divided by the mean work of its kind, which gives the slowness
    of the upstream independent of the mix of kinds. ``_slow`` is its mean over the
    last answers, and ``_fast`` that of the last second: where they differ clearly, the
    speed has changed, and ``_slow`` starts anew from ``_fast``. ``_running`` holds the
    requests in flight in the order of ``sent_at``; the first ``_slots`` of them run.
    Requests that are sent before ``_learns_from`` are not measured.
    """

    _slots: int = 1
    _running: list[RunningRequest] = Factory(list)
    _work_by_kind: dict[str, KindWork] = Factory(dict)
    _fast: DecayingMean = Factory(lambda: DecayingMean(FAST_TIME))
    _slow: DecayingMean = Factory(lambda: DecayingMean(SLOW_TIME, MAX_SLOW_WEIGHT))
    _curve: ThroughputCurve = Factory(ThroughputCurve)
    _answered_at: Seconds = float("-inf")
    _learns_from: Seconds = float("-inf")
    _shed_at: int | None = None
    _answer_count: int = 0
    _batch_count: int = 0
    _batch_total: float = 0.0
    _batch_squares: float = 0.0

    @property
    def shed_at(self) -> int | None:
        """The number in flight above which the upstream sheds, None if not seen."""
        return self._shed_at

    def record_sent(self, kind: str, now: Seconds) -> None:
        """Record that a request was sent to the upstream."""
        if now < self._learns_from:
            return
        running = self._running
        if running and now - running[0].sent_at > LOST_AFTER:
            self._drop_lost(now)
        ahead = len(running)
        if ahead >= MAX_RUNNING:
            return
        started_at = now if ahead < self._slots else None
        running.append(RunningRequest(now, started_at, ahead))

    def record_answered(self, kind: str, sent_at: Seconds, now: Seconds) -> None:
        """Record the answer to a request that was sent at ``sent_at``.

        One of a request that is not known to be in flight is ignored.
        """
        running = self._running
        is_oldest = running and running[0].sent_at == sent_at
        index = 0 if is_oldest else self._find(sent_at)
        if index is None:
            return
        if index >= self._slots and self._is_shed(kind, sent_at, now):
            self._shed_at = self._running.pop(index).ahead
            return
        request = self._end(index, now)
        if self._shed_at is not None and request.ahead >= self._shed_at:
            self._shed_at = request.ahead + 1
        level = min(request.ahead + 1, self._slots)
        self._learn(kind, now - request.started_at, level, now)

    def record_failed(self, kind: str, sent_at: Seconds, now: Seconds) -> None:
        """Record that a request was reset or abandoned; it is not measured."""
        index = self._find(sent_at)
        if index is not None:
            self._end(index, now)

    def set_slots(self, slots: int) -> None:
        """Set how many requests the upstream runs at once.

        Queued requests that run now are taken to have started when the last was sent.
        """
        slots = max(1, slots)
        if slots == self._slots:
            return
        self._slots = slots
        self._curve.reset(slots)
        for request in self._running[slots:]:
            request.started_at = None
        for request in self._running[:slots]:
            if request.started_at is None:
                request.started_at = self._running[-1].sent_at

    def forget(self, now: Seconds) -> None:
        """Forget everything: the upstream is another one, or has restarted."""
        self._running.clear()
        self._forget_speed()
        self._curve.reset(self._slots)
        self._answered_at = float("-inf")
        self._shed_at = None

    def learn_from(self, time: Seconds) -> None:
        """Set the time from which requests are measured: the end of a cold start."""
        self._learns_from = time

    def shift_for_pause(self, pause: Seconds) -> None:
        """Leave out a pause of this process.

        ``sent_at`` of the answers to requests in flight is later by the pause, too.
        """
        for request in self._running:
            request.sent_at += pause
            if request.started_at is not None:
                request.started_at += pause

    def estimate(self, now: Seconds) -> SpeedEstimate:
        """Return what is known of the upstream's speed."""
        self._add_batch(now)
        weight = self._slow.compute_weight(now)
        limit = self._curve.find_knee(now)
        age = now - self._answered_at
        if weight < LEAST_WEIGHT:
            return SpeedEstimate(0.0, 0.0, age, limit, self._shed_at)
        service_time = self._slow.mean * self._compute_mean_work()
        confidence = min(1.0, weight / FULL_CONFIDENCE_WEIGHT)
        return SpeedEstimate(service_time, confidence, age, limit, self._shed_at)

    def _find(self, sent_at: Seconds) -> int | None:
        """Return the index of the request in flight that was sent at a time."""
        running = self._running
        sent_after = sent_at - SENT_TOLERANCE
        index = bisect_left(running, sent_after, key=attrgetter("sent_at"))
        if index < len(running) and running[index].sent_at <= sent_at + SENT_TOLERANCE:
            return index
        return None

    def _end(self, index: int, now: Seconds) -> RunningRequest:
        """Remove a request from those in flight, and start the next queued one.

        A request that was answered although an older one should run in its place has
        used the slot of that one until now.
        """
        running, slots = self._running, self._slots
        request = running.pop(index)
        if request.started_at is None:
            replaced = running[slots - 1]
            request.started_at, replaced.started_at = replaced.started_at, now
        elif len(running) >= slots:
            running[slots - 1].started_at = now
        return request

    def _drop_lost(self, now: Seconds) -> None:
        """Remove running requests that were abandoned without notice."""
        limit = LOST_AFTER
        if self._slow.weight >= LEAST_WEIGHT:
            mean = self._slow.mean * self._compute_mean_work()
            limit = max(limit, LOST_AFTER_SHARE * mean)
        while self._running:
            started_at = self._running[0].started_at
            if started_at is None or now - started_at <= limit:
                return
            self._end(0, now)

    def _is_shed(self, kind: str, sent_at: Seconds, now: Seconds) -> bool:
        """Return whether a request that found all slots busy was shed.

        It was if its answer came sooner than any request of its kind can run.
        """
        work = self._work_by_kind.get(kind)
        if work is None or not work.mean or self._slow.weight < MIN_FAST_WEIGHT:
            return False
        return now - sent_at < MIN_RUN_SHARE * work.mean * self._slow.mean

    def _learn(self, kind: str, time: Seconds, level: int, now: Seconds) -> None:
        """Learn from an answer whose request ran for some time."""
        if kind == UPLOAD_KIND or time <= 0:
            return
        slow = self._slow
        if slow.weight and now - slow.updated_at > SLOW_TIME:
            self._forget_if_old(now)
        slowness = slow.total / slow.weight if slow.weight else 1.0
        work = self._work_by_kind.get(kind)
        if work is not None and work.mean:
            self._learn_work(work, time / slowness, level, now)
            return
        work = self._find_work(kind)
        for first_work in work.take_first(time / slowness):
            self._learn_work(work, first_work, level, now)

    def _learn_work(
        self, work: KindWork, time: Seconds, level: int, now: Seconds
    ) -> None:
        """Learn from an answer that took ``time`` at the slowness known so far."""
        slow = self._slow
        share = time / work.mean
        if share < MIN_RUN_SHARE and slow.weight >= MIN_FAST_WEIGHT:
            return
        if share > MAX_OUTLIER:
            share = MAX_OUTLIER
        value = share * slow.total / slow.weight if slow.weight else share
        if work.count < WORK_MEMORY:
            work.count += 1
        work.mean += (share - 1) * work.mean / work.count
        work.share += 1
        self._batch_count += 1
        self._batch_total += value
        self._batch_squares += value * value
        if self._slots > 1:
            self._curve.record_answer(level, value)
        if self._batch_count >= BATCH_ANSWERS or now - self._answered_at > BATCH_TIME:
            self._add_batch(now)
        self._answered_at = now

    def _add_batch(self, now: Seconds) -> None:
        """Add the answers of the last moment to the means; one by one costs more."""
        count, total = self._batch_count, self._batch_total
        if not count:
            return
        self._slow.add(count, total, self._batch_squares, now)
        self._fast.add(count, total, self._batch_squares, now)
        self._batch_count, self._batch_total, self._batch_squares = 0, 0.0, 0.0
        self._curve.decay(now)
        self._answer_count += count
        if self._answer_count > MIX_ANSWERS:
            self._halve_shares()
        if self._fast.weight >= MIN_FAST_WEIGHT:
            self._follow_change()

    def _halve_shares(self) -> None:
        """Let the answers so far weigh half as much in the mix of kinds."""
        self._answer_count //= 2
        for work in self._work_by_kind.values():
            work.share /= 2

    def _find_work(self, kind: str) -> KindWork:
        """Return the work of a kind; those above ``MAX_KINDS`` are one kind."""
        if kind not in self._work_by_kind and len(self._work_by_kind) >= MAX_KINDS:
            kind = ""
        work = self._work_by_kind.get(kind)
        if work is None:
            work = self._work_by_kind[kind] = KindWork()
        return work

    def _forget_if_old(self, now: Seconds) -> None:
        if self._slow.compute_weight(now) < LEAST_WEIGHT:
            self._forget_speed()

    def _forget_speed(self) -> None:
        self._work_by_kind.clear()
        self._batch_count, self._batch_total, self._batch_squares = 0, 0.0, 0.0
        self._fast.reset()
        self._slow.reset()

    def _follow_change(self) -> None:
        """Start the slow mean anew if the fast one shows another speed."""
        fast, slow = self._fast, self._slow
        ratio = fast.total * slow.weight / (fast.weight * slow.total)
        if 1 / MIN_CHANGE <= ratio <= MIN_CHANGE:
            return
        change = abs(math.log(ratio))
        # The variance of a mean with exponential weights of sum w is 1 / (2 w).
        variation = min(slow.variation, MAX_VARIATION)
        if change > CHANGE_DEVIATIONS * variation / math.sqrt(2 * fast.weight):
            slow.replace_by(fast, CHANGED_WEIGHT)

    def _compute_mean_work(self) -> Seconds:
        """Return the mean work of a request of the mix of some thousand answers."""
        works = [work for work in self._work_by_kind.values() if work.mean]
        if len(works) == 1:
            return works[0].mean
        total = sum(work.share for work in works)
        return sum(work.share * work.mean for work in works) / total
