"""Learns how long endpoints of a service usually take to return after a loss. Pure.

An answer that has begun may wait while no endpoint of its service can be reached. How
long that is worthwhile depends on how the service is operated: engines that restart
within a second or two are worth waiting for, those that have not returned after twice
their usual time are not, and the caller should learn of it.
"""

from collections import deque
from datetime import timedelta

import attrs

#: Number of recent returns that are kept per service.
HISTORY_SIZE = 16
#: Multiple of the longest recent return for which an answer waits.
WAIT_FACTOR = 2.0
#: Time for which an answer waits before any return is known.
DEFAULT_WAIT = timedelta(seconds=4)
#: Range of the wait. A return takes at least the lag of the endpoint's registration;
#: callers give up a silent stream after some seconds.
MIN_WAIT = timedelta(seconds=2)
MAX_WAIT = timedelta(seconds=8)
#: Time after which a lost endpoint is taken to be gone for good.
FORGET_AFTER = timedelta(seconds=30)


@attrs.frozen(kw_only=True)
class _Loss:
    service: str
    lost_at: timedelta


class ReturnTimes:
    """The recent times from the loss of an endpoint to the return of its address.

    A restarted endpoint may have another id, so that only its address tells which one
    it replaces.
    """

    def __init__(self) -> None:
        self._losses_by_url: dict[str, _Loss] = {}
        self._returns_by_service: dict[str, deque[timedelta]] = {}

    def record_lost(self, service: str, url: str, *, now: timedelta) -> None:
        """Record that an endpoint can't be reached.

        Args:
            service: The endpoint's service.
            url: The endpoint's URL.
            now: The monotonic time.
        """
        self._drop_expired(now)
        self._losses_by_url.setdefault(url, _Loss(service=service, lost_at=now))

    def record_present(self, service: str, url: str, *, now: timedelta) -> None:
        """Record that an endpoint has registered, or answered, at a URL.

        Args:
            service: The endpoint's service.
            url: The endpoint's URL.
            now: The monotonic time.
        """
        loss = self._losses_by_url.pop(url, None)
        if loss is None or loss.service != service:
            return
        returns = self._returns_by_service.setdefault(
            service, deque(maxlen=HISTORY_SIZE)
        )
        returns.append(now - loss.lost_at)

    def is_lost(self, url: str, *, since: timedelta, until: timedelta) -> bool:
        """Return whether an endpoint was lost between two times and has not returned.

        Args:
            url: The endpoint's URL.
            since: The earlier time, on the monotonic clock.
            until: The later time.
        """
        loss = self._losses_by_url.get(url)
        return loss is not None and since <= loss.lost_at <= until

    def max_wait(self, service: str) -> timedelta:
        """Return how long an answer waits for the return of a service's endpoints."""
        returns = self._returns_by_service.get(service)
        if not returns:
            return DEFAULT_WAIT
        return min(max(WAIT_FACTOR * max(returns), MIN_WAIT), MAX_WAIT)

    def _drop_expired(self, now: timedelta) -> None:
        """Drop old losses, so that addresses that are never used again take no room."""
        self._losses_by_url = {
            url: loss
            for url, loss in self._losses_by_url.items()
            if now - loss.lost_at <= FORGET_AFTER
        }
