"""Memory and time of each host's catalog and claim log, per stored object."""

import time
import tracemalloc
from collections.abc import Callable
from datetime import timedelta

import msgspec

from bench.report import Figure
from passtally.catalog import Catalog
from passtally.claim_log import ClaimLog, Segment
from passtally.claims import new_claim
from passtally.object_store import Listing, StoredObject
from passtally.objects import (
    Endpoint,
    EndpointState,
    Service,
    Workspace,
    digest_token,
)
from passtally.routing import EndpointView, RouteQuery, choose_endpoint

WORKSPACES = (1_000, 11_000)
ENDPOINTS = (29, 690)
CLAIMS = (2_000, 20_000)
LOOPS = 300


def run() -> list[Figure]:
    """Measure memory per object and the time of changes, loading and routing."""
    kb = 1 / 1024
    workspace_bytes = _slope(WORKSPACES, _make_workspaces)
    endpoint_bytes = _slope(ENDPOINTS, _make_endpoints)
    claim_bytes = _slope(CLAIMS, _make_claims)
    small, large = (_time_route(count) for count in ENDPOINTS)
    return [
        Figure(name="catalog.workspace", value=workspace_bytes * kb, unit="KB"),
        Figure(name="catalog.endpoint", value=endpoint_bytes * kb, unit="KB"),
        Figure(name="catalog.claim", value=claim_bytes, unit="bytes"),
        Figure(name="catalog.change", value=_time_change() * 1e6, unit="us"),
        Figure(name="catalog.load_all", value=_time_load(), unit="s"),
        Figure(name="catalog.route_29", value=small * 1e6, unit="us"),
        Figure(name="catalog.route_690", value=large * 1e6, unit="us"),
    ]


def _slope(counts: tuple[int, int], make: Callable[[int], object]) -> float:
    """Return the memory per object, in bytes, as the slope between two counts."""
    sizes = []
    for count in counts:
        tracemalloc.start()
        measured = make(count)
        sizes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
        del measured
    return (sizes[1] - sizes[0]) / (counts[1] - counts[0])


def _make_workspaces(count: int) -> Catalog:
    catalog = Catalog()
    catalog.replace(_list_workspaces(count))
    return catalog


def _list_workspaces(count: int) -> Listing:
    objects = []
    for number in range(count):
        workspace = Workspace(
            id=f"workspace-{number}",
            token_sha256=digest_token(str(number)),
            services=("drafting", "lookup"),
        )
        objects.append(_store("workspaces", workspace, number + 1))
    return Listing(version=count, objects=tuple(objects))


def _make_endpoints(count: int) -> Catalog:
    objects = [
        _store(
            "endpoints",
            Endpoint(
                id=f"runner-{number}",
                service=f"model-{number % 24}",
                url=f"http://10.0.0.{number}:8000",
                failure_domain=f"domain-{number % 6}",
                versions=("1",),
            ),
            number + 1,
        )
        for number in range(count)
    ]
    catalog = Catalog()
    catalog.replace(Listing(version=count, objects=tuple(objects)))
    return catalog


def _store(kind: str, value: Workspace | Endpoint | Service, version: int):
    data = msgspec.Raw(msgspec.json.encode(value))
    return StoredObject(key=f"config/{kind}/{value.id}", version=version, value=data)


def _make_claims(count: int) -> ClaimLog:
    log = ClaimLog(retention=timedelta(hours=1))
    for number in range(count // 10):
        claims = tuple(
            new_claim(
                workspace="w",
                service="s",
                key=f"{number}-{part}",
                body=b"",
                holder="entry-17",
            )
            for part in range(10)
        )
        log.apply(number + 1, Segment(nonce=b"n", claims=claims), timedelta(0))
    return log


def _time_change() -> float:
    """Return the time to apply one change at 11,000 workspaces, in seconds."""
    catalog = _make_workspaces(WORKSPACES[1])
    started = time.perf_counter()
    for number in range(LOOPS):
        workspace = Workspace(id="changed", token_sha256=digest_token(str(number)))
        version = WORKSPACES[1] + number + 1
        stored = _store("workspaces", workspace, version)
        catalog.advance(Listing(version=version, objects=(stored,)))
    return (time.perf_counter() - started) / LOOPS


def _time_load() -> float:
    listing = msgspec.json.encode(_list_workspaces(WORKSPACES[1]))
    started = time.perf_counter()
    Catalog().replace(msgspec.json.decode(listing, type=Listing))
    return time.perf_counter() - started


def _time_route(count: int) -> float:
    """Return the time of one routing decision among ``count`` endpoints, in seconds."""
    views = [
        EndpointView(
            id=f"runner-{number}",
            failure_domain=f"domain-{number % 6}",
            state=EndpointState.ACTIVE,
            own_streams=number % 7,
            reported_streams=number % 50,
            own_at_report=0,
            max_streams=64,
        )
        for number in range(count)
    ]
    query = RouteQuery(affinity=b"prefix", failure_domain="domain-1")
    started = time.perf_counter()
    for _ in range(LOOPS):
        choose_endpoint(query, views, now=timedelta(0))
    return (time.perf_counter() - started) / LOOPS
