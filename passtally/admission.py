"""Admission control with a fair queue. Pure: no I/O, no clock of its own.

Lookups are admitted before interactive requests, and interactive requests before jobs;
within a class, workspaces share capacity by weight. A request that can't start in time
is refused at once.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta
from enum import IntEnum

import attrs


class RequestClass(IntEnum):
    """Priority of a request; lower values are admitted first."""

    LOOKUP = 0
    INTERACTIVE = 1
    JOB = 2


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


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """The properties of a request that decide its admission.

    Attributes:
        id: The request's id.
        workspace: The workspace that sent the request.
        share: The workspace's weight.
        request_class: The request's priority.
        timeout: The caller's timeout for the first token; None if it set none.
    """

    id: str
    workspace: str
    share: int
    request_class: RequestClass
    timeout: timedelta | None = None


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


@attrs.define(kw_only=True, eq=False)
class QueuedRequest:
    """A request in the queue.

    Attributes:
        request: The request.
        expires_at: The monotonic time at which the request is refused.
    """

    request: AdmissionRequest
    expires_at: timedelta


class AdmissionQueue:
    """Admits the requests of one service on one host.

    Args:
        limits: The load thresholds and queue limits.
    """

    def __init__(self, *, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._running_by_workspace: dict[str, int] = {}
        self._shares_by_workspace: dict[str, int] = {}
        self._last_request_at: dict[str, timedelta] = {}
        self._heaps = {name: _FairHeap() for name in RequestClass}
        self._mean_interval: float | None = None
        self._last_pop: timedelta | None = None

    def __len__(self) -> int:
        return sum(len(heap) for heap in self._heaps.values())

    def submit(
        self, request: AdmissionRequest, *, load: float, now: timedelta
    ) -> tuple[AdmissionDecision, QueuedRequest | None]:
        """Admit, queue or refuse a new request.

        Args:
            request: The request.
            load: The share of the service's capacity that is in use, 0 to 1.
            now: The monotonic time.

        Returns:
            The decision, and the queue entry if the request has to wait.
        """
        self._last_request_at[request.workspace] = now
        self._shares_by_workspace[request.workspace] = request.share
        if self._fits(request, load, now) and not self._would_overtake(
            request, load, now
        ):
            self._acquire(request)
            return AdmissionDecision(
                verdict=Verdict.ADMIT, reason="capacity is free"
            ), None
        max_wait = self._limits.max_wait_by_class[request.request_class]
        if request.timeout is not None:
            max_wait = min(max_wait, request.timeout)
        wait = self._expected_wait(request.request_class)
        if len(self) >= self._limits.max_queue:
            return self._refuse("the queue is full", wait), None
        if wait > max_wait:
            return self._refuse("it could not begin in time", wait), None
        waiting = QueuedRequest(request=request, expires_at=now + max_wait)
        self._heaps[request.request_class].push(waiting)
        return AdmissionDecision(
            verdict=Verdict.QUEUE, reason="no capacity yet"
        ), waiting

    def next(self, *, load: float, now: timedelta) -> QueuedRequest | None:
        """Pop the next request that fits from the queue, and count it as running."""
        for name in RequestClass:
            waiting = self._heaps[name].pop_first(
                lambda item: self._fits(item.request, load, now)
            )
            if waiting is not None:
                self._record_pop(now)
                self._acquire(waiting.request)
                return waiting
        return None

    def pop_expired(self, now: timedelta) -> list[QueuedRequest]:
        """Remove and return the requests whose time in the queue is over."""
        return [
            waiting
            for heap in self._heaps.values()
            for waiting in heap.keep(lambda item: item.expires_at > now)
        ]

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request whose caller has disconnected."""
        self._heaps[waiting.request.request_class].remove(waiting)

    def release(self, request: AdmissionRequest) -> None:
        """Stop counting an admitted request as running."""
        remaining = self._running_by_workspace[request.workspace] - 1
        if remaining:
            self._running_by_workspace[request.workspace] = remaining
        else:
            del self._running_by_workspace[request.workspace]

    def _acquire(self, request: AdmissionRequest) -> None:
        count = self._running_by_workspace.get(request.workspace, 0)
        self._running_by_workspace[request.workspace] = count + 1

    def _would_overtake(
        self, request: AdmissionRequest, load: float, now: timedelta
    ) -> bool:
        """Return whether a request of the same or a higher priority waits and fits."""
        return any(
            self._fits(waiting.request, load, now)
            for name in RequestClass
            if name <= request.request_class
            for waiting in self._heaps[name]
        )

    def _fits(self, request: AdmissionRequest, load: float, now: timedelta) -> bool:
        if request.request_class is RequestClass.JOB and load >= self._limits.job_load:
            return False
        if load < self._limits.busy_load:
            return True
        return load < 1 and self._is_below_share(request, now)

    def _is_below_share(self, request: AdmissionRequest, now: timedelta) -> bool:
        """Return whether a workspace runs less than its share of the requests here."""
        since = now - self._limits.active_time
        active = {
            name
            for name, at in self._last_request_at.items()
            if at >= since or name in self._running_by_workspace
        }
        total_share = sum(self._shares_by_workspace[name] for name in active)
        running = sum(self._running_by_workspace.values()) + 1
        allowed = running * request.share / total_share
        return self._running_by_workspace.get(request.workspace, 0) < allowed

    def _record_pop(self, now: timedelta) -> None:
        if self._last_pop is not None:
            gap = (now - self._last_pop).total_seconds()
            mean = gap if self._mean_interval is None else self._mean_interval
            self._mean_interval = mean + (gap - mean) / 8
        self._last_pop = now

    def _expected_wait(self, request_class: RequestClass) -> timedelta:
        if self._mean_interval is None:
            return timedelta(0)
        ahead = sum(
            len(self._heaps[name]) for name in RequestClass if name <= request_class
        )
        return timedelta(seconds=ahead * self._mean_interval)

    def _refuse(self, reason: str, wait: timedelta) -> AdmissionDecision:
        retry_after = max(wait, timedelta(seconds=1))
        return AdmissionDecision(
            verdict=Verdict.REFUSE, reason=reason, retry_after=retry_after
        )


class _FairHeap:
    """The queue of one class: weighted fair queueing between workspaces."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, QueuedRequest]] = []
        self._finish_by_workspace: dict[str, float] = {}
        self._virtual_time = 0.0
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return (entry[2] for entry in self._entries)

    def push(self, waiting: QueuedRequest) -> None:
        request = waiting.request
        finish = self._finish_by_workspace.get(request.workspace, 0.0)
        finish = max(self._virtual_time, finish) + 1 / request.share
        self._finish_by_workspace[request.workspace] = finish
        heapq.heappush(self._entries, (finish, next(self._numbers), waiting))

    def pop_first(self, fits: Callable[[QueuedRequest], bool]) -> QueuedRequest | None:
        """Remove and return the first request that fits, in fair order."""
        for finish, _, waiting in sorted(self._entries):
            if fits(waiting):
                self._virtual_time = max(self._virtual_time, finish)
                self.remove(waiting)
                return waiting
        return None

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove one request."""
        self.keep(lambda item: item is not waiting)

    def keep(self, wanted: Callable[[QueuedRequest], bool]) -> list[QueuedRequest]:
        """Keep the requests that a predicate accepts, and return the dropped ones."""
        dropped = [waiting for waiting in self if not wanted(waiting)]
        if dropped:
            self._entries = [entry for entry in self._entries if wanted(entry[2])]
            heapq.heapify(self._entries)
        if not self._entries:
            self._finish_by_workspace.clear()
            self._virtual_time = 0.0
        return dropped
