"""Learns from other hosts what changed while this host does not watch the platform.

Hosts of its own failure domain are asked first, those of another domain only after the
hosts of its own that are to ask there. Large objects come in parts, from any host that
has them (:mod:`passtally.object_transfer`).
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping, Sequence
from datetime import timedelta
from functools import partial
from typing import Any

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.messages import (
    ConfigChanges,
    FetchConfig,
    MemberRow,
    ObjectRef,
    ViewChanges,
)
from passtally.object_store import Listing, StoredObject
from passtally.object_transfer import (
    AnswerPace,
    ObjectTransfer,
    TransferError,
    pack_listing,
    split_large,
    unpack_listing,
)
from passtally.peers import PeerError, Peers, UnknownPeerError
from passtally.roster import Roster
from passtally.silent_hosts import SilentHosts
from passtally.view import View

#: How long an answer that holds no large object may take. A link of 5 Mbit/s that is
#: full delays it by 180 ms.
FETCH_TIMEOUT = timedelta(milliseconds=400)
#: How much longer each host of a failure domain waits than the one before it until it
#: learns from another domain: one copy crosses the border, and the others take theirs
#: from it. A configuration of 2,000 routes crosses in 40 ms.
FAR_STEP = timedelta(milliseconds=100)
#: The hosts behind this many wait no longer.
FAR_HOSTS = 8


class ViewLearner:
    """Takes in what other hosts know, and answers what they ask.

    Args:
        host_id: This host's name.
        views_by_prefix: The views.
        peers: The links.
        roster: Who is there.
        clock: The clock.
        rng: Where the choice among hosts that know the same comes from.
        is_up: Returns whether this host's own watches are up: it learns from nobody
            then.
        learned: Called once this host has learned something that it can hand on.
    """

    def __init__(
        self,
        *,
        host_id: str,
        views_by_prefix: Mapping[str, View],
        peers: Peers,
        roster: Roster,
        clock: Clock,
        rng: random.Random,
        is_up: Callable[[], bool],
        learned: Callable[[], Awaitable[object]],
    ) -> None:
        self._host_id = host_id
        self._views_by_prefix = views_by_prefix
        self._peers = peers
        self._roster = roster
        self._clock = clock
        self._rng = rng
        self._is_up = is_up
        self._learned = learned
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
        self._pace = AnswerPace()
        self._tasks: set[asyncio.Task[None]] = set()
        peers.on(FetchConfig, self._answer)
        peers.listen(ViewChanges, self.receive_changes)

    def rename(self, host_id: str) -> None:
        """Take in that this host has another name."""
        self._host_id = host_id
        self._transfer.host_id = host_id

    async def stop(self) -> None:
        """End all fetches."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def receive_changes(self, news: ViewChanges) -> None:
        """Take in what a host that watches tells."""
        view = self._views_by_prefix.get(news.prefix)
        if view is None:
            return
        if news.large:
            newest = max(ref.version for ref in news.large)
            self.record_versions(news.host_id, {news.prefix: newest})
        # With a gap before them the changes are asked for.
        if news.since > view.mirror.newest:
            return
        if not news.large:
            self._learn(view, unpack_listing(news.listing))
        elif not self._is_up() and view.prefix not in self._fetching:
            self._spawn(self._take_in(view, news.host_id, news.listing, news.large))

    def record_versions(self, host_id: str, versions: Mapping[str, int]) -> None:
        """Take in what a host says that it knows."""
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

    def catch_up(self, now: timedelta) -> None:
        """Fetch what others know and this host, whose own watch is down, does not."""
        for view in self._views_by_prefix.values():
            is_behind = not self._is_up() and self.is_behind(view.prefix)
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
        changed = self._learn(view, attrs.evolve(listing, objects=objects))
        log_event(
            "watch",
            "Learned from a peer.",
            peer=host_id,
            prefix=view.prefix,
            version=view.mirror.newest,
            changed=len(changed),
        )
        if changed:
            await self._learned()

    def _learn(self, view: View, changes: Listing) -> list[StoredObject]:
        """Put changes that a peer told in force, and return what was new."""
        changed = view.mirror.advance(changes)
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
        listing = pack_listing(changes.version, small, keys=changes.keys)
        if not self._pace.admit(len(listing), self._clock.monotonic()):
            return ConfigChanges(listing=pack_listing(0, ()))
        return ConfigChanges(listing=listing, large=large)

    def _find(self, key: str) -> StoredObject | None:
        for prefix, view in self._views_by_prefix.items():
            if key.startswith(prefix):
                return view.mirror.find(key)
        return None

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
