"""The origins of this host's answers, kept in the store, which outlives the hosts.

The hosts that are told where an answer began (:mod:`passtally.origin_exchange`) may all
be lost at once. While a service has several software versions, each host therefore
keeps one object in the store that names the versions of its answers.
"""

import asyncio
import contextlib
from collections.abc import Callable, Hashable, Mapping, Sequence
from datetime import datetime, timedelta
from typing import Protocol

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.object_store import PlatformError
from passtally.origin_table import RECORD_TTL

#: Minimum interval between two writes of one host. What began since the last one is
#: unknown after the loss of all hosts; most streams take over ten seconds.
MIN_WRITE_INTERVAL = timedelta(seconds=1)
#: Maximum number of writes per second of all hosts together, a quarter of what the
#: smallest stores take.
MAX_WRITES_PER_SECOND = 100
#: Time for which the origin of an answer is kept after the answer's end here: a caller
#: whose answer broke off takes it up within some seconds.
RETENTION = timedelta(seconds=10)
#: Maximum number of origins in one backup. It bounds what hosts that are killed again
#: and again pass on; a host runs some hundred streams.
MAX_ORIGINS = 4000


@attrs.frozen(kw_only=True)
class OriginBackup:
    """The backup of one host.

    Attributes:
        host_id: The host that wrote it.
        software_by_key: The software versions that began its answers, by the answers'
            keys; empty where answers of one key began at different versions.
        written_at: The wall clock time of the host that wrote it.
        revision: The revision of the backup in the store.
    """

    host_id: str
    software_by_key: Mapping[bytes, str]
    written_at: datetime
    revision: int = 0


class OriginBackupStore(Protocol):
    """The backups in the store. Each call may raise a PlatformError."""

    @property
    def lineage(self) -> Hashable:
        """What changes when the store moves, or is restored from an older copy."""

    async def list_all(self) -> Sequence[OriginBackup]:
        """Return the backups of all hosts."""

    async def create(self, backup: OriginBackup) -> OriginBackup:
        """Create the backup of a host, and return the one that now exists."""

    async def replace(self, backup: OriginBackup) -> OriginBackup:
        """Replace the backup of exactly this revision, and return the new one."""


def merge_software(known: str | None, told: str) -> str:
    """Return the version of an answer that is named twice; empty if these differ.

    Callers choose the ids of their requests, and may use one again.
    """
    return told if known in (None, told) else ""


@attrs.frozen(kw_only=True)
class _KeptOrigin:
    """An origin in this host's backup.

    Attributes:
        software: The software version; empty if it is ambiguous.
        expires_at: The monotonic time after which it is left out.
    """

    software: str
    expires_at: timedelta


class OriginBackupWriter:
    """Keeps the backup of this host up to date.

    Args:
        store: The backups in the store.
        host_id: The name of this host.
        clock: The clock.
        take_origins: Returns the versions that began the answers that ran here since
            the last call, by the answers' keys, in services with several versions;
            empty where answers of one key began at different versions.
        count_hosts: Returns the number of hosts.
    """

    def __init__(
        self,
        *,
        store: OriginBackupStore,
        host_id: str,
        clock: Clock,
        take_origins: Callable[[], Mapping[bytes, str]],
        count_hosts: Callable[[], int],
    ) -> None:
        self._store = store
        self._host_id = host_id
        self._clock = clock
        self._take_origins = take_origins
        self._count_hosts = count_hosts
        self._lineage = store.lineage
        self._kept_by_key: dict[bytes, _KeptOrigin] = {}
        self._has_begun = asyncio.Event()
        #: What the store is known to hold.
        self._saved: OriginBackup | None = None

    async def run(self) -> None:
        """Keep the backup up to date until cancelled."""
        while True:
            self._has_begun.clear()
            if await self.write():
                await self._clock.sleep(self.interval)
            else:
                await self._wait_begun()

    def wake(self) -> None:
        """Write the backup as soon as allowed, since an answer has begun."""
        self._has_begun.set()

    async def _wait_begun(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.interval.total_seconds()):
                await self._has_begun.wait()

    @property
    def interval(self) -> timedelta:
        """The interval between two writes."""
        shared = timedelta(seconds=self._count_hosts() / MAX_WRITES_PER_SECOND)
        return max(MIN_WRITE_INTERVAL, shared)

    async def write(self) -> bool:
        """Write the backup if answers have begun since the last time.

        Returns:
            Whether the store was called.
        """
        if self._lineage != self._store.lineage:
            self._lineage = self._store.lineage
            self._saved = None
        self._update_kept()
        saved = {} if self._saved is None else self._saved.software_by_key
        if self._software_by_key().items() <= saved.items():
            return False
        try:
            self._saved = await self._save()
        except PlatformError as error:
            # The write may be carried out yet, so its revision is not known.
            self._saved = None
            log_event("origin", "Not backed up.", why=error)
        return True

    async def _save(self) -> OriginBackup:
        """Create or replace the backup, and return what the store holds then.

        Raises:
            PlatformError: The store did not take it.
        """
        if self._saved is None:
            wanted = self._make_backup(revision=0)
            existing = await self._store.create(wanted)
            self._keep_earlier(existing)
            if existing.software_by_key == wanted.software_by_key:
                return existing
            self._saved = existing
        return await self._store.replace(
            self._make_backup(revision=self._saved.revision)
        )

    def _make_backup(self, *, revision: int) -> OriginBackup:
        return OriginBackup(
            host_id=self._host_id,
            software_by_key=self._software_by_key(),
            written_at=self._clock.now(),
            revision=revision,
        )

    def _software_by_key(self) -> dict[bytes, str]:
        return {key: kept.software for key, kept in self._kept_by_key.items()}

    def _keep_earlier(self, existing: OriginBackup) -> None:
        """Keep what this host wrote before it was killed: it may be killed again.

        A write of that time may be carried out after this host has read its backup.
        """
        expires_at = self._clock.monotonic() + RECORD_TTL
        earlier: dict[bytes, _KeptOrigin] = {}
        for key, software in existing.software_by_key.items():
            known = self._kept_by_key.get(key)
            if known is None:
                earlier[key] = _KeptOrigin(software=software, expires_at=expires_at)
            elif known.software != software:
                self._kept_by_key[key] = attrs.evolve(known, software="")
        self._kept_by_key = _limit({**earlier, **self._kept_by_key})

    def _update_kept(self) -> None:
        """Add the origins since the last call, and drop those that have expired."""
        now = self._clock.monotonic()
        for key, software in self._take_origins().items():
            known = self._kept_by_key.pop(key, None)
            merged = merge_software(None if known is None else known.software, software)
            self._kept_by_key[key] = _KeptOrigin(
                software=merged, expires_at=now + RETENTION
            )
        self._kept_by_key = _limit(
            {
                key: kept
                for key, kept in self._kept_by_key.items()
                if kept.expires_at > now
            }
        )


def _limit(kept_by_key: Mapping[bytes, _KeptOrigin]) -> dict[bytes, _KeptOrigin]:
    """Return the origins without the first of them, if there are too many."""
    return dict(list(kept_by_key.items())[-MAX_ORIGINS:])
