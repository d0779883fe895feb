"""A loopback network that no other soak run on the machine uses."""

import os
import socket

from passtally.platform.settings import METRICS_PORT

#: Ports that each host listens on, at its own address. They are below the range from
#: which the kernel assigns ephemeral ports to connections and to listeners on port 0.
FRONT_PORT = 8740
CONTROL_PORT = 8748
READY_PORT = 8749
#: Ports that hosts may be moved to when their settings change.
FRONT_PORTS = (FRONT_PORT, 8741, 8742)
CONTROL_PORTS = (CONTROL_PORT, 8746, 8747)
READY_PORTS = (READY_PORT, 8743)
#: Port at which a host opens connections to endpoints for the others.
TUNNEL_PORT = 8752
HOST_PORTS = (
    *FRONT_PORTS,
    *CONTROL_PORTS,
    *READY_PORTS,
    METRICS_PORT,
    TUNNEL_PORT,
)
#: Port that a run keeps bound at the first address of its network, to claim it.
CLAIM_PORT = 8739
#: Second and third octets of the networks for runs, 127.X.Y.0/24.
SECOND_OCTETS = range(220, 251)
THIRD_OCTETS = range(256)
#: Last octet of the first host's address; the next hosts follow.
FIRST_HOST_OCTET = 2


class LoopbackNetwork:
    """A loopback network with an address for each host, claimed for one run.

    Args:
        hosts: Number of hosts.
        first: Number of the network to try first; the process id if None.

    Raises:
        OSError: All networks are in use.
    """

    def __init__(self, *, hosts: int, first: int | None = None) -> None:
        self._hosts = hosts
        count = len(SECOND_OCTETS) * len(THIRD_OCTETS)
        first = os.getpid() if first is None else first
        for number in range(first, first + count):
            second, third = divmod(number % count, len(THIRD_OCTETS))
            self._prefix = f"127.{SECOND_OCTETS[second]}.{THIRD_OCTETS[third]}"
            if self._claim():
                return
        raise OSError("All loopback networks for soak runs are in use.")

    def ip(self, host: int) -> str:
        """Return the address of a host.

        Args:
            host: Its number, from 0.
        """
        return f"{self._prefix}.{FIRST_HOST_OCTET + host}"

    def release(self) -> None:
        """Release the network for other runs."""
        self._claim_socket.close()

    def _claim(self) -> bool:
        """Claim the network, unless it is in use.

        Another run may hold its claim port, or a process that a run left behind may
        still listen on one of the host ports.
        """
        self._claim_socket = socket.socket()
        try:
            self._claim_socket.bind((f"{self._prefix}.1", CLAIM_PORT))
            for host in range(self._hosts):
                for port in HOST_PORTS:
                    socket.create_server((self.ip(host), port)).close()
        except OSError:
            self._claim_socket.close()
            return False
        return True
