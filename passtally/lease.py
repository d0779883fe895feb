"""A lease stored in the platform, with fencing numbers and without synchronized clocks.

The holder renews the object. A host that has seen the same version for longer than
LEASE_DURATION on its local monotonic clock takes the lease over with the next fencing
number. The holder stops acting on the lease SAFETY_MARGIN earlier.
"""

from datetime import timedelta

import attrs
import msgspec

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.object_store import (
    ConflictError,
    Platform,
    PlatformError,
    StoredObject,
    UnavailableError,
    decode_stored,
)

LEASE_DURATION = timedelta(seconds=5)
RENEW_INTERVAL = timedelta(seconds=1)
#: Minimum time between the moment when a holder that cannot renew stops and the moment
#: when another host may take over.
SAFETY_MARGIN = timedelta(seconds=2)


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """The lease's state stored in the platform.

    Attributes:
        holder: The id of the holding host; empty after a release.
        fence: Fencing number, incremented for each new holder.
        renewal: Number of writes, so that no two written records are equal.
    """

    holder: str
    fence: int
    renewal: int


class Lease:
    """One host's handle on a lease.

    Args:
        key: The key of the lease's object.
        holder: This host's id.
        platform: The platform that stores the lease.
        clock: The clock.
    """

    def __init__(
        self, *, key: str, holder: str, platform: Platform, clock: Clock
    ) -> None:
        self.fence = 0
        self._key = key
        self._holder = holder
        self._platform = platform
        self._clock = clock
        self._version = 0
        self._record: LeaseRecord | None = None
        self._seen_at: timedelta | None = None
        self._held_until: timedelta | None = None

    @property
    def is_held(self) -> bool:
        """Whether this host may still act as the holder."""
        now = self._clock.monotonic()
        return self._held_until is not None and now < self._held_until

    async def try_acquire(self) -> bool:
        """Renew the lease, or acquire it if it is free or its holder stopped renewing.

        Returns:
            Whether this host holds the lease.
        """
        try:
            if not await self._may_write():
                return self.is_held
            await self._write(self._next_record())
        except PlatformError as error:
            log_event("lease", "Could not renew.", key=self._key, why=error)
        return self.is_held

    async def release(self) -> None:
        """Release the lease, so that another host can acquire it at once.

        If the write is lost, the lease expires as usual.
        """
        if not self.is_held:
            return
        self._held_until = None
        record = attrs.evolve(self._record, holder="", renewal=self._record.renewal + 1)
        try:
            await self._write(record)
        except PlatformError as error:
            log_event("lease", "Could not release.", key=self._key, why=error)
        self._held_until = None

    async def _may_write(self) -> bool:
        """Return whether this host may write the lease; read it unless it is held."""
        if self.is_held:
            return True
        stored = await self._platform.get(self._key)
        now = self._clock.monotonic()
        version = stored.version if stored else 0
        if self._seen_at is None or version != self._version:
            self._seen_at = now
        self._set_stored(stored)
        if self._record is None or not self._record.holder:
            return True
        return now - self._seen_at > LEASE_DURATION

    def _set_stored(self, stored: StoredObject | None) -> None:
        self._version = stored.version if stored else 0
        self._record = None
        if stored is not None:
            self._record = decode_stored(stored, LeaseRecord)

    def _next_record(self) -> LeaseRecord:
        known = self._record or LeaseRecord(holder="", fence=0, renewal=0)
        is_own = self.is_held and known.holder == self._holder
        return LeaseRecord(
            holder=self._holder,
            fence=known.fence if is_own else known.fence + 1,
            renewal=known.renewal + 1,
        )

    async def _write(self, record: LeaseRecord) -> None:
        started_at = self._clock.monotonic()
        value = msgspec.json.encode(record)
        try:
            if self._version:
                version = await self._platform.update(
                    self._key, value, version=self._version
                )
            else:
                version = await self._platform.create(self._key, value)
        except (ConflictError, UnavailableError):
            version = await self._read_back(record)
            if version is None:
                return
        self._version = version
        self._record = record
        self._seen_at = self._clock.monotonic()
        self.fence = record.fence
        # Measured from before the write, while other hosts measure from after it, so
        # that this host stops first.
        self._held_until = started_at + LEASE_DURATION - SAFETY_MARGIN

    async def _read_back(self, record: LeaseRecord) -> int | None:
        """Read the lease after a failed write; return its version if it was written."""
        stored = await self._platform.get(self._key)
        if stored is not None:
            found = decode_stored(stored, LeaseRecord)
            if found == record:
                return stored.version
        self._held_until = None
        self._set_stored(stored)
        self._seen_at = self._clock.monotonic()
        return None
