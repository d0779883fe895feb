"""Streams that callers join from several tries: their versions, and how many go on."""

from collections.abc import Callable

import attrs

#: Number of streams that may hold events of two software versions.
MAX_MIXED = 2
#: Number of endpoints of a version that must serve for its streams to go on.
MIN_ENDPOINTS = 2
#: Number of such streams from which on their share is judged, and the part of the share
#: of new streams that must go on.
MIN_TAKE_UPS = 12
MIN_PART = 0.5


@attrs.frozen(kw_only=True)
class StreamTry:
    """A try of a stream that a host should serve.

    Attributes:
        host: The host.
        sent_at: Time of sending on the monotonic clock, in seconds.
        ended_at: Time of its end.
        went_on: Whether it brought an event.
    """

    host: str
    sent_at: float
    ended_at: float
    went_on: bool


#: Returns whether no fault can have affected a host in a try.
IsInTouch = Callable[[StreamTry], bool]


@attrs.define(kw_only=True)
class JoinedStreams:
    """The record of streams over all tries of their callers.

    Attributes:
        count_endpoints: Returns the number of running endpoints of a version.
        mixed: The ids of the tries that brought a second version.
    """

    count_endpoints: Callable[[str], int] = lambda version: 0
    mixed: list[str] = attrs.field(factory=list)
    _begun: list[StreamTry] = attrs.field(factory=list)
    _taken_up: list[StreamTry] = attrs.field(factory=list)

    def record_versions(self, try_id: str, versions: set[str]) -> None:
        """Record the versions of a stream's events, those of a try included."""
        if len(versions - {""}) > 1:
            self.mixed.append(try_id)

    def record_new(self, stream_try: StreamTry) -> None:
        """Record a try of a stream that has no event yet."""
        self._begun.append(stream_try)

    def record_take_up(self, stream_try: StreamTry) -> None:
        """Record a try that takes up a stream which must be able to go on."""
        self._taken_up.append(stream_try)

    def can_go_on(self, version: str) -> bool:
        """Return whether a stream of a version must be able to go on."""
        return self.count_endpoints(version) >= MIN_ENDPOINTS

    def list_problems(self, is_in_touch: IsInTouch) -> list[str]:
        """Return the broken promises, a line each."""
        taken_up = [item.went_on for item in self._taken_up if is_in_touch(item)]
        begun = [item.went_on for item in self._begun if is_in_touch(item)]
        problems = []
        if len(self.mixed) > MAX_MIXED:
            problems.append(f"two software versions in one stream: {self.mixed}")
        if len(taken_up) >= MIN_TAKE_UPS and begun:
            share = sum(taken_up) / len(taken_up)
            new_share = sum(begun) / len(begun)
            if share < MIN_PART * new_share:
                problems.append(
                    f"{share:.2f} of {len(taken_up)} streams taken up go on,"
                    f" {new_share:.2f} of the new ones begin"
                )
        return problems
