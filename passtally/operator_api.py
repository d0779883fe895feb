"""The operators' HTTP API: configuration, intents and status."""

import hmac
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec
from aiohttp import web

from passtally.api import JSON_TYPE, read_token
from passtally.config_store import ConfigStore
from passtally.crash_guard import CrashGuard
from passtally.intent import IntentKind
from passtally.intents import Intents, platform_away
from passtally.json_decoding import decode_json
from passtally.object_store import ConflictError, PlatformError
from passtally.objects import CONFIG_KINDS, find_problems
from passtally.outcome import Code, RefusedError, refuse
from passtally.status import StatusReader

PREFIX = "/operator/v1"
RETRY_AFTER = timedelta(seconds=1)

Handler = Callable[[web.Request], Awaitable[web.Response]]


class _Declaration(msgspec.Struct):
    kind: IntentKind
    params: dict[str, str] = {}


class OperatorApi:
    """Handles the HTTP requests of operators.

    Args:
        token: The operators' token; if empty, every request is refused.
        store: The store to which configuration is written.
        intents: Declares, confirms and cancels intents.
        status: Reads the state of this host, its peers and its endpoints.
        guard: The guard that quarantines requests which crash their endpoints.
    """

    def __init__(
        self,
        *,
        token: str,
        store: ConfigStore,
        intents: Intents,
        status: StatusReader,
        guard: CrashGuard,
    ) -> None:
        self._token = token
        self._crash_guard = guard
        self._store = store
        self._intents = intents
        self._status = status

    def add_routes(self, app: web.Application) -> None:
        """Add the handlers to an application."""
        for method, path, handler in (
            ("GET", "/status", self.show_status),
            ("GET", "/config/{kind}", self.list_objects),
            ("GET", "/config/{kind}/{id}", self.get_object),
            ("PUT", "/config/{kind}/{id}", self.put_object),
            ("DELETE", "/config/{kind}/{id}", self.remove_object),
            ("GET", "/quarantine", self.list_quarantined),
            ("DELETE", "/quarantine/{id}", self.lift),
            ("POST", "/intents", self.declare),
            ("GET", "/intents", self.list_intents),
            ("GET", "/intents/{id}", self.show_intent),
            ("POST", "/intents/{id}/confirm", self.confirm),
            ("POST", "/intents/{id}/cancel", self.cancel),
        ):
            app.router.add_route(method, PREFIX + path, self._require_token(handler))

    async def show_status(self, request: web.Request) -> web.Response:
        """Answer with the state of this host and its peers."""
        return _json_response(await self._status.read())

    async def list_objects(self, request: web.Request) -> web.Response:
        """Answer with all objects of a kind that are active on this host."""
        kind = _kind_of(request)
        return _json_response(self._status.objects(kind))

    async def get_object(self, request: web.Request) -> web.Response:
        """Answer with one object, in the version active on this host."""
        kind = _kind_of(request)
        object_id = request.match_info["id"]
        found = self._status.objects(kind).get(object_id)
        if found is None:
            raise _unknown_object(kind, object_id)
        return _json_response(found)

    async def put_object(self, request: web.Request) -> web.Response:
        """Write an object; answer only once the platform has stored it."""
        kind = _kind_of(request)
        object_id = request.match_info["id"]
        raw = await request.read()
        _check_object(kind, object_id, raw)
        try:
            version = await self._store.put(
                f"config/{kind}/{object_id}", raw, version=_version_of(request)
            )
        except ConflictError as error:
            raise _version_conflict(kind, object_id) from error
        except PlatformError as error:
            raise platform_away(error) from error
        return _json_response({"accepted": True, "version": version})

    async def remove_object(self, request: web.Request) -> web.Response:
        """Remove an object."""
        kind = _kind_of(request)
        object_id = request.match_info["id"]
        try:
            await self._store.remove(
                f"config/{kind}/{object_id}", version=_version_of(request)
            )
        except ConflictError as error:
            raise _version_conflict(kind, object_id) from error
        except PlatformError as error:
            raise platform_away(error) from error
        return _json_response({"accepted": True})

    async def list_quarantined(self, request: web.Request) -> web.Response:
        """Answer with each quarantined request and the endpoints that it crashed."""
        suspects = self._crash_guard.list_quarantined()
        return _json_response(
            [
                {"id": suspect.fingerprint.hex(), "ended": suspect.open_crashes}
                for suspect in suspects
            ]
        )

    async def lift(self, request: web.Request) -> web.Response:
        """Lift the quarantine of a request on all hosts."""
        request_id = request.match_info["id"]
        try:
            is_lifted = self._crash_guard.lift(bytes.fromhex(request_id))
        except ValueError:
            is_lifted = False
        if not is_lifted:
            raise _unknown_object("quarantined requests", request_id)
        return _json_response({"accepted": True})

    async def declare(self, request: web.Request) -> web.Response:
        """Declare an intent and answer with its plan."""
        try:
            wanted = decode_json(await request.read(), _Declaration)
        except ValueError as error:
            raise refuse(
                Code.BAD_REQUEST, str(error), status=400, step="parse"
            ) from error
        return _json_response(await self._intents.declare(wanted.kind, wanted.params))

    async def list_intents(self, request: web.Request) -> web.Response:
        """Answer with all intents."""
        return _json_response(await self._intents.list())

    async def show_intent(self, request: web.Request) -> web.Response:
        """Answer with one intent and its current state."""
        return _json_response(await self._intents.show(request.match_info["id"]))

    async def confirm(self, request: web.Request) -> web.Response:
        """Confirm an intent, so that its plan is executed."""
        return _json_response(await self._intents.confirm(request.match_info["id"]))

    async def cancel(self, request: web.Request) -> web.Response:
        """Stop an intent before its next step."""
        return _json_response(await self._intents.cancel(request.match_info["id"]))

    def _require_token(self, handler: Handler) -> Handler:
        async def check(request: web.Request) -> web.Response:
            token = read_token(request)
            presented = (token or "").encode()
            is_valid = hmac.compare_digest(presented, self._token.encode())
            if token is None or not self._token or not is_valid:
                raise refuse(
                    Code.UNAUTHENTICATED,
                    "Send the operators' token as 'Authorization: Bearer TOKEN'.",
                    status=401,
                    step="authenticate",
                )
            return await handler(request)

        return check


def _json_response(value: object) -> web.Response:
    return web.Response(body=msgspec.json.encode(value), content_type=JSON_TYPE)


def _kind_of(request: web.Request) -> str:
    kind = request.match_info["kind"]
    if kind not in CONFIG_KINDS:
        raise refuse(
            Code.UNKNOWN_OBJECT,
            f"There is no kind {kind!r}; valid kinds are {', '.join(CONFIG_KINDS)}.",
            status=404,
            step="parse",
        )
    return kind


def _version_of(request: web.Request) -> int | None:
    text = request.headers.get("If-Match")
    if text is None:
        return None
    if not text.isdigit():
        raise refuse(
            Code.BAD_REQUEST,
            "If-Match is not a version number.",
            status=400,
            step="parse",
        )
    return int(text)


def _check_object(kind: str, object_id: str, raw: bytes) -> None:
    """Raise one RefusedError that lists all problems of an object."""
    try:
        value = decode_json(raw, CONFIG_KINDS[kind])
        problems = find_problems(kind, object_id, value)
    except ValueError as error:
        problems = [str(error)]
    if problems:
        raise refuse(Code.BAD_OBJECT, "; ".join(problems), status=422, step="check")


def _unknown_object(kind: str, object_id: str) -> RefusedError:
    return refuse(
        Code.UNKNOWN_OBJECT,
        f"There is no {object_id!r} among the {kind}.",
        status=404,
        step="read",
    )


def _version_conflict(kind: str, object_id: str) -> RefusedError:
    return refuse(
        Code.VERSION_CONFLICT,
        f"{kind}/{object_id} has a different version now; read it again.",
        status=409,
        step="write",
        peer="platform",
    )
