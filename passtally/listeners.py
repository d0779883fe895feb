"""The listening addresses of a host, each opened as soon as it is available."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.settings import Address
from passtally.task_set import TaskSet

#: Interval between two attempts to open an address, and between two checks before one
#: is closed. The balancer polls once a second, and a caller waits one second for a
#: connection, so neither notices one more attempt.
RETRY_PAUSE = timedelta(milliseconds=100)
#: Interval for logging an address that stays unavailable: six lines a minute.
LOG_INTERVAL = timedelta(seconds=10)
#: Time that a replaced address stays open beside the new one. The balancer and other
#: clients learn of the new address a little later.
CLOSE_DELAY = timedelta(seconds=5)
#: Maximum number of checks, RETRY_PAUSE apart, whether the settings are current before
#: a replaced address is closed. They are counted, not timed: a host that was suspended
#: meanwhile has to check again after it.
MAX_CLOSE_CHECKS = 100

#: Names of the listeners in the log, by their clients.
CALLERS = "callers"
PEERS = "other hosts"
TUNNELS = "tunnels"
READINESS = "readiness"
METRICS = "metrics"

Open = Callable[[], Awaitable[object]]
Close = Callable[[], object]


def _keep_open() -> None:
    """Keep the address open until its owner stops."""


@attrs.define(kw_only=True)
class _Opened:
    """An open address of a listener.

    Attributes:
        close: Closes the address.
        replaced_at: When another address replaced this one, on the monotonic clock;
            None while this address is the configured one.
    """

    close: Close
    replaced_at: timedelta | None = None


class Listeners:
    """Opens listening addresses and retries those that are not available yet.

    An address may be in use by a process that is still exiting, or its port may be the
    local port of an outgoing connection. It may also be configured on the machine only
    after the host has started. A host that exited for that reason would stay down where
    no supervisor restarts it, although it could serve at its other addresses. The owner
    decides what the host lacks without an address (see :meth:`is_open`).

    Args:
        clock: The clock.
        on_open: Called with a listener's name and address whenever its configured
            address is open.
        are_settings_current: Returns, without awaiting anything, whether the moves so
            far follow from the settings as they are at this moment. A replaced address
            is kept open for a limited time while they do not, since the settings may
            name it again.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        on_open: Callable[[str, Address], None] = lambda name, address: None,
        are_settings_current: Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock = clock
        self._on_open = on_open
        self._are_settings_current = are_settings_current
        self._configured_by_name: dict[str, Address | None] = {}
        self._opened_by_name: dict[str, dict[Address, _Opened]] = {}
        self._tasks = TaskSet()

    def is_open(self, name: str) -> bool:
        """Return whether the configured address of a listener is open."""
        configured = self._configured_by_name.get(name)
        return configured is not None and configured in self._opened_by_name[name]

    async def open(
        self,
        name: str,
        address: Address,
        open_address: Open,
        *,
        close: Close = _keep_open,
    ) -> None:
        """Try to open an address; if it is unavailable, retry in the background.

        Args:
            name: The name of the listener.
            address: The address.
            open_address: Opens the address; raises an OSError if it is unavailable.
            close: Closes the address.
        """
        self._configured_by_name[name] = address
        self._opened_by_name.setdefault(name, {})
        if not await self._try_once(name, address, open_address, close):
            self._tasks.spawn(self._retry(name, address, open_address, close))

    def move(
        self,
        name: str,
        address: Address | None,
        open_address: Open,
        *,
        close: Close = _keep_open,
    ) -> None:
        """Move a listener to another address, and then close the previous one.

        Args:
            name: The name of the listener.
            address: The new address; None to stop listening.
            open_address: Opens the address; raises an OSError if it is unavailable.
            close: Closes the address.
        """
        opened = self._opened_by_name.setdefault(name, {})
        before = self._configured_by_name.get(name)
        self._configured_by_name[name] = address
        if before in opened:
            opened[before].replaced_at = self._clock.monotonic()
        if address in opened:
            opened[address].replaced_at = None
        self._close_claimed()
        self._tasks.spawn(self._move(name, address, open_address, close))

    async def stop(self) -> None:
        """Cancel the retries and the delayed closes."""
        await self._tasks.cancel()

    async def _move(
        self, name: str, address: Address | None, open_address: Open, close: Close
    ) -> None:
        if self.is_open(name):
            self._on_open(name, address)
        elif address is not None and not await self._try_once(
            name, address, open_address, close
        ):
            await self._retry(name, address, open_address, close)
        await self._close_replaced_later(name)

    async def _close_replaced_later(self, name: str) -> None:
        """Close the replaced addresses after a delay, once the new one is open."""
        replaced_by = self._clock.monotonic()
        await self._clock.sleep(CLOSE_DELAY)
        for number in range(MAX_CLOSE_CHECKS):
            if (
                not self._find_closable(name, replaced_by)
                or self._are_settings_current()
            ):
                break
            if number == 0:
                log_event("listen", "Close postponed, settings not current.", name=name)
            await self._clock.sleep(RETRY_PAUSE)
        else:
            log_event("listen", "Closing, settings still not current.", name=name)
        # Nothing may be awaited between the last check and the closes, or the settings
        # could name an address again in between.
        for address in self._find_closable(name, replaced_by):
            self._close(name, address)

    def _find_closable(self, name: str, replaced_by: timedelta) -> list[Address]:
        """Return the addresses of a listener that were replaced by a point in time.

        An address that was replaced after it has a task and a delay of its own.
        """
        if self._configured_by_name[name] is not None and not self.is_open(name):
            return []
        return [
            address
            for address, opened in self._opened_by_name[name].items()
            if opened.replaced_at is not None and opened.replaced_at <= replaced_by
        ]

    def _close_claimed(self) -> None:
        """Close at once the replaced addresses that another listener is to open.

        Two listeners that swap their addresses would otherwise wait for each other
        forever.
        """
        configured = set(self._configured_by_name.values())
        for name, opened in self._opened_by_name.items():
            for address in list(opened):
                if address != self._configured_by_name[name] and address in configured:
                    self._close(name, address)

    def _close(self, name: str, address: Address) -> None:
        self._opened_by_name[name].pop(address).close()
        log_event("listen", "Closed.", name=name, listen=address)

    async def _try_once(
        self, name: str, address: Address, open_address: Open, close: Close
    ) -> bool:
        """Try to open an address; log the error and return False on failure."""
        problem = await self._try(name, address, open_address, close)
        if problem is not None:
            self._log_unavailable(name, address, problem)
        return problem is None

    async def _retry(
        self, name: str, address: Address, open_address: Open, close: Close
    ) -> None:
        """Retry until the address is open or another one replaces it."""
        began_at = logged_at = self._clock.monotonic()
        while True:
            await self._clock.sleep(RETRY_PAUSE)
            if self._configured_by_name[name] != address or self.is_open(name):
                return
            problem = await self._try(name, address, open_address, close)
            now = self._clock.monotonic()
            if problem is None:
                log_event(
                    "listen", "Open.", name=name, listen=address, after=now - began_at
                )
                return
            if now - logged_at >= LOG_INTERVAL:
                logged_at = now
                self._log_unavailable(name, address, problem)

    async def _try(
        self, name: str, address: Address, open_address: Open, close: Close
    ) -> OSError | None:
        try:
            await open_address()
        except OSError as error:
            return error
        opened = _Opened(close=close)
        self._opened_by_name[name][address] = opened
        if self._configured_by_name[name] == address:
            self._on_open(name, address)
        else:
            # Another address replaced this one while it was being opened.
            opened.replaced_at = self._clock.monotonic()
            self._tasks.spawn(self._close_replaced_later(name))
        return None

    def _log_unavailable(self, name: str, address: Address, problem: OSError) -> None:
        log_event(
            "listen",
            "Cannot listen, trying again.",
            name=name,
            listen=address,
            why=problem,
        )
