"""Answers that could not be complete before their callers' deadlines."""

from datetime import timedelta

import attrs
import pytest

from passtally.fleet import Fleet
from passtally.generation import Generation
from passtally.objects import Endpoint, Service, ServiceKind
from passtally.placement import NoEndpointError, Placement
from standins.fake_engine import FakeEngine
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import make_catalog
from tests.test_forecast import SECOND, SERVICE, make_forecast
from tests.test_generation import make_generation

#: A prompt whose prefill takes a second; the whole answer takes another one.
PROMPT_TOKENS = 5_000
ENDPOINT = "e1"


async def place(generation: Generation, *, time_left: timedelta) -> str:
    """Return the endpoint that is chosen for a generation."""
    clock = VirtualClock()
    service = Service(id=SERVICE, kind=ServiceKind.MODEL, model="m", version="1")
    endpoint = Endpoint(id=ENDPOINT, service=SERVICE, url=ENDPOINT, failure_domain="d")
    placement = Placement(
        fleet=Fleet(
            catalog=make_catalog([service], [endpoint]),
            clock=clock,
            connect=lambda endpoint: FakeEngine(name=endpoint.id, clock=clock),
        ),
        clock=clock,
        failure_domain="d",
        forecast=make_forecast(),
    )
    now = clock.monotonic()
    generation.request = attrs.evolve(
        generation.request,
        service=SERVICE,
        prompt_tokens=PROMPT_TOKENS,
        deadline=now + time_left,
    )
    return (await placement.place(generation, set(), waiting_since=now)).endpoint_id


def take_up(position: int) -> Generation:
    """Return an answer that a caller takes up at a position."""
    return make_generation(token_ids=[0] * position, delivered=position)


class TestCallerDeadlines:
    # Guards against streams that are refused after the loss of all hosts since the rest
    # of other answers would take longer: callers come back with little of their time.
    def test_an_answer_that_is_taken_up_goes_on_if_its_prefill_fits(self):
        placed = run_virtually(place(take_up(20), time_left=1.5 * SECOND))
        assert placed == ENDPOINT

    # Guards against a prefill for a caller that will have left before its end.
    @pytest.mark.parametrize(
        ("generation", "time_left"),
        [(make_generation(), 1.5 * SECOND), (take_up(20), 0.9 * SECOND)],
        ids=["new", "taken-up"],
    )
    def test_what_brings_the_caller_nothing_is_refused(self, generation, time_left):
        with pytest.raises(NoEndpointError, match="the deadline is in"):
            run_virtually(place(generation, time_left=time_left))
