"""Writes log lines without blocking the event loop.

Lines pass through a bounded queue to a writer thread. If the reader of the log is
slower than the host, lines are dropped and counted, and the count is logged.
"""

import contextlib
import errno
import os
import threading
from collections import deque
from typing import Any, BinaryIO

import msgspec

from passtally.stop_signals import block_here

#: Default maximum number of queued lines. At 300 bytes per line they take 0.3 MB.
MAX_WAITING = 1000
STANDARD_ERROR = 2


class LogOutput:
    """An eliot destination that queues messages for its writer thread.

    Args:
        stream: The binary stream to which lines are written.
        most: The maximum number of queued lines.
    """

    def __init__(self, *, stream: BinaryIO, most: int = MAX_WAITING) -> None:
        #: Number of lines dropped since the last line that was queued.
        self.dropped = 0
        self._stream = stream
        self._max_lines = most
        self._queue: deque[bytes] = deque()
        self._wake = threading.Event()
        self._is_closing = False
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message, or drop and count it if the queue is full."""
        if len(self._queue) >= self._max_lines:
            self.dropped += 1
            return
        if self.dropped:
            message = message | {"dropped_lines": self.dropped}
            self.dropped = 0
        self._queue.append(_encode(message))
        self._wake.set()

    def close(self) -> None:
        """Stop the writer thread; wait up to 1 s for it to write all queued lines."""
        self._is_closing = True
        self._wake.set()
        self._thread.join(timeout=1)

    def _run(self) -> None:
        block_here()
        while not self._is_closing or self._queue:
            self._wake.wait()
            self._wake.clear()
            lines = []
            while self._queue:
                lines.append(self._queue.popleft())
            if lines:
                self._write(b"".join(lines))

    def _write(self, data: bytes) -> None:
        rest = memoryview(data)
        try:
            while rest:
                # An unbuffered stream may write only a part of the data.
                written = self._stream.write(rest)
                if written is None:
                    raise BlockingIOError(errno.EAGAIN, "the log stream is full")
                rest = rest[written:]
            self._stream.flush()
        except OSError as error:
            # Standard error is the only place left to report this, and it may be closed
            # as well. It is written without a buffer: a line left in the buffer of
            # sys.stderr would fail to be flushed at exit and change the exit code.
            with contextlib.suppress(OSError):
                line = f"passtally: cannot write the log: {error}\n"
                os.write(STANDARD_ERROR, line.encode())


def _encode(message: dict[str, Any]) -> bytes:
    return msgspec.json.encode(message, enc_hook=str) + b"\n"
