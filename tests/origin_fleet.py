"""Hosts that share the origins of answers over simulated datagrams, in virtual time."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from passtally.generation import Generation, GenerationRequest
from passtally.message_signing import MAC_BYTES
from passtally.messages import MemberRow, Message
from passtally.metrics import NoMetrics
from passtally.objects import Endpoint, Service, ServiceKind
from passtally.origin import Origin, OriginRule
from passtally.origin_exchange import OriginExchange, UnknownOriginError
from passtally.settings import Address, parse_address
from tests.fakes import make_catalog
from tests.gossip_fleet import Fleet, Node

WORKSPACE, SERVICE = "w", "s"
VERSIONS = ("v1", "v2")


class FakeDatagrams:
    """A host's datagrams, in place of :class:`passtally.datagrams.Datagrams`."""

    def __init__(self, *, fleet: "OriginFleet", node: Node) -> None:
        self.messages_sent = 0
        self.bytes_sent = 0
        self.receivers_by_type: dict[type, Callable[[Any, Address], None]] = {}
        self._fleet = fleet
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
        gossip = self._fleet.gossip
        node = gossip.nodes_by_address.get(str(address))
        if node is None or not gossip._passes(self._node.id, node.id):
            return
        receivers = self._fleet.datagrams_by_id[node.id].receivers_by_type
        receivers[type(message)](message, self._own)


class OriginFleet:
    """Hosts with gossip, and before them endpoints of some software versions."""

    def __init__(
        self,
        *,
        hosts: int,
        domains: int = 3,
        loss: float = 0.0,
        versions: Sequence[str] = VERSIONS,
    ) -> None:
        self.gossip = Fleet(hosts=hosts, domains=domains, loss=loss)
        self.rng = random.Random(hosts)
        self.datagrams_by_id: dict[str, FakeDatagrams] = {}
        self.exchanges_by_id: dict[str, OriginExchange] = {}
        self.is_current = True
        self.catalog = make_catalog(
            [Service(id=SERVICE, kind=ServiceKind.MODEL, model="m", version="1")],
            [
                Endpoint(
                    id=f"e{number}",
                    service=SERVICE,
                    url=f"http://10.9.0.{number}:1",
                    failure_domain="d0",
                    software=software,
                )
                for number, software in enumerate(versions)
            ],
        )

    def start(self, rows: Sequence[MemberRow], *, life: int = 1) -> None:
        """Start hosts; a host that ran before has lost all that it knew."""
        self.gossip.start(rows, life=life)
        for row in rows:
            node = self.gossip.nodes_by_address[row.address]
            self.datagrams_by_id[node.id] = FakeDatagrams(fleet=self, node=node)
            exchange = OriginExchange(
                members=node.roster,
                datagrams=self.datagrams_by_id[node.id],
                catalog=self.catalog,
                rule=OriginRule(catalog=self.catalog),
                clock=self.gossip.clock,
                metrics=NoMetrics(),
                is_current=lambda: self.is_current,
                has_others=lambda: True,
            )
            self.exchanges_by_id[node.id] = exchange
            exchange.renew()

    def stop(self, rows: Sequence[MemberRow]) -> None:
        """Kill hosts."""
        self.gossip.stop(rows)
        for row in rows:
            del self.exchanges_by_id[row.host_id]

    def begin(self, host_id: str, request_id: str) -> str:
        """Begin a stream at a host, as before its first event; return its version."""
        version = self.rng.choice(VERSIONS)
        generation = Generation(
            request=GenerationRequest(
                id=request_id,
                workspace=WORKSPACE,
                service=SERVICE,
                model="m",
                prompt="p",
                max_tokens=9,
            ),
            origin=Origin(software=version),
        )
        exchange = self.exchanges_by_id[host_id]
        with exchange.running(generation, first_id=request_id) as answer:
            exchange.tell(answer)
        return version

    async def find(self, host_id: str, first_id: str) -> str | None:
        """Return the version that a host finds for a stream, or None."""
        try:
            origin = await self.exchanges_by_id[host_id].find(
                workspace=WORKSPACE,
                service=SERVICE,
                first_id=first_id,
                request_id=f"{first_id}-again",
            )
        except UnknownOriginError:
            return None
        return origin.software

    async def count_known(
        self, versions_by_id: dict[str, str], hosts: Sequence[str]
    ) -> int:
        """Return for how many streams random hosts find the version; none is wrong."""
        found = await asyncio.gather(
            *(self.find(self.rng.choice(hosts), name) for name in versions_by_id)
        )
        pairs = list(zip(found, versions_by_id.values(), strict=True))
        assert all(version in (None, expected) for version, expected in pairs)
        return sum(version is not None for version in found)
