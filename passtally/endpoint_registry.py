"""The endpoints that registered themselves with the platform.

Entries lapse while the platform is away, though the endpoints live. One that is
missing after an outage is kept until the platform has been back for a while, and
only then taken as gone. A platform that came back from an older copy lacks endpoints
that entered since, and shows others as they were: for the same while what is known
counts.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.objects import UNTOLD_START, Endpoint, EndpointState
from passtally.service_index import ServiceIndex

#: How long after the platform's return a missing entry is still kept. The users'
#: letter: lapsed entries are back within about two seconds.
MISSING_ENTRY_GRACE = timedelta(seconds=2.2)
CHECK_INTERVAL = timedelta(milliseconds=200)


class EndpointRegistry:
    """Keeps a catalog's endpoints equal to the entries that count.

    Args:
        catalog: What to keep.
        clock: The clock.
        settle: How long after the platform's return a missing entry is kept.
        gone: Called with the id of each endpoint that is taken as gone.
        came: Called with each entry that is new or tells of another start, before it
            is put in the catalog.
    """

    def __init__(
        self,
        *,
        catalog: ServiceIndex,
        clock: Clock,
        settle: timedelta = MISSING_ENTRY_GRACE,
        gone: Callable[[str], None] = lambda endpoint_id: None,
        came: Callable[[Endpoint], None] = lambda endpoint: None,
    ) -> None:
        self._catalog = catalog
        self._clock = clock
        self._settle = settle
        self._gone = gone
        self._came = came
        self._is_away = False
        self._back_at: timedelta | None = None
        self._missing: set[str] = set()
        #: The era of the newest entry, and when the platform came back as a copy.
        self._era: int | None = None
        self._returned_at: timedelta | None = None
        #: Entries of a copy whose address another endpoint has by now.
        self._outlived_by_id: dict[str, Endpoint] = {}

    def put(self, endpoint: Endpoint) -> None:
        """Take in a new or changed entry."""
        self._missing.discard(endpoint.id)
        before = self._catalog.endpoints_by_id.get(endpoint.id)
        if before == endpoint:
            return
        if before is not None and endpoint.start.is_followed_by(before.start):
            # Entries come in the store's order. An endpoint whose clock went back
            # is reached by the same id all the same.
            log_event("endpoints", "Ignored an earlier start.", peer=endpoint.id)
            return
        if before is not None and endpoint.incarnation == UNTOLD_START:
            endpoint = attrs.evolve(endpoint, incarnation=before.incarnation)
        if before is not None and self._is_undone(before, endpoint):
            log_event("endpoints", "Still leaves.", peer=endpoint.id)
            return
        if before is None and self._is_outlived(endpoint):
            self._outlived_by_id[endpoint.id] = endpoint
            log_event("endpoints", "Has been replaced.", peer=endpoint.id)
            return
        if before is None or before.start != endpoint.start:
            self._came(endpoint)
        self._drop_predecessor(endpoint)
        self._catalog.put_endpoint(endpoint)
        log_event(
            "endpoints",
            "Changed." if before else "Came.",
            peer=endpoint.id,
            state=endpoint.state,
            service=endpoint.service,
            url=endpoint.url,
        )

    def put_unreadable(self, endpoint_id: str, *, reason: str) -> None:
        """Take in an entry that can't be read: it names no endpoint to use.

        An endpoint that is known gets no new work until it can be read again; what
        runs there goes on.

        Args:
            endpoint_id: Whose entry it is.
            reason: Why it can't be read.
        """
        self._missing.discard(endpoint_id)
        known = self._catalog.endpoints_by_id.get(endpoint_id)
        if known is not None:
            withheld = attrs.evolve(known, state=EndpointState.DRAINING)
            self._catalog.put_endpoint(withheld)
        log_event("endpoints", "Ignored a broken entry.", peer=endpoint_id, why=reason)

    def remove(self, endpoint_ids: Iterable[str]) -> None:
        """Take in that entries are not there any more."""
        for endpoint_id in list(endpoint_ids):
            self._outlived_by_id.pop(endpoint_id, None)
            endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
            if endpoint is None:
                continue
            is_leaving = endpoint.state is not EndpointState.ACTIVE
            if self._may_have_lapsed() and not is_leaving:
                self._missing.add(endpoint_id)
                log_event("endpoints", "Missing, kept for now.", peer=endpoint_id)
            else:
                self._drop(endpoint_id, reason="its entry was removed")

    def record_reachability(self, is_reachable: bool) -> None:
        """Take in that the platform went out of reach or came back."""
        if is_reachable and self._is_away:
            self._back_at = self._clock.monotonic()
        self._is_away = not is_reachable

    def record_era(self, era: int) -> None:
        """Take in of which era of the platform an entry is."""
        if self._era is not None and era > self._era:
            self._back_at = self._returned_at = self._clock.monotonic()
        self._era = era if self._era is None else max(era, self._era)

    async def run(self) -> None:
        """Drop missing entries once the platform has settled, for ever."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self.settle()

    def settle(self) -> None:
        """Drop the entries that are still missing, if the time for it has come."""
        if self._missing and not self._may_have_lapsed():
            for endpoint_id in list(self._missing):
                self._drop(endpoint_id, reason="missing since an outage")

    def _is_undone(self, before: Endpoint, after: Endpoint) -> bool:
        """Return whether an entry of a copy would undo a departure."""
        is_back = (before.state, after.state) == (
            EndpointState.DRAINING,
            EndpointState.ACTIVE,
        )
        return is_back and before.start == after.start and self._may_have_lapsed()

    def _is_outlived(self, endpoint: Endpoint) -> bool:
        """Return whether an entry of a copy names an address that was taken since."""
        if self._returned_at is None or not self._is_settling(self._returned_at):
            return False
        return any(
            known.url == endpoint.url
            for known in self._catalog.endpoints_by_id.values()
        )

    def _drop_predecessor(self, endpoint: Endpoint) -> None:
        """Drop the endpoint that had the address before: it must have ended.

        An entry of a service that no configuration names says nothing of the others.
        """
        if endpoint.service not in self._catalog.services_by_id:
            return
        for outlived in list(self._outlived_by_id.values()):
            if outlived.url == endpoint.url:
                del self._outlived_by_id[outlived.id]
        for known in list(self._catalog.endpoints_by_id.values()):
            if known.url == endpoint.url and known.id != endpoint.id:
                self._drop(known.id, reason="another endpoint has its address")

    def _may_have_lapsed(self) -> bool:
        if self._is_away:
            return True
        return self._back_at is not None and self._is_settling(self._back_at)

    def _is_settling(self, since: timedelta) -> bool:
        return self._clock.monotonic() - since < self._settle

    def _drop(self, endpoint_id: str, *, reason: str) -> None:
        self._missing.discard(endpoint_id)
        dropped = self._catalog.endpoints_by_id.get(endpoint_id)
        if dropped is None:
            return
        self._catalog.drop_endpoint(endpoint_id)
        self._gone(endpoint_id)
        log_event("endpoints", "Gone.", peer=endpoint_id, why=reason)
        for outlived in list(self._outlived_by_id.values()):
            if outlived.url == dropped.url:
                self._put_outlived(outlived)

    def _put_outlived(self, endpoint: Endpoint) -> None:
        """Use an endpoint after all: the one that had its address is gone."""
        del self._outlived_by_id[endpoint.id]
        if endpoint.id not in self._catalog.endpoints_by_id:
            self.put(endpoint)
