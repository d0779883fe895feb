"""What the heads of answers say of the endpoint that gave them.

Each answer of an endpoint is asked for these words once, where its head is read, before
its status is judged; whoever decides is told by :class:`DirectiveRecorder`.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

import attrs

from passtally.decision import log_event
from passtally.objects import EndpointStart

#: The most endpoints of which it is kept what they say that can't be read.
MAX_KEPT = 64


class Directive(StrEnum):
    """One thing that an endpoint says of itself."""

    LEAVING = "leaving"
    LIMIT = "limit"
    REST = "rest"


@attrs.frozen(kw_only=True)
class EndpointDirectives:
    """What one answer says of its endpoint.

    Attributes:
        is_leaving: Whether it says that it leaves; where it doesn't, it may leave all
            the same.
        limit: The requests a second that it takes from all hosts; None for no limit.
        rest: For how long it wants no request of this host; None for no rest.
        invalid_by_directive: What can't be read, as it was written; it changes nothing.
        unread: The headers that may say more of it, and that nothing here knows.
    """

    is_leaving: bool = False
    limit: float | None = None
    rest: timedelta | None = None
    invalid_by_directive: Mapping[Directive, str] = attrs.field(factory=dict)
    unread: Sequence[str] = ()


class DirectiveRecorder(Protocol):
    """Where what answers say of their endpoints is noted."""

    def start_of(self, endpoint_id: str) -> EndpointStart:
        """Return which start of an endpoint is known."""

    def may_query(self, start: EndpointStart) -> bool:
        """Return whether an endpoint wants to be asked anything by this host."""

    def record_directives(
        self, start: EndpointStart, words: EndpointDirectives, *, sent_at: timedelta
    ) -> None:
        """Take in what an answer says.

        Args:
            start: The start of the endpoint that was known when it was asked.
            words: What it says.
            sent_at: When its request was sent, on the monotonic clock: answers may
                come in another order than they were made in.
        """


class InvalidDirectiveLog:
    """Logs what endpoints say that can't be read, each once."""

    def __init__(self) -> None:
        self._invalid_by_endpoint: dict[str, Mapping[Directive, str]] = {}
        self._unread: set[str] = set()

    def note(self, endpoint_id: str, words: EndpointDirectives) -> None:
        """Log what can't be read, unless the endpoint's last answer said the same."""
        for name in words.unread:
            if name not in self._unread and len(self._unread) < MAX_KEPT:
                self._unread.add(name)
                log_event("words", "Nobody reads it.", peer=endpoint_id, header=name)
        invalid_by_directive = words.invalid_by_directive
        if self._invalid_by_endpoint.get(endpoint_id, {}) == invalid_by_directive:
            return
        if len(self._invalid_by_endpoint) >= MAX_KEPT:
            self._invalid_by_endpoint.clear()
        self._invalid_by_endpoint[endpoint_id] = invalid_by_directive
        for word, told in invalid_by_directive.items():
            log_event("words", "Can't be read.", peer=endpoint_id, word=word, told=told)
