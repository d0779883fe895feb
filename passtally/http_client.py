"""An HTTP/1.1 client that sends requests byte for byte and never retries.

A connection carries one request at a time. It is reused only after a complete answer
without trailing data. h11 does the parsing.
"""

import asyncio
import re
from collections.abc import Callable, Sequence
from datetime import timedelta
from enum import StrEnum

import attrs
import h11

from passtally.clock import Clock
from passtally.fetch import find_header
from passtally.http_exchange import EVENTS_PER_TURN, RawHeaders
from passtally.socket_options import set_user_timeout, was_reset
from passtally.tunnel import TunnelInfo, TunnelLostError, find_tunnel

#: Maximum idle time of a reused connection, unless the peer states a shorter one.
MAX_IDLE = timedelta(seconds=4)
#: Share of the peer's keep-alive timeout after which a connection is not reused.
IDLE_SHARE = 0.7
#: Size of the unread input, in bytes, above which reading pauses.
READ_HIGH_WATER = 64 * 1024
#: Maximum number of interim answers (1xx) before an answer. A peer in trouble may send
#: them without end.
MAX_INTERIM_ANSWERS = 8

_METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))
#: A status line at the end of a reason phrase or of a header's value. There an earlier
#: answer was cut, and the next one follows it.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}( |$)", re.MULTILINE)
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*0*(\d{1,9})")


class ExchangeStep(StrEnum):
    """The progress of a request when its connection failed."""

    #: The connection was not established; no byte was sent.
    CONNECT = "connect"
    #: The request was written to the connection; the peer may have read it.
    SENT = "sent"
    #: The head of the answer had been received.
    ANSWER = "answer"


class ExchangeError(Exception):
    """A request that received no complete answer.

    Args:
        step: The progress of the request.
        detail: The cause.
        is_garbled: Whether the peer sent an invalid or an oversized answer.
        is_link_lost: Whether the host that the connection passes through was lost, so
            that nothing is known of the peer.
        is_not_held: Whether this host holds too much to read the answer.
    """

    def __init__(
        self,
        step: ExchangeStep,
        detail: str,
        *,
        is_garbled: bool = False,
        is_link_lost: bool = False,
        is_not_held: bool = False,
    ) -> None:
        self.step = step
        self.detail = detail
        self.is_garbled = is_garbled
        self.is_link_lost = is_link_lost
        self.is_not_held = is_not_held
        super().__init__(f"{step}: {detail}")


@attrs.frozen(kw_only=True)
class ResponseHead:
    """The head of an answer.

    Attributes:
        status: The HTTP status.
        headers: The headers in order, with the names in their original case.
        is_framed: Whether the end of the body is marked by its length or by chunks.
            Otherwise the body ends when the connection closes, and a complete body
            cannot be told from a truncated one.
    """

    status: int
    headers: RawHeaders
    is_framed: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header by its lower-case name, or None."""
        return find_header(self.headers, name)


class ClientConnection(asyncio.Protocol):
    """A connection to a peer, which carries one request at a time.

    Args:
        clock: The clock.
        endpoint_id: The id of the endpoint that it leads to; empty for another peer.
        on_direct_data: Called whenever data arrives, unless by a tunnel.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        endpoint_id: str = "",
        on_direct_data: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self.endpoint_id = endpoint_id
        self._on_direct_data = on_direct_data
        #: The tunnel that the connection passes through; None for a direct one.
        self.tunnel: TunnelInfo | None = None
        self._may_reuse = True
        self._parser = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._arrived = asyncio.Event()
        self._buffered = 0
        #: Number of events parsed since the event loop last ran other tasks.
        self._parsed = 0
        self._step = ExchangeStep.CONNECT
        self._is_broken = False
        self._is_idle = False
        self._error: Exception | None = None
        self._usable_until = timedelta(0)
        #: When the last request was sent, on the monotonic clock.
        self.sent_at = timedelta(0)
        #: When the connection last became idle, on the monotonic clock.
        self.idle_since = timedelta(0)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the TCP user timeout, so that a dead peer is detected."""
        self._transport = transport
        self.tunnel = find_tunnel(transport)
        set_user_timeout(transport)

    def data_received(self, data: bytes) -> None:
        """Parse input; close an idle connection that receives any."""
        if self._is_idle:
            self.abort()
            return
        if self.tunnel is None:
            self._on_direct_data()
        self._buffered += len(data)
        if self._buffered > READ_HIGH_WATER:
            self._transport.pause_reading()
        self._parser.receive_data(data)
        self._arrived.set()

    def eof_received(self) -> bool:
        """Mark the connection as closed by the peer, unless it was reset."""
        if self.tunnel is None and was_reset(self._transport):
            self._error = ConnectionResetError("connection reset by the peer")
        elif not self._is_idle:
            self._parser.receive_data(b"")
        self._is_broken = True
        self._arrived.set()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record the error and wake the reader."""
        self._is_broken = True
        self._error = error or self._error
        self._arrived.set()

    @property
    def is_usable(self) -> bool:
        """Whether the connection is idle, open and within its idle time."""
        fresh = self._clock.monotonic() < self._usable_until
        return self._is_idle and not self._is_broken and fresh

    async def send(
        self,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: bytes,
    ) -> ResponseHead:
        """Send a request and return the head of its answer.

        Args:
            method: The method.
            target: The path and query, byte for byte.
            headers: The headers; Content-Length is added.
            body: The complete body.

        Raises:
            ExchangeError: The connection failed or the answer is invalid.
        """
        self._is_idle = False
        self.sent_at = self._clock.monotonic()
        self._step = ExchangeStep.SENT
        headers = list(headers)
        if body or method in _METHODS_WITH_BODY:
            headers.append((b"Content-Length", str(len(body)).encode()))
        head = h11.Request(method=method, target=target, headers=headers)
        # A large body is not copied behind the head.
        parts = [self._parser.send(head)]
        if body:
            parts.append(self._parser.send(h11.Data(data=body)))
        parts.append(self._parser.send(h11.EndOfMessage()))
        self._transport.writelines(parts)
        for _ in range(1 + MAX_INTERIM_ANSWERS):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self._step = ExchangeStep.ANSWER
                if not is_final_status(event.status_code):
                    detail = f"invalid status {event.status_code}"
                    raise self._fail(detail, is_garbled=True)
                if _holds_status_line(event):
                    raise self._fail("two heads in one", is_garbled=True)
                return _to_head(event)
            if not isinstance(event, h11.InformationalResponse):
                raise self._fail("closed before an answer")
        raise self._fail("too many interim answers", is_garbled=True)

    async def read(self) -> bytes:
        """Return the next part of the body, or empty bytes at its end.

        Raises:
            ExchangeError: The answer is truncated or invalid.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            # The end is marked, or the connection ended in order; a reset after it
            # takes nothing from the answer.
            return b""
        raise self._fail("closed inside an answer")

    async def read_all(
        self,
        most: int,
        *,
        on_part: Callable[[], None] = lambda: None,
        reserve: Callable[[int], bool] = lambda size: True,
    ) -> bytes:
        """Return the complete body.

        Args:
            most: The maximum size of the body, in bytes.
            on_part: Called for each part received.
            reserve: Called with the size of each part; returns whether it may be held.

        Raises:
            ExchangeError: The answer is truncated, invalid or too long, or may not be
                held.
        """
        # A list of the parts takes 28 times the memory of parts of two bytes.
        body = bytearray()
        while part := await self.read():
            on_part()
            if len(body) + len(part) > most:
                raise self._fail("the answer is too long", is_garbled=True)
            if not reserve(len(part)):
                raise self._fail("the host holds too many answers", is_not_held=True)
            body += part
        return bytes(body)

    def make_idle(self, keep_alive: bytes | None) -> bool:
        """Make the connection idle, or close it if it cannot be reused.

        Args:
            keep_alive: The answer's ``Keep-Alive`` header, if any.

        Returns:
            Whether the connection may be reused.
        """
        states = self._parser.states
        is_done = states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        has_more = bool(self._parser.trailing_data[0])
        is_sent = self._transport.get_write_buffer_size() == 0
        is_intact = is_done and is_sent and not has_more
        if self._is_broken or not is_intact or not self._may_reuse:
            self.abort()
            return False
        self._parser.start_next_cycle()
        self._buffered = 0
        self._is_idle = True
        self.idle_since = self._clock.monotonic()
        self._usable_until = self.idle_since + _idle_limit(keep_alive)
        return True

    def stop_reuse(self) -> None:
        """Close after the current request, or at once if there is none."""
        self._may_reuse = False
        if self._is_idle:
            self.abort()

    @property
    def is_closed(self) -> bool:
        """Whether either side has closed the connection."""
        return self._is_broken

    def abort(self) -> None:
        """Close at once, so that the peer stops working on the request."""
        self._is_broken = True
        if self._transport is not None:
            self._transport.abort()

    async def _next_event(self) -> h11.Event:
        self._parsed += 1
        if self._parsed >= EVENTS_PER_TURN:
            self._parsed = 0
            await asyncio.sleep(0)
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                closed = self._is_broken
                raise self._fail(str(error), is_garbled=not closed) from error
            if event is not h11.NEED_DATA:
                return event
            self._buffered = self._parsed = 0
            if self._is_broken:
                raise self._fail(str(self._error or "the peer closed"))
            self._transport.resume_reading()
            self._arrived.clear()
            await self._arrived.wait()

    def _fail(
        self, detail: str, *, is_garbled: bool = False, is_not_held: bool = False
    ) -> ExchangeError:
        self.abort()
        return ExchangeError(
            self._step,
            detail,
            is_garbled=is_garbled,
            is_link_lost=isinstance(self._error, TunnelLostError),
            is_not_held=is_not_held,
        )


def is_final_status(status: int) -> bool:
    """Return whether a status is valid in an answer (RFC 9110, section 15)."""
    return 200 <= status <= 599


def _to_head(response: h11.Response) -> ResponseHead:
    lengths = (b"content-length", b"transfer-encoding")
    is_framed = any(name in lengths for name, _ in response.headers)
    return ResponseHead(
        status=response.status_code,
        headers=response.headers.raw_items(),
        is_framed=is_framed or response.status_code in (204, 304),
    )


def _holds_status_line(response: h11.Response) -> bool:
    """Return whether another answer's head begins within a head.

    The status and the headers before it are then those of an earlier answer.
    """
    values = [value for _, value in response.headers]
    return _STATUS_LINE.search(b"\n".join([response.reason, *values])) is not None


def _idle_limit(keep_alive: bytes | None) -> timedelta:
    found = _KEEP_ALIVE_TIMEOUT.search(keep_alive or b"")
    if found is None:
        return MAX_IDLE
    return min(MAX_IDLE, timedelta(seconds=IDLE_SHARE * int(found.group(1))))


def drop_connection_headers(
    headers: RawHeaders, *, extra: Sequence[bytes] = ()
) -> list:
    """Return the end-to-end headers, without the hop-by-hop headers.

    Args:
        headers: All headers.
        extra: Further header names to remove, in lower case.
    """
    named: set[bytes] = set(extra) | _CONNECTION_HEADERS
    for name, value in headers:
        if name.lower() == b"connection":
            named |= {item.strip() for item in value.lower().split(b",")}
    return [(name, value) for name, value in headers if name.lower() not in named]


_CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
