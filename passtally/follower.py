"""Follows objects of the platform: one listing, then a watch, for ever."""

import random
from collections.abc import Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.object_store import (
    WATCH_TIMEOUT,
    Listing,
    Platform,
    PlatformError,
    TooOldError,
)

INITIAL_RETRY_DELAY = timedelta(milliseconds=100)
MAX_RETRY_DELAY = timedelta(seconds=2)
#: An answer of more bytes takes a tenth of a second of a link of 10 Mbit/s, or longer.
#: Changes gather while it comes, so no pause follows it: where 527 KB change every
#: 200 ms a host is 1.6 s behind, and 2.9 s with a pause.
LARGE_ANSWER = 128 * 1024


class Follower:
    """Keeps a view of all objects under one prefix up to date.

    After an outage the watch goes on where it was: a listing is asked for only where
    the platform no longer keeps the changes in between, so that hosts do not all list
    at once; after a long outage, if so told; and while changes pile up.

    Changes pile up where a watch brings states that others in the same answer replace,
    and more bytes than a listing, which has only the newest state of each object. Where
    the configuration changes every 200 ms, the slowest change takes 0.8 s by listings
    and 3.0 s by watches (100 KB, 5 Mbit/s), or 2.3 s and 23.4 s (527 KB, 10 Mbit/s;
    test_piled_changes). Listings are asked for no longer than half of the time.

    Args:
        prefix: What the keys start with.
        platform: Where the objects are.
        clock: The clock.
        rng: Where the jitter comes from.
        replace: Called with each whole listing.
        advance: Called with the changes that each watch brings, also when none.
        relist_pause: Returns within which time hosts list again.
        wait: How long one watch waits for a change, a pause before it included.
        pause: How long changes are gathered before the next watch asks for them.
        max_retry_delay: The longest pause between two tries.
        out_of_date_after: After how long without news a listing takes the place of the
            first watch; None for never. A watch brings all states since then.
        reach_changed: Called when the watch goes down or up.
    """

    def __init__(
        self,
        *,
        prefix: str,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        replace: Callable[[Listing], None],
        advance: Callable[[Listing], None],
        relist_pause: Callable[[], timedelta],
        wait: timedelta = WATCH_TIMEOUT,
        pause: timedelta = timedelta(0),
        max_retry_delay: timedelta = MAX_RETRY_DELAY,
        out_of_date_after: timedelta | None = None,
        reach_changed: Callable[[bool], None] = lambda is_watching: None,
    ) -> None:
        self.is_watching = False
        self.version = 0
        self._prefix = prefix
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._replace = replace
        self._advance = advance
        self._relist_pause = relist_pause
        self._wait = wait
        self._pause = pause
        self._max_retry_delay = max_retry_delay
        self._out_of_date_after = out_of_date_after
        self._reach_changed = reach_changed
        self._delay = INITIAL_RETRY_DELAY
        self._known_at: timedelta | None = None
        self._listed_bytes = 0
        self._piles_up = False

    def pace(self, *, wait: timedelta, pause: timedelta) -> None:
        """Let further watches wait, and gather changes, for other times."""
        self._wait = wait
        self._pause = pause

    async def run(self, *, after: int = 0) -> None:
        """List, then watch, for ever.

        Args:
            after: The version that is known already; 0 to list first.
        """
        must_list = not after
        self.version = after
        while True:
            try:
                if must_list:
                    await self.learn()
                    must_list = False
                await self._watch()
            except TooOldError:
                must_list = True
                log_event("watch", "Too old, listing again.", prefix=self._prefix)
                await self._sleep(self._relist_pause())
            except PlatformError as error:
                await self._back_off(error)

    async def learn(self) -> None:
        """List once; tries until the platform answers."""
        while True:
            try:
                await self._list()
                return
            except PlatformError as error:
                await self._back_off(error)

    async def _back_off(self, error: PlatformError) -> None:
        """Wait before the next try, longer each time until a watch is up again."""
        if self.is_watching:
            self._delay = INITIAL_RETRY_DELAY
        self._record_reachability(False, why=error)
        await self._sleep(self._delay)
        self._delay = min(2 * self._delay, self._max_retry_delay)

    async def _list(self) -> bool:
        """List, and return whether anything is new since the last answer."""
        listing = await self._platform.list_objects(self._prefix)
        known, self.version = self.version, listing.version
        self._known_at = self._clock.monotonic()
        self._listed_bytes = _count_bytes(listing)
        self._replace(listing)
        return any(stored.version > known for stored in listing.objects)

    async def _watch(self) -> None:
        # The first one does not wait, to tell that the platform is back.
        wait = timedelta(0)
        while True:
            if self._piles_up:
                pause = await self._list_piled()
            elif self._is_out_of_date():
                await self._list()
                self._record_reachability(True, version=self.version)
                pause = self._pause
            else:
                pause = await self._ask(wait)
            wait = self._wait
            if pause:
                await self._clock.sleep(pause)
                # The pause counts: a store that falls silent is noticed as soon after
                # the last answer as if nothing had changed.
                wait = max(self._wait - pause, timedelta(0))

    async def _ask(self, wait: timedelta) -> timedelta:
        """Watch once, and return how long to gather changes before the next time."""
        changes = await self._platform.watch(
            self._prefix, after=self.version, wait=wait
        )
        self._record_reachability(True, version=changes.version)
        self.version = max(self.version, changes.version)
        self._known_at = self._clock.monotonic()
        self._piles_up = (
            _has_superseded(changes) and _count_bytes(changes) > self._listed_bytes
        )
        self._advance(changes)
        gathers = bool(changes.objects) and _count_bytes(changes) <= LARGE_ANSWER
        return self._pause if gathers else timedelta(0)

    async def _list_piled(self) -> timedelta:
        """List once, and return how long to leave the link to others then."""
        began = self._clock.monotonic()
        self._piles_up = await self._list()
        took = self._clock.monotonic() - began
        self._record_reachability(True, version=self.version)
        return max(self._pause, took) if self._piles_up else timedelta(0)

    def _is_out_of_date(self) -> bool:
        if self._out_of_date_after is None or self._known_at is None:
            return False
        age = self._clock.monotonic() - self._known_at
        return age > self._out_of_date_after

    def _record_reachability(self, is_watching: bool, **fields: object) -> None:
        if is_watching == self.is_watching:
            return
        self.is_watching = is_watching
        sentence = "Up." if is_watching else "Lost."
        log_event("watch", sentence, prefix=self._prefix, **fields)
        self._reach_changed(is_watching)

    async def _sleep(self, longest: timedelta) -> None:
        await self._clock.sleep(self._rng.uniform(0.5, 1) * longest)


def _count_bytes(listing: Listing) -> int:
    return sum(len(bytes(stored.value)) for stored in listing.objects)


def _has_superseded(changes: Listing) -> bool:
    """Return whether there is more than one state of some object."""
    return len({stored.key for stored in changes.objects}) < len(changes.objects)
