"""The process on the platform: start, reload, stop, settings that can't be used."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path

import attrs
import msgspec
import pytest

from standins.object_store import ObjectStoreStandIn
from standins.platform_config import make_config
from tests.platform_system import free_ports

LINES = """\
node_name=front-pilar-1
zone=pilar
region=ba-norte
ip={ip}
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
listen.control=127.0.0.1:{control}
bounds.grace_s=3
bounds.retry_budget_ratio=0.8
bounds.budget_extra=150
platform.address=127.0.0.1:{store}
"""


def start(path: Path, log: Path) -> subprocess.Popen:
    """Start the process as the deploy file does."""
    with log.open("wb") as output:
        return subprocess.Popen(
            [sys.executable, "-m", "passtally.platform"],
            env={**os.environ, "PASSTALLY_CONFIG": str(path)},
            stdout=output,
            stderr=subprocess.PIPE,
        )


def messages(log: Path) -> list[str]:
    """Return what the process has logged."""
    lines = log.read_bytes().splitlines()
    return [msgspec.json.decode(line)["message"] for line in lines]


async def wait_for(log: Path, text: str) -> None:
    """Wait until the process has logged something."""
    until = time.monotonic() + 20
    while not any(text in message for message in messages(log)):
        assert time.monotonic() < until, messages(log)
        await asyncio.sleep(0.05)


async def connect(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect as soon as something listens at a port."""
    until = time.monotonic() + 20
    while True:
        try:
            return await asyncio.open_connection("127.0.0.1", port)
        except ConnectionRefusedError:
            assert time.monotonic() < until
            await asyncio.sleep(0.002)


def own_address() -> str:
    """Return a loopback address of this run alone.

    Metrics are read at a port that is the same on each host, so that a second run of
    these tests on one machine would find it taken, and its host would not start.
    """
    number = os.getpid()
    return f"127.{number // 250 % 200 + 20}.{number % 250 + 1}.9"


@attrs.frozen(kw_only=True)
class Running:
    """One host process and where it is reached."""

    process: subprocess.Popen
    path: Path
    log: Path
    front: int
    ready: int


@contextlib.asynccontextmanager
async def running(folder: Path) -> AsyncIterator[Running]:
    """Start a host beside a store that has a configuration."""
    store = ObjectStoreStandIn()
    store.put("config", "main", make_config())
    port = await store.start()
    front, ready, control = free_ports(3)
    path, log = folder / "node.conf", folder / "log"
    text = LINES.format(
        ip=own_address(), front=front, ready=ready, control=control, store=port
    )
    path.write_text(text)
    process = start(path, log)
    try:
        yield Running(process=process, path=path, log=log, front=front, ready=ready)
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()
        process.stderr.close()
        await store.stop()


class TestProcess:
    def test_it_starts_reloads_and_stops(self, tmp_path: Path):
        async def main() -> None:
            async with running(tmp_path) as host:
                process, log = host.process, host.log
                await wait_for(log, "config: In force.")
                reader, writer = await connect(host.ready)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                assert b" 200 " in await reader.readline()
                writer.close()
                process.send_signal(signal.SIGHUP)
                await wait_for(log, "daemon: Settings read again.")
                host.path.write_text("zone=pilar\n")
                process.send_signal(signal.SIGHUP)
                await wait_for(log, "daemon: Kept the old settings.")
                process.send_signal(signal.SIGTERM)
                await asyncio.to_thread(process.wait, 10)
                assert process.returncode == 0
                assert messages(log)[-1] == "daemon: Stopped."

        asyncio.run(main())

    def test_while_it_loads_callers_wait_and_a_reload_does_not_end_it(self, tmp_path):
        async def try_once(folder: Path) -> bool:
            """Return whether a connection came up before the host had loaded."""
            folder.mkdir()
            async with running(folder) as host:
                reader, writer = await connect(host.front)
                host.process.send_signal(signal.SIGHUP)
                was_loading = not messages(host.log)
                writer.write(b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n")
                assert b"HTTP/1.1" in await asyncio.wait_for(reader.readline(), 20)
                writer.close()
                await wait_for(host.log, "config: In force.")
                assert host.process.poll() is None
                return was_loading

        async def main() -> None:
            # On a busy machine this test may look too late; loading takes 0.3 s.
            for number in range(5):
                if await try_once(tmp_path / str(number)):
                    return
            pytest.fail("no connection came up while a host was loading")

        asyncio.run(main())

    def test_settings_that_cant_be_used_are_told_and_end_it(self, tmp_path: Path):
        path = tmp_path / "node.conf"
        path.write_text("zone=pilar\nlisten.front=here\n")
        process = start(path, tmp_path / "log")
        _, error = process.communicate(timeout=20)
        assert process.returncode == 2
        for name in ("node_name", "listen.front", "platform"):
            assert name in error.decode()
