"""Routes: longest-prefix match, weighted traffic split, API keys, rising versions."""

from collections import Counter
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from passtally.routes import (
    ActiveRoutes,
    CallKind,
    Route,
    RouteSet,
    ServiceShare,
    WorkspaceKeys,
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
