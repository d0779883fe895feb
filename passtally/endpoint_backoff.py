"""Back-off from endpoints that rejected a request with Retry-After. Pure.

An endpoint that rejects a request may name a time during which the host that sent it
should send nothing more. After that time the host sends a single request as a probe:
otherwise all waiting requests would arrive, and be rejected, at once.
"""

import math
from collections.abc import Callable
from datetime import timedelta

import attrs

from passtally.decision import log_event
from passtally.objects import EndpointStart

#: Maximum back-off. A longer one is no sensible value, and may outlive the endpoint: a
#: new start, to which the back-off does not apply, is not always recognised as one.
MAX_BACKOFF = timedelta(hours=1)
#: Time after the probe during which no other request is sent, unless its answer arrives
#: earlier. An endpoint that rejects requests does so within milliseconds.
PROBE_WINDOW = timedelta(milliseconds=500)
#: Number of hosts that probe an endpoint at the same moment after a back-off, and the
#: interval until the next ones.
HOSTS_PER_TURN = 4
TURN_INTERVAL = timedelta(milliseconds=50)
#: Maximum time by which the last hosts probe later than the first.
MAX_PROBE_DELAY = timedelta(seconds=2)


@attrs.define(kw_only=True)
class _Backoff:
    """The back-off from one endpoint.

    Attributes:
        until: The end of the back-off, on the monotonic clock.
        probe_until: The end of the probe window; None until a probe is sent.
    """

    until: timedelta
    probe_until: timedelta | None = None

    def wait(self, now: timedelta) -> timedelta:
        """Return the time until a request may be sent."""
        return max((self.probe_until or self.until) - now, timedelta(0))


class EndpointBackoffs:
    """The back-offs that endpoints have requested from this host.

    Args:
        count_hosts: Returns the number of hosts, this one included.
        rank: Returns the number of hosts before this one in an endpoint's order.
    """

    def __init__(
        self,
        *,
        count_hosts: Callable[[], int] = lambda: 1,
        rank: Callable[[str], int] = lambda endpoint_id: 0,
    ) -> None:
        self._count_hosts = count_hosts
        self._rank = rank
        self._backoffs_by_start: dict[EndpointStart, _Backoff] = {}

    def record_answer(
        self,
        start: EndpointStart,
        retry_after: timedelta | None,
        *,
        sent_at: timedelta,
        now: timedelta,
    ) -> None:
        """Start, extend or end the back-off from an endpoint after an answer.

        Args:
            start: The start of the endpoint.
            retry_after: The back-off that the answer requests; None for none.
            sent_at: When the request was sent, on the monotonic clock. Only the answer
                to a request sent after the back-off ends it: an earlier request was
                already in flight.
            now: The monotonic time.
        """
        known = self._backoffs_by_start.get(start)
        if retry_after:
            until = now + retry_after + self._probe_delay(start.endpoint_id)
            if known is None or until > known.until:
                self._backoffs_by_start[start] = _Backoff(until=until)
            if known is None:
                log_event(
                    "rests",
                    "Back-off requested.",
                    peer=start.endpoint_id,
                    rest=retry_after,
                )
        elif known is not None and sent_at >= known.until:
            del self._backoffs_by_start[start]

    def _probe_delay(self, endpoint_id: str) -> timedelta:
        """Return how long after a back-off this host may send its probe.

        All hosts that were told at the same moment would else probe at the same moment.
        """
        turns = math.ceil(self._count_hosts() / HOSTS_PER_TURN)
        interval = min(TURN_INTERVAL, MAX_PROBE_DELAY / turns)
        return self._rank(endpoint_id) // HOSTS_PER_TURN * interval

    def is_over(self, start: EndpointStart, *, now: timedelta) -> bool:
        """Return whether no back-off from an endpoint is active."""
        backoff = self._backoffs_by_start.get(start)
        return backoff is None or backoff.until <= now

    def may_send(self, start: EndpointStart, *, now: timedelta) -> bool:
        """Return whether neither a back-off nor a probe window is active."""
        return not self.wait(start, now=now)

    def acquire(self, start: EndpointStart, *, now: timedelta) -> bool:
        """Return whether a request may be sent now, and if so count it as sent.

        After a back-off the request is a probe: no other one is sent in its window.
        """
        if not self.may_send(start, now=now):
            return False
        backoff = self._backoffs_by_start.get(start)
        if backoff is not None:
            backoff.probe_until = now + PROBE_WINDOW
        return True

    def wait(self, start: EndpointStart, *, now: timedelta) -> timedelta:
        """Return the time until a request may be sent to an endpoint."""
        backoff = self._backoffs_by_start.get(start)
        return timedelta(0) if backoff is None else backoff.wait(now)

    def forget(self, endpoint_id: str) -> None:
        """Remove the back-offs from all starts of a removed endpoint."""
        for start in list(self._backoffs_by_start):
            if start.endpoint_id == endpoint_id:
                del self._backoffs_by_start[start]
