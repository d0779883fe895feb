"""Open connections fall silent for good, without a reset, while new ones work.

Whoever waits on such a connection hears nothing, and TCP may not tell: only a time
limit of our own shows it.
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
from standins.runner import RunnerStandIn
from tests.platform_system import PlatformSystem, expected_events, free_ports, run
from tests.test_peers import answer, make_peers

ENGINES = 3
EVENTS = 100
#: The longest pause of a stream that is still in time, in seconds, as users set it.
PAUSE = 0.7
#: Twice the target of the calls, after which a repeatable one goes on elsewhere.
PATIENCE = 0.6
#: What a test's machine may add, in seconds.
SLACK = 0.3


class LinkedSystem:
    """A system whose host reaches all endpoints and the store over links."""

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
        """Start a host before engines and endpoints for calls.

        Args:
            within: In how many seconds a change must be in force.
            engines: How many engines.
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
        """Silence all connections to endpoints that are open now."""
        for link in self.links:
            link.silence_open()

    async def warm(self, send: Callable[[], Awaitable], runners: Iterator) -> None:
        """Leave several kept connections to each of some endpoints."""
        runners = list(runners)
        for runner in runners:
            runner.faults.head_delay = 0.1
        while not all(len(runner.requests) >= 2 for runner in runners):
            await asyncio.gather(*(send() for _ in range(8)))
        for runner in runners:
            runner.faults.head_delay = 0


@contextmanager
def apply_within(seconds: float) -> Iterator[None]:
    """Let hosts that are made now put changes in force within some time."""
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
    """Run a test before a system with links."""

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
    def test_a_repeatable_call_goes_on_elsewhere(self):
        """Also where all kept connections to the other endpoint are silent."""

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

    def test_after_one_the_next_are_sent_on_new_connections(self):
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

    def test_one_that_may_not_be_repeated_ends_at_its_callers_limit(self):
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

    def test_one_in_the_middle_goes_on_in_time(self):
        """Also where the kept connections to its replica's endpoint are silent."""

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

    def test_one_at_the_only_engine_goes_on_there(self):
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

    def test_one_before_its_first_output_goes_on(self):
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
    def test_a_change_is_in_force_in_time(self, within):
        """All connections to the store fall silent as the change is confirmed."""

        async def test(linked: LinkedSystem) -> None:
            host = await linked.start(within=within)
            system = linked.system
            # Some more kept connections, as listings leave them.
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

    def test_a_listing_that_hears_nothing_is_asked_for_again(self):
        """The changes since the last watch are forgotten, and the listing is silent."""

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
            # The time limit of the listing, a pause before the next, and that one.
            limit = LIST_TIMEOUT.total_seconds()
            assert limit / 2 < now() - began < limit + 0.5

        run_linked(test)


class TestPeers:
    def test_a_silent_link_is_opened_anew(self):
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
                    heard = await first.ask("b", message)
                    break
                except PeerError:
                    assert now() - began < 4
            assert heard == ConfigChanges(listing=b"[]")
            # A heartbeat each second, an answer to it within 1.5 s, and a new link.
            assert now() - began < 3
            await first.stop()
            await second.stop()
            link.stop()

        asyncio.run(main())
