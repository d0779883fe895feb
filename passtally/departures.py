"""Records which endpoints are leaving, from the first channel that reports it.

The channels are the configuration, the platform's lagging host list, the endpoint's own
reports and answers, and gossip. A departure applies to one incarnation of an endpoint
and is permanent: only a newer incarnation, from the configuration, makes the endpoint
usable again, so that a late channel can't undo a departure.
"""

from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.messages import DepartureRow
from passtally.object_store import HostEntry, Platform, PlatformError
from passtally.objects import Endpoint, EndpointStart
from passtally.service_index import ServiceIndex

#: Interval between reads of the platform's host list.
LIST_INTERVAL = timedelta(seconds=10)
#: State of a host in the platform's list that is leaving, with its endpoints.
LEAVING = "leaving"
#: Maximum number of departures in one message; those sent least often go first.
MAX_SENT = 10
#: Maximum number of departures that are kept, the latest ones: three times the number
#: of endpoints of the largest deployment. A late channel may still report an endpoint
#: that has ended.
MAX_KEPT = 2_000
#: Number of sends of each departure for which messages go out at shorter intervals.
URGENT_SENDS = 16


class Departures:
    """The departures known to this host. Pure."""

    def __init__(self) -> None:
        self._incarnations_by_id: dict[str, int] = {}
        self._successors_by_id: dict[str, str] = {}
        self._sends_by_id: dict[str, int] = {}
        #: Called with the id of an endpoint that has ended and that of its successor,
        #: when another host has told it.
        self.on_successor: Callable[[str, str], None] = lambda endpoint, successor: None

    def record(
        self, start: EndpointStart, *, channel: str, successor: str = ""
    ) -> None:
        """Record that one start of an endpoint is leaving or has terminated.

        Args:
            start: The start.
            channel: How this host learned of it.
            successor: The endpoint of the same service that has its address now; empty
                if unknown.
        """
        endpoint_id = start.endpoint_id
        known = self._incarnations_by_id.get(endpoint_id, -1)
        if start.incarnation > known:
            self._incarnations_by_id.pop(endpoint_id, None)
            self._incarnations_by_id[endpoint_id] = start.incarnation
            self._sends_by_id[endpoint_id] = 0
            log_event(
                "departures", "Endpoint is leaving.", peer=endpoint_id, channel=channel
            )
        if successor and endpoint_id not in self._successors_by_id:
            self._successors_by_id[endpoint_id] = successor
            self._sends_by_id[endpoint_id] = 0
        while len(self._incarnations_by_id) > MAX_KEPT:
            self._forget(next(iter(self._incarnations_by_id)))

    def find_successor(self, endpoint_id: str) -> str:
        """Return the endpoint of its service at an ended one's address, or empty."""
        return self._successors_by_id.get(endpoint_id, "")

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether this incarnation of an endpoint is leaving."""
        return self._incarnations_by_id.get(endpoint.id, -1) >= endpoint.incarnation

    def _forget(self, endpoint_id: str) -> None:
        del self._incarnations_by_id[endpoint_id]
        self._sends_by_id.pop(endpoint_id, None)
        self._successors_by_id.pop(endpoint_id, None)

    @property
    def has_updates(self) -> bool:
        """Whether a departure has been sent fewer than URGENT_SENDS times."""
        return any(sends < URGENT_SENDS for sends in self._sends_by_id.values())

    def pop_updates(self) -> list[DepartureRow]:
        """Return departures to send to peers, and count them as sent."""
        chosen = sorted(self._sends_by_id, key=self._sends_by_id.__getitem__)[:MAX_SENT]
        for endpoint_id in chosen:
            self._sends_by_id[endpoint_id] += 1
        return [
            DepartureRow(
                endpoint_id=endpoint_id,
                incarnation=self._incarnations_by_id[endpoint_id],
                successor=self.find_successor(endpoint_id),
                is_of_service=bool(self.find_successor(endpoint_id)),
            )
            for endpoint_id in chosen
        ]

    def merge(self, rows: Iterable[DepartureRow]) -> None:
        """Record the departures in a peer's message."""
        for row in rows:
            start = EndpointStart(
                endpoint_id=row.endpoint_id, incarnation=row.incarnation
            )
            successor = row.successor if row.is_of_service else ""
            is_new = successor and not self.find_successor(row.endpoint_id)
            self.record(start, channel="peer", successor=successor)
            if is_new:
                self.on_successor(row.endpoint_id, successor)

    def merge_host_list(
        self, hosts: Sequence[HostEntry], catalog: ServiceIndex
    ) -> None:
        """Record the departures that the platform's host list implies."""
        leaving = {entry.id for entry in hosts if entry.state == LEAVING}
        for endpoint in catalog.endpoints_by_id.values():
            if endpoint.host in leaving:
                self.record(endpoint.start, channel="host list")


class HostListReader:
    """Reads the platform's host list at intervals.

    Args:
        departures: The known departures, to which new ones are added.
        catalog: The endpoints.
        platform: The platform that keeps the list.
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
        """Read the list until cancelled; an outage disables only this channel."""
        while True:
            try:
                hosts = await self._platform.hosts()
                self._departures.merge_host_list(hosts, self._catalog)
            except PlatformError as error:
                log_event("departures", "Host list is unreachable.", why=error)
            await self._clock.sleep(LIST_INTERVAL)
