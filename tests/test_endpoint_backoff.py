"""Endpoints that turn a host away and ask it for rest."""

from datetime import timedelta

import pytest

from passtally.endpoint_backoff import PROBE_WINDOW, EndpointBackoffs
from passtally.objects import EndpointStart
from standins.platform_config import ENGINE, LOOKUPS
from tests.endpoint_load import Sent, send_load, start_linked
from tests.platform_system import PlatformSystem, run

REST = 3.0
#: Requests that reach an endpoint from a host so soon after it was turned away were
#: under way already, in seconds.
UNDER_WAY = 0.5
#: The most that may come in the rest of the time.
MOST = 2
#: By then a request that nobody can take is refused, in seconds.
AT_ONCE = 0.5


def most_while_resting(system: PlatformSystem, sent: list[Sent]) -> int:
    """Return the most requests that an endpoint got from a host that it turned away."""
    host_by_id = {request.id: request.host for request in sent}
    most = 0
    for runner in system.runners.values():
        if runner.faults.rest is None:
            continue
        arrivals = [
            (host_by_id[request.headers["X-Request-Id"]], at)
            for request, at in zip(runner.requests, runner.requested_at, strict=True)
        ]
        for host, turned_away_at in arrivals:
            count = sum(
                other == host and UNDER_WAY < at - turned_away_at < REST
                for other, at in arrivals
            )
            most = max(most, count)
    return most


@pytest.mark.parametrize("service", [ENGINE, LOOKUPS], ids=["stream", "call"])
class TestRestingEndpoint:
    # Guards against hosts that ask an endpoint again that has asked them for rest.
    def test_it_is_left_alone_and_the_others_serve_all(self, service):
        async def test(system: PlatformSystem) -> None:
            await start_linked(system, service, endpoints=3)
            system.runners["i-0"].faults.rest = f"{REST:g}"
            sent = await send_load(system, service, seconds=6)
            assert {request.answer.status for request in sent} == {200}
            assert most_while_resting(system, sent) <= MOST

        run(test)

    # Guards against waiting, or asking in vain, where all endpoints want rest.
    def test_where_all_rest_requests_are_refused_at_once(self, service):
        async def test(system: PlatformSystem) -> None:
            await start_linked(system, service, endpoints=3)
            for runner in system.runners.values():
                runner.faults.rest = f"{REST:g}"
            sent = await send_load(system, service, seconds=6)
            assert most_while_resting(system, sent) <= MOST
            assert {request.answer.status for request in sent} == {503}
            assert max(request.took for request in sent) < AT_ONCE
            waits = [float(item.answer.headers["retry-after"]) for item in sent]
            assert min(waits) > 0
            assert max(waits) <= REST + 1

        run(test)


START = EndpointStart(endpoint_id="e", incarnation=1)
NOW = timedelta(hours=1)
SECOND = timedelta(seconds=1)


def resting(rest: timedelta = 3 * SECOND) -> EndpointBackoffs:
    """Return what a host knows that an endpoint has just asked for rest."""
    rests = EndpointBackoffs()
    rests.record_answer(START, rest, sent_at=NOW, now=NOW)
    return rests


class TestRests:
    def test_nothing_is_sent_until_it_is_over(self):
        rests = resting()
        assert not rests.take(START, now=NOW)
        assert not rests.is_over(START, now=NOW + 2.9 * SECOND)
        assert rests.wait(START, now=NOW + SECOND) == 2 * SECOND
        assert rests.take(START, now=NOW + 3 * SECOND)

    # Guards against all that wait turning up together when a rest is over.
    def test_then_one_request_goes_first(self):
        rests = resting()
        end = NOW + 3 * SECOND
        assert rests.take(START, now=end)
        assert not rests.take(START, now=end)
        rests.record_answer(START, None, sent_at=end, now=end)
        assert all(rests.take(START, now=end) for _ in range(9))

    def test_another_follows_where_no_answer_comes(self):
        rests = resting()
        end = NOW + 3 * SECOND
        assert rests.take(START, now=end)
        assert rests.wait(START, now=end) == PROBE_WINDOW
        assert rests.take(START, now=end + PROBE_WINDOW)

    def test_an_answer_to_what_was_under_way_does_not_end_it(self):
        rests = resting()
        rests.record_answer(START, None, sent_at=NOW, now=NOW + SECOND)
        assert not rests.may_send(START, now=NOW + SECOND)

    def test_the_longest_counts(self):
        rests = resting()
        rests.record_answer(START, SECOND, sent_at=NOW, now=NOW + SECOND)
        assert rests.wait(START, now=NOW + SECOND) == 2 * SECOND
        rests.record_answer(START, 3 * SECOND, sent_at=NOW, now=NOW + SECOND)
        assert rests.wait(START, now=NOW + SECOND) == 3 * SECOND

    def test_zero_is_no_rest(self):
        assert resting(timedelta(0)).take(START, now=NOW)

    def test_it_is_of_one_start_and_goes_with_it(self):
        rests = resting()
        assert rests.take(EndpointStart(endpoint_id="e", incarnation=2), now=NOW)
        rests.forget("e")
        assert rests.take(START, now=NOW)
