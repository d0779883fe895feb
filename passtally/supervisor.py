"""Keeps the daemon's endless tasks running when one of them fails."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event

RESTART_PAUSE = timedelta(seconds=1)

Work = Callable[[], Awaitable[None]]


async def keep_running(name: str, work: Work, *, clock: Clock) -> None:
    """Run endless work; where it fails, say so and start it again.

    Args:
        name: Its name in the log.
        work: Starts it anew.
        clock: The clock.
    """
    while True:
        try:
            await work()
            return
        except asyncio.CancelledError:
            # What the work waits for may be cancelled, such as a message on a link that
            # is let go; only the task's own cancellation ends it.
            if asyncio.current_task().cancelling():
                raise
            why = "what it waited for was cancelled"
        except Exception as error:
            why = repr(error)
        log_event("daemon", "Task failed, starting again.", task=name, why=why)
        await clock.sleep(RESTART_PAUSE)
