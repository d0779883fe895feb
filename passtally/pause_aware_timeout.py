"""Timeouts that allow for pauses of this host itself.

When a host was paused, or got no processor time, its timers are due as soon as it runs
again, before it has read the data that arrived meanwhile. With a plain timeout it would
give up on an answer that is already in its receive buffer. After a suspension of the
machine the opposite happens: the event loop's timers still run for the rest of their
time, although callers have waited through the suspension.
"""

import asyncio
from datetime import timedelta
from types import TracebackType

from passtally.clock import Clock

#: Timer delay above which this host counts as paused; timers are usually 1 ms late.
MAX_TIMER_LAG = timedelta(milliseconds=10)
#: Extension of a timeout after a late timer, to read what has arrived, and the maximum
#: number of extensions: a host that hardly gets to run must still time out.
TIMEOUT_EXTENSION = timedelta(milliseconds=20)
MAX_EXTENSIONS = 5
#: Interval between checks of the clock, which, unlike the event loop's timers, includes
#: suspensions. Callers notice a pause of 700 ms.
CLOCK_INTERVAL = timedelta(milliseconds=250)


class PauseAwareTimeout:
    """An :func:`asyncio.timeout` that is extended for a moment if its timer is late.

    Raises a TimeoutError on expiry, as :func:`asyncio.timeout` does.

    Args:
        limit: The maximum duration of the block.
        clock: The clock.
    """

    def __init__(self, limit: timedelta, *, clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._scope = asyncio.timeout(None)
        self._extensions_left = MAX_EXTENSIONS
        self._due_at = timedelta(0)
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> "PauseAwareTimeout":
        await self._scope.__aenter__()
        self._arm(self._limit)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        self._timer.cancel()
        return await self._scope.__aexit__(kind, error, traceback)

    def extend(self, min_duration: timedelta) -> None:
        """Extend the timeout to at least a duration from now."""
        if self._clock.monotonic() + min_duration > self._due_at:
            self._timer.cancel()
            self._arm(min_duration)

    def expire(self) -> None:
        """Expire the timeout now."""
        self._scope.reschedule(asyncio.get_running_loop().time())

    def _arm(self, limit: timedelta) -> None:
        self._due_at = self._clock.monotonic() + limit
        self._wait(limit)

    def _wait(self, remaining: timedelta) -> None:
        seconds = min(remaining, CLOCK_INTERVAL).total_seconds()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._check)

    def _check(self) -> None:
        """Expire the timeout if it is due, or extend it if this host was paused."""
        lateness = self._clock.monotonic() - self._due_at
        if lateness < timedelta(0):
            self._wait(-lateness)
        elif lateness > MAX_TIMER_LAG and self._extensions_left:
            self._extensions_left -= 1
            self._arm(TIMEOUT_EXTENSION)
        else:
            self.expire()


async def sleep_pause_aware(duration: timedelta, *, clock: Clock) -> None:
    """Sleep, and if this host wakes late, a little longer to read what has arrived.

    Args:
        duration: The time to sleep.
        clock: The clock.
    """
    for _ in range(MAX_EXTENSIONS):
        due_at = clock.monotonic() + duration
        await clock.sleep(duration)
        if clock.monotonic() - due_at <= MAX_TIMER_LAG:
            return
        duration = TIMEOUT_EXTENSION
