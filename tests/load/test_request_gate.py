"""Tests of the order and the time in which requests are kept at an agent."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bilberrypath.load.request_gate import (
    MAX_KEPT_REQUESTS,
    MAX_KEPT_TIME,
    MAX_LATER_DATAGRAMS,
    SHED_ANSWER_TIME,
    TURN_WINDOW,
    GatedRequest,
    RequestGate,
    compute_release_at,
)

URGENT, NORMAL, LOW, LOWEST = range(4)
LONG_AGO = -1.0  # an answer to a request of that time does not look like a shed one


def make_request(number, priority, now=0.0, objective=1.0):
    flow = number.to_bytes(12)
    release_at = compute_release_at(objective, now)
    return GatedRequest(flow, (b"request",), priority, now, release_at, (1,))


def keep(gate, number, priority, running, now=0.0, objective=1.0):
    """Offer a request that must be kept."""
    request = make_request(number, priority, now, objective)
    assert not gate.offer(request, running, now)
    return request


@pytest.fixture
def gate():
    gate = RequestGate(URGENT)
    gate.set_room(2, 8)
    return gate


class TestOffer:
    @pytest.mark.parametrize(("running", "is_forwarded"), [(2, True), (3, False)])
    def test_less_urgent_request_is_kept_from_one_more_than_slots(
        self, gate, running, is_forwarded
    ):
        assert gate.offer(make_request(1, NORMAL), running, 0.0) is is_forwarded

    @pytest.mark.parametrize(("running", "is_forwarded"), [(7, True), (8, False)])
    def test_most_urgent_request_is_kept_only_if_it_would_be_shed(
        self, gate, running, is_forwarded
    ):
        assert gate.offer(make_request(1, URGENT), running, 0.0) is is_forwarded

    @pytest.mark.parametrize(("running", "is_forwarded"), [(5, True), (6, False)])
    def test_two_are_queued_per_slot_while_it_is_unknown_when_the_upstream_sheds(
        self, gate, running, is_forwarded
    ):
        gate.set_room(2, None)
        assert gate.offer(make_request(1, URGENT), running, 0.0) is is_forwarded

    def test_nothing_is_kept_below_one_more_than_slots_if_the_upstream_sheds_early(
        self, gate
    ):
        """A wrong ``shed_at`` must not leave slots unused."""
        gate.set_room(2, 1)
        assert gate.offer(make_request(1, URGENT), 2, 0.0)
        assert not gate.offer(make_request(1, URGENT), 3, 0.0)

    def test_request_above_the_bound_is_forwarded(self, gate):
        for number in range(MAX_KEPT_REQUESTS):
            keep(gate, number, URGENT, 8)
        assert gate.offer(make_request(MAX_KEPT_REQUESTS, URGENT), 8, 0.0)
        assert len(gate) == MAX_KEPT_REQUESTS

    def test_oldest_of_too_many_less_urgent_requests_is_forwarded(self, gate):
        """Guard against a backlog that is late as a whole."""
        first = keep(gate, 1, NORMAL, 3, now=0.0)
        keep(gate, 2, NORMAL, 3, now=0.01)
        assert gate.release_excess(NORMAL) == []
        keep(gate, 3, NORMAL, 3, now=0.02)
        assert gate.release_excess(NORMAL) == [first]
        assert gate.release_excess(NORMAL) == []

    def test_excess_does_not_overtake_a_more_urgent_request(self, gate):
        gate.set_room(2, None)
        keep(gate, 1, URGENT, 6)
        for number in (2, 3, 4):
            keep(gate, number, NORMAL, 6)
        assert gate.release_excess(NORMAL) == []


class TestDatagrams:
    def test_later_datagrams_follow_in_order(self, gate):
        request = keep(gate, 1, NORMAL, 3)
        assert gate.append(request.flow, b"second", 8)
        assert gate.append(request.flow, b"third", 15)
        (released,) = gate.release_all()
        assert released.datagrams == (b"request", b"second", b"third")

    def test_copy_is_recognized_by_its_sequence_number(self, gate):
        request = keep(gate, 1, NORMAL, 3)
        gate.append(request.flow, b"second", 8)
        assert gate.has_copy(request.flow, 1)
        assert gate.has_copy(request.flow, 8)
        assert not gate.has_copy(request.flow, 9)

    def test_later_datagrams_are_bounded(self, gate):
        request = keep(gate, 1, NORMAL, 3)
        for number in range(MAX_LATER_DATAGRAMS):
            assert gate.append(request.flow, b"more", number + 2)
        assert not gate.append(request.flow, b"more", 99)


class TestRelease:
    def test_answer_releases_the_most_urgent_class_first(self, gate):
        keep(gate, 1, NORMAL, 8)
        urgent = keep(gate, 2, URGENT, 8)
        assert gate.record_answer(LONG_AGO, 7, 0.0) == [urgent]

    def test_less_urgent_request_waits_for_its_limit(self, gate):
        request = keep(gate, 1, NORMAL, 4)
        assert gate.record_answer(LONG_AGO, 3, 0.0) == []
        assert gate.record_answer(LONG_AGO, 2, 0.0) == [request]

    def test_one_with_the_least_time_left_goes_first_within_a_class(self, gate):
        keep(gate, 1, NORMAL, 3, objective=0.5)
        hurried = keep(gate, 2, NORMAL, 3, objective=0.3)
        assert gate.record_answer(LONG_AGO, 2, 0.0) == [hurried]

    def test_several_are_released_if_several_ended(self, gate):
        first, second = (keep(gate, number, NORMAL, 3) for number in (1, 2))
        assert gate.release_free(0) == [first, second]

    def test_answer_releases_more_if_others_ended_unnoticed(self, gate):
        first, second = (keep(gate, number, NORMAL, 3) for number in (1, 2))
        assert gate.record_answer(LONG_AGO, 0, 0.0) == [first, second]

    def test_less_urgent_class_gets_the_fourth_turn(self, gate):
        normal = keep(gate, 1, NORMAL, 8)
        for number in range(2, 9):
            keep(gate, number, URGENT, 8)
        turns = [gate.record_answer(LONG_AGO, 7, 0.0)[0] for _ in range(TURN_WINDOW)]
        assert turns.index(normal) == TURN_WINDOW - 1

    def test_urgent_requests_that_are_not_kept_do_not_starve_the_others(self, gate):
        """They are forwarded on arrival, so that few slots seem free at any time."""
        normal = keep(gate, 1, NORMAL, 6)
        turns = [gate.record_answer(LONG_AGO, 5, 0.0) for _ in range(TURN_WINDOW)]
        assert turns == [[], [], [], [normal]]

    def test_answer_makes_room_above_the_limit_if_that_is_a_guess(self, gate):
        gate.set_room(2, None)
        urgent = keep(gate, 1, URGENT, 8)
        assert gate.release_free(7) == []
        assert gate.record_answer(LONG_AGO, 7, 0.0) == [urgent]

    def test_shed_answer_makes_no_room(self, gate):
        """Guard against sending an urgent request where one was just shed."""
        gate.set_room(2, None)
        urgent = keep(gate, 1, URGENT, 8)
        shed_at = SHED_ANSWER_TIME / 2
        assert gate.record_answer(0.0, 7, shed_at) == []
        assert gate.record_answer(0.0, 5, shed_at) == [urgent]

    def test_due_requests_are_released_in_order(self, gate):
        later = keep(gate, 1, NORMAL, 8, objective=0.4)
        sooner = keep(gate, 2, LOW, 8, objective=0.2)
        assert gate.next_release_at() == sooner.release_at
        assert gate.release_due(sooner.release_at - 0.001) == []
        assert gate.release_due(later.release_at) == [sooner, later]
        assert gate.next_release_at() is None

    def test_due_request_does_not_overtake_a_more_urgent_one(self, gate):
        gate.set_room(2, None)
        urgent = keep(gate, 1, URGENT, 8)
        normal = keep(gate, 2, NORMAL, 8, objective=0.1)
        assert gate.release_due(normal.release_at) == [urgent, normal]

    def test_discarded_request_is_not_released(self, gate):
        request = keep(gate, 1, NORMAL, 3)
        assert gate.discard(request.flow) is request
        assert gate.discard(request.flow) is None
        assert gate.release_free(0) == []
        assert gate.next_release_at() is None

    def test_flow_that_is_kept_again_has_its_new_release_time(self, gate):
        """Guard against the heap entry of the request that was discarded."""
        gate.discard(keep(gate, 1, NORMAL, 3, now=0.0).flow)
        again = keep(gate, 1, NORMAL, 3, now=0.1)
        assert gate.next_release_at() == again.release_at
        assert gate.release_due(0.2) == []

    def test_all_are_released_in_order_of_arrival(self, gate):
        requests = [keep(gate, n, p, 8) for n, p in enumerate((LOW, URGENT, NORMAL))]
        assert gate.release_all() == requests
        assert len(gate) == 0


class GateRun:
    """A gate and the requests in flight, with the properties checked at each step."""

    def __init__(self, slots, shed_at):
        self.gate = RequestGate(URGENT)
        self.gate.set_room(slots, shed_at)
        self.slots, self.shed_at = slots, shed_at
        self.now = 0.0
        self.sent = []  # the times at which the requests in flight were sent
        self.kept = {}
        self.ended = []
        self.passes = {}
        self.count = 0
        self.sent_priority = None

    def arrive(self, priority, objective):
        released = self.gate.release_free(len(self.sent))
        self._check_turns(released)
        self._forward(released)
        request = make_request(self.count, priority, self.now, objective)
        self.count += 1
        running = len(self.sent)
        if self.gate.offer(request, running, self.now):
            assert not any(kept.priority <= priority for kept in self.kept.values())
            self.ended.append(request.flow)
            self.sent.append(self.now)
        else:
            assert running >= self.slots + 1
            self.kept[request.flow] = request
            excess = self.gate.release_excess(priority)
            self._check_order(excess)
            self._forward(excess)
        self._check()

    def answer(self, position):
        if not self.sent:
            return
        sent_at = self.sent.pop(position % len(self.sent))
        is_shed = self.now - sent_at < SHED_ANSWER_TIME
        released = self.gate.record_answer(sent_at, len(self.sent), self.now)
        is_turn = self.shed_at is None or len(self.sent) < self.gate.urgent_limit
        if is_shed and len(self.sent) > self.slots:
            is_turn = False
        self._check_turns(released or [None] * is_turn)
        self._forward(released)
        self._check()

    def wait(self, seconds):
        self.now += seconds
        due = {r.flow for r in self.kept.values() if r.release_at <= self.now}
        released = self.gate.release_due(self.now)
        assert due <= {request.flow for request in released}
        self._check_order(released)
        self._forward(released)
        self._check()

    def discard(self, position):
        if self.kept:
            flow = list(self.kept)[position % len(self.kept)]
            assert self.gate.discard(flow) == self.kept.pop(flow)
            self.ended.append(flow)
            self._check()

    def finish(self):
        self._forward(self.gate.release_all())
        assert sorted(self.ended) == [n.to_bytes(12) for n in range(self.count)]

    def _check_order(self, released):
        """Check that none overtakes a more urgent one, where the limit is a guess."""
        if self.shed_at is not None:
            return
        remaining = dict(self.kept)
        for request in released:
            del remaining[request.flow]
            assert not any(
                other.priority < request.priority and other.kept_at < request.kept_at
                for other in remaining.values()
            )

    def _check_turns(self, turns):
        """Check who got the turns; None is one that no request took.

        A less urgent class waits for three other turns at most, and overtakes a more
        urgent one only if it or another class must have one of the next turns.
        """
        priorities = [request.priority for request in self.kept.values()]
        for request in turns:
            chosen = None if request is None else request.priority
            less_urgent = set(priorities) - {URGENT}
            if chosen is not None and chosen != min(priorities):
                passes = self.passes.get(chosen, 0)
                assert passes >= TURN_WINDOW - len(less_urgent)
            for priority in less_urgent:
                passes = self.passes.get(priority, 0) + 1
                self.passes[priority] = 0 if priority == chosen else passes
                assert self.passes[priority] < TURN_WINDOW
            if request is not None:
                priorities.remove(chosen)
                self._forget_passes(priorities)

    def _forget_passes(self, waiting):
        self.passes = {p: n for p, n in self.passes.items() if p in waiting}

    def _forward(self, requests):
        for request in requests:
            del self.kept[request.flow]
            self.ended.append(request.flow)
            self.sent.append(self.now)
            self.sent_priority = request.priority

    def _check(self):
        assert set(self.gate.list_flows()) == set(self.kept)
        self._forget_passes({r.priority for r in self.kept.values()})
        assert len(self.kept) <= MAX_KEPT_REQUESTS
        assert not self.kept or len(self.sent) >= self.slots + 1
        for request in self.kept.values():
            assert self.now < request.release_at <= request.kept_at + MAX_KEPT_TIME


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("arrive"),
            st.sampled_from((URGENT, NORMAL, LOW, LOWEST)),
            st.sampled_from((0.1, 0.4, 1.0)),
        ),
        st.tuples(st.just("answer"), st.integers(0, 20)),
        st.tuples(st.just("wait"), st.sampled_from((0.001, 0.01, 0.05, 0.3))),
        st.tuples(st.just("discard"), st.integers(0, 20)),
    ),
    max_size=150,
)


class TestProperties:
    @settings(max_examples=400, deadline=None, derandomize=True)
    @given(
        slots=st.integers(1, 3),
        shed_at=st.one_of(st.none(), st.integers(1, 12)),
        steps=STEPS,
    )
    def test_random_arrivals_and_answers(self, slots, shed_at, steps):
        """Work conserving, in order, bounded in time, and each request ends once."""
        run = GateRun(slots, shed_at)
        for name, *arguments in steps:
            getattr(run, name)(*arguments)
        run.finish()

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        shed_at=st.sampled_from((None, 8)),
        classes=st.lists(
            st.sampled_from((URGENT, NORMAL, LOW, LOWEST)), min_size=30, max_size=60
        ),
    )
    def test_classes_share_the_turns_of_a_full_upstream(self, shed_at, classes):
        """The most urgent class gets all turns but one of four for each other class."""
        run = GateRun(2, shed_at)
        for number, priority in enumerate(classes):
            request = keep(run.gate, number, priority, 8)
            run.kept[request.flow] = request
        turns = []
        while URGENT in {request.priority for request in run.kept.values()}:
            run.sent = [LONG_AGO] * 8
            run.answer(0)
            turns.append(run.sent_priority)
        less_urgent = len(set(classes) - {URGENT})
        for start in range(len(turns) - TURN_WINDOW + 1):
            window = turns[start : start + TURN_WINDOW]
            assert sum(p != URGENT for p in window) <= less_urgent
