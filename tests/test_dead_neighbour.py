"""A host that receives changes from peers while the links to some of them are down.

Guards against a request to an unreachable peer that delays the changes of all others.
It occurs while hosts are restarted in turn and the configuration changes every 200 ms:
a restarted host has listed the newest state, and gossip reports its version before the
links to it are up, so it is chosen as a source.
"""

import asyncio

import msgspec
import pytest

from standins.virtual import run_virtually
from tests.test_large_changes import THIN, Fleet, make_config

HOSTS = 18
GAP_S = 0.2
KEY = "config/main"
#: Maximum age of a state, in seconds. At most three unreachable hosts are queried, each
#: with a timeout of 0.5 s.
MAX_AGE_S = 2.0


class TestDeadNeighbour:
    @pytest.mark.parametrize("ended", [1, 2, 3])
    def test_hosts_that_query_it_are_not_late(self, ended):
        async def test() -> None:
            fleet = Fleet(hosts=HOSTS, bits_per_second=THIN)
            await fleet.platform.create(KEY, make_config(0, routes=40))
            for row in fleet.rows:
                fleet.start(row)
            await asyncio.sleep(8)
            writer = ConfigWriter(fleet)
            updating = asyncio.create_task(writer.update_repeatedly())
            await asyncio.sleep(2)
            recipients = [
                row.host_id for row in fleet.rows if row.host_id not in fleet.watchers
            ]
            unreachable_ids = recipients[:: len(recipients) // ended][:ended]
            fleet.network.cut.update(unreachable_ids)
            oldest = 0.0
            for _ in range(300):
                await asyncio.sleep(0.02)
                announce_newest(fleet, unreachable_ids)
                for host_id in set(recipients) - set(unreachable_ids):
                    oldest = max(oldest, writer.age(fleet.values_by_host[host_id]))
            updating.cancel()
            assert oldest < MAX_AGE_S

        run_virtually(test())


def announce_newest(fleet: Fleet, host_ids: list[str]) -> None:
    """Set the rows of some hosts to the newest version, as gossip would."""
    versions = {"config/": fleet.platform.version}
    fleet.rows[:] = [
        msgspec.structs.replace(row, versions_by_prefix=versions)
        if row.host_id in host_ids
        else row
        for row in fleet.rows
    ]


class ConfigWriter:
    """An operator who changes one object repeatedly."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.replaced_at: dict[bytes, float] = {}

    async def update_repeatedly(self) -> None:
        for number in range(1, 100):
            stored = self.fleet.platform.objects_by_key[KEY]
            value = make_config(number, routes=40)
            await self.fleet.platform.update(KEY, value, version=stored.version)
            now = asyncio.get_running_loop().time()
            self.replaced_at[bytes(stored.value)] = now
            await asyncio.sleep(GAP_S)

    def age(self, value: bytes) -> float:
        """Return the seconds since a state was replaced; 0 for the newest one."""
        now = asyncio.get_running_loop().time()
        return now - self.replaced_at.get(value, now)
