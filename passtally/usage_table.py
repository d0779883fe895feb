"""What this host knows of the use of services by all hosts. Pure."""

from collections import deque
from collections.abc import Mapping
from datetime import timedelta

import attrs

from passtally.priority import Priority
from passtally.usage import NO_USAGE, ServiceUsage
from passtally.usage_collector import EXPIRE_AFTER

#: Time for which the peak use of a priority is remembered.
PEAK_WINDOW = timedelta(seconds=10)


@attrs.frozen(kw_only=True)
class KnownUsage:
    """The use of a service by all hosts, as this host knows it.

    Attributes:
        total: The use by all hosts.
        reported: The use by this host that the total contains.
        peak_by_priority: The most that each priority has held in the last seconds.
    """

    total: ServiceUsage
    reported: ServiceUsage
    peak_by_priority: Mapping[Priority, float]


class UsageTable:
    """The newest totals, and this host's part of them."""

    def __init__(self) -> None:
        self._totals_by_service: Mapping[str, ServiceUsage] = {}
        self._received_at: timedelta | None = None
        self._reported_by_service: Mapping[str, ServiceUsage] = {}
        self._peaks_by_service: dict[str, dict[Priority, _Peak]] = {}

    def record_reported(self, usage_by_service: Mapping[str, ServiceUsage]) -> None:
        """Record what this host has reported as its own use."""
        self._reported_by_service = dict(usage_by_service)

    def record_totals(
        self, usage_by_service: Mapping[str, ServiceUsage], *, now: timedelta
    ) -> None:
        """Record the use of each service by all hosts."""
        self._totals_by_service = dict(usage_by_service)
        self._received_at = now
        for service, usage in usage_by_service.items():
            self._record_peaks(service, usage, now)

    def _record_peaks(self, service: str, usage: ServiceUsage, now: timedelta) -> None:
        held_by_priority: dict[Priority, float] = {}
        for standing, use in usage.by_standing.items():
            held = held_by_priority.get(standing.priority, 0.0)
            held_by_priority[standing.priority] = held + use.held
        peaks = self._peaks_by_service.setdefault(service, {})
        for priority, held in held_by_priority.items():
            peaks.setdefault(priority, _Peak()).record(held, now)

    def age(self, now: timedelta) -> timedelta | None:
        """Return the age of the totals; None before the first."""
        return None if self._received_at is None else now - self._received_at

    def find(self, service: str, own: ServiceUsage, *, now: timedelta) -> KnownUsage:
        """Return the use of a service by all hosts.

        Args:
            service: The service.
            own: The use by this host now, which stands for all if no totals are known.
            now: The monotonic time.
        """
        age = self.age(now)
        peaks = {
            priority: peak.most(now)
            for priority, peak in self._peaks_by_service.get(service, {}).items()
        }
        total = self._totals_by_service.get(service)
        if total is None or age is None or age > EXPIRE_AFTER:
            return KnownUsage(total=own, reported=own, peak_by_priority=peaks)
        reported = self._reported_by_service.get(service, NO_USAGE)
        return KnownUsage(total=total, reported=reported, peak_by_priority=peaks)


class _Peak:
    """The highest of the values of the last seconds, in constant memory."""

    def __init__(self) -> None:
        #: Falling values with their times; the first is the highest.
        self._values: deque[tuple[timedelta, float]] = deque()

    def record(self, value: float, now: timedelta) -> None:
        while self._values and self._values[-1][1] <= value:
            self._values.pop()
        self._values.append((now, value))
        self._drop_old(now)

    def most(self, now: timedelta) -> float:
        self._drop_old(now)
        return self._values[0][1] if self._values else 0.0

    def _drop_old(self, now: timedelta) -> None:
        while self._values and now - self._values[0][0] > PEAK_WINDOW:
            self._values.popleft()
