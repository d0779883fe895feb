"""The admission control of a host, with the rooms that it shares with other hosts."""

from collections.abc import Callable

from passtally.clock import Clock
from passtally.datagrams import Datagrams
from passtally.fleet import Fleet
from passtally.gate import Gate
from passtally.metrics import Metric, Metrics
from passtally.origin_keepers import MemberSource
from passtally.routes import ActiveRoutes
from passtally.settings import Settings, Switch
from passtally.shared_rooms import SharedRoomKeeper
from passtally.usage import ServiceUsage
from passtally.usage_exchange import UsageExchange
from passtally.usage_table import UsageTable


class HostAdmission:
    """Builds and holds what admits the requests of a host.

    Args:
        settings: Returns the settings in force.
        routes: The routes in force.
        fleet: The endpoints.
        members: The known hosts.
        datagrams: The datagrams to and from other hosts.
        clock: The clock.
        metrics: The sink of metrics.

    Attributes:
        gate: Admits the requests.
        exchange: Tells other hosts what this one uses.
    """

    def __init__(
        self,
        *,
        settings: Callable[[], Settings],
        routes: ActiveRoutes,
        fleet: Fleet,
        members: MemberSource,
        datagrams: Datagrams,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._routes = routes
        self._clock = clock
        self._metrics = metrics
        self._table = UsageTable()
        shared_rooms = SharedRoomKeeper(
            own_id=lambda: settings().host_id,
            is_shared=self._is_shared,
            views=fleet.views,
            table=self._table,
            clock=clock,
        )
        self.gate = Gate(
            fleet=fleet, clock=clock, shared_rooms=shared_rooms, metrics=metrics
        )
        self.exchange = UsageExchange(
            members=members,
            datagrams=datagrams,
            clock=clock,
            table=self._table,
            speeds=fleet.speeds,
            promises=self.gate.promises,
            usage_by_service=self._shared_usage,
            on_totals=self.gate.admit_waiting,
        )

    def report_gauges(self) -> None:
        """Set the gauges of admission and of the shared rooms."""
        self.gate.report_gauges()
        age = self._table.age(self._clock.monotonic())
        if age is not None:
            self._metrics.gauge(Metric.USAGE_AGE, round(age.total_seconds() * 1000))

    def _is_shared(self, service_id: str) -> bool:
        """Return whether all hosts share the room of a service."""
        current, mode = self._routes.current, self._settings().shared_admission
        if current is None or not self._routes.capacity_of(service_id):
            return False
        if mode is Switch.AUTO:
            return current.has_competing_priorities(service_id)
        return mode is Switch.ON

    def _shared_usage(self) -> dict[str, ServiceUsage]:
        """Return the use by this host of each service whose room is shared."""
        return {
            service: usage
            for service, usage in self.gate.usage_by_service().items()
            if self._is_shared(service)
        }
