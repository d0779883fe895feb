"""The live endpoints of all services, and what is learned of them together."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.departures import Departures
from passtally.endpoint_backoff import EndpointBackoffs
from passtally.endpoint_directives import (
    Directive,
    EndpointDirectives,
    InvalidDirectiveLog,
)
from passtally.engine import Engine
from passtally.failing_endpoints import CallRecord
from passtally.live_endpoint import (
    IDLE_WATCH_INTERVAL,
    WATCH_INTERVAL,
    LagMeter,
    LiveEndpoint,
)
from passtally.messages import TokenLoad
from passtally.objects import Endpoint, EndpointStart, EndpointState, is_placed
from passtally.request_limits import RequestLimits
from passtally.routing import EndpointView
from passtally.service_index import ServiceIndex
from passtally.silence import (
    DEFAULT_BOUNDS_BY_PHASE,
    Phase,
    SilenceBounds,
)
from passtally.versions import AnyVersion, Versions

#: One endpoint is asked for its load this often, whatever their number.
REFRESH_INTERVAL = timedelta(seconds=1)
#: The most endpoints of a service that are connected to at once to see whether one is
#: in reach; endpoints of one failure domain mostly come and go together.
MAX_REACH_CHECKS = 6
#: For how long after a loss its failure domain is avoided. Endpoints of one domain
#: are often lost together, and noticed one after the other.
UNSTABLE_TIME = timedelta(seconds=1.5)


@attrs.frozen(kw_only=True)
class Capacity:
    """Places for requests, and how many are believed taken."""

    places: int
    taken: int

    @property
    def load(self) -> float:
        """The share that is taken; 0 where there are none, so that routing tells."""
        return self.taken / self.places if self.places else 0.0


class Fleet:
    """The live endpoints of all services.

    Args:
        catalog: The configuration in force.
        clock: The clock.
        connect: Makes the engine client of an endpoint.
        departures: Which endpoints are leaving.
        bounds_by_phase: Where silence limits may move.
        capacity_of: Returns the tokens that an endpoint's memory holds, by its
            service; 0 where that is not known.
        others_load: Returns what other hosts' runs take at one start of an endpoint.
        on_successor: Called with an endpoint that has ended and the id of the one
            that has its address now.
        on_silent: See :class:`passtally.live_endpoint.LiveEndpoint`.
        versions: Which versions get requests.
        limits: The limits that endpoints name; None for ones of its own.
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
        limits: RequestLimits | None = None,
    ) -> None:
        self.limits = limits or RequestLimits()
        self._invalid_directives = InvalidDirectiveLog()
        self._backoffs = EndpointBackoffs()
        self.versions = versions or AnyVersion()
        self._on_silent = on_silent
        self._catalog = catalog
        self._clock = clock
        self._connect = connect
        self._departures = departures or Departures()
        self._bounds_by_phase = bounds_by_phase or DEFAULT_BOUNDS_BY_PHASE
        self._capacity_of = capacity_of
        self._live_by_id: dict[str, LiveEndpoint] = {}
        self._lag = LagMeter(clock=clock)
        self._others_load = others_load
        self._on_successor = on_successor
        #: Set when what this host's runs take at endpoints has changed.
        self.load_changed = asyncio.Event()
        self._losses: set[EndpointStart] = set()
        #: Endpoints under addresses that they left, while streams are open there.
        self._former: list[LiveEndpoint] = []
        self._lost_at_by_domain: dict[str, timedelta] = {}
        self._calls_by_service: dict[str, CallRecord] = {}

    def find(self, endpoint_id: str) -> LiveEndpoint | None:
        """Return a configured endpoint's live state, or None."""
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return self._live_by_id.get(endpoint_id)
        live = self._live_by_id.get(endpoint_id)
        if live is None or live.endpoint.url != endpoint.url:
            if live is not None:
                self._leave_address(live)
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
        live.endpoint = endpoint
        live.capacity_tokens = self._capacity_of(endpoint.service)
        return live

    def is_usable(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may get requests that try no new version."""
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        if endpoint is None or not self.versions.allows(endpoint):
            return False
        return self.is_healthy(endpoint_id)

    def is_healthy(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is known, and neither leaving nor ejected."""
        if endpoint_id not in self._catalog.endpoints_by_id:
            return False
        live = self.find(endpoint_id)
        return live.state is EndpointState.ACTIVE and not live.is_ejected

    async def has_reachable(self, service_id: str, failure_domain: str) -> bool:
        """Look whether a service has an endpoint that takes connections.

        Asks some endpoints of a failure domain first, then some others.

        Args:
            service_id: The service.
            failure_domain: Where an endpoint is most likely in reach.
        """
        in_use = [
            endpoint
            for endpoint in self._catalog.endpoints_of(service_id)
            if endpoint.state is EndpointState.ACTIVE
        ]
        near = [item for item in in_use if item.failure_domain == failure_domain]
        far = [item for item in in_use if item.failure_domain != failure_domain]
        for group in (near[:MAX_REACH_CHECKS], far[:MAX_REACH_CHECKS]):
            engines = [self.find(endpoint.id).engine for endpoint in group]
            if any(await asyncio.gather(*(item.is_reachable() for item in engines))):
                return True
        return not in_use

    def record_directives(
        self, start: EndpointStart, words: EndpointDirectives, *, sent_at: timedelta
    ) -> None:
        """Take in what an answer says; see :class:`DirectiveRecorder`."""
        now = self._clock.monotonic()
        self._invalid_directives.note(start.endpoint_id, words)
        if words.is_leaving:
            self._departures.note(start, channel="its answers")
        if Directive.REST not in words.invalid_by_directive:
            self._backoffs.record_answer(start, words.rest, sent_at=sent_at, now=now)
        if (
            Directive.LIMIT not in words.invalid_by_directive
            and self.limits.record_answer(start, words.limit, sent_at=sent_at, now=now)
        ):
            self.load_changed.set()

    def try_send(self, live: LiveEndpoint) -> bool:
        """Count a request that is sent to an endpoint, if the endpoint wants it now."""
        start, now = live.endpoint.start, self._clock.monotonic()
        if not self._backoffs.may_send(start, now=now):
            return False
        return self.limits.take(start, now=now) and self._backoffs.take(start, now=now)

    def may_query(self, start: EndpointStart) -> bool:
        """Return whether an endpoint wants to be asked anything by this host."""
        return self._backoffs.is_over(start, now=self._clock.monotonic())

    def time_until_capacity(self, service_id: str) -> timedelta:
        """Return how long it takes until an endpoint wants a request.

        Zero where one has asked for no rest and names no limit, or has room.
        """
        now = self._clock.monotonic()
        waits = [
            max(
                self.limits.time_until_capacity(endpoint.start, now=now),
                self._backoffs.wait(endpoint.start, now=now),
            )
            for endpoint in self._catalog.endpoints_of(service_id)
            if self.find(endpoint.id).state is EndpointState.ACTIVE
        ]
        return min(waits, default=timedelta(0))

    def may_accept_within(self, service_id: str, patience: timedelta) -> bool:
        """Return whether an endpoint that is known may take a request by then.

        True where none is known: one may come at any time.

        Args:
            service_id: The service.
            patience: How long the request may wait.
        """
        known = self._catalog.endpoints_of(service_id)
        staying = [
            endpoint
            for endpoint in known
            if self.find(endpoint.id).state is EndpointState.ACTIVE
        ]
        if not staying:
            return not known
        return self.time_until_capacity(service_id) <= patience

    def record_loss(self, live: LiveEndpoint, *, is_endpoint_unreachable: bool) -> None:
        """Take in that a run was lost: its whole failure domain may be going.

        Args:
            live: Where it was lost.
            is_endpoint_unreachable: Whether the endpoint itself is out of reach.
        """
        domain = live.endpoint.failure_domain
        self._lost_at_by_domain[domain] = self._clock.monotonic()
        if is_endpoint_unreachable:
            self._losses.add(live.endpoint.start)
            self.load_changed.set()

    def is_serving(self, live: LiveEndpoint) -> bool:
        """Return whether an endpoint is there to serve, as far as is told.

        One that is about to leave, or has no entry any more, may end as planned.
        """
        is_known = live.endpoint.id in self._catalog.endpoints_by_id
        return is_known and live.state is EndpointState.ACTIVE

    def record_end(self, live: LiveEndpoint) -> None:
        """Take in that an endpoint is seen to have ended, and tell other hosts."""
        live.eject(self._clock.monotonic())
        self.record_loss(live, is_endpoint_unreachable=True)

    def end_streams(self, fingerprint: bytes) -> None:
        """End this host's attempts at one request that have not begun to answer."""
        for live in [*self._live_by_id.values(), *self._former]:
            for guard in list(live.guards):
                if guard.fingerprint == fingerprint and not guard.reads:
                    guard.lose()

    def record_call(self, live: LiveEndpoint, *, is_fault: bool) -> None:
        """Take in how a plain call ended; an endpoint that fails many is left alone.

        Args:
            live: Where it was sent.
            is_fault: Whether it was lost, or answered with a failure of the endpoint.
        """
        now = self._clock.monotonic()
        endpoint = live.endpoint
        record = self._calls_by_service.setdefault(endpoint.service, CallRecord())
        record.note(endpoint.id, is_failure=is_fault, now=now)
        if not is_fault:
            live.reset_ejection()
            return
        live.deprioritize(now)
        others = self.list_failing(endpoint.service) - {endpoint.id}
        if self._may_leave_alone(endpoint.service, len(others) + 1) and (
            record.is_failing(endpoint.id, left_out=others, now=now)
        ):
            live.eject_failing(now)
            log_event("endpoints", "It fails calls.", peer=endpoint.id)

    def list_failing(self, service_id: str) -> frozenset[str]:
        """Return the endpoints of a service that are out of use for failed calls."""
        return frozenset(
            endpoint.id
            for endpoint in self._catalog.endpoints_of(service_id)
            if self.find(endpoint.id).is_failing
        )

    def _may_leave_alone(self, service_id: str, count: int) -> bool:
        """Return whether so many endpoints of a service may be put out of use.

        Half of those in use: the others can take their calls, and what fails at more
        of them is no fault of one.
        """
        in_use = sum(
            endpoint.state is EndpointState.ACTIVE and self.versions.allows(endpoint)
            for endpoint in self._catalog.endpoints_of(service_id)
        )
        return 2 * count <= in_use

    def record_start(self, endpoint: Endpoint) -> None:
        """Take in an endpoint's entry: it may have started again under its id.

        Nothing that was learned of the start before holds for the new one. What is
        under way there is not ended: the endpoint may have been reached since it
        started, before its entry told of that. Its connections and their silence tell.
        """
        live = self._live_by_id.get(endpoint.id)
        if live is None or not live.endpoint.start.is_followed_by(endpoint.start):
            return
        live.start_again(self._bounds_by_phase)
        log_event(
            "endpoints", "Started again.", peer=endpoint.id, open=live.own_streams
        )

    def start_of(self, endpoint_id: str) -> EndpointStart:
        """Return which start of an endpoint is known."""
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        return endpoint.start if endpoint else EndpointStart(endpoint_id=endpoint_id)

    def record_peer_loss(self, start: EndpointStart) -> None:
        """Take in that a peer found an endpoint gone.

        Where this host's own runs go on there, it knows better. One that has started
        again since is not the one that was lost.
        """
        endpoint_id = start.endpoint_id
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        if endpoint is None or start.is_followed_by(endpoint.start):
            return
        live = self.find(endpoint_id)
        now = self._clock.monotonic()
        self._lost_at_by_domain[live.endpoint.failure_domain] = now
        if not live.own_streams and not live.is_ejected:
            live.eject(now)
            log_event("endpoints", "A peer found it gone.", peer=endpoint_id)

    def record_replaced(self, live: LiveEndpoint, successor_id: str) -> None:
        """Take in that an endpoint has ended, and which one has its address."""
        live.record_ended()
        if successor_id and successor_id not in self._catalog.endpoints_by_id:
            self._on_successor(live.endpoint, successor_id)

    def pop_losses(self) -> list[EndpointStart]:
        """Return the starts of endpoints found gone since the last call."""
        losses, self._losses = self._losses, set()
        return sorted(losses, key=lambda start: start.endpoint_id)

    def loads_by_endpoint(self) -> dict[str, TokenLoad]:
        """Return what this host's runs take at endpoints, where they take any."""
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

    def _is_unstable(self, domain: str) -> bool:
        lost_at = self._lost_at_by_domain.get(domain)
        if lost_at is None:
            return False
        return self._clock.monotonic() - lost_at < UNSTABLE_TIME

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an endpoint that is gone, once it has no streams."""
        self._backoffs.forget(endpoint_id)
        live = self._live_by_id.get(endpoint_id)
        if live is not None and not live.own_streams:
            del self._live_by_id[endpoint_id]

    def views(self, service_id: str, *, is_trial: bool = False) -> list[EndpointView]:
        """Return what decisions read of one service's endpoints.

        Args:
            service_id: The service.
            is_trial: Whether for a request that tries a new version; else those are
                left out whose version is not to get requests.
        """
        service = self._catalog.services_by_id.get(service_id)
        if service is None:
            return []
        is_open = self.versions.is_tried if is_trial else self.versions.allows
        placed = (
            endpoint
            for endpoint in self._catalog.endpoints_of(service_id)
            if is_placed(endpoint, service) and is_open(endpoint)
        )
        return [self.view(endpoint.id) for endpoint in placed]

    def view(self, endpoint_id: str) -> EndpointView:
        """Return what decisions read of an endpoint that :meth:`find` finds."""
        live = self.find(endpoint_id)
        start, now = live.endpoint.start, self._clock.monotonic()
        return live.view(
            is_unstable=self._is_unstable(live.endpoint.failure_domain),
            accepts_requests=self._backoffs.may_send(start, now=now)
            and self.limits.has_capacity(start, now=now),
        )

    def service_capacity(self, service_id: str) -> "Capacity":
        """Return the places of a service's endpoints in use, and how many are taken."""
        views = [
            view
            for view in self.views(service_id)
            if view.state is EndpointState.ACTIVE and view.accepts_requests
        ]
        return Capacity(
            places=sum(view.max_streams for view in views),
            taken=sum(min(view.taken, view.max_streams) for view in views),
        )

    def count_streams(self, endpoint_id: str) -> int:
        """Return the open requests of an endpoint, as far as this host knows."""
        live = self.find(endpoint_id)
        if live is None:
            return 0
        view = live.view()
        return max(view.own_streams, view.reported_streams)

    def _leave_address(self, live: LiveEndpoint) -> None:
        """Go on watching the streams of an endpoint that has another address now.

        It started anew there, and holds nothing of them.
        """
        if live.guards:
            self._former.append(live)
        live.lose_streams()

    def count_open(
        self, service_id: str, is_counted: Callable[[Endpoint], bool]
    ) -> int:
        """Return this host's open requests at some endpoints of a service."""
        lives = [*self._live_by_id.values(), *self._former]
        return sum(
            live.own_streams
            for live in lives
            if live.endpoint.service == service_id and is_counted(live.endpoint)
        )

    async def refresh_reports(self) -> None:
        """Ask one endpoint at a time for its load, the one heard of longest ago."""
        while True:
            await self._clock.sleep(REFRESH_INTERVAL)
            busy = [live for live in self._live_by_id.values() if live.has_engine]
            if not busy:
                continue
            oldest = min(busy, key=lambda live: live.reported_at)
            report = await oldest.engine.probe()
            if report is not None:
                oldest.update_report(report)
            else:
                oldest.reported_at = self._clock.monotonic()

    async def watch_silence(self) -> None:
        """Look for silent streams, for ever."""
        while True:
            self._former = [live for live in self._former if live.guards]
            lives = self._live_by_id.values()
            has_streams = self._former or any(live.guards for live in lives)
            interval = WATCH_INTERVAL if has_streams else IDLE_WATCH_INTERVAL
            due = self._clock.monotonic() + interval
            await self._clock.sleep(interval)
            now = self._clock.monotonic()
            self._lag.tick(now - due)
            for live in [*self._live_by_id.values(), *self._former]:
                if self._lag.is_lagging:
                    live.reset_silence(now)
                else:
                    live.check_silence(now)
