"""Tunnels: connections to endpoints through another host."""

import asyncio
import gc
import random
import socket
import struct
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta

import aiohttp
import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from passtally.clock import ManualClock, SystemClock
from passtally.drain import Drain
from passtally.endpoint_connector import EndpointConnector
from passtally.endpoint_dialer import TUNNEL_DELAY, EndpointDialer
from passtally.http_client import ClientConnection, ExchangeError
from passtally.link_table import (
    FIRST_RETRY,
    MAX_RETRY,
    RECENT_TIME,
    STABLE_TIME,
    LinkTable,
)
from passtally.member_table import MemberState
from passtally.message_signing import MessageSigner
from passtally.messages import MemberRow
from passtally.metrics import NoMetrics
from passtally.plain_handler import open_session
from passtally.settings import Address
from passtally.tunnel import (
    Connected,
    ProtocolFactory,
    TunnelInfo,
    TunnelRefusedError,
    open_tunnel,
)
from passtally.tunnel_frames import (
    MAX_FRAME_BYTES,
    FrameDecoder,
    FrameError,
    encode_data,
    encode_message,
)
from passtally.tunnel_hosts import OPEN_TIMEOUT, NoTunnelError, TunnelHosts
from passtally.tunnel_messages import (
    OpenTunnel,
    TunnelClosing,
    TunnelEnded,
    TunnelOpened,
    TunnelRefusal,
    TunnelRefused,
)
from passtally.tunnel_server import TunnelServer, UnknownEndpointError

SIGNER = MessageSigner(keys=[b"a-key-of-this-system"])
MESSAGES = st.one_of(
    st.builds(
        OpenTunnel, tunnel_id=st.text(), host_id=st.text(), endpoint_id=st.text()
    ),
    st.just(TunnelOpened()),
    st.builds(TunnelRefused, reason=st.sampled_from(TunnelRefusal)),
    st.builds(TunnelEnded, is_reset=st.booleans()),
    st.just(TunnelClosing()),
)
#: Value of SO_LINGER with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
#: Limit of a wait on loopback, in seconds.
SOON = 0.5
REQUEST = b"GET", b"/", [(b"Host", b"e")], b""


class TestFrames:
    @given(st.lists(st.one_of(MESSAGES, st.binary(min_size=1, max_size=99))), st.data())
    def test_any_split_of_the_bytes_gives_the_same_items(self, items, data):
        encoded = b"".join(
            encode_data(item)
            if isinstance(item, bytes)
            else encode_message(item, SIGNER)
            for item in items
        )
        cuts = data.draw(st.lists(st.integers(0, len(encoded))).map(sorted))
        decoder = FrameDecoder(signer=SIGNER)
        decoded = []
        for start, end in zip([0, *cuts], [*cuts, len(encoded)], strict=True):
            decoded += decoder.feed(encoded[start:end])
        assert decoded == items

    def test_data_longer_than_a_frame_is_split(self):
        data = bytes(2 * MAX_FRAME_BYTES + 1)
        pieces = list(FrameDecoder(signer=SIGNER).feed(encode_data(data)))
        assert len(pieces) == 3
        assert b"".join(pieces) == data

    @pytest.mark.parametrize(
        "frame",
        [
            encode_message(TunnelOpened(), MessageSigner(keys=[b"another-key"])),
            b"\x00\xff\xff\xff\xff",
            b"\x01\x00\x00\x00\x00",
            b"\x01\x00\x00\x00\x03\x00xy",
        ],
        ids=["other key", "too long", "empty", "no message"],
    )
    def test_a_frame_that_no_host_of_the_system_sent_is_refused(self, frame):
        with pytest.raises(FrameError):
            list(FrameDecoder(signer=SIGNER).feed(frame))


async def reach_endpoints() -> bool:
    """Return that the host is not cut off."""
    return False


class Far:
    """A host that serves tunnels to one endpoint, a raw TCP server."""

    def __init__(self, answer: Callable[..., Awaitable[None]]) -> None:
        self.drain = Drain(max_open=10)
        self.connect_error: Exception | None = None
        self.closed_by_peer = asyncio.Event()
        self._answer = answer
        self.server = TunnelServer(
            signer=SIGNER,
            connect=self._connect,
            is_cut_off=reach_endpoints,
            drain=self.drain,
            metrics=NoMetrics(),
        )

    async def start(self) -> None:
        self._endpoint = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._port = self._endpoint.sockets[0].getsockname()[1]
        port = await self.server.start("127.0.0.1", 0)
        self.address = Address(host="127.0.0.1", port=port)

    def stop(self) -> None:
        self.server.stop()
        self._endpoint.close()

    async def connect(self, **fields: str) -> ClientConnection:
        _, connection = await self._open(
            lambda: ClientConnection(clock=SystemClock()), **fields
        )
        return connection

    async def open(self, endpoint_id: str, factory) -> Connected:
        """Open a tunnel as :class:`passtally.endpoint_dialer.Tunnels` does."""
        try:
            return await self._open(factory)
        except TunnelRefusedError as error:
            raise NoTunnelError(endpoint_id, asked=1, is_confirmed=True) from error

    async def _open(self, factory, **fields: str) -> Connected:
        names = {"id": "t-1", "host_id": "far", "endpoint_id": "e"} | fields
        return await open_tunnel(
            self.address, TunnelInfo(**names), factory, own_id="near", signer=SIGNER
        )

    async def _connect(self, endpoint_id: str, factory) -> asyncio.Protocol:
        if self.connect_error is not None:
            raise self.connect_error
        _, protocol = await asyncio.get_running_loop().create_connection(
            factory, "127.0.0.1", self._port
        )
        return protocol

    async def _serve(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await self._answer(writer)
        if not await reader.read():
            self.closed_by_peer.set()
        writer.close()


def run_far(
    test: Callable[[Far], Awaitable[None]], answer: Callable[..., Awaitable[None]]
) -> None:
    """Run a test with a host that serves tunnels to an endpoint."""

    async def main() -> None:
        far = Far(answer)
        await far.start()
        try:
            await asyncio.wait_for(test(far), 20)
        finally:
            far.stop()

    asyncio.run(main())


async def answer_unframed(writer: asyncio.StreamWriter) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\n\r\npart")


async def answer_nothing(writer: asyncio.StreamWriter) -> None:
    """Let the request wait."""


class TestEnds:
    def test_a_close_by_the_endpoint_ends_an_answer_without_a_length(self):
        async def answer_and_close(writer: asyncio.StreamWriter) -> None:
            await answer_unframed(writer)
            writer.close()

        async def test(far: Far) -> None:
            connection = await far.connect()
            head = await connection.send(*REQUEST)
            assert not head.is_framed
            assert await connection.read_all(100) == b"part"

        run_far(test, answer_and_close)

    # Guards against a truncated answer that looks complete.
    def test_a_reset_by_the_endpoint_does_not(self):
        async def answer_and_reset(writer: asyncio.StreamWriter) -> None:
            await answer_unframed(writer)
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()

        async def test(far: Far) -> None:
            connection = await far.connect()
            await connection.send(*REQUEST)
            with pytest.raises(ExchangeError) as caught:
                await connection.read_all(100)
            assert not caught.value.is_link_lost

        run_far(test, answer_and_reset)

    # Guards against an endpoint that is held responsible for the loss of a host, and
    # against a truncated answer that looks complete.
    def test_the_loss_of_the_other_host_is_told_from_that_of_the_endpoint(self):
        async def test(far: Far) -> None:
            connection = await far.connect()
            await connection.send(*REQUEST)
            assert await connection.read() == b"part"
            far.server.stop()
            with pytest.raises(ExchangeError) as caught:
                await connection.read_all(100)
            assert caught.value.is_link_lost

        run_far(test, answer_unframed)

    def test_a_caller_that_leaves_closes_the_connection_to_the_endpoint(self):
        async def test(far: Far) -> None:
            connection = await far.connect()
            await connection.send(*REQUEST)
            connection.abort()
            await asyncio.wait_for(far.closed_by_peer.wait(), SOON)
            while far.server.count or far.drain.open_tunnels:
                await asyncio.sleep(0.01)

        run_far(test, answer_unframed)

    # Guards against a host that buffers what a slow caller of another host does not
    # read.
    def test_a_slow_reader_holds_up_the_endpoint(self):
        size = 64 << 20
        sent = Counter()

        async def answer_long(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            while sent["bytes"] < size:
                writer.write(bytes(1 << 16))
                await writer.drain()
                sent["bytes"] += 1 << 16

        async def test(far: Far) -> None:
            connection = await far.connect()
            await connection.send(*REQUEST)
            await asyncio.sleep(0.5)
            held_up_at = sent["bytes"]
            await asyncio.sleep(0.5)
            assert sent["bytes"] == held_up_at < size / 2
            received = 0
            while part := await connection.read():
                received += len(part)
            assert received == size

        run_far(test, answer_long)


class FailingTunnels:
    """Other hosts of which none connects, once a test says so."""

    def __init__(self) -> None:
        self.answer = asyncio.Event()
        self.failed = False

    async def open(self, endpoint_id: str, factory: ProtocolFactory) -> Connected:
        await self.answer.wait()
        self.failed = True
        raise NoTunnelError(endpoint_id, asked=1, is_confirmed=False)


class TestCallersThatLeave:
    # Guards against errors of asyncio in the log, which tell of no fault.
    def test_a_tunnel_that_fails_as_its_caller_leaves_is_no_stray_error(self):
        async def test() -> None:
            strays: list[str] = []
            asyncio.get_running_loop().set_exception_handler(
                lambda loop, context: strays.append(context["message"])
            )
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))
                host, port = unused.getsockname()
                address = Address(host=host, port=port)
                tunnels = FailingTunnels()
                dialer = EndpointDialer(clock=SystemClock(), tunnels=tunnels)
                connecting = asyncio.create_task(
                    dialer.connect(address, "e", asyncio.Protocol)
                )
                await asyncio.sleep(2 * TUNNEL_DELAY.total_seconds())
                tunnels.answer.set()
                while not tunnels.failed:
                    await asyncio.sleep(0)
                connecting.cancel()
                await asyncio.wait([connecting])
                assert connecting.cancelled()
            del connecting
            gc.collect()
            assert strays == []

        asyncio.run(test())


class TestOwnInterface:
    # Guards against requests of one interface that have no other way to an endpoint.
    def test_its_client_sessions_use_tunnels_for_endpoints(self):
        async def answer(writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        async def test(far: Far) -> None:
            with socket.socket() as unused:
                unused.bind(("127.0.0.1", 0))
                port = unused.getsockname()[1]
                dialer = EndpointDialer(clock=SystemClock(), tunnels=far)
                connector = EndpointConnector(
                    dialer=dialer,
                    find_endpoint_id=lambda address: (
                        "e" if address.port == port else None
                    ),
                )
                async with open_session(connector) as session:
                    async with session.get(f"http://127.0.0.1:{port}/") as response:
                        assert await response.read() == b"ok"
                    far.connect_error = ConnectionRefusedError()
                    with pytest.raises(aiohttp.ClientConnectorError):
                        await session.get(f"http://127.0.0.1:{port}/")

        run_far(test, answer)


class TestRefusals:
    @pytest.mark.parametrize(
        ("error", "reason"),
        [
            (UnknownEndpointError(), TunnelRefusal.UNKNOWN_ENDPOINT),
            (ConnectionRefusedError(), TunnelRefusal.ENDPOINT_REFUSED),
            (TimeoutError(), TunnelRefusal.UNREACHABLE),
        ],
    )
    def test_a_host_tells_why_it_does_not_connect(self, error, reason):
        async def test(far: Far) -> None:
            far.connect_error = error
            with pytest.raises(TunnelRefusedError) as caught:
                await far.connect()
            assert caught.value.reason is reason

        run_far(test, answer_nothing)

    def test_a_stopping_host_opens_no_tunnel_and_waits_for_the_open_ones(self):
        async def test(far: Far) -> None:
            connection = await far.connect()
            stopping = asyncio.create_task(far.drain.stop(balancer_lag=timedelta(0)))
            await asyncio.sleep(0.05)
            with pytest.raises(TunnelRefusedError) as caught:
                await far.connect(id="t-2")
            assert caught.value.reason is TunnelRefusal.STOPPING
            assert not stopping.done()
            connection.abort()
            await asyncio.wait_for(stopping, SOON)

        run_far(test, answer_nothing)

    def test_a_message_of_another_system_closes_the_connection(self):
        async def test(far: Far) -> None:
            reader, writer = await asyncio.open_connection(
                far.address.host, far.address.port
            )
            other = MessageSigner(keys=[b"a-key-of-another-system"])
            request = OpenTunnel(tunnel_id="t", host_id="h", endpoint_id="e")
            writer.write(encode_message(request, other))
            assert await asyncio.wait_for(reader.read(), SOON) == b""
            writer.close()

        run_far(test, answer_nothing)


class TestClosingTunnels:
    def test_an_idle_one_is_closed_and_a_busy_one_finishes(self):
        answering = asyncio.Event()

        async def answer_later(writer: asyncio.StreamWriter) -> None:
            await answering.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

        async def test(far: Far) -> None:
            connection = await far.connect()
            sending = asyncio.create_task(connection.send(*REQUEST))
            await asyncio.sleep(0.05)
            far.server.close_idle()
            await asyncio.sleep(0.05)
            answering.set()
            await sending
            assert await connection.read_all(10) == b"ok"
            assert not connection.make_idle(None), "no further request may use it"

        run_far(test, answer_later)


NOW = timedelta(hours=1)
FIRST, SECOND = (Address(host="10.0.0.1", port=port) for port in (1, 2))


class TestLinkTable:
    def test_a_link_that_is_down_is_tried_by_one_request_at_a_time(self):
        link = LinkTable().find(FIRST)
        link.record_failure(NOW, is_silent=True)
        assert not link.acquire_retry(NOW)
        assert link.acquire_retry(NOW + FIRST_RETRY)
        assert not link.acquire_retry(NOW + FIRST_RETRY)

    def test_a_link_is_tried_again_within_a_second(self):
        link, now = LinkTable().find(FIRST), NOW
        for _ in range(10):
            link.record_failure(now, is_silent=True)
            now += MAX_RETRY
            assert link.acquire_retry(now)

    # Guards against a rush of retries where a link goes up and down each second.
    def test_a_link_that_flaps_keeps_its_longer_delay(self):
        table, now = LinkTable(), NOW
        link = table.find(FIRST)
        for _ in range(4):
            link.record_failure(now, is_silent=True)
            table.record_contact(FIRST, now)
            now += timedelta(seconds=1)
        link.record_failure(now, is_silent=True)
        assert not link.acquire_retry(now + FIRST_RETRY)
        table.record_contact(FIRST, now)
        now += STABLE_TIME + MAX_RETRY
        link.record_failure(now, is_silent=True)
        assert link.acquire_retry(now + FIRST_RETRY)

    def test_a_host_is_cut_off_if_links_fail_and_none_is_up(self):
        table = LinkTable()
        table.record_contact(FIRST, NOW)
        table.find(FIRST).record_failure(NOW, is_silent=True)
        assert not table.is_cut_off(NOW), "a single link may fail for its endpoint"
        table.find(SECOND).record_failure(NOW, is_silent=False)
        assert table.is_cut_off(NOW)

    # Guards against crashes of several endpoints that are taken for a cut.
    def test_a_host_that_reaches_another_endpoint_is_not_cut_off(self):
        table = LinkTable()
        third = Address(host="10.0.0.1", port=3)
        table.record_contact(third, NOW)
        for address in (FIRST, SECOND):
            table.find(address).record_failure(NOW, is_silent=False)
        assert not table.is_cut_off(NOW)
        assert table.is_cut_off(NOW + RECENT_TIME)


@attrs.frozen
class FakeHost:
    """A host that serves tunnels, or refuses them, and answers the first ones late."""

    id: str
    domain: str
    refusal: TunnelRefusal | None = None
    late_answers: int = 0

    def row(self, port: int) -> MemberRow:
        return MemberRow(
            host_id=self.id,
            failure_domain=self.domain,
            counter=1,
            config_version=1,
            leaving=False,
            state=MemberState.ALIVE,
            tunnel_address=f"127.0.0.1:{port}",
        )


def ask(hosts: list[FakeHost], *, times: int) -> tuple[list[str], int]:
    """Open tunnels one after the other.

    Returns:
        The hosts through which they were opened, and the number of requests.
    """
    opened: list[str] = []
    asked = Counter()

    async def main() -> None:
        rows = []
        servers = []
        for host in hosts:
            server = _make_server(host, asked)
            rows.append(host.row(await server.start("127.0.0.1", 0)))
            servers.append(server)
        own = FakeHost("own", "pilar").row(1)
        tunnels = TunnelHosts(
            list_hosts=lambda: rows,
            own=lambda: own,
            signer=SIGNER,
            clock=ManualClock(),
            rng=random.Random(1),
        )
        for _ in range(times):
            try:
                transport, _ = await tunnels.open("e", asyncio.Protocol)
                opened.append(transport.get_extra_info("tunnel").host_id)
            except NoTunnelError:
                opened.append("")
        for server in servers:
            server.stop()

    asyncio.run(main())
    return opened, asked.total()


def _make_server(host: FakeHost, asked: Counter) -> TunnelServer:
    async def connect(endpoint_id: str, factory) -> asyncio.Protocol:
        asked[host.id] += 1
        if host.refusal is TunnelRefusal.ENDPOINT_REFUSED:
            raise ConnectionRefusedError
        if host.refusal is TunnelRefusal.UNREACHABLE:
            raise TimeoutError
        if asked[host.id] <= host.late_answers:
            await asyncio.sleep(2 * OPEN_TIMEOUT.total_seconds())
        listener = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        _, protocol = await asyncio.get_running_loop().create_connection(
            factory, "127.0.0.1", port
        )
        return protocol

    return TunnelServer(
        signer=SIGNER,
        connect=connect,
        is_cut_off=reach_endpoints,
        drain=Drain(max_open=10),
        metrics=NoMetrics(),
    )


class TestChoiceOfHosts:
    def test_a_host_of_the_own_domain_is_asked_first(self):
        hosts = [FakeHost("far", "tigre"), FakeHost("near", "pilar")]
        assert ask(hosts, times=2) == (["near", "near"], 2)

    def test_tunnels_are_spread_over_the_hosts_of_the_domain(self):
        hosts = [FakeHost(f"near-{number}", "pilar") for number in range(3)]
        opened, _ = ask(hosts, times=9)
        assert set(Counter(opened).values()) == {3}

    def test_a_host_of_another_domain_serves_where_the_own_domain_is_cut(self):
        hosts = [
            FakeHost(f"near-{number}", "pilar", TunnelRefusal.UNREACHABLE)
            for number in range(5)
        ]
        opened, _ = ask([*hosts, FakeHost("far", "tigre")], times=3)
        assert opened == ["far"] * 3

    # Guards against requests that each ask hosts that have just refused.
    def test_hosts_that_do_not_reach_an_endpoint_are_not_asked_again_soon(self):
        hosts = [
            FakeHost(f"near-{number}", "pilar", TunnelRefusal.ENDPOINT_REFUSED)
            for number in range(2)
        ]
        opened, asked = ask(hosts, times=20)
        assert opened == [""] * 20
        assert asked == 2

    # Guards against an endpoint that no host is asked for, since the only one with a
    # link was slow once.
    def test_a_host_that_was_slow_is_asked_again_if_it_is_the_only_one(self):
        hosts = [FakeHost("slow", "pilar", late_answers=2)]
        opened, asked = ask(hosts, times=3)
        assert opened == ["", "", "slow"]
        assert asked == 3
