"""Stand-in for the platform's object API; docs/PLATFORM.md describes the protocol.

It keeps all objects in memory and counts calls by kind. ``PUT /control`` sets the
faults to inject.
"""

import asyncio
import time
from bisect import bisect_right
from collections import Counter, deque

import attrs
import click
import msgspec
from aiohttp import web

from standins.serving import run_app

MAX_CHANGES = 20_000
MAX_VALUE_BYTES = 1 << 20


class Control(msgspec.Struct, kw_only=True):
    """Faults to inject, set by ``PUT /control``.

    Attributes:
        outage: Whether every call fails with 503.
        latency: Latency added to each call, in seconds.
        lose_answers: Number of next writes that take effect but get no response.
        hosts_lag: Age of the host list that is returned, in seconds.
        writes_per_second: Limit of the write rate, or 0 for no limit.
        reads_per_second: Limit of the read rate, or 0 for no limit.
        forget_changes: Whether the change history is dropped now, so that running
            watches get 410 (Gone).
    """

    outage: bool = False
    latency: float = 0.0
    lose_answers: int = 0
    hosts_lag: float = 2.0
    writes_per_second: int = 0
    reads_per_second: int = 0
    forget_changes: bool = False


@attrs.define
class Stored:
    """Version and value of one object."""

    version: int
    value: bytes


@attrs.define
class Rate:
    """Rate limiter that counts the calls in the current second."""

    second: int = 0
    used: int = 0

    def take(self, limit: int) -> bool:
        """Count a call and return whether it is within the limit; 0 is no limit."""
        second = int(time.monotonic())
        if second != self.second:
            self.second, self.used = second, 0
        self.used += 1
        return not limit or self.used <= limit


class PlatformStandin:
    """Object store, host list and HTTP handlers."""

    def __init__(self) -> None:
        self.control = Control()
        self.version = 0
        self.objects_by_key: dict[str, Stored] = {}
        self.changes: deque[tuple[int, str, bytes | None]] = deque(maxlen=MAX_CHANGES)
        self.calls: Counter[str] = Counter()
        self.hosts: list[tuple[float, dict[str, str]]] = []
        self._changed = asyncio.Condition()
        self._writes = Rate()
        self._reads = Rate()

    def build_app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=2 * MAX_VALUE_BYTES)
        app.router.add_get("/v1/objects", self.list_objects)
        app.router.add_get("/v1/objects/{key:.+}", self.get)
        app.router.add_put("/v1/objects/{key:.+}", self.put)
        app.router.add_delete("/v1/objects/{key:.+}", self.delete)
        app.router.add_get("/v1/watch", self.watch)
        app.router.add_get("/v1/hosts", self.list_hosts)
        app.router.add_put("/v1/hosts/{id}", self.put_host)
        app.router.add_get("/control", self.read_control)
        app.router.add_put("/control", self.write_control)
        return app

    async def list_objects(self, request: web.Request) -> web.Response:
        """Return the objects whose keys start with a prefix."""
        await self._admit("list", self._reads, self.control.reads_per_second)
        prefix = request.query.get("prefix", "")
        rows = [
            _row(key, stored.version, stored.value)
            for key, stored in sorted(self.objects_by_key.items())
            if key.startswith(prefix)
        ]
        return _listing(self.version, rows)

    async def get(self, request: web.Request) -> web.Response:
        """Return one object, or 404."""
        await self._admit("get", self._reads, self.control.reads_per_second)
        key = request.match_info["key"]
        stored = self.objects_by_key.get(key)
        if stored is None:
            raise web.HTTPNotFound
        return _json(_row(key, stored.version, stored.value))

    async def put(self, request: web.Request) -> web.Response:
        """Write an object if its If-Match or If-None-Match condition holds."""
        value = await request.read()
        await self._admit("write", self._writes, self.control.writes_per_second)
        key = request.match_info["key"]
        if len(value) > MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(MAX_VALUE_BYTES, len(value))
        self._check_version(request, key)
        version = await self._store(key, value)
        await self._drop_answer_if_set(request)
        return _json({"version": version})

    async def delete(self, request: web.Request) -> web.Response:
        """Remove an object if its If-Match condition holds."""
        await self._admit("write", self._writes, self.control.writes_per_second)
        key = request.match_info["key"]
        self._check_version(request, key)
        await self._store(key, None)
        await self._drop_answer_if_set(request)
        return _json({})

    async def watch(self, request: web.Request) -> web.Response:
        """Return the changes after a version, at the latest when the timeout expires.

        A version older than the change history gets 410 (Gone).
        """
        await self._admit("watch", self._reads, self.control.reads_per_second)
        prefix = request.query.get("prefix", "")
        after = int(request.query["after"])
        deadline = time.monotonic() + float(request.query.get("timeout", "20"))
        while True:
            if self.control.outage:
                raise web.HTTPServiceUnavailable
            if self.changes and after < self.changes[0][0] - 1:
                raise web.HTTPGone
            rows = self._changes_after(prefix, after)
            remaining = deadline - time.monotonic()
            if rows or remaining <= 0:
                return _listing(self.version, rows)
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), min(remaining, 1.0))
                except TimeoutError:
                    continue

    async def list_hosts(self, request: web.Request) -> web.Response:
        """Return the host list as of ``hosts_lag`` seconds ago."""
        await self._admit("hosts", self._reads, self.control.reads_per_second)
        hosts_by_id: dict[str, dict[str, str]] = {}
        until = time.monotonic() - self.control.hosts_lag
        for at, row in self.hosts:
            if at <= until:
                hosts_by_id[row["id"]] = row
        return _json(list(hosts_by_id.values()))

    async def put_host(self, request: web.Request) -> web.Response:
        """Add or replace a host in the host list."""
        row = await request.json()
        self.hosts.append((time.monotonic(), row | {"id": request.match_info["id"]}))
        return _json({})

    async def read_control(self, request: web.Request) -> web.Response:
        """Return the number of calls by kind and the current version."""
        return _json({"calls": dict(self.calls), "version": self.version})

    async def write_control(self, request: web.Request) -> web.Response:
        """Replace the faults to inject; fields left out get their defaults."""
        self.control = msgspec.json.decode(await request.read(), type=Control)
        if self.control.forget_changes:
            self.changes.clear()
            self.version += 1
            self.changes.append((self.version, "forgotten", None))
        async with self._changed:
            self._changed.notify_all()
        return _json({})

    async def _admit(self, call: str, rate: Rate, limit: int) -> None:
        self.calls[call] += 1
        if self.control.latency:
            await asyncio.sleep(self.control.latency)
        if self.control.outage:
            raise web.HTTPServiceUnavailable
        if not rate.take(limit):
            raise web.HTTPTooManyRequests

    def _check_version(self, request: web.Request, key: str) -> None:
        stored = self.objects_by_key.get(key)
        if request.headers.get("If-None-Match") == "*":
            if stored is not None:
                raise web.HTTPConflict
            return
        expected = request.headers.get("If-Match")
        if expected is not None and (stored is None or str(stored.version) != expected):
            raise web.HTTPConflict

    async def _store(self, key: str, value: bytes | None) -> int:
        self.version += 1
        if value is None:
            self.objects_by_key.pop(key, None)
        else:
            self.objects_by_key[key] = Stored(self.version, value)
        self.changes.append((self.version, key, value))
        async with self._changed:
            self._changed.notify_all()
        return self.version

    async def _drop_answer_if_set(self, request: web.Request) -> None:
        if self.control.lose_answers > 0:
            self.control.lose_answers -= 1
            request.transport.abort()
            raise web.HTTPServiceUnavailable

    def _changes_after(self, prefix: str, after: int) -> list[dict]:
        start = bisect_right(self.changes, after, key=lambda change: change[0])
        return [
            _row(key, version, value)
            for version, key, value in list(self.changes)[start:]
            if key.startswith(prefix)
        ]


def _row(key: str, version: int, value: bytes | None) -> dict:
    raw = None if value is None else msgspec.Raw(value)
    return {"key": key, "version": version, "value": raw}


def _listing(version: int, rows: list[dict]) -> web.Response:
    return _json({"version": version, "objects": rows})


def _json(value: object) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value), content_type="application/json"
    )


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Run the object API on a port."""
    run_app(PlatformStandin().build_app, port)


if __name__ == "__main__":
    main()
