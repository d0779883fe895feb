"""Asks engines for their load, one after the other."""

from datetime import timedelta

from passtally.clock import Clock
from passtally.fleet import Fleet

#: Interval between load probes; each goes to one endpoint, however many there are.
REFRESH_INTERVAL = timedelta(seconds=1)


class LoadProbe:
    """Keeps the load reports of engines fresh that no answer has brought.

    Args:
        fleet: The endpoints.
        clock: The clock.
    """

    def __init__(self, *, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock

    async def run(self) -> None:
        """Probe the engine with the oldest report, one at a time, forever."""
        while True:
            await self._clock.sleep(REFRESH_INTERVAL)
            reporting = self._fleet.list_engines()
            if not reporting:
                continue
            oldest = min(reporting, key=lambda live: live.reported_at)
            report = await oldest.engine.probe()
            if report is not None:
                oldest.update_report(report)
            else:
                oldest.reported_at = self._clock.monotonic()
