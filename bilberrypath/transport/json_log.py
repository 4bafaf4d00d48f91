"""A log of JSON lines on standard output that never blocks the process.

Lines are queued in a bounded buffer; a thread renders and writes them, so that neither
delays the handling of packets. The lines of each event are limited per second. Lines
dropped by this limit or by a full buffer are counted in a ``lines_dropped`` line.

structlog is not used here: its import takes a seventh of the memory of a process of the
datagram service, where memory is priced.
"""

from __future__ import annotations

import json
import os
import queue
import threading
import time
import traceback
from collections import deque
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any

from attrs import Factory, define, frozen

if TYPE_CHECKING:
    from bilberrypath.types import Seconds

MAX_LINES_PER_SECOND = 40  # of one event; a balancer places about 30 opens per second
MAX_BUFFERED_LINES = 2000  # about 500 KB
STDOUT_FD = 1
MAX_LOGGED_FRAMES = 4  # the innermost ones of an error
MICROSECONDS_PER_SECOND = 1_000_000
CLOSE_TIMEOUT: Seconds = 0.3  # a small part of the time a process is given to end


@define
class LogRateLimiter:
    """A limit on the lines of each kind in windows of one second.

    A kind is the name of a line's event. ``limit`` applies to each kind in each window;
    ``dropped_by_kind`` counts the lines dropped since :meth:`pop_dropped`.
    """

    limit: int = MAX_LINES_PER_SECOND
    dropped_by_kind: dict[str, int] = Factory(dict)
    _written_by_kind: dict[str, int] = Factory(dict)
    _window_end: Seconds = float("-inf")

    def allow(self, kind: str, now: Seconds) -> bool:
        """Return whether a line of a kind may be written, and count it."""
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
        """Count a dropped line."""
        self.dropped_by_kind[kind] = self.dropped_by_kind.get(kind, 0) + 1

    def pop_dropped(self) -> dict[str, int]:
        """Return the number of lines dropped since the last call, by kind."""
        dropped, self.dropped_by_kind = self.dropped_by_kind, {}
        return dropped


@frozen
class LogLine:
    """A line to be rendered; ``unix_time`` is in seconds since the Unix epoch."""

    event: str
    unix_time: float
    fields: dict[str, Any]


class JsonLog:
    """A log that accepts lines without blocking; a thread renders and writes them.

    Every line contains ``node`` and ``role``. ``output_fd`` is the file descriptor that
    the lines are written to. ``_batch_queue`` passes lines to the thread; None ends it.
    """

    def __init__(self, node: str, role: str, output_fd: int = STDOUT_FD) -> None:
        self._output_fd = output_fd
        self._bound_fields = {"node": node, "role": role}
        self._rate_limiter = LogRateLimiter()
        self._buffer: deque[LogLine] = deque()
        self._batch_queue: queue.Queue[list[LogLine] | None] = queue.Queue(maxsize=1)
        self._writer_thread = threading.Thread(target=self._write_batches, daemon=True)
        self._writer_thread.start()

    def write(self, event: str, now: Seconds, /, **fields: Any) -> None:
        """Queue a line, unless its event is above its rate limit.

        A full buffer drops its oldest line, counted under the kind ``oldest``.
        """
        if not self._rate_limiter.allow(event, now):
            return
        if len(self._buffer) == MAX_BUFFERED_LINES:
            self._buffer.popleft()
            self._rate_limiter.record_dropped("oldest")
        self._buffer.append(LogLine(event, time.time(), fields))

    def flush(self) -> None:
        """Pass the buffered lines to the writer thread, unless one batch is queued."""
        if self._batch_queue.full():
            return
        batch = self._pop_buffered()
        if batch:
            self._batch_queue.put_nowait(batch)

    def close(self) -> None:
        """Write the buffered lines at process exit, within :data:`CLOSE_TIMEOUT`.

        The writer may be writing one batch while another is queued; both are written
        before the buffered lines. If nothing reads the output, lines are lost.
        """
        deadline = time.monotonic() + CLOSE_TIMEOUT
        for batch in (self._pop_buffered(), None):
            with suppress(queue.Full):
                self._batch_queue.put(batch, timeout=_seconds_until(deadline))
        self._writer_thread.join(_seconds_until(deadline))

    def _pop_buffered(self) -> list[LogLine]:
        dropped = self._rate_limiter.pop_dropped()
        batch = list(self._buffer)
        self._buffer.clear()
        if dropped:
            batch.append(LogLine("lines_dropped", time.time(), dropped))
        return batch

    def _write_batches(self) -> None:
        while (batch := self._batch_queue.get()) is not None:
            lines = [_format_line(self._bound_fields, line) for line in batch]
            if lines:
                _write_all(self._output_fd, ("\n".join(lines) + "\n").encode())


def describe_loop_error(context: dict[str, Any]) -> dict[str, Any]:
    """Return the log fields of an error that an event loop reports."""
    error = context.get("exception")
    frames = traceback.extract_tb(error.__traceback__) if error else []
    locations = [f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames]
    return {
        "message": context.get("message"),
        "error": repr(error),
        "where": locations[-MAX_LOGGED_FRAMES:],
    }


def _format_line(bound_fields: dict[str, str], line: LogLine) -> str:
    """Return a line as JSON; values without a JSON form are written as their text."""
    whole_seconds, fraction = divmod(line.unix_time, 1)
    date_time = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole_seconds))
    timestamp = f"{date_time}.{int(fraction * MICROSECONDS_PER_SECOND):06}Z"
    begin = {**bound_fields, "timestamp": timestamp, "event": line.event}
    try:
        return json.dumps({**begin, **line.fields}, default=repr)
    except (TypeError, ValueError):  # keys that are no text, or a cycle
        return json.dumps({**begin, "fields": repr(line.fields)})


def _seconds_until(deadline: Seconds) -> Seconds:
    return max(0.0, deadline - time.monotonic())


def _write_all(output_fd: int, data: bytes) -> None:
    """Write all of the data; drop the rest of it if the output is closed or fails."""
    while data:
        try:
            data = data[os.write(output_fd, data) :]
        except OSError:
            return
