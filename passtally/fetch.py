"""The interface of HTTP calls whose answers are read completely, within a timeout."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Protocol

import attrs


class FetchError(Exception):
    """No complete answer was received; the peer may have processed the call."""


@attrs.frozen(kw_only=True)
class Fetched:
    """The complete answer to an HTTP call."""

    status: int
    body: bytes
    headers: Sequence[tuple[bytes, bytes]] = ()


def find_header(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header, by its lower-case name, or None."""
    for known, value in headers:
        if known.lower() == name:
            return value
    return None


class Fetcher(Protocol):
    """An HTTP client that follows no redirects and retries nothing."""

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
        """Send one call and return the complete answer.

        Args:
            method: The HTTP method.
            url: The URL, without a query.
            timeout: The limit on the total time. A body of which more keeps arriving
                may take longer.
            params: The query parameters.
            headers: The request headers, without those of the connection.
            data: The request body.

        Raises:
            FetchError: No complete answer was received in time.
        """
