"""Metrics sent to a statsd server."""

from datetime import timedelta

import statsd

from passtally.clock import Clock
from passtally.metrics import PREFIX, Metric, Metrics
from passtally.settings import Address
from passtally.status import StatusReader

GAUGE_INTERVAL = timedelta(seconds=10)


class StatsdMetrics:
    """A metrics sink that sends UDP datagrams. Lost datagrams are not sent again.

    Args:
        address: The address of the statsd server.
        host_id: The id of this host, which becomes part of every metric's name.
    """

    def __init__(self, *, address: Address, host_id: str) -> None:
        self._client = statsd.StatsClient(
            address.host, address.port, prefix=f"{PREFIX}.{host_id.replace('.', '_')}"
        )

    def count(self, metric: Metric, part: str = "") -> None:
        """Send an increment of a counter."""
        self._client.incr(f"{metric}.{part}" if part else metric.value)

    def time(self, metric: Metric, duration: timedelta) -> None:
        """Send a duration."""
        self._client.timing(metric.value, duration)

    def gauge(self, metric: Metric, value: float) -> None:
        """Send the value of a gauge."""
        self._client.gauge(metric.value, value)


async def report_gauges(
    *, metrics: Metrics, status: StatusReader, clock: Clock
) -> None:
    """Send the gauges every `GAUGE_INTERVAL`, until cancelled."""
    while True:
        await clock.sleep(GAUGE_INTERVAL)
        state = await status.read()
        metrics.gauge(Metric.OPEN, state.open_requests)
        metrics.gauge(Metric.CONFIG_VERSION, state.config_version)
        metrics.gauge(Metric.PEERS_AWAY, sum(not p.alive for p in state.peers))
        metrics.gauge(Metric.PLATFORM_AWAY, int(not state.platform_reachable))
        metrics.gauge(Metric.PEER_BYTES, state.peer_bytes_sent)
        metrics.gauge(Metric.CLAIM_WRITES, state.claim_writes)
