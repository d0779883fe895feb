"""Keeps a request that ends the endpoints that run it from ending more of them."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.live_endpoint import LiveEndpoint
from passtally.metrics import Metric, Metrics, NoMetrics
from passtally.objects import EndpointStart
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.quarantine import Quarantine, Suspect

#: An endpoint that ends later than this after it began to run a request counts as ended
#: by something else. One that a request ends does so with the first steps of its run.
CRASH_WINDOW = timedelta(seconds=2)
#: From so many ends on, further tries are kept together at one endpoint. After one, a
#: request is most likely innocent, and better off where there is the most room.
SUSPECT_CRASHES = 2


async def never_ended(live: LiveEndpoint) -> bool:
    """Return that an endpoint is not known to have ended."""
    return False


class CrashGuard:
    """Finds requests that end endpoints, and refuses them.

    Args:
        quarantine: What is known of such requests.
        clock: The clock.
        has_ended: Returns whether an endpoint is seen to have ended, and was not only
            cut off or silent.
        on_quarantined: Called with the fingerprint of each request that is refused from
            then.
        metrics: Where metrics go.
    """

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        clock: Clock,
        has_ended: Callable[[LiveEndpoint], Awaitable[bool]] = never_ended,
        on_quarantined: Callable[[bytes], None] = lambda fingerprint: None,
        metrics: Metrics | None = None,
    ) -> None:
        self.quarantine = quarantine
        self._clock = clock
        self._has_ended = has_ended
        self._on_quarantined = on_quarantined
        self._metrics = metrics or NoMetrics()
        #: Set when other hosts are to be told something.
        self.changed = asyncio.Event()
        self._asking_by_start: dict[EndpointStart, asyncio.Task[bool]] = {}

    def remaining(self, fingerprint: bytes) -> timedelta | None:
        """Return how long a request is refused, or None if it is not."""
        return self.quarantine.remaining(fingerprint, now=self._clock.monotonic())

    def held(self) -> list[Suspect]:
        """Return the requests that are refused."""
        return self.quarantine.held(now=self._clock.monotonic())

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether several endpoints ended under a request, and none bore it."""
        suspect = self.quarantine.find(fingerprint, now=self._clock.monotonic())
        return suspect is not None and len(suspect.open_crashes) >= SUSPECT_CRASHES

    def check(self, fingerprint: bytes, *, service: str) -> None:
        """Refuse a request that ended too many endpoints.

        Raises:
            RefusedError: It is refused for a while.
        """
        remaining = self.remaining(fingerprint)
        if remaining is not None:
            raise quarantine_error(service, remaining)

    async def has_ended(self, live: LiveEndpoint) -> bool:
        """Return whether an endpoint, where a connection broke, is seen to have ended.

        All requests that were there ask at the same moment; it is looked at once.
        """
        start = live.endpoint.start
        asking = self._asking_by_start.get(start)
        if asking is None:
            asking = asyncio.ensure_future(self._has_ended(live))
            self._asking_by_start[start] = asking
            asking.add_done_callback(lambda _: self._asking_by_start.pop(start))
        return await asyncio.shield(asking)

    def record_end(
        self, fingerprint: bytes, live: LiveEndpoint, *, began_at: timedelta | None
    ) -> None:
        """Take in that an endpoint has ended under a request.

        Only one that had just begun to run it may have ended by it. One that had not
        begun to answer may have ended by any other that was there.

        Args:
            fingerprint: The request.
            live: The endpoint.
            began_at: When it began to run the request; None where it had not answered.
        """
        now = self._clock.monotonic()
        if began_at is None:
            is_suspected = live.has_served_one
        else:
            is_suspected = now - began_at <= CRASH_WINDOW
        if is_suspected:
            self.record_crash(fingerprint, live)

    def record_crash(self, fingerprint: bytes, live: LiveEndpoint) -> None:
        """Count the end of an endpoint against a request."""
        now = self._clock.monotonic()
        was_held = self.remaining(fingerprint) is not None
        suspect = self.quarantine.record_crash(
            fingerprint, live.endpoint.start, now=now
        )
        if suspect is None:
            return
        self.changed.set()
        log_event(
            "quarantine",
            "An endpoint ended under a request.",
            fingerprint=fingerprint.hex(),
            peer=live.endpoint.id,
            ended=suspect.open_crashes,
        )
        if suspect.is_quarantined and not was_held:
            self.record_quarantined(suspect)

    def record_quarantined(self, suspect: Suspect) -> None:
        """Take in that a request is refused from now on."""
        self._metrics.count(Metric.QUARANTINES)
        log_event(
            "quarantine",
            "Refused from now on.",
            fingerprint=suspect.fingerprint.hex(),
            ended=suspect.open_crashes,
        )
        self._on_quarantined(suspect.fingerprint)

    def record_success(self, fingerprint: bytes) -> None:
        """Take in that an endpoint ran a request to a good end."""
        if self.quarantine.record_success(fingerprint, now=self._clock.monotonic()):
            self.changed.set()

    def lift(self, fingerprint: bytes) -> bool:
        """Take a request again, at all hosts; return whether it was a suspect."""
        is_lifted = self.quarantine.lift(fingerprint)
        if is_lifted:
            self.changed.set()
            log_event("quarantine", "Lifted.", fingerprint=fingerprint.hex())
        return is_lifted


def quarantine_error(service: str, remaining: timedelta) -> RefusedError:
    """Return the refusal of a request that ended too many endpoints.

    Its status is one that says when to come back: to a caller that tries again it is
    as final as any other, and it tells truly that nothing has run.
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
