"""The work for a caller that leaves ends, and nothing more is sent to endpoints for it.

Guards against endpoints that continue a run, or receive a request, for a caller that
has left. All work must end within 0.5 s after the caller's close has reached the host.
Each class covers one stage of the request at that moment.
"""

import asyncio
import socket
import time
from collections.abc import Callable, Coroutine

import pytest
import uvloop

from passtally.capacity import Capacity
from passtally.front_host import FrontHost
from standins.platform_config import KEY, LOOKUPS, make_config
from standins.runner import RunnerStandIn
from tests.platform_system import PlatformSystem, run

#: Time limit for the end of all work after a caller has left, in seconds.
LIMIT = 0.5
LONG = 60.0
STREAM = (
    "X-Model: m\r\nX-Token-Usage: 500,100\r\n"
    "X-Prefix-Hash: 5c1e07a2:200,a1:300\r\nX-Deadline-Ms: 30000\r\n"
)


class LeavingCaller:
    """A caller that sends one request, reads nothing, and leaves."""

    def __init__(self, host: FrontHost, path: str) -> None:
        address = host.settings.listen
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self._sock.connect((address.host, address.port))
        fields = STREAM if path.startswith("/draft/") else ""
        self._sock.sendall(
            f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: q1\r\n"
            f"X-Key: {KEY}\r\nContent-Length: 0\r\n{fields}\r\n".encode()
        )

    def leave(self, *, is_half: bool = False) -> None:
        """Close the connection, or only the direction towards the host."""
        if is_half:
            self._sock.shutdown(socket.SHUT_WR)
        else:
            self._sock.close()


class Runners:
    """All endpoints of a system."""

    def __init__(self, system: PlatformSystem) -> None:
        self.all = list(system.runners.values())

    @property
    def arrivals(self) -> int:
        return sum(len(runner.requests) for runner in self.all)

    @property
    def working(self) -> int:
        return sum(runner.working for runner in self.all)

    def set_faults(self, **faults: object) -> None:
        for runner in self.all:
            for name, value in faults.items():
                setattr(runner.faults, name, value)


async def start(
    system: PlatformSystem, *, events: int = 200, engines: int = 3, lookups: int = 2
) -> FrontHost:
    """Start a host with engines and with endpoints for calls."""
    config = make_config()
    for route in config["routes"]:
        route["target_latency_ms"] = 5000
    system.store.put("config", "main", config)
    for number in range(engines):
        await system.add_runner(f"i-{number}", events=events)
    for number in range(lookups):
        await system.add_runner(f"i-look{number}", LOOKUPS)
    host = await system.add_host()
    await system.wait_ready()
    return host


async def until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.002)


async def check_work_ends(
    system: PlatformSystem, caller: LeavingCaller, **how: bool
) -> None:
    """Let a caller leave, and check that its work ends and no other work starts."""
    host, runners = system.hosts[0], Runners(system)
    arrivals = runners.arrivals
    caller.leave(**how)
    async with asyncio.timeout(LIMIT):
        while host.drain.open_requests or runners.working:
            await asyncio.sleep(0.002)
    await asyncio.sleep(LIMIT)
    assert runners.arrivals == arrivals
    assert not runners.working


def check(test: Callable[[PlatformSystem], Coroutine]) -> None:
    """Run a test with asyncio's own event loop, and with uvloop as hosts use it."""
    run(test)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run_once(test))


async def _run_once(test: Callable[[PlatformSystem], Coroutine]) -> None:
    system = PlatformSystem()
    try:
        await asyncio.wait_for(test(system), 20)
    finally:
        await system.stop()


class TestBeforeTheRequestIsRead:
    """The event loop is blocked while the request arrives and its caller leaves."""

    @pytest.mark.parametrize("path", ["/draft/1", "/look/1"])
    def test_nothing_is_sent_over_open_connections(self, path, monkeypatch):
        async def test(system: PlatformSystem) -> None:
            host = await start(system, events=2, engines=1, lookups=1)
            await (system.send(path) if path == "/look/1" else system.stream(path))
            runners = Runners(system)
            await until(lambda: not runners.working)
            arrivals = runners.arrivals
            lost = []
            monkeypatch.setattr(host.front_server, "remove", lost.append)
            LeavingCaller(host, path).leave()
            time.sleep(LIMIT)
            await until(lambda: lost)
            # A request that was sent in error would arrive within a few milliseconds.
            await asyncio.sleep(0.1)
            assert runners.arrivals == arrivals

        check(test)


class TestWhileTheHostStarts:
    def test_a_request_that_waits_for_the_configuration_is_dropped(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            await system.add_runner("i-look", LOOKUPS)
            system.store.refusal = 503
            host = await system.add_host()
            caller = LeavingCaller(host, "/look/1")
            await until(lambda: host.drain.open_requests)
            await check_work_ends(system, caller)
            system.store.refusal = None

        run(test)


class TestWhileQueuedAtTheGate:
    @pytest.mark.parametrize("path", ["/draft/1", "/look/1"])
    def test_a_queued_request_is_not_admitted_later(self, path, monkeypatch):
        async def test(system: PlatformSystem) -> None:
            host = await start(system)
            full = Capacity(taken=100, places=100)
            monkeypatch.setattr(host.fleet, "service_capacity", lambda service: full)
            caller = LeavingCaller(host, path)
            await until(lambda: host.gate._futures)
            caller.leave()
            await until(lambda: not host.drain.open_requests)
            monkeypatch.undo()
            await check_work_ends(system, caller)
            assert not host.gate._futures

        run(test)


class TestDuringPlacement:
    def test_no_request_follows_a_survey(self, monkeypatch):
        async def test(system: PlatformSystem) -> None:
            host = await start(system)
            runners = Runners(system)
            runners.set_faults(report_delay=0.09)
            survey = host.dispatcher._placement._survey
            monkeypatch.setattr(survey, "_is_needed", lambda: True)
            caller = LeavingCaller(host, "/draft/1")
            await until(lambda: any(runner.reports for runner in runners.all))
            await check_work_ends(system, caller)
            assert sum(runner.reports for runner in runners.all) == 1
            assert not runners.arrivals

        run(test)


class TestDuringPrefill:
    @pytest.mark.parametrize("fault", ["head_delay", "first_delay"])
    def test_the_endpoint_stops(self, fault):
        async def test(system: PlatformSystem) -> None:
            host = await start(system)
            runners = Runners(system)
            runners.set_faults(**{fault: LONG})
            caller = LeavingCaller(host, "/draft/1")
            await until(lambda: runners.working)
            await check_work_ends(system, caller)

        run(test)


class TestWhileTheAnswerStreams:
    def test_the_endpoint_stops(self):
        async def test(system: PlatformSystem) -> None:
            host = await start(system)
            caller = LeavingCaller(host, "/draft/1")
            await until(lambda: any(r.replicas for r in system.runners.values()))
            await check_work_ends(system, caller)

        run(test)

    @pytest.mark.parametrize("is_half", [False, True])
    def test_the_endpoint_stops_for_a_caller_that_does_not_read(self, is_half):
        async def test(system: PlatformSystem) -> None:
            host = await start(system, events=2000)
            Runners(system).set_faults(event_bytes=100_000)
            caller = LeavingCaller(host, "/draft/1")
            await until(lambda: host.front_server._connections)
            (connection,) = host.front_server._connections
            await until(lambda: not connection._writable.is_set())
            await check_work_ends(system, caller, is_half=is_half)

        check(test)


def running(system: PlatformSystem) -> RunnerStandIn:
    return next(runner for runner in system.runners.values() if runner.working)


class TestDuringFailover:
    def test_the_next_endpoint_stops(self):
        async def test(system: PlatformSystem) -> None:
            host = await start(system)
            caller = LeavingCaller(host, "/draft/1")
            await until(lambda: any(r.replicas for r in system.runners.values()))
            first = running(system)
            Runners(system).set_faults(head_delay=LONG)
            first.faults.break_after = 100
            await until(lambda: Runners(system).arrivals == 2)
            await check_work_ends(system, caller)

        run(test)

    def test_nothing_is_sent_after_a_wait_for_a_retry(self, monkeypatch):
        async def test(system: PlatformSystem) -> None:
            host = await start(system)
            asked = asyncio.Event()

            async def lend_late(service: str, amount: float) -> float:
                asked.set()
                await asyncio.sleep(LIMIT / 2)
                return amount

            budgets = host.dispatcher._budgets
            monkeypatch.setattr(budgets, "_extra", lambda: 0.0)
            monkeypatch.setattr(budgets, "_ask_others", lend_late)
            caller = LeavingCaller(host, "/draft/1")
            await until(lambda: any(r.replicas for r in system.runners.values()))
            running(system).faults.break_after = 100
            await asked.wait()
            await check_work_ends(system, caller)

        run(test)

    def test_a_silent_endpoint_without_failover_stops(self, monkeypatch):
        async def test(system: PlatformSystem) -> None:
            host = await start(system)
            budgets = host.dispatcher._budgets
            monkeypatch.setattr(budgets, "_extra", lambda: 0.0)
            caller = LeavingCaller(host, "/draft/1")
            await until(lambda: any(r.replicas for r in system.runners.values()))
            first = running(system)
            first.faults.hang_after = 100
            live = host.fleet.find(first.name)
            await until(lambda: any(guard.is_kept_waiting for guard in live.guards))
            await check_work_ends(system, caller)

        run(test)


class TestCalls:
    def test_the_endpoint_stops(self):
        async def test(system: PlatformSystem) -> None:
            host = await start(system)
            runners = Runners(system)
            runners.set_faults(answer_delay=LONG)
            caller = LeavingCaller(host, "/look/1")
            await until(lambda: runners.working)
            await check_work_ends(system, caller)

        run(test)

    def test_no_retry_is_sent_to_a_second_endpoint(self, monkeypatch):
        """The first endpoint lost the answer, and the host is borrowing a retry."""

        async def test(system: PlatformSystem) -> None:
            host = await start(system)
            asked = asyncio.Event()

            async def lend_late(service: str, amount: float) -> float:
                asked.set()
                await asyncio.sleep(LIMIT / 2)
                return amount

            budgets = host.dispatcher._budgets
            monkeypatch.setattr(budgets, "_extra", lambda: 0.0)
            monkeypatch.setattr(budgets, "_ask_others", lend_late)
            Runners(system).set_faults(lose_answers=1)
            caller = LeavingCaller(host, "/look/1")
            await asked.wait()
            await check_work_ends(system, caller)
            assert Runners(system).arrivals == 1

        run(test)

    def test_the_second_endpoint_stops(self):
        async def test(system: PlatformSystem) -> None:
            host = await start(system)
            runners = Runners(system)
            runners.set_faults(lose_answers=1, answer_delay=0.05)
            caller = LeavingCaller(host, "/look/1")
            await until(lambda: runners.arrivals == 1)
            runners.set_faults(head_delay=LONG)
            await until(lambda: runners.working and runners.arrivals == 2)
            await check_work_ends(system, caller)

        run(test)
