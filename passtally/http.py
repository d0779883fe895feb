"""HTTP calls with aiohttp."""

from collections.abc import Mapping
from datetime import timedelta

import aiohttp

from passtally.fetch import Fetched, FetchError


class SessionFetcher:
    """A :class:`passtally.fetch.Fetcher` that uses aiohttp.

    Args:
        session: The client session.
    """

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def fetch(
        self,
        method: str,
        url: str,
        *,
        timeout: timedelta,
        params: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        data: bytes = b"",
    ) -> Fetched:
        """Send one call and return the complete answer."""
        return await fetch(
            self._session,
            method,
            url,
            timeout=timeout,
            params=params,
            headers=headers,
            data=data or None,
        )


async def fetch(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    timeout: timedelta,
    **options: object,
) -> Fetched:
    """Send one call and return the complete answer. Redirects are not followed.

    Args:
        session: The client session.
        method: The HTTP method.
        url: The URL.
        timeout: The limit on the total time.
        options: Further options of :meth:`aiohttp.ClientSession.request`.

    Raises:
        FetchError: No complete answer was received in time.
    """
    total = aiohttp.ClientTimeout(total=timeout.total_seconds())
    try:
        async with session.request(
            method, url, timeout=total, allow_redirects=False, **options
        ) as response:
            return Fetched(
                status=response.status,
                body=await response.read(),
                headers=response.raw_headers,
            )
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise FetchError(str(error) or type(error).__name__) from error
