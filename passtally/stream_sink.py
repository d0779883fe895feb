"""Writes one stream to its caller."""

from collections.abc import Callable, Sequence
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.front_request import Responder
from passtally.generation import Attempt, Delivery, Generation


class StreamSink:
    """The sink that writes one stream to its caller.

    The caller receives the head of the first attempt only.

    Args:
        responder: The writer of the answer.
        clock: The clock.
        marks_end: Whether the end is marked for the caller even if the endpoint does
            not mark it. Otherwise such an answer ends with its connection, as the
            endpoint sent it.
        on_begin: Called right before the caller gets the first output.
    """

    def __init__(
        self,
        *,
        responder: Responder,
        clock: Clock,
        marks_end: bool,
        on_begin: Callable[[], None],
    ) -> None:
        self._on_begin = on_begin
        self.has_begun = False
        self._clock = clock
        self._last_output_at = clock.monotonic()
        self._first_pause = timedelta(0)
        self._longest_pause = timedelta(0)
        self._responder = responder
        self._attempt: Attempt | None = None
        self._marks_end = marks_end

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Record a new attempt before its first output."""
        self._attempt = attempt

    @property
    def timing(self) -> str:
        """The wait for the first output and the longest pause after it, for the log."""
        first = round(self._first_pause.total_seconds() * 1000)
        longest = round(self._longest_pause.total_seconds() * 1000)
        return f"first after {first} ms, longest pause {longest} ms"

    async def write(self, deliveries: Sequence[Delivery]) -> None:
        """Write new output; return when the caller can accept more."""
        self._record_pause()
        if not self.has_begun:
            self.has_begun = True
            self._on_begin()
            head = self._attempt.head
            is_framed = head.is_framed or self._marks_end
            await self._responder.begin(attrs.evolve(head, is_framed=is_framed))
        await self._responder.write(b"".join(item.payload for item in deliveries))

    def _record_pause(self) -> None:
        now = self._clock.monotonic()
        pause, self._last_output_at = now - self._last_output_at, now
        if self.has_begun:
            self._longest_pause = max(self._longest_pause, pause)
        else:
            self._first_pause = pause
