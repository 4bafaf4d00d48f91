"""Tests that a key runs at most once and that its reported outcome stays true."""

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


class TestIdempotencyTable:
    def test_sealed_key_never_runs(self):
        table = IdempotencyTable()
        completed = table.query_outcome("k", 1.0, 0.0)
        assert completed == CompletedKey(RefusedNotRun(Reason.SEALED, elsewhere=True))
        assert table.begin("k", 1.0) == completed

    def test_refused_key_may_run_when_presented_again(self):
        table = IdempotencyTable()
        table.begin("k", 0.0)
        table.record_outcome("k", RefusedNotRun(Reason.OVERLOADED, True), 1.0)
        assert table.begin("k", 2.0) == NewKey()

    def test_retention_starts_anew_when_a_key_is_presented_again(self):
        table = IdempotencyTable()
        table.begin("k", 0.0)
        table.record_outcome("k", RefusedNotRun(Reason.OVERLOADED, True), 1.0)
        table.begin("k", KEY_RETENTION - 1)
        table.record_outcome("k", Answered(200, b"x"), KEY_RETENTION - 0.5)
        assert table.query_outcome("k", 2.0, KEY_RETENTION + 1) == CompletedKey(
            Answered(200, b"x")
        )

    def test_key_too_old_to_be_in_the_table_is_unknown_and_not_sealed(self):
        """Its entry may have been removed, so the request may have run."""
        result = IdempotencyTable().query_outcome("k", KEY_RETENTION, 0.0)
        assert isinstance(result, CompletedKey)
        assert isinstance(result.outcome, Unknown)

    def test_pending_key_is_never_removed(self):
        table = IdempotencyTable()
        table.begin("k", 0.0)
        assert table.begin("k", 5 * KEY_RETENTION) == PendingKey()


class IdempotencyTableMachine(RuleBasedStateMachine):
    """Present keys, record outcomes and query them in any order.

    ``runs`` counts the runs of each key, without those that were refused. ``pending``
    holds the keys that run, and ``sealed`` those reported as not run.
    """

    def __init__(self):
        super().__init__()
        self.idempotency_table = IdempotencyTable()
        self.now = 0.0
        self.runs = {}
        self.pending = set()
        self.sealed = set()

    @rule(key=KEYS)
    def present(self, key):
        if isinstance(self.idempotency_table.begin(key, self.now), NewKey):
            self.runs[key] = self.runs.get(key, 0) + 1
            self.pending.add(key)

    @rule(key=KEYS, has_run=st.booleans())
    def record_outcome(self, key, has_run):
        if key not in self.pending:
            return
        self.pending.discard(key)
        if has_run:
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
        result = self.idempotency_table.query_outcome(key, 1.0, self.now)
        if isinstance(result, CompletedKey) and isinstance(
            result.outcome, RefusedNotRun
        ):
            assert self.runs.get(key, 0) == 0
            self.sealed.add(key)

    @rule(seconds=st.floats(0, 60))
    def wait(self, seconds):
        self.now = min(self.now + seconds, KEY_RETENTION)

    @invariant()
    def nothing_runs_twice(self):
        assert all(count <= 1 for count in self.runs.values())
        assert all(self.runs.get(key, 0) == 0 for key in self.sealed)


TestIdempotencyTableMachine = IdempotencyTableMachine.TestCase
TestIdempotencyTableMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=60
)
