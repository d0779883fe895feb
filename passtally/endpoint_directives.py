"""Directives that endpoints send in the headers of their answers.

The directives of each answer are read once, when its head arrives and before its status
is checked, and are passed to a :class:`DirectiveRecorder`.
"""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from enum import StrEnum
from typing import Protocol

import attrs

from passtally.decision import log_event
from passtally.engine import InstanceLoad
from passtally.objects import EndpointStart

#: Maximum number of endpoints with invalid directives, and of unknown headers, that are
#: remembered so that each is logged once.
MAX_LOGGED = 64


class Directive(StrEnum):
    """What endpoints announce: a departure, limits, a back-off, their load."""

    LEAVING = "leaving"
    LIMIT = "limit"
    RETRY_AFTER = "rest"
    BRITTLE = "brittle"
    LOAD = "load"


@attrs.frozen(kw_only=True)
class EndpointDirectives:
    """The directives in one answer.

    Attributes:
        is_leaving: Whether the endpoint states that it is leaving. It may be leaving
            even if the answer does not state so.
        limit: The requests per second that it accepts from all hosts; None for no
            limit.
        backoff: The back-off that it requests from this host; None for none.
        borne: The rejections in a second that it bears before it falls over; None if
            it does not state that it is brittle.
        load: The load that it reports; None if it reports none.
        is_rejection: Whether the answer rejects the request for want of room.
        invalid_by_directive: The text of each directive that can't be parsed; such a
            directive is logged and otherwise ignored.
        unknown_headers: The platform's headers that this version does not know.
    """

    is_leaving: bool = False
    limit: float | None = None
    backoff: timedelta | None = None
    borne: int | None = None
    load: InstanceLoad | None = None
    is_rejection: bool = False
    invalid_by_directive: Mapping[Directive, str] = attrs.field(factory=dict)
    unknown_headers: Sequence[str] = ()


class DirectiveRecorder(Protocol):
    """Receives the directives that endpoints send."""

    def start_of(self, endpoint_id: str) -> EndpointStart:
        """Return the known start of an endpoint."""

    def may_query(self, start: EndpointStart) -> bool:
        """Return whether this host may query an endpoint: no back-off is active."""

    def record_directives(
        self,
        start: EndpointStart,
        directives: EndpointDirectives,
        *,
        sent_at: timedelta,
    ) -> None:
        """Record the directives in an answer.

        Args:
            start: The start of the endpoint that was known when the request was sent.
            directives: The directives in the answer.
            sent_at: When the request was sent, on the monotonic clock; answers may
                arrive out of order.
        """


class InvalidDirectiveLog:
    """Logs invalid directives and unknown headers, without repeating itself."""

    def __init__(self) -> None:
        self._invalid_by_endpoint: dict[str, Mapping[Directive, str]] = {}
        self._logged_headers: set[str] = set()

    def record(self, endpoint_id: str, directives: EndpointDirectives) -> None:
        """Log what can't be read in an answer.

        Invalid directives are logged unless the endpoint's last answer had the same
        ones, and unknown headers once for all endpoints.
        """
        for name in directives.unknown_headers:
            if (
                name not in self._logged_headers
                and len(self._logged_headers) < MAX_LOGGED
            ):
                self._logged_headers.add(name)
                log_event("words", "Unknown header.", peer=endpoint_id, header=name)
        invalid_by_directive = directives.invalid_by_directive
        if self._invalid_by_endpoint.get(endpoint_id, {}) == invalid_by_directive:
            return
        if len(self._invalid_by_endpoint) >= MAX_LOGGED:
            self._invalid_by_endpoint.clear()
        self._invalid_by_endpoint[endpoint_id] = invalid_by_directive
        for word, told in invalid_by_directive.items():
            log_event(
                "words", "Invalid directive.", peer=endpoint_id, word=word, told=told
            )
