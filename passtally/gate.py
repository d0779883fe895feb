"""Delays requests until admission control admits them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

from passtally.admission import (
    AdmissionDecision,
    AdmissionLimits,
    AdmissionQueue,
    AdmissionRequest,
    QueuedRequest,
    Verdict,
)
from passtally.clock import Clock
from passtally.decision import log_decision
from passtally.fleet import Fleet
from passtally.outcome import Code, RefusedError, refuse

POLL_INTERVAL = timedelta(milliseconds=50)
ADMITTED_AFTER_WAITING = AdmissionDecision(
    verdict=Verdict.ADMIT, reason="capacity is free after waiting"
)


class Gate:
    """Admission for all services of one host.

    Args:
        fleet: The endpoints and their load.
        clock: The clock.
        limits: The load thresholds and queue limits.
    """

    def __init__(
        self, *, fleet: Fleet, clock: Clock, limits: AdmissionLimits | None = None
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._limits = limits or AdmissionLimits()
        self._queues_by_service: dict[str, AdmissionQueue] = {}
        self._futures: dict[QueuedRequest, asyncio.Future[None]] = {}
        #: Set while requests wait; the queues are polled only then. Polling wakes the
        #: process 20 times a second, and of hundreds of hosts nearly all have nothing
        #: queued nearly all the time.
        self._has_waiting = asyncio.Event()

    @asynccontextmanager
    async def enter(
        self, service_id: str, request: AdmissionRequest
    ) -> AsyncIterator[None]:
        """Wait for admission, and count the request while it runs.

        Raises:
            RefusedError: The request can't be admitted in time; it did not run.
        """
        queue = self._queue(service_id)
        now = self._clock.monotonic()
        decision, waiting = queue.submit(request, load=self._load(service_id), now=now)
        self._log(service_id, request, decision, len(queue))
        if decision.verdict is Verdict.REFUSE:
            raise _overloaded(service_id, decision.reason, decision.retry_after)
        if waiting is not None:
            await self._wait(queue, waiting)
            self._log(service_id, request, ADMITTED_AFTER_WAITING, len(queue))
        try:
            yield
        finally:
            queue.release(request)
            self._admit_next(service_id)

    async def run(self) -> None:
        """Admit waiting requests, or refuse expired ones, until cancelled."""
        while True:
            await self._has_waiting.wait()
            await self._clock.sleep(POLL_INTERVAL)
            for service_id in list(self._queues_by_service):
                self._poll(service_id)
            if not self._futures:
                self._has_waiting.clear()

    def _poll(self, service_id: str) -> None:
        queue = self._queues_by_service[service_id]
        for waiting in queue.pop_expired(self._clock.monotonic()):
            error = _overloaded(service_id, "it waited too long", timedelta(seconds=1))
            self._resolve(waiting, error)
        self._admit_next(service_id)

    def _admit_next(self, service_id: str) -> None:
        """Admit as many requests as fit, or all if the service has no capacity at all.

        Waiting would not help in that case: routing refuses each request and sets its
        Retry-After.
        """
        queue = self._queues_by_service[service_id]
        if not len(queue):
            return
        capacity = self._fleet.service_capacity(service_id)
        taken = capacity.taken
        while len(queue) and (taken < capacity.places or not capacity.places):
            load = taken / capacity.places if capacity.places else 0.0
            waiting = queue.next(load=load, now=self._clock.monotonic())
            if waiting is None:
                return
            if self._resolve(waiting, None):
                taken += 1
            else:
                queue.release(waiting.request)

    def _resolve(self, waiting: QueuedRequest, error: RefusedError | None) -> bool:
        future = self._futures.get(waiting)
        if future is None or future.done():
            return False
        if error is None:
            future.set_result(None)
        else:
            future.set_exception(error)
        return True

    async def _wait(self, queue: AdmissionQueue, waiting: QueuedRequest) -> None:
        future = asyncio.get_running_loop().create_future()
        self._futures[waiting] = future
        self._has_waiting.set()
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                queue.release(waiting.request)
            queue.remove(waiting)
            raise
        finally:
            del self._futures[waiting]

    def _queue(self, service_id: str) -> AdmissionQueue:
        if service_id not in self._queues_by_service:
            queue = AdmissionQueue(limits=self._limits)
            self._queues_by_service[service_id] = queue
        return self._queues_by_service[service_id]

    def _load(self, service_id: str) -> float:
        return self._fleet.service_capacity(service_id).load

    def _log(
        self,
        service_id: str,
        request: AdmissionRequest,
        decision: AdmissionDecision,
        queued: int,
    ) -> None:
        log_decision(
            "admit",
            request=request.id,
            choice=decision.verdict.name.lower(),
            reason=decision.reason,
            service=service_id,
            workspace=request.workspace,
            request_class=request.request_class.name.lower(),
            queued=queued,
        )


def _overloaded(service_id: str, reason: str, retry_after: timedelta) -> RefusedError:
    return refuse(
        Code.OVERLOADED,
        f"There is no room for this request: {reason}.",
        status=503,
        step="admit",
        peer=service_id,
        retry_after=retry_after,
    )
