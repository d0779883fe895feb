"""What a host does when an endpoint starts, exits or is replaced."""

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import attrs

from passtally.adapter import Adapter
from passtally.clock import Clock
from passtally.connection_pool import ConnectionPool
from passtally.decision import log_event
from passtally.departures import Departures
from passtally.endpoint_dialer import EndpointDialer
from passtally.endpoint_links import address_of
from passtally.endpoint_registry import EndpointRegistry
from passtally.engine import Engine
from passtally.fleet import Fleet
from passtally.objects import UNKNOWN_INCARNATION, Endpoint, EndpointState
from passtally.rollouts import Rollouts
from passtally.routes import ActiveRoutes
from passtally.service_index import ServiceIndex
from passtally.settings import Settings


class EndpointHost(Protocol):
    """A host that forwards requests to endpoints.

    Attributes:
        catalog: The known endpoints.
        clock: The clock.
        departures: The endpoints that have ended, and their successors.
        dialer: Opens the connections to endpoints.
        pool: The open connections to endpoints.
        fleet: The recorded states of endpoints.
        registry: The endpoints that registered themselves.
        rollouts: The orders of new versions; None if they are not followed.
        routes: The routes in force.
        settings: The settings in force.
    """

    catalog: ServiceIndex
    clock: Clock
    departures: Departures
    dialer: EndpointDialer
    pool: ConnectionPool
    fleet: Fleet
    registry: EndpointRegistry
    rollouts: Rollouts | None
    routes: ActiveRoutes
    settings: Settings

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

        The platform reports the new endpoint too, but may be unreachable. Without its
        entry it is used only if it is certainly of the same service.
        """
        if self._host.registry.use_set_aside(successor_id):
            return
        if not self._is_address_kept(ended):
            log_event(
                "successor",
                "Waits for its entry: its service is not known.",
                peer=successor_id,
                ended=ended.id,
            )
        elif self._has_only_engines_of(ended.service):
            self._host.spawn(self._put_if_engine(ended, successor_id))

    def learn_successor(self, ended_id: str, successor_id: str) -> None:
        """Use a new endpoint that another host has found at the address of one.

        The address may have been taken over several times since. An endpoint that is
        not known here any more has a successor that is known already.
        """
        catalog, departures = self._host.catalog, self._host.departures
        ended = catalog.endpoints_by_id.get(ended_id)
        if ended is None or not self._has_only_engines_of(ended.service):
            return
        seen = {ended_id}
        while successor_id and successor_id not in seen:
            seen.add(successor_id)
            if successor_id in catalog.endpoints_by_id:
                return
            self._host.registry.put(_successor_of(ended, successor_id))
            successor_id = departures.find_successor(successor_id)

    def _is_address_kept(self, ended: Endpoint) -> bool:
        """Return whether only an endpoint of the same service can have the address.

        No answer names the service of its sender. But an address passes to another
        service only some time after its endpoint has ended, and the new endpoint has
        just answered.
        """
        live = self._host.fleet.find(ended.id)
        if live is None or live.alive_at is None:
            return False
        since_alive = self._host.clock.monotonic() - live.alive_at
        return since_alive < self._host.settings.address_reuse_after

    def _has_only_engines_of(self, service: str) -> bool:
        routes = self._host.routes.current
        engines = [info.id for info in routes.services if info.capacity_tokens]
        return engines == [service]

    async def _put_if_engine(self, ended: Endpoint, successor_id: str) -> None:
        successor = _successor_of(ended, successor_id)
        if await self._adapter.is_engine(self._connect(successor)):
            self._host.registry.put(successor)
            self._host.departures.record(
                ended.start, channel="its address", successor=successor_id
            )


def _successor_of(ended: Endpoint, successor_id: str) -> Endpoint:
    return attrs.evolve(
        ended,
        id=successor_id,
        state=EndpointState.ACTIVE,
        incarnation=UNKNOWN_INCARNATION,
        software="",
        has_entry=False,
        created_version=None,
    )
