"""Looks up where an answer began in the backups that all hosts keep in the store."""

import asyncio
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.object_store import PlatformError
from passtally.origin_backup import OriginBackup, OriginBackupStore, merge_software
from passtally.origin_table import RECORD_TTL

#: Minimum interval between two listings. Callers that come back at once share one.
LIST_INTERVAL = timedelta(seconds=2)
#: Time for which a caller waits for a listing. A slow store takes 240 ms a page.
LIST_TIMEOUT = timedelta(milliseconds=1500)


@attrs.frozen(kw_only=True)
class BackedUpOrigin:
    """An answer's origin in a backup.

    Attributes:
        software: The software version that began the answer; empty if answers of this
            key began at different versions.
        backup: The backup.
    """

    software: str
    backup: OriginBackup


class BackedUpOrigins:
    """The origins in the backups of all hosts, listed when they are needed.

    Args:
        store: The backups in the store.
        clock: The clock.
    """

    def __init__(self, *, store: OriginBackupStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._origins_by_key: dict[bytes, BackedUpOrigin] = {}
        self._listed_at: timedelta | None = None
        self._listing: asyncio.Task[None] | None = None

    async def find(self, key: bytes, *, may_list: bool = True) -> BackedUpOrigin | None:
        """Return an answer's origin, or None if no backup is known to name it.

        Args:
            key: The key of the answer.
            may_list: Whether the store may be asked; else what was listed counts.
        """
        if key not in self._origins_by_key and may_list:
            await self._wait_listed()
        return self._origins_by_key.get(key)

    def expire(self) -> None:
        """Forget the origins once the answers can't be taken up any more."""
        listed_at = self._listed_at
        if listed_at is not None and self._clock.monotonic() - listed_at > RECORD_TTL:
            self._origins_by_key = {}

    async def _wait_listed(self) -> None:
        """Wait for a listing, unless there was one just before.

        It goes on for later callers if it takes longer than this one waits.
        """
        if self._listing is None and self._is_due():
            self._listing = asyncio.create_task(self._list())
        if self._listing is not None:
            await asyncio.wait([self._listing], timeout=LIST_TIMEOUT.total_seconds())

    def _is_due(self) -> bool:
        listed_at = self._listed_at
        return listed_at is None or self._clock.monotonic() - listed_at >= LIST_INTERVAL

    async def _list(self) -> None:
        try:
            backups = await self._store.list_all()
        except PlatformError as error:
            log_event("origin", "No backups.", why=error)
        else:
            self._origins_by_key = {}
            for backup in backups:
                self._add(backup)
            log_event(
                "origin",
                "Listed the backups.",
                hosts=len(backups),
                origins=len(self._origins_by_key),
            )
        finally:
            self._listed_at = self._clock.monotonic()
            self._listing = None

    def _add(self, backup: OriginBackup) -> None:
        for key, software in backup.software_by_key.items():
            known = self._origins_by_key.get(key)
            merged = merge_software(None if known is None else known.software, software)
            self._origins_by_key[key] = BackedUpOrigin(software=merged, backup=backup)
