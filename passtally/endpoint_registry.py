"""The endpoints that registered themselves with the platform.

During an outage of the platform entries lapse although their endpoints are alive. An
endpoint whose entry is missing after an outage is kept for a grace period, and removed
only if the entry has not reappeared by then. A platform that was restored from an older
copy lacks the endpoints that registered since, and has outdated entries of others:
during the grace period the known state takes precedence.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.objects import UNKNOWN_INCARNATION, Endpoint, EndpointState
from passtally.service_index import ServiceIndex

#: Time after the platform's recovery for which an endpoint without an entry is kept.
#: Endpoints renew lapsed entries within about two seconds.
MISSING_ENTRY_GRACE = timedelta(seconds=2.2)
#: Interval between checks whether the grace period is over.
CHECK_INTERVAL = timedelta(milliseconds=200)


class EndpointRegistry:
    """Applies the entries of endpoints on the platform to a catalog.

    Args:
        catalog: The catalog that is updated.
        clock: The clock.
        grace: The time after the platform's recovery for which an endpoint without an
            entry is kept.
        on_removed: Called with the id of each removed endpoint.
        on_started: Called with each entry of a new endpoint or a new start, before it
            is put in the catalog.
    """

    def __init__(
        self,
        *,
        catalog: ServiceIndex,
        clock: Clock,
        grace: timedelta = MISSING_ENTRY_GRACE,
        on_removed: Callable[[str], None] = lambda endpoint_id: None,
        on_started: Callable[[Endpoint], None] = lambda endpoint: None,
    ) -> None:
        self._catalog = catalog
        self._clock = clock
        self._grace = grace
        self._gone = on_removed
        self._came = on_started
        self._is_unreachable = False
        self._recovered_at: timedelta | None = None
        self._missing: set[str] = set()
        #: The era of the newest entry, and when an older copy was restored.
        self._era: int | None = None
        self._restored_at: timedelta | None = None
        #: Entries of a restored copy whose address another endpoint has since taken.
        self._superseded_by_id: dict[str, Endpoint] = {}

    def put(self, endpoint: Endpoint) -> None:
        """Apply a new or changed entry."""
        self._missing.discard(endpoint.id)
        before = self._catalog.endpoints_by_id.get(endpoint.id)
        if before == endpoint:
            return
        if before is not None and endpoint.start.precedes(before.start):
            # Entries arrive in the order of the store. Even if the endpoint's clock was
            # set back, ignoring its new start does no harm: the endpoint is reached by
            # the same id.
            log_event("endpoints", "Ignored an earlier start.", peer=endpoint.id)
            return
        if before is not None and endpoint.incarnation == UNKNOWN_INCARNATION:
            endpoint = attrs.evolve(endpoint, incarnation=before.incarnation)
        if before is not None and self._would_undo_departure(before, endpoint):
            log_event(
                "endpoints", "Ignored an outdated active state.", peer=endpoint.id
            )
            return
        if before is None and self._is_superseded(endpoint):
            # Taken out first, so that the entries stay in the order of their arrival.
            self._superseded_by_id.pop(endpoint.id, None)
            self._superseded_by_id[endpoint.id] = endpoint
            log_event("endpoints", "Ignored a reused address.", peer=endpoint.id)
            return
        if before is None or before.start != endpoint.start:
            self._came(endpoint)
        self._drop_predecessor(endpoint)
        self._catalog.put_endpoint(endpoint)
        log_event(
            "endpoints",
            "Endpoint changed." if before else "Endpoint added.",
            peer=endpoint.id,
            state=endpoint.state,
            service=endpoint.service,
            url=endpoint.url,
        )

    def put_unreadable(self, endpoint_id: str, *, reason: str) -> None:
        """Apply an entry that can't be parsed.

        If the endpoint is known, it gets no new requests until its entry can be parsed
        again; its runs continue.

        Args:
            endpoint_id: The endpoint of the entry.
            reason: Why the entry can't be parsed.
        """
        self._missing.discard(endpoint_id)
        known = self._catalog.endpoints_by_id.get(endpoint_id)
        if known is not None:
            unusable = attrs.evolve(known, state=EndpointState.DRAINING)
            self._catalog.put_endpoint(unusable)
        log_event(
            "endpoints", "Ignored an invalid entry.", peer=endpoint_id, why=reason
        )

    def remove(self, endpoint_ids: Iterable[str]) -> None:
        """Remove the endpoints of missing entries, or keep them after an outage."""
        for endpoint_id in list(endpoint_ids):
            self._superseded_by_id.pop(endpoint_id, None)
            endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
            if endpoint is None:
                continue
            is_leaving = endpoint.state is not EndpointState.ACTIVE
            if self._may_have_lapsed() and not is_leaving:
                self._missing.add(endpoint_id)
                log_event(
                    "endpoints", "Entry missing, endpoint kept.", peer=endpoint_id
                )
            else:
                self._drop(endpoint_id, reason="its entry was removed")

    def record_reachability(self, is_reachable: bool) -> None:
        """Record whether the platform is reachable."""
        if is_reachable and self._is_unreachable:
            self._recovered_at = self._clock.monotonic()
        self._is_unreachable = not is_reachable

    def record_era(self, era: int) -> None:
        """Record the era of the platform that an entry belongs to."""
        if self._era is not None and era > self._era:
            self._recovered_at = self._restored_at = self._clock.monotonic()
        self._era = era if self._era is None else max(era, self._era)

    async def run(self) -> None:
        """Remove endpoints whose grace period is over, until cancelled."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self.drop_missing()

    def drop_missing(self) -> None:
        """Remove the endpoints without an entry, if the grace period is over."""
        if self._missing and not self._may_have_lapsed():
            for endpoint_id in list(self._missing):
                self._drop(endpoint_id, reason="missing since an outage")

    def _would_undo_departure(self, before: Endpoint, after: Endpoint) -> bool:
        """Return whether an entry may be outdated and would undo a departure."""
        is_back = (before.state, after.state) == (
            EndpointState.DRAINING,
            EndpointState.ACTIVE,
        )
        return is_back and before.start == after.start and self._may_have_lapsed()

    def _is_superseded(self, endpoint: Endpoint) -> bool:
        """Return whether a restored entry has an address that another endpoint uses."""
        if self._restored_at is None or not self._is_within_grace(self._restored_at):
            return False
        return any(
            known.url == endpoint.url
            for known in self._catalog.endpoints_by_id.values()
        )

    def _drop_predecessor(self, endpoint: Endpoint) -> None:
        """Remove the endpoint that had the address before: it must have terminated.

        An entry of a service that is not configured removes no other endpoint.
        """
        if endpoint.service not in self._catalog.services_by_id:
            return
        for superseded in list(self._superseded_by_id.values()):
            if superseded.url == endpoint.url:
                del self._superseded_by_id[superseded.id]
        for known in list(self._catalog.endpoints_by_id.values()):
            if known.url == endpoint.url and known.id != endpoint.id:
                self._drop(known.id, reason="another endpoint has its address")

    def _may_have_lapsed(self) -> bool:
        """Return whether an outage may be the reason for a missing entry."""
        if self._is_unreachable:
            return True
        return self._recovered_at is not None and self._is_within_grace(
            self._recovered_at
        )

    def _is_within_grace(self, since: timedelta) -> bool:
        return self._clock.monotonic() - since < self._grace

    def _drop(self, endpoint_id: str, *, reason: str) -> None:
        self._missing.discard(endpoint_id)
        dropped = self._catalog.endpoints_by_id.get(endpoint_id)
        if dropped is None:
            return
        self._catalog.drop_endpoint(endpoint_id)
        self._gone(endpoint_id)
        log_event("endpoints", "Endpoint removed.", peer=endpoint_id, why=reason)
        self._put_superseded(dropped.url)

    def _put_superseded(self, url: str) -> None:
        """Apply the superseded entries of an address whose endpoint is gone.

        The latest start is applied first and removes the others, since an address has
        one endpoint. Starts that are not known to differ follow the order of arrival.
        """
        waiting = [
            endpoint
            for endpoint in self._superseded_by_id.values()
            if endpoint.url == url
        ]
        waiting.reverse()
        waiting.sort(key=lambda endpoint: endpoint.incarnation, reverse=True)
        for endpoint in waiting:
            if self._superseded_by_id.pop(endpoint.id, None) is None:
                continue
            if endpoint.id not in self._catalog.endpoints_by_id:
                self.put(endpoint)
