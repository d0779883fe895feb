"""Fetches the routes in force from other hosts after a restore of the store.

A store that was restored from an older copy holds older routes until the operator
writes again. Hosts that run keep the newer routes in force. A host that starts in the
meantime lists the older ones and would answer 404 for routes that its neighbours serve.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.messages import FetchRoutes, RoutesFound
from passtally.object_store import StoredObject
from passtally.object_transfer import pack_listing, unpack_listing
from passtally.peers import PeerError, Peers
from passtally.routes import ActiveRoutes
from passtally.store_order import era_of

#: Time after the start in which other hosts are asked.
START_TIME = timedelta(seconds=3)
#: Interval between checks for hosts that were not asked yet.
CHECK_INTERVAL = timedelta(milliseconds=20)
#: Timeout of one question; the answer may hold 40 KB, 64 ms on a link of 5 Mbit/s.
ASK_TIMEOUT = timedelta(milliseconds=500)
#: Number of hosts that are asked. One that has just started may not know better either.
MAX_ASKED = 3


class RoutesExchange:
    """Fetches newer routes after the start, and answers hosts that start later.

    Args:
        routes: The routes in force.
        apply: Applies changed routes.
        peers: The links to other hosts.
        linked_ids: Returns the hosts that this host has a link to.
        has_seeds: Returns whether this host is to have links to other hosts.
        clock: The clock.
    """

    def __init__(
        self,
        *,
        routes: ActiveRoutes,
        apply: Callable[[Sequence[StoredObject]], None],
        peers: Peers,
        linked_ids: Callable[[], Sequence[str]],
        has_seeds: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._routes = routes
        self._apply = apply
        self._peers = peers
        self._linked_ids = linked_ids
        self._has_seeds = has_seeds
        self._clock = clock
        self._was_answered = False
        peers.on(FetchRoutes, self._answer)

    @property
    def may_be_behind(self) -> bool:
        """Whether the routes may be of a restored copy and no host has answered yet."""
        if self._was_answered or not (self._has_seeds() or self._linked_ids()):
            return False
        return self._is_of_restored_store

    async def run(self) -> None:
        """Ask other hosts for newer routes for a limited time after the start."""
        until = self._clock.monotonic() + START_TIME
        asked: set[str] = set()
        while len(asked) < MAX_ASKED and self._clock.monotonic() < until:
            await self._clock.sleep(CHECK_INTERVAL)
            if not self._is_of_restored_store:
                continue
            for host_id in self._linked_ids():
                if host_id not in asked and await self._ask(host_id):
                    asked.add(host_id)
                    self._was_answered = True
        self._was_answered = True

    @property
    def _is_of_restored_store(self) -> bool:
        source = self._routes.source
        return source is not None and era_of(source.version) > 0

    async def _ask(self, host_id: str) -> bool:
        """Apply a host's routes if they are newer; return whether it answered."""
        message = FetchRoutes(newer_than=self._routes.current.version)
        try:
            reply = await self._peers.ask(host_id, message, timeout=ASK_TIMEOUT)
            found = unpack_listing(reply.listing).objects if reply.listing else ()
        except (PeerError, ValueError) as error:
            log_event(
                "config", "Host did not tell its routes.", peer=host_id, why=error
            )
            return False
        era = era_of(self._routes.source.version)
        # Of the same era, this host gets them from the store; a later era is another
        # store's.
        self._apply([stored for stored in found if era_of(stored.version) < era])
        return True

    async def _answer(self, message: FetchRoutes) -> RoutesFound:
        current, source = self._routes.current, self._routes.source
        if current is None or source is None or current.version <= message.newer_than:
            return RoutesFound()
        return RoutesFound(listing=pack_listing(source.version, [source]))
