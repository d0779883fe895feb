"""Where the prompt of an answer is found again in a service of many endpoints.

The pattern: all hosts are lost, and the callers of a hundred streams come back to hosts
that know nothing. Each prompt of 5,200 tokens that is read again holds up the streams
beside it for a second; on played days with trouble 250 to 540 thousand tokens were read
for nothing. 78 endpoints of five failure domains, placed as 195 hosts do: each hears of
12 others, and asks up to three endpoints before it chooses.
"""

import random
from datetime import timedelta

from passtally.objects import EndpointState
from passtally.prefix_finder import FAR_ASKED, NEAR_ASKED, choose_likely
from passtally.routing import EndpointView, RouteQuery, affinity_of, choose_endpoint

DOMAINS = 5
ENDPOINTS = 78
PROMPT = 5_200
#: Prompts that are being read at any moment: 20 a second, one second each.
READING = 20
#: The part of them that a host has heard of.
HEARD = 12 / 194


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
    """Place a prompt as a host of a large fleet does."""
    busy = rng.choices(range(ENDPOINTS), k=READING)
    heard = [number for number in busy if rng.random() < HEARD]
    views = [
        make_view(number, reading=heard.count(number)) for number in range(ENDPOINTS)
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
    def test_nearly_all_are_found_by_few_questions(self):
        rng = random.Random(7)
        views = [make_view(number, reading=0) for number in range(ENDPOINTS)]
        found_near = 0
        for number in range(500):
            prompt = f"part{number}"
            placed_at = place(prompt, "d1", rng)
            near, far = choose_likely(views, prompt, failure_domain="d1")
            assert len(near) == NEAR_ASKED
            assert len(far) == FAR_ASKED * (DOMAINS - 1)
            found_near += placed_at in near
        assert found_near > 0.95 * 500

    def test_a_caller_that_comes_back_elsewhere_is_mostly_found_too(self):
        rng = random.Random(8)
        views = [make_view(number, reading=0) for number in range(ENDPOINTS)]
        found = 0
        for number in range(500):
            prompt = f"part{number}"
            placed_at = place(prompt, "d1", rng)
            near, far = choose_likely(views, prompt, failure_domain="d3")
            found += placed_at in (*near, *far)
        assert found > 0.8 * 500
