"""Temporary problems during a host's start must not make its process exit.

These tests guard against the following failures:

- A host opened each listening address in a single attempt and exited at the first
  failure, even of the metrics address: in 2 of 22 test runs a host exited with
  `Address already in use`. An address may be in use by an older process that is still
  exiting, by a connection with that local port, or by a second installation. The
  metrics port is the same for all hosts: of six hosts that share an IP address, five
  exited, and all six if another setting used that port.
- A stop signal that arrived while the program was loading killed the process and reset
  callers' waiting connections.
- A closed standard output made the process exit at once, and one whose reader had gone
  made a planned stop look like a failure.

To reproduce an address in use, another socket occupies one of the host's four addresses
for the first seconds of the host's life; each of the four made the host exit.
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
    """Occupy an address by listening there; yield its port."""
    with socket.create_server(address) as holder:
        yield holder.getsockname()[1]


async def ask(address: tuple[str, int], request: bytes = REQUEST) -> bytes:
    """Send a request to an address and return the first line of the answer."""
    host, port = address
    reader, writer = await connect(port, host)
    try:
        writer.write(request)
        return await asyncio.wait_for(reader.readline(), 10)
    finally:
        writer.close()


class TestAddressInUse:
    @pytest.mark.parametrize("name", ADDRESS_NAMES)
    def test_a_host_waits_for_its_address_and_then_serves(self, tmp_path, name):
        async def main() -> None:
            async with settled(tmp_path) as place:
                holding = contextlib.ExitStack()
                holding.enter_context(held(place.addresses_by_name[name]))
                async with started(place) as host:
                    with holding:
                        await wait_for(host.log, "listen: Cannot listen, trying again.")
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

    def test_a_host_without_its_metrics_address_serves(self, tmp_path):
        async def main() -> None:
            async with settled(tmp_path) as place:
                with held(place.addresses_by_name["metrics"]):
                    async with started(place) as host:
                        await wait_ready(host)
                        assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))

        asyncio.run(main())

    def test_another_setting_may_use_the_metrics_port(self, tmp_path):
        async def main() -> None:
            async with settled(tmp_path) as place:
                text = place.path.read_text()
                own = f"listen.ready=127.0.0.1:{place.ready}"
                place.path.write_text(
                    text.replace(own, f"listen.ready={place.ip}:{METRICS_PORT}")
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

    def test_a_host_without_its_address_for_callers_is_not_ready(self, tmp_path):
        async def main() -> None:
            async with settled(tmp_path) as place:
                with held(place.addresses_by_name["callers"]):
                    async with started(place) as host:
                        await wait_for(host.log, "config: In force.")
                        assert not await is_ready(host)

        asyncio.run(main())


class TestSettingsBeingWritten:
    @pytest.mark.parametrize("part", [0.0, 0.5])
    def test_a_host_waits_until_the_file_is_complete(self, tmp_path, part):
        async def main() -> None:
            async with settled(tmp_path) as place:
                text = place.path.read_text()
                place.path.write_text(text[: int(part * len(text))])
                async with started(place) as host:
                    # Long enough for the first read of the file, after 0.3 s.
                    await asyncio.sleep(0.8)
                    assert host.process.poll() is None
                    place.path.write_text(text)
                    await wait_ready(host)
                    assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))

        asyncio.run(main())


class TestStopWhileLoading:
    @pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
    def test_a_host_stops_cleanly_and_answers_waiting_callers(self, tmp_path, number):
        async def main() -> None:
            async with running(tmp_path) as host:
                reader, writer = await connect(host.front)
                writer.write(REQUEST)
                host.process.send_signal(number)
                # Nothing is logged yet, so the signal arrived during loading.
                assert not messages(host.log)
                assert b"HTTP/1.1" in await asyncio.wait_for(reader.readline(), 10)
                writer.close()
                await asyncio.to_thread(host.process.wait, 10)
                assert host.process.returncode == 0
                assert messages(host.log)[-1] == "daemon: Stopped."

        asyncio.run(main())


class TestStandardStreams:
    def test_a_host_without_standard_streams_serves_and_stops(self, tmp_path):
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
    def test_a_log_without_a_reader_does_not_make_a_stop_fail(self, tmp_path, numbers):
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
