"""A process that answers without a length, until it is killed.

It writes two ports: of the HTTP server, and of the own interface's. The path is the
number of bytes of the body, followed by ``/whole`` or ``/part``: a part has no end.
"""

import asyncio
import sys
from datetime import timedelta

import uvloop
from aiohttp import web

from passtally.http_exchange import Exchange
from passtally.http_server import HttpServer
from passtally.output_buffers import OutputBuffers, OutputLimits
from passtally.unframed_response import UnframedResponse

#: Time after which an answer is aborted whose caller reads nothing.
UNREAD_TIMEOUT = timedelta(seconds=2)


async def answer(exchange: Exchange) -> None:
    size, _, part = exchange.request.target.decode().strip("/").partition("/")
    await exchange.begin(200, [], is_framed=False)
    await exchange.write(b"x" * int(size))
    if part == "part":
        await asyncio.Event().wait()
    await exchange.end()


async def answer_own(request: web.Request) -> web.StreamResponse:
    response = UnframedResponse(status=200)
    await response.prepare(request)
    await response.write(b"x" * int(request.match_info["size"]))
    if request.match_info["part"] == "part":
        await asyncio.Event().wait()
    return response


async def main() -> None:
    limits = OutputLimits(timeout=UNREAD_TIMEOUT)
    server = HttpServer(handle=answer, output=OutputBuffers(limits=limits))
    port = await server.start("127.0.0.1", 0)
    app = web.Application()
    app.router.add_get("/{size}/{part}", answer_own)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    print(port, runner.addresses[0][1], flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(main())
    sys.exit(0)
