"""An HTTP/1.1 server that keeps requests byte for byte.

Paths, header names and bodies are not normalised. Ambiguous framing is rejected to
prevent request smuggling. h11 does the parsing; this module manages the connections,
their timeouts, disconnecting callers and backpressure from slow readers.
"""

import asyncio
import contextlib
import re
import resource
import socket
import struct
import sys
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from email.utils import formatdate

import attrs
import h11

from passtally.decision import log_event

RawHeaders = Sequence[tuple[bytes, bytes]]

#: Size of the unsent output, in bytes, above which a writer waits.
WRITE_HIGH_WATER = 64 * 1024
#: Size of the buffered input, in bytes, above which reading pauses while a request is
#: being served.
MAX_PIPELINED = 64 * 1024
LISTEN_BACKLOG = 2048
#: Time that a stopping server allows for sending complete answers. The output that a
#: writer does not wait for, 64 KB, takes 105 ms on an idle link of 5 Mbit/s.
FLUSH_TIMEOUT = timedelta(milliseconds=400)
#: Share of the process's file descriptors for callers' connections. Each open request
#: needs another descriptor for its endpoint, and the links to other hosts and to the
#: platform need some. Without a free descriptor, libzmq's thread cannot accept a link
#: and uses a whole core until it can.
CALLERS_SHARE = 0.5
#: Share of the descriptors for a server with few clients, such as the readiness and
#: the metrics server.
SMALL_SHARE = 0.05
#: Share of a server's connection limit below which the server is no longer full.
NOT_FULL_SHARE = 0.9
#: Minimum connection limit of each server.
MIN_CONNECTIONS = 4
#: Offset of ``tcpi_last_data_recv`` in Linux's ``struct tcp_info``: the time since the
#: connection last received data, in milliseconds.
TCP_INFO_BYTES = 60
LAST_DATA_OFFSET = 52
_LAST_DATA_FIELD = struct.Struct("=I")
#: Value of SO_LINGER with which closing a socket resets its connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
#: Parser states after a complete answer; after MUST_CLOSE the connection is closed.
_ANSWERED = (h11.DONE, h11.MUST_CLOSE)

_HEAD_END = re.compile(rb"\r?\n\r?\n")
#: A line feed without its carriage return, or a folded header line.
_AMBIGUOUS_HEAD = re.compile(rb"(?<!\r)\n|\r(?!\n)|\r\n[ \t]")


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
    """A malformed, oversized or late request.

    Args:
        status: The HTTP status of the answer.
        problem: The reason, sent as the body of the answer.
    """

    def __init__(self, status: int, problem: str) -> None:
        self.status = status
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


class Exchange:
    """A request and the answer to it.

    Args:
        request: The request.
        connection: The connection that carries both.
    """

    def __init__(self, *, request: HttpRequest, connection: "ServerConnection") -> None:
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

    def abort(self) -> None:
        """Abort the connection, so that the answer is seen to be incomplete."""
        self._connection.abort()


Handle = Callable[[Exchange], Awaitable[None]]


class HttpServer:
    """An HTTP server that passes each request to a handler.

    Args:
        handle: Called for each request; cancelled when the caller disconnects.
        limits: Returns the limits in force.
        part: The share of the process's file descriptors for its connections.
        accepted: Called for each new connection with its time in the accept queue,
            where the system reports that.
    """

    def __init__(
        self,
        *,
        handle: Handle,
        limits: Callable[[], ServerLimits] = ServerLimits,
        part: float = CALLERS_SHARE,
        accepted: Callable[[timedelta], None] | None = None,
    ) -> None:
        self.handle = handle
        self.limits = limits
        self._accepted = accepted
        #: Whether every answer carries ``Connection: close``.
        self.is_closing = False
        #: Open connections, in the order of their acceptance.
        self._connections: dict[ServerConnection, None] = {}
        self._max_connections = count_connections(part)
        self._is_full = False
        #: Listening servers by the host and port that they were given.
        self._listening_by_address: dict[tuple[str, int], asyncio.Server] = {}

    async def start(self, host: str, port: int) -> int:
        """Listen at one more address; return the port."""
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(
            lambda: ServerConnection(server=self), host, port, backlog=LISTEN_BACKLOG
        )
        self._listening_by_address[host, port] = listening
        return listening.sockets[0].getsockname()[1]

    async def start_on(self, listening: socket.socket) -> None:
        """Accept the connections of a socket that is already listening."""
        loop = asyncio.get_running_loop()
        address = listening.getsockname()
        self._listening_by_address[address] = await loop.create_server(
            lambda: ServerConnection(server=self),
            sock=listening,
            backlog=LISTEN_BACKLOG,
        )

    def leave(self, host: str, port: int) -> None:
        """Stop listening at an address; keep its connections open."""
        listening = self._listening_by_address.pop((host, port), None)
        if listening is not None:
            listening.close()

    async def stop(self) -> None:
        """Stop listening, abort open requests, and flush complete answers."""
        for listening in self._listening_by_address.values():
            listening.close()
        connections = list(self._connections)
        for connection in connections:
            connection.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FLUSH_TIMEOUT.total_seconds()):
                for connection in connections:
                    await connection.closed.wait()
        for connection in connections:
            connection.abort()
        tasks = [connection.task for connection in connections]
        await asyncio.gather(*filter(None, tasks), return_exceptions=True)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def add(self, connection: "ServerConnection", transport: asyncio.Transport) -> bool:
        """Register a new connection; return False if the server is full.

        At the connection limit, the oldest idle connection is closed to make room.
        """
        if self._accepted is not None:
            waited = _accept_queue_time(transport)
            if waited is not None:
                self._accepted(waited)
        if len(self._connections) >= self._max_connections:
            self._log_full()
            if not self._close_one_idle():
                return False
        self._connections[connection] = None
        return True

    def _log_full(self) -> None:
        """Log that the connection limit is reached, once until there is room again."""
        if not self._is_full:
            self._is_full = True
            most = self._max_connections
            log_event("http", "The connection limit is reached.", most=most)

    def _close_one_idle(self) -> bool:
        for connection in self._connections:
            if connection.is_idle:
                # Removed at once, not when the close completes: several connections
                # may arrive in one iteration of the event loop.
                self.remove(connection)
                connection.close_if_idle()
                return True
        return False

    def remove(self, connection: "ServerConnection") -> None:
        """Unregister a connection that closes."""
        self._connections.pop(connection, None)
        if len(self._connections) < NOT_FULL_SHARE * self._max_connections:
            self._is_full = False


def _accept_queue_time(transport: asyncio.Transport) -> timedelta | None:
    """Return a new connection's time in the accept queue; None if not reported."""
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (milliseconds,) = _LAST_DATA_FIELD.unpack_from(info, LAST_DATA_OFFSET)
    except (OSError, AttributeError, struct.error):
        return None
    return timedelta(milliseconds=milliseconds)


class ServerConnection(asyncio.Protocol):
    """A caller's connection, which serves one request at a time.

    Args:
        server: The server that accepted the connection.
    """

    def __init__(self, *, server: HttpServer) -> None:
        self._server = server
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=server.limits().max_header
        )
        self._transport: asyncio.Transport | None = None
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._unchecked_head = b""
        self._pending_input = b""
        self._is_serving = False
        self._is_lost = False
        self._has_request_bytes = False
        self._problem: BadRequestError | None = None
        self.task: asyncio.Task[None] | None = None
        self.closed = asyncio.Event()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start serving; abort the connection if the server is full."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
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
        self.closed.set()
        self._arrived.set()
        self._writable.set()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Block writers until the output buffer drains."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()

    def abort(self) -> None:
        """Close at once and drop unsent output.

        A body that ends with its connection would look complete after an orderly close,
        so its connection is reset.
        """
        if self._transport is None or self.closed.is_set():
            return
        is_unframed = self._parser.their_http_version == b"1.0"
        if is_unframed and self._parser.our_state is h11.SEND_BODY:
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

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
        self._send(h11.Response(status_code=status, headers=headers))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body; wait while the output buffer is full."""
        self._check_open()
        self._send(h11.Data(data=data))
        if not self._writable.is_set():
            await self._writable.wait()
            self._check_open()

    def send_end(self) -> None:
        """Mark the answer as complete."""
        self._check_open()
        self._send(h11.EndOfMessage())

    def _send(self, event: h11.Event) -> None:
        data = self._parser.send(event)
        if data:
            self._transport.write(data)

    def _check_open(self) -> None:
        if self._is_lost or self._transport.is_closing():
            raise ConnectionResetError("the caller disconnected")

    async def _serve(self) -> None:
        try:
            while await self._serve_next():
                pass
        except BadRequestError as error:
            self._refuse(error)
        except (ConnectionError, h11.LocalProtocolError) as error:
            log_event("http", "The connection was aborted.", why=error)
            self.abort()
            return
        except Exception as error:
            log_event("http", "Serving failed.", why=repr(error))
            self.abort()
            raise
        self._close()

    def _close(self) -> None:
        """Close after flushing the output; abort if the caller does not read it."""
        if self._transport.get_write_buffer_size():
            idle_timeout = self._server.limits().idle_timeout.total_seconds()
            asyncio.get_running_loop().call_later(idle_timeout, self.abort)
        self._transport.close()

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
        await self._check_for_close()
        exchange = Exchange(request=request, connection=self)
        await self._server.handle(exchange)
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
        return True

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
        parts: list[bytes] = []
        size = 0
        while isinstance(event := await self._next_event(), h11.Data):
            size += len(event.data)
            if size > limits.max_body:
                raise BadRequestError(413, "the body is too long")
            parts.append(bytes(event.data))
        return HttpRequest(
            method=bytes(head.method),
            target=bytes(head.target),
            headers=head.headers.raw_items(),
            body=b"".join(parts),
        )

    async def _next_event(self) -> h11.Event:
        while True:
            if self._problem is not None:
                raise self._problem
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                raise BadRequestError(error.error_status_hint, str(error)) from error
            if event is h11.NEED_DATA:
                await self._wait()
                continue
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before a complete request")
            return event

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
        with contextlib.suppress(h11.LocalProtocolError):
            self._send(h11.Response(status_code=error.status, headers=headers))
            self._send(h11.Data(data=body))
            self._send(h11.EndOfMessage())


def count_connections(part: float) -> int:
    """Return the connection limit for a share of the process's file descriptors."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return sys.maxsize
    return max(MIN_CONNECTIONS, int(part * soft))


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
