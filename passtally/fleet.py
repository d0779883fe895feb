"""The live endpoints of all services, and the state that they share."""

import asyncio
from collections.abc import Callable, Collection
from datetime import timedelta
from functools import partial

from passtally.brittle_endpoints import BrittleEndpoints
from passtally.call_failures import CallFailures
from passtally.call_times import CallTimes
from passtally.capacity import Capacity
from passtally.clock import Clock
from passtally.decision import log_event
from passtally.departures import Departures
from passtally.endpoint_backoff import EndpointBackoffs
from passtally.endpoint_losses import EndpointLosses
from passtally.endpoint_speed import EndpointSpeeds
from passtally.engine import Engine
from passtally.lag_meter import LagMeter
from passtally.live_endpoint import (
    IDLE_WATCH_INTERVAL,
    WATCH_INTERVAL,
    LiveEndpoint,
)
from passtally.messages import TokenLoad
from passtally.objects import Endpoint, EndpointStart, EndpointState, can_serve
from passtally.origin import Origin, OriginRule
from passtally.request_limits import RequestLimits
from passtally.routing import EndpointView
from passtally.send_limits import SendLimits
from passtally.service_index import ServiceIndex
from passtally.settings import Switch
from passtally.silence import (
    DEFAULT_BOUNDS_BY_PHASE,
    Phase,
    SilenceBounds,
)
from passtally.versions import AllVersions, Versions


class Fleet:
    """The live endpoints of all services.

    Args:
        catalog: The configuration in force.
        clock: The clock.
        connect: Makes the engine client of an endpoint.
        departures: The endpoints that are leaving.
        bounds_by_phase: The ranges of silence limits.
        capacity_of: Returns the KV memory of an endpoint in tokens, by its service; 0
            if unknown.
        others_load: Returns the load of other hosts' runs at one start of an endpoint.
        on_successor: Called with an endpoint that has exited and the id of the one
            that has its address now.
        on_silent: See :class:`passtally.live_endpoint.LiveEndpoint`.
        versions: The versions that get requests.
        is_cut_off: Returns whether this host reaches no endpoint, so that what it fails
            to reach says nothing about an endpoint.
        limits: The request limits that endpoints set; None to start without any.
        backoffs: The back-offs that endpoints request; None to start without any.
        brittle: The limits at brittle endpoints; None to start without any.
        on_exit: Called with each start of an engine that was found to have exited.
        exits_are_final: Whether an endpoint that exited never starts again as the same
            start, so that no answer waits for it.
        avoid_slow: Returns for which services calls go past slow endpoints.
    """

    def __init__(
        self,
        *,
        catalog: ServiceIndex,
        clock: Clock,
        connect: Callable[[Endpoint], Engine],
        departures: Departures | None = None,
        bounds_by_phase: dict[Phase, SilenceBounds] | None = None,
        capacity_of: Callable[[str], int] = lambda service: 0,
        others_load: Callable[[EndpointStart], TokenLoad] = lambda start: TokenLoad(),
        on_successor: Callable[[Endpoint, str], None] = lambda endpoint, successor: (
            None
        ),
        on_silent: Callable[[timedelta], None] = lambda since: None,
        versions: Versions | None = None,
        is_cut_off: Callable[[], bool] = lambda: False,
        limits: RequestLimits | None = None,
        backoffs: EndpointBackoffs | None = None,
        brittle: BrittleEndpoints | None = None,
        exits_are_final: bool = False,
        on_exit: Callable[[EndpointStart], None] = lambda start: None,
        avoid_slow: Callable[[], Switch] = lambda: Switch.AUTO,
    ) -> None:
        self.versions = versions or AllVersions()
        self._on_silent = on_silent
        self._catalog = catalog
        self.origin_rule = OriginRule(catalog=catalog)
        self._exits_are_final = exits_are_final
        self._clock = clock
        self._connect = connect
        self._departures = departures or Departures()
        self._bounds_by_phase = bounds_by_phase or DEFAULT_BOUNDS_BY_PHASE
        self._capacity_of = capacity_of
        self._live_by_id: dict[str, LiveEndpoint] = {}
        self._lag = LagMeter(clock=clock)
        self._others_load = others_load
        #: Set when the load of this host's runs at endpoints has changed.
        self.load_changed = asyncio.Event()
        #: Endpoints at their former addresses, kept while streams are open there.
        self._retired: list[LiveEndpoint] = []
        self.losses = EndpointLosses(
            catalog=catalog,
            clock=clock,
            find=self.find,
            is_cut_off=is_cut_off,
            on_unreachable=self.load_changed.set,
            on_successor=on_successor,
            on_exit=on_exit,
        )
        self.speeds = EndpointSpeeds()
        self.send_limits = SendLimits(
            catalog=catalog,
            clock=clock,
            departures=self._departures,
            find=self.find,
            start_of=self.start_of,
            on_changed=self.load_changed.set,
            on_load=lambda endpoint_id, load: self.call_times.record_report(
                endpoint_id, load, now=clock.monotonic()
            ),
            requests=limits or RequestLimits(),
            backoffs=backoffs or EndpointBackoffs(),
            brittle=brittle or BrittleEndpoints(),
        )
        self.call_times = CallTimes(
            endpoints_of=lambda service: [
                endpoint.id
                for endpoint in catalog.endpoints_of(service)
                if self.is_healthy(endpoint.id)
            ],
            is_known=lambda endpoint_id: endpoint_id in catalog.endpoints_by_id,
            mode=avoid_slow,
        )
        self.call_failures = CallFailures(
            catalog=catalog,
            clock=clock,
            find=self.find,
            allows=lambda endpoint: self.versions.allows(endpoint),
        )

    def find(self, endpoint_id: str) -> LiveEndpoint | None:
        """Return an endpoint's live state, or None if it is unknown.

        The state is created for a configured endpoint that has none for its address.
        """
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return self._live_by_id.get(endpoint_id)
        live = self._live_by_id.get(endpoint_id)
        if live is None or live.endpoint.url != endpoint.url:
            if live is not None:
                self._retire_address(live)
            live = LiveEndpoint(
                endpoint=endpoint,
                engine=self._connect(endpoint),
                clock=self._clock,
                lag=self._lag,
                departures=self._departures,
                bounds_by_phase=self._bounds_by_phase,
                others_load=self._others_load,
                on_silent=self._on_silent,
            )
            self._live_by_id[endpoint_id] = live
            self.losses.record_present(live)
        live.endpoint = endpoint
        live.capacity_tokens = self._capacity_of(endpoint.service)
        return live

    def is_usable(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may get requests that are not canary traffic."""
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        if endpoint is None or not self.versions.allows(endpoint):
            return False
        return self.is_healthy(endpoint_id)

    def may_continue(self, origin: Origin, endpoint: Endpoint) -> bool:
        """Return whether an answer of an origin may go on at an endpoint.

        Every path by which an answer that has begun goes on asks this. A roll-out that
        takes a version out of use leaves it to the answers that it began.
        """
        is_same_version = self.origin_rule.allows(origin, endpoint)
        return is_same_version and self.versions.may_resume(endpoint)

    def can_continue(self, origin: Origin, endpoint_id: str) -> bool:
        """Return whether an answer of an origin may go on at an endpoint by its id.

        False for an endpoint that is not known, or that is leaving or ejected.
        """
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        if endpoint is None or not self.may_continue(origin, endpoint):
            return False
        return self.is_healthy(endpoint_id)

    def can_ever_continue(self, origin: Origin, service_id: str) -> bool:
        """Return whether some endpoint may continue an answer, now or after a wait.

        An endpoint that is full, ejected or in back-off may, and one whose entry was
        not read yet; one that is leaving or has exited for good won't. Where the
        service has no endpoint left of any version, one may register at any time.
        """
        staying = [
            endpoint
            for endpoint in self._catalog.endpoints_of(service_id)
            if self._may_stay(self.find(endpoint.id))
        ]
        return not staying or any(
            not endpoint.has_entry or self.may_continue(origin, endpoint)
            for endpoint in staying
        )

    def _may_stay(self, live: LiveEndpoint) -> bool:
        """Return whether an endpoint is neither leaving nor known to have exited."""
        has_exited = live.has_exited and self._exits_are_final
        return live.state is EndpointState.ACTIVE and not has_exited

    def takes_requests(self, endpoint_id: str) -> bool:
        """Return whether an endpoint has an entry, and is not leaving."""
        if endpoint_id not in self._catalog.endpoints_by_id:
            return False
        return self.find(endpoint_id).state is EndpointState.ACTIVE

    def is_healthy(self, endpoint_id: str) -> bool:
        """Return whether an endpoint takes requests and is not ejected."""
        return (
            self.takes_requests(endpoint_id) and not self.find(endpoint_id).is_ejected
        )

    def end_streams(self, fingerprint: bytes) -> None:
        """Fail this host's attempts at one request that have no output yet."""
        for live in [*self._live_by_id.values(), *self._retired]:
            for guard in list(live.guards):
                if guard.fingerprint == fingerprint and not guard.reads:
                    guard.lose()

    @property
    def longest_own_lag(self) -> timedelta:
        """The longest recent delay of this host's own timers."""
        return self._lag.longest

    def has_survived(self, fingerprint: bytes, duration: timedelta) -> bool:
        """Return whether a run of a request has lasted for a duration on this host."""
        now = self._clock.monotonic()
        return any(
            guard.fingerprint == fingerprint and guard.has_run_for(duration, now=now)
            for live in self._live_by_id.values()
            for guard in live.guards
        )

    def record_start(self, endpoint: Endpoint) -> None:
        """Record an endpoint's entry, which may show a restart under the same id.

        The state of the previous start is reset. Open streams are not failed, since
        they may have reached the new start before its entry arrived. A broken or silent
        connection shows which of them are lost.
        """
        live = self._live_by_id.get(endpoint.id)
        if live is None or not live.endpoint.start.precedes(endpoint.start):
            return
        live.reset_for_restart(self._bounds_by_phase)
        log_event(
            "endpoints", "Endpoint restarted.", peer=endpoint.id, open=live.own_streams
        )

    def start_of(self, endpoint_id: str) -> EndpointStart:
        """Return the last known start of an endpoint."""
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        return endpoint.start if endpoint else EndpointStart(endpoint_id=endpoint_id)

    def list_engines(self) -> list[LiveEndpoint]:
        """Return the endpoints that run generations."""
        return [live for live in self._live_by_id.values() if live.has_engine]

    def loads_by_endpoint(self) -> dict[str, TokenLoad]:
        """Return the load of this host's runs at each endpoint that has any."""
        return {
            endpoint_id: TokenLoad(
                held=live.kv_tokens,
                reading=live.prefill_tokens,
                running=live.running_streams,
                incarnation=live.endpoint.incarnation,
            )
            for endpoint_id, live in self._live_by_id.items()
            if live.kv_tokens or live.prefill_tokens
        }

    def remove(self, endpoint_id: str) -> None:
        """Drop the state of a removed endpoint, unless it has open streams."""
        self.send_limits.forget(endpoint_id)
        self.call_times.forget(endpoint_id)
        live = self._live_by_id.get(endpoint_id)
        if live is not None and not live.own_streams:
            del self._live_by_id[endpoint_id]

    def views(
        self,
        service_id: str,
        *,
        is_trial: bool = False,
        origin: Origin | None = None,
    ) -> list[EndpointView]:
        """Return the routing views of one service's endpoints.

        Args:
            service_id: The service.
            is_trial: Whether to return the endpoints that canary traffic goes to;
                otherwise those whose version gets requests.
            origin: The origin of an answer that has begun, to return the endpoints at
                which it may go on; None for an answer without output.
        """
        service = self._catalog.services_by_id.get(service_id)
        if service is None:
            return []
        is_eligible = self.versions.accepts_trials if is_trial else self.versions.allows
        if origin is not None:
            is_eligible = partial(self.may_continue, origin)
        self.send_limits.assume_brittle(service_id)
        placed = (
            endpoint
            for endpoint in self._catalog.endpoints_of(service_id)
            if can_serve(endpoint, service) and is_eligible(endpoint)
        )
        slow = self.call_times.list_slow(service_id, now=self._clock.monotonic())
        return [self._view(self.find(endpoint.id), slow) for endpoint in placed]

    def view(self, endpoint_id: str) -> EndpointView:
        """Return the routing view of an endpoint that :meth:`find` knows."""
        live, now = self.find(endpoint_id), self._clock.monotonic()
        slow = self.call_times.list_slow(live.endpoint.service, now=now)
        return self._view(live, slow)

    def _view(self, live: LiveEndpoint, slow: Collection[str]) -> EndpointView:
        endpoint, now = live.endpoint, self._clock.monotonic()
        return live.view(
            speed=self.speeds.speed(endpoint.service, endpoint.url, now=now),
            is_slow=endpoint.id in slow,
            is_unstable=self.losses.domain_losses.is_unstable(
                endpoint.failure_domain, now=now
            ),
            accepts_requests=self.send_limits.accepts(live),
        )

    def service_capacity(self, service_id: str) -> Capacity:
        """Return the total and taken places of a service's available endpoints."""
        return Capacity.of(self.views(service_id))

    def count_streams(self, endpoint_id: str) -> int:
        """Return the number of open requests of an endpoint known to this host."""
        live = self.find(endpoint_id)
        if live is None:
            return 0
        view = live.view()
        return max(view.own_streams, view.reported_streams)

    def _retire_address(self, live: LiveEndpoint) -> None:
        """Fail the streams at an endpoint's former address, and watch them to the end.

        The endpoint has restarted at another address without them.
        """
        if live.guards:
            self._retired.append(live)
        live.lose_streams()

    def count_open(
        self, service_id: str, is_counted: Callable[[Endpoint], bool]
    ) -> int:
        """Return the number of this host's open requests at endpoints of a service.

        Args:
            service_id: The service.
            is_counted: Selects the endpoints.
        """
        return sum(
            live.own_streams
            for live in [*self._live_by_id.values(), *self._retired]
            if live.endpoint.service == service_id and is_counted(live.endpoint)
        )

    async def watch_silence(self) -> None:
        """Check for silent streams, forever.

        While this host itself lags, silence is reset, as output may wait unread.
        """
        while True:
            self._retired = [live for live in self._retired if live.guards]
            lives = self._live_by_id.values()
            has_streams = self._retired or any(live.guards for live in lives)
            interval = WATCH_INTERVAL if has_streams else IDLE_WATCH_INTERVAL
            due = self._clock.monotonic() + interval
            await self._clock.sleep(interval)
            now = self._clock.monotonic()
            self._lag.tick(now - due)
            for live in [*self._live_by_id.values(), *self._retired]:
                if self._lag.is_lagging:
                    live.reset_silence(now)
                else:
                    live.check_silence(now)
