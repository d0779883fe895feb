"""The far end of tunnels: connects other hosts to endpoints that this host reaches.

The host that opened a tunnel decides all that concerns its requests: admission, claims,
retries, limits and the judgement of endpoints. This host passes bytes on and holds at
most the buffers of two connections for each tunnel. It connects to endpoints directly
only, so that a request passes through one host at most.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from passtally.decision import log_event
from passtally.drain import Drain
from passtally.http_server import count_connections
from passtally.listening import LISTEN_BACKLOG, listen_at
from passtally.message_signing import MessageSigner
from passtally.metrics import Metric, Metrics
from passtally.socket_options import set_user_timeout, was_reset
from passtally.tunnel_frames import (
    FrameDecoder,
    FrameError,
    encode_data,
    encode_message,
)
from passtally.tunnel_messages import (
    OpenTunnel,
    TunnelClosing,
    TunnelEnded,
    TunnelMessage,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)

#: Share of the process's file descriptors for the tunnels of other hosts. Each takes
#: two, so that this host's own callers keep most of them.
TUNNELS_SHARE = 0.1
#: Time in which a host that has connected must ask for its tunnel.
REQUEST_TIMEOUT = timedelta(seconds=1)
#: Size of the output, in bytes, that one end has not accepted yet and above which the
#: other end is not read.
BUFFER_HIGH_WATER = 64 * 1024

ConnectToEndpoint = Callable[
    [str, Callable[[], asyncio.Protocol]], Awaitable[asyncio.Protocol]
]


class UnknownEndpointError(Exception):
    """This host does not know an endpoint."""


class TunnelServer:
    """Accepts the tunnels of other hosts.

    Args:
        signer: Checks and signs messages.
        connect: Connects to an endpoint directly, given its id. Raises an OSError if
            that fails, and UnknownEndpointError for an endpoint that is not known.
        is_cut_off: Returns whether this host reaches no endpoint directly.
        is_busy: Returns whether this host has too little processor time.
        drain: Counts the open tunnels.
        metrics: Counts the refused tunnels.
    """

    def __init__(
        self,
        *,
        signer: MessageSigner,
        connect: ConnectToEndpoint,
        is_cut_off: Callable[[], Awaitable[bool]],
        drain: Drain,
        metrics: Metrics,
        is_busy: Callable[[], bool] = lambda: False,
    ) -> None:
        self.signer = signer
        self.connect = connect
        self.is_cut_off = is_cut_off
        self.drain = drain
        self._is_busy = is_busy
        self._metrics = metrics
        self._max_tunnels = count_connections(TUNNELS_SHARE / 2)
        self._tunnels: set[_ServedTunnel] = set()
        self._listening_by_address: dict[tuple[str, int], asyncio.Server] = {}

    @property
    def count(self) -> int:
        """The number of open tunnels."""
        return len(self._tunnels)

    async def start(self, host: str, port: int) -> int:
        """Listen at one more address; return the port.

        Raises:
            OSError: The address can't be used now.
        """
        listening = listen_at(host, port)
        port_in_use = listening.getsockname()[1]
        loop = asyncio.get_running_loop()
        self._listening_by_address[host, port] = await loop.create_server(
            lambda: _ServedTunnel(server=self), sock=listening, backlog=LISTEN_BACKLOG
        )
        return port_in_use

    def leave(self, host: str, port: int) -> None:
        """Stop listening at an address; keep its tunnels open."""
        listening = self._listening_by_address.pop((host, port), None)
        if listening is not None:
            listening.close()

    def close_idle(self) -> None:
        """Ask the other hosts to use their tunnels for no further request."""
        for tunnel in list(self._tunnels):
            tunnel.send(TunnelClosing())

    def stop(self) -> None:
        """Stop listening and close all tunnels."""
        for listening in self._listening_by_address.values():
            listening.close()
        for tunnel in list(self._tunnels):
            tunnel.abort()

    def find_refusal(self) -> TunnelRefusal | None:
        """Return why this host opens no tunnel now; None if it does."""
        if self.drain.is_stopping:
            return TunnelRefusal.STOPPING
        if len(self._tunnels) > self._max_tunnels or self._is_busy():
            return TunnelRefusal.FULL
        return None

    def add(self, tunnel: "_ServedTunnel") -> None:
        """Count a connection of another host."""
        self._tunnels.add(tunnel)

    def remove(self, tunnel: "_ServedTunnel") -> None:
        """Stop counting a connection."""
        self._tunnels.discard(tunnel)

    def count_refusal(self, reason: TunnelRefusal) -> None:
        """Count a refused tunnel."""
        self._metrics.count(Metric.TUNNELS_REFUSED, reason)


class _ServedTunnel(asyncio.Protocol):
    """One tunnel: the connection of another host, and that to the endpoint."""

    def __init__(self, *, server: TunnelServer) -> None:
        self._server = server
        self._decoder = FrameDecoder(signer=server.signer)
        self._transport: asyncio.Transport | None = None
        self._endpoint: _EndpointSide | None = None
        self._request: OpenTunnel | None = None
        self._opening: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._sent = self._received = 0
        #: How the endpoint's connection ended before the tunnel was reported as open.
        self._early_end: bool | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Wait for the request."""
        self._transport = transport
        transport.set_write_buffer_limits(high=BUFFER_HIGH_WATER)
        set_user_timeout(transport)
        self._server.add(self)
        self._timer = asyncio.get_running_loop().call_later(
            REQUEST_TIMEOUT.total_seconds(), self.abort
        )

    def data_received(self, data: bytes) -> None:
        """Handle the request, and pass data on to the endpoint."""
        try:
            for item in self._decoder.feed(data):
                if isinstance(item, OpenTunnel) and self._request is None:
                    self._open(item)
                elif isinstance(item, bytes) and self._endpoint is not None:
                    self._sent += len(item)
                    self._endpoint.transport.write(item)
                else:
                    raise FrameError("an unexpected message")
        except FrameError as error:
            log_event("tunnel", "Closed after an invalid message.", why=error)
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Close the connection to the endpoint, so that it stops working."""
        self._server.remove(self)
        self._timer.cancel()
        if self._opening is not None:
            self._opening.cancel()
        if self._endpoint is not None:
            self._endpoint.transport.abort()
            log_event(
                "tunnel",
                "Ended.",
                **self._names(),
                sent_bytes=self._sent,
                received_bytes=self._received,
            )

    def pause_writing(self) -> None:
        """Stop reading from the endpoint while the other host reads slowly."""
        if self._endpoint is not None:
            self._endpoint.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the endpoint again."""
        if self._endpoint is not None:
            self._endpoint.transport.resume_reading()

    def pause_reading(self) -> None:
        """Stop reading from the other host while the endpoint reads slowly."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the other host again."""
        self._transport.resume_reading()

    def forward(self, data: bytes) -> None:
        """Pass data of the endpoint on to the other host."""
        self._received += len(data)
        self._transport.write(encode_data(data))

    def end(self, *, is_reset: bool) -> None:
        """Report the end of the endpoint's connection, and close after sending it."""
        if self._endpoint is None:
            self._early_end = is_reset
            return
        self.send(TunnelEnded(is_reset=is_reset))
        self._transport.close()

    def send(self, message: TunnelMessage) -> None:
        """Send a message to the other host."""
        if not self._transport.is_closing():
            self._transport.write(encode_message(message, self._server.signer))

    def abort(self) -> None:
        """Close both connections at once."""
        self._transport.abort()

    def _open(self, request: OpenTunnel) -> None:
        self._timer.cancel()
        self._request = request
        refusal = self._server.find_refusal()
        if refusal is not None:
            self._refuse(refusal, detail="", is_cut_off=False)
            return
        self._opening = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        try:
            with self._server.drain.track_tunnel():
                endpoint = await self._server.connect(
                    self._request.endpoint_id, lambda: _EndpointSide(tunnel=self)
                )
                self._endpoint = endpoint
                self.send(TunnelOpened())
                log_event("tunnel", "Serving.", **self._names())
                if self._early_end is not None:
                    self.end(is_reset=self._early_end)
                await endpoint.closed.wait()
        except UnknownEndpointError as error:
            reason = TunnelRefusal.UNKNOWN_ENDPOINT
            self._refuse(reason, detail=str(error), is_cut_off=False)
        except (OSError, TimeoutError) as error:
            is_refused = isinstance(error, ConnectionRefusedError)
            self._refuse(
                TunnelRefusal.ENDPOINT_REFUSED
                if is_refused
                else TunnelRefusal.UNREACHABLE,
                detail=str(error),
                is_cut_off=await self._server.is_cut_off(),
            )

    def _refuse(self, reason: TunnelRefusal, *, detail: str, is_cut_off: bool) -> None:
        self._server.count_refusal(reason)
        log_event(
            "tunnel",
            "Refused.",
            **self._names(),
            reason=reason,
            is_cut_off=is_cut_off,
            why=detail,
        )
        self.send(TunnelRefused(reason=reason, is_cut_off=is_cut_off))
        self._transport.close()

    def _names(self) -> dict[str, str]:
        """Return the fields that identify the tunnel in the log."""
        return {
            "tunnel": self._request.tunnel_id,
            "peer": self._request.host_id,
            "endpoint": self._request.endpoint_id,
        }


class _EndpointSide(asyncio.Protocol):
    """The connection of a tunnel to its endpoint."""

    def __init__(self, *, tunnel: _ServedTunnel) -> None:
        self._tunnel = tunnel
        self._has_ended = False
        self.transport: asyncio.Transport | None = None
        self.closed = asyncio.Event()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Bound the output that the endpoint has not accepted."""
        self.transport = transport
        transport.set_write_buffer_limits(high=BUFFER_HIGH_WATER)
        set_user_timeout(transport)

    def data_received(self, data: bytes) -> None:
        """Pass data on."""
        self._tunnel.forward(data)

    def eof_received(self) -> bool:
        """Report that the endpoint has closed the connection, or has reset it."""
        self._has_ended = True
        self._tunnel.end(is_reset=was_reset(self.transport))
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the connection was lost, unless it was closed in order."""
        self.closed.set()
        if not self._has_ended:
            self._tunnel.end(is_reset=True)

    def pause_writing(self) -> None:
        """Stop reading from the other host."""
        self._tunnel.pause_reading()

    def resume_writing(self) -> None:
        """Read from the other host again."""
        self._tunnel.resume_reading()
