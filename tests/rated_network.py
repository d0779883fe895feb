"""Links of limited bandwidth between the hosts of a test, in virtual time."""

import asyncio
import functools
import random
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from typing import Any

import msgspec

from passtally.messages import MemberRow, Message
from passtally.peers import PeerError

#: One-way network delay, as within a failure domain, in seconds.
DELAY = 0.0005


class Wire:
    """One direction of a host's link, on which messages queue behind each other."""

    def __init__(self, *, bits_per_second: float) -> None:
        self.bits_per_second = bits_per_second
        self.bytes = 0
        self.longest_wait = 0.0
        #: The maximum time that a further message would have waited at any moment.
        self.longest_backlog = 0.0
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Transfer a number of bytes, and return once they have passed."""
        now = asyncio.get_running_loop().time()
        self.bytes += size
        self.longest_wait = max(self.longest_wait, self._free_at - now)
        self._free_at = max(now, self._free_at) + size * 8 / self.bits_per_second
        self.longest_backlog = max(self.longest_backlog, self._free_at - now)
        await asyncio.sleep(self._free_at - now)


class RatedNetwork:
    """The links of all hosts; messages take their encoded size."""

    def __init__(self, *, bits_per_second: float) -> None:
        self.bits_per_second = bits_per_second
        self.peers_by_id: dict[str, RatedPeers] = {}
        #: Hosts that can neither send nor receive messages.
        self.cut: set[str] = set()

    def add(
        self, host_id: str, *, bits_per_second: float | None = None
    ) -> "RatedPeers":
        """Add a host, optionally with a different bandwidth."""
        rate = bits_per_second or self.bits_per_second
        peers = RatedPeers(network=self, host_id=host_id, bits_per_second=rate)
        self.peers_by_id[host_id] = peers
        return peers

    async def deliver(self, sender: str, receiver: str, message: Message) -> bool:
        """Transfer a message, and return whether it arrived."""
        size = len(msgspec.msgpack.encode(message)) + 40
        await self.peers_by_id[sender].up.carry(size)
        await asyncio.sleep(DELAY)
        if receiver not in self.peers_by_id or {sender, receiver} & self.cut:
            return False
        await self.peers_by_id[receiver].down.carry(size)
        return True


class RatedPeers:
    """A host's end of the network, in place of :class:`passtally.peers.Peers`."""

    def __init__(
        self, *, network: RatedNetwork, host_id: str, bits_per_second: float
    ) -> None:
        self.host_id = host_id
        self.up = Wire(bits_per_second=bits_per_second)
        self.down = Wire(bits_per_second=bits_per_second)
        self._network = network
        self._handlers: dict[type, Callable[[Any], Any]] = {}
        self._listeners: dict[type, Callable[[Any], None]] = {}
        self._tasks: set[asyncio.Task] = set()

    def on(self, kind: type, handler: Callable[[Any], Any]) -> None:
        self._handlers[kind] = handler

    def listen(self, kind: type, listener: Callable[[Any], None]) -> None:
        self._listeners[kind] = listener

    async def send_message(self, host_ids: Sequence[str], message: Message) -> set[str]:
        for host_id in host_ids:
            task = asyncio.create_task(self._deliver_notification(host_id, message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return set(host_ids)

    async def ask(
        self,
        host_id: str,
        message: Message,
        *,
        timeout: timedelta = timedelta(seconds=0.5),
    ) -> Message:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._ask(host_id, message)
        except TimeoutError as error:
            step = type(message).__name__
            raise PeerError("no answer in time", step=step, peer=host_id) from error

    async def _deliver_notification(self, host_id: str, message: Message) -> None:
        if await self._network.deliver(self.host_id, host_id, message):
            peer = self._network.peers_by_id[host_id]
            peer._listeners[type(message)](message)

    async def _ask(self, host_id: str, message: Message) -> Message:
        if not await self._network.deliver(self.host_id, host_id, message):
            await asyncio.sleep(3600)
        peer = self._network.peers_by_id[host_id]
        reply = await peer._handlers[type(message)](message)
        # A reply takes bandwidth even if the request has timed out.
        task = asyncio.create_task(self._network.deliver(host_id, self.host_id, reply))
        peer._tasks.add(task)
        task.add_done_callback(peer._tasks.discard)
        if not await asyncio.shield(task):
            await asyncio.sleep(3600)
        return reply


class FixedRoster:
    """A fixed set of hosts, in place of :class:`passtally.roster.Roster`.

    Each host is linked to the four before and after it in its failure domain, to the
    hosts it gets updates from, and to one host of each other domain.
    """

    def __init__(self, *, own: MemberRow, rows: Sequence[MemberRow]) -> None:
        self.own = own
        self.rows = rows
        self.links_domain = False
        self.source_ids: Collection[str] = ()

    @property
    def failure_domain(self) -> str:
        return self.own.failure_domain

    def domain_ids(self) -> list[str]:
        return [row.host_id for row in self._local_domain()]

    def neighbours(self) -> list[MemberRow]:
        domain = self._local_domain()
        if self.links_domain or len(domain) <= 8:
            return domain
        after = [row for row in domain if row.host_id > self.own.host_id]
        before = [row for row in domain if row.host_id < self.own.host_id]
        ring = after + before
        local = {row.host_id: row for row in (*ring[:4], *ring[-4:])}
        local |= {row.host_id: row for row in domain if row.host_id in self.source_ids}
        return list(local.values())

    def linked(self) -> list[MemberRow]:
        remote: dict[str, MemberRow] = {}
        for row in self.rows:
            if row.failure_domain != self.failure_domain:
                rank = _rank(self.own.host_id, row.host_id)
                known = remote.get(row.failure_domain)
                if known is None or rank > 0.9:
                    remote[row.failure_domain] = row
        return [*self.neighbours(), *remote.values()]

    def remote_ids(self) -> list[str]:
        own = self.failure_domain
        return [row.host_id for row in self.linked() if row.failure_domain != own]

    def _local_domain(self) -> list[MemberRow]:
        return [
            row
            for row in self.rows
            if row.failure_domain == self.failure_domain
            and row.host_id != self.own.host_id
        ]


@functools.cache
def _rank(own_id: str, host_id: str) -> float:
    return random.Random(f"{own_id} {host_id}").random()
