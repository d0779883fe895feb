"""Requests whose endpoints crashed, and which of them are quarantined. Pure.

A request may crash every endpoint that starts to run it, and its caller may retry it at
any host. All retries share a fingerprint, see :mod:`passtally.fingerprint`. Most
requests that run on a crashing endpoint did not cause the crash. Crashes are therefore
counted once per start of an endpoint, and a single success of the request clears it of
all crashes so far.

Hosts exchange these counts. The sets of crashes and of cleared crashes only grow, so
rows can be merged in any order, late, and more than once.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable
from datetime import timedelta

import attrs

from passtally.messages import CrashRow
from passtally.objects import EndpointStart

#: Number of endpoint crashes from which a request is quarantined.
MAX_CRASHES = 3
#: Duration of a quarantine, and of the memory of crashes, since the last crash.
RETENTION_TIME = timedelta(minutes=10)
#: Time after a success in which no crash counts against a request. A request that many
#: callers send identically both succeeds and meets crashes often when many endpoints
#: crash.
TRUST_TIME = timedelta(minutes=1)
#: Limit of requests whose crashes are remembered; the oldest is dropped beyond it.
MAX_SUSPECTS = 512
#: Time after the last crash in which a request with a single crash is sent to other
#: hosts. When many endpoints crash at once, too many innocent requests have a single
#: crash to send all of them in that time.
SINGLE_CRASH_SEND_TIME = timedelta(seconds=2)
#: Limit of requests whose success is remembered, enough for about 64 a second.
MAX_TRUSTED = 4096
#: Limit of starts of endpoints that are recorded for one request.
MAX_RECORDED_STARTS = 16


@attrs.define(kw_only=True)
class Suspect:
    """A request whose endpoints crashed while they ran it.

    Attributes:
        fingerprint: The fingerprint of the request.
        crashed: Starts of endpoints that crashed while running it, in order of receipt.
        cleared: Starts in ``crashed`` whose crash the request is known not to cause.
        last_crash_at: Time of the last crash, on this host's monotonic clock.
        sent_at: Time of the last update to other hosts; None while one is due.
    """

    fingerprint: bytes
    crashed: dict[str, None] = attrs.field(factory=dict)
    cleared: set[str] = attrs.field(factory=set)
    last_crash_at: timedelta
    sent_at: timedelta | None = None

    @property
    def open_crashes(self) -> list[str]:
        """Starts of endpoints whose crash the request may have caused."""
        return [start for start in self.crashed if start not in self.cleared]

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is refused because of its crashes."""
        return len(self.open_crashes) >= MAX_CRASHES

    def merge(self, crashed: Iterable[str], cleared: Collection[str]) -> bool:
        """Add crashes and cleared crashes, and return whether any of them was new."""
        before = len(self.crashed), len(self.cleared)
        for start in (*crashed, *cleared):
            if len(self.crashed) < MAX_RECORDED_STARTS:
                self.crashed.setdefault(start)
        self.cleared |= self.crashed.keys() & set(cleared)
        return before != (len(self.crashed), len(self.cleared))


class Quarantine:
    """The crash counts of requests, as far as they are known to this host."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self._trusted_at: OrderedDict[bytes, timedelta] = OrderedDict()

    def record_crash(
        self, fingerprint: bytes, start: EndpointStart, *, now: timedelta
    ) -> Suspect | None:
        """Count the crash of an endpoint against a request that it was running.

        Returns:
            The updated suspect; None if the request succeeded within ``TRUST_TIME``.
        """
        if not fingerprint or self._is_trusted(fingerprint, now):
            return None
        suspect = self._get_or_add(fingerprint, crashed_at=now)
        if suspect.merge([_start_name(start)], ()):
            suspect.sent_at = None
        return suspect

    def record_success(self, fingerprint: bytes, *, now: timedelta) -> bool:
        """Record that a request succeeded, which clears it of all crashes so far.

        Returns:
            Whether there were crashes to clear.
        """
        if not fingerprint:
            return False
        self._trusted_at[fingerprint] = now
        self._trusted_at.move_to_end(fingerprint)
        if len(self._trusted_at) > MAX_TRUSTED:
            self._trusted_at.popitem(last=False)
        return self.lift(fingerprint)

    def lift(self, fingerprint: bytes) -> bool:
        """Clear a request of all crashes so far, and return whether there were any."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.open_crashes:
            return False
        suspect.merge((), list(suspect.crashed))
        suspect.sent_at = None
        return True

    def find(self, fingerprint: bytes, *, now: timedelta) -> Suspect | None:
        """Return the suspect for a request, or None if no open crash is on record."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last_crash_at > RETENTION_TIME:
            return None
        return suspect if suspect.open_crashes else None

    def remaining(self, fingerprint: bytes, *, now: timedelta) -> timedelta | None:
        """Return the time left in a request's quarantine; None if not quarantined."""
        suspect = self.find(fingerprint, now=now)
        if suspect is None or not suspect.is_quarantined:
            return None
        return RETENTION_TIME - (now - suspect.last_crash_at)

    def list_quarantined(self, *, now: timedelta) -> list[Suspect]:
        """Return the quarantined requests."""
        self._remove_expired(now)
        return [
            suspect for suspect in self._suspects.values() if suspect.is_quarantined
        ]

    @property
    def is_empty(self) -> bool:
        """Whether no request has crashes on record."""
        return not self._suspects

    def rows(self, *, now: timedelta) -> list[CrashRow]:
        """Return the requests with several crashes, for a host that asks for them."""
        self._remove_expired(now)
        return [
            _to_row(suspect, now)
            for suspect in self._suspects.values()
            if len(suspect.crashed) > 1
        ]

    def pop_updates(
        self, most: int, *, now: timedelta, sent_before: timedelta
    ) -> list[CrashRow]:
        """Return the rows that are due to be sent to other hosts, and mark them sent.

        Args:
            most: Maximum number of rows. Unsent changes come first, and among these the
                requests with the most open crashes.
            now: The monotonic time.
            sent_before: Unchanged requests that were last sent at or before this time
                are sent again if they have more than one open crash. Those with a
                single crash are mostly innocent, and numerous when many endpoints
                crash.
        """
        self._remove_expired(now)
        self._expire_single_crashes(now)
        due = [
            suspect
            for suspect in self._suspects.values()
            if suspect.sent_at is None
            or (suspect.sent_at <= sent_before and len(suspect.open_crashes) > 1)
        ]
        due.sort(key=_send_order)
        for suspect in due[:most]:
            suspect.sent_at = now
        return [_to_row(suspect, now) for suspect in due[:most]]

    @property
    def has_updates(self) -> bool:
        """Whether there are changes that were not sent to other hosts."""
        return any(suspect.sent_at is None for suspect in self._suspects.values())

    @property
    def has_urgent_updates(self) -> bool:
        """Whether a change to a request with several open crashes was not sent."""
        return any(
            suspect.sent_at is None and len(suspect.open_crashes) > 1
            for suspect in self._suspects.values()
        )

    def merge(self, row: CrashRow, *, now: timedelta) -> Suspect | None:
        """Merge a row received from another host.

        Returns:
            The updated suspect, or None if the row changed nothing.
        """
        age = timedelta(milliseconds=row.age_ms)
        count = len(row.crashed) + len(row.cleared)
        if age > RETENTION_TIME or not count:
            return None
        if row.fingerprint not in self._suspects and not self._evict_for(count):
            return None
        suspect = self._get_or_add(row.fingerprint, crashed_at=now - age)
        is_new = suspect.merge(row.crashed, row.cleared)
        if is_new and self._is_trusted(row.fingerprint, now):
            suspect.merge((), list(suspect.crashed))
        if not is_new:
            return None
        suspect.sent_at = None
        return suspect

    def _get_or_add(self, fingerprint: bytes, *, crashed_at: timedelta) -> Suspect:
        """Return a request's suspect with its last crash moved to a time if later."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = Suspect(fingerprint=fingerprint, last_crash_at=crashed_at)
            self._suspects[fingerprint] = suspect
        suspect.last_crash_at = max(suspect.last_crash_at, crashed_at)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        return suspect

    def _evict_for(self, count: int) -> bool:
        """Make room for a request from another host, and return whether there is any.

        A request is evicted only for one with more crashes. Otherwise two full hosts
        that evicted different requests would keep sending these to each other forever.

        Args:
            count: Number of crashes in the row from the other host.
        """
        if len(self._suspects) < MAX_SUSPECTS:
            return True
        weakest = min(self._suspects.values(), key=lambda known: len(known.crashed))
        if len(weakest.crashed) >= count:
            return False
        del self._suspects[weakest.fingerprint]
        return True

    def _expire_single_crashes(self, now: timedelta) -> None:
        for suspect in self._suspects.values():
            is_outdated = now - suspect.last_crash_at > SINGLE_CRASH_SEND_TIME
            if suspect.sent_at is None and is_outdated and len(suspect.crashed) == 1:
                suspect.sent_at = now

    def _is_trusted(self, fingerprint: bytes, now: timedelta) -> bool:
        at = self._trusted_at.get(fingerprint)
        return at is not None and now - at <= TRUST_TIME

    def _remove_expired(self, now: timedelta) -> None:
        for fingerprint, suspect in list(self._suspects.items()):
            if now - suspect.last_crash_at > RETENTION_TIME:
                del self._suspects[fingerprint]


def _send_order(suspect: Suspect) -> tuple[timedelta, int]:
    return suspect.sent_at or timedelta.min, -len(suspect.open_crashes)


def _start_name(start: EndpointStart) -> str:
    return f"{start.endpoint_id}/{start.incarnation}"


def _to_row(suspect: Suspect, now: timedelta) -> CrashRow:
    return CrashRow(
        fingerprint=suspect.fingerprint,
        crashed=suspect.open_crashes,
        cleared=sorted(suspect.cleared),
        age_ms=round((now - suspect.last_crash_at) / timedelta(milliseconds=1)),
    )
