"""Decodes what an answer's head says of its endpoint: the one place that reads it."""

import math
from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import TypeVar

from passtally.endpoint_backoff import MAX_BACKOFF
from passtally.endpoint_directives import Directive, EndpointDirectives
from passtally.http_client import ResponseHead
from passtally.platform import names

T = TypeVar("T")


def read_directives(
    head: ResponseHead, *, endpoint_id: str, request_id: bytes | None = None
) -> EndpointDirectives | None:
    """Return what an answer says of an endpoint; None where it is not its own word.

    Args:
        head: The answer's head.
        endpoint_id: The endpoint that was asked.
        request_id: The request's id, where it has one.
    """
    if not _is_own_word(head, endpoint_id, request_id):
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
        rest=_read_rest(head, invalid_by_directive),
        invalid_by_directive=invalid_by_directive,
        unread=tuple(_find_unread(head)),
    )


def decode_limit(text: bytes) -> float:
    """Read the requests a second that an endpoint takes.

    Raises:
        ValueError: It is no decimal number, or a negative one.
    """
    rate = float(text)
    if not 0 <= rate < math.inf:
        raise ValueError("not within range")
    return rate


def decode_leaving(text: bytes) -> bool:
    """Read that an endpoint leaves.

    Raises:
        ValueError: It does not say so.
    """
    if text.strip() != b"1":
        raise ValueError("not a departure")
    return True


def decode_rest(text: bytes) -> float:
    """Read the seconds of rest that an endpoint asks for.

    Raises:
        ValueError: It is no decimal number, a negative one or without end. A date is
            none either: the clocks of machines differ by seconds.
    """
    return decode_limit(text)


def _read_rest(
    head: ResponseHead, invalid_by_directive: dict[Directive, str]
) -> timedelta | None:
    """Return the rest that an endpoint asks for that turns a request away."""
    if head.status != 503:
        return None
    seconds = _read(head, Directive.REST, names.REST, decode_rest, invalid_by_directive)
    if seconds is None:
        return None
    return timedelta(seconds=min(seconds, MAX_BACKOFF.total_seconds()))


def _is_own_word(
    head: ResponseHead, endpoint_id: str, request_id: bytes | None
) -> bool:
    """Return whether the endpoint that was asked has given this answer to it.

    Another one that has its address says so by status 421 or by its name; a surplus
    answer carries the id of an earlier request.
    """
    answered_by = head.header(names.ANSWERED_BY)
    return (
        head.status != 421
        and answered_by in (None, endpoint_id.encode())
        and head.header(names.REQUEST_ID) in (None, request_id)
    )


def _find_unread(head: ResponseHead) -> Iterator[str]:
    """Return the names of the platform's headers that are not known."""
    for name, _ in head.headers:
        lower = name.lower()
        if lower.startswith(names.OWN_PREFIXES) and (
            lower not in names.SAID_BY_ENDPOINTS
        ):
            yield lower.decode("latin-1")


def _read(
    head: ResponseHead,
    word: Directive,
    name: bytes,
    decode: Callable[[bytes], T],
    invalid_by_directive: dict[Directive, str],
) -> T | None:
    """Return a header's value; one that can't be read is told apart."""
    text = head.header(name)
    if text is None:
        return None
    try:
        return decode(text)
    except ValueError:
        invalid_by_directive[word] = text.decode("latin-1")
        return None
