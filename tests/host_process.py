"""One host on the platform as a separate process, with a stand-in for the store."""

import asyncio
import contextlib
import os
import resource
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from functools import partial
from pathlib import Path

import attrs
import msgspec

from passtally.platform.settings import METRICS_PORT
from passtally.platform.settings_file import FILE_VARIABLE
from standins.object_store import ObjectStoreStandIn
from standins.platform_config import make_config
from standins.ports import free_ports

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


#: The environment variables that a host inherits from the test.
_ENVIRONMENT = {
    name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
}


def start(
    path: Path, log: Path, *, prepare: Callable[[], None] | None = None
) -> subprocess.Popen:
    """Start the process as the deploy file does.

    Args:
        path: The host's settings file.
        log: The file for its standard output.
        prepare: Called in the new process before the program is loaded.
    """
    with log.open("wb") as output:
        return subprocess.Popen(
            [sys.executable, "-m", "passtally.platform"],
            env=_ENVIRONMENT | {FILE_VARIABLE: str(path)},
            stdout=output,
            stderr=subprocess.PIPE,
            preexec_fn=prepare,
        )


def limit_descriptors(most: int) -> Callable[[], None]:
    """Return a ``prepare`` function that limits a process's open file descriptors."""
    return partial(resource.setrlimit, resource.RLIMIT_NOFILE, (most, most))


def messages(log: Path) -> list[str]:
    """Return the messages in the process's log."""
    lines = log.read_bytes().splitlines()
    return [msgspec.json.decode(line)["message"] for line in lines]


async def wait_for(log: Path, text: str) -> None:
    """Wait until the process has logged a message that contains a text."""
    until = time.monotonic() + 20
    while not any(text in message for message in messages(log)):
        assert time.monotonic() < until, messages(log)
        await asyncio.sleep(0.05)


async def connect(
    port: int, host: str = "127.0.0.1"
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect as soon as a listener accepts connections at a port."""
    until = time.monotonic() + 20
    while True:
        try:
            return await asyncio.open_connection(host, port)
        except ConnectionRefusedError:
            assert time.monotonic() < until
            await asyncio.sleep(0.002)


def own_address() -> str:
    """Return a loopback address that only this run of the tests uses.

    The metrics port is the same on each host: in a second run on the same machine and
    address it would be in use, and the host would not start.
    """
    number = os.getpid()
    return f"127.{number // 250 % 200 + 20}.{number % 250 + 1}.9"


@attrs.frozen(kw_only=True)
class HostFiles:
    """The files and addresses of one host.

    Attributes:
        path: The settings file.
        log: The log file.
        front: The port for callers.
        ready: The port for the balancer.
        control: The port for other hosts.
        ip: The address for metrics.
        store: The stand-in of the store.
    """

    path: Path
    log: Path
    front: int
    ready: int
    control: int
    ip: str
    store: ObjectStoreStandIn

    @property
    def addresses_by_name(self) -> dict[str, tuple[str, int]]:
        """The addresses of all listeners of the host."""
        return {
            "callers": ("127.0.0.1", self.front),
            "readiness": ("127.0.0.1", self.ready),
            "other hosts": ("127.0.0.1", self.control),
            "metrics": (self.ip, METRICS_PORT),
        }


@attrs.frozen(kw_only=True)
class Running(HostFiles):
    """A host's process with its files and addresses."""

    process: subprocess.Popen


@contextlib.asynccontextmanager
async def settled(folder: Path, *, lines: str = "") -> AsyncIterator[HostFiles]:
    """Write the settings of a host beside a store that has a configuration.

    Args:
        folder: The folder of the host's files.
        lines: Additional lines of the settings.
    """
    store = ObjectStoreStandIn()
    store.put("config", "main", make_config())
    port = await store.start()
    front, ready, control = free_ports(3)
    place = HostFiles(
        path=folder / "node.conf",
        log=folder / "log",
        front=front,
        ready=ready,
        control=control,
        ip=own_address(),
        store=store,
    )
    text = LINES.format(
        ip=place.ip, front=front, ready=ready, control=control, store=port
    )
    place.path.write_text(text + lines)
    try:
        yield place
    finally:
        await store.stop()


@contextlib.asynccontextmanager
async def running(
    folder: Path, *, prepare: Callable[[], None] | None = None, lines: str = ""
) -> AsyncIterator[Running]:
    """Start a host beside a store that has a configuration."""
    async with (
        settled(folder, lines=lines) as place,
        started(place, prepare=prepare) as host,
    ):
        yield host


@contextlib.asynccontextmanager
async def started(
    place: HostFiles, *, prepare: Callable[[], None] | None = None
) -> AsyncIterator[Running]:
    """Start a host's process and kill it at the end if it still runs."""
    process = start(place.path, place.log, prepare=prepare)
    try:
        yield Running(process=process, **attrs.asdict(place, recurse=False))
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()
        process.stderr.close()


async def is_ready(host: HostFiles) -> bool:
    """Return the result of one readiness check, as the balancer makes it."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", host.ready)
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        line = await asyncio.wait_for(reader.readline(), 5)
        writer.close()
    except OSError:
        return False
    return b" 200 " in line


async def wait_ready(host: HostFiles) -> None:
    """Wait until the balancer would send callers to a host."""
    until = time.monotonic() + 20
    while not await is_ready(host):
        assert time.monotonic() < until, messages(host.log)
        await asyncio.sleep(0.05)
