"""Endpoints that start again under the id that they had, and hold nothing of before.

A crash and a start within a second leave the entry in place, changed: the same id,
often the same address. What is held by the id alone is then held of the wrong start.
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
    UNTOLD_START,
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
from tests.test_replicas import WHOLE, World

BORN = 1_764_720_000_000
SPEC = b'{"service":"s","address":"127.0.0.1:1","zone":"z","state":"ready"%b}'


def start_of(incarnation: int) -> EndpointStart:
    return EndpointStart(endpoint_id="a", incarnation=incarnation)


class Known:
    """A fleet and the book of what is registered."""

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
        self.came: list[EndpointStart] = []
        self.registry = EndpointRegistry(
            catalog=self.catalog,
            clock=self.clock,
            gone=self.fleet.forget,
            came=self._meet,
        )

    def _meet(self, endpoint: Endpoint) -> None:
        self.came.append(endpoint.start)
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
            (UNTOLD_START, BORN, False),
            (BORN, UNTOLD_START, False),
        ],
    )
    def test_a_start_follows_another_only_where_both_are_told(
        self, before, after, is_next
    ):
        assert start_of(before).is_followed_by(start_of(after)) is is_next

    def test_the_time_of_its_start_is_read_from_its_entry(self):
        spec = SPEC % b',"born":%d' % BORN
        assert decode_endpoint("a", spec).start == start_of(BORN)

    def test_one_that_does_not_tell_its_start_is_used_all_the_same(self):
        assert decode_endpoint("a", SPEC % b"").incarnation == UNTOLD_START


class TestWhatWasLearned:
    def test_a_new_start_is_not_shut_out_for_what_the_one_before_did(self):
        known = Known()
        known.put(BORN)
        known.live.eject(known.clock.monotonic())
        known.live.unanswered_calls = 2
        known.put(BORN + 1)
        assert not known.live.is_ejected
        assert known.live.unanswered_calls == 0

    def test_silence_is_learned_anew(self):
        known = Known()
        known.put(BORN)
        before = known.live.limits_by_phase
        known.put(BORN + 1)
        assert known.live.limits_by_phase is not before

    def test_its_end_shuts_only_that_start_out(self):
        known = Known()
        known.put(BORN)
        known.live.record_ended()
        assert known.live.view().state is EndpointState.DRAINING
        known.put(BORN + 1)
        assert known.live.view().state is EndpointState.ACTIVE

    def test_also_where_its_entry_was_gone_meanwhile(self):
        known = Known()
        known.put(BORN)
        known.live.enter()
        known.live.eject(known.clock.monotonic())
        known.registry.remove(["a"])
        known.put(BORN + 1)
        assert not known.live.is_ejected

    def test_the_same_start_in_a_changed_entry_forgets_nothing(self):
        known = Known()
        known.put(BORN)
        known.live.eject(known.clock.monotonic())
        known.put(BORN, max_streams=3)
        assert known.live.is_ejected
        assert known.came == [start_of(BORN)]

    def test_an_entry_without_a_start_is_of_the_one_that_is_known(self):
        known = Known()
        known.put(BORN)
        known.put(UNTOLD_START, max_streams=3)
        assert known.catalog.endpoints_by_id["a"].incarnation == BORN
        assert known.catalog.endpoints_by_id["a"].max_streams == 3

    def test_an_earlier_start_changes_nothing(self):
        known = Known()
        known.put(BORN)
        known.put(BORN - 1, url="http://127.0.0.1:2")
        assert known.catalog.endpoints_by_id["a"].url == "http://127.0.0.1:1"

    @settings(deadline=None, derandomize=True)
    @given(st.lists(st.integers(0, 4), min_size=1))
    def test_in_whatever_order_entries_come_the_newest_start_stays(self, incarnations):
        known = Known()
        for incarnation in incarnations:
            known.put(incarnation)
        assert known.live.endpoint.incarnation == max(incarnations)
        assert known.live.view().state is EndpointState.ACTIVE


class TestWhatOthersTell:
    def test_word_of_a_loss_does_not_shut_the_next_start_out(self):
        known = Known()
        known.put(BORN + 1)
        known.fleet.record_peer_loss(start_of(BORN))
        assert not known.live.is_ejected
        known.fleet.record_peer_loss(start_of(BORN + 1))
        assert known.live.is_ejected

    def test_a_loss_is_told_with_its_start(self):
        known = Known()
        known.put(BORN)
        known.fleet.record_loss(known.live, is_endpoint_unreachable=True)
        assert known.fleet.pop_losses() == [start_of(BORN)]

    def test_a_host_that_tells_no_start_is_believed(self):
        news = HostNews(host_id="h", loads_by_endpoint={}, lost=["a"])
        assert news.lost_starts() == [start_of(UNTOLD_START)]
        known = Known()
        known.put(BORN)
        known.fleet.record_peer_loss(news.lost_starts()[0])
        assert known.live.is_ejected

    def test_loads_at_the_start_before_do_not_count(self):
        load_table = LoadTable()
        now = timedelta(0)
        load_table.take("h1", {"a": TokenLoad(held=10, incarnation=BORN)}, now=now)
        load_table.take("h2", {"a": TokenLoad(held=1, incarnation=BORN + 1)}, now=now)
        assert load_table.load(start_of(BORN + 1)).held == 1


class TestStreams:
    def test_a_replica_at_the_start_before_is_replaced(self):
        """Without it the next loss reads the prompt again, which takes a second."""

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

    def test_a_stream_at_an_address_that_its_endpoint_left_goes_on_elsewhere(self):
        """Nothing watched such a stream: it hung until its caller gave it up."""

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
    def test_an_endpoint_that_ended_serves_again_once_it_has_started_again(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            runner = await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host()
            await system.wait_ready()
            entry = runner.entry(LOOKUPS)
            system.store.put("servers", "i-look", entry | {"born": BORN})
            await known_start(host, "i-look", BORN)
            host.fleet.find("i-look").record_ended()
            assert (await system.send("/look/1")).status == 503
            system.store.put("servers", "i-look", entry | {"born": BORN + 900})
            await known_start(host, "i-look", BORN + 900)
            assert (await system.send("/look/1")).status == 200

        run(test)

    def test_a_call_that_may_not_be_repeated_goes_on_no_connection_of_before(self):
        """Its connection is dead, and a call that was sent on one may have run."""

        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config())
            runner = await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host()
            await system.wait_ready()
            entry = runner.entry(LOOKUPS)
            system.store.put("servers", "i-look", entry | {"born": BORN})
            await known_start(host, "i-look", BORN)
            assert (await system.send("/book/1")).status == 200
            opened = host.pool.opened
            system.store.put("servers", "i-look", entry | {"born": BORN + 900})
            await known_start(host, "i-look", BORN + 900)
            assert (await system.send("/book/2")).status == 200
            assert host.pool.opened == opened + 1

        run(test)

    def test_streams_under_way_are_not_ended_by_news_of_a_start(self):
        """They may have reached the new start before its entry told of it."""

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
            await known_start(host, "i-a", BORN)
            system.store.put("servers", "i-a", entry | {"born": BORN + 1})
            answer = await stream
            assert answer.is_whole
            assert len(runner.ran) == 1

        run(test)


async def known_start(host, name: str, incarnation: int) -> None:
    while host.fleet.start_of(name).incarnation != incarnation:
        await asyncio.sleep(0.01)
