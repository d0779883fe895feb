"""The records of software versions in the platform's store."""

from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec

from passtally.decision import log_event
from passtally.json_decoding import decode_json
from passtally.object_store import (
    Listing,
    StoredObject,
    TooOldError,
    UnavailableError,
)
from passtally.platform.decode import decode_heartbeats, decode_software
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
        heartbeat: Returns the interval in which endpoints write their entries; zero
            if it is not known.
    """

    def __init__(
        self,
        *,
        store: PlatformStore,
        endpoints_prefix: str,
        heartbeat: Callable[[], timedelta],
    ) -> None:
        self._store = store
        self._endpoints_prefix = endpoints_prefix
        self._heartbeat = heartbeat

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
        return self._collect_versions(history, service)

    async def find_changed(self, service: str, *, after: int) -> frozenset[str]:
        """Return the versions in the entries that changed after a store version."""
        changes = await self._store.watch(
            self._endpoints_prefix, after=after, wait=timedelta(0)
        )
        return self._collect_versions(changes, service)

    async def served_before(
        self, service: str, version: str, *, ago: timedelta
    ) -> bool:
        """Return whether a version served that long ago.

        An entry tells the heartbeats of its endpoint up to its last change, so that
        those of an entry that never changed tell nothing. Neither does the age of an
        entry: the store may forget its history at any time, and does not tell when it
        did. The whole history shows each version that ever had an entry.
        """
        prefix = self._endpoints_prefix
        listing = await self._store.list_objects(prefix)
        counts = [
            self._count_heartbeats(stored, service, version)
            for stored in listing.objects
        ]
        heartbeat = self._heartbeat()
        if heartbeat and max(counts, default=0) >= ago / heartbeat:
            return True
        try:
            history = await self._store.list_history(prefix)
        except TooOldError:
            return False
        return self._collect_versions(history, service) == {version}

    def _count_heartbeats(
        self, stored: StoredObject, service: str, version: str
    ) -> int:
        value = bytes(stored.value)
        try:
            return decode_heartbeats(value, service=service, software=version)
        except ValueError as error:
            log_event("versions", "Skipped an entry.", key=stored.key, why=error)
            return 0

    def _collect_versions(self, history: Listing, service: str) -> frozenset[str]:
        """Return the versions of the endpoints in a history.

        An entry without a readable service is of another writer: no endpoint got
        requests by it, and so it does not hide what the others show.

        Raises:
            UnavailableError: The version of an entry of the service can't be read.
        """
        try:
            found = [
                decode_software(bytes(stored.value), service=service)
                for stored in history.objects
            ]
        except ValueError as error:
            raise UnavailableError(
                str(error), step="history", peer=self._endpoints_prefix
            ) from error
        return frozenset(version for version in found if version is not None)

    def _encode(self, versions: Iterable[str]) -> bytes:
        _, era = self._store.lineage
        return msgspec.json.encode(_Record(versions=sorted(versions), era=era))


def _to_record(stored: StoredObject) -> VersionRecord:
    """Decode a record; one of another writer counts as outdated, and is replaced."""
    revision = revision_of(stored.version)
    try:
        record = decode_json(stored.value, _Record)
    except ValueError as error:
        log_event("versions", "Invalid record.", key=stored.key, why=error)
        return VersionRecord(versions=frozenset(), revision=revision, is_current=False)
    return VersionRecord(
        versions=frozenset(record.versions),
        revision=revision,
        is_current=record.era == era_of(stored.version),
    )
