import json
import os
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

PIPE_SIZE = 65536  # bytes that a pipe holds before its writer waits


def _wait_until(happened):
    end = time.monotonic() + 5.0
    while not happened():
        assert time.monotonic() < end
        time.sleep(0.001)


@pytest.fixture
def written():
    """Lines that reach the output, taken by a thread until it is closed."""
    read_end, write_end = os.pipe()
    lines = []

    def take():
        with os.fdopen(read_end) as taken:
            lines.extend(json.loads(line) for line in taken)

    thread = threading.Thread(target=take, daemon=True)
    thread.start()

    def read():
        os.close(write_end)
        thread.join(5.0)
        return lines

    read.output = write_end
    return read


class TestLines:
    def test_are_json_with_their_fields(self, written):
        log = JsonLog("10.0.0.1:7600", "agent", written.output)
        log.write("open_accepted", 0.0, flow="a>b", busy=2)
        log.close()
        (line,) = written()
        assert line["event"] == "open_accepted"
        assert line["flow"] == "a>b"
        assert line["busy"] == 2
        assert line["node"] == "10.0.0.1:7600"
        assert line["timestamp"].endswith("Z")
        told = datetime.fromisoformat(line["timestamp"]).timestamp()
        assert abs(told - time.time()) < 5.0

    def test_what_has_no_form_in_json_is_told_all_the_same(self, written):
        log = JsonLog("n", "agent", written.output)
        log.write("odd", 0.0, value={1, 2}, key=b"x")
        log.write("next", 0.0)
        log.close()
        odd, following = written()
        assert odd["value"] == "{1, 2}"
        assert following["event"] == "next"

    def test_of_one_kind_are_bounded_and_what_is_left_out_is_told(self, written):
        log = JsonLog("n", "agent", written.output)
        for _ in range(MAX_LINES_PER_SECOND + 7):
            log.write("open_accepted", 0.5)
        log.write("flow_reset", 0.5)
        log.close()
        lines = written()
        kinds = [line["event"] for line in lines]
        assert kinds.count("open_accepted") == MAX_LINES_PER_SECOND
        assert kinds.count("flow_reset") == 1
        (dropped,) = [line for line in lines if line["event"] == "lines_dropped"]
        assert dropped["open_accepted"] == 7

    def test_the_next_second_has_a_budget_of_its_own(self, written):
        log = JsonLog("n", "agent", written.output)
        for now in (0.0, 1.0):
            for _ in range(MAX_LINES_PER_SECOND):
                log.write("open_accepted", now)
        log.close()
        assert len(written()) == 2 * MAX_LINES_PER_SECOND

    def test_the_oldest_go_first_when_nobody_takes_them(self, written):
        log = JsonLog("n", "agent", written.output)
        for number in range(MAX_BUFFERED_LINES + 5):
            log.write(f"kind-{number}", 0.0)
        log.close()
        lines = written()
        assert lines[0]["event"] != "kind-0"
        (dropped,) = [line for line in lines if line["event"] == "lines_dropped"]
        assert dropped["oldest"] >= 5

    def test_the_last_ones_are_written_though_the_writer_is_busy(self):
        read_end, write_end = os.pipe()
        log = JsonLog("n", "agent", write_end)
        log.write("started", 0.0, padding="x" * PIPE_SIZE)
        log.flush()
        _wait_until(lambda: not log._batch_queue.full())
        log.write("serving", 0.0)
        log.flush()
        log.write("stopped", 0.0)
        taken = bytearray()

        def take():
            time.sleep(0.05)  # the end has begun by then
            while chunk := os.read(read_end, 4 * PIPE_SIZE):
                taken.extend(chunk)

        thread = threading.Thread(target=take, daemon=True)
        thread.start()
        log.close()
        os.close(write_end)
        thread.join(5.0)
        lines = [json.loads(line) for line in taken.decode().splitlines()]
        assert [line["event"] for line in lines] == ["started", "serving", "stopped"]

    def test_a_closed_output_does_no_harm(self):
        log = JsonLog("n", "agent", -1)
        log.write("started", 0.0)
        log.close()

    def test_nobody_takes_the_lines_and_the_process_ends_all_the_same(
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
