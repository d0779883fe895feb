"""Finding cached prompts in a service of many endpoints.

Guards against repeated prefill after all hosts were lost: the callers of a hundred
streams reconnect to hosts that do not know which endpoint ran them. Each repeated
prefill of a prompt of 5,200 tokens stalls the other streams of its endpoint for a
second. Replayed days with faults wasted 250,000 to 540,000 tokens of prefill.

The fleet has 78 endpoints in five failure domains. Prompts are placed as by 195 hosts,
each of which knows the loads of 12 others and queries up to three endpoints before it
chooses.
"""

import random
from datetime import timedelta

from passtally.objects import EndpointState
from passtally.prefix_finder import (
    MAX_LOCAL_QUERIES,
    MAX_QUERIED,
    MAX_REMOTE_QUERIES,
    choose_likely,
)
from passtally.routing import EndpointView, RouteQuery, affinity_of, choose_endpoint

DOMAINS = 5
ENDPOINTS = 78
PROMPT = 5_200
#: Number of prompts in prefill at any time: 20 per second, one second each.
PREFILLING = 20
#: Share of these prompts that a host knows of.
KNOWN_SHARE = 12 / 194


def make_view(number: int, *, reading: int) -> EndpointView:
    return EndpointView(
        id=f"e{number}",
        failure_domain=f"d{number % DOMAINS}",
        state=EndpointState.ACTIVE,
        own_streams=0,
        reported_streams=0,
        own_at_report=0,
        max_streams=32,
        prefill_tokens=reading * PROMPT,
        capacity_tokens=55_000,
    )


def place(prompt: str, domain: str, rng: random.Random) -> str:
    """Return the endpoint for a prompt, chosen as by a host of a large fleet."""
    busy = rng.choices(range(ENDPOINTS), k=PREFILLING)
    known = [number for number in busy if rng.random() < KNOWN_SHARE]
    views = [
        make_view(number, reading=known.count(number)) for number in range(ENDPOINTS)
    ]
    query = RouteQuery(
        affinity=affinity_of(prompt),
        failure_domain=domain,
        tokens=PROMPT,
        prompt_tokens=PROMPT,
    )
    ranked = choose_endpoint(query, views, now=timedelta(0)).ranked[:3]
    idle = [name for name in ranked if int(name[1:]) not in busy]
    return idle[0] if idle else ranked[0]


class TestPromptsFound:
    def test_most_prompts_are_found_by_few_local_queries(self):
        rng = random.Random(7)
        views = [make_view(number, reading=0) for number in range(ENDPOINTS)]
        found_local = 0
        for number in range(500):
            prompt = f"part{number}"
            placed_at = place(prompt, "d1", rng)
            local, remote, _ = choose_likely(views, prompt, failure_domain="d1")
            assert len(local) == MAX_LOCAL_QUERIES
            assert len(remote) == MAX_REMOTE_QUERIES * (DOMAINS - 1)
            found_local += placed_at in local
        assert found_local > 0.95 * 500

    # Guards against prompts that are prefilled again in their own failure domain.
    def test_all_local_endpoints_of_a_domain_of_usual_size_are_queried(self):
        views = [make_view(number, reading=0) for number in range(ENDPOINTS)]
        batches = choose_likely(views, "part1", failure_domain="d1")
        queried = [name for batch in batches for name in batch]
        local = {view.id for view in views if view.failure_domain == "d1"}
        assert local <= set(queried)
        assert len(queried) == len(set(queried)) <= MAX_QUERIED

    # Guards against queries without a bound: each reply has about 7 KB.
    def test_the_number_of_queries_is_bounded(self):
        views = [make_view(number, reading=0) for number in range(10 * ENDPOINTS)]
        batches = choose_likely(views, "part1", failure_domain="d1")
        assert sum(len(batch) for batch in batches) == MAX_QUERIED

    def test_most_prompts_are_found_if_the_caller_reconnects_in_another_domain(self):
        rng = random.Random(8)
        views = [make_view(number, reading=0) for number in range(ENDPOINTS)]
        found = 0
        for number in range(500):
            prompt = f"part{number}"
            placed_at = place(prompt, "d1", rng)
            local, remote, _ = choose_likely(views, prompt, failure_domain="d3")
            found += placed_at in (*local, *remote)
        assert found > 0.8 * 500
