"""Chooses the hosts that keep the record of an answer's origin, and those to ask."""

from typing import Protocol

from passtally.host_ring import HostRing
from passtally.messages import MemberRow
from passtally.ranking import rank_of

#: Number of hosts that keep a record, and how many of them in the failure domain of the
#: host that began the answer: callers mostly return within a domain, also while it is
#: cut off, and the other host outlives the loss of the whole domain.
KEEPERS = 3
LOCAL_KEEPERS = 2
#: Number of hosts that are asked in each failure domain. One more than keep a record,
#: since the first in the order may be the host that began the answer, or one that has
#: joined or been lost since.
ASKED_PER_DOMAIN = LOCAL_KEEPERS + 1


class MemberSource(Protocol):
    """The known hosts.

    Attributes:
        own: The row of this host.
        revision: A number that increases with each change of the known hosts.
    """

    @property
    def own(self) -> MemberRow:
        """The row of this host."""

    @property
    def revision(self) -> int:
        """A number that increases with each change of the known hosts."""

    def others(self) -> list[MemberRow]:
        """Return the rows of the other hosts that are reachable."""


class OriginKeepers:
    """Chooses hosts by a key and the membership alone. Pure.

    Args:
        members: The known hosts.
    """

    def __init__(self, *, members: MemberSource) -> None:
        #: The failure domains of all hosts known so far, the own one included.
        self.known_domains: set[str] = set()
        self._members = members
        self._revision: int | None = None
        self._rings_by_domain: dict[str, HostRing] = {}

    @property
    def own_domain(self) -> str:
        """The failure domain of this host."""
        return self._members.own.failure_domain

    def list_keepers(self, key: bytes) -> list[MemberRow]:
        """Return the hosts that keep the record of an answer that began here."""
        rings = dict(self._rings())
        local = rings.pop(self.own_domain, None)
        count = max(LOCAL_KEEPERS, KEEPERS - len(rings))
        chosen = [] if local is None else local.list_hosts(key, count)
        domains = sorted(rings, key=lambda domain: rank_of(key.hex(), domain))
        for domain in domains[: KEEPERS - len(chosen)]:
            chosen += rings[domain].list_hosts(key, 1)
        return chosen

    def list_asked(self, key: bytes) -> list[MemberRow]:
        """Return the hosts that may keep the record of an answer, begun anywhere."""
        return [
            row
            for ring in self._rings().values()
            for row in ring.list_hosts(key, ASKED_PER_DOMAIN)
        ]

    def _rings(self) -> dict[str, HostRing]:
        """Return the ring of the other hosts of each failure domain."""
        if self._members.revision != self._revision:
            self._revision = self._members.revision
            rows_by_domain: dict[str, list[MemberRow]] = {}
            for row in self._members.others():
                if row.address:
                    rows_by_domain.setdefault(row.failure_domain, []).append(row)
            self._rings_by_domain = {
                domain: HostRing(rows) for domain, rows in rows_by_domain.items()
            }
            self.known_domains |= {self.own_domain, *rows_by_domain}
        return self._rings_by_domain
