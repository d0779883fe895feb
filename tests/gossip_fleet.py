"""Simulated gossip in virtual time, with message loss, partitions and paused hosts."""

import asyncio
import random
from collections.abc import Sequence

import msgspec

from passtally.departures import Departures
from passtally.member_table import MemberTable
from passtally.membership import Gossip
from passtally.messages import Hello, MemberRow
from passtally.objects import EndpointStart
from passtally.peers import PeerError
from passtally.reported_exits import ReportedExits
from passtally.roster import Roster
from passtally.settings import Address, PeerAddress, parse_address
from standins.virtual import VirtualClock


class Links:
    """One host's links, in place of :class:`passtally.peers.Peers`."""

    def __init__(self, *, fleet: "Fleet", host_id: str) -> None:
        self.ids_by_address: dict[str, str] = {}
        self.fleet = fleet
        self.host_id = host_id
        self.bytes_sent = 0

    @property
    def ids(self) -> list[str]:
        return list(self.ids_by_address.values())

    def on(self, kind: type, handler) -> None:
        self.answer = handler

    def add_peer(self, peer: PeerAddress) -> None:
        self.ids_by_address[str(peer.address)] = peer.host_id

    def remove_peer(self, host_id: str) -> None:
        self.ids_by_address = {
            address: name
            for address, name in self.ids_by_address.items()
            if name != host_id
        }

    def find(self, address: Address) -> list[str]:
        name = self.ids_by_address.get(str(address))
        return [name] if name else []

    async def ask(self, host_id: str, message: Hello) -> Hello:
        return await self.fleet.ask(self, host_id, message)


class Fleet:
    """Hosts that gossip over simulated links.

    Attributes:
        loss: The share of messages that get lost.
        sides: The side of a network partition on which each host is, 0 if not named.
        down: The names of the stopped hosts.
        paused: The names of hosts that do not receive messages for now.
    """

    DELAY = 0.001
    TIMEOUT = 0.5
    SEEDS = 3

    def __init__(self, *, hosts: int, domains: int, loss: float = 0.0) -> None:
        self.rng = random.Random(hosts)
        self.loss = loss
        self.clock = VirtualClock()
        self.nodes_by_address: dict[str, Node] = {}
        self.sides: dict[str, int] = {}
        self.down: set[str] = set()
        self.paused: set[str] = set()
        self.rows = [
            MemberRow(
                host_id=f"front-{number:04}",
                failure_domain=f"d{number % domains}",
                counter=1,
                config_version=0,
                leaving=False,
                address=f"10.0.{number // 250}.{number % 250 + 1}:7",
            )
            for number in range(hosts)
        ]
        self.tasks: list[asyncio.Task] = []

    def start(self, rows: Sequence[MemberRow], *, life: int = 1) -> None:
        for item in rows:
            self.down.discard(item.host_id)
            own = msgspec.structs.replace(item, counter=life)
            self.nodes_by_address[item.address] = Node(fleet=self, own=own)

    def know_all(self) -> None:
        """Fill all tables, with no pending updates, as in a fleet without changes."""
        for node in self.nodes:
            node.table.merge(self.rows, self.clock.monotonic())
            while node.table.has_updates:
                node.table.pop_updates(1000)
            node.roster.update_links()

    def stop(self, rows: Sequence[MemberRow]) -> None:
        for item in rows:
            self.down.add(item.host_id)
            self.nodes_by_address.pop(item.address).task.cancel()

    @property
    def nodes(self) -> "list[Node]":
        return list(self.nodes_by_address.values())

    async def ask(self, links: Links, host_id: str, message: Hello) -> Hello:
        addresses_by_id = {name: at for at, name in links.ids_by_address.items()}
        address = addresses_by_id.get(host_id)
        if address is None:
            raise PeerError("there is no link to this peer", step="Hello", peer=host_id)
        node = self.nodes_by_address.get(address)
        size = len(msgspec.msgpack.encode(message))
        links.bytes_sent += size
        if node is None or not self._passes(links.host_id, node.id):
            await asyncio.sleep(self.TIMEOUT)
            raise PeerError("no answer in time", step="Hello", peer=host_id)
        await asyncio.sleep(self.DELAY)
        reply = await node.links.answer(message)
        node.links.bytes_sent += len(msgspec.msgpack.encode(reply))
        await asyncio.sleep(self.DELAY)
        if not self._passes(links.host_id, node.id):
            await asyncio.sleep(self.TIMEOUT)
            raise PeerError("no answer in time", step="Hello", peer=host_id)
        return reply

    def _passes(self, sender: str, receiver: str) -> bool:
        is_partitioned = self.sides.get(sender, 0) != self.sides.get(receiver, 0)
        is_lost = self.rng.random() < self.loss
        return not is_partitioned and not is_lost and receiver not in self.paused

    async def wait_until(self, holds, *, limit: float) -> float:
        """Wait for a condition, and return the virtual seconds until it held."""
        started_at = asyncio.get_running_loop().time()
        async with asyncio.timeout(limit):
            while not holds():
                await asyncio.sleep(0.5)
        return asyncio.get_running_loop().time() - started_at

    def count_wrong(self) -> int:
        """Return the number of false ``DEAD`` rows of running hosts in all tables."""
        living = {node.id for node in self.nodes}
        return sum(
            item.host_id in living for node in self.nodes for item in node.table.dead()
        )

    def all_know(self, expected: int) -> bool:
        return all(len(node.table.reachable()) == expected for node in self.nodes)


class Node:
    """A host that runs the gossip and the roster of a simulated fleet."""

    def __init__(self, *, fleet: Fleet, own: MemberRow) -> None:
        self.id = own.host_id
        self.fleet = fleet
        self.links = Links(fleet=fleet, host_id=own.host_id)
        self.table = MemberTable(own=own)
        self.departures = Departures()
        self.own_exits: set[EndpointStart] = set()
        #: Exits of endpoints heard from other hosts.
        self.heard_exits: list[EndpointStart] = []
        self.exits = ReportedExits(clock=fleet.clock, on_exit=self.heard_exits.append)
        self.gossip = Gossip(
            table=self.table,
            peers=self.links,
            clock=fleet.clock,
            rng=random.Random(own.host_id),
            departures=self.departures,
            exits=self.exits,
        )
        seeds = [parse_address(item.address) for item in fleet.rows[: fleet.SEEDS]]
        self.roster = Roster(
            seeds=seeds, table=self.table, peers=self.links, clock=fleet.clock
        )
        self.task = asyncio.create_task(self.run())

    async def run(self) -> None:
        await asyncio.sleep(self.fleet.rng.random() / 2)
        async with asyncio.TaskGroup() as group:
            group.create_task(self.roster.run(self.gossip))
            group.create_task(self.gossip.run())
