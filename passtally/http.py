"""One HTTP call whose whole answer is read, with a time limit."""

from datetime import timedelta

import aiohttp
import attrs


class FetchError(Exception):
    """No whole answer came; whether the call was heard is not known."""


@attrs.frozen(kw_only=True)
class Fetched:
    """An answer: its status and its body."""

    status: int
    body: bytes


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
            return Fetched(status=response.status, body=await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise FetchError(str(error) or type(error).__name__) from error
