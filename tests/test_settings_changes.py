"""Settings that change while a host runs are applied, and no request is lost.

These tests guard against a host that logs `daemon: Settings read again.` and keeps
using the values of its start, whether the file was replaced with or without a signal,
or was half written at the start. Such a host reported ready while nothing listened at
the new address for callers, or never called the store at its new address.

The cause: reload stored the new settings in one field, but each part of the host had
copied its values when it was built. Of 15 values only the grace period was applied,
and the log was the same for all. So each value is changed on its own here, and checked
where it is used: connections at the new address, gossip, calls to the store, limits.
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
from standins.ports import free_ports
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
from tests.platform_system import PlatformSystem, expected_events, run
from tests.test_passing_states import is_ready_within
from tests.test_starts import REQUEST, ask, held

#: Time limit for a change: the file is polled each second, and a store answers at once.
SECONDS_TO_TAKE = 8

#: Every documented key of the settings file that a host reads, with another value.
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
SETTINGS_FILE = """\
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
    """Return a settings file that ends one character before the end of a key's value.

    The line of the key is moved to the end of the file.
    """
    value = parse_lines(text)[key]
    return replace_line(text, key, value).rstrip("\n")[:-1]


async def until(condition, seconds: float = SECONDS_TO_TAKE) -> bool:
    """Wait for a condition; return False if it is not met in time."""
    try:
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True


async def is_open(port: int) -> bool:
    """Return whether a port accepts connections."""
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    writer.close()
    return True


@contextlib.asynccontextmanager
async def second_store(version: int, *, revisions: int = 1):
    """Run another store with its own configuration.

    Args:
        version: The configuration's version.
        revisions: The number of changes in the store's history.
    """
    store = ObjectStoreStandIn()
    for _ in range(revisions):
        store.put("config", "main", make_config(version))
    try:
        yield store, await store.start()
    finally:
        await store.stop()


async def add_hosts(system: PlatformSystem, *names: str) -> list[FrontHost]:
    """Start a host, and others that have it as their seed."""
    system.store.put("config", "main", make_config(1))
    first = await system.add_host("front-1")
    seed = str(first.settings.peer_listen)
    return [first, *[await system.add_host(name, seeds=seed) for name in names]]


class TestEverySetting:
    def test_each_setting_of_the_file_is_applied(self):
        async def test(system: PlatformSystem) -> None:
            host = await system.add_host()
            before = translate(parse_lines(SETTINGS_FILE))
            applicable = host.reloading.appliers_by_name
            for key, value in CHANGES.items():
                new = translate(parse_lines(replace_line(SETTINGS_FILE, key, value)))
                changes = find_changes(before, new)
                assert changes, key
                assert not [
                    change for change in changes if change.name not in applicable
                ]

        run(test)

    def test_a_setting_that_needs_a_restart_is_logged_with_both_values(
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
            "Takes effect at the next start.",
            {"setting": "claim_shards", "was": "8", "told": "9"},
        )
        assert lines[1][0] == "Applied."

    def test_a_change_that_fails_prevents_no_other_and_is_retried(self, monkeypatch):
        async def test(system: PlatformSystem) -> None:
            host = await system.add_host()
            new = attrs.evolve(host.settings, seeds=SEEDS, retry_share=0.3)

            def fail(seeds: object) -> None:
                raise OSError("no descriptors")

            with monkeypatch.context() as patched:
                patched.setattr(host.roster, "set_seeds", fail)
                host.reload(new)
            assert (host.settings.seeds, host.settings.retry_share) == ((), 0.3)
            host.reload(new)
            assert host.settings == new
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
    """A host starts with a half-written but valid file, which is then completed."""

    @pytest.mark.parametrize("is_signalled", [True, False])
    @pytest.mark.parametrize(
        "key", ["listen.front", "listen.ready", "listen.control", "platform.address"]
    )
    def test_the_complete_file_is_applied(self, tmp_path, key, is_signalled):
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
    def test_a_serving_host_switches_to_the_stores_new_address(
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

    def test_a_new_store_with_fewer_revisions_is_followed_too(self):
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

    def test_the_old_state_stays_in_force_until_the_new_address_answers(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(30))
            await system.add_runner("i-look", LOOKUPS)
            host = await system.add_host()
            await system.wait_ready()
            new = at_store(host, free_ports(1)[0])
            old = host.settings
            host.reload(new)
            await asyncio.sleep(1)
            assert (await system.send("/look/1")).status == 200
            assert host.is_ready
            # The old address again, where the configuration has changed meanwhile.
            system.store.put("config", "main", make_config(31))
            host.reload(old)
            assert await until(lambda: host.routes.current.version == 31)

        run(test)

    def test_a_silent_store_does_not_delay_the_switch(self):
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

    def test_a_stream_continues(self):
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
    """Write another value into a process's settings file, and send it SIGHUP."""
    host.path.write_text(replace_line(host.path.read_text(), key, value))
    if is_signalled:
        host.process.send_signal(signal.SIGHUP)


class TestListeningAddresses:
    @pytest.mark.parametrize("is_signalled", [True, False])
    def test_callers_are_served_at_the_new_address(self, tmp_path, is_signalled):
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
                # Open connections stay, and the old address stays open for a while.
                assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))
                reader, writer = kept
                writer.write(REQUEST)
                assert b"HTTP/1.1" in await asyncio.wait_for(reader.readline(), 5)
                await wait_for(host.log, "listen: Closed.")
                assert not await is_open(host.front)
                assert host.process.poll() is None

        asyncio.run(main())

    def test_a_host_is_not_ready_before_it_has_the_new_address(self, tmp_path):
        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                # Occupied from the moment that the system assigns the port.
                with held(("127.0.0.1", 0)) as port:
                    change(host, "listen.front", f"127.0.0.1:{port}")
                    await wait_for(host.log, "listen: Cannot listen, trying again.")
                    assert not await is_ready(host)
                    # Callers that still use the old address are served.
                    assert b"HTTP/1.1" in await ask(("127.0.0.1", host.front))
                await wait_ready(host)
                assert b"HTTP/1.1" in await ask(("127.0.0.1", port))

        asyncio.run(main())

    def test_two_addresses_may_be_swapped(self, tmp_path):
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

    def test_after_many_changes_the_last_address_serves(self, tmp_path):
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
                    lambda: messages(host.log).count("listen: Closed.") >= 2, 15
                )
                assert [await is_open(port) for port in ports] == [False, False, True]

        asyncio.run(main())

    def test_the_other_hosts_learn_a_new_address(self, monkeypatch):
        monkeypatch.setattr(listeners, "CLOSE_DELAY", timedelta(seconds=1.5))

        async def test(system: PlatformSystem) -> None:
            first, second, third = await add_hosts(system, "front-2", "front-3")
            await system.wait_ready(0)
            assert await until(lambda: len(third.peers.ids) == 2)
            before = first.settings.peer_listen
            new = attrs.evolve(before, port=free_ports(1)[0])
            first.reload(attrs.evolve(first.settings, peer_listen=new))
            for host in (second, third):
                assert await until(lambda host=host: host.peers.find(new))
                assert not host.peers.find(before)
            assert await until(lambda: not before_is_open(first, before))
            # No host was considered dead in between.
            await asyncio.sleep(2)
            for host in system.hosts:
                states = [row.state for row in host.roster.others()]
                assert states == [MemberState.ALIVE] * 2

        def before_is_open(host, address: Address) -> bool:
            return address in host.listeners._opened_by_name[listeners.PEERS]

        run(test)


class TestName:
    def test_the_other_hosts_know_a_host_by_its_new_name_only(self):
        async def test(system: PlatformSystem) -> None:
            first, second = await add_hosts(system, "front-2")
            assert await until(lambda: second.peers.ids == ["front-1"])
            first.reload(attrs.evolve(first.settings, host_id="front-9"))
            assert await until(lambda: second.peers.ids == ["front-9"])
            assert [row.host_id for row in second.roster.others()] == ["front-9"]
            assert [row.host_id for row in first.roster.others()] == ["front-2"]
            # The old name again.
            first.reload(attrs.evolve(first.settings, host_id="front-1"))
            assert await until(lambda: second.peers.ids == ["front-1"])
            assert await until(
                lambda: [row.host_id for row in second.roster.others()] == ["front-1"]
            )

        run(test)

    def test_two_hosts_that_shared_a_name_are_told_apart(self):
        """A half-written file may cut a host's name to that of another host."""

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
    def test_it_changes_placement_and_reaches_the_other_hosts(self):
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
    def test_a_host_links_to_seeds_that_are_set_later(self):
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
    def test_hosts_that_change_keys_one_after_the_other_stay_linked(self):
        async def test(system: PlatformSystem) -> None:
            first, second = await add_hosts(system, "front-2")
            assert await until(lambda: first.peers.ids and second.peers.ids)
            keys = {"platform": b"a-key-that-is-told-later"}
            for host in system.hosts:
                host.reload(attrs.evolve(host.settings, resume_keys=keys))
                await asyncio.sleep(1.5)
                for asking, asked in ((first, "front-2"), (second, "front-1")):
                    assert await asking.watch._is_responding(asked)
                    states = [row.state for row in asking.roster.others()]
                    assert states == [MemberState.ALIVE]

        run(test)

    def test_the_previous_key_is_dropped_after_the_overlap(self, monkeypatch):
        monkeypatch.setattr(
            "passtally.host_reload.KEY_OVERLAP", timedelta(milliseconds=300)
        )

        async def test(system: PlatformSystem) -> None:
            host = await system.add_host("front-1")
            (before,) = host.settings.resume_keys.values()
            keys = {"platform": b"a-key-that-is-told-later"}
            host.reload(attrs.evolve(host.settings, resume_keys=keys))
            assert before in host.peers.signer.accepted_keys
            assert await until(lambda: before not in host.peers.signer.accepted_keys)
            assert (
                host.peers.signer.accepted_keys
                == host.peers.signer.signing_keys
                == list(keys.values())
            )

        run(test)


class TestBudgets:
    def test_spent_retries_stay_spent(self):
        async def test(system: PlatformSystem) -> None:
            # The extra retries are divided by at least eight hosts.
            host = await system.add_host(budget_extra="80", retry_budget_ratio="0")
            assert count_retries(host.budgets) == 10
            new = attrs.evolve(host.settings, retry_extra=160.0)
            host.reload(new)
            assert count_retries(host.budgets) == 10
            for extra in (80.0, 160.0) * 3:
                host.reload(attrs.evolve(new, retry_extra=extra))
                assert count_retries(host.budgets) == 0

        run(test)

    def test_a_new_share_and_window_apply_at_once(self):
        async def test(system: PlatformSystem) -> None:
            host = await system.add_host(budget_extra="0", retry_budget_ratio="0.5")
            for _ in range(20):
                host.budgets.earn("", service="s")
            new = attrs.evolve(host.settings, retry_share=0.1)
            host.reload(new)
            assert count_retries(host.budgets) == 2
            await asyncio.sleep(0.05)
            window = timedelta(milliseconds=20)
            host.reload(attrs.evolve(new, retry_window=window, retry_share=0.5))
            # Requests before the window earn no retries any more.
            assert count_retries(host.budgets) == 0

        run(test)


def count_retries(budgets) -> int:
    """Spend all retries left for a service, and return their number."""
    count = 0
    while budgets.try_resume("", service="s"):
        count += 1
    return count


class TestTimes:
    def test_a_stop_uses_the_new_grace_period(self):
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

    def test_watches_follow_the_time_limit_for_a_change(self):
        async def test(system: PlatformSystem) -> None:
            host = await system.add_host()
            within = timedelta(seconds=1)
            host.reload(attrs.evolve(host.settings, apply_within=within))
            for view in host.watch.views:
                assert view.follower._wait == timedelta(milliseconds=600)
                assert view.follower._pause == timedelta(milliseconds=125)

        run(test)


class TestTrials:
    def test_following_orders_of_new_versions_starts_and_stops(self):
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
    def test_an_invalid_file_changes_nothing(self, tmp_path):
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
                assert "settings: Applied." not in messages(host.log)

        asyncio.run(main())

    def test_a_file_being_written_is_applied_when_it_is_complete(self, tmp_path):
        async def main() -> None:
            async with running(tmp_path) as host:
                await wait_ready(host)
                text = host.path.read_text()
                port, *_ = free_ports(1)
                complete = replace_line(text, "listen.front", f"127.0.0.1:{port}")
                # Each prefix of the file is valid, and has another address.
                for size in range(len(complete) - 3, len(complete) + 1):
                    host.path.write_text(complete[:size])
                    host.process.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.03)
                await connect(port)
                await wait_ready(host)
                assert messages(host.log).count("settings: Applied.") == 1

        asyncio.run(main())

    def test_changes_during_a_stop_do_not_delay_it(self, tmp_path):
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
