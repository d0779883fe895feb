"""Hosts before one brittle endpoint, in virtual time."""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence
from datetime import timedelta

import attrs
import msgspec

from passtally.brittle_endpoints import BrittleEndpoints
from passtally.messages import BrittleRow
from passtally.objects import EndpointStart

#: Time from which the endpoint lets fewer requests wait and may fall over, and that
#: until it is back after a fall, in seconds.
SHRINK_AT = 3.0
BACK_AFTER = 3.0
#: Time of a message between a host and the endpoint, in seconds.
LATENCY = 0.001
#: Time at the start of a run on the hosts' clocks.
EPOCH = timedelta(hours=1)


@attrs.define(kw_only=True, slots=False)
class BrittleFleet:
    """Hosts that send an endpoint all that their limits allow.

    Attributes:
        hosts: Number of hosts.
        slots: Requests that the endpoint runs at a time.
        queue: Requests that wait there at first; later half as many.
        borne: Rejections in a second that it bears.
        work: Mean run time of a request, in seconds.
        overload: Offered requests, as a multiple of what the endpoint can run.
        news_delay: Mean time of a message between hosts, in seconds.
        seed: Seed of the run.
    """

    hosts: int
    slots: int
    queue: int
    borne: int
    work: float = 0.2
    overload: float = 2.5
    news_delay: float = 0.05
    seed: int = 1
    falls: int = 0
    served: int = 0
    _events: list = attrs.field(factory=list)
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    def run(self, seconds: float) -> None:
        """Run until a time, and count falls and served requests."""
        self._rng = random.Random(self.seed)
        self._limits = [
            BrittleEndpoints(
                count_hosts=lambda: self.hosts,
                rank=lambda endpoint_id, own=number: own,
                rng=random.Random(self.seed * 1000 + number),
            )
            for number in range(self.hosts)
        ]
        self._open = [0] * self.hosts
        self._incarnation = 1
        self._down_until = 0.0
        self._waiting: list[tuple[int, float]] = []
        self._running = 0
        self._rejected_at: list[float] = []
        self._at(0.0, self._offer)
        while self._events:
            self._time, _, incarnation, event = heapq.heappop(self._events)
            if self._time > seconds:
                return
            if incarnation in (None, self._incarnation):
                event()

    def _at(
        self, time: float, event: Callable[[], None], *, is_bound: bool = False
    ) -> None:
        """Schedule an event; a bound one is dropped if the endpoint falls before."""
        incarnation = self._incarnation if is_bound else None
        heapq.heappush(self._events, (time, next(self._numbers), incarnation, event))

    @property
    def _now(self) -> timedelta:
        return EPOCH + timedelta(seconds=self._time)

    @property
    def _start(self) -> EndpointStart:
        return EndpointStart(endpoint_id="e", incarnation=self._incarnation)

    def _offer(self) -> None:
        rate = self.overload * self.slots / self.work
        self._at(self._time + self._rng.expovariate(rate), self._offer)
        host = self._rng.randrange(self.hosts)
        is_sent = self._time >= self._down_until and self._limits[host].acquire(
            self._start, open_requests=self._open[host], now=self._now
        )
        if is_sent:
            self._open[host] += 1
            sent_at = self._time
            self._at(
                self._time + LATENCY,
                lambda: self._arrive(host, sent_at),
                is_bound=True,
            )

    def _arrive(self, host: int, sent_at: float) -> None:
        queue = self.queue if self._time < SHRINK_AT else self.queue // 2
        if self._running + len(self._waiting) >= self.slots + queue:
            self._reject(host, sent_at)
        elif self._running < self.slots:
            self._begin(host, sent_at)
        else:
            self._waiting.append((host, sent_at))

    def _begin(self, host: int, sent_at: float) -> None:
        self._running += 1
        took = self.work * self._rng.uniform(0.6, 1.4)
        self._at(self._time + took, lambda: self._finish(host, sent_at), is_bound=True)

    def _finish(self, host: int, sent_at: float) -> None:
        self._running -= 1
        self.served += 1
        if self._waiting:
            self._begin(*self._waiting.pop(0))
        self._answer(host, sent_at, is_rejected=False)

    def _reject(self, host: int, sent_at: float) -> None:
        since = self._time - 1
        self._rejected_at = [at for at in self._rejected_at if at > since]
        self._rejected_at.append(self._time)
        if len(self._rejected_at) > self.borne and self._time >= SHRINK_AT:
            self._fall()
        else:
            self._answer(host, sent_at, is_rejected=True)

    def _answer(self, host: int, sent_at: float, *, is_rejected: bool) -> None:
        limits = self._limits[host]
        is_news = limits.record_answer(
            self._start,
            self.borne,
            is_rejected=is_rejected,
            open_requests=self._open[host],
            places=self.slots,
            sent_at=EPOCH + timedelta(seconds=sent_at),
            now=self._now,
        )
        self._open[host] -= 1
        if is_news:
            self._send_news(host, limits.rows(now=self._now))

    def _send_news(self, sender: int, rows: Sequence[BrittleRow]) -> None:
        for host in range(self.hosts):
            delay = self.news_delay * self._rng.uniform(0.5, 1.5)
            if host != sender:
                self._at(
                    self._time + delay,
                    lambda host=host, delay=delay: self._merge(host, rows, delay),
                )

    def _merge(self, host: int, rows: Sequence[BrittleRow], delay: float) -> None:
        late_ms = round(1000 * delay)
        aged = [
            msgspec.structs.replace(
                row,
                age_ms=row.age_ms + late_ms,
                rejected_ago_ms=None
                if row.rejected_ago_ms is None
                else row.rejected_ago_ms + late_ms,
            )
            for row in rows
        ]
        self._limits[host].merge(
            aged, count_open=lambda endpoint_id: self._open[host], now=self._now
        )

    def _fall(self) -> None:
        """End all that runs there, and begin a new start some seconds later."""
        self.falls += 1
        self._down_until = self._time + BACK_AFTER
        self._running = 0
        self._waiting.clear()
        self._rejected_at.clear()
        self._open = [0] * self.hosts
        before = self._start
        self._incarnation += 1
        for limits in self._limits:
            if limits.is_brittle(before, now=self._now):
                limits.assume(
                    self._start, places=self.slots, like=before, now=self._now
                )
