"""The client of the platform's object store: listings, watches and status updates."""

import re
from collections.abc import Collection, Sequence
from datetime import timedelta
from typing import Annotated, TypeVar
from urllib.parse import quote

import msgspec

from passtally.decision import log_event
from passtally.fetch import Fetched, Fetcher, find_header
from passtally.json_decoding import decode_json
from passtally.object_store import (
    REMOVED,
    SUCCESSES,
    WATCH_TIMEOUT,
    ConflictError,
    Listing,
    StoredObject,
    StoreLink,
    TooDeepError,
    TooOldError,
    UnavailableError,
)
from passtally.platform import names
from passtally.platform.readable_json import (
    replace_deep_values,
    replace_lone_surrogates,
)
from passtally.store_order import (
    MAX_ERA,
    REVISIONS_PER_ERA,
    era_of,
    revision_of,
    version_of,
)

#: Time beyond the requested wait after which a watch times out. A slow store takes 60
#: times its usual 4 ms.
WATCH_SLACK = timedelta(milliseconds=400)
#: Timeout until a listing begins to arrive; a slow store takes 60 times its usual 4 ms.
#: A listing is a host's first call to a silent store that may have recovered, and each
#: attempt that hangs delays the next one.
LIST_TIMEOUT = timedelta(seconds=1)
#: Timeout of a write; a slow store takes 60 times its usual 4 ms.
WRITE_TIMEOUT = timedelta(seconds=1)
#: The status of a write that does not fit the object that exists.
CONFLICT = 409
#: The lowest revision of a change. A watch after it returns all changes, if the store
#: keeps its whole history: the object of this one change is listed, or was removed.
FIRST_REVISION = 1
#: An era in decimal; no revision or version is as long.
ERA = re.compile(rb"[0-9]{1,12}")

T = TypeVar("T")

#: A larger one would name a later era of the store.
_Revision = Annotated[int, msgspec.Meta(ge=0, lt=REVISIONS_PER_ERA)]


class _Metadata(msgspec.Struct):
    name: str
    revision: _Revision
    #: The revision of the object's creation; 0 if not told.
    created: _Revision = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(REMOVED)
    #: Written by the component that carries out the specification.
    status: msgspec.Raw = msgspec.Raw(b"null")


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


class _Page(msgspec.Struct):
    #: Each is an :class:`_Object`, unless another writer made it.
    items: list[msgspec.Raw]
    store_revision: _Revision
    has_more: bool = False


class _Changes(msgspec.Struct):
    #: Each is an :class:`_Event`, unless another writer made it.
    events: list[msgspec.Raw]
    store_revision: _Revision


class PlatformStore:
    """Lists and watches the objects of one kind; their keys are ``KIND/NAME``.

    Args:
        fetcher: Makes the calls.
        url: The URL of the store.
        full_object_prefixes: Prefixes of the keys of objects whose value is the whole
            stored object, with metadata and status, instead of the spec alone.
    """

    def __init__(
        self, *, fetcher: Fetcher, url: str, full_object_prefixes: Collection[str] = ()
    ) -> None:
        self._link = StoreLink(fetcher=fetcher, url=url, on_answer=self._record_era)
        #: The highest era in an answer so far; 0 if no answer had one.
        self._era = 0
        #: The last era header that could not be decoded.
        self._invalid_era: bytes | None = None
        self._full_object_prefixes = full_object_prefixes
        self.calls = 0

    def set_url(self, url: str) -> None:
        """Make further calls at another address, which counts its own eras."""
        self._era = 0
        self._link.set_url(url)

    async def list_objects(self, prefix: str) -> Listing:
        """Return the objects of a kind, at the version of the first page.

        The watch that follows also reports the changes between two pages.
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
            items = _decode_each(prefix, page.items, _Object)
            objects += [self._to_stored(prefix, item, era) for item in items]
            if not page.has_more or not page.items:
                return Listing(version=version, objects=tuple(objects))
            if not items:
                # A listing without the remaining pages would count as their removal.
                raise UnavailableError(
                    "no object of the page can be decoded", step="list", peer=prefix
                )
            after = items[-1].metadata.name

    async def watch(
        self, prefix: str, *, after: int, wait: timedelta = WATCH_TIMEOUT
    ) -> Listing:
        """Wait for changes after a version; return an empty listing if none occur.

        Raises:
            TooOldError: The version is of an earlier era: the same revision now names
                another state, and the changes before it are not known.
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
            for event in _decode_each(prefix, changes.events, _Event)
        )
        version = version_of(era, changes.store_revision)
        return Listing(version=version, objects=objects)

    async def write_status(self, key: str, body: bytes, *, version: int) -> None:
        """Replace an object's status, unless the object has changed.

        Args:
            key: The object's key.
            body: The status, and the revision of the object that it was made from.
            version: The version that belongs to this revision. It includes the era,
                since in a later era the revision may name another state.

        Raises:
            PlatformError: The update failed, or its outcome is not known.
        """
        if era_of(version) != self._era:
            raise ConflictError("another era has begun", step="status", peer=key)
        await self._write("status", "PUT", f"{quote(key)}/status", body)

    @property
    def lineage(self) -> tuple[str, int]:
        """The address and the era; objects of another one may not exist here."""
        return self._link.url, self._era

    async def list_history(self, prefix: str) -> Listing:
        """Return all changes of the objects of a kind, those of removed ones too.

        Raises:
            TooOldError: The store does not keep its history from the beginning.
        """
        params = {"watch": str(FIRST_REVISION), "wait_ms": "0"}
        era, changes = await self._get("watch", prefix, params, LIST_TIMEOUT, _Changes)
        objects = tuple(
            self._to_stored(prefix, event.object, era)
            for event in _decode_each(prefix, changes.events, _Event)
        )
        return Listing(version=version_of(era, changes.store_revision), objects=objects)

    async def find_or_create(self, key: str, spec: bytes) -> StoredObject:
        """Create an object, and return the object of this key that now exists."""
        kind, _, name = key.partition("/")
        fetched = await self._write(
            "create",
            "POST",
            quote(kind),
            _encode_object({"name": name}, spec),
            accepted=(*SUCCESSES, CONFLICT),
        )
        prefix = f"{kind}/"
        item = self._decode("create", prefix, fetched.body, _Object)
        return self._to_stored(prefix, item, self._era)

    async def replace(self, key: str, spec: bytes, *, revision: int) -> StoredObject:
        """Replace the spec of an object of exactly this revision; return the object."""
        kind, _, name = key.partition("/")
        metadata = {"name": name, "revision": revision}
        body = _encode_object(metadata, spec)
        fetched = await self._write("replace", "PUT", quote(key), body)
        item = self._decode("replace", f"{kind}/", fetched.body, _Object)
        return self._to_stored(f"{kind}/", item, self._era)

    async def _write(
        self,
        step: str,
        method: str,
        path: str,
        body: bytes,
        *,
        accepted: Collection[int] = SUCCESSES,
    ) -> Fetched:
        self.calls += 1
        return await self._link.fetch(
            step,
            method,
            f"/api/objects/{path}",
            headers={"Content-Type": "application/json"},
            timeout=WRITE_TIMEOUT,
            data=body,
            accepted=accepted,
        )

    def _record_era(self, fetched: Fetched) -> None:
        """Record the era of an answer, whatever else the answer contains."""
        text = find_header(fetched.headers, names.STORE_ERA)
        try:
            era = decode_era(text)
        except ValueError:
            if text != self._invalid_era:
                self._invalid_era = text
                log_event(
                    "store", "Ignored an invalid era.", told=text.decode("latin-1")
                )
            return
        if era <= self._era:
            return
        if self._era:
            log_event("store", "Restored from an older copy.", era=era, was=self._era)
        self._era = era

    def _is_of_earlier_era(self, fetched: Fetched) -> bool:
        """Return whether an answer was made before the store was restored."""
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
        if prefix in self._full_object_prefixes:
            value = msgspec.Raw(msgspec.json.encode(item))
        created = item.metadata.created
        return StoredObject(
            key=prefix + item.metadata.name,
            version=version_of(era, item.metadata.revision),
            value=msgspec.Raw(REMOVED) if is_removed else value,
            created_version=version_of(era, created) if created > 0 else None,
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
            PlatformError: The call failed, or a newer era was recorded meanwhile.
        """
        self.calls += 1
        path = f"/api/objects/{quote(prefix.rstrip('/'))}"
        fetched = await self._link.fetch(
            step, "GET", path, params=params, timeout=timeout
        )
        era = self._era
        if self._is_of_earlier_era(fetched):
            raise self._superseded(step)
        return era, self._decode(step, prefix, fetched.body, kind)

    def _decode(self, step: str, prefix: str, body: bytes, kind: type[T]) -> T:
        """Decode an answer, without the values of other writers that no decoder takes.

        Raises:
            UnavailableError: The answer is not valid JSON of this type.
        """
        body = replace_lone_surrogates(body)
        try:
            return self._link.decode(step, body, kind)
        except TooDeepError:
            log_event(
                "store", "Replaced values nested too deep by null.", prefix=prefix
            )
            return self._link.decode(step, replace_deep_values(body), kind)


def _encode_object(metadata: dict[str, str | int], spec: bytes) -> bytes:
    return msgspec.json.encode({"metadata": metadata, "spec": msgspec.Raw(spec)})


def decode_era(text: bytes | None) -> int:
    """Decode the era of an answer; return 0 for an answer without one.

    Raises:
        ValueError: The text is not an era.
    """
    if text is None:
        return 0
    if not ERA.fullmatch(text) or int(text) > MAX_ERA:
        raise ValueError("not an era")
    return int(text)


def _decode_each(prefix: str, raws: Sequence[msgspec.Raw], kind: type[T]) -> list[T]:
    """Decode objects one by one; log and skip those that can't be decoded.

    Objects of other writers may not match the schema.
    """
    read: list[T] = []
    for raw in raws:
        try:
            read.append(decode_json(raw, kind))
        except ValueError as error:
            log_event("store", "Skipped an invalid object.", prefix=prefix, why=error)
    return read
