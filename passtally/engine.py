"""Model engines over HTTP; docs/ENGINE.md describes their protocol."""

from collections.abc import AsyncIterator, Sequence
from datetime import timedelta
from http import HTTPStatus
from typing import Protocol

import aiohttp
import msgspec

from passtally.generation import Attempt, GenerationRequest, TokenEvent
from passtally.retry import LossKind

CONNECT_TIMEOUT = timedelta(seconds=1)
PROBE_TIMEOUT = timedelta(milliseconds=300)
CANCEL_TIMEOUT = timedelta(seconds=2)
MAX_EVENT_BYTES = 1 << 20

_DATA = b"data: "
_DONE = b"data: [DONE]"


class AttemptLostError(Exception):
    """An attempt that can't go on.

    Args:
        kind: How it was lost.
        step: The step at which it was: ``connect``, ``stream`` or ``attach``.
        peer: The endpoint.
        detail: What was seen.
    """

    def __init__(self, kind: LossKind, *, step: str, peer: str, detail: str) -> None:
        self.kind = kind
        self.step = step
        self.peer = peer
        self.detail = detail
        super().__init__(f"{kind} at step {step} with {peer}: {detail}")


class LoadReport(msgspec.Struct):
    """What an engine says of itself; it lags.

    Attributes:
        running: Streams in the batch.
        queued: Streams that wait.
        step: Counts the engine's decoding steps.
        draining: Whether the engine itself says that it is leaving.
    """

    running: int
    queued: int
    step: int
    draining: bool = False


class Engine(Protocol):
    """One model endpoint."""

    def generate(
        self, request: GenerationRequest, attempt: Attempt, prior: Sequence[int]
    ) -> AsyncIterator[list[TokenEvent]]:
        """Run a request, going on after the prior token ids."""

    def attach(
        self, request: GenerationRequest, attempt: Attempt, *, position: int
    ) -> AsyncIterator[list[TokenEvent]]:
        """Take up a stream that the engine still holds, from a position."""

    async def cancel(self, generation_id: str, attempt: int) -> None:
        """Ask it to drop an attempt; it may not hear."""

    async def probe(self) -> LoadReport | None:
        """Return its load report, or None where none came in time."""


class _Choice(msgspec.Struct):
    text: str
    token_ids: list[int]
    text_offset: int
    position: int
    finish_reason: str | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0


class _Chunk(msgspec.Struct):
    choices: list[_Choice]
    usage: _Usage | None = None


class _Body(msgspec.Struct, omit_defaults=True):
    request_id: str
    attempt: int
    model: str
    version: str
    adapter: str
    prompt: str
    prior_token_ids: list[int]
    max_tokens: int
    temperature: float
    seed: int
    stop: tuple[str, ...]
    priority: int
    stream: bool


_decode_chunk = msgspec.json.Decoder(_Chunk).decode


class HttpEngine:
    """A model endpoint over HTTP, with server-sent events.

    Args:
        session: The client session.
        endpoint_id: The endpoint's name, for errors.
        url: Where it listens.
    """

    def __init__(
        self, *, session: aiohttp.ClientSession, endpoint_id: str, url: str
    ) -> None:
        self._session = session
        self._endpoint_id = endpoint_id
        self._url = url.rstrip("/")

    async def generate(
        self, request: GenerationRequest, attempt: Attempt, prior: Sequence[int]
    ) -> AsyncIterator[list[TokenEvent]]:
        """Run a request, going on after the prior token ids.

        Yields:
            The events that arrived together.

        Raises:
            AttemptLostError: It can't go on.
        """
        body = _Body(
            request_id=request.id,
            attempt=attempt.number,
            model=request.model,
            version=request.version,
            adapter=request.adapter,
            prompt=request.prompt,
            prior_token_ids=list(prior),
            max_tokens=request.max_tokens,
            temperature=request.temperature,
            seed=request.seed,
            stop=request.stop,
            priority=request.priority,
            stream=True,
        )
        async for events in self._stream(
            "stream", "POST", "/v1/completions", data=msgspec.json.encode(body)
        ):
            yield events

    async def attach(
        self, request: GenerationRequest, attempt: Attempt, *, position: int
    ) -> AsyncIterator[list[TokenEvent]]:
        """Take up a stream that the engine still holds, from a position.

        Yields:
            The events that arrived together.

        Raises:
            AttemptLostError: The engine or its stream is gone.
        """
        path = f"/v1/streams/{request.id}"
        params = {"from": str(position), "attempt": str(attempt.number)}
        async for events in self._stream("attach", "GET", path, params=params):
            yield events

    async def cancel(self, generation_id: str, attempt: int) -> None:
        """Ask it to drop an attempt; it may not hear."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT.total_seconds())
        try:
            async with self._session.delete(
                f"{self._url}/v1/streams/{generation_id}",
                params={"attempt": str(attempt)},
                timeout=timeout,
            ):
                pass
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def probe(self) -> LoadReport | None:
        """Return its load report, or None where none came in time."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT.total_seconds())
        try:
            async with self._session.get(
                f"{self._url}/v1/load", timeout=timeout
            ) as response:
                if response.status != 200:
                    return None
                body = await response.read()
                return msgspec.json.decode(body, type=LoadReport)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            return None

    async def _stream(
        self, step: str, method: str, path: str, **kwargs: object
    ) -> AsyncIterator[list[TokenEvent]]:
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
        )
        try:
            async with self._session.request(
                method,
                self._url + path,
                timeout=timeout,
                allow_redirects=False,
                **kwargs,
            ) as response:
                if response.status != 200:
                    superseded = response.status == HTTPStatus.CONFLICT
                    kind = LossKind.SUPERSEDED if superseded else LossKind.REFUSED
                    raise self._lost(kind, step, f"status {response.status}")
                async for events in _read_events(response.content):
                    yield events
                    if events[-1].finish_reason is not None:
                        return
            raise self._lost(LossKind.RESET, step, "the stream ended early")
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise self._lost(LossKind.UNREACHABLE, step, str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            detail = str(error) or type(error).__name__
            raise self._lost(LossKind.RESET, step, detail) from error
        except (msgspec.MsgspecError, ValueError) as error:
            raise self._lost(LossKind.SEAM, step, str(error)) from error

    def _lost(self, kind: LossKind, step: str, detail: str) -> AttemptLostError:
        return AttemptLostError(kind, step=step, peer=self._endpoint_id, detail=detail)


async def _read_events(
    content: aiohttp.StreamReader,
) -> AsyncIterator[list[TokenEvent]]:
    """Yield the whole events of each read; a part event waits for its rest."""
    rest = b""
    while chunk := await content.readany():
        *whole, rest = (rest + chunk).split(b"\n\n")
        if len(rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is too long")
        events = [
            _to_event(_decode_chunk(raw[len(_DATA) :]))
            for raw in whole
            if raw.startswith(_DATA) and raw != _DONE
        ]
        if events:
            yield events


def _to_event(chunk: _Chunk) -> TokenEvent:
    choice = chunk.choices[0]
    return TokenEvent(
        position=choice.position,
        token_ids=choice.token_ids,
        text_offset=choice.text_offset,
        text=choice.text,
        finish_reason=choice.finish_reason,
        prompt_tokens=chunk.usage.prompt_tokens if chunk.usage else 0,
    )
