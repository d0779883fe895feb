"""Two software versions of one service, whose streams must not be joined."""

import asyncio
import base64
import contextlib
import itertools
from collections.abc import Awaitable, Callable, Iterable, Sequence
from typing import Any

import eliot
import pytest

from passtally.front_host import FrontHost
from passtally.origin_table import KEY_BYTES
from standins.platform_config import ENGINE, make_config
from standins.runner import RunnerStandIn
from tests.busy_machine import busy_machine
from tests.platform_system import PlatformSystem, run
from tests.resuming_callers import ResumingCaller, Try, count_mixed

ZONES = ("pilar", "tigre", "escobar")
#: Number of endpoints of each version; one in each failure domain.
PER_VERSION = 3
STREAMS = 48
EVENTS = 60
#: Interval between two events, in seconds; a stream takes 1.2 s.
GAP = 0.02
#: The interval where streams outlive the loss of all hosts, in seconds: 6 s a stream.
SLOW_GAP = 0.1
#: Number of events after which callers leave.
MIDWAY = 20
#: Least share of the streams that go on while two endpoints of their version serve.
LEAST_SHARE = 0.9
#: Time within which a stream must be refused if its version serves no more, in seconds.
AT_ONCE = 0.5
BUSY_PROCESSES = 8
#: Heartbeats of endpoints that have run for long.
HEARTBEATS = 1000
#: The type of the log lines of admission.
ADMISSION = "passtally:admit"
#: Timeout of the route of the streams.
TIMEOUT_MS = 20_000

Order = Callable[["Scene"], Awaitable[None]]


class Scene:
    """Three hosts before three endpoints of each of two versions."""

    def __init__(self, system: PlatformSystem) -> None:
        self.system = system
        self.callers = [ResumingCaller() for _ in range(STREAMS)]
        self.gap = GAP

    async def add_version(self, version: int) -> None:
        """Start the endpoints of a version."""
        first = (version - 1) * PER_VERSION
        for number in range(first, first + PER_VERSION):
            await self._add_runner(number)

    async def start(self, *, versions: int = 2, gap: float = GAP) -> None:
        self.gap = gap
        system = self.system
        config = make_config()
        # A busy machine may take several seconds to make and read all streams, which is
        # not what is tested.
        config["routes"][0]["timeout_ms"] = TIMEOUT_MS
        system.store.put("config", "main", config)
        for number in range(versions * PER_VERSION):
            await self._add_runner(number)
        for zone in ZONES:
            await self.add_host(zone)
        await system.wait_ready()

    async def _add_runner(self, number: int) -> None:
        zone = ZONES[number % PER_VERSION]
        name = f"i-{number}"
        runner = await self.system.add_runner(
            name,
            zone=zone,
            events=EVENTS,
            gap=self.gap,
            version=f"v{1 + number // PER_VERSION}",
            marks_version=True,
        )
        entry = runner.entry(ENGINE, zone=zone, slots=STREAMS)
        self.system.store.put("servers", name, entry)

    def renew_entries(self) -> None:
        """Let the entries of all endpoints lapse, as while the store is down.

        Heartbeats alone change no entry: it tells those of its last change.
        """
        store = self.system.store
        for name in self.system.runners:
            entry = store.find("servers", name)
            store.remove("servers", name)
            store.put("servers", name, entry | {"sequence": HEARTBEATS})

    async def add_host(self, zone: str) -> FrontHost:
        """Start a host, and wait until it is linked to all others."""
        hosts = self.system.hosts
        seeds = str(hosts[0].settings.peer_listen) if hosts else ""
        host = await self.system.add_host(f"front-{len(hosts)}", seeds, zone=zone)
        while any(len(host.roster.linked()) < len(hosts) - 1 for host in hosts):
            await asyncio.sleep(0.02)
        return host

    @property
    def hosts(self) -> list[FrontHost]:
        return self.system.hosts

    async def stop_all_hosts(self) -> None:
        """End all hosts, so that nothing is left of what they knew."""
        for host in self.hosts:
            await host.stop()
        self.hosts.clear()

    async def restart_all_hosts(self) -> None:
        """End all hosts, and start three."""
        await self.stop_all_hosts()
        for zone in ZONES:
            await self.add_host(zone)
        await self.system.wait_ready()

    async def wait_recorded(self) -> None:
        """Wait until the store holds a record of the service's versions."""
        while self.system.store.find("software-versions", ENGINE) is None:
            await asyncio.sleep(0.02)

    async def replace_endpoints(self) -> None:
        """Start the endpoints of the first version again, under new ids."""
        for number, old in enumerate(self.runners(*range(PER_VERSION))):
            zone, port = ZONES[number], int(old.address.rpartition(":")[2])
            self.system.store.remove("servers", old.name)
            await old.stop()
            del self.system.runners[old.name]
            runner = await self.system.add_runner(
                f"again-{number}",
                zone=zone,
                port=port,
                events=EVENTS,
                gap=self.gap,
                marks_version=True,
            )
            entry = runner.entry(ENGINE, zone=zone, slots=STREAMS)
            self.system.store.put("servers", runner.name, entry)

    def count_backed_up(self) -> int:
        """Return the number of streams whose origin the store holds."""
        backups = [
            self.system.store.find("stream-origins", host.settings.host_id)
            for host in self.hosts
        ]
        return sum(
            len(base64.b64decode(keys)) // KEY_BYTES
            for backup in backups
            if backup is not None
            for keys in backup["keys_by_version"].values()
        )

    async def lose_all_hosts_midway(self) -> None:
        """Kill all hosts while all streams run, once the store holds their origins."""
        sent = asyncio.create_task(self.send_all(self.hosts))
        await self.wait_midway()
        while self.count_backed_up() < STREAMS:
            await asyncio.sleep(0.02)
        await self.stop_all_hosts()
        await sent

    def remove_version(self, version: int) -> None:
        """End all endpoints of a version as planned."""
        first = (version - 1) * PER_VERSION
        for runner in self.runners(*range(first, first + PER_VERSION)):
            self.system.store.remove("servers", runner.name)
            runner.crash()
            del self.system.runners[runner.name]

    def crash(self, *numbers: int) -> None:
        for number in numbers:
            self.system.runners[f"i-{number}"].crash()

    def runners(self, *numbers: int) -> list[RunnerStandIn]:
        return [self.system.runners[f"i-{number}"] for number in numbers]

    async def send_all(
        self,
        hosts: Iterable[FrontHost],
        callers: Sequence[ResumingCaller] = (),
        *,
        leave_after: int | None = None,
    ) -> list[Try]:
        """Send a try of each caller, by turns to the hosts."""
        sends = (
            caller.send(host, leave_after=leave_after)
            for caller, host in zip(
                callers or self.callers, itertools.cycle(hosts), strict=False
            )
        )
        return await asyncio.gather(*sends)

    async def wait_midway(self) -> None:
        """Wait until each caller has received some events."""
        while any(caller.position < MIDWAY // 2 for caller in self.callers):
            await asyncio.sleep(0.01)

    def rotated(self) -> list[FrontHost]:
        """Return the hosts, so that each caller comes to another one than before."""
        return [*self.hosts[1:], self.hosts[0]]


async def crash_one_of_each(scene: Scene) -> None:
    sent = asyncio.create_task(scene.send_all(scene.hosts))
    await scene.wait_midway()
    scene.crash(0, PER_VERSION)
    await sent


async def leave_one_of_each(scene: Scene) -> None:
    sent = asyncio.create_task(scene.send_all(scene.hosts))
    await scene.wait_midway()
    leaving = scene.runners(0, PER_VERSION)
    for runner in leaving:
        runner.faults.leaving = "1"
        entry = runner.entry(ENGINE, state="draining", slots=STREAMS)
        scene.system.store.put("servers", runner.name, entry)
    await asyncio.sleep(0.4)
    for runner in leaving:
        runner.crash()
        scene.system.store.remove("servers", runner.name)
    await sent


async def take_up_with_all(scene: Scene) -> None:
    await scene.send_all(scene.hosts, leave_after=MIDWAY)
    await scene.send_all(scene.rotated())


async def take_up_without_one_of_each(scene: Scene) -> None:
    await scene.send_all(scene.hosts, leave_after=MIDWAY)
    scene.crash(0, PER_VERSION)
    await scene.send_all(scene.rotated())


async def take_up_after_host_died(scene: Scene) -> None:
    first, *others = scene.hosts
    await scene.send_all([first], leave_after=MIDWAY)
    scene.crash(0, PER_VERSION)
    await first.stop()
    scene.system.hosts.remove(first)
    await scene.send_all(others)


async def take_up_twice(scene: Scene) -> None:
    await scene.send_all(scene.hosts, leave_after=MIDWAY)
    scene.crash(0, PER_VERSION)
    await scene.send_all(scene.rotated(), leave_after=MIDWAY)
    await scene.send_all([*scene.hosts[2:], *scene.hosts[:2]])


async def take_up_at_young_host(scene: Scene) -> None:
    await scene.send_all(scene.hosts, leave_after=MIDWAY)
    scene.crash(0, PER_VERSION)
    young = await scene.add_host(ZONES[0])
    while not young.is_ready:
        await asyncio.sleep(0.01)
    await scene.send_all([young])


ORDERS: Sequence[Order] = (
    crash_one_of_each,
    leave_one_of_each,
    take_up_with_all,
    take_up_without_one_of_each,
    take_up_after_host_died,
    take_up_twice,
    take_up_at_young_host,
)


@pytest.mark.parametrize("busy", [0, BUSY_PROCESSES], ids=["quiet", "busy"])
class TestTwoVersions:
    # Guards against streams that go on at another software version than they began at.
    @pytest.mark.parametrize("order", ORDERS, ids=lambda order: order.__name__)
    def test_no_stream_is_joined_from_two_versions(self, order, busy):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            await scene.start()
            with busy_machine(busy) if busy else contextlib.nullcontext():
                await order(scene)
            assert count_mixed(scene.callers) == 0
            served = sum(caller.is_served for caller in scene.callers)
            assert served >= LEAST_SHARE * STREAMS

        run(test)

    # Guards against streams that are held or mixed when their version serves no more.
    def test_streams_of_a_lost_version_are_refused_at_once(self, busy):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            await scene.start()
            with busy_machine(busy) if busy else contextlib.nullcontext():
                sent = asyncio.create_task(scene.send_all(scene.hosts))
                await scene.wait_midway()
                scene.crash(*range(PER_VERSION))
                await sent
                broken = [item for item in scene.callers if not item.is_served]
                tries = await scene.send_all(scene.rotated(), broken)
            assert count_mixed(scene.callers) == 0
            assert {caller.versions.copy().pop() for caller in broken} == {"v1"}
            assert {item.status for item in tries} == {503}
            if not busy:
                assert max(item.ended_after for item in tries) < AT_ONCE

        run(test)


class TestAllHostsLost:
    """All hosts end at once, so that none has a record of the streams that ran."""

    # Guards against streams that go on at the only version that restarted hosts have
    # seen, while the version that began them is gone.
    @pytest.mark.parametrize("keeps_records", [True, False], ids=["records", "none"])
    @pytest.mark.parametrize("keeps_history", [True, False], ids=["history", "no-past"])
    def test_no_stream_goes_on_at_the_version_that_is_left(
        self, keeps_records, keeps_history
    ):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            system.store.write_refusal = None if keeps_records else 404
            await scene.start()
            await scene.send_all(scene.hosts, leave_after=MIDWAY)
            if keeps_records:
                await scene.wait_recorded()
            scene.remove_version(2)
            if not keeps_history:
                system.store.forget_history()
            await scene.restart_all_hosts()
            began_at = [set(caller.versions) for caller in scene.callers]
            tries = await scene.send_all(scene.hosts)
            assert count_mixed(scene.callers) == 0
            # Where the store holds origins, the streams of the version that is left may
            # go on; all others are refused.
            may_go_on = [keeps_records and began == {"v1"} for began in began_at]
            statuses = {
                item.status
                for item, may in zip(tries, may_go_on, strict=True)
                if not (may and item.is_complete)
            }
            assert statuses == {503}

        run(test)

    # Guards against streams that are refused although endpoints of their version serve.
    def test_streams_of_both_versions_go_on(self):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            await scene.start(gap=SLOW_GAP)
            await scene.lose_all_hosts_midway()
            await scene.restart_all_hosts()
            calls = system.store.other_calls
            await scene.send_all(scene.hosts)
            assert system.store.other_calls - calls < STREAMS / 2
            assert count_mixed(scene.callers) == 0
            served = sum(caller.is_served for caller in scene.callers)
            assert served >= LEAST_SHARE * STREAMS

        run(test)

    # Guards against streams that are refused for want of room while new ones begin: a
    # part of such an answer was served, and its caller has little time left.
    def test_streams_that_are_taken_up_are_admitted_before_new_ones(self):
        events: list[dict[str, Any]] = []

        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            await scene.start(versions=1)
            await scene.send_all(scene.hosts, leave_after=MIDWAY)
            await scene.send_all(scene.rotated())

        eliot.add_destinations(events.append)
        # The first destination also gets what was logged before it was added.
        events.clear()
        try:
            run(test)
        finally:
            eliot.remove_destination(events.append)
        admitted = [event for event in events if event["message_type"] == ADMISSION]
        are_new = [event["is_new"] for event in admitted]
        assert are_new == [True] * STREAMS + [False] * STREAMS

    # Guards against streams that are known after the first loss only, since the hosts
    # replaced what the store held.
    def test_streams_go_on_after_a_second_loss_soon_after(self):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            await scene.start(gap=SLOW_GAP)
            await scene.lose_all_hosts_midway()
            await scene.restart_all_hosts()
            first, second = scene.callers[: STREAMS // 2], scene.callers[STREAMS // 2 :]
            sent = asyncio.create_task(scene.send_all(scene.hosts, first))
            await asyncio.sleep(1.5)
            await scene.stop_all_hosts()
            await sent
            await scene.restart_all_hosts()
            await scene.send_all(scene.hosts, [*first, *second])
            assert count_mixed(scene.callers) == 0
            served = sum(caller.is_served for caller in scene.callers)
            assert served >= LEAST_SHARE * STREAMS

        run(test)

    # Guards against streams that go on at a guess where the store takes no writes.
    def test_streams_are_refused_where_the_store_takes_no_writes(self):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            system.store.write_refusal = 404
            await scene.start()
            await scene.send_all(scene.hosts, leave_after=MIDWAY)
            await scene.restart_all_hosts()
            tries = await scene.send_all(scene.hosts)
            assert count_mixed(scene.callers) == 0
            assert {item.status for item in tries} == {503}

        run(test)

    # Guards against streams that go on at a version which replaced theirs while no host
    # ran to see it, so that no record names theirs.
    # The store keeps its history for some time only: less than the hosts are away, or
    # less than it takes callers to come back.
    @pytest.mark.parametrize("forgets", ["before", "while-away", "after-the-return"])
    def test_no_stream_goes_on_at_a_version_that_came_meanwhile(self, forgets):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            system.store.era = None
            await scene.start(versions=1)
            await scene.send_all(scene.hosts, leave_after=MIDWAY)
            if forgets == "before":
                system.store.forget_history()
            await scene.stop_all_hosts()
            scene.remove_version(1)
            await scene.add_version(2)
            if forgets == "while-away":
                system.store.forget_history()
            await scene.restart_all_hosts()
            if forgets == "after-the-return":
                system.store.forget_history()
            tries = await scene.send_all(scene.hosts)
            assert count_mixed(scene.callers) == 0
            assert {item.status for item in tries} == {503}

        run(test)

    # Guards against streams that are refused since the store tells an era, as it does
    # for good after it was restored from a copy once.
    def test_streams_of_the_only_version_go_on_where_the_store_tells_an_era(self):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            await scene.start(versions=1)
            await scene.wait_recorded()
            await scene.send_all(scene.hosts, leave_after=MIDWAY)
            system.store.forget_history()
            await scene.restart_all_hosts()
            await scene.send_all(scene.hosts)
            served = sum(caller.is_served for caller in scene.callers)
            assert served >= LEAST_SHARE * STREAMS

        run(test)

    # Guards against streams that are refused since all endpoints started again at the
    # same version while no host ran.
    def test_streams_go_on_at_endpoints_that_started_again_at_their_version(self):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            await scene.start(versions=1)
            await scene.wait_recorded()
            await scene.send_all(scene.hosts, leave_after=MIDWAY)
            await scene.stop_all_hosts()
            await scene.replace_endpoints()
            system.store.forget_history()
            await scene.restart_all_hosts()
            await scene.send_all(scene.hosts)
            served = sum(caller.is_served for caller in scene.callers)
            assert served >= LEAST_SHARE * STREAMS

        run(test)

    # Guards against streams that are refused since the entries of all endpoints were
    # created anew: they lapse while the store is down.
    def test_streams_of_the_only_version_go_on_after_all_entries_lapsed(self):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            await scene.start(versions=1)
            await scene.send_all(scene.hosts, leave_after=MIDWAY)
            await scene.stop_all_hosts()
            system.store.forget_history()
            scene.renew_entries()
            await scene.restart_all_hosts()
            await scene.send_all(scene.hosts)
            served = sum(caller.is_served for caller in scene.callers)
            assert served >= LEAST_SHARE * STREAMS

        run(test)

    # Guards against streams that no backup names, since the hosts that began them saw
    # one version only: another one may still be in the record.
    def test_streams_go_on_after_a_second_loss_with_one_version_left(self):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            await scene.start(gap=SLOW_GAP)
            await scene.wait_recorded()
            scene.remove_version(1)
            await scene.restart_all_hosts()
            sent = asyncio.create_task(scene.send_all(scene.hosts))
            await scene.wait_midway()
            # Longer than the interval between two writes of a backup.
            await asyncio.sleep(1.5)
            await scene.stop_all_hosts()
            await sent
            await scene.restart_all_hosts()
            await scene.send_all(scene.hosts)
            assert count_mixed(scene.callers) == 0
            served = sum(caller.is_served for caller in scene.callers)
            assert served >= LEAST_SHARE * STREAMS

        run(test)

    # Guards against a second version that is not recorded yet when all hosts are lost.
    def test_no_stream_goes_on_after_a_version_that_had_just_come(self):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            system.store.era = None
            await scene.start(versions=1, gap=SLOW_GAP)
            system.store.forget_history()
            await scene.add_version(2)
            for host in scene.hosts:
                while len(host.catalog.endpoints_by_id) < 2 * PER_VERSION:
                    await asyncio.sleep(0.01)
            sent = asyncio.create_task(scene.send_all(scene.hosts))
            while not any("v2" in caller.versions for caller in scene.callers):
                await asyncio.sleep(0.01)
            await scene.stop_all_hosts()
            scene.remove_version(2)
            await sent
            await scene.restart_all_hosts()
            await scene.send_all(scene.hosts)
            assert count_mixed(scene.callers) == 0

        run(test)

    # Guards against streams that are refused although no other version ever served.
    @pytest.mark.parametrize("write_refusal", [None, 404], ids=["records", "none"])
    def test_streams_of_the_only_version_go_on(self, write_refusal):
        async def test(system: PlatformSystem) -> None:
            scene = Scene(system)
            system.store.write_refusal = write_refusal
            # A store that was restored from a copy has lost a part of its history.
            system.store.era = None
            await scene.start(versions=1)
            if write_refusal is None:
                await scene.wait_recorded()
            await scene.send_all(scene.hosts, leave_after=MIDWAY)
            if write_refusal is None:
                # A store that takes writes need not keep its history.
                system.store.forget_history()
            # One of the first watching host of each failure domain.
            assert system.store.writes <= len(scene.hosts)
            await scene.restart_all_hosts()
            await scene.send_all(scene.hosts)
            # On a busy machine some are refused for the time to their first event.
            refused = [item for item in scene.callers if not item.is_served]
            if refused:
                await scene.send_all(scene.hosts, refused)
            assert all(caller.is_served for caller in scene.callers)
            # A record that exists is not written again. Without one each host tries as
            # before the loss, once for all streams that it takes up, and once more
            # after it begins to receive changes.
            tries = 1 if write_refusal is None else 4
            assert system.store.writes <= tries * len(scene.hosts)

        run(test)
