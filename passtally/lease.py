"""A lease in the platform, with a fencing number, and no clock shared.

The holder renews the object; another host that has seen the same version for
longer than the lease's length, by its own monotonic clock, takes it over with
the next fencing number. A holder stops by itself well before that.
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
)

LEASE_LENGTH = timedelta(seconds=5)
RENEW_INTERVAL = timedelta(seconds=1)
#: A holder stops this long before another one may start.
SAFETY_MARGIN = timedelta(seconds=2)


@attrs.frozen(kw_only=True)
class LeaseRecord:
    """The lease as the platform keeps it.

    Attributes:
        holder: Who holds it, or empty once it was given back.
        fence: Goes up with each new holder.
        renewal: Goes up with each renewal, so that no two writes are alike.
    """

    holder: str
    fence: int
    renewal: int


class Lease:
    """One lease, as one host sees it.

    Args:
        key: Where the platform keeps it.
        holder: This host's name.
        platform: Where it is.
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

    async def try_hold(self) -> bool:
        """Renew, or take the lease over if its holder has fallen silent.

        Returns:
            Whether this host holds it now.
        """
        try:
            if not await self._look():
                return self.is_held
            await self._write(self._next_record())
        except PlatformError as error:
            log_event("lease", "Could not renew.", key=self._key, why=error)
        return self.is_held

    async def release(self) -> None:
        """Let another host take it at once. Losing this write does no harm."""
        if not self.is_held:
            return
        self._held_until = None
        record = attrs.evolve(self._record, holder="", renewal=self._record.renewal + 1)
        try:
            await self._write(record)
        except PlatformError as error:
            log_event("lease", "Could not give back.", key=self._key, why=error)
        self._held_until = None

    async def _look(self) -> bool:
        """Read the lease unless it is ours; return whether to write it."""
        if self.is_held:
            return True
        stored = await self._platform.get(self._key)
        now = self._clock.monotonic()
        version = stored.version if stored else 0
        if self._seen_at is None or version != self._version:
            self._seen_at = now
        self._take(stored)
        if self._record is None or not self._record.holder:
            return True
        return now - self._seen_at > LEASE_LENGTH

    def _take(self, stored: StoredObject | None) -> None:
        self._version = stored.version if stored else 0
        self._record = None
        if stored is not None:
            self._record = msgspec.json.decode(bytes(stored.value), type=LeaseRecord)

    def _next_record(self) -> LeaseRecord:
        known = self._record or LeaseRecord(holder="", fence=0, renewal=0)
        is_own = self.is_held and known.holder == self._holder
        return LeaseRecord(
            holder=self._holder,
            fence=known.fence if is_own else known.fence + 1,
            renewal=known.renewal + 1,
        )

    async def _write(self, record: LeaseRecord) -> None:
        asked_at = self._clock.monotonic()
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
        # Counted from before the write: another host counts from after it.
        self._held_until = asked_at + LEASE_LENGTH - SAFETY_MARGIN

    async def _read_back(self, record: LeaseRecord) -> int | None:
        """Settle a lost answer: return the version if the write was ours."""
        stored = await self._platform.get(self._key)
        if stored is not None:
            found = msgspec.json.decode(bytes(stored.value), type=LeaseRecord)
            if found == record:
                return stored.version
        self._held_until = None
        self._take(stored)
        self._seen_at = self._clock.monotonic()
        return None
