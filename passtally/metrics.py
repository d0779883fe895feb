"""Metrics by statsd; docs/METRICS.md is made from the names here."""

from datetime import timedelta
from enum import StrEnum
from typing import Protocol

import statsd
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from passtally.clock import Clock
from passtally.settings import Address
from passtally.status import StatusReader

PREFIX = "passtally"
GAUGE_INTERVAL = timedelta(seconds=10)
#: Upper bounds of the histograms' buckets, in seconds: the aims lie at 0.1 to 4.5.
TIME_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1, 2, 4.5, 10, 25)


class Metric(StrEnum):
    """Every metric's name.

    Attributes:
        kind: The statsd type.
        unit: The unit.
        meaning: What it tells, for docs/METRICS.md.
    """

    kind: str
    unit: str
    meaning: str

    def __new__(cls, value: str, kind: str, unit: str, meaning: str) -> "Metric":
        """Make one metric."""
        metric = str.__new__(cls, value)
        metric._value_ = value
        metric.kind = kind
        metric.unit = unit
        metric.meaning = meaning
        return metric

    REQUESTS = "requests", "counter", "1", "Generations taken or taken up."
    REFUSED = "refused", "counter", "1", "Refusals; the error code follows the name."
    ATTEMPTS = "attempts", "counter", "1", "Attempts started."
    LOST = "lost", "counter", "1", "Attempts lost; the kind follows the name."
    FIRST_TOKEN = "first_token", "timer", "ms", "From dispatch to the first token."
    RESUME = "resume", "timer", "ms", "From an attempt's loss to the next token."
    ANSWER = "answer", "timer", "ms", "From a request's arrival to its end."
    OPEN = "open", "gauge", "1", "Open requests."
    CONFIG_VERSION = "config_version", "gauge", "1", "Configuration version in force."
    PEERS_AWAY = "peers_away", "gauge", "1", "Hosts out of reach."
    PLATFORM_AWAY = (
        "platform_away",
        "gauge",
        "0 or 1",
        "Whether no changes of the platform arrive.",
    )
    PEER_BYTES = "peer_bytes", "gauge", "bytes", "Sent to peers since the start."
    CLAIM_WRITES = "claim_writes", "gauge", "1", "Claim writes since the start."


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


class TextMetrics:
    """Keeps metrics until they are fetched as text."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters: dict[Metric, Counter] = {}
        self._histograms: dict[Metric, Histogram] = {}
        self._gauges: dict[Metric, Gauge] = {}
        for metric in Metric:
            self._add(metric)

    def count(self, metric: Metric, part: str = "") -> None:
        """Count one."""
        self._counters[metric].labels(part=part).inc()

    def time(self, metric: Metric, duration: timedelta) -> None:
        """Record how long something took."""
        self._histograms[metric].observe(duration.total_seconds())

    def gauge(self, metric: Metric, value: float) -> None:
        """Record how much there is of something."""
        self._gauges[metric].set(value)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)

    def _add(self, metric: Metric) -> None:
        name = f"{PREFIX}_{metric}"
        meaning, registry = metric.meaning, self._registry
        if metric.kind == "counter":
            self._counters[metric] = Counter(name, meaning, ["part"], registry=registry)
        elif metric.kind == "timer":
            self._histograms[metric] = Histogram(
                f"{name}_seconds", meaning, buckets=TIME_BUCKETS, registry=registry
            )
        else:
            self._gauges[metric] = Gauge(name, meaning, registry=registry)


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
