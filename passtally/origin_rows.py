"""Translates the records of answers to and from the rows of messages."""

from functools import lru_cache

from passtally.messages import OriginRow
from passtally.objects import EndpointStart
from passtally.origin import Origin

#: Number of versions that are kept in parsed form.
MAX_CACHED_VERSIONS = 256


def to_origin_row(key: bytes, origin: Origin, *, holder_id: str) -> OriginRow:
    """Return the row of an answer.

    Args:
        key: The key of the answer.
        origin: Its origin.
        holder_id: The endpoint that runs it, or ran it last; empty if unknown.
    """
    start = origin.start
    if origin.software or start is None:
        return OriginRow(key=key, software=origin.software, holder_id=holder_id)
    return OriginRow(
        key=key,
        software="",
        endpoint_id=start.endpoint_id,
        incarnation=start.incarnation,
        holder_id=holder_id,
    )


def from_origin_row(row: OriginRow) -> Origin:
    """Return the origin in a row."""
    if not row.endpoint_id:
        return origin_at(row.software)
    start = EndpointStart(endpoint_id=row.endpoint_id, incarnation=row.incarnation)
    return Origin(software=row.software, start=start)


@lru_cache(maxsize=MAX_CACHED_VERSIONS)
def origin_at(software: str) -> Origin:
    """Return the origin of answers at a version, one object for all their records."""
    return Origin(software=software)
