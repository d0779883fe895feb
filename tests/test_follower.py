"""Following the platform's objects through outages, in virtual time."""

import asyncio
import random
from datetime import timedelta

from passtally.follower import Follower
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import FakePlatform


class Followed:
    """A follower of a fake platform, and what it brought."""

    def __init__(self, *, out_of_date_after: timedelta | None = None) -> None:
        self.platform = FakePlatform()
        self.reach: list[bool] = []
        self.versions_by_key: dict[str, int] = {}
        self.listings = 0
        self.follower = Follower(
            prefix="config/",
            platform=self.platform,
            clock=VirtualClock(),
            rng=random.Random(1),
            replace=self._replace,
            advance=self._advance,
            relist_pause=lambda: timedelta(milliseconds=200),
            wait=timedelta(seconds=1),
            max_retry_delay=timedelta(milliseconds=400),
            out_of_date_after=out_of_date_after,
            reach_changed=self.reach.append,
        )

    def _replace(self, listing) -> None:
        self.listings += 1
        self.versions_by_key = {item.key: item.version for item in listing.objects}

    def _advance(self, changes) -> None:
        for item in changes.objects:
            self.versions_by_key[item.key] = item.version

    async def start(self) -> None:
        self.task = asyncio.create_task(self.follower.run())
        await asyncio.sleep(0.5)


class TestFollower:
    def test_changes_arrive_while_the_watch_is_up(self):
        async def test() -> None:
            followed = Followed()
            await followed.platform.create("config/a", b"1")
            await followed.start()
            assert followed.versions_by_key == {"config/a": 1}
            await followed.platform.update("config/a", b"2", version=1)
            await asyncio.sleep(0.2)
            assert followed.versions_by_key == {"config/a": 2}
            assert followed.reach == [True]

        run_virtually(test())

    def test_after_an_outage_it_goes_on_where_it_was(self):
        async def test() -> None:
            followed = Followed()
            await followed.start()
            followed.platform.is_down = True
            await asyncio.sleep(3)
            followed.platform.is_down = False
            await followed.platform.create("config/a", b"1")
            await asyncio.sleep(0.6)
            assert followed.versions_by_key == {"config/a": 1}
            assert followed.listings == 1
            assert followed.reach == [True, False, True]

        run_virtually(test())

    def test_after_a_long_outage_it_lists_in_place_of_the_first_watch(self):
        async def test() -> None:
            followed = Followed(out_of_date_after=timedelta(seconds=1.5))
            await followed.start()
            followed.platform.is_down = True
            await asyncio.sleep(3)
            followed.platform.is_down = False
            await followed.platform.create("config/a", b"1")
            followed.platform.calls.clear()
            await asyncio.sleep(0.6)
            assert followed.versions_by_key == {"config/a": 1}
            assert followed.platform.calls == ["list", "watch"]
            assert followed.reach == [True, False, True]

        run_virtually(test())

    def test_in_a_quiet_time_it_does_not_list_again(self):
        async def test() -> None:
            followed = Followed(out_of_date_after=timedelta(seconds=1.5))
            await followed.start()
            await asyncio.sleep(20)
            assert followed.listings == 1

        run_virtually(test())

    def test_a_watch_that_is_too_old_lists_again(self):
        async def test() -> None:
            followed = Followed()
            await followed.start()
            await followed.platform.create("config/a", b"1")
            followed.platform.oldest_change = followed.platform.version + 1
            await asyncio.sleep(0.2)
            followed.platform.oldest_change = 0
            await asyncio.sleep(0.5)
            assert followed.listings >= 2
            assert followed.versions_by_key == {"config/a": 1}

        run_virtually(test())

    def test_an_outage_at_the_start_is_waited_out(self):
        async def test() -> None:
            followed = Followed()
            followed.platform.is_down = True
            await followed.start()
            followed.platform.is_down = False
            await followed.platform.create("config/a", b"1")
            await asyncio.sleep(0.6)
            assert followed.versions_by_key == {"config/a": 1}

        run_virtually(test())
