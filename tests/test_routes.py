"""Routes: longest-prefix match, weighted traffic split, API keys, rising versions."""

from collections import Counter
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from passtally.priority import Priority
from passtally.routes import (
    ActiveRoutes,
    CallKind,
    Route,
    RouteSet,
    ServiceShare,
    WorkspaceKeys,
    priority_of,
)


def make_route(name: str, prefix: str, **fields) -> Route:
    defaults = {
        "host": "shop.example",
        "kind": CallKind.SAFE,
        "timeout": timedelta(seconds=1),
        "target": timedelta(milliseconds=100),
        "shares": (ServiceShare(service="s", weight=1),),
    }
    return Route(name=name, path_prefix=prefix, **(defaults | fields))


ROUTES = RouteSet(
    version=1,
    routes=(
        make_route("short", "/a/"),
        make_route("long", "/a/b/"),
        make_route("other", "/a/", host="other.example"),
    ),
    workspaces=(
        WorkspaceKeys(workspace="w1", keys=("k1", "k2")),
        WorkspaceKeys(workspace="w2", keys=("k3",)),
    ),
)


class TestRouteSet:
    def test_the_longest_path_prefix_of_the_host_matches(self):
        assert ROUTES.find_route("shop.example", "/a/b/c").name == "long"
        assert ROUTES.find_route("shop.example", "/a/bc").name == "short"
        assert ROUTES.find_route("SHOP.example", "/a/b").name == "short"
        assert ROUTES.find_route("other.example", "/a/b/c").name == "other"

    def test_a_request_without_a_matching_route_finds_none(self):
        assert ROUTES.find_route("shop.example", "/b/") is None
        assert ROUTES.find_route("none.example", "/a/") is None

    def test_a_key_identifies_its_workspace(self):
        assert ROUTES.find_workspace("k2").workspace == "w1"
        assert ROUTES.find_workspace("k9") is None
        assert ROUTES.needs_keys


class TestPriorities:
    URGENT, ROUTINE = 0, 2

    def has_competing(self, routes=(), workspaces=(), service="s") -> bool:
        route_set = RouteSet(version=1, routes=routes, workspaces=workspaces)
        return route_set.has_competing_priorities(service)

    def routes(self, *ranks: int) -> list[Route]:
        return [
            make_route(f"r{number}", f"/{number}/", rank=rank)
            for number, rank in enumerate(ranks)
        ]

    def workspaces(self, *ranks: int | None) -> list[WorkspaceKeys]:
        return [
            WorkspaceKeys(workspace=f"w{number}", keys=(), rank=rank)
            for number, rank in enumerate(ranks)
        ]

    def test_the_rank_of_a_workspace_goes_before_that_of_the_route(self):
        routine, urgent = self.routes(self.ROUTINE, self.URGENT)
        (own,) = self.workspaces(self.URGENT)
        (other,) = self.workspaces(1)
        assert priority_of(routine, own) < priority_of(urgent, other)

    # Guards against urgent routes that wait like others since a workspace has a rank.
    def test_the_route_decides_between_workspaces_of_the_same_rank(self):
        routine, urgent = self.routes(self.ROUTINE, self.URGENT)
        (workspace,) = self.workspaces(1)
        assert priority_of(urgent, workspace) < priority_of(routine, workspace)

    def test_without_a_rank_of_the_workspace_that_of_the_route_counts(self):
        (route,) = self.routes(self.ROUTINE)
        (none,) = self.workspaces(None)
        expected = Priority(rank=self.ROUTINE, route_rank=self.ROUTINE)
        assert priority_of(route, none) == priority_of(route, None) == expected

    # Guards against a deployment with one priority that is admitted in another way.
    def test_one_priority_does_not_compete(self):
        routes = self.routes(self.URGENT, self.ROUTINE)
        assert not self.has_competing(self.routes(self.URGENT, self.URGENT))
        one_workspace = self.workspaces(1)
        assert not self.has_competing(self.routes(self.URGENT), one_workspace)
        assert not self.has_competing(routes, service="other")

    def test_priorities_of_routes_or_workspaces_compete(self):
        routes = self.routes(self.URGENT, self.ROUTINE)
        assert self.has_competing(routes)
        assert self.has_competing(routes, self.workspaces(None))
        assert self.has_competing(routes, self.workspaces(1))
        one_route = self.routes(self.URGENT)
        assert self.has_competing(one_route, self.workspaces(self.URGENT, self.ROUTINE))
        assert self.has_competing(one_route, self.workspaces(None, self.ROUTINE))


class TestShares:
    def test_requests_are_split_by_weight(self):
        shares = (
            ServiceShare(service="a", weight=90),
            ServiceShare(service="b", weight=10),
        )
        route = make_route("r", "/", shares=shares)
        counts = Counter(route.service_for(str(n).encode()) for n in range(5000))
        assert 0.07 < counts["b"] / 5000 < 0.13

    @given(st.binary(), st.lists(st.integers(0, 100), min_size=1, max_size=4))
    def test_one_key_always_goes_to_the_same_service(self, key, weights):
        shares = tuple(
            ServiceShare(service=str(number), weight=weight)
            for number, weight in enumerate(weights)
        )
        route = make_route("r", "/", shares=shares)
        chosen = route.service_for(key)
        assert chosen == route.service_for(key)
        assert sum(weights) == 0 or weights[int(chosen)] > 0


class TestRetries:
    def test_safe_calls_and_resumable_streams_are_retried(self):
        assert make_route("r", "/").is_retryable
        assert not make_route("r", "/", kind=CallKind.UNSAFE).is_retryable
        assert not make_route("r", "/", kind=CallKind.STREAM).is_retryable
        stream = make_route("r", "/", kind=CallKind.STREAM, is_resumable=True)
        assert stream.is_retryable


class TestVersions:
    def test_the_first_set_of_another_store_is_applied_at_any_version(self):
        active_routes = ActiveRoutes()
        active_routes.apply(RouteSet(version=9, routes=()))
        active_routes.accept_any_version()
        assert active_routes.current.version == 9
        assert active_routes.apply(RouteSet(version=3, routes=()))
        assert not active_routes.apply(RouteSet(version=2, routes=()))

    @given(st.lists(st.integers(1, 50), min_size=1))
    def test_the_active_version_never_decreases(self, versions):
        active_routes = ActiveRoutes()
        highest = 0
        for version in versions:
            is_applied = active_routes.apply(RouteSet(version=version, routes=()))
            assert is_applied == (version > highest)
            highest = max(highest, version)
            assert active_routes.current.version == highest
