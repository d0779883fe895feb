"""Cancels attempts at endpoints in the background."""

import asyncio
from datetime import timedelta

from passtally.clock import Clock
from passtally.generation import Attempt, Generation
from passtally.live_endpoint import LiveEndpoint


class Cancellations:
    """The cancellations that are under way.

    Args:
        clock: The clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self,
        live: LiveEndpoint,
        generation: Generation,
        attempt: Attempt,
        *,
        after: timedelta = timedelta(0),
    ) -> None:
        """Cancel an attempt in the background, but no newer attempt."""

        async def cancel() -> None:
            await self._clock.sleep(after)
            await live.engine.cancel(generation.request.id, attempt.number)

        task = asyncio.create_task(cancel())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
