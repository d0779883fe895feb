"""Callers that do not read cost a bounded amount of memory and nobody else's answer."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta

import pytest

from passtally.held_bodies import HeldBodies
from passtally.http_exchange import Exchange
from passtally.http_server import HttpServer
from passtally.metrics import Metric, NoMetrics
from passtally.output_buffers import OutputBuffers, OutputLimits

CHUNK = b"x" * 16_384
#: More than the socket buffers of a connection hold, in chunks.
MANY = 1_500
SMALL_WINDOW = 4_096
TIMEOUT = timedelta(milliseconds=300)
REQUEST = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = OutputLimits(stream=1 << 20, host=8 << 20, timeout=timedelta(seconds=20))


class CountingMetrics(NoMetrics):
    """Keeps the number of counts of each metric."""

    def __init__(self) -> None:
        self.counts: dict[Metric, int] = {}

    def count(self, metric: Metric, part: str = "") -> None:
        self.counts[metric] = self.counts.get(metric, 0) + 1


class Host:
    """A server whose handler streams or answers as the path says."""

    def __init__(
        self, limits: OutputLimits, *, bodies: int = 1 << 20, chunks: int = MANY
    ) -> None:
        self.metrics = CountingMetrics()
        self.output = OutputBuffers(limits=limits, metrics=self.metrics)
        self.bodies = HeldBodies(limit=bodies, metrics=self.metrics)
        self.chunks = chunks
        #: Chunks written per path.
        self.written: dict[str, int] = {}
        #: How the request of each path ended: ``flushed`` or the error.
        self.ends: dict[str, str] = {}
        self.changed = asyncio.Event()
        self.http = HttpServer(
            handle=self._handle, output=self.output, bodies=self.bodies
        )
        self._sockets: list[socket.socket] = []

    async def __aenter__(self) -> "Host":
        self.port = await self.http.start("127.0.0.1", 0)
        return self

    async def __aexit__(self, *error: object) -> None:
        for connection in self._sockets:
            connection.close()
        await self.http.stop()

    async def ask(self, path: str) -> socket.socket:
        """Send a request on a connection with a small window, and read nothing."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_WINDOW)
        connection.setblocking(False)
        self._sockets.append(connection)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, ("127.0.0.1", self.port))
        await loop.sock_sendall(connection, REQUEST % path.encode())
        return connection

    async def wait(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(15):
            while not condition():
                self.changed.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), 0.05)

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.request.target.decode().strip("/")
        try:
            await self._answer(exchange, path)
            self.ends[path] = "flushed"
        except BaseException as error:
            self.ends[path] = f"{type(error).__name__}: {error}"
            raise
        finally:
            self.changed.set()

    async def _answer(self, exchange: Exchange, path: str) -> None:
        if path.startswith("whole"):
            await exchange.answer(200, [], CHUNK * self.chunks)
            return
        await exchange.begin(200, [])
        for _ in range(self.chunks):
            await exchange.write(CHUNK)
            self.written[path] = self.written.get(path, 0) + 1
            self.changed.set()
            await asyncio.sleep(0)
        await exchange.end()
        await exchange.flush()


def serve(
    test: Callable[[Host], Awaitable[None]], limits: OutputLimits = LIMITS, **options
) -> None:
    """Run a test against a server."""

    async def run() -> None:
        async with Host(limits, **options) as host:
            await asyncio.wait_for(test(host), 30)

    asyncio.run(run())


async def read_all(connection: socket.socket) -> int:
    """Read until nothing has come for a second; return the number of bytes."""
    loop = asyncio.get_running_loop()
    size = 0
    with contextlib.suppress(TimeoutError, ConnectionError):
        while data := await asyncio.wait_for(loop.sock_recv(connection, 1 << 20), 1):
            size += len(data)
    return size


class TestOneStream:
    # Guards against: an engine waits for a caller that reads slowly although little
    # output is left to keep.
    def test_an_endpoint_is_read_to_its_end_within_the_limit(self):
        async def test(host: Host) -> None:
            connection = await host.ask("slow")
            await host.wait(lambda: host.written.get("slow") == host.chunks)
            assert await read_all(connection) > host.chunks * len(CHUNK)

        serve(test, chunks=60)

    # Guards against: a caller that reads nothing costs unbounded memory.
    def test_beyond_the_limit_the_endpoint_waits(self):
        async def test(host: Host) -> None:
            connection = await host.ask("slow")
            await host.wait(lambda: host.output.total > LIMITS.stream)
            assert host.output.total < LIMITS.stream + 2 * len(CHUNK)
            assert not host.ends
            assert await read_all(connection) > host.chunks * len(CHUNK)
            assert host.ends == {"slow": "flushed"}
            assert host.output.total == 0

        serve(test)

    # Guards against: an engine's memory is held for ever by a caller that has stopped
    # to read.
    def test_a_stalled_caller_is_cut_off_with_the_reason(self):
        async def test(host: Host) -> None:
            await host.ask("slow")
            await host.wait(lambda: "slow" in host.ends)
            assert "read nothing for 0.3 s" in host.ends["slow"]
            assert host.metrics.counts[Metric.UNREAD_ABORTED] == 1
            assert host.output.total == 0

        limits = OutputLimits(stream=1 << 20, host=8 << 20, timeout=TIMEOUT)
        serve(test, limits)

    # Guards against: the time limit cuts off a caller that does read, if slowly.
    def test_a_caller_that_reads_a_little_is_not_cut_off(self):
        async def test(host: Host) -> None:
            connection = await host.ask("slow")
            await host.wait(lambda: host.output.total > LIMITS.stream)
            loop = asyncio.get_running_loop()
            for _ in range(10):
                await loop.sock_recv(connection, 1 << 16)
                await asyncio.sleep(TIMEOUT.total_seconds() / 3)
            assert not host.ends

        limits = OutputLimits(stream=1 << 20, host=8 << 20, timeout=TIMEOUT)
        serve(test, limits)

    # Guards against: a stopping host counts a stream as done while a megabyte of it is
    # unread, and cuts it off.
    def test_a_stream_is_open_until_it_is_nearly_read(self):
        async def test(host: Host) -> None:
            # The first stream finds how much the sockets themselves hold.
            connection = await host.ask("slow")
            await host.wait(lambda: host.written.get("slow") == host.chunks)
            assert host.output.total > 200_000
            assert "slow" not in host.ends
            await read_all(connection)
            assert host.ends == {"slow": "flushed"}

        limits = OutputLimits(stream=64 << 20, host=64 << 20)
        serve(test, limits)


class TestAllStreams:
    # Guards against: many slow callers together cost more memory than the host has.
    def test_the_largest_streams_are_cut_off_at_the_hosts_limit(self):
        async def test(host: Host) -> None:
            for number in range(4):
                await host.ask(f"slow{number}")
            await host.wait(lambda: len(host.ends) == 2)
            assert all("of the host" in end for end in host.ends.values())
            await asyncio.sleep(0.1)
            assert len(host.ends) == 2
            assert host.output.total <= limits.host

        limits = OutputLimits(stream=4 << 20, host=10 << 20)
        serve(test, limits)

    # Guards against: callers that do not read delay or break the answers of others.
    def test_others_are_served_meanwhile(self):
        async def test(host: Host) -> None:
            for number in range(6):
                await host.ask(f"slow{number}")
            await host.wait(lambda: host.output.total > 3 << 20)
            reader = await host.ask("reads")
            assert await read_all(reader) > host.chunks * len(CHUNK)

        serve(test)

    # Guards against: an answer that is complete is dropped at a limit.
    def test_a_complete_answer_is_never_cut_off(self):
        async def test(host: Host) -> None:
            connection = await host.ask("whole")
            await host.wait(lambda: host.output.total > limits.host)
            await host.ask("slow")
            await host.wait(lambda: "slow" in host.ends)
            assert "of the host" in host.ends["slow"]
            await asyncio.sleep(2 * TIMEOUT.total_seconds())
            assert await read_all(connection) > host.chunks * len(CHUNK)

        limits = OutputLimits(stream=1 << 20, host=2 << 20, timeout=TIMEOUT)
        serve(test, limits)


class TestRequestBodies:
    POST = b"POST /whole HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%b"

    async def post(self, host: Host, body: bytes, length: int) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", host.port)
        writer.write(self.POST % (length, body))
        try:
            return await reader.read(4_096)
        finally:
            writer.close()

    # Guards against: many large uploads at once take the host's memory.
    def test_a_body_beyond_the_hosts_limit_is_refused(self):
        async def test(host: Host) -> None:
            answer = await self.post(host, b"b" * 60_000, 60_000)
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"\r\nRetry-After: 1\r\n" in answer
            assert b"has not run" in answer
            assert not host.ends, "the request was not handled"
            assert host.metrics.counts[Metric.BODIES_REFUSED] == 1

        serve(test, bodies=50_000, chunks=1)

    # Guards against: bodies of requests that have ended still count.
    @pytest.mark.parametrize("is_whole", [True, False])
    def test_a_body_counts_until_its_request_ends(self, is_whole):
        async def test(host: Host) -> None:
            if is_whole:
                assert (await self.post(host, b"b" * 30_000, 30_000))[9:12] == b"200"
            else:
                _, writer = await asyncio.open_connection("127.0.0.1", host.port)
                writer.write(self.POST % (40_000, b"b" * 30_000))
                await host.wait(lambda: host.bodies.held >= 30_000)
                writer.close()
            await host.wait(lambda: host.bodies.held == 0)
            assert (await self.post(host, b"b" * 50_000, 50_000))[9:12] == b"200"

        serve(test, bodies=50_000, chunks=1)
