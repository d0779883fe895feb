"""The gauges of a host: its current state, measured when metrics are read."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from passtally.metrics import Metric

if TYPE_CHECKING:
    from passtally.front_host import FrontHost


def report_gauges(host: "FrontHost") -> None:
    """Set all gauges of a host."""
    for metric, value in _measure(host):
        host.metrics.gauge(metric, value)
    host.admission.report_gauges()


def _measure(host: "FrontHost") -> Iterator[tuple[Metric, float]]:
    now = host.clock.monotonic()
    yield Metric.OPEN, host.drain.open_requests
    yield Metric.CONFIG_VERSION, host.config_version
    yield Metric.CONFIG_BEHIND, round(host.config_behind.total_seconds() * 1000)
    yield Metric.PLATFORM_AWAY, int(not host.watch.is_receiving)
    yield Metric.QUARANTINED, len(host.guard.list_quarantined())
    yield Metric.LINKS_DOWN, len(host.dialer.links.list_down())
    yield Metric.BRITTLE, host.fleet.send_limits.brittle.count(now=now)
    yield Metric.TUNNELS, host.tunnels.count
    yield Metric.TUNNELS_SERVED, host.servers.tunnels.count
    yield Metric.PEER_BYTES, host.peers.bytes_sent + host.datagrams.bytes_sent
    yield Metric.UNREAD, host.front_server.output.total
    yield Metric.BODIES_HELD, host.front_server.bodies.held
    yield Metric.PACES_KNOWN, host.fleet.speeds.count_known(now=now)
    yield Metric.SLOW_ENDPOINTS, host.fleet.call_times.count_slow()
    if host.rollouts is not None:
        yield Metric.ROLLOUTS, host.rollouts.active_count
