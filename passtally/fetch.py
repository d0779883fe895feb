"""One HTTP call whose whole answer is read, with a time limit."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from typing import Protocol

import attrs


class FetchError(Exception):
    """No whole answer came; whether the call was heard is not known."""


@attrs.frozen(kw_only=True)
class Fetched:
    """An answer: its status, its body and its headers."""

    status: int
    body: bytes
    headers: Sequence[tuple[bytes, bytes]] = ()


def find_header(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return a header's value by its name in lower case, or None."""
    for known, value in headers:
        if known.lower() == name:
            return value
    return None


class Fetcher(Protocol):
    """Makes calls. It follows no redirects and repeats nothing."""

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
        """Make one call.

        Args:
            method: The HTTP method.
            url: Whom to call, without a query.
            timeout: The time limit for all of it; a body that keeps coming may take
                longer.
            params: The query.
            headers: Headers besides those of the connection.
            data: The body.

        Raises:
            FetchError: No whole answer came in time.
        """
