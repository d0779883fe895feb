"""What a host does when an endpoint starts, exits or is replaced."""

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import attrs

from passtally.adapter import Adapter
from passtally.connection_pool import ConnectionPool
from passtally.endpoint_dialer import EndpointDialer
from passtally.endpoint_links import address_of
from passtally.endpoint_registry import EndpointRegistry
from passtally.engine import Engine
from passtally.fleet import Fleet
from passtally.objects import UNKNOWN_INCARNATION, Endpoint, EndpointState
from passtally.rollouts import Rollouts
from passtally.routes import ActiveRoutes


class EndpointHost(Protocol):
    """A host that forwards requests to endpoints.

    Attributes:
        dialer: Opens the connections to endpoints.
        pool: The open connections to endpoints.
        fleet: The recorded states of endpoints.
        registry: The endpoints that registered themselves.
        rollouts: The orders of new versions; None if they are not followed.
        routes: The routes in force.
    """

    dialer: EndpointDialer
    pool: ConnectionPool
    fleet: Fleet
    registry: EndpointRegistry
    rollouts: Rollouts | None
    routes: ActiveRoutes

    def spawn(self, work: Coroutine[Any, Any, None]) -> object:
        """Start a task that is cancelled when the host stops."""


class EndpointChanges:
    """Updates the parts of a host on a change of an endpoint.

    Args:
        host: The host.
        adapter: Translates between the host and its platform.
        connect: Returns the engine of an endpoint.
    """

    def __init__(
        self,
        *,
        host: EndpointHost,
        adapter: Adapter,
        connect: Callable[[Endpoint], Engine],
    ) -> None:
        self._host = host
        self._adapter = adapter
        self._connect = connect

    def record_start(self, endpoint: Endpoint) -> None:
        """Record an endpoint's new start and close connections to its previous start.

        A call that is sent on such a connection is lost.
        """
        host, address = self._host, address_of(endpoint.url)
        host.fleet.record_start(endpoint)
        if host.rollouts is not None:
            host.rollouts.record_endpoint(endpoint)
        host.dialer.links.forget(address)
        host.pool.invalidate(address)

    def remove(self, endpoint_id: str) -> None:
        """Drop what is known of an endpoint that has been removed."""
        host = self._host
        live = host.fleet.find(endpoint_id)
        if live is not None:
            host.dialer.links.forget(address_of(live.endpoint.url))
        host.fleet.remove(endpoint_id)

    def use_successor(self, ended: Endpoint, successor_id: str) -> None:
        """Use a new endpoint at the address of one that exited.

        The platform reports the new endpoint too, but may be unreachable. The service
        of the new endpoint is certain only if a single service has engines.
        """
        routes = self._host.routes.current
        engines = [info.id for info in routes.services if info.capacity_tokens]
        if engines == [ended.service]:
            successor = attrs.evolve(
                ended,
                id=successor_id,
                state=EndpointState.ACTIVE,
                incarnation=UNKNOWN_INCARNATION,
                software="",
                has_entry=False,
            )
            self._host.spawn(self._put_if_engine(successor))

    async def _put_if_engine(self, successor: Endpoint) -> None:
        if await self._adapter.is_engine(self._connect(successor)):
            self._host.registry.put(successor)
