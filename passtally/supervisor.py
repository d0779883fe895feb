"""Restarts the daemon's endless tasks when they fail."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event

RESTART_PAUSE = timedelta(seconds=1)

Work = Callable[[], Awaitable[None]]


async def keep_running(name: str, work: Work, *, clock: Clock) -> None:
    """Run an endless task; if it fails, log the error and restart it after a pause.

    Returns if the task ends by itself.

    Args:
        name: The task's name in the log.
        work: Returns a new awaitable for each start.
        clock: The clock for the pause.
    """
    while True:
        try:
            await work()
            return
        except asyncio.CancelledError:
            # An awaited operation may be cancelled by others, such as a receive on a
            # link that is closed. Only the cancellation of this task stops it.
            if asyncio.current_task().cancelling():
                raise
            why = "an awaited operation was cancelled"
        except Exception as error:
            why = repr(error)
        log_event("daemon", "Task failed, restarting.", task=name, why=why)
        await clock.sleep(RESTART_PAUSE)
