"""The records of software versions in the platform's store."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from passtally.decision import log_event
from passtally.object_store import StoredObject, TooOldError, UnavailableError
from passtally.objects import Endpoint
from passtally.platform.decode import decode_endpoint
from passtally.platform.store import PlatformStore
from passtally.store_order import era_of, revision_of
from passtally.version_records import VersionRecord

#: The kind of the records, one for each service.
_PREFIX = "software-versions/"


class _Record(msgspec.Struct):
    versions: list[str]
    #: The era of the store in which the record was written.
    era: int = 0


class PlatformVersionStore:
    """Implements :class:`passtally.version_records.VersionStore` for the platform.

    Args:
        store: The store.
        endpoints_prefix: Key prefix of the endpoints' entries.
    """

    def __init__(self, *, store: PlatformStore, endpoints_prefix: str) -> None:
        self._store = store
        self._endpoints_prefix = endpoints_prefix

    @property
    def lineage(self) -> tuple[str, int]:
        """The store's address and era."""
        return self._store.lineage

    async def find(self, service: str) -> VersionRecord | None:
        """Return the record of a service, or None where there is none."""
        listing = await self._store.list_objects(_PREFIX)
        stored_by_key = {stored.key: stored for stored in listing.objects}
        stored = stored_by_key.get(_PREFIX + service)
        return None if stored is None else _to_record(stored)

    async def create(self, service: str, versions: Iterable[str]) -> VersionRecord:
        """Create the record of a service, and return the record that now exists."""
        spec = self._encode(versions)
        return _to_record(await self._store.find_or_create(_PREFIX + service, spec))

    async def replace(
        self, service: str, versions: Iterable[str], *, revision: int
    ) -> None:
        """Replace the record of a service if it has exactly this revision."""
        key = _PREFIX + service
        await self._store.replace(key, self._encode(versions), revision=revision)

    async def list_past(self, service: str) -> frozenset[str]:
        """Return the versions of all endpoints of a service in the store's history."""
        prefix = self._endpoints_prefix
        history = await self._store.list_history(prefix)
        if era_of(history.version):
            # What was written after the copy is not in the history any more.
            raise UnavailableError("restored from a copy", step="history", peer=prefix)
        try:
            endpoints = [self._to_endpoint(stored) for stored in history.objects]
        except ValueError as error:
            raise UnavailableError(str(error), step="history", peer=prefix) from error
        found = [item.software for item in endpoints if item.service == service]
        return frozenset(found)

    async def is_older_than_history(self, service: str, version: str) -> bool:
        """Return whether an endpoint of a version is older than the store's history."""
        prefix = self._endpoints_prefix
        listing = await self._store.list_objects(prefix)
        if era_of(listing.version):
            # The history of a store that was restored begins at that time.
            raise UnavailableError("restored from a copy", step="list", peer=prefix)
        created = [
            stored.created_version
            for stored in listing.objects
            if stored.created_version is not None
            and self._is_of_version(stored, service, version)
        ]
        if not created:
            return False
        try:
            await self._store.watch(prefix, after=min(created), wait=timedelta(0))
        except TooOldError:
            return True
        return False

    def _is_of_version(self, stored: StoredObject, service: str, version: str) -> bool:
        try:
            endpoint = self._to_endpoint(stored)
        except ValueError as error:
            log_event("versions", "Skipped an entry.", key=stored.key, why=error)
            return False
        return endpoint.service == service and endpoint.software == version

    def _to_endpoint(self, stored: StoredObject) -> Endpoint:
        endpoint_id = stored.key.removeprefix(self._endpoints_prefix)
        return decode_endpoint(endpoint_id, bytes(stored.value))

    def _encode(self, versions: Iterable[str]) -> bytes:
        _, era = self._store.lineage
        return msgspec.json.encode(_Record(versions=sorted(versions), era=era))


def _to_record(stored: StoredObject) -> VersionRecord:
    try:
        record = msgspec.json.decode(bytes(stored.value), type=_Record)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise UnavailableError(str(error), step="decode", peer=stored.key) from error
    return VersionRecord(
        versions=frozenset(record.versions),
        revision=revision_of(stored.version),
        is_current=record.era == era_of(stored.version),
    )
