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

RETENTION: Seconds = 600.0
MAX_ASK_AGE: Seconds = 300.0
MAX_ENTRIES = 50_000
MAX_KEPT_BODY = 16_384  # bytes


@frozen
class New:
    """The key was not seen; it is now open and may run."""


@frozen
class StillOpen:
    """The key waits or runs; its outcome will come."""


@frozen
class Settled:
    """What became of the key."""

    outcome: Outcome


@frozen
class Full:
    """The book can't promise anything of one more key."""


@frozen
class Entry:
    """What is known of a key; no outcome yet while it waits or runs."""

    outcome: Outcome | None
    written_at: Seconds


@define
class RequestBook:
    """Keep what became of each key for a while.

    Examples
    --------
    >>> book = RequestBook()
    >>> book.begin("k", 0.0)
    New()
    >>> book.begin("k", 1.0)
    StillOpen()
    """

    _entry_by_key: dict[str, Entry] = Factory(dict)
    _ages: deque[tuple[Seconds, str]] = Factory(deque)

    def __len__(self) -> int:
        return len(self._entry_by_key)

    def begin(self, key: str, now: Seconds) -> New | StillOpen | Settled | Full:
        """Open a key that is about to run, unless it was seen before."""
        self._forget_old(now)
        if key in self._entry_by_key:
            return self._look_up(key)
        if len(self._entry_by_key) >= MAX_ENTRIES:
            return Full()
        self._write(key, None, now)
        return New()

    def settle(self, key: str, outcome: Outcome, now: Seconds) -> None:
        """Record what became of an open key.

        A key that was refused is forgotten, since it may be presented again.
        """
        if isinstance(outcome, RefusedNotRun):
            self._entry_by_key.pop(key, None)
            return
        if isinstance(outcome, Answered) and len(outcome.body) > MAX_KEPT_BODY:
            outcome = Unknown(Reason.NOT_KEPT)
        self._write(key, outcome, now)

    def ask(self, key: str, age: Seconds, now: Seconds) -> StillOpen | Settled:
        """Return what became of a key; one that never came is sealed.

        ``age`` is how long ago the caller first sent it. A key so old that it
        might have been forgotten is answered as unknown.
        """
        self._forget_old(now)
        if key in self._entry_by_key:
            return self._look_up(key)
        if age > MAX_ASK_AGE or len(self._entry_by_key) >= MAX_ENTRIES:
            return Settled(Unknown(Reason.NOT_KEPT))
        sealed = RefusedNotRun(Reason.SEALED, elsewhere=True)
        self._write(key, sealed, now)
        return Settled(sealed)

    def _look_up(self, key: str) -> StillOpen | Settled:
        outcome = self._entry_by_key[key].outcome
        return StillOpen() if outcome is None else Settled(outcome)

    def _write(self, key: str, outcome: Outcome | None, now: Seconds) -> None:
        self._entry_by_key[key] = Entry(outcome, now)
        self._ages.append((now, key))

    def _forget_old(self, now: Seconds) -> None:
        while self._ages and now - self._ages[0][0] > RETENTION:
            written_at, key = self._ages.popleft()
            entry = self._entry_by_key.get(key)
            if entry is None or entry.written_at != written_at:
                continue
            if entry.outcome is not None:
                del self._entry_by_key[key]
