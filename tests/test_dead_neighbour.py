"""A host that learns from others while the link to one of them is down.

The pattern: hosts are stopped and started in turn while the configuration changes every
200 ms. One that has just started has listed the newest state, and gossip tells of it
before links to it are up. A question to it must not keep the news of others out.
"""

import asyncio

import msgspec
import pytest

from standins.virtual import run_virtually
from tests.test_large_changes import THIN, Fleet, make_config

HOSTS = 18
GAP_S = 0.2
KEY = "config/main"
#: In seconds: three hosts that do not answer are asked at most, for 0.5 s each.
LEARNED_WITHIN = 2.0


class TestDeadNeighbour:
    @pytest.mark.parametrize("ended", [1, 2, 3])
    def test_a_host_that_asked_it_is_not_late(self, ended):
        async def test() -> None:
            fleet = Fleet(hosts=HOSTS, bits_per_second=THIN)
            await fleet.platform.create(KEY, make_config(0, routes=40))
            for row in fleet.rows:
                fleet.start(row)
            await asyncio.sleep(8)
            storm = Storm(fleet)
            blowing = asyncio.create_task(storm.blow())
            await asyncio.sleep(2)
            learners = [
                row.host_id for row in fleet.rows if row.host_id not in fleet.watchers
            ]
            dead = learners[:: len(learners) // ended][:ended]
            fleet.network.cut.update(dead)
            oldest = 0.0
            for _ in range(300):
                await asyncio.sleep(0.02)
                tell_newest(fleet, dead)
                for host_id in set(learners) - set(dead):
                    oldest = max(oldest, storm.age(fleet.values_by_host[host_id]))
            blowing.cancel()
            assert oldest < LEARNED_WITHIN

        run_virtually(test())


def tell_newest(fleet: Fleet, host_ids: list[str]) -> None:
    """Let gossip tell that some hosts have the newest state."""
    versions = {"config/": fleet.platform.version}
    fleet.rows[:] = [
        msgspec.structs.replace(row, versions_by_prefix=versions)
        if row.host_id in host_ids
        else row
        for row in fleet.rows
    ]


class Storm:
    """An operator who changes one object again and again."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.replaced_at: dict[bytes, float] = {}

    async def blow(self) -> None:
        for number in range(1, 100):
            stored = self.fleet.platform.objects_by_key[KEY]
            value = make_config(number, routes=40)
            await self.fleet.platform.update(KEY, value, version=stored.version)
            now = asyncio.get_running_loop().time()
            self.replaced_at[bytes(stored.value)] = now
            await asyncio.sleep(GAP_S)

    def age(self, value: bytes) -> float:
        """Return for how long a state has been replaced."""
        now = asyncio.get_running_loop().time()
        return now - self.replaced_at.get(value, now)
