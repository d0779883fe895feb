"""A watcher that reconnects to the platform after it received changes from peers.

The platform rejects a watcher for 9 s while the configuration changes every 200 ms. The
watcher receives each change from other hosts, and must not request these changes from
the platform again: 45 states of 14 KB fill a 5 Mbit/s link for a second, which delays
the next change.
"""

import asyncio
from datetime import timedelta

from passtally.host_config import OUT_OF_DATE_AFTER
from passtally.object_store import Listing, StoredObject, UnavailableError
from standins.virtual import run_virtually
from tests.fakes import FakePlatform
from tests.test_large_changes import THIN, Fleet, make_config

HOSTS = 18
INTERVAL_S = 0.2
OUTAGE_S = 9.0
#: Maximum number of states that the platform may send again: those of the last 375 ms,
#: the time over which changes are gathered, and one more.
MAX_STATES = 4


class PlatformLink:
    """One host's link to a platform, which can be closed; counts received states."""

    def __init__(self, platform: FakePlatform) -> None:
        self.is_closed = False
        self.states = 0
        self._platform = platform

    async def list_objects(self, prefix: str) -> Listing:
        self._check("list")
        return self._count(await self._platform.list_objects(prefix))

    async def watch(self, prefix: str, *, after: int, wait: timedelta) -> Listing:
        self._check("watch")
        changes = await self._platform.watch(prefix, after=after, wait=wait)
        self._check("watch")
        return self._count(changes)

    def _check(self, step: str) -> None:
        if self.is_closed:
            raise UnavailableError("rejected", step=step, peer="link")

    def _count(self, listing: Listing) -> Listing:
        self.states += len(listing.objects)
        return listing


class TestReconnectToThePlatform:
    def test_a_watcher_does_not_request_changes_received_from_peers(self):
        async def test() -> None:
            fleet = Fleet(
                hosts=HOSTS,
                bits_per_second=THIN,
                out_of_date_after=OUT_OF_DATE_AFTER,
            )
            await fleet.platform.create("config/main", make_config(7, routes=40))
            links = {row.host_id: PlatformLink(fleet.platform) for row in fleet.rows}
            for row in fleet.rows:
                fleet.start(row, platform=links[row.host_id])
            await asyncio.sleep(8)
            watcher = fleet.watchers[0]
            storm = asyncio.create_task(change_often(fleet))
            links[watcher].is_closed = True
            await asyncio.sleep(OUTAGE_S)
            links[watcher].is_closed = False
            links[watcher].states = 0
            share = fleet.shares_by_host[watcher]
            while not share.is_up:
                await asyncio.sleep(0.01)
            assert links[watcher].states <= MAX_STATES
            storm.cancel()
            await asyncio.sleep(2)
            newest = bytes(fleet.platform.objects_by_key["config/main"].value)
            assert set(fleet.values_by_host.values()) == {newest}

        run_virtually(test())


async def change_often(fleet: Fleet) -> None:
    version = 8
    while True:
        stored: StoredObject = fleet.platform.objects_by_key["config/main"]
        value = make_config(version, routes=40)
        await fleet.platform.update("config/main", value, version=stored.version)
        version += 1
        await asyncio.sleep(INTERVAL_S)
