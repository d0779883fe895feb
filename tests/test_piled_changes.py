"""Changes that come faster than the link of a host that watches carries them.

The pattern: an operator changes a configuration of 1,980 routes (527 KB) every 200 ms,
21 Mbit/s of states, and the host's link carries 10. Only the newest state counts, and
it must be in force within 4 s. The same with 100 KB over 5 Mbit/s where the platform
turned the host away for 9 s meanwhile.
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

GAP_S = 0.2
STORM_S = 14.0
LISTED = "config/main"
#: Of the 4 s, one is left for handing a change on to the other hosts.
IN_FORCE_WITHIN = 3.0
AWAY_S = 9.0
RETRY_S = 0.8
#: How long after its way is open again a host may have an old state.
BACK_WITHIN = 2.0


class RatedStore:
    """A platform behind one host's link, on which its answers wait for each other."""

    def __init__(self, *, platform: FakePlatform, bits_per_second: float) -> None:
        self.is_shut = False
        self.down = Wire(bits_per_second=bits_per_second)
        self._platform = platform

    async def list_objects(self, prefix: str) -> Listing:
        return await self._carry(await self._platform.list_objects(prefix))

    async def watch(self, prefix: str, *, after: int, wait: timedelta) -> Listing:
        changes = await self._platform.watch(prefix, after=after, wait=wait)
        return await self._carry(changes)

    async def _carry(self, listing: Listing) -> Listing:
        if self.is_shut:
            raise UnavailableError("turned away", step="call", peer="store")
        await self.down.carry(sum(len(bytes(item.value)) for item in listing.objects))
        return listing


class Storm:
    """An operator who changes one object again and again, and a host that follows."""

    def __init__(self, *, size: int, bits_per_second: float) -> None:
        self.size = size
        self.platform = FakePlatform()
        self.store = RatedStore(platform=self.platform, bits_per_second=bits_per_second)
        self.changed_at: dict[int, float] = {}
        self.took_at: dict[int, float] = {}
        self.follower = Follower(
            prefix="config/",
            platform=self.store,
            clock=VirtualClock(),
            rng=random.Random(1),
            replace=self._take,
            advance=self._take,
            relist_pause=lambda: timedelta(milliseconds=200),
            wait=timedelta(seconds=1.8),
            pause=timedelta(milliseconds=375),
            max_retry_delay=timedelta(seconds=RETRY_S),
        )

    def _take(self, listing: Listing) -> None:
        now = asyncio.get_running_loop().time()
        for item in listing.objects:
            for version in self.changed_at:
                if version <= item.version:
                    self.took_at.setdefault(version, now)

    async def start(self) -> asyncio.Task:
        await self.platform.create(LISTED, b"0" * self.size)
        task = asyncio.create_task(self.follower.run())
        await asyncio.sleep(3)
        return task

    async def blow(self, seconds: float) -> None:
        for _ in range(int(seconds / GAP_S)):
            version = self.platform.objects_by_key[LISTED].version
            value = b"0" * self.size
            now = asyncio.get_running_loop().time()
            newest = await self.platform.update(LISTED, value, version=version)
            self.changed_at[newest] = now
            await asyncio.sleep(GAP_S)

    def lag(self, *, since: float = 0.0) -> float:
        """Return the longest that a change of after some moment took."""
        return max(
            self.took_at.get(version, float("inf")) - at
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
            await storm.blow(STORM_S)
            await asyncio.sleep(20)
            assert storm.lag() < IN_FORCE_WITHIN

        run_virtually(test())

    def test_all_have_arrived_when_it_ends(self):
        async def test() -> None:
            storm = Storm(size=14_000, bits_per_second=5e6)
            await storm.start()
            await storm.blow(3)
            await asyncio.sleep(5)
            before = storm.store.down.bytes
            await storm.blow(GAP_S)
            await asyncio.sleep(5)
            assert storm.lag() < 1
            # A single change comes alone again, and once.
            assert storm.store.down.bytes - before == storm.size

        run_virtually(test())

    def test_a_host_that_was_turned_away_meanwhile_has_the_newest_soon(self):
        async def test() -> None:
            storm = Storm(size=100_000, bits_per_second=5e6)
            await storm.start()
            blowing = asyncio.create_task(storm.blow(3 + AWAY_S + 6))
            await asyncio.sleep(3)
            storm.store.is_shut = True
            await asyncio.sleep(AWAY_S)
            storm.store.is_shut = False
            back_at = asyncio.get_running_loop().time()
            await blowing
            await asyncio.sleep(20)
            assert storm.lag(since=back_at) < BACK_WITHIN

        run_virtually(test())
