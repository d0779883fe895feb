"""Shares the watches of a few hosts with all hosts of a failure domain.

Each call to the platform is billed, and each change wakes up every watch. In a large
failure domain only a few hosts watch the platform, and forward changes to all others in
the domain; each host lists once when it starts. :mod:`passtally.watcher_election`
chooses the watchers.

A host whose own watch is down receives changes from other hosts
(:mod:`passtally.view_learner`).
"""

import asyncio
import random
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta
from functools import partial

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
from passtally.task_set import TaskSet
from passtally.view import View
from passtally.view_learner import ViewLearner
from passtally.watcher_election import WatcherElection

#: Interval between the heartbeats in which watchers report their versions.
HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
#: Time without a heartbeat after which a watcher counts as dead. Changes must be in
#: force within two seconds, including the listing of a new watcher.
WATCHER_TIMEOUT = timedelta(milliseconds=1300)
#: Interval between checks of the election and of missing versions.
CHECK_INTERVAL = timedelta(milliseconds=100)
#: Interval between the probes of a host that receives no watcher's heartbeats, and the
#: number of hosts that it probes. A host that reaches the store, but no other host, is
#: behind for 2.6 s with these values. Of three probes one is answered even at a high
#: message loss.
PROBE_INTERVAL = timedelta(seconds=1)
PROBED_HOSTS = 3


class SharedWatch:
    """Keeps views up to date, from the platform or from peers.

    Args:
        host_id: The local host's name.
        views: The initial views; ``follow`` creates their followers.
        follow: Creates the follower of a view.
        peers: The links to other hosts.
        roster: The reachable hosts.
        clock: The clock.
        rng: The random source for the choice of hosts to probe and to fetch from.
        reach_changed: Called when changes begin or cease to arrive, with whether they
            arrive.
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
        #: Monotonic time of each watcher's last heartbeat.
        self._watching_at_by_host: dict[str, timedelta] = {}
        self._learner = ViewLearner(
            host_id=host_id,
            views_by_prefix=self._views_by_prefix,
            peers=peers,
            roster=roster,
            clock=clock,
            rng=rng,
            is_up=lambda: self.is_up,
            on_applied=self._send_heartbeat,
        )
        self._tasks = TaskSet()
        self._election = WatcherElection(own_id=host_id, started_at=clock.monotonic())
        self._is_receiving = False
        #: Whether no watcher's heartbeats arrive and no probed host of this domain
        #: answered. This host then watches at once; gossip would declare the others
        #: dead only after about 12 s.
        self._is_isolated = False
        self._probed_at = -PROBE_INTERVAL
        self._follow = follow
        for view in views:
            self._create_follower(view)
        peers.listen(ViewBeat, self._receive_heartbeat)

    @property
    def is_watching(self) -> bool:
        """Whether this host is elected as a watcher."""
        return self._election.is_watching

    @property
    def is_receiving(self) -> bool:
        """Whether changes arrive, from the platform or from a watcher."""
        return self._is_receiving

    @property
    def is_up(self) -> bool:
        """Whether this host's own watches are up."""
        views = self._views_by_prefix.values()
        return all(view.follower.is_watching for view in views if view.is_required)

    @property
    def is_first_watcher(self) -> bool:
        """Whether this host is the first of those of its domain that watch."""
        watching = self._watching_ids(self._clock.monotonic())
        return self.is_up and all(self._host_id <= name for name in watching)

    def replace(self, view: View, listing: Listing) -> None:
        """Apply a complete listing from the platform, and forward its changes."""
        since = view.mirror.newest
        changed = view.mirror.replace(listing)
        if changed is not None:
            self._apply_and_forward(view, changed, since=since)

    def advance(self, view: View, changes: Listing) -> None:
        """Apply changes from the platform, and forward them."""
        since = view.mirror.newest
        self._apply_and_forward(view, view.mirror.advance(changes), since=since)

    @property
    def views(self) -> Collection[View]:
        """The views that are kept up to date."""
        return self._views_by_prefix.values()

    def rename(self, host_id: str) -> None:
        """Change the name of the local host."""
        self._host_id = self._election.own_id = host_id
        self._learner.rename(host_id)

    def add(self, view: View) -> None:
        """Add a view to keep up to date."""
        self._create_follower(view)
        self._views_by_prefix[view.prefix] = view
        if self._election.is_watching:
            self._watch(view)

    def remove(self, prefix: str) -> None:
        """Stop keeping a view up to date."""
        view = self._views_by_prefix.pop(prefix)
        if view.task is not None:
            view.task.cancel()

    def relist(self) -> None:
        """Restart all watches and listings after the store's address has changed.

        Pending calls to the former address are cancelled. They would delay the switch,
        without end if no server answers there.
        """
        for view in self._views_by_prefix.values():
            view.mirror.expect_new_store()
            view.follower.is_watching = False
            if view.task is not None:
                view.task.cancel()
            if self._election.is_watching:
                self._watch(view, after=0)
            elif view.is_required:
                view.task = self._keep_running(view, view.follower.list_once)

    async def run(self) -> None:
        """List once, then watch whenever this host is elected, until cancelled."""
        for view in self._views_by_prefix.values():
            if view.is_required:
                view.task = self._keep_running(view, view.follower.list_once)
        heartbeat_at = timedelta(0)
        was_up = False
        while True:
            now = self._clock.monotonic()
            if was_up and not self.is_up:
                # Report the loss of the watch at once, instead of letting the others
                # detect it by the timeout of 1.3 s. If the store rejects all watchers,
                # the domain is then behind for 0.8 s instead of 1.8 s.
                await self._send_heartbeat()
            was_up = self.is_up
            self._check_isolation(now)
            self._update_role(now)
            # Only a host that receives changes has to send to all of its domain.
            self._roster.links_domain = self._election.is_watching and self.is_up
            self._record_reachability(now)
            if self.is_up and now - heartbeat_at >= HEARTBEAT_INTERVAL:
                heartbeat_at = now
                await self._send_heartbeat()
            self._learner.catch_up(now)
            await self._clock.sleep(CHECK_INTERVAL)

    async def stop(self) -> None:
        """Cancel all watches and fetches."""
        await self._tasks.cancel()
        await self._learner.stop()

    def is_behind(self, prefix: str) -> bool:
        """Return whether another host is known to have a newer version."""
        return self._learner.is_behind(prefix)

    def time_behind(self, prefix: str) -> timedelta:
        """Return the time since another host is known to have a newer version."""
        return self._learner.time_behind(prefix)

    def _create_follower(self, view: View) -> None:
        view.follower = self._follow(self, view)
        view.follower.turn = self._find_turn

    def _find_turn(self) -> float:
        """Return this host's turn among the watchers, as a share of a cycle."""
        watching_ids = {*self._watching_ids(self._clock.monotonic()), self._host_id}
        return sorted(watching_ids).index(self._host_id) / len(watching_ids)

    def _check_isolation(self, now: timedelta) -> None:
        """Probe hosts of the domain while no watcher's heartbeats arrive."""
        if self.is_up or self._watching_ids(now):
            self._is_isolated = False
        elif now - self._probed_at >= PROBE_INTERVAL:
            self._probed_at = now
            self._tasks.spawn(self._probe())

    async def _probe(self) -> None:
        candidate_ids = self._neighbour_ids()
        probed = self._rng.sample(candidate_ids, min(PROBED_HOSTS, len(candidate_ids)))
        answers = await asyncio.gather(*map(self._is_responding, probed))
        self._is_isolated = bool(probed) and not any(answers)

    async def _is_responding(self, host_id: str) -> bool:
        """Return whether a host answers a request that returns no objects."""
        try:
            await self._peers.ask(host_id, FetchConfig(after=0, prefix=""))
        except PeerError:
            return False
        return True

    def _update_role(self, now: timedelta) -> None:
        domain_ids = {self._host_id}
        if not self._is_isolated:
            domain_ids.update(self._roster.domain_ids())
        watching_ids = domain_ids.intersection(self._watching_ids(now))
        self._roster.source_ids = watching_ids
        was_watching = self._election.is_watching
        should_watch = self._election.decide(domain_ids, watching_ids, now=now)
        if should_watch and not was_watching:
            self._start_watching(len(domain_ids), len(watching_ids))
        elif was_watching and not should_watch:
            self._stop_watching()

    def _start_watching(self, hosts: int, watching: int) -> None:
        log_event("watch", "Started watching.", hosts=hosts, others_watching=watching)
        for view in self._views_by_prefix.values():
            if view.task is not None:
                view.task.cancel()
            # Versions of a former store do not apply to the present one: list again.
            mirror = view.mirror
            self._watch(view, after=0 if mirror.expects_new_store else mirror.version)

    def _watch(self, view: View, *, after: int = 0) -> None:
        run = partial(view.follower.run, after=after)
        view.task = self._keep_running(view, run)

    def _stop_watching(self) -> None:
        log_event("watch", "Stopped watching, others watch.")
        for view in self._views_by_prefix.values():
            view.task.cancel()
            view.follower.is_watching = False

    def _apply_and_forward(
        self, view: View, changed: Sequence[StoredObject], *, since: int
    ) -> None:
        """Apply changes from the platform, and forward them to the domain."""
        if not changed:
            return
        view.apply(changed)
        watching = self._watching_ids(self._clock.monotonic())
        recipients = [name for name in self._neighbour_ids() if name not in watching]
        small, large = split_large(changed)
        listing = pack_listing(view.mirror.version, small)
        if len(listing) > PART_BYTES:
            # Too large to send to all at once. The heartbeat makes the other hosts
            # request the changes, and AnswerRateLimit answers them one after the other.
            self._tasks.spawn(self._send_heartbeat())
        elif recipients:
            message = ViewChanges(
                prefix=view.prefix,
                since=since,
                listing=listing,
                host_id=self._host_id,
                large=large,
            )
            self._tasks.spawn(self._peers.send_message(recipients, message))

    def _receive_heartbeat(self, heartbeat: ViewBeat) -> None:
        self._learner.record_versions(heartbeat.host_id, heartbeat.versions_by_prefix)
        if heartbeat.is_watching:
            self._watching_at_by_host[heartbeat.host_id] = self._clock.monotonic()
        else:
            self._watching_at_by_host.pop(heartbeat.host_id, None)

    def _record_reachability(self, now: timedelta) -> None:
        is_receiving = self.is_up or bool(self._watching_ids(now))
        if is_receiving != self._is_receiving:
            self._is_receiving = is_receiving
            self._reach_changed(is_receiving)

    async def _send_heartbeat(self) -> None:
        """Report the versions of this host to the linked hosts of its domain."""
        heartbeat = ViewBeat(
            host_id=self._host_id,
            versions_by_prefix=self.newest(),
            is_watching=self.is_up,
        )
        await self._peers.send_message(self._neighbour_ids(), heartbeat)

    def newest(self) -> dict[str, int]:
        """Return the newest version of an object known under each prefix."""
        return {
            prefix: view.mirror.newest for prefix, view in self._views_by_prefix.items()
        }

    def known_version(self, prefix: str) -> int:
        """Return the store-wide version up to which the changes of a view are known."""
        return self._views_by_prefix[prefix].mirror.version

    def _watching_ids(self, now: timedelta) -> list[str]:
        return [
            host_id
            for host_id, last_contact_at in self._watching_at_by_host.items()
            if now - last_contact_at < WATCHER_TIMEOUT
        ]

    def _neighbour_ids(self) -> list[str]:
        return [row.host_id for row in self._roster.neighbours()]

    def _keep_running(self, view: View, work: Work) -> asyncio.Task[None]:
        name = f"follow {view.prefix}"
        return self._tasks.spawn(keep_running(name, work, clock=self._clock))
