"""Serves plain services: calls that are passed on, some of them only once."""

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
from passtally.objects import Service
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.pause_aware_timeout import PauseAwareTimeout, sleep_pause_aware
from passtally.quarantine import Quarantine
from passtally.retry import UNRUN_KINDS, LossKind
from passtally.retry_budget import Budgets, acquire_retry, wait_for_retry
from passtally.routing import RouteDecision, RouteQuery, choose_endpoint

CALL_TIMEOUT = timedelta(seconds=30)
MAX_ATTEMPTS = 3
#: Calls in a row that an endpoint may leave unanswered before it is passed over. One
#: alone may be a long one.
MAX_UNANSWERED = 3
#: The step of a failure before any byte was sent; going on costs no repeat.
UNSENT_STEP = "connect"
#: How many endpoints may take no connection before a call is refused: 150 ms each, and
#: nothing was sent. Of five endpoints that a host whose link is full does not reach at
#: once, one is likely reached by then; a host that is cut off reaches none.
MAX_CONNECTS = 4
RETRY_AFTER = timedelta(seconds=1)
#: From this status on an answer tells that its endpoint failed.
FAILURE_STATUS = 500
#: Answers by which an endpoint is held against its neighbours: it, or what it needs,
#: failed. Not 503 or 504: it may be full, or the call's own time too short.
FAULT_STATUSES = frozenset((500, 502))
#: Losses that count like such answers. Calls without an answer are counted apart.
FAULT_KINDS = frozenset((LossKind.RESET, LossKind.RESUME_MISMATCH))


@attrs.frozen(kw_only=True)
class PlainCall:
    """One call to pass on.

    Attributes:
        id: Its id in the logs.
        workspace: Whose it is.
        service: The service.
        method: The HTTP method.
        path: What follows the service's name, with the query.
        headers: The headers to pass on.
        body: The body.
        repeatable: Whether it may run more than once.
        key: The caller's idempotency key, or empty.
        failure_domain: Where it is to run if it can; empty for the host's own.
        max_attempts: How many endpoints it may be sent to.
        deadline: When it is given up, on the monotonic clock.
        patience: After what time without an answer a repeatable call goes on to
            another endpoint, if there is one and it may be sent once more.
        must_connect: Whether it is to be sent on a new connection, since one was
            silent.
        route: The route that led to the service, or empty.
        fingerprint: What its later tries have in common with it, see
            :func:`passtally.fingerprint.fingerprint_of`; empty where it has none.
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
    must_connect: bool = False
    route: str = ""
    fingerprint: bytes = b""


@attrs.frozen(kw_only=True)
class PlainAnswer:
    """What an endpoint answered.

    Attributes:
        status: The HTTP status.
        headers: The headers to pass on.
        body: The body.
        is_framed: Whether the answer told its end; see
            :class:`passtally.http_client.ResponseHead`.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes
    is_framed: bool = True


@attrs.define(kw_only=True)
class _Tries:
    """What one call may still do.

    Attributes:
        sends_left: How many endpoints it may still be sent to.
        connects_left: How many endpoints may still take no connection.
        excluded: The endpoints that lost it.
        has_retry: Whether the repeat for its next send is taken already.
        must_connect: Whether its next sends are to go on new connections.
    """

    sends_left: int
    connects_left: int = MAX_CONNECTS
    excluded: set[str] = attrs.field(factory=set)
    has_retry: bool = False
    must_connect: bool = False


class Sender(Protocol):
    """Sends a call to one endpoint."""

    async def send(
        self,
        call: PlainCall,
        live: LiveEndpoint,
        *,
        before_send: Callable[[], None] | None = None,
    ) -> PlainAnswer:
        """Send a call once and return its answer.

        Raises:
            AttemptLostError: No answer came. Its kind tells whether the call may
                have run.
        """


class PlainCaller:
    """Passes calls on to plain endpoints.

    Args:
        fleet: The endpoints.
        clock: The clock.
        failure_domain: This host's own.
        budgets: How many repeats are left.
        sender: Sends a call to one endpoint.
        guard: Refuses calls that end their endpoints; None for one of its own.
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
        """Pass one call on, more than once only where that is allowed.

        Args:
            call: What to pass on.
            before_send: Called once the connection stands, before the first byte;
                it raises RefusedError to hold the call back.

        Raises:
            RefusedError: No endpoint answered; its outcome tells whether one
                may have run it.
        """
        tries = _Tries(sends_left=call.max_attempts)
        failure: RefusedError | None = None
        service = call.service.id
        self._guard.check(call.fingerprint, service=service)
        self._budgets.earn(call.workspace, service=service)
        endpoint_id = self._route_first(call)
        while endpoint_id is not None:
            try:
                return await self._send(call, endpoint_id, before_send, tries)
            except RefusedError as error:
                tries.excluded.add(endpoint_id)
                failure = _worse(failure, error)
                is_unsent = error.failure.step == UNSENT_STEP
                tries.connects_left -= is_unsent
                tries.sends_left -= not is_unsent
            is_over = not tries.sends_left or not tries.connects_left
            if is_over or not await self._may_retry(call, failure, tries):
                break
            call = attrs.evolve(call, must_connect=tries.must_connect)
            endpoint_id = self._route(call, tries.excluded)
        raise self._tell_when(failure, service)

    def _tell_when(self, failure: RefusedError | None, service: str) -> RefusedError:
        """Return the failure to report; of one that did not run, when to come back."""
        retry_after = self._fleet.time_until_capacity(service) or RETRY_AFTER
        if failure is None:
            return refuse(
                Code.NO_ENDPOINT,
                "No endpoint of the service can take the call.",
                status=503,
                step="route",
                peer=service,
                retry_after=retry_after,
            )
        if failure.failure.outcome is Outcome.NOT_RUN:
            failure.failure = attrs.evolve(failure.failure, retry_after=retry_after)
        return failure

    async def _may_retry(
        self, call: PlainCall, failure: RefusedError, tries: _Tries
    ) -> bool:
        if self._guard.remaining(call.fingerprint) is not None:
            return False
        ran = failure.failure.outcome is Outcome.UNKNOWN
        if ran and not call.repeatable:
            return False
        if self._remaining(call) <= timedelta(0):
            return False
        if failure.failure.step == UNSENT_STEP:
            return True
        if tries.has_retry:
            tries.has_retry = False
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
            ),
            self._fleet.views(call.service.id, is_trial=is_trial),
            now=self._clock.monotonic(),
        )

    def _route_first(self, call: PlainCall) -> str | None:
        """Choose the first endpoint; some requests try a new version."""
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
        tries: _Tries,
    ) -> PlainAnswer:
        """Send the call once, and learn of the endpoint from how that ends."""
        live = self._fleet.find(endpoint_id)
        self._fleet.try_send(live)
        limit = self._remaining(call)
        losing: asyncio.Task[None] | None = None
        began = self._clock.monotonic()
        live.enter()
        try:
            # Fair: what an endpoint has answered while this host did not run lies here
            # unread, and may not be asked for again.
            async with PauseAwareTimeout(limit, clock=self._clock) as scope:
                if tries.sends_left > 1 and call.repeatable and call.patience:
                    work = self._lose_patience(call, endpoint_id, tries, scope)
                    losing = asyncio.create_task(work)
                answer = await self._sender.send(call, live, before_send=before_send)
        except AttemptLostError as loss:
            raise await self._handle_loss(call, live, loss, began=began) from loss
        except TimeoutError as error:
            loss = lost_call(LossKind.FROZEN, live, error)
            raise await self._handle_loss(call, live, loss, began=began) from error
        finally:
            live.leave()
            if losing is not None:
                losing.cancel()
        self._guard.record_success(call.fingerprint)
        self._fleet.record_call(live, is_fault=answer.status in FAULT_STATUSES)
        self._fleet.versions.record_answer(
            live.endpoint,
            route=call.route,
            answers=1,
            failures=int(answer.status >= FAILURE_STATUS),
            took=self._clock.monotonic() - began,
        )
        return answer

    async def _lose_patience(
        self, call: PlainCall, endpoint_id: str, tries: _Tries, scope: PauseAwareTimeout
    ) -> None:
        """Take a call from a slow endpoint once it can go on elsewhere.

        Its repeat is taken first: without one, or without another endpoint, what was
        done for it would be lost, and its caller told that nothing answered.
        """
        excluded = tries.excluded | {endpoint_id}

        async def take() -> bool:
            has_other = self._choose(call, excluded).endpoint_id is not None
            return has_other and await self._acquire_retry(call)

        await sleep_pause_aware(call.patience, clock=self._clock)
        await wait_for_retry(take, clock=self._clock)
        tries.has_retry = tries.must_connect = True
        scope.expire()

    async def _handle_loss(
        self,
        call: PlainCall,
        live: LiveEndpoint,
        loss: AttemptLostError,
        *,
        began: timedelta,
    ) -> RefusedError:
        is_frozen = loss.kind is LossKind.FROZEN
        live.unanswered_calls += is_frozen
        if loss.kind in FAULT_KINDS:
            self._fleet.record_call(live, is_fault=True)
        is_endpoint_unreachable = loss.kind is LossKind.UNREACHABLE
        if loss.kind is LossKind.REPLACED:
            live.record_ended()
        if loss.kind is LossKind.RESET and self._fleet.is_serving(live):
            await self._record_end(call, live, began)
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
        )
        if loss.kind in UNRUN_KINDS:
            return _not_sent(loss)
        self._fleet.versions.record_answer(
            live.endpoint, route=call.route, answers=1, failures=1
        )
        return _maybe_run(loss)

    async def _record_end(
        self, call: PlainCall, live: LiveEndpoint, began: timedelta
    ) -> None:
        """Look whether an endpoint that reset a call has ended under it."""
        if await self._guard.has_ended(live):
            self._fleet.record_end(live)
            self._guard.record_end(call.fingerprint, live, began_at=began)


def _worse(known: RefusedError | None, new: RefusedError) -> RefusedError:
    """Return the failure to report: once something may have run, that stays."""
    if known is not None and known.failure.outcome is Outcome.UNKNOWN:
        return known
    return new


def lost_call(kind: LossKind, live: LiveEndpoint, error: Exception) -> AttemptLostError:
    """Return the error for a call that an endpoint did not answer."""
    detail = str(error) or type(error).__name__
    return AttemptLostError(kind, step="call", peer=live.endpoint.id, detail=detail)


def _not_sent(loss: AttemptLostError) -> RefusedError:
    return refuse(
        Code.NO_ENDPOINT,
        f"No connection could be made, or the call was not taken: {loss.detail}.",
        status=503,
        step=UNSENT_STEP if loss.kind is LossKind.UNREACHABLE else "call",
        peer=loss.peer,
        retry_after=RETRY_AFTER,
    )


def _maybe_run(loss: AttemptLostError) -> RefusedError:
    return refuse(
        Code.ENDPOINT_LOST,
        f"The endpoint was lost before it answered: {loss.detail}.",
        status=504 if loss.kind is LossKind.FROZEN else 502,
        step="call",
        peer=loss.peer,
        outcome=Outcome.UNKNOWN,
        retry_after=RETRY_AFTER,
    )
