"""How long endpoints take for plain calls, and which of them are slow now. Pure.

An endpoint is slow while it takes a multiple of the usual time of its service, and of
what the others take now: by its last answers, by a call that is open for too long, or
by its own report. Others are preferred to it, and from time to time it gets a call, to
notice when it is as fast as the others again.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta
from statistics import median_low

import attrs

from passtally.engine import InstanceLoad
from passtally.settings import Switch

#: Multiple of the usual time from which an endpoint counts as slow. Single calls vary
#: by a factor of two.
SLOW_FACTOR = 2.5
#: Multiple of the usual time after which a call gets a second copy, which takes the
#: usual time once more. Callers want most answers within three or four times of it.
HEDGE_FACTOR = 2
#: Weight of a new sample in the mean time of an endpoint.
SAMPLE_GAIN = 0.25
#: Number of samples of at least two endpoints from which the usual time of a service is
#: known. A host of a large fleet calls each endpoint only every few seconds, so it does
#: not wait for several samples of each.
MIN_SAMPLES = 6
#: Time after the last sample for which a mean time tells whether an endpoint is slow.
FORGET_AFTER = timedelta(seconds=5)
#: Time for which it counts for the usual time of the service. A host of a large fleet
#: calls each endpoint only every few seconds.
FORGET_USUAL_AFTER = timedelta(minutes=1)
#: Time for which an endpoint's report of its load is used.
REPORT_TIME = timedelta(milliseconds=500)
#: Interval at which a slow endpoint gets a call.
TRY_INTERVAL = timedelta(seconds=1)


@attrs.define(kw_only=True, eq=False)
class OpenCall:
    """A call that an endpoint has not answered yet.

    Attributes:
        endpoint_id: The endpoint.
        began_at: When the call was sent, on the monotonic clock.
    """

    endpoint_id: str
    began_at: timedelta


@attrs.define(kw_only=True)
class _Mean:
    """A moving mean of the times of calls, without the delay that was reported.

    Attributes:
        keep_time: Time after the last sample for which it is known.
        value: The mean.
        samples: The number of samples in it.
        sampled_at: When the last one was taken.
    """

    keep_time: timedelta
    value: timedelta = timedelta(0)
    samples: int = 0
    sampled_at: timedelta = timedelta(0)

    def add(self, took: timedelta, *, now: timedelta) -> None:
        if not self.is_known(now):
            self.samples, self.value = 0, took
        self.value += SAMPLE_GAIN * (took - self.value)
        self.samples += 1
        self.sampled_at = now

    def is_known(self, now: timedelta) -> bool:
        return self.samples > 0 and now - self.sampled_at <= self.keep_time


@attrs.define(kw_only=True)
class _Times:
    """What is known of one endpoint's times.

    Attributes:
        recent: The mean time of its recent calls.
        usual: The mean time of its calls over a longer time.
        open_calls: The calls that it has not answered.
        report: Its last report.
        reported_at: When that arrived.
        try_at: When it gets its next call while it is slow.
        is_removed: Whether the endpoint was removed while calls were open there.
    """

    recent: _Mean = attrs.field(factory=lambda: _Mean(keep_time=FORGET_AFTER))
    usual: _Mean = attrs.field(factory=lambda: _Mean(keep_time=FORGET_USUAL_AFTER))
    open_calls: list[OpenCall] = attrs.field(factory=list)
    report: InstanceLoad | None = None
    reported_at: timedelta = timedelta(0)
    try_at: timedelta | None = None
    is_removed: bool = False


class CallTimes:
    """The times of this host's calls, by endpoint.

    Args:
        endpoints_of: Returns the ids of a service's endpoints that get calls.
        is_known: Returns whether there is an endpoint of an id.
        mode: Returns for which services slow endpoints are avoided.
    """

    def __init__(
        self,
        *,
        endpoints_of: Callable[[str], Sequence[str]],
        is_known: Callable[[str], bool],
        mode: Callable[[], Switch],
    ) -> None:
        self._endpoints_of = endpoints_of
        self._is_known = is_known
        self._mode = mode
        self._times_by_id: dict[str, _Times] = {}
        self._called_services: set[str] = set()

    def begin(self, endpoint_id: str, *, service: str, now: timedelta) -> OpenCall:
        """Record that a call is sent to an endpoint of a service."""
        self._called_services.add(service)
        times = self._times(endpoint_id)
        times.is_removed = False
        if times.try_at is not None and now >= times.try_at:
            times.try_at = now + TRY_INTERVAL
        call = OpenCall(endpoint_id=endpoint_id, began_at=now)
        times.open_calls.append(call)
        return call

    def end(self, call: OpenCall, *, is_timed: bool, now: timedelta) -> None:
        """Record the end of a call.

        Args:
            call: The call.
            is_timed: Whether its time counts: it was answered, or given up as slow.
            now: The monotonic time.
        """
        times = self._times(call.endpoint_id)
        times.open_calls.remove(call)
        if times.is_removed and not times.open_calls:
            del self._times_by_id[call.endpoint_id]
        if not is_timed:
            return
        took = (now - call.began_at) / self._reported_delay(times, now)
        times.recent.add(took, now=now)
        times.usual.add(took, now=now)

    def record_report(
        self, endpoint_id: str, report: InstanceLoad, *, now: timedelta
    ) -> None:
        """Record what an endpoint reports of its load in an answer."""
        if not self._is_known(endpoint_id):
            return
        times = self._times(endpoint_id)
        times.report, times.reported_at = report, now

    def forget(self, endpoint_id: str) -> None:
        """Drop the times of a removed endpoint once no call is open there."""
        times = self._times_by_id.get(endpoint_id)
        if times is None:
            return
        times.is_removed = True
        if not times.open_calls:
            del self._times_by_id[endpoint_id]

    def list_slow(self, service: str, *, now: timedelta) -> frozenset[str]:
        """Return the endpoints of a service beside which others should get calls now.

        Args:
            service: The service.
            now: The monotonic time.
        """
        if service not in self._called_services:
            return frozenset()
        if not self.is_in_use(self._mode(), service):
            return frozenset()
        slow = self._list_long(service, now)
        for endpoint_id in self._endpoints_of(service):
            times = self._times(endpoint_id)
            if endpoint_id not in slow:
                times.try_at = None
            elif times.try_at is None:
                times.try_at = now + TRY_INTERVAL
        return frozenset(name for name in slow if now < self._times(name).try_at)

    def hedge_delay(self, service: str, *, now: timedelta) -> timedelta | None:
        """Return the time after which a call gets a second copy; None if unknown."""
        usual = self._usual(service, now)
        return None if usual is None else HEDGE_FACTOR * usual

    def is_in_use(self, mode: Switch, service: str) -> bool:
        """Return whether a part of the system is in use for a service.

        Args:
            mode: The part's setting. ``AUTO`` stands for the services whose endpoints
                report their load, as servers do that are slow at times.
            service: The service.
        """
        if mode is not Switch.AUTO:
            return mode is Switch.ON
        known = map(self._times_by_id.get, self._endpoints_of(service))
        return any(times is not None and times.report is not None for times in known)

    def has_queue(self, endpoint_id: str, *, now: timedelta) -> bool:
        """Return whether a fresh report shows that requests wait there."""
        times = self._times_by_id.get(endpoint_id)
        report = None if times is None else self._fresh_report(times, now)
        return report is not None and report.waiting > 0

    def count_known(self) -> int:
        """Return the number of endpoints of which times are kept."""
        return len(self._times_by_id)

    def count_slow(self) -> int:
        """Return the number of endpoints that were found to be slow."""
        return sum(times.try_at is not None for times in self._times_by_id.values())

    def _usual(self, service: str, now: timedelta) -> timedelta | None:
        """Return the usual time of a service, or None while too few are known."""
        known = [
            times.usual
            for endpoint_id in self._endpoints_of(service)
            if (times := self._times_by_id.get(endpoint_id)) is not None
            and times.usual.is_known(now)
        ]
        if len(known) < 2 or sum(mean.samples for mean in known) < MIN_SAMPLES:
            return None
        return median_low(mean.value for mean in known)

    def _list_long(self, service: str, now: timedelta) -> set[str]:
        """Return the endpoints that take a multiple of the usual time.

        Until that is known, only their own reports tell. An endpoint that is avoided
        while all others take long too would overload them.
        """
        times_by_id = {name: self._times(name) for name in self._endpoints_of(service)}
        usual = self._usual(service, now)
        if usual is None:
            return {
                name
                for name, times in times_by_id.items()
                if self._reported_delay(times, now) > SLOW_FACTOR
            }
        expected_by_id = {
            name: self._expected(times, now) for name, times in times_by_id.items()
        }
        fastest, *others = sorted(expected_by_id, key=expected_by_id.__getitem__)
        bound = SLOW_FACTOR * max(usual, expected_by_id[fastest])
        return {name for name in others if expected_by_id[name] > bound}

    def _expected(self, times: _Times, now: timedelta) -> timedelta:
        """Return the time that the next call is expected to take."""
        recent = times.recent
        mean = recent.value if recent.is_known(now) else timedelta(0)
        ages = [now - call.began_at for call in times.open_calls]
        return max(mean * self._reported_delay(times, now), *ages, timedelta(0))

    def _reported_delay(self, times: _Times, now: timedelta) -> float:
        """Return the factor by which calls take longer, by an endpoint's fresh report.

        The requests that wait there run before a new one.
        """
        report = self._fresh_report(times, now)
        if report is None:
            return 1.0
        if not report.slots:
            return report.slowness
        ahead = max(report.running + report.waiting - report.slots, 0)
        return report.slowness * (1 + ahead / report.slots)

    def _fresh_report(self, times: _Times, now: timedelta) -> InstanceLoad | None:
        is_fresh = now - times.reported_at <= REPORT_TIME
        return times.report if is_fresh else None

    def _times(self, endpoint_id: str) -> _Times:
        return self._times_by_id.setdefault(endpoint_id, _Times())
