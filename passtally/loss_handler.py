"""Records the loss of an attempt, and decides how its generation continues."""

from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.crash_guard import CrashGuard
from passtally.decision import log_decision
from passtally.dispatch_progress import Progress
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.generation import Attempt, Generation
from passtally.generation_retries import GenerationRetries
from passtally.live_endpoint import LiveEndpoint
from passtally.metrics import Metric, Metrics
from passtally.placement import Placement
from passtally.retry import (
    CONNECTION_KINDS,
    Holder,
    LossKind,
    NextStep,
    RetryDecision,
    RetryLimits,
    decide_after_loss,
    is_endpoint_dead,
    is_endpoint_unreachable,
)
from passtally.suspect import Evidence

#: Step of a loss when an attempt could not attach to its stream.
ATTACH_STEP = "attach"
#: Time without output after which an answer without a deadline gives up if no endpoint
#: can be reached. Endpoints are usually replaced within some seconds.
MAX_UNREACHED_TIME = timedelta(seconds=15)
#: Time after which a replica may contain a part of a prompt. Before, the prompt still
#: waits at its endpoint, or its first part is being read.
REPLICA_START_TIME = timedelta(seconds=2.5)
CRASHED_TOO_MANY = "it crashed too many endpoints"


class LossHandler:
    """Handles the lost attempts of generations.

    Args:
        fleet: The endpoints.
        clock: The clock.
        placement: Chooses endpoints.
        limits: The limits on attempts.
        retries: The retries of generations.
        guard: Records the crashes of endpoints.
        metrics: Records metrics.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        placement: Placement,
        limits: RetryLimits,
        retries: GenerationRetries,
        guard: CrashGuard,
        metrics: Metrics,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._placement = placement
        self._limits = limits
        self._retries = retries
        self._guard = guard
        self._metrics = metrics

    async def handle(
        self,
        generation: Generation,
        attempt: Attempt,
        live: LiveEndpoint,
        loss: AttemptLostError,
        progress: Progress,
    ) -> RetryDecision:
        """Record the loss of an attempt, and decide how its generation continues."""
        generation.lose_attempt(attempt)
        progress.last_error = loss
        progress.prompt.record_loss(generation, attempt, loss)
        progress.waiting_since = self._clock.monotonic()
        self._metrics.count(Metric.LOST, loss.kind)
        was_attached = loss.step == ATTACH_STEP
        is_unreachable = is_endpoint_unreachable(loss.kind, was_attached=was_attached)
        if loss.has_ended:
            self._fleet.losses.record_exit(live)
        if is_unreachable:
            live.eject(self._clock.monotonic())
        elif loss.has_ended and self._fleet.losses.is_serving(live):
            self._record_end(generation, attempt, live)
        if is_unreachable or loss.kind is LossKind.RESET:
            self._fleet.losses.record(live, is_endpoint_unreachable=is_unreachable)
        if loss.kind is LossKind.REPLACED:
            self._fleet.losses.record_replaced(live, loss.successor)
        if live.engine.keeps_streams and is_endpoint_dead(
            loss.kind, was_attached=was_attached
        ):
            self._guard.record_crash(
                generation.request.fingerprint,
                live,
                evidence=_evidence_of(generation, live),
            )
        # A suspect goes to an endpoint apart from other requests instead.
        is_suspect = self._guard.is_suspect(generation.request.fingerprint)
        lost_at = None if is_suspect else self._clock.monotonic()
        holder = self._find_holder(generation, attempt, live, lost_at=lost_at)
        may_attach = holder is Holder.ENDPOINT and loss.kind in CONNECTION_KINDS
        if was_attached or not may_attach:
            progress.excluded.add(live.endpoint.id)
        is_unreached = loss.kind is LossKind.UNREACHABLE
        progress.unreached_attempts += is_unreached
        if not is_unreached:
            progress.unreached_since = None
        decision = decide_after_loss(
            loss.kind,
            attempts=generation.attempt_count - progress.unreached_attempts,
            was_attached=was_attached,
            limits=_limits_of(generation, self._limits),
            holder=holder,
        )
        if await self._guard.is_quarantined(generation.request.fingerprint):
            decision = RetryDecision(step=NextStep.GIVE_UP, reason=CRASHED_TOO_MANY)
        if is_unreached and self._is_out_of_reach(generation, progress):
            decision = RetryDecision(
                step=NextStep.GIVE_UP, reason="no endpoint can be reached"
            )
        if decision.step is not NextStep.GIVE_UP and not (
            is_unreached or await self._retries.acquire(generation, progress, loss.kind)
        ):
            decision = RetryDecision(
                step=NextStep.GIVE_UP, reason="the retry budget is exhausted"
            )
        log_decision(
            "retry",
            request=generation.request.id,
            choice=decision.step,
            reason=decision.reason,
            peer=loss.peer,
            loss=loss.kind,
            detail=loss.detail,
            attempt=attempt.number,
            position=generation.position,
            fingerprint=generation.request.fingerprint.hex(),
            has_begun=attempt.begun_at is not None,
        )
        return decision

    async def may_fail_over(
        self,
        generation: Generation,
        attempt: Attempt,
        live: LiveEndpoint,
        progress: Progress,
        kind: LossKind,
    ) -> bool:
        """Return whether an answer may fail over from a silent endpoint.

        The retry is acquired here, before the attempt is aborted: if the budget turned
        out to be exhausted afterwards, an answer would be lost whose output may still
        arrive. A request without a deadline always fails over, since nothing states
        how long its caller waits.
        """
        if generation.request.deadline is None:
            return True
        decision = decide_after_loss(
            kind,
            attempts=generation.attempt_count - progress.unreached_attempts,
            was_attached=False,
            limits=_limits_of(generation, self._limits),
            holder=self._find_holder(generation, attempt, live, lost_at=None),
        )
        excluded = set(progress.excluded)
        if kind is LossKind.FROZEN or not generation.delivered:
            excluded.add(live.endpoint.id)
        may_fail_over = decision.step is NextStep.ATTACH or (
            decision.step is NextStep.RESUME
            and self._placement.can_place(generation, excluded)
        )
        if may_fail_over:
            may_fail_over = await self._retries.acquire_ahead(generation, progress)
        if not may_fail_over and kind is LossKind.FROZEN and not live.is_ejected:
            live.eject(self._clock.monotonic())
        return may_fail_over

    def _find_holder(
        self,
        generation: Generation,
        attempt: Attempt,
        live: LiveEndpoint,
        *,
        lost_at: timedelta | None,
    ) -> Holder:
        """Return what may still have the state of a lost attempt.

        Before the answer has begun, a replica contains a part of the prompt, if any:
        the endpoint that keeps it prefills the rest. An endpoint that is leaving gets
        no further request, not even one whose replica it keeps.

        Args:
            generation: The generation.
            attempt: The attempt.
            live: The endpoint that ran it.
            lost_at: When the attempt was lost, on the monotonic clock; None to use only
                replicas of answers that have begun.
        """
        may_attach = self._fleet.takes_requests(attempt.replica_id)
        if may_attach and (generation.delivered or _may_have_replica(attempt, lost_at)):
            return Holder.REPLICA
        return Holder.ENDPOINT if live.engine.keeps_streams else Holder.NONE

    def _is_out_of_reach(self, generation: Generation, progress: Progress) -> bool:
        """Return whether an answer has waited too long for a reachable endpoint.

        Attempts that reach no endpoint don't count, so nothing else would end it before
        its deadline.
        """
        now, request = self._clock.monotonic(), generation.request
        if request.deadline is None:
            return now - progress.last_output_at > MAX_UNREACHED_TIME
        if progress.unreached_since is None or not generation.delivered:
            return False
        max_wait = self._fleet.losses.return_times.max_wait(request.service)
        return now - progress.unreached_since > max_wait

    def _record_end(
        self, generation: Generation, attempt: Attempt, live: LiveEndpoint
    ) -> None:
        """Record the crash of an endpoint that closed the connection of an attempt."""
        self._fleet.losses.record_end(live)
        self._guard.record_end(
            generation.request.fingerprint,
            live,
            began_at=attempt.begun_at,
            is_separated=attempt.is_separated,
        )


def _may_have_replica(attempt: Attempt, lost_at: timedelta | None) -> bool:
    """Return whether a part of an attempt's prompt may be in its replica."""
    if lost_at is None or attempt.sent_at is None or not attempt.replica_ref:
        return False
    return lost_at - attempt.sent_at >= REPLICA_START_TIME


def _evidence_of(generation: Generation, live: LiveEndpoint) -> Evidence:
    """Return the evidence of a crash by the attempts at the endpoint so far."""
    is_separated = any(
        attempt.is_separated and attempt.endpoint_id == live.endpoint.id
        for attempt in generation.attempts
    )
    return Evidence.STRONG if is_separated else Evidence.FAIR


def _limits_of(generation: Generation, limits: RetryLimits) -> RetryLimits:
    """Return the limits for one generation, whose request may set its own."""
    own = generation.request.max_attempts
    return limits if own is None else attrs.evolve(limits, max_attempts=own)
