"""Storms of changes of the configuration, among hosts on thin links.

The incident: on 74 hosts in four failure domains, most of them on links of 5 Mbit/s,
the operator changed the configuration every 200 ms. Hosts answered 404 for routes that
had been there for longer than the 3 s within which a change must be in force, and
callers lost streams. Two hosts of each domain followed the store and sent each change,
14 KB of JSON, whole and unpacked to every host linked to them: 17 copies a change are
more than such a link carries. It stayed full, and all else that hosts say waited behind
copies of versions that nobody needed any more. Proof was a play of it on that code with
these fleets: hosts were 12 s behind, and messages on a watcher's link waited 24 s.

Hosts are watched at each moment of a storm: at its end all would be well again.
"""

import asyncio
from collections.abc import Callable, Collection, Coroutine, Iterable, Sequence
from datetime import timedelta

from passtally.front_host import (
    GATHER_PART,
    MAX_RETRY_DELAY,
    OUT_OF_DATE_AFTER,
    WATCH_WAIT_PART,
)
from standins.virtual import run_virtually
from tests.rated_fleet import Fleet, StoreLink, make_config

APPLY_WITHIN = 3.0
PASS_WITHIN = 0.2
EVERY = 0.2
THIN = 5e6
FAST = 100e6
#: Of each domain so many hosts, the last ones, have fast links.
FAST_HOSTS = 2
#: Trouble begins at some moments between two changes and between two beats.
TROUBLE_AFTER = (4.0, 4.2, 4.35, 4.42)
SMALL = [make_config(version, routes=44, workspaces=24) for version in range(12)]
LARGE = [make_config(version) for version in range(4)]


async def start_fleet(
    *, hosts: int = 19, domains: Collection[str] = "ab", rate: float = THIN
) -> Fleet:
    """Start hosts that follow the store as entry hosts do, and let them settle."""
    fleet = Fleet(
        hosts=hosts,
        bits_per_second=rate,
        domains=tuple(domains),
        wait=timedelta(seconds=WATCH_WAIT_PART * APPLY_WITHIN),
        pause=timedelta(seconds=GATHER_PART * APPLY_WITHIN),
        max_retry_delay=MAX_RETRY_DELAY,
        out_of_date_after=OUT_OF_DATE_AFTER,
    )
    await fleet.platform.create("config/main", SMALL[0])
    for row in fleet.rows:
        is_fast = int(row.host_id[-2:]) >= hosts - FAST_HOSTS
        fleet.start_linked(row, bits_per_second=FAST if is_fast else rate)
    fleet.tasks_by_host["gossip"] = asyncio.create_task(fleet.gossip())
    await asyncio.sleep(6)
    return fleet


async def ride_out(
    fleet: Fleet,
    trouble: Callable[[Fleet], Coroutine] | None = None,
    *,
    values: Sequence[bytes] = SMALL,
    seconds: float = 12,
    after: float = 4,
) -> float:
    """Play a storm with trouble after some time, and return the longest lag."""
    storm = asyncio.create_task(fleet.storm(values, every=EVERY, seconds=seconds))
    await asyncio.sleep(after)
    if trouble is not None:
        await trouble(fleet)
    await storm
    await asyncio.sleep(APPLY_WITHIN)
    return fleet.lateness.worst()


class TestStorm:
    def test_every_host_keeps_up_at_every_moment_and_callers_hardly_wait(self):
        async def test() -> None:
            fleet = await start_fleet(domains="abcd")
            assert await ride_out(fleet, seconds=20) < APPLY_WITHIN / 2
            assert len(fleet.lateness.worst_by_host) == 76
            assert fleet.longest_wait() < PASS_WITHIN / 2

        run_virtually(test())

    def test_they_do_in_a_domain_of_55_on_links_of_10_mbit(self):
        async def test() -> None:
            fleet = await start_fleet(hosts=55, domains="a", rate=10e6)
            assert await ride_out(fleet) < APPLY_WITHIN / 2
            assert fleet.longest_wait() < PASS_WITHIN / 2

        run_virtually(test())


class TestHostsThatComeAndGo:
    def test_the_watchers_of_each_domain_stop_one_after_the_other(self):
        async def stop_watchers(fleet: Fleet) -> None:
            for _ in range(2):
                for host_id in fleet.watchers:
                    await fleet.stop(host_id)
                await asyncio.sleep(3)

        assert lag_with(stop_watchers) < APPLY_WITHIN / 2

    def test_all_watchers_end_at_once_and_the_others_are_not_told(self):
        async def kill_watchers(fleet: Fleet) -> None:
            rows = list(fleet.rows)
            for host_id in fleet.watchers:
                await fleet.stop(host_id)
            fleet.rows[:] = rows

        assert lag_with(kill_watchers) < APPLY_WITHIN * 2 / 3

    def test_the_watchers_of_a_domain_are_cut_off_from_the_others(self):
        async def cut_watchers(fleet: Fleet) -> None:
            fleet.network.cut.update(in_domain("a", fleet.watchers))

        assert lag_with(cut_watchers) < APPLY_WITHIN * 2 / 3

    def test_hosts_that_do_not_watch_are_cut_off_from_the_others(self):
        async def cut_learners(fleet: Fleet) -> None:
            fleet.network.cut.update(["a-05", "a-10", "a-16"])

        assert lag_with(cut_learners) < APPLY_WITHIN

    def test_half_of_those_that_a_refused_domain_learns_from_end_at_once(self):
        async def refuse_and_kill(fleet: Fleet) -> None:
            for host_id in in_domain("a", fleet.stores_by_host):
                fleet.stores_by_host[host_id].is_refused = True
            await asyncio.sleep(2.5)
            rows = list(fleet.rows)
            for host_id in in_domain("b", fleet.stores_by_host)[::2]:
                await fleet.stop(host_id)
            fleet.rows[:] = rows

        assert lag_with(refuse_and_kill) < APPLY_WITHIN * 2 / 3

    def test_a_third_of_the_hosts_starts(self):
        async def restart(fleet: Fleet) -> None:
            rows = [row for row in fleet.rows if int(row.host_id[-2:]) % 3 == 2]
            for row in rows:
                await fleet.stop(row.host_id)
            await asyncio.sleep(0.5)
            fleet.rows += rows
            for row in rows:
                fleet.network.cut.discard(row.host_id)
                fleet.start_linked(row)

        assert lag_with(restart) < APPLY_WITHIN / 2


class TestStoreThatFails:
    def test_a_third_of_the_hosts_is_refused_all_watchers_among_them(self):
        async def refuse(fleet: Fleet) -> None:
            for store in stores_of_a_third(fleet):
                store.is_refused = True

        assert lag_with(refuse) < APPLY_WITHIN * 2 / 3

    def test_a_third_of_the_hosts_hears_nothing_all_watchers_among_them(self):
        async def fall_silent(fleet: Fleet) -> None:
            for store in stores_of_a_third(fleet):
                store.deaf_until = float("inf")

        assert lag_with(fall_silent) < APPLY_WITHIN

    def test_watchers_that_hear_nothing_for_a_second(self):
        async def fall_silent(fleet: Fleet) -> None:
            until = asyncio.get_running_loop().time() + 1
            for host_id in in_domain("a", fleet.watchers):
                fleet.stores_by_host[host_id].deaf_until = until

        assert lag_with(fall_silent) < APPLY_WITHIN / 2

    def test_it_answers_60_times_slower(self):
        async def slow_down(fleet: Fleet) -> None:
            for store in fleet.stores_by_host.values():
                store.answers_in = 0.24

        assert lag_with(slow_down) < APPLY_WITHIN / 2

    def test_it_refuses_a_whole_domain(self):
        async def refuse(fleet: Fleet) -> None:
            for host_id in in_domain("a", fleet.stores_by_host):
                fleet.stores_by_host[host_id].is_refused = True

        assert lag_with(refuse) < APPLY_WITHIN * 2 / 3


class TestStormOfLargeChanges:
    def test_hosts_keep_up_though_their_links_do_not_carry_each_version(self):
        async def test() -> None:
            fleet = await start_fleet(domains="a", rate=10e6)
            lag = await ride_out(fleet, values=LARGE)
            assert lag < APPLY_WITHIN * 2 / 3
            assert fleet.longest_wait() < PASS_WITHIN / 2

        run_virtually(test())

    def test_they_do_on_links_of_half_of_that(self):
        """Or beside callers that use half of a link, which is the same to it.

        What happens: the slowest change takes 5 s. Why, as far as it is known: a host
        that watches takes 0.84 s for a listing alone, and hands it on over the same
        link.
        """

        async def test() -> None:
            fleet = await start_fleet(domains="a", rate=5e6)
            assert await ride_out(fleet, values=LARGE) < APPLY_WITHIN

        run_virtually(test())

    def test_callers_hardly_wait_behind_objects_of_a_single_part(self):
        async def test() -> None:
            fleet = await start_fleet(hosts=55, domains="a", rate=10e6)
            await fleet.change(make_config(1, routes=600))
            await asyncio.sleep(APPLY_WITHIN)
            assert fleet.lateness.worst() < APPLY_WITHIN / 2
            assert fleet.longest_wait() < PASS_WITHIN / 2

        run_virtually(test())


def lag_with(trouble: Callable[[Fleet], Coroutine]) -> float:
    """Return the longest lag in storms with trouble, in which callers hardly wait."""

    async def test(after: float) -> float:
        fleet = await start_fleet()
        lag = await ride_out(fleet, trouble, after=after)
        assert fleet.longest_wait() < PASS_WITHIN / 2
        return lag

    return max(run_virtually(test(after)) for after in TROUBLE_AFTER)


def in_domain(domain: str, host_ids: Iterable[str]) -> list[str]:
    return [host_id for host_id in host_ids if host_id.startswith(domain)]


def stores_of_a_third(fleet: Fleet) -> list[StoreLink]:
    """Return the ways to the store of all watchers and of every third host."""
    every_third = [name for name in fleet.stores_by_host if int(name[-2:]) % 3 == 1]
    return [fleet.stores_by_host[name] for name in {*fleet.watchers, *every_third}]
