"""Endpoints that state in their answers that they are leaving."""

import asyncio
from datetime import timedelta

import attrs
import pytest

from passtally.clock import ManualClock
from passtally.departures import MAX_KEPT, Departures
from passtally.endpoint_directives import EndpointDirectives
from passtally.fleet import Fleet
from passtally.objects import Endpoint, EndpointStart
from standins.platform_config import ENGINE, LOOKUPS
from tests.endpoint_load import Sent, send_load, start_linked
from tests.fakes import make_catalog
from tests.platform_system import PlatformSystem, run

#: Time after a host has passed on an answer with this directive in which it may still
#: send the endpoint requests, in seconds.
DRAIN = 2.0
#: Maximum time until a request is refused if no endpoint can take it, in seconds.
AT_ONCE = 0.5


def late_requests(system: PlatformSystem, sent: list[Sent]) -> list[str]:
    """Return the requests that hosts sent too late after the directive."""
    sent_by_id = {request.id: request for request in sent}
    late = []
    for runner in system.runners.values():
        if runner.faults.leaving is None:
            continue
        told_at_by_host: dict[int, float] = {}
        for request in runner.requests:
            caller = sent_by_id[request.headers["X-Request-Id"]]
            told_at = told_at_by_host.setdefault(caller.host, caller.answered_at)
            if caller.sent_at > told_at + DRAIN:
                late.append(caller.id)
    return late


@pytest.mark.parametrize("service", [ENGINE, LOOKUPS], ids=["stream", "call"])
class TestLeavingEndpoint:
    # Guards against hosts that keep sending to an endpoint that states its departure.
    def test_it_gets_no_more_requests_and_other_endpoints_serve_all(self, service):
        async def test(system: PlatformSystem) -> None:
            await start_linked(system, service, endpoints=3)
            system.runners["i-0"].faults.leaving = "1"
            sent = await send_load(system, service, seconds=4)
            assert {request.answer.status for request in sent} == {200}
            assert late_requests(system, sent) == []

        run(test)

    # Guards against departures that hosts don't send to each other: then each host
    # learns of one only by a request that it sends to the leaving endpoint.
    def test_the_departure_is_sent_to_other_hosts(self, service):
        async def test(system: PlatformSystem) -> None:
            await start_linked(system, service, endpoints=1)
            runner = system.runners["i-0"]
            runner.faults.leaving = "1"
            first, *others = system.hosts
            send = system.stream if service == ENGINE else system.send
            path = "/draft/1" if service == ENGINE else "/look/1"
            answer = await send(path, host=first)
            assert answer.status == 200
            endpoint = first.catalog.endpoints_by_id["i-0"]
            async with asyncio.timeout(DRAIN):
                while not all(host.departures.is_leaving(endpoint) for host in others):
                    await asyncio.sleep(0.02)
            assert len(runner.requests) == 1

        run(test)

    # Guards against requests that wait while all endpoints of the service are leaving.
    def test_requests_are_refused_at_once_if_all_endpoints_leave(self, service):
        async def test(system: PlatformSystem) -> None:
            await start_linked(system, service, endpoints=3)
            for runner in system.runners.values():
                runner.faults.leaving = "1"
            sent = await send_load(system, service, seconds=4)
            assert late_requests(system, sent) == []
            refused = [request for request in sent if request.answer.status != 200]
            assert refused
            assert {request.answer.status for request in refused} == {503}
            assert all("retry-after" in item.answer.headers for item in refused)
            assert max(request.took for request in refused) < AT_ONCE

        run(test)


class TestKeptDepartures:
    # Guards against memory and messages that grow with each endpoint that ever ended.
    def test_the_latest_ones_are_kept(self):
        departures = Departures()
        for number in range(MAX_KEPT + 10):
            start = EndpointStart(endpoint_id=f"e{number}")
            departures.record(start, channel="test", successor=f"e{number + 1}")
        last = Endpoint(
            id=f"e{MAX_KEPT + 9}", service="s", url="http://x:1", failure_domain="d"
        )
        assert departures.is_leaving(last)
        assert not departures.is_leaving(attrs.evolve(last, id="e9"))
        assert departures.find_successor("e10") == "e11"
        assert not departures.find_successor("e9")


class TestLeavingDirective:
    def test_it_applies_to_one_start_and_a_later_answer_does_not_undo_it(self):
        old = Endpoint(id="e", service="s", url="http://x:1", failure_domain="d")
        old = attrs.evolve(old, incarnation=1)
        new = attrs.evolve(old, incarnation=2)
        departures = Departures()
        fleet = Fleet(
            catalog=make_catalog([], [old]),
            clock=ManualClock(),
            connect=lambda endpoint: None,
            departures=departures,
        )
        leaving, silent = EndpointDirectives(is_leaving=True), EndpointDirectives()
        fleet.send_limits.record_directives(old.start, leaving, sent_at=timedelta(0))
        fleet.send_limits.record_directives(
            old.start, silent, sent_at=timedelta(seconds=1)
        )
        assert not fleet.is_healthy("e")
        assert not departures.is_leaving(new)
