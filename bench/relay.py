"""Baseline relays: one without routing, and one that restarts lost requests."""

from collections.abc import AsyncIterator

import aiohttp
import click
from aiohttp import web

from standins.serving import run_app

SEPARATOR = b"\n\n"


class Relay:
    """Relay that forwards responses chunk by chunk, with round-robin upstreams.

    Args:
        upstreams: Base URLs of the upstreams.
    """

    def __init__(self, upstreams: list[str]) -> None:
        self._upstreams = upstreams
        self._count = 0

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Relay a request without retries."""
        self._count += 1
        url = self._upstreams[self._count % len(self._upstreams)]
        body = await request.read()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        async with self._session.post(url + request.path, data=body) as upstream:
            await response.prepare(request)
            while chunk := await upstream.content.readany():
                await response.write(chunk)
        return response

    async def serve_again(self, request: web.Request) -> web.StreamResponse:
        """Relay a request; if its upstream fails, rerun it from the start on the next.

        Events that the caller already has are not sent again.
        """
        body = await request.read()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        sent = 0
        while True:
            self._count += 1
            url = self._upstreams[self._count % len(self._upstreams)]
            try:
                async for number, event in self._events(url + request.path, body):
                    if number >= sent:
                        await response.write(event + SEPARATOR)
                        sent = number + 1
                return response
            except aiohttp.ClientError:
                continue

    async def _events(self, url: str, body: bytes) -> AsyncIterator[tuple[int, bytes]]:
        number = 0
        async with self._session.post(url, data=body) as upstream:
            rest = b""
            while chunk := await upstream.content.readany():
                *whole, rest = (rest + chunk).split(SEPARATOR)
                for event in whole:
                    yield number, event
                    number += 1

    async def open(self, app: web.Application):
        """Keep a client session open while the application runs."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=None)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            self._session = session
            yield


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--upstream", "upstreams", multiple=True, required=True)
@click.option("--start-again", is_flag=True)
def main(port: int, upstreams: tuple[str, ...], start_again: bool) -> None:
    """Run the relay on a port."""
    relay = Relay(list(upstreams))
    app = web.Application()
    handler = relay.serve_again if start_again else relay.serve
    app.router.add_post("/{path:.*}", handler)
    app.cleanup_ctx.append(relay.open)

    run_app(lambda: app, port)


if __name__ == "__main__":
    main()
