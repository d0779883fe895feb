"""A loopback network that one run has for itself."""

import os
import socket

from passtally.platform.settings import METRICS_PORT

#: Where each host of a run listens, at an address of its own. The ports are below
#: those that the kernel gives to connections and to listeners that ask for any.
FRONT_PORT = 8740
CONTROL_PORT = 8748
READY_PORT = 8749
#: Where settings that change may tell it to listen instead.
FRONT_PORTS = (FRONT_PORT, 8741, 8742)
CONTROL_PORTS = (CONTROL_PORT, 8746, 8747)
READY_PORTS = (READY_PORT, 8743)
HOST_PORTS = (*FRONT_PORTS, *CONTROL_PORTS, *READY_PORTS, METRICS_PORT)
#: A run holds this port at the first address of its network until it ends.
CLAIM_PORT = 8739
#: The second and third number of the networks, 127.X.Y.0/24, that runs may have.
FIRST_PARTS = range(220, 251)
SECOND_PARTS = range(256)
#: Hosts have the addresses from this one on.
FIRST_HOST = 2


class LoopbackNetwork:
    """A network with an address for each host, and for no other run.

    Args:
        hosts: How many hosts there will be.
        first: Which network to try first.

    Raises:
        OSError: All networks are taken.
    """

    def __init__(self, *, hosts: int, first: int | None = None) -> None:
        self._hosts = hosts
        count = len(FIRST_PARTS) * len(SECOND_PARTS)
        first = os.getpid() if first is None else first
        for number in range(first, first + count):
            one, two = divmod(number % count, len(SECOND_PARTS))
            self._prefix = f"127.{FIRST_PARTS[one]}.{SECOND_PARTS[two]}"
            if self._claim():
                return
        raise OSError("No loopback network is left for this run.")

    def ip(self, host: int) -> str:
        """Return the address of a host, by its number from 0."""
        return f"{self._prefix}.{FIRST_HOST + host}"

    def release(self) -> None:
        """Leave the network to other runs."""
        self._holder.close()

    def _claim(self) -> bool:
        """Take the network, unless a run or a process that one left has it."""
        self._holder = socket.socket()
        try:
            self._holder.bind((f"{self._prefix}.1", CLAIM_PORT))
            for host in range(self._hosts):
                for port in HOST_PORTS:
                    socket.create_server((self.ip(host), port)).close()
        except OSError:
            self._holder.close()
            return False
        return True
