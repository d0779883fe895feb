"""The clock that every decision is handed."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Where decisions read the time."""

    def now(self) -> datetime:
        """Return the wall clock's time, in UTC. It may jump."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start. It never goes back."""

    async def sleep(self, duration: timedelta) -> None:
        """Return once a duration has passed."""


class SystemClock:
    """The machine's own clock.

    The monotonic reading counts the time a machine was suspended, so that a
    holder that slept knows that its lease lapsed.
    """

    def now(self) -> datetime:
        """Return the wall clock's time, in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since boot, suspension included."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, duration: timedelta) -> None:
        """Return once a duration has passed."""
        await asyncio.sleep(duration.total_seconds())


class ManualClock:
    """A clock that moves only when told to, for tests and benchmarks.

    Args:
        start: The wall clock's first reading.
    """

    def __init__(self, *, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._now = start
        self._monotonic = timedelta(0)

    def now(self) -> datetime:
        """Return the wall clock's time, in UTC."""
        return self._now

    def monotonic(self) -> timedelta:
        """Return the time since this clock was made."""
        return self._monotonic

    async def sleep(self, duration: timedelta) -> None:
        """Move forward by the duration, and let other tasks run."""
        self.advance(duration)
        await asyncio.sleep(0)

    def advance(self, by: timedelta) -> None:
        """Move both readings forward.

        Args:
            by: How far; not negative.
        """
        self._now += by
        self._monotonic += by
