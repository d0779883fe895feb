"""A stand-in for the users' object store: kinds, revisions, watches and faults."""

import asyncio
from typing import Any

import attrs
from aiohttp import web

PAGE = 500


@attrs.frozen(kw_only=True)
class StoreCopy:
    """All that the store held at one moment."""

    revision: int
    items: dict[tuple[str, str], dict[str, Any]]


@attrs.define(kw_only=True)
class _Change:
    revision: int
    kind: str
    item: dict[str, Any]
    removed: bool


class ObjectStoreStandIn:
    """Keeps objects in memory and serves them over HTTP.

    Attributes:
        page: How many objects one page of a listing holds.
        refusal: A status with which every call is refused, or None.
        is_silent: Whether calls get no answer.
        is_deaf: Whether watches hear nothing.
        list_delay: How long a listing takes, in seconds.
        calls: How many calls were made.
        listings: How many listings are under way.
        statuses: The statuses that were written, of any object.
        era: How often it came back from a copy, told in all answers; None to tell none.
    """

    def __init__(self) -> None:
        self.page = PAGE
        self.refusal: int | None = None
        self.is_silent = False
        self.is_deaf = False
        self.list_delay = 0.0
        self.calls = 0
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
        """Listen on the loopback and return the port."""
        app = web.Application(middlewares=[self._tell_era])
        app.router.add_get("/api/objects/{kind}", self._serve)
        app.router.add_put("/api/objects/{kind}/{name}/status", self._put_status)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object."""
        known = self._items.get((kind, name), {})
        self._store(kind, name, spec, status=known.get("status"))

    def _store(self, kind: str, name: str, spec: Any, *, status: Any) -> None:
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision, "created": 1},
            "spec": spec,
            "status": status,
        }
        self._items[kind, name] = item
        self._note(_Change(revision=self.revision, kind=kind, item=item, removed=False))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it is there."""
        item = self._items.pop((kind, name), None)
        if item is None:
            return
        self.revision += 1
        metadata = item["metadata"] | {"revision": self.revision}
        item = item | {"metadata": metadata}
        self._note(_Change(revision=self.revision, kind=kind, item=item, removed=True))

    def forget_history(self) -> None:
        """Drop all changes; watches from before get 410."""
        self._changes.clear()
        self._oldest = self.revision
        self._wake()

    def copy(self) -> StoreCopy:
        """Return all that it holds now."""
        return StoreCopy(revision=self.revision, items=dict(self._items))

    def come_back(self, copy: StoreCopy) -> None:
        """Hold what a copy holds; what was written since is gone."""
        self.revision, self._items = copy.revision, dict(copy.items)
        self._changes = [
            change for change in self._changes if change.revision <= copy.revision
        ]
        if self.era is not None:
            self.era += 1
        self._wake()

    def _note(self, change: _Change) -> None:
        self._changes.append(change)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    @web.middleware
    async def _tell_era(self, request: web.Request, handler: Any) -> web.StreamResponse:
        response = await handler(request)
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)
        return response

    async def _serve(self, request: web.Request) -> web.Response:
        self.calls += 1
        if self.is_silent:
            await asyncio.sleep(3600)
        if self.refusal is not None:
            return web.Response(status=self.refusal)
        kind = request.match_info["kind"]
        if "watch" in request.query:
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
        until = asyncio.get_running_loop().time() + wait
        while True:
            if after < self._oldest or after > self.revision:
                return web.Response(status=410)
            events = [
                {"object": change.item, "removed": change.removed}
                for change in self._changes
                if change.kind == kind and change.revision > after
            ]
            left = until - asyncio.get_running_loop().time()
            if (events and not self.is_deaf) or left <= 0:
                return web.json_response(
                    {
                        "events": [] if self.is_deaf else events,
                        "store_revision": after if self.is_deaf else self.revision,
                    }
                )
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
