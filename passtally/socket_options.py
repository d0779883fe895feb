"""Options of TCP sockets."""

import asyncio
import errno
import socket
import struct
from datetime import timedelta

#: Time that sent data may stay unacknowledged before the connection is closed. Where
#: keep-alive probes are enabled, it also decides when they give up.
UNACKNOWLEDGED_TIMEOUT = timedelta(seconds=2)

#: Values of SO_LINGER with which closing a socket resets its connection, and with which
#: it does not.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_FINISH_ON_CLOSE = struct.pack("ii", 0, 0)


def set_reset_on_close(transport: asyncio.BaseTransport, is_reset: bool) -> None:
    """Set whether the connection is reset when its socket is closed.

    The system closes the sockets of a process that dies, so a reset then has to be set
    beforehand. It drops what is not sent yet.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        value = _RESET_ON_CLOSE if is_reset else _FINISH_ON_CLOSE
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)


def was_reset(transport: asyncio.BaseTransport) -> bool:
    """Return whether a connection whose end was just reported was lost instead.

    uvloop reports the end of a connection in order where data and a reset arrive
    together. The error then stands in the socket until it is read here.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return error in (errno.ECONNRESET, errno.ETIMEDOUT)


def set_user_timeout(transport: asyncio.BaseTransport) -> None:
    """Set the TCP user timeout, so that a dead peer is detected."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.family == socket.AF_INET:
        milliseconds = int(UNACKNOWLEDGED_TIMEOUT.total_seconds() * 1000)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
