"""The gauges of a host: its current state, measured when metrics are read."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Protocol

from passtally.clock import Clock
from passtally.crash_guard import CrashGuard
from passtally.datagrams import Datagrams
from passtally.drain import Drain
from passtally.endpoint_dialer import EndpointDialer
from passtally.fleet import Fleet
from passtally.host_admission import HostAdmission
from passtally.host_servers import HostServers
from passtally.metrics import Metric, Metrics
from passtally.peers import Peers
from passtally.rollouts import Rollouts
from passtally.shared_watch import SharedWatch
from passtally.tunnel_hosts import TunnelHosts


class MeasuredHost(Protocol):
    """A host whose state is reported by gauges.

    Attributes:
        clock: The clock.
        metrics: The sink of the gauges.
        admission: The admission control.
        drain: Counts the open requests.
        watch: The watch of the store's objects.
        guard: Knows the quarantined requests.
        dialer: Opens the connections to endpoints.
        fleet: The recorded states of endpoints.
        tunnels: The tunnels to endpoints through other hosts.
        servers: The servers at the host's addresses.
        peers: The links to other hosts.
        datagrams: The datagrams to and from other hosts.
    """

    clock: Clock
    metrics: Metrics
    admission: HostAdmission
    drain: Drain
    watch: SharedWatch
    guard: CrashGuard
    dialer: EndpointDialer
    fleet: Fleet
    tunnels: TunnelHosts
    servers: HostServers
    peers: Peers
    datagrams: Datagrams

    @property
    def config_version(self) -> int:
        """The version of the routes in force; 0 before the first."""

    @property
    def config_behind(self) -> timedelta:
        """The time since newer routes than those in force were first heard of."""

    @property
    def rollouts(self) -> Rollouts | None:
        """The trials of new versions; None if the settings disable them."""


def report_gauges(host: MeasuredHost) -> None:
    """Set all gauges of a host."""
    for metric, value in _measure(host):
        host.metrics.gauge(metric, value)
    host.admission.report_gauges()


def _measure(host: MeasuredHost) -> Iterator[tuple[Metric, float]]:
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
    yield Metric.UNREAD, host.servers.callers.output.total
    yield Metric.BODIES_HELD, host.servers.callers.bodies.held
    yield Metric.PACES_KNOWN, host.fleet.speeds.count_known(now=now)
    yield Metric.SLOW_ENDPOINTS, host.fleet.call_times.count_slow()
    if host.rollouts is not None:
        yield Metric.ROLLOUTS, host.rollouts.active_count
