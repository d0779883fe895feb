"""Endpoints in trouble whose bytes are no answer and have no end."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from types import SimpleNamespace

import pytest

from passtally.clock import SystemClock
from passtally.engine import AttemptLostError
from passtally.front_host import FrontHost
from passtally.held_bodies import FREE_ANSWER, MAX_ANSWER_BYTES, HeldBodies
from passtally.http_client import (
    MAX_INTERIM_ANSWERS,
    ClientConnection,
    ExchangeError,
)
from passtally.http_exchange import EVENTS_PER_TURN
from passtally.http_server import HttpServer
from passtally.plain_handler import SessionSender, open_session
from passtally.retry import LossKind
from standins.platform_config import ENGINE, LOOKUPS, make_config
from standins.runner import PROOF
from tests.platform_system import PlatformSystem, run
from tests.test_calls import make_call

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
PROVEN_HEAD = f"HTTP/1.1 200 OK\r\nX-Response-Stamp: {PROOF}\r\n\r\n".encode()
#: What endpoints send first, and what they repeat without end.
INTERIM_ONLY = b"", INTERIM
BODY_ONLY = PROVEN_HEAD, b"x" * 1024
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SHAPES = {
    "interim": INTERIM_ONLY,
    "body": BODY_ONLY,
    "first line": (b"HTTP/1.1 200 ", b"x" * 1024),
    "header": (b"HTTP/1.1 200 OK\r\nX-Odd: ", b"x" * 1024),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-Odd: 1\r\n"),
    "chunk size": (CHUNKED, b"0" * 1024),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Odd: 1\r\n"),
    "no answer": (b"", b"\x00" * 1024),
}
#: Number of repetitions that are sent at once.
AT_ONCE = 200
#: Time in which an answer that is none is to be recognized, in seconds.
SOON = 2.0
#: Longest time that a host's other callers may wait, in seconds.
UNNOTICED = 0.5
CALLS = 6
#: Number of bytes that a host and the buffers of the connection may take of an answer
#: of at most 1 MB to a question of its own.
MOST_SENT = 16 << 20
#: Number of calls that would hold more than the limit.
MANY_CALLS = 40


class EndlessEndpoint:
    """An endpoint that answers each request without end, until it is closed."""

    def __init__(self, first: bytes, repeated: bytes) -> None:
        self.first, self.repeated = first, repeated * AT_ONCE
        self.open = 0
        self.requests = 0
        #: Number of bytes taken from this endpoint, by connection.
        self.sent: list[int] = []
        self.address = ""

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.open += 1
        number = len(self.sent)
        self.sent.append(0)
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self.first)
            while True:
                writer.write(self.repeated)
                await writer.drain()
                self.sent[number] += len(self.repeated)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()


@contextlib.asynccontextmanager
async def endless(
    system: PlatformSystem, service: str, shape: tuple[bytes, bytes]
) -> AsyncIterator[EndlessEndpoint]:
    """Start a host before one endpoint that answers without end."""
    endpoint = EndlessEndpoint(*shape)
    await endpoint.start()
    try:
        system.store.put("config", "main", make_config())
        entry = {
            "service": service,
            "address": endpoint.address,
            "zone": "pilar",
            "version": "v1",
            "slots": 64,
            "state": "ready",
        }
        system.store.put("servers", "i-endless", entry)
        await system.add_host()
        await system.wait_ready(1)
        yield endpoint
    finally:
        endpoint.stop()


async def longest_pause(until: asyncio.Future) -> float:
    """Return the longest time for which the event loop ran nothing else, in seconds."""
    longest, last = 0.0, time.monotonic()
    while not until.done():
        await asyncio.sleep(0.005)
        now = time.monotonic()
        longest, last = max(longest, now - last), now
    return longest


class TestHosts:
    # Guards against a host that is stalled, and a caller that is held, by an endpoint
    # that sends interim answers without end.
    @pytest.mark.parametrize(
        ("service", "path"), [(LOOKUPS, "/look/1"), (ENGINE, "/draft/1")]
    )
    def test_interim_answers_without_end_are_no_answer(self, service, path):
        async def test(system: PlatformSystem) -> None:
            async with endless(system, service, INTERIM_ONLY) as endpoint:
                send = system.send if service == LOOKUPS else system.stream
                sent = asyncio.gather(*(send(path) for _ in range(CALLS)))
                pause = await longest_pause(sent)
                answers = await sent
                assert {answer.status for answer in answers} <= {502, 503}
                assert pause < UNNOTICED
                async with asyncio.timeout(SOON):
                    while endpoint.open:
                        await asyncio.sleep(0.01)

        run(test)

    # Guards against a host that is ended by its memory limit, since calls whose answers
    # have no end hold 16 MB each.
    def test_bodies_without_end_are_held_up_to_a_limit(self):
        async def test(system: PlatformSystem) -> None:
            async with endless(system, LOOKUPS, BODY_ONLY) as endpoint:
                sent = asyncio.gather(
                    *(system.send("/book/1", body=b"1") for _ in range(MANY_CALLS))
                )
                held = 0
                while not sent.done():
                    held = max(held, sender_of(system.hosts[0]).held)
                    await asyncio.sleep(0.005)
                assert FREE_ANSWER < held <= system.hosts[0].settings.max_answers
                assert {answer.status for answer in await sent} <= {502, 504}
                assert endpoint.requests
                assert sender_of(system.hosts[0]).held == 0

        run(test)

    # Guards against an endpoint, or a new version, that is held to be at fault for what
    # its host can't hold.
    def test_the_limit_of_a_host_is_no_fault_of_the_endpoint(self):
        async def test(system: PlatformSystem) -> None:
            async with endless(system, LOOKUPS, BODY_ONLY):
                host = system.hosts[0]
                sender_of(host).limit = 0
                faults = []
                host.fleet.call_failures.record = lambda live, *, is_fault: (
                    faults.append(is_fault)
                )
                answer = await system.send("/book/1", body=b"1")
                assert answer.status == 502
                assert faults == []
                refused = b"answers_refused"
                assert refused in host.render_metrics()

        run(test)


def sender_of(host: FrontHost) -> HeldBodies:
    """Return the answers that a host is reading."""
    return host.caller._sender._answers


class TestQueries:
    """What a host asks of an endpoint for itself."""

    # Guards against a host that keeps what an endpoint in trouble sends in answer to a
    # question of the host's own, or is stalled by it.
    @pytest.mark.parametrize("shape", SHAPES)
    @pytest.mark.parametrize("name", ["count_waiting", "list_cached_prompts"])
    def test_bytes_without_end_are_no_answer(self, name, shape):
        async def test(system: PlatformSystem) -> None:
            async with endless(system, ENGINE, SHAPES[shape]) as endpoint:
                engine = system.hosts[0].fleet.find("i-endless").engine
                asked = asyncio.gather(
                    *(getattr(engine, name)() for _ in range(CALLS)),
                    return_exceptions=True,
                )
                pause = await longest_pause(asked)
                assert {type(answer) for answer in await asked} == {AttemptLostError}
                assert endpoint.requests == CALLS
                assert pause < UNNOTICED
                async with asyncio.timeout(SOON):
                    while endpoint.open:
                        await asyncio.sleep(0.01)
                assert max(endpoint.sent) < MOST_SENT

        run(test)


class TestOwnInterface:
    """Plain calls at the own interface, which another client library sends."""

    def send(self, *, limit: int) -> tuple[AttemptLostError, HeldBodies]:
        """Send a call to an endpoint whose answer has no end."""
        bodies = HeldBodies(limit=limit, free=FREE_ANSWER)

        async def test() -> AttemptLostError:
            endpoint = EndlessEndpoint(*BODY_ONLY)
            await endpoint.start()
            live = SimpleNamespace(
                endpoint=SimpleNamespace(id="e", url=f"http://{endpoint.address}")
            )
            async with open_session() as session:
                sender = SessionSender(session=session, answers=bodies)
                with pytest.raises(AttemptLostError) as caught:
                    async with asyncio.timeout(10 * SOON):
                        await sender.send(make_call(), live)
            endpoint.stop()
            return caught.value

        return asyncio.run(test()), bodies

    # Guards against an answer that is read for as long as it comes.
    def test_an_answer_without_end_is_no_answer(self):
        loss, bodies = self.send(limit=2 * MAX_ANSWER_BYTES)
        assert loss.kind is LossKind.RESUME_MISMATCH
        assert bodies.held == 0

    def test_the_limit_of_the_host_applies(self):
        loss, bodies = self.send(limit=FREE_ANSWER)
        assert loss.kind is LossKind.NOT_HELD
        assert bodies.held == 0


class TestHeldBodies:
    # Guards against usual answers that are given up for others without end.
    def test_a_small_body_is_held_at_the_limit(self):
        bodies = HeldBodies(limit=100, free=10)
        large, small, other = bodies.open(), bodies.open(), bodies.open()
        assert large.reserve(110)
        assert not large.reserve(1)
        assert small.reserve(10)
        assert not other.reserve(11)
        large.release()
        assert other.reserve(11)
        assert bodies.held == 1


def make_connection() -> tuple[ClientConnection, asyncio.Transport]:
    """Return a connection that has been sent a request, without a peer."""
    connection = ClientConnection(clock=SystemClock())
    transport = FakeTransport()
    connection.connection_made(transport)
    return connection, transport


class FakeTransport(asyncio.Transport):
    """A transport that drops what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False

    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        self.is_aborted = True

    def is_closing(self) -> bool:
        return self.is_aborted

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0


async def count_turns(work: asyncio.Task) -> int:
    """Return how often other tasks run until some work is done."""
    turns = 0
    while not work.done():
        turns += 1
        await asyncio.sleep(0)
    return turns


class TestOneConnection:
    """What one connection sends must not hold the event loop, whatever its shape."""

    def send(self, connection: ClientConnection) -> asyncio.Task:
        return asyncio.create_task(
            connection.send(b"GET", b"/", [(b"Host", b"h")], b"")
        )

    @pytest.mark.parametrize("count", [0, 1, MAX_INTERIM_ANSWERS])
    def test_some_interim_answers_are_passed_over(self, count):
        async def test() -> None:
            connection, _ = make_connection()
            sending = self.send(connection)
            await asyncio.sleep(0)
            connection.data_received(INTERIM * count + PROVEN_HEAD)
            assert (await sending).status == 200

        asyncio.run(test())

    def test_more_are_no_answer(self):
        async def test() -> None:
            connection, transport = make_connection()
            sending = self.send(connection)
            await asyncio.sleep(0)
            connection.data_received(INTERIM * (MAX_INTERIM_ANSWERS + 1) + PROVEN_HEAD)
            with pytest.raises(ExchangeError) as caught:
                await sending
            assert caught.value.is_garbled
            assert transport.is_aborted

        asyncio.run(test())

    # Guards against a loop that is held by an answer in chunks of one byte.
    def test_an_answer_in_tiny_chunks_leaves_turns_to_others(self):
        async def test() -> None:
            connection, _ = make_connection()
            sending = self.send(connection)
            await asyncio.sleep(0)
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            count = 100 * EVENTS_PER_TURN
            chunks = b"1\r\nx\r\n" * count + b"0\r\n\r\n"
            connection.data_received(head + chunks)
            await sending
            reading = asyncio.create_task(connection.read_all(count))
            assert await count_turns(reading) >= 100
            assert await reading == b"x" * count

        asyncio.run(test())

    # The same for the body of a caller's request.
    def test_a_request_in_tiny_chunks_leaves_turns_to_others(self):
        async def test() -> None:
            bodies: list[bytes] = []

            async def handle(exchange) -> None:
                bodies.append(exchange.request.body)
                await exchange.answer(200, [], b"")

            server = HttpServer(handle=handle)
            port = await server.start("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            count = 1000 * EVENTS_PER_TURN
            head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"1\r\nx\r\n" * count + b"0\r\n\r\n")
            reading = asyncio.create_task(reader.readuntil(b"\r\n\r\n"))
            assert await count_turns(reading) >= 1000
            assert bodies == [b"x" * count]
            writer.close()
            await server.stop()

        asyncio.run(test())
