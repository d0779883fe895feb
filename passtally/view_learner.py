"""Receives changes from other hosts while this host does not watch the platform.

Changes are fetched from hosts of the local failure domain first. Hosts of other domains
are queried after a delay, so that only a few local hosts fetch from them. Large objects
are fetched in parts, from any host that has them (:mod:`passtally.object_transfer`).
"""

import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from datetime import timedelta
from functools import partial

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
    AnswerRateLimit,
    ObjectTransfer,
    TransferError,
    pack_listing,
    split_large,
    unpack_listing,
)
from passtally.peers import PeerError, Peers, UnknownPeerError
from passtally.roster import Roster
from passtally.silent_hosts import SilentHosts
from passtally.task_set import TaskSet
from passtally.view import View

#: Timeout of a request for changes; its answer holds no large object. A saturated link
#: of 5 Mbit/s delays the answer by 180 ms.
FETCH_TIMEOUT = timedelta(milliseconds=400)
#: Difference between the delays of consecutive hosts of a failure domain before they
#: fetch from another domain. One copy is sent between the domains, and the other hosts
#: fetch theirs from the host that has it. A configuration of 2,000 routes takes 40 ms.
REMOTE_DELAY_STEP = timedelta(milliseconds=100)
#: Number of preceding hosts beyond which the delay no longer grows.
MAX_DELAYED_HOSTS = 8


class ViewLearner:
    """Applies changes from other hosts to the views, and answers their requests.

    Args:
        host_id: The local host's name.
        views_by_prefix: The views.
        peers: The links to other hosts.
        roster: The reachable hosts.
        clock: The clock.
        rng: The random source for the choice among hosts with the same version.
        is_up: Returns whether this host's own watches are up. If so, it fetches from
            other hosts only during a backlog of changes.
        on_applied: Called after changes were fetched and applied that this host can
            pass on.
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
        on_applied: Callable[[], Awaitable[object]],
    ) -> None:
        self._host_id = host_id
        self._views_by_prefix = views_by_prefix
        self._peers = peers
        self._roster = roster
        self._clock = clock
        self._rng = rng
        self._is_up = is_up
        self._on_applied = on_applied
        #: Last reported versions of the hosts of this domain, watchers or not.
        self._versions_by_host: dict[str, Mapping[str, int]] = {}
        self._silent = SilentHosts()
        #: Prefixes with a request for changes in flight.
        self._querying: set[str] = set()
        #: Prefixes with a transfer of large objects in progress. Changes with large
        #: objects that arrive meanwhile are not applied; during a request they are.
        self._fetching: set[str] = set()
        self._transfer = ObjectTransfer(
            host_id=host_id,
            peers=peers,
            clock=clock,
            rng=rng,
            silent=self._silent,
            find=self._find,
        )
        self._pace = AnswerRateLimit()
        self._tasks = TaskSet()
        peers.on(FetchConfig, self._answer)
        peers.listen(ViewChanges, self.receive_changes)

    def rename(self, host_id: str) -> None:
        """Change the name of the local host."""
        self._host_id = host_id
        self._transfer.host_id = host_id

    async def stop(self) -> None:
        """Cancel all fetches."""
        await self._tasks.cancel()

    def receive_changes(self, message: ViewChanges) -> None:
        """Apply changes from a watcher, unless earlier changes are missing."""
        view = self._views_by_prefix.get(message.prefix)
        if view is None:
            return
        if message.large:
            newest = max(ref.version for ref in message.large)
            self.record_versions(message.host_id, {message.prefix: newest})
        # Earlier changes are missing; catch_up() requests them all.
        if message.since > view.mirror.newest:
            return
        if not message.large:
            self._apply_changes(view, unpack_listing(message.listing))
        elif self._may_fetch(view) and view.prefix not in self._fetching:
            self._tasks.spawn(
                self._apply_received(
                    view, message.host_id, message.listing, message.large
                )
            )

    def record_versions(self, host_id: str, versions: Mapping[str, int]) -> None:
        """Record the versions that a host reports."""
        known = self._versions_by_host.get(host_id, {})
        self._versions_by_host[host_id] = {**known, **versions}

    def is_behind(self, prefix: str) -> bool:
        """Return whether another host is known to have a newer version."""
        view = self._views_by_prefix[prefix]
        newest = view.mirror.newest
        return bool(
            self._newer_local_ids(prefix, newest)
            or self._newer_remote_rows(prefix, newest)
        )

    def time_behind(self, prefix: str) -> timedelta:
        """Return the time since another host is known to have a newer version."""
        since = self._views_by_prefix[prefix].behind_since
        return timedelta(0) if since is None else self._clock.monotonic() - since

    def catch_up(self, now: timedelta) -> None:
        """Fetch newer versions from other hosts while this host's watches are down."""
        for view in self._views_by_prefix.values():
            is_behind = self._may_fetch(view) and self.is_behind(view.prefix)
            view.behind_since = (view.behind_since or now) if is_behind else None
            if not is_behind or view.prefix in self._querying | self._fetching:
                continue
            host_id = self._choose_source(view, now)
            if host_id is not None:
                self._tasks.spawn(self._fetch(view, host_id))

    def _may_fetch(self, view: View) -> bool:
        """Return whether changes of a view are fetched from other hosts.

        A watcher with a backlog waits for its turn to list, and others may be ahead.
        """
        return not self._is_up() or view.follower.is_backlogged

    def _choose_source(self, view: View, now: timedelta) -> str | None:
        """Return a host to fetch from; hosts of other domains only after a delay."""
        newest = view.mirror.newest
        local = self._newer_local_ids(view.prefix, newest)
        remote = self._newer_remote_rows(view.prefix, newest)
        if now - view.behind_since < self._remote_delay():
            remote = []
        remote.sort(key=lambda row: row.versions_by_prefix[view.prefix], reverse=True)
        self._rng.shuffle(local)
        candidates = [*local, *(row.host_id for row in remote)]
        # Hosts that did not answer recently are the last choice.
        candidates.sort(key=lambda name: self._silent.is_silent(name, now))
        return candidates[0] if candidates else None

    def _newer_local_ids(self, prefix: str, newest: int) -> list[str]:
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

    def _newer_remote_rows(self, prefix: str, newest: int) -> list[MemberRow]:
        """Return the rows of linked hosts of other domains with a newer version."""
        own = self._roster.failure_domain
        return [
            row
            for row in self._roster.linked()
            if row.failure_domain != own
            and row.versions_by_prefix.get(prefix, 0) > newest
        ]

    def _remote_delay(self) -> timedelta:
        """Return the delay before this host fetches from another domain."""
        preceding_ids = [
            name for name in self._roster.domain_ids() if name < self._host_id
        ]
        return min(len(preceding_ids), MAX_DELAYED_HOSTS) * REMOTE_DELAY_STEP

    async def _fetch(self, view: View, host_id: str) -> None:
        self._querying.add(view.prefix)
        message = FetchConfig(after=view.mirror.newest, prefix=view.prefix)
        try:
            reply = await self._peers.ask(host_id, message, timeout=FETCH_TIMEOUT)
        except PeerError as error:
            log_event("watch", "Peer did not answer.", peer=host_id, why=error)
            self._versions_by_host.pop(host_id, None)
            if not isinstance(error, UnknownPeerError):
                self._silent.record_silence(host_id, self._clock.monotonic())
            return
        finally:
            self._querying.discard(view.prefix)
        if isinstance(reply, ConfigChanges) and view.prefix not in self._fetching:
            await self._apply_received(view, host_id, reply.listing, reply.large)

    async def _apply_received(
        self, view: View, host_id: str, packed: bytes, large: Sequence[ObjectRef]
    ) -> None:
        """Apply changes from a peer, after fetching their large objects."""
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
        changed = self._apply_changes(view, attrs.evolve(listing, objects=objects))
        log_event(
            "watch",
            "Learned from a peer.",
            peer=host_id,
            prefix=view.prefix,
            version=view.mirror.newest,
            changed=len(changed),
        )
        if changed:
            await self._on_applied()

    def _apply_changes(self, view: View, changes: Listing) -> list[StoredObject]:
        """Apply changes from a peer, and return the objects that changed."""
        changed = view.mirror.advance(changes)
        view.apply(changed)
        return changed

    def _holders(self, prefix: str, ref: ObjectRef, first_id: str) -> set[str]:
        """Return the hosts that probably have a state of an object.

        Args:
            prefix: The prefix of the object's view.
            ref: The state of the object.
            first_id: The host that announced it.
        """
        return {first_id, *self._newer_local_ids(prefix, ref.version - 1)}

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
