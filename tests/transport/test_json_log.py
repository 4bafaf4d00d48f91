import json
import os
import subprocess
import sys
import threading
import time
from datetime import datetime

import pytest

from bilberrypath.transport import json_log
from bilberrypath.transport.json_log import (
    MAX_BUFFERED_LINES,
    MAX_LINES_PER_SECOND,
    JsonLog,
)

PIPE_SIZE = 65536  # bytes that a pipe holds before a write blocks


def _wait_until(condition):
    end = time.monotonic() + 5.0
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.001)


@pytest.fixture
def read_lines():
    """Return a function that closes the output and returns the lines written to it.

    Its ``output`` attribute is the write end of a pipe that a thread reads.
    """
    read_end, write_end = os.pipe()
    lines = []

    def read_pipe():
        with os.fdopen(read_end) as taken:
            lines.extend(json.loads(line) for line in taken)

    thread = threading.Thread(target=read_pipe, daemon=True)
    thread.start()

    def read():
        os.close(write_end)
        thread.join(5.0)
        return lines

    read.output = write_end
    return read


class TestLines:
    def test_line_is_json_with_its_fields(self, read_lines):
        log = JsonLog("10.0.0.1:7600", "agent", read_lines.output)
        log.write("open_accepted", 0.0, flow="a>b", busy=2)
        log.close()
        (line,) = read_lines()
        assert line["event"] == "open_accepted"
        assert line["flow"] == "a>b"
        assert line["busy"] == 2
        assert line["node"] == "10.0.0.1:7600"
        assert line["timestamp"].endswith("Z")
        logged_at = datetime.fromisoformat(line["timestamp"]).timestamp()
        assert abs(logged_at - time.time()) < 5.0

    def test_value_without_a_json_form_is_logged_as_text(self, read_lines):
        log = JsonLog("n", "agent", read_lines.output)
        log.write("odd", 0.0, value={1, 2}, key=b"x")
        log.write("next", 0.0)
        log.close()
        odd, following = read_lines()
        assert odd["value"] == "{1, 2}"
        assert following["event"] == "next"

    def test_line_that_cannot_be_rendered_does_not_end_the_log(self, read_lines):
        log = JsonLog("n", "agent", read_lines.output)
        log.write("odd", 0.0, value={(1, 2): 3})
        log.write("next", 0.0, now=5)
        log.close()
        odd, following = read_lines()
        assert "(1, 2): 3" in odd["fields"]
        assert following["now"] == 5

    def test_writing_does_not_load_structlog(self):
        script = (
            "import sys; from bilberrypath.transport.json_log import JsonLog; "
            "log = JsonLog('n', 'agent'); log.write('started', 0.0); log.close(); "
            "sys.exit('structlog' in sys.modules)"
        )
        subprocess.run([sys.executable, "-c", script], check=True)

    def test_lines_of_one_event_are_limited_and_dropped_ones_reported(self, read_lines):
        log = JsonLog("n", "agent", read_lines.output)
        for _ in range(MAX_LINES_PER_SECOND + 7):
            log.write("open_accepted", 0.5)
        log.write("flow_reset", 0.5)
        log.close()
        lines = read_lines()
        events = [line["event"] for line in lines]
        assert events.count("open_accepted") == MAX_LINES_PER_SECOND
        assert events.count("flow_reset") == 1
        (dropped,) = [line for line in lines if line["event"] == "lines_dropped"]
        assert dropped["open_accepted"] == 7

    def test_limit_applies_to_each_second(self, read_lines):
        log = JsonLog("n", "agent", read_lines.output)
        for now in (0.0, 1.0):
            for _ in range(MAX_LINES_PER_SECOND):
                log.write("open_accepted", now)
        log.close()
        assert len(read_lines()) == 2 * MAX_LINES_PER_SECOND

    def test_oldest_lines_are_dropped_when_the_output_is_blocked(self, read_lines):
        log = JsonLog("n", "agent", read_lines.output)
        for number in range(MAX_BUFFERED_LINES + 5):
            log.write(f"kind-{number}", 0.0)
        log.close()
        lines = read_lines()
        assert lines[0]["event"] != "kind-0"
        (dropped,) = [line for line in lines if line["event"] == "lines_dropped"]
        assert dropped["oldest"] >= 5

    def test_close_writes_the_last_lines_while_the_writer_is_busy(self):
        read_end, write_end = os.pipe()
        log = JsonLog("n", "agent", write_end)
        log.write("started", 0.0, padding="x" * PIPE_SIZE)
        log.flush()
        _wait_until(lambda: not log._batch_queue.full())
        log.write("serving", 0.0)
        log.flush()
        log.write("stopped", 0.0)
        taken = bytearray()

        def read_pipe():
            time.sleep(0.05)  # ``close`` is waiting for the writer by then
            while chunk := os.read(read_end, 4 * PIPE_SIZE):
                taken.extend(chunk)

        thread = threading.Thread(target=read_pipe, daemon=True)
        thread.start()
        log.close()
        os.close(write_end)
        thread.join(5.0)
        lines = [json.loads(line) for line in taken.decode().splitlines()]
        assert [line["event"] for line in lines] == ["started", "serving", "stopped"]

    def test_closed_output_raises_nothing(self):
        log = JsonLog("n", "agent", -1)
        log.write("started", 0.0)
        log.close()

    def test_close_returns_when_the_output_is_blocked(
        self,
    ):
        read_end, write_end = os.pipe()
        log = JsonLog("n", "agent", write_end)
        for number in range(MAX_BUFFERED_LINES):
            log.write(f"kind-{number}", 0.0, padding="x" * 100)
        started_at = time.monotonic()
        log.close()
        log.write("later", 0.0)
        log.flush()
        assert time.monotonic() - started_at < 10 * json_log.CLOSE_TIMEOUT
        os.close(read_end)
