"""Requests whose endpoints crashed, and which of them are quarantined. Pure.

A request may crash every endpoint that starts to run it, and its caller may retry it at
any host. All retries share a fingerprint, see :mod:`passtally.fingerprint`. Most
requests that run on a crashing endpoint did not cause the crash. Crashes are therefore
counted once per start of an endpoint, and a single success of the request clears it of
all crashes so far.

Several requests may be at each of the endpoints that one of them crashes. A request
with several crashes is therefore sent to an endpoint apart from other requests, see
:mod:`passtally.routing`; a crash there is strong evidence. A request that is convicted
by it explains all of its crashes, which hardly count against others then.

Hosts exchange these counts. The sets of crashes and of cleared crashes only grow, and
so does the evidence of a crash, so rows can be merged in any order, late, and more than
once.
"""

from collections import OrderedDict
from datetime import timedelta

from passtally.messages import CrashRow
from passtally.objects import EndpointStart
from passtally.suspect import SUSPECT_CRASHES, Evidence, Suspect

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
#: Limit of suspects that get an endpoint apart from others. When many endpoints crash
#: at once, there are too many suspects for that.
MAX_SEPARATED = 8
#: Time after the last crash in which a suspect gets an endpoint apart from others.
SEPARATION_TIME = timedelta(seconds=5)
#: Time after the last crash in which a quarantine without strong evidence may still
#: turn out to be wrong: the request's other runs end well, or another request explains
#: its crashes.
SETTLE_TIME = timedelta(seconds=2)


class Quarantine:
    """The crash counts of requests, as far as they are known to this host."""

    def __init__(self) -> None:
        self._suspects: OrderedDict[bytes, Suspect] = OrderedDict()
        self._trusted_at: OrderedDict[bytes, timedelta] = OrderedDict()
        #: The convicted requests, which explain their crashes.
        self._convicted: set[bytes] = set()

    def record_crash(
        self,
        fingerprint: bytes,
        start: EndpointStart,
        *,
        now: timedelta,
        evidence: Evidence = Evidence.FAIR,
    ) -> Suspect | None:
        """Count the crash of an endpoint against a request that was sent there.

        Returns:
            The updated suspect; None if the request succeeded within ``TRUST_TIME``.
        """
        if not fingerprint or self._is_trusted(fingerprint, now):
            return None
        suspect = self._get_or_add(fingerprint, crashed_at=now)
        if suspect.merge({_start_name(start): evidence}):
            suspect.sent_at = None
        self._explain(suspect)
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
        self._clear(suspect)
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

    def list_separated(self, *, now: timedelta) -> list[bytes]:
        """Return the requests that are sent apart from others, in a fixed order.

        All hosts that know the same crashes return the same.
        """
        found = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if len(suspect.evidence_by_crash) >= SUSPECT_CRASHES
            and now - suspect.last_crash_at <= SEPARATION_TIME
            and suspect.is_separated
        ]
        return sorted(found) if len(found) <= MAX_SEPARATED else []

    def is_unsettled(self, fingerprint: bytes, *, now: timedelta) -> bool:
        """Return whether a request's quarantine may still turn out to be wrong."""
        suspect = self.find(fingerprint, now=now)
        if suspect is None or not suspect.is_quarantined or suspect.is_convicted:
            return False
        return now - suspect.last_crash_at < SETTLE_TIME

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
            if len(suspect.evidence_by_crash) > 1
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
        evidence_by_crash = _evidence_of(row)
        count = len({*evidence_by_crash, *row.cleared})
        if age > RETENTION_TIME or not count:
            return None
        if row.fingerprint not in self._suspects and not self._evict_for(count):
            return None
        suspect = self._get_or_add(row.fingerprint, crashed_at=now - age)
        if not suspect.merge(evidence_by_crash, row.cleared):
            return None
        suspect.sent_at = None
        if self._is_trusted(row.fingerprint, now):
            self._clear(suspect)
        self._explain(suspect)
        return suspect

    def _clear(self, suspect: Suspect) -> None:
        suspect.merge({}, suspect.open_crashes)
        suspect.sent_at = None
        suspect.is_reported = False
        self._convicted.discard(suspect.fingerprint)

    def _explain(self, changed: Suspect) -> None:
        """Mark the crashes that a convicted request explains, after a change."""
        if changed.is_convicted:
            self._convicted.add(changed.fingerprint)
            for suspect in self._suspects.values():
                if suspect.fingerprint not in self._convicted:
                    suspect.explained.update(changed.open_crashes)
            return
        self._convicted.discard(changed.fingerprint)
        for fingerprint in self._convicted:
            changed.explained.update(self._suspects[fingerprint].open_crashes)

    def _get_or_add(self, fingerprint: bytes, *, crashed_at: timedelta) -> Suspect:
        """Return a request's suspect with its last crash moved to a time if later."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = Suspect(fingerprint=fingerprint, last_crash_at=crashed_at)
            self._suspects[fingerprint] = suspect
        suspect.last_crash_at = max(suspect.last_crash_at, crashed_at)
        self._suspects.move_to_end(fingerprint)
        if len(self._suspects) > MAX_SUSPECTS:
            oldest, _ = self._suspects.popitem(last=False)
            self._convicted.discard(oldest)
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
        weakest = min(
            self._suspects.values(), key=lambda known: len(known.evidence_by_crash)
        )
        if len(weakest.evidence_by_crash) >= count:
            return False
        self._remove(weakest)
        return True

    def _expire_single_crashes(self, now: timedelta) -> None:
        for suspect in self._suspects.values():
            is_outdated = now - suspect.last_crash_at > SINGLE_CRASH_SEND_TIME
            is_single = len(suspect.evidence_by_crash) == 1
            if suspect.sent_at is None and is_outdated and is_single:
                suspect.sent_at = now

    def _is_trusted(self, fingerprint: bytes, now: timedelta) -> bool:
        at = self._trusted_at.get(fingerprint)
        return at is not None and now - at <= TRUST_TIME

    def _remove_expired(self, now: timedelta) -> None:
        for suspect in list(self._suspects.values()):
            if now - suspect.last_crash_at > RETENTION_TIME:
                self._remove(suspect)

    def _remove(self, suspect: Suspect) -> None:
        del self._suspects[suspect.fingerprint]
        self._convicted.discard(suspect.fingerprint)


def _send_order(suspect: Suspect) -> tuple[timedelta, int]:
    return suspect.sent_at or timedelta.min, -len(suspect.open_crashes)


def _start_name(start: EndpointStart) -> str:
    return f"{start.endpoint_id}/{start.incarnation}"


def _to_row(suspect: Suspect, now: timedelta) -> CrashRow:
    strong = suspect.list_crashes(Evidence.STRONG)
    return CrashRow(
        fingerprint=suspect.fingerprint,
        crashed=[*suspect.list_crashes(Evidence.FAIR), *strong],
        cleared=sorted(suspect.cleared),
        age_ms=round((now - suspect.last_crash_at) / timedelta(milliseconds=1)),
        weak=suspect.list_crashes(Evidence.WEAK),
        strong=strong,
    )


def _evidence_of(row: CrashRow) -> dict[str, Evidence]:
    weak = dict.fromkeys(row.weak, Evidence.WEAK)
    fair = dict.fromkeys(row.crashed, Evidence.FAIR)
    return weak | fair | dict.fromkeys(row.strong, Evidence.STRONG)
