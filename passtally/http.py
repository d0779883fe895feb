"""Calls with the client library's session."""

from collections.abc import Mapping
from datetime import timedelta

import aiohttp

from passtally.fetch import Fetched, FetchError


class SessionFetcher:
    """See :class:`passtally.fetch.Fetcher`.

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
        """Make one call."""
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
    """Make one call. Redirects are not followed.

    Args:
        session: The client session.
        method: The HTTP method.
        url: Whom to call.
        timeout: The time limit for all of it.
        options: More options of the client library's request.

    Raises:
        FetchError: No whole answer came in time.
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
