"""Second copies of slow calls, of which the first answer counts.

A server that is slow for some hundred milliseconds is known to be slow only once its
first answers are late. A copy at another server saves these calls. It is sent only
where that server is idle, so that copies never add to a load that makes calls slow.
"""

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from passtally.clock import Clock
from passtally.fleet import Fleet
from passtally.outcome import RefusedError
from passtally.plain_call import PlainAnswer, PlainCall
from passtally.settings import Switch

#: Load up to which an endpoint counts as idle.
MAX_LOAD = 0.5
#: Lowest status that counts as a failed answer: the first copy is not given up for it,
#: and it counts as a failure in the comparison of versions.
FAILURE_STATUS = 500


class Hedge:
    """The second copy of one call, if there is one.

    Attributes:
        answer: Its answer.
        error: Why it has none.
    """

    def __init__(self) -> None:
        self.answer: PlainAnswer | None = None
        self.error: RefusedError | None = None
        self._on_answer: Callable[[], None] | None = None
        self._task: asyncio.Task[None] | None = None

    def start(
        self,
        send: Coroutine[Any, Any, PlainAnswer],
        *,
        on_answer: Callable[[], None],
    ) -> None:
        """Send the copy.

        Args:
            send: Sends it and returns the answer.
            on_answer: Called with an answer that makes the first copy useless.
        """
        self._on_answer = on_answer
        self._task = asyncio.create_task(self._run(send))

    async def wait(self) -> PlainAnswer | None:
        """Wait for the answer after the first copy has failed; None without one."""
        if self._task is not None:
            await self._task
        return self.answer

    def detach(self) -> None:
        """Stop calling back, since the first copy has ended."""
        self._on_answer = None

    def cancel(self) -> None:
        """Close the copy."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self, send: Coroutine[Any, Any, PlainAnswer]) -> None:
        try:
            self.answer = await send
        except RefusedError as error:
            self.error = error
            return
        if self.answer.status < FAILURE_STATUS and self._on_answer is not None:
            self._on_answer()


class HedgePolicy:
    """Decides which calls get a second copy, when, and where.

    Args:
        fleet: The endpoints.
        clock: The clock.
        mode: Returns for which services calls are hedged.
    """

    def __init__(
        self, *, fleet: Fleet, clock: Clock, mode: Callable[[], Switch]
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._mode = mode

    def find_delay(self, call: PlainCall) -> timedelta | None:
        """Return the time without an answer after which a call gets a second copy.

        Returns:
            The time, or None if the call gets none, or would fail over before.
        """
        service = call.service.id
        call_times = self._fleet.call_times
        if not call.repeatable or not call_times.is_in_use(self._mode(), service):
            return None
        delay = call_times.hedge_delay(service, now=self._clock.monotonic())
        if delay is None or (call.patience is not None and delay >= call.patience):
            return None
        return delay

    def is_idle(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may get a second copy.

        A host sees its own calls there; the endpoint's report shows those of others.
        """
        view, now = self._fleet.view(endpoint_id), self._clock.monotonic()
        if not self._fleet.is_healthy(endpoint_id) or view.is_slow:
            return False
        has_queue = self._fleet.call_times.has_queue(endpoint_id, now=now)
        return view.load <= MAX_LOAD and not has_queue
