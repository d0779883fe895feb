"""The baseline of the forwarding benchmark: a bare relay with no decisions."""

import aiohttp
import click
from aiohttp import web

from standins.serving import run_app


class Relay:
    """Copies one upstream's answers, chunk by chunk.

    Args:
        upstreams: Where requests go, in turn.
    """

    def __init__(self, upstreams: list[str]) -> None:
        self._upstreams = upstreams
        self._count = 0

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Relay one request."""
        self._count += 1
        url = self._upstreams[self._count % len(self._upstreams)]
        body = await request.read()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        async with self._session.post(url + request.path, data=body) as upstream:
            await response.prepare(request)
            while chunk := await upstream.content.readany():
                await response.write(chunk)
        return response

    async def open(self, app: web.Application):
        """Hold the client session while the application runs."""
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
def main(port: int, upstreams: tuple[str, ...]) -> None:
    """Run the relay."""
    relay = Relay(list(upstreams))
    app = web.Application()
    app.router.add_post("/{path:.*}", relay.serve)
    app.cleanup_ctx.append(relay.open)

    run_app(lambda: app, port)


if __name__ == "__main__":
    main()
