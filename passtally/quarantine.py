"""Requests under which endpoints ended, and those of them that are refused. Pure.

A request may end each endpoint that begins to run it, and comes again, at any host.
What all its tries have in common is its fingerprint, see :mod:`passtally.fingerprint`.
Most requests whose endpoint ends did not end it: so ends are counted by endpoint, and a
single good end of the request shows that none of them were its doing.

Hosts tell each other what they counted. What is told only grows, the ends as well as
those of them that are cleared, so that it may come twice, late and by any way.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from datetime import timedelta

import attrs

from passtally.messages import CrashRow
from passtally.objects import EndpointStart

#: How many endpoints may end under a request before it is refused.
MAX_CRASHES = 3
#: For how long after its last end a request is refused, and its ends are remembered.
RETENTION_TIME = timedelta(minutes=10)
#: For how long after a good end no end of an endpoint counts against a request. One
#: that many callers send alike meets many of both on a bad day.
TRUSTED_FOR = timedelta(minutes=1)
#: The most requests whose ends are remembered; who sends more loses the oldest.
MAX_SUSPECTS = 512
#: For how long other hosts are told of a request under which a single endpoint ended.
#: Where many end at once, so many are innocent that not all can be told in that time.
SINGLE_CRASH_SEND_TIME = timedelta(seconds=2)
#: The most requests whose good end is remembered, some 64 a second.
MAX_TRUSTED = 4096
#: The most ends that are remembered of one request.
MAX_NAMED = 16


@attrs.define(kw_only=True)
class Suspect:
    """What is known of one request under which endpoints ended.

    Attributes:
        fingerprint: The request.
        crashed: The starts of endpoints that ended under it, in the order heard.
        cleared: Those of them that are known not to be its doing.
        last_crash_at: When the last one ended, on this host's monotonic clock.
        sent_at: When other hosts were last told of it; None while there is news.
    """

    fingerprint: bytes
    crashed: dict[str, None] = attrs.field(factory=dict)
    cleared: set[str] = attrs.field(factory=set)
    last_crash_at: timedelta
    sent_at: timedelta | None = None

    @property
    def open_crashes(self) -> list[str]:
        """The starts of endpoints that may have ended by it."""
        return [start for start in self.crashed if start not in self.cleared]

    @property
    def is_quarantined(self) -> bool:
        """Whether it is refused."""
        return len(self.open_crashes) >= MAX_CRASHES

    def merge(self, crashed: Iterable[str], cleared: Collection[str]) -> bool:
        """Add what is not known, and return whether there was any."""
        before = len(self.crashed), len(self.cleared)
        for start in (*crashed, *cleared):
            if len(self.crashed) < MAX_NAMED:
                self.crashed.setdefault(start)
        self.cleared |= self.crashed.keys() & set(cleared)
        return before != (len(self.crashed), len(self.cleared))


class Quarantine:
    """The requests under which endpoints ended, as far as this host knows."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self._trusted_at: OrderedDict[bytes, timedelta] = OrderedDict()

    def record_crash(
        self, fingerprint: bytes, start: EndpointStart, *, now: timedelta
    ) -> Suspect | None:
        """Take in that an endpoint ended while it ran a request.

        Returns:
            What is known of the request now; None where it ended well a moment ago.
        """
        if not fingerprint or self._is_trusted(fingerprint, now):
            return None
        suspect = self._take(fingerprint, crashed_at=now)
        if suspect.merge([_name_of(start)], ()):
            suspect.sent_at = None
        return suspect

    def record_success(self, fingerprint: bytes, *, now: timedelta) -> bool:
        """Take in that an endpoint ran a request to a good end.

        Returns:
            Whether that clears it of ends of endpoints.
        """
        if not fingerprint:
            return False
        self._trusted_at[fingerprint] = now
        self._trusted_at.move_to_end(fingerprint)
        if len(self._trusted_at) > MAX_TRUSTED:
            self._trusted_at.popitem(last=False)
        return self.lift(fingerprint)

    def lift(self, fingerprint: bytes) -> bool:
        """Clear a request of all ends so far; return whether there were any."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.open_crashes:
            return False
        suspect.merge((), list(suspect.crashed))
        suspect.sent_at = None
        return True

    def find(self, fingerprint: bytes, *, now: timedelta) -> Suspect | None:
        """Return what is known of a request, if an endpoint may have ended by it."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last_crash_at > RETENTION_TIME:
            return None
        return suspect if suspect.open_crashes else None

    def remaining(self, fingerprint: bytes, *, now: timedelta) -> timedelta | None:
        """Return how long a request is still refused, or None if it is not."""
        suspect = self.find(fingerprint, now=now)
        if suspect is None or not suspect.is_quarantined:
            return None
        return RETENTION_TIME - (now - suspect.last_crash_at)

    def held(self, *, now: timedelta) -> list[Suspect]:
        """Return the requests that are refused."""
        self._forget_old(now)
        return [
            suspect for suspect in self._suspects.values() if suspect.is_quarantined
        ]

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of any request."""
        return not self._suspects

    def rows(self, *, now: timedelta) -> list[CrashRow]:
        """Return what matters, to tell it to a host that has just started."""
        self._forget_old(now)
        return [
            _row_of(suspect, now)
            for suspect in self._suspects.values()
            if len(suspect.crashed) > 1
        ]

    def pop_updates(
        self, most: int, *, now: timedelta, told_before: timedelta
    ) -> list[CrashRow]:
        """Return what other hosts are to be told, and count it as told.

        Args:
            most: How many at most: news first, and of it the most endpoints.
            now: The monotonic time.
            told_before: What has not changed is told again if that was last done
                before then, and more than one endpoint ended: most requests under
                which a single one ended are innocent, and many on a bad day.
        """
        self._forget_old(now)
        self._drop_old_news(now)
        due = [
            suspect
            for suspect in self._suspects.values()
            if suspect.sent_at is None
            or (suspect.sent_at <= told_before and len(suspect.open_crashes) > 1)
        ]
        due.sort(key=_urgency)
        for suspect in due[:most]:
            suspect.sent_at = now
        return [_row_of(suspect, now) for suspect in due[:most]]

    @property
    def has_updates(self) -> bool:
        """Whether something has changed that other hosts were not told."""
        return any(suspect.sent_at is None for suspect in self._suspects.values())

    @property
    def has_urgent_updates(self) -> bool:
        """Whether hosts were not told of one under which several endpoints ended."""
        return any(
            suspect.sent_at is None and len(suspect.open_crashes) > 1
            for suspect in self._suspects.values()
        )

    def merge(self, row: CrashRow, *, now: timedelta) -> Suspect | None:
        """Take in what another host tells.

        Returns:
            What is known of the request now, where something was new.
        """
        age = timedelta(milliseconds=row.age_ms)
        count = len(row.crashed) + len(row.cleared)
        if age > RETENTION_TIME or not count:
            return None
        if row.fingerprint not in self._suspects and not self._make_room(count):
            return None
        suspect = self._take(row.fingerprint, crashed_at=now - age)
        is_new = suspect.merge(row.crashed, row.cleared)
        if is_new and self._is_trusted(row.fingerprint, now):
            suspect.merge((), list(suspect.crashed))
        if not is_new:
            return None
        suspect.sent_at = None
        return suspect

    def _take(self, fingerprint: bytes, *, crashed_at: timedelta) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = Suspect(fingerprint=fingerprint, last_crash_at=crashed_at)
            self._suspects[fingerprint] = suspect
        suspect.last_crash_at = max(suspect.last_crash_at, crashed_at)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _make_room(self, count: int) -> bool:
        """Return whether there is room for what another host tells.

        It takes the place only of one under which fewer endpoints ended: hosts that
        forget different ones would tell each other of them for ever.
        """
        if len(self._suspects) < MAX_SUSPECTS:
            return True
        least = min(self._suspects.values(), key=lambda known: len(known.crashed))
        if len(least.crashed) >= count:
            return False
        del self._suspects[least.fingerprint]
        return True

    def _drop_old_news(self, now: timedelta) -> None:
        for suspect in self._suspects.values():
            is_old = now - suspect.last_crash_at > SINGLE_CRASH_SEND_TIME
            if suspect.sent_at is None and is_old and len(suspect.crashed) == 1:
                suspect.sent_at = now

    def _is_trusted(self, fingerprint: bytes, now: timedelta) -> bool:
        at = self._trusted_at.get(fingerprint)
        return at is not None and now - at <= TRUSTED_FOR

    def _forget_old(self, now: timedelta) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            if now - suspect.last_crash_at > RETENTION_TIME:
                del self._suspects[fingerprint]


def _urgency(suspect: Suspect) -> tuple[timedelta, int]:
    return suspect.sent_at or timedelta.min, -len(suspect.open_crashes)


def _name_of(start: EndpointStart) -> str:
    return f"{start.endpoint_id}/{start.incarnation}"


def _row_of(suspect: Suspect, now: timedelta) -> CrashRow:
    return CrashRow(
        fingerprint=suspect.fingerprint,
        crashed=suspect.open_crashes,
        cleared=sorted(suspect.cleared),
        age_ms=round((now - suspect.last_crash_at) / timedelta(milliseconds=1)),
    )
