"""Virtual time: an event loop whose timers fire in order, without real waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

T = TypeVar("T")

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class StuckError(Exception):
    """All tasks wait and no timer is scheduled: a deadlock in virtual time."""


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Selector that advances virtual time to the next timer instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return the events that are ready; advance the time if there are none."""
        events = super().select(0)
        if not events:
            if timeout is None:
                raise StuckError
            self.now += max(timeout, 0)
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs in virtual time."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._virtual_selector.now

    def pause(self, seconds: float) -> None:
        """Advance the time without running callbacks, like a suspended process."""
        self._virtual_selector.now += seconds


class VirtualClock:
    """Clock that follows the running virtual event loop."""

    def now(self) -> datetime:
        """Return the wall-clock time, in UTC; it starts at ``EPOCH``."""
        return EPOCH + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the time since the loop was created."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration: timedelta) -> None:
        """Wait for a duration of virtual time."""
        await asyncio.sleep(duration.total_seconds())


class SuspendableClock(VirtualClock):
    """Clock of a machine that may be suspended.

    It includes the time of suspensions, which the timers of the loop do not count.
    """

    def __init__(self) -> None:
        self._suspended = timedelta(0)

    def suspend(self, duration: timedelta) -> None:
        """Advance this clock, but not the time that the loop's timers follow."""
        self._suspended += duration

    def monotonic(self) -> timedelta:
        """Return the time since the loop was created, including suspensions."""
        return super().monotonic() + self._suspended


def run_virtually(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time and cancel the tasks that still run after it."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
