"""Forwarding of calls to plain services, at most once where a call demands it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from passtally.call_errors import (
    CONNECT_STEP,
    RETRY_AFTER,
    lost_call,
    not_run_error,
    out_of_time_error,
    select_failure,
    unknown_outcome_error,
)
from passtally.call_progress import CallProgress
from passtally.call_router import CallRouter
from passtally.clock import Clock
from passtally.crash_guard import CrashGuard
from passtally.decision import log_decision
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.hedge import FAILURE_STATUS, HedgePolicy
from passtally.live_endpoint import LiveEndpoint
from passtally.loss_inspection import inspect_loss
from passtally.metrics import Metric, Metrics, NoMetrics
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.pause_aware_timeout import PauseAwareTimeout, sleep_pause_aware
from passtally.plain_call import PlainAnswer, PlainCall, Sender
from passtally.quarantine import Quarantine
from passtally.retry import BLAMELESS_KINDS, UNRUN_KINDS, LossKind
from passtally.retry_budget import Budgets, acquire_retry, wait_for_retry
from passtally.settings import Switch

CALL_TIMEOUT = timedelta(seconds=30)
#: Consecutive unanswered calls after which an endpoint is ejected. A single unanswered
#: call may just be a long one.
MAX_UNANSWERED = 3
#: Statuses that count against an endpoint when it is compared with the other endpoints
#: of its service: the endpoint or one of its dependencies failed. 503 and 504 are left
#: out, as the endpoint may be full or the time limit of the call too short.
FAULT_STATUSES = frozenset((500, 502))
#: Losses that count against an endpoint like `FAULT_STATUSES`. Unanswered calls are
#: counted separately, see `MAX_UNANSWERED`.
FAULT_KINDS = frozenset((LossKind.RESET, LossKind.RESUME_MISMATCH))


class PlainCaller:
    """Forwards calls to plain endpoints and retries them within their limits.

    Args:
        fleet: The endpoints and their state.
        clock: The clock.
        failure_domain: The failure domain of this host.
        budgets: The retry budgets.
        sender: The transport of calls to endpoints.
        guard: The quarantine of calls that crash endpoints; None for a private one.
        hedging: Decides which calls get a second copy; None for none.
        metrics: The sink of metrics.

    Attributes:
        router: Chooses the endpoints of the calls.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        failure_domain: str,
        budgets: Budgets,
        sender: Sender,
        guard: CrashGuard | None = None,
        hedging: HedgePolicy | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._budgets = budgets
        self._sender = sender
        self._guard = guard or CrashGuard(quarantine=Quarantine(), clock=clock)
        self.router = CallRouter(
            fleet=fleet, clock=clock, failure_domain=failure_domain, guard=self._guard
        )
        self._hedging = hedging or HedgePolicy(
            fleet=fleet, clock=clock, mode=lambda: Switch.OFF
        )
        self._metrics = metrics or NoMetrics()

    async def call(
        self, call: PlainCall, *, before_send: Callable[[], None] | None = None
    ) -> PlainAnswer:
        """Forward a call, and retry it only where that is allowed.

        Args:
            call: The call to forward.
            before_send: A callback that runs once the connection is established,
                before the first byte. It raises RefusedError to prevent the send.

        Raises:
            RefusedError: No endpoint answered. The outcome states whether an endpoint
                may have run the call.
        """
        progress = CallProgress(sends_left=call.max_attempts)
        try:
            return await self._call(call, progress, before_send)
        finally:
            progress.hedge.cancel()

    async def _call(
        self,
        call: PlainCall,
        progress: CallProgress,
        before_send: Callable[[], None] | None,
    ) -> PlainAnswer:
        failure: RefusedError | None = None
        service = call.service.id
        await self._guard.check_settled(call.fingerprint, service=service)
        self._budgets.earn(call.workspace, service=service)
        endpoint_id = self.router.route_first(call)
        while endpoint_id is not None:
            try:
                return await self._send(call, endpoint_id, before_send, progress)
            except RefusedError as error:
                progress.excluded.add(endpoint_id)
                failure = select_failure(failure, error)
                answer = await progress.hedge.wait()
                if answer is not None:
                    return answer
                if progress.hedge.error is not None:
                    failure = select_failure(failure, progress.hedge.error)
                is_connect_failure = error.failure.step == CONNECT_STEP
                progress.connect_failures_left -= is_connect_failure
                progress.sends_left -= not is_connect_failure
            is_exhausted = not progress.sends_left or not progress.connect_failures_left
            if is_exhausted or not await self._may_retry(call, failure, progress):
                break
            call = attrs.evolve(
                call, needs_new_connection=progress.needs_new_connection
            )
            endpoint_id = self.router.route(call, progress.excluded)
        raise self._with_retry_after(failure, service)

    def _with_retry_after(
        self, failure: RefusedError | None, service: str
    ) -> RefusedError:
        """Return the error for the caller, with Retry-After if the call did not run."""
        retry_after = (
            self._fleet.send_limits.time_until_capacity(service) or RETRY_AFTER
        )
        if failure is None:
            return refuse(
                Code.NO_ENDPOINT,
                "No endpoint of the service can accept the call.",
                status=503,
                step="route",
                peer=service,
                retry_after=retry_after,
            )
        if failure.failure.outcome is Outcome.NOT_RUN:
            failure.failure = attrs.evolve(failure.failure, retry_after=retry_after)
        return failure

    async def _may_retry(
        self, call: PlainCall, failure: RefusedError, progress: CallProgress
    ) -> bool:
        if await self._guard.is_quarantined(call.fingerprint):
            return False
        may_have_run = failure.failure.outcome is Outcome.UNKNOWN
        if may_have_run and not call.repeatable:
            return False
        if self._remaining(call) <= timedelta(0):
            return False
        if failure.failure.step == CONNECT_STEP:
            return True
        if progress.has_retry:
            progress.has_retry = False
            return True
        return await self._acquire_retry(call)

    async def _acquire_retry(self, call: PlainCall) -> bool:
        return await acquire_retry(
            self._budgets, call.workspace, service=call.service.id, is_resume=False
        )

    def _remaining(self, call: PlainCall) -> timedelta:
        if call.deadline is None:
            return CALL_TIMEOUT
        return min(CALL_TIMEOUT, call.deadline - self._clock.monotonic())

    async def _send(
        self,
        call: PlainCall,
        endpoint_id: str,
        before_send: Callable[[], None] | None,
        progress: CallProgress,
    ) -> PlainAnswer:
        """Send the call once and record the result for the endpoint.

        A call whose time is up, such as one that waited for capacity or a connection
        while this host was paused, is not sent: its answer could not be received.
        """
        is_sent = False

        def check_time() -> None:
            nonlocal is_sent
            if self._remaining(call) <= timedelta(0):
                raise out_of_time_error(call)
            if before_send is not None:
                before_send()
            is_sent = True

        if self._remaining(call) <= timedelta(0):
            raise out_of_time_error(call)
        live = self._fleet.find(endpoint_id)
        self._fleet.send_limits.try_send(live)
        limit = self._remaining(call)
        slow_task: asyncio.Task[None] | None = None
        began_at = self._clock.monotonic()
        is_separated = self._guard.is_suspect(call.fingerprint)
        live.enter()
        open_call = self._fleet.call_times.begin(
            endpoint_id, service=call.service.id, now=began_at
        )
        is_answered = is_superseded = False
        try:
            # Pause-aware, because an answer that arrived while this host was paused is
            # still unread when the timer fires, and the call may not be sent again.
            async with PauseAwareTimeout(limit, clock=self._clock) as scope:
                if progress.sends_left > 1 and call.repeatable:
                    work = self._help_when_slow(call, endpoint_id, progress, scope)
                    slow_task = asyncio.create_task(work)
                answer = await self._sender.send(call, live, before_send=check_time)
                is_answered = True
        except AttemptLostError as loss:
            raise await self._handle_loss(
                call, live, loss, began_at=began_at, is_separated=is_separated
            ) from loss
        except TimeoutError as error:
            if progress.hedge.answer is not None:
                is_superseded = True
                if progress.hedge.answer.status < FAILURE_STATUS:
                    self._metrics.count(Metric.HEDGES_WON)
                # Counts as a slow answer of its version.
                self._record_for_version(call, live, began_at=began_at, failures=0)
                return progress.hedge.answer
            if not is_sent and self._remaining(call) <= timedelta(0):
                raise out_of_time_error(call) from error
            loss = lost_call(LossKind.FROZEN, live, error)
            raise await self._handle_loss(
                call, live, loss, began_at=began_at, is_separated=is_separated
            ) from error
        finally:
            live.leave()
            now = self._clock.monotonic()
            self._fleet.call_times.end(
                open_call, is_timed=is_answered or is_superseded, now=now
            )
            if slow_task is not None:
                slow_task.cancel()
            progress.hedge.detach()
        self._fleet.losses.record_present(live)
        self._guard.record_success(call.fingerprint)
        self._fleet.call_failures.record(live, is_fault=answer.status in FAULT_STATUSES)
        self._record_for_version(
            call, live, began_at=began_at, failures=int(answer.status >= FAILURE_STATUS)
        )
        return answer

    async def _help_when_slow(
        self,
        call: PlainCall,
        endpoint_id: str,
        progress: CallProgress,
        scope: PauseAwareTimeout,
    ) -> None:
        """Send a second copy of a slow call, or else fail over from it."""
        excluded = progress.excluded | {endpoint_id}
        waited = timedelta(0)
        delay = self._hedging.find_delay(call)
        if delay is not None and not self._guard.is_suspect(call.fingerprint):
            await sleep_pause_aware(delay, clock=self._clock)
            if await self._hedge(call, excluded, progress, scope):
                return
            waited = delay
        if call.patience is not None:
            await sleep_pause_aware(call.patience - waited, clock=self._clock)
            await self._fail_over(call, excluded, progress, scope)

    async def _hedge(
        self,
        call: PlainCall,
        excluded: set[str],
        progress: CallProgress,
        scope: PauseAwareTimeout,
    ) -> bool:
        """Send a second copy of a call, if another endpoint is idle; return whether."""
        endpoint_id = self.router.choose(call, excluded).endpoint_id
        if endpoint_id is None or not self._hedging.is_idle(endpoint_id):
            return False
        if not await self._acquire_retry(call):
            return False
        log_decision(
            "retry",
            request=call.id,
            choice="hedge",
            reason="the call is slow, and another endpoint is idle",
            peer=endpoint_id,
            slow=sorted(excluded),
        )
        self._metrics.count(Metric.HEDGES)
        progress.sends_left -= 1
        progress.excluded.add(endpoint_id)
        copy = self._send(call, endpoint_id, None, CallProgress(sends_left=1))
        progress.hedge.start(copy, on_answer=scope.expire)
        return True

    async def _fail_over(
        self,
        call: PlainCall,
        excluded: set[str],
        progress: CallProgress,
        scope: PauseAwareTimeout,
    ) -> None:
        """Abort a call to a slow endpoint once it can fail over to another one.

        The retry is acquired before the abort. Without a retry or another endpoint,
        the abort would discard the work done so far and the caller would get an error.
        """

        async def acquire_failover() -> bool:
            has_alternative = self.router.choose(call, excluded).endpoint_id is not None
            return has_alternative and await self._acquire_retry(call)

        await wait_for_retry(acquire_failover, clock=self._clock)
        progress.has_retry = progress.needs_new_connection = True
        scope.expire()

    def _record_for_version(
        self, call: PlainCall, live: LiveEndpoint, *, began_at: timedelta, failures: int
    ) -> None:
        """Record an answer for the comparison of versions."""
        self._fleet.versions.record_answer(
            live.endpoint,
            route=call.route,
            answers=1,
            failures=failures,
            took=self._clock.monotonic() - began_at,
        )

    async def _handle_loss(
        self,
        call: PlainCall,
        live: LiveEndpoint,
        loss: AttemptLostError,
        *,
        began_at: timedelta,
        is_separated: bool,
    ) -> RefusedError:
        await inspect_loss(loss, live, guard=self._guard)
        is_frozen = loss.kind is LossKind.FROZEN
        live.unanswered_calls += is_frozen
        if loss.kind in FAULT_KINDS:
            self._fleet.call_failures.record(live, is_fault=True)
        is_endpoint_unreachable = loss.kind is LossKind.UNREACHABLE
        if loss.kind is LossKind.REPLACED:
            live.record_ended()
        if loss.has_ended and self._fleet.losses.is_serving(live):
            self._record_end(call, live, began_at=began_at, is_separated=is_separated)
        if is_endpoint_unreachable or live.unanswered_calls >= MAX_UNANSWERED:
            live.eject(self._clock.monotonic())
        log_decision(
            "retry",
            request=call.id,
            choice="lost",
            reason=f"lost by {loss.kind}",
            peer=loss.peer,
            detail=loss.detail,
            fingerprint=call.fingerprint.hex(),
            sent_for=self._clock.monotonic() - began_at,
            own_lag=live.longest_own_lag,
        )
        if loss.kind in UNRUN_KINDS:
            return not_run_error(loss)
        if loss.kind not in BLAMELESS_KINDS:
            self._fleet.versions.record_answer(
                live.endpoint, route=call.route, answers=1, failures=1
            )
        return unknown_outcome_error(loss)

    def _record_end(
        self,
        call: PlainCall,
        live: LiveEndpoint,
        *,
        began_at: timedelta,
        is_separated: bool,
    ) -> None:
        """Record the crash of an endpoint that reset a call."""
        self._fleet.losses.record_end(live)
        self._guard.record_end(
            call.fingerprint, live, began_at=began_at, is_separated=is_separated
        )
