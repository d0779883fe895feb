"""How fast endpoints are, beside the others of their service. Pure.

Hosts of a large fleet use each endpoint too seldom to know its speed, so they tell each
other the paces that they measure. An endpoint is known by its address: one that
restarts there runs on the same machine.
"""

import itertools
from collections import deque
from collections.abc import Iterable, Sequence
from datetime import timedelta
from statistics import median

import attrs

from passtally.objects import Endpoint

#: Weight of a new sample in the pace of an endpoint.
SAMPLE_GAIN = 0.25
#: Time after which a pace is forgotten, so that an endpoint that was slow is tried like
#: any other.
FORGET_AFTER = timedelta(seconds=60)
#: Speeds within this factor of the usual one count as usual. What else runs on an
#: endpoint changes its pace by some tenths.
USUAL_FACTOR = 1.25
#: Range of speeds.
MIN_SPEED, MAX_SPEED = 0.25, 4.0
#: Maximum number of samples that are kept for other hosts.
MAX_SAMPLES = 32
#: Number of endpoints of a service whose pace has to be known for a usual one.
MIN_KNOWN = 3


@attrs.frozen(kw_only=True)
class Pace:
    """The pace of one endpoint.

    Attributes:
        service: The endpoint's service.
        address: The endpoint's address.
        gap: The time between two outputs.
        measured_at: The monotonic time of the last sample.
    """

    service: str
    address: str
    gap: timedelta
    measured_at: timedelta


class EndpointSpeeds:
    """The paces of endpoints, as measured by this host and by others."""

    def __init__(self) -> None:
        self._paces_by_service: dict[str, dict[str, Pace]] = {}
        self._usual_by_service: dict[str, timedelta | None] = {}
        self._own_samples: deque[Pace] = deque(maxlen=MAX_SAMPLES)
        self._sent_count = 0

    def record(self, sample: Pace) -> None:
        """Record a pace that this host, or one that reports to it, has measured."""
        known = self._find(sample.service, sample.address)
        if known is not None and known.measured_at <= sample.measured_at:
            gap = known.gap + SAMPLE_GAIN * (sample.gap - known.gap)
            sample = attrs.evolve(sample, gap=gap)
        self._put(sample)

    def record_own(self, sample: Pace) -> None:
        """Record a pace that this host has measured, and keep it for the others."""
        self.record(sample)
        self._own_samples.append(sample)

    def record_gap(
        self, endpoint: Endpoint, gap: timedelta | None, *, now: timedelta
    ) -> None:
        """Record the time between two outputs of an endpoint, if it is known."""
        if gap is not None:
            sample = Pace(
                service=endpoint.service,
                address=endpoint.url,
                gap=gap,
                measured_at=now,
            )
            self.record_own(sample)

    def merge(self, paces: Iterable[Pace]) -> None:
        """Take over the paces that another host has added up, if they are newer."""
        for pace in paces:
            known = self._find(pace.service, pace.address)
            if known is None or known.measured_at < pace.measured_at:
                self._put(pace)

    def pop_own_samples(self) -> list[Pace]:
        """Return this host's samples since the last call."""
        samples = list(self._own_samples)
        self._own_samples.clear()
        return samples

    def next_paces(self, count: int, *, now: timedelta) -> list[Pace]:
        """Return some of the known paces, all of them in turn."""
        self._drop_old(now)
        paces = [
            pace
            for by_address in self._paces_by_service.values()
            for pace in by_address.values()
        ]
        if not paces:
            return []
        start = self._sent_count % len(paces)
        self._sent_count += min(count, len(paces))
        chosen = itertools.islice(itertools.cycle(paces), start, start + count)
        return list(itertools.islice(chosen, len(paces)))

    def count_known(self, *, now: timedelta) -> int:
        """Return the number of endpoints whose pace is known."""
        return sum(
            now - pace.measured_at <= FORGET_AFTER
            for by_address in self._paces_by_service.values()
            for pace in by_address.values()
        )

    def speed(self, service: str, address: str, *, now: timedelta) -> float:
        """Return the speed of an endpoint, 1 for a usual or unknown one.

        Args:
            service: The endpoint's service.
            address: The endpoint's address.
            now: The monotonic time.
        """
        pace = self._find(service, address)
        if pace is None or now - pace.measured_at > FORGET_AFTER:
            return 1.0
        usual = self._usual(service)
        if usual is None or not pace.gap:
            return 1.0
        speed = usual / pace.gap
        if 1 / USUAL_FACTOR <= speed <= USUAL_FACTOR:
            return 1.0
        return min(max(speed, MIN_SPEED), MAX_SPEED)

    def _usual(self, service: str) -> timedelta | None:
        """Return the median pace of a service; None while few are known."""
        if service not in self._usual_by_service:
            gaps: Sequence[timedelta] = [
                pace.gap for pace in self._paces_by_service[service].values()
            ]
            is_known = len(gaps) >= MIN_KNOWN
            usual = timedelta(seconds=median(gap.total_seconds() for gap in gaps))
            self._usual_by_service[service] = usual if is_known else None
        return self._usual_by_service[service]

    def _find(self, service: str, address: str) -> Pace | None:
        return self._paces_by_service.get(service, {}).get(address)

    def _put(self, pace: Pace) -> None:
        self._paces_by_service.setdefault(pace.service, {})[pace.address] = pace
        self._usual_by_service.pop(pace.service, None)

    def _drop_old(self, now: timedelta) -> None:
        for service, by_address in list(self._paces_by_service.items()):
            fresh = {
                address: pace
                for address, pace in by_address.items()
                if now - pace.measured_at <= FORGET_AFTER
            }
            if len(fresh) != len(by_address):
                self._usual_by_service.pop(service, None)
            self._paces_by_service[service] = fresh
            if not fresh:
                del self._paces_by_service[service]
