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
    KEY_RETENTION,
    CompletedKey,
    IdempotencyTable,
    NewKey,
    PendingKey,
)

KEYS = st.sampled_from(["a", "b", "c"])


class TestRequestBook:
    def test_sealed_key_never_runs(self):
        book = IdempotencyTable()
        asked = book.query_outcome("k", 1.0, 0.0)
        assert asked == CompletedKey(RefusedNotRun(Reason.SEALED, elsewhere=True))
        assert book.begin("k", 1.0) == asked

    def test_refused_key_may_be_presented_again(self):
        book = IdempotencyTable()
        book.begin("k", 0.0)
        book.record_outcome("k", RefusedNotRun(Reason.OVERLOADED, True), 1.0)
        assert book.begin("k", 2.0) == NewKey()

    def test_key_presented_again_is_kept_from_its_second_time_on(self):
        book = IdempotencyTable()
        book.begin("k", 0.0)
        book.record_outcome("k", RefusedNotRun(Reason.OVERLOADED, True), 1.0)
        book.begin("k", KEY_RETENTION - 1)
        book.record_outcome("k", Answered(200, b"x"), KEY_RETENTION - 0.5)
        assert book.query_outcome("k", 2.0, KEY_RETENTION + 1) == CompletedKey(
            Answered(200, b"x")
        )

    def test_key_too_old_to_be_kept_is_unknown_not_sealed(self):
        found = IdempotencyTable().query_outcome("k", KEY_RETENTION, 0.0)
        assert isinstance(found, CompletedKey)
        assert isinstance(found.outcome, Unknown)

    def test_open_key_is_never_forgotten(self):
        book = IdempotencyTable()
        book.begin("k", 0.0)
        assert book.begin("k", 5 * KEY_RETENTION) == PendingKey()


class BookMachine(RuleBasedStateMachine):
    """Any order of presentations, settlements and questions."""

    def __init__(self):
        super().__init__()
        self.idempotency_table = IdempotencyTable()
        self.now = 0.0
        self.runs = {}
        self.open = set()
        self.sealed = set()

    @rule(key=KEYS)
    def present(self, key):
        if isinstance(self.idempotency_table.begin(key, self.now), NewKey):
            self.runs[key] = self.runs.get(key, 0) + 1
            self.open.add(key)

    @rule(key=KEYS, runs=st.booleans())
    def record_outcome(self, key, runs):
        if key not in self.open:
            return
        self.open.discard(key)
        if runs:
            self.idempotency_table.record_outcome(
                key, Answered(200, key.encode()), self.now
            )
        else:
            self.runs[key] -= 1
            self.idempotency_table.record_outcome(
                key, RefusedNotRun(Reason.OVERLOADED, True), self.now
            )

    @rule(key=KEYS)
    def query_outcome(self, key):
        found = self.idempotency_table.query_outcome(key, 1.0, self.now)
        if isinstance(found, CompletedKey) and isinstance(found.outcome, RefusedNotRun):
            assert self.runs.get(key, 0) == 0
            self.sealed.add(key)

    @rule(seconds=st.floats(0, 60))
    def wait(self, seconds):
        self.now = min(self.now + seconds, KEY_RETENTION)

    @invariant()
    def nothing_runs_twice(self):
        assert all(count <= 1 for count in self.runs.values())
        assert all(self.runs.get(key, 0) == 0 for key in self.sealed)


TestBookMachine = BookMachine.TestCase
TestBookMachine.settings = settings(derandomize=True, deadline=None, max_examples=60)
