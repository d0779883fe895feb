"""Datagrams between the hosts of a simulated fleet, in virtual time."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from passtally.message_signing import MAC_BYTES
from passtally.messages import Message
from passtally.settings import Address, parse_address
from tests.gossip_fleet import Fleet, Node


class DatagramNetwork:
    """Carries datagrams over the links of a fleet, which delay, lose and cut them."""

    def __init__(self, gossip: Fleet) -> None:
        self.gossip = gossip
        self.datagrams_by_id: dict[str, FakeDatagrams] = {}

    def add(self, node: Node) -> "FakeDatagrams":
        """Return the datagrams of a host that has started."""
        datagrams = FakeDatagrams(network=self, node=node)
        self.datagrams_by_id[node.id] = datagrams
        return datagrams


class FakeDatagrams:
    """A host's datagrams, in place of :class:`passtally.datagrams.Datagrams`."""

    def __init__(self, *, network: DatagramNetwork, node: Node) -> None:
        self.messages_sent = 0
        self.bytes_sent = 0
        self.receivers_by_type: dict[type, Callable[[Any, Address], None]] = {}
        self._network = network
        self._node = node
        self._own = parse_address(node.table.own.address)

    def listen(self, kind: type, receive: Callable[[Any, Address], None]) -> None:
        self.receivers_by_type[kind] = receive

    def send(self, addresses: Sequence[Address], message: Message) -> None:
        size = 1 + MAC_BYTES + len(msgspec.msgpack.encode(message))
        for address in addresses:
            self.messages_sent += 1
            self.bytes_sent += size
            asyncio.get_running_loop().call_later(
                Fleet.DELAY, self._deliver, address, message
            )

    def _deliver(self, address: Address, message: Message) -> None:
        gossip = self._network.gossip
        node = gossip.nodes_by_address.get(str(address))
        if node is None or not gossip._passes(self._node.id, node.id):
            return
        receivers = self._network.datagrams_by_id[node.id].receivers_by_type
        receivers[type(message)](message, self._own)
