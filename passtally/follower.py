"""Keeps track of the platform's objects by a listing and then repeated watches."""

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

#: Initial and maximum delay before a failed call is retried.
INITIAL_RETRY_DELAY = timedelta(milliseconds=100)
MAX_RETRY_DELAY = timedelta(seconds=2)
#: Number of failed calls before the first answer after which the delay begins to
#: double. They cover the time for which callers of a starting host wait for it.
STEADY_RETRIES = 6
#: Size in bytes above which an answer takes at least 0.1 s on a link of 10 Mbit/s.
#: Further changes gather during its transfer, so no pause follows it. With 527 KB
#: changed every 200 ms, a host is then 1.6 s behind instead of 2.9 s.
LARGE_ANSWER = 128 * 1024


class Follower:
    """Keeps a view of all objects under one prefix up to date.

    After an outage the watch continues from the last known version, so that not all
    hosts list at once. It lists again only if the platform no longer keeps the changes
    in between, after an outage longer than ``out_of_date_after``, or during a backlog
    of changes.

    There is a backlog if an answer of a watch contains superseded states of objects and
    has more bytes than a listing, which holds only the newest state of each object.
    With a configuration change every 200 ms, the slowest change takes 0.8 s by listings
    and 3.0 s by watches (100 KB, 5 Mbit/s), or 2.3 s and 23.4 s (527 KB, 10 Mbit/s;
    test_piled_changes). Listings take up at most half of the time. Several hosts with a
    backlog list by turns, and learn from each other (:mod:`passtally.view_learner`).

    A large answer also begins a backlog, since on a slow link several states gather
    during its transfer, and a watch would bring all of them.

    Args:
        prefix: The key prefix of the objects.
        platform: The client of the platform's object API.
        clock: The clock.
        rng: The random source for the jitter of delays.
        replace: Called with each complete listing.
        advance: Called with the changes of each watch, also if there are none.
        relist_pause: Returns the maximum random delay before hosts list again.
        wait: The time that one watch waits for a change, including a pause before it.
        pause: The time in which changes are gathered before the next watch.
        max_retry_delay: The maximum delay before a retry.
        out_of_date_after: The time without an answer after which the first call is a
            listing instead of a watch, which would return all states since then; None
            for never.
        reach_changed: Called when the watch goes up or down, with whether it is up.

    Attributes:
        is_watching: Whether the watch is up.
        version: The version of the last answer.
        is_backlogged: Whether there is a backlog of changes.
        turn: Returns the turn of this host in a backlog, as a share of the cycle of a
            listing and a pause.
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
        self._failures = 0
        self._updated_at: timedelta | None = None
        self._listed_bytes = 0
        self.is_backlogged = False
        self._seconds_per_byte = 0.0
        self.turn: Callable[[], float] = lambda: 0.0

    def set_pace(self, *, wait: timedelta, pause: timedelta) -> None:
        """Change the wait and the pause of later watches."""
        self._wait = wait
        self._pause = pause

    async def run(self, *, after: int = 0) -> None:
        """List, then watch, until cancelled.

        Args:
            after: The version to watch from without a listing; 0 to list first.
        """
        must_list = not after
        self.version = after
        while True:
            try:
                if must_list:
                    await self.list_once()
                    must_list = False
                await self._watch()
            except TooOldError:
                must_list = True
                log_event(
                    "watch",
                    "Version too old to watch, listing again.",
                    prefix=self._prefix,
                )
                await self._sleep(self._relist_pause())
            except PlatformError as error:
                await self._back_off(error)

    async def list_once(self) -> None:
        """List once, and retry until the platform answers."""
        while True:
            try:
                await self._list()
                return
            except PlatformError as error:
                await self._back_off(error)

    async def _back_off(self, error: PlatformError) -> None:
        """Sleep before a retry; the delay doubles until a watch is up again."""
        if self.is_watching:
            self._delay = INITIAL_RETRY_DELAY
        self._record_reachability(False, why=error)
        await self._sleep(self._delay)
        self._failures += 1
        if self._updated_at is not None or self._failures >= STEADY_RETRIES:
            self._delay = min(2 * self._delay, self._max_retry_delay)

    async def _list(self) -> bool:
        """List, and return whether any object changed since the last answer."""
        started_at = self._clock.monotonic()
        listing = await self._platform.list_objects(self._prefix)
        known, self.version = self.version, listing.version
        self._updated_at = self._clock.monotonic()
        self._listed_bytes = _count_bytes(listing)
        duration = self._updated_at - started_at
        if self._listed_bytes:
            self._seconds_per_byte = duration.total_seconds() / self._listed_bytes
        self._replace(listing)
        return any(stored.version > known for stored in listing.objects)

    async def _watch(self) -> None:
        # The first watch does not wait for changes, so that it shows at once that the
        # platform is reachable again.
        wait = timedelta(0)
        while True:
            if self.is_backlogged:
                pause = await self._list_backlog()
            elif self._is_out_of_date():
                await self._list()
                self._record_reachability(True, version=self.version)
                pause = self._pause
            else:
                pause = await self._watch_once(wait)
            wait = self._wait
            if pause:
                await self._clock.sleep(pause)
                # The pause is part of the wait. So the loss of the store is detected as
                # soon after the last answer as without a pause.
                wait = max(self._wait - pause, timedelta(0))

    async def _watch_once(self, wait: timedelta) -> timedelta:
        """Watch once, and return the pause before the next call."""
        changes = await self._platform.watch(
            self._prefix, after=self.version, wait=wait
        )
        self._record_reachability(True, version=changes.version)
        self.version = max(self.version, changes.version)
        self._updated_at = self._clock.monotonic()
        self._advance(changes)
        size = _count_bytes(changes)
        is_piled = _has_superseded(changes) and size > self._listed_bytes
        if is_piled or size > LARGE_ANSWER:
            self.is_backlogged = True
            return self.turn() * 2 * self._expected_duration(changes)
        return self._pause if size else timedelta(0)

    async def _list_backlog(self) -> timedelta:
        """List once in a backlog, and return the pause that leaves the link free."""
        started_at = self._clock.monotonic()
        self.is_backlogged = await self._list()
        duration = self._clock.monotonic() - started_at
        self._record_reachability(True, version=self.version)
        return max(self._pause, duration) if self.is_backlogged else timedelta(0)

    def _expected_duration(self, changes: Listing) -> timedelta:
        """Return how long a listing takes after changes, by the last listing's pace."""
        newest_by_key = {stored.key: stored for stored in changes.objects}
        size = sum(len(bytes(stored.value)) for stored in newest_by_key.values())
        return timedelta(seconds=size * self._seconds_per_byte)

    def _is_out_of_date(self) -> bool:
        if self._out_of_date_after is None or self._updated_at is None:
            return False
        age = self._clock.monotonic() - self._updated_at
        return age > self._out_of_date_after

    def _record_reachability(self, is_watching: bool, **fields: object) -> None:
        if is_watching == self.is_watching:
            return
        self.is_watching = is_watching
        message = "Watch established." if is_watching else "Watch lost."
        log_event("watch", message, prefix=self._prefix, **fields)
        self._reach_changed(is_watching)

    async def _sleep(self, max_delay: timedelta) -> None:
        await self._clock.sleep(self._rng.uniform(0.5, 1) * max_delay)


def _count_bytes(listing: Listing) -> int:
    return sum(len(bytes(stored.value)) for stored in listing.objects)


def _has_superseded(changes: Listing) -> bool:
    """Return whether the changes hold more than one state of an object."""
    return len({stored.key for stored in changes.objects}) < len(changes.objects)
