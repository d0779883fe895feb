"""A planned stop: out of the balancer, then waiting for the last request."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from passtally.outcome import Code, RefusedError, refuse

#: How long a stopping host still takes requests while the balancer lags.
BALANCER_LAG = timedelta(seconds=5)
RETRY_AFTER = timedelta(seconds=1)
#: A caller that is sent to another host may come at once.
RETRY_ELSEWHERE = timedelta(milliseconds=50)


class Drain:
    """Counts the open requests, and tells whether the host is stopping.

    Args:
        max_open: How many may be open at once.
    """

    def __init__(self, *, max_open: int) -> None:
        self._max_open = max_open
        self.open_requests = 0
        self.is_stopping = False
        #: Whether a stop is at its end: what is still open is broken off, and no
        #: request is taken any more.
        self.is_over = False
        #: When what is still open is broken off, on the monotonic clock; None while the
        #: host is not stopping, or waits for as long as it takes.
        self.ends_at: timedelta | None = None
        self._idle = asyncio.Event()
        self._idle.set()

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count one request while it is open.

        Raises:
            RefusedError: As many as the host takes are open.
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
            if not self.open_requests:
                self._idle.set()

    def check_open(self) -> None:
        """Refuse a request that the host would take only to break it off.

        Raises:
            RefusedError: The host's stop is at its end; its sockets are being closed.
        """
        if self.is_over:
            raise _stopping()

    def check_time(self, needed: timedelta, *, now: timedelta) -> None:
        """Refuse a request that could not be finished before the host ends.

        Args:
            needed: How long it is likely to take.
            now: The monotonic time.

        Raises:
            RefusedError: The host is about to stop.
        """
        if self.ends_at is not None and now + needed > self.ends_at:
            raise _stopping()

    async def stop(
        self,
        *,
        balancer_lag: timedelta = BALANCER_LAG,
        ends_at: timedelta | None = None,
    ) -> None:
        """Leave the balancer, serve what still comes, wait for the last request.

        Args:
            balancer_lag: How long the balancer may still send requests.
            ends_at: When what is still open is broken off, on the monotonic clock;
                None for never.
        """
        self.is_stopping = True
        self.ends_at = ends_at
        await asyncio.sleep(balancer_lag.total_seconds())
        while self.open_requests:
            await self._idle.wait()


def _stopping() -> RefusedError:
    return refuse(
        Code.STOPPING,
        "This host is about to stop; ask another.",
        status=503,
        step="admit",
        retry_after=RETRY_ELSEWHERE,
    )
