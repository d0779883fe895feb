"""Decodes the directives in the heads of endpoints' answers; no other module does."""

import math
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TypeVar

from passtally.endpoint_backoff import MAX_BACKOFF
from passtally.endpoint_directives import Directive, EndpointDirectives
from passtally.engine import InstanceLoad
from passtally.http_client import ResponseHead
from passtally.platform import names

#: Maximum of a request limit, in requests per second. No host sends as many, and hosts
#: share limits by computing with them.
MAX_LIMIT = 1e9
#: Maximum length of a number of rejections.
MAX_BRITTLE_DIGITS = 9
#: Maximum length of a figure of a load.
MAX_LOAD_DIGITS = 9
#: Least percentage of the usual time that counts. No machine is ten times as fast as it
#: usually is.
MIN_PERCENT = 10

T = TypeVar("T")


def read_directives(
    head: ResponseHead, *, endpoint_id: str, request_id: bytes | None = None
) -> EndpointDirectives | None:
    """Return an endpoint's directives, or None if the answer is not its own.

    An answer of another endpoint, or to another request, is not the endpoint's own.

    Args:
        head: The answer's head.
        endpoint_id: The endpoint that the request was sent to.
        request_id: The id of the request, or None if it has none.
    """
    if not _is_from_endpoint(head, endpoint_id, request_id):
        return None
    invalid_by_directive: dict[Directive, str] = {}
    return EndpointDirectives(
        is_leaving=bool(
            _read(
                head,
                Directive.LEAVING,
                names.LEAVING,
                decode_leaving,
                invalid_by_directive,
            )
        ),
        limit=_read(
            head, Directive.LIMIT, names.LIMIT, decode_limit, invalid_by_directive
        ),
        backoff=_read_backoff(head, invalid_by_directive),
        borne=_read(
            head, Directive.BRITTLE, names.BRITTLE, decode_brittle, invalid_by_directive
        ),
        load=_read(head, Directive.LOAD, names.LOAD, decode_load, invalid_by_directive),
        is_rejection=head.status == 503 and head.header(names.NOT_RUN) is not None,
        invalid_by_directive=invalid_by_directive,
        unknown_headers=tuple(_find_unknown(head)),
    )


def decode_limit(text: bytes) -> float:
    """Decode an endpoint's request limit, in requests per second.

    Raises:
        ValueError: The text is not a decimal number from 0 to ``MAX_LIMIT``.
    """
    rate = float(text)
    if not 0 <= rate <= MAX_LIMIT:
        raise ValueError("not within range")
    return rate


def decode_brittle(text: bytes) -> int:
    """Decode the number of rejections in a second that an endpoint bears.

    Raises:
        ValueError: The text is not a whole number from 0 on.
    """
    digits = text.strip()
    if not digits.isdigit() or len(digits) > MAX_BRITTLE_DIGITS:
        raise ValueError("not within range")
    return int(digits)


def decode_load(text: bytes) -> InstanceLoad:
    """Decode the load that an endpoint reports.

    Raises:
        ValueError: The text is not three or four whole numbers from 0 on.
    """
    figures = [item.strip() for item in text.split(b",")]
    if len(figures) not in (3, 4) or not all(
        item.isdigit() and len(item) <= MAX_LOAD_DIGITS for item in figures
    ):
        raise ValueError("not a load")
    running, waiting, slots, *percent = (int(item) for item in figures)
    slowness = max(percent[0], MIN_PERCENT) / 100 if percent else 1.0
    return InstanceLoad(
        running=running, waiting=waiting, slots=slots, slowness=slowness
    )


def decode_leaving(text: bytes) -> bool:
    """Decode the mark of an endpoint that is leaving; return True.

    Raises:
        ValueError: The text is not 1.
    """
    if text.strip() != b"1":
        raise ValueError("not a departure")
    return True


def decode_retry_after(text: bytes) -> float:
    """Decode the back-off that an endpoint asks for, in seconds.

    Raises:
        ValueError: The text is not a finite decimal number from 0 on. A date is not
            accepted either: the clocks of machines differ by seconds.
    """
    seconds = float(text)
    if not 0 <= seconds < math.inf:
        raise ValueError("not within range")
    return seconds


def _read_backoff(
    head: ResponseHead, invalid_by_directive: dict[Directive, str]
) -> timedelta | None:
    """Return the back-off of an answer that rejects a request with status 503."""
    if head.status != 503:
        return None
    seconds = _read(
        head,
        Directive.RETRY_AFTER,
        names.RETRY_AFTER,
        decode_retry_after,
        invalid_by_directive,
    )
    if seconds is None:
        return None
    return timedelta(seconds=min(seconds, MAX_BACKOFF.total_seconds()))


def _is_from_endpoint(
    head: ResponseHead, endpoint_id: str, request_id: bytes | None
) -> bool:
    """Return whether an answer is the endpoint's answer to this request.

    Another endpoint at a reused address answers with status 421 or under its own id. A
    surplus answer, left over on a connection, carries the id of an earlier request.
    """
    answered_by = head.header(names.ANSWERED_BY)
    return (
        head.status != 421
        and answered_by in (None, endpoint_id.encode())
        and head.header(names.REQUEST_ID) in (None, request_id)
    )


def _find_unknown(head: ResponseHead) -> Iterator[str]:
    """Return the names of the platform's headers that this host does not know."""
    for name, _ in head.headers:
        lower = name.lower()
        if lower.startswith(names.PLATFORM_PREFIXES) and (
            lower not in names.ENDPOINT_HEADERS
        ):
            yield lower.decode("latin-1")


def _read(
    head: ResponseHead,
    directive: Directive,
    name: bytes,
    decode: Callable[[bytes], T],
    invalid_by_directive: dict[Directive, str],
) -> T | None:
    """Return a header's value; record one that can't be decoded as invalid.

    Both an absent and an invalid header give None.
    """
    text = head.header(name)
    if text is None:
        return None
    try:
        return decode(text)
    except ValueError:
        invalid_by_directive[directive] = text.decode("latin-1")
        return None
