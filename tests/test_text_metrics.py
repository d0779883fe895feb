"""The Prometheus text of the metrics."""

from passtally.metrics import PREFIX, Metric
from passtally.text_metrics import TextMetrics

#: Number of bytes of the text that a collector may keep.
COLLECTED_BYTES = 4000


class TestOrder:
    def test_gauges_come_before_counters_and_histograms(self):
        """Cut-off texts must show the configuration versions of hosts that fell behind.

        They did not while the histogram buckets came first.
        """
        metrics = TextMetrics()
        for number in range(50):
            metrics.count(Metric.REFUSED, f"code-{number}")
        collected = metrics.render()[:COLLECTED_BYTES].decode()
        gauges = [metric for metric in Metric if metric.kind == "gauge"]
        assert Metric.CONFIG_BEHIND in gauges
        assert all(f"\n{PREFIX}_{metric} " in collected for metric in gauges)
