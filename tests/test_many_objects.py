"""Changes of hundreds of small objects at once, over links of limited rate.

Each endpoint's entry is small, but all entries together are as large as a large
configuration. They are sent at once when the store recovers from an outage in which
they expired, and when hosts start while the store is unreachable.
"""

import asyncio
import json
import random
import string
from datetime import timedelta

from passtally.host_config import (
    BATCH_SHARE,
    MAX_RETRY_DELAY,
    OUT_OF_DATE_AFTER,
    WATCH_WAIT_SHARE,
)
from standins.virtual import run_virtually
from tests.rated_fleet import Fleet

APPLY_WITHIN = 3.0
PASS_WITHIN = 0.2
HOSTS = 55
STARTING = 14
ENTRIES = 600
RATE = 10e6


def make_entry(rng: random.Random) -> bytes:
    entry = {
        "service": random_word(rng, 7),
        "address": f"10.0.{rng.randrange(250)}.1:{rng.randrange(9999)}",
        "zone": "pilar",
        "version": random_word(rng, 5),
        "slots": 16,
        "state": "ready",
        "cold_remaining_ms": rng.randrange(9000),
        "sequence": rng.randrange(9999),
    }
    return json.dumps(entry).encode()


def random_word(rng: random.Random, length: int) -> str:
    letters = string.ascii_lowercase + string.digits
    return "".join(rng.choice(letters) for _ in range(length))


async def start_fleet(rng: random.Random) -> Fleet:
    """Start all but STARTING hosts of a domain, and wait until they are stable."""
    fleet = Fleet(
        hosts=HOSTS,
        bits_per_second=RATE,
        wait=timedelta(seconds=WATCH_WAIT_SHARE * APPLY_WITHIN),
        pause=timedelta(seconds=BATCH_SHARE * APPLY_WITHIN),
        max_retry_delay=MAX_RETRY_DELAY,
        out_of_date_after=OUT_OF_DATE_AFTER,
    )
    for _ in range(ENTRIES):
        await fleet.platform.create(f"config/{random_word(rng, 10)}", make_entry(rng))
    del fleet.rows[HOSTS - STARTING :]
    for row in fleet.rows:
        fleet.start_linked(row)
    fleet.tasks_by_host["gossip"] = asyncio.create_task(fleet.gossip())
    await asyncio.sleep(8)
    for peers in fleet.network.peers_by_id.values():
        peers.up.longest_backlog = peers.down.longest_backlog = 0.0
    return fleet


class TestManySmallObjects:
    def test_callers_are_hardly_delayed_when_all_entries_change_at_once(self):
        async def test() -> None:
            rng = random.Random(1)
            fleet = await start_fleet(rng)
            for key, stored in list(fleet.platform.objects_by_key.items()):
                value = make_entry(rng)
                await fleet.platform.update(key, value, version=stored.version)
            await asyncio.sleep(APPLY_WITHIN)
            watched = fleet.platform.version
            for share in fleet.shares_by_host.values():
                assert share.newest()["config/"] == watched
            ups = [peers.up for peers in fleet.network.peers_by_id.values()]
            assert max(up.longest_backlog for up in ups) < PASS_WITHIN / 2

        run_virtually(test())

    def test_callers_are_hardly_delayed_when_hosts_start_without_the_store(self):
        async def test() -> None:
            fleet = await start_fleet(random.Random(1))
            for store in fleet.stores_by_host.values():
                store.is_refused = True
            known = fleet.rows[0]
            for number in range(HOSTS - STARTING, HOSTS):
                name = f"d-{number:02}"
                fleet.rows.append(type(known)(name, "d", 1, 0, False))
            for row in fleet.rows[-STARTING:]:
                fleet.start_linked(row)
                fleet.stores_by_host[row.host_id].is_refused = True
            await asyncio.sleep(APPLY_WITHIN)
            newest = fleet.platform.version
            for share in fleet.shares_by_host.values():
                assert share.newest()["config/"] == newest
            ups = [peers.up for peers in fleet.network.peers_by_id.values()]
            assert max(up.longest_backlog for up in ups) < PASS_WITHIN / 2

        run_virtually(test())
