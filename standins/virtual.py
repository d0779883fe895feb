"""Virtual time: a loop whose timers fire at once, in order, without waiting."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

T = TypeVar("T")

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class StuckError(Exception):
    """Every task waits, and no timer is left to wake one."""


class _JumpingSelector(selectors.DefaultSelector):
    """Jumps to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Return what is ready now; otherwise move the time on."""
        events = super().select(0)
        if not events:
            if timeout is None:
                raise StuckError
            self.now += max(timeout, 0)
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time, in seconds."""
        return self._jumping.now

    def pause(self, seconds: float) -> None:
        """Let time pass without running anything, as a stopped process does."""
        self._jumping.now += seconds


class VirtualClock:
    """A clock that follows the running virtual loop."""

    def now(self) -> datetime:
        """Return the wall clock's time, in UTC."""
        return EPOCH + self.monotonic()

    def monotonic(self) -> timedelta:
        """Return the time since the loop was made."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    async def sleep(self, duration: timedelta) -> None:
        """Return once a duration has passed."""
        await asyncio.sleep(duration.total_seconds())


class SuspendableClock(VirtualClock):
    """The clock of a machine that may be suspended: the loop's stands meanwhile."""

    def __init__(self) -> None:
        self._suspended = timedelta(0)

    def suspend(self, duration: timedelta) -> None:
        """Let time pass that timers of the loop don't count."""
        self._suspended += duration

    def monotonic(self) -> timedelta:
        """Return the time since the loop was made, suspension included."""
        return super().monotonic() + self._suspended


def run_virtually(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time, and cancel what it leaves behind."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
