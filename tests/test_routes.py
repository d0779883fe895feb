"""Routes: the longest prefix, shares by weight, keys, versions that only rise."""

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
    def test_the_longest_prefix_of_the_host_decides(self):
        assert ROUTES.find_route("shop.example", "/a/b/c").name == "long"
        assert ROUTES.find_route("shop.example", "/a/bc").name == "short"
        assert ROUTES.find_route("SHOP.example", "/a/b").name == "short"
        assert ROUTES.find_route("other.example", "/a/b/c").name == "other"

    def test_what_fits_no_route_has_none(self):
        assert ROUTES.find_route("shop.example", "/b/") is None
        assert ROUTES.find_route("none.example", "/a/") is None

    def test_a_key_names_its_workspace(self):
        assert ROUTES.find_workspace("k2").workspace == "w1"
        assert ROUTES.find_workspace("k9") is None
        assert ROUTES.needs_keys


class TestShares:
    def test_requests_are_shared_by_weight(self):
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


class TestRepeats:
    def test_what_may_be_repeated(self):
        assert make_route("r", "/").is_repeatable
        assert not make_route("r", "/", kind=CallKind.UNSAFE).is_repeatable
        assert not make_route("r", "/", kind=CallKind.STREAM).is_repeatable
        stream = make_route("r", "/", kind=CallKind.STREAM, is_resumable=True)
        assert stream.is_repeatable


class TestVersions:
    def test_of_another_store_the_next_set_counts_at_any_version(self):
        in_force = ActiveRoutes()
        in_force.take(RouteSet(version=9, routes=()))
        in_force.renew()
        assert in_force.current.version == 9
        assert in_force.take(RouteSet(version=3, routes=()))
        assert not in_force.take(RouteSet(version=2, routes=()))

    @given(st.lists(st.integers(1, 50), min_size=1))
    def test_the_version_in_force_never_goes_back(self, versions):
        in_force = ActiveRoutes()
        highest = 0
        for version in versions:
            taken = in_force.take(RouteSet(version=version, routes=()))
            assert taken == (version > highest)
            highest = max(highest, version)
            assert in_force.current.version == highest
