"""Model engines over HTTP; docs/ENGINE.md describes their protocol."""

import contextlib
import re
from collections.abc import Collection, Sequence
from datetime import timedelta
from http import HTTPStatus

import aiohttp
import msgspec

from passtally.endpoint_dialer import EndpointDialer
from passtally.endpoint_links import address_of
from passtally.engine import AttemptLostError, LoadReport, TokenStream
from passtally.fetch import FetchError
from passtally.generation import Attempt, GenerationRequest, TokenEvent
from passtally.http import fetch
from passtally.json_decoding import decode_json
from passtally.retry import LossKind

CONNECT_TIMEOUT = timedelta(seconds=1)
PROBE_TIMEOUT = timedelta(milliseconds=300)
CANCEL_TIMEOUT = timedelta(seconds=2)
MAX_EVENT_BYTES = 1 << 20
LOAD_HEADER = "X-Engine-Load"

_DATA = b"data: "
_DONE = b"data: [DONE]"


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0


class _Chunk(msgspec.Struct):
    choices: list[TokenEvent]
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


#: A figure of a load report.
_FIGURE = re.compile("[0-9]{1,9}")
_decode_chunk = msgspec.json.Decoder(_Chunk).decode


class HttpEngine:
    """A model endpoint over HTTP, with server-sent events.

    Args:
        session: The client session.
        endpoint_id: The endpoint's name, for errors.
        url: The endpoint's base URL.
        dialer: Connects the session to endpoints, and knows the state of the links;
            None for a session that connects by itself.
    """

    reports_load = True
    keeps_streams = True

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        endpoint_id: str,
        url: str,
        dialer: EndpointDialer | None = None,
    ) -> None:
        self._session = session
        self._dialer = dialer
        self._endpoint_id = endpoint_id
        self._url = url.rstrip("/")

    async def generate(
        self, request: GenerationRequest, attempt: Attempt, prior: Sequence[int]
    ) -> TokenStream:
        """Run a request, continuing after the prior token ids."""
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
            priority=request.priority.engine_rank(is_resumed=bool(prior)),
            stream=True,
        )
        data = msgspec.json.encode(body)
        return await self._open("stream", "POST", "/v1/completions", data=data)

    async def attach(
        self, request: GenerationRequest, attempt: Attempt, *, position: int
    ) -> TokenStream:
        """Attach to a stream that the engine still has, from a position."""
        path = f"/v1/streams/{request.id}"
        params = {"from": str(position), "attempt": str(attempt.number)}
        return await self._open("attach", "GET", path, params=params)

    async def cancel(self, generation_id: str, attempt: int) -> None:
        """Ask the engine to cancel an attempt; the request may get lost."""
        url = f"{self._url}/v1/streams/{generation_id}"
        params = {"attempt": str(attempt)}
        with contextlib.suppress(FetchError):
            await fetch(
                self._session, "DELETE", url, timeout=CANCEL_TIMEOUT, params=params
            )

    async def probe(self) -> LoadReport | None:
        """Return the engine's load report, or None if none arrives in time."""
        url = f"{self._url}/v1/load"
        try:
            fetched = await fetch(self._session, "GET", url, timeout=PROBE_TIMEOUT)
            if fetched.status != HTTPStatus.OK:
                return None
            return decode_json(fetched.body, LoadReport)
        except (FetchError, ValueError):
            return None

    async def copy_run(self, generation_id: str, target: str) -> str:
        """Raise AttemptLostError: these engines do not support replicas."""
        raise self._lost(LossKind.REFUSED, "copy", "not supported")

    async def drop_copy(self, replica_ref: str, target: str) -> None:
        """Do nothing: these engines do not support replicas."""

    async def count_waiting(self) -> int:
        """Return the number of queued runs from the engine's load report."""
        report = await self.probe()
        if report is None:
            raise self._lost(LossKind.FROZEN, "report", "no answer in time")
        return report.queued

    async def list_cached_prompts(self) -> Collection[str]:
        """Return an empty collection: cache events of these engines are not read."""
        return ()

    async def is_reachable(self) -> bool:
        """Return whether the engine answers a probe."""
        return await self.probe() is not None

    async def has_ended(self) -> bool:
        """Return False: only a failed attach shows that these engines have exited."""
        return False

    def is_silent(self, *, since: timedelta) -> bool:
        """Return whether connections opened before ``since`` fell silent."""
        return self._dialer is not None and self._dialer.is_silent(
            address_of(self._url), since=since
        )

    @property
    def is_bypassed(self) -> bool:
        """Whether only other hosts reach the engine."""
        return self._dialer is not None and self._dialer.is_bypassed(
            address_of(self._url)
        )

    async def _open(
        self, step: str, method: str, path: str, **kwargs: object
    ) -> "HttpTokenStream":
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
        )
        try:
            response = await self._session.request(
                method,
                self._url + path,
                timeout=timeout,
                allow_redirects=False,
                **kwargs,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise self._lost(LossKind.UNREACHABLE, step, str(error)) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self._lost(LossKind.RESET, step, _describe(error)) from error
        if response.status != HTTPStatus.OK:
            response.close()
            superseded = response.status == HTTPStatus.CONFLICT
            kind = LossKind.SUPERSEDED if superseded else LossKind.REFUSED
            raise self._lost(kind, step, f"status {response.status}")
        return HttpTokenStream(response=response, step=step, peer=self._endpoint_id)

    def _lost(self, kind: LossKind, step: str, detail: str) -> AttemptLostError:
        return AttemptLostError(kind, step=step, peer=self._endpoint_id, detail=detail)


class HttpTokenStream:
    """The server-sent events of one attempt.

    Args:
        response: The open response.
        step: The step, for errors.
        peer: The endpoint, for errors.
    """

    def __init__(
        self, *, response: aiohttp.ClientResponse, step: str, peer: str
    ) -> None:
        self._response = response
        self._content = response.content
        self._step = step
        self._peer = peer
        self.report = _read_report(response.headers.get(LOAD_HEADER, ""))
        self._buffer = b""
        self._has_ended = False

    async def read(self) -> list[TokenEvent]:
        """Return the next events that arrived together; empty after the last event."""
        try:
            while not self._has_ended:
                chunk = await self._content.readany()
                if not chunk:
                    raise self._lost(LossKind.RESET, "the stream ended early")
                events = self._decode(chunk)
                if events:
                    return events
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self._lost(LossKind.RESET, _describe(error)) from error
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise self._lost(LossKind.RESUME_MISMATCH, str(error)) from error
        return []

    def close(self) -> None:
        """Close the connection."""
        self._response.close()

    def _decode(self, chunk: bytes) -> list[TokenEvent]:
        """Return the complete events, and buffer an incomplete one."""
        *whole, self._buffer = (self._buffer + chunk).split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        events = []
        for raw in whole:
            if raw.startswith(_DATA) and raw != _DONE:
                events.append(self._decode_one(raw[len(_DATA) :]))
        return events

    def _decode_one(self, data: bytes) -> TokenEvent:
        chunk = _decode_chunk(data)
        if not chunk.choices:
            raise ValueError("an event without a choice")
        event = chunk.choices[0]
        if event.finish_reason is not None:
            self._has_ended = True
            event.prompt_tokens = chunk.usage.prompt_tokens if chunk.usage else 0
        return event

    def _lost(self, kind: LossKind, detail: str) -> AttemptLostError:
        return AttemptLostError(kind, step=self._step, peer=self._peer, detail=detail)


def _read_report(text: str) -> LoadReport | None:
    """Parse the load report in an answer's head: ``running,queued,step,draining``."""
    parts = text.split(",")
    if len(parts) != 4 or not all(_FIGURE.fullmatch(part) for part in parts):
        return None
    running, queued, step, draining = map(int, parts)
    return LoadReport(
        running=running, queued=queued, step=step, draining=bool(draining)
    )


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
