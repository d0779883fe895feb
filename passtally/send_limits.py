"""What endpoints accept from this host: by back-off, request limit and brittleness."""

from collections.abc import Callable, Sequence
from datetime import timedelta

from passtally.brittle_endpoints import BrittleEndpoints
from passtally.clock import Clock
from passtally.departures import Departures
from passtally.endpoint_backoff import EndpointBackoffs
from passtally.endpoint_directives import (
    Directive,
    EndpointDirectives,
    InvalidDirectiveLog,
)
from passtally.engine import InstanceLoad
from passtally.live_endpoint import LiveEndpoint
from passtally.messages import BrittleRow
from passtally.objects import EndpointStart, EndpointState
from passtally.request_limits import RequestLimits
from passtally.service_index import ServiceIndex


class SendLimits:
    """The limits on what this host sends to each endpoint.

    Implements :class:`passtally.endpoint_directives.DirectiveRecorder`.

    Args:
        catalog: The endpoints.
        clock: The clock.
        departures: Receives the endpoints that state that they are leaving.
        find: Returns the state of an endpoint, or None if it is unknown.
        start_of: Returns the last known start of an endpoint.
        on_changed: Called when other hosts are to learn of a change.
        on_load: Called with the id of an endpoint and the load that it reports.
        requests: The request limits that endpoints set.
        backoffs: The back-offs that endpoints request.
        brittle: The limits at brittle endpoints.
    """

    def __init__(
        self,
        *,
        catalog: ServiceIndex,
        clock: Clock,
        departures: Departures,
        find: Callable[[str], LiveEndpoint | None],
        start_of: Callable[[str], EndpointStart],
        on_changed: Callable[[], None],
        on_load: Callable[[str, InstanceLoad], None],
        requests: RequestLimits,
        backoffs: EndpointBackoffs,
        brittle: BrittleEndpoints,
    ) -> None:
        self.requests = requests
        self.brittle = brittle
        self.start_of = start_of
        self._backoffs = backoffs
        self._catalog = catalog
        self._clock = clock
        self._departures = departures
        self._find = find
        self._on_changed = on_changed
        self._on_load = on_load
        self._invalid_directives = InvalidDirectiveLog()

    def record_directives(
        self,
        start: EndpointStart,
        directives: EndpointDirectives,
        *,
        sent_at: timedelta,
    ) -> None:
        """Apply the directives of an answer; see :class:`DirectiveRecorder`."""
        now = self._clock.monotonic()
        self._invalid_directives.record(start.endpoint_id, directives)
        if directives.load is not None:
            self._on_load(start.endpoint_id, directives.load)
        if directives.is_leaving:
            self._departures.record(start, channel="its answers")
        if Directive.RETRY_AFTER not in directives.invalid_by_directive:
            self._backoffs.record_answer(
                start, directives.backoff, sent_at=sent_at, now=now
            )
        if (
            Directive.LIMIT not in directives.invalid_by_directive
            and self.requests.record_answer(
                start, directives.limit, sent_at=sent_at, now=now
            )
        ):
            self._on_changed()
        if Directive.BRITTLE not in directives.invalid_by_directive:
            self._record_brittle(start, directives, sent_at=sent_at, now=now)

    def _record_brittle(
        self,
        start: EndpointStart,
        directives: EndpointDirectives,
        *,
        sent_at: timedelta,
        now: timedelta,
    ) -> None:
        live = self._find(start.endpoint_id)
        if live is not None and self.brittle.record_answer(
            start,
            directives.borne,
            is_rejected=directives.is_rejection,
            open_requests=live.own_streams,
            places=live.endpoint.max_streams,
            sent_at=sent_at,
            now=now,
        ):
            self._on_changed()

    def merge_brittle(self, rows: Sequence[BrittleRow]) -> None:
        """Apply what another host knows of brittle endpoints, and send news on."""
        now = self._clock.monotonic()
        if self.brittle.merge(rows, count_open=self._count_own, now=now):
            self._on_changed()

    def _count_own(self, endpoint_id: str) -> int:
        live = self._find(endpoint_id)
        return 0 if live is None else live.own_streams

    def try_send(self, live: LiveEndpoint) -> bool:
        """Reserve a request at an endpoint, and return whether it accepts one now.

        Its back-off, its request limit and, if it is brittle, the limit on this host's
        open requests must allow the request.
        """
        start, now = live.endpoint.start, self._clock.monotonic()
        if not self._backoffs.may_send(start, now=now):
            return False
        if not self.brittle.acquire(start, open_requests=live.own_streams, now=now):
            return False
        return self.requests.acquire(start, now=now) and self._backoffs.acquire(
            start, now=now
        )

    def may_query(self, start: EndpointStart) -> bool:
        """Return whether an endpoint's back-off allows any message from this host."""
        return self._backoffs.is_over(start, now=self._clock.monotonic())

    def time_until_capacity(self, service_id: str) -> timedelta:
        """Return the time until an active endpoint of a service accepts a request.

        Zero if one is neither in back-off nor at its request limit, or if there is no
        active endpoint.
        """
        now = self._clock.monotonic()
        waits = [
            max(
                self.requests.time_until_capacity(endpoint.start, now=now),
                self._backoffs.wait(endpoint.start, now=now),
            )
            for endpoint in self._catalog.endpoints_of(service_id)
            if self._find(endpoint.id).state is EndpointState.ACTIVE
        ]
        return min(waits, default=timedelta(0))

    def may_accept_within(self, service_id: str, patience: timedelta) -> bool:
        """Return whether a known endpoint may accept a request in time.

        True if no endpoint is known, since one may register at any time.

        Args:
            service_id: The service.
            patience: The time that the request may wait.
        """
        known = self._catalog.endpoints_of(service_id)
        staying = [
            endpoint
            for endpoint in known
            if self._find(endpoint.id).state is EndpointState.ACTIVE
        ]
        if not staying:
            return not known
        return self.time_until_capacity(service_id) <= patience

    def assume_brittle(self, service_id: str) -> None:
        """Treat endpoints that have not answered like the brittle ones beside them."""
        now = self._clock.monotonic()
        endpoints = self._catalog.endpoints_of(service_id)
        brittle = next(
            (
                endpoint.start
                for endpoint in endpoints
                if self.brittle.is_brittle(endpoint.start, now=now)
            ),
            None,
        )
        if brittle is None:
            return
        for endpoint in endpoints:
            self.brittle.assume(
                endpoint.start, places=endpoint.max_streams, like=brittle, now=now
            )

    def accepts(self, live: LiveEndpoint) -> bool:
        """Return whether an endpoint accepts a request of this host now."""
        start, now = live.endpoint.start, self._clock.monotonic()
        return (
            self._backoffs.may_send(start, now=now)
            and self.requests.has_capacity(start, now=now)
            and self.brittle.may_send(start, open_requests=live.own_streams, now=now)
        )

    def forget(self, endpoint_id: str) -> None:
        """Drop the back-off of a removed endpoint."""
        self._backoffs.forget(endpoint_id)
