"""A key runs at most once, and what is said of it stays true."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bilberrypath.protocol.outcome import (
    Answered,
    Reason,
    RefusedNotRun,
    Unknown,
)
from bilberrypath.state.idempotency_table import (
    RETENTION,
    New,
    RequestBook,
    Settled,
    StillOpen,
)

KEYS = st.sampled_from(["a", "b", "c"])


class TestRequestBook:
    def test_sealed_key_never_runs(self):
        book = RequestBook()
        asked = book.ask("k", 1.0, 0.0)
        assert asked == Settled(RefusedNotRun(Reason.SEALED, elsewhere=True))
        assert book.begin("k", 1.0) == asked

    def test_refused_key_may_be_presented_again(self):
        book = RequestBook()
        book.begin("k", 0.0)
        book.settle("k", RefusedNotRun(Reason.OVERLOADED, True), 1.0)
        assert book.begin("k", 2.0) == New()

    def test_key_presented_again_is_kept_from_its_second_time_on(self):
        book = RequestBook()
        book.begin("k", 0.0)
        book.settle("k", RefusedNotRun(Reason.OVERLOADED, True), 1.0)
        book.begin("k", RETENTION - 1)
        book.settle("k", Answered(200, b"x"), RETENTION - 0.5)
        assert book.ask("k", 2.0, RETENTION + 1) == Settled(Answered(200, b"x"))

    def test_key_too_old_to_be_kept_is_unknown_not_sealed(self):
        found = RequestBook().ask("k", RETENTION, 0.0)
        assert isinstance(found, Settled)
        assert isinstance(found.outcome, Unknown)

    def test_open_key_is_never_forgotten(self):
        book = RequestBook()
        book.begin("k", 0.0)
        assert book.begin("k", 5 * RETENTION) == StillOpen()


class BookMachine(RuleBasedStateMachine):
    """Any order of presentations, settlements and questions."""

    def __init__(self):
        super().__init__()
        self.book = RequestBook()
        self.now = 0.0
        self.runs = {}
        self.open = set()
        self.sealed = set()

    @rule(key=KEYS)
    def present(self, key):
        if isinstance(self.book.begin(key, self.now), New):
            self.runs[key] = self.runs.get(key, 0) + 1
            self.open.add(key)

    @rule(key=KEYS, runs=st.booleans())
    def settle(self, key, runs):
        if key not in self.open:
            return
        self.open.discard(key)
        if runs:
            self.book.settle(key, Answered(200, key.encode()), self.now)
        else:
            self.runs[key] -= 1
            self.book.settle(key, RefusedNotRun(Reason.OVERLOADED, True), self.now)

    @rule(key=KEYS)
    def ask(self, key):
        found = self.book.ask(key, 1.0, self.now)
        if isinstance(found, Settled) and isinstance(found.outcome, RefusedNotRun):
            assert self.runs.get(key, 0) == 0
            self.sealed.add(key)

    @rule(seconds=st.floats(0, 60))
    def wait(self, seconds):
        self.now = min(self.now + seconds, RETENTION)

    @invariant()
    def nothing_runs_twice(self):
        assert all(count <= 1 for count in self.runs.values())
        assert all(self.runs.get(key, 0) == 0 for key in self.sealed)


TestBookMachine = BookMachine.TestCase
TestBookMachine.settings = settings(derandomize=True, deadline=None, max_examples=60)
