"""A host at the resource limits of its process, and faults of its links."""

import asyncio
import contextlib
import os
import resource
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Iterator
from datetime import timedelta

import pytest
import zmq

from passtally.clock import ManualClock
from passtally.member_table import MemberTable
from passtally.messages import ConfigChanges, FetchConfig, MemberRow
from passtally.peers import PeerError, Peers
from passtally.roster import Roster
from passtally.settings import Address, PeerAddress
from standins.ports import free_ports
from tests.host_process import (
    is_ready,
    limit_descriptors,
    messages,
    running,
    wait_for,
    wait_ready,
)

KEY = b"a key of both hosts"
#: Memory limit of a host on the platform, in bytes.
MEMORY = 300 * 1000 * 1000


def make_peers(name: str, port: int) -> Peers:
    """Return the links of a host without peers."""
    listen = Address(host="127.0.0.1", port=port)
    return Peers(host_id=name, listen=listen, peers_by_id={}, keys=[KEY])


def make_row(name: str, port: int) -> MemberRow:
    """Return the membership row of a host."""
    return MemberRow(
        host_id=name,
        failure_domain="pilar",
        counter=1,
        config_version=0,
        leaving=False,
        address=f"127.0.0.1:{port}",
    )


async def answer(message: FetchConfig) -> ConfigChanges:
    return ConfigChanges(listing=b"[]")


async def ask_until_answered(peers: Peers, name: str, *, within: timedelta) -> None:
    """Repeat a request to a host until it answers."""
    async with asyncio.timeout(within.total_seconds()):
        while True:
            with contextlib.suppress(PeerError):
                await peers.ask(name, FetchConfig(after=0))
                return
            await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def echo(port: int) -> AsyncIterator[asyncio.Server]:
    """Serve a port that echoes all data, as a connection to itself does."""

    async def echo_data(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)
        while data := await reader.read(65536):
            writer.write(data)

    writers: list[asyncio.StreamWriter] = []
    server = await asyncio.start_server(echo_data, "127.0.0.1", port)
    try:
        yield server
    finally:
        server.close()
        for writer in writers:
            writer.close()


@contextlib.contextmanager
def no_descriptors() -> Iterator[None]:
    """Prevent this process from opening files and sockets."""
    lowest = os.dup(0)
    os.close(lowest)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (lowest, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class TestLinkToItself:
    """Guards against a link that stays connected to itself.

    A client that connects to a local port of the ephemeral range may get that port as
    its source port. It then receives all that it sends, heartbeats included.
    """

    def test_it_reconnects_and_reaches_the_host(self):
        async def main() -> None:
            port_a, port_b = free_ports(2)
            a, b = make_peers("a", port_a), make_peers("b", port_b)
            b.on(FetchConfig, answer)
            address = Address(host="127.0.0.1", port=port_b)
            try:
                async with echo(port_b) as server:
                    a.add_peer(
                        PeerAddress(
                            host_id="b", failure_domain="pilar", address=address
                        )
                    )
                    while not await a.is_reachable("b"):
                        await asyncio.sleep(0.01)
                    # Existing connections persist; only new ones reach the host.
                    server.close()
                    b.start()
                    await b.bind()
                    await ask_until_answered(a, "b", within=timedelta(seconds=5))
            finally:
                await a.stop()
                await b.stop()

        asyncio.run(main())


class TestNotificationBehindRequest:
    """A request waits for a link that is connecting; a notification must not."""

    def test_it_is_dropped_at_once_while_a_request_waits(self):
        async def main() -> None:
            port_a, port_b = free_ports(2)
            a = make_peers("a", port_a)
            address = Address(host="127.0.0.1", port=port_b)
            a.add_peer(
                PeerAddress(host_id="b", failure_domain="pilar", address=address)
            )
            request = asyncio.create_task(a.ask("b", FetchConfig(after=0)))
            try:
                # In its first step the task passes the request to the link.
                await asyncio.sleep(0)
                notification = asyncio.create_task(
                    a.send_message(["b"], FetchConfig(after=0))
                )
                await asyncio.wait(
                    [notification, request], return_when="FIRST_COMPLETED"
                )
                assert notification.done()
                assert notification.result() == set()
            finally:
                await asyncio.gather(request, return_exceptions=True)
                await a.stop()

        asyncio.run(main())


class TestFailingListener:
    def test_later_messages_are_still_handled(self):
        async def main() -> None:
            port_a, port_b = free_ports(2)
            a, b = make_peers("a", port_a), make_peers("b", port_b)
            b.on(FetchConfig, answer)
            received = []

            def receive(message: FetchConfig) -> None:
                received.append(message)
                raise ValueError("no such prefix")

            b.listen(FetchConfig, receive)
            a.start()
            b.start()
            await b.bind()
            address = Address(host="127.0.0.1", port=port_b)
            a.add_peer(
                PeerAddress(host_id="b", failure_domain="pilar", address=address)
            )
            try:
                await a.ask("b", FetchConfig(after=0))
                await a.send_message(["b"], FetchConfig(after=0))
                await ask_until_answered(a, "b", within=timedelta(seconds=5))
                assert received
            finally:
                await a.stop()
                await b.stop()

        asyncio.run(main())


class TestLinksWithoutDescriptors:
    def test_a_host_is_linked_once_descriptors_are_free_again(self):
        async def main() -> None:
            port_a, port_b = free_ports(2)
            a, b = make_peers("a", port_a), make_peers("b", port_b)
            b.on(FetchConfig, answer)
            a.start()
            b.start()
            await b.bind()
            clock = ManualClock()
            table = MemberTable(own=make_row("a", port_a))
            table.merge([make_row("b", port_b)], clock.monotonic())
            roster = Roster(seeds=(), table=table, peers=a, clock=clock)
            try:
                with no_descriptors(), pytest.raises(zmq.ZMQError):
                    roster.update_links()
                roster.update_links()
                await ask_until_answered(a, "b", within=timedelta(seconds=5))
            finally:
                await a.stop()
                await b.stop()

        asyncio.run(main())

    def test_a_peer_whose_link_failed_is_removed_without_an_error(self):
        async def main() -> None:
            port_a, port_b = free_ports(2)
            a = make_peers("a", port_a)
            a.start()
            peer = PeerAddress(
                host_id="b",
                failure_domain="pilar",
                address=Address(host="127.0.0.1", port=port_b),
            )
            try:
                with no_descriptors(), pytest.raises(zmq.ZMQError):
                    a.add_peer(peer)
                a.remove_peer("b")
                assert a.ids == []
            finally:
                await a.stop()

        asyncio.run(main())


class TestLibzmqDescriptors:
    """Guards against an abort of the process by libzmq for lack of descriptors.

    A host with nearly all descriptors taken exited with status -6 when it bound the
    address for other hosts, and a host with very few did so at its start. libzmq
    reports some failures to get a descriptor, but asserts on others. So the tests cover
    each number of free descriptors, from zero on.
    """

    PROGRAM = """
import asyncio, os, resource, sys
from passtally.peers import Peers
from passtally.settings import Address

free, step = int(sys.argv[1]), sys.argv[2]

def fill() -> list[int]:
    taken = []
    try:
        while True:
            taken.append(os.dup(0))
    except OSError:
        for descriptor in taken[:free]:
            os.close(descriptor)
    return taken[free:]

async def main() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (100, 100))
    # Modules that are loaded when first used want a descriptor for a moment.
    listen = Address(host="127.0.0.1", port=0)
    peers = Peers(host_id="a", listen=listen, peers_by_id={}, keys=[b"key"])
    taken = fill() if step == "start" else []
    try:
        peers.start()
    except OSError as error:
        print(error)
        for descriptor in taken:
            os.close(descriptor)
        taken = []
        peers.start()
    if step == "bind":
        taken = fill()
    try:
        await peers.bind()
    except OSError as error:
        print(error)
        for descriptor in taken:
            os.close(descriptor)
        taken = []
        await peers.bind()
    for descriptor in taken:
        os.close(descriptor)
    await peers.stop()
    print("whole")

asyncio.run(main())
"""

    @pytest.mark.parametrize("step", ["start", "bind"])
    def test_it_reports_an_error_and_succeeds_once_descriptors_are_free(self, step):
        for free in range(24):
            command = [sys.executable, "-c", self.PROGRAM, str(free), step]
            ran = subprocess.run(command, capture_output=True, text=True, timeout=20)
            assert ran.returncode == 0, (free, ran.returncode, ran.stderr[-300:])
            assert "whole" in ran.stdout

    def test_a_process_starts_or_reports_the_lack_in_one_line(self, tmp_path):
        async def start(max_descriptors: int) -> int | None:
            """Start a host with a descriptor limit; return its status if it exits."""

            folder = tmp_path / str(max_descriptors)
            folder.mkdir()
            async with running(
                folder, prepare=limit_descriptors(max_descriptors)
            ) as host:
                while host.process.poll() is None and not await is_ready(host):
                    await asyncio.sleep(0.02)
                if host.process.poll() is not None:
                    text = host.process.stderr.read().decode()
                    assert "descriptors are free" in text
                    assert "Traceback" not in text
                return host.process.poll()

        async def main() -> None:
            statuses = [
                await start(max_descriptors) for max_descriptors in range(14, 40, 2)
            ]
            assert set(statuses) == {2, None}, statuses
            assert statuses[-1] is None
            assert statuses == sorted(statuses, key=lambda status: status is None)

        asyncio.run(main())


class TestCallerDescriptors:
    def test_callers_leave_descriptors_for_the_host(self, tmp_path):
        max_descriptors = 128

        async def main() -> None:
            async with running(
                tmp_path, prepare=limit_descriptors(max_descriptors)
            ) as host:
                await wait_ready(host)
                writers = []
                for _ in range(2 * max_descriptors):
                    _, writer = await asyncio.open_connection("127.0.0.1", host.front)
                    writers.append(writer)
                # Waiting connections are accepted in order. This one comes last, and
                # the oldest idle connection is closed to make room for it.
                folder = f"/proc/{host.process.pid}/fd"
                reader, writer = await asyncio.open_connection("127.0.0.1", host.front)
                writer.write(b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
                assert b"HTTP/1.1" in await asyncio.wait_for(reader.readline(), 5)
                assert len(os.listdir(folder)) <= 0.75 * max_descriptors
                assert await is_ready(host)
                for writer in writers:
                    writer.close()

        asyncio.run(main())


class TestAddressSpace:
    def test_threads_reserve_no_arenas(self):
        program = """
import threading
from passtally.address_space import limit_arenas

def read_peak() -> int:
    with open("/proc/self/status") as status:
        return next(int(line.split()[1]) for line in status if "VmPeak" in line)

assert limit_arenas()
threading.stack_size(256 * 1024)
before = read_peak()
barrier = threading.Barrier(4)
work = lambda: (bytearray(100_000), barrier.wait())
threads = [threading.Thread(target=work) for _ in range(4)]
for thread in threads:
    thread.start()
for thread in threads:
    thread.join()
print(read_peak() - before)
"""
        command = [sys.executable, "-c", program]
        ran = subprocess.run(command, capture_output=True, check=True)
        # A single arena would take 64 MB; the figures are in kB.
        assert int(ran.stdout) < 32 * 1024

    def test_requests_with_bodies_fit_in_a_limited_address_space(self, tmp_path):
        callers = 600
        body = b"x" * 60_000

        def limit() -> None:
            resource.setrlimit(resource.RLIMIT_AS, (MEMORY, MEMORY))

        async def send(port: int, are_sent: asyncio.Barrier) -> bytes:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            head = f"POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}"
            writer.write(head.encode() + b"\r\n\r\n" + body[1:])
            await writer.drain()
            await are_sent.wait()
            writer.write(body[:1])
            line = await asyncio.wait_for(reader.readline(), 10)
            writer.close()
            return line

        async def main() -> None:
            async with running(tmp_path, prepare=limit) as host:
                await wait_ready(host)
                are_sent = asyncio.Barrier(callers)
                async with asyncio.TaskGroup() as group:
                    tasks = [
                        group.create_task(send(host.front, are_sent))
                        for _ in range(callers)
                    ]
                assert {task.result().split()[1] for task in tasks} == {b"404"}
                assert await is_ready(host), messages(host.log)
                host.process.send_signal(signal.SIGTERM)
                await asyncio.to_thread(host.process.wait, 10)
                assert host.process.returncode == 0

        asyncio.run(main())


class TestSignalsDuringShutdown:
    """Guards against repeated stop signals that disturb a shutdown in progress."""

    @pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
    def test_the_host_still_exits_with_status_zero(self, tmp_path, number):
        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                host.process.send_signal(signal.SIGTERM)
                await wait_for(host.log, "daemon: Stopping.")
                while host.process.poll() is None:
                    host.process.send_signal(number)
                    await asyncio.sleep(0.002)
                assert host.process.returncode == 0

        asyncio.run(main())


class TestInheritedSignalMask:
    """Guards against stop signals that are blocked by an inherited signal mask.

    The thread that starts the process may block signals that it waits for itself.
    """

    def test_it_receives_the_stop_signal(self, tmp_path):
        def block() -> None:
            signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})

        async def main() -> None:
            async with running(tmp_path, prepare=block) as host:
                await wait_ready(host)
                host.process.send_signal(signal.SIGTERM)
                await asyncio.to_thread(host.process.wait, 10)
                assert host.process.returncode == 0

        asyncio.run(main())
