"""Where answers began and run, by a short key of their first try."""

import hashlib
import sys
from collections import OrderedDict
from datetime import timedelta

import attrs

from passtally.origin import Origin

KEY_BYTES = 8
#: Time after which a record that was not renewed expires. Callers take an answer up
#: soon after its end, and a host renews the records of the answers that it runs.
RECORD_TTL = timedelta(minutes=2)
#: Maximum number of records. Above it, the oldest are dropped.
MAX_RECORDS = 50_000


@attrs.frozen(kw_only=True)
class OriginRecord:
    """What is known of one answer.

    Attributes:
        origin: Its origin; None if hosts told different ones, so that none of them can
            be relied on.
        told_at: The monotonic time at which this host was last told.
        holder_id: The endpoint that runs it, or ran it last; empty if unknown.
    """

    origin: Origin | None
    told_at: timedelta
    holder_id: str = ""


class OriginTable:
    """The records of answers that are known to this host. Pure."""

    def __init__(self) -> None:
        self._records_by_key: OrderedDict[bytes, OriginRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of records, expired ones included."""
        return len(self._records_by_key)

    def put(
        self, key: bytes, origin: Origin, *, now: timedelta, holder_id: str = ""
    ) -> None:
        """Record or renew the origin of an answer, and the endpoint that runs it."""
        known = self.find(key, now=now)
        if known is not None:
            origin = _merge(known.origin, origin)
            holder_id = holder_id or known.holder_id
        self._records_by_key[key] = OriginRecord(
            origin=origin, told_at=now, holder_id=sys.intern(holder_id)
        )
        self._records_by_key.move_to_end(key)
        self._drop_oldest(now)

    def find(self, key: bytes, *, now: timedelta) -> OriginRecord | None:
        """Return the record of an answer, or None if there is none in force."""
        record = self._records_by_key.get(key)
        if record is None or now - record.told_at > RECORD_TTL:
            return None
        return record

    def _drop_oldest(self, now: timedelta) -> None:
        while self._records_by_key:
            oldest = next(iter(self._records_by_key.values()))
            is_expired = now - oldest.told_at > RECORD_TTL
            if not is_expired and len(self._records_by_key) <= MAX_RECORDS:
                return
            self._records_by_key.popitem(last=False)


def _merge(known: Origin | None, told: Origin) -> Origin | None:
    """Return what is known after an answer was told again, or None on a conflict."""
    if known is None or not known.agrees_with(told):
        return None
    return known if known.software else told


def origin_key(workspace: str, service: str, request_id: str) -> bytes:
    """Return the key of an answer.

    Args:
        workspace: The workspace of the caller, who chooses the ids of its requests.
        service: The service.
        request_id: The id of the try that brought the answer's first output.
    """
    return _hash(workspace, service, request_id)


def prompt_key(workspace: str, service: str, prompt: str) -> bytes:
    """Return the key under which the endpoint of an answer is kept for its prompt.

    A caller that takes an answer up need not name its first try; its prompt is known.

    Args:
        workspace: The workspace of the caller.
        service: The service.
        prompt: Identifies the prompt.
    """
    return _hash(workspace, service, "prompt", prompt)


def _hash(*parts: str) -> bytes:
    scope = "\0".join(parts).encode()
    return hashlib.blake2b(scope, digest_size=KEY_BYTES).digest()
