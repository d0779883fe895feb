"""Discovery of the other entry hosts, first by seeds and then by gossip."""

from collections.abc import Collection, Sequence
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.member_table import MemberTable, pick_dead_hosts
from passtally.membership import Gossip
from passtally.messages import MemberRow
from passtally.peers import Peers
from passtally.ranking import rank_of
from passtally.settings import Address, PeerAddress, parse_address

#: Interval between updates of the links to the hosts in the membership table.
LINK_INTERVAL = timedelta(milliseconds=500)
#: Time that new links to seeds are given to connect before the first message.
CONNECT_PAUSE = timedelta(milliseconds=50)
#: Number of hosts, the local one included, up to which all are linked to each other.
MAX_LINKS = 24
#: Number of links of each host to hosts of its failure domain in larger fleets: half
#: to the next and half to the previous ones in the ring of names. With one more link to
#: each other domain, the cost for a host does not grow with the number of hosts.
RING_LINKS = 8
SEED_PREFIX = "seed-"


class Roster:
    """Opens and closes links as the membership table changes.

    Args:
        seeds: Addresses of a few hosts to start from; they may be outdated.
        table: The membership table, filled by gossip.
        peers: The links to other hosts.
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
        #: Maximum number of hosts reachable at once so far, this host included.
        self.peak_hosts = 1
        #: Whether to link to all hosts of the local failure domain.
        self.links_domain = False
        #: Hosts that are linked in any case: this host gets its updates from them.
        self.source_ids: Collection[str] = ()
        self._linked_ids: set[str] = set()
        #: The inputs of the last choice of links.
        self._chosen_by: tuple[int, bool, frozenset[str]] | None = None

    def others(self) -> list[MemberRow]:
        """Return the rows of the other hosts that are reachable."""
        return self._table.reachable()

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Replace the seeds, and close links to former seeds that never answered."""
        self._seeds = seeds
        kept = {f"{SEED_PREFIX}{address}" for address in seeds}
        for host_id in self._peers.ids:
            if host_id.startswith(SEED_PREFIX) and host_id not in kept:
                self._peers.remove_peer(host_id)
        self.link_seeds()

    def link_seeds(self) -> None:
        """Open links to the seeds, whose host names are not known yet."""
        own = self._table.own.address
        for address in self._seeds:
            if str(address) != own and not self._peers.find(address):
                self._peers.add_peer(
                    PeerAddress(
                        host_id=f"{SEED_PREFIX}{address}",
                        failure_domain="",
                        address=address,
                    )
                )

    async def run(self, gossip: Gossip) -> None:
        """Keep the links up to date with the membership table until cancelled."""
        self.link_seeds()
        await self._clock.sleep(CONNECT_PAUSE)
        await gossip.run_round()
        while True:
            self.update_links()
            await self._clock.sleep(LINK_INTERVAL)

    def update_links(self) -> None:
        """Open and close links if the membership or the needs of this host changed."""
        sources = frozenset(self.source_ids)
        chosen_by = (self._table.revision, self.links_domain, sources)
        if chosen_by == self._chosen_by and self._linked_ids:
            return
        own_address = self._table.own.address
        rows = [row for row in self.others() if row.address not in ("", own_address)]
        self.peak_hosts = max(self.peak_hosts, len(rows) + 1)
        chosen = choose_links(self._table.own, rows, whole_domain=self.links_domain)
        chosen += [row for row in rows if row.host_id in self.source_ids]
        # A row with the address of this host belongs to one of its former names.
        dead = [row for row in self._table.dead() if row.address != own_address]
        chosen += pick_dead_hosts(dead, [self._table.own, *rows])
        rows_by_id = {row.host_id: row for row in chosen if row.address}
        self._remove_other_peers(rows_by_id)
        for row in rows_by_id.values():
            self._link(row)
        self._linked_ids = set(rows_by_id)
        # Set last, so that links that could not be opened are retried.
        self._chosen_by = chosen_by
        if not rows:
            self.link_seeds()

    def _link(self, row: MemberRow) -> None:
        address = parse_address(row.address)
        self._remove_seed(address)
        if row.host_id not in self._peers.ids:
            log_event(
                "roster", "Linked to a peer.", peer=row.host_id, address=row.address
            )
        self._peers.add_peer(
            PeerAddress(
                host_id=row.host_id, failure_domain=row.failure_domain, address=address
            )
        )

    def _remove_other_peers(self, kept_ids: Collection[str]) -> None:
        for host_id in self._peers.ids:
            if host_id not in kept_ids and not host_id.startswith(SEED_PREFIX):
                log_event("roster", "Closed the link to a peer.", peer=host_id)
                self._peers.remove_peer(host_id)

    @property
    def is_fully_linked(self) -> bool:
        """Whether all reachable hosts are linked to each other."""
        return len(self.others()) < MAX_LINKS

    def neighbours(self) -> list[MemberRow]:
        """Return the rows of the linked hosts of this failure domain."""
        return [row for row in self._local_domain() if row.host_id in self._linked_ids]

    def domain_ids(self) -> list[str]:
        """Return the reachable other hosts of this failure domain."""
        return [row.host_id for row in self._local_domain()]

    @property
    def own(self) -> MemberRow:
        """The current row of the local host."""
        return self._table.own

    @property
    def revision(self) -> int:
        """A number that increases with each change of the membership table."""
        return self._table.revision

    @property
    def failure_domain(self) -> str:
        """The failure domain of the local host."""
        return self._table.own.failure_domain

    def remote_ids(self) -> list[str]:
        """Return the reachable linked hosts of other failure domains."""
        own = self.failure_domain
        return [row.host_id for row in self.linked() if row.failure_domain != own]

    def _local_domain(self) -> list[MemberRow]:
        own = self.failure_domain
        return [row for row in self.others() if row.failure_domain == own]

    def linked(self) -> list[MemberRow]:
        """Return the rows of the reachable hosts that this host is linked to."""
        return [row for row in self.others() if row.host_id in self._linked_ids]

    def _remove_seed(self, address: Address) -> None:
        for host_id in self._peers.find(address):
            if host_id.startswith(SEED_PREFIX):
                self._peers.remove_peer(host_id)


def choose_links(
    own: MemberRow, rows: Sequence[MemberRow], *, whole_domain: bool = False
) -> list[MemberRow]:
    """Choose the hosts that one host links to. Pure.

    Args:
        own: The row of the host that opens the links.
        rows: The rows of the other hosts.
        whole_domain: Whether to link to all hosts of the same failure domain.
    """
    if len(rows) < MAX_LINKS:
        return list(rows)
    ordered = sorted(rows, key=lambda row: (row.host_id <= own.host_id, row.host_id))
    local = [row for row in ordered if row.failure_domain == own.failure_domain]
    remote = {
        row.failure_domain: row
        for row in sorted(rows, key=lambda row: rank_of(own.host_id, row.host_id))
        if row.failure_domain != own.failure_domain
    }
    if not whole_domain:
        local = [*local[: RING_LINKS // 2], *local[-(RING_LINKS // 2) :]]
    return [*local, *remote.values()]
