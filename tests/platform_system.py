"""Hosts on the platform in the test's process, with stand-ins for all else."""

import asyncio
import contextlib
import itertools
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import attrs

from passtally.clock import SystemClock
from passtally.front_host import FrontHost
from passtally.platform.adapter import PlatformAdapter
from passtally.platform.settings import translate
from standins.object_store import ObjectStoreStandIn
from standins.platform_config import ENGINE, KEY
from standins.ports import free_ports
from standins.runner import RunnerStandIn


class UnreachableHostError(ConnectionError):
    """A host did not accept a caller's connection."""


@attrs.frozen(kw_only=True)
class Answer:
    """The answer that a caller received.

    Attributes:
        status: The status, 0 if no answer arrived.
        headers: The headers, with names in lower case.
        body: The body, without its framing.
        is_whole: Whether the answer looked complete to the caller.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    is_whole: bool


class PlatformSystem:
    """The stand-ins and hosts of one test."""

    def __init__(self) -> None:
        self.store = ObjectStoreStandIn()
        self.runners: dict[str, RunnerStandIn] = {}
        self.hosts: list[FrontHost] = []
        #: All hosts, also those that a test took off ``hosts`` or that did not start.
        self._all_hosts: list[FrontHost] = []
        self._numbers = itertools.count(1)
        self._store_port = 0

    async def add_runner(
        self,
        name: str,
        service: str = ENGINE,
        *,
        zone: str = "pilar",
        port: int = 0,
        **fields: Any,
    ) -> RunnerStandIn:
        """Start an endpoint, at a free port if it is 0, and put its entry."""
        runner = RunnerStandIn(name, find=self._find, **fields)
        await runner.start(port)
        self.runners[name] = runner
        self.store.put("servers", name, runner.entry(service, zone=zone))
        return runner

    async def add_host(
        self,
        name: str = "front-1",
        seeds: str = "",
        *,
        store_port: int = 0,
        zone: str = "pilar",
        **bounds: str,
    ) -> FrontHost:
        """Start a host.

        Args:
            name: The host's name.
            seeds: The addresses of other hosts, separated by commas.
            store_port: The port at which the host calls the store, if it is not the
                store's own.
            zone: The host's failure domain.
            bounds: Additional settings under ``bounds.``.
        """
        if not self._store_port:
            self._store_port = await self.store.start()
        free = [str(port) for port in free_ports(5)]
        settings = translate(
            {
                "node_name": name,
                "region": "ba-norte",
                "zone": zone,
                "ip": "127.0.0.1",
                "listen.front": f"127.0.0.1:{free[0]}",
                "listen.ready": f"127.0.0.1:{free[1]}",
                "listen.control": f"127.0.0.1:{free[2]}",
                "port_range": f"{free[4]},{free[4]}",
                "seeds": seeds,
                "platform.address": f"127.0.0.1:{self._store_port}",
                "heartbeat_ms": "1200",
                "bounds.grace_s": "2",
                "bounds.reuse_after_s": "2",
                "bounds.retry_budget_ratio": "0.8",
                "bounds.budget_extra": "150",
            }
            | {f"bounds.{bound}": value for bound, value in bounds.items()}
        )
        settings = attrs.evolve(settings, metrics_listen=None)
        if store_port:
            url = f"http://127.0.0.1:{store_port}"
            settings = attrs.evolve(settings, platform=url)
        host = FrontHost(
            settings=settings, clock=SystemClock(), adapter=PlatformAdapter()
        )
        self._all_hosts.append(host)
        await host.start()
        self.hosts.append(host)
        return host

    async def wait_ready(self, endpoints: int | None = None) -> None:
        """Wait until all hosts have the configuration and the number of endpoints."""
        wanted = len(self.runners) if endpoints is None else endpoints
        for host in self.hosts:
            while not host.is_ready or len(host.catalog.endpoints_by_id) != wanted:
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop the hosts, the endpoints and the store, each whatever the others raise.

        The sockets of a host that is not stopped block the garbage collector for ever,
        so that a test that fails would be followed by one that never ends. A host that
        the test stopped is stopped again, which changes nothing.
        """
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self.store.stop)
            # A test may still be replacing endpoints that crashed.
            for runner in list(self.runners.values()):
                stack.push_async_callback(runner.stop)
            for host in reversed(self._all_hosts):
                stack.push_async_callback(host.stop)

    async def send(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        host: FrontHost | None = None,
        key: str | None = KEY,
        on_body: Callable[[], None] = lambda: None,
        **headers: str,
    ) -> Answer:
        """Send one request and read its answer to the end.

        ``on_body`` is called when the first byte after the head has arrived.

        Raises:
            UnreachableHostError: If the host does not accept the connection.
        """
        address = (host or self.hosts[0]).settings.listen
        try:
            reader, writer = await asyncio.open_connection(address.host, address.port)
        except ConnectionError as error:
            raise UnreachableHostError(str(error)) from error
        lines = {"Host": "shop.example", "Connection": "close"}
        lines["X-Request-Id"] = f"q{next(self._numbers)}"
        if key is not None:
            lines["X-Key"] = key
        if body or method == "POST":
            lines["Content-Length"] = str(len(body))
        lines |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        try:
            return await asyncio.wait_for(_read_answer(reader, on_body), 20)
        finally:
            writer.close()

    async def stream(self, path: str = "/draft/1", **options: Any) -> Answer:
        """Send a streaming request with a prompt and read its answer to the end."""
        fields = {
            "X_Model": "m",
            "X_Token_Usage": "500,100",
            "X_Prefix_Hash": f"5c1e07a2:200,{next(self._numbers):x}:300",
            "X_Deadline_Ms": "10000",
        }
        return await self.send(path, **(fields | options))

    def _find(self, address: str) -> RunnerStandIn | None:
        for runner in self.runners.values():
            if runner.address == address:
                return runner
        return None


def run(test: Callable[[PlatformSystem], Awaitable[None]]) -> None:
    """Run a test with a system that is stopped afterwards."""

    async def main() -> None:
        system = PlatformSystem()
        try:
            await asyncio.wait_for(test(system), 40)
        finally:
            await system.stop()

    asyncio.run(main())


def expected_events(count: int, *, after: int = 0) -> bytes:
    """Return the events that a runner stand-in sends."""
    numbers = range(after + 1, count + 1)
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)


async def _read_answer(
    reader: asyncio.StreamReader, on_body: Callable[[], None]
) -> Answer:
    received = b""
    is_reset = has_body = False
    try:
        while data := await reader.read(65536):
            received += data
            if not has_body and received.partition(b"\r\n\r\n")[2]:
                has_body = True
                on_body()
    except ConnectionResetError:
        is_reset = True
    head, _, rest = received.partition(b"\r\n\r\n")
    if not head:
        return Answer(status=0, headers={}, body=b"", is_whole=False)
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body, is_whole = _unframe(rest, headers)
    return Answer(
        status=int(first.split()[1]),
        headers=headers,
        body=body,
        is_whole=is_whole and not is_reset,
    )


def _unframe(rest: bytes, headers: Mapping[str, str]) -> tuple[bytes, bool]:
    if "content-length" in headers:
        return rest, len(rest) == int(headers["content-length"])
    if headers.get("transfer-encoding") != "chunked":
        return rest, True
    body = b""
    while rest:
        size_text, _, rest = rest.partition(b"\r\n")
        size = int(size_text or b"0", 16)
        if size == 0:
            return body, True
        body += rest[:size]
        rest = rest[size + 2 :]
    return body, False
