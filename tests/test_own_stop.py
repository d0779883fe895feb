"""Connections of the own interface while its host stops."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
from aiohttp import web

from passtally.api import close_connections

REQUEST = b"POST /%s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
#: Time in which a connection must be closed, in seconds.
SOON = 2.0


class Interface:
    """A server whose streams go on until a test ends them."""

    def __init__(self) -> None:
        self.is_stopping = False
        self.end = asyncio.Event()
        app = web.Application(middlewares=[close_connections(lambda: self.is_stopping)])
        app.router.add_post("/whole", self._answer)
        app.router.add_post("/stream", self._stream)
        self._runner = web.AppRunner(app, access_log=None)

    @contextlib.asynccontextmanager
    async def connect(
        self,
    ) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        reader, writer = await asyncio.open_connection(*self._runner.addresses[0])
        try:
            yield reader, writer
        finally:
            writer.close()
            await self._runner.cleanup()

    async def _answer(self, request: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b"part")
        await self.end.wait()
        return response


class TestStop:
    # Guards against callers that send on over kept connections of a host that stops,
    # so that it is killed while it serves them.
    @pytest.mark.parametrize("path", [b"whole", b"stream"])
    def test_a_connection_is_closed_after_its_answer(self, path):
        async def test() -> None:
            interface = Interface()
            async with interface.connect() as (reader, writer):
                writer.write(REQUEST % b"whole")
                assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
                interface.is_stopping = path == b"whole"
                writer.write(REQUEST % path)
                head = await reader.readuntil(b"\r\n\r\n")
                assert (b"connection: close" in head.lower()) == interface.is_stopping
                interface.is_stopping = True
                interface.end.set()
                async with asyncio.timeout(SOON):
                    await reader.read()

        asyncio.run(test())

    def test_a_host_that_does_not_stop_keeps_its_connections(self):
        async def test() -> None:
            interface = Interface()
            async with interface.connect() as (reader, writer):
                for _ in range(3):
                    writer.write(REQUEST % b"whole")
                    assert b"200 OK" in await reader.readuntil(b"ok")

        asyncio.run(test())
