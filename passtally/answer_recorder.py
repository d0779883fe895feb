"""Records how answers went: in metrics, in forecasts and for the compared versions."""

from passtally.clock import Clock
from passtally.crash_guard import CrashGuard
from passtally.dispatch_progress import Progress
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.forecast import Forecast
from passtally.generation import Generation
from passtally.live_endpoint import LiveEndpoint
from passtally.metrics import Metric, Metrics
from passtally.relay import count_prefill_tokens
from passtally.retry import UNRUN_KINDS, UNSURE_ENDS, LossKind


class AnswerRecorder:
    """Records the output, the completion and the losses of answers.

    Args:
        fleet: The endpoints, with the answers of each version.
        clock: The clock.
        forecast: Receives the durations of answers.
        metrics: Receives the waits of callers.
        guard: Receives the requests that ended well.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        forecast: Forecast,
        metrics: Metrics,
        guard: CrashGuard,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._forecast = forecast
        self._metrics = metrics
        self._guard = guard

    def record_completion(
        self, generation: Generation, progress: Progress, live: LiveEndpoint
    ) -> None:
        """Record a complete answer, and its duration if it began on this host."""
        self._guard.record_success(generation.request.fingerprint)
        if progress.first_output_at is None:
            return
        duration = self._clock.monotonic() - progress.first_output_at
        service = generation.request.service
        self._forecast.record_completion(service, generation.position, duration)
        if len(generation.attempts) == 1:
            self._fleet.versions.record_answer(
                live.endpoint,
                route=f"{generation.request.route} pace",
                took=duration / max(generation.position, 1),
            )

    def record_first_output(
        self, generation: Generation, progress: Progress, live: LiveEndpoint
    ) -> None:
        """Record how long the caller waited for an attempt's first output."""
        self._fleet.losses.record_present(live)
        now = self._clock.monotonic()
        waited = now - progress.waiting_since
        is_new = not generation.delivered
        self._fleet.versions.record_answer(
            live.endpoint,
            route=generation.request.route,
            answers=1,
            took=waited if is_new else None,
        )
        if not is_new:
            self._metrics.time(Metric.RESUME, waited)
            return
        self._metrics.time(Metric.FIRST_TOKEN, waited)
        progress.first_output_at = now
        self._forecast.record_first(
            generation.request.service,
            count_prefill_tokens(generation),
            waited,
            priority=generation.request.priority,
            now=now,
        )

    def record_failure(
        self,
        generation: Generation,
        live: LiveEndpoint,
        loss: AttemptLostError,
        *,
        has_begun: bool,
    ) -> None:
        """Count a failed answer of the endpoint's version, if it may have run.

        An unmarked or unconfirmed end is not counted, since the answer may be complete,
        nor a loss of the link.
        """
        uncounted = (*UNSURE_ENDS, LossKind.LINK)
        if loss.kind in UNRUN_KINDS or loss.kind in uncounted:
            return
        self._fleet.versions.record_answer(
            live.endpoint,
            route=generation.request.route,
            answers=int(not has_begun),
            failures=1,
        )
