"""Signed datagrams between hosts, which need no link to their receiver.

Among hundreds of hosts each is linked to a few others only. What concerns any one of
the others, is small and may be lost goes by datagram, to the address at which the host
accepts links. Datagrams may be lost, repeated, or arrive out of order.
"""

import asyncio
import socket
from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

import msgspec

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.message_signing import MAC_BYTES, MessageSigner
from passtally.messages import Message, decode_message
from passtally.settings import Address

#: Interval between two attempts to open the socket.
OPEN_INTERVAL = timedelta(seconds=1)
#: Maximum size of a received datagram, in bytes.
MAX_BYTES = 1 << 16
#: Maximum number of datagrams that are received at once, before other work goes on.
MAX_RECEIVED_AT_ONCE = 64
#: First part of what is signed, so that no other message passes for a datagram.
_PURPOSE = b"datagram"

Receive = Callable[[Any, Address], None]

_encode = msgspec.msgpack.Encoder().encode


class Datagrams:
    """Sends and receives datagrams at this host's address for other hosts.

    Args:
        signer: Signs and verifies them.
        clock: The clock.

    Attributes:
        messages_sent: Number of datagrams sent.
        bytes_sent: Their size without the headers of the network.
    """

    def __init__(self, *, signer: MessageSigner, clock: Clock) -> None:
        self.messages_sent = 0
        self.bytes_sent = 0
        self._signer = signer
        self._clock = clock
        self._receivers_by_type: dict[type, Receive] = {}
        self._socket: socket.socket | None = None
        self._wanted_address: Address | None = None
        self._open_address: Address | None = None
        self._logged_problem = ""

    def listen(self, kind: type, receive: Receive) -> None:
        """Set the receiver of messages of one type, called with the sender."""
        self._receivers_by_type[kind] = receive

    def receive_at(self, address: Address) -> None:
        """Receive at an address; a former one is closed once this one is open."""
        self._wanted_address = address
        self._open_if_missing()

    async def run(self) -> None:
        """Open the socket where that failed before, until cancelled; then close it."""
        try:
            while True:
                self._open_if_missing()
                await self._clock.sleep(OPEN_INTERVAL)
        finally:
            self._close()

    def _open_if_missing(self) -> None:
        address = self._wanted_address
        if address is None or address == self._open_address:
            return
        try:
            opened = _open(address)
        except OSError as error:
            if str(error) != self._logged_problem:
                self._logged_problem = str(error)
                log_event("datagrams", "Cannot receive.", listen=address, why=error)
            return
        self._close()
        self._socket, self._open_address = opened, address
        asyncio.get_running_loop().add_reader(opened, self._receive_all, opened)
        log_event("datagrams", "Receiving.", listen=address)

    def send(self, addresses: Sequence[Address], message: Message) -> None:
        """Send a message to some hosts, without any wait; it may be lost."""
        if self._socket is None:
            return
        payload = _encode(message)
        mac = self._signer.sign(_PURPOSE, payload)
        data = bytes([len(mac) // MAC_BYTES]) + mac + payload
        for address in addresses:
            try:
                self._socket.sendto(data, (address.host, address.port))
            except OSError as error:
                # The link is full, or there is no path: the same as a lost datagram.
                log_event("datagrams", "Not sent.", peer=address, why=error)
                continue
            self.messages_sent += 1
            self.bytes_sent += len(data)

    def _receive_all(self, opened: socket.socket) -> None:
        for _ in range(MAX_RECEIVED_AT_ONCE):
            try:
                data, (host, port) = opened.recvfrom(MAX_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # A receiver of an earlier datagram was not there.
                log_event("datagrams", "Receiving failed.", why=error)
                return
            self._receive(data, Address(host=host, port=port))

    def _receive(self, data: bytes, sender: Address) -> None:
        """Verify, decode and deliver one datagram; an invalid one is dropped."""
        end = 1 + (data[0] if data else 0) * MAC_BYTES
        mac, payload = data[1:end], data[end:]
        if not self._signer.is_signed(mac, _PURPOSE, payload):
            log_event("datagrams", "Dropped, wrong signature.", peer=sender)
            return
        try:
            message = decode_message(payload)
        except ValueError as error:
            log_event("datagrams", "Dropped, unknown message.", peer=sender, why=error)
            return
        receive = self._receivers_by_type.get(type(message))
        if receive is not None:
            receive(message, sender)

    def _close(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket)
            self._socket.close()
        self._socket = self._open_address = None


def _open(address: Address) -> socket.socket:
    """Return a socket that is bound to an address.

    Raises:
        OSError: The address can't be bound now.
    """
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        opened.setblocking(False)
        opened.bind((address.host, address.port))
    except OSError:
        opened.close()
        raise
    return opened
