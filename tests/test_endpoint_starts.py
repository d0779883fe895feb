"""Endpoints that restart under the same id, and have lost the state of before.

A crash and restart within a second only change the entry of the endpoint. The id, and
often the address, stay the same. State that is kept by the id alone would then apply to
the wrong start.
"""

import asyncio
from datetime import timedelta

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passtally.catalog import Catalog
from passtally.clock import ManualClock
from passtally.departures import Departures
from passtally.endpoint_registry import EndpointRegistry
from passtally.fleet import Fleet
from passtally.load_exchange import LoadTable
from passtally.messages import HostNews, TokenLoad
from passtally.objects import (
    UNKNOWN_INCARNATION,
    Endpoint,
    EndpointStart,
    EndpointState,
    Service,
    ServiceKind,
)
from passtally.platform.decode import decode_endpoint
from standins.platform_config import ENGINE, LOOKUPS, make_config
from standins.virtual import run_virtually
from tests.platform_system import PlatformSystem, run
from tests.replica_world import WHOLE, World

BORN = 1_764_720_000_000
SPEC = b'{"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready"%b}'


def start_of(incarnation: int) -> EndpointStart:
    return EndpointStart(endpoint_id="a", incarnation=incarnation)


class Registered:
    """A fleet with its endpoint registry."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.catalog = Catalog()
        self.catalog.put_service(Service(id="s", kind=ServiceKind.MODEL))
        self.fleet = Fleet(
            catalog=self.catalog,
            clock=self.clock,
            connect=lambda endpoint: None,
            departures=Departures(),
        )
        self.on_started: list[EndpointStart] = []
        self.registry = EndpointRegistry(
            catalog=self.catalog,
            clock=self.clock,
            on_removed=self.fleet.remove,
            on_started=self._record_start,
        )

    def _record_start(self, endpoint: Endpoint) -> None:
        self.on_started.append(endpoint.start)
        self.fleet.record_start(endpoint)

    def put(self, incarnation: int, **fields) -> None:
        defaults = {"url": "http://127.0.0.1:1", "failure_domain": "pilar"}
        self.registry.put(
            Endpoint(
                id="a", service="s", incarnation=incarnation, **(defaults | fields)
            )
        )

    @property
    def live(self):
        return self.fleet.find("a")


class TestWhichStart:
    @pytest.mark.parametrize(
        ("before", "after", "is_next"),
        [
            (BORN, BORN + 1, True),
            (BORN, BORN, False),
            (BORN + 1, BORN, False),
            (UNKNOWN_INCARNATION, BORN, False),
            (BORN, UNKNOWN_INCARNATION, False),
        ],
    )
    def test_a_start_follows_another_only_if_both_are_known(
        self, before, after, is_next
    ):
        assert start_of(before).precedes(start_of(after)) is is_next

    def test_the_start_time_is_read_from_the_entry(self):
        spec = SPEC % b',"born":%d' % BORN
        assert decode_endpoint("a", spec).start == start_of(BORN)

    def test_an_entry_without_a_start_time_is_accepted(self):
        assert decode_endpoint("a", SPEC % b"").incarnation == UNKNOWN_INCARNATION


class TestStateAfterRestart:
    def test_a_new_start_is_not_ejected_for_failures_of_the_previous_one(self):
        registered = Registered()
        registered.put(BORN)
        registered.live.eject(registered.clock.monotonic())
        registered.live.unanswered_calls = 2
        registered.put(BORN + 1)
        assert not registered.live.is_ejected
        assert registered.live.unanswered_calls == 0

    def test_silence_limits_are_reset(self):
        registered = Registered()
        registered.put(BORN)
        before = registered.live.limits_by_phase
        registered.put(BORN + 1)
        assert registered.live.limits_by_phase is not before

    def test_an_exit_only_applies_to_that_start(self):
        registered = Registered()
        registered.put(BORN)
        registered.live.record_ended()
        assert registered.live.view().state is EndpointState.DRAINING
        registered.put(BORN + 1)
        assert registered.live.view().state is EndpointState.ACTIVE

    def test_the_state_is_reset_if_the_entry_was_removed_meanwhile(self):
        registered = Registered()
        registered.put(BORN)
        registered.live.enter()
        registered.live.eject(registered.clock.monotonic())
        registered.registry.remove(["a"])
        registered.put(BORN + 1)
        assert not registered.live.is_ejected

    def test_a_changed_entry_of_the_same_start_keeps_the_state(self):
        registered = Registered()
        registered.put(BORN)
        registered.live.eject(registered.clock.monotonic())
        registered.put(BORN, max_streams=3)
        assert registered.live.is_ejected
        assert registered.on_started == [start_of(BORN)]

    def test_an_entry_without_a_start_belongs_to_the_known_start(self):
        registered = Registered()
        registered.put(BORN)
        registered.put(UNKNOWN_INCARNATION, max_streams=3)
        assert registered.catalog.endpoints_by_id["a"].incarnation == BORN
        assert registered.catalog.endpoints_by_id["a"].max_streams == 3

    def test_an_earlier_start_changes_nothing(self):
        registered = Registered()
        registered.put(BORN)
        registered.put(BORN - 1, url="http://127.0.0.1:2")
        assert registered.catalog.endpoints_by_id["a"].url == "http://127.0.0.1:1"

    @settings(deadline=None, derandomize=True)
    @given(st.lists(st.integers(0, 4), min_size=1))
    def test_the_newest_start_wins_in_any_order_of_entries(self, incarnations):
        registered = Registered()
        for incarnation in incarnations:
            registered.put(incarnation)
        assert registered.live.endpoint.incarnation == max(incarnations)
        assert registered.live.view().state is EndpointState.ACTIVE


class TestUpdatesFromPeers:
    def test_a_reported_loss_does_not_eject_the_next_start(self):
        registered = Registered()
        registered.put(BORN + 1)
        registered.fleet.losses.record_reported(start_of(BORN))
        assert not registered.live.is_ejected
        registered.fleet.losses.record_reported(start_of(BORN + 1))
        assert registered.live.is_ejected

    def test_a_loss_is_reported_with_its_start(self):
        registered = Registered()
        registered.put(BORN)
        registered.fleet.losses.record(registered.live, is_endpoint_unreachable=True)
        assert registered.fleet.losses.pop_unreported() == [start_of(BORN)]

    def test_a_loss_reported_without_a_start_counts(self):
        news = HostNews(host_id="h", loads_by_endpoint={}, lost=["a"])
        assert news.lost_starts() == [start_of(UNKNOWN_INCARNATION)]
        registered = Registered()
        registered.put(BORN)
        registered.fleet.losses.record_reported(news.lost_starts()[0])
        assert registered.live.is_ejected

    def test_loads_at_the_previous_start_do_not_count(self):
        load_table = LoadTable()
        now = timedelta(0)
        load_table.update("h1", {"a": TokenLoad(held=10, incarnation=BORN)}, now=now)
        load_table.update("h2", {"a": TokenLoad(held=1, incarnation=BORN + 1)}, now=now)
        assert load_table.load(start_of(BORN + 1)).held == 1


class TestStreams:
    def test_a_replica_at_the_previous_start_is_replaced(self):
        """Otherwise the next loss repeats the prefill, which takes a second."""

        async def test() -> None:
            world = World()
            restart(world, "b1", 1)
            restart(world, "b2", 1)
            task = world.start()
            first = await world.running()
            keeper = world.keeper()
            keeper.replicas.clear()
            restart(world, keeper.name, 2)
            while not first.copies:
                assert not task.done()
                await asyncio.sleep(0.01)
            first.die()
            await task
            assert world.sink.data == WHOLE
            assert world.engines.read_prompts == 1

        run_virtually(test())

    def test_a_stream_at_a_former_address_of_its_endpoint_fails_over(self):
        """A stream that is not checked there hangs until its caller gives up."""

        async def test() -> None:
            world = World()
            task = world.start()
            first = await world.running()
            first.hangs = True
            world.catalog.put_endpoint(
                attrs.evolve(
                    world.catalog.endpoints_by_id[first.name], url="http://moved"
                )
            )
            world.fleet.views("s")
            async with asyncio.timeout(3):
                await task
            assert world.sink.data == WHOLE
            assert world.sink.longest < 0.4

        run_virtually(test())


def restart(world: World, name: str, incarnation: int) -> None:
    endpoint = world.catalog.endpoints_by_id[name]
    world.catalog.put_endpoint(attrs.evolve(endpoint, incarnation=incarnation))


class TestOnThePlatform:
    def test_an_endpoint_that_has_exited_serves_again_after_a_restart(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            runner = await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host()
            await system.wait_ready()
            entry = runner.entry(LOOKUPS)
            system.store.put("servers", "i-look", entry | {"born": BORN})
            await wait_for_start(host, "i-look", BORN)
            host.fleet.find("i-look").record_ended()
            assert (await system.send("/look/1")).status == 503
            system.store.put("servers", "i-look", entry | {"born": BORN + 900})
            await wait_for_start(host, "i-look", BORN + 900)
            assert (await system.send("/look/1")).status == 200

        run(test)

    def test_a_call_that_may_not_be_repeated_uses_no_connection_of_before(self):
        """The old connection is dead, and a call sent on it counts as perhaps run."""

        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            runner = await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host()
            await system.wait_ready()
            entry = runner.entry(LOOKUPS)
            system.store.put("servers", "i-look", entry | {"born": BORN})
            await wait_for_start(host, "i-look", BORN)
            assert (await system.send("/book/1")).status == 200
            opened = host.pool.opened
            system.store.put("servers", "i-look", entry | {"born": BORN + 900})
            await wait_for_start(host, "i-look", BORN + 900)
            assert (await system.send("/book/2")).status == 200
            assert host.pool.opened == opened + 1

        run(test)

    def test_open_streams_are_not_failed_by_an_entry_with_a_new_start(self):
        """They may have reached the new start before its entry arrived."""

        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            runner = await system.add_runner("i-a", ENGINE, events=40)
            host = await system.add_host()
            await system.wait_ready()
            stream = asyncio.create_task(system.stream())
            while not runner.ran:
                await asyncio.sleep(0.005)
            entry = runner.entry(ENGINE)
            system.store.put("servers", "i-a", entry | {"born": BORN})
            await wait_for_start(host, "i-a", BORN)
            system.store.put("servers", "i-a", entry | {"born": BORN + 1})
            answer = await stream
            assert answer.is_whole
            assert len(runner.ran) == 1

        run(test)


class TestListingOfAHostThatStarts:
    # Guards against endpoints that are refused for good by hosts that start while the
    # entries of exited ones at the same addresses exist; by name these come last.
    def test_the_endpoint_that_runs_is_used(self):
        async def test(system: PlatformSystem) -> None:
            # The config arrives before the entries, which take two pages.
            system.store.page = 1
            system.store.put("config", "main", make_config())
            runner = await system.add_runner("i-running", LOOKUPS)
            entry = runner.entry(LOOKUPS)
            system.store.remove("servers", "i-running")
            system.store.put("servers", "i-zexited", entry)
            system.store.put("servers", "i-running", entry)
            host = await system.add_host()
            await system.wait_ready()
            assert list(host.catalog.endpoints_by_id) == ["i-running"]
            system.store.remove("servers", "i-zexited")
            assert (await system.send("/look/1")).status == 200

        run(test)


async def wait_for_start(host, name: str, incarnation: int) -> None:
    while host.fleet.start_of(name).incarnation != incarnation:
        await asyncio.sleep(0.01)
