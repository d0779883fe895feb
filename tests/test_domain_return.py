"""A failure domain reconnects to the platform while the configuration keeps changing.

19 hosts on links of 5 or 10 Mbit/s are cut off for 5.5 s while the configuration
changes every 200 ms. The transfer of the missed changes must not saturate the links:
each host must have the newest state within 2 s of the 4 s in which a change must become
active.
"""

import asyncio
import random
from datetime import timedelta

import pytest

from passtally.follower import Follower
from passtally.host_config import MAX_RETRY_DELAY, OUT_OF_DATE_AFTER
from passtally.shared_watch import SharedWatch
from passtally.view import View
from standins.virtual import run_virtually
from tests.test_large_changes import Fleet, make_config
from tests.test_piled_changes import RatedStore

HOSTS = 19
CHANGE_INTERVAL_S = 0.2
LEAD_TIME_S = 2.0
OUTAGE_S = 5.5
CATCH_UP_LIMIT_S = 2.0
KEY = "config/main"


class CutDomain(Fleet):
    """A failure domain whose hosts receive the platform's answers over rated links."""

    def __init__(self, *, bits_per_second: float) -> None:
        super().__init__(hosts=HOSTS, bits_per_second=bits_per_second)
        self.rate = bits_per_second
        self.stores: list[RatedStore] = []

    def start_all(self) -> None:
        for row in self.rows:
            store = RatedStore(platform=self.platform, bits_per_second=self.rate)
            self.start(row, platform=store)
            store.down = self.network.peers_by_id[row.host_id].down
            self.stores.append(store)

    def set_links_cut(self, is_cut: bool) -> None:
        for store in self.stores:
            store.is_unavailable = is_cut

    def _follow(self, host_id: str, share: SharedWatch, view: View) -> Follower:
        return Follower(
            prefix=view.prefix,
            platform=self.stores_by_host[host_id],
            replace=lambda listing: share.replace(view, listing),
            advance=lambda changes: share.advance(view, changes),
            clock=self.clock,
            rng=random.Random(host_id),
            relist_pause=lambda: timedelta(milliseconds=200),
            wait=timedelta(seconds=1.8),
            pause=timedelta(milliseconds=375),
            max_retry_delay=MAX_RETRY_DELAY,
            out_of_date_after=OUT_OF_DATE_AFTER,
        )


class TestDomainReturn:
    @pytest.mark.parametrize(("routes", "rate"), [(50, 5e6), (380, 5e6), (1980, 10e6)])
    def test_each_host_has_the_newest_state_within_two_seconds(self, routes, rate):
        async def test() -> None:
            domain = CutDomain(bits_per_second=rate)
            values = [make_config(number, routes=routes) for number in range(80)]
            number_by_value = {value: at for at, value in enumerate(values)}
            await domain.platform.create(KEY, values[0])
            domain.start_all()
            await asyncio.sleep(8)
            storm = asyncio.create_task(change_often(domain, values[1:]))
            await asyncio.sleep(LEAD_TIME_S)
            domain.set_links_cut(True)
            await asyncio.sleep(OUTAGE_S)
            domain.set_links_cut(False)
            newest = bytes(domain.platform.objects_by_key[KEY].value)
            await asyncio.sleep(CATCH_UP_LIMIT_S)
            held = [number_by_value[value] for value in domain.values_by_host.values()]
            assert min(held) >= number_by_value[newest]
            storm.cancel()

        run_virtually(test())


async def change_often(domain: Fleet, values: list[bytes]) -> None:
    for value in values:
        version = domain.platform.objects_by_key[KEY].version
        await domain.platform.update(KEY, value, version=version)
        await asyncio.sleep(CHANGE_INTERVAL_S)
