"""Which hosts watch the platform, and how the others receive changes."""

import asyncio

import pytest

from passtally import watcher_election
from passtally.watcher_election import should_watch
from standins.platform_config import LOOKUPS, make_config
from tests.platform_system import PlatformSystem, run


async def wait_for_version(host, version: int) -> None:
    async with asyncio.timeout(4):
        while host.routes.current is None or host.routes.current.version != version:
            await asyncio.sleep(0.01)


def is_steady(watcher, follower_host) -> bool:
    """Return whether one host watches, and the other one only follows it."""
    is_following = (
        follower_host.watch.is_receiving and not follower_host.watch.is_watching
    )
    return watcher.watch.is_up and is_following


class TestOutages:
    def test_a_host_that_cannot_reach_the_store_gets_changes_from_a_peer(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(3))
            await system.add_runner("i-look", LOOKUPS)
            first = await system.add_host()
            seeds = str(first.settings.peer_listen)
            second = await system.add_host("front-2", seeds, store_port=1)
            await system.wait_ready()
            assert (await system.send("/look/1", host=second)).status == 200
            system.store.put("config", "main", make_config(8))
            await wait_for_version(second, 8)

        run(test)

    def test_while_the_store_is_down_a_new_host_starts_from_a_peer(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(3))
            await system.add_runner("i-look", LOOKUPS)
            first = await system.add_host()
            await system.wait_ready()
            system.store.refusal = 503
            await asyncio.sleep(1.5)
            seeds = str(first.settings.peer_listen)
            second = await system.add_host("front-2", seeds)
            await wait_for_version(second, 3)
            assert (await system.send("/look/1", host=second)).status == 200

        run(test)


class TestLargeDomains:
    @pytest.fixture(autouse=True)
    def small_limits(self, monkeypatch):
        monkeypatch.setattr(watcher_election, "SMALL_DOMAIN", 1)
        monkeypatch.setitem(should_watch.__kwdefaults__, "small_domain", 1)
        monkeypatch.setitem(should_watch.__kwdefaults__, "watchers", 1)

    def test_one_host_watches_and_the_other_follows_and_takes_over(self):
        async def test(system: PlatformSystem) -> None:
            system.store.put("config", "main", make_config(3))
            first = await system.add_host()
            second = await system.add_host("front-2", str(first.settings.peer_listen))
            await system.wait_ready()
            async with asyncio.timeout(10):
                while not is_steady(first, second):
                    await asyncio.sleep(0.05)
            calls = second.store.calls
            system.store.put("config", "main", make_config(5))
            await wait_for_version(second, 5)
            await system.add_runner("i-look", LOOKUPS)
            await system.wait_ready()
            assert second.store.calls == calls
            system.hosts.remove(first)
            await first.stop()
            system.store.put("config", "main", make_config(9))
            async with asyncio.timeout(2.5):
                await wait_for_version(second, 9)

        run(test)
