"""The platform's object store, as far as the product reads it on the platform."""

import re
from collections.abc import Collection, Sequence
from datetime import timedelta
from typing import TypeVar
from urllib.parse import quote

import msgspec

from passtally.decision import log_event
from passtally.fetch import Fetched, Fetcher, find_header
from passtally.object_store import (
    REMOVED,
    WATCH_TIMEOUT,
    ConflictError,
    Listing,
    StoredObject,
    StoreLink,
    TooOldError,
    UnavailableError,
)
from passtally.platform import names
from passtally.platform.readable_json import (
    leave_out_deep_values,
    replace_half_characters,
)
from passtally.store_order import MAX_ERA, era_of, revision_of, version_of

#: How much later than it was asked to a watch may answer. A store that is slow
#: takes 60 times its usual 4 ms.
WATCH_SLACK = timedelta(milliseconds=400)
#: How long a listing may take to begin to come; a slow store takes 60 times its usual
#: 4 ms. Hosts list first when a store that was silent may be back, and each try that
#: does not end makes the next one later.
LIST_TIMEOUT = timedelta(seconds=1)
#: How long writing a status may take; a slow store takes 60 times its usual 4 ms.
STATUS_TIMEOUT = timedelta(seconds=1)
#: An era in decimal; no revision or version is as long.
ERA = re.compile(rb"[0-9]{1,12}")

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
        self._link = StoreLink(fetcher=fetcher, url=url, on_answer=self._record_era)
        #: The highest era that an answer told; 0 where none did.
        self._era = 0
        #: What an answer told last that is no era.
        self._odd_era: bytes | None = None
        self._whole_prefixes = whole_prefixes
        self.calls = 0

    def move(self, url: str) -> None:
        """Make further calls at another address, whose eras are its own."""
        self._era = 0
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
            era, page = await self._get("list", prefix, params, LIST_TIMEOUT, _Page)
            if version is None:
                version = version_of(era, page.store_revision)
            elif era != era_of(version):
                raise self._superseded("list")
            items = _read_each(prefix, page.items, _Object)
            objects += [self._to_stored(prefix, item, era) for item in items]
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
        """Wait for changes after a version; an empty listing on a quiet wait.

        Raises:
            TooOldError: The version is of an earlier era: the same revision names
                another state by now, and what came before it is not known.
        """
        if era_of(after) < self._era:
            raise self._too_old(after)
        params = {
            "watch": str(revision_of(after)),
            "wait_ms": str(int(wait.total_seconds() * 1000)),
        }
        limit = wait + WATCH_SLACK
        era, changes = await self._get("watch", prefix, params, limit, _Changes)
        if era != era_of(after):
            raise self._too_old(after)
        objects = tuple(
            self._to_stored(prefix, event.object, era, is_removed=event.removed)
            for event in _read_each(prefix, changes.events, _Event)
        )
        version = version_of(era, changes.store_revision)
        return Listing(version=version, objects=objects)

    async def write_status(self, key: str, body: bytes, *, version: int) -> None:
        """Replace an object's status, unless the object has changed.

        Args:
            key: The object.
            body: The status, and the revision of the object that it was made from.
            version: The version of that: a later era may have given the revision to
                another state.

        Raises:
            PlatformError: It was not done, or it is not known whether it was.
        """
        if era_of(version) != self._era:
            raise ConflictError("another era has begun", step="status", peer=key)
        self.calls += 1
        await self._link.call(
            "status",
            "PUT",
            f"/api/objects/{quote(key)}/status",
            headers={"Content-Type": "application/json"},
            timeout=STATUS_TIMEOUT,
            data=body,
        )

    def _record_era(self, fetched: Fetched) -> None:
        """Take in the era that an answer tells, whatever else it says."""
        text = find_header(fetched.headers, names.STORE_ERA)
        try:
            era = decode_era(text)
        except ValueError:
            if text != self._odd_era:
                self._odd_era = text
                log_event("store", "Not an era.", told=text.decode("latin-1"))
            return
        if era <= self._era:
            return
        if self._era:
            log_event("store", "Came back from an older copy.", era=era, was=self._era)
        self._era = era

    def _is_of_earlier_era(self, fetched: Fetched) -> bool:
        """Return whether an answer was made before the store came back."""
        text = find_header(fetched.headers, names.STORE_ERA)
        try:
            return text is not None and decode_era(text) < self._era
        except ValueError:
            return False

    def _superseded(self, step: str) -> UnavailableError:
        return UnavailableError("an answer of an earlier era", step=step, peer="store")

    def _too_old(self, after: int) -> TooOldError:
        why = f"the store is in era {self._era}, not in {era_of(after)}"
        return TooOldError(why, step="watch", peer="store")

    def _to_stored(
        self, prefix: str, item: _Object, era: int, *, is_removed: bool = False
    ) -> StoredObject:
        value = item.spec
        if prefix in self._whole_prefixes:
            value = msgspec.Raw(msgspec.json.encode(item))
        return StoredObject(
            key=prefix + item.metadata.name,
            version=version_of(era, item.metadata.revision),
            value=msgspec.Raw(REMOVED) if is_removed else value,
        )

    async def _get(
        self,
        step: str,
        prefix: str,
        params: dict[str, str],
        timeout: timedelta,
        kind: type[T],
    ) -> tuple[int, T]:
        """Make a call and return the era of its answer, and the answer.

        Raises:
            PlatformError: It failed, or a newer era was heard of meanwhile.
        """
        self.calls += 1
        path = f"/api/objects/{quote(prefix.rstrip('/'))}"
        fetched = await self._link.fetch(
            step, "GET", path, params=params, timeout=timeout
        )
        era = self._era
        if self._is_of_earlier_era(fetched):
            raise self._superseded(step)
        body = replace_half_characters(fetched.body)
        try:
            return era, self._link.decode(step, body, kind)
        except RecursionError:
            log_event("store", "Left out what is nested too deep.", prefix=prefix)
            return era, self._link.decode(step, leave_out_deep_values(body), kind)


def decode_era(text: bytes | None) -> int:
    """Read the era that an answer tells; 0 where it tells none.

    Raises:
        ValueError: It is no era.
    """
    if text is None:
        return 0
    if not ERA.fullmatch(text) or int(text) > MAX_ERA:
        raise ValueError("not an era")
    return int(text)


def _read_each(prefix: str, raws: Sequence[msgspec.Raw], kind: type[T]) -> list[T]:
    """Return the objects that can be read; another writer's may not be."""
    read: list[T] = []
    for raw in raws:
        try:
            read.append(msgspec.json.decode(raw, type=kind))
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            log_event("store", "Passed over an object.", prefix=prefix, why=error)
    return read
