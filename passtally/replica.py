"""Maintains a replica of a run's state while the run lasts.

An engine streams a run's state to a second endpoint as it grows. If that endpoint is
lost, the state is copied to a third one at intervals, so that the run can still
continue from a replica if its own endpoint is lost next.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from types import TracebackType

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.endpoint_check import EndpointCheck
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.generation import Attempt, Generation
from passtally.live_endpoint import LiveEndpoint
from passtally.origin import Origin

#: Interval between checks whether the endpoint of a replica is still usable.
CHECK_INTERVAL = timedelta(milliseconds=200)
#: Interval between renewals of a copy. Endpoints keep a copy for about four seconds.
RENEW_INTERVAL = timedelta(seconds=2.5)
#: Delay after a failed copy, or after none could be placed, before the next try.
FAILED_COPY_DELAY = timedelta(seconds=1)


class ReplicaKeeper:
    """Async context manager that maintains the replica of one attempt.

    Args:
        generation: The generation that runs.
        attempt: The attempt. Its ``replica_id`` and ``replica_ref`` are updated when
            its replica moves.
        live: The endpoint that runs the attempt.
        fleet: The endpoints.
        clock: The clock.
        place: Returns the id of an endpoint for a replica, or empty if none can keep
            it.
        check: Tells whether the endpoint of the replica is still there.
    """

    def __init__(
        self,
        *,
        generation: Generation,
        attempt: Attempt,
        live: LiveEndpoint,
        fleet: Fleet,
        clock: Clock,
        place: Callable[[], str],
        check: EndpointCheck,
    ) -> None:
        self._generation = generation
        self._attempt = attempt
        self._live = live
        self._fleet = fleet
        self._clock = clock
        self._place = place
        self._check = check
        #: Time of the last check of the replica's endpoint.
        self._checked_at = clock.monotonic()
        #: The start of the replica's endpoint at which the replica was placed.
        self._replica_start = fleet.start_of(attempt.replica_id)
        #: Time of the last copy; None while the engine itself streams the replica.
        self._copied_at: timedelta | None = None
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> None:
        """Start the checks if the attempt has a replica."""
        if self._attempt.replica_id:
            self._task = asyncio.create_task(self._run())

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the checks, and drop the copy if the answer is complete."""
        if self._task is None:
            return
        self._task.cancel()
        if self._copied_at is not None and error is None:
            asyncio.get_running_loop().create_task(self._drop())

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            if not self._has_output:
                continue
            if self._is_lost() or not await self._is_present():
                await self._replace()
            elif self._is_due():
                await self._copy(self._attempt.replica_id)

    @property
    def _has_output(self) -> bool:
        """Whether the attempt has output; an engine copies no run in prefill."""
        return self._generation.position > self._attempt.start_position

    async def _replace(self) -> None:
        target = self._place()
        if target:
            await self._copy(target)
        else:
            await self._clock.sleep(FAILED_COPY_DELAY)

    async def _is_present(self) -> bool:
        """Check the endpoint of the replica if its failure domain was widely lost.

        Other hosts may learn of the end of each endpoint only seconds later, and until
        then the run has no replica.
        """
        live = self._fleet.find(self._attempt.replica_id)
        if live is None:
            return False
        domain, since = live.endpoint.failure_domain, self._checked_at
        if not self._fleet.losses.domain_losses.widespread_since(domain, since):
            return True
        self._checked_at = self._clock.monotonic()
        return await self._check.is_present(live.endpoint.id)

    def _is_due(self) -> bool:
        """Return whether the replica is a copy that has to be renewed."""
        if self._copied_at is None:
            return False
        return self._clock.monotonic() - self._copied_at >= RENEW_INTERVAL

    def _is_lost(self) -> bool:
        """Return whether the replica's endpoint is unusable or has restarted.

        If the endpoint restarted before the replica was placed, and its registry entry
        shows the restart only later, one needless copy is made.
        """
        replica_id = self._attempt.replica_id
        if self._replica_start.precedes(self._fleet.start_of(replica_id)):
            return True
        origin = Origin.of(self._live.endpoint)
        return not self._fleet.can_continue(origin, replica_id)

    async def _copy(self, target: str) -> None:
        attempt = self._attempt
        start = self._fleet.start_of(target)
        try:
            ref = await self._live.engine.copy_run(self._generation.request.id, target)
        except (AttemptLostError, ValueError) as error:
            log_event(
                "replica",
                "Run could not be copied.",
                request=self._generation.request.id,
                peer=target,
                why=error,
            )
            await self._clock.sleep(FAILED_COPY_DELAY)
            return
        if target != attempt.replica_id:
            log_event(
                "replica",
                "Run copied after its replica was lost.",
                request=self._generation.request.id,
                peer=target,
                lost=attempt.replica_id,
            )
        attempt.replica_id, attempt.replica_ref = target, ref
        self._checked_at = self._clock.monotonic()
        self._replica_start = start
        self._copied_at = self._clock.monotonic()

    async def _drop(self) -> None:
        attempt = self._attempt
        await self._live.engine.drop_copy(attempt.replica_ref, attempt.replica_id)
