"""Runs a generation, failing over between endpoints until its answer is complete."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from functools import partial

from passtally.answer_recorder import AnswerRecorder
from passtally.cancellations import Cancellations
from passtally.clock import Clock
from passtally.crash_guard import CrashGuard, quarantine_error
from passtally.decision import log_decision
from passtally.dispatch_progress import Progress
from passtally.endpoint_check import EndpointCheck
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.generation import (
    Attempt,
    Generation,
    ResumeMismatchError,
)
from passtally.generation_retries import GenerationRetries
from passtally.live_endpoint import LiveEndpoint
from passtally.loss_handler import ATTACH_STEP, CRASHED_TOO_MANY, LossHandler
from passtally.loss_inspection import inspect_loss
from passtally.metrics import Metric, Metrics, NoMetrics
from passtally.origin import Origin
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.placement import (
    NoEndpointError,
    NoVersionLeftError,
    Placed,
    Placement,
)
from passtally.quarantine import Quarantine
from passtally.relay import Relay, Sink
from passtally.replica import ReplicaKeeper
from passtally.retry import (
    UNRUN_KINDS,
    UNSURE_ENDS,
    LossKind,
    NextStep,
    RetryLimits,
)
from passtally.retry_budget import Budgets

#: Delay before the stream of a caller that left is cancelled at its engine, so that
#: the caller can reconnect.
LINGER = timedelta(seconds=2)
RETRY_AFTER = timedelta(seconds=1)
#: Losses after which the attempt may still run at its endpoint.
ABORTED_KINDS = frozenset((LossKind.FROZEN, LossKind.RESUME_MISMATCH))


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
        self._endpoint_check = EndpointCheck(fleet=fleet, clock=clock)
        self._retries = GenerationRetries(budgets=budgets, clock=clock)
        self._losses = LossHandler(
            fleet=fleet,
            clock=clock,
            placement=placement,
            limits=limits,
            retries=self._retries,
            guard=self._guard,
            metrics=self._metrics,
        )
        self._cancellations = Cancellations(clock=clock)

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
                placed = await self._place(generation, progress)
                endpoint_id = placed.endpoint_id
            if await self._guard.is_quarantined(generation.request.fingerprint):
                raise self._give_up(generation, progress, CRASHED_TOO_MANY)
            live = self._fleet.find(endpoint_id)
            if (
                live is None
                or not self._may_continue(generation, live)
                or (step is NextStep.ATTACH and not self._may_attach(live))
                or not self._fleet.send_limits.try_send(live)
            ):
                # The endpoint was removed, leaves, runs another software version, or
                # rejects requests now by its limit or back-off. Resume at another, even
                # if this one has the stream's state.
                step, resume_ref = NextStep.RESUME, ""
                continue
            if step is NextStep.RESUME and not placed.caches_prompt:
                progress.prompt.record_prefill(generation, metrics=self._metrics)
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
                if loss.kind in ABORTED_KINDS:
                    self._cancellations.start(live, generation, attempt)
                decision = await self._losses.handle(
                    generation, attempt, live, loss, progress
                )
                step = decision.step
                endpoint_id = attempt.replica_id or endpoint_id
                resume_ref = attempt.replica_ref if step is NextStep.ATTACH else ""
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

    def _may_attach(self, live: LiveEndpoint) -> bool:
        """Return whether an endpoint keeps the stream itself, or takes requests."""
        return live.engine.keeps_streams or self._fleet.takes_requests(live.endpoint.id)

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
                self._losses.may_fail_over, generation, attempt, live, progress
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
            check=self._endpoint_check,
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
            self._cancellations.start(live, generation, attempt, after=self._linger)
            self._retries.release(generation, progress)
            raise
        finally:
            now = self._clock.monotonic()
            self._fleet.speeds.record_gap(live.endpoint, relay.pace, now=now)
        self._retries.release(generation, progress)

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

    async def _place(self, generation: Generation, progress: Progress) -> Placed:
        """Return the endpoint for the next attempt.

        Raises:
            RefusedError: This host lacks tokens that the caller has, or no endpoint
                can be chosen.
        """
        if generation.position < generation.delivered:
            raise self._give_up(
                generation, progress, "its delivered tokens are not on this host"
            )
        if progress.unreached_since is None:
            progress.unreached_since = self._clock.monotonic()
        try:
            return await self._placement.place(
                generation, progress.excluded, waiting_since=progress.unreached_since
            )
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
        """Return whether the answer is complete after one of ``UNSURE_ENDS``.

        Such an end counts once a further attempt that resumes after it ends at the
        same position, unless an attempt was lost inside output after it. An unmarked
        end of a request with a single attempt can't be checked in this way: its caller
        gets the answer without a mark of its end either. An endpoint that has exited
        did not complete anything: a killed process closes its connections in order.
        """
        if loss.kind not in UNSURE_ENDS or loss.has_ended or generation.has_lost_output:
            return False
        is_confirmed = progress.unsure_end == generation.position
        progress.unsure_end = generation.position
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
            or self._fleet.send_limits.time_until_capacity(request.service)
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
