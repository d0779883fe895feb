"""A pool of idle connections to other processes, for reuse.

Many open connections may stop carrying data at the same time, for good, while new
connections work. Neither side receives an error: only a request that gets no answer
reveals such a connection. Idle connections that may be affected too are then closed.
"""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import partial
from urllib.parse import urlencode, urlsplit

import attrs

from passtally.clock import Clock
from passtally.endpoint_dialer import CONNECT_TIMEOUT, EndpointDialer
from passtally.fetch import Fetched, FetchError
from passtally.http_client import (
    ClientConnection,
    ExchangeError,
    ExchangeStep,
    ResponseHead,
)
from passtally.http_exchange import RawHeaders
from passtally.pause_aware_timeout import PauseAwareTimeout
from passtally.settings import Address, parse_address

#: Time limit for each further part of a buffered answer. The store's largest value,
#: 1 MB, takes 0.8 s on an otherwise idle link of 10 Mbit/s. It is not aborted while
#: data arrives.
PART_TIMEOUT = timedelta(seconds=1)
#: Maximum size of a buffered answer, in bytes. A page of the store has 1 MB.
MAX_FETCHED = 16 << 20


@attrs.frozen(kw_only=True)
class BufferedAnswer:
    """A complete answer, read into memory."""

    head: ResponseHead
    body: bytes


class ConnectionPool:
    """A pool of idle connections by address.

    Args:
        clock: The clock.
        dialer: Connects to endpoints; None for one that knows no other hosts.
    """

    def __init__(self, *, clock: Clock, dialer: EndpointDialer | None = None) -> None:
        self._clock = clock
        self.dialer = dialer or EndpointDialer(clock=clock)
        self.dialer.on_silent = self.invalidate
        self.dialer.list_idle = self._list_idle_endpoints
        self._idle_by_address: dict[Address, list[ClientConnection]] = {}
        #: Number of connections opened or tried since the start.
        self.opened = 0

    async def acquire(
        self,
        address: Address,
        *,
        endpoint_id: str = "",
        must_be_new: bool = False,
    ) -> ClientConnection:
        """Return an idle connection, or open a new one.

        Args:
            address: The peer's address.
            endpoint_id: The id of the endpoint there; empty for another peer.
            must_be_new: Whether to close the idle connections, which may be silent,
                and open a new one.

        Raises:
            ExchangeError: No connection could be established in time.
        """
        if must_be_new:
            self.invalidate(address)
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable and self._is_on_right_way(address, connection):
                return connection
            connection.abort()
        return await self.open(address, endpoint_id=endpoint_id)

    def _is_on_right_way(self, address: Address, connection: ClientConnection) -> bool:
        is_tunnel = connection.tunnel is not None
        return not connection.endpoint_id or self.dialer.may_reuse(
            address, is_tunnel=is_tunnel
        )

    async def open(
        self, address: Address, *, endpoint_id: str = ""
    ) -> ClientConnection:
        """Open a new connection.

        Args:
            address: The peer's address.
            endpoint_id: The id of the endpoint there, which may be reached through
                another host; empty for another peer.

        Raises:
            ExchangeError: The connection could not be established in time.
        """
        self.opened += 1
        connecting = asyncio.ensure_future(self._connect(address, endpoint_id))
        try:
            return await connecting
        except BaseException as error:
            connecting.cancel()
            # It may be established in the same loop iteration that cancels it.
            connecting.add_done_callback(_abort)
            if not isinstance(error, OSError | TimeoutError):
                raise
            detail = str(error) or type(error).__name__
            raise ExchangeError(ExchangeStep.CONNECT, detail) from error

    async def _connect(self, address: Address, endpoint_id: str) -> ClientConnection:
        if not endpoint_id:
            async with PauseAwareTimeout(CONNECT_TIMEOUT, clock=self._clock):
                _, connection = await asyncio.get_running_loop().create_connection(
                    lambda: ClientConnection(clock=self._clock),
                    address.host,
                    address.port,
                )
            return connection
        on_data = partial(self.dialer.record_data, address)
        _, connection = await self.dialer.connect(
            address,
            endpoint_id,
            lambda: ClientConnection(
                clock=self._clock, endpoint_id=endpoint_id, on_direct_data=on_data
            ),
        )
        return connection

    def _list_idle_endpoints(self) -> list[tuple[Address, str]]:
        """Return the endpoints that idle connections lead to, with their ids."""
        return [
            (address, idle[0].endpoint_id)
            for address, idle in self._idle_by_address.items()
            if idle and idle[0].endpoint_id
        ]

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
        endpoint_id: str = "",
        part_timeout: timedelta | None = None,
        on_head: Callable[[ResponseHead], None] = lambda head: None,
    ) -> "BufferedAnswer":
        """Send a request and read its complete answer.

        Args:
            address: The peer's address.
            method: The method.
            target: The path and query, byte for byte.
            headers: The headers; Content-Length is added.
            body: The body.
            most: The maximum size of the answer's body, in bytes.
            timeout: The time limit for the whole exchange.
            endpoint_id: The id of the endpoint there; empty for another peer.
            part_timeout: The time limit for each further part of an answer that has
                begun, which may extend the exchange beyond ``timeout``; None for no
                extension.
            on_head: Called with the answer's head, even if the body is then lost.

        Raises:
            ExchangeError: The connection failed or the answer is incomplete.
            TimeoutError: The exchange exceeded its time limit.
        """
        try:
            async with PauseAwareTimeout(timeout, clock=self._clock) as limit:
                extend = partial(limit.extend, part_timeout or timedelta(0))
                connection = await self.acquire(address, endpoint_id=endpoint_id)
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
        """Return a connection to the pool after a complete answer, if reusable."""
        if connection.make_idle(head.header(b"keep-alive")):
            self._drop_unusable()
            self._idle_by_address.setdefault(address, []).append(connection)

    def invalidate(self, address: Address) -> None:
        """Close the idle connections to a peer, which may all be silent."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.abort()

    def invalidate_older(self, since: timedelta) -> None:
        """Close the connections to all peers that became idle before a given time.

        Args:
            since: The time since which a connection has been silent although its peer
                answers on new ones, on the monotonic clock.
        """
        for idle in self._idle_by_address.values():
            for connection in idle:
                if connection.idle_since < since:
                    connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.abort()
        self._idle_by_address.clear()

    def _drop_unusable(self) -> None:
        """Close idle connections past their idle time, so that they don't pile up."""
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
    """A :class:`passtally.fetch.Fetcher` on pooled connections.

    Args:
        pool: The connection pool.
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
        """Send a request and return its complete answer.

        Raises:
            FetchError: No complete answer arrived in time.
        """
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
    """Close a connection that was established after its opening was cancelled."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().abort()
