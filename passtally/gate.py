"""Delays requests until admission control admits them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Protocol

import attrs

from passtally.admission import (
    AdmissionDecision,
    AdmissionLimits,
    AdmissionQueue,
    Verdict,
)
from passtally.admission_request import AdmissionRequest
from passtally.clock import Clock
from passtally.decision import log_decision
from passtally.fair_queue import QueuedRequest
from passtally.fleet import Fleet
from passtally.metrics import Metric, Metrics, NoMetrics
from passtally.outcome import Code, RefusedError, refuse
from passtally.promises import Promise, Promises
from passtally.room import LocalRoom, Room
from passtally.usage import ServiceUsage

POLL_INTERVAL = timedelta(milliseconds=50)
ADMITTED_AFTER_WAITING = AdmissionDecision(
    verdict=Verdict.ADMIT, reason="capacity is free after waiting"
)


class SharedRooms(Protocol):
    """The rooms of services that this host shares with other hosts."""

    def find(
        self, service_id: str, own: ServiceUsage, *, typical_size: float
    ) -> Room | None:
        """Return the room of a service, or None if it is not shared.

        Args:
            service_id: The service.
            own: The use of the service by this host now.
            typical_size: The usual room of a request.
        """


class NoSharedRooms:
    """No service's room is shared with other hosts."""

    def find(
        self, service_id: str, own: ServiceUsage, *, typical_size: float
    ) -> Room | None:
        """Return None."""
        return None


class Gate:
    """Admission for all services of one host.

    Args:
        fleet: The endpoints and their load.
        clock: The clock.
        limits: The load thresholds and queue limits.
        shared_rooms: The rooms that this host shares with other hosts; None for none.
        metrics: The sink of metrics.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        limits: AdmissionLimits | None = None,
        shared_rooms: SharedRooms | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self._metrics = metrics or NoMetrics()
        self._shared_rooms = shared_rooms or NoSharedRooms()
        self._fleet = fleet
        self._clock = clock
        self._limits = limits or AdmissionLimits()
        self._queues_by_service: dict[str, AdmissionQueue] = {}
        #: When refused callers were told to return.
        self.promises = Promises()
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
        if self.promises.is_due(request.fingerprint, now=now):
            request = attrs.evolve(request, is_returning=True)
            self._metrics.count(Metric.RETURNED)
        queue.record_arrival(request, now=now)
        room = self._room(service_id)
        decision, waiting = queue.submit(request, room=room, now=now)
        self._log(service_id, request, decision, len(queue), room=room)
        if decision.verdict is Verdict.REFUSE:
            self._count(Metric.NO_ROOM, request)
            self._promise(request, decision.retry_after)
            raise _overloaded(service_id, decision.reason, decision.retry_after)
        if waiting is not None:
            await self._wait(queue, waiting)
            self._metrics.time(Metric.ADMISSION_WAIT, self._clock.monotonic() - now)
            self._log(service_id, request, ADMITTED_AFTER_WAITING, len(queue))
        self._count(Metric.ADMITTED, request)
        try:
            yield
        finally:
            queue.release(request, now=self._clock.monotonic())
            self._admit_next(service_id)

    def report_gauges(self) -> None:
        """Set the gauges of admission."""
        self._metrics.gauge(Metric.WAITING, len(self._futures))
        now = self._clock.monotonic()
        self._metrics.gauge(Metric.PROMISED, self.promises.count_due(now=now))

    def _count(self, metric: Metric, request: AdmissionRequest) -> None:
        self._metrics.count(metric, str(request.priority.rank))

    def usage_by_service(self) -> dict[str, ServiceUsage]:
        """Return the use of each service by this host."""
        now = self._clock.monotonic()
        return {
            service_id: queue.usage(now)
            for service_id, queue in self._queues_by_service.items()
        }

    def admit_waiting(self) -> None:
        """Admit waiting requests after a change of the shared rooms."""
        for service_id in self._queues_by_service:
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
        room = self._room(service_id)
        now = self._clock.monotonic()
        for waiting in queue.pop_expired(now):
            retry_after = queue.retry_after(waiting.request, room, now=now)
            self._count(Metric.NO_ROOM, waiting.request)
            self._promise(waiting.request, retry_after)
            error = _overloaded(service_id, "it waited too long", retry_after)
            self._resolve(waiting, error)
        self._admit_next(service_id)

    def _promise(self, request: AdmissionRequest, retry_after: timedelta) -> None:
        """Remember when the caller of a refused request was told to return."""
        if request.fingerprint:
            now = self._clock.monotonic()
            promise = Promise(fingerprint=request.fingerprint, due_at=now + retry_after)
            self.promises.add(promise, now=now)

    def _admit_next(self, service_id: str) -> None:
        """Admit as many waiting requests as fit."""
        queue = self._queues_by_service[service_id]
        admitted = 0
        while len(queue):
            room = self._room(service_id, admitted=admitted)
            waiting = queue.next(room=room, now=self._clock.monotonic())
            if waiting is None:
                return
            if self._resolve(waiting, None):
                admitted += 1
            else:
                queue.release(waiting.request, now=self._clock.monotonic())

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
                queue.release(waiting.request, now=self._clock.monotonic())
            queue.remove(waiting)
            raise
        finally:
            del self._futures[waiting]

    def _queue(self, service_id: str) -> AdmissionQueue:
        if service_id not in self._queues_by_service:
            queue = AdmissionQueue(limits=self._limits)
            self._queues_by_service[service_id] = queue
        return self._queues_by_service[service_id]

    def _room(self, service_id: str, *, admitted: int = 0) -> Room:
        """Return the room of a service.

        Without any capacity all requests are admitted: waiting would not help, and
        routing refuses each one and sets its Retry-After.

        Args:
            service_id: The service.
            admitted: The number of requests that were admitted a moment ago and are not
                at an endpoint yet.
        """
        queue = self._queue(service_id)
        now = self._clock.monotonic()
        shared = self._shared_rooms.find(
            service_id, queue.usage(now), typical_size=queue.typical_size
        )
        if shared is not None:
            return shared
        capacity = self._fleet.service_capacity(service_id)
        taken = capacity.taken + admitted
        return LocalRoom(
            load=taken / capacity.places if capacity.places else 0.0,
            busy_load=self._limits.busy_load,
            job_load=self._limits.job_load,
            shares_by_workspace=queue.active_shares(now),
        )

    def _log(
        self,
        service_id: str,
        request: AdmissionRequest,
        decision: AdmissionDecision,
        queued: int,
        *,
        room: Room | None = None,
    ) -> None:
        log_decision(
            "admit",
            request=request.id,
            choice=decision.verdict.name.lower(),
            reason=decision.reason,
            service=service_id,
            workspace=request.workspace,
            request_class=request.request_class.name.lower(),
            priority=request.priority.rank,
            route_priority=request.priority.route_rank,
            is_new=request.standing.is_new,
            **(room.explain(request) if room is not None else {}),
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
