"""The platform's object API over HTTP, as docs/PLATFORM.md describes it."""

from collections.abc import Sequence
from datetime import timedelta

import aiohttp
import attrs

from passtally.http import SessionFetcher
from passtally.object_store import (
    CALL_TIMEOUT,
    WATCH_TIMEOUT,
    HostEntry,
    Listing,
    StoredObject,
    StoreLink,
)


@attrs.frozen(kw_only=True)
class _Written:
    version: int


class HttpPlatform:
    """Client of the platform's object API over HTTP.

    Args:
        session: The client session; it must not follow redirects by itself.
        url: The platform's base URL.
    """

    def __init__(self, *, session: aiohttp.ClientSession, url: str) -> None:
        fetcher = SessionFetcher(session=session)
        self._link = StoreLink(fetcher=fetcher, url=url)

    async def list_objects(self, prefix: str) -> Listing:
        """Return the objects whose keys start with a prefix."""
        params = {"prefix": prefix}
        body = await self._link.call("list", "GET", "/v1/objects", params=params)
        return self._link.decode("list", body, Listing)

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None where there is none."""
        body = await self._link.call("get", "GET", f"/v1/objects/{key}")
        return self._link.decode("get", body, StoredObject) if body else None

    async def create(self, key: str, value: bytes) -> int:
        """Create an object that must not exist; return its version."""
        headers = {"If-None-Match": "*"}
        body = await self._link.call(
            "create", "PUT", f"/v1/objects/{key}", headers=headers, data=value
        )
        return self._link.decode("create", body, _Written).version

    async def update(self, key: str, value: bytes, *, version: int) -> int:
        """Replace an object of exactly this version; return its new version."""
        headers = {"If-Match": str(version)}
        body = await self._link.call(
            "update", "PUT", f"/v1/objects/{key}", headers=headers, data=value
        )
        return self._link.decode("update", body, _Written).version

    async def delete(self, key: str, *, version: int) -> None:
        """Remove an object of exactly this version."""
        headers = {"If-Match": str(version)}
        await self._link.call("delete", "DELETE", f"/v1/objects/{key}", headers=headers)

    async def watch(
        self, prefix: str, *, after: int, wait: timedelta = WATCH_TIMEOUT
    ) -> Listing:
        """Wait for changes after a version; return an empty listing on a timeout."""
        params = {
            "prefix": prefix,
            "after": str(after),
            "timeout": str(wait.total_seconds()),
        }
        limit = CALL_TIMEOUT + 2 * wait
        body = await self._link.call(
            "watch", "GET", "/v1/watch", params=params, timeout=limit
        )
        return self._link.decode("watch", body, Listing)

    async def hosts(self) -> Sequence[HostEntry]:
        """Return the platform's host list, which lags behind the hosts' state."""
        body = await self._link.call("hosts", "GET", "/v1/hosts")
        return self._link.decode("hosts", body, tuple[HostEntry, ...])
