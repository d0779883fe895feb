"""Engines that hosts have found to have exited, spread to all hosts by gossip. Pure.

A host learns of an exit when it loses a run there. The others may have replicas there,
which are lost too, and the platform that would tell them may be away.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.messages import ExitRow
from passtally.objects import EndpointStart

#: Time for which a host tells others of an exit after it has heard of it.
SPREAD_TIME = timedelta(seconds=5)
#: Time for which an exit is kept. It is longer, so that a peer that heard of the exit
#: late does not make it new again.
KEEP_TIME = timedelta(seconds=60)
#: Maximum number of exits in one message; those sent least often go first.
MAX_SENT = 10
#: Number of sends of each exit for which messages go out at shorter intervals.
URGENT_SENDS = 8


@attrs.define(kw_only=True)
class _Exit:
    heard_at: timedelta
    sends: int = 0


class ReportedExits:
    """The exits of engines that were reported of late.

    An exit is a report, not a fact: a receiver that knows better may ignore it, and one
    that does not gives the engine no work for a time.

    Args:
        clock: The clock.
        on_exit: Called once with each start that another host has found to have exited.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        on_exit: Callable[[EndpointStart], None] = lambda start: None,
    ) -> None:
        self._clock = clock
        self.on_exit = on_exit
        self._exits_by_start: dict[EndpointStart, _Exit] = {}

    def report(self, start: EndpointStart) -> None:
        """Tell other hosts of an exit that this host has found."""
        self._add(start)

    @property
    def has_updates(self) -> bool:
        """Whether an exit was sent to only a few peers so far."""
        return any(item.sends < URGENT_SENDS for item in self._spreading().values())

    def pop_updates(self) -> list[ExitRow]:
        """Return exits to send, and count them as sent."""
        spreading = self._spreading()
        chosen = sorted(spreading, key=lambda start: spreading[start].sends)[:MAX_SENT]
        for start in chosen:
            spreading[start].sends += 1
        return [
            ExitRow(endpoint_id=start.endpoint_id, incarnation=start.incarnation)
            for start in chosen
        ]

    def merge(self, rows: Iterable[ExitRow]) -> None:
        """Record the exits in a peer's message."""
        for row in rows:
            start = EndpointStart(
                endpoint_id=row.endpoint_id, incarnation=row.incarnation
            )
            if self._add(start):
                self.on_exit(start)

    def _add(self, start: EndpointStart) -> bool:
        """Add an exit; return whether it is new."""
        if start in self._exits_by_start:
            return False
        self._exits_by_start[start] = _Exit(heard_at=self._clock.monotonic())
        return True

    def _spreading(self) -> dict[EndpointStart, _Exit]:
        """Return the exits to tell others of, and drop those that are too old."""
        now = self._clock.monotonic()
        self._exits_by_start = {
            start: item
            for start, item in self._exits_by_start.items()
            if now - item.heard_at <= KEEP_TIME
        }
        return {
            start: item
            for start, item in self._exits_by_start.items()
            if now - item.heard_at <= SPREAD_TIME
        }
