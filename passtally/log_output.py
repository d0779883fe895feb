"""Writes log lines without ever holding up the loop.

Lines go through a bounded queue to a thread of their own. Where the reader of the
log is slower than the host, lines are dropped and counted, and the count is logged.
"""

import contextlib
import errno
import os
import threading
from collections import deque
from typing import Any, BinaryIO

import msgspec

#: Lines that may wait. At 300 bytes each they take a third of a megabyte.
MAX_WAITING = 1000
STANDARD_ERROR = 2


class LogOutput:
    """An eliot destination.

    Args:
        stream: Where lines go.
        most: How many lines may wait.
    """

    def __init__(self, *, stream: BinaryIO, most: int = MAX_WAITING) -> None:
        self.dropped = 0
        self._stream = stream
        self._most = most
        self._waiting: deque[bytes] = deque()
        self._wake = threading.Event()
        self._is_closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Take one message."""
        if len(self._waiting) >= self._most:
            self.dropped += 1
            return
        if self.dropped:
            message = message | {"dropped_lines": self.dropped}
            self.dropped = 0
        self._waiting.append(_encode(message))
        self._wake.set()

    def close(self) -> None:
        """Write what waits, within a second, and stop."""
        self._is_closing = True
        self._wake.set()
        self._thread.join(timeout=1)

    def _run(self) -> None:
        while not self._is_closing or self._waiting:
            self._wake.wait()
            self._wake.clear()
            lines = []
            while self._waiting:
                lines.append(self._waiting.popleft())
            if lines:
                self._write(b"".join(lines))

    def _write(self, data: bytes) -> None:
        rest = memoryview(data)
        try:
            while rest:
                # A stream without a buffer may take a part of it.
                written = self._stream.write(rest)
                if written is None:
                    raise BlockingIOError(errno.EAGAIN, "the stream is full")
                rest = rest[written:]
            self._stream.flush()
        except OSError as error:
            # There is nowhere else to tell it, and standard error may be gone too: a
            # line that waits in its buffer would make the process end as failed.
            with contextlib.suppress(OSError):
                line = f"passtally: the log can't be written: {error}\n"
                os.write(STANDARD_ERROR, line.encode())


def _encode(message: dict[str, Any]) -> bytes:
    return msgspec.json.encode(message, enc_hook=str) + b"\n"
