"""Options of TCP sockets."""

import asyncio
import socket
from datetime import timedelta

#: Time that sent data may stay unacknowledged before the connection is closed. Where
#: keep-alive probes are enabled, it also decides when they give up.
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=2)


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Set the TCP user timeout, so that a dead peer is detected."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family == socket.AF_INET:
        milliseconds = int(UNACKNOWLEDGED_TIMEOUT.total_seconds() * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
