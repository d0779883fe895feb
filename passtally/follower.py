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

FIRST_RETRY = timedelta(milliseconds=100)
LAST_RETRY = timedelta(seconds=2)


class Follower:
    """Keeps a view of all objects under one prefix up to date.

    After an outage the watch goes on where it was: a listing is asked for only
    where the platform no longer keeps the changes in between, so that hosts do
    not all list at once.

    Args:
        prefix: What the keys start with.
        platform: Where the objects are.
        clock: The clock.
        rng: Where the jitter comes from.
        replace: Called with each whole listing.
        advance: Called with the changes that each watch brings, also when none.
        relist_pause: Returns within which time hosts list again.
        wait: How long one watch waits for a change.
        pause: How long changes are gathered before the next watch asks for them.
        last_retry: The longest pause between two tries.
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
        last_retry: timedelta = LAST_RETRY,
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
        self._last_retry = last_retry
        self._reach_changed = reach_changed
        self._delay = FIRST_RETRY

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
                return await self._list()
            except PlatformError as error:
                await self._back_off(error)

    def skip_to(self, version: int) -> None:
        """Watch from a version on: all changes up to it came by another way.

        An answer holds each state of each object since then. After 9 s without the
        platform, beside a change of 14 KB every 200 ms, these are 45 states, a second
        of a link of 5 Mbit/s in which the next change waits.
        """
        self.version = max(self.version, version)

    async def _back_off(self, error: PlatformError) -> None:
        """Wait before the next try, longer each time until a watch is up again."""
        if self.is_watching:
            self._delay = FIRST_RETRY
        self._note_reach(False, why=error)
        await self._sleep(self._delay)
        self._delay = min(2 * self._delay, self._last_retry)

    async def _list(self) -> None:
        listing = await self._platform.list_objects(self._prefix)
        self.version = listing.version
        self._replace(listing)

    async def _watch(self) -> None:
        # The first one does not wait, to tell that the platform is back.
        wait = timedelta(0)
        while True:
            changes = await self._platform.watch(
                self._prefix, after=self.version, wait=wait
            )
            wait = self._wait
            self._note_reach(True, version=changes.version)
            self.version = max(self.version, changes.version)
            self._advance(changes)
            if changes.objects and self._pause:
                await self._clock.sleep(self._pause)

    def _note_reach(self, is_watching: bool, **fields: object) -> None:
        if is_watching == self.is_watching:
            return
        self.is_watching = is_watching
        sentence = "Up." if is_watching else "Lost."
        log_event("watch", sentence, prefix=self._prefix, **fields)
        self._reach_changed(is_watching)

    async def _sleep(self, longest: timedelta) -> None:
        await self._clock.sleep(self._rng.uniform(0.5, 1) * longest)
