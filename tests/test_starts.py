"""Starts that meet trouble: an address in use, a stop, no standard output.

What was seen: on a few runs as real processes the system did not start, or its
processes ended by themselves, and once too little was served. In series of starts of
our own, 2 of 22 runs had a host that ended with a traceback, `Address already in use`.

How it came about: another socket had one of a host's addresses when it started: an
older process that had not quite ended, a connection that was given the port as its own,
a second installation on the machine. The port of the metrics is the same for all hosts,
so that of six hosts that share an address five ended, each time, and all six where that
port is one that they are told for something else.

The cause: a host took each listening address in one try, and the first that failed, be
it only that of the metrics, ended the whole process. The same class, a passing state of
the machine at the start that is final for the process: a stop that came while the
program was loading ended it by the signal, with callers' connections waiting; a
standard output that was closed ended it at once, and one whose reader had gone made its
planned stop look like a failure.

What proved it: each address held by another socket for the first seconds of a host's
life, with nothing else changed; each of the four ended it, and the log names the one.
Six hosts on one address: one of six ready, on this and three earlier landings.
"""

import asyncio
import contextlib
import os
import signal
import socket
from collections.abc import Iterator

import pytest

from passtally.platform.settings import METRICS_PORT
from tests.host_process import (
    connect,
    is_ready,
    messages,
    running,
    settled,
    started,
    wait_for,
    wait_ready,
)

ADDRESS_NAMES = ("callers", "readiness", "other hosts", "metrics")
REQUEST = b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n"


@contextlib.contextmanager
def held(address: tuple[str, int]) -> Iterator[int]:
    """Hold an address, as another process that listens there does; yield its port."""
    with socket.create_server(address) as holder:
        yield holder.getsockname()[1]


async def ask(address: tuple[str, int], request: bytes = REQUEST) -> bytes:
    """Send a request to an address and return the first line of what comes."""
    host, port = address
    reader, writer = await connect(port, host)
    try:
        writer.write(request)
        return await asyncio.wait_for(reader.readline(), 10)
    finally:
        writer.close()


class TestAddressInUse:
    @pytest.mark.parametrize("name", ADDRESS_NAMES)
    def test_a_host_waits_for_its_address_and_serves_then(self, tmp_path, name):
        async def main() -> None:
            async with settled(tmp_path) as place:
                holding = contextlib.ExitStack()
                holding.enter_context(held(place.addresses_by_name[name]))
                async with started(place) as host:
                    with holding:
                        await wait_for(host.log, "listen: Not open, trying again.")
                    await wait_for(host.log, "listen: Open.")
                    await wait_ready(host)
                    assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))
                    metrics = host.addresses_by_name["metrics"]
                    request = REQUEST.replace(b"/none", b"/metrics")
                    assert b"200" in await ask(metrics, request)
                    host.process.send_signal(signal.SIGTERM)
                    await asyncio.to_thread(host.process.wait, 10)
                    assert host.process.returncode == 0

        asyncio.run(main())

    def test_a_host_whose_metrics_find_no_place_serves(self, tmp_path):
        async def main() -> None:
            async with settled(tmp_path) as place:
                with held(place.addresses_by_name["metrics"]):
                    async with started(place) as host:
                        await wait_ready(host)
                        assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))

        asyncio.run(main())

    def test_the_port_of_the_metrics_may_be_one_that_the_host_is_told(self, tmp_path):
        async def main() -> None:
            async with settled(tmp_path) as place:
                told = place.path.read_text()
                own = f"listen.ready=127.0.0.1:{place.ready}"
                place.path.write_text(
                    told.replace(own, f"listen.ready={place.ip}:{METRICS_PORT}")
                )
                async with started(place) as host:
                    await wait_for(host.log, "config: In force.")
                    ready = REQUEST.replace(b"/none", b"/api/ready")
                    assert b"200" in await ask((place.ip, METRICS_PORT), ready)
                    assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))

        asyncio.run(main())

    def test_hosts_that_share_an_address_all_serve(self, tmp_path):
        async def main() -> None:
            async with contextlib.AsyncExitStack() as stack:
                hosts = []
                for name in ("first", "second", "third"):
                    folder = tmp_path / name
                    folder.mkdir()
                    hosts.append(await stack.enter_async_context(running(folder)))
                for host in hosts:
                    await wait_ready(host)
                    assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))

        asyncio.run(main())

    def test_a_host_that_callers_cant_reach_is_not_ready(self, tmp_path):
        async def main() -> None:
            async with settled(tmp_path) as place:
                with held(place.addresses_by_name["callers"]):
                    async with started(place) as host:
                        await wait_for(host.log, "config: In force.")
                        assert not await is_ready(host)

        asyncio.run(main())


class TestSettingsBeingWritten:
    @pytest.mark.parametrize("part", [0.0, 0.5])
    def test_a_host_waits_until_they_are_whole(self, tmp_path, part):
        async def main() -> None:
            async with settled(tmp_path) as place:
                text = place.path.read_text()
                place.path.write_text(text[: int(part * len(text))])
                async with started(place) as host:
                    # Long enough for the first look, which comes after 0.3 s.
                    await asyncio.sleep(0.8)
                    assert host.process.poll() is None
                    place.path.write_text(text)
                    await wait_ready(host)
                    assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))

        asyncio.run(main())


class TestStopWhileLoading:
    @pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
    def test_it_stops_as_planned_and_answers_who_waits(self, tmp_path, number):
        async def main() -> None:
            async with running(tmp_path) as host:
                reader, writer = await connect(host.front)
                writer.write(REQUEST)
                host.process.send_signal(number)
                # What comes before the first line of the log came while it loaded.
                assert not messages(host.log)
                assert b"HTTP/1.1" in await asyncio.wait_for(reader.readline(), 10)
                writer.close()
                await asyncio.to_thread(host.process.wait, 10)
                assert host.process.returncode == 0
                assert messages(host.log)[-1] == "daemon: Stopped."

        asyncio.run(main())


class TestStandardStreams:
    def test_a_host_without_them_serves_and_stops(self, tmp_path):
        def close_all() -> None:
            for number in (0, 1, 2):
                os.close(number)

        async def main() -> None:
            async with running(tmp_path, prepare=close_all) as host:
                await wait_ready(host)
                host.process.send_signal(signal.SIGTERM)
                await asyncio.to_thread(host.process.wait, 10)
                assert host.process.returncode == 0

        asyncio.run(main())

    @pytest.mark.parametrize("numbers", [(1,), (1, 2)])
    def test_a_log_whose_reader_is_gone_does_not_spoil_a_stop(self, tmp_path, numbers):
        def lose_reader() -> None:
            reader, writer = os.pipe()
            os.close(reader)
            for number in numbers:
                os.dup2(writer, number)

        async def main() -> None:
            async with running(tmp_path, prepare=lose_reader) as host:
                await wait_ready(host)
                host.process.send_signal(signal.SIGTERM)
                await asyncio.to_thread(host.process.wait, 10)
                assert host.process.returncode == 0

        asyncio.run(main())
