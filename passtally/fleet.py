"""What this host knows of the endpoints while it runs: load, silence, ejection."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from passtally.catalog import Catalog
from passtally.clock import Clock
from passtally.decision import log_event
from passtally.departures import Departures
from passtally.engine import Engine, LoadReport
from passtally.objects import Endpoint, EndpointState, is_placed
from passtally.peers import TokenLoad
from passtally.retry import LossKind
from passtally.routing import EndpointView
from passtally.silence import (
    DEFAULT_BOUNDS_BY_PHASE,
    Phase,
    ProbeHistory,
    SilenceBounds,
    SilenceLimit,
    Verdict,
)

WATCH_INTERVAL = timedelta(milliseconds=50)
#: Load reports are not older than this.
LONGEST_REPORT_LAG = timedelta(seconds=2)
#: One endpoint is asked for its load this often, whatever their number.
REFRESH_INTERVAL = timedelta(seconds=1)
#: A timer of this host that is later than this shows that it can't judge others.
MAX_OWN_LAG = timedelta(milliseconds=100)
#: For how long after a loss its failure domain is avoided. Endpoints of one domain
#: are often lost together, and noticed one after the other.
SHAKY_FOR = timedelta(seconds=1.5)
FIRST_EJECTION = timedelta(seconds=1)
LAST_EJECTION = timedelta(seconds=30)


@attrs.define(kw_only=True, eq=False)
class StreamGuard:
    """Watches one attempt for silence.

    The attempt only counts its reads; the watch looks at the count now and then,
    so that a token costs no reading of the clock.

    Attributes:
        quiet_since: Since when no read was seen.
        first_limit: When it is given up before its first output though its endpoint
            lives; None for the endpoint's own limit.
        reads: How many reads brought output.
        is_waiting: Whether it waits for output; not while the caller is written to.
        seen_reads: The reads that the watch has seen.
        spared_since: Since when it is silent though its endpoint was found alive.
        trip: Called to end the attempt.
        tripped: How the attempt was lost, once it was.
    """

    quiet_since: timedelta
    first_limit: timedelta | None = None
    reads: int = 0
    is_waiting: bool = True
    seen_reads: int = 0
    spared_since: timedelta | None = None
    trip: Callable[[], None] = lambda: None
    tripped: LossKind | None = None

    @property
    def phase(self) -> Phase:
        """What the stream waits for."""
        return Phase.NEXT_TOKEN if self.seen_reads else Phase.FIRST_TOKEN

    def end(self, kind: LossKind) -> None:
        """End the attempt as lost."""
        if self.tripped is None:
            self.tripped = kind
            self.trip()


@attrs.frozen(kw_only=True)
class Capacity:
    """Places for requests, and how many are believed taken."""

    places: int
    taken: int

    @property
    def load(self) -> float:
        """The share that is taken; 0 where there are none, so that routing tells."""
        return self.taken / self.places if self.places else 0.0


class LagMeter:
    """Tells whether this host itself was too busy, or paused, to judge others.

    Args:
        clock: The clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._lagged_until = timedelta(0)

    def tick(self, late_by: timedelta) -> None:
        """Take in how late a timer of this host fired."""
        if late_by > MAX_OWN_LAG:
            self._lagged_until = self._clock.monotonic() + late_by

    @property
    def is_lagging(self) -> bool:
        """Whether a timer was late a moment ago."""
        return self._clock.monotonic() < self._lagged_until


class LiveEndpoint:
    """The changing state of one endpoint.

    Args:
        endpoint: Its configuration.
        engine: How it is reached.
        clock: The clock.
        lag: Tells whether this host can judge.
        departures: Where its own reports of leaving are noted.
        bounds_by_phase: Where its silence limits may move.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        engine: Engine,
        clock: Clock,
        lag: LagMeter,
        departures: Departures,
        bounds_by_phase: dict[Phase, SilenceBounds],
    ) -> None:
        self.endpoint = endpoint
        self.engine = engine
        self._clock = clock
        self._lag = lag
        self._departures = departures
        self.own_streams = 0
        self.resume_tokens = 0
        #: Tokens that its memory holds for this host's runs and replicas.
        self.held_tokens = 0
        #: Tokens of this host's prompts that it is still to read.
        self.reading_tokens = 0
        self.capacity_tokens = 0
        #: Calls in a row that were not answered in time.
        self.unanswered_calls = 0
        self.guards: set[StreamGuard] = set()
        self.limits_by_phase = {
            phase: SilenceLimit(bounds=bounds)
            for phase, bounds in bounds_by_phase.items()
        }
        self.ejected_until: timedelta | None = None
        self._ejection = FIRST_EJECTION
        #: Whether a request is under way that shows whether it is back.
        self._is_on_trial = False
        self._report = LoadReport(running=0, queued=0, step=0)
        self._own_at_report = 0
        self._peak = 0
        self._peak_at = timedelta(0)
        self.reported_at = timedelta(0)
        #: Whether it has reported its load; plain endpoints never do.
        self.has_engine = False
        self._probe: asyncio.Task[None] | None = None

    def enter(self) -> None:
        """Count one more of this host's requests."""
        self.own_streams += 1
        if self.is_ejected:
            self._is_on_trial = True

    def leave(self) -> None:
        """Count one of this host's requests out."""
        now = self._clock.monotonic()
        if self.own_streams >= self._peak or now - self._peak_at > LONGEST_REPORT_LAG:
            self._peak = self.own_streams
            self._peak_at = now
        self.own_streams -= 1
        if not self.own_streams:
            self._is_on_trial = False

    def view(
        self, *, is_shaky: bool = False, others: TokenLoad | None = None
    ) -> EndpointView:
        """Return what decisions read.

        Args:
            is_shaky: Whether a run was lost in its failure domain a moment ago.
            others: What other hosts' runs take there.
        """
        others = others or TokenLoad()
        return EndpointView(
            id=self.endpoint.id,
            failure_domain=self.endpoint.failure_domain,
            state=self._state(),
            own_streams=self.own_streams,
            reported_streams=self._report.running + self._report.queued,
            own_at_report=self._own_at_report,
            report_age=self._clock.monotonic() - self.reported_at,
            max_streams=self.endpoint.max_streams,
            ejected_until=self.ejected_until,
            resume_tokens=self.resume_tokens,
            is_shaky=is_shaky,
            is_on_trial=self._is_on_trial,
            held_tokens=self.held_tokens + others.held,
            reading_tokens=self.reading_tokens + others.reading,
            capacity_tokens=self.capacity_tokens,
        )

    def take_report(self, report: LoadReport) -> None:
        """Take in what the endpoint says of itself."""
        self.has_engine = True
        self._report = report
        # A report may still show requests of this host that have ended since.
        is_recent = self._clock.monotonic() - self._peak_at <= LONGEST_REPORT_LAG
        own_then = self._peak if is_recent else 0
        self._own_at_report = max(self.own_streams, own_then)
        self.reported_at = self._clock.monotonic()
        if report.draining:
            endpoint = self.endpoint
            self._departures.note(
                endpoint.id, endpoint.incarnation, channel="its own report"
            )

    def _state(self) -> EndpointState:
        if self._departures.is_leaving(self.endpoint):
            return EndpointState.DRAINING
        return self.endpoint.state

    def note_ended(self) -> None:
        """Take in that it has ended for good, whatever the configuration says."""
        self._departures.note(
            self.endpoint.id, self.endpoint.incarnation, channel="its address"
        )

    @property
    def is_ejected(self) -> bool:
        """Whether it gets no new work for now."""
        until = self.ejected_until
        return until is not None and until > self._clock.monotonic()

    def eject(self, now: timedelta) -> None:
        """Give it no new work for a while, longer each time."""
        self.ejected_until = now + self._ejection
        self._ejection = min(2 * self._ejection, LAST_EJECTION)

    def readmit(self) -> None:
        """Forget past ejections and unanswered calls, after an answer."""
        self.unanswered_calls = 0
        self._is_on_trial = False
        self.ejected_until = None
        self._ejection = FIRST_EJECTION

    def check_silence(self, now: timedelta) -> None:
        """Start a probe if a stream has been silent for too long."""
        if self._probe is not None and not self._probe.done():
            return
        silent = [guard for guard in self.guards if self._is_silent(guard, now)]
        if silent:
            self._probe = asyncio.create_task(self._probe_until_decided(silent))

    def excuse_silence(self, now: timedelta) -> None:
        """Count silence anew: this host was too busy to hear."""
        for guard in self.guards:
            guard.quiet_since = now
            guard.spared_since = None

    def _is_silent(self, guard: StreamGuard, now: timedelta) -> bool:
        reads = guard.reads - guard.seen_reads
        limit = self.limits_by_phase[guard.phase]
        if reads:
            limit.observe((now - guard.quiet_since).total_seconds() / reads)
        if reads or not guard.is_waiting:
            guard.seen_reads = guard.reads
            guard.quiet_since = now
            guard.spared_since = None
            return False
        return now - guard.quiet_since > limit.current()

    async def _probe_until_decided(self, silent: list[StreamGuard]) -> None:
        if not self.engine.reports_load:
            await self._judge_by_reach(silent)
            return
        history = ProbeHistory()
        while True:
            report = await self.engine.probe()
            still = [guard for guard in silent if self._is_still_silent(guard)]
            if not still:
                return
            if report is None and self._lag.is_lagging:
                # The answer may be here, unread.
                await self._clock.sleep(WATCH_INTERVAL)
                continue
            if history.judge(report.step if report else None) is Verdict.FROZEN:
                self._give_up()
                return
            self.take_report(report)
            if history.stalled_probes == 0:
                self._spare(still)
                return
            await self._clock.sleep(WATCH_INTERVAL * 2)

    async def _judge_by_reach(self, silent: list[StreamGuard]) -> None:
        """Judge an endpoint that reports no load by whether it takes a connection."""
        is_reachable = await self.engine.is_reachable()
        if not is_reachable and not self._lag.is_lagging:
            self._give_up()
            return
        self._spare([guard for guard in silent if self._is_still_silent(guard)])

    def _is_still_silent(self, guard: StreamGuard) -> bool:
        waits = guard in self.guards and guard.is_waiting
        return waits and guard.reads == guard.seen_reads

    def _give_up(self) -> None:
        """End all streams of the endpoint that wait for it."""
        lost = [guard for guard in self.guards if self._is_still_silent(guard)]
        log_event("silence", "Endpoint frozen.", peer=self.endpoint.id, lost=len(lost))
        for guard in lost:
            guard.end(LossKind.FROZEN)

    def _spare(self, guards: list[StreamGuard]) -> None:
        """Let streams wait on, unless one alone has been silent for too long."""
        now = self._clock.monotonic()
        for guard in guards:
            guard.spared_since = guard.spared_since or guard.quiet_since
            guard.quiet_since = now
            stuck_after = self.limits_by_phase[guard.phase].stuck_after
            if guard.phase is Phase.FIRST_TOKEN and guard.first_limit is not None:
                stuck_after = guard.first_limit
            if stuck_after is not None and now - guard.spared_since > stuck_after:
                self._log_stuck(guard, now)
                guard.end(LossKind.RESET)

    def _log_stuck(self, guard: StreamGuard, now: timedelta) -> None:
        log_event(
            "silence",
            "Stream stuck, though its endpoint lives.",
            peer=self.endpoint.id,
            phase=guard.phase,
            silent_for=now - guard.spared_since,
        )


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
        others_load: Returns what other hosts' runs take at an endpoint.
        on_successor: Called with an endpoint that has ended and the id of the one
            that has its address now.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        clock: Clock,
        connect: Callable[[Endpoint], Engine],
        departures: Departures | None = None,
        bounds_by_phase: dict[Phase, SilenceBounds] | None = None,
        capacity_of: Callable[[str], int] = lambda service: 0,
        others_load: Callable[[str], TokenLoad] = lambda endpoint_id: TokenLoad(),
        on_successor: Callable[[Endpoint, str], None] = lambda endpoint, successor: (
            None
        ),
    ) -> None:
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
        self._losses: list[str] = []
        self._lost_at_by_domain: dict[str, timedelta] = {}

    def find(self, endpoint_id: str) -> LiveEndpoint | None:
        """Return a configured endpoint's live state, or None."""
        endpoint = self._catalog.endpoints_by_id.get(endpoint_id)
        if endpoint is None:
            return self._live_by_id.get(endpoint_id)
        live = self._live_by_id.get(endpoint_id)
        if live is None or live.endpoint.url != endpoint.url:
            live = LiveEndpoint(
                endpoint=endpoint,
                engine=self._connect(endpoint),
                clock=self._clock,
                lag=self._lag,
                departures=self._departures,
                bounds_by_phase=self._bounds_by_phase,
            )
            self._live_by_id[endpoint_id] = live
        live.endpoint = endpoint
        live.capacity_tokens = self._capacity_of(endpoint.service)
        return live

    def is_usable(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is known, and neither leaving nor ejected."""
        if endpoint_id not in self._catalog.endpoints_by_id:
            return False
        live = self.find(endpoint_id)
        return live.view().state is EndpointState.ACTIVE and not live.is_ejected

    def note_loss(self, live: LiveEndpoint, *, is_gone: bool) -> None:
        """Take in that a run was lost: its whole failure domain may be going.

        Args:
            live: Where it was lost.
            is_gone: Whether the endpoint itself is out of reach.
        """
        domain = live.endpoint.failure_domain
        self._lost_at_by_domain[domain] = self._clock.monotonic()
        if is_gone:
            self._losses.append(live.endpoint.id)
            self.load_changed.set()

    def note_peer_loss(self, endpoint_id: str) -> None:
        """Take in that a peer found an endpoint gone.

        Where this host's own runs go on there, it knows better.
        """
        if endpoint_id not in self._catalog.endpoints_by_id:
            return
        live = self.find(endpoint_id)
        now = self._clock.monotonic()
        self._lost_at_by_domain[live.endpoint.failure_domain] = now
        if not live.own_streams and not live.is_ejected:
            live.eject(now)
            log_event("endpoints", "A peer found it gone.", peer=endpoint_id)

    def note_successor(self, live: LiveEndpoint, successor_id: str) -> None:
        """Take in that another endpoint has the address of one that has ended."""
        if successor_id and successor_id not in self._catalog.endpoints_by_id:
            self._on_successor(live.endpoint, successor_id)

    def take_losses(self) -> list[str]:
        """Return the endpoints found gone since the last call."""
        losses, self._losses = self._losses, []
        return sorted(set(losses))

    def loads_by_endpoint(self) -> dict[str, TokenLoad]:
        """Return what this host's runs take at endpoints, where they take any."""
        return {
            endpoint_id: TokenLoad(held=live.held_tokens, reading=live.reading_tokens)
            for endpoint_id, live in self._live_by_id.items()
            if live.held_tokens or live.reading_tokens
        }

    def _is_shaky(self, domain: str) -> bool:
        lost_at = self._lost_at_by_domain.get(domain)
        if lost_at is None:
            return False
        return self._clock.monotonic() - lost_at < SHAKY_FOR

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of an endpoint that is gone, once it has no streams."""
        live = self._live_by_id.get(endpoint_id)
        if live is not None and not live.own_streams:
            del self._live_by_id[endpoint_id]

    def views(self, service_id: str) -> list[EndpointView]:
        """Return what decisions read of one service's endpoints."""
        service = self._catalog.services_by_id.get(service_id)
        if service is None:
            return []
        placed = (
            endpoint
            for endpoint in self._catalog.endpoints_of(service_id)
            if is_placed(endpoint, service)
        )
        found = (self.find(endpoint.id) for endpoint in placed)
        return [
            live.view(
                is_shaky=self._is_shaky(live.endpoint.failure_domain),
                others=self._others_load(live.endpoint.id),
            )
            for live in found
            if live is not None
        ]

    def service_capacity(self, service_id: str) -> "Capacity":
        """Return the places of a service's endpoints in use, and how many are taken."""
        views = [
            view
            for view in self.views(service_id)
            if view.state is EndpointState.ACTIVE
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
                oldest.take_report(report)
            else:
                oldest.reported_at = self._clock.monotonic()

    async def watch_silence(self) -> None:
        """Look for silent streams, for ever."""
        while True:
            due = self._clock.monotonic() + WATCH_INTERVAL
            await self._clock.sleep(WATCH_INTERVAL)
            now = self._clock.monotonic()
            self._lag.tick(now - due)
            for live in list(self._live_by_id.values()):
                if self._lag.is_lagging:
                    live.excuse_silence(now)
                else:
                    live.check_silence(now)
