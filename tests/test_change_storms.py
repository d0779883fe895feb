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
from collections.abc import Callable, Collection, Coroutine
from datetime import timedelta

from passtally.front_host import GATHER_PART, LAST_RETRY, WATCH_WAIT_PART
from standins.virtual import run_virtually
from tests.rated_fleet import Fleet, make_config

APPLY_WITHIN = 3.0
PASS_WITHIN = 0.2
EVERY = 0.2
THIN = 5e6
FAST = 100e6
#: Of each domain so many hosts, the last ones, have fast links.
FAST_HOSTS = 2
SMALL = [make_config(version, routes=44, workspaces=24) for version in range(12)]


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
        last_retry=LAST_RETRY,
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
    seconds: float = 12,
) -> float:
    """Play a storm with trouble from 4 s on, and return the longest lag of a host."""
    storm = asyncio.create_task(fleet.storm(SMALL, every=EVERY, seconds=seconds))
    await asyncio.sleep(4.1)
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
