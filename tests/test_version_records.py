"""The versions that services had before a host's start, as the store tells them."""

import asyncio
from datetime import UTC, datetime, timedelta

import attrs
import pytest

from passtally.fetch import Fetched
from passtally.object_store import TooOldError
from passtally.objects import Endpoint
from passtally.origin_backup import OriginBackup
from passtally.origin_exchange import CHECK_INTERVAL
from passtally.origin_lookup import SETTLE_TIME
from passtally.origin_table import RECORD_TTL, origin_key
from passtally.platform.store import PlatformStore
from passtally.seen_versions import SeenVersions
from passtally.store_order import version_of
from passtally.version_records import (
    CHECK_INTERVAL as LOOK_INTERVAL,
)
from passtally.version_records import (
    MAX_LOSS_TIME,
    RETRY_INTERVAL,
    VersionRecords,
)
from standins.virtual import VirtualClock, run_virtually
from tests.odd_json import item, open_versions
from tests.origin_fleet import SERVICE, WORKSPACE, OriginFleet, VersionStoreFake

NOW = timedelta(0)
SECOND = timedelta(seconds=1)
BOTH = frozenset(("v1", "v2"))
ONLY = frozenset(("v1",))


def endpoint(software: str) -> Endpoint:
    return Endpoint(
        id=software,
        service=SERVICE,
        url=f"http://{software}:1",
        failure_domain="d",
        software=software,
    )


def sleep(duration: timedelta):
    return asyncio.sleep(duration.total_seconds())


class TestCoveredTime:
    """The time for which a host has seen the versions of services."""

    # Guards against a young host that takes what it has seen for all there was.
    def test_a_host_knows_all_versions_after_the_time_that_answers_last(self):
        seen = SeenVersions()
        assert not seen.covers(NOW)
        seen.record([endpoint("v1")], now=NOW)
        assert not seen.covers(RECORD_TTL - SECOND)
        assert seen.covers(RECORD_TTL)

    # Guards against versions that came and went while a host received no changes.
    def test_the_time_begins_anew_after_changes_were_missed(self):
        seen = SeenVersions()
        assert not seen.record([], now=NOW, is_current=False)
        assert seen.record([], now=NOW)
        assert not seen.record([], now=RECORD_TTL, is_current=False)
        assert seen.covers(RECORD_TTL)
        assert seen.record([], now=RECORD_TTL + SECOND)
        assert not seen.covers(2 * RECORD_TTL)
        assert seen.covers(2 * RECORD_TTL + SECOND)


class World:
    """The records of one host."""

    def __init__(
        self,
        *,
        store: VersionStoreFake | None = None,
        looks_back: bool = False,
        is_first_start: bool = False,
    ) -> None:
        self.store = store or VersionStoreFake()
        self.seen = SeenVersions()
        self.clock = VirtualClock()
        self.is_writer = True
        self.records = VersionRecords(
            store=self.store,
            seen=self.seen,
            clock=self.clock,
            is_writer=lambda: self.is_writer,
            is_resumable=lambda service: looks_back or is_first_start,
            is_first_start=lambda: is_first_start,
        )

    def see(self, *versions: str) -> None:
        endpoints = map(endpoint, versions)
        self.seen.record(endpoints, now=self.clock.monotonic())

    async def learn(self) -> frozenset[str] | None:
        await self.records.learn(SERVICE, ONLY)
        return self.records.find(SERVICE)


class TestLearning:
    @pytest.mark.parametrize("recorded", [ONLY, BOTH])
    def test_a_record_names_the_versions(self, recorded):
        async def test() -> None:
            world = World()
            world.store.put(SERVICE, recorded)
            assert await world.learn() == recorded

        run_virtually(test())

    def test_a_service_without_a_record_has_had_one_version_if_it_served_for_long(self):
        async def test() -> None:
            world = World()
            assert await world.learn() == ONLY
            assert world.store.versions_by_service == {SERVICE: ONLY}

        run_virtually(test())

    # Guards against a record that a host without evidence makes, and others rely on:
    # the version may have replaced another one while no host ran.
    @pytest.mark.parametrize(
        "running", [MAX_LOSS_TIME - SECOND, None], ids=["young", "unknown"]
    )
    @pytest.mark.parametrize("history", [ONLY, BOTH, None])
    def test_without_a_record_a_young_version_needs_the_whole_history(
        self, running, history
    ):
        async def test() -> None:
            world = World()
            world.store.running = running
            world.store.history = history
            assert await world.learn() == history
            assert world.store.versions_by_service == {}

        run_virtually(test())

    # Guards against a version that came while no host ran, and has become old when a
    # caller takes an answer up.
    @pytest.mark.parametrize("running_at_start", [0 * SECOND, MAX_LOSS_TIME - SECOND])
    def test_a_version_that_became_old_since_the_start_needs_the_whole_history(
        self, running_at_start
    ):
        async def test() -> None:
            world = World(looks_back=True)
            await sleep(MAX_LOSS_TIME)
            world.store.running = running_at_start + MAX_LOSS_TIME
            assert await world.learn() is None
            assert world.store.versions_by_service == {}

        run_virtually(test())

    # Guards against innocent streams that are refused at a host that has run for long.
    def test_a_version_that_was_old_at_the_start_is_evidence_later(self):
        async def test() -> None:
            world = World(looks_back=True)
            await sleep(MAX_LOSS_TIME)
            world.store.running = 2 * MAX_LOSS_TIME
            assert await world.learn() == ONLY

        run_virtually(test())

    # Guards against streams that go on at a version which came while no host ran: to a
    # host that starts later than the first ones it looks as if it had served before.
    def test_a_host_that_starts_after_others_without_evidence_creates_no_record(self):
        async def test() -> None:
            store = VersionStoreFake()
            for running in (SECOND, MAX_LOSS_TIME + 2 * SECOND):
                world = World(store=store, looks_back=True)
                store.running = running
                task = asyncio.create_task(world.records.run())
                world.see("v1")
                await sleep(SECOND)
                store.running += SECOND
                assert await world.learn() is None
                task.cancel()
                await sleep(MAX_LOSS_TIME)

        run_virtually(test())

    # Guards against a record that lacks what was written after the copy of the store.
    def test_a_record_from_before_a_restore_is_not_relied_on(self):
        async def test() -> None:
            world = World()
            world.store.put(SERVICE, ONLY)
            world.store.outdated.add(SERVICE)
            assert await world.learn() is None

        run_virtually(test())

    # Guards against a missing record that is taken for one version by a host whose
    # store takes no writes, so that no host could have recorded a second one.
    @pytest.mark.parametrize("history", [ONLY, BOTH, None])
    def test_without_writes_the_whole_history_is_needed(self, history):
        async def test() -> None:
            world = World()
            world.store.is_refusing, world.store.history = True, history
            assert await world.learn() == history

        run_virtually(test())

    # Guards against a call for each stream that is taken up.
    def test_all_callers_share_one_call(self):
        async def test() -> None:
            world = World()
            world.store.put(SERVICE, ONLY)
            await asyncio.gather(*(world.learn() for _ in range(20)))
            assert world.store.calls == 1

        run_virtually(test())

    # The record is looked for, the age of the version is asked for, the record is made.
    def test_all_callers_share_the_calls_that_make_the_record(self):
        async def test() -> None:
            world = World()
            await asyncio.gather(*(world.learn() for _ in range(20)))
            assert world.store.calls == 3

        run_virtually(test())

    def test_a_failed_attempt_is_repeated_after_a_while_only(self):
        async def test() -> None:
            world = World()
            world.store.is_refusing = True
            await asyncio.gather(*(world.learn() for _ in range(20)))
            # The three calls above, and the one for the whole history.
            assert world.store.calls == 4
            world.store.is_refusing = False
            assert await world.learn() is None
            await sleep(RETRY_INTERVAL)
            assert await world.learn() == ONLY

        run_virtually(test())

    # Guards against evidence of another store, or of one that has lost writes since.
    def test_nothing_is_known_of_a_store_that_was_restored(self):
        async def test() -> None:
            world = World()
            await world.learn()
            world.store.lineage += 1
            assert world.records.find(SERVICE) is None

        run_virtually(test())


class TestLookingBack:
    """What a host asks the store at its start."""

    # Guards against a host that asks again each second, since it gets no evidence.
    @pytest.mark.parametrize(
        ("running", "writes"), [(0 * SECOND, 0), (2 * MAX_LOSS_TIME, 1)]
    )
    def test_a_host_asks_once(self, running, writes):
        async def test() -> None:
            world = World(looks_back=True)
            world.store.running = running
            task = asyncio.create_task(world.records.run())
            for _ in range(10):
                world.see("v1")
                await sleep(LOOK_INTERVAL)
            task.cancel()
            # Whether there is a record, and whether the version served before; then it
            # is recorded.
            assert world.store.calls == 2 + writes

        run_virtually(test())

    # Guards against a second version that is recorded late, since a host looks back in
    # other services first and the store does not answer.
    def test_a_second_version_is_recorded_while_reads_fail(self):
        async def test() -> None:
            world = World(looks_back=True)
            world.store.read_timeout = SECOND
            others = [attrs.evolve(endpoint("v1"), service=f"s{n}") for n in range(9)]
            world.seen.record(others, now=world.clock.monotonic())
            task = asyncio.create_task(world.records.run())
            await sleep(2.5 * SECOND)
            world.see("v1", "v2")
            world.records.wake()
            await sleep(0.1 * SECOND)
            task.cancel()
            assert world.store.versions_by_service == {SERVICE: BOTH}

        run_virtually(test())

    # Guards against calls each second for as long as the store does not answer.
    def test_a_store_that_does_not_answer_is_asked_less_and_less_often(self):
        async def test() -> None:
            world = World(looks_back=True)
            world.store.read_timeout = timedelta(0)
            world.see("v1")
            task = asyncio.create_task(world.records.run())
            await sleep(60 * SECOND)
            task.cancel()
            assert world.store.calls <= 10

        run_virtually(test())


class TestOnlyVersion:
    """The record of a service that has one version, which hosts rely on later."""

    async def serve(self, world: World, *versions: str, seconds: float) -> None:
        """Run the records of a host, which sees these versions."""
        task = asyncio.create_task(world.records.run())
        until = world.clock.monotonic() + seconds * SECOND
        while world.clock.monotonic() < until:
            world.see(*versions)
            await sleep(CHECK_INTERVAL)
        task.cancel()

    # Guards against streams that go on at a version which replaced theirs while no host
    # ran: without a record, nothing tells the two apart.
    @pytest.mark.parametrize("is_first_start", [True, False], ids=["first", "evidence"])
    def test_it_is_recorded_soon_after_the_first_start(self, is_first_start):
        async def test() -> None:
            store = VersionStoreFake()
            store.running = 0 * SECOND if is_first_start else 2 * MAX_LOSS_TIME
            world = World(
                store=store,
                looks_back=not is_first_start,
                is_first_start=is_first_start,
            )
            await self.serve(world, "v1", seconds=3)
            assert store.versions_by_service == {SERVICE: ONLY}
            later = World(store=store, looks_back=True)
            later.see("v2")
            await later.records.learn(SERVICE, ["v2"])
            assert later.records.find(SERVICE) == ONLY
            await self.serve(later, "v2", seconds=3)
            assert store.versions_by_service == {SERVICE: BOTH}

        run_virtually(test())

    # Guards against versions that are forgotten at the second loss of all hosts.
    def test_versions_that_replace_each_other_at_each_loss_are_all_recorded(self):
        async def test() -> None:
            store = VersionStoreFake()
            store.running = 0 * SECOND
            await self.serve(World(store=store, is_first_start=True), "v1", seconds=3)
            for version in ("v2", "v3"):
                world = World(store=store, looks_back=True)
                await self.serve(world, version, seconds=3)
            recorded = store.versions_by_service
            assert recorded == {SERVICE: frozenset({"v1", "v2", "v3"})}

        run_virtually(test())

    # Guards against the change of one service that counts for another one.
    def test_each_service_has_a_record_of_its_own(self):
        async def test() -> None:
            store = VersionStoreFake()
            store.running = 0 * SECOND
            store.put(SERVICE, ONLY)
            store.put("other", ONLY)
            world = World(store=store, looks_back=True)
            task = asyncio.create_task(world.records.run())
            other = attrs.evolve(endpoint("v2"), service="other")
            for _ in range(3):
                now = world.clock.monotonic()
                world.seen.record([endpoint("v1"), other], now=now)
                await sleep(CHECK_INTERVAL)
            task.cancel()
            assert world.records.find(SERVICE) == ONLY
            assert world.records.find("other") == ONLY
            assert store.versions_by_service == {SERVICE: ONLY, "other": BOTH}

        run_virtually(test())

    # Guards against a stream that goes on at a guess while the store is away, and is
    # refused after it is back.
    def test_a_host_that_starts_while_the_store_is_away_learns_it_later(self):
        async def test() -> None:
            store = VersionStoreFake()
            store.put(SERVICE, ONLY)
            store.read_timeout = timedelta(0)
            world = World(store=store, looks_back=True)
            assert await world.learn() is None
            store.read_timeout = None
            await sleep(RETRY_INTERVAL)
            assert await world.learn() == ONLY

        run_virtually(test())

    # Guards against a record of what a young host sees, which others take for evidence.
    def test_a_host_without_evidence_records_it_once_it_has_seen_long(self):
        async def test() -> None:
            world = World(looks_back=True)
            world.store.running = 0 * SECOND
            until = RECORD_TTL / SECOND
            await self.serve(world, "v1", seconds=until - 1)
            assert world.store.versions_by_service == {}
            await self.serve(world, "v1", seconds=5)
            assert world.store.versions_by_service == {SERVICE: ONLY}

        run_virtually(test())

    # Guards against calls without need: of hosts that start, and each second.
    def test_a_host_that_finds_the_record_writes_none(self):
        async def test() -> None:
            world = World(looks_back=True)
            world.store.put(SERVICE, ONLY)
            await self.serve(world, "v1", seconds=30)
            assert world.store.calls == 1

        run_virtually(test())

    # Guards against a call each second to a store that takes no writes.
    def test_a_refused_record_is_tried_again_after_a_pause(self):
        async def test() -> None:
            world = World(is_first_start=True)
            world.store.is_refusing = True
            await self.serve(world, "v1", seconds=20)
            assert world.store.calls == 3
            world.store.is_refusing = False
            await self.serve(world, "v1", seconds=9)
            assert world.store.versions_by_service == {SERVICE: ONLY}

        run_virtually(test())

    # Guards against a restored store that has no record when all hosts are lost.
    @pytest.mark.parametrize("seen", ["v1", "v2"])
    def test_it_is_written_again_to_a_restored_store(self, seen):
        async def test() -> None:
            world = World(looks_back=True)
            world.store.put(SERVICE, ONLY)
            await self.serve(world, "v1", seconds=3)
            world.store.versions_by_service.clear()
            world.store.lineage += 1
            await self.serve(world, seen, seconds=3)
            assert world.store.versions_by_service == {SERVICE: ONLY | {seen}}

        run_virtually(test())


class EntriesFake:
    """A store with entries of endpoints, which has forgotten its history.

    Args:
        specs: The entries.
        era: The era of the store, which keeps its history from the beginning; None if
            it has forgotten it.
    """

    def __init__(self, *specs: bytes, era: int | None = None) -> None:
        items = [item(f"i-{n}", 5, spec) for n, spec in enumerate(specs)]
        events = b",".join(b'{"object":%b}' % stored for stored in items)
        self._listing = b'{"items":[%b],"store_revision":9}' % b",".join(items)
        self._history = b'{"events":[%b],"store_revision":9}' % events
        self._era = era

    async def fetch(self, method: str, url: str, *, params, **options) -> Fetched:
        headers = [] if self._era is None else [(b"store-era", b"%d" % self._era)]
        if "watch" not in params:
            return Fetched(status=200, body=self._listing, headers=headers)
        if self._era is None:
            return Fetched(status=410, body=b"")
        return Fetched(status=200, body=self._history, headers=headers)


class TestRunningTime:
    """For how long a version has served, by the heartbeats of its endpoints."""

    def ask(self, *specs: bytes, seconds: int = 20, heartbeat: float = 1.2) -> bool:
        """Return whether version v1 of service s served some seconds ago."""
        store = PlatformStore(fetcher=EntriesFake(*specs), url="http://127.0.0.1:1")
        versions = open_versions(store, heartbeat=timedelta(seconds=heartbeat))
        ago = timedelta(seconds=seconds)
        asked = versions.served_before("s", "v1", ago=ago)
        return asyncio.run(asked)

    def spec(self, sequence: str, version: str = "v1", service: str = "s") -> bytes:
        text = '{"service":"%s","version":"%s","sequence":%s}'
        return (text % (service, version, sequence)).encode()

    # Guards against streams that are refused after the store was down: the entries of
    # all endpoints lapse meanwhile, and are created anew.
    def test_the_oldest_endpoint_of_the_version_counts(self):
        assert self.ask(self.spec("1"), self.spec("17"))
        assert not self.ask(self.spec("1"), self.spec("16"))
        assert not self.ask()

    def test_endpoints_of_others_do_not_count(self):
        assert not self.ask(self.spec("99", version="v2"), self.spec("99", service="t"))

    # Guards against versions of other services that count, and against a store whose
    # versions began anew, so that its changes since then are not known.
    def test_the_changes_of_late_name_the_versions_of_the_service(self):
        specs = (self.spec("1", version="v2"), self.spec("1", "v3", service="t"))
        fetcher = EntriesFake(*specs, era=1)
        store = PlatformStore(fetcher=fetcher, url="http://127.0.0.1:1")
        versions = open_versions(store)

        async def test() -> None:
            changed = await versions.find_changed("s", after=version_of(1, 3))
            assert changed == {"v2"}
            with pytest.raises(TooOldError):
                await versions.find_changed("s", after=version_of(0, 3))

        asyncio.run(test())

    # Guards against a version that came while no host ran, and is the only one in the
    # history of a store that was restored from a copy: later changes are not in it.
    @pytest.mark.parametrize(("era", "is_before"), [(0, True), (1, False)])
    def test_the_history_of_a_restored_store_tells_nothing(self, era, is_before):
        fetcher = EntriesFake(self.spec("1"), era=era)
        store = PlatformStore(fetcher=fetcher, url="http://127.0.0.1:1")
        asked = open_versions(store).served_before("s", "v1", ago=MAX_LOSS_TIME)
        assert asyncio.run(asked) is is_before

    def test_without_the_interval_heartbeats_tell_nothing(self):
        assert not self.ask(self.spec("99"), heartbeat=0)

    # Guards against an odd entry that hides what the others show, or is taken for one
    # of an endpoint that has run for long.
    @pytest.mark.parametrize("odd", ["null", '"9"', "-1", "1e300", "9" * 400, "[]"])
    def test_an_odd_number_does_not_count(self, odd):
        assert not self.ask(self.spec(odd))
        assert self.ask(self.spec(odd), self.spec("17"))


class TestRecording:
    def run(self, test) -> None:
        async def main() -> None:
            world = World()
            task = asyncio.create_task(world.records.run())
            try:
                await test(world)
            finally:
                task.cancel()

        run_virtually(main())

    async def watch(self, world: World, *versions: str, until: timedelta) -> None:
        """See versions, as a host does each second."""
        while world.clock.monotonic() < until:
            world.see(*versions)
            await sleep(CHECK_INTERVAL)

    # Guards against calls on behalf of services whose answers can't be taken up.
    def test_one_version_costs_no_call(self):
        async def test(world: World) -> None:
            await self.watch(world, "v1", until=world.clock.monotonic() + RECORD_TTL)
            assert world.store.calls == 0

        self.run(test)

    def test_two_versions_are_recorded_once(self):
        async def test(world: World) -> None:
            until = world.clock.monotonic() + timedelta(seconds=30)
            await self.watch(world, "v1", "v2", until=until)
            assert world.store.versions_by_service == {SERVICE: BOTH}
            assert world.store.calls == 1

        self.run(test)

    def test_a_version_that_is_gone_is_dropped_once_no_answer_of_it_is_left(self):
        async def test(world: World) -> None:
            start = world.clock.monotonic()
            await self.watch(world, "v1", "v2", until=start + 2 * SECOND)
            await self.watch(world, "v1", until=start + RECORD_TTL)
            assert world.store.versions_by_service == {SERVICE: BOTH}
            await self.watch(world, "v1", until=start + RECORD_TTL + 5 * SECOND)
            assert world.store.versions_by_service == {SERVICE: ONLY}

        self.run(test)

    # Guards against a host that has just started and takes a version off the record.
    def test_a_young_host_only_adds_versions(self):
        async def test(world: World) -> None:
            world.store.put(SERVICE, ("v0", "v1"))
            until = world.clock.monotonic() + 5 * SECOND
            await self.watch(world, "v1", "v2", until=until)
            assert world.store.versions_by_service[SERVICE] == {"v0", "v1", "v2"}

        self.run(test)

    def test_a_refused_write_is_repeated(self):
        async def test(world: World) -> None:
            world.store.is_refusing = True
            until = world.clock.monotonic() + 3 * SECOND
            await self.watch(world, "v1", "v2", until=until)
            world.store.is_refusing = False
            await self.watch(world, "v1", "v2", until=until + 2 * SECOND)
            assert world.store.versions_by_service == {SERVICE: BOTH}

        self.run(test)

    # Guards against a record that keeps a version for good which no writer saw, so that
    # hosts which all restart refuse streams of the only version each time.
    @pytest.mark.parametrize("is_writer", [True, False])
    def test_a_host_that_learned_of_a_version_long_gone_drops_it(self, is_writer):
        async def test(world: World) -> None:
            world.is_writer = is_writer
            world.store.put(SERVICE, BOTH)
            start = world.clock.monotonic()
            await self.watch(world, "v1", until=start + SECOND)
            assert await world.learn() == BOTH
            await self.watch(world, "v1", until=start + RECORD_TTL - SECOND)
            assert world.store.versions_by_service == {SERVICE: BOTH}
            await self.watch(world, "v1", until=start + RECORD_TTL + 5 * SECOND)
            assert world.store.versions_by_service == {SERVICE: ONLY}
            calls = world.store.calls
            await self.watch(world, "v1", until=start + 2 * RECORD_TTL)
            assert world.store.calls == calls

        self.run(test)

    # Guards against a version that is not recorded, since this host takes the record
    # for what it wrote earlier, while another host has dropped the version since.
    def test_a_version_that_returns_is_recorded_after_another_host_dropped_it(self):
        async def test(world: World) -> None:
            until = world.clock.monotonic() + 3 * SECOND
            await self.watch(world, "v1", "v2", until=until)
            await self.watch(world, "v1", until=until + RECORD_TTL / 2)
            world.seen.record([], now=world.clock.monotonic(), is_current=False)
            await self.watch(world, "v1", until=until + RECORD_TTL + 5 * SECOND)
            world.store.put(SERVICE, ONLY)
            until = world.clock.monotonic() + 3 * SECOND
            await self.watch(world, "v1", "v2", until=until)
            assert world.store.versions_by_service == {SERVICE: BOTH}

        self.run(test)

    # Guards against a write without an answer that is carried out after a newer one.
    def test_a_late_write_does_not_undo_a_newer_one(self):
        async def test(world: World) -> None:
            world.store.put(SERVICE, ONLY)
            world.store.late_writes = 1
            until = world.clock.monotonic() + 3 * SECOND
            await self.watch(world, "v1", "v2", until=until)
            await self.watch(world, "v1", "v2", "v3", until=until + 3 * SECOND)
            await world.store.carry_out_late_writes()
            recorded = world.store.versions_by_service[SERVICE]
            assert recorded == {"v1", "v2", "v3"}

        self.run(test)

    # Guards against a record that is lost with an older copy of the store.
    def test_it_is_written_again_to_a_restored_store(self):
        async def test(world: World) -> None:
            until = world.clock.monotonic() + 3 * SECOND
            await self.watch(world, "v1", "v2", until=until)
            world.store.versions_by_service.clear()
            world.store.lineage += 1
            await self.watch(world, "v1", "v2", until=until + 2 * SECOND)
            assert world.store.versions_by_service == {SERVICE: BOTH}

        self.run(test)

    # Guards against a record that hosts which start later do not rely on.
    def test_a_record_of_the_copy_is_written_again(self):
        async def test(world: World) -> None:
            until = world.clock.monotonic() + 3 * SECOND
            await self.watch(world, "v1", "v2", until=until)
            world.store.outdated.add(SERVICE)
            world.store.lineage += 1
            await self.watch(world, "v1", "v2", until=until + 2 * SECOND)
            assert world.store.versions_by_service == {SERVICE: BOTH}
            assert not world.store.outdated

        self.run(test)


class TestYoungHosts:
    """Hosts that have not seen a service for as long as answers last."""

    def find(
        self, *, recorded: frozenset[str] | None = None, old: int = 0, current: int = 7
    ) -> str | None:
        """Ask a young host for a stream that no host knows, while one version serves.

        Args:
            recorded: The record of the service; None if the store takes no writes.
            old: Number of hosts that have seen the service for long enough.
            current: Number of hosts that receive changes.
        """

        async def test() -> str | None:
            fleet = OriginFleet(hosts=7, versions=("v1", "v1"))
            fleet.store.is_refusing = recorded is None
            if recorded is not None:
                fleet.store.put(SERVICE, recorded)
            rows = fleet.gossip.rows
            if old:
                fleet.start(rows[-old:])
                fleet.gossip.know_all()
                await sleep(RECORD_TTL)
            fleet.start(rows[: len(rows) - old])
            fleet.gossip.know_all()
            fleet.current_ids = {row.host_id for row in rows[:current]}
            await sleep(SETTLE_TIME)
            return await fleet.find(rows[0].host_id, "nobody's")

        return run_virtually(test())

    # Guards against streams at a version that is only presumed.
    def test_hosts_that_are_all_young_refuse_without_a_record(self):
        assert self.find() is None

    def test_the_record_decides(self):
        assert self.find(recorded=BOTH) is None
        assert self.find(recorded=ONLY) == "v1"

    # Guards against a host that refuses for good what the record names no longer.
    def test_a_host_that_has_become_old_relies_on_what_it_saw(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=7, versions=("v1", "v1"))
            fleet.store.put(SERVICE, BOTH)
            fleet.start(fleet.gossip.rows)
            fleet.gossip.know_all()
            await sleep(SETTLE_TIME)
            name = fleet.gossip.rows[0].host_id
            assert await fleet.find(name, "q0") is None
            await sleep(RECORD_TTL)
            assert await fleet.find(name, "q1") == "v1"

        run_virtually(test())

    def test_one_old_host_is_enough(self):
        assert self.find(old=1) == "v1"

    # Guards against an old host that misses the changes of late.
    def test_an_old_host_that_receives_no_changes_is_not_enough(self):
        assert self.find(old=1, current=6) is None


class TestHostsOutOfStep:
    """Hosts that missed changes, and still take themselves for current.

    A watch on a link that was cut, or of a process that stood still, times out late.
    """

    def find(
        self,
        *,
        living: int = 1,
        is_cut: bool = False,
        missed: frozenset[str] = frozenset(),
    ) -> str | None:
        """Ask a host for a stream that no host in reach knows.

        Args:
            living: Number of hosts in reach, all of the failure domain of the host.
            is_cut: Whether they are cut off from the store too.
            missed: The versions in the changes that they have not received yet.
        """

        async def test() -> str | None:
            fleet = OriginFleet(hosts=9, versions=("v1", "v1"))
            rows = fleet.gossip.rows
            fleet.start(rows)
            fleet.gossip.know_all()
            await sleep(RECORD_TTL)
            domain = rows[0].failure_domain
            own = [row for row in rows if row.failure_domain == domain][:living]
            assert await fleet.find(own[0].host_id, "before") == "v1"
            fleet.stop([row for row in rows if row not in own])
            fleet.missed_versions = missed
            if is_cut:
                fleet.cut_ids = {row.host_id for row in own}
            return await fleet.find(own[0].host_id, "nobody's")

        return run_virtually(test())

    # Guards against streams of a version that joined meanwhile, which go on at the one
    # that the host saw.
    @pytest.mark.parametrize("living", [1, 3])
    def test_a_host_that_reaches_neither_the_others_nor_the_store_refuses(self, living):
        assert self.find(living=living, is_cut=True) is None

    @pytest.mark.parametrize("living", [1, 3])
    def test_the_store_tells_what_was_missed(self, living):
        assert self.find(living=living, missed=frozenset({"v2"})) is None

    # Guards against streams that are refused although no other version serves.
    @pytest.mark.parametrize("living", [1, 3])
    def test_the_store_confirms_the_only_version(self, living):
        assert self.find(living=living) == "v1"
        assert self.find(living=living, missed=ONLY) == "v1"


class TestBackupsAgainstTheRecord:
    # Guards against a stream that goes on at the only version of a record which lacks
    # the one that a host's backup names: it came just before all hosts were lost.
    def test_a_backup_that_names_another_version_is_relied_on(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=7, versions=("v1", "v1"))
            fleet.store.put(SERVICE, ONLY)
            fleet.backups.put(
                OriginBackup(
                    host_id="killed",
                    software_by_key={origin_key(WORKSPACE, SERVICE, "q0"): "v2"},
                    written_at=datetime(2026, 1, 1, tzinfo=UTC),
                )
            )
            fleet.start(fleet.gossip.rows)
            fleet.gossip.know_all()
            await sleep(SETTLE_TIME)
            assert await fleet.find(fleet.gossip.rows[0].host_id, "q0") == "v2"

        run_virtually(test())
