"""Tells when a host gets too little processor to take its callers in time. Pure.

The connections of callers wait in a queue until the host accepts them, the oldest
first. One that can't keep up takes each when its caller is about to leave, and serves
nobody, while its timers are hardly late. Where others are there to serve, callers are
better sent to them.
"""

from collections import deque
from datetime import timedelta
from statistics import median

import attrs

#: How long each connection must have waited, and for how long without one that waited
#: less. A host that runs takes one within a few milliseconds; a burst of callers makes
#: some wait, not all for so long (CoDel, Nichols and Jacobson 2012).
LONG_WAIT = timedelta(milliseconds=200)
WAIT_INTERVAL = timedelta(seconds=1)
#: How long an overload lasts at least: with its callers sent away a host is not
#: overloaded, so that to take them back at once would lose them again.
HOLD = timedelta(seconds=10)
#: How long it lasts at most while timers are late, as where others take the processor.
MAX_HOLD = timedelta(seconds=60)
LATE_TIMER = timedelta(milliseconds=10)
TIMERS_KEPT = 8


@attrs.define(kw_only=True)
class Overload:
    """What callers' connections and this host's timers tell of it.

    Attributes:
        began_at: When the overload was found, on the monotonic clock; None without one.
    """

    began_at: timedelta | None = None
    _waits_since: timedelta | None = None
    _waited_at: timedelta = timedelta(0)
    _late: deque[timedelta] = attrs.field(factory=lambda: deque(maxlen=TIMERS_KEPT))

    @property
    def is_overloaded(self) -> bool:
        """Whether callers are to be sent elsewhere."""
        return self.began_at is not None

    def record_connection(self, waited: timedelta, *, now: timedelta) -> None:
        """Take in how long a caller's connection had waited.

        Args:
            waited: Since it came up, or since the last of its bytes came.
            now: The monotonic time.
        """
        if now - self._waited_at > WAIT_INTERVAL:
            self._waits_since = None
        self._waited_at = now
        if waited < LONG_WAIT:
            self._waits_since = None
        elif self._waits_since is None:
            self._waits_since = now
        elif now - self._waits_since >= WAIT_INTERVAL and not self.is_overloaded:
            self.began_at = now

    def record_timer(self, late: timedelta, *, now: timedelta) -> None:
        """Take in how late a timer of this host was.

        Args:
            late: How late.
            now: The monotonic time.
        """
        self._late.append(late)
        if self.began_at is None:
            return
        lasted = now - self.began_at
        is_late = median(self._late) >= LATE_TIMER
        if lasted >= (MAX_HOLD if is_late else HOLD):
            self.began_at = self._waits_since = None
