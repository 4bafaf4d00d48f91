"""The keys of non-idempotent requests that one agent has seen.

A key runs at most once in one incarnation of an agent. The book answers what
became of a key, or seals it so that it never runs.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from bilberrypath.protocol.outcome import (
    Answered,
    Outcome,
    Reason,
    RefusedNotRun,
    Unknown,
)

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

KEY_RETENTION: Seconds = 600.0
MAX_QUERY_AGE: Seconds = 300.0
MAX_ENTRIES = 50_000
MAX_STORED_BODY_BYTES = 16_384  # bytes


@frozen
class NewKey:
    """The key was not seen; it is now open and may run."""


@frozen
class PendingKey:
    """The key waits or runs; its outcome will come."""


@frozen
class CompletedKey:
    """What became of the key."""

    outcome: Outcome


@frozen
class TableFull:
    """The book can't promise anything of one more key."""


@frozen
class KeyEntry:
    """What is known of a key; no outcome yet while it waits or runs."""

    outcome: Outcome | None
    recorded_at: Seconds


@define
class IdempotencyTable:
    """Keep what became of each key for a while.

    Examples
    --------
    >>> book = IdempotencyTable()
    >>> book.begin("k", 0.0)
    NewKey()
    >>> book.begin("k", 1.0)
    PendingKey()
    """

    _entry_by_key: dict[str, KeyEntry] = Factory(dict)
    _write_log: deque[tuple[Seconds, str]] = Factory(deque)

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def begin(
        self, key: str, now: Seconds
    ) -> NewKey | PendingKey | CompletedKey | TableFull:
        """Open a key that is about to run, unless it was seen before."""
        self._remove_expired(now)
        if key in self._entry_by_key:
            return self._get_result(key)
        if len(self._entry_by_key) >= MAX_ENTRIES:
            return TableFull()
        self._record(key, None, now)
        return NewKey()

    def record_outcome(self, key: str, outcome: Outcome, now: Seconds) -> None:
        """Record what became of an open key.

        A key that was refused is forgotten, since it may be presented again.
        """
        if isinstance(outcome, RefusedNotRun):
            self._entry_by_key.pop(key, None)
            return
        if isinstance(outcome, Answered) and len(outcome.body) > MAX_STORED_BODY_BYTES:
            outcome = Unknown(Reason.NOT_KEPT)
        self._record(key, outcome, now)

    def query_outcome(
        self, key: str, age: Seconds, now: Seconds
    ) -> PendingKey | CompletedKey:
        """Return what became of a key; one that never came is sealed.

        ``age`` is how long ago the caller first sent it. A key so old that it
        might have been forgotten is answered as unknown.
        """
        self._remove_expired(now)
        if key in self._entry_by_key:
            return self._get_result(key)
        if age > MAX_QUERY_AGE or len(self._entry_by_key) >= MAX_ENTRIES:
            return CompletedKey(Unknown(Reason.NOT_KEPT))
        sealed = RefusedNotRun(Reason.SEALED, elsewhere=True)
        self._record(key, sealed, now)
        return CompletedKey(sealed)

    def _get_result(self, key: str) -> PendingKey | CompletedKey:
        outcome = self._entry_by_key[key].outcome
        return PendingKey() if outcome is None else CompletedKey(outcome)

    def _record(self, key: str, outcome: Outcome | None, now: Seconds) -> None:
        self._entry_by_key[key] = KeyEntry(outcome, now)
        self._write_log.append((now, key))

    def _remove_expired(self, now: Seconds) -> None:
        while self._write_log and now - self._write_log[0][0] > KEY_RETENTION:
            recorded_at, key = self._write_log.popleft()
            entry = self._entry_by_key.get(key)
            if entry is None or entry.recorded_at != recorded_at:
                continue
            if entry.outcome is not None:
                del self._entry_by_key[key]
