"""HTTP server of the stand-ins."""

from collections.abc import Callable

import uvloop
from aiohttp import web

BACKLOG = 2048


def run_app(build: Callable[[], web.Application], port: int) -> None:
    """Serve an application on loopback until SIGINT or SIGTERM.

    Args:
        build: Factory of the application; it is called inside the event loop.
        port: TCP port to listen on.
    """

    async def build_in_loop() -> web.Application:
        return build()

    web.run_app(
        build_in_loop(),
        host="127.0.0.1",
        port=port,
        print=None,
        access_log=None,
        backlog=BACKLOG,
        loop=uvloop.new_event_loop(),
    )
