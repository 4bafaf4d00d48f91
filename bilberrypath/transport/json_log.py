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

MAX_LINES_PER_SECOND = 40  # a second; a balancer places about 30 opens a second today
MAX_BUFFERED_LINES = 2000  # lines, about 500 KB
STDOUT_FD = 1
MICROSECONDS_PER_SECOND = 1_000_000  # in a second
CLOSE_TIMEOUT: Seconds = 0.3  # a small part of the time that a process has to end


@define
class LogRateLimiter:
    """Count lines by kind, and those that were left out, second by second."""

    limit: int = MAX_LINES_PER_SECOND
    dropped_by_kind: dict[str, int] = Factory(dict)
    _written_by_kind: dict[str, int] = Factory(dict)
    _window_end: Seconds = float("-inf")

    def allow(self, kind: str, now: Seconds) -> bool:
        """Return whether a line of a kind is within its budget."""
        if now >= self._window_end:
            self._window_end = now + 1.0
            self._written_by_kind.clear()
        written = self._written_by_kind.get(kind, 0)
        if written >= self.limit:
            self.record_dropped(kind)
            return False
        self._written_by_kind[kind] = written + 1
        return True

    def record_dropped(self, kind: str) -> None:
        """Count a line that is left out."""
        self.dropped_by_kind[kind] = self.dropped_by_kind.get(kind, 0) + 1

    def pop_dropped(self) -> dict[str, int]:
        """Return how many lines were left out since the last call, by kind."""
        dropped, self.dropped_by_kind = self.dropped_by_kind, {}
        return dropped


@frozen
class LogLine:
    """A line that is not rendered yet; ``unix_time`` is the time of day, in seconds."""

    event: str
    unix_time: float
    fields: dict[str, Any]


class JsonLog:
    """Take lines at once, and render and write them in the background.

    ``output_fd`` is the descriptor that they are written to.
    """

    def __init__(self, node: str, role: str, output_fd: int = STDOUT_FD) -> None:
        self._output_fd = output_fd
        self._bound_fields = {"node": node, "role": role}
        self._rate_limiter = LogRateLimiter()
        self._buffer: deque[LogLine] = deque()
        self._batch_queue: queue.Queue[list[LogLine] | None] = queue.Queue(maxsize=1)
        self._writer_thread = threading.Thread(target=self._write_batches, daemon=True)
        self._writer_thread.start()

    def write(self, event: str, now: Seconds, **fields: Any) -> None:
        """Write a line, unless there were too many of its kind."""
        if not self._rate_limiter.allow(event, now):
            return
        if len(self._buffer) == MAX_BUFFERED_LINES:
            self._buffer.popleft()
            self._rate_limiter.record_dropped("oldest")
        self._buffer.append(LogLine(event, time.time(), fields))

    def flush(self) -> None:
        """Hand waiting lines to the writer, if it has written the last ones."""
        if self._batch_queue.full():
            return
        batch = self._pop_buffered()
        if batch:
            self._batch_queue.put_nowait(batch)

    def close(self) -> None:
        """Write what waits, at the end of the process, if somebody takes it.

        The writer may be at a batch, with another one ready; both go before what
        waits.
        """
        end = time.monotonic() + CLOSE_TIMEOUT
        for batch in (self._pop_buffered(), None):
            with suppress(queue.Full):
                self._batch_queue.put(batch, timeout=_seconds_until(end))
        self._writer_thread.join(_seconds_until(end))

    def _pop_buffered(self) -> list[LogLine]:
        dropped = self._rate_limiter.pop_dropped()
        batch = list(self._buffer)
        self._buffer.clear()
        if dropped:
            batch.append(LogLine("lines_dropped", time.time(), dropped))
        return batch

    def _write_batches(self) -> None:
        logger = None
        while (batch := self._batch_queue.get()) is not None:
            logger = logger or _make_logger(self._bound_fields)
            lines = [_format_line(logger, line) for line in batch]
            if lines:
                _write_all(self._output_fd, ("\n".join(lines) + "\n").encode())


def _make_logger(origin: dict[str, str]) -> structlog.BoundLogger:
    """Return a logger that returns its lines; loaded when there is one to write."""
    import structlog

    return structlog.wrap_logger(
        structlog.ReturnLogger(),
        processors=[structlog.processors.JSONRenderer()],
        wrapper_class=structlog.BoundLogger,
    ).bind(**origin)


def _format_line(logger: structlog.BoundLogger, line: LogLine) -> str:
    seconds, fraction = divmod(line.unix_time, 1)
    second = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    timestamp = f"{second}.{int(fraction * MICROSECONDS_PER_SECOND):06}Z"
    return logger.info(line.event, **{**line.fields, "timestamp": timestamp})


def _seconds_until(end: Seconds) -> Seconds:
    return max(0.0, end - time.monotonic())


def _write_all(output_fd: int, data: bytes) -> None:
    """Write all of the data, or lose it if nobody takes it."""
    while data:
        try:
            data = data[os.write(output_fd, data) :]
        except OSError:
            return
