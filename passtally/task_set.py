"""The background tasks of a component."""

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any


class TaskSet:
    """Tasks that are kept until they are done, and cancelled together."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __iter__(self) -> Iterator[asyncio.Task[Any]]:
        return iter(self._tasks)

    def spawn(
        self, work: Coroutine[Any, Any, Any], *, name: str | None = None
    ) -> asyncio.Task[Any]:
        """Start a task.

        Args:
            work: The coroutine.
            name: The name of the task; None for one of asyncio's.
        """
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks, and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
