"""Consistent hashing of keys to hosts: the same few hosts, computed by every host.

A lookup costs the same among a few hosts and among hundreds. Hosts whose views of the
membership differ by a few hosts still compute mostly the same hosts for a key.
"""

import hashlib
from bisect import bisect
from collections.abc import Iterable, Iterator
from functools import lru_cache

from passtally.messages import MemberRow

#: Number of points of each host on the ring, which evens out its share of the keys.
POINTS_PER_HOST = 8
POINT_BYTES = 8
#: Number of hosts whose points are cached.
MAX_CACHED_HOSTS = 2048


class HostRing:
    """The hosts of one failure domain on a ring of hashes. Immutable.

    Args:
        rows: The rows of the hosts.
    """

    def __init__(self, rows: Iterable[MemberRow]) -> None:
        places = sorted(
            (point, row.host_id, row) for row in rows for point in _points(row.host_id)
        )
        self._points = [point for point, _, _ in places]
        self._rows = [row for _, _, row in places]

    def list_hosts(self, key: bytes, count: int) -> list[MemberRow]:
        """Return the hosts of a key, up to a number of them."""
        chosen: dict[str, MemberRow] = {}
        for row in self._rows_from(key):
            if len(chosen) == count:
                break
            chosen.setdefault(row.host_id, row)
        return list(chosen.values())

    def _rows_from(self, key: bytes) -> Iterator[MemberRow]:
        start = bisect(self._points, key)
        yield from self._rows[start:]
        yield from self._rows[:start]


@lru_cache(maxsize=MAX_CACHED_HOSTS)
def _points(host_id: str) -> tuple[bytes, ...]:
    return tuple(
        hashlib.blake2b(
            f"{host_id} {number}".encode(), digest_size=POINT_BYTES
        ).digest()
        for number in range(POINTS_PER_HOST)
    )
