"""Transient states around a start or stop, from which a host must recover."""

import asyncio
import contextlib
import os
import random
import signal
import subprocess
import time
from pathlib import Path

import pytest

from soak.starts import StartFaultInjector
from standins.processes import Processes
from tests.host_process import (
    connect,
    is_ready,
    limit_descriptors,
    messages,
    running,
    settled,
    started,
    wait_for,
    wait_ready,
)
from tests.test_soak import started_world
from tests.test_starts import REQUEST, ask, held

SECONDS_TO_READY = 8


async def is_ready_within(host, seconds: float) -> bool:
    """Return whether a host becomes ready in time."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if await is_ready(host):
            return True
        await asyncio.sleep(0.05)
    return False


class TestSettingsCutShort:
    """A settings file that is cut short may be valid, and name another address."""

    def test_the_early_socket_is_closed_if_its_address_is_not_configured(
        self, tmp_path
    ):
        async def main() -> None:
            async with settled(tmp_path) as place:
                text = place.path.read_text()
                line = f"listen.front=127.0.0.1:{place.front}"
                cut = text.index(line) + len(line) - 1
                place.path.write_text(text[:cut])
                async with started(place) as host:
                    # Already listens at the port that the cut file names.
                    _, writer = await connect(place.front // 10)
                    writer.close()
                    place.path.write_text(text)
                    await wait_ready(host)
                    # A ready host has to listen at the configured address.
                    _, writer = await asyncio.open_connection("127.0.0.1", place.front)
                    writer.close()

        asyncio.run(main())

    def test_a_store_address_that_was_cut_short_is_replaced(self, tmp_path):
        """Guards against a host that keeps the store's address of its start.

        The store's address in the file lacks its last digit when the host starts. The
        host called a port where nothing listens, logged `daemon: Settings read again.`
        once the file was complete, and never became ready: the client of the store, and
        the key for other hosts that is derived from its address, were made once at the
        start. The same happened to a serving host that was given another address by a
        complete file and a signal: it made no connection there within 8 s, since of all
        settings only the grace was applied.
        """

        async def main() -> None:
            async with settled(tmp_path) as place:
                text = place.path.read_text().rstrip("\n")
                place.path.write_text(text[:-1])
                async with started(place) as host:
                    await wait_for(host.log, "daemon: Started.")
                    place.path.write_text(text + "\n")
                    # The host checks the file every second.
                    assert await is_ready_within(host, 12), messages(host.log)

        asyncio.run(main())


class TestStreamsWithoutReader:
    def test_a_start_survives_an_address_in_use_without_a_reader_of_stderr(
        self, tmp_path
    ):
        def lose_reader() -> None:
            reader, writer = os.pipe()
            os.close(reader)
            os.dup2(writer, 2)

        async def main() -> None:
            async with settled(tmp_path) as place:
                holding = contextlib.ExitStack()
                holding.enter_context(held(place.addresses_by_name["callers"]))
                async with started(place, prepare=lose_reader) as host:
                    with holding:
                        await asyncio.sleep(2)
                        assert host.process.poll() is None
                    await wait_ready(host)

        asyncio.run(main())

    def test_a_start_survives_an_address_in_use_with_a_full_stderr(self, tmp_path):
        ends = os.pipe()

        def fill() -> None:
            os.set_blocking(ends[1], False)
            for size in (4096, 1):
                with contextlib.suppress(BlockingIOError):
                    while True:
                        os.write(ends[1], b"x" * size)
            os.set_blocking(ends[1], True)
            os.dup2(ends[1], 2)

        async def main() -> None:
            async with settled(tmp_path) as place:
                holding = contextlib.ExitStack()
                holding.enter_context(held(place.addresses_by_name["callers"]))
                async with started(place, prepare=fill) as host:
                    with holding:
                        await asyncio.sleep(1.5)
                    assert await is_ready_within(host, SECONDS_TO_READY)

        try:
            asyncio.run(main())
        finally:
            os.close(ends[0])
            os.close(ends[1])


class TestSignalsWhileStopping:
    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
    @pytest.mark.parametrize("is_stuck", [False, True])
    def test_no_signal_cuts_a_stop_short(self, tmp_path, number, is_stuck):
        ends = os.pipe()

        def fill() -> None:
            os.set_blocking(ends[1], False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    os.write(ends[1], b"x" * 4096)
            os.set_blocking(ends[1], True)
            os.dup2(ends[1], 1)

        async def main() -> None:
            prepare = fill if is_stuck else None
            async with running(tmp_path, prepare=prepare) as host:
                await wait_ready(host)
                host.process.send_signal(signal.SIGTERM)
                while host.process.poll() is None:
                    host.process.send_signal(number)
                    await asyncio.sleep(0.002)
                assert host.process.returncode == 0

        try:
            asyncio.run(main())
        finally:
            os.close(ends[0])
            os.close(ends[1])


class TestThreads:
    # Guards against a host that a repeated stop signal kills at its exit: a signal that
    # the main thread blocks goes to any other thread, with its default action.
    def test_only_the_main_thread_receives_stop_signals(self, tmp_path):
        numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        bits = sum(1 << (number - 1) for number in numbers)

        def blocked_by_thread(pid: int) -> dict[int, int]:
            """Return the stop signals that each thread blocks, by its id."""
            return {
                int(task.name): bits & _blocked_signals(task / "status")
                for task in Path(f"/proc/{pid}/task").iterdir()
            }

        def is_blocked_elsewhere(pid: int) -> bool:
            masks = blocked_by_thread(pid)
            return masks.pop(pid) == 0 and set(masks.values()) == {bits}

        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                async with asyncio.timeout(SECONDS_TO_READY):
                    while not is_blocked_elsewhere(host.process.pid):
                        await asyncio.sleep(0.02)

        asyncio.run(main())


def _blocked_signals(status: Path) -> int:
    fields = (line.partition(":") for line in status.read_text().splitlines())
    texts_by_name = {name: text for name, _, text in fields}
    return int(texts_by_name["SigBlk"], 16)


class TestStopWithoutSettings:
    def test_a_stop_while_waiting_for_settings_exits_with_status_0(self, tmp_path):
        async def main() -> None:
            async with settled(tmp_path) as place:
                place.path.write_text("")
                async with started(place) as host:
                    await asyncio.sleep(1.0)
                    host.process.send_signal(signal.SIGTERM)
                    await asyncio.to_thread(host.process.wait, 10)
                    assert host.process.returncode == 0

        asyncio.run(main())


class TestDescriptors:
    def test_no_listener_uses_up_the_descriptors_of_the_others(self, tmp_path):
        limit = 128

        async def main() -> None:
            async with running(tmp_path, prepare=limit_descriptors(limit)) as host:
                await wait_ready(host)
                writers = []
                for address in (host.front, host.ready):
                    for _ in range(limit // 2):
                        _, writer = await asyncio.open_connection("127.0.0.1", address)
                        writers.append(writer)
                await asyncio.sleep(1)
                in_use = len(os.listdir(f"/proc/{host.process.pid}/fd"))
                for writer in writers:
                    writer.close()
                assert in_use <= 0.75 * limit

        asyncio.run(main())

    def test_idle_callers_are_closed_for_one_that_sends_a_request(self, tmp_path):
        limit = 128

        async def main() -> None:
            async with running(tmp_path, prepare=limit_descriptors(limit)) as host:
                await wait_ready(host)
                writers = []
                for _ in range(limit // 2):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", host.front
                    )
                    writer.write(REQUEST)
                    await reader.readline()
                    writers.append(writer)
                assert await is_ready(host)
                try:
                    assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))
                finally:
                    for writer in writers:
                        writer.close()

        asyncio.run(main())


class TestInvalidAddress:
    def test_a_port_out_of_range_is_handled_like_other_problems(self, tmp_path):
        async def main() -> None:
            async with settled(tmp_path) as place:
                text = place.path.read_text()
                place.path.write_text(
                    text.replace(
                        f"front=127.0.0.1:{place.front}", "front=127.0.0.1:99999"
                    )
                )
                async with started(place) as host:
                    await asyncio.sleep(1.0)
                    place.path.write_text(text)
                    await wait_ready(host)

        asyncio.run(main())


class TestServeWithoutStreams:
    def test_the_command_serves_without_standard_streams(self, tmp_path, monkeypatch):
        def close_all() -> None:
            for number in (0, 1, 2):
                os.close(number)

        real = subprocess.Popen
        with Processes(tmp_path) as processes:
            processes.start_platform()
            processes.put_config("workspaces", "w", {"id": "w", "token_sha256": "0"})

            def start(command, **options):
                options |= {"stdout": None, "stderr": None, "preexec_fn": close_all}
                return real(command, **options)

            with monkeypatch.context() as patch:
                patch.setattr("standins.processes.subprocess.Popen", start)
                host = processes.start_host("entry-a", failure_domain="pilar", log="-")
            processes.wait_ready()
            host.popen.send_signal(signal.SIGTERM)
            assert host.popen.wait(10) == 0


class TestSoakDetectsHangingStop:
    def test_a_host_killed_at_the_end_of_its_grace_is_reported(
        self, tmp_path, monkeypatch
    ):
        monkeypatch.setattr("soak.series.GRACE_SECONDS", 0.5)

        async def main() -> list[str]:
            async with started_world(tmp_path) as world:
                assert await world.wait_configured()
                host = world.hosts_by_name["host-0"]
                injector = StartFaultInjector(
                    world=world, evidence=world.evidence, rng=random.Random(1)
                )
                # A paused process behaves like one that hangs while stopping.
                host.process_run.send(signal.SIGSTOP)
                await injector.stop_in_quiet()
            return world.evidence.judge()

        assert any("host-0.1" in found for found in asyncio.run(main()))
