"""Request bodies at the own interface, which a host holds up to a limit."""

import asyncio
from collections.abc import AsyncIterator

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from passtally.api import METRICS_KEY, answer_failures, limit_bodies
from passtally.held_bodies import HeldBodies
from passtally.metrics import NoMetrics

MAX_BODY, LIMIT = 1_000, 2_500


async def chunks() -> AsyncIterator[bytes]:
    yield b"c" * 10


class Interface:
    """A server whose handler waits until a test lets it answer."""

    def __init__(self) -> None:
        self.bodies = HeldBodies(limit=LIMIT)
        self.answer = asyncio.Event()
        self.app = web.Application(
            middlewares=[answer_failures, limit_bodies(self.bodies, max_body=MAX_BODY)],
            client_max_size=MAX_BODY,
        )
        self.app[METRICS_KEY] = NoMetrics()
        self.app.router.add_post("/", self._handle)
        self.app.router.add_get("/", self._answer)

    async def _handle(self, request: web.Request) -> web.Response:
        body = await request.read()
        await self.answer.wait()
        return web.Response(text=str(len(body)))

    async def _answer(self, request: web.Request) -> web.Response:
        return web.Response(text=str(self.bodies.held))


class TestBodies:
    # Guards against many large uploads at once that take the host's memory.
    @pytest.mark.parametrize("last", [b"b" * MAX_BODY, chunks])
    def test_one_beyond_the_hosts_limit_is_refused_at_once(self, last):
        async def test() -> None:
            interface = Interface()
            async with TestClient(TestServer(interface.app)) as client:
                held = [
                    asyncio.create_task(client.post("/", data=b"b" * MAX_BODY))
                    for _ in range(2)
                ]
                while interface.bodies.held < 2 * MAX_BODY:
                    await asyncio.sleep(0.005)
                data = last if isinstance(last, bytes) else last()
                refused = await client.post("/", data=data)
                assert refused.status == 503
                assert refused.headers["Retry-After"] == "1"
                assert (await refused.json())["error"]["outcome"] == "not_run"
                interface.answer.set()
                answers = [await request for request in held]
                assert [answer.status for answer in answers] == [200] * 2
                assert interface.bodies.held == 0
                again = await client.post("/", data=data if last != chunks else last())
                assert again.status == 200

        asyncio.run(test())

    # Guards against health checks and other requests without a body that are refused,
    # or that count like the longest body, while they are open.
    def test_a_request_without_one_is_served_while_the_limit_is_reached(self):
        async def test() -> None:
            interface = Interface()
            assert interface.bodies.open().reserve(LIMIT)
            async with TestClient(TestServer(interface.app)) as client:
                answer = await client.get("/")
                assert (answer.status, await answer.text()) == (200, str(LIMIT))

        asyncio.run(test())

    def test_one_that_is_too_long_is_told_so(self):
        async def test() -> None:
            interface = Interface()
            async with TestClient(TestServer(interface.app)) as client:
                answer = await client.post("/", data=b"b" * (LIMIT + 1))
                assert answer.status == 413
                assert interface.bodies.held == 0

        asyncio.run(test())
