"""Client that reads event streams and reconnects after the last event received."""

import asyncio
import contextlib
import time
from collections.abc import Callable, Sequence

import aiohttp
import attrs
import msgspec

RECONNECT_SECONDS = 10.0
RECONNECT_PAUSE = 0.05


@attrs.define
class Answer:
    """Content and timing of one answer as the client received it.

    Attributes:
        text: Concatenated text of all events.
        events: Number of events with an id.
        arrivals: Arrival time of each event, in seconds on the monotonic clock.
        finish_reason: Finish reason of the answer, or None while unfinished.
        last_id: Id of the last event, sent as Last-Event-ID on reconnect.
        error: Error object that ended the answer, or None.
        connections: Number of connections opened.
        usage: Last usage object received, or None.
        status: HTTP status of the last connection.
        reported: Number of events with a finish reason; 1 in a correct answer.
        generation_id: Id of the generation.
    """

    text: str = ""
    events: int = 0
    arrivals: list[float] = attrs.field(factory=list)
    finish_reason: str | None = None
    last_id: str = ""
    error: dict | None = None
    connections: int = 0
    usage: dict | None = None
    status: int = 0
    reported: int = 0
    generation_id: str = ""

    @property
    def longest_gap(self) -> float:
        """Longest interval between two consecutive events, in seconds."""
        pairs = zip(self.arrivals, self.arrivals[1:], strict=False)
        return max((after - before for before, after in pairs), default=0.0)


class Caller:
    """Client of one workspace.

    Args:
        session: HTTP client session.
        urls: Base URLs of the entry hosts. Each reconnect uses the next one, as
            a round-robin balancer would.
        token: Bearer token of the workspace.
    """

    def __init__(
        self, *, session: aiohttp.ClientSession, urls: Sequence[str], token: str
    ) -> None:
        self.headers = {"Authorization": f"Bearer {token}"}
        self._session = session
        self._urls = list(urls)
        self._next = 0

    async def chat(
        self,
        model: str,
        prompt: str,
        *,
        on_event: Callable[[Answer], None] | None = None,
        reconnect: bool = True,
        **fields: object,
    ) -> Answer:
        """Stream one answer, reconnecting until it is complete or fails.

        Without any event, give up ``RECONNECT_SECONDS`` after the start.
        """
        messages = [{"role": "user", "content": prompt}]
        body = {"model": model, "messages": messages, "stream": True} | fields
        data = msgspec.json.encode(body)
        answer = Answer()
        deadline = time.monotonic() + RECONNECT_SECONDS
        while True:
            with contextlib.suppress(aiohttp.ClientError, OSError):
                await self._read(data, answer, on_event)
            if answer.finish_reason or answer.error or not reconnect:
                return answer
            if answer.events == 0 and time.monotonic() > deadline:
                return answer
            self._next += 1
            await asyncio.sleep(RECONNECT_PAUSE)

    async def _read(
        self,
        data: bytes,
        answer: Answer,
        on_event: Callable[[Answer], None] | None,
    ) -> None:
        headers = dict(self.headers)
        if answer.last_id:
            headers["Last-Event-ID"] = answer.last_id
        url = self._urls[self._next % len(self._urls)]
        answer.connections += 1
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=1)
        async with self._session.post(
            f"{url}/v1/chat/completions", data=data, headers=headers, timeout=timeout
        ) as response:
            answer.status = response.status
            if response.status != 200:
                answer.error = msgspec.json.decode(await response.read())["error"]
                return
            rest = b""
            while chunk := await response.content.readany():
                *whole, rest = (rest + chunk).split(b"\n\n")
                for raw_event in whole:
                    _record_event(raw_event, answer)
                    if on_event is not None:
                        on_event(answer)


def _record_event(raw_event: bytes, answer: Answer) -> None:
    fields = dict(line.split(b": ", 1) for line in raw_event.split(b"\n"))
    data = fields.get(b"data", b"")
    if not data or data == b"[DONE]":
        return
    event = msgspec.json.decode(data)
    if fields.get(b"event") == b"error":
        answer.error = event["error"]
        return
    answer.last_id = fields[b"id"].decode()
    answer.events += 1
    answer.generation_id = event["id"]
    answer.arrivals.append(time.monotonic())
    choice = event["choices"][0]
    answer.text += choice["delta"].get("content", "")
    if choice["finish_reason"] is not None:
        answer.finish_reason = choice["finish_reason"]
        answer.reported += 1
    answer.usage = event.get("usage", answer.usage)
