"""Which idempotency keys are claimed: one shard's log, as this host knows it.

Pure. A shard is a series of numbered segments in the platform. Whoever creates
the next number with a conditional create has appended; everyone else must read
it and decide anew. So one claim wins, whichever hosts believe that they should
write. A record stays in force for at least the retention, measured by how long
this host has known it: no wall clock is read, and a new host keeps longer.
"""

import base64
from collections import deque
from collections.abc import Sequence
from datetime import timedelta
from enum import StrEnum

import attrs
import msgspec

DIGEST_BYTES = 16
NONCE_BYTES = 8


class ClaimVerdict(StrEnum):
    """How a claim ended."""

    #: The key is this claim's.
    GRANTED = "granted"
    #: Another claim for the same request has it.
    HELD = "held"
    #: Another claim with a different body has it.
    MISMATCH = "mismatch"
    #: The platform could not be asked; the claim may yet appear in the log.
    UNAVAILABLE = "unavailable"


@attrs.frozen(kw_only=True)
class Claim:
    """One claim of a key.

    Attributes:
        digest: What identifies workspace, service and key.
        body_digest: What identifies the request's body.
        nonce: What tells this claim from all others.
        holder: The host that will send the request.
    """

    digest: bytes
    body_digest: bytes
    nonce: bytes
    holder: str


@attrs.frozen(kw_only=True)
class Void:
    """A claim given back: its holder never sent its request, and never will."""

    digest: bytes
    nonce: bytes


@attrs.frozen(kw_only=True)
class Segment:
    """One append to a shard's log.

    Attributes:
        nonce: What tells this append from another at the same number.
        claims: The claims, in order.
        voids: The claims given back.
    """

    nonce: bytes
    claims: tuple[Claim, ...] = ()
    voids: tuple[Void, ...] = ()

    def to_json(self) -> bytes:
        """Return its value in the platform."""
        rows = [
            [_text(c.digest), _text(c.body_digest), _text(c.nonce), c.holder]
            for c in self.claims
        ]
        voids = [[_text(void.digest), _text(void.nonce)] for void in self.voids]
        return msgspec.json.encode({"n": _text(self.nonce), "c": rows, "v": voids})


class _SegmentRow(msgspec.Struct):
    n: str
    c: list[tuple[str, str, str, str]]
    v: list[tuple[str, str]]


def read_segment(value: bytes) -> Segment:
    """Read a segment's value.

    Raises:
        ValueError: It is damaged.
    """
    row = msgspec.json.decode(value, type=_SegmentRow)
    claims = tuple(
        Claim(
            digest=_bytes(digest),
            body_digest=_bytes(body_digest),
            nonce=_bytes(nonce),
            holder=holder,
        )
        for digest, body_digest, nonce, holder in row.c
    )
    voids = tuple(
        Void(digest=_bytes(digest), nonce=_bytes(nonce)) for digest, nonce in row.v
    )
    return Segment(nonce=_bytes(row.n), claims=claims, voids=voids)


@attrs.frozen(kw_only=True)
class _Known:
    number: int
    segment: Segment
    since: timedelta


class ClaimLog:
    """One shard's claims.

    Args:
        retention: How long a claim stays in force at least.
    """

    def __init__(self, *, retention: timedelta) -> None:
        self.next_number = 1
        self.synced_at: timedelta | None = None
        self._retention = retention
        self._claims_by_digest: dict[bytes, Claim] = {}
        self._later_by_digest: dict[bytes, list[Claim]] = {}
        self._voided: set[bytes] = set()
        self._known: deque[_Known] = deque()

    def __len__(self) -> int:
        return len(self._claims_by_digest)

    def is_fresh(self, now: timedelta) -> bool:
        """Return whether no segment can have expired unseen since the last sync.

        Below the last one seen, numbers are free again once their segments were
        removed; a host that slept must not append there.
        """
        return self.synced_at is not None and now - self.synced_at < self._retention / 2

    def judge(self, claim: Claim) -> ClaimVerdict | None:
        """Return how a claim stands in the log, or None where its key is free."""
        known = self._claims_by_digest.get(claim.digest)
        if known is None:
            return None
        if known.nonce == claim.nonce:
            return ClaimVerdict.GRANTED
        if known.body_digest != claim.body_digest:
            return ClaimVerdict.MISMATCH
        return ClaimVerdict.HELD

    def holder(self, digest: bytes) -> str:
        """Return the host that holds a key, or empty."""
        claim = self._claims_by_digest.get(digest)
        return claim.holder if claim else ""

    def apply(self, number: int, segment: Segment, now: timedelta) -> None:
        """Take in the next segment. One that is known already changes nothing."""
        if number < self.next_number:
            return
        # A void counts wherever it stands: its claim may have been delayed.
        for void in segment.voids:
            self._voided.add(void.nonce)
            self._drop(void.digest, void.nonce)
        for claim in segment.claims:
            self._add(claim)
        self._known.append(_Known(number=number, segment=segment, since=now))
        self.next_number = number + 1
        self.synced_at = now

    def reset(self, segments: Sequence[tuple[int, Segment]], now: timedelta) -> None:
        """Take in a whole listing, in the order of its numbers."""
        fresh = [item for item in segments if item[0] >= self.next_number]
        for number, segment in sorted(fresh, key=lambda item: item[0]):
            self.apply(number, segment, now)
        self.synced_at = now

    def expire(self, now: timedelta) -> list[int]:
        """Forget what is past its retention.

        Returns:
            The numbers of the segments that may be removed from the platform.
            The last one is never among them: it marks where the log ends.
        """
        numbers = []
        while len(self._known) > 1 and now - self._known[0].since >= self._retention:
            known = self._known.popleft()
            numbers.append(known.number)
            self._forget(known.segment)
        return numbers

    def _add(self, claim: Claim) -> None:
        if claim.nonce in self._voided:
            return
        first = self._claims_by_digest.setdefault(claim.digest, claim)
        if first.nonce != claim.nonce:
            self._later_by_digest.setdefault(claim.digest, []).append(claim)

    def _drop(self, digest: bytes, nonce: bytes) -> None:
        """Drop one claim; a later one for the same key, if any, takes its place."""
        later = self._later_by_digest.pop(digest, [])
        later = [claim for claim in later if claim.nonce != nonce]
        first = self._claims_by_digest.get(digest)
        if first is not None and first.nonce == nonce:
            del self._claims_by_digest[digest]
            if later:
                self._claims_by_digest[digest] = later.pop(0)
        if later:
            self._later_by_digest[digest] = later

    def _forget(self, segment: Segment) -> None:
        for claim in segment.claims:
            self._drop(claim.digest, claim.nonce)
        self._voided.difference_update(void.nonce for void in segment.voids)


def _text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _bytes(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
