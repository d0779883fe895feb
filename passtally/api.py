"""Helpers of the HTTP APIs: authentication, request headers and error answers."""

import hmac
import math
from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.client_exceptions import ClientConnectionResetError

from passtally.admission_request import AdmissionRequest, RequestClass
from passtally.catalog import Catalog
from passtally.decision import log_event
from passtally.held_bodies import BODY_RETRY_AFTER, HeldBodies
from passtally.metrics import Metric, Metrics
from passtally.objects import REQUEST_CLASSES, Service, Workspace, digest_token
from passtally.outcome import Code, Failure, Outcome, RefusedError, refuse
from passtally.settings import parse_duration

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Middleware = Callable[[web.Request, Handler], Awaitable[web.StreamResponse]]

JSON_TYPE = "application/json"
CLASS_HEADER = "X-Request-Class"
TIMEOUT_HEADER = "X-Timeout"


def read_token(request: web.Request) -> str | None:
    """Return the bearer token of a request, or None if it has none."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else None


def find_workspace(catalog: Catalog, request: web.Request) -> Workspace:
    """Return the workspace whose token a request carries.

    Raises:
        RefusedError: The token is missing or unknown.
    """
    token = read_token(request)
    digest = digest_token(token or "")
    workspace = catalog.find_workspace(digest)
    known = workspace is not None and hmac.compare_digest(
        workspace.token_sha256, digest
    )
    if token is None or not known:
        raise refuse(
            Code.UNAUTHENTICATED,
            "Send a workspace's token as 'Authorization: Bearer TOKEN'.",
            status=401,
            step="authenticate",
        )
    return workspace


def find_service(
    catalog: Catalog, workspace: Workspace, service_id: str, *, code: Code
) -> Service:
    """Return a service that a workspace may use.

    Raises:
        RefusedError: The service does not exist, or the workspace may not use it.
    """
    service = catalog.services_by_id.get(service_id)
    allowed = not workspace.services or service_id in workspace.services
    if service is None or not allowed:
        raise refuse(
            code,
            f"The workspace has no model or service {service_id!r}.",
            status=404,
            step="authorize",
        )
    return service


def read_admission(
    request: web.Request, workspace: Workspace, service: Service, *, request_id: str
) -> AdmissionRequest:
    """Return the admission request for an HTTP request.

    Raises:
        RefusedError: The class or timeout header is invalid.
    """
    name = request.headers.get(CLASS_HEADER, service.request_class).lower()
    if name not in REQUEST_CLASSES:
        raise bad_header(CLASS_HEADER, f"one of {', '.join(REQUEST_CLASSES)}")
    timeout = None
    if TIMEOUT_HEADER in request.headers:
        try:
            timeout = parse_duration(request.headers[TIMEOUT_HEADER])
        except ValueError as error:
            raise bad_header(TIMEOUT_HEADER, "a duration such as 2s") from error
    return AdmissionRequest(
        id=request_id,
        workspace=workspace.id,
        share=workspace.share,
        request_class=RequestClass[name.upper()],
        timeout=timeout,
    )


def bad_header(name: str, wanted: str) -> RefusedError:
    """Return the error for a header with an invalid value."""
    return refuse(
        Code.BAD_REQUEST, f"{name} must be {wanted}.", status=400, step="parse"
    )


def failure_response(failure: Failure) -> web.Response:
    """Return the error response for a failure, with Retry-After where it applies."""
    headers = {}
    if failure.retry_after is not None:
        seconds = math.ceil(failure.retry_after.total_seconds())
        headers["Retry-After"] = str(max(seconds, 1))
    return web.Response(
        body=failure.to_json(),
        status=failure.status,
        content_type=JSON_TYPE,
        headers=headers,
    )


METRICS_KEY: web.AppKey[Metrics] = web.AppKey("metrics")


@web.middleware
async def answer_failures(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Answer every error of a handler with a JSON error body."""
    try:
        return await handler(request)
    except RefusedError as error:
        request.app[METRICS_KEY].count(Metric.REFUSED, error.failure.code)
        log_event(
            "api",
            "Refused.",
            path=request.path,
            code=error.failure.code,
            outcome=error.failure.outcome,
            step=error.failure.step,
            peer=error.failure.peer,
        )
        return failure_response(error.failure)
    except web.HTTPRequestEntityTooLarge:
        return _not_run_response(
            Code.BODY_TOO_LARGE, "The body exceeds the host's '--max-body'.", 413
        )
    except (web.HTTPNotFound, web.HTTPMethodNotAllowed) as error:
        return _not_run_response(
            Code.UNKNOWN_PATH, "There is no such path or method.", error.status
        )
    except ClientConnectionResetError:
        raise
    except web.HTTPException:
        raise
    except Exception as error:
        log_event("api", "Handler failed.", path=request.path, why=repr(error))
        failure = Failure(
            code=Code.INTERNAL,
            message="This host failed on the request.",
            outcome=Outcome.UNKNOWN,
            status=500,
            step="internal",
        )
        return failure_response(failure)


def close_connections(is_stopping: Callable[[], bool]) -> Middleware:
    """Return a middleware that closes a connection after each answer during a stop.

    An answer whose head was sent before the stop did not tell its caller to leave.

    Args:
        is_stopping: Returns whether the host stops.
    """

    @web.middleware
    async def close(request: web.Request, handler: Handler) -> web.StreamResponse:
        response = await handler(request)
        if is_stopping():
            response.force_close()
        return response

    return close


def limit_bodies(bodies: HeldBodies, *, max_body: int) -> Middleware:
    """Return a middleware that refuses bodies beyond what the host may hold.

    Args:
        bodies: The bodies that the host holds.
        max_body: The maximum size of a body, in bytes, which is assumed where the
            caller does not state the size.
    """

    @web.middleware
    async def hold_body(request: web.Request, handler: Handler) -> web.StreamResponse:
        if not request.body_exists:
            return await handler(request)
        size = request.content_length
        body = bodies.open()
        if not body.reserve(max_body if size is None else min(size, max_body)):
            raise refuse(
                Code.OVERLOADED,
                "The host holds too many request bodies.",
                status=503,
                step="parse",
                retry_after=BODY_RETRY_AFTER,
            )
        try:
            return await handler(request)
        finally:
            body.release()

    return hold_body


def _not_run_response(code: Code, message: str, status: int) -> web.Response:
    return failure_response(
        Failure(
            code=code,
            message=message,
            outcome=Outcome.NOT_RUN,
            status=status,
            step="parse",
        )
    )
