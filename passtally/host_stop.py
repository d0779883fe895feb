"""The planned stop of a host: it serves on, then ends in time before it is killed."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from passtally.clock import Clock, processor_time
from passtally.decision import log_event
from passtally.drain import Drain
from passtally.pause_aware_timeout import PauseAwareTimeout

#: Interval between checks of the time that the rest of the stop needs.
CHECK_INTERVAL = timedelta(milliseconds=50)
#: Multiple of this host's longest recent timer delay that is reserved for the rest of
#: the stop, since the wake-ups of closing and of exiting may each be as late.
LAG_RESERVE = 2
#: Limit of that reserve, so that a single pause ends no requests long before the kill.
MAX_LAG_RESERVE = timedelta(milliseconds=600)


class HostStop:
    """Finishes a host's open requests within its grace period.

    Args:
        drain: The open requests.
        clock: The clock.
        margin: The part of the grace period that is reserved for aborting streams and
            closing connections.
        own_lag: Returns the longest recent delay of this host's own timers.
    """

    def __init__(
        self,
        *,
        drain: Drain,
        clock: Clock,
        margin: timedelta,
        own_lag: Callable[[], timedelta],
    ) -> None:
        self._drain = drain
        self._clock = clock
        self._margin = margin
        self._own_lag = own_lag

    async def run(
        self, *, grace: timedelta, balancer_lag: timedelta, waited: timedelta
    ) -> None:
        """Serve until all requests have finished or the grace period is nearly over.

        Args:
            grace: The time from the request to stop until the kill.
            balancer_lag: The time for which the balancer may still send requests.
            waited: The time since the stop was requested.
        """
        self.log("Stopping.")
        limit = grace - self._margin - waited
        last_end = self._clock.monotonic() + limit
        try:
            async with PauseAwareTimeout(limit, clock=self._clock) as scope:
                checking = asyncio.create_task(self._end_early(scope, last_end))
                try:
                    await self._drain.stop(balancer_lag=balancer_lag, ends_at=last_end)
                finally:
                    checking.cancel()
        except TimeoutError:
            self.log("The grace period is over.")
        finally:
            # Requests may still arrive before the sockets are closed.
            self._drain.is_over = True

    def log(self, sentence: str) -> None:
        """Log a step of the stop, and what shows whether this host was starved."""
        log_event(
            "daemon",
            sentence,
            open=self._drain.open_requests,
            processor=processor_time(),
            own_lag=self._own_lag(),
        )

    async def _end_early(self, scope: PauseAwareTimeout, last_end: timedelta) -> None:
        """End the wait earlier on a host that gets little processor time."""
        longest_lag = timedelta(0)
        while True:
            longest_lag = max(longest_lag, self._own_lag())
            reserve = min(LAG_RESERVE * longest_lag, MAX_LAG_RESERVE)
            self._drain.ends_at = last_end - reserve
            if self._clock.monotonic() >= self._drain.ends_at:
                scope.expire()
                return
            due_at = self._clock.monotonic() + CHECK_INTERVAL
            await self._clock.sleep(CHECK_INTERVAL)
            longest_lag = max(longest_lag, self._clock.monotonic() - due_at)
