"""Compares ways to place prompts, in virtual time: who knows what, who waits.

Each host knows its own runs at once and those of the hosts linked to it a moment
later, as on the platform. A prompt is read for a second; several at one endpoint are
read one after the other. Reported is how long callers wait for their first output.
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
READ_SECONDS = 1.0
RUN_SECONDS = 6.0
#: How long a host's news takes to be heard.
NEWS_LAG = 0.05
#: Users' sheets: a first output later than this is late.
LATE_SECONDS = 4.5


@attrs.frozen(kw_only=True)
class Fleet:
    """How many there are, and what comes."""

    hosts: int
    endpoints: int
    domains: int
    prompts_a_second: float


SMALL = Fleet(hosts=7, endpoints=12, domains=3, prompts_a_second=3.13)
GROWN = Fleet(hosts=88, endpoints=140, domains=3, prompts_a_second=36.5)


@attrs.define(kw_only=True)
class _Run:
    host: int
    endpoint: int
    at: float
    read_until: float
    until: float


def by_load(views: list[EndpointView], prompt: bytes, domain: str) -> str:
    """Place as passtally does."""
    query = RouteQuery(
        affinity=prompt,
        failure_domain=domain,
        tokens=PROMPT_TOKENS,
        prompt_tokens=PROMPT_TOKENS,
    )
    decision = choose_endpoint(query, views, now=timedelta(0))
    return decision.endpoint_id or views[0].id


def at_random(views: list[EndpointView], prompt: bytes, domain: str) -> str:
    """Place anywhere in the host's failure domain, whatever the load."""
    local = [view.id for view in views if view.failure_domain == domain]
    return local[int.from_bytes(prompt) % len(local)]


Place = Callable[[list[EndpointView], bytes, str], str]


def simulate(fleet: Fleet, place: Place, *, seconds: float, seed: int) -> list[float]:
    """Return how long each caller waited for its first output, in seconds."""
    rng = random.Random(seed)
    heard_by = _links(fleet)
    weights = [rng.expovariate(1) for _ in range(fleet.hosts)]
    runs: list[_Run] = []
    waits: list[float] = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(fleet.prompts_a_second)
        runs = [run for run in runs if run.until > now]
        host = rng.choices(range(fleet.hosts), weights)[0]
        views = _views(fleet, runs, host, heard_by[host], now)
        chosen = place(views, rng.randbytes(8), f"d{host % fleet.domains}")
        endpoint = int(chosen[1:])
        free_at = max(
            (run.read_until for run in runs if run.endpoint == endpoint), default=now
        )
        read_until = max(now, free_at) + READ_SECONDS
        until = read_until + RUN_SECONDS - READ_SECONDS
        runs.append(
            _Run(
                host=host,
                endpoint=endpoint,
                at=now,
                read_until=read_until,
                until=until,
            )
        )
        waits.append(read_until - now)
    return waits


def _links(fleet: Fleet) -> list[set[int]]:
    """Return for each host the hosts whose news it hears."""
    rows = [
        MemberRow(f"h{n:03}", f"d{n % fleet.domains}", 1, 0, False, "x")
        for n in range(fleet.hosts)
    ]
    heard_by: list[set[int]] = [set() for _ in rows]
    for number, own in enumerate(rows):
        others = [row for row in rows if row is not own]
        for row in choose_links(own, others):
            heard_by[int(row.host_id[1:])].add(number)
    return heard_by


def _views(
    fleet: Fleet, runs: list[_Run], host: int, heard: set[int], now: float
) -> list[EndpointView]:
    reading = [0] * fleet.endpoints
    running = [0] * fleet.endpoints
    held = [0] * fleet.endpoints
    for run in runs:
        is_known = run.host in heard and now - run.at >= NEWS_LAG
        if run.host != host and not is_known:
            continue
        held[run.endpoint] += PROMPT_TOKENS
        if run.read_until > now:
            reading[run.endpoint] += PROMPT_TOKENS
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
            prefill_tokens=reading[n],
            running_streams=running[n],
            kv_tokens=held[n],
            capacity_tokens=55_000,
        )
        for n in range(fleet.endpoints)
    ]


def measure(*, seconds: float = 60.0, seeds: int = 3) -> dict[str, dict[str, float]]:
    """Return for each fleet and way the mean and late share of first outputs."""
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
