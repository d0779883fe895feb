"""Choice of the hosts that share an endpoint's request limit."""

from passtally.messages import MemberRow
from passtally.ranking import rank_of
from passtally.roster import Roster
from passtally.service_index import ServiceIndex


class LimitSharers:
    """The order in which hosts get a share of each endpoint's request limit.

    Hosts in the endpoint's failure domain come first: they can reach it even if the
    failure domains are cut off from each other.

    Args:
        roster: The known hosts.
        catalog: The endpoints.
    """

    def __init__(self, *, roster: Roster, catalog: ServiceIndex) -> None:
        self._roster = roster
        self._catalog = catalog
        self._ranks_by_endpoint: dict[str, int] = {}
        self._ranked_at = -1

    def count(self) -> int:
        """Return the number of reachable hosts, this one included."""
        return len(self._roster.others()) + 1

    def rank(self, endpoint_id: str) -> int:
        """Return the number of hosts before this one in an endpoint's order."""
        if self._ranked_at != self._roster.revision:
            self._ranks_by_endpoint.clear()
            self._ranked_at = self._roster.revision
        rank = self._ranks_by_endpoint.get(endpoint_id)
        if rank is None:
            rank = self._ranks_by_endpoint[endpoint_id] = self._find_rank(endpoint_id)
        return rank

    def _find_rank(self, endpoint_id: str) -> int:
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        domain = endpoint.failure_domain if endpoint else ""

        def order(row: MemberRow) -> tuple[bool, bytes]:
            return row.failure_domain != domain, rank_of(endpoint_id, row.host_id)

        own = order(self._roster.own)
        return sum(order(row) < own for row in self._roster.others())
