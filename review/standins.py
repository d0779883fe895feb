"""Stand-ins of the platform for the review's scripts, with the standard library alone.

One process plays the store, the runners and the requesters. The hosts are processes of
their own, started by the command of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
ENGINES, CALLS = "huvo11a", "wuno96b"
#: The proof that runners put in their answers.
STAMP = "3e1b.07.5a2.600.0.c9f2a4d1"
#: Port of a host's metrics, as in the deploy file.
METRICS_PORT = 8750
#: Exit codes of a script.
HELD, BROKEN, UNFIT = 0, 1, 2
#: The sheet's drain_ms, in seconds.
DRAIN_SECONDS = 2.0
#: The largest body that the configuration allows, in bytes.
MAX_BODY_BYTES = 4194304
#: The memory of a host in its settings, in MB.
MEMORY_MB = 300
ZONES = ("pilar", "tigre", "escobar")
#: Time for which the hosts run before the first request, as on the sheet.
SETTLE_SECONDS = 4.0
#: Time in which a host must be ready, in seconds.
START_SECONDS = 20.0

SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front,control
ip={ip}
zone={zone}
region=ba-norte
zones.pilar=ba-norte
zones.tigre=ba-norte
zones.escobar=ba-norte
listen.front={ip}:8740
listen.ready={ip}:8749
listen.control={ip}:8748
port_range=7200,7215
seeds={seeds}
bootstrap=true
in_tolerance=false
limits.cpu_share=0.537
limits.cpu_cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.revert_slack_ms=250
bounds.max_stretch_ms=5000
bounds.revoke_strict=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.8
bounds.budget_window_s=10
bounds.budget_extra=150
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=7.1
platform.address={store}
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.min_ttl_ms=1000
"""


class UnfitError(Exception):
    """The case could not be played, so nothing can be said of the rule."""


class Record:
    """The file that says what was sent, answered and run.

    Args:
        folder: The folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line with the time since the start, in seconds."""
        line = f"{time.monotonic() - self._began:8.3f}  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


class Request:
    """A request as a stand-in received it."""

    def __init__(self, method: str, target: str, headers: dict[str, str]) -> None:
        self.method, self.target, self.headers = method, target, headers
        self.body = b""

    @property
    def id(self) -> str:
        """The requester's id of the try."""
        return self.headers.get("x-request-id", "")


Serve = Callable[[Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class HttpStandIn:
    """A small HTTP/1.1 server on a loopback port.

    Args:
        serve: Answers one request; returns whether the connection stays open.
    """

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._run, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening and reset all connections, like a crash."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await self._serve(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read a request with its body; return None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").strip().split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    request = Request(method, target, headers)
    request.body = await reader.readexactly(int(headers.get("content-length", "0")))
    return request


def head_of(status: int, headers: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'No'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def answer(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bool:
    """Send a whole answer with its length; the connection stays open."""
    fields = (headers or {}) | {"Content-Length": str(len(body))}
    writer.write(head_of(status, fields) + body)
    await writer.drain()
    return True


class Store:
    """The platform's store: listings, watches and writes of status."""

    def __init__(self) -> None:
        self._items: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._revision = 1
        self._server = HttpStandIn(self._serve)

    @property
    def address(self) -> str:
        """The address in the hosts' settings."""
        return self._server.address

    async def start(self) -> None:
        """Listen at a free port."""
        await self._server.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Create or replace an object; this is the store's confirmation."""
        self._change(kind, name, spec, removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._change(kind, name, self._items.pop((kind, name))["spec"], removed=True)

    def _change(
        self, kind: str, name: str, spec: dict[str, Any], *, removed: bool
    ) -> None:
        self._revision += 1
        metadata = {
            "name": name,
            "revision": self._revision,
            "created": 1,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        if not removed:
            self._items[kind, name] = item
        self._changes.append((self._revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        path, _, query = request.target.partition("?")
        fields = dict(item.split("=", 1) for item in query.split("&") if item)
        kind = path.removeprefix("/api/objects/").split("/")[0]
        if request.method != "GET":
            return await answer(writer, 404)
        if "watch" in fields:
            body = await self._watch(
                kind, int(fields["watch"]), int(fields.get("wait_ms", "0"))
            )
        else:
            items = [item for (known, _), item in self._items.items() if known == kind]
            body = {
                "items": items,
                "has_more": False,
                "store_revision": self._revision,
            }
        return await answer(
            writer,
            200,
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )

    async def _watch(self, kind: str, after: int, wait_ms: int) -> dict[str, Any]:
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                {"removed": removed, "object": item}
                for revision, known, item, removed in self._changes
                if known == kind and revision > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "store_revision": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Runner:
    """A sound runner; a case gives what it answers to requests.

    Args:
        name: Its id.
        service: Its service.
        run: Answers a request that it runs; returns whether the connection stays open.
        record: The record.
        version: The version of its software.
    """

    def __init__(
        self, name: str, service: str, run: Serve, record: Record, version: str = "v1"
    ) -> None:
        self.name, self.service, self.version = name, service, version
        self._run, self._record = run, record
        self._server = HttpStandIn(self._serve)
        self.is_over = False

    @property
    def address(self) -> str:
        """Its address in the store."""
        return self._server.address

    async def start(self, store: Store) -> None:
        """Listen at a free port and register as ready."""
        await self._server.start()
        store.put("servers", self.name, self.entry("ready"))

    def stop(self) -> None:
        """End: nothing listens any more, and all connections are reset."""
        self.is_over = True
        self._server.stop()

    def entry(self, state: str) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "pilar",
            "version": self.version,
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
        }

    async def _serve(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if request.target == "/api/report":
            return await self._report(writer)
        if request.target == "/health":
            return await answer(writer, 200, b"", {"X-Instance-Id": self.name})
        if request.target.startswith("/api/"):
            return await answer(writer, 404)
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return await answer(writer, 421, b"", {"X-Instance-Id": self.name})
        return await self._run(request, reader, writer)

    async def _report(self, writer: asyncio.StreamWriter) -> bool:
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "queued": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 55000,
            "handles": 0,
            "runs": [],
        }
        return await answer(writer, 200, json.dumps(report).encode())


def route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 25000,
        "target_latency_ms": 4500,
        "priority": 1,
        "service": service,
        "max_attempts": 5,
        "public": False,
    } | fields


def config(routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with two services and one tenant."""
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 55000,
        "kv_token_bytes": 327680,
        "link_mbps": 260000.0,
        "moves": True,
        "backups": True,
        "stride": 5,
        "most": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 4.0,
        "models": [{"name": "m"}],
    }
    service = {
        "health_check_path": "/health",
        "max_connections": 360,
        "protocol": "h1",
        "tls": False,
    }
    return {
        "version": 7,
        "routes": routes,
        "services": [
            service | {"name": ENGINES, "engine": engine},
            service | {"name": CALLS},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class EntryHost:
    """An entry host as a process.

    Args:
        folder: A temporary folder for its settings and its log.
        store: The store.
        zone: Its zone.
    """

    def __init__(self, folder: Path, store: Store, zone: str) -> None:
        self.name = f"front-{zone}-1"
        self.ip = _free_ip()
        self._zone = zone
        self._folder = folder
        self._store = store
        self._process: subprocess.Popen | None = None
        self._seeds = ""

    @property
    def pid(self) -> int:
        """The id of its process."""
        return self._process.pid

    def start(self, seeds: str = "") -> None:
        """Start its process by the command of the deploy file.

        Args:
            seeds: The control addresses of all hosts; empty for those of before.
        """
        self._seeds = seeds = seeds or self._seeds
        path = self._folder / f"{self.name}.conf"
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            seeds=seeds,
            zone=self._zone,
            store=self._store.address,
        )
        path.write_text(text)
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        variables["PASSTALLY_CONFIG"] = str(path)
        log = (self._folder / f"{self.name}.log").open("ab")
        with log:
            self._process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(" "),
                cwd=REPOSITORY,
                env=variables,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to its process."""
        self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self._process is not None and self._process.poll() is None

    def stop(self) -> None:
        """End its process if it still runs."""
        if self.is_running:
            self._process.kill()
            self._process.wait()

    @property
    def log(self) -> str:
        """What it has logged."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace")

    def memory_mb(self) -> float:
        """Return the memory of its process in MB, without files; 0 once it has ended.

        Bytes that have arrived but are not read yet aren't counted here.
        """
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def wait_ready(self) -> None:
        """Wait until it says that it is ready.

        Raises:
            UnfitError: It is not ready in time.
        """
        until = time.monotonic() + START_SECONDS
        while time.monotonic() < until:
            if not self.is_running:
                break
            with contextlib.suppress(OSError, ValueError, IndexError):
                reader, writer = await asyncio.open_connection(self.ip, 8749)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if int(line.split()[1]) == 200:
                    return
            await asyncio.sleep(0.1)
        raise UnfitError(f"{self.name} is not ready: {self.log[-500:]}")


@contextlib.asynccontextmanager
async def running_hosts(store: Store) -> AsyncIterator[list[EntryHost]]:
    """Start one host in each zone, and end them all at last."""
    with tempfile.TemporaryDirectory() as folder:
        hosts = [EntryHost(Path(folder), store, zone) for zone in ZONES]
        seeds = ",".join(f"{host.ip}:8748" for host in hosts)
        try:
            for host in hosts:
                host.start(seeds)
            for host in hosts:
                await host.wait_ready()
            await asyncio.sleep(SETTLE_SECONDS)
            yield hosts
        finally:
            for host in hosts:
                host.stop()


def _free_ip() -> str:
    """Return a loopback address at which the ports of a host are free."""
    ports = (8740, 8748, 8749, METRICS_PORT, 7200)
    for _ in range(200):
        ip = f"127.{random.randint(60, 120)}.{random.randint(1, 250)}.2"
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in ports:
                sock = stack.enter_context(socket.socket())
                sock.bind((ip, port))
            return ip
    raise UnfitError("no free loopback address")


def request_bytes(
    path: str,
    request_id: str,
    *,
    method: str = "POST",
    body: bytes = b"",
    **headers: str,
) -> bytes:
    """Return a requester's request, byte for byte."""
    fields = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "25000",
        "X-Key": KEY,
    }
    if method != "GET":
        fields["Content-Length"] = str(len(body))
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run(main: Callable[[], Awaitable[int]]) -> None:
    """Run a case within 110 seconds, and exit with its code."""

    async def limited() -> int:
        async with asyncio.timeout(110):
            return await main()

    try:
        code = asyncio.run(limited())
    except (UnfitError, TimeoutError) as error:
        print(f"The case could not run: {error!r}")
        code = UNFIT
    sys.exit(code)


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"
