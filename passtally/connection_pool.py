"""The connections to other processes, kept for further requests.

Open connections may fall silent for good, many at once, while new ones work. Neither
side hears of it: a kept connection is found silent only by a request that gets no
answer. Then others that may be silent too are used no more.
"""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import partial
from urllib.parse import urlencode, urlsplit

import attrs

from passtally.clock import Clock
from passtally.fetch import Fetched, FetchError
from passtally.http_client import (
    ClientConnection,
    ExchangeError,
    ExchangeStep,
    ResponseHead,
)
from passtally.http_server import RawHeaders
from passtally.pause_aware_timeout import PauseAwareTimeout
from passtally.settings import Address, parse_address

#: How long a connection may take to come up. Endpoints are a millisecond away; a
#: full accept queue costs seconds, in which another endpoint answers.
CONNECT_TIMEOUT = timedelta(milliseconds=150)
#: How long the next part of an answer that is fetched whole may take. A store's largest
#: value, 1 MB, takes 0.8 s of a link of 10 Mbit/s that has nothing else to carry: it is
#: not given up while it comes.
PART_TIMEOUT = timedelta(seconds=1)
#: The longest answer that is fetched whole, in bytes; a store's pages have 1 MB.
MAX_FETCHED = 16 << 20


@attrs.frozen(kw_only=True)
class BufferedAnswer:
    """An answer that was read to its end."""

    head: ResponseHead
    body: bytes


class ConnectionPool:
    """The idle connections to each address.

    Args:
        clock: The clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}
        self.opened = 0

    async def take(
        self, address: Address, *, must_be_new: bool = False
    ) -> ClientConnection:
        """Return an idle connection, or a new one.

        Args:
            address: The peer.
            must_be_new: Whether the idle ones may be silent; they are closed.

        Raises:
            ExchangeError: None came up.
        """
        if must_be_new:
            self.invalidate(address)
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable:
                return connection
            connection.abort()
        return await self.open(address)

    async def open(
        self, address: Address, *, timeout: timedelta = CONNECT_TIMEOUT
    ) -> ClientConnection:
        """Return a new connection.

        Raises:
            ExchangeError: None came up in time.
        """
        self.opened += 1
        connecting = asyncio.ensure_future(self._connect(address))
        try:
            async with PauseAwareTimeout(timeout, clock=self._clock):
                return await connecting
        except BaseException as error:
            connecting.cancel()
            # It may come up in the very pass of the loop that gives it up.
            connecting.add_done_callback(_abort)
            if not isinstance(error, OSError | TimeoutError):
                raise
            detail = str(error) or type(error).__name__
            raise ExchangeError(ExchangeStep.CONNECT, detail) from error

    async def _connect(self, address: Address) -> ClientConnection:
        _, connection = await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(clock=self._clock), address.host, address.port
        )
        return connection

    async def exchange(
        self,
        address: Address,
        method: bytes,
        target: bytes,
        headers: RawHeaders,
        body: bytes,
        *,
        most: int,
        timeout: timedelta,
        part_timeout: timedelta | None = None,
        on_head: Callable[[ResponseHead], None] = lambda head: None,
    ) -> "BufferedAnswer":
        """Send a request and read its whole answer.

        Args:
            address: The peer.
            method: The method.
            target: The path and query, byte for byte.
            headers: The headers; the body's length is added.
            body: The body.
            most: The longest answer that is taken, in bytes.
            timeout: The time limit for all of it.
            part_timeout: How long each further part may take once the answer has
                begun, beyond that limit; None for no longer.
            on_head: Called with the answer's head, also where the rest is lost.

        Raises:
            ExchangeError: No whole answer came.
            TimeoutError: None came in time.
        """
        try:
            async with PauseAwareTimeout(timeout, clock=self._clock) as limit:
                extend = partial(limit.extend, part_timeout or timedelta(0))
                connection = await self.take(address)
                try:
                    head = await connection.send(method, target, headers, body)
                    on_head(head)
                    extend()
                    answer = await connection.read_all(most, on_part=extend)
                except BaseException:
                    connection.abort()
                    raise
        except TimeoutError:
            self.invalidate(address)
            raise
        self.release(address, connection, head)
        return BufferedAnswer(head=head, body=answer)

    def release(
        self, address: Address, connection: ClientConnection, head: ResponseHead
    ) -> None:
        """Keep a connection whose answer was read whole, if it may be used again."""
        if connection.rest(head.header(b"keep-alive")):
            self._drop_unusable()
            self._idle_by_address.setdefault(address, []).append(connection)

    def invalidate(self, address: Address) -> None:
        """Close the idle connections to a peer that did not answer on one."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.abort()

    def invalidate_older(self, since: timedelta) -> None:
        """Close the idle connections to all peers that were last used before a moment.

        Args:
            since: Since when one is silent though its peer answers on new ones.
        """
        for idle in self._idle_by_address.values():
            for connection in idle:
                if connection.rested_at < since:
                    connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.abort()
        self._idle_by_address.clear()

    def _drop_unusable(self) -> None:
        """Close idle connections that are too old, so that they don't pile up."""
        for address, idle in list(self._idle_by_address.items()):
            usable = [connection for connection in idle if connection.is_usable]
            for connection in idle:
                if not connection.is_usable:
                    connection.abort()
            if usable:
                self._idle_by_address[address] = usable
            else:
                del self._idle_by_address[address]


class PoolFetcher:
    """See :class:`passtally.fetch.Fetcher`.

    Args:
        pool: The connections.
    """

    def __init__(self, *, pool: ConnectionPool) -> None:
        self._pool = pool

    async def fetch(
        self,
        method: str,
        url: str,
        *,
        timeout: timedelta,
        params: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        data: bytes = b"",
    ) -> Fetched:
        """Make one call."""
        parts = urlsplit(url)
        address = parse_address(parts.netloc)
        target = f"{parts.path}?{urlencode(params)}" if params else parts.path
        fields = {"Host": parts.netloc} | dict(headers or {})
        sent = [(name.encode(), value.encode()) for name, value in fields.items()]
        try:
            answer = await self._pool.exchange(
                address,
                method.encode(),
                target.encode(),
                sent,
                data,
                most=MAX_FETCHED,
                timeout=timeout,
                part_timeout=PART_TIMEOUT,
            )
        except (ExchangeError, TimeoutError) as error:
            raise FetchError(str(error) or "no answer in time") from error
        head = answer.head
        return Fetched(status=head.status, body=answer.body, headers=head.headers)


def _abort(connecting: asyncio.Future[ClientConnection]) -> None:
    """Close a connection that nobody waits for any more, if it came up."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().abort()
