"""What this host knows of the endpoints while it runs: load, silence, ejection."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from passtally.catalog import Catalog
from passtally.clock import Clock
from passtally.decision import log_event
from passtally.engine import Engine, LoadReport
from passtally.objects import Endpoint
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
#: An endpoint that answers, but not on this stream, is asked for it again.
MAX_STREAM_SILENCE = timedelta(seconds=3)
FIRST_EJECTION = timedelta(seconds=1)
LAST_EJECTION = timedelta(seconds=30)


@attrs.define(kw_only=True, eq=False)
class StreamGuard:
    """Watches one attempt for silence.

    Attributes:
        trip: Called to end the attempt.
        phase: What the stream waits for.
        armed_at: Since when it waits, or None while the caller is written to.
        checked_at: When a probe last found the endpoint alive.
        tripped: How the attempt was lost, once it was.
    """

    trip: Callable[[], None]
    phase: Phase = Phase.FIRST_TOKEN
    armed_at: timedelta | None = None
    checked_at: timedelta = timedelta(0)
    tripped: LossKind | None = None

    def end(self, kind: LossKind) -> None:
        """End the attempt as lost."""
        if self.tripped is None:
            self.tripped = kind
            self.trip()


class LiveEndpoint:
    """The changing state of one endpoint.

    Args:
        endpoint: Its configuration.
        engine: How it is reached.
        clock: The clock.
        bounds_by_phase: Where its silence limits may move.
    """

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        engine: Engine,
        clock: Clock,
        bounds_by_phase: dict[Phase, SilenceBounds],
    ) -> None:
        self.endpoint = endpoint
        self.engine = engine
        self._clock = clock
        self.own_streams = 0
        self.guards: set[StreamGuard] = set()
        self.limits_by_phase = {
            phase: SilenceLimit(bounds=bounds)
            for phase, bounds in bounds_by_phase.items()
        }
        self.ejected_until: timedelta | None = None
        self._ejection = FIRST_EJECTION
        self._report = LoadReport(running=0, queued=0, step=0)
        self._own_at_report = 0
        self._probe: asyncio.Task[None] | None = None

    def view(self) -> EndpointView:
        """Return what decisions read."""
        return EndpointView(
            id=self.endpoint.id,
            failure_domain=self.endpoint.failure_domain,
            state=self.endpoint.state,
            own_streams=self.own_streams,
            reported_streams=self._report.running + self._report.queued,
            own_at_report=self._own_at_report,
            max_streams=self.endpoint.max_streams,
            ejected_until=self.ejected_until,
        )

    def take_report(self, report: LoadReport) -> None:
        """Take in what the endpoint says of itself."""
        self._report = report
        self._own_at_report = self.own_streams

    def eject(self, now: timedelta) -> None:
        """Give it no new work for a while, longer each time."""
        self.ejected_until = now + self._ejection
        self._ejection = min(2 * self._ejection, LAST_EJECTION)

    def readmit(self) -> None:
        """Forget past ejections, after an answer."""
        self.ejected_until = None
        self._ejection = FIRST_EJECTION

    def check_silence(self, now: timedelta) -> None:
        """Start a probe if a stream has been silent for too long."""
        if self._probe is not None and not self._probe.done():
            return
        if any(self._is_silent(guard, now) for guard in self.guards):
            self._probe = asyncio.create_task(self._probe_until_decided())

    def _is_silent(self, guard: StreamGuard, now: timedelta) -> bool:
        if guard.armed_at is None:
            return False
        since = max(guard.armed_at, guard.checked_at)
        return now - since > self.limits_by_phase[guard.phase].current()

    async def _probe_until_decided(self) -> None:
        history = ProbeHistory()
        silent_at_start = [guard for guard in self.guards if guard.armed_at is not None]
        armed_by_guard = {guard: guard.armed_at for guard in silent_at_start}
        while True:
            report = await self.engine.probe()
            verdict = history.judge(report.step if report else None)
            still = [
                guard
                for guard, armed_at in armed_by_guard.items()
                if guard in self.guards and guard.armed_at == armed_at
            ]
            if not still:
                return
            if verdict is Verdict.FROZEN:
                log_event(
                    "silence",
                    "Endpoint frozen.",
                    peer=self.endpoint.id,
                    lost=len(still),
                )
                for guard in still:
                    guard.end(LossKind.FROZEN)
                return
            if report is not None:
                self.take_report(report)
            if history.last_step is not None and history.stalled_probes == 0:
                self._spare(still)
                return
            await self._clock.sleep(WATCH_INTERVAL * 2)

    def _spare(self, guards: list[StreamGuard]) -> None:
        """Let streams wait on, unless one alone has been silent for too long."""
        now = self._clock.monotonic()
        for guard in guards:
            guard.checked_at = now
            waited = now - (guard.armed_at or now)
            if guard.phase is Phase.NEXT_TOKEN and waited > MAX_STREAM_SILENCE:
                guard.end(LossKind.RESET)


class Fleet:
    """The live endpoints of all services.

    Args:
        catalog: The configuration in force.
        clock: The clock.
        connect: Makes the engine client of an endpoint.
        bounds_by_phase: Where silence limits may move.
    """

    def __init__(
        self,
        *,
        catalog: Catalog,
        clock: Clock,
        connect: Callable[[Endpoint], Engine],
        bounds_by_phase: dict[Phase, SilenceBounds] | None = None,
    ) -> None:
        self._catalog = catalog
        self._clock = clock
        self._connect = connect
        self._bounds_by_phase = bounds_by_phase or DEFAULT_BOUNDS_BY_PHASE
        self._live_by_id: dict[str, LiveEndpoint] = {}

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
                bounds_by_phase=self._bounds_by_phase,
            )
            self._live_by_id[endpoint_id] = live
        live.endpoint = endpoint
        return live

    def views(self, service_id: str) -> list[EndpointView]:
        """Return what decisions read of one service's endpoints."""
        found = (self.find(item.id) for item in self._catalog.endpoints_of(service_id))
        return [live.view() for live in found if live is not None]

    async def watch_silence(self) -> None:
        """Look for silent streams, for ever."""
        while True:
            now = self._clock.monotonic()
            for live in list(self._live_by_id.values()):
                live.check_silence(now)
            await self._clock.sleep(WATCH_INTERVAL)
