"""Open connections that fall silent for good, without a reset, while new ones work.

A reader of such a connection receives nothing, and TCP may not report an error. Only
a timeout of the application detects it.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from datetime import timedelta

import attrs
import pytest

from passtally.front_host import FrontHost
from passtally.messages import ConfigChanges, FetchConfig
from passtally.peers import PeerError
from passtally.platform.store import LIST_TIMEOUT
from soak.link import FaultyLink
from standins.platform_config import LOOKUPS, make_config
from standins.ports import free_ports
from standins.runner import RunnerStandIn
from tests.platform_system import PlatformSystem, expected_events, run
from tests.test_peers import answer, make_peers

ENGINES = 3
EVENTS = 100
#: Maximum pause of a stream that is still in time, in seconds.
PAUSE = 0.7
#: Twice the target time of calls, in seconds, after which a repeatable call is retried
#: at another endpoint.
PATIENCE = 0.6
#: Allowance for delays of the test machine, in seconds.
SLACK = 0.3


class LinkedSystem:
    """A system whose host reaches all endpoints and the store over faulty links."""

    def __init__(self, system: PlatformSystem) -> None:
        self.system = system
        self.links: list[FaultyLink] = []
        self.store_link: FaultyLink | None = None

    async def add_runner(self, name: str, *service: str, **fields) -> RunnerStandIn:
        runner = await self.system.add_runner(name, *service, **fields)
        link = await self.add_link(runner.address)
        self.links.append(link)
        runner.address = f"127.0.0.1:{link.port}"
        self.system.store.put("servers", name, runner.entry(*service or ("huvo11a",)))
        return runner

    async def add_link(self, address: str) -> FaultyLink:
        link = FaultyLink(target=int(address.rpartition(":")[2]))
        await link.start()
        return link

    async def start(self, *, within: float = 3, engines: int = ENGINES) -> FrontHost:
        """Start a host with engines and endpoints for calls.

        Args:
            within: Time in which the host must apply a change, in seconds.
            engines: Number of engines.
        """
        self.system.store.put("config", "main", make_config())
        for number in range(engines):
            await self.add_runner(f"i-{number}", events=EVENTS, gap=0.01)
        for number in range(2):
            await self.add_runner(f"i-look{number}", LOOKUPS)
        port = await self.system.store.start()
        self.system._store_port = port
        self.store_link = await self.add_link(f":{port}")
        with apply_within(within):
            host = await self.system.add_host(store_port=self.store_link.port)
        await self.system.wait_ready()
        return host

    def silence_endpoints(self) -> None:
        """Silence all open connections to endpoints."""
        for link in self.links:
            link.silence_open()

    async def warm(self, send: Callable[[], Awaitable], runners: Iterator) -> None:
        """Open several connections to each of some endpoints, and leave them idle."""
        runners = list(runners)
        for runner in runners:
            runner.faults.head_delay = 0.1
        while not all(len(runner.requests) >= 2 for runner in runners):
            await asyncio.gather(*(send() for _ in range(8)))
        for runner in runners:
            runner.faults.head_delay = 0


@contextmanager
def apply_within(seconds: float) -> Iterator[None]:
    """Set the ``apply_within`` setting of hosts that are created in this context."""
    made = FrontHost.__init__

    def make(host: FrontHost, *, settings, **fields) -> None:
        duration = timedelta(seconds=seconds)
        made(host, settings=attrs.evolve(settings, apply_within=duration), **fields)

    FrontHost.__init__ = make
    try:
        yield
    finally:
        FrontHost.__init__ = made


def run_linked(test: Callable[[LinkedSystem], Awaitable[None]]) -> None:
    """Run a test against a system with faulty links."""

    async def main(system: PlatformSystem) -> None:
        linked = LinkedSystem(system)
        try:
            await test(linked)
        finally:
            for host in system.hosts:
                await host.stop()
            for link in [*linked.links, linked.store_link]:
                link.stop()

    run(main)


def now() -> float:
    return asyncio.get_running_loop().time()


class TestCalls:
    def test_a_repeatable_call_is_retried_elsewhere(self):
        """Even if all idle connections to the other endpoint are silent too."""

        async def test(linked: LinkedSystem) -> None:
            await linked.start(engines=1)
            system = linked.system
            lookups = [system.runners["i-look0"], system.runners["i-look1"]]
            await linked.warm(lambda: system.send("/look/1"), lookups)
            linked.silence_endpoints()
            began = now()
            assert (await system.send("/look/1")).status == 200
            assert now() - began < PATIENCE + SLACK

        run_linked(test)

    def test_calls_after_a_silent_one_use_new_connections(self):
        async def test(linked: LinkedSystem) -> None:
            await linked.start(engines=1)
            system = linked.system
            lookups = [system.runners["i-look0"], system.runners["i-look1"]]
            await linked.warm(lambda: system.send("/look/1"), lookups)
            linked.silence_endpoints()
            await system.send("/look/1")
            began = now()
            for number in range(4):
                answer = await system.send(f"/book/{number}", X_Deadline_Ms="2000")
                assert answer.status == 200
            assert now() - began < SLACK

        run_linked(test)

    def test_a_call_that_may_not_be_repeated_ends_at_its_deadline(self):
        async def test(linked: LinkedSystem) -> None:
            await linked.start(engines=1)
            system = linked.system
            lookups = [system.runners["i-look0"], system.runners["i-look1"]]
            await linked.warm(lambda: system.send("/look/1"), lookups)
            linked.silence_endpoints()
            began = now()
            answer = await system.send("/book/1", X_Deadline_Ms="1000")
            assert answer.status == 504
            assert 1 <= now() - began < 1 + SLACK

        run_linked(test)


class TestStreams:
    async def warm(self, linked: LinkedSystem) -> FrontHost:
        host = await linked.start()
        system = linked.system
        engines = [system.runners[f"i-{number}"] for number in range(ENGINES)]
        for engine in engines:
            engine.events = 2
        await linked.warm(system.stream, engines)
        for engine in engines:
            engine.events = EVENTS
        return host

    def test_a_stream_with_output_resumes_in_time(self):
        """Even if the idle connections to its replica's endpoint are silent too."""

        async def test(linked: LinkedSystem) -> None:
            await self.warm(linked)
            system = linked.system
            task = asyncio.create_task(system.stream(X_Prefix_Hash="a1:200,a2:300"))
            runners = system.runners.values()
            while not any(v > 10 for r in runners for v in r.replicas.values()):
                await asyncio.sleep(0.01)
            linked.silence_endpoints()
            began = now()
            while not any(runner.attached for runner in runners):
                assert not task.done()
                await asyncio.sleep(0.005)
            assert now() - began < PAUSE + SLACK
            answer = await task
            assert answer.is_whole
            assert answer.body == expected_events(EVENTS)

        run_linked(test)

    def test_a_stream_at_the_only_engine_resumes_there(self):
        async def test(linked: LinkedSystem) -> None:
            await linked.start(engines=1)
            engine = linked.system.runners["i-0"]
            task = asyncio.create_task(linked.system.stream())
            while not engine.working:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.2)
            linked.silence_endpoints()
            answer = await task
            assert answer.is_whole
            assert answer.body == expected_events(EVENTS)
            assert len(engine.ran) == 2

        run_linked(test)

    def test_a_stream_before_its_first_output_is_retried(self):
        async def test(linked: LinkedSystem) -> None:
            await self.warm(linked)
            system = linked.system
            runners = system.runners.values()
            for runner in runners:
                runner.faults.head_delay = 0.5
            task = asyncio.create_task(system.stream())
            while not any(runner.working for runner in runners):
                await asyncio.sleep(0.005)
            linked.silence_endpoints()
            for runner in runners:
                runner.faults.head_delay = 0
            answer = await task
            assert answer.is_whole
            assert answer.body == expected_events(EVENTS)

        run_linked(test)


class TestStore:
    @pytest.mark.parametrize("within", [2, 3])
    def test_a_change_is_applied_in_time(self, within):
        """All connections to the store fall silent as the change is confirmed."""

        async def test(linked: LinkedSystem) -> None:
            host = await linked.start(within=within)
            system = linked.system
            # Listings leave some more idle connections.
            await asyncio.gather(
                *(host.store.list_objects("servers/") for _ in range(4))
            )
            while not host.watch.is_up:
                await asyncio.sleep(0.01)
            linked.store_link.silence_open()
            system.store.put("config", "main", make_config(7))
            began = now()
            while host.routes.current.version != 7:
                await asyncio.sleep(0.01)
            took = now() - began
            assert took < within

        run_linked(test)

    def test_a_silent_listing_is_retried(self):
        """The store has dropped the history that the watch needs, so the host lists."""

        async def test(linked: LinkedSystem) -> None:
            host = await linked.start()
            store = linked.system.store
            while not host.watch.is_up:
                await asyncio.sleep(0.01)
            store.list_delay = 0.2
            store.put("config", "main", make_config(7))
            store.forget_history()
            while store.listings < 1:
                await asyncio.sleep(0.005)
            linked.store_link.silence_open()
            store.list_delay = 0
            began = now()
            while host.routes.current.version != 7:
                await asyncio.sleep(0.01)
            # The timeout of the listing, a pause before the next one, and that one.
            limit = LIST_TIMEOUT.total_seconds()
            assert limit / 2 < now() - began < limit + 0.5

        run_linked(test)


class TestPeers:
    def test_a_silent_link_is_replaced(self):
        async def main() -> None:
            port_a, port_b = free_ports(2)
            link = FaultyLink(target=port_b)
            await link.start()
            first = make_peers("a", port_a, b=link.port)
            second = make_peers("b", port_b)
            second.on(FetchConfig, answer)
            second.start()
            await second.bind()
            first.start()
            message = FetchConfig(after=0)
            await first.ask("b", message, timeout=timedelta(seconds=5))
            link.silence_open()
            began = now()
            while True:
                try:
                    reply = await first.ask("b", message)
                    break
                except PeerError:
                    assert now() - began < 4
            assert reply == ConfigChanges(listing=b"[]")
            # A heartbeat every second, 1.5 s to answer it, and the time for a new link.
            assert now() - began < 3
            await first.stop()
            await second.stop()
            link.stop()

        asyncio.run(main())
