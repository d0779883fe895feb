"""The HTTP server keeps requests byte for byte and rejects ambiguous framing.

It also notices callers that disconnect and limits what slow readers hold up.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from datetime import timedelta

import pytest

from passtally.http_exchange import Exchange, HttpRequest, ServerLimits
from passtally.http_server import HttpServer

LIMITS = ServerLimits(
    max_header=2000,
    max_body=1000,
    header_timeout=timedelta(seconds=0.3),
    idle_timeout=timedelta(seconds=0.5),
)


class Server:
    """A server that records its requests and answers them by a chosen handler."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.cancelled = 0
        self.handle: Callable[[Exchange], Awaitable[None]] = self.echo
        self.http = HttpServer(handle=self._handle, limits=lambda: LIMITS)
        self.port = 0

    async def __aenter__(self) -> "Server":
        self.port = await self.http.start("127.0.0.1", 0)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.http.stop()

    async def echo(self, exchange: Exchange) -> None:
        request = exchange.request
        await exchange.answer(200, [], request.target + b"|" + request.body)

    async def wait(self, exchange: Exchange) -> None:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def _handle(self, exchange: Exchange) -> None:
        self.requests.append(exchange.request)
        await self.handle(exchange)

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.port)

    async def send(self, data: bytes) -> bytes:
        """Send bytes on a new connection; return all data received until it closes."""
        reader, writer = await self.open()
        writer.write(data)
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        return answer


def serve(test: Callable[[Server], Awaitable[None]]) -> None:
    """Run a test against a server."""

    async def run() -> None:
        async with Server() as server:
            await asyncio.wait_for(test(server), 20)

    asyncio.run(run())


class TestBytes:
    @pytest.mark.parametrize(
        "target", [b"/a%2Fb/../c//d?x=%20&y", b"/%E2%82%AC?", b"/a;b=c,d"]
    )
    def test_a_target_is_not_normalised(self, target):
        async def test(server: Server) -> None:
            answer = await server.send(
                b"GET " + target + b" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            )
            assert answer.endswith(target + b"|")
            assert server.requests[0].target == target

        serve(test)

    def test_header_names_keep_their_case(self):
        async def test(server: Server) -> None:
            await server.send(
                b"GET / HTTP/1.1\r\nhOsT: h\r\nX-OdD: a, b\r\nConnection: close\r\n\r\n"
            )
            headers = server.requests[0].headers
            assert (b"X-OdD", b"a, b") in headers
            assert server.requests[0].header(b"x-odd") == b"a, b"
            assert server.requests[0].header(b"x-none") is None

        serve(test)

    def test_a_chunked_body_is_assembled(self):
        async def test(server: Server) -> None:
            answer = await server.send(
                b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                b"Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            assert answer.endswith(b"/|abcde")

        serve(test)

    def test_requests_on_one_connection_are_answered_in_order(self):
        async def test(server: Server) -> None:
            answer = await server.send(
                b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                b"GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                b"GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            )
            assert [item[:4] for item in answer.split(b"\r\n\r\n")[1:]] == [
                b"/1|H",
                b"/2|H",
                b"/3|",
            ]

        serve(test)


SMUGGLED = (
    (
        "length and encoding",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
    ),
    (
        "two lengths",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n"
        b"abcde",
    ),
    ("signed length", b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd"),
    ("bare line feed", b"GET / HTTP/1.1\nHost: h\n\n"),
    ("one bare line feed", b"GET / HTTP/1.1\r\nHost: h\nX: y\r\n\r\n"),
    ("folded line", b"GET / HTTP/1.1\r\nHost: h\r\nX: y\r\n z\r\n\r\n"),
    ("space before the colon", b"GET / HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n"),
    (
        "bad chunk",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
    ),
    (
        "unknown encoding",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    ),
    ("two hosts", b"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"),
    ("no host", b"GET / HTTP/1.1\r\n\r\n"),
    ("no request", b"\x16\x03\x01\x02\r\n\r\n"),
)


class TestFraming:
    @pytest.mark.parametrize(("name", "data"), SMUGGLED, ids=[n for n, _ in SMUGGLED])
    def test_ambiguous_framing_is_rejected_and_the_connection_closed(self, name, data):
        async def test(server: Server) -> None:
            answer = await server.send(data)
            assert answer.split(b" ")[1] in (b"400", b"501"), answer
            assert server.requests == []

        serve(test)

    def test_a_head_that_is_too_long_is_rejected(self):
        async def test(server: Server) -> None:
            head = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 3000
            answer = await server.send(head + b"\r\n\r\n")
            assert answer.split(b" ")[1] == b"431"

        serve(test)

    def test_a_body_that_is_too_long_is_rejected(self):
        async def test(server: Server) -> None:
            answer = await server.send(
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n"
                + b"a" * 1001
            )
            assert answer.split(b" ")[1] == b"413"
            assert server.requests == []

        serve(test)

    def test_a_request_that_arrives_too_slowly_is_rejected_unrun(self):
        async def test(server: Server) -> None:
            answer = await server.send(b"GET / HTTP/1.1\r\nHost:")
            assert answer.split(b" ")[1] == b"408"
            assert server.requests == []

        serve(test)

    def test_an_idle_connection_is_closed(self):
        async def test(server: Server) -> None:
            assert await server.send(b"") == b""

        serve(test)


class TestAnswers:
    def test_an_answer_without_a_length_ends_with_the_connection(self):
        async def test(server: Server) -> None:
            async def handle(exchange: Exchange) -> None:
                await exchange.begin(200, [(b"X-A", b"b")], is_framed=False)
                await exchange.write(b"part")
                await exchange.end()

            server.handle = handle
            answer = await server.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            head, _, body = answer.partition(b"\r\n\r\n")
            assert body == b"part"
            assert b"chunked" not in head.lower()
            assert b"content-length" not in head.lower()

        serve(test)

    def test_an_aborted_answer_does_not_look_complete(self):
        async def test(server: Server) -> None:
            async def handle(exchange: Exchange) -> None:
                await exchange.begin(200, [])
                await exchange.write(b"part")
                await asyncio.sleep(0.05)
                exchange.abort()

            server.handle = handle
            reader, writer = await server.open()
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            received = b""
            try:
                while data := await reader.read(1000):
                    received += data
            except ConnectionResetError:
                pass
            assert b"part" in received
            assert not received.endswith(b"0\r\n\r\n")
            writer.close()

        serve(test)

    def test_a_closing_server_asks_callers_to_open_new_connections(self):
        async def test(server: Server) -> None:
            server.http.is_closing = True
            answer = await server.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            assert b"\r\nConnection: close\r\n" in answer

        serve(test)

    def test_only_idle_connections_are_closed_early(self):
        async def test(server: Server) -> None:
            idle_reader, idle_writer = await server.open()
            busy_reader, busy_writer = await server.open()
            busy_writer.write(b"GET /b HTTP/1.1\r\nHost: h\r\nConn")
            await asyncio.sleep(0.05)
            server.http.close_idle()
            assert await asyncio.wait_for(idle_reader.read(), 1) == b""
            busy_writer.write(b"ection: close\r\n\r\n")
            assert b" 200 " in await asyncio.wait_for(busy_reader.read(), 1)
            for writer in (idle_writer, busy_writer):
                writer.close()

        serve(test)


#: Stays below the size at which a writer waits, and far exceeds the socket buffers.
BODY = b"a" * 50_000
SMALL_BUFFER = 4096


class SlowReader:
    """A caller on a slow link, with small socket buffers on both sides."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.answered = asyncio.Event()
        server.handle = self.answer

    async def answer(self, exchange: Exchange) -> None:
        transport = exchange._connection._transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        await exchange.answer(200, [], BODY)
        assert transport.get_write_buffer_size() > len(BODY) / 2
        self.answered.set()

    async def ask(self, headers: bytes) -> asyncio.StreamReader:
        """Send a request and return once its answer is written but not yet read."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.connect(("127.0.0.1", self.server.port))
        reader, self.writer = await asyncio.open_connection(sock=sock, limit=1024)
        self.writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n" + headers + b"\r\n")
        await self.answered.wait()
        await asyncio.sleep(0)
        return reader


async def read_body(reader: asyncio.StreamReader) -> bytes:
    answer = b""
    while data := await asyncio.wait_for(reader.read(1024), 5):
        answer += data
    return answer.partition(b"\r\n\r\n")[2]


class TestUnsentAnswers:
    """A complete answer is flushed, however slowly its caller reads.

    Closing the connection must not drop the part that is still in the output buffer.
    """

    def test_an_answer_that_closes_its_connection_is_flushed(self):
        async def test(server: Server) -> None:
            caller = SlowReader(server)
            reader = await caller.ask(b"Connection: close\r\n")
            assert await read_body(reader) == BODY
            caller.writer.close()

        serve(test)

    def test_an_answer_of_a_closing_server_is_flushed(self):
        async def test(server: Server) -> None:
            server.http.is_closing = True
            caller = SlowReader(server)
            reader = await caller.ask(b"")
            assert await read_body(reader) == BODY
            caller.writer.close()

        serve(test)

    @pytest.mark.parametrize("headers", [b"", b"Connection: close\r\n"])
    def test_an_answer_of_a_stopping_server_is_flushed(self, headers):
        async def test(server: Server) -> None:
            caller = SlowReader(server)
            reader = await caller.ask(headers)
            stopping = asyncio.create_task(server.http.stop())
            assert await read_body(reader) == BODY
            await stopping
            caller.writer.close()

        serve(test)

    def test_a_caller_that_reads_nothing_is_closed_after_the_idle_timeout(self):
        async def test(server: Server) -> None:
            caller = SlowReader(server)
            await caller.ask(b"Connection: close\r\n")
            began = asyncio.get_running_loop().time()
            while server.http._connections:
                await asyncio.sleep(0.01)
            waited = asyncio.get_running_loop().time() - began
            assert waited < LIMITS.idle_timeout.total_seconds() + 0.3
            caller.writer.transport.abort()

        serve(test)

    def test_a_stop_does_not_wait_for_callers_that_read_nothing(self):
        async def test(server: Server) -> None:
            caller = SlowReader(server)
            await caller.ask(b"")
            await asyncio.wait_for(server.http.stop(), 1)
            caller.writer.transport.abort()

        serve(test)


class TestCallers:
    def test_a_caller_that_disconnects_cancels_its_request(self):
        async def test(server: Server) -> None:
            server.handle = server.wait
            _, writer = await server.open()
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            while not server.requests:
                await asyncio.sleep(0.01)
            writer.close()
            while not server.cancelled:
                await asyncio.sleep(0.01)

        serve(test)

    def test_a_slow_reader_stalls_only_its_own_answer(self):
        async def test(server: Server) -> None:
            written = 0

            async def handle(exchange: Exchange) -> None:
                nonlocal written
                if exchange.request.target == b"/fast":
                    await server.echo(exchange)
                    return
                await exchange.begin(200, [])
                for _ in range(1000):
                    await exchange.write(b"a" * 100_000)
                    written += 100_000

            server.handle = handle
            reader, writer = await server.open()
            writer.write(b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readexactly(10)
            await asyncio.sleep(0.2)
            before = written
            await asyncio.sleep(0.1)
            assert written == before < 50_000_000
            fast = b"GET /fast HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            assert (await server.send(fast)).endswith(b"/fast|")
            writer.transport.abort()

        serve(test)
