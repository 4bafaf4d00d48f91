"""The idempotency keys that one agent has received, with their outcomes.

Non-idempotent requests carry such a key. The request of a key runs at most once in
one incarnation of an agent. When a caller queries the outcome of a key that the agent
has not received, the table seals the key, so that its request never runs.
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
MAX_QUERY_AGE: Seconds = 300.0  # the entry of an older key may have been removed
MAX_ENTRIES = 50_000
MAX_STORED_BODY_BYTES = 16_384


@frozen
class NewKey:
    """The key was not in the table; it is now pending, and its request may run."""


@frozen
class PendingKey:
    """The request of the key is queued or running; it has no outcome yet."""


@frozen
class CompletedKey:
    """The request of the key has an outcome, or the key is sealed."""

    outcome: Outcome


@frozen
class TableFull:
    """The table is full, so one more key cannot be guaranteed to run at most once."""


@frozen
class KeyEntry:
    """A key's outcome, which is None while the request is queued or running."""

    outcome: Outcome | None
    recorded_at: Seconds


@define
class IdempotencyTable:
    """Store the outcome of each key for ``KEY_RETENTION`` seconds.

    A pending key stays until it has an outcome.

    Examples
    --------
    >>> table = IdempotencyTable()
    >>> table.begin("k", 0.0)
    NewKey()
    >>> table.begin("k", 1.0)
    PendingKey()
    """

    _entry_by_key: dict[str, KeyEntry] = Factory(dict)
    _write_log: deque[tuple[Seconds, str]] = Factory(deque)

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def begin(
        self, key: str, now: Seconds
    ) -> NewKey | PendingKey | CompletedKey | TableFull:
        """Add a key as pending, or return what the table holds for it.

        Only :class:`NewKey` permits the caller to run the request.
        """
        self._remove_expired(now)
        if key in self._entry_by_key:
            return self._get_result(key)
        if len(self._entry_by_key) >= MAX_ENTRIES:
            return TableFull()
        self._record(key, None, now)
        return NewKey()

    def record_outcome(self, key: str, outcome: Outcome, now: Seconds) -> None:
        """Record the outcome of a pending key.

        A refused key is removed, because the caller may send it again. An answer whose
        body exceeds ``MAX_STORED_BODY_BYTES`` is recorded as unknown.
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
        """Return the outcome of a key; seal the key if it is not in the table.

        ``age`` is the time since the caller first sent the key. If a missing key is
        older than ``MAX_QUERY_AGE``, its entry may have been removed, and its outcome
        is unknown. It is unknown as well if the table is full.
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
                continue  # removed, or recorded again later
            if entry.outcome is not None:
                del self._entry_by_key[key]
