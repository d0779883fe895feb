"""The events of one run at a model engine."""

import re

from passtally.engine import LoadReport
from passtally.generation import END_OF_STREAM, Attempt, TokenEvent
from passtally.http_client import (
    ClientConnection,
    ExchangeError,
    ResponseHead,
)
from passtally.platform.runner_link import RunnerLink
from passtally.retry import LossKind

#: Maximum size of one event of a stream, in bytes.
MAX_EVENT_BYTES = 1 << 20
#: The number of an event; hosts send it to each other as a 64-bit integer.
_EVENT_ID = re.compile(rb"^id:[ ]?(\d{1,18})\r?$", re.MULTILINE)
_EVENT_END = b"\n\n"


class RunnerStream:
    """The events of one attempt; each event counts as one token.

    Args:
        link: The link to the endpoint.
        connection: The connection that the events arrive on.
        head: The head of the answer.
        attempt: The attempt; where it broke off is recorded there.
        position: The number of the last event that was delivered before this attempt.
    """

    report: LoadReport | None = None

    def __init__(
        self,
        *,
        link: RunnerLink,
        connection: ClientConnection,
        head: ResponseHead,
        attempt: Attempt,
        position: int,
    ) -> None:
        self._link = link
        self._connection = connection
        self._head = head
        self._attempt = attempt
        self._position = position
        #: The last event of this attempt; empty before the first.
        self._last_event = b""
        self._buffer = b""
        self._is_complete = False

    async def read(self) -> list[TokenEvent]:
        """Return the complete events of the next chunks; none after the end."""
        try:
            while not self._is_complete:
                chunk = await self._connection.read()
                if not chunk:
                    return [await self._end()]
                events = self._decode(chunk)
                if events:
                    return events
        except ExchangeError as error:
            raise self._link.lost_in_exchange(error) from error
        return []

    def close(self) -> None:
        """Release the connection after a complete answer, otherwise abort it."""
        if self._is_complete:
            self._link.release(self._connection, self._head)
            return
        self._connection.abort()
        if self._buffer.strip():
            self._attempt.broken_off_at = self._position

    async def _end(self) -> TokenEvent:
        if self._buffer.strip():
            raise self._link.lost(LossKind.RESET, "the stream ended inside an event")
        start = self._attempt.start_position
        if self._position < start:
            raise self._link.lost(
                LossKind.RESUME_MISMATCH,
                f"the stream ended at event {self._position}, before {start}",
            )
        if not self._head.is_framed:
            await self._link.check_unmarked_end()
            raise self._link.lost(
                LossKind.UNMARKED_END, f"the stream closed after event {self._position}"
            )
        if self._attempt.follows_lost_run and self._position == start:
            raise self._link.lost(
                LossKind.UNCONFIRMED_END, f"no event behind {self._position}"
            )
        self._is_complete = True
        return TokenEvent(
            position=self._position,
            token_ids=[],
            text_offset=0,
            text="",
            finish_reason=END_OF_STREAM,
        )

    def _check_order(self, number: int, raw: bytes) -> None:
        """Check that an event is later than the last one, or repeats it exactly.

        Raises:
            AttemptLostError: The event has the number of an earlier one.
        """
        is_repeated = number == self._position and raw == self._last_event
        if self._last_event and number <= self._position and not is_repeated:
            raise self._link.lost(
                LossKind.RESUME_MISMATCH, f"event {number} after {self._position}"
            )

    def _decode(self, chunk: bytes) -> list[TokenEvent]:
        """Return the complete events received so far; buffer a partial one."""
        *complete, self._buffer = (self._buffer + chunk).split(_EVENT_END)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise self._link.lost(LossKind.RESUME_MISMATCH, "an event is too long")
        return [self._decode_one(raw + _EVENT_END) for raw in complete]

    def _decode_one(self, raw: bytes) -> TokenEvent:
        found = _EVENT_ID.search(raw)
        if found is None:
            raise self._link.lost(LossKind.RESUME_MISMATCH, "an event without an id")
        number = int(found.group(1))
        self._check_order(number, raw)
        self._position, self._last_event = number, raw
        return TokenEvent(
            position=self._position - 1,
            token_ids=[0],
            text_offset=0,
            text="",
            payload=raw,
        )
