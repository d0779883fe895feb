"""The catalog never returns to an older configuration."""

import asyncio
import itertools
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from passtally.catalog import Catalog, CatalogKeeper
from passtally.object_store import REMOVED, Listing, StoredObject
from passtally.objects import Workspace, digest_token
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import FakePlatform


def stored(name: str, version: int, token: str = "t", *, removed=False):
    workspace = Workspace(id=name, token_sha256=digest_token(token))
    value = REMOVED if removed else msgspec.json.encode(workspace)
    return StoredObject(
        key=f"config/workspaces/{name}", version=version, value=msgspec.Raw(value)
    )


def listing(version: int, *objects: StoredObject) -> Listing:
    return Listing(version=version, objects=objects)


class TestCatalog:
    def test_an_older_listing_is_not_applied(self):
        catalog = Catalog()
        assert catalog.replace(listing(5, stored("a", 5)))
        assert not catalog.replace(listing(4))
        assert "a" in catalog.workspaces_by_id

    def test_a_late_change_does_not_restore_a_removed_object(self):
        catalog = Catalog()
        catalog.advance(listing(3, stored("a", 3, removed=True)))
        catalog.advance(listing(2, stored("a", 2)))
        assert "a" not in catalog.workspaces_by_id
        assert catalog.version == 3

    def test_a_changed_token_replaces_the_old_one(self):
        catalog = Catalog()
        catalog.advance(listing(1, stored("a", 1, "old")))
        catalog.advance(listing(2, stored("a", 2, "new")))
        assert catalog.find_workspace(digest_token("old")) is None
        assert catalog.find_workspace(digest_token("new")).id == "a"

    def test_a_malformed_object_keeps_the_last_valid_one(self):
        catalog = Catalog()
        catalog.advance(listing(1, stored("a", 1)))
        broken = StoredObject(
            key="config/workspaces/a", version=2, value=msgspec.Raw(b'{"id":7}')
        )
        catalog.advance(listing(2, broken))
        assert catalog.workspaces_by_id["a"].id == "a"

    def test_a_new_host_receives_everything_from_a_peer(self):
        full, fresh = Catalog(), Catalog()
        full.replace(listing(7, stored("a", 3), stored("b", 7)))
        fresh.advance(full.changes_after(0))
        assert fresh.workspaces_by_id == full.workspaces_by_id
        assert fresh.config_version == 7

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.permutations(range(5)), st.sets(st.integers(0, 4)))
    def test_any_order_with_repeats_ends_at_the_newest_state(self, order, repeats):
        history = [
            stored("a", 1, "1"),
            stored("b", 2, "2"),
            stored("a", 3, removed=True),
            stored("b", 4, "4"),
            stored("a", 5, "5"),
        ]
        catalog = Catalog()
        seen = 0
        for index in itertools.chain(order, repeats):
            catalog.advance(listing(history[index].version, history[index]))
            assert catalog.config_version >= seen
            seen = catalog.config_version
        tokens = {w.token_sha256 for w in catalog.workspaces_by_id.values()}
        assert tokens == {digest_token("4"), digest_token("5")}

    @pytest.mark.parametrize("version", [1, 9])
    def test_objects_missing_from_a_newer_listing_are_removed(self, version):
        catalog = Catalog()
        catalog.advance(listing(1, stored("a", 1)))
        catalog.replace(listing(version, stored("b", version)))
        assert set(catalog.workspaces_by_id) == ({"b"} if version == 9 else {"a", "b"})


class FakePeers:
    """Peers that are never asked."""

    def __init__(self, count: int) -> None:
        self.ids = [f"h{number}" for number in range(count)]

    def on(self, kind, answerer) -> None:
        pass


class FakeGossip:
    config_version = 0


class TestCatalogKeeper:
    def run_keeper(self, work, *, peers: int = 3):
        async def run():
            platform = FakePlatform()
            keeper = CatalogKeeper(
                catalog=Catalog(),
                platform=platform,
                peers=FakePeers(peers),
                gossip=FakeGossip(),
                clock=VirtualClock(),
                rng=random.Random(1),
            )
            task = asyncio.ensure_future(keeper.run())
            await asyncio.sleep(1)
            await work(platform, keeper)
            task.cancel()

        run_virtually(run())

    async def change(self, platform: FakePlatform, name: str) -> None:
        workspace = Workspace(id=name, token_sha256=digest_token(name))
        key = f"config/workspaces/{name}"
        await platform.create(key, msgspec.json.encode(workspace))

    def test_after_an_outage_the_watch_resumes_without_a_listing(self):
        async def work(platform, keeper):
            await self.change(platform, "a")
            await asyncio.sleep(1)
            platform.is_down = True
            await asyncio.sleep(10)
            assert not keeper.is_watching
            platform.is_down = False
            await self.change(platform, "b")
            await asyncio.sleep(3)
            assert keeper.is_watching
            assert set(keeper.catalog.workspaces_by_id) == {"a", "b"}
            assert platform.calls.count("list") == 1

        self.run_keeper(work)

    def test_after_a_too_old_watch_the_relist_delay_grows_with_the_hosts(self):
        async def work(platform, keeper):
            platform.version += 5
            platform.oldest_change = platform.version
            await asyncio.sleep(3)
            assert platform.calls.count("list") == 1
            await asyncio.sleep(4)
            assert platform.calls.count("list") == 2

        self.run_keeper(work, peers=329)
