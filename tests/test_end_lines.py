"""The log has exactly one end line with the result of each request received."""

import asyncio
from collections.abc import Iterator
from typing import Any

import pytest
from eliot import add_destinations, remove_destination

from passtally.front import Front
from standins.platform_config import LOOKUPS, make_config
from tests.platform_system import PlatformSystem, run
from tests.test_callers_that_leave import LeavingCaller, until

LONG = 60.0


@pytest.fixture
def ends() -> Iterator[list[dict[str, Any]]]:
    """The end lines logged so far."""
    found: list[dict[str, Any]] = []

    def record(message: dict[str, Any]) -> None:
        if message.get("message") == "front: Ended.":
            found.append(message)

    add_destinations(record)
    # Eliot sends buffered earlier messages to the first destination of a process.
    found.clear()
    yield found
    remove_destination(record)


async def start(system: PlatformSystem) -> None:
    system.store.put("config", "main", make_config())
    await system.add_runner("i-a")
    await system.add_runner("i-look", LOOKUPS)
    await system.add_host()
    await system.wait_ready()


def result_of(ends: list[dict[str, Any]]) -> str:
    """Return the result in the only end line."""
    (line,) = ends
    assert line["request"].startswith("q")
    return line["result"]


class TestAnswered:
    @pytest.mark.parametrize(
        ("path", "fields", "expected"),
        [
            ("/look/1", {}, "answered: 200"),
            ("/draft/1", {}, "streamed: 20 events"),
            ("/none/1", {}, "refused: unknown_service"),
            ("/look/1", {"key": "bad"}, "refused: unauthenticated"),
            ("/look/1", {"X_Deadline_Ms": "soon"}, "refused: bad_request"),
        ],
    )
    def test_the_result_is_logged(self, ends, path, fields, expected):
        async def test(system: PlatformSystem) -> None:
            await start(system)
            send = system.stream if path.startswith("/draft/") else system.send
            await send(path, **fields)
            assert result_of(ends).startswith(expected)

        run(test)


class TestFailed:
    def test_an_internal_error_is_logged_as_failed(self, ends, monkeypatch):
        async def fail(self, admitted, responder) -> str:
            raise RuntimeError("a fault")

        async def test(system: PlatformSystem) -> None:
            await start(system)
            monkeypatch.setattr(Front, "_call", fail)
            answer = await system.send("/look/1")
            assert result_of(ends) == "failed: RuntimeError('a fault')"
            assert answer.status == 500

        run(test)


class TestCallersThatDisconnect:
    @pytest.mark.parametrize("path", ["/look/1", "/draft/1"])
    def test_the_disconnect_is_logged(self, ends, path):
        async def test(system: PlatformSystem) -> None:
            await start(system)
            for runner in system.runners.values():
                runner.faults.head_delay = LONG
            caller = LeavingCaller(system.hosts[0], path)
            await until(lambda: any(r.working for r in system.runners.values()))
            caller.leave()
            await until(lambda: ends)
            assert result_of(ends) == "caller left"

        run(test)


class TestStops:
    @pytest.mark.parametrize("path", ["/look/1", "/draft/1"])
    def test_requests_open_after_the_grace_period_are_logged_as_aborted(
        self, ends, path
    ):
        async def test(system: PlatformSystem) -> None:
            await start(system)
            host = system.hosts.pop()
            for runner in system.runners.values():
                runner.faults.answer_delay = runner.faults.first_delay = LONG
            caller = LeavingCaller(host, path)
            await until(lambda: any(r.working for r in system.runners.values()))
            await host.leave()
            await host.stop()
            caller.leave()
            assert result_of(ends) == "broken off: the host stops"

        run(test)

    def test_requests_open_at_a_stop_without_grace_are_logged_as_aborted(self, ends):
        async def test(system: PlatformSystem) -> None:
            await start(system)
            host = system.hosts.pop()
            system.runners["i-look"].faults.answer_delay = LONG
            caller = LeavingCaller(host, "/look/1")
            await until(lambda: system.runners["i-look"].working)
            await host.stop()
            caller.leave()
            assert result_of(ends) == "broken off: the host stops"

        run(test)

    def test_requests_finished_within_the_grace_period_are_logged_as_answered(
        self, ends
    ):
        async def test(system: PlatformSystem) -> None:
            await start(system)
            host = system.hosts.pop()
            system.runners["i-look"].faults.answer_delay = 0.5
            asking = asyncio.create_task(system.send("/look/1", host=host))
            await until(lambda: system.runners["i-look"].working)
            await host.leave()
            await host.stop()
            assert (await asking).status == 200
            assert result_of(ends).startswith("answered: 200")

        run(test)
