"""The platform's object store, as far as the product reads it on the platform."""

from collections.abc import Collection, Sequence
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote

import msgspec

from passtally.decision import log_event
from passtally.fetch import Fetcher
from passtally.object_store import (
    REMOVED,
    WATCH_TIMEOUT,
    Listing,
    StoredObject,
    StoreLink,
    UnavailableError,
)
from passtally.platform.readable_json import (
    leave_out_deep_values,
    replace_half_characters,
)

#: How much later than it was asked to a watch may answer. A store that is slow
#: takes 60 times its usual 4 ms.
WATCH_SLACK = timedelta(milliseconds=400)
#: How long a listing may take to begin to come; a slow store takes 60 times its usual
#: 4 ms. Hosts list first when a store that was silent may be back, and each try that
#: does not end makes the next one later.
LIST_TIMEOUT = timedelta(seconds=1)
#: How long writing a status may take; a slow store takes 60 times its usual 4 ms.
STATUS_TIMEOUT = timedelta(seconds=1)

T = TypeVar("T")


class _Metadata(msgspec.Struct):
    name: str
    revision: int
    created: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(REMOVED)
    #: Written by whoever carries out what the content asks for.
    status: msgspec.Raw = msgspec.Raw(b"null")


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


class _Page(msgspec.Struct):
    #: Each an :class:`_Object`; other writers' may not be.
    items: list[msgspec.Raw]
    store_revision: int
    has_more: bool = False


class _Changes(msgspec.Struct):
    #: Each an :class:`_Event`; other writers' may not be.
    events: list[msgspec.Raw]
    store_revision: int


class PlatformStore:
    """Lists and watches the objects of one kind; their keys are ``KIND/NAME``.

    Args:
        fetcher: Makes the calls.
        url: Where the store listens.
        whole_prefixes: What the keys of those objects start with whose value is all
            that the store keeps of them, not their content alone.
    """

    def __init__(
        self, *, fetcher: Fetcher, url: str, whole_prefixes: Collection[str] = ()
    ) -> None:
        self._link = StoreLink(fetcher=fetcher, url=url)
        self._whole_prefixes = whole_prefixes
        self.calls = 0

    def move(self, url: str) -> None:
        """Make further calls at another address."""
        self._link.move(url)

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
            items = _read_each(prefix, page.items, _Object)
            objects += [self._to_stored(prefix, item) for item in items]
            if not page.has_more or not page.items:
                return Listing(version=version, objects=tuple(objects))
            if not items:
                # A listing that leaves the rest out would take it for removed.
                raise UnavailableError(
                    "no object of a page can be read", step="list", peer=prefix
                )
            after = items[-1].metadata.name

    async def watch(
        self, prefix: str, *, after: int, wait: timedelta = WATCH_TIMEOUT
    ) -> Listing:
        """Wait for changes after a version; an empty listing on a quiet wait."""
        params = {"watch": str(after), "wait_ms": str(int(wait.total_seconds() * 1000))}
        limit = wait + WATCH_SLACK
        changes = await self._get("watch", prefix, params, limit, _Changes)
        objects = tuple(
            self._to_stored(prefix, event.object, is_removed=event.removed)
            for event in _read_each(prefix, changes.events, _Event)
        )
        return Listing(version=changes.store_revision, objects=objects)

    async def write_status(self, key: str, body: bytes) -> None:
        """Replace an object's status, unless the object has changed.

        Args:
            key: The object.
            body: The status, and the version of the object that it was made from.

        Raises:
            PlatformError: It was not done, or it is not known whether it was.
        """
        self.calls += 1
        await self._link.call(
            "status",
            "PUT",
            f"/api/objects/{quote(key)}/status",
            headers={"Content-Type": "application/json"},
            timeout=STATUS_TIMEOUT,
            data=body,
        )

    def _to_stored(
        self, prefix: str, item: _Object, *, is_removed: bool = False
    ) -> StoredObject:
        value = item.spec
        if prefix in self._whole_prefixes:
            value = msgspec.Raw(msgspec.json.encode(item))
        return StoredObject(
            key=prefix + item.metadata.name,
            version=item.metadata.revision,
            value=msgspec.Raw(REMOVED) if is_removed else value,
        )

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
        body = replace_half_characters(body)
        try:
            return self._link.decode(step, body, kind)
        except RecursionError:
            log_event("store", "Left out what is nested too deep.", prefix=prefix)
            return self._link.decode(step, leave_out_deep_values(body), kind)


def _read_each(prefix: str, raws: Sequence[msgspec.Raw], kind: type[T]) -> list[T]:
    """Return the objects that can be read; another writer's may not be."""
    read: list[T] = []
    for raw in raws:
        try:
            read.append(msgspec.json.decode(raw, type=kind))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            log_event("store", "Passed over an object.", prefix=prefix, why=error)
    return read
