"""The HTTP client never retries a request and never mixes up two answers."""

import asyncio
import contextlib
import socket
import struct
import time
from collections.abc import Awaitable, Callable, Iterator
from datetime import timedelta

import pytest
import uvloop

from passtally import connection_pool
from passtally.clock import SystemClock
from passtally.connection_pool import CONNECT_TIMEOUT, ConnectionPool, PoolFetcher
from passtally.fetch import FetchError
from passtally.http_client import (
    ExchangeError,
    ExchangeStep,
    drop_connection_headers,
)
from passtally.settings import Address

HEADERS = [(b"Host", b"h")]


@contextlib.contextmanager
def full_listener() -> Iterator[Address]:
    """Listen with a full accept queue, so that no further connection is established."""
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
        host, port = server.getsockname()
        for _ in range(3):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex((host, port))
        yield Address(host=host, port=port)


class Peer:
    """A peer that sends prepared replies and counts its connections."""

    def __init__(self, *replies: bytes, reset: bool = False, stay: bool = True) -> None:
        self.replies = list(replies)
        self.reset = reset
        self.stay = stay
        self.connections = 0
        self.received = b""

    async def __aenter__(self) -> "Peer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = Address(host=host, port=port)
        return self

    async def __aexit__(self, *error: object) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        while data := await reader.read(65536):
            self.received += data
            writer.write(self.replies.pop(0) if self.replies else b"")
            await asyncio.sleep(0.02)
            if self.reset:
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                writer.transport.abort()
                return
            if not self.stay:
                writer.close()
                return


class SlowPeer(Peer):
    """A peer that sends its answer in parts, with a pause before each."""

    PAUSE = 0.1

    async def _serve(self, reader, writer) -> None:
        await reader.read(65536)
        for part in self.replies:
            await asyncio.sleep(self.PAUSE)
            writer.write(part)


def run(peer: Peer, test: Callable[[ConnectionPool], Awaitable[None]]) -> None:
    async def main() -> None:
        async with peer:
            pool = ConnectionPool(clock=SystemClock())
            await asyncio.wait_for(test(pool), 10)
            pool.close()

    asyncio.run(main())


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def call(pool: ConnectionPool, peer: Peer, body: bytes = b"") -> bytes:
    """Make a call and release its connection to the pool."""
    connection = await pool.acquire(peer.address)
    head = await connection.send(b"POST", b"/a%2Fb", HEADERS, body)
    answer = await connection.read_all(1000)
    pool.release(peer.address, connection, head)
    return answer


class TestExchange:
    def test_target_and_body_arrive_as_given(self):
        peer = Peer(OK)

        async def test(pool: ConnectionPool) -> None:
            assert await call(pool, peer, b"body") == b"ok"
            assert peer.received.startswith(b"POST /a%2Fb HTTP/1.1\r\n")
            assert peer.received.endswith(b"Content-Length: 4\r\n\r\nbody")

        run(peer, test)

    def test_a_connection_is_reused_after_a_complete_answer(self):
        peer = Peer(OK, OK)

        async def test(pool: ConnectionPool) -> None:
            await call(pool, peer)
            await call(pool, peer)
            assert peer.connections == 1

        run(peer, test)

    def test_trailing_data_after_an_answer_closes_the_connection(self):
        peer = Peer(OK + OK, OK)

        async def test(pool: ConnectionPool) -> None:
            assert await call(pool, peer) == b"ok"
            await call(pool, peer)
            assert peer.connections == 2

        run(peer, test)

    def test_data_on_an_idle_connection_closes_it(self):
        peer = Peer(OK)

        async def test(pool: ConnectionPool) -> None:
            connection = await pool.acquire(peer.address)
            head = await connection.send(b"POST", b"/", HEADERS, b"")
            await connection.read_all(100)
            pool.release(peer.address, connection, head)
            connection.data_received(b"HTTP/1.1 200 OK\r\n")
            assert not connection.is_usable

        run(peer, test)

    @pytest.mark.parametrize(
        "head", [b"Connection: close\r\n", b"Keep-Alive: timeout=0\r\n"]
    )
    def test_a_header_may_forbid_reuse_of_the_connection(self, head):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + head + b"\r\nok"
        peer = Peer(answer, answer)

        async def test(pool: ConnectionPool) -> None:
            await call(pool, peer)
            await call(pool, peer)
            assert peer.connections == 2

        run(peer, test)

    # Guards against an answer that is lost after it was received, since the number of
    # seconds fits no duration.
    @pytest.mark.parametrize("digits", [10, 30, 400, 5000])
    def test_a_connection_may_be_kept_for_any_number_of_seconds(self, digits):
        head = b"Keep-Alive: timeout=%b\r\n" % (b"9" * digits)
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + head + b"\r\nok"
        peer = Peer(answer, answer)

        async def test(pool: ConnectionPool) -> None:
            assert await call(pool, peer) == b"ok"
            assert await call(pool, peer) == b"ok"
            assert peer.connections == 1

        run(peer, test)


class TestInvalidation:
    """Idle connections that may be silent are closed, and the others are reused."""

    async def keep_two(self, pool: ConnectionPool, peer: Peer) -> None:
        await asyncio.gather(call(pool, peer), call(pool, peer))
        assert peer.connections == 2

    def test_idle_connections_are_closed_after_a_timeout(self):
        peer = Peer(OK, OK, b"", OK)

        async def test(pool: ConnectionPool) -> None:
            await self.keep_two(pool, peer)
            with pytest.raises(TimeoutError):
                await pool.exchange(
                    peer.address,
                    b"GET",
                    b"/",
                    HEADERS,
                    b"",
                    most=10,
                    timeout=timedelta(milliseconds=50),
                )
            assert await call(pool, peer) == b"ok"
            assert peer.connections == 3

        run(peer, test)

    def test_recently_used_connections_are_kept(self):
        peer = Peer(*[OK] * 5)

        async def test(pool: ConnectionPool) -> None:
            await self.keep_two(pool, peer)
            since = SystemClock().monotonic()
            await call(pool, peer)
            pool.invalidate_older(since)
            await call(pool, peer)
            assert peer.connections == 2
            pool.invalidate_older(SystemClock().monotonic())
            await call(pool, peer)
            assert peer.connections == 3

        run(peer, test)

    def test_a_new_connection_is_opened_on_request(self):
        peer = Peer(OK)

        async def test(pool: ConnectionPool) -> None:
            await call(pool, peer)
            connection = await pool.acquire(peer.address, must_be_new=True)
            connection.abort()
            assert pool.opened == 2

        run(peer, test)


class TestFailures:
    def test_a_refused_connection_is_reported_as_such(self):
        async def main() -> None:
            pool = ConnectionPool(clock=SystemClock())
            with pytest.raises(ExchangeError) as caught:
                await pool.acquire(Address(host="127.0.0.1", port=1))
            assert caught.value.step is ExchangeStep.CONNECT

        asyncio.run(main())

    def test_a_request_without_an_answer_is_not_retried(self):
        peer = Peer(b"", reset=True)

        async def test(pool: ConnectionPool) -> None:
            with pytest.raises(ExchangeError) as caught:
                await call(pool, peer)
            assert caught.value.step is ExchangeStep.SENT
            await asyncio.sleep(0.1)
            assert peer.connections == 1
            assert peer.received.count(b"POST") == 1

        run(peer, test)

    @pytest.mark.parametrize(
        "reply",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nok",
        ],
    )
    def test_a_reset_answer_is_incomplete(self, reply):
        peer = Peer(reply, reset=True)

        async def test(pool: ConnectionPool) -> None:
            with pytest.raises(ExchangeError) as caught:
                await call(pool, peer)
            assert caught.value.step is ExchangeStep.ANSWER

        run(peer, test)

    def test_an_invalid_answer_is_reported_as_garbled(self):
        peer = Peer(b"\x00\x01garbage\r\n\r\n")

        async def test(pool: ConnectionPool) -> None:
            with pytest.raises(ExchangeError) as caught:
                await call(pool, peer)
            assert caught.value.is_garbled

        run(peer, test)

    # Guards against what a peer in trouble sends, passed on as its answer.
    @pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
    def test_an_invalid_status_is_reported_as_garbled(self, status):
        peer = Peer(b"HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\nok" % status)

        async def test(pool: ConnectionPool) -> None:
            with pytest.raises(ExchangeError) as caught:
                await call(pool, peer)
            assert caught.value.is_garbled

        run(peer, test)

    @pytest.mark.parametrize("status", [b"200", b"299", b"418", b"599"])
    def test_an_unusual_valid_status_is_an_answer(self, status):
        peer = Peer(b"HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\nok" % status)

        async def test(pool: ConnectionPool) -> None:
            assert await call(pool, peer) == b"ok"

        run(peer, test)

    def test_an_answer_without_a_length_ends_with_its_connection(self):
        peer = Peer(b"HTTP/1.1 200 OK\r\n\r\nok", stay=False)

        async def test(pool: ConnectionPool) -> None:
            connection = await pool.acquire(peer.address)
            head = await connection.send(b"GET", b"/", HEADERS, b"")
            assert not head.is_framed
            assert await connection.read_all(100) == b"ok"
            pool.release(peer.address, connection, head)
            assert not connection.is_usable

        run(peer, test)

    def test_an_answer_that_is_too_long_is_rejected(self):
        peer = Peer(b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"a" * 2000)

        async def test(pool: ConnectionPool) -> None:
            with pytest.raises(ExchangeError):
                await call(pool, peer)

        run(peer, test)


class TestOwnPause:
    """This host is paused for longer than its time limit for a connection."""

    @pytest.mark.parametrize(
        "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
    )
    def test_a_connection_established_during_the_pause_is_used(self, new_loop):
        async def test() -> None:
            with socket.create_server(("127.0.0.1", 0)) as server:
                host, port = server.getsockname()
                pool = ConnectionPool(clock=SystemClock())
                opening = asyncio.ensure_future(
                    pool.open(Address(host=host, port=port))
                )
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                time.sleep(2 * CONNECT_TIMEOUT.total_seconds())
                connection = await opening
                connection.abort()

        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(test())

    @pytest.mark.parametrize(
        "new_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
    )
    def test_a_peer_that_accepts_no_connection_is_still_reported(self, new_loop):
        async def test() -> None:
            with full_listener() as address:
                pool = ConnectionPool(clock=SystemClock())
                opening = asyncio.ensure_future(pool.open(address))
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                time.sleep(2 * CONNECT_TIMEOUT.total_seconds())
                with pytest.raises(ExchangeError) as caught:
                    await opening
                assert caught.value.step is ExchangeStep.CONNECT

        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(test())


class TestHeaders:
    def test_hop_by_hop_headers_are_dropped(self):
        headers = [
            (b"Connection", b"close, X-Hop"),
            (b"x-hop", b"1"),
            (b"Keep-Alive", b"timeout=5"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Content-Length", b"3"),
            (b"X-Own", b"1"),
            (b"X-End", b"2"),
        ]
        kept = drop_connection_headers(headers, extra=(b"x-own",))
        assert kept == [(b"X-End", b"2")]


class TestFetching:
    SECOND = timedelta(seconds=1)

    def test_calls_reuse_a_connection(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        peer = Peer(answer, answer)

        async def test(pool: ConnectionPool) -> None:
            fetcher = PoolFetcher(pool=pool)
            url = f"http://{peer.address}/api/objects/a"
            for _ in range(2):
                fetched = await fetcher.fetch(
                    "GET", url, timeout=self.SECOND, params={"watch": "3", "x": "a b"}
                )
                assert (fetched.status, fetched.body) == (200, b"ok")
            assert peer.connections == 1
            head = peer.received.decode().split("\r\n")
            assert head[0] == "GET /api/objects/a?watch=3&x=a+b HTTP/1.1"
            assert f"Host: {peer.address}" in head

        run(peer, test)

    def test_a_body_that_keeps_arriving_is_not_aborted(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
        peer = SlowPeer(head, b"ab", b"cd", b"ef")

        async def test(pool: ConnectionPool) -> None:
            fetched = await PoolFetcher(pool=pool).fetch(
                "GET", f"http://{peer.address}/", timeout=timedelta(milliseconds=150)
            )
            assert fetched.body == b"abcdef"

        run(peer, test)

    def test_a_body_that_stops_arriving_is_aborted(self, monkeypatch):
        monkeypatch.setattr(
            connection_pool, "PART_TIMEOUT", timedelta(milliseconds=200)
        )
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"
        peer = SlowPeer(head, b"ab")

        async def test(pool: ConnectionPool) -> None:
            with pytest.raises(FetchError, match="in time"):
                await PoolFetcher(pool=pool).fetch(
                    "GET",
                    f"http://{peer.address}/",
                    timeout=timedelta(milliseconds=150),
                )

        run(peer, test)

    def test_a_missing_answer_is_reported_and_its_connection_closed(self):
        peer = Peer()

        async def test(pool: ConnectionPool) -> None:
            fetcher = PoolFetcher(pool=pool)
            for _ in range(2):
                with pytest.raises(FetchError, match="in time"):
                    await fetcher.fetch(
                        "GET",
                        f"http://{peer.address}/",
                        timeout=timedelta(milliseconds=50),
                    )
            assert peer.connections == 2

        run(peer, test)

    @pytest.mark.parametrize("reset", [True, False])
    def test_a_truncated_answer_is_an_error(self, reset):
        peer = Peer(
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", reset=reset, stay=False
        )

        async def test(pool: ConnectionPool) -> None:
            with pytest.raises(FetchError):
                await PoolFetcher(pool=pool).fetch(
                    "GET", f"http://{peer.address}/", timeout=self.SECOND
                )

        run(peer, test)
