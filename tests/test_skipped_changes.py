"""Changes and watch states that a host would miss or misreport.

A host that receives objects from other hosts may take its view for complete, and then
miss a removal; or it may report to its peers that it watches when it does not.
"""

import asyncio
import random
from collections.abc import Sequence
from datetime import timedelta

import pytest

from passtally.follower import Follower
from passtally.messages import (
    MemberRow,
    Message,
    ObjectRef,
    ViewBeat,
    ViewChanges,
)
from passtally.object_store import StoredObject
from passtally.object_transfer import pack_listing
from passtally.shared_watch import SharedWatch, View
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import FakePlatform
from tests.rated_fleet import Fleet
from tests.rated_network import FixedRoster

RATE = 100e6
REMOVED_KEY = "config/removed"
KEPT_KEY = "config/kept"


def names_of(fleet: Fleet, host_id: str) -> set[str]:
    view = fleet.shares_by_host[host_id]._views_by_prefix["config/"]
    return set(view.mirror.current_versions())


def make_fleet() -> Fleet:
    return Fleet(
        hosts=2,
        bits_per_second=RATE,
        out_of_date_after=timedelta(seconds=1),
        max_retry_delay=timedelta(seconds=0.8),
    )


class TestRemovals:
    """An object is removed while the store refuses one host and a second one starts.

    The second host never saw the object, so it cannot report the removal to the first.
    """

    def test_a_host_updated_by_one_that_started_later_learns_of_it(self):
        async def test() -> None:
            fleet = make_fleet()
            await fleet.platform.create(REMOVED_KEY, b"1")
            await fleet.platform.create(KEPT_KEY, b"1")
            first, second = fleet.rows
            fleet.start_linked(first)
            await asyncio.sleep(4)
            assert fleet.shares_by_host[first.host_id].is_up
            store = fleet.stores_by_host[first.host_id]
            store.is_refused = True
            await asyncio.sleep(2.5)
            removed = fleet.platform.objects_by_key[REMOVED_KEY]
            await fleet.platform.delete(REMOVED_KEY, version=removed.version)
            fleet.start_linked(second)
            await asyncio.sleep(4)
            kept = fleet.platform.objects_by_key[KEPT_KEY]
            await fleet.platform.update(KEPT_KEY, b"2", version=kept.version)
            await asyncio.sleep(0.5)
            store.is_refused = False
            await asyncio.sleep(10)
            assert fleet.shares_by_host[first.host_id].is_up
            assert names_of(fleet, first.host_id) == {KEPT_KEY}

        run_virtually(test())


class SinglePeer:
    """Replaces the links: one other host, which answers once ``may_answer`` is set."""

    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.may_answer = asyncio.Event()
        self.reply: Message | None = None

    def on(self, kind: type, answerer) -> None:
        pass

    def listen(self, kind: type, listener) -> None:
        pass

    async def send_message(self, host_ids: Sequence[str], message: Message) -> set[str]:
        self.sent.append(message)
        return set(host_ids)

    async def ask(self, host_id: str, message: Message, **_) -> Message:
        await self.may_answer.wait()
        return self.reply


class SingleHost:
    """One host's shared watch, with one other host in its failure domain."""

    def __init__(self, *, apply=lambda changed: None) -> None:
        self.platform = FakePlatform()
        self.peers = SinglePeer()
        clock = VirtualClock()
        rows = [
            MemberRow(
                host_id=name,
                failure_domain="d",
                counter=1,
                config_version=0,
                leaving=False,
            )
            for name in ("d-00", "d-01")
        ]
        self.view = View(prefix="config/", apply=apply)
        self.share = SharedWatch(
            host_id="d-00",
            views=(self.view,),
            follow=lambda share, view: Follower(
                prefix="config/",
                platform=self.platform,
                replace=lambda listing: share.replace(view, listing),
                advance=lambda changes: share.advance(view, changes),
                clock=clock,
                rng=random.Random(1),
                relist_pause=lambda: timedelta(milliseconds=200),
                wait=timedelta(seconds=1),
            ),
            peers=self.peers,
            roster=FixedRoster(own=rows[0], rows=rows),
            clock=clock,
            rng=random.Random(1),
            reach_changed=lambda is_receiving: None,
        )


class TestHeartbeats:
    def test_a_host_whose_watch_starts_during_a_transfer_reports_that_it_watches(self):
        async def test() -> None:
            local = SingleHost()
            local.platform.is_down = True
            work = asyncio.create_task(local.share.run())
            await asyncio.sleep(2)
            stored = StoredObject(key="config/main", version=5, value=b'"x"')
            news = ViewChanges(
                prefix="config/",
                since=0,
                listing=pack_listing(5, ()),
                host_id="d-01",
                large=[ObjectRef(key="config/main", version=5)],
            )

            async def fetch(ref: ObjectRef, holders) -> StoredObject:
                await local.peers.may_answer.wait()
                return stored

            local.share._learner._transfer.fetch = fetch
            local.share._learner.receive_changes(news)
            local.platform.is_down = False
            local.platform.version = 5
            while not local.share.is_up:
                await asyncio.sleep(0.01)
            await asyncio.sleep(1)
            local.peers.sent.clear()
            local.peers.may_answer.set()
            await asyncio.sleep(0.05)
            heartbeats = [
                sent for sent in local.peers.sent if isinstance(sent, ViewBeat)
            ]
            assert local.share.is_up
            assert heartbeats
            assert all(heartbeat.is_watching for heartbeat in heartbeats)
            work.cancel()
            await local.share.stop()

        run_virtually(test())


class TestFailures:
    @pytest.mark.filterwarnings("ignore")
    def test_a_host_whose_follower_failed_does_not_report_that_it_watches(self):
        """Applying the changes raises an unexpected error, once."""

        async def test() -> None:
            fails = False
            newest = 0

            def apply(changed: Sequence[StoredObject]) -> None:
                nonlocal fails, newest
                if fails:
                    fails = False
                    raise KeyError("unexpected")
                newest = max(stored.version for stored in changed)

            local = SingleHost(apply=apply)
            await local.platform.create("config/main", b"1")
            work = asyncio.create_task(local.share.run())
            while not local.share.is_up:
                await asyncio.sleep(0.1)
            fails = True
            await local.platform.update("config/main", b"2", version=1)
            await asyncio.sleep(3)
            await local.platform.update("config/main", b"3", version=2)
            await asyncio.sleep(10)
            assert newest == 3 or not local.share.is_up
            work.cancel()
            await local.share.stop()

        run_virtually(test())
