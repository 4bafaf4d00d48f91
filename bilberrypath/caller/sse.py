"""Parse the items of a stream, which arrive as server-sent events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, frozen

if TYPE_CHECKING:
    from collections.abc import Iterator


@frozen
class StreamItem:
    """One item of a stream; ``number`` increases from item to item."""

    number: int
    data: str


@define
class ItemParser:
    """A parser of server-sent events in a body that arrives in parts.

    Events without a numeric ``id`` are skipped.

    Examples
    --------
    >>> parser = ItemParser()
    >>> list(parser.feed(b"id: 7\\ndata: ride"))
    []
    >>> list(parser.feed(b" 12\\n\\n"))
    [StreamItem(number=7, data='ride 12')]
    """

    _buffer: bytes = b""

    def feed(self, data: bytes) -> Iterator[StreamItem]:
        """Yield the items that are complete once ``data`` is appended."""
        self._buffer += data
        while b"\n\n" in self._buffer:
            event, _, self._buffer = self._buffer.partition(b"\n\n")
            item = _parse_event(event.decode("utf-8", "replace"))
            if item is not None:
                yield item


def _parse_event(text: str) -> StreamItem | None:
    """Return the item of an event, or None if the event has no numeric ``id``."""
    value_by_name: dict[str, list[str]] = {}
    for line in text.split("\n"):
        name, _, value = line.partition(":")
        value_by_name.setdefault(name, []).append(value.removeprefix(" "))
    number = value_by_name.get("id", [""])[0]
    if not number.isdigit():
        return None
    return StreamItem(int(number), "\n".join(value_by_name.get("data", [])))
