"""Metrics in the Prometheus text format, for collectors that scrape the host."""

from datetime import timedelta

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from passtally.metrics import PREFIX, Metric

#: Upper bounds of the histogram buckets, in seconds. Latency targets are 0.1 to 4.5 s.
TIME_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1, 2, 4.5, 10, 25)


class TextMetrics:
    """A metrics sink that keeps the current values and renders them as text."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._counters: dict[Metric, Counter] = {}
        self._histograms: dict[Metric, Histogram] = {}
        self._gauges: dict[Metric, Gauge] = {}
        for metric in Metric:
            self._add(metric)

    def count(self, metric: Metric, part: str = "") -> None:
        """Add one to a counter."""
        self._counters[metric].labels(part=part).inc()

    def time(self, metric: Metric, duration: timedelta) -> None:
        """Record a duration in the histogram of a timer."""
        self._histograms[metric].observe(duration.total_seconds())

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self._gauges[metric].set(value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
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
