"""Settings that change while a host runs: each is taken, and nothing is lost by it.

What happened: a host that was told a new value of a setting, by a whole file with or
without a signal, or because its first file had been half written, logged `daemon:
Settings read again.` and went on with the value of its start. With a new address for
callers it said ready while nobody listened where callers were told to come; with a new
address of the store it never asked there.

Why: what is read again was kept in one field that hardly anything looks at after the
start. Each part of a host had been given its value when it was built.

What showed it: each value of the file changed on its own, and looked for where it is
used: in connections at the new address, in what other hosts are told, in calls to the
store, in limits. Of 15 values the grace alone was taken. The log says the same for all.
"""

import asyncio
import contextlib
import signal
from datetime import timedelta

import attrs
import msgspec
import pytest

from passtally import listeners
from passtally.front_host import FrontHost
from passtally.member_table import MemberState
from passtally.platform.settings import translate
from passtally.platform.settings_file import parse_lines
from passtally.settings import Address
from passtally.settings_change import find_changes
from standins.object_store import ObjectStoreStandIn
from standins.platform_config import ENGINE, LOOKUPS, make_config
from tests.host_process import (
    Running,
    connect,
    is_ready,
    messages,
    running,
    settled,
    started,
    wait_for,
    wait_ready,
)
from tests.platform_system import PlatformSystem, expected_events, free_ports, run
from tests.test_passing_states import is_ready_within
from tests.test_starts import REQUEST, ask, held

#: The file is looked at each 5 s, and a store that is asked anew answers at once.
SECONDS_TO_TAKE = 8

#: Every key of the users' page that a host reads, with another value.
CHANGES = {
    "node_name": "front-pilar-2",
    "region": "ba-sur",
    "zone": "tigre",
    "zones.pilar": "ba-sur",
    "ip": "127.0.0.9",
    "listen.front": "127.0.0.1:8001",
    "listen.ready": "127.0.0.1:8002",
    "listen.control": "127.0.0.1:8003",
    "seeds": "127.0.0.1:8004",
    "platform.address": "127.0.0.1:8005",
    "bounds.grace_s": "9",
    "bounds.retry_budget_ratio": "0.3",
    "bounds.budget_extra": "20",
    "bounds.budget_window_s": "5",
    "bounds.config_apply_ms": "1000",
    "bounds.exposure_share": "0.2",
    "bounds.exposure_slack": "10",
}

SEEDS = (Address(host="127.0.0.1", port=9),)
WHOLE = """\
node_name=front-pilar-1
region=ba-norte
zone=pilar
zones.pilar=ba-norte
ip=127.0.0.1
listen.front=127.0.0.1:9001
listen.ready=127.0.0.1:9002
listen.control=127.0.0.1:9003
seeds=127.0.0.1:9004
platform.address=127.0.0.1:9005
bounds.grace_s=8
bounds.retry_budget_ratio=0.8
bounds.budget_extra=150
bounds.budget_window_s=10
bounds.config_apply_ms=2000
bounds.exposure_share=0.1
bounds.exposure_slack=50
"""


def replace_line(text: str, key: str, value: str) -> str:
    """Return a settings file with another value of one key."""
    lines = [line for line in text.splitlines() if not line.startswith(f"{key}=")]
    return "\n".join([*lines, f"{key}={value}"]) + "\n"


def cut_at(text: str, key: str) -> str:
    """Return a settings file that is broken off in the value of one key."""
    value = parse_lines(text)[key]
    return replace_line(text, key, value).rstrip("\n")[:-1]


async def until(condition, seconds: float = SECONDS_TO_TAKE) -> bool:
    """Wait for a condition, and return whether it came true."""
    try:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True


async def is_open(port: int) -> bool:
    """Return whether something listens at a port."""
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


@contextlib.asynccontextmanager
async def second_store(version: int, *, revisions: int = 1):
    """Run another store; its configuration has one route more.

    Args:
        version: The configuration's version.
        revisions: How many changes it has seen.
    """
    store = ObjectStoreStandIn()
    for _ in range(revisions):
        store.put("config", "main", make_config(version))
    try:
        yield store, await store.start()
    finally:
        await store.stop()


async def add_hosts(system: PlatformSystem, *names: str) -> list[FrontHost]:
    """Start a host, and others that it is the seed of."""
    system.store.put("config", "main", make_config(1))
    first = await system.add_host("front-1")
    seed = str(first.settings.peer_listen)
    return [first, *[await system.add_host(name, seeds=seed) for name in names]]


class TestEverySetting:
    def test_each_that_is_read_from_the_file_is_taken(self):
        async def test(system: PlatformSystem) -> None:
            host = await system.add_host()
            before = translate(parse_lines(WHOLE))
            takeable = host.reloading.appliers_by_name
            for key, value in CHANGES.items():
                told = translate(parse_lines(replace_line(WHOLE, key, value)))
                changes = find_changes(before, told)
                assert changes, key
                assert not [change for change in changes if change.name not in takeable]

        run(test)

    def test_one_that_no_running_host_takes_is_told_with_what_it_was_and_is(
        self, monkeypatch
    ):
        lines = []
        monkeypatch.setattr(
            "passtally.settings_change.log_event",
            lambda part, sentence, **fields: lines.append((sentence, fields)),
        )

        async def test(system: PlatformSystem) -> None:
            host = await system.add_host()
            host.reload(attrs.evolve(host.settings, claim_shards=9, retry_share=0.3))
            assert host.settings.claim_shards == 8
            assert host.settings.retry_share == 0.3

        run(test)
        assert lines[0] == (
            "Not taken before the next start.",
            {"setting": "claim_shards", "was": "8", "told": "9"},
        )
        assert lines[1][0] == "Taken."

    def test_one_that_can_not_be_taken_now_keeps_no_other_and_is_tried_again(
        self, monkeypatch
    ):
        async def test(system: PlatformSystem) -> None:
            host = await system.add_host()
            told = attrs.evolve(host.settings, seeds=SEEDS, retry_share=0.3)

            def fail(seeds: object) -> None:
                raise OSError("no descriptors")

            with monkeypatch.context() as patched:
                patched.setattr(host.roster, "use_seeds", fail)
                host.reload(told)
            assert (host.settings.seeds, host.settings.retry_share) == ((), 0.3)
            host.reload(told)
            assert host.settings == told
            assert host.peers.find(SEEDS[0])

        run(test)

    def test_secrets_are_not_logged(self, monkeypatch):
        lines = []
        monkeypatch.setattr(
            "passtally.settings_change.log_event",
            lambda part, sentence, **fields: lines.append(fields),
        )

        async def test(system: PlatformSystem) -> None:
            host = await system.add_host()
            keys = {"platform": b"another-secret-of-the-hosts"}
            host.reload(attrs.evolve(host.settings, resume_keys=keys))

        run(test)
        assert lines == [{"setting": "resume_keys"}]


class TestCutAtTheStart:
    """A start met a half written file that is usable; then the whole file stands."""

    @pytest.mark.parametrize("is_signalled", [True, False])
    @pytest.mark.parametrize(
        "key", ["listen.front", "listen.ready", "listen.control", "platform.address"]
    )
    def test_the_whole_file_is_taken(self, tmp_path, key, is_signalled):
        async def main() -> None:
            async with settled(tmp_path) as place:
                text = place.path.read_text()
                place.path.write_text(cut_at(text, key))
                async with started(place) as host:
                    await wait_for(host.log, "daemon: Started.")
                    place.path.write_text(text)
                    if is_signalled:
                        host.process.send_signal(signal.SIGHUP)
                    assert await is_ready_within(host, 12), messages(host.log)
                    assert b"HTTP/1.1" in await ask(("127.0.0.1", place.front))
                    _, writer = await connect(place.control)
                    writer.close()

        asyncio.run(main())


class TestStore:
    @pytest.mark.parametrize("is_signalled", [True, False])
    def test_a_host_that_serves_goes_to_the_stores_new_address(
        self, tmp_path, is_signalled
    ):
        async def main() -> None:
            async with running(tmp_path) as host, second_store(5) as (store, port):
                await wait_ready(host)
                address = f"127.0.0.1:{port}"
                change(host, "platform.address", address, is_signalled=is_signalled)
                assert await until(lambda: store.calls), messages(host.log)
                assert await until(lambda: in_force(host) == 5)
                store.put("config", "main", make_config(6))
                assert await until(lambda: in_force(host) == 6)
                assert await is_ready(host)

        asyncio.run(main())

    def test_a_store_that_has_seen_less_counts_as_well(self):
        async def test(system: PlatformSystem) -> None:
            for _ in range(20):
                system.store.put("config", "main", make_config(30))
            host = await system.add_host()
            await system.wait_ready(0)
            async with second_store(3) as (store, port):
                host.reload(at_store(host, port))
                assert await until(lambda: host.routes.current.version == 3)
                store.put("config", "main", make_config(4))
                assert await until(lambda: host.routes.current.version == 4)

        run(test)

    def test_what_is_known_stays_in_force_until_the_new_address_answers(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(30))
            await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host()
            await system.wait_ready()
            told = at_store(host, free_ports(1)[0])
            old = host.settings
            host.reload(told)
            await asyncio.sleep(1)
            assert (await system.send("/look/1")).status == 200
            assert host.is_ready
            # Back at the old address, where more has changed meanwhile.
            system.store.put("config", "main", make_config(31))
            host.reload(old)
            assert await until(lambda: host.routes.current.version == 31)

        run(test)

    def test_a_silent_store_does_not_hold_a_host_back(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(1))
            host = await system.add_host()
            await system.wait_ready(0)
            system.store.is_silent = True
            await asyncio.sleep(0.5)
            async with second_store(2) as (_, port):
                began = host.clock.monotonic()
                host.reload(at_store(host, port))
                assert await until(lambda: host.routes.current.version == 2)
                assert host.clock.monotonic() - began < timedelta(seconds=1)

        run(test)

    def test_a_stream_goes_on(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(1))
            await system.add_runner("i-1", ENGINE, gap=0.05)
            host = await system.add_host()
            await system.wait_ready()
            streaming = asyncio.create_task(system.stream())
            await until(lambda: host.drain.open_requests)
            async with second_store(2) as (store, port):
                entry = system.runners["i-1"].entry(ENGINE, zone="pilar")
                store.put("servers", "i-1", entry)
                host.reload(at_store(host, port))
                answer = await streaming
            assert answer.is_whole
            assert answer.body == expected_events(20)

        run(test)


def at_store(host, port: int):
    """Return a host's settings with another address of the store."""
    return attrs.evolve(host.settings, platform=f"http://127.0.0.1:{port}")


def in_force(host: Running) -> int:
    """Return the configuration version that a process logged last."""
    lines = [msgspec.json.decode(line) for line in host.log.read_bytes().splitlines()]
    versions = [line["version"] for line in lines if "config: In" in line["message"]]
    return versions[-1] if versions else 0


def change(host: Running, key: str, value: str, *, is_signalled: bool = True) -> None:
    """Write another value into a process's settings, and tell it so."""
    host.path.write_text(replace_line(host.path.read_text(), key, value))
    if is_signalled:
        host.process.send_signal(signal.SIGHUP)


class TestListeningAddresses:
    @pytest.mark.parametrize("is_signalled", [True, False])
    def test_callers_are_served_where_they_are_told_to_come(
        self, tmp_path, is_signalled
    ):
        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                kept = await connect(host.front)
                port, *_ = free_ports(1)
                address = f"127.0.0.1:{port}"
                change(host, "listen.front", address, is_signalled=is_signalled)
                await connect(port)
                await wait_ready(host)
                assert b"HTTP/1.1" in await ask(("127.0.0.1", port))
                # An open connection stays, the old address for a while.
                assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))
                reader, writer = kept
                writer.write(REQUEST)
                assert b"HTTP/1.1" in await asyncio.wait_for(reader.readline(), 5)
                await wait_for(host.log, "listen: Let go.")
                assert not await is_open(host.front)
                assert host.process.poll() is None

        asyncio.run(main())

    def test_a_host_is_not_ready_before_it_has_the_new_address(self, tmp_path):
        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                # Held from the moment at which it is drawn on.
                with held(("127.0.0.1", 0)) as port:
                    change(host, "listen.front", f"127.0.0.1:{port}")
                    await wait_for(host.log, "listen: Not open, trying again.")
                    assert not await is_ready(host)
                    # Who still comes where callers were told before is served.
                    assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))
                await wait_ready(host)
                assert b"HTTP/1.1" in await ask(("127.0.0.1", port))

        asyncio.run(main())

    def test_two_addresses_may_change_places(self, tmp_path):
        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                text = host.path.read_text()
                text = replace_line(text, "listen.front", f"127.0.0.1:{host.ready}")
                text = replace_line(text, "listen.ready", f"127.0.0.1:{host.front}")
                host.path.write_text(text)
                host.process.send_signal(signal.SIGHUP)
                swapped = attrs.evolve(host, front=host.ready, ready=host.front)
                await wait_ready(swapped)

        asyncio.run(main())

    def test_an_address_that_changes_all_the_time_serves_in_the_end(self, tmp_path):
        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                ports = [host.front, *free_ports(2)]
                for number in range(30):
                    port = ports[number % 3]
                    change(host, "listen.front", f"127.0.0.1:{port}")
                    assert b"HTTP/1.1" in await ask(("127.0.0.1", port))
                    await asyncio.sleep(0.05)
                await wait_ready(host)
                assert await until(
                    lambda: messages(host.log).count("listen: Let go.") >= 2, 15
                )
                assert [await is_open(port) for port in ports] == [False, False, True]

        asyncio.run(main())

    def test_the_other_hosts_hear_of_a_new_address(self, monkeypatch):
        monkeypatch.setattr(listeners, "LET_GO_AFTER", timedelta(seconds=1.5))

        async def test(system: PlatformSystem) -> None:
            first, second, third = await add_hosts(system, "front-2", "front-3")
            await system.wait_ready(0)
            assert await until(lambda: len(third.peers.ids) == 2)
            before = first.settings.peer_listen
            told = attrs.evolve(before, port=free_ports(1)[0])
            first.reload(attrs.evolve(first.settings, peer_listen=told))
            for host in (second, third):
                assert await until(lambda host=host: host.peers.find(told))
                assert not host.peers.find(before)
            assert await until(lambda: not before_is_open(first, before))
            # No host was held for gone on the way.
            await asyncio.sleep(2)
            for host in system.hosts:
                states = [row.state for row in host.roster.others()]
                assert states == [MemberState.ALIVE] * 2

        def before_is_open(host, address: Address) -> bool:
            return address in host.listeners._opened_by_name[listeners.PEERS]

        run(test)


class TestName:
    def test_the_other_hosts_know_it_under_its_new_name_alone(self):
        async def test(system: PlatformSystem) -> None:
            first, second = await add_hosts(system, "front-2")
            assert await until(lambda: second.peers.ids == ["front-1"])
            first.reload(attrs.evolve(first.settings, host_id="front-9"))
            assert await until(lambda: second.peers.ids == ["front-9"])
            assert [row.host_id for row in second.roster.others()] == ["front-9"]
            assert [row.host_id for row in first.roster.others()] == ["front-2"]
            # And back.
            first.reload(attrs.evolve(first.settings, host_id="front-1"))
            assert await until(lambda: second.peers.ids == ["front-1"])
            assert await until(
                lambda: [row.host_id for row in second.roster.others()] == ["front-1"]
            )

        run(test)

    def test_two_hosts_that_had_one_name_are_told_apart(self):
        """A name that is broken off may be another host's."""

        async def test(system: PlatformSystem) -> None:
            _, second, third = await add_hosts(system, "front-1", "front-3")
            await asyncio.sleep(1)
            second.reload(attrs.evolve(second.settings, host_id="front-12"))
            for host in system.hosts:
                wanted = {"front-1", "front-12", "front-3"} - {host.settings.host_id}
                assert await until(
                    lambda host=host, wanted=wanted: (
                        {row.host_id for row in host.roster.others()} == wanted
                        and set(host.peers.ids) == wanted
                    )
                ), (host.settings.host_id, host.peers.ids)
            assert third.peers.find(second.settings.peer_listen) == ["front-12"]

        run(test)


class TestFailureDomain:
    def test_it_counts_in_choices_and_among_the_hosts(self):
        async def test(system: PlatformSystem) -> None:
            near = await system.add_runner("i-near", LOOKUPS, zone="pilar")
            far = await system.add_runner("i-far", LOOKUPS, zone="tigre")
            first, second = await add_hosts(system, "front-2")
            await system.wait_ready()
            for _ in range(5):
                assert (await system.send("/look/1")).status == 200
            assert (len(near.ran), len(far.ran)) == (5, 0)
            first.reload(attrs.evolve(first.settings, failure_domain="tigre"))
            for _ in range(5):
                assert (await system.send("/look/1")).status == 200
            assert (len(near.ran), len(far.ran)) == (5, 5)
            assert await until(
                lambda: (
                    [row.failure_domain for row in second.roster.others()] == ["tigre"]
                )
            )

        run(test)


class TestSeeds:
    def test_a_host_meets_those_that_it_is_told_later(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(1))
            first = await system.add_host("front-1")
            second = await system.add_host("front-2", seeds="127.0.0.1:9")
            await asyncio.sleep(0.3)
            assert not first.roster.others()
            seeds = (first.settings.peer_listen,)
            second.reload(attrs.evolve(second.settings, seeds=seeds))
            assert await until(lambda: second.peers.ids == ["front-1"])
            assert await until(lambda: first.peers.ids == ["front-2"])

        run(test)


class TestKeys:
    def test_hosts_that_are_told_one_after_the_other_hear_each_other(self):
        async def test(system: PlatformSystem) -> None:
            first, second = await add_hosts(system, "front-2")
            assert await until(lambda: first.peers.ids and second.peers.ids)
            keys = {"platform": b"a-key-that-is-told-later"}
            for host in system.hosts:
                host.reload(attrs.evolve(host.settings, resume_keys=keys))
                await asyncio.sleep(1.5)
                for asking, asked in ((first, "front-2"), (second, "front-1")):
                    assert await asking.watch._is_there(asked)
                    states = [row.state for row in asking.roster.others()]
                    assert states == [MemberState.ALIVE]

        run(test)

    def test_the_key_before_is_dropped_after_a_while(self, monkeypatch):
        monkeypatch.setattr(
            "passtally.host_reload.KEY_OVERLAP", timedelta(milliseconds=300)
        )

        async def test(system: PlatformSystem) -> None:
            host = await system.add_host("front-1")
            (before,) = host.settings.resume_keys.values()
            keys = {"platform": b"a-key-that-is-told-later"}
            host.reload(attrs.evolve(host.settings, resume_keys=keys))
            assert before in host.peers._keys
            assert await until(lambda: before not in host.peers._keys)
            assert host.peers._keys == host.peers._signing_keys == list(keys.values())

        run(test)


class TestBudgets:
    def test_what_was_spent_stays_spent(self):
        async def test(system: PlatformSystem) -> None:
            # A host counts on at least eight that share the extra repeats.
            host = await system.add_host(budget_extra="80", retry_budget_ratio="0")
            assert count_repeats(host.budgets) == 10
            told = attrs.evolve(host.settings, retry_extra=160.0)
            host.reload(told)
            assert count_repeats(host.budgets) == 10
            for extra in (80.0, 160.0) * 3:
                host.reload(attrs.evolve(told, retry_extra=extra))
                assert count_repeats(host.budgets) == 0

        run(test)

    def test_share_and_window_count_from_now_on(self):
        async def test(system: PlatformSystem) -> None:
            host = await system.add_host(budget_extra="0", retry_budget_ratio="0.5")
            for _ in range(20):
                host.budgets.earn("", service="s")
            told = attrs.evolve(host.settings, retry_share=0.1)
            host.reload(told)
            assert count_repeats(host.budgets) == 2
            await asyncio.sleep(0.05)
            window = timedelta(milliseconds=20)
            host.reload(attrs.evolve(told, retry_window=window, retry_share=0.5))
            # What came before the window earns nothing any more.
            assert count_repeats(host.budgets) == 0

        run(test)


def count_repeats(budgets) -> int:
    """Spend all that is left for a service, and return how much it was."""
    count = 0
    while budgets.try_resume("", service="s"):
        count += 1
    return count


class TestTimes:
    def test_a_stop_takes_the_grace_that_is_told(self):
        async def test(system: PlatformSystem) -> None:
            await system.add_runner("i-1", ENGINE, gap=0.05, events=100)
            system.store.put("config", "main", make_config(1))
            host = await system.add_host(grace_s="30")
            await system.wait_ready()
            streaming = asyncio.create_task(system.stream())
            await until(lambda: host.drain.open_requests)
            times = {"balancer_lag": timedelta(0), "grace": timedelta(seconds=1)}
            host.reload(attrs.evolve(host.settings, **times))
            await asyncio.wait_for(host.leave(), 2)
            streaming.cancel()

        run(test)

    def test_watches_wait_for_as_long_as_a_change_may_take(self):
        async def test(system: PlatformSystem) -> None:
            host = await system.add_host()
            within = timedelta(seconds=1)
            host.reload(attrs.evolve(host.settings, apply_within=within))
            for view in host.watch.views:
                assert view.follower._wait == timedelta(milliseconds=600)
                assert view.follower._pause == timedelta(milliseconds=125)

        run(test)


class TestTrials:
    def test_orders_of_new_versions_are_followed_from_then_on_and_no_more(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(1))
            await system.add_runner("i-1", ENGINE)
            host = await system.add_host()
            await system.wait_ready()
            orders = host._adapter.rollouts_prefix
            assert orders not in host.watch.newest()
            for share in (0.1, 0.2):
                host.reload(attrs.evolve(host.settings, trial_share=share))
                assert orders in host.watch.newest()
                assert host.fleet.versions is host.rollouts
                assert (await system.stream()).is_whole
            host.reload(attrs.evolve(host.settings, host_id="front-9"))
            assert host.fleet.versions is host.rollouts
            host.reload(attrs.evolve(host.settings, trial_share=0.0))
            assert orders not in host.watch.newest()
            assert host.rollouts is None
            assert (await system.stream()).is_whole

        run(test)


class TestFile:
    def test_one_that_can_not_be_used_changes_nothing(self, tmp_path):
        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                text = host.path.read_text()
                for broken in ("", "zone=pilar\n", text.replace("listen.front", "x")):
                    host.path.write_text(broken)
                    host.process.send_signal(signal.SIGHUP)
                    count = messages(host.log).count("daemon: Kept the old settings.")
                    assert await until(
                        lambda count=count: (
                            messages(host.log).count("daemon: Kept the old settings.")
                            > count
                        )
                    )
                    assert await is_ready(host)
                host.path.write_text(text)
                host.process.send_signal(signal.SIGHUP)
                await wait_for(host.log, "daemon: Settings read again.")
                assert "settings: Taken." not in messages(host.log)

        asyncio.run(main())

    def test_one_that_is_being_written_is_taken_when_it_is_whole(self, tmp_path):
        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                text = host.path.read_text()
                port, *_ = free_ports(1)
                whole = replace_line(text, "listen.front", f"127.0.0.1:{port}")
                # Each part of it is usable, and tells another address.
                for size in range(len(whole) - 3, len(whole) + 1):
                    host.path.write_text(whole[:size])
                    host.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.03)
                await connect(port)
                await wait_ready(host)
                assert messages(host.log).count("settings: Taken.") == 1

        asyncio.run(main())

    def test_changes_beside_a_stop_do_not_hold_it_up(self, tmp_path):
        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                ports = free_ports(2)
                host.process.send_signal(signal.SIGTERM)
                number = 0
                while host.process.poll() is None:
                    number += 1
                    port = ports[number % 2]
                    text = host.path.read_text()
                    text = replace_line(text, "listen.front", f"127.0.0.1:{port}")
                    host.path.write_text(text)
                    host.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.1)
                assert host.process.returncode == 0
                assert number < 40

        asyncio.run(main())
