"""Carries one generation from endpoint to endpoint until its answer is whole."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from typing import Protocol

import attrs

from passtally.clock import Clock
from passtally.decision import log_decision
from passtally.engine import AttemptLostError, Engine, TokenStream
from passtally.fleet import Fleet, LiveEndpoint, StreamGuard
from passtally.generation import (
    Attempt,
    Delivery,
    Generation,
    SeamError,
    TokenEvent,
)
from passtally.metrics import Metric, Metrics, NoMetrics
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.retry import (
    LossKind,
    NextStep,
    Quarantine,
    RetryDecision,
    RetryLimits,
    decide_after_loss,
    is_death,
    is_gone,
)
from passtally.retry_budget import RetryBudgets
from passtally.routing import Choose, RouteQuery, choose_endpoint

#: How long an answer that has begun waits for an endpoint to go on with.
RESUME_PATIENCE = timedelta(seconds=4)
RESUME_POLL = timedelta(milliseconds=50)
#: How long a stream is left with its engine for a caller to reconnect.
LINGER = timedelta(seconds=2)
RETRY_AFTER = timedelta(seconds=1)
PREFIX_CHARACTERS = 256
#: An estimate is enough for a budget.
CHARACTERS_A_TOKEN = 4
#: Engines take lower numbers first; new requests have 10 or more.
RESUME_PRIORITY = 0


Recovery = Callable[[], Awaitable[Sequence[int] | None]]


class Sink(Protocol):
    """Where an answer goes."""

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Learn of a new attempt before its first output."""

    async def write(self, deliveries: list[Delivery]) -> None:
        """Take new output; returns when more may come.

        Raises:
            ConnectionError: The caller left.
        """


@attrs.define(kw_only=True)
class _Progress:
    """What the losses of one generation on this host add up to."""

    deaths: int = 0
    excluded: set[str] = attrs.field(factory=set)
    reached: bool = False
    waiting_since: timedelta
    last_error: AttemptLostError | None = None


class Dispatcher:
    """Runs generations over the endpoints of a fleet.

    Args:
        fleet: The endpoints.
        clock: The clock.
        failure_domain: This host's own.
        limits: Where resuming ends.
        budgets: How many repeats are left.
        linger: How long a left stream stays with its engine.
        choose: The routing policy.
        metrics: Where metrics go.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        failure_domain: str,
        limits: RetryLimits,
        budgets: RetryBudgets,
        linger: timedelta = LINGER,
        choose: Choose = choose_endpoint,
        metrics: Metrics | None = None,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._failure_domain = failure_domain
        self._limits = limits
        self._budgets = budgets
        self._linger = linger
        self._choose = choose
        self._metrics = metrics or NoMetrics()
        self._quarantine = Quarantine(limits=limits)
        self._background: set[asyncio.Task[None]] = set()

    async def run(
        self,
        generation: Generation,
        sink: Sink,
        *,
        held_by: str = "",
        recover: Recovery | None = None,
    ) -> None:
        """Run a generation to its end.

        Args:
            generation: What to run.
            sink: Where its output goes.
            held_by: The endpoint that may still hold its stream, if any.
            recover: Fetches the tokens that its caller already has, for an answer
                taken up here whose engine turns out to be gone too.

        Raises:
            RefusedError: It could not be run, or not to its end.
            ConnectionError: The caller left.
        """
        progress = _Progress(
            reached=bool(held_by), waiting_since=self._clock.monotonic()
        )
        step = NextStep.ATTACH if held_by else NextStep.RESUME
        endpoint_id = held_by
        self._refuse_quarantined(generation)
        self._metrics.count(Metric.REQUESTS)
        self._budgets.earn(generation.request.workspace)
        while True:
            if step is NextStep.RESUME:
                await _recover_tokens(generation, recover)
                endpoint_id = await self._place(generation, progress)
            live = self._fleet.find(endpoint_id)
            if live is None:
                step = NextStep.RESUME
                continue
            attempt = generation.start_attempt(
                endpoint_id, attach=step is NextStep.ATTACH
            )
            try:
                await self._run_attempt(generation, attempt, live, sink, step, progress)
                return
            except AttemptLostError as loss:
                decision = self._take_loss(generation, attempt, live, loss, progress)
                step = decision.step
            if step is NextStep.GIVE_UP:
                raise self._give_up(generation, progress, decision.reason)

    async def _run_attempt(
        self,
        generation: Generation,
        attempt: Attempt,
        live: LiveEndpoint,
        sink: Sink,
        step: NextStep,
        progress: _Progress,
    ) -> None:
        sink.switch(generation, attempt)
        self._metrics.count(Metric.ATTEMPTS)
        live.own_streams += 1
        reading = 0 if step is NextStep.ATTACH else _count_resume_tokens(generation)
        live.resume_tokens += reading
        try:
            await self._relay(generation, attempt, live, sink, step, reading, progress)
            live.readmit()
        except AttemptLostError as loss:
            unrun = (LossKind.REFUSED, LossKind.UNREACHABLE)
            progress.reached = progress.reached or loss.kind not in unrun
            raise
        except (ConnectionError, asyncio.CancelledError):
            generation.abandon()
            self._cancel(live, generation, attempt, after=self._linger)
            raise
        finally:
            live.own_streams -= 1

    async def _relay(
        self,
        generation: Generation,
        attempt: Attempt,
        live: LiveEndpoint,
        sink: Sink,
        step: NextStep,
        reading: int,
        progress: _Progress,
    ) -> None:
        """Pass on what one attempt sends, under the watch for silence."""
        loop = asyncio.get_running_loop()
        guard = StreamGuard(quiet_since=self._clock.monotonic())
        stream: TokenStream | None = None
        try:
            async with asyncio.timeout(None) as scope:
                guard.trip = lambda: scope.reschedule(loop.time())
                live.guards.add(guard)
                stream = await _open_stream(live.engine, generation, attempt, step)
                if stream.report is not None:
                    live.take_report(stream.report)
                while events := await stream.read():
                    guard.reads += 1
                    if guard.reads == 1:
                        live.resume_tokens -= reading
                        reading = 0
                        self._time_first(generation, progress)
                    guard.is_waiting = False
                    await _deliver(generation, attempt, events, sink)
                    guard.is_waiting = True
        except TimeoutError as error:
            raise AttemptLostError(
                guard.tripped or LossKind.FROZEN,
                step="stream",
                peer=live.endpoint.id,
                detail="silence",
            ) from error
        except SeamError as error:
            raise AttemptLostError(
                LossKind.SEAM, step="join", peer=live.endpoint.id, detail=str(error)
            ) from error
        finally:
            live.guards.discard(guard)
            live.resume_tokens -= reading
            if stream is not None:
                stream.close()

    async def _place(self, generation: Generation, progress: _Progress) -> str:
        """Choose an endpoint; an answer that has begun waits for one a while."""
        if generation.position < generation.delivered:
            raise self._give_up(generation, progress, "its tokens are not held here")
        request = generation.request
        deadline = self._clock.monotonic() + RESUME_PATIENCE
        while True:
            decision = self._choose(
                RouteQuery(
                    affinity=request.prompt[:PREFIX_CHARACTERS].encode(),
                    failure_domain=request.failure_domain or self._failure_domain,
                    exclude=progress.excluded,
                    resume_tokens=_count_resume_tokens(generation),
                ),
                self._fleet.views(request.service),
                now=self._clock.monotonic(),
            )
            if decision.endpoint_id is not None:
                self._log_route(generation, decision.endpoint_id, decision)
                return decision.endpoint_id
            waited_out = self._clock.monotonic() >= deadline
            if waited_out or not generation.delivered:
                self._log_route(generation, None, decision)
                raise self._give_up(generation, progress, decision.reason)
            progress.excluded.clear()
            await self._clock.sleep(RESUME_POLL)

    def _log_route(self, generation, choice, decision) -> None:
        log_decision(
            "route",
            request=generation.request.id,
            choice=choice,
            reason=decision.reason,
            candidates=decision.candidates,
            position=generation.position,
        )

    def _take_loss(
        self,
        generation: Generation,
        attempt: Attempt,
        live: LiveEndpoint,
        loss: AttemptLostError,
        progress: _Progress,
    ) -> RetryDecision:
        generation.lose_attempt(attempt)
        progress.last_error = loss
        progress.waiting_since = self._clock.monotonic()
        self._metrics.count(Metric.LOST, loss.kind)
        was_attached = loss.step == "attach"
        if is_gone(loss.kind, was_attached=was_attached):
            live.eject(self._clock.monotonic())
        if is_death(loss.kind, was_attached=was_attached):
            progress.deaths += 1
        if was_attached or loss.kind is not LossKind.RESET:
            progress.excluded.add(live.endpoint.id)
        if loss.kind in (LossKind.FROZEN, LossKind.SEAM):
            self._cancel(live, generation, attempt)
        decision = decide_after_loss(
            loss.kind,
            attempts=generation.attempt_count,
            deaths=progress.deaths,
            was_attached=was_attached,
            limits=self._limits,
        )
        if decision.step is NextStep.RESUME and not self._may_repeat(generation):
            decision = RetryDecision(
                step=NextStep.GIVE_UP, reason="the retry budget is spent"
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
        )
        return decision

    def _time_first(self, generation: Generation, progress: _Progress) -> None:
        """Record how long the caller waited for an attempt's first output."""
        metric = Metric.RESUME if generation.delivered else Metric.FIRST_TOKEN
        waited = self._clock.monotonic() - progress.waiting_since
        self._metrics.time(metric, waited)

    def _may_repeat(self, generation: Generation) -> bool:
        """Take a repeat from the budget.

        Going on with an answer that has begun is bounded by the resume budget
        of each endpoint instead.
        """
        if generation.delivered:
            return True
        return self._budgets.try_spend(generation.request.workspace)

    def _give_up(
        self, generation: Generation, progress: _Progress, reason: str
    ) -> RefusedError:
        generation.refuse()
        request = generation.request
        if progress.deaths >= self._limits.max_deaths:
            now = self._clock.monotonic()
            self._quarantine.add(request.workspace, request.prompt, now=now)
        begun = generation.delivered > 0
        ran = progress.reached or begun
        return refuse(
            Code.RESUME_IMPOSSIBLE if begun else Code.NO_ENDPOINT,
            f"No endpoint can take this request: {reason}.",
            status=503,
            step="resume" if begun else "route",
            peer=progress.last_error.peer if progress.last_error else request.service,
            outcome=Outcome.UNKNOWN if ran else Outcome.NOT_RUN,
            retry_after=RETRY_AFTER,
            position=generation.delivered if begun else None,
        )

    def _refuse_quarantined(self, generation: Generation) -> None:
        request = generation.request
        remaining = self._quarantine.remaining(
            request.workspace, request.prompt, now=self._clock.monotonic()
        )
        if remaining is None:
            return
        generation.refuse()
        raise refuse(
            Code.REQUEST_QUARANTINED,
            "This prompt took down several endpoints and is refused for now.",
            status=422,
            step="admit",
            peer=request.service,
            retry_after=remaining,
        )

    def _cancel(
        self,
        live: LiveEndpoint,
        generation: Generation,
        attempt: Attempt,
        *,
        after: timedelta = timedelta(0),
    ) -> None:
        """Cancel an attempt in the background. A newer attempt is not touched."""

        async def cancel() -> None:
            await self._clock.sleep(after)
            await live.engine.cancel(generation.request.id, attempt.number)

        task = asyncio.create_task(cancel())
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def _open_stream(
    engine: Engine, generation: Generation, attempt: Attempt, step: NextStep
) -> TokenStream:
    request = generation.request
    if generation.delivered:
        request = attrs.evolve(request, priority=RESUME_PRIORITY)
    if step is NextStep.ATTACH:
        return await engine.attach(request, attempt, position=generation.position)
    return await engine.generate(request, attempt, generation.token_ids)


def _count_resume_tokens(generation: Generation) -> int:
    """Return the tokens to read before an answer that has begun goes on."""
    if not generation.delivered:
        return 0
    return generation.position + len(generation.request.prompt) // CHARACTERS_A_TOKEN


async def _recover_tokens(generation: Generation, recover: Recovery | None) -> None:
    if recover is None or generation.position >= generation.delivered:
        return
    token_ids = await recover()
    if token_ids is not None:
        generation.restore(token_ids)


async def _deliver(
    generation: Generation, attempt: Attempt, events: list[TokenEvent], sink: Sink
) -> None:
    """Join events on and write what is new, also what came before a bad seam."""
    deliveries: list[Delivery] = []
    try:
        for event in events:
            delivery = generation.accept(attempt, event)
            if delivery is not None:
                deliveries.append(delivery)
    finally:
        if deliveries:
            await sink.write(deliveries)
