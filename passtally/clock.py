"""Clocks that are passed to all code that depends on time."""

import asyncio
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of wall clock time, monotonic time and sleeps."""

    def now(self) -> datetime:
        """Return the wall clock time, in UTC. It may jump."""

    def monotonic(self) -> timedelta:
        """Return the time since an arbitrary start. It never decreases."""

    async def sleep(self, duration: timedelta) -> None:
        """Return once a duration has passed."""


class SystemClock:
    """The operating system's clocks.

    The monotonic time includes time in which the host was suspended, so that a lease
    holder notices after a suspension that its lease lapsed.
    """

    def now(self) -> datetime:
        """Return the wall clock time, in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Return the time since boot, including suspension."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    async def sleep(self, duration: timedelta) -> None:
        """Return once a duration has passed."""
        await asyncio.sleep(duration.total_seconds())


class ManualClock:
    """A clock that is advanced by hand, for tests and benchmarks.

    Args:
        start: The initial wall clock time.
    """

    def __init__(self, *, start: datetime = datetime(2026, 1, 1, tzinfo=UTC)) -> None:
        self._now = start
        self._monotonic = timedelta(0)

    def now(self) -> datetime:
        """Return the wall clock time, in UTC."""
        return self._now

    def monotonic(self) -> timedelta:
        """Return the time by which this clock was advanced since its creation."""
        return self._monotonic

    async def sleep(self, duration: timedelta) -> None:
        """Advance by the duration, then let other tasks run once."""
        self.advance(duration)
        await asyncio.sleep(0)

    def advance(self, by: timedelta) -> None:
        """Advance the wall clock and the monotonic time.

        Args:
            by: The duration, not negative.
        """
        self._now += by
        self._monotonic += by


def processor_time() -> timedelta:
    """Return the processor time that this process has used, for its logs."""
    return timedelta(seconds=time.process_time())
