"""The times at which refused callers were told to return. Pure.

A caller that returns as it was told goes before new ones. It may return at another
host of its failure domain, so hosts tell each other what they promised. A request is
known by its fingerprint, which is the same for all tries of it.
"""

from collections.abc import Iterable
from datetime import timedelta

import attrs

#: Time before the promised one from which a caller counts as returning as told. Clocks
#: and links differ by that much.
EARLY_TOLERANCE = timedelta(milliseconds=100)
#: Time after the promised one from which a caller is no longer expected.
KEEP_AFTER = timedelta(seconds=5)
#: Maximum number of promises that are kept.
MAX_PROMISES = 500


@attrs.frozen(kw_only=True)
class Promise:
    """What one refused caller was told.

    Attributes:
        fingerprint: The fingerprint of its request.
        due_at: The monotonic time at which it was told to return.
    """

    fingerprint: bytes
    due_at: timedelta


class Promises:
    """The promises of this host, and those that other hosts have reported."""

    def __init__(self) -> None:
        self._due_by_fingerprint: dict[bytes, timedelta] = {}
        self._own: list[Promise] = []

    def add(self, promise: Promise, *, now: timedelta) -> None:
        """Record what this host has told a caller; its latest word counts."""
        self._put(promise, now)
        self._own = [*self._own, promise][-MAX_PROMISES:]

    def merge(self, promises: Iterable[Promise], *, now: timedelta) -> None:
        """Record what other hosts have told callers."""
        for promise in promises:
            self._put(promise, now)

    def pop_own(self) -> list[Promise]:
        """Return what this host has told callers since the last call."""
        own, self._own = self._own, []
        return own

    def is_due(self, fingerprint: bytes, *, now: timedelta) -> bool:
        """Return whether the caller of a request returns as it was told."""
        due_at = self._due_by_fingerprint.get(fingerprint)
        return due_at is not None and now >= due_at - EARLY_TOLERANCE

    def count_due(self, *, now: timedelta) -> int:
        """Return the number of callers that are expected to return."""
        return sum(due_at > now for due_at in self._due_by_fingerprint.values())

    def next_due(self, count: int, *, now: timedelta) -> list[Promise]:
        """Return the promises that are due next, up to a number of them."""
        self._drop_old(now)
        ranked = sorted(self._due_by_fingerprint.items(), key=lambda item: item[1])
        return [
            Promise(fingerprint=fingerprint, due_at=due_at)
            for fingerprint, due_at in ranked[:count]
        ]

    def _put(self, promise: Promise, now: timedelta) -> None:
        known = self._due_by_fingerprint.get(promise.fingerprint)
        if known is None or promise.due_at > known:
            self._due_by_fingerprint[promise.fingerprint] = promise.due_at
        if len(self._due_by_fingerprint) > MAX_PROMISES:
            self._drop_old(now)
        while len(self._due_by_fingerprint) > MAX_PROMISES:
            self._due_by_fingerprint.pop(next(iter(self._due_by_fingerprint)))

    def _drop_old(self, now: timedelta) -> None:
        self._due_by_fingerprint = {
            fingerprint: due_at
            for fingerprint, due_at in self._due_by_fingerprint.items()
            if now - due_at <= KEEP_AFTER
        }
