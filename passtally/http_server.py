"""An HTTP/1.1 server that passes bytes on as they came.

Paths, header names and bodies are not normalised. Framing that two parsers could
read in two ways is refused, so that nothing can be smuggled inside a request.
h11 does the parsing; this module owns the connections, their time limits, and
what happens when a caller leaves or reads slowly.
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

#: Unread output above which a writer waits, in bytes.
WRITE_HIGH_WATER = 64 * 1024
#: Input that may wait behind the request being served, in bytes.
MAX_PIPELINED = 64 * 1024
LISTEN_BACKLOG = 2048
#: How long a server that stops goes on sending answers that are made: what a writer
#: does not wait for, 64 KB, takes 105 ms of an idle link of 5 Mbit/s.
SEND_REST = timedelta(milliseconds=400)
#: The part of the process's descriptors that callers' connections may take. Each open
#: request needs one more, to an endpoint; links to other hosts and the platform need
#: some, too, and libzmq's thread takes a whole core while it can't accept one of them.
CALLERS_PART = 0.5
#: The same for a server that few programs ask, such as the balancer's and the metrics'.
SMALL_PART = 0.05
#: Below this part of what it may have a server is not full any more.
ROOM_PART = 0.9
#: What each server may have in any case.
MIN_CONNECTIONS = 4
#: Where Linux's struct tcp_info holds since when nothing has come, in milliseconds.
TCP_INFO_BYTES = 60
LAST_DATA_OFFSET = 52
_LAST_DATA = struct.Struct("=I")
#: The states after a whole answer; in the second its connection is to be closed.
_ANSWERED = (h11.DONE, h11.MUST_CLOSE)

_HEAD_END = re.compile(rb"\r?\n\r?\n")
#: A line feed without its carriage return, or a folded header line.
_AMBIGUOUS_HEAD = re.compile(rb"(?<!\r)\n|\r(?!\n)|\r\n[ \t]")


@attrs.frozen(kw_only=True)
class ServerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        max_header: The longest request head, in bytes.
        max_body: The longest body, in bytes.
        header_timeout: How long a request's head and body may take to arrive.
        idle_timeout: How long a connection may rest between requests.
    """

    max_header: int = 16 * 1024
    max_body: int = 4 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


class BadRequestError(Exception):
    """A request that can't be read.

    Args:
        status: The HTTP status to answer with.
        problem: What is wrong.
    """

    def __init__(self, status: int, problem: str) -> None:
        self.status = status
        super().__init__(problem)


@attrs.frozen(kw_only=True)
class HttpRequest:
    """One request as it came.

    Attributes:
        method: The method.
        target: The path and query, byte for byte.
        headers: The headers in order, with the names as the caller wrote them.
        body: The whole body.
    """

    method: bytes
    target: bytes
    headers: RawHeaders
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return a header's value by its name in lower case, or None."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return None


class Exchange:
    """One request and the answer to it.

    Args:
        request: The request.
        connection: The connection it came on.
    """

    def __init__(self, *, request: HttpRequest, connection: "ServerConnection") -> None:
        self.request = request
        self.has_begun = False
        self._connection = connection

    async def answer(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a whole answer."""
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
            headers: The headers; without a length the body is sent in chunks.
            is_framed: Whether the answer is to tell its end. Else it ends with the
                connection.
        """
        self.has_begun = True
        self._connection.send_head(status, headers, is_framed=is_framed)

    async def write(self, data: bytes) -> None:
        """Send a part of the body; returns when the caller can take more.

        Raises:
            ConnectionError: The caller left.
        """
        if data:
            await self._connection.send_data(data)

    async def end(self) -> None:
        """Mark the answer as complete."""
        self._connection.send_end()

    def abort(self) -> None:
        """Close the connection, so that the answer can't look complete."""
        self._connection.abort()


Handle = Callable[[Exchange], Awaitable[None]]


class HttpServer:
    """Listens, and hands each request to a handler.

    Args:
        handle: Called for each request; a request whose caller leaves is cancelled.
        limits: Returns the limits in force.
        part: The part of the process's descriptors that its connections may take.
        accepted: Called with how long each connection had waited to be taken, where
            the system tells.
    """

    def __init__(
        self,
        *,
        handle: Handle,
        limits: Callable[[], ServerLimits] = ServerLimits,
        part: float = CALLERS_PART,
        accepted: Callable[[timedelta], None] | None = None,
    ) -> None:
        self.handle = handle
        self.limits = limits
        self._accepted = accepted
        #: Whether every answer asks its caller to open a new connection.
        self.is_closing = False
        #: In the order in which they came.
        self._connections: dict[ServerConnection, None] = {}
        self._most_connections = _count_connections(part)
        self._is_full = False
        #: What listens, by the host and port that it was told.
        self._listening_by_address: dict[tuple[str, int], asyncio.Server] = {}

    async def start(self, host: str, port: int) -> int:
        """Listen; return the port. It may listen at several addresses at a time."""
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(
            lambda: ServerConnection(server=self), host, port, backlog=LISTEN_BACKLOG
        )
        self._listening_by_address[host, port] = listening
        return listening.sockets[0].getsockname()[1]

    async def start_on(self, listening: socket.socket) -> None:
        """Take the connections of a socket that listens already."""
        loop = asyncio.get_running_loop()
        address = listening.getsockname()
        self._listening_by_address[address] = await loop.create_server(
            lambda: ServerConnection(server=self),
            sock=listening,
            backlog=LISTEN_BACKLOG,
        )

    def leave(self, host: str, port: int) -> None:
        """Listen at an address no more; its connections stay open."""
        listening = self._listening_by_address.pop((host, port), None)
        if listening is not None:
            listening.close()

    async def stop(self) -> None:
        """Stop listening, break off what is open, and send what is answered."""
        for listening in self._listening_by_address.values():
            listening.close()
        connections = list(self._connections)
        for connection in connections:
            connection.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SEND_REST.total_seconds()):
                for connection in connections:
                    await connection.closed.wait()
        for connection in connections:
            connection.abort()
        tasks = [connection.task for connection in connections]
        await asyncio.gather(*filter(None, tasks), return_exceptions=True)

    def close_idle(self) -> None:
        """Close the connections that rest between two requests."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def add(self, connection: "ServerConnection", transport: asyncio.Transport) -> bool:
        """Take in a new connection; return whether there is room for it.

        Where all are taken, the oldest that rests gives way.
        """
        if self._accepted is not None:
            waited = _time_waited(transport)
            if waited is not None:
                self._accepted(waited)
        if len(self._connections) >= self._most_connections:
            self._tell_full()
            if not self._close_one_idle():
                return False
        self._connections[connection] = None
        return True

    def _tell_full(self) -> None:
        """Log once that all connections are taken, until there is room again."""
        if not self._is_full:
            self._is_full = True
            most = self._most_connections
            log_event("http", "As many connections as may be are open.", most=most)

    def _close_one_idle(self) -> bool:
        for connection in self._connections:
            if connection.is_idle:
                # Not only once it is closed: several may come in one pass of the loop.
                self.remove(connection)
                connection.close_if_idle()
                return True
        return False

    def remove(self, connection: "ServerConnection") -> None:
        """Forget a connection."""
        self._connections.pop(connection, None)
        if len(self._connections) < ROOM_PART * self._most_connections:
            self._is_full = False


def _time_waited(transport: asyncio.Transport) -> timedelta | None:
    """Return for how long a connection has lain in the queue; None if nobody tells."""
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (milliseconds,) = _LAST_DATA.unpack_from(info, LAST_DATA_OFFSET)
    except (OSError, AttributeError, struct.error):
        return None
    return timedelta(milliseconds=milliseconds)


class ServerConnection(asyncio.Protocol):
    """One caller's connection.

    Args:
        server: The server it belongs to.
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
        self._unchecked = b""
        self._waiting = b""
        self._is_serving = False
        self._is_lost = False
        self._has_request_bytes = False
        self._problem: BadRequestError | None = None
        self.task: asyncio.Task[None] | None = None
        self.closed = asyncio.Event()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Begin to serve."""
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        if not self._server.add(self, transport):
            self.abort()
            return
        self.task = asyncio.get_running_loop().create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Take in bytes; while a request is served they wait."""
        if self._is_serving:
            self._waiting += data
            if len(self._waiting) > MAX_PIPELINED:
                self._transport.pause_reading()
            return
        self._feed(data)

    def eof_received(self) -> bool:
        """Take the caller's close as its leaving, also where it takes no output."""
        if self._is_serving:
            self.abort()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the request that is served."""
        self._is_lost = True
        self._server.remove(self)
        self.closed.set()
        self._arrived.set()
        self._writable.set()
        if self.task is not None:
            self.task.cancel()

    def pause_writing(self) -> None:
        """Let writers wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    def abort(self) -> None:
        """Close at once; unsent output is dropped."""
        if self._transport is not None and not self.closed.is_set():
            self._transport.abort()

    def stop(self) -> None:
        """Break off a request that is served; else close once all is sent."""
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
        """Send an answer's head."""
        self._check_open()
        if not is_framed:
            # h11 ends an answer with its connection only towards older callers.
            self._parser.their_http_version = b"1.0"
        headers = list(headers)
        if not any(name.lower() == b"date" for name, _ in headers):
            headers.append((b"Date", formatdate(usegmt=True).encode()))
        if self._server.is_closing:
            headers.append((b"Connection", b"close"))
        self._send(h11.Response(status_code=status, headers=headers))

    async def send_data(self, data: bytes) -> None:
        """Send a part of an answer's body."""
        self._check_open()
        self._send(h11.Data(data=data))
        if not self._writable.is_set():
            await self._writable.wait()
            self._check_open()

    def send_end(self) -> None:
        """Send the end of an answer's body."""
        self._check_open()
        self._send(h11.EndOfMessage())

    def _send(self, event: h11.Event) -> None:
        data = self._parser.send(event)
        if data:
            self._transport.write(data)

    def _check_open(self) -> None:
        if self._is_lost or self._transport.is_closing():
            raise ConnectionResetError("the caller left")

    async def _serve(self) -> None:
        try:
            while await self._serve_next():
                pass
        except BadRequestError as error:
            self._refuse(error)
        except (ConnectionError, h11.LocalProtocolError) as error:
            log_event("http", "Connection broke off.", why=error)
            self.abort()
            return
        except Exception as error:
            log_event("http", "Serving failed.", why=repr(error))
            self.abort()
            raise
        self._close()

    def _close(self) -> None:
        """Close once all is sent; a caller that takes nothing is not waited for."""
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
        await self._look_for_close()
        exchange = Exchange(request=request, connection=self)
        await self._server.handle(exchange)
        if self._parser.our_state not in _ANSWERED:
            self.abort()
            return False
        return self._start_next_cycle()

    async def _look_for_close(self) -> None:
        """Hear a close that came right behind the request.

        A host that was busy reads requests whose callers gave up meanwhile. Without
        this pass of the loop they would be sent on before their close is read.

        Raises:
            ConnectionError: The caller left.
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
        waiting, self._waiting = self._waiting, b""
        self._transport.resume_reading()
        if waiting:
            self._feed(waiting)
        return True

    async def _has_next(self, idle_timeout: timedelta) -> bool:
        """Wait for a request to begin; return whether one did in time."""
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
                raise ConnectionResetError("closed before a whole request")
            return event

    async def _wait(self) -> None:
        self._arrived.clear()
        await self._arrived.wait()
        if self._is_lost:
            raise ConnectionResetError("the caller left")

    def _feed(self, data: bytes) -> None:
        """Hand bytes to the parser, a head only once all of it can be checked."""
        self._has_request_bytes = True
        if self._parser.their_state is h11.IDLE:
            data = self._check_head(self._unchecked + data)
        if data:
            self._parser.receive_data(data)
        self._arrived.set()

    def _check_head(self, data: bytes) -> bytes:
        """Return the bytes to parse: none until a whole head could be checked."""
        end = _HEAD_END.search(data)
        length = len(data) if end is None else end.end()
        if length > self._server.limits().max_header:
            self._problem = BadRequestError(431, "the head is too long")
        elif end is not None and _AMBIGUOUS_HEAD.search(data[:length]):
            self._problem = BadRequestError(400, "ambiguous line ends in the head")
        elif end is None:
            self._unchecked = data
            return b""
        self._unchecked = b""
        return data

    def _refuse(self, error: BadRequestError) -> None:
        log_event("http", "Refused a request.", status=error.status, why=error)
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


def _count_connections(part: float) -> int:
    """Return how many connections a part of the process's descriptors is."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return sys.maxsize
    return max(MIN_CONNECTIONS, int(part * soft))


def _check_framing(head: h11.Request) -> None:
    """Refuse a request whose end two parsers could see in two places."""
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise BadRequestError(400, "both a length and a transfer encoding")
    if names.count(b"transfer-encoding") > 1 or names.count(b"host") > 1:
        raise BadRequestError(400, "a header that may come once came twice")
    if b"transfer-encoding" in names and head.http_version < b"1.1":
        raise BadRequestError(400, "a transfer encoding in HTTP/1.0")
