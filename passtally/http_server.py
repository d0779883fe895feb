"""An HTTP/1.1 server that keeps requests byte for byte.

Paths, header names and bodies are not normalised. Ambiguous framing is rejected to
prevent request smuggling. This module manages the listening sockets and the limit on
connections; :mod:`passtally.server_connection` serves the requests of each.
"""

import asyncio
import contextlib
import resource
import socket
import struct
import sys
from collections.abc import Callable
from datetime import timedelta

from passtally.decision import log_event
from passtally.held_bodies import MAX_BODIES, HeldBodies
from passtally.http_exchange import Handle, ServerLimits
from passtally.listening import LISTEN_BACKLOG, listen_at
from passtally.output_buffers import OutputBuffers
from passtally.server_connection import ServerConnection

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


class HttpServer:
    """An HTTP server that passes each request to a handler.

    Args:
        handle: Called for each request; cancelled when the caller disconnects.
        limits: Returns the limits in force.
        part: The share of the process's file descriptors for its connections.
        accepted: Called for each new connection with its time in the accept queue,
            where the system reports that.
        output: The unread output of all connections; None for the default limits.
        bodies: The request bodies that are held; None for the default limit.
    """

    def __init__(
        self,
        *,
        handle: Handle,
        limits: Callable[[], ServerLimits] = ServerLimits,
        part: float = CALLERS_SHARE,
        accepted: Callable[[timedelta], None] | None = None,
        output: OutputBuffers | None = None,
        bodies: HeldBodies | None = None,
    ) -> None:
        self.output = output or OutputBuffers()
        self.bodies = bodies or HeldBodies(limit=MAX_BODIES)
        self.handle = handle
        self.limits = limits
        self._accepted = accepted
        #: Whether connections take no further request.
        self.is_closing = False
        #: Open connections, in the order of their acceptance.
        self._connections: dict[ServerConnection, None] = {}
        self._max_connections = count_connections(part)
        self._is_full = False
        #: Listening servers by the host and port that they were given.
        self._listening_by_address: dict[tuple[str, int], asyncio.Server] = {}

    async def start(self, host: str, port: int) -> int:
        """Listen at one more address; return the port.

        Raises:
            OSError: The address can't be used now.
        """
        listening = listen_at(host, port)
        port_in_use = listening.getsockname()[1]
        await self._accept((host, port), listening)
        return port_in_use

    async def start_on(self, listening: socket.socket) -> None:
        """Accept the connections of a socket that is already listening.

        Raises:
            OSError: The socket is closed.
        """
        await self._accept(listening.getsockname(), listening)

    async def _accept(self, address: tuple[str, int], listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
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


def count_connections(part: float) -> int:
    """Return the connection limit for a share of the process's file descriptors."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return sys.maxsize
    return max(MIN_CONNECTIONS, int(part * soft))
