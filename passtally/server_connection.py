"""One caller's connection to the HTTP server, which serves one request at a time.

h11 does the parsing; this module manages timeouts, disconnecting callers and
backpressure from slow readers.
"""

import asyncio
import contextlib
import re
from collections.abc import Callable
from datetime import timedelta
from email.utils import formatdate
from typing import Protocol

import h11

from passtally.decision import log_event
from passtally.held_bodies import BODY_RETRY_AFTER, HeldBodies
from passtally.http_exchange import (
    EVENTS_PER_TURN,
    BadRequestError,
    Exchange,
    Handle,
    HttpRequest,
    RawHeaders,
    ServerLimits,
)
from passtally.output_buffers import OutputBuffer, OutputBuffers
from passtally.socket_options import set_reset_on_close

#: Size of the buffered input, in bytes, above which reading pauses while a request is
#: being parsed or served.
MAX_PIPELINED = 64 * 1024
#: Parser states after a complete answer; after MUST_CLOSE the connection is closed.
_ANSWERED = (h11.DONE, h11.MUST_CLOSE)

_HEAD_END = re.compile(rb"\r?\n\r?\n")
#: A line feed without its carriage return, or a folded header line.
_AMBIGUOUS_HEAD = re.compile(rb"(?<!\r)\n|\r(?!\n)|\r\n[ \t]")


class Server(Protocol):
    """The server that accepted a connection.

    Attributes:
        handle: Called for each request; cancelled when the caller disconnects.
        limits: Returns the limits in force.
        is_closing: Whether connections take no further request: every answer carries
            ``Connection: close``, and a connection is closed after one that began
            before.
        output: The unread output of all connections.
        bodies: The request bodies that are held.
    """

    handle: Handle
    limits: Callable[[], ServerLimits]
    output: OutputBuffers
    bodies: HeldBodies
    is_closing: bool

    def add(self, connection: "ServerConnection", transport: asyncio.Transport) -> bool:
        """Register a new connection; return False if the server is full."""

    def remove(self, connection: "ServerConnection") -> None:
        """Unregister a connection that closes."""


class ServerConnection(asyncio.Protocol):
    """A caller's connection, which serves one request at a time.

    Args:
        server: The server that accepted the connection.
    """

    def __init__(self, *, server: Server) -> None:
        self._server = server
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().max_header
        )
        self._transport: asyncio.Transport | None = None
        self._output: OutputBuffer | None = None
        self._body = server.bodies.open()
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._unchecked_head = b""
        self._pending_input = b""
        self._is_serving = False
        self._is_lost = False
        self._has_request_bytes = False
        #: Size of the input since the parser last had none left, in bytes.
        self._unparsed = 0
        #: Number of events parsed since the event loop last ran other tasks.
        self._parsed = 0
        #: Whether only the close of the connection marks the end of the answer.
        self._ends_by_close = False
        self._problem: BadRequestError | None = None
        self.task: asyncio.Task[None] | None = None
        self.closed = asyncio.Event()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start serving; abort the connection if the server is full."""
        self._transport = transport
        self._output = OutputBuffer(buffers=self._server.output, transport=transport)
        if not self._server.add(self, transport):
            self.abort()
            return
        self.task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Parse input, or buffer it while a request is being served."""
        if self._is_serving:
            self._pending_input += data
            if len(self._pending_input) > MAX_PIPELINED:
                self._transport.pause_reading()
            return
        self._unparsed += len(data)
        if self._unparsed > MAX_PIPELINED:
            self._transport.pause_reading()
        self._feed(data)

    def eof_received(self) -> bool:
        """Abort the request being served when the caller closes its side.

        The transport's own close would first flush the output, which never completes
        if the caller does not read.
        """
        if self._is_serving:
            self.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request being served."""
        self._is_lost = True
        self._server.remove(self)
        self._output.close()
        self._body.release()
        self.closed.set()
        self._arrived.set()
        self._writable.set()
        if self.task is not None:
            self.task.cancel(self._output.abort_reason or None)
        if self._ends_by_close and error is None and self._is_delivered:
            set_reset_on_close(self._transport, False)

    def pause_writing(self) -> None:
        """Block writers until the output buffer drains."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()

    def abort(self) -> None:
        """Close at once and drop unsent output."""
        if self._transport is not None and not self.closed.is_set():
            self._output.drop()

    def stop(self) -> None:
        """Abort a request being served; otherwise close after flushing the output."""
        if self._is_serving and not self._transport.is_closing():
            self.abort()
        else:
            self._transport.close()

    @property
    def is_idle(self) -> bool:
        """Whether no request is arriving or being served."""
        return not self._is_serving and not self._has_request_bytes

    def close_if_idle(self) -> None:
        """Close, unless a request is arriving or being served."""
        if self.is_idle:
            self._transport.close()

    def send_head(self, status: int, headers: RawHeaders, *, is_framed: bool) -> None:
        """Send the head of an answer."""
        self._check_open()
        if not is_framed:
            # h11 ends a body by closing the connection only for HTTP/1.0 clients.
            self._parser.their_http_version = b"1.0"
        headers = list(headers)
        if not any(name.lower() == b"date" for name, _ in headers):
            headers.append((b"Date", formatdate(usegmt=True).encode()))
        if self._server.is_closing:
            headers.append((b"Connection", b"close"))
        has_length = any(name.lower() == b"content-length" for name, _ in headers)
        if not has_length and self._parser.their_http_version == b"1.0":
            # The answer would look complete after an orderly close at any point, also
            # by the system after the death of this process.
            self._ends_by_close = True
            set_reset_on_close(self._transport, True)
        self._send(h11.Response(status_code=status, headers=headers))
        if not has_length:
            self._output.begin_stream()

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body; wait while the output buffer is full."""
        self._check_open()
        self._send(h11.Data(data=data))
        self._output.record()
        await self.flush()

    def send_end(self) -> None:
        """Mark the answer as complete."""
        self._check_open()
        self._send(h11.EndOfMessage())
        self._output.end_stream()

    async def flush(self) -> None:
        """Wait while more output is unread than is kept for the caller."""
        if not self._writable.is_set():
            with self._output.expect_progress():
                await self._writable.wait()
            self._check_open()

    @property
    def _is_delivered(self) -> bool:
        """Whether the whole answer was passed on to the system."""
        return self._parser.our_state in _ANSWERED and not self._output.is_dropped

    def _send(self, event: h11.Event) -> None:
        data = self._parser.send(event)
        if data:
            self._transport.write(data)

    def _check_open(self) -> None:
        self._output.check()
        if self._is_lost or self._transport.is_closing():
            raise ConnectionResetError("the caller disconnected")

    async def _serve(self) -> None:
        try:
            while await self._serve_next():
                pass
        except BadRequestError as error:
            self._body.release()
            self._refuse(error)
            await self._discard_rest()
        except (ConnectionError, h11.LocalProtocolError) as error:
            log_event("http", "The connection was aborted.", why=error)
            self.abort()
            return
        except Exception as error:
            log_event("http", "Serving failed.", why=repr(error))
            self.abort()
            raise
        self._output.close_when_read(self._server.limits().idle_timeout)

    async def _serve_next(self) -> bool:
        """Serve one request; return whether another may follow."""
        limits = self._server.limits()
        if not await self._has_next(limits.idle_timeout):
            return False
        try:
            async with asyncio.timeout(limits.header_timeout.total_seconds()):
                request = await self._read_request(limits)
        except TimeoutError:
            raise BadRequestError(408, "the request came too slowly") from None
        self._is_serving = True
        # Reading goes on while the request is served, so that a close is noticed.
        self._resume_reading()
        await self._check_for_close()
        exchange = Exchange(request=request, connection=self)
        try:
            await self._server.handle(exchange)
        finally:
            self._body.release()
        if self._parser.our_state not in _ANSWERED:
            self.abort()
            return False
        return self._start_next_cycle()

    async def _check_for_close(self) -> None:
        """Detect a close that arrived right after the request.

        A host that was busy may read requests whose callers have given up meanwhile.
        This yields to the event loop once, so that the close is read before the
        request is forwarded.

        Raises:
            ConnectionError: The caller disconnected.
        """
        await asyncio.sleep(0)
        self._check_open()

    def _start_next_cycle(self) -> bool:
        if self._parser.states != {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            return False
        trailing, _ = self._parser.trailing_data
        self._parser.start_next_cycle()
        self._is_serving = False
        self._has_request_bytes = bool(trailing)
        waiting, self._pending_input = self._pending_input, b""
        self._transport.resume_reading()
        if waiting:
            self._feed(waiting)
        # The head of the last answer may have been sent before the server began to
        # close. A request that has arrived already is answered.
        return self._has_request_bytes or not self._server.is_closing

    async def _has_next(self, idle_timeout: timedelta) -> bool:
        """Wait for the start of a request; return False on the idle timeout."""
        try:
            async with asyncio.timeout(idle_timeout.total_seconds()):
                while not self._has_request_bytes:
                    await self._wait()
        except TimeoutError:
            return False
        return True

    async def _read_request(self, limits: ServerLimits) -> HttpRequest:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            raise ConnectionResetError("closed before a request")
        _check_framing(head)
        if self._parser.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        self._hold(_length_of(head), limits)
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            self._hold(len(body) + len(event.data), limits)
            body += event.data
        return HttpRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=head.headers.raw_items(),
            body=bytes(body),
        )

    def _hold(self, size: int, limits: ServerLimits) -> None:
        """Count the body, of which this much is known to come.

        Raises:
            BadRequestError: It is too long, or the host holds too many.
        """
        if size > limits.max_body:
            raise BadRequestError(413, "the body is too long")
        if not self._body.reserve(max(0, size - self._body.size)):
            raise BadRequestError(
                503,
                "the host holds too many request bodies; the request has not run",
                retry_after=BODY_RETRY_AFTER,
            )

    async def _discard_rest(self) -> None:
        """Read on after a request was refused before the end of its body.

        Closing with unread input resets the connection, so that a caller that is still
        sending gets no answer.
        """
        timeout = self._server.limits().header_timeout
        with contextlib.suppress(BadRequestError, ConnectionError, TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                while self._parser.their_state is h11.SEND_BODY:
                    await self._next_event()

    async def _next_event(self) -> h11.Event:
        self._parsed += 1
        if self._parsed >= EVENTS_PER_TURN:
            self._parsed = 0
            await asyncio.sleep(0)
        while True:
            if self._problem is not None:
                raise self._problem
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequestError(error.error_status_hint, str(error)) from error
            if event is h11.NEED_DATA:
                self._resume_reading()
                await self._wait()
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before a complete request")
            return event

    def _resume_reading(self) -> None:
        self._unparsed = self._parsed = 0
        self._transport.resume_reading()

    async def _wait(self) -> None:
        self._arrived.clear()
        await self._arrived.wait()
        if self._is_lost:
            raise ConnectionResetError("the caller disconnected")

    def _feed(self, data: bytes) -> None:
        """Pass input to the parser; keep back a head until it is complete."""
        self._has_request_bytes = True
        if self._parser.their_state is h11.IDLE:
            data = self._check_head(self._unchecked_head + data)
        if data:
            self._parser.receive_data(data)
        self._arrived.set()

    def _check_head(self, data: bytes) -> bytes:
        """Return the bytes to parse: none until the head is complete and checked."""
        end = _HEAD_END.search(data)
        length = len(data) if end is None else end.end()
        if length > self._server.limits().max_header:
            self._problem = BadRequestError(431, "the head is too long")
        elif end is not None and _AMBIGUOUS_HEAD.search(data[:length]):
            self._problem = BadRequestError(400, "ambiguous line ends in the head")
        elif end is None:
            self._unchecked_head = data
            return b""
        self._unchecked_head = b""
        return data

    def _refuse(self, error: BadRequestError) -> None:
        log_event("http", "Rejected a request.", status=error.status, why=error)
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.abort()
            return
        body = str(error).encode()
        headers = [
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        if error.retry_after is not None:
            seconds = f"{error.retry_after.total_seconds():g}"
            headers.append((b"Retry-After", seconds.encode()))
        with contextlib.suppress(h11.LocalProtocolError):
            self._send(h11.Response(status_code=error.status, headers=headers))
            self._send(h11.Data(data=body))
            self._send(h11.EndOfMessage())


def _length_of(head: h11.Request) -> int:
    """Return the length that a request states for its body, or 0 if it states none."""
    return next(
        (int(value) for name, value in head.headers if name == b"content-length"), 0
    )


def _check_framing(head: h11.Request) -> None:
    """Reject a request whose framing headers are ambiguous.

    Raises:
        BadRequestError: Another parser could find another end of the request.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequestError(400, "both a length and a transfer encoding")
    if names.count(b"transfer-encoding") > 1 or names.count(b"host") > 1:
        raise BadRequestError(400, "a header that may come once came twice")
    if b"transfer-encoding" in names and head.http_version < b"1.1":
        raise BadRequestError(400, "a transfer encoding in HTTP/1.0")
