"""Endpoints that name how many requests they take, and this host's part of that. Pure.

An endpoint in need names in its answers the requests a second that it takes from all
hosts together. A few hosts share that, each with a part that it uses alone, so that
none has to ask for leave; the others send nothing there.
"""

import math
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from passtally.decision import log_event
from passtally.messages import LimitRow
from passtally.objects import EndpointStart

#: The least hosts that share one limit, each with a request that it may send at once:
#: the users allow half as much again and five requests more in some four seconds, also
#: while hosts don't agree on who shares it.
MIN_SHARERS = 4
#: So many hosts share each request a second of a larger limit.
SHARERS_PER_REQUEST = 1.5
#: How long a host saves up what it may send beyond one request.
SAVED_FOR = timedelta(seconds=0.25)
#: An endpoint that takes none is asked this often, in requests a second: only its
#: answers tell when it takes some again.
MIN_RATE = 0.1
#: For how long a limit holds that no answer has named again.
RETENTION_TIME = timedelta(seconds=30)
#: The most endpoints whose limits other hosts are told of.
MAX_SENT = 64


@attrs.define(kw_only=True)
class _Limit:
    """What is known of one endpoint's limit.

    Attributes:
        start: The endpoint.
        rate: The requests a second that it takes; None where it names no limit.
        observed_at: When an answer last told so, on this host's monotonic clock.
        saved: The requests that this host may send there now.
        saved_at: When that was counted.
    """

    start: EndpointStart
    rate: float | None
    observed_at: timedelta
    saved: float = 0.0
    saved_at: timedelta


class RequestLimits:
    """The limits that endpoints name.

    Args:
        count_hosts: Returns how many hosts there are, this one included.
        rank: Returns how many hosts come before this one in an endpoint's order.
    """

    def __init__(
        self,
        *,
        count_hosts: Callable[[], int] = lambda: 1,
        rank: Callable[[str], int] = lambda endpoint_id: 0,
    ) -> None:
        self._count_hosts = count_hosts
        self._rank = rank
        self._limits_by_start: dict[EndpointStart, _Limit] = {}

    def record_answer(
        self,
        start: EndpointStart,
        rate: float | None,
        *,
        sent_at: timedelta,
        now: timedelta,
    ) -> bool:
        """Take in what an answer says, and return whether that is new.

        Args:
            start: The endpoint.
            rate: The requests a second that it takes; None where it names no limit.
            sent_at: When its request was sent: an answer that was made before the
                limit was named may come after the one that names it.
            now: The monotonic time.
        """
        known = self._limits_by_start.get(start)
        if known is None and rate is None:
            return False
        if known is not None and rate is None and sent_at < known.observed_at:
            return False
        return self._put(start, rate, observed_at=now, now=now)

    def has_capacity(self, start: EndpointStart, *, now: timedelta) -> bool:
        """Return whether this host may send an endpoint a request now."""
        limit = self._find(start, now)
        if limit is None:
            return True
        self._save(limit, now)
        return limit.saved >= 1

    def take(self, start: EndpointStart, *, now: timedelta) -> bool:
        """Count a request that is sent now, if there is room for it."""
        if not self.has_capacity(start, now=now):
            return False
        limit = self._find(start, now)
        if limit is not None:
            limit.saved -= 1
        return True

    def time_until_capacity(self, start: EndpointStart, *, now: timedelta) -> timedelta:
        """Return how long it takes until this host may send an endpoint a request.

        Where it has no part of the limit, that is when another one may send the next.
        """
        limit = self._find(start, now)
        if limit is None or self.has_capacity(start, now=now):
            return timedelta(0)
        rate = self._own_rate(limit)
        if not rate:
            return timedelta(seconds=1 / max(limit.rate, MIN_RATE))
        return timedelta(seconds=(1 - limit.saved) / rate)

    def rows(self, *, now: timedelta) -> list[LimitRow]:
        """Return what other hosts are to know, the newest first."""
        self._forget_old(now)
        limits = sorted(
            self._limits_by_start.values(), key=lambda limit: -limit.observed_at
        )
        return [
            LimitRow(
                endpoint_id=limit.start.endpoint_id,
                incarnation=limit.start.incarnation,
                rate=limit.rate,
                age_ms=round((now - limit.observed_at) / timedelta(milliseconds=1)),
            )
            for limit in limits[:MAX_SENT]
        ]

    def merge(self, rows: Iterable[LimitRow], *, now: timedelta) -> bool:
        """Take in what another host tells, and return whether that changes a limit."""
        is_new = False
        for row in rows:
            start = EndpointStart(
                endpoint_id=row.endpoint_id, incarnation=row.incarnation
            )
            observed_at = now - timedelta(milliseconds=row.age_ms)
            known = self._limits_by_start.get(start)
            if known is not None and known.observed_at >= observed_at:
                continue
            is_new |= self._put(start, row.rate, observed_at=observed_at, now=now)
        return is_new

    def _put(
        self,
        start: EndpointStart,
        rate: float | None,
        *,
        observed_at: timedelta,
        now: timedelta,
    ) -> bool:
        limit = self._limits_by_start.get(start)
        if limit is None:
            limit = _Limit(
                start=start, rate=None, observed_at=observed_at, saved_at=now
            )
            self._limits_by_start[start] = limit
        was = limit.rate
        if limit.rate is None:
            limit.saved, limit.saved_at = 0.0, now
        else:
            self._save(limit, now)
        limit.rate, limit.observed_at = rate, observed_at
        if was != rate:
            log_event("limits", "Named.", peer=start.endpoint_id, rate=rate, was=was)
        return was != rate

    def _find(self, start: EndpointStart, now: timedelta) -> _Limit | None:
        limit = self._limits_by_start.get(start)
        if (
            limit is None
            or limit.rate is None
            or now - limit.observed_at > RETENTION_TIME
        ):
            return None
        return limit

    def _save(self, limit: _Limit, now: timedelta) -> None:
        """Add what this host may send since it was last counted."""
        passed = max(now - limit.saved_at, timedelta(0)).total_seconds()
        rate = self._own_rate(limit)
        most = max(1.0, rate * SAVED_FOR.total_seconds())
        limit.saved = min(most, limit.saved + passed * rate)
        limit.saved_at = now

    def _own_rate(self, limit: _Limit) -> float:
        """Return the requests a second that this host may send; 0 for none."""
        rate = max(limit.rate, MIN_RATE)
        sharers = max(MIN_SHARERS, math.floor(SHARERS_PER_REQUEST * rate))
        sharers = min(sharers, self._count_hosts())
        return rate / sharers if self._rank(limit.start.endpoint_id) < sharers else 0.0

    def _forget_old(self, now: timedelta) -> None:
        for start, limit in list(self._limits_by_start.items()):
            if now - limit.observed_at > RETENTION_TIME:
                del self._limits_by_start[start]
