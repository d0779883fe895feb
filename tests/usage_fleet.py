"""Hosts that tell each other what they use, over simulated datagrams."""

import asyncio
from collections.abc import Sequence

from passtally.admission_request import Claimant, Standing
from passtally.endpoint_speed import EndpointSpeeds
from passtally.messages import MemberRow
from passtally.priority import Priority
from passtally.promises import Promises
from passtally.usage import ServiceUsage, Use, pick_largest
from passtally.usage_exchange import UsageExchange
from passtally.usage_table import UsageTable
from tests.datagram_network import DatagramNetwork
from tests.gossip_fleet import Fleet

SERVICE = "s"
STANDING = Standing(priority=Priority())


class UsageFleet:
    """Hosts with gossip that exchange the use of one service.

    Attributes:
        held_by_host: What each host holds, by workspace.
    """

    def __init__(self, *, hosts: int, domains: int = 3, loss: float = 0.0) -> None:
        self.gossip = Fleet(hosts=hosts, domains=domains, loss=loss)
        self.network = DatagramNetwork(self.gossip)
        self.held_by_host: dict[str, dict[str, float]] = {}
        self.tables_by_host: dict[str, UsageTable] = {}
        self.exchanges_by_host: dict[str, UsageExchange] = {}
        self._tasks_by_host: dict[str, asyncio.Task[None]] = {}

    def start(self, rows: Sequence[MemberRow], *, life: int = 1) -> None:
        self.gossip.start(rows, life=life)
        for row in rows:
            node = self.gossip.nodes_by_address[row.address]
            table = UsageTable()
            exchange = UsageExchange(
                members=node.roster,
                datagrams=self.network.add(node),
                clock=self.gossip.clock,
                table=table,
                speeds=EndpointSpeeds(),
                promises=Promises(),
                usage_by_service=lambda host_id=node.id: {SERVICE: self.own(host_id)},
            )
            self.tables_by_host[node.id] = table
            self.exchanges_by_host[node.id] = exchange
            self._tasks_by_host[node.id] = asyncio.create_task(exchange.run())

    def stop(self, rows: Sequence[MemberRow]) -> None:
        """Kill hosts."""
        self.gossip.stop(rows)
        for row in rows:
            self._tasks_by_host.pop(row.host_id).cancel()
            del self.exchanges_by_host[row.host_id]
            del self.tables_by_host[row.host_id]

    def own(self, host_id: str) -> ServiceUsage:
        """Return what a host uses."""
        uses = {
            Claimant(standing=STANDING, workspace=workspace): Use(held=held)
            for workspace, held in self.held_by_host.get(host_id, {}).items()
        }
        held = sum(use.held for use in uses.values())
        return ServiceUsage(
            hosts=1,
            by_standing={STANDING: Use(held=held)} if held else {},
            by_claimant=pick_largest(uses, 24),
        )

    def known(self, host_id: str) -> ServiceUsage:
        """Return what a host believes that all hosts use."""
        now = self.gossip.clock.monotonic()
        table = self.tables_by_host[host_id]
        return table.find(SERVICE, self.own(host_id), now=now).total

    def known_held(self, host_id: str) -> float:
        return self.known(host_id).of_standing(STANDING).held

    def is_known_to_all(self, held: float, *, tolerance: float = 0.0) -> bool:
        """Return whether all running hosts know the use of all."""
        return all(
            abs(self.known_held(host_id) - held) <= tolerance * held
            for host_id in self.tables_by_host
        )
