"""Measures how late this host's own timers are."""

from collections import deque
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event

#: Maximum delay of a local timer. A longer delay shows that this host itself stalls and
#: cannot judge the silence of others.
MAX_OWN_LAG = timedelta(milliseconds=100)
#: Duration of a window over which the longest delay of a local timer is kept.
LAG_WINDOW = timedelta(seconds=5)


class LagMeter:
    """Detects that this host was too busy or paused to judge the silence of others.

    Args:
        clock: The clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._lagged_until = timedelta(0)
        self._windows: deque[_LagWindow] = deque(maxlen=2)

    def tick(self, late_by: timedelta) -> None:
        """Record the delay of a local timer, and log the first of a series of lags."""
        self._record_longest(late_by)
        if late_by <= MAX_OWN_LAG:
            return
        if not self.is_lagging:
            late_ms = round(late_by.total_seconds() * 1000)
            log_event("host", "Event loop stalled.", late_ms=late_ms)
        self._lagged_until = self._clock.monotonic() + late_by

    @property
    def longest(self) -> timedelta:
        """The longest delay of a local timer in the last ``LAG_WINDOW`` or two."""
        return max((window.longest for window in self._windows), default=timedelta(0))

    def _record_longest(self, late_by: timedelta) -> None:
        now = self._clock.monotonic()
        if not self._windows or now - self._windows[-1].began_at > LAG_WINDOW:
            self._windows.append(_LagWindow(began_at=now))
        self._windows[-1].longest = max(self._windows[-1].longest, late_by)

    @property
    def is_lagging(self) -> bool:
        """Whether a timer fired late, for as long afterwards as it was late."""
        return self._clock.monotonic() < self._lagged_until


@attrs.define(kw_only=True)
class _LagWindow:
    """The longest delay of a local timer since a time."""

    began_at: timedelta
    longest: timedelta = timedelta(0)
