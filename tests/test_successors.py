"""Endpoints that come back at their addresses while the platform is away."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

import pytest

from passtally.clock import ManualClock
from passtally.departures import Departures
from passtally.endpoint_changes import EndpointChanges
from passtally.messages import DepartureRow, MemberRow
from passtally.objects import Endpoint
from passtally.service_index import ServiceIndex
from passtally.successor_search import SEARCH_TIME, SuccessorSearch
from standins.platform_config import make_config
from standins.virtual import run_virtually
from tests.platform_system import PlatformSystem, run
from tests.replica_world import World

#: Time within which all hosts must use an engine that is back, in seconds.
USED_WITHIN = 5
ENGINES = ("i-0", "i-1", "i-2")


def make_row(host_id: str, domain: str = "d") -> MemberRow:
    return MemberRow(
        host_id=host_id,
        failure_domain=domain,
        counter=1,
        config_version=0,
        leaving=False,
    )


class Members:
    revision = 1

    def __init__(self, own: MemberRow, *others: MemberRow) -> None:
        self.own = own
        self._others = others

    def others(self) -> list[MemberRow]:
        return list(self._others)


def make_search(world: World, *, hosts: int, own: int) -> SuccessorSearch:
    rows = [make_row(f"h{number}") for number in range(hosts)]
    own_row = rows.pop(own)
    return SuccessorSearch(
        fleet=world.fleet,
        members=Members(own_row, *rows, make_row("other", "e")),
        clock=world.clock,
        is_informed=lambda: False,
    )


class TestSearch:
    def test_a_replaced_endpoint_is_found_at_its_address(self):
        async def test() -> None:
            world = World()
            live = world.fleet.find("a1")
            live.engine.replaced_by = "new-a1"
            world.fleet.losses.record(live, is_endpoint_unreachable=True)
            make_search(world, hosts=1, own=0).ask(
                world.fleet.losses.list_recent(within=SEARCH_TIME)
            )
            await asyncio.sleep(0.1)
            assert world.successors == ["new-a1"]
            assert not world.fleet.losses.list_recent(within=SEARCH_TIME)

        run_virtually(test())

    def test_an_endpoint_that_answers_again_is_used_again(self):
        async def test() -> None:
            world = World()
            live = world.fleet.find("a1")
            world.fleet.losses.record_end(live)
            assert live.is_ejected
            make_search(world, hosts=1, own=0).ask([live])
            await asyncio.sleep(0.1)
            assert not live.is_ejected
            assert not world.fleet.losses.list_recent(within=SEARCH_TIME)

        run_virtually(test())

    # Guards against questions by each of hundreds of hosts; each one is billed.
    def test_one_host_of_each_failure_domain_asks(self):
        async def test() -> None:
            world = World()
            for name in ("a1", "a2", "b1"):
                live = world.fleet.find(name)
                world.fleet.losses.record(live, is_endpoint_unreachable=True)
            searches = [make_search(world, hosts=20, own=n) for n in range(20)]
            for live in world.fleet.losses.list_recent(within=SEARCH_TIME):
                name = live.endpoint.id
                assert sum(search._is_asker(name) for search in searches) == 1

        run_virtually(test())

    # Guards against questions without end about endpoints that are gone for good.
    def test_it_ends_some_time_after_the_loss(self):
        async def test() -> None:
            world = World()
            live = world.fleet.find("a1")
            world.fleet.losses.record(live, is_endpoint_unreachable=True)
            await asyncio.sleep(SEARCH_TIME.total_seconds() + 1)
            assert not world.fleet.losses.list_recent(within=SEARCH_TIME)

        run_virtually(test())


class TestWithThePlatform:
    # Guards against questions about endpoints that the platform reports in time, and
    # against none about those that it does not.
    @pytest.mark.parametrize(
        ("is_informed", "seconds", "asked"),
        [(True, 2, False), (True, 4, True), (False, 2, True)],
    )
    def test_it_asks_for_what_the_platform_has_not_reported(
        self, is_informed, seconds, asked
    ):
        async def test() -> None:
            world = World()
            live = world.fleet.find("a1")
            live.engine.replaced_by = "new-a1"
            world.fleet.losses.record(live, is_endpoint_unreachable=True)
            search = SuccessorSearch(
                fleet=world.fleet,
                members=Members(make_row("h")),
                clock=world.clock,
                is_informed=lambda: is_informed,
            )
            task = asyncio.create_task(search.run())
            await asyncio.sleep(seconds + 0.1)
            task.cancel()
            assert bool(world.successors) == asked

        run_virtually(test())


class ToldHost:
    """A host that learns of successors from other hosts."""

    def __init__(self, *known: str) -> None:
        self.catalog = ServiceIndex()
        for name in known:
            self.put(Endpoint(id=name, service="s", url="http://x", failure_domain="d"))
        self.departures = Departures()
        info = SimpleNamespace(id="s", capacity_tokens=1)
        self.routes = SimpleNamespace(current=SimpleNamespace(services=[info]))
        self.registry = SimpleNamespace(put=self.put)
        changes = EndpointChanges(host=self, adapter=None, connect=lambda _: None)
        self.departures.on_successor = changes.learn_successor

    def put(self, endpoint: Endpoint) -> None:
        """Put an endpoint in place of the one that has its address."""
        for known in list(self.catalog.endpoints_by_id.values()):
            if known.url == endpoint.url:
                self.catalog.drop_endpoint(known.id)
        self.catalog.put_endpoint(endpoint)

    def tell(self, ended: str, successor: str) -> None:
        """Let another host tell what it found."""
        teller = Departures()
        start = Endpoint(
            id=ended, service="s", url="http://x", failure_domain="d"
        ).start
        teller.record(start, channel="test", successor=successor)
        self.departures.merge(teller.pop_updates())

    @property
    def known(self) -> list[str]:
        return list(self.catalog.endpoints_by_id)


class TestTold:
    def test_a_successor_takes_the_place_of_the_one_that_ended(self):
        host = ToldHost("x")
        host.tell("x", "y")
        assert host.known == ["y"]
        assert not host.catalog.endpoints_by_id["y"].has_entry

    def test_it_spreads_further_although_the_departure_was_known(self):
        departures = Departures()
        start = Endpoint(id="x", service="s", url="http://x", failure_domain="d").start
        departures.record(start, channel="test")
        while departures.has_updates:
            departures.pop_updates()
        departures.record(start, channel="test", successor="y")
        assert departures.has_updates
        assert departures.pop_updates()[0].successor == "y"

    # Guards against an endpoint that is dropped for an earlier one at its address.
    def test_late_news_of_an_earlier_successor_changes_nothing(self):
        host = ToldHost("z")
        host.tell("x", "y")
        assert host.known == ["z"]

    def test_news_in_the_wrong_order_lead_to_the_last_successor(self):
        host = ToldHost("x")
        host.tell("y", "z")
        host.tell("x", "y")
        assert host.known == ["z"]

    # Guards against an endpoint of another service that a host of an earlier build
    # takes for the successor, since it presumes the service.
    def test_a_successor_of_a_presumed_service_is_not_used(self):
        host = ToldHost("x")
        host.departures.merge(
            [DepartureRow(endpoint_id="x", incarnation=0, successor="y")]
        )
        assert host.known == ["x"]
        assert not host.departures.find_successor("x")
        host.tell("x", "z")
        assert host.known == ["z"]

    # Guards against news that name each other's endpoints and never end.
    def test_contradicting_news_end(self):
        host = ToldHost("x")
        host.tell("y", "x")
        host.tell("x", "y")
        assert len(host.known) == 1


class FoundHost:
    """A host that finds another endpoint at the address of one that exited.

    Args:
        alive_at: The latest time at which the one that exited certainly ran.
    """

    REUSE_AFTER = timedelta(seconds=2)

    def __init__(self, *, alive_at: timedelta | None) -> None:
        self.clock = ManualClock()
        info = SimpleNamespace(id="s", capacity_tokens=1)
        self.routes = SimpleNamespace(current=SimpleNamespace(services=[info]))
        self.settings = SimpleNamespace(address_reuse_after=self.REUSE_AFTER)
        live = SimpleNamespace(alive_at=alive_at)
        self.fleet = SimpleNamespace(find=lambda endpoint_id: live)
        self.used: list[str] = []
        self.registry = SimpleNamespace(
            put=lambda found: self.used.append(found.id),
            use_set_aside=lambda endpoint_id: False,
        )
        self.departures = Departures()
        self.spawn = asyncio.ensure_future

    async def find(self) -> list[str]:
        """Find an endpoint, and return which endpoints are used."""

        async def is_engine(engine: object) -> bool:
            return True

        changes = EndpointChanges(
            host=self,
            adapter=SimpleNamespace(is_engine=is_engine),
            connect=lambda _: None,
        )
        ended = Endpoint(id="x", service="s", url="http://x", failure_domain="d")
        changes.use_successor(ended, "y")
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return self.used


class TestServiceOfASuccessor:
    """No answer names the service of its sender."""

    # Guards against requests that run at an endpoint of another service, which has the
    # address while the platform is away.
    @pytest.mark.parametrize(
        ("alive_ago", "is_used"),
        [
            (FoundHost.REUSE_AFTER - timedelta(milliseconds=1), True),
            (FoundHost.REUSE_AFTER, False),
            (None, False),
        ],
    )
    def test_it_is_known_while_the_address_can_not_have_passed_on(
        self, alive_ago, is_used
    ):
        now = ManualClock().monotonic()
        alive_at = None if alive_ago is None else now - alive_ago
        host = FoundHost(alive_at=alive_at)
        assert asyncio.run(host.find()) == (["y"] if is_used else [])
        assert bool(host.departures.find_successor("x")) == is_used

    def test_without_the_time_in_the_settings_it_is_not_known(self):
        host = FoundHost(alive_at=ManualClock().monotonic())
        host.settings.address_reuse_after = timedelta(0)
        assert asyncio.run(host.find()) == []

    # Guards against an answer that is read late, after its sender has exited, and is
    # taken for a sign that it still runs.
    def test_an_endpoint_ran_when_the_request_that_it_answered_was_sent(self):
        async def test() -> None:
            world = World()
            live = world.fleet.find("a1")
            assert live.alive_at is None
            sent_at = world.clock.monotonic()

            async def answer_late() -> int:
                await asyncio.sleep(3)
                return 0

            live.engine.count_waiting = answer_late
            await live.count_waiting()
            assert live.alive_at == sent_at
            live.record_alive(sent_at - timedelta(seconds=1))
            assert live.alive_at == sent_at

        run_virtually(test())


class TestWithoutThePlatform:
    # Guards against requests of a service that run at an endpoint of another one, which
    # started at the address of one that crashed while the platform is away.
    def test_an_endpoint_of_another_service_gets_no_requests(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            for name in ENGINES[:2]:
                await system.add_runner(name)
            first = await system.add_host("front-0")
            await system.add_host("front-1", str(first.settings.peer_listen))
            await system.wait_ready()
            for host in system.hosts * 2:
                assert (await system.stream(host=host)).status == 200
            system.store.refusal = 503
            old = system.runners["i-0"]
            old.crash()
            await asyncio.sleep(FoundHost.REUSE_AFTER.total_seconds())
            port = int(old.address.rpartition(":")[2])
            other = await system.add_runner("other", "foreign", port=port)
            until = asyncio.get_running_loop().time() + 3
            while asyncio.get_running_loop().time() < until:
                for host in system.hosts:
                    assert (await system.stream(host=host)).status == 200
            assert other.ran == []

        run(test)

    # Guards against engines that are back and get no requests until the platform is.
    def test_all_hosts_use_engines_that_are_back(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            for name in ENGINES:
                await system.add_runner(name)
            first = await system.add_host("front-0")
            seeds = str(first.settings.peer_listen)
            for number in range(1, 3):
                await system.add_host(f"front-{number}", seeds)
            await system.wait_ready()
            while any(len(host.roster.linked()) < 2 for host in system.hosts):
                await asyncio.sleep(0.02)
            system.store.refusal = 503
            while any(host.watch.is_receiving for host in system.hosts):
                await asyncio.sleep(0.02)
            # The address of an endpoint passes to another service only some time after
            # its end, and it ran when a host sent it what it answered.
            while any(
                host.fleet.find(name).alive_at is None
                for host in system.hosts
                for name in ENGINES
            ):
                for host in system.hosts:
                    await system.stream(host=host)
            for name in ENGINES:
                old = system.runners[name]
                old.crash()
                await asyncio.sleep(0.05)
                port = int(old.address.rpartition(":")[2])
                await system.add_runner(f"new-{name}", port=port)
            # The first host has lost streams there, and tells the others.
            for name in ENGINES:
                live = first.fleet.find(name)
                first.fleet.losses.record(live, is_endpoint_unreachable=True)
            expected = {f"new-{name}" for name in ENGINES}
            async with asyncio.timeout(USED_WITHIN):
                while any(
                    set(host.catalog.endpoints_by_id) != expected
                    for host in system.hosts
                ):
                    await asyncio.sleep(0.05)
            answers = [await system.stream(host=host) for host in system.hosts]
            assert [answer.status for answer in answers] == [200] * 3

        run(test)
