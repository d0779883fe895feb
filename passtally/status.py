"""What a host tells operators of itself, its peers and its endpoints."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from passtally.catalog import Catalog
from passtally.drain import Drain
from passtally.fleet import Fleet
from passtally.member_table import MemberView
from passtally.membership import Gossip
from passtally.peers import Peers
from passtally.routing import EndpointView


@attrs.frozen(kw_only=True)
class PeerStatus:
    """One peer, as this host knows it.

    Attributes:
        id: Its name.
        failure_domain: Where it stands.
        config_version: The configuration version in force there.
        alive: Whether it is in reach.
        leaving: Whether it is stopping.
        heard_seconds_ago: When it was last heard of, or None if never.
    """

    id: str
    failure_domain: str
    config_version: int
    alive: bool
    leaving: bool
    heard_seconds_ago: float | None


@attrs.frozen(kw_only=True)
class HostStatus:
    """One host.

    Attributes:
        id: Its name.
        failure_domain: Where it stands.
        config_version: The configuration version in force on it.
        platform_reachable: Whether its watch is up.
        leaving: Whether it is stopping.
        open_requests: How many requests it has open.
        peer_bytes_sent: Bytes sent to peers since its start.
        claim_writes: Writes sent for claims since its start.
        peers: Its peers.
        endpoints: The endpoints, with the load it believes.
    """

    id: str
    failure_domain: str
    config_version: int
    platform_reachable: bool
    leaving: bool
    open_requests: int
    peer_bytes_sent: int
    claim_writes: int
    peers: list[PeerStatus]
    endpoints: list[EndpointView]


@attrs.frozen(kw_only=True)
class StatusReader:
    """Reads the state of this host.

    Attributes:
        host_id: Its name.
        failure_domain: Where it stands.
        catalog: The configuration in force.
        gossip: What is known of its peers.
        peers: The links.
        fleet: The endpoints.
        drain: The open requests.
        is_platform_reachable: Returns whether the watch is up.
        count_claim_writes: Returns the writes sent for claims.
    """

    host_id: str
    failure_domain: str
    catalog: Catalog
    gossip: Gossip
    peers: Peers
    fleet: Fleet
    drain: Drain
    is_platform_reachable: Callable[[], bool]
    count_claim_writes: Callable[[], int]

    async def read(self) -> HostStatus:
        """Return the state of this host."""
        return HostStatus(
            id=self.host_id,
            failure_domain=self.failure_domain,
            config_version=self.catalog.config_version,
            platform_reachable=self.is_platform_reachable(),
            leaving=self.drain.is_stopping,
            open_requests=self.drain.open_requests,
            peer_bytes_sent=self.peers.bytes_sent,
            claim_writes=self.count_claim_writes(),
            peers=[_peer_status(view) for view in self.gossip.views()],
            endpoints=self._endpoints(),
        )

    def objects(self, kind: str) -> Mapping[str, Any]:
        """Return the objects of one kind that are in force here, by id."""
        return getattr(self.catalog, f"{kind}_by_id")

    def _endpoints(self) -> list[EndpointView]:
        found = (self.fleet.find(name) for name in sorted(self.catalog.endpoints_by_id))
        return [live.view() for live in found if live is not None]


def _peer_status(view: MemberView) -> PeerStatus:
    ago = view.since_contact
    return PeerStatus(
        id=view.id,
        failure_domain=view.failure_domain,
        config_version=view.config_version,
        alive=view.alive,
        leaving=view.leaving,
        heard_seconds_ago=None if ago is None else round(ago.total_seconds(), 1),
    )
