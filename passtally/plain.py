"""Serves plain services: calls that are passed on, some of them only once."""

from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import aiohttp
import attrs
from aiohttp import web
from multidict import CIMultiDict

from passtally.api import bad_header, find_service, find_workspace, read_admission
from passtally.catalog import Catalog
from passtally.clock import Clock
from passtally.decision import log_decision
from passtally.drain import Drain
from passtally.fleet import Fleet
from passtally.gate import Gate
from passtally.objects import Service, ServiceKind, Workspace
from passtally.outcome import Code, Outcome, RefusedError, refuse
from passtally.retry_budget import RetryBudgets
from passtally.routing import RouteQuery, choose_endpoint

CALL_TIMEOUT = timedelta(seconds=30)
CONNECT_TIMEOUT = timedelta(milliseconds=500)
MAX_ATTEMPTS = 3
RETRY_AFTER = timedelta(seconds=1)
KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "X-Repeatable"
MAX_KEY_CHARACTERS = 255

#: Headers of one hop, and those that belong to this system.
_HOP_HEADERS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Transfer-Encoding",
        "TE",
        "Trailer",
        "Upgrade",
        "Proxy-Authorization",
        "Host",
        "Content-Length",
        "Authorization",
        REPEATABLE_HEADER,
    )
)


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


@attrs.frozen(kw_only=True)
class PlainAnswer:
    """What an endpoint answered."""

    status: int
    headers: CIMultiDict[str]
    body: bytes


class PlainCaller:
    """Passes calls on to plain endpoints.

    Args:
        fleet: The endpoints.
        clock: The clock.
        failure_domain: This host's own.
        budgets: How many repeats are left.
        session: The client session. It must neither repeat a call by itself
            nor follow a redirect; see :func:`open_session`.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        failure_domain: str,
        budgets: RetryBudgets,
        session: aiohttp.ClientSession,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._failure_domain = failure_domain
        self._budgets = budgets
        self._session = session

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
        excluded: set[str] = set()
        failure: RefusedError | None = None
        self._budgets.earn(call.workspace)
        for _ in range(MAX_ATTEMPTS):
            endpoint_id = self._route(call, excluded)
            if endpoint_id is None:
                break
            try:
                return await self._send(call, endpoint_id, before_send)
            except RefusedError as error:
                excluded.add(endpoint_id)
                failure = _worse(failure, error)
                ran = error.failure.outcome is Outcome.UNKNOWN
                if ran and not call.repeatable:
                    break
                if not self._budgets.try_spend(call.workspace):
                    break
        raise failure or refuse(
            Code.NO_ENDPOINT,
            "No endpoint of the service can take the call.",
            status=503,
            step="route",
            peer=call.service.id,
            retry_after=RETRY_AFTER,
        )

    def _route(self, call: PlainCall, excluded: set[str]) -> str | None:
        decision = choose_endpoint(
            RouteQuery(
                affinity=call.id.encode(),
                failure_domain=call.failure_domain or self._failure_domain,
                exclude=excluded,
            ),
            self._fleet.views(call.service.id),
            now=self._clock.monotonic(),
        )
        log_decision(
            "route",
            request=call.id,
            choice=decision.endpoint_id,
            reason=decision.reason,
            candidates=decision.candidates,
        )
        return decision.endpoint_id

    async def _send(
        self,
        call: PlainCall,
        endpoint_id: str,
        before_send: Callable[[], None] | None,
    ) -> PlainAnswer:
        live = self._fleet.find(endpoint_id)
        live.enter()
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT.total_seconds(),
            sock_connect=CONNECT_TIMEOUT.total_seconds(),
        )
        try:
            async with self._session.request(
                call.method,
                f"{live.endpoint.url}/{call.path}",
                headers=call.headers,
                data=call.body,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=before_send,
            ) as response:
                body = await response.read()
                live.readmit()
                headers = _passed_on(response.headers)
                return PlainAnswer(status=response.status, headers=headers, body=body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            live.eject(self._clock.monotonic())
            raise _not_sent(endpoint_id, error) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _maybe_run(endpoint_id, error) from error
        finally:
            live.leave()


class Caller(Protocol):
    """What passes calls on."""

    async def call(self, call: PlainCall) -> PlainAnswer:
        """Pass one call on; raises RefusedError where it was not answered."""


class PlainHandler:
    """Handles ``/services/{service}/...``.

    Args:
        catalog: The configuration in force.
        caller: Passes calls on.
        drain: Counts the requests that are open.
        gate: Admits requests.
    """

    def __init__(
        self, *, catalog: Catalog, caller: Caller, drain: Drain, gate: Gate
    ) -> None:
        self._catalog = catalog
        self._gate = gate
        self._caller = caller
        self._drain = drain

    async def serve(self, request: web.Request) -> web.Response:
        """Serve one call."""
        workspace = find_workspace(self._catalog, request)
        service = find_service(
            self._catalog,
            workspace,
            request.match_info["service"],
            code=Code.UNKNOWN_SERVICE,
        )
        if service.kind is not ServiceKind.PLAIN:
            raise refuse(
                Code.UNKNOWN_SERVICE,
                f"{service.id!r} is not a plain service.",
                status=404,
                step="authorize",
            )
        call = await _read_call(request, workspace, service)
        admission = read_admission(request, workspace, service, request_id=call.id)
        with self._drain.track():
            async with self._gate.enter(service.id, admission):
                answer = await self._caller.call(call)
        return web.Response(
            status=answer.status, headers=answer.headers, body=answer.body
        )


def open_session() -> aiohttp.ClientSession:
    """Return a client session that never repeats a call by itself."""
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trace_configs=[_trace_connections()],
    )
    # The library repeats GET, PUT and DELETE on a broken connection and has no
    # public switch for it; tests/test_plain.py proves that this one works.
    session._retry_connection = False
    return session


def _trace_connections() -> aiohttp.TraceConfig:
    """Return hooks that call ``before_send`` between connection and first byte."""

    async def check(session: object, context: object, params: object) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx()

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(check)
    return trace


async def _read_call(
    request: web.Request, workspace: Workspace, service: Service
) -> PlainCall:
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARACTERS:
        raise bad_header(KEY_HEADER, f"at most {MAX_KEY_CHARACTERS} characters long")
    path = request.match_info["path"]
    if request.query_string:
        path = f"{path}?{request.query_string}"
    return PlainCall(
        id=key or f"call-{id(request):x}",
        workspace=workspace.id,
        service=service,
        method=request.method,
        path=path,
        headers=_passed_on(request.headers),
        body=await request.read(),
        repeatable=_is_repeatable(request, service),
        key=key,
        failure_domain=workspace.placements.get(service.id, ""),
    )


def _is_repeatable(request: web.Request, service: Service) -> bool:
    text = request.headers.get(REPEATABLE_HEADER, "").lower()
    if text not in ("", "yes", "no"):
        raise bad_header(REPEATABLE_HEADER, "'yes' or 'no'")
    # A caller may forbid a repeat that the service allows, never the reverse.
    return service.repeatable and text != "no"


def _passed_on(headers: "CIMultiDict[str]") -> "CIMultiDict[str]":
    named = headers.get("Connection", "").lower().split(",")
    dropped = _HOP_HEADERS | {name.strip() for name in named}
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )


def _worse(known: RefusedError | None, new: RefusedError) -> RefusedError:
    """Return the failure to report: once something may have run, that stays."""
    if known is not None and known.failure.outcome is Outcome.UNKNOWN:
        return known
    return new


def _not_sent(endpoint_id: str, error: Exception) -> RefusedError:
    return refuse(
        Code.NO_ENDPOINT,
        f"No connection could be made: {error}.",
        status=503,
        step="connect",
        peer=endpoint_id,
        retry_after=RETRY_AFTER,
    )


def _maybe_run(endpoint_id: str, error: Exception) -> RefusedError:
    reason = str(error) or type(error).__name__
    return refuse(
        Code.ENDPOINT_LOST,
        f"The endpoint was lost before it answered: {reason}.",
        status=502,
        step="call",
        peer=endpoint_id,
        outcome=Outcome.UNKNOWN,
        retry_after=RETRY_AFTER,
    )
