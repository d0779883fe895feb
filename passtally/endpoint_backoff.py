"""Endpoints that have asked this host for rest. Pure.

An endpoint that turns a request away may name a time in which it wants nothing from the
host that sent it. When that is over one request goes first: all that wait would turn up
together, to be turned away together.
"""

from datetime import timedelta

import attrs

from passtally.decision import log_event
from passtally.objects import EndpointStart

#: The longest rest that is kept. Nobody means longer, and the endpoint's next start,
#: which owes nothing, may not be known as one.
MAX_BACKOFF = timedelta(hours=1)
#: How long after a rest the first request goes alone, if no answer comes before: an
#: endpoint that turns requests away does so within some milliseconds.
PROBE_WINDOW = timedelta(milliseconds=500)


@attrs.define(kw_only=True)
class _Backoff:
    """One rest.

    Attributes:
        until: Until when, on the monotonic clock.
        probe_until: Until when the first request after it goes alone; None before it.
    """

    until: timedelta
    probe_until: timedelta | None = None

    def wait(self, now: timedelta) -> timedelta:
        """Return how long it takes until a request may be sent."""
        return max((self.probe_until or self.until) - now, timedelta(0))


class EndpointBackoffs:
    """The rests that endpoints have asked this host for."""

    def __init__(self) -> None:
        self._backoffs_by_start: dict[EndpointStart, _Backoff] = {}

    def record_answer(
        self,
        start: EndpointStart,
        rest: timedelta | None,
        *,
        sent_at: timedelta,
        now: timedelta,
    ) -> None:
        """Take in what an answer asks for.

        Args:
            start: The endpoint.
            rest: For how long it wants no request; None where it asks for no rest.
            sent_at: When its request was sent: one that was under way when the rest
                began says nothing of its end.
            now: The monotonic time.
        """
        known = self._backoffs_by_start.get(start)
        if rest:
            until = now + rest
            if known is None or until > known.until:
                self._backoffs_by_start[start] = _Backoff(until=until)
            if known is None:
                log_event("rests", "Asked for.", peer=start.endpoint_id, rest=rest)
        elif known is not None and sent_at >= known.until:
            del self._backoffs_by_start[start]

    def is_over(self, start: EndpointStart, *, now: timedelta) -> bool:
        """Return whether an endpoint wants requests, as far as it has said."""
        rest = self._backoffs_by_start.get(start)
        return rest is None or rest.until <= now

    def may_send(self, start: EndpointStart, *, now: timedelta) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        return not self.wait(start, now=now)

    def take(self, start: EndpointStart, *, now: timedelta) -> bool:
        """Count a request that is sent now, if it may be."""
        if not self.may_send(start, now=now):
            return False
        rest = self._backoffs_by_start.get(start)
        if rest is not None:
            rest.probe_until = now + PROBE_WINDOW
        return True

    def wait(self, start: EndpointStart, *, now: timedelta) -> timedelta:
        """Return how long it takes until an endpoint may be sent a request."""
        rest = self._backoffs_by_start.get(start)
        return timedelta(0) if rest is None else rest.wait(now)

    def forget(self, endpoint_id: str) -> None:
        """Forget an endpoint that is gone."""
        for start in list(self._backoffs_by_start):
            if start.endpoint_id == endpoint_id:
                del self._backoffs_by_start[start]
