"""The addresses at which a host is reached: by callers, the balancer, other hosts."""

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from passtally.http_server import (
    SMALL_PART,
    Exchange,
    Handle,
    HttpServer,
    ServerLimits,
)
from passtally.listeners import CALLERS, METRICS, PEERS, READINESS, Listeners
from passtally.peers import Peers
from passtally.settings import Address, Settings


class HostServers:
    """What listens at the addresses that the settings tell.

    Args:
        listeners: Opens and moves the listening sockets.
        peers: The links to other hosts.
        handle: Answers callers.
        limits: Returns what callers may send.
        accepted: Called with how long a caller's connection waited to be taken.
        encode_ready: Returns the status and body for the balancer's question.
        render_metrics: Returns the metrics as text.
    """

    def __init__(
        self,
        *,
        listeners: Listeners,
        peers: Peers,
        handle: Handle,
        limits: Callable[[], ServerLimits],
        accepted: Callable[[timedelta], None],
        encode_ready: Callable[[], tuple[int, bytes]],
        render_metrics: Callable[[], bytes],
    ) -> None:
        self._listeners = listeners
        self._peers = peers
        self._encode_ready = encode_ready
        self._render_metrics = render_metrics
        self.callers = HttpServer(handle=handle, limits=limits, accepted=accepted)
        self._readiness = HttpServer(handle=self._answer_ready, part=SMALL_PART)
        self._metrics = HttpServer(handle=self._answer_metrics, part=SMALL_PART)

    async def open(
        self, settings: Settings, *, front_socket: socket.socket | None = None
    ) -> None:
        """Listen at all addresses; what can't be had is tried again.

        Args:
            settings: Where to.
            front_socket: Listens already where callers come in; None to open one.
        """
        peer_listen = settings.peer_listen
        await self._listeners.open(
            PEERS,
            peer_listen,
            self._peers.bind,
            close=partial(self._peers.unbind, peer_listen),
        )
        for name, address in (
            (READINESS, settings.ready_listen),
            (CALLERS, settings.listen),
            # Last: their port is fixed, and another address may have it.
            (METRICS, settings.metrics_listen),
        ):
            if address is None:
                continue
            server = self._find(name)
            start = partial(server.start, address.host, address.port)
            if name == CALLERS and front_socket is not None:
                start = partial(server.start_on, front_socket)
            close = partial(server.leave, address.host, address.port)
            await self._listeners.open(name, address, start, close=close)

    def move(self, name: str, address: Address | None) -> None:
        """Listen at another address, or nowhere.

        Args:
            name: Who is reached there, as :mod:`passtally.listeners` names it.
            address: Where to listen from now on.
        """
        if name == PEERS:
            start = partial(self._peers.bind, address)
            close = partial(self._peers.unbind, address)
        else:
            server = self._find(name)
            place = () if address is None else (address.host, address.port)
            start = partial(server.start, *place)
            close = partial(server.leave, *place)
        self._listeners.move(name, address, start, close=close)

    async def stop(self) -> None:
        """Close all connections once what was answered is written."""
        # Together: each may take 400 ms for what it has answered, of the 600 ms left.
        servers = (self.callers, self._readiness, self._metrics)
        await asyncio.gather(*(server.stop() for server in servers))

    def _find(self, name: str) -> HttpServer:
        return {
            CALLERS: self.callers,
            READINESS: self._readiness,
            METRICS: self._metrics,
        }[name]

    async def _answer_ready(self, exchange: Exchange) -> None:
        status, body = self._encode_ready()
        await exchange.answer(status, [(b"Content-Type", b"application/json")], body)

    async def _answer_metrics(self, exchange: Exchange) -> None:
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await exchange.answer(200, headers, self._render_metrics())
