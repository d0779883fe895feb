"""Reloads the settings file when it has changed, with or without a signal."""

import asyncio
from datetime import timedelta
from pathlib import Path
from typing import Protocol

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.platform.settings import translate_text
from passtally.platform.settings_file import read_text
from passtally.settings import Settings, SettingsError

#: Delay of the first check after a start: the file that the host started with may have
#: been incomplete.
FIRST_CHECK_DELAY = timedelta(seconds=1)
#: Interval between later checks.
CHECK_INTERVAL = timedelta(seconds=1)
#: Time for which a changed file must stay the same before it is applied, since its
#: writer may not have finished.
SETTLE_TIME = timedelta(milliseconds=100)
#: Time after which a file that keeps changing is applied as it is.
MAX_SETTLE = timedelta(seconds=1)
#: Time for which the file must have stayed the same to count as current. A busy machine
#: may stall a writer, so that half of a file is there long enough to be applied.
STABLE_TIME = timedelta(seconds=1)


class ConfiguredHost(Protocol):
    """A host that takes changed settings.

    Attributes:
        settings: The settings in force.
    """

    settings: Settings

    def reload(self, settings: Settings) -> None:
        """Apply changed settings; those that can't be applied now keep their values."""


class SettingsWatch:
    """Applies changed settings to a host.

    Args:
        path: The settings file.
        clock: The clock.
    """

    def __init__(self, *, path: Path, clock: Clock) -> None:
        self._path = path
        self._clock = clock
        self._signalled = asyncio.Event()
        #: The text that was read last, and since when it has been the same.
        self._text: str | None = None
        self._changed_at = timedelta(0)
        #: The last text that was applied or rejected.
        self._known: str | None = None
        #: The text whose settings are all in force.
        self._applied: str | None = None
        #: The last logged reason why the file could not be used.
        self._problem = ""

    def check_now(self) -> None:
        """Check the file at once, because of a signal."""
        self._signalled.set()

    def is_current(self) -> bool:
        """Read the file, and return whether its settings are those in force.

        They are not if the file can't be read, was rejected or was applied only in
        part. A file that has just changed does not count either: the rest of it may
        still be written.
        """
        try:
            text = self._read()
        except OSError as error:
            self._log_kept(str(error), is_signalled=False)
            return False
        stable_for = self._clock.monotonic() - self._changed_at
        return text == self._applied and stable_for >= STABLE_TIME

    async def run(self, host: ConfiguredHost) -> None:
        """Check the file periodically and at each signal, forever.

        Args:
            host: The host that is reloaded.
        """
        pause = FIRST_CHECK_DELAY
        while True:
            is_signalled = await self._wait(pause)
            self._signalled.clear()
            await self._check(host, is_signalled=is_signalled)
            pause = CHECK_INTERVAL

    async def _wait(self, pause: timedelta) -> bool:
        """Wait for a signal, and return whether one came."""
        try:
            async with asyncio.timeout(pause.total_seconds()):
                await self._signalled.wait()
        except TimeoutError:
            return False
        return True

    async def _check(self, host: ConfiguredHost, *, is_signalled: bool) -> None:
        try:
            text = await self._read_settled()
            if text == self._known and not is_signalled:
                return
            self._known = text
            settings = translate_text(text)
        except (SettingsError, OSError) as error:
            self._log_kept(str(error), is_signalled=is_signalled)
            return
        self._problem = ""
        if is_signalled or settings != host.settings:
            host.reload(settings)
        if settings == host.settings:
            self._applied = text
        else:
            # Some change could not be applied now: the next check retries it.
            self._known = self._applied = None

    def _log_kept(self, problem: str, *, is_signalled: bool) -> None:
        """Log why the old settings stay in force, once for each reason or signal."""
        if is_signalled or problem != self._problem:
            log_event("daemon", "Kept the old settings.", path=self._path, why=problem)
        self._problem = problem

    async def _read_settled(self) -> str:
        """Return the text of the file once it has stopped changing.

        Raises:
            OSError: The file can't be read.
        """
        text = self._read()
        until = self._clock.monotonic() + MAX_SETTLE
        known = self._known
        while text != known and self._clock.monotonic() < until:
            known = text
            await self._clock.sleep(SETTLE_TIME)
            text = self._read()
        return text

    def _read(self) -> str:
        """Return the text of the file, and record when it changed.

        Raises:
            OSError: The file can't be read.
        """
        text = read_text(self._path)
        if text != self._text:
            self._text, self._changed_at = text, self._clock.monotonic()
        return text
