"""Admission control with a fair queue. Pure: no I/O, no clock of its own.

Requests are admitted in the order of their priority; within one, workspaces share
capacity by weight. A request that can't start in time is refused at once.
"""

import random
from collections import deque
from collections.abc import Mapping
from datetime import timedelta
from enum import IntEnum

import attrs

from passtally.admission_request import (
    AdmissionRequest,
    Claimant,
    RequestClass,
    Standing,
)
from passtally.fair_queue import FairQueue, QueuedRequest
from passtally.room import Room
from passtally.usage import NO_USE, ServiceUsage, Use, pick_largest

#: Time over which refused demand and released room are counted.
RATE_WINDOW = timedelta(seconds=1)
#: Time to return that a refusal names at least.
MIN_RETRY_AFTER = timedelta(seconds=1)
#: Part of the expected wait over which returning callers are spread.
RETURN_SPREAD = 0.5
#: Maximum number of refused callers whose return is expected.
MAX_PROMISED = 500
#: Number of workspaces whose use a host reports, the largest ones.
MAX_REPORTED_CLAIMANTS = 24
#: Weight of a new request in the typical size.
SIZE_GAIN = 1 / 16


@attrs.frozen(kw_only=True)
class AdmissionLimits:
    """Load thresholds and queue limits of admission.

    Attributes:
        busy_load: Load, 0 to 1, from which a workspace at or above its share waits.
        job_load: Load, 0 to 1, from which jobs wait.
        max_queue: Maximum number of requests that wait for one service.
        max_wait_by_class: Maximum time in the queue for a request of each class.
        active_time: Time after a request for which its workspace counts as active.
    """

    busy_load: float = 0.8
    job_load: float = 0.7
    max_queue: int = 500
    max_wait_by_class: Mapping[RequestClass, timedelta] = attrs.field(
        factory=lambda: {
            RequestClass.LOOKUP: timedelta(seconds=1),
            RequestClass.INTERACTIVE: timedelta(seconds=5),
            RequestClass.JOB: timedelta(seconds=60),
        }
    )
    active_time: timedelta = timedelta(seconds=30)


class Verdict(IntEnum):
    """The outcome of an admission decision."""

    ADMIT = 0
    QUEUE = 1
    REFUSE = 2


@attrs.frozen(kw_only=True)
class AdmissionDecision:
    """A verdict, its reason, and the Retry-After time of a refusal."""

    verdict: Verdict
    reason: str
    retry_after: timedelta = timedelta(0)


class AdmissionQueue:
    """Admits the requests of one service on one host.

    Args:
        limits: The load thresholds and queue limits.
        rng: Spreads the times to return.
    """

    def __init__(
        self, *, limits: AdmissionLimits, rng: random.Random | None = None
    ) -> None:
        self._limits = limits
        self._rng = rng or random.Random()
        self._held_by_claimant: dict[Claimant, float] = {}
        self._shares_by_workspace: dict[str, int] = {}
        self._last_request_at: dict[str, timedelta] = {}
        self._heaps_by_standing: dict[Standing, FairQueue] = {}
        self._refused: deque[_Sized] = deque()
        self._released: deque[_Sized] = deque()
        #: What refused callers will want at the time at which they were told to return.
        self._promised: deque[_Sized] = deque(maxlen=MAX_PROMISED)
        self._mean_interval: float | None = None
        self._last_pop: timedelta | None = None
        #: The usual size of a request; 0 before the first.
        self.typical_size = 0.0

    def __len__(self) -> int:
        return sum(len(heap) for heap in self._heaps_by_standing.values())

    def record_arrival(self, request: AdmissionRequest, *, now: timedelta) -> None:
        """Count a new request's workspace as active, before its room is known."""
        self._last_request_at[request.workspace] = now
        self._shares_by_workspace[request.workspace] = request.share
        known = self.typical_size or request.size
        self.typical_size = known + SIZE_GAIN * (request.size - known)

    def submit(
        self, request: AdmissionRequest, *, room: Room, now: timedelta
    ) -> tuple[AdmissionDecision, QueuedRequest | None]:
        """Admit, queue or refuse a new request.

        Args:
            request: The request.
            room: The room of the service.
            now: The monotonic time.

        Returns:
            The decision, and the queue entry if the request has to wait.
        """
        own = self.usage(now)
        if room.fits(request, own) and not self._would_overtake(request, room, own):
            self._acquire(request)
            return AdmissionDecision(
                verdict=Verdict.ADMIT, reason="capacity is free"
            ), None
        max_wait = self._limits.max_wait_by_class[request.request_class]
        if request.timeout is not None:
            max_wait = min(max_wait, request.timeout)
        wait = room.expected_wait(request)
        if wait is None:
            wait = self._expected_wait(request.standing)
        if len(self) >= self._limits.max_queue:
            return self._refuse(request, room, "the queue is full", wait, now), None
        if wait > max_wait:
            reason = "it could not begin in time"
            return self._refuse(request, room, reason, wait, now), None
        waiting = QueuedRequest(request=request, expires_at=now + max_wait)
        self._heap(request.standing).push(waiting)
        return AdmissionDecision(
            verdict=Verdict.QUEUE, reason="no capacity yet"
        ), waiting

    def next(self, *, room: Room, now: timedelta) -> QueuedRequest | None:
        """Pop the next request that fits from the queue, and count it as running."""
        own = self.usage(now)
        for standing in sorted(self._heaps_by_standing):
            waiting = self._heaps_by_standing[standing].pop_first(
                lambda item: room.fits(item.request, own)
            )
            if waiting is not None:
                self._record_pop(now)
                self._acquire(waiting.request)
                return waiting
        return None

    def pop_expired(self, now: timedelta) -> list[QueuedRequest]:
        """Remove and return the requests whose time in the queue is over."""
        expired = [
            waiting
            for heap in self._heaps_by_standing.values()
            for waiting in heap.keep(lambda item: item.expires_at > now)
        ]
        for waiting in expired:
            self._count_refused(waiting.request, now)
        return expired

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request whose caller has disconnected."""
        self._heap(waiting.request.standing).remove(waiting)

    def release(self, request: AdmissionRequest, *, now: timedelta) -> None:
        """Stop counting an admitted request as running."""
        claimant = request.claimant
        held = self._held_by_claimant[claimant] - request.size
        if held > 0:
            self._held_by_claimant[claimant] = held
        else:
            del self._held_by_claimant[claimant]
        self._released.append(_Sized(at=now, claimant=claimant, size=request.size))

    def active_shares(self, now: timedelta) -> dict[str, int]:
        """Return the weights of the workspaces with running or recent requests."""
        since = now - self._limits.active_time
        running = {claimant.workspace for claimant in self._held_by_claimant}
        return {
            name: self._shares_by_workspace[name]
            for name, at in self._last_request_at.items()
            if at >= since or name in running
        }

    def usage(self, now: timedelta) -> ServiceUsage:
        """Return the use of the service by this host."""
        by_claimant = {
            claimant: Use(held=held)
            for claimant, held in self._held_by_claimant.items()
        }
        for heap in self._heaps_by_standing.values():
            for waiting in heap:
                _add(
                    by_claimant, waiting.request.claimant, waiting=waiting.request.size
                )
        for claimant, size in self._refused_sizes(now).items():
            _add(by_claimant, claimant, refused=size)
        for claimant, size in self._promised_sizes(now).items():
            _add(by_claimant, claimant, promised=size)
        by_standing: dict[Standing, Use] = {}
        for claimant, use in by_claimant.items():
            standing = claimant.standing
            by_standing[standing] = by_standing.get(standing, NO_USE) + use
        _drop_old(self._released, now)
        return ServiceUsage(
            hosts=1,
            by_standing=by_standing,
            by_claimant=pick_largest(by_claimant, MAX_REPORTED_CLAIMANTS),
            released=sum(item.size for item in self._released),
        )

    def _heap(self, standing: Standing) -> "FairQueue":
        return self._heaps_by_standing.setdefault(standing, FairQueue())

    def _acquire(self, request: AdmissionRequest) -> None:
        claimant = request.claimant
        held = self._held_by_claimant.get(claimant, 0.0)
        self._held_by_claimant[claimant] = held + request.size

    def _refused_sizes(self, now: timedelta) -> dict[Claimant, float]:
        """Return the room that each workspace was refused in the last second.

        It counts up to what the workspace holds or waits for, and one request: a caller
        that repeats a refused request does not increase its demand.
        """
        _drop_old(self._refused, now)
        wanted: dict[Claimant, float] = {}
        largest: dict[Claimant, float] = {}
        for item in self._refused:
            wanted[item.claimant] = wanted.get(item.claimant, 0.0) + item.size
            largest[item.claimant] = max(largest.get(item.claimant, 0.0), item.size)
        return {
            claimant: min(
                size, largest[claimant] + self._held_by_claimant.get(claimant, 0.0)
            )
            for claimant, size in wanted.items()
        }

    def _promised_sizes(self, now: timedelta) -> dict[Claimant, float]:
        """Return the room that refused callers will want when they return."""
        sizes: dict[Claimant, float] = {}
        for item in self._promised:
            if item.at > now:
                sizes[item.claimant] = sizes.get(item.claimant, 0.0) + item.size
        return sizes

    def _would_overtake(
        self, request: AdmissionRequest, room: Room, own: ServiceUsage
    ) -> bool:
        """Return whether a request of the same or a higher priority waits and fits."""
        return any(
            room.fits(waiting.request, own)
            for standing, heap in self._heaps_by_standing.items()
            if standing <= request.standing
            for waiting in heap
        )

    def _record_pop(self, now: timedelta) -> None:
        if self._last_pop is not None:
            gap = (now - self._last_pop).total_seconds()
            mean = gap if self._mean_interval is None else self._mean_interval
            self._mean_interval = mean + (gap - mean) / 8
        self._last_pop = now

    def _expected_wait(self, standing: Standing) -> timedelta:
        if self._mean_interval is None:
            return timedelta(0)
        ahead = sum(
            len(heap)
            for other, heap in self._heaps_by_standing.items()
            if other <= standing
        )
        return timedelta(seconds=ahead * self._mean_interval)

    def _count_refused(self, request: AdmissionRequest, now: timedelta) -> None:
        self._refused.append(
            _Sized(at=now, claimant=request.claimant, size=request.size)
        )

    def _refuse(
        self,
        request: AdmissionRequest,
        room: Room,
        reason: str,
        wait: timedelta,
        now: timedelta,
    ) -> AdmissionDecision:
        self._count_refused(request, now)
        return AdmissionDecision(
            verdict=Verdict.REFUSE,
            reason=reason,
            retry_after=self.retry_after(request, room, now=now, wait=wait),
        )

    def retry_after(
        self,
        request: AdmissionRequest,
        room: Room,
        *,
        now: timedelta,
        wait: timedelta = timedelta(0),
    ) -> timedelta:
        """Return when the caller of a refused request should return.

        Callers of a room that many hosts share are spread, since they would otherwise
        return together.

        Args:
            request: The refused request.
            room: The room of the service.
            now: The monotonic time.
            wait: The expected wait if the room does not know it.
        """
        return_time = room.return_time(request)
        if return_time is None:
            return max(wait, MIN_RETRY_AFTER)
        spread = 1 + RETURN_SPREAD * self._rng.random()
        retry_after = max(return_time, MIN_RETRY_AFTER) * spread
        claimant = attrs.evolve(request.claimant, standing=request.standing.on_return)
        self._promised.append(
            _Sized(at=now + retry_after, claimant=claimant, size=request.size)
        )
        return retry_after


@attrs.frozen(kw_only=True)
class _Sized:
    """A request that was refused, will return or has ended, with its room."""

    at: timedelta
    claimant: Claimant
    size: float


def _drop_old(items: deque[_Sized], now: timedelta) -> None:
    while items and now - items[0].at > RATE_WINDOW:
        items.popleft()


def _add(
    by_claimant: dict[Claimant, Use], claimant: Claimant, **amounts: float
) -> None:
    by_claimant[claimant] = by_claimant.get(claimant, NO_USE) + Use(**amounts)
