"""Answers without a length or chunks: their end may be a truncation."""

import asyncio

import pytest

from passtally.connection_pool import ConnectionPool
from passtally.http_client import ExchangeError, ExchangeStep
from passtally.settings import parse_address
from standins.platform_config import LOOKUPS, make_config
from standins.runner import RunnerStandIn
from tests.platform_system import Answer, PlatformSystem, expected_events, run

EVENTS = 10
CALLERS = 12


async def start(
    system: PlatformSystem, *, endpoints: int = 2, **route: object
) -> list[RunnerStandIn]:
    """Start a host and engines whose streams are unframed."""
    config = make_config()
    config["routes"][0] |= route
    system.store.put("config", "main", config)
    runners = [
        await system.add_runner(f"i-{number}", events=EVENTS)
        for number in range(endpoints)
    ]
    for runner in runners:
        runner.faults.unframed = True
    await system.add_host()
    await system.wait_ready()
    return runners


def count_runs(runners: list[RunnerStandIn]) -> int:
    return sum(len(runner.ran) for runner in runners)


def is_truncated(answer: Answer) -> bool:
    """Return whether an answer lacks events and looks complete all the same."""
    return answer.is_whole and answer.body != expected_events(EVENTS)


class TestTruncatedStreams:
    # Guards against an answer that was cut short and counts as complete.
    @pytest.mark.parametrize("after", [0, 3, EVENTS - 1])
    def test_a_stream_that_one_endpoint_truncates_is_resumed_elsewhere(self, after):
        async def test(system: PlatformSystem) -> None:
            truncating, other = await start(system)
            truncating.faults.close_after = after
            other.faults.unframed = False
            answers = [await system.stream() for _ in range(CALLERS)]
            assert count_runs([truncating]) > 0
            assert [answer.body for answer in answers] == [
                expected_events(EVENTS)
            ] * CALLERS
            assert all(answer.is_whole for answer in answers)

        run(test)

    def test_a_stream_whose_endpoint_crashes_in_order_is_not_complete(self):
        async def test(system: PlatformSystem) -> None:
            (runner,) = await start(system, endpoints=1, resume_streams=False)

            async def close_and_exit() -> None:
                runner.is_crashed = True
                await runner.stop()

            runner.faults.close_after = 3
            runner.on_close = close_and_exit
            answer = await system.stream()
            assert not is_truncated(answer)
            assert not answer.is_whole

        run(test)

    # Guards against a check that finds the link down, since a connection for another
    # host was refused a moment before, and takes this for no sign of an exit.
    def test_it_is_not_complete_although_the_link_is_known_to_be_down(self):
        async def test(system: PlatformSystem) -> None:
            (runner,) = await start(system, endpoints=1, resume_streams=False)
            (host,) = system.hosts
            runner.faults.close_after = 3
            runner.faults.first_delay = 0.1
            stream = asyncio.create_task(system.stream())
            while not runner.ran:
                await asyncio.sleep(0)
            await runner.stop_listening()
            link = host.dialer.links.find(parse_address(runner.address))
            for _ in range(2):
                link.record_failure(host.clock.monotonic(), is_silent=False)
            answer = await stream
            assert not answer.is_whole

        run(test)

    # Guards against an end that counts although nothing shows that the endpoint runs.
    def test_it_is_not_complete_if_the_endpoint_is_not_reached(self, monkeypatch):
        async def refuse(*args: object, **options: object) -> None:
            raise ExchangeError(ExchangeStep.CONNECT, "no connection")

        async def test(system: PlatformSystem) -> None:
            (runner,) = await start(system, endpoints=1, resume_streams=False)
            stream = asyncio.create_task(system.stream())
            while not runner.ran:
                await asyncio.sleep(0)
            monkeypatch.setattr(ConnectionPool, "open", refuse)
            answer = await stream
            assert not answer.is_whole

        run(test)

    def test_a_broken_off_answer_without_a_mark_of_its_end_is_reset(self):
        async def test(system: PlatformSystem) -> None:
            (runner,) = await start(system, endpoints=1, resume_streams=False)
            runner.faults.break_after = 3
            runner.faults.break_inside = True
            answer = await system.stream()
            assert "transfer-encoding" not in answer.headers
            assert not answer.is_whole

        run(test)


class TestTruncatedCalls:
    """A killed process closes its connections in order, in the middle of an answer."""

    # Guards against callers who get a part of an answer as a whole one.
    @pytest.mark.parametrize(("path", "status"), [("/book/1", 502), ("/look/1", 200)])
    def test_an_answer_of_an_endpoint_that_exits_is_not_whole(self, path, status):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            runners = [await system.add_runner(f"i-{n}", LOOKUPS) for n in range(2)]
            for runner in runners:
                runner.faults.unframed = True
                runner.faults.answer_delay = 0.1
            await system.add_host()
            await system.wait_ready()
            call = asyncio.create_task(system.send(path))
            while not count_runs(runners):
                await asyncio.sleep(0.001)
            (exiting,) = (runner for runner in runners if runner.ran)
            await exiting.stop_listening()
            answer = await call
            assert answer.status == status
            assert not answer.body.startswith(exiting.name.encode())

        run(test)

    def test_an_answer_of_an_endpoint_that_runs_is_whole(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            runner = await system.add_runner("i-0", LOOKUPS)
            runner.faults.unframed = True
            await system.add_host()
            await system.wait_ready()
            for path in ("/book/1", "/look/1"):
                answer = await system.send(path)
                assert (answer.status, answer.body) == (200, f"i-0 {path}".encode())

        run(test)


class TestWholeStreams:
    # Guards against retries for nothing where no endpoint marks its ends.
    def test_an_unmarked_end_is_checked_once(self):
        async def test(system: PlatformSystem) -> None:
            runners = await start(system, endpoints=3)
            answer = await system.stream()
            assert answer.is_whole
            assert answer.body == expected_events(EVENTS)
            assert answer.headers["transfer-encoding"] == "chunked"
            assert count_runs(runners) == 2

        run(test)

    def test_an_unmarked_end_of_the_only_endpoint_is_checked_there(self):
        async def test(system: PlatformSystem) -> None:
            runners = await start(system, endpoints=1)
            answer = await system.stream()
            assert answer.is_whole
            assert answer.body == expected_events(EVENTS)
            assert count_runs(runners) == 2

        run(test)

    def test_a_stream_that_may_not_be_resumed_is_forwarded_without_a_mark(self):
        async def test(system: PlatformSystem) -> None:
            runners = await start(system, resume_streams=False)
            answer = await system.stream()
            assert answer.is_whole
            assert answer.body == expected_events(EVENTS)
            assert "transfer-encoding" not in answer.headers
            assert count_runs(runners) == 1

        run(test)


class TestEventOrder:
    # Guards against events that are dropped as repeated although they are new.
    @pytest.mark.parametrize("number", [1, EVENTS - 1])
    def test_a_last_event_with_an_earlier_number_is_not_an_end(self, number):
        async def test(system: PlatformSystem) -> None:
            misnumbering, other = await start(system)
            for runner in (misnumbering, other):
                runner.faults.unframed = False
            misnumbering.faults.last_number = number
            answers = [await system.stream() for _ in range(CALLERS)]
            assert count_runs([misnumbering]) > 0
            assert all(answer.is_whole for answer in answers)
            assert {answer.body for answer in answers} == {expected_events(EVENTS)}

        run(test)
