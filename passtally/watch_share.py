"""Lets a few hosts of a failure domain watch the platform, and the rest learn.

Each call to the platform is paid for, and each change wakes every watch. In a large
failure domain a few hosts watch and pass changes on to all others there; each host
lists once when it starts. :mod:`passtally.watch_duty` decides who watches.

A host whose own watch is down also learns from the others, whatever their domain.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping, Sequence
from datetime import timedelta
from typing import Any

import attrs
import msgspec

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.follower import Follower
from passtally.messages import ConfigChanges, FetchConfig, ViewBeat, ViewChanges
from passtally.mirror import ObjectMirror
from passtally.object_store import Listing, StoredObject
from passtally.peers import PeerError, Peers
from passtally.roster import Roster
from passtally.watch_duty import WatchDuty

#: How often watchers tell the versions that they know.
BEAT_INTERVAL = timedelta(milliseconds=500)
#: A watcher that was not heard for this long counts as gone. A change must be in
#: force within two seconds, listing included.
BEAT_TIMEOUT = timedelta(milliseconds=1300)
CHECK_INTERVAL = timedelta(milliseconds=100)
FETCH_TIMEOUT = timedelta(seconds=1)


@attrs.define(kw_only=True)
class View:
    """What this host knows of the objects under one prefix.

    Attributes:
        prefix: The prefix.
        apply: Called with the objects that changed.
        mirror: The objects.
        follower: Follows them at the platform while this host watches.
        task: The follower's run while this host watches, its first listing before.
    """

    prefix: str
    apply: Callable[[Sequence[StoredObject]], None]
    mirror: ObjectMirror = attrs.field(factory=ObjectMirror)
    follower: Follower | None = None
    task: asyncio.Task[None] | None = None


@attrs.frozen(kw_only=True)
class _Heard:
    versions_by_prefix: Mapping[str, int]
    at: timedelta


class WatchShare:
    """Keeps views up to date, from the platform or from peers.

    Args:
        host_id: This host's name.
        views: The views; their followers are made by the next argument.
        follow: Makes the follower of a view.
        peers: The links.
        roster: Who is there.
        clock: The clock.
        reach_changed: Called when changes stop or begin to arrive.
    """

    def __init__(
        self,
        *,
        host_id: str,
        views: Sequence[View],
        follow: Callable[["WatchShare", View], Follower],
        peers: Peers,
        roster: Roster,
        clock: Clock,
        reach_changed: Callable[[bool], None],
    ) -> None:
        self._host_id = host_id
        self._views_by_prefix = {view.prefix: view for view in views}
        self._peers = peers
        self._roster = roster
        self._clock = clock
        self._reach_changed = reach_changed
        self._heard_by_host: dict[str, _Heard] = {}
        self._fetching: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._duty = WatchDuty(own_id=host_id, started_at=clock.monotonic())
        self._is_reached = False
        for view in views:
            view.follower = follow(self, view)
        peers.on(FetchConfig, self._answer)
        peers.listen(ViewBeat, self._hear_beat)
        peers.listen(ViewChanges, self._hear_changes)

    @property
    def is_watching(self) -> bool:
        """Whether this host is to watch."""
        return self._duty.is_watching

    @property
    def is_reached(self) -> bool:
        """Whether changes arrive, from the platform or from a host that watches."""
        return self._is_reached

    @property
    def is_up(self) -> bool:
        """Whether this host's own watches are up."""
        views = self._views_by_prefix.values()
        return all(view.follower.is_watching for view in views)

    def replace(self, view: View, listing: Listing) -> None:
        """Take in a whole listing from the platform."""
        since = view.mirror.newest
        changed = view.mirror.replace(listing)
        if changed is not None:
            self._take(view, changed, since=since)

    def advance(self, view: View, changes: Listing) -> None:
        """Take in changes from the platform."""
        since = view.mirror.newest
        self._take(view, view.mirror.advance(changes), since=since)

    async def run(self) -> None:
        """List once, then watch or stand down as others do, for ever."""
        for view in self._views_by_prefix.values():
            view.task = self._spawn(view.follower.learn())
        beat_at = timedelta(0)
        while True:
            now = self._clock.monotonic()
            self._decide(now)
            self._note_reach(now)
            if self.is_up and now - beat_at >= BEAT_INTERVAL:
                beat_at = now
                await self._peers.tell(self._neighbours(), self._beat())
            self._catch_up(now)
            await self._clock.sleep(CHECK_INTERVAL)

    async def stop(self) -> None:
        """End all watches and fetches."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _decide(self, now: timedelta) -> None:
        domain_ids = {self._host_id, *self._roster.domain_ids()}
        watching_ids = domain_ids.intersection(self._watching(now))
        self._roster.source_ids = watching_ids
        was_watching = self._duty.is_watching
        wants = self._duty.decide(domain_ids, watching_ids, now=now)
        if wants and not was_watching:
            self._start(len(domain_ids), len(watching_ids))
        elif was_watching and not wants:
            self._stop()

    def _start(self, hosts: int, watching: int) -> None:
        log_event("watch", "Watching.", hosts=hosts, others_watching=watching)
        self._roster.links_domain = True
        for view in self._views_by_prefix.values():
            view.task.cancel()
            run = view.follower.run(after=view.mirror.version)
            view.task = self._spawn(run)

    def _stop(self) -> None:
        log_event("watch", "Standing down, others watch.")
        self._roster.links_domain = False
        for view in self._views_by_prefix.values():
            view.task.cancel()
            view.follower.is_watching = False

    def _take(self, view: View, changed: Sequence[StoredObject], *, since: int) -> None:
        if not changed:
            return
        view.apply(changed)
        watching = self._watching(self._clock.monotonic())
        learners = [name for name in self._neighbours() if name not in watching]
        if learners:
            listing = Listing(version=view.mirror.version, objects=tuple(changed))
            news = ViewChanges(
                prefix=view.prefix, since=since, listing=msgspec.json.encode(listing)
            )
            self._spawn(self._peers.tell(learners, news))

    def _hear_changes(self, news: ViewChanges) -> None:
        view = self._views_by_prefix.get(news.prefix)
        # With a gap before them the changes wait for the next beat, which shows it.
        if view is not None and news.since <= view.mirror.newest:
            listing = msgspec.json.decode(news.listing, type=Listing)
            view.apply(view.mirror.advance(listing))

    def _hear_beat(self, beat: ViewBeat) -> None:
        self._heard_by_host[beat.host_id] = _Heard(
            versions_by_prefix=beat.versions_by_prefix, at=self._clock.monotonic()
        )

    def _catch_up(self, now: timedelta) -> None:
        """Fetch what others know and this host, whose own watch is down, does not."""
        if self.is_up:
            return
        for view in self._views_by_prefix.values():
            host_id = self._find_newer(view, now)
            if host_id is not None and view.prefix not in self._fetching:
                self._spawn(self._fetch(view, host_id))

    def _find_newer(self, view: View, now: timedelta) -> str | None:
        """Return a host that knows a newer version, one of this domain if any."""
        for host_id in self._watching(now):
            versions = self._heard_by_host[host_id].versions_by_prefix
            if versions.get(view.prefix, 0) > view.mirror.newest:
                return host_id
        best, version = None, view.mirror.newest
        for row in self._roster.linked():
            if row.versions_by_prefix.get(view.prefix, 0) > version:
                best, version = row.host_id, row.versions_by_prefix[view.prefix]
        return best

    async def _fetch(self, view: View, host_id: str) -> None:
        self._fetching.add(view.prefix)
        message = FetchConfig(after=view.mirror.newest, prefix=view.prefix)
        try:
            reply = await self._peers.ask(host_id, message, timeout=FETCH_TIMEOUT)
        except PeerError as error:
            log_event("watch", "Peer did not answer.", peer=host_id, why=error)
            await self._clock.sleep(BEAT_INTERVAL)
            return
        finally:
            self._fetching.discard(view.prefix)
        if isinstance(reply, ConfigChanges):
            changed = view.mirror.advance(
                msgspec.json.decode(reply.listing, type=Listing)
            )
            view.apply(changed)
            log_event(
                "watch",
                "Learned from a peer.",
                peer=host_id,
                prefix=view.prefix,
                version=view.mirror.newest,
                changed=len(changed),
            )

    async def _answer(self, message: FetchConfig) -> ConfigChanges:
        view = self._views_by_prefix.get(message.prefix)
        changes = Listing(version=0, objects=())
        if view is not None:
            changes = view.mirror.changes_after(message.after)
        return ConfigChanges(listing=msgspec.json.encode(changes))

    def _note_reach(self, now: timedelta) -> None:
        is_reached = self.is_up or bool(self._watching(now))
        if is_reached != self._is_reached:
            self._is_reached = is_reached
            self._reach_changed(is_reached)

    def _beat(self) -> ViewBeat:
        return ViewBeat(host_id=self._host_id, versions_by_prefix=self.newest())

    def newest(self) -> dict[str, int]:
        """Return the newest version of an object known under each prefix."""
        return {
            prefix: view.mirror.newest for prefix, view in self._views_by_prefix.items()
        }

    def _watching(self, now: timedelta) -> list[str]:
        return [
            host_id
            for host_id, heard in self._heard_by_host.items()
            if now - heard.at < BEAT_TIMEOUT
        ]

    def _neighbours(self) -> list[str]:
        return [row.host_id for row in self._roster.neighbours()]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
