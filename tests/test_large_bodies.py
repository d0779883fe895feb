"""Large request bodies, many at once, at a host with little memory."""

import asyncio
import itertools
import re
from collections import Counter
from pathlib import Path

import pytest

from passtally.held_bodies import HeldBodies
from passtally.http_exchange import Exchange, ServerLimits
from passtally.http_server import HttpServer
from standins.platform_config import KEY, LOOKUPS, make_config
from standins.runner import RunnerStandIn
from tests.host_process import is_ready, running

MIB = 1024 * 1024
BODY = b"b" * (4 * MIB)
#: The memory of the host, and what it may use, in MB.
MEMORY, MOST_USED = 300, 240
#: Calls that are sent within a time, in seconds, and the run time of each.
CALLS, SEND_TIME, RUN_TIME = 60, 1.5, 1.0

_numbers = itertools.count()


async def call(port: int, *, is_chunked: bool = False) -> tuple[int, bytes]:
    """Send a call with a large body to its end; return the status and the head."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    framing = "Transfer-Encoding: chunked" if is_chunked else "Content-Length: %d"
    head = (
        f"POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nX-Key: {KEY}\r\n"
        f"X-Request-Id: q{next(_numbers)}\r\nConnection: close\r\n{framing}\r\n\r\n"
    )
    if is_chunked:
        writer.write(head.encode())
        for start in range(0, len(BODY), MIB):
            writer.write(b"%x\r\n%s\r\n" % (MIB, BODY[start : start + MIB]))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
    else:
        writer.write((head % len(BODY)).encode() + BODY)
    await writer.drain()
    answer = await asyncio.wait_for(reader.read(), 20)
    writer.close()
    return int(answer.split(b" ")[1]), answer.partition(b"\r\n\r\n")[0]


class TestRefusals:
    # Guards against a refusal that its caller never reads, since the connection is
    # reset while the caller still sends the body.
    @pytest.mark.parametrize("is_chunked", [False, True])
    @pytest.mark.parametrize(("limit", "status"), [(8 * MIB, 413), (MIB, 503)])
    def test_a_caller_that_is_still_sending_gets_the_answer(
        self, limit, status, is_chunked
    ):
        limits = ServerLimits(max_body=3 * MIB if status == 413 else 8 * MIB)
        bodies = HeldBodies(limit=limit)

        async def answer(exchange: Exchange) -> None:
            await exchange.answer(200, [], b"")

        async def test() -> None:
            server = HttpServer(handle=answer, limits=lambda: limits, bodies=bodies)
            port = await server.start("127.0.0.1", 0)
            try:
                assert (await call(port, is_chunked=is_chunked))[0] == status
                assert bodies.held == 0
            finally:
                await server.stop()

        asyncio.run(test())

    # Guards against a request that is refused only when a part of its body has taken
    # the room of others.
    def test_a_stated_length_is_refused_before_the_body_arrives(self):
        bodies = HeldBodies(limit=MIB)

        async def answer(exchange: Exchange) -> None:
            await exchange.answer(200, [], b"")

        async def test() -> None:
            server = HttpServer(handle=answer, bodies=bodies)
            port = await server.start("127.0.0.1", 0)
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(
                    b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
                    % len(BODY)
                )
                line = await asyncio.wait_for(reader.readline(), 2)
                assert line.startswith(b"HTTP/1.1 503 ")
                writer.close()
            finally:
                await server.stop()

        asyncio.run(test())


class TestMemory:
    # Guards against bodies of the allowed size that together take more than the memory
    # of the host, so that the platform ends it with all that it serves.
    def test_a_host_keeps_within_its_memory(self, tmp_path: Path):
        async def main() -> None:
            lines = f"limits.memory_mb={MEMORY}\n"
            async with running(tmp_path, lines=lines) as host:
                runner = RunnerStandIn("i-1", find=lambda address: None)
                await runner.start()
                try:
                    runner.faults.answer_delay = RUN_TIME
                    host.store.put("servers", "i-1", runner.entry(LOOKUPS, slots=CALLS))
                    host.store.put("config", "main", make_config(2, limits=_limits()))
                    while (
                        not await is_ready(host) or (await call(host.front))[0] != 200
                    ):
                        await asyncio.sleep(0.05)
                    answers = await asyncio.gather(
                        *(_call_after(number, host.front) for number in range(CALLS))
                    )
                    counts = Counter(status for status, _ in answers)
                    assert set(counts) == {200, 503}, counts
                    assert len(runner.ran) - 1 == counts[200]
                    for status, head in answers:
                        assert status == 200 or b"Retry-After: " in head
                    assert _peak_memory(host.process.pid) < MOST_USED
                    assert (await call(host.front))[0] == 200
                finally:
                    await runner.stop()

        asyncio.run(asyncio.wait_for(main(), 60))


def _limits() -> dict[str, int]:
    return {
        "max_header_bytes": 16384,
        "max_body_bytes": len(BODY),
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }


async def _call_after(number: int, port: int) -> tuple[int, bytes]:
    await asyncio.sleep(number * SEND_TIME / CALLS)
    return await call(port)


def _peak_memory(pid: int) -> float:
    """Return the largest resident size that a process had, in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1000
