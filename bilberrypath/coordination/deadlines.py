"""The deadlines of a decision core, ordered by time.

The core sets and clears deadlines by key. The daemon that runs the core reads the
time of the next deadline and calls the core when it is due.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING, Generic, TypeVar

from attrs import Factory, define

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bilberrypath.types import Seconds

Key = TypeVar("Key")


@define
class Deadlines(Generic[Key]):
    """At most one deadline per key; setting it again replaces it.

    ``_heap`` may contain replaced and cleared entries, which are skipped.
    """

    _due_at_by_key: dict[Key, float] = Factory(dict)
    _heap: list[tuple[float, Key]] = Factory(list)

    def set(self, key: Key, due_at: Seconds) -> None:
        """Set or replace the deadline of a key."""
        self._due_at_by_key[key] = due_at
        heapq.heappush(self._heap, (due_at, key))

    def clear(self, key: Key) -> None:
        """Remove the deadline of a key, if it has one."""
        self._due_at_by_key.pop(key, None)

    def shift_for_pause(self, pause: Seconds) -> None:
        """Postpone all deadlines by a pause of this process."""
        shifted = [(due_at + pause, key) for key, due_at in self._due_at_by_key.items()]
        self._due_at_by_key = {key: due_at for due_at, key in shifted}
        heapq.heapify(shifted)
        self._heap = shifted

    def next_at(self) -> Seconds | None:
        """Return the time of the earliest deadline, or None if there is none."""
        while self._heap:
            due_at, key = self._heap[0]
            if self._due_at_by_key.get(key) == due_at:
                return due_at
            heapq.heappop(self._heap)
        return None

    def pop_due(self, now: Seconds) -> Iterator[Key]:
        """Remove and yield the keys whose deadline is due, in order of time.

        The caller handles each key before it asks for the next, so that a deadline
        which it clears or replaces meanwhile is not yielded. A key is yielded once.
        """
        yielded: set[Key] = set()
        while (due_at := self.next_at()) is not None and due_at <= now:
            key = self._heap[0][1]
            if key in yielded:
                return
            heapq.heappop(self._heap)
            del self._due_at_by_key[key]
            yielded.add(key)
            yield key
