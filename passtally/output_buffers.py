"""Limits on the answers that callers have not read yet.

An engine should not have to wait for a slow caller: up to a limit per stream, its
output is kept for the caller, so that the engine's memory is free once it has finished.
A limit for the whole host bounds what all callers together leave unread.
"""

import asyncio
import fcntl
import struct
import termios
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta

import attrs

from passtally.decision import log_event
from passtally.metrics import Metric, Metrics, NoMetrics
from passtally.settings import Settings

#: Unread output, in bytes, above which a writer waits, other than in a stream. Also
#: what may remain of a stream's output once it counts as sent.
WRITE_HIGH_WATER = 64 * 1024
#: How often the unread output is measured within the time limit for reading it.
CHECKS_PER_TIMEOUT = 4
_INT = struct.Struct("i")


class UnreadOutputError(ConnectionError):
    """A stream was aborted because its caller did not read it."""


@attrs.frozen(kw_only=True)
class OutputLimits:
    """Limits on unread output.

    Attributes:
        stream: The unread bytes of a stream above which its endpoint is no longer read.
        host: The unread bytes of all callers above which streams are aborted.
        timeout: The time after which a stream at its limit is aborted if its caller has
            read nothing.
    """

    stream: int = 1024 * 1024
    host: int = 32 * 1024 * 1024
    timeout: timedelta = timedelta(seconds=30)

    @classmethod
    def of(cls, settings: Settings) -> "OutputLimits":
        """Return the limits in the settings."""
        return cls(
            stream=settings.max_unread,
            host=settings.max_unread_total,
            timeout=settings.unread_timeout,
        )


class OutputBuffers:
    """The unread output of all connections of a host.

    Args:
        limits: The limits.
        metrics: The sink of metrics.
    """

    def __init__(
        self, *, limits: OutputLimits | None = None, metrics: Metrics | None = None
    ) -> None:
        self.limits = limits or OutputLimits()
        self.metrics = metrics or NoMetrics()
        self._total = 0
        #: Buffers that were not empty when last measured.
        self._filled: set[OutputBuffer] = set()

    @property
    def total(self) -> int:
        """The unread bytes of all connections."""
        for buffer in list(self._filled):
            self._measure(buffer)
        return self._total

    def record(self, buffer: "OutputBuffer") -> None:
        """Record a connection's unread bytes; abort streams above the host's limit."""
        self._measure(buffer)
        # Buffers are measured at writes only, so the sum may be too high.
        if self._total > self.limits.host and self.total > self.limits.host:
            self._abort_largest()

    def remove(self, buffer: "OutputBuffer") -> None:
        """Forget a connection that has closed."""
        self._filled.discard(buffer)
        self._total -= buffer.size
        buffer.size = 0

    def _measure(self, buffer: "OutputBuffer") -> None:
        size = buffer.read_size()
        self._total += size - buffer.size
        buffer.size = size
        if size:
            self._filled.add(buffer)
        else:
            self._filled.discard(buffer)

    def _abort_largest(self) -> None:
        """Abort the largest streams until the total is within the limit.

        Complete answers are never aborted.
        """
        streams = [buffer for buffer in self._filled if buffer.is_stream]
        streams.sort(key=lambda buffer: buffer.size)
        while streams and self._total > self.limits.host:
            buffer = streams.pop()
            buffer.abort(f"unread output of the host is above {self.limits.host} bytes")
            self.remove(buffer)


class OutputBuffer:
    """The unread output of one connection.

    Args:
        buffers: The buffers of the host.
        transport: The connection.
    """

    def __init__(
        self, *, buffers: OutputBuffers, transport: asyncio.WriteTransport
    ) -> None:
        self.size = 0
        #: Whether the answer is a stream that may be aborted.
        self.is_stream = False
        #: Why the stream was aborted; empty if it was not.
        self.abort_reason = ""
        #: Whether unsent output was dropped.
        self.is_dropped = False
        self._closing_watch: _ProgressWatch | None = None
        self._buffers = buffers
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)

    def read_size(self) -> int:
        """Return the bytes that wait to be sent."""
        if self._transport.is_closing():
            return 0
        return self._transport.get_write_buffer_size()

    def begin_stream(self) -> None:
        """Keep more unread output, up to the limit of a stream."""
        self.is_stream = True
        limit = max(self._buffers.limits.stream, WRITE_HIGH_WATER)
        self._transport.set_write_buffer_limits(high=limit, low=WRITE_HIGH_WATER)

    def end_stream(self) -> None:
        """Mark the answer as complete: it is delivered however slowly it is read."""
        self.is_stream = False
        if not self._transport.is_closing():
            self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)

    def record(self) -> None:
        """Record the unread bytes after a write.

        Raises:
            UnreadOutputError: This stream was aborted.
        """
        self._buffers.record(self)
        self.check()

    def check(self) -> None:
        """Check that the stream was not aborted.

        Raises:
            UnreadOutputError: It was.
        """
        if self.abort_reason:
            raise UnreadOutputError(self.abort_reason)

    @contextmanager
    def expect_progress(self) -> Iterator[None]:
        """Abort a stream of which the caller reads nothing for the timeout."""
        timeout = self._buffers.limits.timeout
        watch = _ProgressWatch(
            buffer=self,
            timeout=timeout,
            on_stall=lambda: self._abort_stalled(timeout),
        )
        try:
            yield
        finally:
            watch.stop()

    def _abort_stalled(self, timeout: timedelta) -> None:
        if self.is_stream:
            self.abort(f"the caller read nothing for {timeout.total_seconds():g} s")

    def abort(self, reason: str) -> None:
        """Abort the stream, so that its engine is free and its caller may resume it."""
        self.abort_reason = reason
        peer = self._transport.get_extra_info("peername")
        log_event("output", "Stream aborted.", peer=peer, unread=self.size, why=reason)
        self._buffers.metrics.count(Metric.UNREAD_ABORTED)
        self.drop()

    def drop(self) -> None:
        """Close the connection at once, and drop its unsent output."""
        self.is_dropped = True
        self._transport.abort()

    def close_when_read(self, timeout: timedelta) -> None:
        """Close once all output is sent; abort if the caller reads nothing for a time.

        Args:
            timeout: The time in which the caller has to read something.
        """
        if self._transport.get_write_buffer_size():
            self._closing_watch = _ProgressWatch(
                buffer=self, timeout=timeout, on_stall=self.drop
            )
        self._transport.close()

    def count_unread(self) -> int:
        """Return the bytes that the caller has not acknowledged.

        The system tells that a socket is writable only once a third of its buffer is
        free, so a slow reader's progress may show there alone for minutes.
        """
        unsent = self._transport.get_write_buffer_size()
        sock = self._transport.get_extra_info("socket")
        try:
            data = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
        except OSError as error:
            log_event("output", "The socket's queue can't be read.", why=error)
            return unsent
        return unsent + _INT.unpack(data)[0]

    def close(self) -> None:
        """Forget the output of a connection that has closed."""
        if self._closing_watch is not None:
            self._closing_watch.stop()
        self._buffers.remove(self)


class _ProgressWatch:
    """Calls back once a caller has read nothing for a time.

    Args:
        buffer: The caller's unread output.
        timeout: The time in which the caller has to read something.
        on_stall: Called if it does not.
    """

    def __init__(
        self,
        *,
        buffer: OutputBuffer,
        timeout: timedelta,
        on_stall: Callable[[], None],
    ) -> None:
        self._buffer = buffer
        self._interval = timeout.total_seconds() / CHECKS_PER_TIMEOUT
        self._on_stall = on_stall
        self._unread = buffer.count_unread()
        self._checks_left = CHECKS_PER_TIMEOUT
        self._schedule()

    def stop(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._interval, self._check)

    def _check(self) -> None:
        before, self._unread = self._unread, self._buffer.count_unread()
        if self._unread < before:
            self._checks_left = CHECKS_PER_TIMEOUT
        else:
            self._checks_left -= 1
        if self._checks_left:
            self._schedule()
        else:
            self._on_stall()


def abort_reason(error: BaseException) -> str:
    """Return why this host aborted an answer; empty if its caller left."""
    if isinstance(error, asyncio.CancelledError):
        return str(error)
    return str(error) if isinstance(error, UnreadOutputError) else ""
