"""Stand-in for the object store: kinds, revisions, watches and injected faults."""

import asyncio
from typing import Any

import attrs
from aiohttp import web

#: Default number of objects on one page of a listing.
PAGE = 500


@attrs.frozen(kw_only=True)
class StoreCopy:
    """Backup of the store: its objects and its revision at one moment."""

    revision: int
    items: dict[tuple[str, str], dict[str, Any]]


@attrs.define(kw_only=True)
class _Change:
    revision: int
    kind: str
    item: dict[str, Any]
    removed: bool


class ObjectStoreStandIn:
    """In-memory object store that is served over HTTP.

    Attributes:
        page: Number of objects on one page of a listing.
        refusal: HTTP status that rejects every call, or None.
        write_refusal: HTTP status that rejects writes of whole objects, or None.
        writes: Number of writes of whole objects received.
        is_silent: Whether calls get no response.
        is_deaf: Whether watches return no events and never advance.
        list_delay: Duration of a listing, in seconds.
        calls: Number of calls received.
        watches: Number of watches among them.
        listings: Number of listings in progress.
        revision: Revision of the latest change.
        statuses: All object statuses that were written, in order.
        era: Number that increases whenever a copy is restored, sent with every
            response; None if the store sends no era.
    """

    def __init__(self) -> None:
        self.page = PAGE
        self.refusal: int | None = None
        self.write_refusal: int | None = None
        self.writes = 0
        self.is_silent = False
        self.is_deaf = False
        self.list_delay = 0.0
        self.calls = 0
        self.watches = 0
        self.listings = 0
        self.revision = 0
        self.statuses: list[Any] = []
        self.era: int | None = 1
        self._oldest = 0
        self._items: dict[tuple[str, str], dict[str, Any]] = {}
        self._changes: list[_Change] = []
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self) -> int:
        """Listen on a free loopback port and return the port."""
        app = web.Application(middlewares=[self._add_era_header])
        app.router.add_get("/api/objects/{kind}", self._serve)
        app.router.add_post("/api/objects/{kind}", self._create)
        app.router.add_put("/api/objects/{kind}/{name}", self._replace)
        app.router.add_put("/api/objects/{kind}/{name}/status", self._put_status)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create an object, or replace its spec and keep its status."""
        known = self._items.get((kind, name), {})
        self._store(kind, name, spec, status=known.get("status"))

    def _store(self, kind: str, name: str, spec: Any, *, status: Any) -> None:
        self.revision += 1
        known = self._items.get((kind, name), {}).get("metadata", {})
        created = known.get("created", self.revision)
        item = {
            "metadata": {"name": name, "revision": self.revision, "created": created},
            "spec": spec,
            "status": status,
        }
        self._items[kind, name] = item
        self._append_change(
            _Change(revision=self.revision, kind=kind, item=item, removed=False)
        )

    def find(self, kind: str, name: str) -> Any:
        """Return the spec of an object, or None if it does not exist."""
        return self._items.get((kind, name), {}).get("spec")

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self._items.pop((kind, name), None)
        if item is None:
            return
        self.revision += 1
        metadata = item["metadata"] | {"revision": self.revision}
        item = item | {"metadata": metadata}
        self._append_change(
            _Change(revision=self.revision, kind=kind, item=item, removed=True)
        )

    def forget_history(self) -> None:
        """Drop the change history; watches from an earlier revision get 410."""
        self._changes.clear()
        self._oldest = self.revision
        self._wake()

    def copy(self) -> StoreCopy:
        """Return a copy of all objects and the revision."""
        return StoreCopy(revision=self.revision, items=dict(self._items))

    def come_back(self, copy: StoreCopy) -> None:
        """Restore a copy; writes since then are lost and the era increases."""
        self.revision, self._items = copy.revision, dict(copy.items)
        self._changes = [
            change for change in self._changes if change.revision <= copy.revision
        ]
        if self.era is not None:
            self.era += 1
        self._wake()

    def _append_change(self, change: _Change) -> None:
        self._changes.append(change)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _add_era_header(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        response = await handler(request)
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)
        return response

    @property
    def other_calls(self) -> int:
        """Number of calls received that are no watches."""
        return self.calls - self.watches

    async def _serve(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.is_silent:
            await asyncio.sleep(3600)
        if self.refusal is not None:
            return web.Response(status=self.refusal)
        kind = request.match_info["kind"]
        if "watch" in request.query:
            self.watches += 1
            return await self._watch(kind, request)
        self.listings += 1
        try:
            await asyncio.sleep(self.list_delay)
        finally:
            self.listings -= 1
        names = sorted(name for known, name in self._items if known == kind)
        names = [name for name in names if name > request.query.get("after", "")]
        items = [self._items[kind, name] for name in names[: self.page]]
        return web.json_response(
            {
                "items": items,
                "has_more": len(names) > self.page,
                "store_revision": self.revision,
            }
        )

    async def _create(self, request: web.Request) -> web.Response:
        change = await request.json()
        key = request.match_info["kind"], change["metadata"]["name"]
        return self._write(key, change, is_allowed=key not in self._items)

    async def _replace(self, request: web.Request) -> web.Response:
        key = request.match_info["kind"], request.match_info["name"]
        if key not in self._items:
            return web.Response(status=404)
        change = await request.json()
        known = self._items[key]["metadata"]["revision"]
        is_allowed = change["metadata"].get("revision", known) == known
        return self._write(key, change, is_allowed=is_allowed)

    def _write(
        self, key: tuple[str, str], change: dict[str, Any], *, is_allowed: bool
    ) -> web.Response:
        self.calls += 1
        self.writes += 1
        if (refusal := self.refusal or self.write_refusal) is not None:
            return web.Response(status=refusal)
        if is_allowed:
            self.put(*key, change["spec"])
        return web.json_response(self._items[key], status=200 if is_allowed else 409)

    async def _put_status(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.refusal is not None:
            return web.Response(status=self.refusal)
        key = request.match_info["kind"], request.match_info["name"]
        item = self._items.get(key)
        if item is None:
            return web.Response(status=404)
        change = await request.json()
        if change["metadata"]["revision"] != item["metadata"]["revision"]:
            return web.json_response(item, status=409)
        self.statuses.append(change["status"])
        self._store(*key, item["spec"], status=change["status"])
        return web.json_response(self._items[key])

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        after = int(request.query["watch"])
        wait = int(request.query.get("wait_ms", "0")) / 1000
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            if after < self._oldest or after > self.revision:
                return web.Response(status=410)
            events = [
                {"object": change.item, "removed": change.removed}
                for change in self._changes
                if change.kind == kind and change.revision > after
            ]
            remaining = deadline - asyncio.get_running_loop().time()
            if (events and not self.is_deaf) or remaining <= 0:
                return web.json_response(
                    {
                        "events": [] if self.is_deaf else events,
                        "store_revision": after if self.is_deaf else self.revision,
                    }
                )
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue
