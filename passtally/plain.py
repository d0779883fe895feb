"""Forwarding of calls to plain services, at most once where a call demands it."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import attrs
from multidict import CIMultiDict

from passtally.clock import Clock
from passtally.crash_guard import CrashGuard
from passtally.decision import log_decision
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.live_endpoint import LiveEndpoint
from passtally.loss_inspection import inspect_loss
from passtally.objects import Service
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.pause_aware_timeout import PauseAwareTimeout, sleep_pause_aware
from passtally.quarantine import Quarantine
from passtally.retry import UNRUN_KINDS, LossKind
from passtally.retry_budget import Budgets, acquire_retry, wait_for_retry
from passtally.routing import RouteDecision, RouteQuery, choose_endpoint

CALL_TIMEOUT = timedelta(seconds=30)
MAX_ATTEMPTS = 3
#: Consecutive unanswered calls after which an endpoint is ejected. A single unanswered
#: call may just be a long one.
MAX_UNANSWERED = 3
#: Step reported for a failure before any byte was sent. Trying another endpoint then
#: takes nothing from the retry budget.
CONNECT_STEP = "connect"
#: Failed connects after which a call is refused. Each costs 150 ms, and nothing has
#: been sent. A host with a saturated link, which fails to connect to some of five
#: endpoints, has most likely reached another by then. A host that is cut off reaches
#: none.
MAX_CONNECT_FAILURES = 4
RETRY_AFTER = timedelta(seconds=1)
#: Lowest status that counts as a failed answer in the comparison of versions.
FAILURE_STATUS = 500
#: Statuses that count against an endpoint when it is compared with the other endpoints
#: of its service: the endpoint or one of its dependencies failed. 503 and 504 are left
#: out, as the endpoint may be full or the time limit of the call too short.
FAULT_STATUSES = frozenset((500, 502))
#: Losses that count against an endpoint like `FAULT_STATUSES`. Unanswered calls are
#: counted separately, see `MAX_UNANSWERED`.
FAULT_KINDS = frozenset((LossKind.RESET, LossKind.RESUME_MISMATCH))


@attrs.frozen(kw_only=True)
class PlainCall:
    """A call to forward to an endpoint.

    Attributes:
        id: The call's id in the logs.
        workspace: The id of the calling workspace.
        service: The service to call.
        method: The HTTP method.
        path: The path after the service's name, with the query.
        headers: The headers to forward.
        body: The body to forward.
        repeatable: Whether the call may run more than once.
        key: The caller's idempotency key, or empty.
        failure_domain: The preferred failure domain; empty for the local one.
        max_attempts: The maximum number of endpoints the call is sent to.
        deadline: The time at which the call is aborted, on the monotonic clock.
        patience: The time without an answer after which a repeatable call fails over
            to another endpoint, if there is one and a retry is allowed.
        needs_new_connection: Whether to send the call on a new connection, because an
            earlier connection stayed silent.
        route: The name of the route that selected the service, or empty.
        fingerprint: The fingerprint shared by the caller's retries of this call, see
            :func:`passtally.fingerprint.fingerprint_of`; empty if there is none.
    """

    id: str
    workspace: str
    service: Service
    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    repeatable: bool
    key: str
    failure_domain: str = ""
    max_attempts: int = MAX_ATTEMPTS
    deadline: timedelta | None = None
    patience: timedelta | None = None
    needs_new_connection: bool = False
    route: str = ""
    fingerprint: bytes = b""


@attrs.frozen(kw_only=True)
class PlainAnswer:
    """The complete answer of an endpoint.

    Attributes:
        status: The HTTP status.
        headers: The headers to forward.
        body: The body.
        is_framed: Whether the answer had a length or chunked encoding; see
            :class:`passtally.http_client.ResponseHead`.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes
    is_framed: bool = True


@attrs.define(kw_only=True)
class _RetryState:
    """The remaining limits of one call, and the endpoints that it has tried.

    Attributes:
        sends_left: The number of endpoints the call may still be sent to.
        connect_failures_left: The number of failed connects after which it is refused.
        excluded: The ids of the endpoints that failed the call.
        has_retry: Whether the retry for the next send has been acquired already.
        needs_new_connection: Whether further sends use new connections.
    """

    sends_left: int
    connect_failures_left: int = MAX_CONNECT_FAILURES
    excluded: set[str] = attrs.field(factory=set)
    has_retry: bool = False
    needs_new_connection: bool = False


class Sender(Protocol):
    """The transport of calls to endpoints."""

    async def send(
        self,
        call: PlainCall,
        live: LiveEndpoint,
        *,
        before_send: Callable[[], None] | None = None,
    ) -> PlainAnswer:
        """Send a call exactly once and return the answer.

        Raises:
            AttemptLostError: No complete answer was received. The kind of the error
                states whether the call may have run.
        """


class PlainCaller:
    """Forwards calls to plain endpoints and retries them within their limits.

    Args:
        fleet: The endpoints and their state.
        clock: The clock.
        failure_domain: The failure domain of this host.
        budgets: The retry budgets.
        sender: The transport of calls to endpoints.
        guard: The quarantine of calls that crash endpoints; None for a private one.
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
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self.failure_domain = failure_domain
        self._budgets = budgets
        self._sender = sender
        self._guard = guard or CrashGuard(quarantine=Quarantine(), clock=clock)

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
        retry_state = _RetryState(sends_left=call.max_attempts)
        failure: RefusedError | None = None
        service = call.service.id
        await self._guard.check_settled(call.fingerprint, service=service)
        self._budgets.earn(call.workspace, service=service)
        endpoint_id = self._route_first(call)
        while endpoint_id is not None:
            try:
                return await self._send(call, endpoint_id, before_send, retry_state)
            except RefusedError as error:
                retry_state.excluded.add(endpoint_id)
                failure = _select_failure(failure, error)
                is_connect_failure = error.failure.step == CONNECT_STEP
                retry_state.connect_failures_left -= is_connect_failure
                retry_state.sends_left -= not is_connect_failure
            is_exhausted = (
                not retry_state.sends_left or not retry_state.connect_failures_left
            )
            if is_exhausted or not await self._may_retry(call, failure, retry_state):
                break
            call = attrs.evolve(
                call, needs_new_connection=retry_state.needs_new_connection
            )
            endpoint_id = self._route(call, retry_state.excluded)
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
        self, call: PlainCall, failure: RefusedError, retry_state: _RetryState
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
        if retry_state.has_retry:
            retry_state.has_retry = False
            return True
        return await self._acquire_retry(call)

    async def _acquire_retry(self, call: PlainCall) -> bool:
        return await acquire_retry(
            self._budgets, call.workspace, service=call.service.id, is_resume=False
        )

    def _choose(
        self, call: PlainCall, excluded: set[str], *, is_trial: bool = False
    ) -> RouteDecision:
        is_suspect = self._guard.is_suspect(call.fingerprint)
        return choose_endpoint(
            RouteQuery(
                affinity=call.id.encode(),
                failure_domain=call.failure_domain or self.failure_domain,
                exclude=excluded,
                suspect=call.fingerprint if is_suspect else b"",
                separated=self._guard.list_separated(),
            ),
            self._fleet.views(call.service.id, is_trial=is_trial),
            now=self._clock.monotonic(),
        )

    def _route_first(self, call: PlainCall) -> str | None:
        """Choose the first endpoint; trials go to a new version where possible."""
        versions = self._fleet.versions
        if versions.acquire_trial(call.service.id):
            endpoint_id = self._route(call, set(), is_trial=True)
            if endpoint_id is not None:
                return endpoint_id
            versions.release(call.service.id)
        return self._route(call, set())

    def _route(
        self, call: PlainCall, excluded: set[str], *, is_trial: bool = False
    ) -> str | None:
        decision = self._choose(call, excluded, is_trial=is_trial)
        log_decision(
            "route",
            request=call.id,
            choice=decision.endpoint_id,
            reason=decision.reason,
            candidates=decision.candidates,
        )
        return decision.endpoint_id

    def _remaining(self, call: PlainCall) -> timedelta:
        if call.deadline is None:
            return CALL_TIMEOUT
        return min(CALL_TIMEOUT, call.deadline - self._clock.monotonic())

    async def _send(
        self,
        call: PlainCall,
        endpoint_id: str,
        before_send: Callable[[], None] | None,
        retry_state: _RetryState,
    ) -> PlainAnswer:
        """Send the call once and record the result for the endpoint.

        A call whose time is up, such as one that waited for capacity or a connection
        while this host was paused, is not sent: its answer could not be received.
        """
        is_sent = False

        def check_time() -> None:
            nonlocal is_sent
            if self._remaining(call) <= timedelta(0):
                raise _out_of_time_error(call)
            if before_send is not None:
                before_send()
            is_sent = True

        if self._remaining(call) <= timedelta(0):
            raise _out_of_time_error(call)
        live = self._fleet.find(endpoint_id)
        self._fleet.send_limits.try_send(live)
        limit = self._remaining(call)
        failover_task: asyncio.Task[None] | None = None
        began_at = self._clock.monotonic()
        is_separated = self._guard.is_suspect(call.fingerprint)
        live.enter()
        try:
            # Pause-aware, because an answer that arrived while this host was paused is
            # still unread when the timer fires, and the call may not be sent again.
            async with PauseAwareTimeout(limit, clock=self._clock) as scope:
                if retry_state.sends_left > 1 and call.repeatable and call.patience:
                    work = self._fail_over_when_slow(
                        call, endpoint_id, retry_state, scope
                    )
                    failover_task = asyncio.create_task(work)
                answer = await self._sender.send(call, live, before_send=check_time)
        except AttemptLostError as loss:
            raise await self._handle_loss(
                call, live, loss, began_at=began_at, is_separated=is_separated
            ) from loss
        except TimeoutError as error:
            if not is_sent and self._remaining(call) <= timedelta(0):
                raise _out_of_time_error(call) from error
            loss = lost_call(LossKind.FROZEN, live, error)
            raise await self._handle_loss(
                call, live, loss, began_at=began_at, is_separated=is_separated
            ) from error
        finally:
            live.leave()
            if failover_task is not None:
                failover_task.cancel()
        self._guard.record_success(call.fingerprint)
        self._fleet.call_failures.record(live, is_fault=answer.status in FAULT_STATUSES)
        self._fleet.versions.record_answer(
            live.endpoint,
            route=call.route,
            answers=1,
            failures=int(answer.status >= FAILURE_STATUS),
            took=self._clock.monotonic() - began_at,
        )
        return answer

    async def _fail_over_when_slow(
        self,
        call: PlainCall,
        endpoint_id: str,
        retry_state: _RetryState,
        scope: PauseAwareTimeout,
    ) -> None:
        """Abort a call to a slow endpoint once it can fail over to another one.

        The retry is acquired before the abort. Without a retry or another endpoint,
        the abort would discard the work done so far and the caller would get an error.
        """
        excluded = retry_state.excluded | {endpoint_id}

        async def acquire_failover() -> bool:
            has_alternative = self._choose(call, excluded).endpoint_id is not None
            return has_alternative and await self._acquire_retry(call)

        await sleep_pause_aware(call.patience, clock=self._clock)
        await wait_for_retry(acquire_failover, clock=self._clock)
        retry_state.has_retry = retry_state.needs_new_connection = True
        scope.expire()

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
        if loss.has_ended and self._fleet.is_serving(live):
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
            return _not_run_error(loss)
        if loss.kind is not LossKind.LINK:
            self._fleet.versions.record_answer(
                live.endpoint, route=call.route, answers=1, failures=1
            )
        return _unknown_outcome_error(loss)

    def _record_end(
        self,
        call: PlainCall,
        live: LiveEndpoint,
        *,
        began_at: timedelta,
        is_separated: bool,
    ) -> None:
        """Record the crash of an endpoint that reset a call."""
        self._fleet.record_end(live)
        self._guard.record_end(
            call.fingerprint, live, began_at=began_at, is_separated=is_separated
        )


def _select_failure(known: RefusedError | None, new: RefusedError) -> RefusedError:
    """Return the new error, unless the call may have run according to the known one."""
    if known is not None and known.failure.outcome is Outcome.UNKNOWN:
        return known
    return new


def lost_call(kind: LossKind, live: LiveEndpoint, error: Exception) -> AttemptLostError:
    """Return the error for a call without a complete answer from its endpoint."""
    detail = str(error) or type(error).__name__
    return AttemptLostError(kind, step="call", peer=live.endpoint.id, detail=detail)


def _out_of_time_error(call: PlainCall) -> RefusedError:
    return refuse(
        Code.NO_ENDPOINT,
        "The caller's time was up before the call could be sent.",
        status=503,
        step="send",
        peer=call.service.id,
        retry_after=RETRY_AFTER,
    )


def _not_run_error(loss: AttemptLostError) -> RefusedError:
    return refuse(
        Code.NO_ENDPOINT,
        f"The connection failed, or the endpoint rejected the call: {loss.detail}.",
        status=503,
        step=CONNECT_STEP if loss.kind is LossKind.UNREACHABLE else "call",
        peer=loss.peer,
        retry_after=RETRY_AFTER,
    )


def _unknown_outcome_error(loss: AttemptLostError) -> RefusedError:
    return refuse(
        Code.ENDPOINT_LOST,
        f"The endpoint was lost before it answered: {loss.detail}.",
        status=504 if loss.kind is LossKind.FROZEN else 502,
        step="call",
        peer=loss.peer,
        outcome=Outcome.UNKNOWN,
        retry_after=RETRY_AFTER,
    )
