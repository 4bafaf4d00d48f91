"""A log of JSON lines on standard output that never blocks the process.

Lines wait in a bounded buffer; a thread renders and writes them, so that a packet
waits for neither. Each kind of line has a budget a second; what is above it, and
what the buffer sheds, is counted and told in a line of its own.
"""

from __future__ import annotations

import os
import queue
import threading
import time
from collections import deque
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    import structlog

    from bilberrypath.types import Seconds

LINES_PER_KIND = 40  # a second; a balancer places about 30 opens a second today
MAX_WAITING = 2000  # lines, about 500 KB
STANDARD_OUTPUT = 1
MICROSECONDS = 1_000_000  # in a second
CLOSE_LIMIT: Seconds = 0.3  # a small part of the time that a process has to end


@define
class LineBudget:
    """Count lines by kind, and those that were left out, second by second."""

    limit: int = LINES_PER_KIND
    dropped_by_kind: dict[str, int] = Factory(dict)
    _written_by_kind: dict[str, int] = Factory(dict)
    _until: Seconds = float("-inf")

    def takes(self, kind: str, now: Seconds) -> bool:
        """Return whether a line of a kind is within its budget."""
        if now >= self._until:
            self._until = now + 1.0
            self._written_by_kind.clear()
        written = self._written_by_kind.get(kind, 0)
        if written >= self.limit:
            self.note_dropped(kind)
            return False
        self._written_by_kind[kind] = written + 1
        return True

    def note_dropped(self, kind: str) -> None:
        """Count a line that is left out."""
        self.dropped_by_kind[kind] = self.dropped_by_kind.get(kind, 0) + 1

    def take_dropped(self) -> dict[str, int]:
        """Return how many lines were left out since the last call, by kind."""
        dropped, self.dropped_by_kind = self.dropped_by_kind, {}
        return dropped


@frozen
class LogLine:
    """A line that is not rendered yet; ``at`` is the time of day, in seconds."""

    event: str
    at: float
    fields: dict[str, Any]


class LineLog:
    """Take lines at once, and render and write them in the background.

    ``output`` is the descriptor that they are written to.
    """

    def __init__(self, node: str, role: str, output: int = STANDARD_OUTPUT) -> None:
        self._output = output
        self._origin = {"node": node, "role": role}
        self._budget = LineBudget()
        self._waiting: deque[LogLine] = deque()
        self._batches: queue.Queue[list[LogLine] | None] = queue.Queue(maxsize=1)
        self._writer = threading.Thread(target=self._write_all_batches, daemon=True)
        self._writer.start()

    def write(self, event: str, now: Seconds, **fields: Any) -> None:
        """Write a line, unless there were too many of its kind."""
        if not self._budget.takes(event, now):
            return
        if len(self._waiting) == MAX_WAITING:
            self._waiting.popleft()
            self._budget.note_dropped("oldest")
        self._waiting.append(LogLine(event, time.time(), fields))

    def flush(self) -> None:
        """Hand waiting lines to the writer, if it has written the last ones."""
        if self._batches.full():
            return
        batch = self._take_waiting()
        if batch:
            self._batches.put_nowait(batch)

    def close(self) -> None:
        """Write what waits, at the end of the process, if somebody takes it.

        The writer may be at a batch, with another one ready; both go before what
        waits.
        """
        end = time.monotonic() + CLOSE_LIMIT
        for batch in (self._take_waiting(), None):
            with suppress(queue.Full):
                self._batches.put(batch, timeout=_count_left(end))
        self._writer.join(_count_left(end))

    def _take_waiting(self) -> list[LogLine]:
        dropped = self._budget.take_dropped()
        batch = list(self._waiting)
        self._waiting.clear()
        if dropped:
            batch.append(LogLine("lines_dropped", time.time(), dropped))
        return batch

    def _write_all_batches(self) -> None:
        logger = None
        while (batch := self._batches.get()) is not None:
            logger = logger or _make_logger(self._origin)
            lines = [_render(logger, line) for line in batch]
            if lines:
                _write_all(self._output, ("\n".join(lines) + "\n").encode())


def _make_logger(origin: dict[str, str]) -> structlog.BoundLogger:
    """Return a logger that returns its lines; loaded when there is one to write."""
    import structlog

    return structlog.wrap_logger(
        structlog.ReturnLogger(),
        processors=[structlog.processors.JSONRenderer()],
        wrapper_class=structlog.BoundLogger,
    ).bind(**origin)


def _render(logger: structlog.BoundLogger, line: LogLine) -> str:
    seconds, fraction = divmod(line.at, 1)
    second = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    timestamp = f"{second}.{int(fraction * MICROSECONDS):06}Z"
    return logger.info(line.event, **{**line.fields, "timestamp": timestamp})


def _count_left(end: Seconds) -> Seconds:
    return max(0.0, end - time.monotonic())


def _write_all(output: int, data: bytes) -> None:
    """Write all of the data, or lose it if nobody takes it."""
    while data:
        try:
            data = data[os.write(output, data) :]
        except OSError:
            return
