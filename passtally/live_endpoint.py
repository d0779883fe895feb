"""What this host knows of one endpoint while it runs: load, silence, ejection."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.departures import Departures
from passtally.engine import Engine, LoadReport
from passtally.messages import TokenLoad
from passtally.objects import Endpoint, EndpointStart, EndpointState
from passtally.retry import LossKind
from passtally.routing import EndpointView
from passtally.silence import (
    Phase,
    ProbeHistory,
    SilenceBounds,
    SilenceLimit,
    Verdict,
)

#: How often a look for silent streams is taken.
WATCH_INTERVAL = timedelta(milliseconds=50)
#: The same while no stream is open: 4 wake-ups a second and not 20. The first output of
#: a stream that begins meanwhile may be missing for 0.8 s at least before it matters.
IDLE_WATCH_INTERVAL = timedelta(milliseconds=250)
#: Load reports are not older than this.
MAX_REPORT_LAG = timedelta(seconds=2)
#: A timer of this host that is later than this shows that it can't judge others.
MAX_OWN_LAG = timedelta(milliseconds=100)
#: Left of the longest pause that a caller allows for going on elsewhere: a look each
#: 50 ms, a connection within 80 ms, and up to 60 ms until the replica's first output.
GOING_ON = timedelta(milliseconds=200)
#: How long a stream that waits on at a silent endpoint is not judged again. Each time
#: costs a connection to the endpoint and up to four messages to other hosts: a stream
#: that is silent for 10 s costs that 15 times, and 39 times without this pause.
HELD_PAUSE = timedelta(milliseconds=600)
#: For how long an endpoint that failed a call is passed over where another can take the
#: next one: so a host that used it alone learns how its neighbours do.
DEPRIORITIZED_TIME = timedelta(seconds=1.5)
INITIAL_EJECTION = timedelta(seconds=1)
MAX_EJECTION = timedelta(seconds=30)


@attrs.define(kw_only=True, eq=False)
class StreamGuard:
    """Watches one attempt for silence.

    The attempt only counts its reads; the watch looks at the count now and then,
    so that a token costs no reading of the clock.

    Attributes:
        quiet_since: Since when no read was seen.
        first_limit: Returns when it is given up before its first output though its
            endpoint lives, by the most tokens that waited there to be read; None for
            the endpoint's own limit.
        max_prefill_tokens: The most tokens of prompts, all hosts' as far as they are
            known, that its endpoint had still to read since it was sent there.
        max_gap: The longest pause between two outputs that its caller allows, if it
            is known.
        reads: How many reads brought output.
        is_waiting: Whether it waits for output; not while the caller is written to.
        seen_reads: The reads that the watch has seen.
        spared_since: Since when it is silent though its endpoint was found alive.
        trip: Called when the attempt is to end.
        tripped: How the attempt was lost, once it was.
        is_lost: Whether its endpoint holds it no more, so that nothing waits for it.
        is_held: Whether it waits on at an endpoint that was found silent, since it may
            go on nowhere else.
        judged_from: From when on its silence is judged.
        fingerprint: The request, see :mod:`passtally.fingerprint`.
    """

    quiet_since: timedelta
    first_limit: Callable[[int], timedelta | None] = lambda tokens: None
    max_prefill_tokens: int = 0
    max_gap: timedelta | None = None
    reads: int = 0
    is_waiting: bool = True
    seen_reads: int = 0
    spared_since: timedelta | None = None
    trip: Callable[[], None] = lambda: None
    tripped: LossKind | None = None
    is_lost: bool = False
    is_held: bool = False
    judged_from: timedelta = timedelta(0)
    fingerprint: bytes = b""

    def stuck_after(self, usual: timedelta | None) -> timedelta | None:
        """Return how long it may be silent though its endpoint lives.

        Args:
            usual: The endpoint's own limit for its phase.
        """
        if self.phase is Phase.FIRST_TOKEN:
            return self.first_limit(self.max_prefill_tokens) or usual
        if self.max_gap is None or usual is None:
            return usual
        return max(usual, self.max_gap - GOING_ON)

    @property
    def phase(self) -> Phase:
        """What the stream waits for."""
        return Phase.NEXT_TOKEN if self.seen_reads else Phase.FIRST_TOKEN

    @property
    def silent_since(self) -> timedelta:
        """Since when there is no output, as far as the watch has seen."""
        return self.spared_since or self.quiet_since

    def end(self, kind: LossKind) -> None:
        """End the attempt as lost, unless its answer may go on nowhere else."""
        if self.tripped is None:
            self.tripped = kind
            self.trip()

    def lose(self) -> None:
        """End the attempt also where its answer may go on nowhere else."""
        self.is_lost = True
        self.end(LossKind.RESET)

    def hold(self, now: timedelta) -> None:
        """Let the attempt go on; its silence is judged again a little later.

        Args:
            now: The monotonic time.
        """
        self.tripped = None
        self.is_held = True
        self.spared_since = self.spared_since or self.quiet_since
        self.quiet_since = now
        self.judged_from = now + HELD_PAUSE


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
        if late_by <= MAX_OWN_LAG:
            return
        if not self.is_lagging:
            late_ms = round(late_by.total_seconds() * 1000)
            log_event("host", "Did not run in time.", late_ms=late_ms)
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
        others_load: Returns what other hosts' runs take at one start of it.
        on_silent: Called with the moment since which a connection to it is silent
            though it takes new ones.
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
        others_load: Callable[[EndpointStart], TokenLoad] = lambda start: TokenLoad(),
        on_silent: Callable[[timedelta], None] = lambda since: None,
    ) -> None:
        self._on_silent = on_silent
        self._others_load = others_load
        self.endpoint = endpoint
        self.engine = engine
        self._clock = clock
        self._lag = lag
        self._departures = departures
        self.own_streams = 0
        self.resume_tokens = 0
        #: Tokens that its memory holds for this host's runs and replicas.
        self.kv_tokens = 0
        #: Tokens of this host's prompts that it is still to read.
        self.prefill_tokens = 0
        self.capacity_tokens = 0
        #: Calls in a row that were not answered in time.
        self.unanswered_calls = 0
        self.guards: set[StreamGuard] = set()
        self.ejected_until: timedelta | None = None
        #: Whether a request is under way that shows whether it is back.
        self._is_half_open = False
        #: Whether it was put out of use for its failures and has not answered since.
        self.is_failing = False
        self._own_at_report = 0
        self._peak = 0
        self._peak_at = timedelta(0)
        self.reported_at = timedelta(0)
        #: Whether it has reported its load; plain endpoints never do.
        self.has_engine = False
        self._probe: asyncio.Task[None] | None = None
        self.start_again(bounds_by_phase)

    def start_again(self, bounds_by_phase: dict[Phase, SilenceBounds]) -> None:
        """Forget what was learned of the start before.

        Args:
            bounds_by_phase: Where its silence limits may move.
        """
        self.limits_by_phase = {
            phase: SilenceLimit(bounds=bounds)
            for phase, bounds in bounds_by_phase.items()
        }
        self._report = LoadReport(running=0, queued=0, step=0)
        self._deprioritized_until = timedelta(0)
        self.reset_ejection()

    def lose_streams(self) -> None:
        """End all streams there: nothing holds them any more."""
        for guard in list(self.guards):
            guard.lose()

    @property
    def waiting_streams(self) -> int:
        """How many of this host's streams there have no output yet."""
        return sum(not guard.reads for guard in self.guards)

    @property
    def running_streams(self) -> int:
        """How many of this host's streams there have output already."""
        return len(self.guards) - self.waiting_streams

    def enter(self) -> None:
        """Count one more of this host's requests."""
        self.own_streams += 1
        if self.is_ejected or self.is_failing:
            self._is_half_open = True

    def leave(self) -> None:
        """Count one of this host's requests out."""
        now = self._clock.monotonic()
        if self.own_streams >= self._peak or now - self._peak_at > MAX_REPORT_LAG:
            self._peak = self.own_streams
            self._peak_at = now
        self.own_streams -= 1
        if not self.own_streams:
            self._is_half_open = False

    @property
    def has_served_one(self) -> bool:
        """Whether no more than one request was there a moment ago, as far as known."""
        is_recent = self._clock.monotonic() - self._peak_at <= MAX_REPORT_LAG
        others = self._others_load(self.endpoint.start)
        return self.own_streams + (self._peak if is_recent else 0) <= 1 and not (
            others.held or others.reading or others.running
        )

    def view(
        self, *, is_unstable: bool = False, accepts_requests: bool = True
    ) -> EndpointView:
        """Return what decisions read.

        Args:
            is_unstable: Whether a run was lost in its failure domain a moment ago.
            accepts_requests: Whether it wants a request of this host now.
        """
        others = self._others_load(self.endpoint.start)
        is_doubted = self._clock.monotonic() < self._deprioritized_until
        return EndpointView(
            id=self.endpoint.id,
            failure_domain=self.endpoint.failure_domain,
            state=self.state,
            own_streams=self.own_streams,
            reported_streams=self._report.running + self._report.queued,
            own_at_report=self._own_at_report,
            report_age=self._clock.monotonic() - self.reported_at,
            max_streams=self.endpoint.max_streams,
            ejected_until=self.ejected_until,
            resume_tokens=self.resume_tokens,
            is_unstable=is_unstable or is_doubted,
            is_half_open=self._is_half_open,
            kv_tokens=self.kv_tokens + others.held,
            prefill_tokens=self.prefill_tokens + others.reading,
            running_streams=self.running_streams + others.running,
            capacity_tokens=self.capacity_tokens,
            accepts_requests=accepts_requests,
        )

    def update_report(self, report: LoadReport) -> None:
        """Take in what the endpoint says of itself."""
        self.has_engine = True
        self._report = report
        # A report may still show requests of this host that have ended since.
        is_recent = self._clock.monotonic() - self._peak_at <= MAX_REPORT_LAG
        own_then = self._peak if is_recent else 0
        self._own_at_report = max(self.own_streams, own_then)
        self.reported_at = self._clock.monotonic()
        if report.draining:
            self._departures.note(self.endpoint.start, channel="its own report")

    @property
    def state(self) -> EndpointState:
        """Whether it may get new work, as far as anything tells."""
        if self._departures.is_leaving(self.endpoint):
            return EndpointState.DRAINING
        return self.endpoint.state

    def record_ended(self) -> None:
        """Take in that it has ended for good, whatever the configuration says."""
        self._departures.note(self.endpoint.start, channel="its address")

    @property
    def is_ejected(self) -> bool:
        """Whether it gets no new work for now."""
        until = self.ejected_until
        return until is not None and until > self._clock.monotonic()

    def eject(self, now: timedelta) -> None:
        """Give it no new work for a while, longer each time."""
        self.ejected_until = now + self._ejection
        self._ejection = min(2 * self._ejection, MAX_EJECTION)

    def eject_failing(self, now: timedelta) -> None:
        """Give it no new work for a while; then one call at a time until it is well."""
        self.eject(now)
        self.is_failing = True

    def deprioritize(self, now: timedelta) -> None:
        """Pass it over for a moment where another can take a call."""
        self._deprioritized_until = now + DEPRIORITIZED_TIME

    def reset_ejection(self) -> None:
        """Forget past ejections and unanswered calls, after an answer."""
        self.unanswered_calls = 0
        self.is_failing = False
        self._is_half_open = False
        self.ejected_until = None
        self._ejection = INITIAL_EJECTION

    def check_silence(self, now: timedelta) -> None:
        """Start a probe if a stream has been silent for too long."""
        if self._probe is not None and not self._probe.done():
            return
        self._record_prefill()
        silent = [guard for guard in self.guards if self._is_silent(guard, now)]
        if silent:
            self._probe = asyncio.create_task(self._probe_until_decided(silent))

    def _record_prefill(self) -> None:
        """Take in how much waits to be read, for the streams that wait with it."""
        others = self._others_load(self.endpoint.start)
        reading = self.prefill_tokens + others.reading
        for guard in self.guards:
            guard.max_prefill_tokens = max(guard.max_prefill_tokens, reading)

    def reset_silence(self, now: timedelta) -> None:
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
            guard.judged_from = now
            return False
        is_judged = now >= guard.judged_from
        return is_judged and now - guard.quiet_since > limit.current()

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
            self.update_report(report)
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
            stuck_after = guard.stuck_after(
                self.limits_by_phase[guard.phase].stuck_after
            )
            if stuck_after is not None and now - guard.spared_since > stuck_after:
                self._log_stuck(guard, now)
                self._on_silent(guard.spared_since)
                guard.end(LossKind.RESET)

    def _log_stuck(self, guard: StreamGuard, now: timedelta) -> None:
        log_event(
            "silence",
            "Stream stuck, though its endpoint lives.",
            peer=self.endpoint.id,
            phase=guard.phase,
            silent_for=now - guard.spared_since,
        )
