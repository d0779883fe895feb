"""Time limits that don't count what this host itself missed.

A host that does not run, since it was paused or got no processor, finds its timers due
when it runs again, before it has looked at what came meanwhile. By a plain time limit
it then gives up what lies there unread. Where its machine was suspended, the loop's
timers go on for the rest of their time, though their callers have waited all along.
"""

import asyncio
from datetime import timedelta
from types import TracebackType

from passtally.clock import Clock

#: A timer that is later than this says that this host did not run; else it is by 1 ms.
OWN_LAG = timedelta(milliseconds=10)
#: How long such a host then looks at what has come, and how often where it is late
#: again: one that hardly runs must not wait on for ever.
LAST_LOOK = timedelta(milliseconds=20)
MAX_LOOKS = 5
#: How often the clock is looked at, which counts a suspension: callers notice a pause
#: of 700 ms.
CLOCK_INTERVAL = timedelta(milliseconds=250)


class PauseAwareTimeout:
    """An :func:`asyncio.timeout` that ends after a last look where its timer is late.

    Raises a TimeoutError at its end, as that does.

    Args:
        limit: How long what is inside may take.
        clock: The clock.
    """

    def __init__(self, limit: timedelta, *, clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._scope = asyncio.timeout(None)
        self._looks_left = MAX_LOOKS
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

    def extend(self, least: timedelta) -> None:
        """Let it last for at least so long from now."""
        if self._clock.monotonic() + least > self._due_at:
            self._timer.cancel()
            self._arm(least)

    def expire(self) -> None:
        """End it now."""
        self._scope.reschedule(asyncio.get_running_loop().time())

    def _arm(self, limit: timedelta) -> None:
        self._due_at = self._clock.monotonic() + limit
        self._wait(limit)

    def _wait(self, left: timedelta) -> None:
        seconds = min(left, CLOCK_INTERVAL).total_seconds()
        self._timer = asyncio.get_running_loop().call_later(seconds, self._look)

    def _look(self) -> None:
        """End it if it is due, after a last look where this host did not run."""
        late = self._clock.monotonic() - self._due_at
        if late < timedelta(0):
            self._wait(-late)
        elif late > OWN_LAG and self._looks_left:
            self._looks_left -= 1
            self._arm(LAST_LOOK)
        else:
            self.expire()


async def sleep_pause_aware(duration: timedelta, *, clock: Clock) -> None:
    """Sleep, and where this host then wakes late, until it has looked at what came.

    Args:
        duration: How long.
        clock: The clock.
    """
    for _ in range(MAX_LOOKS):
        due_at = clock.monotonic() + duration
        await clock.sleep(duration)
        if clock.monotonic() - due_at <= OWN_LAG:
            return
        duration = LAST_LOOK
