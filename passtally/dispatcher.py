"""Runs a generation, failing over between endpoints until its answer is complete."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from functools import partial

import attrs

from passtally.answer_recorder import AnswerRecorder
from passtally.clock import Clock
from passtally.crash_guard import CrashGuard, quarantine_error
from passtally.decision import log_decision
from passtally.dispatch_progress import Progress
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.generation import (
    Attempt,
    Generation,
    GenerationRequest,
    ResumeMismatchError,
)
from passtally.live_endpoint import LiveEndpoint
from passtally.loss_inspection import inspect_loss
from passtally.metrics import Metric, Metrics, NoMetrics
from passtally.origin import Origin
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.placement import NoEndpointError, NoVersionLeftError, Placement
from passtally.quarantine import Quarantine
from passtally.relay import Relay, Sink
from passtally.replica import ReplicaKeeper
from passtally.retry import (
    CLOSED_KINDS,
    CONNECTION_KINDS,
    UNRUN_KINDS,
    Holder,
    LossKind,
    NextStep,
    RetryDecision,
    RetryLimits,
    decide_after_loss,
    is_endpoint_dead,
    is_endpoint_unreachable,
)
from passtally.retry_budget import Budgets, acquire_retry, wait_for_retry
from passtally.suspect import Evidence

#: Delay before the stream of a caller that left is cancelled at its engine, so that
#: the caller can reconnect.
LINGER = timedelta(seconds=2)
RETRY_AFTER = timedelta(seconds=1)
RESET = LossKind.RESET
#: Step of a loss when an attempt could not attach to its stream.
ATTACH_STEP = "attach"
#: Time without output after which an answer without a deadline gives up if no endpoint
#: can be reached. Endpoints are usually replaced within some seconds.
MAX_UNREACHED_TIME = timedelta(seconds=15)
CRASHED_TOO_MANY = "it crashed too many endpoints"
#: A caller is expected to give up a silent stream after the longest of this time,
#: ``GIVE_UP_TARGET_FACTOR`` times its target for the first output, and
#: ``GIVE_UP_GAP_FACTOR`` times the maximum gap that it allows between outputs.
MIN_GIVE_UP = timedelta(seconds=2)
GIVE_UP_TARGET_FACTOR = 4
GIVE_UP_GAP_FACTOR = 8


Recovery = Callable[[], Awaitable[Sequence[int] | None]]


class Dispatcher:
    """Runs generations over the endpoints of a fleet.

    Args:
        fleet: The endpoints.
        clock: The clock.
        placement: Chooses endpoints; its forecast is updated from the answers.
        limits: The limits on attempts.
        budgets: The retry budgets.
        linger: Delay before the stream of a caller that left is cancelled.
        metrics: Records metrics.
        guard: Refuses requests that crash their endpoints; None for a new guard with
            its own quarantine.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        placement: Placement,
        limits: RetryLimits,
        budgets: Budgets,
        linger: timedelta = LINGER,
        metrics: Metrics | None = None,
        guard: CrashGuard | None = None,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._placement = placement
        self._limits = limits
        self._budgets = budgets
        self._linger = linger
        self._metrics = metrics or NoMetrics()
        self._forecast = placement.forecast
        self._guard = guard or CrashGuard(quarantine=Quarantine(), clock=clock)
        self._recorder = AnswerRecorder(
            fleet=fleet,
            clock=clock,
            forecast=placement.forecast,
            metrics=self._metrics,
            guard=self._guard,
        )
        self._background: set[asyncio.Task[None]] = set()

    async def run(
        self,
        generation: Generation,
        sink: Sink,
        *,
        stream_endpoint_id: str = "",
        recover: Recovery | None = None,
    ) -> None:
        """Run a generation until its answer is complete.

        Args:
            generation: The generation to run.
            sink: Receives the output.
            stream_endpoint_id: The endpoint that may still have the generation's
                stream, if any.
            recover: Fetches the tokens that the caller already has. Needed for an
                answer that began on another host and whose engine is lost too.

        Raises:
            RefusedError: The generation could not be run or could not be completed.
            ConnectionError: The caller left.
        """
        now = self._clock.monotonic()
        progress = Progress(
            may_have_run=bool(stream_endpoint_id), waiting_since=now, last_output_at=now
        )
        step = NextStep.ATTACH if stream_endpoint_id else NextStep.RESUME
        endpoint_id = stream_endpoint_id
        resume_ref = ""
        await self._refuse_quarantined(generation)
        self._metrics.count(Metric.REQUESTS)
        self._budgets.earn(
            generation.request.workspace, service=generation.request.service
        )
        while True:
            if step is NextStep.RESUME:
                await self._recover_tokens(generation, recover, progress)
                endpoint_id = await self._place(generation, progress)
            if await self._guard.is_quarantined(generation.request.fingerprint):
                raise self._give_up(generation, progress, CRASHED_TOO_MANY)
            live = self._fleet.find(endpoint_id)
            if (
                live is None
                or not self._may_continue(generation, live)
                or not self._fleet.try_send(live)
            ):
                # The endpoint was removed, runs another software version, or rejects
                # requests now by its limit or back-off. Resume at another, even if this
                # one has the stream's state.
                step, resume_ref = NextStep.RESUME, ""
                continue
            attempt = generation.start_attempt(
                endpoint_id,
                attach=step is NextStep.ATTACH,
                replica_id=self._placement.place_replica(
                    generation, endpoint_id, progress.excluded
                ),
                resume_ref=resume_ref,
                is_separated=step is NextStep.RESUME
                and self._guard.is_suspect(generation.request.fingerprint),
                origin=Origin.of(live.endpoint),
            )
            try:
                await self._run_attempt(
                    generation,
                    attempt,
                    live,
                    sink,
                    progress,
                    attach=step is NextStep.ATTACH,
                )
                self._recorder.record_completion(generation, progress, live)
                return
            except AttemptLostError as loss:
                if await self._is_complete(generation, live, loss, progress):
                    await sink.write([generation.end(attempt)])
                    self._recorder.record_completion(generation, progress, live)
                    return
                decision = await self._handle_loss(
                    generation, attempt, live, loss, progress
                )
                step = decision.step
                endpoint_id = attempt.replica_id or endpoint_id
                resume_ref = attempt.replica_ref
            if step is NextStep.GIVE_UP:
                raise self._give_up(generation, progress, decision.reason)

    def _may_continue(self, generation: Generation, live: LiveEndpoint) -> bool:
        """Return whether a generation may go on at an endpoint, by its version."""
        origin = generation.origin
        if origin is None or self._fleet.may_continue(origin, live.endpoint):
            return True
        log_decision(
            "retry",
            request=generation.request.id,
            choice=NextStep.RESUME,
            reason="another software version began the answer",
            peer=live.endpoint.id,
            software=live.endpoint.software,
            began_at=self._fleet.origin_rule.software_of(origin),
        )
        return False

    async def _run_attempt(
        self,
        generation: Generation,
        attempt: Attempt,
        live: LiveEndpoint,
        sink: Sink,
        progress: Progress,
        *,
        attach: bool,
    ) -> None:
        self._metrics.count(Metric.ATTEMPTS)
        relay = Relay(
            generation=generation,
            attempt=attempt,
            live=live,
            sink=sink,
            clock=self._clock,
            replica=self._fleet.find(attempt.replica_id),
            load_changed=self._fleet.load_changed.set,
            on_first=lambda: self._recorder.record_first_output(
                generation, progress, live
            ),
            first_output_limit=partial(
                self._forecast.first_output_limit, generation.request.service
            ),
            may_fail_over=partial(
                self._may_fail_over, generation, attempt, live, progress
            ),
        )
        keeper = ReplicaKeeper(
            generation=generation,
            attempt=attempt,
            live=live,
            fleet=self._fleet,
            clock=self._clock,
            place=lambda: self._placement.place_replica(
                generation, live.endpoint.id, progress.excluded
            ),
        )
        try:
            async with keeper:
                await relay.run(attach=attach)
        except AttemptLostError as loss:
            progress.may_have_run = (
                progress.may_have_run or loss.kind not in UNRUN_KINDS
            )
            progress.last_output_at = relay.last_output_at or progress.last_output_at
            if loss.step != ATTACH_STEP:
                await inspect_loss(loss, live, guard=self._guard)
            self._recorder.record_failure(
                generation, live, loss, has_begun=relay.has_begun
            )
            raise
        except (ConnectionError, asyncio.CancelledError):
            generation.abandon()
            self._cancel(live, generation, attempt, after=self._linger)
            self._release_retry(generation, progress)
            raise
        self._release_retry(generation, progress)

    async def _recover_tokens(
        self, generation: Generation, recover: Recovery | None, progress: Progress
    ) -> None:
        """Fetch the tokens that the caller has if this host lacks them."""
        if recover is None or generation.position >= generation.delivered:
            return
        token_ids = await recover()
        if token_ids is None:
            return
        try:
            generation.restore(token_ids)
        except ResumeMismatchError as error:
            raise self._give_up(generation, progress, str(error)) from error

    async def _place(self, generation: Generation, progress: Progress) -> str:
        """Return the id of the endpoint for the next attempt.

        Raises:
            RefusedError: This host lacks tokens that the caller has, or no endpoint
                can be chosen.
        """
        if generation.position < generation.delivered:
            raise self._give_up(
                generation, progress, "its delivered tokens are not on this host"
            )
        try:
            return await self._placement.place(generation, progress.excluded)
        except NoEndpointError as error:
            if isinstance(error, NoVersionLeftError):
                service = generation.request.service
                self._metrics.count(Metric.VERSION_REFUSED, service)
            raise self._give_up(generation, progress, str(error)) from error

    async def _is_complete(
        self,
        generation: Generation,
        live: LiveEndpoint,
        loss: AttemptLostError,
        progress: Progress,
    ) -> bool:
        """Return whether an attempt without a mark of its end completed the answer.

        Such an end counts once a further attempt that resumes behind it ends at the
        same position. A request with a single attempt can't be checked in this way:
        its caller gets the answer without a mark of its end either. An endpoint that
        has exited did not complete anything: a killed process closes its connections
        in order.
        """
        if loss.kind is not LossKind.UNMARKED_END or loss.has_ended:
            return False
        is_confirmed = progress.unmarked_end == generation.position
        progress.unmarked_end = generation.position
        is_complete = is_confirmed or not generation.request.may_resume
        if is_complete:
            log_decision(
                "retry",
                request=generation.request.id,
                choice="complete",
                reason="a second attempt ended there"
                if is_confirmed
                else "one attempt",
                peer=loss.peer,
                position=generation.position,
            )
        return is_complete

    async def _handle_loss(
        self,
        generation: Generation,
        attempt: Attempt,
        live: LiveEndpoint,
        loss: AttemptLostError,
        progress: Progress,
    ) -> RetryDecision:
        generation.lose_attempt(attempt)
        progress.last_error = loss
        progress.waiting_since = self._clock.monotonic()
        self._metrics.count(Metric.LOST, loss.kind)
        was_attached = loss.step == ATTACH_STEP
        is_unreachable = is_endpoint_unreachable(loss.kind, was_attached=was_attached)
        live.has_exited = live.has_exited or loss.has_ended
        if is_unreachable:
            live.eject(self._clock.monotonic())
        elif loss.has_ended and self._fleet.is_serving(live):
            self._record_end(generation, attempt, live)
        if is_unreachable or loss.kind is RESET:
            self._fleet.record_loss(live, is_endpoint_unreachable=is_unreachable)
        if loss.kind is LossKind.REPLACED:
            self._fleet.record_replaced(live, loss.successor)
        if live.engine.keeps_streams and is_endpoint_dead(
            loss.kind, was_attached=was_attached
        ):
            self._guard.record_crash(
                generation.request.fingerprint,
                live,
                evidence=_evidence_of(generation, live),
            )
        holder = _find_holder(generation, attempt, live)
        may_attach = holder is Holder.ENDPOINT and loss.kind in CONNECTION_KINDS
        if was_attached or not may_attach:
            progress.excluded.add(live.endpoint.id)
        if loss.kind in (LossKind.FROZEN, LossKind.RESUME_MISMATCH):
            self._cancel(live, generation, attempt)
        is_unreached = loss.kind is LossKind.UNREACHABLE
        progress.unreached_attempts += is_unreached
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
            is_unreached or await self._acquire_retry(generation, progress, loss.kind)
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

    def _is_out_of_reach(self, generation: Generation, progress: Progress) -> bool:
        """Return whether an answer without a deadline has waited too long.

        Attempts that reach no endpoint don't count, so nothing else would end it.
        """
        silence = self._clock.monotonic() - progress.last_output_at
        return generation.request.deadline is None and silence > MAX_UNREACHED_TIME

    def _record_end(
        self, generation: Generation, attempt: Attempt, live: LiveEndpoint
    ) -> None:
        """Record the crash of an endpoint that closed the connection of an attempt."""
        self._fleet.record_end(live)
        self._guard.record_end(
            generation.request.fingerprint,
            live,
            began_at=attempt.begun_at,
            is_separated=attempt.is_separated,
        )

    def _release_retry(self, generation: Generation, progress: Progress) -> None:
        """Release a retry that was acquired in advance and is not needed.

        The silent endpoint has sent output after all, or the caller left.
        """
        if progress.has_retry:
            progress.has_retry = False
            self._budgets.release(service=generation.request.service)

    async def _may_fail_over(
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
            holder=_find_holder(generation, attempt, live),
        )
        excluded = set(progress.excluded)
        if kind is LossKind.FROZEN or not generation.delivered:
            excluded.add(live.endpoint.id)
        may_fail_over = decision.step is NextStep.ATTACH or (
            decision.step is NextStep.RESUME
            and self._placement.can_place(generation, excluded)
        )
        if may_fail_over and not progress.has_retry:
            may_fail_over = progress.has_retry = await self._may_retry(generation)
        if not may_fail_over and kind is LossKind.FROZEN and not live.is_ejected:
            live.eject(self._clock.monotonic())
        return may_fail_over

    async def _acquire_retry(
        self, generation: Generation, progress: Progress, kind: LossKind
    ) -> bool:
        """Acquire the retry for a loss, and return whether there is one.

        An answer that has begun waits while the budget is exhausted: each new request
        earns a fraction of a retry, on this host and on the hosts that lend retries.
        """
        if progress.has_retry:
            progress.has_retry = False
            return True
        until = progress.last_output_at
        if generation.delivered and generation.request.deadline is not None:
            until += _max_retry_wait(generation.request, kind)
        acquire = partial(self._may_retry, generation)
        return await wait_for_retry(acquire, clock=self._clock, until=until)

    async def _may_retry(self, generation: Generation) -> bool:
        """Acquire a retry or resume from the local budget or those of other hosts."""
        request = generation.request
        return await acquire_retry(
            self._budgets,
            request.workspace,
            service=request.service,
            is_resume=generation.delivered > 0,
        )

    def _give_up(
        self, generation: Generation, progress: Progress, reason: str
    ) -> RefusedError:
        generation.refuse()
        request = generation.request
        quarantine_remaining = self._guard.remaining(request.fingerprint)
        if quarantine_remaining is not None and not progress.may_have_run:
            return quarantine_error(request.service, quarantine_remaining)
        begun = generation.delivered > 0
        ran = progress.may_have_run or begun
        return refuse(
            Code.RESUME_IMPOSSIBLE if begun else Code.NO_ENDPOINT,
            f"No endpoint can take this request: {reason}.",
            status=502 if progress.may_have_run else 503,
            step="resume" if begun else "route",
            peer=progress.last_error.peer if progress.last_error else request.service,
            outcome=Outcome.UNKNOWN if ran else Outcome.NOT_RUN,
            retry_after=quarantine_remaining
            or self._fleet.time_until_capacity(request.service)
            or RETRY_AFTER,
            position=generation.delivered if begun else None,
        )

    async def _refuse_quarantined(self, generation: Generation) -> None:
        request = generation.request
        try:
            await self._guard.check_settled(
                request.fingerprint, service=request.service
            )
        except RefusedError:
            generation.refuse()
            raise

    def _cancel(
        self,
        live: LiveEndpoint,
        generation: Generation,
        attempt: Attempt,
        *,
        after: timedelta = timedelta(0),
    ) -> None:
        """Cancel an attempt in the background, but no newer attempt."""

        async def cancel() -> None:
            await self._clock.sleep(after)
            await live.engine.cancel(generation.request.id, attempt.number)

        task = asyncio.create_task(cancel())
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _find_holder(
    generation: Generation, attempt: Attempt, live: LiveEndpoint
) -> Holder:
    """Return what may still have the state of a lost attempt.

    A replica is used only once the answer has begun: before that it may not contain
    the complete prompt.
    """
    if attempt.replica_id and generation.delivered:
        return Holder.REPLICA
    return Holder.ENDPOINT if live.engine.keeps_streams else Holder.NONE


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


def _max_retry_wait(request: GenerationRequest, kind: LossKind) -> timedelta:
    """Return how long after its last output an answer may wait for a retry.

    An answer whose connection was closed waits only for the maximum gap that its
    caller allows: after that the caller should learn of the failure at once and resume
    at another host. An answer that this host took from a silent endpoint waits until
    its caller is expected to give up.
    """
    max_gap = request.max_gap or timedelta(0)
    if kind in CLOSED_KINDS:
        return max_gap
    target = request.target or timedelta(0)
    return max(
        MIN_GIVE_UP, GIVE_UP_TARGET_FACTOR * target, GIVE_UP_GAP_FACTOR * max_gap
    )
