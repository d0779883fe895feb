"""Lets a few hosts of a failure domain watch the platform, and the rest learn.

Each call to the platform is paid for, and each change wakes every watch. In a large
failure domain a few hosts watch and pass changes on to all others there; each host
lists once when it starts. :mod:`passtally.watch_duty` decides who watches.

A host whose own watch is down also learns from the others: from those of its own domain
first, and from another domain only after the hosts of its own that are to ask there.
Large objects come in parts, from any host that has them
(:mod:`passtally.object_transfer`).
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Mapping, Sequence
from datetime import timedelta
from functools import partial
from typing import Any

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.follower import Follower
from passtally.messages import (
    ConfigChanges,
    FetchConfig,
    MemberRow,
    ObjectRef,
    ViewBeat,
    ViewChanges,
)
from passtally.mirror import ObjectMirror
from passtally.object_store import Listing, StoredObject
from passtally.object_transfer import (
    ObjectTransfer,
    TransferError,
    pack_listing,
    split_large,
    unpack_listing,
)
from passtally.peers import PeerError, Peers, UnknownPeerError
from passtally.roster import Roster
from passtally.silent_hosts import SilentHosts
from passtally.watch_duty import WatchDuty

#: How often watchers tell the versions that they know.
BEAT_INTERVAL = timedelta(milliseconds=500)
#: A watcher that was not heard for this long counts as gone. A change must be in
#: force within two seconds, listing included.
BEAT_TIMEOUT = timedelta(milliseconds=1300)
CHECK_INTERVAL = timedelta(milliseconds=100)
#: How often, and how many others, a host that hears no watcher asks whether they are
#: there. One that is cut off from all others but reaches the store is behind for 2.6 s
#: then; of three questions one is answered even where many messages are lost.
PROBE_INTERVAL = timedelta(seconds=1)
PROBED_HOSTS = 3
#: How long an answer that holds no large object may take. A link of 5 Mbit/s that is
#: full delays it by 180 ms.
FETCH_TIMEOUT = timedelta(milliseconds=400)
#: How much longer each host of a failure domain waits than the one before it until it
#: learns from another domain: one copy crosses the border, and the others take theirs
#: from it. A configuration of 2,000 routes crosses in 40 ms.
FAR_STEP = timedelta(milliseconds=100)
#: The hosts behind this many wait no longer.
FAR_HOSTS = 8


@attrs.define(kw_only=True)
class View:
    """What this host knows of the objects under one prefix.

    Attributes:
        prefix: The prefix.
        apply: Called with the objects that changed.
        mirror: The objects.
        follower: Follows them at the platform while this host watches.
        task: The follower's run while this host watches, its first listing before.
        behind_since: Since when a newer version is known elsewhere.
    """

    prefix: str
    apply: Callable[[Sequence[StoredObject]], None]
    mirror: ObjectMirror = attrs.field(factory=ObjectMirror)
    follower: Follower | None = None
    task: asyncio.Task[None] | None = None
    behind_since: timedelta | None = None


class WatchShare:
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
        follow: Callable[["WatchShare", View], Follower],
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
        #: What hosts of this domain were last heard to know, watching or not.
        self._versions_by_host: dict[str, Mapping[str, int]] = {}
        self._silent = SilentHosts()
        #: Prefixes of which a host is being asked for changes.
        self._asking: set[str] = set()
        #: Prefixes of which large objects are on their way. News of another host is
        #: taken in beside a question, not beside these.
        self._fetching: set[str] = set()
        self._transfer = ObjectTransfer(
            host_id=host_id,
            peers=peers,
            clock=clock,
            rng=rng,
            silent=self._silent,
            find=self._find,
        )
        self._tasks: set[asyncio.Task[None]] = set()
        self._duty = WatchDuty(own_id=host_id, started_at=clock.monotonic())
        self._is_reached = False
        #: Whether no host of this domain answered when no watcher was heard. This host
        #: is then to watch at once; gossip lets go of the others only after some 12 s.
        self._is_cut_off = False
        self._probed_at = -PROBE_INTERVAL
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
        was_up = False
        while True:
            now = self._clock.monotonic()
            if was_up and not self.is_up:
                await self._tell_down()
            was_up = self.is_up
            self._look_for_others(now)
            self._decide(now)
            # Only who hears changes has something to tell to its whole domain.
            self._roster.links_domain = self._duty.is_watching and self.is_up
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

    async def _tell_down(self) -> None:
        """Tell that this host's watch is down.

        Others need not find that out by its silence, which takes 1.3 s: where the store
        refuses all that watch, a domain is behind for 0.8 s and not 1.8 s.
        """
        await self._peers.tell(self._neighbours(), self._beat(is_watching=False))

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
        was_watching = self._duty.is_watching
        wants = self._duty.decide(domain_ids, watching_ids, now=now)
        if wants and not was_watching:
            self._start(len(domain_ids), len(watching_ids))
        elif was_watching and not wants:
            self._stop()

    def _start(self, hosts: int, watching: int) -> None:
        log_event("watch", "Watching.", hosts=hosts, others_watching=watching)
        for view in self._views_by_prefix.values():
            view.task.cancel()
            run = view.follower.run(after=view.mirror.version)
            view.task = self._spawn(run)

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
        if learners:
            small, large = split_large(changed)
            news = ViewChanges(
                prefix=view.prefix,
                since=since,
                listing=pack_listing(view.mirror.version, small),
                host_id=self._host_id,
                large=large,
            )
            self._spawn(self._peers.tell(learners, news))

    def _hear_changes(self, news: ViewChanges) -> None:
        view = self._views_by_prefix.get(news.prefix)
        if view is None:
            return
        if news.large:
            newest = max(ref.version for ref in news.large)
            self._note_versions(news.host_id, {news.prefix: newest})
        # With a gap before them the changes are asked for.
        if news.since > view.mirror.newest:
            return
        if not news.large:
            self._learn(view, unpack_listing(news.listing))
        elif not self.is_up and view.prefix not in self._fetching:
            self._spawn(self._take_in(view, news.host_id, news.listing, news.large))

    def _hear_beat(self, beat: ViewBeat) -> None:
        self._note_versions(beat.host_id, beat.versions_by_prefix)
        if beat.is_watching:
            self._watching_at_by_host[beat.host_id] = self._clock.monotonic()
        else:
            self._watching_at_by_host.pop(beat.host_id, None)

    def _note_versions(self, host_id: str, versions: Mapping[str, int]) -> None:
        known = self._versions_by_host.get(host_id, {})
        self._versions_by_host[host_id] = {**known, **versions}

    def is_behind(self, prefix: str) -> bool:
        """Return whether another host is known to have a newer version."""
        view = self._views_by_prefix[prefix]
        newest = view.mirror.newest
        return bool(self._newer_near(prefix, newest) or self._newer_far(prefix, newest))

    def behind_for(self, prefix: str) -> timedelta:
        """Return for how long another host has been known to have a newer version."""
        since = self._views_by_prefix[prefix].behind_since
        return timedelta(0) if since is None else self._clock.monotonic() - since

    def _catch_up(self, now: timedelta) -> None:
        """Fetch what others know and this host, whose own watch is down, does not."""
        for view in self._views_by_prefix.values():
            is_behind = not self.is_up and self.is_behind(view.prefix)
            view.behind_since = (view.behind_since or now) if is_behind else None
            if not is_behind or view.prefix in self._asking | self._fetching:
                continue
            host_id = self._choose_source(view, now)
            if host_id is not None:
                self._spawn(self._fetch(view, host_id))

    def _choose_source(self, view: View, now: timedelta) -> str | None:
        """Return a host to learn from: of this domain, or later of another one."""
        newest = view.mirror.newest
        near = self._newer_near(view.prefix, newest)
        far = self._newer_far(view.prefix, newest)
        if now - view.behind_since < self._far_wait():
            far = []
        far.sort(key=lambda row: row.versions_by_prefix[view.prefix], reverse=True)
        self._rng.shuffle(near)
        candidates = [*near, *(row.host_id for row in far)]
        # One that was silent is asked where there is no other.
        candidates.sort(key=lambda name: self._silent.is_silent(name, now))
        return candidates[0] if candidates else None

    def _newer_near(self, prefix: str, newest: int) -> list[str]:
        """Return the linked hosts of this domain that know a newer version."""
        return [
            row.host_id
            for row in self._roster.neighbours()
            if max(
                self._versions_by_host.get(row.host_id, {}).get(prefix, 0),
                row.versions_by_prefix.get(prefix, 0),
            )
            > newest
        ]

    def _newer_far(self, prefix: str, newest: int) -> list[MemberRow]:
        """Return the rows of linked far hosts that know a newer version."""
        own = self._roster.failure_domain
        return [
            row
            for row in self._roster.linked()
            if row.failure_domain != own
            and row.versions_by_prefix.get(prefix, 0) > newest
        ]

    def _far_wait(self) -> timedelta:
        """Return how long the hosts before this one are let go first."""
        before = [name for name in self._roster.domain_ids() if name < self._host_id]
        return min(len(before), FAR_HOSTS) * FAR_STEP

    async def _fetch(self, view: View, host_id: str) -> None:
        self._asking.add(view.prefix)
        message = FetchConfig(after=view.mirror.newest, prefix=view.prefix)
        try:
            reply = await self._peers.ask(host_id, message, timeout=FETCH_TIMEOUT)
        except PeerError as error:
            log_event("watch", "Peer did not answer.", peer=host_id, why=error)
            self._versions_by_host.pop(host_id, None)
            if not isinstance(error, UnknownPeerError):
                self._silent.note(host_id, self._clock.monotonic())
            return
        finally:
            self._asking.discard(view.prefix)
        if isinstance(reply, ConfigChanges) and view.prefix not in self._fetching:
            await self._take_in(view, host_id, reply.listing, reply.large)

    async def _take_in(
        self, view: View, host_id: str, packed: bytes, large: Sequence[ObjectRef]
    ) -> None:
        """Put in force what a peer told, once its large objects have come."""
        self._fetching.add(view.prefix)
        try:
            listing = unpack_listing(packed)
            fetched = [
                await self._transfer.fetch(
                    ref, partial(self._holders, view.prefix, ref, host_id)
                )
                for ref in large
            ]
        except (TransferError, ValueError) as error:
            log_event("watch", "Not learned.", peer=host_id, why=error)
            self._versions_by_host.pop(host_id, None)
            return
        finally:
            self._fetching.discard(view.prefix)
        objects = (*listing.objects, *fetched)
        changed = self._learn(view, Listing(version=listing.version, objects=objects))
        log_event(
            "watch",
            "Learned from a peer.",
            peer=host_id,
            prefix=view.prefix,
            version=view.mirror.newest,
            changed=len(changed),
        )
        if large:
            await self._peers.tell(self._neighbours(), self._beat(is_watching=False))

    def _learn(self, view: View, changes: Listing) -> list[StoredObject]:
        """Put changes that a peer told in force, and return what was new."""
        changed = view.mirror.advance(changes)
        view.follower.skip_to(view.mirror.version)
        view.apply(changed)
        return changed

    def _holders(self, prefix: str, ref: ObjectRef, first_id: str) -> set[str]:
        """Return the hosts that are likely to hold a state of an object.

        Args:
            prefix: What its key starts with.
            ref: The state.
            first_id: The host that told of it.
        """
        return {first_id, *self._newer_near(prefix, ref.version - 1)}

    async def _answer(self, message: FetchConfig) -> ConfigChanges:
        view = self._views_by_prefix.get(message.prefix)
        changes = Listing(version=0, objects=())
        if view is not None:
            changes = view.mirror.changes_after(message.after)
        small, large = split_large(changes.objects)
        return ConfigChanges(listing=pack_listing(changes.version, small), large=large)

    def _find(self, key: str) -> StoredObject | None:
        for prefix, view in self._views_by_prefix.items():
            if key.startswith(prefix):
                return view.mirror.find(key)
        return None

    def _note_reach(self, now: timedelta) -> None:
        is_reached = self.is_up or bool(self._watching(now))
        if is_reached != self._is_reached:
            self._is_reached = is_reached
            self._reach_changed(is_reached)

    def _beat(self, *, is_watching: bool = True) -> ViewBeat:
        return ViewBeat(
            host_id=self._host_id,
            versions_by_prefix=self.newest(),
            is_watching=is_watching,
        )

    def newest(self) -> dict[str, int]:
        """Return the newest version of an object known under each prefix."""
        return {
            prefix: view.mirror.newest for prefix, view in self._views_by_prefix.items()
        }

    def _watching(self, now: timedelta) -> list[str]:
        return [
            host_id
            for host_id, heard_at in self._watching_at_by_host.items()
            if now - heard_at < BEAT_TIMEOUT
        ]

    def _neighbours(self) -> list[str]:
        return [row.host_id for row in self._roster.neighbours()]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
