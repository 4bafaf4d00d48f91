"""Deadlines of a decision core, kept in order.

A core sets and clears deadlines by key; the process around it asks for the
next one and calls back when it has come.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Generic, TypeVar

from attrs import Factory, define

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

Key = TypeVar("Key")


@define
class Deadlines(Generic[Key]):
    """At most one deadline a key; the latest set counts."""

    _due_at_by_key: dict[Key, float] = Factory(dict)
    _heap: list[tuple[float, Key]] = Factory(list)

    def set(self, key: Key, due_at: Seconds) -> None:
        """Set or move the deadline of a key."""
        self._due_at_by_key[key] = due_at
        heapq.heappush(self._heap, (due_at, key))

    def clear(self, key: Key) -> None:
        """Remove the deadline of a key, if it has one."""
        self._due_at_by_key.pop(key, None)

    def shift_for_pause(self, gap: Seconds) -> None:
        """Move all deadlines, since this process stood still for a while."""
        moved = [(due_at + gap, key) for key, due_at in self._due_at_by_key.items()]
        self._due_at_by_key = {key: due_at for due_at, key in moved}
        heapq.heapify(moved)
        self._heap = moved

    def next_at(self) -> Seconds | None:
        """Return the time of the next deadline, or None."""
        while self._heap:
            due_at, key = self._heap[0]
            if self._due_at_by_key.get(key) == due_at:
                return due_at
            heapq.heappop(self._heap)
        return None

    def pop_due(self, now: Seconds) -> list[Key]:
        """Remove and return the keys whose deadline has come."""
        due = []
        while True:
            due_at = self.next_at()
            if due_at is None or due_at > now:
                return due
            key = heapq.heappop(self._heap)[1]
            del self._due_at_by_key[key]
            due.append(key)
