"""The addresses at which a host listens, each taken as soon as it is free."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.settings import Address

#: How long to wait between two tries for an address. The balancer asks once a second
#: and a caller waits as long for a connection, so neither notices one try more.
RETRY_PAUSE = timedelta(milliseconds=100)
#: How often an address that stays in use is logged again: six lines a minute.
LOG_INTERVAL = timedelta(seconds=10)

#: How the log names who comes in at an address.
CALLERS = "callers"
PEERS = "other hosts"

Open = Callable[[], Awaitable[object]]


class Listeners:
    """Opens listening addresses, and goes on trying for those that can't be had yet.

    An address may be in use for a while by a process that has not quite ended, or by a
    connection that was given its port; it may also come up after the host. A host that
    ended for that would be gone where nobody starts it again, with all that it could
    serve meanwhile. What it lacks without an address is for its owner to tell.

    Args:
        clock: The clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._open_names: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def is_open(self, name: str) -> bool:
        """Return whether a name's address was opened."""
        return name in self._open_names

    async def open(self, name: str, address: Address, open_address: Open) -> None:
        """Try an address once; where it can't be had, go on trying beside the caller.

        Args:
            name: Who comes in there.
            address: Where.
            open_address: Opens it; raises an OSError where that is not possible now.
        """
        problem = await self._try(name, open_address)
        if problem is not None:
            self._tell(name, address, problem)
            task = asyncio.create_task(self._keep_trying(name, address, open_address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Try no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_trying(
        self, name: str, address: Address, open_address: Open
    ) -> None:
        began_at = told_at = self._clock.monotonic()
        while True:
            await self._clock.sleep(RETRY_PAUSE)
            problem = await self._try(name, open_address)
            now = self._clock.monotonic()
            if problem is None:
                log_event(
                    "listen", "Open.", name=name, listen=address, after=now - began_at
                )
                return
            if now - told_at >= LOG_INTERVAL:
                told_at = now
                self._tell(name, address, problem)

    async def _try(self, name: str, open_address: Open) -> OSError | None:
        try:
            await open_address()
        except OSError as error:
            return error
        self._open_names.add(name)
        return None

    def _tell(self, name: str, address: Address, problem: OSError) -> None:
        log_event(
            "listen",
            "Not open, trying again.",
            name=name,
            listen=address,
            why=problem,
        )
