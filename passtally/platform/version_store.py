"""The records of software versions in the platform's store."""

from collections.abc import Iterable

import msgspec

from passtally.json_decoding import decode_json
from passtally.object_store import UnavailableError
from passtally.platform.decode import decode_software
from passtally.platform.store import PlatformStore
from passtally.store_order import era_of, revision_of
from passtally.version_records import VersionRecord

#: The kind of the records, one for each service.
_PREFIX = "software-versions/"


class _Record(msgspec.Struct):
    versions: list[str]


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

    async def create(self, service: str, versions: Iterable[str]) -> VersionRecord:
        """Create the record of a service, and return the record that now exists."""
        stored = await self._store.find_or_create(_PREFIX + service, _encode(versions))
        try:
            record = decode_json(stored.value, _Record)
        except ValueError as error:
            raise UnavailableError(str(error), step="create", peer=_PREFIX) from error
        revision = revision_of(stored.version)
        return VersionRecord(versions=frozenset(record.versions), revision=revision)

    async def replace(
        self, service: str, versions: Iterable[str], *, revision: int
    ) -> None:
        """Replace the record of a service if it has exactly this revision."""
        key = _PREFIX + service
        await self._store.replace(key, _encode(versions), revision=revision)

    async def list_past(self, service: str) -> frozenset[str]:
        """Return the versions of all endpoints of a service in the store's history."""
        prefix = self._endpoints_prefix
        history = await self._store.list_history(prefix)
        if era_of(history.version):
            # What was written after the copy is not in the history any more.
            raise UnavailableError("restored from a copy", step="history", peer=prefix)
        try:
            # An entry without a readable service is of another writer: no endpoint got
            # requests by it, and so it does not hide what the others show.
            found = [
                decode_software(bytes(stored.value), service=service)
                for stored in history.objects
            ]
        except ValueError as error:
            raise UnavailableError(str(error), step="history", peer=prefix) from error
        return frozenset(version for version in found if version is not None)


def _encode(versions: Iterable[str]) -> bytes:
    return msgspec.json.encode(_Record(versions=sorted(versions)))
