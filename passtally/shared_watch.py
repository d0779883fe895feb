"""Lets a few hosts of a failure domain watch the platform, and the rest learn.

Each call to the platform is paid for, and each change wakes every watch. In a large
failure domain a few hosts watch and pass changes on to all others there; each host
lists once when it starts. :mod:`passtally.watcher_election` decides who watches.

A host whose own watch is down learns from the others
(:mod:`passtally.view_learner`).
"""

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine, Sequence
from datetime import timedelta
from functools import partial
from typing import Any

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.follower import Follower
from passtally.messages import (
    FetchConfig,
    ViewBeat,
    ViewChanges,
)
from passtally.object_store import Listing, StoredObject
from passtally.object_transfer import (
    PART_BYTES,
    pack_listing,
    split_large,
)
from passtally.peers import PeerError, Peers
from passtally.roster import Roster
from passtally.supervisor import Work, keep_running
from passtally.view import View
from passtally.view_learner import ViewLearner
from passtally.watcher_election import WatcherElection

#: How often watchers tell the versions that they know.
HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
#: A watcher that was not heard for this long counts as gone. A change must be in
#: force within two seconds, listing included.
WATCHER_TIMEOUT = timedelta(milliseconds=1300)
CHECK_INTERVAL = timedelta(milliseconds=100)
#: How often, and how many others, a host that hears no watcher asks whether they are
#: there. One that is cut off from all others but reaches the store is behind for 2.6 s
#: then; of three questions one is answered even where many messages are lost.
PROBE_INTERVAL = timedelta(seconds=1)
PROBED_HOSTS = 3


class SharedWatch:
    """Keeps views up to date, from the platform or from peers.

    Args:
        host_id: This host's name.
        views: The views; their followers are made by the next argument.
        follow: Makes the follower of a view.
        peers: The links.
        roster: Who is there.
        clock: The clock.
        rng: Where the choice among hosts that know the same comes from.
        reach_changed: Called when changes stop or begin to arrive.
    """

    def __init__(
        self,
        *,
        host_id: str,
        views: Sequence[View],
        follow: Callable[["SharedWatch", View], Follower],
        peers: Peers,
        roster: Roster,
        clock: Clock,
        rng: random.Random,
        reach_changed: Callable[[bool], None],
    ) -> None:
        self._host_id = host_id
        self._rng = rng
        self._views_by_prefix = {view.prefix: view for view in views}
        self._peers = peers
        self._roster = roster
        self._clock = clock
        self._reach_changed = reach_changed
        #: When each host was last heard to watch.
        self._watching_at_by_host: dict[str, timedelta] = {}
        self._learner = ViewLearner(
            host_id=host_id,
            views_by_prefix=self._views_by_prefix,
            peers=peers,
            roster=roster,
            clock=clock,
            rng=rng,
            is_up=lambda: self.is_up,
            learned=self._tell,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._election = WatcherElection(own_id=host_id, started_at=clock.monotonic())
        self._is_receiving = False
        #: Whether no host of this domain answered when no watcher was heard. This host
        #: is then to watch at once; gossip lets go of the others only after some 12 s.
        self._is_cut_off = False
        self._probed_at = -PROBE_INTERVAL
        self._follow = follow
        for view in views:
            view.follower = follow(self, view)
        peers.listen(ViewBeat, self._receive_heartbeat)

    @property
    def is_watching(self) -> bool:
        """Whether this host is to watch."""
        return self._election.is_watching

    @property
    def is_receiving(self) -> bool:
        """Whether changes arrive, from the platform or from a host that watches."""
        return self._is_receiving

    @property
    def is_up(self) -> bool:
        """Whether this host's own watches are up."""
        views = self._views_by_prefix.values()
        return all(view.follower.is_watching for view in views if view.is_vital)

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

    @property
    def views(self) -> Collection[View]:
        """The views that are kept up to date."""
        return self._views_by_prefix.values()

    def rename(self, host_id: str) -> None:
        """Take in that this host has another name."""
        self._host_id = self._election.own_id = host_id
        self._learner.rename(host_id)

    def add(self, view: View) -> None:
        """Keep one more view up to date."""
        view.follower = self._follow(self, view)
        self._views_by_prefix[view.prefix] = view
        if self._election.is_watching:
            self._watch(view)

    def remove(self, prefix: str) -> None:
        """Keep a view up to date no more."""
        view = self._views_by_prefix.pop(prefix)
        if view.task is not None:
            view.task.cancel()

    def relist(self) -> None:
        """Begin anew at the store, whose address has changed.

        What waits at the old address would keep this host from the new one, for ever
        where nobody answers there.
        """
        for view in self._views_by_prefix.values():
            view.mirror.renew()
            view.follower.is_watching = False
            if view.task is not None:
                view.task.cancel()
            if self._election.is_watching:
                self._watch(view, after=0)
            elif view.is_vital:
                view.task = self._keep_running(view, view.follower.learn)

    async def run(self) -> None:
        """List once, then watch or stand down as others do, for ever."""
        for view in self._views_by_prefix.values():
            if view.is_vital:
                view.task = self._keep_running(view, view.follower.learn)
        beat_at = timedelta(0)
        was_up = False
        while True:
            now = self._clock.monotonic()
            if was_up and not self.is_up:
                # Others need not find that out by this host's silence, which takes 1.3
                # s: where the store refuses all that watch, a domain is behind for 0.8
                # s and not 1.8 s.
                await self._tell()
            was_up = self.is_up
            self._look_for_others(now)
            self._decide(now)
            # Only who hears changes has something to tell to its whole domain.
            self._roster.links_domain = self._election.is_watching and self.is_up
            self._record_reachability(now)
            if self.is_up and now - beat_at >= HEARTBEAT_INTERVAL:
                beat_at = now
                await self._tell()
            self._learner.catch_up(now)
            await self._clock.sleep(CHECK_INTERVAL)

    async def stop(self) -> None:
        """End all watches and fetches."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._learner.stop()

    def is_behind(self, prefix: str) -> bool:
        """Return whether another host is known to have a newer version."""
        return self._learner.is_behind(prefix)

    def behind_for(self, prefix: str) -> timedelta:
        """Return for how long another host has been known to have a newer version."""
        return self._learner.behind_for(prefix)

    def _look_for_others(self, now: timedelta) -> None:
        """Where no watcher is heard, find out whether any host of the domain is."""
        if self.is_up or self._watching(now):
            self._is_cut_off = False
        elif now - self._probed_at >= PROBE_INTERVAL:
            self._probed_at = now
            self._spawn(self._probe())

    async def _probe(self) -> None:
        near = self._neighbours()
        asked = self._rng.sample(near, min(PROBED_HOSTS, len(near)))
        answers = await asyncio.gather(*map(self._is_there, asked))
        self._is_cut_off = bool(asked) and not any(answers)

    async def _is_there(self, host_id: str) -> bool:
        """Return whether a host answers a question of which nothing is to be told."""
        try:
            await self._peers.ask(host_id, FetchConfig(after=0, prefix=""))
        except PeerError:
            return False
        return True

    def _decide(self, now: timedelta) -> None:
        domain_ids = {self._host_id}
        if not self._is_cut_off:
            domain_ids.update(self._roster.domain_ids())
        watching_ids = domain_ids.intersection(self._watching(now))
        self._roster.source_ids = watching_ids
        was_watching = self._election.is_watching
        wants = self._election.decide(domain_ids, watching_ids, now=now)
        if wants and not was_watching:
            self._start(len(domain_ids), len(watching_ids))
        elif was_watching and not wants:
            self._stop()

    def _start(self, hosts: int, watching: int) -> None:
        log_event("watch", "Watching.", hosts=hosts, others_watching=watching)
        for view in self._views_by_prefix.values():
            if view.task is not None:
                view.task.cancel()
            # Versions of another store say nothing of what is new at this one.
            mirror = view.mirror
            self._watch(view, after=0 if mirror.is_renewed else mirror.version)

    def _watch(self, view: View, *, after: int = 0) -> None:
        run = partial(view.follower.run, after=after)
        view.task = self._keep_running(view, run)

    def _stop(self) -> None:
        log_event("watch", "Standing down, others watch.")
        for view in self._views_by_prefix.values():
            view.task.cancel()
            view.follower.is_watching = False

    def _take(self, view: View, changed: Sequence[StoredObject], *, since: int) -> None:
        """Put changes from the platform in force, and pass them on."""
        if not changed:
            return
        view.apply(changed)
        watching = self._watching(self._clock.monotonic())
        learners = [name for name in self._neighbours() if name not in watching]
        small, large = split_large(changed)
        listing = pack_listing(view.mirror.version, small)
        if len(listing) > PART_BYTES:
            # Too much for all of them at once: they ask, and are answered in turn.
            self._spawn(self._tell())
        elif learners:
            news = ViewChanges(
                prefix=view.prefix,
                since=since,
                listing=listing,
                host_id=self._host_id,
                large=large,
            )
            self._spawn(self._peers.send_message(learners, news))

    def _receive_heartbeat(self, beat: ViewBeat) -> None:
        self._learner.record_versions(beat.host_id, beat.versions_by_prefix)
        if beat.is_watching:
            self._watching_at_by_host[beat.host_id] = self._clock.monotonic()
        else:
            self._watching_at_by_host.pop(beat.host_id, None)

    def _record_reachability(self, now: timedelta) -> None:
        is_receiving = self.is_up or bool(self._watching(now))
        if is_receiving != self._is_receiving:
            self._is_receiving = is_receiving
            self._reach_changed(is_receiving)

    async def _tell(self) -> None:
        """Tell the linked hosts of this domain what this host knows."""
        beat = ViewBeat(
            host_id=self._host_id,
            versions_by_prefix=self.newest(),
            is_watching=self.is_up,
        )
        await self._peers.send_message(self._neighbours(), beat)

    def newest(self) -> dict[str, int]:
        """Return the newest version of an object known under each prefix."""
        return {
            prefix: view.mirror.newest for prefix, view in self._views_by_prefix.items()
        }

    def _watching(self, now: timedelta) -> list[str]:
        return [
            host_id
            for host_id, last_contact_at in self._watching_at_by_host.items()
            if now - last_contact_at < WATCHER_TIMEOUT
        ]

    def _neighbours(self) -> list[str]:
        return [row.host_id for row in self._roster.neighbours()]

    def _keep_running(self, view: View, work: Work) -> asyncio.Task[None]:
        name = f"follow {view.prefix}"
        return self._spawn(keep_running(name, work, clock=self._clock))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
