"""Reads the settings file again when it has changed, with or without a signal."""

import asyncio
from datetime import timedelta
from pathlib import Path

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.front_host import FrontHost
from passtally.platform.settings import translate_text
from passtally.platform.settings_file import read_text
from passtally.settings import SettingsError

#: How long after its start a host first looks: what it started with may have been half
#: written.
FIRST_LOOK = timedelta(seconds=1)
#: How often it looks then.
LOOK_INTERVAL = timedelta(seconds=5)
#: A file that has changed is taken once it stays the same for so long, since it may
#: still be being written; one that goes on changing is taken after the longer time.
SETTLE_TIME = timedelta(milliseconds=100)
MAX_SETTLE = timedelta(seconds=1)


class SettingsWatch:
    """Hands settings that have changed to a host.

    Args:
        path: The settings file.
        host: Takes them.
        clock: The clock.
    """

    def __init__(self, *, path: Path, host: FrontHost, clock: Clock) -> None:
        self._path = path
        self._host = host
        self._clock = clock
        self._signalled = asyncio.Event()
        #: What was last read from the file, and taken or refused.
        self._known: str | None = None
        #: Why it could not be used, as last told.
        self._problem = ""

    def look_soon(self) -> None:
        """Look at once: a signal says that the file has changed."""
        self._signalled.set()

    async def run(self) -> None:
        """Look at the file now and then, and at each signal, for ever."""
        pause = FIRST_LOOK
        while True:
            is_told = await self._wait(pause)
            self._signalled.clear()
            await self._look(is_told=is_told)
            pause = LOOK_INTERVAL

    async def _wait(self, pause: timedelta) -> bool:
        """Wait for a signal, and return whether one came."""
        try:
            async with asyncio.timeout(pause.total_seconds()):
                await self._signalled.wait()
        except TimeoutError:
            return False
        return True

    async def _look(self, *, is_told: bool) -> None:
        try:
            text = await self._read_settled()
            if text == self._known and not is_told:
                return
            self._known = text
            settings = translate_text(text)
        except (SettingsError, OSError) as error:
            self._tell_kept(str(error), is_told=is_told)
            return
        self._problem = ""
        if is_told or settings != self._host.settings:
            self._host.reload(settings)
        if settings != self._host.settings:
            # Something could not be taken now: the next look tries it again.
            self._known = None

    def _tell_kept(self, problem: str, *, is_told: bool) -> None:
        """Log why the old settings stay in force, once for each reason or signal."""
        if is_told or problem != self._problem:
            log_event("daemon", "Kept the old settings.", path=self._path, why=problem)
        self._problem = problem

    async def _read_settled(self) -> str:
        """Return what the file holds once it has stopped changing.

        Raises:
            OSError: It can't be read.
        """
        text = read_text(self._path)
        until = self._clock.monotonic() + MAX_SETTLE
        known = self._known
        while text != known and self._clock.monotonic() < until:
            known = text
            await self._clock.sleep(SETTLE_TIME)
            text = read_text(self._path)
        return text
