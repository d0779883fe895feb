"""The status that a host reports to operators: itself, its peers, its endpoints."""

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
    """The last known state of a peer.

    Attributes:
        id: The peer's name.
        failure_domain: The peer's failure domain.
        config_version: The configuration version active on the peer.
        alive: Whether the peer is reachable.
        leaving: Whether the peer is stopping.
        heard_seconds_ago: Seconds since the last contact, or None if there was none.
    """

    id: str
    failure_domain: str
    config_version: int
    alive: bool
    leaving: bool
    heard_seconds_ago: float | None


@attrs.frozen(kw_only=True)
class HostStatus:
    """The state of a host, with the peers and endpoints as the host knows them.

    Attributes:
        id: The host's name.
        failure_domain: The host's failure domain.
        config_version: The configuration version active on the host.
        platform_reachable: Whether the watch on the platform is connected.
        leaving: Whether the host is stopping.
        open_requests: The number of open requests.
        peer_bytes_sent: The number of bytes sent to peers since the host's start.
        claim_writes: The number of claim writes sent since the host's start.
        peers: The known peers.
        endpoints: The endpoints, with their load as estimated by the host.
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
    """Collects the state of the local host.

    Attributes:
        host_id: The local host's name.
        failure_domain: The local host's failure domain.
        catalog: The active configuration.
        gossip: The membership, with the last known state of each peer.
        peers: The links to peers.
        fleet: The endpoints and their load.
        drain: The counter of open requests.
        is_platform_reachable: Returns whether the watch on the platform is connected.
        count_claim_writes: Returns the number of claim writes sent.
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
        """Return the current state of the local host."""
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
        """Return the active objects of a kind, by id."""
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
