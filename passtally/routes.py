"""Which service a request goes to, and what its caller may expect. Pure.

A set of routes is read as a whole and replaced as a whole, with a version that
only rises.
"""

import hashlib
from collections.abc import Mapping, Sequence
from datetime import timedelta
from enum import StrEnum

import attrs

from passtally.http_server import ServerLimits
from passtally.store_order import era_of


class CallKind(StrEnum):
    """What may be done with a request that was lost."""

    #: It may run more than once.
    SAFE = "safe"
    #: It may run once at most.
    UNSAFE = "unsafe"
    #: Its answer is a series of events.
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class ServiceShare:
    """The part of a route's requests that goes to one service."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """One route.

    Attributes:
        name: Its name.
        host: The host name that requests bring.
        path_prefix: What their paths begin with.
        kind: What may be done with a request that was lost.
        timeout: The longest a request is held.
        target: The time to the answer, or a stream's first event, that is aimed at.
        max_gap: The longest pause between a stream's events that is aimed at.
        priority: Its rank; 0 is the most urgent.
        shares: The services that its requests go to.
        max_attempts: How many endpoints one request may be sent to.
        is_public: Whether no key is needed.
        is_resumable: Whether a stream may be taken up at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout: timedelta
    target: timedelta
    max_gap: timedelta | None = None
    priority: int = 0
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run again after it was lost."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.SAFE

    def service_for(self, key: bytes) -> str:
        """Return the service of one request, the same for the same key.

        Args:
            key: What identifies the request or its session.
        """
        total = sum(share.weight for share in self.shares)
        digest = hashlib.blake2b(key, digest_size=8).digest()
        point = int.from_bytes(digest) * total >> 64
        for share in self.shares:
            if point < share.weight:
                return share.service
            point -= share.weight
        return self.shares[-1].service


@attrs.frozen(kw_only=True)
class ServiceInfo:
    """What is known of a service.

    Attributes:
        id: Its name.
        max_connections: The connections that one endpoint takes from all hosts.
        keeps_replicas: Whether an endpoint can keep a replica of another's run.
        replica_ttl: How long a replica is kept after its last update.
        capacity_tokens: The tokens that one endpoint's memory holds; 0 if it
            generates nothing.
    """

    id: str
    max_connections: int = 0
    keeps_replicas: bool = False
    replica_ttl: timedelta = timedelta(0)
    capacity_tokens: int = 0


@attrs.frozen(kw_only=True)
class WorkspaceKeys:
    """One workspace and the keys that its callers bring.

    Attributes:
        workspace: Its name.
        keys: Its keys.
        priority: Its rank; it goes before a route's.
    """

    workspace: str
    keys: tuple[str, ...]
    priority: int | None = None


@attrs.frozen(kw_only=True)
class RouteSet:
    """All routes of one version of the configuration.

    Attributes:
        version: The version.
        routes: The routes.
        services: The services.
        workspaces: The workspaces; empty where no keys are needed.
        limits: What callers may send.
    """

    version: int
    routes: Sequence[Route]
    services: Sequence[ServiceInfo] = ()
    workspaces: Sequence[WorkspaceKeys] = ()
    limits: ServerLimits = attrs.field(factory=ServerLimits)
    _routes_by_host: Mapping[str, Sequence[Route]] = attrs.field(init=False)
    _workspaces_by_key: Mapping[str, WorkspaceKeys] = attrs.field(init=False)
    services_by_id: Mapping[str, ServiceInfo] = attrs.field(init=False)

    @_routes_by_host.default
    def _group_routes(self) -> Mapping[str, Sequence[Route]]:
        grouped: dict[str, list[Route]] = {}
        for route in self.routes:
            grouped.setdefault(route.host.lower(), []).append(route)
        for routes in grouped.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        return grouped

    @_workspaces_by_key.default
    def _index_keys(self) -> Mapping[str, WorkspaceKeys]:
        return {key: item for item in self.workspaces for key in item.keys}

    @services_by_id.default
    def _index_services(self) -> Mapping[str, ServiceInfo]:
        return {service.id: service for service in self.services}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of a path, or None."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, key: str) -> WorkspaceKeys | None:
        """Return whose key it is, or None."""
        return self._workspaces_by_key.get(key)

    @property
    def needs_keys(self) -> bool:
        """Whether requests bring a workspace's key."""
        return bool(self.workspaces)


@attrs.define(kw_only=True)
class ActiveRoutes:
    """The newest set of routes that this host knows.

    Attributes:
        current: The set, or None before the first.
    """

    current: RouteSet | None = None
    _stored_version: int = 0
    _is_renewed: bool = False

    def keeps_replicas(self, service_id: str) -> bool:
        """Return whether a service's endpoints keep replicas of each other's runs."""
        info = self._find_service(service_id)
        return info is not None and info.keeps_replicas

    def capacity_of(self, service_id: str) -> int:
        """Return the tokens that an endpoint's memory holds; 0 where not known."""
        info = self._find_service(service_id)
        return 0 if info is None else info.capacity_tokens

    def _find_service(self, service_id: str) -> ServiceInfo | None:
        return self.current.services_by_id.get(service_id) if self.current else None

    def renew(self) -> None:
        """Take the next set at whatever version: it may come from another store.

        Not one of a later era: it is the copy from which the store came back.
        """
        self._is_renewed = True

    def take(self, routes: RouteSet, *, stored_version: int = 0) -> bool:
        """Put a set in force unless a newer one is; return whether it was put.

        Args:
            routes: The set.
            stored_version: The version of the object that holds it.
        """
        is_of_copy = era_of(stored_version) > era_of(self._stored_version)
        is_renewed, self._is_renewed = self._is_renewed and not is_of_copy, False
        is_newer = self.current is None or routes.version > self.current.version
        if not is_newer and not is_renewed:
            return False
        self.current = routes
        self._stored_version = stored_version
        return True
