"""Sockets that listen for connections.

Imports little, since the first socket is opened before the rest of the program is
loaded.
"""

import socket

#: Number of connections that may wait to be accepted.
LISTEN_BACKLOG = 2048


def listen_at(host: str, port: int) -> socket.socket:
    """Return a socket that listens at an IP address and a port.

    Binding and listening are done here and not by the event loop: between the two,
    another process may start to listen at the same address, and uvloop then drops the
    error and returns a server without a socket.

    Args:
        host: The IP address, of version 4 or 6.
        port: The port; 0 for any that is free.

    Raises:
        OSError: The address can't be used now.
        OverflowError: The port is out of range.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            # Leaves the IPv4 addresses of the port to other sockets.
            listening.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        listening.bind((host, port))
        listening.listen(LISTEN_BACKLOG)
    except (OSError, OverflowError):
        listening.close()
        raise
    return listening
