"""A request to the HTTP server, and the answer to it."""

from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from typing import Protocol

import attrs

RawHeaders = Sequence[tuple[bytes, bytes]]
#: Number of events of one connection that are parsed before the event loop runs other
#: tasks. A body in chunks of one byte has 43,000 events in 256 KB.
EVENTS_PER_TURN = 16


@attrs.frozen(kw_only=True)
class ServerLimits:
    """Limits on the size and the duration of requests.

    Attributes:
        max_header: The maximum size of a request head, in bytes.
        max_body: The maximum size of a body, in bytes.
        header_timeout: The time limit for a request's head and body to arrive.
        idle_timeout: The time limit for an idle connection between requests.
    """

    max_header: int = 16 * 1024
    max_body: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


class BadRequestError(Exception):
    """A malformed, oversized or late request, or one that the host can't hold.

    Args:
        status: The HTTP status of the answer.
        problem: The reason, sent as the body of the answer.
        retry_after: The Retry-After of the answer; None for none.
    """

    def __init__(
        self, status: int, problem: str, *, retry_after: timedelta | None = None
    ) -> None:
        self.status = status
        self.retry_after = retry_after
        super().__init__(problem)


@attrs.frozen(kw_only=True)
class HttpRequest:
    """A request, byte for byte as the caller sent it.

    Attributes:
        method: The method.
        target: The path and query.
        headers: The headers in order, with the names in their original case.
        body: The complete body.
    """

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header by its lower-case name, or None."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None


class Connection(Protocol):
    """The connection that carries a request and its answer."""

    def send_head(self, status: int, headers: RawHeaders, *, is_framed: bool) -> None:
        """Send the head of an answer."""

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body; wait while the output buffer is full.

        Raises:
            ConnectionError: The caller disconnected.
        """

    def send_end(self) -> None:
        """Mark the answer as complete."""

    async def flush(self) -> None:
        """Wait until nearly all of the answer is sent.

        Raises:
            ConnectionError: The caller disconnected.
        """

    def abort(self) -> None:
        """Close at once and drop unsent output."""


class Exchange:
    """A request and the answer to it.

    Args:
        request: The request.
        connection: The connection that carries both.
    """

    def __init__(self, *, request: HttpRequest, connection: "Connection") -> None:
        self.request = request
        self.has_begun = False
        self._connection = connection

    async def answer(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a complete answer with its Content-Length."""
        length = (b"Content-Length", str(len(body)).encode())
        await self.begin(status, [*headers, length])
        await self.write(body)
        await self.end()

    async def begin(
        self, status: int, headers: RawHeaders, *, is_framed: bool = True
    ) -> None:
        """Send the head of an answer.

        Args:
            status: The status.
            headers: The headers; without a Content-Length the body is sent chunked.
            is_framed: Whether the end of the body is marked by its length or by
                chunks; otherwise the body ends when the connection closes.
        """
        self.has_begun = True
        self._connection.send_head(status, headers, is_framed=is_framed)

    async def write(self, data: bytes) -> None:
        """Send a part of the body; wait while the output buffer is full.

        Raises:
            ConnectionError: The caller disconnected.
        """
        if data:
            await self._connection.send_data(data)

    async def end(self) -> None:
        """Mark the answer as complete."""
        self._connection.send_end()

    async def flush(self) -> None:
        """Wait until nearly all of the answer is sent.

        Raises:
            ConnectionError: The caller disconnected.
        """
        await self._connection.flush()

    def abort(self) -> None:
        """Abort the connection, so that the answer is seen to be incomplete."""
        self._connection.abort()


Handle = Callable[[Exchange], Awaitable[None]]
