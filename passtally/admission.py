"""Who goes next when there is no room for all. Pure: no I/O, no clock of its own.

Lookups go before interactive requests, and those before jobs; within a class,
workspaces share by weight. What can't be served in time is refused at once.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator, Mapping
from datetime import timedelta
from enum import IntEnum

import attrs


class RequestClass(IntEnum):
    """How urgent a request is; lower goes first."""

    LOOKUP = 0
    INTERACTIVE = 1
    JOB = 2


@attrs.frozen(kw_only=True)
class AdmissionLimits:
    """Where admission begins to choose.

    Attributes:
        busy_load: From this load on, a workspace above its share waits.
        job_load: From this load on, jobs wait.
        max_queue: How many may wait for one service.
        patience_by_class: How long a request of a class waits at most.
        active_for: For how long a workspace counts as active after a request.
    """

    busy_load: float = 0.8
    job_load: float = 0.7
    max_queue: int = 500
    patience_by_class: Mapping[RequestClass, timedelta] = attrs.field(
        factory=lambda: {
            RequestClass.LOOKUP: timedelta(seconds=1),
            RequestClass.INTERACTIVE: timedelta(seconds=5),
            RequestClass.JOB: timedelta(seconds=60),
        }
    )
    active_for: timedelta = timedelta(seconds=30)


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """What asks to be admitted.

    Attributes:
        id: Its id.
        workspace: Whose it is.
        share: The workspace's weight.
        request_class: How urgent it is.
        timeout: How long the caller waits for the first token, if it said so.
    """

    id: str
    workspace: str
    share: int
    request_class: RequestClass
    timeout: timedelta | None = None


class Verdict(IntEnum):
    """What admission decided."""

    ADMIT = 0
    QUEUE = 1
    REFUSE = 2


@attrs.frozen(kw_only=True)
class AdmissionDecision:
    """A verdict, why, and when to come back after a refusal."""

    verdict: Verdict
    reason: str
    retry_after: timedelta = timedelta(0)


@attrs.define(kw_only=True, eq=False)
class Waiting:
    """One request in the queue.

    Attributes:
        request: What waits.
        until: When it is refused.
    """

    request: AdmissionRequest
    until: timedelta


class AdmissionQueue:
    """Admits the requests of one service on one host.

    Args:
        limits: Where admission begins to choose.
    """

    def __init__(self, *, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._running_by_workspace: dict[str, int] = {}
        self._shares_by_workspace: dict[str, int] = {}
        self._seen_at: dict[str, timedelta] = {}
        self._heaps = {name: _FairHeap() for name in RequestClass}
        self._mean_interval: float | None = None
        self._last_pop: timedelta | None = None

    def __len__(self) -> int:
        return sum(len(heap) for heap in self._heaps.values())

    def ask(
        self, request: AdmissionRequest, *, load: float, now: timedelta
    ) -> tuple[AdmissionDecision, Waiting | None]:
        """Decide on a new request.

        Args:
            request: What asks.
            load: The share of the service's places that is taken, 0 to 1.
            now: The monotonic time.

        Returns:
            The decision, and its place in the queue if it is to wait.
        """
        self._seen_at[request.workspace] = now
        self._shares_by_workspace[request.workspace] = request.share
        if self._fits(request, load, now) and not self._is_ahead(request, load, now):
            self._enter(request)
            return AdmissionDecision(verdict=Verdict.ADMIT, reason="room"), None
        patience = self._limits.patience_by_class[request.request_class]
        if request.timeout is not None:
            patience = min(patience, request.timeout)
        wait = self._expected_wait(request.request_class)
        if len(self) >= self._limits.max_queue:
            return self._refuse("the queue is full", wait), None
        if wait > patience:
            return self._refuse("it could not begin in time", wait), None
        waiting = Waiting(request=request, until=now + patience)
        self._heaps[request.request_class].push(waiting)
        return AdmissionDecision(verdict=Verdict.QUEUE, reason="no room yet"), waiting

    def next(self, *, load: float, now: timedelta) -> Waiting | None:
        """Take the next request that fits out of the queue, and enter it."""
        for name in RequestClass:
            waiting = self._heaps[name].pop_first(
                lambda item: self._fits(item.request, load, now)
            )
            if waiting is not None:
                self._record_pop(now)
                self._enter(waiting.request)
                return waiting
        return None

    def expired(self, now: timedelta) -> list[Waiting]:
        """Take out all requests that have waited for too long."""
        return [
            waiting
            for heap in self._heaps.values()
            for waiting in heap.keep(lambda item: item.until > now)
        ]

    def remove(self, waiting: Waiting) -> None:
        """Take out a request whose caller left."""
        self._heaps[waiting.request.request_class].remove(waiting)

    def leave(self, request: AdmissionRequest) -> None:
        """Count an admitted request out."""
        left = self._running_by_workspace[request.workspace] - 1
        if left:
            self._running_by_workspace[request.workspace] = left
        else:
            del self._running_by_workspace[request.workspace]

    def _enter(self, request: AdmissionRequest) -> None:
        count = self._running_by_workspace.get(request.workspace, 0)
        self._running_by_workspace[request.workspace] = count + 1

    def _is_ahead(self, request: AdmissionRequest, load: float, now: timedelta) -> bool:
        """Return whether another one waits that is as urgent and would fit."""
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
        """Return whether a workspace holds less than its share of what runs here."""
        since = now - self._limits.active_for
        active = {
            name
            for name, at in self._seen_at.items()
            if at >= since or name in self._running_by_workspace
        }
        total_share = sum(self._shares_by_workspace[name] for name in active)
        running = sum(self._running_by_workspace.values()) + 1
        allowed = running * request.share / total_share
        return self._running_by_workspace.get(request.workspace, 0) < allowed

    def _record_pop(self, now: timedelta) -> None:
        if self._last_pop is not None:
            gap = (now - self._last_pop).total_seconds()
            known = gap if self._mean_interval is None else self._mean_interval
            self._mean_interval = known + (gap - known) / 8
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
    """The waiting requests of one class; workspaces take turns by their shares."""

    def __init__(self) -> None:
        self._entries: list[tuple[float, int, Waiting]] = []
        self._finish_by_workspace: dict[str, float] = {}
        self._virtual_time = 0.0
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[Waiting]:
        return (entry[2] for entry in self._entries)

    def push(self, waiting: Waiting) -> None:
        request = waiting.request
        finish = self._finish_by_workspace.get(request.workspace, 0.0)
        finish = max(self._virtual_time, finish) + 1 / request.share
        self._finish_by_workspace[request.workspace] = finish
        heapq.heappush(self._entries, (finish, next(self._numbers), waiting))

    def pop_first(self, fits: Callable[[Waiting], bool]) -> Waiting | None:
        """Take out the first one that fits, in order of turns."""
        for finish, _, waiting in sorted(self._entries):
            if fits(waiting):
                self._virtual_time = max(self._virtual_time, finish)
                self.remove(waiting)
                return waiting
        return None

    def remove(self, waiting: Waiting) -> None:
        """Take out one."""
        self.keep(lambda item: item is not waiting)

    def keep(self, wanted: Callable[[Waiting], bool]) -> list[Waiting]:
        """Keep only those wanted; return the others."""
        dropped = [waiting for waiting in self if not wanted(waiting)]
        if dropped:
            self._entries = [entry for entry in self._entries if wanted(entry[2])]
            heapq.heapify(self._entries)
        if not self._entries:
            self._finish_by_workspace.clear()
            self._virtual_time = 0.0
        return dropped
