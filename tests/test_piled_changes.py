"""Configuration changes at a higher rate than a watcher's link can carry.

A configuration of 1,980 routes (527 KB) changes every 200 ms. All its versions together
need 21 Mbit/s, and the watcher's link carries 10 Mbit/s. Only the newest version
matters, and it must be in force within 4 s. The same holds for 100 KB over 5 Mbit/s
while the platform rejects the host's calls for 9 s.
"""

import asyncio
import random
from datetime import timedelta

import pytest

from passtally.follower import Follower
from passtally.object_store import Listing, UnavailableError
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import FakePlatform
from tests.rated_network import Wire

INTERVAL_S = 0.2
STORM_S = 14.0
KEY = "config/main"
#: Of the 4 s, one second remains for sending a change to the other hosts.
IN_FORCE_WITHIN = 3.0
OUTAGE_S = 9.0
RETRY_S = 0.8
#: Maximum time in seconds until a change made after the outage is in force.
RECOVERED_WITHIN = 2.0


class RatedStore:
    """A platform behind one host's rated link, which carries one answer at a time."""

    def __init__(self, *, platform: FakePlatform, bits_per_second: float) -> None:
        self.is_unavailable = False
        self.down = Wire(bits_per_second=bits_per_second)
        self._platform = platform

    async def list_objects(self, prefix: str) -> Listing:
        return await self._carry(await self._platform.list_objects(prefix))

    async def watch(self, prefix: str, *, after: int, wait: timedelta) -> Listing:
        changes = await self._platform.watch(prefix, after=after, wait=wait)
        return await self._carry(changes)

    async def _carry(self, listing: Listing) -> Listing:
        if self.is_unavailable:
            raise UnavailableError("rejected", step="call", peer="store")
        await self.down.carry(sum(len(bytes(item.value)) for item in listing.objects))
        return listing


class Storm:
    """An operator who changes one object at short intervals, and one host."""

    def __init__(self, *, size: int, bits_per_second: float) -> None:
        self.size = size
        self.platform = FakePlatform()
        self.store = RatedStore(platform=self.platform, bits_per_second=bits_per_second)
        self.changed_at: dict[int, float] = {}
        self.applied_at: dict[int, float] = {}
        self.follower = Follower(
            prefix="config/",
            platform=self.store,
            clock=VirtualClock(),
            rng=random.Random(1),
            replace=self._apply,
            advance=self._apply,
            relist_pause=lambda: timedelta(milliseconds=200),
            wait=timedelta(seconds=1.8),
            pause=timedelta(milliseconds=375),
            max_retry_delay=timedelta(seconds=RETRY_S),
        )

    def _apply(self, listing: Listing) -> None:
        now = asyncio.get_running_loop().time()
        for item in listing.objects:
            for version in self.changed_at:
                if version <= item.version:
                    self.applied_at.setdefault(version, now)

    async def start(self) -> asyncio.Task:
        await self.platform.create(KEY, b"0" * self.size)
        task = asyncio.create_task(self.follower.run())
        await asyncio.sleep(3)
        return task

    async def change_repeatedly(self, seconds: float) -> None:
        for _ in range(int(seconds / INTERVAL_S)):
            version = self.platform.objects_by_key[KEY].version
            value = b"0" * self.size
            now = asyncio.get_running_loop().time()
            newest = await self.platform.update(KEY, value, version=version)
            self.changed_at[newest] = now
            await asyncio.sleep(INTERVAL_S)

    def lag(self, *, since: float = 0.0) -> float:
        """Return the longest time that a change made after a given time took."""
        return max(
            self.applied_at.get(version, float("inf")) - at
            for version, at in self.changed_at.items()
            if at >= since
        )


class TestPiledChanges:
    @pytest.mark.parametrize(
        ("size", "rate"), [(14_000, 5e6), (100_000, 5e6), (527_000, 10e6)]
    )
    def test_each_is_in_force_in_time(self, size, rate):
        async def test() -> None:
            storm = Storm(size=size, bits_per_second=rate)
            await storm.start()
            await storm.change_repeatedly(STORM_S)
            await asyncio.sleep(20)
            assert storm.lag() < IN_FORCE_WITHIN

        run_virtually(test())

    def test_all_changes_have_arrived_after_the_storm(self):
        async def test() -> None:
            storm = Storm(size=14_000, bits_per_second=5e6)
            await storm.start()
            await storm.change_repeatedly(3)
            await asyncio.sleep(5)
            before = storm.store.down.bytes
            await storm.change_repeatedly(INTERVAL_S)
            await asyncio.sleep(5)
            assert storm.lag() < 1
            # After the storm, a single change is sent alone and once.
            assert storm.store.down.bytes - before == storm.size

        run_virtually(test())

    def test_a_host_rejected_during_the_storm_catches_up_soon(self):
        async def test() -> None:
            storm = Storm(size=100_000, bits_per_second=5e6)
            await storm.start()
            changing = asyncio.create_task(storm.change_repeatedly(3 + OUTAGE_S + 6))
            await asyncio.sleep(3)
            storm.store.is_unavailable = True
            await asyncio.sleep(OUTAGE_S)
            storm.store.is_unavailable = False
            reopened_at = asyncio.get_running_loop().time()
            await changing
            await asyncio.sleep(20)
            assert storm.lag(since=reopened_at) < RECOVERED_WITHIN

        run_virtually(test())
