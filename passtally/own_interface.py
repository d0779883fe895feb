"""The HTTP server of a host's own interface, for callers and operators."""

from collections.abc import Callable

from aiohttp import web

from passtally.api import (
    METRICS_KEY,
    answer_failures,
    close_connections,
    limit_bodies,
)
from passtally.completion_handler import CompletionHandler
from passtally.held_bodies import HeldBodies
from passtally.listening import LISTEN_BACKLOG, listen_at
from passtally.metrics import Metrics
from passtally.operator_api import OperatorApi
from passtally.plain_handler import PlainHandler
from passtally.settings import Settings


class OwnInterface:
    """Answers completions, calls of plain services and operators.

    Args:
        settings: The settings in force.
        metrics: The sink of metrics.
        completions: Answers completions.
        plain: Answers calls of plain services.
        operator_api: Answers operators.
        is_ready: Returns whether the host takes requests.
        is_stopping: Returns whether the host stops.
        config_version: Returns the version of the configuration in force.
    """

    def __init__(
        self,
        *,
        settings: Settings,
        metrics: Metrics,
        completions: CompletionHandler,
        plain: PlainHandler,
        operator_api: OperatorApi,
        is_ready: Callable[[], bool],
        is_stopping: Callable[[], bool],
        config_version: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._completions = completions
        self._plain = plain
        self._operator_api = operator_api
        self._is_ready = is_ready
        self._is_stopping = is_stopping
        self._config_version = config_version
        self._runner = web.AppRunner(
            self._build_app(), access_log=None, handle_signals=False
        )

    async def start(self) -> None:
        """Prepare to serve, before the first :meth:`listen`."""
        await self._runner.setup()

    async def listen(self) -> None:
        """Listen at the address of the settings.

        Raises:
            OSError: The address can't be used.
        """
        address = self._settings.listen
        listening = listen_at(address.host, address.port)
        await web.SockSite(self._runner, listening, backlog=LISTEN_BACKLOG).start()

    async def stop(self) -> None:
        """Close the sockets and connections."""
        await self._runner.cleanup()

    def _build_app(self) -> web.Application:
        settings = self._settings
        bodies = HeldBodies(limit=settings.max_bodies, metrics=self._metrics)
        app = web.Application(
            middlewares=[
                close_connections(self._is_stopping),
                answer_failures,
                limit_bodies(bodies, max_body=settings.max_body),
            ],
            client_max_size=settings.max_body,
        )
        app[METRICS_KEY] = self._metrics
        app.router.add_post("/v1/chat/completions", self._completions.chat)
        app.router.add_post("/v1/completions", self._completions.text)
        app.router.add_get("/v1/generations/{id}", self._completions.collect)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._plain.serve)
        self._operator_api.add_routes(app)
        app.router.add_get("/healthz", self._answer_health)
        app.router.add_get("/readyz", self._answer_ready)
        return app

    async def _answer_health(self, request: web.Request) -> web.Response:
        return web.json_response({"host": self._settings.host_id, "status": "alive"})

    async def _answer_ready(self, request: web.Request) -> web.Response:
        is_ready = self._is_ready()
        body = {"ready": is_ready, "config_version": self._config_version()}
        return web.json_response(body, status=200 if is_ready else 503)
