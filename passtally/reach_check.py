"""Checks whether a host reaches any endpoint of a service."""

import asyncio

from passtally.fleet import Fleet
from passtally.objects import EndpointState
from passtally.service_index import ServiceIndex

#: Limit of endpoints of a service that are connected to at once to check whether any is
#: reachable. Endpoints of one failure domain mostly fail and recover together.
MAX_REACH_CHECKS = 6


class ReachCheck:
    """Connects to endpoints of a service until one accepts.

    Args:
        catalog: The endpoints by service.
        fleet: The live endpoints.
    """

    def __init__(self, *, catalog: ServiceIndex, fleet: Fleet) -> None:
        self._catalog = catalog
        self._fleet = fleet

    async def has_reachable(self, service_id: str, failure_domain: str) -> bool:
        """Check whether a service has an endpoint that accepts connections.

        Connects to some endpoints of one failure domain first, then to some others. A
        service without active endpoints counts as reachable.

        Args:
            service_id: The service.
            failure_domain: The domain whose endpoints are most likely reachable.
        """
        in_use = [
            endpoint
            for endpoint in self._catalog.endpoints_of(service_id)
            if endpoint.state is EndpointState.ACTIVE
        ]
        near = [item for item in in_use if item.failure_domain == failure_domain]
        far = [item for item in in_use if item.failure_domain != failure_domain]
        for group in (near[:MAX_REACH_CHECKS], far[:MAX_REACH_CHECKS]):
            engines = [self._fleet.find(endpoint.id).engine for endpoint in group]
            if any(await asyncio.gather(*(item.is_reachable() for item in engines))):
                return True
        return not in_use
