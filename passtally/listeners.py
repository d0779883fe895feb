"""The addresses at which a host listens, each taken as soon as it is free."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.settings import Address

#: How long to wait between two tries for an address. The balancer asks once a second
#: and a caller waits as long for a connection, so neither notices one try more.
RETRY_PAUSE = timedelta(milliseconds=100)
#: How often an address that stays in use is logged again: six lines a minute.
LOG_INTERVAL = timedelta(seconds=10)
#: How long an address that is no longer told stays open beside the one that is: whoever
#: came in there, the balancer among them, hears of the other one a little later.
LET_GO_AFTER = timedelta(seconds=5)

#: How the log names who comes in at an address.
CALLERS = "callers"
PEERS = "other hosts"
READINESS = "readiness"
METRICS = "metrics"

Open = Callable[[], Awaitable[object]]
Close = Callable[[], object]


def _keep_open() -> None:
    """Close nothing: the address is open until its owner ends."""


@attrs.define(kw_only=True)
class _Opened:
    """An address that is open for a name.

    Attributes:
        close: Closes it.
        left_at: When another one was told in its place, on the monotonic clock; None
            while it is told.
    """

    close: Close
    left_at: timedelta | None = None


class Listeners:
    """Opens listening addresses, and goes on trying for those that can't be had yet.

    An address may be in use for a while by a process that has not quite ended, or by a
    connection that was given its port; it may also come up after the host. A host that
    ended for that would be gone where nobody starts it again, with all that it could
    serve meanwhile. What it lacks without an address is for its owner to tell.

    Args:
        clock: The clock.
        on_open: Called with a name and its address whenever the address that is told
            is open.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        on_open: Callable[[str, Address], None] = lambda name, address: None,
    ) -> None:
        self._clock = clock
        self._on_open = on_open
        self._told_by_name: dict[str, Address | None] = {}
        self._opened_by_name: dict[str, dict[Address, _Opened]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def is_open(self, name: str) -> bool:
        """Return whether the address that a name is told to be at is open."""
        told = self._told_by_name.get(name)
        return told is not None and told in self._opened_by_name[name]

    async def open(
        self,
        name: str,
        address: Address,
        open_address: Open,
        *,
        close: Close = _keep_open,
    ) -> None:
        """Try an address once; where it can't be had, go on trying beside the caller.

        Args:
            name: Who comes in there.
            address: Where.
            open_address: Opens it; raises an OSError where that is not possible now.
            close: Closes it.
        """
        self._told_by_name[name] = address
        self._opened_by_name.setdefault(name, {})
        if not await self._try_first(name, address, open_address, close):
            self._spawn(self._keep_trying(name, address, open_address, close))

    def move(
        self,
        name: str,
        address: Address | None,
        open_address: Open,
        *,
        close: Close = _keep_open,
    ) -> None:
        """Listen for a name at another address, and then let the one before go.

        Args:
            name: Who comes in there.
            address: Where; None for nowhere any more.
            open_address: Opens it; raises an OSError where that is not possible now.
            close: Closes it.
        """
        opened = self._opened_by_name.setdefault(name, {})
        before = self._told_by_name.get(name)
        self._told_by_name[name] = address
        if before in opened:
            opened[before].left_at = self._clock.monotonic()
        if address in opened:
            opened[address].left_at = None
        self._yield_addresses()
        self._spawn(self._move(name, address, open_address, close))

    async def stop(self) -> None:
        """Try no more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _move(
        self, name: str, address: Address | None, open_address: Open, close: Close
    ) -> None:
        if self.is_open(name):
            self._on_open(name, address)
        elif address is not None and not await self._try_first(
            name, address, open_address, close
        ):
            await self._keep_trying(name, address, open_address, close)
        await self._let_go_later(name)

    async def _let_go_later(self, name: str) -> None:
        """Close what was left long enough ago, once another address serves."""
        await self._clock.sleep(LET_GO_AFTER)
        if self._told_by_name[name] is not None and not self.is_open(name):
            return
        # What was left a moment ago has a task of its own that closes it. A sleep may
        # end a moment early, so that the whole time can't be asked for.
        before = self._clock.monotonic() - LET_GO_AFTER / 2
        for address, opened in list(self._opened_by_name[name].items()):
            if opened.left_at is not None and opened.left_at <= before:
                self._close(name, address)

    def _yield_addresses(self) -> None:
        """Close at once what one name has left and another is told to be at.

        Two that change places would else wait for each other for ever.
        """
        told = set(self._told_by_name.values())
        for name, opened in self._opened_by_name.items():
            for address in list(opened):
                if address != self._told_by_name[name] and address in told:
                    self._close(name, address)

    def _close(self, name: str, address: Address) -> None:
        self._opened_by_name[name].pop(address).close()
        log_event("listen", "Let go.", name=name, listen=address)

    async def _try_first(
        self, name: str, address: Address, open_address: Open, close: Close
    ) -> bool:
        """Try once, and tell what is in the way."""
        problem = await self._try(name, address, open_address, close)
        if problem is not None:
            self._tell(name, address, problem)
        return problem is None

    async def _keep_trying(
        self, name: str, address: Address, open_address: Open, close: Close
    ) -> None:
        """Try until the address is open, or another one is told."""
        began_at = told_at = self._clock.monotonic()
        while True:
            await self._clock.sleep(RETRY_PAUSE)
            if self._told_by_name[name] != address or self.is_open(name):
                return
            problem = await self._try(name, address, open_address, close)
            now = self._clock.monotonic()
            if problem is None:
                log_event(
                    "listen", "Open.", name=name, listen=address, after=now - began_at
                )
                return
            if now - told_at >= LOG_INTERVAL:
                told_at = now
                self._tell(name, address, problem)

    async def _try(
        self, name: str, address: Address, open_address: Open, close: Close
    ) -> OSError | None:
        try:
            await open_address()
        except OSError as error:
            return error
        opened = _Opened(close=close)
        self._opened_by_name[name][address] = opened
        if self._told_by_name[name] == address:
            self._on_open(name, address)
        else:
            # Another one was told while this one was being opened.
            opened.left_at = self._clock.monotonic()
            self._spawn(self._let_go_later(name))
        return None

    def _tell(self, name: str, address: Address, problem: OSError) -> None:
        log_event(
            "listen",
            "Not open, trying again.",
            name=name,
            listen=address,
            why=problem,
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
