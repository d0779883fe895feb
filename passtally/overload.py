"""Detects that a host gets too little processor time to serve its callers. Pure.

The connections of callers wait in a queue until the host accepts them, the oldest
first. A host that can't keep up accepts each connection only when its caller is about
to give up, and so serves no caller, though its timers are hardly late. If there are
other hosts, the balancer should send callers to them instead.
"""

from collections import deque
from datetime import timedelta
from statistics import median

import attrs

#: A host is overloaded once every connection has waited at least LONG_WAIT, for at
#: least WAIT_INTERVAL. A host that gets enough processor time accepts a connection
#: within a few milliseconds; in a burst of callers some connections wait long, but not
#: all of them for a whole interval (CoDel, Nichols and Jacobson 2012).
LONG_WAIT = timedelta(milliseconds=200)
WAIT_INTERVAL = timedelta(seconds=1)
#: Minimum duration of an overload. Without callers a host is no longer overloaded; if
#: it took them back at once, it would be overloaded again.
MIN_HOLD = timedelta(seconds=10)
#: Maximum duration of an overload while timers are late, as they are while other
#: processes use the processor.
MAX_HOLD = timedelta(seconds=60)
#: Median timer delay from which timers count as late.
LATE_TIMER = timedelta(milliseconds=10)
MAX_TIMERS = 8


@attrs.define(kw_only=True)
class Overload:
    """The overload state of this host, from connection waits and timer delays.

    Attributes:
        began_at: The monotonic time at which the overload was detected; None while
            there is none.
    """

    began_at: timedelta | None = None
    _long_waits_since: timedelta | None = None
    _last_connection_at: timedelta = timedelta(0)
    _timer_delays: deque[timedelta] = attrs.field(
        factory=lambda: deque(maxlen=MAX_TIMERS)
    )

    @property
    def is_overloaded(self) -> bool:
        """Whether callers should be sent to other hosts."""
        return self.began_at is not None

    def record_connection(self, waited: timedelta, *, now: timedelta) -> None:
        """Record how long a caller's connection waited to be accepted.

        Args:
            waited: The time since the connection was established, or since its last
                byte arrived.
            now: The monotonic time.
        """
        if now - self._last_connection_at > WAIT_INTERVAL:
            self._long_waits_since = None
        self._last_connection_at = now
        if waited < LONG_WAIT:
            self._long_waits_since = None
        elif self._long_waits_since is None:
            self._long_waits_since = now
        elif now - self._long_waits_since >= WAIT_INTERVAL and not self.is_overloaded:
            self.began_at = now

    def record_timer(self, delay: timedelta, *, now: timedelta) -> None:
        """Record how late a timer of this host was, and end an overload when due.

        Args:
            delay: The time between the timer's due time and its call.
            now: The monotonic time.
        """
        self._timer_delays.append(delay)
        if self.began_at is None:
            return
        duration = now - self.began_at
        are_timers_late = median(self._timer_delays) >= LATE_TIMER
        if duration >= (MAX_HOLD if are_timers_late else MIN_HOLD):
            self.began_at = self._long_waits_since = None
