"""A request that may crash its endpoints, and the evidence for that. Pure."""

from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from enum import IntEnum
from typing import Protocol

import attrs

#: Number of endpoint crashes from which a request is quarantined.
MAX_CRASHES = 3
#: Number of crashes from which all attempts at a request go to one endpoint. After a
#: single crash a request is most likely innocent, and is better placed at the endpoint
#: with the most free capacity.
SUSPECT_CRASHES = 2
#: Limit of starts of endpoints that are recorded for one request.
MAX_RECORDED_STARTS = 16


class Evidence(IntEnum):
    """How strongly a crash counts against a request."""

    #: The endpoint had not begun to run it, and had other requests: the request becomes
    #: a suspect by such crashes, but is quarantined only with strong evidence.
    WEAK = 1
    #: The endpoint had just begun to run it, or had no other request.
    FAIR = 2
    #: It was sent there as a suspect.
    STRONG = 3


@attrs.define(kw_only=True)
class Suspect:
    """A request whose endpoints crashed while they ran it.

    Attributes:
        fingerprint: The fingerprint of the request.
        evidence_by_crash: Evidence of each crash by the endpoint's start, in order of
            receipt.
        cleared: Starts whose crash the request is known not to cause.
        explained: Starts whose crash a convicted request explains.
        last_crash_at: Time of the last crash, on this host's monotonic clock.
        sent_at: Time of the last update to other hosts; None while one is due.
        is_reported: Whether its quarantine was reported.
    """

    fingerprint: bytes
    evidence_by_crash: dict[str, Evidence] = attrs.field(factory=dict)
    cleared: set[str] = attrs.field(factory=set)
    explained: set[str] = attrs.field(factory=set)
    last_crash_at: timedelta
    sent_at: timedelta | None = None
    is_reported: bool = False

    @property
    def open_crashes(self) -> list[str]:
        """Starts of endpoints whose crash the request may have caused."""
        return [start for start in self.evidence_by_crash if start not in self.cleared]

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is refused because of its crashes."""
        return self.is_convicted or self._count_open(Evidence.FAIR) >= MAX_CRASHES

    @property
    def is_convicted(self) -> bool:
        """Whether strong evidence shows that the request caused its crashes.

        A single explained crash may be its own all the same: two requests that crash
        endpoints may have been at one of them. With more, the request is likely one
        that many callers send, which is at most of the endpoints that crash.
        """
        has_enough = len(self.open_crashes) >= MAX_CRASHES
        is_explained = self._count_open(Evidence.WEAK) < MAX_CRASHES - 1
        has_strong = self._count_open(Evidence.STRONG) > 0
        return has_enough and has_strong and not is_explained

    @property
    def is_separated(self) -> bool:
        """Whether its attempts are sent apart from other requests, to one endpoint."""
        return len(self.open_crashes) >= SUSPECT_CRASHES and not self.is_quarantined

    def list_crashes(self, evidence: Evidence) -> list[str]:
        """Return the open crashes of an evidence."""
        return [
            start
            for start in self.open_crashes
            if self.evidence_by_crash[start] is evidence
        ]

    def merge(
        self, evidence_by_crash: Mapping[str, Evidence], cleared: Iterable[str] = ()
    ) -> bool:
        """Add crashes and cleared crashes, and return whether any of them was new."""
        before = dict(self.evidence_by_crash), len(self.cleared)
        known = self.evidence_by_crash
        added = dict.fromkeys(cleared, Evidence.WEAK) | evidence_by_crash
        for start, evidence in added.items():
            if start in known or len(known) < MAX_RECORDED_STARTS:
                known[start] = max(known.get(start, evidence), evidence)
        self.cleared |= known.keys() & set(cleared)
        return before != (known, len(self.cleared))

    def _count_open(self, at_least: Evidence) -> int:
        """Return the number of open crashes that no other request explains."""
        return sum(
            self.evidence_by_crash[start] >= at_least
            for start in self.open_crashes
            if start not in self.explained
        )


class Suspects(Protocol):
    """The requests under which several endpoints crashed, by their fingerprints."""

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return whether several crashes of endpoints count against a request."""

    def list_separated(self) -> Sequence[bytes]:
        """Return the suspects that get an endpoint apart from others, in order."""


class NoSuspects:
    """No suspects, where crashes are not counted."""

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Return False."""
        return False

    def list_separated(self) -> Sequence[bytes]:
        """Return an empty sequence."""
        return ()
