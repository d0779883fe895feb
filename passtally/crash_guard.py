"""Detection of requests that crash their endpoints, and their rejection."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.live_endpoint import LiveEndpoint
from passtally.metrics import Metric, Metrics, NoMetrics
from passtally.objects import EndpointStart
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.quarantine import Quarantine
from passtally.suspect import SUSPECT_CRASHES, Evidence, Suspect

#: Time since the start of a run after which a crash is attributed to something else. A
#: request that crashes its endpoint does so in the first steps of its run.
CRASH_WINDOW = timedelta(seconds=2)
#: Interval between checks of an unsettled quarantine.
SETTLE_CHECK_INTERVAL = timedelta(milliseconds=20)


async def never_ended(live: LiveEndpoint) -> bool:
    """Return False: without a way to check, no endpoint counts as crashed."""
    return False


class CrashGuard:
    """Detects requests that crash endpoints, and refuses them.

    Args:
        quarantine: The crash counts of requests.
        clock: The clock.
        has_ended: Checks whether an endpoint has certainly exited, as opposed to being
            unreachable or silent.
        is_bypassed: Returns whether this host's own link to an endpoint is down, while
            other hosts reach it.
        on_quarantined: Called with the fingerprint of each newly quarantined request.
        has_survived: Returns whether a request has run on an endpoint for longer than
            a duration.
        metrics: Receives the count of quarantines.
    """

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        clock: Clock,
        has_ended: Callable[[LiveEndpoint], Awaitable[bool]] = never_ended,
        is_bypassed: Callable[[LiveEndpoint], bool] = lambda live: False,
        on_quarantined: Callable[[bytes], None] = lambda fingerprint: None,
        has_survived: Callable[[bytes, timedelta], bool] = lambda request, time: False,
        metrics: Metrics | None = None,
    ) -> None:
        self.quarantine = quarantine
        self._clock = clock
        self._has_ended = has_ended
        self.is_bypassed = is_bypassed
        self._on_quarantined = on_quarantined
        self._has_survived = has_survived
        self._metrics = metrics or NoMetrics()
        #: Set when there are updates for other hosts.
        self.changed = asyncio.Event()
        self._checks_by_start: dict[EndpointStart, asyncio.Task[bool]] = {}

    def remaining(self, fingerprint: bytes) -> timedelta | None:
        """Return the time left in a request's quarantine; None if not quarantined."""
        return self.quarantine.remaining(fingerprint, now=self._clock.monotonic())

    def list_quarantined(self) -> list[Suspect]:
        """Return the quarantined requests."""
        return self.quarantine.list_quarantined(now=self._clock.monotonic())

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether several crashes of endpoints count against a request.

        Crashes that a success or an operator has cleared do not count.
        """
        suspect = self.quarantine.find(fingerprint, now=self._clock.monotonic())
        return suspect is not None and len(suspect.open_crashes) >= SUSPECT_CRASHES

    def list_separated(self) -> list[bytes]:
        """Return the suspects that are sent to endpoints apart from other requests."""
        return self.quarantine.list_separated(now=self._clock.monotonic())

    def check(self, fingerprint: bytes, *, service: str) -> None:
        """Raise if a request is quarantined.

        Raises:
            RefusedError: The request is quarantined.
        """
        remaining = self.remaining(fingerprint)
        if remaining is not None:
            self.report(fingerprint)
            raise quarantine_error(service, remaining)

    async def check_settled(self, fingerprint: bytes, *, service: str) -> None:
        """Raise if a request is quarantined, once its quarantine is settled.

        Raises:
            RefusedError: The request is quarantined.
        """
        await self.is_quarantined(fingerprint)
        self.check(fingerprint, service=service)

    async def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request is quarantined, once its quarantine is settled.

        Waits up to :data:`passtally.quarantine.SETTLE_TIME` while the quarantine may
        still turn out to be wrong.
        """
        while self.quarantine.is_unsettled(fingerprint, now=self._clock.monotonic()):
            if self._has_survived(fingerprint, CRASH_WINDOW):
                self.record_success(fingerprint)
            else:
                await self._clock.sleep(SETTLE_CHECK_INTERVAL)
        return self.remaining(fingerprint) is not None

    async def has_ended(self, live: LiveEndpoint) -> bool:
        """Return whether an endpoint whose connection broke has certainly exited.

        All requests of the endpoint ask at the same moment and share one check.
        """
        start = live.endpoint.start
        running = self._checks_by_start.get(start)
        if running is None:
            running = asyncio.ensure_future(self._has_ended(live))
            self._checks_by_start[start] = running
            running.add_done_callback(lambda _: self._checks_by_start.pop(start))
        return await asyncio.shield(running)

    def record_end(
        self,
        fingerprint: bytes,
        live: LiveEndpoint,
        *,
        began_at: timedelta | None,
        is_separated: bool = False,
    ) -> None:
        """Record the crash of an endpoint that a request was sent to.

        The crash counts against the request only if its run had just started. If the
        endpoint had not begun to answer and had other requests, it is weak evidence.

        Args:
            fingerprint: The fingerprint of the request.
            live: The endpoint.
            began_at: Time at which the run started; None if there was no answer yet.
            is_separated: Whether the request was sent there as a suspect.
        """
        now = self._clock.monotonic()
        if began_at is not None and now - began_at > CRASH_WINDOW:
            return
        evidence = Evidence.FAIR
        if is_separated:
            evidence = Evidence.STRONG
        elif began_at is None and not live.had_at_most_one_request:
            evidence = Evidence.WEAK
        self.record_crash(fingerprint, live, evidence=evidence)

    def record_crash(
        self,
        fingerprint: bytes,
        live: LiveEndpoint,
        *,
        evidence: Evidence = Evidence.FAIR,
    ) -> None:
        """Count the crash of an endpoint against a request."""
        now = self._clock.monotonic()
        suspect = self.quarantine.record_crash(
            fingerprint, live.endpoint.start, now=now, evidence=evidence
        )
        if suspect is None:
            return
        self.changed.set()
        log_event(
            "quarantine",
            "Endpoint crashed while running a request.",
            fingerprint=fingerprint.hex(),
            peer=live.endpoint.id,
            evidence=evidence.name.lower(),
            ended=suspect.open_crashes,
        )
        if suspect.is_convicted:
            self.report(fingerprint)

    def report(self, fingerprint: bytes) -> None:
        """Count and log a request's quarantine, and end its attempts, once."""
        suspect = self.quarantine.find(fingerprint, now=self._clock.monotonic())
        if suspect is None or not suspect.is_quarantined or suspect.is_reported:
            return
        suspect.is_reported = True
        self._metrics.count(Metric.QUARANTINES)
        log_event(
            "quarantine",
            "Request quarantined.",
            fingerprint=suspect.fingerprint.hex(),
            ended=suspect.open_crashes,
        )
        self._on_quarantined(suspect.fingerprint)

    def record_success(self, fingerprint: bytes) -> None:
        """Record that a request succeeded, which clears it of all crashes so far."""
        if self.quarantine.record_success(fingerprint, now=self._clock.monotonic()):
            self.changed.set()

    def lift(self, fingerprint: bytes) -> bool:
        """Clear a request at all hosts, and return whether it had open crashes."""
        is_lifted = self.quarantine.lift(fingerprint)
        if is_lifted:
            self.changed.set()
            log_event("quarantine", "Quarantine lifted.", fingerprint=fingerprint.hex())
        return is_lifted


def quarantine_error(service: str, remaining: timedelta) -> RefusedError:
    """Return the error for a quarantined request.

    Status 503 can state in Retry-After when the quarantine ends, and correctly tells
    the caller that nothing has run. To a caller that retries it is as final as any
    other status.
    """
    return refuse(
        Code.REQUEST_QUARANTINED,
        "This request took down several endpoints and is refused for now.",
        status=503,
        step="admit",
        peer=service,
        outcome=Outcome.NOT_RUN,
        retry_after=remaining,
    )
