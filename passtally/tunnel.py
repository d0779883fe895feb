"""The near end of a tunnel: a connection to an endpoint through another host.

A protocol is connected to it as to a direct connection to the endpoint. Each tunnel has
a connection of its own to the other host, so that a slow reader holds up no other, and
closing either end closes the whole.
"""

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from passtally.decision import log_event
from passtally.message_signing import MessageSigner
from passtally.settings import Address
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

#: Name under which a transport tells the tunnel that it passes through.
TUNNEL_INFO = "tunnel"

ProtocolFactory = Callable[[], asyncio.Protocol]
#: A connection's transport and protocol, as event loops return them.
Connected = tuple[asyncio.Transport, asyncio.Protocol]


class TunnelRefusedError(Exception):
    """Another host did not connect to the endpoint; nothing was sent to it.

    Args:
        reason: Why; None if the host did not answer.
        is_cut_off: Whether the host itself reaches no endpoint.
        peer: The host.
        detail: The underlying error.
    """

    def __init__(
        self,
        reason: TunnelRefusal | None,
        *,
        peer: str,
        is_cut_off: bool = False,
        detail: str = "",
    ) -> None:
        self.reason = reason
        self.peer = peer
        self.is_cut_off = is_cut_off
        super().__init__(f"tunnel through {peer}: {reason or detail}")


class TunnelLostError(ConnectionError):
    """The connection to the other host was lost, and with it the tunnel.

    The endpoint may have received what was sent, and go on with it.
    """


@attrs.frozen(kw_only=True)
class TunnelInfo:
    """The identity of a tunnel.

    Attributes:
        id: The id in the logs of both hosts.
        host_id: The host that it passes through.
        endpoint_id: The endpoint that it leads to.
    """

    id: str
    host_id: str
    endpoint_id: str


async def open_tunnel(
    address: Address,
    info: TunnelInfo,
    factory: ProtocolFactory,
    *,
    own_id: str,
    signer: MessageSigner,
    count: Callable[[int], None] = lambda change: None,
) -> Connected:
    """Open a tunnel, and return the protocol that is connected to the endpoint.

    Args:
        address: The other host's address for tunnels.
        info: The identity of the new tunnel.
        factory: Makes the protocol.
        own_id: The name of this host.
        signer: Signs the messages.
        count: Called with 1 once the tunnel is open, and with -1 when it has ended.

    Raises:
        TunnelRefusedError: The other host did not connect to the endpoint.
    """
    opened = asyncio.get_running_loop().create_future()
    request = OpenTunnel(
        tunnel_id=info.id, host_id=own_id, endpoint_id=info.endpoint_id
    )

    def make_connection() -> _TunnelConnection:
        return _TunnelConnection(
            info=info,
            request=request,
            factory=factory,
            signer=signer,
            opened=opened,
            count=count,
        )

    connection: _TunnelConnection | None = None
    try:
        _, connection = await asyncio.get_running_loop().create_connection(
            make_connection, address.host, address.port
        )
        return await opened
    except OSError as error:
        raise TunnelRefusedError(None, peer=info.host_id, detail=str(error)) from error
    except asyncio.CancelledError:
        opened.cancel()
        if connection is not None:
            connection.abort()
        raise


class _TunnelConnection(asyncio.Protocol):
    """The connection to the other host."""

    def __init__(
        self,
        *,
        info: TunnelInfo,
        request: OpenTunnel,
        factory: ProtocolFactory,
        signer: MessageSigner,
        opened: asyncio.Future[Connected],
        count: Callable[[int], None],
    ) -> None:
        self._count = count
        self.info = info
        self._request = request
        self._factory = factory
        self._signer = signer
        self._opened = opened
        self._decoder = FrameDecoder(signer=signer)
        self._transport: asyncio.Transport | None = None
        self._inner: asyncio.Protocol | None = None
        self._is_lost = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Request the connection to the endpoint."""
        self._transport = transport
        transport.write(encode_message(self._request, self._signer))

    def data_received(self, data: bytes) -> None:
        """Pass data of the endpoint on, and handle messages of the other host."""
        try:
            for item in self._decoder.feed(data):
                if isinstance(item, bytes):
                    self._receive(item)
                else:
                    self._handle(item)
        except FrameError as error:
            self.lose(TunnelLostError(f"{self.info.host_id} sent {error}"))

    def eof_received(self) -> bool:
        """Close: the end of the endpoint's connection is told by a message."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the tunnel is lost, unless it has ended before."""
        self.lose(
            TunnelLostError(f"connection to host {self.info.host_id} lost: {error}")
        )

    def pause_writing(self) -> None:
        """Pause the protocol's writing while the other host reads slowly."""
        if self._inner is not None:
            self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Resume the protocol's writing."""
        if self._inner is not None:
            self._inner.resume_writing()

    def lose(self, error: Exception | None) -> None:
        """End the connection of the protocol, once, and close that to the host."""
        if self._is_lost:
            return
        self._is_lost = True
        self._transport.abort()
        if self._inner is not None:
            self._count(-1)
            self._inner.connection_lost(error)
        if not self._opened.done():
            refused = TunnelRefusedError(
                None, peer=self.info.host_id, detail=str(error)
            )
            self._opened.set_exception(refused)

    def abort(self) -> None:
        """Close at once; the protocol is notified later, as by other transports."""
        self._transport.abort()

    @property
    def transport(self) -> asyncio.Transport:
        """The transport of the connection to the other host."""
        return self._transport

    @property
    def is_lost(self) -> bool:
        """Whether the tunnel has ended."""
        return self._is_lost

    def _receive(self, data: bytes) -> None:
        if self._inner is not None and not self._is_lost:
            self._inner.data_received(data)

    def _handle(self, message: TunnelMessage) -> None:
        match message:
            case TunnelOpened():
                self._open()
            case TunnelRefused(reason=reason, is_cut_off=is_cut_off):
                self._refuse(reason, is_cut_off=is_cut_off)
            case TunnelEnded(is_reset=True):
                self.lose(ConnectionResetError("connection reset by the endpoint"))
            case TunnelEnded():
                if self._inner is not None and not self._is_lost:
                    self._inner.eof_received()
                self.lose(None)
            case TunnelClosing():
                stop_reuse = getattr(self._inner, "stop_reuse", None)
                if stop_reuse is not None:
                    stop_reuse()

    def _open(self) -> None:
        if self._opened.done():
            # Cancelled meanwhile.
            self.abort()
            return
        log_event(
            "tunnel",
            "Opened.",
            tunnel=self.info.id,
            peer=self.info.host_id,
            endpoint=self.info.endpoint_id,
        )
        self._count(1)
        self._inner = self._factory()
        transport = TunnelTransport(connection=self)
        self._inner.connection_made(transport)
        self._opened.set_result((transport, self._inner))

    def _refuse(self, reason: str, *, is_cut_off: bool) -> None:
        known = reason in set(TunnelRefusal)
        if not self._opened.done():
            refused = TunnelRefusedError(
                TunnelRefusal(reason) if known else TunnelRefusal.UNREACHABLE,
                peer=self.info.host_id,
                is_cut_off=is_cut_off,
            )
            self._opened.set_exception(refused)
        self.lose(None)


class TunnelTransport(asyncio.Transport):
    """The transport of a protocol whose connection passes through another host.

    Args:
        connection: The connection to the other host.
    """

    def __init__(self, *, connection: _TunnelConnection) -> None:
        super().__init__({TUNNEL_INFO: connection.info})
        self._connection = connection

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the tunnel, or its connection to the host."""
        if name == TUNNEL_INFO:
            return self._connection.info
        return self._connection.transport.get_extra_info(name, default)

    def write(self, data: bytes) -> None:
        """Send data to the endpoint."""
        if not self._connection.is_lost:
            self._connection.transport.write(encode_data(bytes(data)))

    def pause_reading(self) -> None:
        """Stop receiving."""
        if not self._connection.is_lost:
            self._connection.transport.pause_reading()

    def resume_reading(self) -> None:
        """Receive again."""
        if not self._connection.is_lost:
            self._connection.transport.resume_reading()

    def is_reading(self) -> bool:
        """Return whether the transport receives."""
        return self._connection.transport.is_reading()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that are not sent yet."""
        return self._connection.transport.get_write_buffer_size()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set the limits at which writing is paused and resumed."""
        self._connection.transport.set_write_buffer_limits(high=high, low=low)

    def can_write_eof(self) -> bool:
        """Return False: a tunnel can't be closed for writing only."""
        return False

    def is_closing(self) -> bool:
        """Return whether the tunnel has ended."""
        return self._connection.is_lost or self._connection.transport.is_closing()

    def close(self) -> None:
        """Close; requests are sent before, so nothing waits to be flushed."""
        self.abort()

    def abort(self) -> None:
        """Close at once, which also closes the endpoint's connection."""
        self._connection.abort()


def find_tunnel(transport: asyncio.BaseTransport) -> TunnelInfo | None:
    """Return the tunnel that a transport passes through; None for a direct one."""
    return transport.get_extra_info(TUNNEL_INFO)
