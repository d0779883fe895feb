"""A small deployment for review cases: a store, runners, entry hosts and callers.

Only the standard library is used. Entry hosts are started by the command of the deploy
file. The store and the callers run in the process of the case; runners are processes
of their own (``testbed_runner.py``), so that they can be killed and restarted.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RUNNER = Path(__file__).resolve().parent / "testbed_runner.py"
HOST_NAME = "shop.example"
KEY = "key-of-tenant-one"
TENANT = "tenant-one"
#: Time that the store takes for an answer, in seconds.
ANSWER_TIME = 0.004
#: Interval of the check-ins of runners in seconds, and the number of missing ones after
#: which an entry lapses.
HEARTBEAT = 1.2
MISSED_BEATS = 3
#: Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not be set up."""


def is_trouble_on() -> bool:
    """Return whether the case includes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


# --- HTTP ---------------------------------------------------------------------------


@dataclass
class Message:
    """A request or an answer: its first line, headers and body."""

    first: str
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first.split()[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body of a message that has a length or chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_answer(reader: asyncio.StreamReader) -> Message:
    """Read an answer; ``is_whole`` tells whether its end is marked or in order."""
    first, headers = await read_head(reader)
    is_marked = "content-length" in headers or "transfer-encoding" in headers
    if is_marked:
        return Message(first, headers, await read_body(reader, headers))
    body = bytearray()
    try:
        while part := await reader.read(65536):
            body += part
    except ConnectionError:
        return Message(first, headers, bytes(body), is_whole=False)
    return Message(first, headers, bytes(body))


def encode_head(first: str, headers: dict[str, str]) -> bytes:
    """Return the first line and the headers of a message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


# --- The platform's store -----------------------------------------------------------


@dataclass
class Change:
    """One change of an object."""

    revision: int
    kind: str
    item: dict[str, Any]
    removed: bool


class Store:
    """The platform's metadata store, as the protocol page describes it."""

    def __init__(self) -> None:
        self.revision = 0
        #: The revision from which on the history is kept.
        self.oldest = 0
        #: Whether each call is answered with 503, as nothing was done.
        self.is_down = False
        #: Number of objects on a page of a list.
        self.page = 500
        self.items: dict[tuple[str, str], dict[str, Any]] = {}
        self.changes: list[Change] = []
        self.address = ""
        self.writes: list[tuple[float, str, str]] = []
        self._server: asyncio.Server | None = None
        self._changed = asyncio.Event()

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Listen at a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, kind: str, name: str, spec: Any, *, status: Any = None) -> int:
        """Create or replace an object; return the revision."""
        self.revision += 1
        known = self.items.get((kind, name), {})
        created = known.get("metadata", {}).get("created", self.revision)
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        status = known.get("status") if status is None else status
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.items[kind, name] = item
        self._record(Change(self.revision, kind, item, removed=False))
        return self.revision

    def forget_history(self) -> None:
        """Forget the changes so far; a watch from before gets 410."""
        self.changes.clear()
        self.oldest = self.revision

    def beat(self, name: str) -> None:
        """Take a check-in of a runner: only its number changes, so nobody is told."""
        item = self.items.get(("servers", name))
        if item is not None:
            item["spec"] |= {"sequence": item["spec"]["sequence"] + 1}

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.items.pop((kind, name), None)
        if item is None:
            return
        self.revision += 1
        item = item | {"metadata": item["metadata"] | {"revision": self.revision}}
        self._record(Change(self.revision, kind, item, removed=True))

    def _record(self, change: Change) -> None:
        self.changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split()
                status, value = await self._answer(method, target, body)
                data = json.dumps(value).encode()
                head = {
                    "Content-Type": "application/json",
                    "Content-Length": str(len(data)),
                }
                writer.write(encode_head(f"HTTP/1.1 {status} x", head) + data)
                await writer.drain()
        writer.close()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        await asyncio.sleep(ANSWER_TIME)
        if self.is_down:
            return 503, {}
        path, _, query = target.partition("?")
        params = dict(item.split("=", 1) for item in query.split("&") if item)
        kind, *rest = path.removeprefix("/api/objects/").split("/")
        if method == "GET" and not rest:
            if "watch" in params:
                return await self._watch(kind, params)
            return self._list(kind, params.get("after", ""))
        if method == "GET":
            item = self.items.get((kind, rest[0]))
            return (200, item) if item else (404, {})
        self.writes.append((time.monotonic(), method, path))
        return self._write(method, kind, rest, json.loads(body or b"{}"))

    def _write(
        self, method: str, kind: str, rest: list[str], change: dict
    ) -> tuple[int, Any]:
        name = rest[0] if rest else change["metadata"]["name"]
        known = self.items.get((kind, name))
        if method == "POST":
            if known is not None:
                return 409, known
            self.put(kind, name, change.get("spec"))
            return 200, self.items[kind, name]
        if known is None:
            return 404, {}
        revision = change.get("metadata", {}).get("revision")
        if revision is not None and revision != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        if rest[1:] == ["status"]:
            self.put(kind, name, known["spec"], status=change["status"])
        else:
            self.put(kind, name, change["spec"])
        return 200, self.items[kind, name]

    def _list(self, kind: str, after: str) -> tuple[int, Any]:
        names = sorted(name for known, name in self.items if known == kind)
        names = [name for name in names if name > after]
        return 200, {
            "items": [self.items[kind, name] for name in names[: self.page]],
            "has_more": len(names) > self.page,
            "store_revision": self.revision,
        }

    async def _watch(self, kind: str, params: dict[str, str]) -> tuple[int, Any]:
        after, wait = int(params["watch"]), int(params.get("wait_ms", "0")) / 1000
        until = time.monotonic() + wait
        while True:
            if self.is_down:
                return 503, {}
            if after < self.oldest:
                return 410, {}
            events = [
                {"object": change.item, "removed": change.removed}
                for change in self.changes
                if change.kind == kind and change.revision > after
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


# --- The deployment -----------------------------------------------------------------


def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the config."""
    return {
        "name": name,
        "hostname": HOST_NAME,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 5000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 1,
        "public": False,
    } | fields


def make_service(name: str, *, is_engine: bool = False) -> dict[str, Any]:
    """Return a service of the config."""
    service: dict[str, Any] = {
        "name": name,
        "health_check_path": "/health",
        "max_connections": 360,
    }
    if is_engine:
        service["engine"] = {
            "kv_capacity_tokens": 55000,
            "backups": True,
            "handle_s": 4.0,
        }
    return service


def make_config(version: int, routes: list, services: list, **fields: Any) -> dict:
    """Return a config."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    } | fields


@dataclass
class Runner:
    """A runner process."""

    name: str
    service: str
    address: str
    popen: subprocess.Popen
    log: Path
    #: Whether it writes its entry, once the store takes it.
    is_announced: bool = True
    version: str = "v1"

    def runs(self) -> list[dict[str, Any]]:
        """Return what the runner has recorded so far."""
        lines = self.log.read_text().splitlines() if self.log.exists() else []
        return [json.loads(line) for line in lines]

    def entry(self, **fields: Any) -> dict[str, Any]:
        """Return the runner's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": self.version,
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        } | fields


@dataclass
class Host:
    """An entry host."""

    name: str
    ip: str
    settings: Path
    log: Path
    ports: dict[str, int]
    say: Callable[[str], None]
    popen: subprocess.Popen | None = None

    @property
    def front(self) -> tuple[str, int]:
        """The address for callers."""
        return self.ip, self.ports["front"]

    def messages(self) -> list[dict[str, Any]]:
        """Return the lines of the host's log."""
        found = []
        for line in self.log.read_bytes().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found


@dataclass
class Testbed:
    """A store, runners and hosts, all on loopback addresses.

    Attributes:
        folder: The temporary folder.
        store: The store.
        lines: The lines of ``record.txt``.
        tasks: Tasks of the case that run beside it.
        processes: All processes that were started.
        ports: The ports of each host, by its number.
    """

    case: Path
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    store: Store = field(default_factory=Store)
    runners: dict[str, Runner] = field(default_factory=dict)
    hosts: list[Host] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    processes: list[subprocess.Popen] = field(default_factory=list)
    ports: dict[int, dict[str, int]] = field(default_factory=dict)
    began_at: float = field(default_factory=time.monotonic)
    #: Loopback addresses of this run, so that concurrent runs keep apart.
    net: str = field(
        default_factory=lambda: (
            f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}"
        )
    )

    def say(self, text: str) -> None:
        """Write a line to the record."""
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        self.lines.append(line)
        print(line, flush=True)

    async def keep_entries(self) -> None:
        """Write the check-ins of live runners, and drop entries that lapse."""
        beats: dict[str, float] = {}
        while True:
            if not self.store.is_down:
                for runner in list(self.runners.values()):
                    self._keep_entry(runner, beats, time.monotonic())
            await asyncio.sleep(0.05)

    def _keep_entry(self, runner: Runner, beats: dict[str, float], now: float) -> None:
        name, key = runner.name, ("servers", runner.name)
        if runner.popen.poll() is None:
            if runner.is_announced and key not in self.store.items:
                self.store.put("servers", name, runner.entry())
            if now - beats.get(name, 0.0) >= HEARTBEAT:
                beats[name] = now
                self.store.beat(name)
            return
        is_lapsed = now - beats.get(name, now) >= MISSED_BEATS * HEARTBEAT
        if is_lapsed and key in self.store.items:
            self.store.remove("servers", name)
            self.say(f"entry of {name} lapsed")

    async def start_runner(
        self,
        name: str,
        service: str,
        *options: str,
        port: int = 0,
        is_announced: bool = True,
        version: str = "v1",
    ) -> Runner:
        """Start a runner and write its entry."""
        ready = self.folder / f"{name}-{time.monotonic_ns()}.port"
        log = self.folder / f"{name}-{time.monotonic_ns()}.runs"
        popen = subprocess.Popen(
            [
                sys.executable,
                str(RUNNER),
                f"--name={name}",
                f"--ip={self.net}.1",
                f"--port={port}",
                f"--ready={ready}",
                f"--log={log}",
                f"--version={version}",
                *options,
            ]
        )
        self.processes.append(popen)
        until = time.monotonic() + 10
        while not ready.exists() or not ready.read_text():
            if time.monotonic() > until:
                raise CouldNotRunError(f"runner {name} does not start")
            await asyncio.sleep(0.01)
        address = ready.read_text()
        runner = Runner(name, service, address, popen, log, is_announced, version)
        self.runners[name] = runner
        if is_announced and not self.store.is_down:
            self.store.put("servers", name, runner.entry())
        return runner

    def check_served(self, text: str) -> None:
        """Raise CouldNotRunError if no line of the record holds a text."""
        if not any(text in line for line in self.lines):
            raise CouldNotRunError(f"nothing was served: no {text!r}")

    def _ports_of(self, number: int) -> dict[str, int]:
        """Return ports that are free at a host's address."""
        if number not in self.ports:
            names = ("front", "ready", "control", "range")
            with contextlib.ExitStack() as stack:
                held = [stack.enter_context(socket.socket()) for _ in names]
                for sock in held:
                    sock.bind((f"{self.net}.{10 + number}", 0))
                found = [sock.getsockname()[1] for sock in held]
            self.ports[number] = dict(zip(names, found, strict=True))
        return self.ports[number]

    def _control_of(self, number: int) -> str:
        return f"{self.net}.{10 + number}:{self._ports_of(number)['control']}"

    def check_dose(self, what: str, measured: float, limit: float) -> None:
        """Record a dose; raise CouldNotRunError if it is over the pages' limit."""
        self.say(f"dose: {what} {measured:.3f}, limit {limit:g}")
        if measured > limit:
            raise CouldNotRunError(f"{what}: {measured:.3f} is over {limit:g}")

    def add_host(self, number: int, *, zone: str = "zone-a", **fields: str) -> Host:
        """Write the settings of a host."""
        ip = f"{self.net}.{10 + number}"
        ports = self._ports_of(number)
        settings = {
            "node_name": f"front-{number}",
            "role": "entry",
            "machine_class": "front",
            "serves": "front,control",
            "ip": ip,
            "zone": zone,
            "region": "area-a",
            "zones.zone-a": "area-a",
            "listen.front": f"{ip}:{ports['front']}",
            "listen.ready": f"{ip}:{ports['ready']}",
            "listen.control": f"{ip}:{ports['control']}",
            "port_range": f"{ports['range']},{ports['range']}",
            "seeds": ",".join(self._control_of(seed) for seed in (1, 2)),
            "bootstrap": "true",
            "in_tolerance": "false",
            "limits.cpu_share": "0.537",
            "limits.cpu_cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "limits.disk_mb": "0",
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": "1200",
            "contracts": (
                "base,drain,config,cost,retry,recover,engine,stream,tenants,platform"
            ),
            "bounds.contact_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_apply_ms": "2000",
            "bounds.retry_budget_ratio": "0.8",
            "bounds.budget_window_s": "10",
            "bounds.budget_extra": "150",
            "platform.address": self.store.address,
            "platform.form": "objects",
            "platform.writes_per_s": "400",
            "platform.reads_per_s": "2000",
            "platform.history_s": "20",
            "platform.value_bytes": "1048576",
        } | fields
        path = self.folder / f"host-{number}.conf"
        text = "".join(f"{name}={value}\n" for name, value in settings.items())
        path.write_text(text)
        log = self.folder / f"host-{number}.log"
        host = Host(settings["node_name"], ip, path, log, ports, self.say)
        self.hosts.append(host)
        return host

    def start_host(self, host: Host) -> None:
        """Start a host's process by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | {
            "PASSTALLY_CONFIG": str(host.settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with host.log.open("ab") as output:
            host.popen = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.processes.append(host.popen)

    async def wait_ready(self, host: Host) -> None:
        """Wait until a host calls itself ready."""
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if host.popen.poll() is not None:
                break
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                if await self.ask_ready(host) == 200:
                    return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{host.name} does not become ready")

    async def ask_ready(self, host: Host) -> int:
        """Return the status of a host's readiness."""
        async with asyncio.timeout(1):
            reader, writer = await asyncio.open_connection(host.ip, host.ports["ready"])
            writer.write(encode_head("GET /api/ready HTTP/1.1", {"Host": host.ip}))
            answer = await read_answer(reader)
            writer.close()
            return answer.status

    def stop(self) -> None:
        """End all processes and write the record."""
        for popen in self.processes:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in self.processes:
            popen.wait()
        self.store.stop()
        for runner in self.runners.values():
            ran = [item["id"] for item in runner.runs() if item["what"] == "runs"]
            self.say(f"runner {runner.name} ran {len(ran)}: {' '.join(ran)}")
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        (self.case / "record.txt").write_text("\n".join(self.lines) + "\n")


class Channel:
    """A caller's channel to a host, which is kept for several requests."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> "Channel":
        """Open the channel; a new one is given a second to come up."""
        async with asyncio.timeout(1):
            self.reader, self.writer = await asyncio.open_connection(*self._host.front)
        return self

    def send(
        self,
        method: str,
        path: str,
        request_id: str,
        *,
        body: bytes = b"",
        budget_ms: int = 5000,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a request."""
        self._host.say(f"sent {request_id} to {self._host.name}: {method} {path}")
        head = {
            "Host": HOST_NAME,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(budget_ms),
            "X-Key": KEY,
        } | (headers or {})
        if body or method == "POST":
            head["Content-Length"] = str(len(body))
        self.writer.write(encode_head(f"{method} {path} HTTP/1.1", head) + body)

    async def receive(self, *, timeout: float = 10) -> Message | None:
        """Return the answer; None if the channel closed or nothing came."""
        try:
            async with asyncio.timeout(timeout):
                return await read_answer(self.reader)
        except (OSError, EOFError, TimeoutError):
            return None

    def close(self) -> None:
        """Close the channel."""
        if self.writer is not None:
            self.writer.close()


async def call(
    host: Host, method: str, path: str, request_id: str, **options: Any
) -> Message | None:
    """Send one request on a new channel; return the answer, or None if none came."""
    channel = Channel(host)
    try:
        await channel.open()
        channel.send(method, path, request_id, **options)
        return await channel.receive(timeout=20)
    except (OSError, TimeoutError):
        return None
    finally:
        channel.close()


def run_case(main: Any, folder: Path) -> None:
    """Run a case and exit with its code.

    Args:
        main: The coroutine function of the case; returns whether the rule held.
        folder: The folder of the case.
    """
    bed = Testbed(case=folder)

    async def run() -> bool:
        async with asyncio.timeout(110):
            await bed.store.start(f"{bed.net}.2")
            keeping = asyncio.create_task(bed.keep_entries())
            try:
                return await main(bed)
            finally:
                keeping.cancel()

    def end(number: int, frame: Any) -> None:
        raise CouldNotRunError(f"signal {number}")

    signal.signal(signal.SIGTERM, end)
    code = COULD_NOT_RUN
    try:
        code = HELD if asyncio.run(run()) else BROKEN
    except (Exception, KeyboardInterrupt) as error:
        # Only a rule that was seen to be broken may give the exit code for that.
        bed.say(f"could not run: {error!r}")
    finally:
        bed.stop()
    sys.exit(code)
