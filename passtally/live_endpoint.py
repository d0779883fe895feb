"""This host's state of one endpoint: its load, silence and ejection."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.departures import Departures
from passtally.engine import Engine, LoadReport
from passtally.lag_meter import LagMeter
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
from passtally.stream_guard import StreamGuard

#: Interval between checks for silent streams.
WATCH_INTERVAL = timedelta(milliseconds=50)
#: Interval between these checks while no stream is open: 4 wake-ups a second instead of
#: 20. A stream that starts meanwhile is not probed before 0.8 s of silence anyway.
IDLE_WATCH_INTERVAL = timedelta(milliseconds=250)
#: Maximum age of the state that a load report shows when it arrives.
MAX_REPORT_LAG = timedelta(seconds=2)
#: Time for which the prompts that wait at an endpoint, by its own report, count as
#: waiting. An engine reads about one prompt in it.
WAITING_TIME = timedelta(seconds=1)
#: Time in which other endpoints are preferred to one that failed a call. A host that
#: used only that endpoint then gets results of its neighbours to compare it with.
DEPRIORITIZED_TIME = timedelta(seconds=1.5)
#: Duration of the first ejection. It doubles with each further one up to
#: :data:`MAX_EJECTION`, until the endpoint answers.
INITIAL_EJECTION = timedelta(seconds=1)
MAX_EJECTION = timedelta(seconds=30)


class LiveEndpoint:
    """The runtime state of one endpoint.

    Args:
        endpoint: The configuration of the endpoint.
        engine: The client of the endpoint.
        clock: The clock.
        lag: Reports whether this host itself lags.
        departures: Records that the endpoint is leaving.
        bounds_by_phase: The ranges of its silence limits.
        others_load: Returns the load of other hosts' runs at one start of an endpoint.
        on_silent: Called with the start of the silence of a connection when the
            endpoint accepts new connections all the same.
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
        #: Tokens in KV memory for this host's runs and replicas.
        self.kv_tokens = 0
        #: Tokens of this host's prompts that wait for prefill.
        self.prefill_tokens = 0
        self.capacity_tokens = 0
        #: Consecutive calls that were not answered in time.
        self.unanswered_calls = 0
        self.guards: set[StreamGuard] = set()
        self.ejected_until: timedelta | None = None
        #: Time of its last good answer to this host; None before the first.
        self.answered_at: timedelta | None = None
        #: The latest time at which it certainly ran, that of the last request which it
        #: answered; None before the first. An answer may be read late, when it has
        #: exited already.
        self.alive_at: timedelta | None = None
        #: Whether a probing request is under way at an ejected or failing endpoint.
        self._is_half_open = False
        #: Whether it was ejected for failed calls and has not answered well since.
        self.is_failing = False
        self._own_at_report = 0
        #: Recent peak of ``own_streams``, which a late load report may still show.
        self._peak = 0
        self._peak_at = timedelta(0)
        self.reported_at = timedelta(0)
        #: Whether this start was found to have exited.
        self.has_exited = False
        #: Whether it has reported its load, which plain endpoints never do.
        self.has_engine = False
        self._probe: asyncio.Task[None] | None = None
        self.reset_for_restart(bounds_by_phase)

    def reset_for_restart(self, bounds_by_phase: dict[Phase, SilenceBounds]) -> None:
        """Reset the state that belongs to the previous start.

        Args:
            bounds_by_phase: The ranges of its silence limits.
        """
        self.limits_by_phase = {
            phase: SilenceLimit(bounds=bounds)
            for phase, bounds in bounds_by_phase.items()
        }
        self._report = LoadReport(running=0, queued=0, step=0)
        self._deprioritized_until = timedelta(0)
        self._reported_waiting_tokens = 0
        self._waiting_reported_at = timedelta(0)
        self.has_exited = False
        self.reset_ejection()

    @property
    def longest_own_lag(self) -> timedelta:
        """The longest recent delay of this host's own timers."""
        return self._lag.longest

    def record_waiting(self, tokens: int) -> None:
        """Record the prompt tokens that wait there, by the endpoint's own report."""
        self._reported_waiting_tokens = tokens
        self._waiting_reported_at = self._clock.monotonic()

    def _waiting_tokens(self, others: TokenLoad) -> int:
        """Return the prompt tokens that wait for prefill there, of all hosts.

        Where a host receives the loads of a few others only, the endpoint's own report
        tells more.
        """
        known = self.prefill_tokens + others.reading
        age = self._clock.monotonic() - self._waiting_reported_at
        if age > WAITING_TIME:
            return known
        return max(known, self._reported_waiting_tokens + self.prefill_tokens)

    def lose_streams(self) -> None:
        """Fail all streams of the endpoint, which no longer runs any of them."""
        for guard in list(self.guards):
            guard.lose()

    @property
    def waiting_streams(self) -> int:
        """Number of this host's streams there without output so far."""
        return sum(not guard.reads for guard in self.guards)

    @property
    def running_streams(self) -> int:
        """Number of this host's streams there that have output."""
        return len(self.guards) - self.waiting_streams

    def enter(self) -> None:
        """Count the start of one of this host's requests."""
        self.own_streams += 1
        if self.is_ejected or self.is_failing:
            self._is_half_open = True

    def leave(self) -> None:
        """Count the end of one of this host's requests."""
        now = self._clock.monotonic()
        if self.own_streams >= self._peak or now - self._peak_at > MAX_REPORT_LAG:
            self._peak = self.own_streams
            self._peak_at = now
        self.own_streams -= 1
        if not self.own_streams:
            self._is_half_open = False

    @property
    def had_at_most_one_request(self) -> bool:
        """Whether the endpoint recently had at most one request, as far as known."""
        is_recent = self._clock.monotonic() - self._peak_at <= MAX_REPORT_LAG
        others = self._others_load(self.endpoint.start)
        return self.own_streams + (self._peak if is_recent else 0) <= 1 and not (
            others.held or others.reading or others.running
        )

    def view(
        self,
        *,
        is_unstable: bool = False,
        accepts_requests: bool = True,
        speed: float = 1.0,
        is_slow: bool = False,
    ) -> EndpointView:
        """Return the routing view of the endpoint.

        Args:
            speed: Its speed beside the others of its service.
            is_slow: Whether calls take a multiple of their usual time there now.
            is_unstable: Whether a run was recently lost in its failure domain.
            accepts_requests: Whether it accepts a request from this host now.
        """
        others = self._others_load(self.endpoint.start)
        is_deprioritized = self._clock.monotonic() < self._deprioritized_until
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
            is_unstable=is_unstable or is_deprioritized,
            is_half_open=self._is_half_open,
            kv_tokens=self.kv_tokens + others.held,
            prefill_tokens=self._waiting_tokens(others),
            running_streams=self.running_streams + others.running,
            capacity_tokens=self.capacity_tokens,
            accepts_requests=accepts_requests,
            speed=speed,
            is_slow=is_slow,
        )

    def update_report(self, report: LoadReport) -> None:
        """Apply a load report of the endpoint."""
        self.has_engine = True
        self._report = report
        # A report may still show requests of this host that have ended since.
        is_recent = self._clock.monotonic() - self._peak_at <= MAX_REPORT_LAG
        recent_peak = self._peak if is_recent else 0
        self._own_at_report = max(self.own_streams, recent_peak)
        self.reported_at = self._clock.monotonic()
        if report.draining:
            self._departures.record(self.endpoint.start, channel="its own report")

    @property
    def state(self) -> EndpointState:
        """The state by which it may get new work, by configuration and departures."""
        if self._departures.is_leaving(self.endpoint):
            return EndpointState.DRAINING
        return self.endpoint.state

    def record_ended(self) -> None:
        """Record that this start has exited, whatever the configuration states."""
        self._departures.record(self.endpoint.start, channel="its address")

    @property
    def is_ejected(self) -> bool:
        """Whether it currently gets no new work."""
        until = self.ejected_until
        return until is not None and until > self._clock.monotonic()

    def eject(self, now: timedelta) -> None:
        """Give it no new work for a time that doubles with each ejection."""
        self.ejected_until = now + self._ejection
        self._ejection = min(2 * self._ejection, MAX_EJECTION)

    def eject_failing(self, now: timedelta) -> None:
        """Eject it, and afterwards send it one call at a time until one succeeds."""
        self.eject(now)
        self.is_failing = True

    def deprioritize(self, now: timedelta) -> None:
        """Prefer other endpoints for ``DEPRIORITIZED_TIME``."""
        self._deprioritized_until = now + DEPRIORITIZED_TIME

    def record_answer(self, now: timedelta) -> None:
        """Record a good answer, which also ends its ejection."""
        self.answered_at = now
        self.has_exited = False
        self.reset_ejection()

    def record_alive(self, sent_at: timedelta) -> None:
        """Record that it answered a request.

        Args:
            sent_at: The time at which the request was sent, or an earlier one.
        """
        if self.alive_at is None or sent_at > self.alive_at:
            self.alive_at = sent_at

    async def count_waiting(self) -> int:
        """Ask the endpoint for the number of its runs that have no output yet.

        Raises:
            AttemptLostError: The question was rejected, or no answer arrived in time.
        """
        sent_at = self._clock.monotonic()
        waiting = await self.engine.count_waiting()
        self.record_alive(sent_at)
        return waiting

    def reset_ejection(self) -> None:
        """Reset ejections and unanswered calls, after an answer or a restart."""
        self.unanswered_calls = 0
        self.is_failing = False
        self._is_half_open = False
        self.ejected_until = None
        self._ejection = INITIAL_EJECTION

    def check_silence(self, now: timedelta) -> None:
        """Start a probe if a stream has exceeded its silence limit."""
        if self._probe is not None and not self._probe.done():
            return
        self._record_prefill()
        silent = [guard for guard in self.guards if self._is_silent(guard, now)]
        if silent:
            self._probe = asyncio.create_task(self._probe_until_decided(silent))

    def _record_prefill(self) -> None:
        """Update each stream's maximum of the tokens waiting for prefill."""
        others = self._others_load(self.endpoint.start)
        prefill_tokens = self._waiting_tokens(others)
        for guard in self.guards:
            guard.max_prefill_tokens = max(guard.max_prefill_tokens, prefill_tokens)

    def reset_silence(self, now: timedelta) -> None:
        """Restart the measurement of silence, since this host was too busy to read."""
        for guard in self.guards:
            guard.quiet_since = now
            guard.silence_began_at = None

    def _is_silent(self, guard: StreamGuard, now: timedelta) -> bool:
        reads = guard.reads - guard.seen_reads
        limit = self.limits_by_phase[guard.phase]
        if reads:
            limit.observe((now - guard.quiet_since).total_seconds() / reads)
        if reads or not guard.is_waiting:
            guard.seen_reads = guard.reads
            guard.quiet_since = now
            guard.silence_began_at = None
            guard.next_check_at = now
            return False
        is_judged = now >= guard.next_check_at
        return is_judged and now - guard.quiet_since > limit.current()

    async def _probe_until_decided(self, silent: list[StreamGuard]) -> None:
        if not self.engine.reports_load:
            await self._judge_by_reachability(silent)
            return
        history = ProbeHistory()
        while True:
            report = await self.engine.probe()
            still_silent = [guard for guard in silent if self._is_still_silent(guard)]
            if not still_silent:
                return
            if report is None and self._lag.is_lagging:
                # The answer may have arrived and still wait to be read.
                await self._clock.sleep(WATCH_INTERVAL)
                continue
            if history.judge(report.step if report else None) is Verdict.FROZEN:
                self._trip_waiting()
                return
            self.update_report(report)
            if history.stalled_probes == 0:
                self._keep_waiting(still_silent)
                return
            await self._clock.sleep(WATCH_INTERVAL * 2)

    async def _judge_by_reachability(self, silent: list[StreamGuard]) -> None:
        """Judge an endpoint that reports no load by whether it accepts a connection."""
        is_reachable = await self.engine.is_reachable()
        if not is_reachable and not self._lag.is_lagging:
            self._trip_waiting()
            return
        waiting = [guard for guard in silent if self._is_still_silent(guard)]
        cut_off = [
            guard for guard in waiting if self.engine.is_silent(since=guard.started_at)
        ]
        for guard in cut_off:
            guard.end(LossKind.LINK)
        self._keep_waiting([guard for guard in waiting if guard not in cut_off])

    def _is_still_silent(self, guard: StreamGuard) -> bool:
        waits = guard in self.guards and guard.is_waiting
        return waits and guard.reads == guard.seen_reads

    def _trip_waiting(self) -> None:
        """Trip all streams that wait for output of the frozen endpoint."""
        lost = [guard for guard in self.guards if self._is_still_silent(guard)]
        log_event("silence", "Endpoint frozen.", peer=self.endpoint.id, lost=len(lost))
        for guard in lost:
            guard.end(LossKind.FROZEN)

    def _keep_waiting(self, guards: list[StreamGuard]) -> None:
        """Keep streams of a live endpoint waiting, and end those that are stuck."""
        now = self._clock.monotonic()
        for guard in guards:
            guard.silence_began_at = guard.silence_began_at or guard.quiet_since
            guard.quiet_since = now
            stuck_after = guard.stuck_after(
                self.limits_by_phase[guard.phase].stuck_after
            )
            if stuck_after is not None and now - guard.silence_began_at > stuck_after:
                self._log_stuck(guard, now)
                self._on_silent(guard.silence_began_at)
                guard.end(LossKind.RESET)

    def _log_stuck(self, guard: StreamGuard, now: timedelta) -> None:
        log_event(
            "silence",
            "Stream stuck although its endpoint is alive.",
            peer=self.endpoint.id,
            phase=guard.phase,
            silent_for=now - guard.silence_began_at,
        )
