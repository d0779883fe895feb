"""Index of services and their endpoints on a host."""

from collections.abc import Callable

import attrs

from passtally.objects import Endpoint, Service


@attrs.define(kw_only=True)
class ServiceIndex:
    """The services and endpoints in force on this host, with endpoints by service.

    Attributes:
        services_by_id: The services by id.
        endpoints_by_id: The endpoints by id.
        on_new_version: Called after an endpoint was added or replaced whose software
            version its service lacked before.
    """

    services_by_id: dict[str, Service] = attrs.field(factory=dict)
    endpoints_by_id: dict[str, Endpoint] = attrs.field(factory=dict)
    on_new_version: Callable[[], None] = lambda: None
    _endpoint_ids_by_service: dict[str, dict[str, None]] = attrs.field(factory=dict)

    def endpoints_of(self, service_id: str) -> list[Endpoint]:
        """Return a service's endpoints; empty if the service is unknown."""
        ids = self._endpoint_ids_by_service.get(service_id, ())
        return [self.endpoints_by_id[endpoint_id] for endpoint_id in ids]

    def put_endpoint(self, endpoint: Endpoint) -> None:
        """Add or replace an endpoint that registered itself."""
        before = self.endpoints_by_id.get(endpoint.id)
        is_new = endpoint.has_entry and not any(
            other.software == endpoint.software and other.has_entry
            for other in self.endpoints_of(endpoint.service)
        )
        self.endpoints_by_id[endpoint.id] = endpoint
        self._index_service(before, endpoint)
        if is_new:
            self.on_new_version()

    def drop_endpoint(self, endpoint_id: str) -> None:
        """Remove an endpoint that registered itself."""
        self._index_service(self.endpoints_by_id.pop(endpoint_id, None), None)

    def put_service(self, service: Service) -> None:
        """Add or replace a service that the configuration in force names."""
        self.services_by_id[service.id] = service

    def _index_service(self, before: Endpoint | None, after: Endpoint | None) -> None:
        if before is not None:
            del self._endpoint_ids_by_service[before.service][before.id]
        if after is not None:
            ids = self._endpoint_ids_by_service.setdefault(after.service, {})
            ids[after.id] = None
