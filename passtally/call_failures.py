"""Ejects endpoints that accept plain calls and fail many of them."""

from collections.abc import Callable

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.failing_endpoints import CallRecord
from passtally.live_endpoint import LiveEndpoint
from passtally.objects import Endpoint, EndpointState
from passtally.service_index import ServiceIndex


class CallFailures:
    """The results of this host's plain calls, by service.

    Args:
        catalog: The endpoints.
        clock: The clock.
        find: Returns the state of an endpoint.
        allows: Returns whether an endpoint's version gets requests.
    """

    def __init__(
        self,
        *,
        catalog: ServiceIndex,
        clock: Clock,
        find: Callable[[str], LiveEndpoint | None],
        allows: Callable[[Endpoint], bool],
    ) -> None:
        self._catalog = catalog
        self._clock = clock
        self._find = find
        self._allows = allows
        self._calls_by_service: dict[str, CallRecord] = {}

    def record(self, live: LiveEndpoint, *, is_fault: bool) -> None:
        """Record the result of a plain call, and eject an endpoint that fails many.

        Args:
            live: The endpoint that the call was sent to.
            is_fault: Whether it was lost, or answered with a failure of the endpoint.
        """
        now = self._clock.monotonic()
        endpoint = live.endpoint
        record = self._calls_by_service.setdefault(endpoint.service, CallRecord())
        record.add(endpoint.id, is_failure=is_fault, now=now)
        if not is_fault:
            live.record_answer(now)
            return
        live.deprioritize(now)
        others = self.list_failing(endpoint.service) - {endpoint.id}
        if self._may_eject(endpoint.service, len(others) + 1) and (
            record.is_failing(endpoint.id, excluded=others, now=now)
        ):
            live.eject_failing(now)
            log_event("endpoints", "Endpoint ejected: fails calls.", peer=endpoint.id)

    def list_failing(self, service_id: str) -> frozenset[str]:
        """Return the endpoints of a service that were ejected for failed calls."""
        return frozenset(
            endpoint.id
            for endpoint in self._catalog.endpoints_of(service_id)
            if self._find(endpoint.id).is_failing
        )

    def _may_eject(self, service_id: str, count: int) -> bool:
        """Return whether a number of endpoints of a service may be ejected at once.

        At most half of those in use: the others can take over their calls, and calls
        that fail at more than half are not the fault of single endpoints.
        """
        in_use = sum(
            endpoint.state is EndpointState.ACTIVE and self._allows(endpoint)
            for endpoint in self._catalog.endpoints_of(service_id)
        )
        return 2 * count <= in_use
