"""One shard's log of claimed idempotency keys, as known to this host. Pure.

A shard is a sequence of numbered segments in the platform. A host appends by creating
the next number with a conditional create; a host that loses that race must read the
segment and decide again. So exactly one claim of a key wins, even if several hosts
write to the shard. A claim stays in force for at least the retention, measured from
when this host read its segment: no wall clock is used, and a host that started later
keeps the claim longer.
"""

import base64
from collections import deque
from collections.abc import Sequence
from datetime import timedelta
from enum import StrEnum

import attrs
import msgspec

from passtally.json_decoding import decode_json

DIGEST_BYTES = 16
NONCE_BYTES = 8


class ClaimVerdict(StrEnum):
    """The outcome of a claim."""

    #: This claim holds the key.
    GRANTED = "granted"
    #: Another claim for the same request holds the key.
    HELD = "held"
    #: Another claim for a request with a different body holds the key.
    MISMATCH = "mismatch"
    #: The platform was unreachable; the claim may still appear in the log later.
    UNAVAILABLE = "unavailable"


@attrs.frozen(kw_only=True)
class Claim:
    """A host's claim of an idempotency key, for one request.

    Attributes:
        digest: Digest of workspace, service and key.
        body_digest: Digest of the request's body.
        nonce: Random bytes that make this claim unique.
        holder: The id of the host that will send the request.
    """

    digest: bytes
    body_digest: bytes
    nonce: bytes
    holder: str


@attrs.frozen(kw_only=True)
class Void:
    """Cancels a claim whose holder has not sent its request and never will.

    Attributes:
        digest: The claim's digest of workspace, service and key.
        nonce: The claim's nonce.
    """

    digest: bytes
    nonce: bytes


@attrs.frozen(kw_only=True)
class Segment:
    """One append to a shard's log.

    Attributes:
        nonce: Random bytes that distinguish this append from a competing one for the
            same number.
        claims: The claims, in order.
        voids: The cancellations of claims.
    """

    nonce: bytes
    claims: tuple[Claim, ...] = ()
    voids: tuple[Void, ...] = ()

    def to_json(self) -> bytes:
        """Return the JSON that is stored in the platform."""
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
    """Decode a segment from the JSON stored in the platform.

    Raises:
        ValueError: The JSON is malformed, or no segment.
    """
    row = decode_json(value, _SegmentRow)
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
class _AppliedSegment:
    """A segment in force on this host, and the monotonic time of its application."""

    number: int
    segment: Segment
    since: timedelta


class ClaimLog:
    """The claims of one shard, from the segments read or written so far.

    Args:
        retention: Minimum time that a claim stays in force.
    """

    def __init__(self, *, retention: timedelta) -> None:
        self.next_number = 1
        self.synced_at: timedelta | None = None
        self._retention = retention
        self._claims_by_digest: dict[bytes, Claim] = {}
        self._later_by_digest: dict[bytes, list[Claim]] = {}
        self._voided: set[bytes] = set()
        self._applied: deque[_AppliedSegment] = deque()

    def __len__(self) -> int:
        return len(self._claims_by_digest)

    def is_fresh(self, now: timedelta) -> bool:
        """Return whether no unread segment can have expired since the last sync.

        Numbers of removed segments can be created again. A host that was suspended
        could append at such a number and grant a key that is already held.
        """
        return self.synced_at is not None and now - self.synced_at < self._retention / 2

    def find_verdict(self, claim: Claim) -> ClaimVerdict | None:
        """Return the verdict on a claim, or None if its key is not claimed."""
        known = self._claims_by_digest.get(claim.digest)
        if known is None:
            return None
        if known.nonce == claim.nonce:
            return ClaimVerdict.GRANTED
        if known.body_digest != claim.body_digest:
            return ClaimVerdict.MISMATCH
        return ClaimVerdict.HELD

    def holder(self, digest: bytes) -> str:
        """Return the id of the host that holds a key, or an empty string."""
        claim = self._claims_by_digest.get(digest)
        return claim.holder if claim else ""

    def apply(self, number: int, segment: Segment, now: timedelta) -> None:
        """Apply the next segment; one that was already applied has no effect."""
        if number < self.next_number:
            return
        # A void also applies to a later claim: the write of the claim may have been
        # delayed until after that of the void.
        for void in segment.voids:
            self._voided.add(void.nonce)
            self._remove_claim(void.digest, void.nonce)
        for claim in segment.claims:
            self._add(claim)
        self._applied.append(_AppliedSegment(number=number, segment=segment, since=now))
        self.next_number = number + 1
        self.synced_at = now

    def reset(self, segments: Sequence[tuple[int, Segment]], now: timedelta) -> None:
        """Apply the segments of a complete listing in the order of their numbers."""
        fresh = [item for item in segments if item[0] >= self.next_number]
        for number, segment in sorted(fresh, key=lambda item: item[0]):
            self.apply(number, segment, now)
        self.synced_at = now

    def expire(self, now: timedelta) -> list[int]:
        """Remove claims older than the retention.

        Returns:
            The numbers of the segments that may be removed from the platform. The last
            segment is never among them, since it marks the end of the log.
        """
        numbers = []
        while (
            len(self._applied) > 1 and now - self._applied[0].since >= self._retention
        ):
            known = self._applied.popleft()
            numbers.append(known.number)
            self._remove_segment(known.segment)
        return numbers

    def _add(self, claim: Claim) -> None:
        if claim.nonce in self._voided:
            return
        first = self._claims_by_digest.setdefault(claim.digest, claim)
        if first.nonce != claim.nonce:
            self._later_by_digest.setdefault(claim.digest, []).append(claim)

    def _remove_claim(self, digest: bytes, nonce: bytes) -> None:
        """Remove a claim; the next claim of the same key, if any, then holds it."""
        later = self._later_by_digest.pop(digest, [])
        later = [claim for claim in later if claim.nonce != nonce]
        first = self._claims_by_digest.get(digest)
        if first is not None and first.nonce == nonce:
            del self._claims_by_digest[digest]
            if later:
                self._claims_by_digest[digest] = later.pop(0)
        if later:
            self._later_by_digest[digest] = later

    def _remove_segment(self, segment: Segment) -> None:
        for claim in segment.claims:
            self._remove_claim(claim.digest, claim.nonce)
        self._voided.difference_update(void.nonce for void in segment.voids)


def _text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).decode().rstrip("=")


def _bytes(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
