"""Which endpoints are leaving, learned from whoever says so first.

The configuration, the platform's lagging host list, the endpoint's own reports
and peers all tell. A departure is noted for one incarnation of an endpoint and
stays; only a newer incarnation, from the configuration, brings it back, so no
channel can do so by being late.
"""

from collections.abc import Iterable, Sequence
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.messages import DepartureRow
from passtally.object_store import HostEntry, Platform, PlatformError
from passtally.objects import Endpoint, EndpointStart
from passtally.service_index import ServiceIndex

LIST_INTERVAL = timedelta(seconds=10)
LEAVING = "leaving"
#: Departures told to peers in one message, those told least first.
MAX_SENT = 10
#: While one was told fewer times than this, peers are told at shorter intervals.
URGENT_SENDS = 16


class Departures:
    """The departures known to this host. Pure."""

    def __init__(self) -> None:
        self._incarnations_by_id: dict[str, int] = {}
        self._told_by_id: dict[str, int] = {}

    def note(self, start: EndpointStart, *, channel: str) -> None:
        """Take in that one start of an endpoint is leaving or has ended."""
        endpoint_id = start.endpoint_id
        known = self._incarnations_by_id.get(endpoint_id, -1)
        if start.incarnation <= known:
            return
        self._incarnations_by_id[endpoint_id] = start.incarnation
        self._told_by_id[endpoint_id] = 0
        log_event("departures", "Leaving.", peer=endpoint_id, channel=channel)

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether this incarnation of an endpoint is leaving."""
        return self._incarnations_by_id.get(endpoint.id, -1) >= endpoint.incarnation

    @property
    def has_updates(self) -> bool:
        """Whether peers have hardly been told of some departure."""
        return any(told < URGENT_SENDS for told in self._told_by_id.values())

    def pop_updates(self) -> list[DepartureRow]:
        """Return departures to tell peers, and count them as told."""
        chosen = sorted(self._told_by_id, key=self._told_by_id.__getitem__)[:MAX_SENT]
        for endpoint_id in chosen:
            self._told_by_id[endpoint_id] += 1
        return [
            DepartureRow(
                endpoint_id=endpoint_id,
                incarnation=self._incarnations_by_id[endpoint_id],
            )
            for endpoint_id in chosen
        ]

    def merge(self, rows: Iterable[DepartureRow]) -> None:
        """Take in what a peer tells."""
        for row in rows:
            start = EndpointStart(
                endpoint_id=row.endpoint_id, incarnation=row.incarnation
            )
            self.note(start, channel="peer")

    def merge_host_list(
        self, hosts: Sequence[HostEntry], catalog: ServiceIndex
    ) -> None:
        """Take in the platform's list of hosts."""
        leaving = {entry.id for entry in hosts if entry.state == LEAVING}
        for endpoint in catalog.endpoints_by_id.values():
            if endpoint.host in leaving:
                self.note(endpoint.start, channel="host list")


class HostListReader:
    """Reads the platform's list of hosts now and then.

    Args:
        departures: Where departures are noted.
        catalog: The endpoints.
        platform: Where the list is.
        clock: The clock.
    """

    def __init__(
        self,
        *,
        departures: Departures,
        catalog: ServiceIndex,
        platform: Platform,
        clock: Clock,
    ) -> None:
        self._departures = departures
        self._catalog = catalog
        self._platform = platform
        self._clock = clock

    async def run(self) -> None:
        """Read, for ever. An outage costs nothing but this channel."""
        while True:
            try:
                hosts = await self._platform.hosts()
                self._departures.merge_host_list(hosts, self._catalog)
            except PlatformError as error:
                log_event("departures", "Host list out of reach.", why=error)
            await self._clock.sleep(LIST_INTERVAL)
