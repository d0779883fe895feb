"""The endpoints that registered themselves with the platform.

During an outage of the platform entries lapse although their endpoints are alive. An
endpoint whose entry is missing after an outage is kept for a grace period, and removed
only if the entry has not reappeared by then. A platform that was restored from an older
copy lacks the endpoints that registered since, and has outdated entries of others:
during the grace period the known state takes precedence.

An address has one endpoint, but the entry of one that has exited stays for some seconds
beside that of its successor. The later one is used, and the other one is kept aside for
as long as its entry exists: which is later is not always known, and an endpoint whose
entry does not change is not reported again.
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
        #: Endpoints with an entry whose address another endpoint has, in the order of
        #: their arrival.
        self._superseded_by_id: dict[str, Endpoint] = {}

    def put(self, endpoint: Endpoint) -> None:
        """Apply a new or changed entry."""
        self._missing.discard(endpoint.id)
        before = self._catalog.endpoints_by_id.get(endpoint.id)
        if before is not None:
            endpoint = _complete(endpoint, before)
            if before == endpoint or self._is_outdated(before, endpoint):
                return
        elif self._is_superseded(endpoint):
            self._set_aside(endpoint)
            log_event("endpoints", "Ignored a reused address.", peer=endpoint.id)
            return
        self._superseded_by_id.pop(endpoint.id, None)
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

    def use_set_aside(self, endpoint_id: str) -> bool:
        """Use an endpoint that was set aside, since it has answered at its address.

        Returns:
            Whether the endpoint has an entry and was set aside for another one.
        """
        endpoint = self._superseded_by_id.pop(endpoint_id, None)
        if endpoint is None:
            return False
        for known in self._others_at(endpoint):
            self._set_aside_known(known, reason="another endpoint answers there")
        self.put(endpoint)
        return True

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
        aside = self._superseded_by_id.get(endpoint_id)
        if known is not None:
            unusable = attrs.evolve(known, state=EndpointState.DRAINING)
            self._catalog.put_endpoint(unusable)
        elif aside is not None:
            unusable = attrs.evolve(aside, state=EndpointState.DRAINING)
            self._superseded_by_id[endpoint_id] = unusable
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
                self._drop_and_replace(endpoint_id, reason="its entry was removed")

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
                self._drop_and_replace(endpoint_id, reason="missing since an outage")

    def _is_outdated(self, before: Endpoint, after: Endpoint) -> bool:
        """Return whether an entry is older than the known state of its endpoint."""
        if after.start.precedes(before.start):
            # Entries arrive in the order of the store. Even if the endpoint's clock was
            # set back, ignoring its new start does no harm: the endpoint is reached by
            # the same id.
            log_event("endpoints", "Ignored an earlier start.", peer=after.id)
            return True
        if self._would_undo_departure(before, after):
            log_event("endpoints", "Ignored an outdated active state.", peer=after.id)
            return True
        return False

    def _would_undo_departure(self, before: Endpoint, after: Endpoint) -> bool:
        """Return whether an entry may be outdated and would undo a departure."""
        is_back = (before.state, after.state) == (
            EndpointState.DRAINING,
            EndpointState.ACTIVE,
        )
        return is_back and before.start == after.start and self._may_have_lapsed()

    def _is_superseded(self, endpoint: Endpoint) -> bool:
        """Return whether a later endpoint has the address of a new entry."""
        is_restored = self._restored_at is not None and self._is_within_grace(
            self._restored_at
        )
        return any(
            is_restored or (self._is_configured(known) and known.starts_after(endpoint))
            for known in self._others_at(endpoint)
        )

    def _drop_predecessor(self, endpoint: Endpoint) -> None:
        """Remove the endpoint that had the address before: it must have exited.

        An entry of a service that is not configured removes no other endpoint.
        """
        if not self._is_configured(endpoint):
            return
        for known in self._others_at(endpoint):
            if not known.starts_after(endpoint):
                self._set_aside_known(known, reason="another endpoint has its address")

    def _set_aside_known(self, known: Endpoint, *, reason: str) -> None:
        """Remove a known endpoint, and keep it aside while its entry exists."""
        if known.has_entry and known.id not in self._missing:
            self._set_aside(known)
        self._drop(known.id, reason=reason)

    def _is_configured(self, endpoint: Endpoint) -> bool:
        return endpoint.service in self._catalog.services_by_id

    def _others_at(self, endpoint: Endpoint) -> list[Endpoint]:
        """Return the other known endpoints at the address of an endpoint."""
        return [
            known
            for known in self._catalog.endpoints_by_id.values()
            if known.url == endpoint.url and known.id != endpoint.id
        ]

    def _set_aside(self, endpoint: Endpoint) -> None:
        # Taken out first, so that the entries stay in the order of their arrival.
        self._superseded_by_id.pop(endpoint.id, None)
        self._superseded_by_id[endpoint.id] = endpoint

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

    def _drop_and_replace(self, endpoint_id: str, *, reason: str) -> None:
        """Remove an endpoint, and use the latest other one with an entry there."""
        dropped = self._catalog.endpoints_by_id.get(endpoint_id)
        if dropped is None:
            self._missing.discard(endpoint_id)
            return
        self._drop(endpoint_id, reason=reason)
        latest: Endpoint | None = None
        for aside in self._superseded_by_id.values():
            is_there = aside.url == dropped.url
            if is_there and (latest is None or not latest.starts_after(aside)):
                latest = aside
        if latest is not None:
            del self._superseded_by_id[latest.id]
            self.put(latest)


def _complete(endpoint: Endpoint, before: Endpoint) -> Endpoint:
    """Return a changed entry with what it lacks of the one before.

    Changes that other hosts forward lack the version of the creation.
    """
    if endpoint.incarnation == UNKNOWN_INCARNATION:
        endpoint = attrs.evolve(endpoint, incarnation=before.incarnation)
    if endpoint.created_version is None:
        endpoint = attrs.evolve(endpoint, created_version=before.created_version)
    return endpoint
