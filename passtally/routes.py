"""Routes: map a request to a service, with its limits. Pure, no I/O.

A set of routes is replaced as a whole. Its version only rises, except after a change
of the store.
"""

import hashlib
from collections.abc import Mapping, Sequence
from datetime import timedelta
from enum import StrEnum

import attrs

from passtally.http_exchange import ServerLimits
from passtally.object_store import StoredObject
from passtally.priority import Priority
from passtally.store_order import era_of


class CallKind(StrEnum):
    """Kind of a route's calls, which determines whether lost requests are retried."""

    #: A call that may run more than once.
    SAFE = "safe"
    #: A call that must run at most once.
    UNSAFE = "unsafe"
    #: A call whose answer is a stream of events.
    STREAM = "stream"


@attrs.frozen(kw_only=True)
class ServiceShare:
    """A service of a route and its weight in the traffic split."""

    service: str
    weight: int


@attrs.frozen(kw_only=True)
class Route:
    """A rule that maps requests by host name and path prefix to services.

    Attributes:
        name: The route's name.
        host: The host name of the requests, case-insensitive.
        path_prefix: The prefix of the requests' paths.
        kind: Whether a lost request is retried, and whether the answer is a stream.
        timeout: Maximum duration of a request in this system.
        target: Target time to the answer, or to a stream's first event.
        max_gap: Target maximum of the pause between two events of a stream.
        rank: Rank of the requests' priority; 0 is the most urgent.
        shares: The services that serve the requests, with their weights.
        max_attempts: Maximum number of attempts per request.
        is_public: Whether requests need no key.
        is_resumable: Whether a stream may be resumed at another endpoint.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout: timedelta
    target: timedelta
    max_gap: timedelta | None = None
    rank: int = 0
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_retryable(self) -> bool:
        """Whether a lost request may be retried."""
        if self.kind is CallKind.STREAM:
            return self.is_resumable
        return self.kind is CallKind.SAFE

    def service_for(self, key: bytes) -> str:
        """Return the service for a request; equal keys give the same service.

        Args:
            key: Identifies the request or its session.
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
    """The configuration of a service's endpoints.

    Attributes:
        id: The service's id.
        max_connections: Maximum number of connections that one endpoint accepts from
            all hosts together.
        keeps_replicas: Whether an endpoint can keep a replica of another's run.
        replica_ttl: Time until a replica expires after its last update.
        capacity_tokens: Capacity of one endpoint's KV memory in tokens; 0 if the
            service does not generate tokens.
    """

    id: str
    max_connections: int = 0
    keeps_replicas: bool = False
    replica_ttl: timedelta = timedelta(0)
    capacity_tokens: int = 0


@attrs.frozen(kw_only=True)
class WorkspaceKeys:
    """A workspace and the API keys of its callers.

    Attributes:
        workspace: The workspace's name.
        keys: The keys that authenticate its callers.
        rank: Rank of its requests' priority, which goes before that of the route; None
            leaves the route's.
    """

    workspace: str
    keys: tuple[str, ...]
    rank: int | None = None


@attrs.frozen(kw_only=True)
class RouteSet:
    """All routes of one version of the configuration.

    Attributes:
        version: The version of the configuration.
        routes: The routes, in any order.
        services: The services that the routes use.
        workspaces: The workspaces; empty if requests need no keys.
        limits: Limits of requests and connections at the HTTP server.
    """

    version: int
    routes: Sequence[Route]
    services: Sequence[ServiceInfo] = ()
    workspaces: Sequence[WorkspaceKeys] = ()
    limits: ServerLimits = attrs.field(factory=ServerLimits)
    _routes_by_host: Mapping[str, Sequence[Route]] = attrs.field(init=False)
    _workspaces_by_key: Mapping[str, WorkspaceKeys] = attrs.field(init=False)
    services_by_id: Mapping[str, ServiceInfo] = attrs.field(init=False)
    _contended_services: frozenset[str] = attrs.field(init=False)

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

    @_contended_services.default
    def _find_contended(self) -> frozenset[str]:
        """Return the services that requests of several priorities go to."""
        one_of_each_rank = {item.rank: item for item in self.workspaces}.values()
        priorities_by_service: dict[str, set[Priority]] = {}
        for route in self.routes:
            priorities = {
                priority_of(route, workspace)
                for workspace in one_of_each_rank or (None,)
            }
            for share in route.shares:
                known = priorities_by_service.setdefault(share.service, set())
                known |= priorities
        return frozenset(
            service
            for service, priorities in priorities_by_service.items()
            if len(priorities) > 1
        )

    @services_by_id.default
    def _index_services(self) -> Mapping[str, ServiceInfo]:
        return {service.id: service for service in self.services}

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix, or None."""
        for route in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_workspace(self, key: str) -> WorkspaceKeys | None:
        """Return the workspace that a key belongs to, or None."""
        return self._workspaces_by_key.get(key)

    def has_competing_priorities(self, service_id: str) -> bool:
        """Return whether requests of different priorities compete for a service."""
        return service_id in self._contended_services

    @property
    def needs_keys(self) -> bool:
        """Whether requests must carry a workspace's key, except on public routes."""
        return bool(self.workspaces)


def priority_of(route: Route, workspace: WorkspaceKeys | None) -> Priority:
    """Return the priority of a request: its workspace's, or else its route's.

    The route's decides between requests whose workspaces are equally urgent.
    """
    if workspace is None or workspace.rank is None:
        return Priority(rank=route.rank, route_rank=route.rank)
    return Priority(rank=workspace.rank, route_rank=route.rank)


@attrs.define(kw_only=True)
class ActiveRoutes:
    """The set of routes in force on this host.

    Attributes:
        current: The set in force, or None before the first was applied.
        source: The stored object that contains it.
    """

    current: RouteSet | None = None
    source: StoredObject | None = None
    _accepts_any_version: bool = False

    def keeps_replicas(self, service_id: str) -> bool:
        """Return whether a service's endpoints keep replicas of each other's runs."""
        info = self._find_service(service_id)
        return info is not None and info.keeps_replicas

    def capacity_of(self, service_id: str) -> int:
        """Return the KV capacity of a service's endpoint in tokens; 0 if unknown."""
        info = self._find_service(service_id)
        return 0 if info is None else info.capacity_tokens

    def may_resume(self, service_id: str) -> bool:
        """Return whether a route to a service lets streams be taken up midway."""
        routes = () if self.current is None else self.current.routes
        return any(
            route.is_resumable
            and any(item.service == service_id for item in route.shares)
            for route in routes
        )

    def _find_service(self, service_id: str) -> ServiceInfo | None:
        return self.current.services_by_id.get(service_id) if self.current else None

    def accept_any_version(self) -> None:
        """Accept the next set at any version, since it may come from another store.

        A set of a later era of the store is excepted. It is from the older copy that
        the store was restored from, so it still needs a higher version.
        """
        self._accepts_any_version = True

    def apply(self, routes: RouteSet, *, source: StoredObject | None = None) -> bool:
        """Apply a set if its version is higher than that of the current one.

        The first set after :meth:`accept_any_version` is applied at any version, except
        as stated there.

        Args:
            routes: The new set.
            source: The stored object that contains the set, if any; its version gives
                the store's era.

        Returns:
            Whether the set is now in force.
        """
        is_later_era = _era_of_source(source) > _era_of_source(self.source)
        accepts_any_version, self._accepts_any_version = (
            self._accepts_any_version and not is_later_era,
            False,
        )
        is_newer = self.current is None or routes.version > self.current.version
        if not is_newer and not accepts_any_version:
            return False
        self.current = routes
        self.source = source
        return True


def _era_of_source(source: StoredObject | None) -> int:
    return era_of(source.version) if source is not None else 0
