"""Finds the other entry hosts: from a few seeds, then from each other."""

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

#: How often links are made to hosts that gossip has told of.
LINK_INTERVAL = timedelta(milliseconds=500)
#: How long links take to come up before the first message.
CONNECT_PAUSE = timedelta(milliseconds=50)
#: Up to so many hosts all link to each other.
MAX_LINKS = 24
#: Among more, each links to so many hosts of its failure domain, half of them the
#: next and half the last ones in the order of names, and to one of each other domain:
#: its cost does not grow.
RING_LINKS = 8
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
        #: Whether this host is to be linked to all hosts of its failure domain.
        self.links_domain = False
        #: Hosts that this one learns from and so is linked to in any case.
        self.source_ids: Collection[str] = ()
        self._linked_ids: set[str] = set()
        #: What the links were last chosen by.
        self._chosen_by: tuple[int, bool, frozenset[str]] | None = None

    def others(self) -> list[MemberRow]:
        """Return the rows of the other hosts that are in reach."""
        return self._table.reachable()

    def use_seeds(self, seeds: Sequence[Address]) -> None:
        """Take other seeds; links to those of before that nobody answered on end."""
        self._seeds = seeds
        kept = {f"{SEED_PREFIX}{address}" for address in seeds}
        for host_id in self._peers.ids:
            if host_id.startswith(SEED_PREFIX) and host_id not in kept:
                self._peers.remove_peer(host_id)
        self.link_seeds()

    def link_seeds(self) -> None:
        """Open links to the seeds, by their addresses alone."""
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
        """Open links to hosts that gossip has told of, for ever."""
        self.link_seeds()
        await self._clock.sleep(CONNECT_PAUSE)
        await gossip.run_round()
        while True:
            self.update_links()
            await self._clock.sleep(LINK_INTERVAL)

    def update_links(self) -> None:
        """Open links to the hosts that it is this host's part to know."""
        sources = frozenset(self.source_ids)
        chosen_by = (self._table.revision, self.links_domain, sources)
        if chosen_by == self._chosen_by and self._linked_ids:
            return
        own_address = self._table.own.address
        rows = [row for row in self.others() if row.address not in ("", own_address)]
        self.peak = max(self.peak, len(rows) + 1)
        chosen = choose_links(self._table.own, rows, whole_domain=self.links_domain)
        chosen += [row for row in rows if row.host_id in self.source_ids]
        # A name that this host had before is gone, too.
        dead = [row for row in self._table.dead() if row.address != own_address]
        chosen += pick_dead_hosts(dead, [self._table.own, *rows])
        rows_by_id = {row.host_id: row for row in chosen if row.address}
        self._let_go(rows_by_id)
        for row in rows_by_id.values():
            self._link(row)
        self._linked_ids = set(rows_by_id)
        # Noted last: what could not be opened is tried again.
        self._chosen_by = chosen_by
        if not rows:
            self.link_seeds()

    def _link(self, row: MemberRow) -> None:
        address = parse_address(row.address)
        self._forget_seed(address)
        if row.host_id not in self._peers.ids:
            log_event("roster", "Met.", peer=row.host_id, address=row.address)
        self._peers.add_peer(
            PeerAddress(
                host_id=row.host_id, failure_domain=row.failure_domain, address=address
            )
        )

    def _let_go(self, kept_ids: Collection[str]) -> None:
        for host_id in self._peers.ids:
            if host_id not in kept_ids and not host_id.startswith(SEED_PREFIX):
                log_event("roster", "Let go.", peer=host_id)
                self._peers.remove_peer(host_id)

    @property
    def is_fully_linked(self) -> bool:
        """Whether all hosts in reach are linked to each other."""
        return len(self.others()) < MAX_LINKS

    def neighbours(self) -> list[MemberRow]:
        """Return the rows of the linked hosts of this failure domain."""
        return [row for row in self._domain() if row.host_id in self._linked_ids]

    def domain_ids(self) -> list[str]:
        """Return the other hosts of this failure domain that are in reach."""
        return [row.host_id for row in self._domain()]

    @property
    def own(self) -> MemberRow:
        """This host's row."""
        return self._table.own

    @property
    def revision(self) -> int:
        """Goes up whenever what is known of the hosts changes."""
        return self._table.revision

    @property
    def failure_domain(self) -> str:
        """This host's failure domain."""
        return self._table.own.failure_domain

    def far_ids(self) -> list[str]:
        """Return the linked hosts of other failure domains, heard of not long ago."""
        own = self.failure_domain
        return [row.host_id for row in self.linked() if row.failure_domain != own]

    def _domain(self) -> list[MemberRow]:
        own = self.failure_domain
        return [row for row in self.others() if row.failure_domain == own]

    def linked(self) -> list[MemberRow]:
        """Return the rows of the hosts in reach that this one is linked to."""
        return [row for row in self.others() if row.host_id in self._linked_ids]

    def _forget_seed(self, address: Address) -> None:
        for host_id in self._peers.find(address):
            if host_id.startswith(SEED_PREFIX):
                self._peers.remove_peer(host_id)


def choose_links(
    own: MemberRow, rows: Sequence[MemberRow], *, whole_domain: bool = False
) -> list[MemberRow]:
    """Choose the hosts that one host links to. Pure.

    Args:
        own: The host's own row.
        rows: The other hosts.
        whole_domain: Whether it links to all hosts of its failure domain.
    """
    if len(rows) < MAX_LINKS:
        return list(rows)
    ordered = sorted(rows, key=lambda row: (row.host_id <= own.host_id, row.host_id))
    near = [row for row in ordered if row.failure_domain == own.failure_domain]
    far = {
        row.failure_domain: row
        for row in sorted(rows, key=lambda row: rank_of(own.host_id, row.host_id))
        if row.failure_domain != own.failure_domain
    }
    if not whole_domain:
        near = [*near[: RING_LINKS // 2], *near[-(RING_LINKS // 2) :]]
    return [*near, *far.values()]
