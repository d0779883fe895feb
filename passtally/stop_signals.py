"""Stops that come before a host's loop can take them, or after it has ended.

Imports little, since it is needed before the rest of the program is loaded.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from datetime import timedelta
from types import FrameType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop

NUMBERS = (signal.SIGTERM, signal.SIGINT)
#: With the one by which a host reads its settings again.
_ALL = (*NUMBERS, signal.SIGHUP)


class StopSignals:
    """Takes the place of the default actions, which end a process on the spot.

    Loading takes half a second or more. Callers' connections that wait meanwhile would
    be reset by a stop in that time, and the end would look like a failure.
    """

    def __init__(self) -> None:
        self._asked_at: float | None = None

    def catch(self) -> None:
        """Note a stop from now on."""
        for number in NUMBERS:
            signal.signal(number, self._note)
        # Whoever starts a host may block signals for itself, which is inherited: they
        # would never arrive.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _ALL)

    def hand_over(self, loop: AbstractEventLoop, stop: Callable[[], None]) -> None:
        """Let a loop take stops from now on.

        Args:
            loop: The loop.
            stop: Called for each stop; at once if one was noted.
        """
        for number in NUMBERS:
            loop.add_signal_handler(number, stop)
        if self._asked_at is not None:
            stop()

    def ignore(self, loop: AbstractEventLoop) -> None:
        """Pass over signals from now on: the host is about to end.

        A loop that closes gives them their default action back, and whoever stops a
        process may say so until it is gone.
        """
        # Held back for this moment, in which they have their default action.
        signal.pthread_sigmask(signal.SIG_BLOCK, _ALL)
        for number in _ALL:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _ALL)

    def waited(self) -> timedelta:
        """Return for how long a stop has been noted; none for no time."""
        if self._asked_at is None:
            return timedelta(0)
        return timedelta(seconds=_time_since_boot() - self._asked_at)

    def _note(self, number: int, frame: FrameType | None) -> None:
        if self._asked_at is None:
            self._asked_at = _time_since_boot()


def _time_since_boot() -> float:
    """Return the time since boot in seconds, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
