"""The queue of requests that compete as equals: weighted fair queueing. Pure."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from datetime import timedelta

import attrs

from passtally.admission_request import AdmissionRequest


@attrs.define(kw_only=True, eq=False)
class QueuedRequest:
    """A request in the queue.

    Attributes:
        request: The request.
        expires_at: The monotonic time at which the request is refused.
    """

    request: AdmissionRequest
    expires_at: timedelta


class FairQueue:
    """Queued requests; the next one is of the workspace whose turn it is."""

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
        """Add a request after those of its workspace."""
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
