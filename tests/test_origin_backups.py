"""The origins of answers in the store, after the loss of all hosts."""

import asyncio
import gc
import weakref
from base64 import b64encode
from datetime import UTC, datetime, timedelta

import msgspec
import pytest

from passtally.backed_up_origins import (
    LIST_INTERVAL,
    LIST_TIMEOUT,
    BackedUpOrigins,
)
from passtally.object_store import Listing, StoredObject
from passtally.origin_backup import (
    MAX_ORIGINS,
    MAX_WRITES_PER_SECOND,
    MIN_WRITE_INTERVAL,
    RETENTION,
    OriginBackup,
    OriginBackupWriter,
)
from passtally.origin_lookup import (
    ANSWER_WAITS,
    FIRST_CHANGES_TIMEOUT,
    SETTLE_TIME,
)
from passtally.origin_table import KEY_BYTES, RECORD_TTL
from passtally.platform.origin_store import PlatformOriginStore
from standins.virtual import VirtualClock, run_virtually
from tests.origin_fleet import OriginBackupStoreFake, OriginFleet

WRITTEN_AT = datetime(2026, 1, 1, tzinfo=UTC)


def key(number: int) -> bytes:
    return number.to_bytes(KEY_BYTES, "big")


def make_backup(software_by_key: dict[bytes, str], host_id: str = "a") -> OriginBackup:
    return OriginBackup(
        host_id=host_id, software_by_key=software_by_key, written_at=WRITTEN_AT
    )


async def pass_time(duration: timedelta) -> None:
    await asyncio.sleep(duration.total_seconds())


class Host:
    """A host that writes its backup, and the answers that it runs."""

    def __init__(self, store: OriginBackupStoreFake, *, hosts: int = 7) -> None:
        self.store = store
        self.running: dict[bytes, str] = {}
        self.writer = OriginBackupWriter(
            store=store,
            host_id="a",
            clock=VirtualClock(),
            take_origins=lambda: dict(self.running),
            count_hosts=lambda: hosts,
        )

    @property
    def saved(self) -> dict[bytes, str]:
        """The origins that the store holds."""
        return dict(self.store.backups_by_host["a"].software_by_key)


class TestWriting:
    # Guards against calls on behalf of services that have one version.
    def test_without_answers_of_several_versions_it_costs_no_call(self):
        async def test() -> None:
            host = Host(OriginBackupStoreFake())
            for _ in range(100):
                await host.writer.write()
            assert host.store.calls == 0

        run_virtually(test())

    # Guards against a call for each stream, or for each look at unchanged ones.
    def test_all_new_answers_are_written_at_once(self):
        async def test() -> None:
            host = Host(OriginBackupStoreFake())
            host.running = {key(number): "v1" for number in range(50)}
            for _ in range(5):
                await host.writer.write()
            assert host.saved == host.running
            assert host.store.calls == 1
            host.running[key(50)] = "v2"
            await host.writer.write()
            assert host.saved == host.running
            assert host.store.calls == 2

        run_virtually(test())

    # Guards against streams that begin right before all hosts are lost and are unknown
    # after it, although the last write was long ago.
    def test_an_answer_that_begins_after_a_pause_is_written_at_once(self):
        async def test() -> None:
            host = Host(OriginBackupStoreFake())
            task = asyncio.create_task(host.writer.run())
            for number in range(3):
                await pass_time(1.3 * MIN_WRITE_INTERVAL)
                host.running[key(number)] = "v1"
                host.writer.wake()
                await asyncio.sleep(0.001)
                assert host.saved == host.running
            for number in range(10, 15):
                host.running[key(number)] = "v1"
                host.writer.wake()
                await asyncio.sleep(0.001)
            calls = host.store.calls
            await pass_time(1.1 * MIN_WRITE_INTERVAL)
            assert host.saved == host.running
            assert host.store.calls == calls + 1
            task.cancel()

        run_virtually(test())

    def test_an_answer_that_ended_is_kept_for_a_while(self):
        async def test() -> None:
            host = Host(OriginBackupStoreFake())
            host.running = {key(1): "v1"}
            await host.writer.write()
            host.running = {key(2): "v2"}
            await host.writer.write()
            assert host.saved == {key(1): "v1", key(2): "v2"}
            await pass_time(RETENTION)
            host.running = {key(3): "v2"}
            await host.writer.write()
            assert host.saved == {key(3): "v2"}

        run_virtually(test())

    # Guards against streams that are lost when all hosts are killed twice in a row.
    def test_a_host_that_starts_again_keeps_what_it_wrote_before(self):
        async def test() -> None:
            store = OriginBackupStoreFake()
            store.put(make_backup({key(1): "v1"}))
            host = Host(store)
            host.running = {key(2): "v2"}
            await host.writer.write()
            assert host.saved == {key(1): "v1", key(2): "v2"}
            await pass_time(RECORD_TTL)
            host.running = {key(3): "v2"}
            await host.writer.write()
            assert host.saved == {key(3): "v2"}

        run_virtually(test())

    # Guards against a backup beyond its limit, and against streams that are unknown
    # since those of the host's earlier life take up the room.
    def test_the_newest_answers_displace_those_of_the_time_before_a_restart(self):
        async def test() -> None:
            store = OriginBackupStoreFake()
            earlier = {key(number): "v1" for number in range(MAX_ORIGINS)}
            store.put(make_backup(earlier))
            host = Host(store)
            ended = {key(MAX_ORIGINS + number): "v2" for number in range(100)}
            host.running = ended
            await host.writer.write()
            assert len(host.saved) == MAX_ORIGINS
            host.running = {key(2 * MAX_ORIGINS): "v2"}
            await host.writer.write()
            assert len(host.saved) == MAX_ORIGINS
            assert ended.items() <= host.saved.items()

        run_virtually(test())

    # Guards against streams that are unknown after a second loss since the host's last
    # write before the first one was carried out after the host had read its backup.
    def test_a_late_write_of_the_time_before_a_restart_is_kept(self):
        async def test() -> None:
            store = OriginBackupStoreFake()
            killed = Host(store)
            for number in range(2):
                killed.running[key(number)] = "v1"
                store.late_writes = number
                await killed.writer.write()
            host = Host(store)
            host.running = {key(2): "v1"}
            store.late_writes = 1
            await host.writer.write()
            await store.carry_out_late_writes()
            await host.writer.write()
            assert host.saved == killed.running | host.running

        run_virtually(test())

    # Guards against a write without an answer that is carried out after a newer one.
    def test_a_late_write_does_not_undo_a_newer_one(self):
        async def test() -> None:
            host = Host(OriginBackupStoreFake())
            for number in range(3):
                host.store.late_writes = int(number == 1)
                host.running[key(number)] = "v1"
                await host.writer.write()
            await host.store.carry_out_late_writes()
            assert host.saved == host.running

        run_virtually(test())

    def test_a_refused_write_is_repeated(self):
        async def test() -> None:
            host = Host(OriginBackupStoreFake())
            host.running = {key(1): "v1"}
            host.store.is_refusing = True
            await host.writer.write()
            host.store.is_refusing = False
            await host.writer.write()
            assert host.saved == host.running

        run_virtually(test())

    # Guards against origins that are lost with an older copy of the store.
    def test_it_is_written_again_to_a_restored_store(self):
        async def test() -> None:
            host = Host(OriginBackupStoreFake())
            host.running = {key(1): "v1"}
            await host.writer.write()
            host.store.backups_by_host.clear()
            host.store.lineage += 1
            await host.writer.write()
            assert host.saved == host.running

        run_virtually(test())

    def test_the_size_is_bounded(self):
        async def test() -> None:
            host = Host(OriginBackupStoreFake())
            host.running = {key(number): "v1" for number in range(MAX_ORIGINS + 100)}
            await host.writer.write()
            assert len(host.saved) == MAX_ORIGINS

        run_virtually(test())

    # Guards against hosts that together use up the write rate of the store.
    @pytest.mark.parametrize("hosts", [1, 7, 90, 330])
    def test_the_writes_of_all_hosts_are_bounded(self, hosts):
        interval = Host(OriginBackupStoreFake(), hosts=hosts).writer.interval
        assert interval >= MIN_WRITE_INTERVAL
        assert hosts / interval.total_seconds() <= MAX_WRITES_PER_SECOND


class TestLookup:
    def test_all_callers_of_a_moment_share_one_listing(self):
        async def test() -> None:
            store = OriginBackupStoreFake()
            store.put(make_backup({key(1): "v1"}))
            origins = BackedUpOrigins(store=store, clock=VirtualClock())
            found = await asyncio.gather(*(origins.find(key(1)) for _ in range(30)))
            assert {item.software for item in found} == {"v1"}
            missing = await asyncio.gather(*(origins.find(key(2)) for _ in range(30)))
            assert set(missing) == {None}
            assert store.calls == 1
            store.put(make_backup({key(2): "v2"}, "b"))
            await pass_time(LIST_INTERVAL)
            assert (await origins.find(key(2))).software == "v2"
            assert store.calls == 2

        run_virtually(test())

    # Guards against callers that are refused since the first of them left.
    def test_a_caller_that_leaves_does_not_end_the_listing_for_others(self):
        async def test() -> None:
            store = OriginBackupStoreFake()
            store.put(make_backup({key(1): "v1"}))
            origins = BackedUpOrigins(store=store, clock=VirtualClock())
            first, second = (
                asyncio.create_task(origins.find(key(1))) for _ in range(2)
            )
            await asyncio.sleep(0)
            first.cancel()
            assert (await second).software == "v1"

        run_virtually(test())

    # Guards against a listing of many pages that no caller waits for, and that is begun
    # anew each time.
    def test_a_slow_listing_goes_on_for_later_callers(self):
        async def test() -> None:
            store = OriginBackupStoreFake()
            store.put(make_backup({key(1): "v1"}))
            store.list_seconds = 3 * LIST_TIMEOUT.total_seconds()
            origins = BackedUpOrigins(store=store, clock=VirtualClock())
            assert await origins.find(key(1)) is None
            assert await origins.find(key(1)) is None
            assert (await origins.find(key(1))).software == "v1"
            assert store.calls == 1

        run_virtually(test())

    # Guards against a host without the store that forgets what it listed before.
    def test_what_was_listed_counts_without_the_store(self):
        async def test() -> None:
            store = OriginBackupStoreFake()
            store.put(make_backup({key(1): "v1"}))
            origins = BackedUpOrigins(store=store, clock=VirtualClock())
            assert await origins.find(key(1), may_list=False) is None
            assert store.calls == 0
            await origins.find(key(2))
            store.is_refusing = True
            found = await origins.find(key(1), may_list=False)
            assert found.software == "v1"

        run_virtually(test())

    # Guards against a stream that goes on at one of two versions that claim its id.
    def test_an_id_with_two_versions_is_not_relied_on(self):
        async def test() -> None:
            store = OriginBackupStoreFake()
            for host_id, software in (("a", "v1"), ("b", "v2"), ("c", "v1")):
                store.put(make_backup({key(1): software}, host_id))
            origins = BackedUpOrigins(store=store, clock=VirtualClock())
            assert not (await origins.find(key(1))).software

        run_virtually(test())

    def test_a_store_that_refuses_is_asked_again_after_a_while_only(self):
        async def test() -> None:
            store = OriginBackupStoreFake()
            store.is_refusing = True
            origins = BackedUpOrigins(store=store, clock=VirtualClock())
            found = await asyncio.gather(*(origins.find(key(1)) for _ in range(30)))
            assert set(found) == {None}
            assert store.calls == 1

        run_virtually(test())


class PlatformStoreFake:
    """A store that holds one backup, and returns what was written."""

    lineage = ("store", 0)

    def __init__(self, spec: bytes) -> None:
        self.spec = spec

    async def list_objects(self, prefix: str) -> Listing:
        return Listing(version=7, objects=(self._stored(f"{prefix}a"),))

    async def find_or_create(self, key: str, spec: bytes) -> StoredObject:
        return self._stored(key)

    async def replace(self, key: str, spec: bytes, *, revision: int) -> StoredObject:
        self.spec = spec
        return self._stored(key)

    def _stored(self, key: str) -> StoredObject:
        return StoredObject(key=key, version=7, value=msgspec.Raw(self.spec))


CUT = b64encode(key(1)[:-1]).decode()
WHOLE = b64encode(key(1)).decode()


class TestPlatformStore:
    def test_what_was_written_is_read(self):
        async def test() -> None:
            written = make_backup({key(n): f"v{n % 2}" for n in range(9)})
            store = PlatformOriginStore(store=PlatformStoreFake(b"null"))
            replaced = await store.replace(written)
            (listed,) = await store.list_all()
            assert replaced == listed
            assert listed.software_by_key == written.software_by_key
            assert listed.written_at == WRITTEN_AT
            assert listed.revision == 7

        run_virtually(test())

    # Guards against an object of another writer that ends the lookup for all streams.
    @pytest.mark.parametrize(
        "spec",
        [
            b"null",
            b"[]",
            b'{"keys_by_version": 1}',
            b'{"keys_by_version": {"v1": "#"}}',
            b'{"keys_by_version": {"v1": "' + CUT.encode() + b'"}}',
            b'{"keys_by_version": {}, "written_ms": 1' + b"0" * 400 + b"}",
            b'{"keys_by_version": {}, "written_ms": 1' + b"0" * 17 + b"}",
            b'{"keys_by_version": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
            b'{"keys_by_version": {"v1": "%s", "v2": "%s"}}'
            % (WHOLE.encode(), WHOLE.encode()),
            b'{"keys_by_version": {"v\xff": ""}}',
        ],
        ids=range(10),
    )
    def test_an_object_of_another_writer_is_skipped_and_replaced(self, spec):
        async def test() -> None:
            store = PlatformOriginStore(store=PlatformStoreFake(spec))
            assert await store.list_all() == []
            backup = await store.create(make_backup({key(1): "v1"}))
            assert backup.software_by_key == {}
            assert backup.revision == 7

        run_virtually(test())


class TestEndedAnswers:
    # Guards against requests whose bodies stay in memory after their end, beyond the
    # limit on the bodies that a host holds.
    @pytest.mark.parametrize("has_begun", [False, True])
    def test_the_request_of_an_ended_answer_is_not_held(self, has_begun):
        async def test() -> None:
            fleet = OriginFleet(hosts=1)
            fleet.start(fleet.gossip.rows)
            (exchange,) = fleet.exchanges_by_id.values()
            generation = fleet.make_generation("q0", "v1")
            if not has_begun:
                generation.origin = None
            with exchange.running(generation, first_id="q0"):
                pass
            request = weakref.ref(generation.request)
            del generation
            gc.collect()
            assert request() is None
            assert len(exchange.take_origins()) == int(has_begun)

        run_virtually(test())


class TestLossOfAllHosts:
    """All hosts are killed while streams of two versions run, and start again."""

    # Guards against streams that are refused although endpoints of their version serve,
    # and against a listing for each of them.
    @pytest.mark.parametrize(("hosts", "domains"), [(7, 3), (30, 3), (90, 3)])
    def test_streams_are_known_after_the_restart(self, hosts, domains):
        async def test() -> None:
            fleet = OriginFleet(hosts=hosts, domains=domains)
            rows = fleet.gossip.rows
            fleet.start(rows)
            fleet.gossip.know_all()
            names = [row.host_id for row in rows]
            versions_by_id = {
                f"q{number}": fleet.begin(names[number % hosts], f"q{number}")
                for number in range(400)
            }
            for writer in fleet.writers_by_id.values():
                await writer.write()
            assert fleet.backups.calls <= hosts
            fleet.stop(rows)
            fleet.start(rows, life=2)
            fleet.gossip.know_all()
            await pass_time(SETTLE_TIME)
            known = await fleet.count_known(versions_by_id, names)
            assert known == len(versions_by_id)
            assert fleet.backups.calls <= 2 * hosts

        run_virtually(test())

    # Guards against streams that are refused, or held, since the hosts do not receive
    # changes of endpoints yet: the first ones come over a second after a start.
    def test_streams_are_known_before_the_first_changes_arrive(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=7)
            rows = fleet.gossip.rows
            fleet.start(rows)
            fleet.gossip.know_all()
            names = [row.host_id for row in rows]
            versions_by_id = {
                f"q{number}": fleet.begin(names[number % len(names)], f"q{number}")
                for number in range(400)
            }
            for writer in fleet.writers_by_id.values():
                await writer.write()
            # Records that were told arrive before the hosts are lost.
            await pass_time(MIN_WRITE_INTERVAL)
            fleet.stop(rows)
            fleet.is_current = False
            fleet.start(rows, life=2)
            restarted_at = asyncio.get_running_loop().time()
            known = await fleet.count_known(versions_by_id, names)
            assert known == len(versions_by_id)
            took = asyncio.get_running_loop().time() - restarted_at
            assert took < SETTLE_TIME.total_seconds()

        run_virtually(test())

    # Guards against listings for a service that has one version, by hosts that do not
    # know the others yet.
    def test_a_young_host_lists_nothing_while_one_version_serves(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=3, versions=("v1", "v1"))
            fleet.is_current = False
            fleet.start(fleet.gossip.rows)
            fleet.gossip.know_all()
            assert await fleet.find(fleet.gossip.rows[0].host_id, "q0") == "v1"
            assert fleet.backups.calls == 0

        run_virtually(test())

    # Guards against callers that are held for long by a host that the store sends
    # nothing and refuses.
    def test_a_host_that_receives_no_changes_refuses_after_a_while(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=3)
            fleet.is_current = False
            fleet.backups.is_refusing = True
            fleet.start(fleet.gossip.rows)
            fleet.gossip.know_all()
            name = fleet.gossip.rows[0].host_id
            assert await fleet.find(name, "q0") is None
            took = timedelta(seconds=asyncio.get_running_loop().time())
            assert took < FIRST_CHANGES_TIMEOUT + sum(ANSWER_WAITS, timedelta(0))

        run_virtually(test())

    # Guards against a stream that goes on at one of two versions at which answers of
    # its id began, since a caller used the id twice.
    @pytest.mark.parametrize("second", [0, 1], ids=["same-host", "other-host"])
    @pytest.mark.parametrize("between", ["nothing", "a-write", "a-loss"])
    def test_an_id_that_was_used_at_two_versions_is_refused(self, second, between):
        async def test() -> None:
            fleet = OriginFleet(hosts=3)
            rows = fleet.gossip.rows
            names = [row.host_id for row in rows]

            async def start(life: int) -> None:
                fleet.start(rows, life=life)
                fleet.gossip.know_all()
                await pass_time(SETTLE_TIME)

            async def write() -> None:
                for writer in fleet.writers_by_id.values():
                    await writer.write()
                # Records that were told arrive before the hosts are lost.
                await pass_time(MIN_WRITE_INTERVAL)

            await start(1)
            fleet.begin(names[0], "q0", version="v1")
            if between != "nothing":
                await write()
            if between == "a-loss":
                fleet.stop(rows)
                await start(2)
            fleet.begin(names[second], "q0", version="v2")
            await write()
            fleet.stop(rows)
            await start(3)
            assert await fleet.find(names[0], "q0") is None

        run_virtually(test())

    # Guards against a stream that goes on at a version that is only presumed.
    def test_a_stream_that_no_backup_names_is_refused(self):
        async def test() -> None:
            fleet = OriginFleet(hosts=3)
            fleet.start(fleet.gossip.rows)
            fleet.gossip.know_all()
            await pass_time(SETTLE_TIME)
            name = fleet.gossip.rows[0].host_id
            assert await fleet.find(name, "nobody's") is None

        run_virtually(test())
