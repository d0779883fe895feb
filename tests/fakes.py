"""In-memory fakes of the product's interfaces."""

import asyncio
from collections import deque
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from passtally.catalog import Catalog
from passtally.object_store import (
    REMOVED,
    ConflictError,
    HostEntry,
    Listing,
    StoredObject,
    TooOldError,
    UnavailableError,
)
from passtally.objects import Endpoint, Service


class FakePlatform:
    """The object API in memory, with a queue of faults to inject.

    Each call uses the next fault: ``ok``, ``down`` (nothing happens), ``lost``
    (a write takes effect, but its answer is lost) or ``late`` (the answer is lost,
    and the write takes effect only at a later call).
    """

    def __init__(self) -> None:
        self.version = 0
        self.objects_by_key: dict[str, StoredObject] = {}
        self.faults: deque[str] = deque()
        self.is_down = False
        self.calls: list[str] = []
        self.changes: list[StoredObject] = []
        self.oldest_change = 0
        self.host_entries: list[HostEntry] = []
        self._late: list = []

    async def list_objects(self, prefix: str) -> Listing:
        await self._enter("list")
        objects = [
            stored
            for key, stored in sorted(self.objects_by_key.items())
            if key.startswith(prefix)
        ]
        return Listing(version=self.version, objects=tuple(objects))

    async def get(self, key: str) -> StoredObject | None:
        await self._enter("get")
        return self.objects_by_key.get(key)

    async def create(self, key: str, value: bytes) -> int:
        return await self._write("create", key, value, version=None)

    async def update(self, key: str, value: bytes, *, version: int) -> int:
        return await self._write("update", key, value, version=version)

    async def delete(self, key: str, *, version: int) -> None:
        await self._write("delete", key, REMOVED, version=version)

    async def watch(
        self, prefix: str, *, after: int, wait: timedelta = timedelta(0)
    ) -> Listing:
        await self._enter("watch")
        until = asyncio.get_running_loop().time() + wait.total_seconds()
        while True:
            if self.is_down:
                raise UnavailableError("down", step="watch", peer="fake")
            if after < self.oldest_change:
                raise TooOldError("too old", step="watch", peer="fake")
            objects = tuple(
                change
                for change in self.changes
                if change.version > after and change.key.startswith(prefix)
            )
            if objects or asyncio.get_running_loop().time() >= until:
                return Listing(version=self.version, objects=objects)
            await asyncio.sleep(0.05)

    async def hosts(self) -> Sequence[HostEntry]:
        await self._enter("hosts")
        return self.host_entries

    async def _enter(self, call: str) -> str:
        self.calls.append(call)
        await asyncio.sleep(0)
        late, self._late = self._late, []
        for write in late:
            self._try_store(*write)
        fault = self.faults.popleft() if self.faults else "ok"
        if self.is_down or fault == "down":
            raise UnavailableError("down", step=call, peer="fake")
        return fault

    async def _write(
        self, call: str, key: str, value: bytes, *, version: int | None
    ) -> int:
        fault = await self._enter(call)
        if fault == "late":
            self._late.append((key, value, version))
            raise UnavailableError("late", step=call, peer="fake")
        if not self._try_store(key, value, version):
            raise ConflictError("conflict", step=call, peer="fake")
        if fault == "lost":
            raise UnavailableError("lost", step=call, peer="fake")
        return self.version

    def _try_store(self, key: str, value: bytes, version: int | None) -> bool:
        known = self.objects_by_key.get(key)
        if version != (known.version if known else None):
            return False
        self.version += 1
        stored = StoredObject(key=key, version=self.version, value=msgspec.Raw(value))
        self.changes.append(stored)
        self.objects_by_key[key] = stored
        if value == REMOVED:
            del self.objects_by_key[key]
        return True


def make_catalog(
    services: Sequence[Service], endpoints: Sequence[Endpoint] = ()
) -> Catalog:
    """Return a catalog with these services and endpoints."""
    kinds = [("services", item) for item in services]
    kinds += [("endpoints", item) for item in endpoints]
    objects = tuple(
        StoredObject(
            key=f"config/{kind}/{item.id}",
            version=number,
            value=msgspec.Raw(msgspec.json.encode(item)),
        )
        for number, (kind, item) in enumerate(kinds, start=1)
    )
    catalog = Catalog()
    catalog.replace(Listing(version=len(objects), objects=objects))
    return catalog
