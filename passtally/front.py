"""Handling of requests by the routes: authentication, admission, calls and streams."""

import asyncio
import contextlib
from collections.abc import Callable
from datetime import timedelta
from functools import partial

import attrs
from multidict import CIMultiDict

from passtally.admission_request import AdmissionRequest, RequestClass
from passtally.clock import Clock
from passtally.crash_guard import CrashGuard
from passtally.decision import log_event
from passtally.dispatcher import Dispatcher
from passtally.drain import Drain
from passtally.fingerprint import fingerprint_of
from passtally.forecast import Forecast
from passtally.front_request import FrontRequest, Prompt, Responder
from passtally.gate import Gate
from passtally.generation import Generation, GenerationRequest
from passtally.metrics import Metric, Metrics
from passtally.objects import Service, ServiceKind
from passtally.origin import KnownAnswer
from passtally.origin_exchange import OriginExchange
from passtally.origin_lookup import OriginLookup, UnknownOriginError
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.output_buffers import abort_reason
from passtally.pause_aware_timeout import PauseAwareTimeout
from passtally.plain import PlainCaller
from passtally.plain_call import PlainCall
from passtally.priority import Priority
from passtally.routes import (
    ActiveRoutes,
    CallKind,
    Route,
    RouteSet,
    WorkspaceKeys,
    priority_of,
)
from passtally.stream_sink import StreamSink

#: Retry-After of refusals that state no other time.
RETRY_AFTER = timedelta(seconds=1)
#: Share of a request's target time that it may wait for admission. The callers' rules
#: penalize a refusal that comes later.
ADMISSION_SHARE = 0.2
#: Multiple of the target time after which a repeatable call fails over to another
#: endpoint. Most answers take a quarter of the target, and the slowest less than all.
PATIENCE_TARGETS = 2.0
#: Time after the start of a host in which requests wait for its routes and endpoints. A
#: listing takes about 10 ms, a peer's answer less than 100 ms. A platform that has not
#: answered by the end is unreachable, and further requests are refused at once.
COLD_START = timedelta(milliseconds=600)


@attrs.frozen(kw_only=True)
class _Admitted:
    """A request with its route, service, workspace, priority and deadline."""

    request: FrontRequest
    route: Route
    service: str
    workspace: str
    priority: Priority
    deadline: timedelta
    fingerprint: bytes


class Front:
    """Serves requests by the active routes.

    Args:
        routes: The active routes.
        dispatcher: The dispatcher of streams.
        caller: The forwarder of calls.
        gate: The admission control.
        drain: The tracker of open requests.
        clock: The clock.
        metrics: The metrics sink.
        config_ready: The event that is set once the routes and some endpoints are
            known.
        forecast: The forecast of the duration of streams.
        guard: The quarantine of requests that crash endpoints.
        origins: Tells other hosts where streams begin and run.
        origin_lookup: Finds where streams began that callers take up.
        is_behind: A callback that returns whether newer routes than those of this host
            are known to exist.
    """

    def __init__(
        self,
        *,
        routes: ActiveRoutes,
        dispatcher: Dispatcher,
        caller: PlainCaller,
        gate: Gate,
        drain: Drain,
        clock: Clock,
        metrics: Metrics,
        config_ready: asyncio.Event,
        forecast: Forecast,
        guard: CrashGuard,
        origins: OriginExchange,
        origin_lookup: OriginLookup,
        is_behind: Callable[[], bool] = lambda: False,
    ) -> None:
        self._config_ready = config_ready
        self._is_behind = is_behind
        self._forecast = forecast
        self._guard = guard
        self._origins = origins
        self._origin_lookup = origin_lookup
        self._cold_start_until = clock.monotonic() + COLD_START
        self._routes = routes
        self._dispatcher = dispatcher
        self._caller = caller
        self._gate = gate
        self._drain = drain
        self._clock = clock
        self._metrics = metrics

    async def serve(self, request: FrontRequest, responder: Responder) -> None:
        """Serve one request, write its answer and log how it ended."""
        began_at = self._clock.monotonic()
        result = "caller left"
        try:
            with self._drain.track():
                result = await self._serve(request, responder)
                await responder.flush()
        except RefusedError as error:
            result = f"refused: {error.failure.code}"
            self._metrics.count(Metric.REFUSED, error.failure.code)
            log_event(
                "front",
                "Refused.",
                request=request.id,
                status=error.failure.status,
                outcome=error.failure.outcome,
                step=error.failure.step,
                peer=error.failure.peer,
                why=error.failure.message,
            )
            await responder.refuse(error.failure)
        except (asyncio.CancelledError, ConnectionError) as error:
            if self._drain.is_over:
                result = "broken off: the host stops"
            elif reason := abort_reason(error):
                result = f"broken off: {reason}"
            raise
        except Exception as error:
            result = f"failed: {error!r}"
            # An answer with status 500 tells the caller more than a closed connection.
            await responder.refuse(_internal_error().failure)
        finally:
            took = self._clock.monotonic() - began_at
            self._metrics.time(Metric.ANSWER, took)
            log_end(request.id, request.path, result, took)

    async def _serve(self, request: FrontRequest, responder: Responder) -> str:
        self._drain.check_open()
        await self._wait_until_ready()
        admitted = self._admit(request)
        await self._guard.check_settled(admitted.fingerprint, service=admitted.service)
        route = admitted.route
        is_stream = route.kind is CallKind.STREAM
        needed = self._safe_time(admitted) if is_stream else _call_patience(route)
        self._drain.check_time(needed, now=self._clock.monotonic())
        admission = AdmissionRequest(
            id=request.id,
            workspace=admitted.workspace,
            share=1,
            request_class=RequestClass.INTERACTIVE
            if is_stream
            else RequestClass.LOOKUP,
            timeout=ADMISSION_SHARE * route.target,
            priority=admitted.priority,
            size=self._size(admitted),
            fingerprint=admitted.fingerprint,
            is_returning=admitted.request.position > 0,
        )
        async with self._gate.enter(admitted.service, admission):
            # The request may have waited, and the host be about to stop by now.
            self._drain.check_time(needed, now=self._clock.monotonic())
            if is_stream:
                return await self._stream(admitted, responder)
            return await self._call(admitted, responder)

    def _size(self, admitted: _Admitted) -> float:
        """Return the room that a request takes of its service, in the service's unit.

        A replica takes as much memory as the run itself.
        """
        prompt = admitted.request.prompt
        if prompt is None or not self._routes.capacity_of(admitted.service):
            return 1.0
        tokens = max(prompt.tokens + prompt.max_output, 1)
        return float(tokens * (1 + self._routes.keeps_replicas(admitted.service)))

    def _safe_time(self, admitted: _Admitted) -> timedelta:
        """Return the time in which a stream is nearly certain to be complete."""
        prompt = admitted.request.prompt
        tokens = prompt.tokens if prompt else 0
        return self._forecast.safe_time(admitted.service, tokens=tokens)

    async def _wait_until_ready(self) -> None:
        """Wait for the routes and endpoints, until `COLD_START` after the start."""
        left = self._cold_start_until - self._clock.monotonic()
        if self._config_ready.is_set() or left <= timedelta(0):
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left.total_seconds()):
                await self._config_ready.wait()

    def _admit(self, request: FrontRequest) -> _Admitted:
        """Find the route, the workspace and the service of a request.

        Raises:
            RefusedError: The route or the key is not known, or this host has no routes
                yet.
        """
        routes = self._routes.current
        if routes is None:
            raise _no_config_error("This host has no configuration yet.", step="route")
        route = routes.find_route(request.host, request.path)
        if route is None:
            self._check_current("route")
            raise refuse(
                Code.UNKNOWN_SERVICE,
                "No route matches the host name and path.",
                status=404,
                step="route",
            )
        workspace = self._find_workspace(routes, route, request)
        time_left = route.timeout
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        session = request.prompt.last_part if request.prompt else request.id
        return _Admitted(
            request=request,
            route=route,
            service=route.service_for(session.encode()),
            workspace=workspace.workspace if workspace else "",
            priority=priority_of(route, workspace),
            deadline=self._clock.monotonic() + time_left,
            fingerprint=fingerprint_of(
                workspace.workspace if workspace else "",
                request.raw.target,
                request.raw.body,
            ),
        )

    def _check_current(self, step: str) -> None:
        """Refuse a request for now if newer routes or keys may allow it.

        A caller gives up on a 404 or 401, but asks another host after a 503.

        Raises:
            RefusedError: Newer routes are known to exist.
        """
        if self._is_behind():
            raise _no_config_error(
                "This host has not received the newest routes yet.", step=step
            )

    def _find_workspace(
        self, routes: RouteSet, route: Route, request: FrontRequest
    ) -> WorkspaceKeys | None:
        """Return the workspace of a request; None on a public route without a key.

        Raises:
            RefusedError: The key is missing or unknown.
        """
        if not routes.needs_keys or (route.is_public and request.key is None):
            return None
        found = routes.find_workspace(request.key or "")
        if found is None and not route.is_public:
            self._check_current("authenticate")
            raise refuse(
                Code.UNAUTHENTICATED,
                "The key is missing or unknown.",
                status=401,
                step="authenticate",
            )
        return found

    async def _call(self, admitted: _Admitted, responder: Responder) -> str:
        route = admitted.route
        call = _make_call(admitted)
        answer = await self._caller.call(call)
        await responder.answer(answer)
        return f"answered: {answer.status} from {route.name}"

    async def _stream(self, admitted: _Admitted, responder: Responder) -> str:
        request = _make_generation_request(admitted)
        position = admitted.request.position
        generation = Generation(
            request=request, token_ids=[0] * position, delivered=position
        )
        first_id = admitted.request.resumes or request.id
        if position:
            known = await self._find_answer(admitted, request.prompt)
            generation.origin, generation.holder_id = known.origin, known.holder_id
        with self._origins.running(generation, first_id=first_id) as answer:
            sink = StreamSink(
                responder=responder,
                clock=self._clock,
                marks_end=request.may_resume,
                on_begin=partial(self._origins.tell, answer),
            )
            return await self._run(admitted, generation, sink, responder)

    async def _find_answer(self, admitted: _Admitted, prompt: str) -> KnownAnswer:
        """Return where a stream began and ran that its caller takes up.

        Raises:
            RefusedError: It is not known, and several software versions may serve.
        """
        try:
            return await self._origin_lookup.find(
                workspace=admitted.workspace,
                service=admitted.service,
                first_id=admitted.request.resumes,
                request_id=admitted.request.id,
                prompt=prompt,
            )
        except UnknownOriginError as error:
            raise refuse(
                Code.RESUME_IMPOSSIBLE,
                f"The software version that began this stream is not known: {error}.",
                status=503,
                step="resume",
                peer=admitted.service,
                retry_after=RETRY_AFTER,
                position=admitted.request.position,
            ) from error

    async def _run(
        self,
        admitted: _Admitted,
        generation: Generation,
        sink: StreamSink,
        responder: Responder,
    ) -> str:
        left = admitted.deadline - self._clock.monotonic()
        try:
            async with PauseAwareTimeout(left, clock=self._clock):
                await self._dispatcher.run(generation, sink)
        except RefusedError as error:
            if not sink.has_begun:
                raise
            responder.abort()
            return f"broken off at {generation.delivered}: {error.failure.message}"
        except TimeoutError:
            if not sink.has_begun:
                raise _timeout_error(admitted, generation) from None
            responder.abort()
            return f"broken off at {generation.delivered}: deadline exceeded"
        await responder.end()
        return (
            f"streamed: {generation.delivered} events in {len(generation.attempts)}"
            f" attempts, {sink.timing}"
        )


def log_end(request_id: str, path: str, result: str, took: timedelta) -> None:
    """Log the result of a request, once for each request that was read."""
    log_event(
        "front",
        "Ended.",
        request=request_id,
        path=path,
        result=result,
        ms=round(took.total_seconds() * 1000),
    )


def _internal_error() -> RefusedError:
    return refuse(
        Code.INTERNAL,
        "This host failed on the request.",
        status=500,
        step="serve",
        outcome=Outcome.UNKNOWN,
    )


def _no_config_error(message: str, *, step: str) -> RefusedError:
    return refuse(
        Code.NO_CONFIG, message, status=503, step=step, retry_after=RETRY_AFTER
    )


def _make_call(admitted: _Admitted) -> PlainCall:
    request, route = admitted.request, admitted.route
    raw = request.raw
    headers = CIMultiDict(
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in raw.headers
    )
    return PlainCall(
        id=request.id,
        workspace=admitted.workspace,
        service=Service(id=admitted.service, kind=ServiceKind.PLAIN),
        method=raw.method.decode("latin-1"),
        path=raw.target.decode("latin-1"),
        headers=headers,
        body=raw.body,
        repeatable=route.is_retryable,
        key="",
        max_attempts=route.max_attempts,
        deadline=admitted.deadline,
        patience=_call_patience(route),
        route=route.name,
        fingerprint=admitted.fingerprint,
    )


def _call_patience(route: Route) -> timedelta:
    """Return the time without an answer after which a call fails over."""
    return PATIENCE_TARGETS * route.target


def _make_generation_request(admitted: _Admitted) -> GenerationRequest:
    request = admitted.request
    prompt = request.prompt or Prompt(last_part=request.id, tokens=0, max_output=0)
    return GenerationRequest(
        id=request.id,
        workspace=admitted.workspace,
        service=admitted.service,
        model="",
        prompt=prompt.last_part,
        max_tokens=prompt.max_output,
        priority=admitted.priority,
        prompt_tokens=prompt.tokens,
        max_attempts=admitted.route.max_attempts if admitted.route.is_resumable else 1,
        deadline=admitted.deadline,
        patience=ADMISSION_SHARE * admitted.route.target,
        target=admitted.route.target,
        max_gap=admitted.route.max_gap,
        raw=request.raw,
        route=admitted.route.name,
        fingerprint=admitted.fingerprint,
    )


def _timeout_error(admitted: _Admitted, generation: Generation) -> RefusedError:
    may_have_run = generation.attempt_count > 0
    return refuse(
        Code.NO_ENDPOINT,
        "No endpoint answered in time.",
        status=504 if may_have_run else 503,
        step="stream",
        peer=admitted.service,
        outcome=Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN,
        retry_after=RETRY_AFTER,
    )
