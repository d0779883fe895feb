"""Several changes of one object in one answer of the platform.

An operator changes the configuration every 200 ms while watchers gather changes for
375 ms, so that an answer contains the same object two or three times. Hosts hold only
its newest state, so a request for an older one would fail.
"""

import asyncio

import pytest

from passtally import view_learner
from standins.virtual import run_virtually
from tests.test_large_changes import THIN, Fleet, make_config

HOSTS = 18
#: Maximum time in seconds until all hosts of a domain have a change. It is below the
#: heartbeat interval of 0.5 s, so that a host must not depend on the next heartbeat.
LEARNED_WITHIN = 0.25


class TestGatheredChanges:
    @pytest.fixture
    def failures(self, monkeypatch) -> list[str]:
        """Return the reasons why hosts could not fetch a change."""
        found: list[str] = []

        def record(part: str, sentence: str, **fields: object) -> None:
            if sentence == "Not learned.":
                found.append(str(fields["why"]))

        monkeypatch.setattr(view_learner, "log_event", record)
        return found

    def test_only_the_newest_of_two_states_is_requested(self, failures):
        async def test() -> None:
            fleet = Fleet(hosts=HOSTS, bits_per_second=THIN)
            await fleet.platform.create("config/main", make_config(7, routes=40))
            for row in fleet.rows:
                fleet.start(row)
            await asyncio.sleep(8)
            for version in range(8, 20, 2):
                newest = make_config(version + 1, routes=40)
                await change(fleet, make_config(version, routes=40))
                await change(fleet, newest)
                began = asyncio.get_running_loop().time()
                took = await fleet.wait_for(newest, hosts=HOSTS) - began
                assert took < LEARNED_WITHIN
                await asyncio.sleep(0.7)

        run_virtually(test())
        assert failures == []


async def change(fleet: Fleet, value: bytes) -> None:
    version = fleet.platform.objects_by_key["config/main"].version
    await fleet.platform.update("config/main", value, version=version)
