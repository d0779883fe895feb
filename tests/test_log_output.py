"""A slow or blocked log reader never blocks the host; dropped lines are counted."""

import threading
import time

import msgspec

from passtally.log_output import LogOutput


class SlowStream:
    """A log stream that blocks writes until ``open`` is set, for at most 10 s each."""

    def __init__(self) -> None:
        self.written = b""
        self.open = threading.Event()

    def write(self, data: bytes) -> int:
        self.open.wait(10)
        self.written += data
        return len(data)

    def flush(self) -> None:
        pass

    @property
    def rows(self) -> list[dict]:
        return [msgspec.json.decode(line) for line in self.written.splitlines()]


class TestLogOutput:
    def test_lines_are_written_in_order(self):
        stream = SlowStream()
        stream.open.set()
        output = LogOutput(stream=stream)
        for number in range(5):
            output({"n": number})
        output.close()
        assert [row["n"] for row in stream.rows] == [0, 1, 2, 3, 4]

    def test_lines_for_a_blocked_log_are_dropped_and_counted_without_blocking(self):
        stream = SlowStream()
        output = LogOutput(stream=stream, most=3)
        output({"n": "first"})
        time.sleep(0.05)
        began = time.monotonic()
        for number in range(10):
            output({"n": number})
        assert time.monotonic() - began < 0.5
        assert output.dropped == 7
        stream.open.set()
        while len(stream.rows) < 4:
            time.sleep(0.01)
        output({"n": "last"})
        output.close()
        assert stream.rows[-1] == {"n": "last", "dropped_lines": 7}

    def test_values_without_a_json_form_are_written_as_text(self):
        stream = SlowStream()
        stream.open.set()
        output = LogOutput(stream=stream)
        output({"n": ValueError("odd")})
        output.close()
        assert stream.rows == [{"n": "odd"}]
