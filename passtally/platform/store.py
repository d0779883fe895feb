"""The platform's object store, as far as the product reads it on the platform."""

from datetime import timedelta
from urllib.parse import quote

import msgspec

from passtally.fetch import Fetcher
from passtally.object_store import (
    REMOVED,
    WATCH_TIMEOUT,
    Listing,
    StoredObject,
    StoreLink,
)

#: How much later than it was asked to a watch may answer. A store that is slow
#: takes 60 times its usual 4 ms.
WATCH_SLACK = timedelta(milliseconds=400)
#: How long a listing may take to begin to come; a slow store takes 60 times its usual
#: 4 ms. Hosts list first when a store that was silent may be back, and each try that
#: does not end makes the next one later.
LIST_TIMEOUT = timedelta(seconds=1)


class _Metadata(msgspec.Struct):
    name: str
    revision: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(REMOVED)


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


class _Page(msgspec.Struct):
    items: list[_Object]
    store_revision: int
    has_more: bool = False


class _Changes(msgspec.Struct):
    events: list[_Event]
    store_revision: int


class PlatformStore:
    """Lists and watches the objects of one kind; their keys are ``KIND/NAME``.

    Args:
        fetcher: Makes the calls.
        url: Where the store listens.
    """

    def __init__(self, *, fetcher: Fetcher, url: str) -> None:
        self._link = StoreLink(fetcher=fetcher, url=url)
        self.calls = 0

    async def list_objects(self, prefix: str) -> Listing:
        """Return the objects of a kind, at the version of the first page.

        Changes between two pages are seen again by the watch that follows.
        """
        objects: list[StoredObject] = []
        version: int | None = None
        after = ""
        while True:
            params = {"after": after} if after else {}
            page = await self._get("list", prefix, params, LIST_TIMEOUT, _Page)
            version = page.store_revision if version is None else version
            objects += [_to_stored(prefix, item) for item in page.items]
            if not page.has_more or not page.items:
                return Listing(version=version, objects=tuple(objects))
            after = page.items[-1].metadata.name

    async def watch(
        self, prefix: str, *, after: int, wait: timedelta = WATCH_TIMEOUT
    ) -> Listing:
        """Wait for changes after a version; an empty listing on a quiet wait."""
        params = {"watch": str(after), "wait_ms": str(int(wait.total_seconds() * 1000))}
        limit = wait + WATCH_SLACK
        changes = await self._get("watch", prefix, params, limit, _Changes)
        objects = tuple(
            _to_stored(prefix, event.object, is_removed=event.removed)
            for event in changes.events
        )
        return Listing(version=changes.store_revision, objects=objects)

    async def _get(
        self,
        step: str,
        prefix: str,
        params: dict[str, str],
        timeout: timedelta,
        kind: type,
    ) -> msgspec.Struct:
        self.calls += 1
        path = f"/api/objects/{quote(prefix.rstrip('/'))}"
        body = await self._link.call(step, "GET", path, params=params, timeout=timeout)
        return self._link.decode(step, body, kind)


def _to_stored(prefix: str, item: _Object, *, is_removed: bool = False) -> StoredObject:
    return StoredObject(
        key=prefix + item.metadata.name,
        version=item.metadata.revision,
        value=msgspec.Raw(REMOVED) if is_removed else item.spec,
    )
