"""A caller: sends requests, reads event streams, reconnects where it left off."""

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
    """What a caller got of one answer.

    Attributes:
        text: Its text.
        events: How many events with an id came.
        arrivals: When each came, on the monotonic clock, in seconds.
        finish_reason: Why it ended, or None.
        last_id: The last event id.
        error: The error that ended it, if any.
        connections: How many connections it took.
        usage: The usage that was reported, if any.
        status: The HTTP status of the last connection.
        reported: How often an end was reported.
        generation_id: The generation's id.
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
        """The longest time between two events, in seconds."""
        pairs = zip(self.arrivals, self.arrivals[1:], strict=False)
        return max((after - before for before, after in pairs), default=0.0)


class Caller:
    """One workspace's caller.

    Args:
        session: The client session.
        urls: The entry hosts; the balancer's choice is the next one in turn.
        token: The workspace's token.
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
        """Stream one answer, reconnecting until it is whole or refused."""
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
                for raw in whole:
                    _take_event(raw, answer)
                    if on_event is not None:
                        on_event(answer)


def _take_event(raw: bytes, answer: Answer) -> None:
    fields = dict(line.split(b": ", 1) for line in raw.split(b"\n"))
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
