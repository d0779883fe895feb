"""A follower of the platform's objects during outages, in virtual time."""

import asyncio
import random
from datetime import timedelta

import pytest

from passtally.follower import INITIAL_RETRY_DELAY, STEADY_RETRIES, Follower
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import FakePlatform


class RecordedFollower:
    """A follower of a fake platform, with a record of its callbacks."""

    def __init__(
        self, *, out_of_date_after: timedelta | None = None, seed: int = 1
    ) -> None:
        self.platform = FakePlatform()
        self.reachability: list[bool] = []
        self.versions_by_key: dict[str, int] = {}
        self.listings = 0
        self.follower = Follower(
            prefix="config/",
            platform=self.platform,
            clock=VirtualClock(),
            rng=random.Random(seed),
            replace=self._replace,
            advance=self._advance,
            relist_pause=lambda: timedelta(milliseconds=200),
            wait=timedelta(seconds=1),
            max_retry_delay=timedelta(milliseconds=400),
            out_of_date_after=out_of_date_after,
            reach_changed=self.reachability.append,
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
            recorded = RecordedFollower()
            await recorded.platform.create("config/a", b"1")
            await recorded.start()
            assert recorded.versions_by_key == {"config/a": 1}
            await recorded.platform.update("config/a", b"2", version=1)
            await asyncio.sleep(0.2)
            assert recorded.versions_by_key == {"config/a": 2}
            assert recorded.reachability == [True]

        run_virtually(test())

    def test_after_an_outage_the_watch_continues_without_a_listing(self):
        async def test() -> None:
            recorded = RecordedFollower()
            await recorded.start()
            recorded.platform.is_down = True
            await asyncio.sleep(3)
            recorded.platform.is_down = False
            await recorded.platform.create("config/a", b"1")
            await asyncio.sleep(0.6)
            assert recorded.versions_by_key == {"config/a": 1}
            assert recorded.listings == 1
            assert recorded.reachability == [True, False, True]

        run_virtually(test())

    def test_after_a_long_outage_a_listing_replaces_the_first_watch(self):
        async def test() -> None:
            recorded = RecordedFollower(out_of_date_after=timedelta(seconds=1.5))
            await recorded.start()
            recorded.platform.is_down = True
            await asyncio.sleep(3)
            recorded.platform.is_down = False
            await recorded.platform.create("config/a", b"1")
            recorded.platform.calls.clear()
            await asyncio.sleep(0.6)
            assert recorded.versions_by_key == {"config/a": 1}
            assert recorded.platform.calls == ["list", "watch"]
            assert recorded.reachability == [True, False, True]

        run_virtually(test())

    def test_without_changes_it_does_not_list_again(self):
        async def test() -> None:
            recorded = RecordedFollower(out_of_date_after=timedelta(seconds=1.5))
            await recorded.start()
            await asyncio.sleep(20)
            assert recorded.listings == 1

        run_virtually(test())

    def test_a_watch_from_a_version_too_old_lists_again(self):
        async def test() -> None:
            recorded = RecordedFollower()
            await recorded.start()
            await recorded.platform.create("config/a", b"1")
            recorded.platform.oldest_change = recorded.platform.version + 1
            await asyncio.sleep(0.2)
            recorded.platform.oldest_change = 0
            await asyncio.sleep(0.5)
            assert recorded.listings >= 2
            assert recorded.versions_by_key == {"config/a": 1}

        run_virtually(test())

    def test_an_outage_at_the_start_is_survived(self):
        async def test() -> None:
            recorded = RecordedFollower()
            recorded.platform.is_down = True
            await recorded.start()
            recorded.platform.is_down = False
            await recorded.platform.create("config/a", b"1")
            await asyncio.sleep(0.6)
            assert recorded.versions_by_key == {"config/a": 1}

        run_virtually(test())

    # Guards against a starting host whose callers get a 503 because its next listing
    # comes after the time for which they wait.
    @pytest.mark.parametrize("seed", range(20))
    def test_a_short_outage_at_the_start_ends_soon_after_it(self, seed):
        async def test() -> None:
            recorded = RecordedFollower(seed=seed)
            await recorded.platform.create("config/a", b"1")
            recorded.platform.is_down = True
            task = asyncio.create_task(recorded.follower.run())
            await asyncio.sleep(0.35)
            recorded.platform.is_down = False
            await asyncio.sleep(INITIAL_RETRY_DELAY.total_seconds() + 0.01)
            assert recorded.listings == 1
            task.cancel()

        run_virtually(test())

    def test_a_long_outage_at_the_start_gets_few_calls(self):
        async def test() -> None:
            recorded = RecordedFollower()
            recorded.platform.is_down = True
            task = asyncio.create_task(recorded.follower.run())
            await asyncio.sleep(10)
            calls = len(recorded.platform.calls)
            assert STEADY_RETRIES < calls <= 10 / 0.2 + STEADY_RETRIES
            task.cancel()

        run_virtually(test())
