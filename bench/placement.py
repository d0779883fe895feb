"""Compares placement policies for prompts in a simulation.

Each host knows its own runs at once and the runs of linked hosts after a delay, as on
the platform. Prefill takes one second per prompt, and an endpoint prefills its prompts
one after the other. The figures are the callers' waiting times for the first output.
"""

import random
from collections.abc import Callable
from datetime import timedelta

import attrs

from passtally.membership import MemberRow
from passtally.objects import EndpointState
from passtally.roster import choose_links
from passtally.routing import EndpointView, RouteQuery, choose_endpoint

PROMPT_TOKENS = 5_000
PREFILL_SECONDS = 1.0
RUN_SECONDS = 6.0
#: Delay until linked hosts receive the load updates of a host, in seconds.
UPDATE_LAG = 0.05
#: Maximum time to the first output in the deployments' requirements, in seconds.
LATE_SECONDS = 4.5


@attrs.frozen(kw_only=True)
class Fleet:
    """Number of hosts, endpoints and failure domains, and the rate of prompts."""

    hosts: int
    endpoints: int
    domains: int
    prompts_per_second: float


SMALL = Fleet(hosts=7, endpoints=12, domains=3, prompts_per_second=3.13)
GROWN = Fleet(hosts=88, endpoints=140, domains=3, prompts_per_second=36.5)


@attrs.define(kw_only=True)
class _Run:
    host: int
    endpoint: int
    at: float
    prefill_until: float
    until: float


def by_load(views: list[EndpointView], prompt: bytes, domain: str) -> str:
    """Place a prompt with the routing policy of passtally."""
    query = RouteQuery(
        affinity=prompt,
        failure_domain=domain,
        tokens=PROMPT_TOKENS,
        prompt_tokens=PROMPT_TOKENS,
    )
    decision = choose_endpoint(query, views, now=timedelta(0))
    return decision.endpoint_id or views[0].id


def at_random(views: list[EndpointView], prompt: bytes, domain: str) -> str:
    """Place a prompt on a random endpoint of the host's failure domain."""
    local = [view.id for view in views if view.failure_domain == domain]
    return local[int.from_bytes(prompt) % len(local)]


Place = Callable[[list[EndpointView], bytes, str], str]


def simulate(fleet: Fleet, place: Place, *, seconds: float, seed: int) -> list[float]:
    """Return each caller's waiting time for its first output, in seconds."""
    rng = random.Random(seed)
    sources_by_host = _links(fleet)
    weights = [rng.expovariate(1) for _ in range(fleet.hosts)]
    runs: list[_Run] = []
    waits: list[float] = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(fleet.prompts_per_second)
        runs = [run for run in runs if run.until > now]
        host = rng.choices(range(fleet.hosts), weights)[0]
        views = _views(fleet, runs, host, sources_by_host[host], now)
        chosen = place(views, rng.randbytes(8), f"d{host % fleet.domains}")
        endpoint = int(chosen[1:])
        free_at = max(
            (run.prefill_until for run in runs if run.endpoint == endpoint), default=now
        )
        prefill_until = max(now, free_at) + PREFILL_SECONDS
        until = prefill_until + RUN_SECONDS - PREFILL_SECONDS
        runs.append(
            _Run(
                host=host,
                endpoint=endpoint,
                at=now,
                prefill_until=prefill_until,
                until=until,
            )
        )
        waits.append(prefill_until - now)
    return waits


def _links(fleet: Fleet) -> list[set[int]]:
    """Return, for each host, the hosts whose updates it receives."""
    rows = [
        MemberRow(f"h{n:03}", f"d{n % fleet.domains}", 1, 0, False, "x")
        for n in range(fleet.hosts)
    ]
    sources_by_host: list[set[int]] = [set() for _ in rows]
    for number, local in enumerate(rows):
        others = [row for row in rows if row is not local]
        for row in choose_links(local, others):
            sources_by_host[int(row.host_id[1:])].add(number)
    return sources_by_host


def _views(
    fleet: Fleet, runs: list[_Run], host: int, sources: set[int], now: float
) -> list[EndpointView]:
    prefill_tokens = [0] * fleet.endpoints
    running = [0] * fleet.endpoints
    kv_tokens = [0] * fleet.endpoints
    for run in runs:
        is_known = run.host in sources and now - run.at >= UPDATE_LAG
        if run.host != host and not is_known:
            continue
        kv_tokens[run.endpoint] += PROMPT_TOKENS
        if run.prefill_until > now:
            prefill_tokens[run.endpoint] += PROMPT_TOKENS
        else:
            running[run.endpoint] += 1
    return [
        EndpointView(
            id=f"e{n:03}",
            failure_domain=f"d{n % fleet.domains}",
            state=EndpointState.ACTIVE,
            own_streams=0,
            reported_streams=0,
            own_at_report=0,
            max_streams=64,
            prefill_tokens=prefill_tokens[n],
            running_streams=running[n],
            kv_tokens=kv_tokens[n],
            capacity_tokens=55_000,
        )
        for n in range(fleet.endpoints)
    ]


def measure(*, seconds: float = 60.0, seeds: int = 3) -> dict[str, dict[str, float]]:
    """Return the mean wait and late shares of first outputs, by fleet and policy."""
    figures = {}
    for fleet_name, fleet in (("small", SMALL), ("grown", GROWN)):
        for place in (by_load, at_random):
            waits = [
                wait
                for seed in range(seeds)
                for wait in simulate(fleet, place, seconds=seconds, seed=seed)
            ]
            figures[f"{fleet_name} {place.__name__}"] = {
                "mean_s": sum(waits) / len(waits),
                "over_2_s": sum(wait > 2 for wait in waits) / len(waits),
                "late": sum(wait > LATE_SECONDS for wait in waits) / len(waits),
            }
    return figures


if __name__ == "__main__":
    for name, row in measure().items():
        print(name, {key: round(value, 4) for key, value in row.items()})
