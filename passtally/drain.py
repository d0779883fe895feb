"""Graceful stop: leave the balancer, then wait until the last request has finished."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from passtally.outcome import Code, RefusedError, refuse

#: Time for which a stopping host still accepts requests, until the balancer has noticed
#: the stop.
BALANCER_LAG = timedelta(seconds=5)
#: Retry-After of requests above the limit of open requests.
RETRY_AFTER = timedelta(seconds=1)
#: Retry-After of requests that are refused because this host stops: another host can
#: take them at once.
RETRY_ELSEWHERE = timedelta(milliseconds=50)


class Drain:
    """Counts the open requests, and holds the state of a stop.

    Args:
        max_open: The maximum number of requests that are open at once.
    """

    def __init__(self, *, max_open: int) -> None:
        self._max_open = max_open
        self.open_requests = 0
        #: Number of open tunnels of other hosts, whose requests a stop waits for too.
        self.open_tunnels = 0
        self.is_stopping = False
        #: Whether a stop has reached its last step: open requests are aborted, and new
        #: ones are refused.
        self.is_over = False
        #: When open requests are aborted, on the monotonic clock; None while the host
        #: is not stopping, or if it waits for them without a limit.
        self.ends_at: timedelta | None = None
        self._idle = asyncio.Event()
        self._idle.set()

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request while it is open.

        Raises:
            RefusedError: The maximum number of requests is open.
        """
        if self.open_requests >= self._max_open:
            raise refuse(
                Code.OVERLOADED,
                "This host has as many requests open as it takes.",
                status=503,
                step="admit",
                retry_after=RETRY_AFTER,
            )
        self.open_requests += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.open_requests -= 1
            self._update_idle()

    @contextmanager
    def track_tunnel(self) -> Iterator[None]:
        """Count one tunnel of another host while it is open."""
        self.open_tunnels += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.open_tunnels -= 1
            self._update_idle()

    def _update_idle(self) -> None:
        if not self.open_requests and not self.open_tunnels:
            self._idle.set()

    def check_open(self) -> None:
        """Refuse a request that the host would abort immediately.

        Raises:
            RefusedError: The host's stop is in its last step; sockets are being closed.
        """
        if self.is_over:
            raise _stopping()

    def check_time(self, needed: timedelta, *, now: timedelta) -> None:
        """Refuse a request that could not finish before the host aborts open requests.

        Args:
            needed: The expected duration of the request.
            now: The monotonic time.

        Raises:
            RefusedError: The host stops before the request could finish.
        """
        if self.ends_at is not None and now + needed > self.ends_at:
            raise _stopping()

    async def stop(
        self,
        *,
        balancer_lag: timedelta = BALANCER_LAG,
        ends_at: timedelta | None = None,
    ) -> None:
        """Leave the balancer, serve late requests, and wait until all have finished.

        Args:
            balancer_lag: The time for which the balancer may still send requests.
            ends_at: When open requests are aborted, on the monotonic clock; None for
                never.
        """
        self.is_stopping = True
        self.ends_at = ends_at
        await asyncio.sleep(balancer_lag.total_seconds())
        while self.open_requests or self.open_tunnels:
            await self._idle.wait()


def _stopping() -> RefusedError:
    return refuse(
        Code.STOPPING,
        "This host is about to stop; ask another.",
        status=503,
        step="admit",
        retry_after=RETRY_ELSEWHERE,
    )
