"""Keeps a replica of a run's state alive while the run lasts.

An engine sends a run's state on to a second endpoint as it grows. Where that
endpoint is lost, the state is copied to a third, again and again, so that the next
loss finds a replica too.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from types import TracebackType

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.generation import Attempt, Generation
from passtally.live_endpoint import LiveEndpoint

#: How often a run looks whether its replica's endpoint is still there.
CHECK_INTERVAL = timedelta(milliseconds=200)
#: How often a copy is renewed. Endpoints keep one for about four seconds.
RENEW_INTERVAL = timedelta(seconds=2.5)
#: How long a copy that was refused is not asked for again.
REFUSED_PAUSE = timedelta(seconds=1)


class ReplicaKeeper:
    """Watches the replica of one attempt, for as long as its context lasts.

    Args:
        generation: What runs.
        attempt: The attempt; its replica is kept up to date.
        live: Where it runs.
        fleet: The endpoints.
        clock: The clock.
        place: Chooses an endpoint for a replica; empty for none.
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
    ) -> None:
        self._generation = generation
        self._attempt = attempt
        self._live = live
        self._fleet = fleet
        self._clock = clock
        self._place = place
        #: Which start of its endpoint the replica was placed at.
        self._kept_at = fleet.start_of(attempt.replica_id)
        #: When the replica was copied last; None while the engine sends it on itself.
        self._copied_at: timedelta | None = None
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> None:
        """Begin, where there is a replica to watch."""
        if self._attempt.replica_id:
            self._task = asyncio.create_task(self._run())

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop; after a whole answer its copy is let go."""
        if self._task is None:
            return
        self._task.cancel()
        if self._copied_at is not None and error is None:
            asyncio.get_running_loop().create_task(self._drop())

    async def _run(self) -> None:
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            if not self._generation.delivered:
                continue
            if self._is_lost():
                await self._replace()
            elif self._is_due():
                await self._copy(self._attempt.replica_id)

    async def _replace(self) -> None:
        target = self._place()
        if target:
            await self._copy(target)
        else:
            await self._clock.sleep(REFUSED_PAUSE)

    def _is_due(self) -> bool:
        """Return whether the replica is a copy that has to be renewed."""
        if self._copied_at is None:
            return False
        return self._clock.monotonic() - self._copied_at >= RENEW_INTERVAL

    def _is_lost(self) -> bool:
        """Return whether its endpoint is gone, or holds it no more.

        Where the endpoint started again before the replica was placed, and its entry
        told so later, one copy is made that was not needed.
        """
        replica_id = self._attempt.replica_id
        if self._kept_at.is_followed_by(self._fleet.start_of(replica_id)):
            return True
        return not self._fleet.is_usable(replica_id)

    async def _copy(self, target: str) -> None:
        attempt = self._attempt
        start = self._fleet.start_of(target)
        try:
            ref = await self._live.engine.copy_run(self._generation.request.id, target)
        except (AttemptLostError, ValueError) as error:
            log_event(
                "replica",
                "Not copied.",
                request=self._generation.request.id,
                peer=target,
                why=error,
            )
            await self._clock.sleep(REFUSED_PAUSE)
            return
        if target != attempt.replica_id:
            log_event(
                "replica",
                "Copied, the endpoint of the last one is gone.",
                request=self._generation.request.id,
                peer=target,
                lost=attempt.replica_id,
            )
        attempt.replica_id, attempt.replica_ref = target, ref
        self._kept_at = start
        self._copied_at = self._clock.monotonic()

    async def _drop(self) -> None:
        attempt = self._attempt
        await self._live.engine.drop_copy(attempt.replica_ref, attempt.replica_id)
