"""Losses of endpoints by failure domain; those of one are often lost together. Pure."""

from datetime import timedelta

#: Time after a loss in which its failure domain is avoided. Endpoints of one domain are
#: detected as lost one after the other.
UNSTABLE_TIME = timedelta(seconds=1.5)
#: Number of endpoints of a domain that are lost within that time if the whole domain is
#: likely to be lost.
WIDESPREAD_LOSSES = 3


class DomainLosses:
    """The losses of the last moments in each failure domain."""

    def __init__(self) -> None:
        self._lost_at_by_domain: dict[str, dict[str, timedelta]] = {}
        self._widespread_at_by_domain: dict[str, timedelta] = {}

    def record(self, domain: str, endpoint_id: str, *, now: timedelta) -> None:
        """Record the loss of a run or of an endpoint.

        Args:
            domain: The endpoint's failure domain.
            endpoint_id: The endpoint.
            now: The monotonic time.
        """
        recent = {
            name: at
            for name, at in self._lost_at_by_domain.get(domain, {}).items()
            if now - at < UNSTABLE_TIME
        }
        is_new = endpoint_id not in recent
        recent[endpoint_id] = now
        self._lost_at_by_domain[domain] = recent
        if is_new and len(recent) >= WIDESPREAD_LOSSES:
            self._widespread_at_by_domain[domain] = now

    def is_unstable(self, domain: str, *, now: timedelta) -> bool:
        """Return whether an endpoint of a domain was lost a moment ago."""
        lost_at = self._lost_at_by_domain.get(domain, {}).values()
        return any(now - at < UNSTABLE_TIME for at in lost_at)

    def widespread_since(self, domain: str, since: timedelta) -> bool:
        """Return whether several endpoints of a domain were lost after a time.

        Args:
            domain: The failure domain.
            since: The time, on the monotonic clock.
        """
        at = self._widespread_at_by_domain.get(domain)
        return at is not None and at > since
