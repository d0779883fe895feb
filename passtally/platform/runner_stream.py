"""The events of one run at a model engine."""

import re

from passtally.engine import LoadReport
from passtally.generation import TokenEvent
from passtally.http_client import (
    ClientConnection,
    ExchangeError,
    ResponseHead,
)
from passtally.platform.runner_link import RunnerLink
from passtally.retry import LossKind

#: The longest event of a stream that is taken, in bytes.
MAX_EVENT_BYTES = 1 << 20
_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
_EVENT_END = b"\n\n"


class RunnerStream:
    """The events of one attempt; each event counts as one token.

    Args:
        link: The endpoint.
        connection: The connection that they come on.
        head: The head of the answer.
        position: The last event that was delivered before.
    """

    report: LoadReport | None = None

    def __init__(
        self,
        *,
        link: RunnerLink,
        connection: ClientConnection,
        head: ResponseHead,
        position: int,
    ) -> None:
        self._link = link
        self._connection = connection
        self._head = head
        self._position = position
        self._rest = b""
        self._is_whole = False

    async def read(self) -> list[TokenEvent]:
        """Return the events that arrived together; none once it has ended."""
        try:
            while not self._is_whole:
                chunk = await self._connection.read()
                if not chunk:
                    return [self._end()]
                events = self._decode(chunk)
                if events:
                    return events
        except ExchangeError as error:
            raise self._link.lost_in_exchange(error) from error
        return []

    def close(self) -> None:
        """Give the connection back after a whole answer, else drop it."""
        if self._is_whole:
            self._link.release(self._connection, self._head)
        else:
            self._connection.abort()

    def _end(self) -> TokenEvent:
        if self._rest.strip():
            raise self._link.lost(LossKind.RESET, "the stream ended inside an event")
        self._is_whole = True
        return TokenEvent(
            position=self._position,
            token_ids=[],
            text_offset=0,
            text="",
            finish_reason="end",
        )

    def _decode(self, chunk: bytes) -> list[TokenEvent]:
        """Return the whole events so far; a part event waits for its rest."""
        *whole, self._rest = (self._rest + chunk).split(_EVENT_END)
        if len(self._rest) > MAX_EVENT_BYTES:
            raise self._link.lost(LossKind.RESUME_MISMATCH, "an event is too long")
        return [self._decode_one(raw + _EVENT_END) for raw in whole]

    def _decode_one(self, raw: bytes) -> TokenEvent:
        found = _EVENT_ID.search(raw)
        if found is None:
            raise self._link.lost(LossKind.RESUME_MISMATCH, "an event without an id")
        self._position = int(found.group(1))
        return TokenEvent(
            position=self._position - 1,
            token_ids=[0],
            text_offset=0,
            text="",
            payload=raw,
        )
