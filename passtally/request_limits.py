"""Request limits that endpoints set, and this host's share of each. Pure.

A busy endpoint states in its answers how many requests per second it accepts from all
hosts together. A few hosts split this limit into fixed shares, so that no host has to
coordinate before it sends; the other hosts send the endpoint nothing.
"""

import math
from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from passtally.decision import log_event
from passtally.messages import LimitRow
from passtally.objects import EndpointStart

#: Minimum number of hosts that share one limit. Each of them may send one request at
#: once: an endpoint may get up to 1.5 times its limit plus five requests within about
#: four seconds, also while hosts disagree on which of them share the limit.
MIN_SHARERS = 4
#: Number of hosts that share a larger limit, for each request per second of it.
SHARERS_PER_REQUEST = 1.5
#: Time for which a host accumulates its share of a limit, if that exceeds one request.
BURST_TIME = timedelta(seconds=0.25)
#: Minimum rate, in requests per second, at which an endpoint with a lower limit is
#: sent requests: only its answers show that it accepts more again.
MIN_RATE = 0.1
#: Time after which a limit expires if no answer has repeated it.
RETENTION_TIME = timedelta(seconds=30)
#: Maximum number of endpoints whose limits are sent to other hosts.
MAX_SENT = 64


@attrs.define(kw_only=True)
class _Limit:
    """The limit of one endpoint, and this host's unused share of it.

    Attributes:
        start: The start of the endpoint.
        rate: The requests per second that it accepts; None if it sets no limit.
        observed_at: When an answer last stated this, on this host's monotonic clock.
        credit: The number of requests that this host may send now.
        refilled_at: When the credit was last refilled, on the monotonic clock.
    """

    start: EndpointStart
    rate: float | None
    observed_at: timedelta
    credit: float = 0.0
    refilled_at: timedelta


class RequestLimits:
    """The request limits of all endpoints, enforced as a token bucket for each.

    Args:
        count_hosts: Returns the number of hosts, this one included.
        rank: Returns the number of hosts before this one in an endpoint's order.
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
        """Record the limit in an answer, and return whether it changed.

        Args:
            start: The start of the endpoint.
            rate: The requests per second that it accepts; None if it sets no limit.
            sent_at: When the request was sent, on the monotonic clock. An answer
                without a limit does not lift one that was observed after that time:
                the endpoint may have given the answer before it set the limit.
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
        self._refill(limit, now)
        return limit.credit >= 1

    def acquire(self, start: EndpointStart, *, now: timedelta) -> bool:
        """Take the credit for one request; return whether there was enough."""
        if not self.has_capacity(start, now=now):
            return False
        limit = self._find(start, now)
        if limit is not None:
            limit.credit -= 1
        return True

    def time_until_capacity(self, start: EndpointStart, *, now: timedelta) -> timedelta:
        """Return the time until this host may send an endpoint a request.

        If this host has no share of the limit, return the mean time between the
        requests that the other hosts may send.
        """
        limit = self._find(start, now)
        if limit is None or self.has_capacity(start, now=now):
            return timedelta(0)
        rate = self._local_rate(limit)
        if not rate:
            return timedelta(seconds=1 / max(limit.rate, MIN_RATE))
        return timedelta(seconds=(1 - limit.credit) / rate)

    def rows(self, *, now: timedelta) -> list[LimitRow]:
        """Return the limits to send to other hosts, the newest first."""
        self._remove_expired(now)
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
        """Apply the limits that another host sent, and return whether any changed."""
        is_changed = False
        for row in rows:
            start = EndpointStart(
                endpoint_id=row.endpoint_id, incarnation=row.incarnation
            )
            observed_at = now - timedelta(milliseconds=row.age_ms)
            known = self._limits_by_start.get(start)
            if known is not None and known.observed_at >= observed_at:
                continue
            is_changed |= self._put(start, row.rate, observed_at=observed_at, now=now)
        return is_changed

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
                start=start, rate=None, observed_at=observed_at, refilled_at=now
            )
            self._limits_by_start[start] = limit
        was = limit.rate
        if limit.rate is None:
            limit.credit, limit.refilled_at = 0.0, now
        else:
            self._refill(limit, now)
        limit.rate, limit.observed_at = rate, observed_at
        if was != rate:
            log_event(
                "limits",
                "Request limit changed.",
                peer=start.endpoint_id,
                rate=rate,
                was=was,
            )
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

    def _refill(self, limit: _Limit, now: timedelta) -> None:
        """Add the credit that this host has accumulated since the last refill."""
        elapsed = max(now - limit.refilled_at, timedelta(0)).total_seconds()
        rate = self._local_rate(limit)
        most = max(1.0, rate * BURST_TIME.total_seconds())
        limit.credit = min(most, limit.credit + elapsed * rate)
        limit.refilled_at = now

    def _local_rate(self, limit: _Limit) -> float:
        """Return this host's share, in requests per second; 0 if it has none."""
        rate = max(limit.rate, MIN_RATE)
        sharers = max(MIN_SHARERS, math.floor(SHARERS_PER_REQUEST * rate))
        sharers = min(sharers, self._count_hosts())
        return rate / sharers if self._rank(limit.start.endpoint_id) < sharers else 0.0

    def _remove_expired(self, now: timedelta) -> None:
        for start, limit in list(self._limits_by_start.items()):
            if now - limit.observed_at > RETENTION_TIME:
                del self._limits_by_start[start]
