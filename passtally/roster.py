"""Finds the other entry hosts: from a few seeds, then from each other."""

from collections.abc import Sequence
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.membership import Gossip, MemberTable
from passtally.peers import MemberRow, Peers
from passtally.settings import Address, PeerAddress, parse_address

#: How often links are made to hosts that gossip has told of.
MEET_INTERVAL = timedelta(milliseconds=500)
#: How long links take to come up before the first message.
CONNECT_PAUSE = timedelta(milliseconds=50)
SEED_PREFIX = "seed-"


class Roster:
    """Links this host to all hosts that gossip tells of.

    Args:
        seeds: Where some hosts may be reached; they may be stale.
        table: The hosts that gossip tells of.
        peers: The links.
        clock: The clock.
    """

    def __init__(
        self,
        *,
        seeds: Sequence[Address],
        table: MemberTable,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._seeds = seeds
        self._table = table
        self._peers = peers
        self._clock = clock
        #: The most hosts that were in reach at once, this one included.
        self.peak = 1

    def others(self) -> list[MemberRow]:
        """Return the rows of the other hosts that are in reach."""
        return self._table.alive_rows(self._clock.monotonic())

    def meet_seeds(self) -> None:
        """Open links to the seeds, by their addresses alone."""
        own = self._table.own.address
        for address in self._seeds:
            if str(address) != own and not self._peers.find(address):
                self._peers.meet(
                    PeerAddress(
                        host_id=f"{SEED_PREFIX}{address}",
                        failure_domain="",
                        address=address,
                    )
                )

    async def run(self, gossip: Gossip) -> None:
        """Open links to hosts that gossip has told of, for ever."""
        self.meet_seeds()
        await self._clock.sleep(CONNECT_PAUSE)
        await gossip.tell()
        while True:
            self.meet()
            await self._clock.sleep(MEET_INTERVAL)

    def meet(self) -> None:
        """Open links to hosts that are new, close those to hosts out of reach."""
        self.peak = max(self.peak, len(self.others()) + 1)
        rows_by_id = {row.host_id: row for row in self.others() if row.address}
        for row in rows_by_id.values():
            address = parse_address(row.address)
            peer = PeerAddress(
                host_id=row.host_id, failure_domain=row.failure_domain, address=address
            )
            self._forget_seed(address)
            if row.host_id not in self._peers.ids:
                log_event("roster", "Met.", peer=row.host_id, address=row.address)
            self._peers.meet(peer)
        for host_id in self._peers.ids:
            if host_id not in rows_by_id and not host_id.startswith(SEED_PREFIX):
                log_event("roster", "Out of reach.", peer=host_id)
                self._peers.forget(host_id)
        if not rows_by_id:
            self.meet_seeds()

    def _forget_seed(self, address: Address) -> None:
        for host_id in self._peers.find(address):
            if host_id.startswith(SEED_PREFIX):
                self._peers.forget(host_id)
