"""The text in which metrics are fetched."""

from passtally.metrics import PREFIX, Metric
from passtally.text_metrics import TextMetrics

#: Collectors may keep no more of a text than so many bytes.
KEPT_BYTES = 4000


class TestOrder:
    def test_how_a_host_stands_is_told_before_what_it_has_done(self):
        """A record of hosts that fell behind had no versions: buckets came first."""
        metrics = TextMetrics()
        for number in range(50):
            metrics.count(Metric.REFUSED, f"code-{number}")
        kept = metrics.render()[:KEPT_BYTES].decode()
        gauges = [metric for metric in Metric if metric.kind == "gauge"]
        assert Metric.CONFIG_BEHIND in gauges
        assert all(f"\n{PREFIX}_{metric} " in kept for metric in gauges)
