"""The backups of the origins of answers in the platform's store."""

from base64 import b64decode, b64encode
from collections.abc import Mapping, Sequence
from datetime import UTC, datetime, timedelta
from typing import Annotated

import msgspec

from passtally.decision import log_event
from passtally.json_decoding import decode_json
from passtally.object_store import StoredObject, UnavailableError
from passtally.origin_backup import OriginBackup
from passtally.origin_table import KEY_BYTES
from passtally.platform.store import PlatformStore
from passtally.store_order import revision_of

#: The kind of the backups, one for each host.
_PREFIX = "stream-origins/"
_EPOCH = datetime.fromtimestamp(0, UTC)
#: The latest time that can be represented.
_MAX_MS = (datetime.max.replace(tzinfo=UTC) - _EPOCH) // timedelta(milliseconds=1)


class _Backup(msgspec.Struct):
    #: The keys of the answers of each version, one after the other, in base64.
    keys_by_version: dict[str, str]
    #: The Unix time of the write, in milliseconds.
    written_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAX_MS)] = 0


class PlatformOriginStore:
    """Implements :class:`passtally.origin_backup.OriginBackupStore`.

    Args:
        store: The store.
    """

    def __init__(self, *, store: PlatformStore) -> None:
        self._store = store

    @property
    def lineage(self) -> tuple[str, int]:
        """The store's address and era."""
        return self._store.lineage

    async def list_all(self) -> Sequence[OriginBackup]:
        """Return the backups of all hosts; objects of other writers are skipped."""
        backups: list[OriginBackup] = []
        for stored in (await self._store.list_objects(_PREFIX)).objects:
            try:
                backups.append(_decode(stored))
            except ValueError as error:
                log_event("origin", "Skipped a backup.", key=stored.key, why=error)
        return backups

    async def create(self, backup: OriginBackup) -> OriginBackup:
        """Create the backup of a host, and return the one that now exists."""
        key = _PREFIX + backup.host_id
        stored = await self._store.find_or_create(key, _encode(backup))
        try:
            return _decode(stored)
        except ValueError as error:
            log_event("origin", "Replaces a backup.", key=key, why=error)
            return OriginBackup(
                host_id=backup.host_id,
                software_by_key={},
                written_at=_EPOCH,
                revision=revision_of(stored.version),
            )

    async def replace(self, backup: OriginBackup) -> OriginBackup:
        """Replace the backup of exactly this revision, and return the new one."""
        key = _PREFIX + backup.host_id
        spec = _encode(backup)
        stored = await self._store.replace(key, spec, revision=backup.revision)
        try:
            return _decode(stored)
        except ValueError as error:
            raise UnavailableError(str(error), step="replace", peer=key) from error


def _encode(backup: OriginBackup) -> bytes:
    parts_by_version: dict[str, list[bytes]] = {}
    for key, software in backup.software_by_key.items():
        parts_by_version.setdefault(software, []).append(key)
    keys_by_version = {
        software: b64encode(b"".join(parts)).decode()
        for software, parts in parts_by_version.items()
    }
    written_ms = (backup.written_at - _EPOCH) // timedelta(milliseconds=1)
    return msgspec.json.encode(
        _Backup(keys_by_version=keys_by_version, written_ms=written_ms)
    )


def _decode(stored: StoredObject) -> OriginBackup:
    """Decode a backup.

    Raises:
        ValueError: The object is not a backup; it may be of another writer.
    """
    backup = decode_json(stored.value, _Backup)
    return OriginBackup(
        host_id=stored.key.removeprefix(_PREFIX),
        software_by_key=_split_keys(backup.keys_by_version),
        written_at=_EPOCH + timedelta(milliseconds=backup.written_ms),
        revision=revision_of(stored.version),
    )


def _split_keys(keys_by_version: Mapping[str, str]) -> dict[bytes, str]:
    software_by_key: dict[bytes, str] = {}
    for software, text in keys_by_version.items():
        joined = b64decode(text, validate=True)
        if len(joined) % KEY_BYTES:
            raise ValueError(f"the keys of {software!r} are cut")
        for start in range(0, len(joined), KEY_BYTES):
            key = joined[start : start + KEY_BYTES]
            if software_by_key.setdefault(key, software) != software:
                raise ValueError("one key has two versions")
    return software_by_key
