"""Metrics by statsd; docs/METRICS.md is made from the names here."""

from datetime import timedelta
from enum import StrEnum
from typing import Protocol

import statsd

from passtally.clock import Clock
from passtally.settings import Address
from passtally.status import StatusReader

PREFIX = "passtally"
GAUGE_INTERVAL = timedelta(seconds=10)


class Metric(StrEnum):
    """Every metric's name. The comment above each is its meaning and unit."""

    #: Requests taken, a counter.
    REQUESTS = "requests"
    #: Refusals, a counter; the error code follows the name.
    REFUSED = "refused"
    #: Attempts started, a counter.
    ATTEMPTS = "attempts"
    #: Attempts lost, a counter; how they were lost follows the name.
    LOST = "lost"
    #: From a request's dispatch to its first token, in milliseconds.
    FIRST_TOKEN = "first_token"
    #: From an attempt's loss to the next token, in milliseconds.
    RESUME = "resume"
    #: Open requests, a gauge.
    OPEN = "open"
    #: The configuration version in force, a gauge.
    CONFIG_VERSION = "config_version"
    #: Hosts out of reach, a gauge.
    PEERS_AWAY = "peers_away"
    #: Whether the platform is out of reach, a gauge of 0 or 1.
    PLATFORM_AWAY = "platform_away"
    #: Bytes sent to peers since the start, a gauge.
    PEER_BYTES = "peer_bytes"
    #: Writes sent for claims since the start, a gauge.
    CLAIM_WRITES = "claim_writes"


class Metrics(Protocol):
    """Where metrics go."""

    def count(self, metric: Metric, part: str = "") -> None:
        """Count one."""

    def time(self, metric: Metric, duration: timedelta) -> None:
        """Record how long something took."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Record how much there is of something."""


class NoMetrics:
    """Drops all metrics."""

    def count(self, metric: Metric, part: str = "") -> None:
        """Count one."""

    def time(self, metric: Metric, duration: timedelta) -> None:
        """Record how long something took."""

    def gauge(self, metric: Metric, value: float) -> None:
        """Record how much there is of something."""


class StatsdMetrics:
    """Sends metrics by UDP; one that is lost is lost.

    Args:
        address: Where they go.
        host_id: This host's name, part of each metric's name.
    """

    def __init__(self, *, address: Address, host_id: str) -> None:
        self._client = statsd.StatsClient(
            address.host, address.port, prefix=f"{PREFIX}.{host_id.replace('.', '_')}"
        )

    def count(self, metric: Metric, part: str = "") -> None:
        """Count one."""
        self._client.incr(f"{metric}.{part}" if part else metric.value)

    def time(self, metric: Metric, duration: timedelta) -> None:
        """Record how long something took."""
        self._client.timing(metric.value, duration)

    def gauge(self, metric: Metric, value: float) -> None:
        """Record how much there is of something."""
        self._client.gauge(metric.value, value)


async def report_gauges(
    *, metrics: Metrics, status: StatusReader, clock: Clock
) -> None:
    """Send the gauges now and then, for ever."""
    while True:
        await clock.sleep(GAUGE_INTERVAL)
        state = await status.read()
        metrics.gauge(Metric.OPEN, state.open_requests)
        metrics.gauge(Metric.CONFIG_VERSION, state.config_version)
        metrics.gauge(Metric.PEERS_AWAY, sum(not p.alive for p in state.peers))
        metrics.gauge(Metric.PLATFORM_AWAY, int(not state.platform_reachable))
        metrics.gauge(Metric.PEER_BYTES, state.peer_bytes_sent)
        metrics.gauge(Metric.CLAIM_WRITES, state.claim_writes)
