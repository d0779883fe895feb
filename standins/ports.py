"""Draws ports of loopback addresses for processes and hosts that bind them later."""

import contextlib
import itertools
import os
import random
import socket

#: The range that ports are drawn from. It lies below the range from which the kernel
#: takes ports for connections and for listeners on port 0. A settings file that is cut
#: short names a tenth of such a port, which is still above the system ports, 0 to 1023.
FIRST_PORT, PORTS = 11_000, 20_000
_numbers = itertools.count(random.Random(os.getpid()).randrange(PORTS))


def free_ports(count: int) -> list[int]:
    """Return unused ports, none of which was drawn by this process shortly before.

    Concurrent runs of the tests start at other ports of the range.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_PORT + next(_numbers) % PORTS
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            ports.append(port)
    return ports


def free_port() -> int:
    """Return one unused port, as ``free_ports`` does."""
    return free_ports(1)[0]
