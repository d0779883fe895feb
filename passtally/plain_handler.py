"""The handler of calls to plain services, ``/services/{service}/...``."""

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from passtally.api import bad_header, find_service, find_workspace, read_admission
from passtally.call_errors import lost_call
from passtally.catalog import Catalog
from passtally.drain import Drain
from passtally.fingerprint import fingerprint_of
from passtally.gate import Gate
from passtally.held_bodies import MAX_ANSWER_BYTES, HeldBodies
from passtally.http_client import is_final_status
from passtally.live_endpoint import LiveEndpoint
from passtally.objects import Service, ServiceKind, Workspace
from passtally.outcome import Code, refuse
from passtally.plain_call import PlainAnswer, PlainCall
from passtally.retry import LossKind
from passtally.unframed_response import UnframedResponse

CONNECT_TIMEOUT = timedelta(milliseconds=500)
KEY_HEADER = "Idempotency-Key"
REPEATABLE_HEADER = "X-Repeatable"
MAX_KEY_CHARACTERS = 255
#: Hop-by-hop headers, and headers addressed to this proxy. Neither kind is forwarded.
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


class SessionSender:
    """A :class:`passtally.plain.Sender` that uses aiohttp.

    Args:
        session: The client session. It must not retry a call by itself; see
            :func:`open_session`. Redirects are not followed.
        answers: The bodies of the answers that are being read.
    """

    def __init__(self, *, session: aiohttp.ClientSession, answers: HeldBodies) -> None:
        self._session = session
        self._answers = answers

    async def send(
        self,
        call: PlainCall,
        live: LiveEndpoint,
        *,
        before_send: Callable[[], None] | None = None,
    ) -> PlainAnswer:
        """Send a call exactly once and return the answer."""
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
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
                if not is_final_status(response.status):
                    error = ValueError(f"invalid status {response.status}")
                    raise lost_call(LossKind.RESET, live, error)
                body = await self._read(response, live)
                return PlainAnswer(
                    status=response.status,
                    headers=_forwarded_headers(response.headers),
                    body=body,
                    is_framed=_is_framed(response),
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise lost_call(LossKind.UNREACHABLE, live, error) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise lost_call(LossKind.RESET, live, error) from error

    async def _read(
        self, response: aiohttp.ClientResponse, live: LiveEndpoint
    ) -> bytes:
        """Return the complete body.

        Raises:
            AttemptLostError: The body is too long, or the host holds too many.
        """
        held = self._answers.open()
        body = bytearray()
        try:
            async for part in response.content.iter_any():
                if len(body) + len(part) > MAX_ANSWER_BYTES:
                    error = ValueError("the answer is too long")
                    raise lost_call(LossKind.RESUME_MISMATCH, live, error)
                if not held.reserve(len(part)):
                    error = ValueError("the host holds too many answers")
                    raise lost_call(LossKind.NOT_HELD, live, error)
                body += part
        finally:
            held.release()
        return bytes(body)


class Caller(Protocol):
    """The part of a caller that the handler needs."""

    async def call(self, call: PlainCall) -> PlainAnswer:
        """Forward a call and return the answer.

        Raises:
            RefusedError: The call was refused or got no complete answer.
        """


class PlainHandler:
    """Authorizes, admits and forwards calls to plain services.

    Args:
        catalog: The active configuration.
        caller: The forwarder of calls.
        drain: The tracker of open requests.
        gate: The admission control.
    """

    def __init__(
        self, *, catalog: Catalog, caller: Caller, drain: Drain, gate: Gate
    ) -> None:
        self._catalog = catalog
        self._gate = gate
        self._caller = caller
        self._drain = drain

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Forward a call and return the endpoint's answer.

        Raises:
            RefusedError: The call was rejected, or no complete answer was received.
        """
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
        if answer.is_framed:
            return web.Response(
                status=answer.status, headers=answer.headers, body=answer.body
            )
        response = UnframedResponse(status=answer.status, headers=answer.headers)
        await response.prepare(request)
        await response.write(answer.body)
        return response


def open_session(
    connector: aiohttp.BaseConnector | None = None,
) -> aiohttp.ClientSession:
    """Return a client session that never retries a call by itself.

    Args:
        connector: Opens the connections; None for direct ones.
    """
    connector = connector or aiohttp.TCPConnector(limit=0, force_close=True)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trace_configs=[_trace_connections()],
    )
    # aiohttp retries GET, PUT and DELETE when a connection breaks and has no public
    # option against that; tests/test_plain.py checks that this private one works.
    session._retry_connection = False
    return session


def _trace_connections() -> aiohttp.TraceConfig:
    """Return hooks that run ``before_send`` between the connect and the first byte."""

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
    body = await request.read()
    return PlainCall(
        id=key or f"call-{id(request):x}",
        workspace=workspace.id,
        service=service,
        method=request.method,
        path=path,
        headers=_forwarded_headers(request.headers),
        body=body,
        repeatable=_is_repeatable(request, service),
        key=key,
        failure_domain=workspace.placements.get(service.id, ""),
        fingerprint=fingerprint_of(workspace.id, f"{service.id}/{path}".encode(), body),
    )


def _is_repeatable(request: web.Request, service: Service) -> bool:
    text = request.headers.get(REPEATABLE_HEADER, "").lower()
    if text not in ("", "yes", "no"):
        raise bad_header(REPEATABLE_HEADER, "'yes' or 'no'")
    # A caller may forbid retries that the service allows, but not allow more.
    return service.repeatable and text != "no"


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the end of an answer's body was marked.

    Otherwise the body ended with its connection, and may be truncated.
    """
    is_empty = response.method == "HEAD" or response.status in (
        HTTPStatus.NO_CONTENT,
        HTTPStatus.NOT_MODIFIED,
    )
    coding = response.headers.get("Transfer-Encoding")
    if coding is None:
        return is_empty or "Content-Length" in response.headers
    return is_empty or coding.lower().strip() == "chunked"


def _forwarded_headers(headers: "CIMultiDict[str]") -> "CIMultiDict[str]":
    named = headers.get("Connection", "").lower().split(",")
    dropped = _HOP_HEADERS | {name.strip() for name in named}
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in dropped
    )
