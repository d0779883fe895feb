"""Handling of stop signals before a host's event loop starts and after it stops.

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
#: The stop signals, and SIGHUP, which makes a host reload its settings.
_ALL = (*NUMBERS, signal.SIGHUP)


def block_here() -> None:
    """Block the signals in this thread, which is not the main one.

    A signal that the main thread blocks is delivered to any other thread that does not.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, _ALL)


class StopSignals:
    """Signal handlers that replace the default actions, which kill the process.

    Loading the program takes half a second or more. The default action of a stop signal
    in that time would reset the waiting connections of callers, and the exit would look
    like a failure.
    """

    def __init__(self) -> None:
        self._stop_requested_at: float | None = None

    def catch(self) -> None:
        """Start recording stop signals."""
        for number in NUMBERS:
            signal.signal(number, self._record)
        # A blocked signal never arrives, and the process that starts a host may have
        # signals blocked, which the host inherits.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _ALL)

    def hand_over(self, loop: AbstractEventLoop, stop: Callable[[], None]) -> None:
        """Handle stop signals in an event loop from now on.

        Args:
            loop: The event loop.
            stop: Called for each stop signal, and at once if one was recorded.
        """
        for number in NUMBERS:
            loop.add_signal_handler(number, stop)
        if self._stop_requested_at is not None:
            stop()

    def ignore(self, loop: AbstractEventLoop) -> None:
        """Ignore further signals, since the host is about to exit.

        A closing event loop restores the default actions, and a stop signal may be
        repeated until the process has exited.
        """
        # Blocked, as in all other threads (block_here), since the signals have their
        # default actions until SIG_IGN is set.
        signal.pthread_sigmask(signal.SIG_BLOCK, _ALL)
        for number in _ALL:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, _ALL)

    def waited(self) -> timedelta:
        """Return the time since a stop was recorded; zero if none was."""
        if self._stop_requested_at is None:
            return timedelta(0)
        return timedelta(seconds=_time_since_boot() - self._stop_requested_at)

    def _record(self, number: int, frame: FrameType | None) -> None:
        if self._stop_requested_at is None:
            self._stop_requested_at = _time_since_boot()


def _time_since_boot() -> float:
    """Return the time since boot in seconds, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
