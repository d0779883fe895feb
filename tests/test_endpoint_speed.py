"""How fast endpoints are, how hosts learn it, and what placement makes of it."""

import asyncio
from datetime import timedelta

import pytest

from passtally.clock import ManualClock
from passtally.endpoint_speed import (
    FORGET_AFTER,
    MAX_SPEED,
    MIN_KNOWN,
    USUAL_FACTOR,
    EndpointSpeeds,
    Pace,
)
from passtally.objects import EndpointState
from passtally.pace_meter import MIN_OUTPUTS, PaceMeter
from passtally.routing import EndpointView, RouteQuery, choose_endpoint
from passtally.usage_exchange import MAX_PACES
from standins.virtual import run_virtually
from tests.test_usage_exchange import CONVERGES_WITHIN, SIZES, start_fleet

NOW = timedelta(seconds=100)
USUAL = timedelta(milliseconds=40)


def make_pace(address: str, gap: timedelta = USUAL, at: timedelta = NOW) -> Pace:
    return Pace(service="s", address=address, gap=gap, measured_at=at)


def make_speeds(**gaps: timedelta) -> EndpointSpeeds:
    """Return speeds with three endpoints of the usual pace, and others."""
    speeds = EndpointSpeeds()
    for address in ("u1", "u2", "u3"):
        speeds.record(make_pace(address))
    for address, gap in gaps.items():
        speeds.record(make_pace(address, gap))
    return speeds


class TestEndpointSpeeds:
    def test_a_speed_is_relative_to_the_usual_one(self):
        speeds = make_speeds(slow=2 * USUAL, fast=USUAL / 2)
        assert speeds.speed("s", "slow", now=NOW) == 0.5
        assert speeds.speed("s", "fast", now=NOW) == 2

    # Guards against endpoints of the same kind that are treated differently.
    def test_nearly_usual_endpoints_count_as_usual(self):
        speeds = make_speeds(near=USUAL * USUAL_FACTOR * 0.99)
        assert speeds.speed("s", "near", now=NOW) == 1

    def test_an_unknown_endpoint_counts_as_usual(self):
        assert make_speeds().speed("s", "unknown", now=NOW) == 1
        assert EndpointSpeeds().speed("s", "unknown", now=NOW) == 1

    def test_a_few_paces_say_nothing_of_what_is_usual(self):
        speeds = EndpointSpeeds()
        for number in range(MIN_KNOWN - 1):
            speeds.record(make_pace(f"u{number}", USUAL * (1 + 9 * number)))
        assert speeds.speed("s", "u0", now=NOW) == 1

    # Guards against an endpoint that was slow once and stays so for ever.
    def test_a_pace_is_forgotten_after_a_while(self):
        speeds = make_speeds(slow=4 * USUAL)
        assert speeds.speed("s", "slow", now=NOW + FORGET_AFTER * 2) == 1

    def test_one_odd_sample_changes_little(self):
        speeds = make_speeds(odd=USUAL)
        speeds.record(make_pace("odd", USUAL * 1.9))
        assert speeds.speed("s", "odd", now=NOW) == 1

    def test_speeds_are_bounded(self):
        speeds = make_speeds(fast=USUAL / 100)
        assert speeds.speed("s", "fast", now=NOW) == MAX_SPEED

    def test_older_news_do_not_replace_newer_ones(self):
        speeds = make_speeds(e=2 * USUAL)
        speeds.merge([make_pace("e", USUAL / 2, NOW - timedelta(seconds=1))])
        assert speeds.speed("s", "e", now=NOW) == 0.5

    def test_all_paces_are_sent_in_turn(self):
        speeds = EndpointSpeeds()
        for number in range(50):
            speeds.record(make_pace(f"e{number}"))
        sent = [speeds.next_paces(24, now=NOW) for _ in range(3)]
        assert {pace.address for paces in sent for pace in paces} == {
            f"e{number}" for number in range(50)
        }
        assert len(EndpointSpeeds().next_paces(24, now=NOW)) == 0
        assert len(make_speeds().next_paces(24, now=NOW)) == 3


class TestPaceMeter:
    def measure(self, gaps_ms: list[float], *, count: int = 1) -> timedelta | None:
        clock = ManualClock()
        meter = PaceMeter(clock=clock)
        meter.record_output(1)
        for gap in gaps_ms:
            clock.advance(timedelta(milliseconds=gap))
            meter.record_output(count)
        return meter.pace

    def test_the_pace_is_that_of_the_short_gaps(self):
        assert self.measure([40] * 30) == timedelta(milliseconds=40)

    # Guards against an endpoint that looks slow since it read other prompts meanwhile.
    def test_the_prefill_of_other_prompts_does_not_count(self):
        assert self.measure([40, 180, 180] * 10) == timedelta(milliseconds=40)

    def test_few_outputs_say_nothing(self):
        assert self.measure([40] * (MIN_OUTPUTS - 2)) is None

    # Guards against an endpoint that looks fast since its output was read late.
    def test_outputs_that_arrive_together_do_not_count(self):
        assert self.measure([40] * 30, count=2) is None


def make_view(name: str, **fields) -> EndpointView:
    defaults = {
        "failure_domain": "d",
        "state": EndpointState.ACTIVE,
        "own_streams": 0,
        "reported_streams": 0,
        "own_at_report": 0,
        "max_streams": 16,
        "capacity_tokens": 55_000,
    }
    return EndpointView(id=name, **(defaults | fields))


def make_call_view(name: str, **fields) -> EndpointView:
    """Return the view of an endpoint of plain calls."""
    return make_view(name, **({"capacity_tokens": 0} | fields))


class TestUnevenEndpoints:
    """Placement before endpoints of which one is faster or slower than usual."""

    QUERY = RouteQuery(
        affinity=b"p", failure_domain="d", tokens=6_000, prompt_tokens=5_000
    )

    def choose(self, *views: EndpointView) -> str:
        return choose_endpoint(self.QUERY, views, now=NOW).endpoint_id

    def test_the_faster_one_of_idle_endpoints_is_chosen(self):
        assert self.choose(make_view("a"), make_view("b", speed=1.7)) == "b"
        assert self.choose(make_view("a", speed=0.7), make_view("b")) == "b"

    # Guards against a fast endpoint that gets everything while others are idle.
    def test_an_idle_one_is_chosen_if_it_completes_sooner(self):
        fast = make_view("fast", speed=1.7, prefill_tokens=20_000, running_streams=4)
        assert self.choose(fast, make_view("idle")) == "idle"

    # Guards against a slow endpoint that is never tried again.
    def test_a_slow_one_is_chosen_once_the_others_are_busy(self):
        busy = [
            make_view(f"e{number}", prefill_tokens=15_000, running_streams=3)
            for number in range(3)
        ]
        assert self.choose(make_view("slow", speed=0.5), *busy) == "slow"


class TestSlowEndpoints:
    """Routing of plain calls while an endpoint is slow."""

    QUERY = RouteQuery(affinity=b"p", failure_domain="d")

    def choose(self, *views: EndpointView) -> str | None:
        return choose_endpoint(self.QUERY, views, now=NOW).endpoint_id

    def test_the_others_get_the_calls(self):
        slow = make_call_view("slow", is_slow=True)
        assert self.choose(slow, make_call_view("fast", own_streams=15)) == "fast"

    # Guards against calls that are refused while a slow endpoint is free.
    def test_it_gets_them_while_the_others_are_full(self):
        slow = make_call_view("slow", is_slow=True)
        assert self.choose(slow, make_call_view("full", own_streams=16)) == "slow"

    def test_a_call_is_refused_if_all_are_full(self):
        views = [
            make_call_view(name, own_streams=16, is_slow=name == "a") for name in "ab"
        ]
        assert self.choose(*views) is None


@pytest.mark.parametrize(("hosts", "domains"), SIZES)
class TestManyHosts:
    # Guards against a host that does not know the speed of endpoints that others use.
    def test_what_one_host_measures_is_known_to_all_soon(self, hosts, domains):
        async def test() -> None:
            fleet = start_fleet(hosts, domains)
            await asyncio.sleep(CONVERGES_WITHIN)
            now = fleet.gossip.clock.monotonic()
            measuring = fleet.exchanges_by_host["front-0002"]._speeds
            for address in ("u1", "u2", "u3"):
                measuring.record_own(make_pace(address, at=now))
            measuring.record_own(make_pace("slow", 2 * USUAL, at=now))
            await asyncio.sleep(CONVERGES_WITHIN)
            for exchange in fleet.exchanges_by_host.values():
                now = fleet.gossip.clock.monotonic()
                assert exchange._speeds.speed("s", "slow", now=now) == 0.5

        run_virtually(test())


class TestBoundedMessages:
    def test_a_message_has_a_bounded_number_of_paces(self):
        speeds = EndpointSpeeds()
        for number in range(690):
            speeds.record(make_pace(f"e{number}"))
        assert len(speeds.next_paces(MAX_PACES, now=NOW)) == MAX_PACES
