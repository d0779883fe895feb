"""Applies the platform's objects on this host: routes, endpoints and roll-outs."""

import asyncio
from collections.abc import Callable, Sequence

from passtally.adapter import Adapter
from passtally.decision import log_event
from passtally.endpoint_registry import EndpointRegistry
from passtally.object_store import StoredObject
from passtally.objects import Service, ServiceKind
from passtally.rollouts import Rollouts
from passtally.routes import ActiveRoutes
from passtally.service_index import ServiceIndex
from passtally.store_order import era_of


class ObjectApplier:
    """Applies changed objects. An unreadable object does not affect the others.

    Args:
        adapter: Decodes the objects.
        routes: The routes in force.
        catalog: The services and endpoints.
        registry: The endpoints that registered themselves.
        rollouts: The roll-outs; None if this host does not follow them.
        config_ready: Set once the routes and at least one endpoint are known.
        routes_changed: Called with the configuration version of newly applied routes.
    """

    def __init__(
        self,
        *,
        adapter: Adapter,
        routes: ActiveRoutes,
        catalog: ServiceIndex,
        registry: EndpointRegistry,
        rollouts: Rollouts | None,
        config_ready: asyncio.Event,
        routes_changed: Callable[[int], None],
    ) -> None:
        self._adapter = adapter
        self._routes = routes
        self._catalog = catalog
        self._registry = registry
        self.rollouts = rollouts
        self._config_ready = config_ready
        self._routes_changed = routes_changed

    def apply_routes(self, changed: Sequence[StoredObject]) -> None:
        """Apply changed routes, unless newer ones are in force already."""
        for stored in changed:
            try:
                routes = self._adapter.decode_routes(stored)
            except ValueError as error:
                log_event("config", "Ignored a broken configuration.", why=error)
                continue
            if routes is None or not self._routes.apply(routes, source=stored):
                continue
            for service in routes.services:
                self._catalog.put_service(
                    Service(id=service.id, kind=ServiceKind.MODEL, model=service.id)
                )
            self._routes_changed(routes.version)
            log_event("config", "In force.", version=routes.version)
            self._record_learned()

    def apply_endpoints(self, changed: Sequence[StoredObject]) -> None:
        """Apply endpoint entries that were added, changed or removed."""
        newest = max((stored.version for stored in changed), default=0)
        self._registry.record_era(era_of(newest))
        for stored in changed:
            endpoint_id = stored.key.removeprefix(self._adapter.endpoints_prefix)
            if stored.is_removed:
                self._registry.remove([endpoint_id])
                continue
            try:
                self._registry.put(self._adapter.decode_endpoint(stored))
            except ValueError as error:
                self._registry.put_unreadable(endpoint_id, reason=str(error))
        self._record_learned()

    def apply_rollouts(self, changed: Sequence[StoredObject]) -> None:
        """Apply roll-out orders and their recorded states."""
        for stored in changed:
            name = stored.key.removeprefix(self._adapter.rollouts_prefix)
            if stored.is_removed:
                self.rollouts.remove_order(name)
                continue
            try:
                self.rollouts.apply_record(self._adapter.decode_rollout(stored))
            except ValueError as error:
                log_event("rollout", "Ignored a broken order.", service=name, why=error)

    def _record_learned(self) -> None:
        if self._routes.current is not None and self._catalog.endpoints_by_id:
            self._config_ready.set()
