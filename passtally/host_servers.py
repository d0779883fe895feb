"""The servers of a host: for callers, other hosts, readiness probes and metrics."""

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta
from functools import partial

from passtally.held_bodies import HeldBodies
from passtally.http_exchange import Exchange, Handle, ServerLimits
from passtally.http_server import SMALL_SHARE, HttpServer
from passtally.listeners import (
    CALLERS,
    METRICS,
    PEERS,
    READINESS,
    TUNNELS,
    Listeners,
)
from passtally.output_buffers import OutputBuffers
from passtally.peers import Peers
from passtally.settings import Address, Settings
from passtally.tunnel_server import TunnelServer


class HostServers:
    """The servers at the addresses in the settings.

    Args:
        listeners: Opens and moves the listening sockets.
        peers: The links to other hosts.
        tunnels: Accepts the tunnels of other hosts.
        handle: Answers callers' requests.
        limits: Returns the limits on callers' requests.
        accepted: Called for each caller's connection with its time in the accept queue.
        encode_ready: Returns the status and the body of the readiness answer.
        render_metrics: Returns the metrics as text.
        output: The unread output of callers' connections.
        bodies: The bodies of callers' requests.
    """

    def __init__(
        self,
        *,
        listeners: Listeners,
        peers: Peers,
        tunnels: TunnelServer,
        handle: Handle,
        limits: Callable[[], ServerLimits],
        accepted: Callable[[timedelta], None],
        encode_ready: Callable[[], tuple[int, bytes]],
        render_metrics: Callable[[], bytes],
        output: OutputBuffers,
        bodies: HeldBodies,
    ) -> None:
        self._listeners = listeners
        self._peers = peers
        self.tunnels = tunnels
        self._encode_ready = encode_ready
        self._render_metrics = render_metrics
        self.callers = HttpServer(
            handle=handle,
            limits=limits,
            accepted=accepted,
            output=output,
            bodies=bodies,
        )
        self._readiness = HttpServer(handle=self._answer_ready, part=SMALL_SHARE)
        self._metrics = HttpServer(handle=self._answer_metrics, part=SMALL_SHARE)

    async def open(
        self, settings: Settings, *, front_socket: socket.socket | None = None
    ) -> None:
        """Listen at all addresses; retry those that are not available.

        Args:
            settings: The settings with the addresses.
            front_socket: A socket that already listens for callers; None to open one.
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
            (TUNNELS, settings.tunnel_listen),
            # Last, since the metrics port is fixed and another setting may use it.
            (METRICS, settings.metrics_listen),
        ):
            if address is None:
                continue
            server = self._find(name)
            start = partial(server.start, address.host, address.port)
            if name == CALLERS and front_socket is not None:
                start = partial(self._start_callers, address, front_socket)
            close = partial(server.leave, address.host, address.port)
            await self._listeners.open(name, address, start, close=close)

    def move(self, name: str, address: Address | None) -> None:
        """Move a server to another address.

        Args:
            name: The listener's name, a constant of :mod:`passtally.listeners`.
            address: The new address; None to stop listening.
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
        """Flush complete answers and close all connections."""
        self.tunnels.stop()
        # Concurrently, since each server may take 400 ms to flush and the stop margin
        # is 600 ms.
        servers = (self.callers, self._readiness, self._metrics)
        await asyncio.gather(*(server.stop() for server in servers))

    async def _start_callers(
        self, address: Address, front_socket: socket.socket
    ) -> None:
        """Listen for callers, on the socket given if it is still open."""
        if front_socket.fileno() >= 0:
            await self.callers.start_on(front_socket)
        else:
            await self.callers.start(address.host, address.port)

    def _find(self, name: str) -> HttpServer | TunnelServer:
        return {
            CALLERS: self.callers,
            TUNNELS: self.tunnels,
            READINESS: self._readiness,
            METRICS: self._metrics,
        }[name]

    async def _answer_ready(self, exchange: Exchange) -> None:
        status, body = self._encode_ready()
        await exchange.answer(status, [(b"Content-Type", b"application/json")], body)

    async def _answer_metrics(self, exchange: Exchange) -> None:
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await exchange.answer(200, headers, self._render_metrics())
