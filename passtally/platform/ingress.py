"""Translates requests and answers between callers and the front."""

from datetime import timedelta

import msgspec

from passtally.front import Front, log_end
from passtally.front_request import FrontRequest, Prompt
from passtally.generation import RawCall
from passtally.http_client import ResponseHead, drop_connection_headers
from passtally.http_exchange import Exchange, HttpRequest
from passtally.outcome import Failure
from passtally.plain_call import PlainAnswer
from passtally.platform import names
from passtally.platform.decode import MAX_COUNT


class Ingress:
    """Decodes callers' requests and passes them to the front.

    Args:
        front: The front that serves the requests.
    """

    def __init__(self, *, front: Front) -> None:
        self._front = front

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request; answer 400 if a header can't be decoded."""
        try:
            request = decode_request(exchange.request)
        except ValueError as error:
            body = str(error).encode()
            log_end(
                _text(exchange.request, names.REQUEST_ID) or "",
                _path_of(exchange.request),
                f"refused: bad_request, {error}",
                timedelta(0),
            )
            await exchange.answer(400, [(b"Content-Type", b"text/plain")], body)
            return
        await self._front.serve(request, IngressResponder(exchange=exchange))


class IngressResponder:
    """Writes one answer in the form that the platform's callers expect.

    Args:
        exchange: The request and its connection.
    """

    def __init__(self, *, exchange: Exchange) -> None:
        self._exchange = exchange

    async def answer(self, answer: PlainAnswer) -> None:
        """Forward an endpoint's buffered answer."""
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers.items()
        ]
        if answer.is_framed:
            await self._exchange.answer(answer.status, headers, answer.body)
            return
        await self._exchange.begin(answer.status, headers, is_framed=False)
        await self._exchange.write(answer.body)
        await self._exchange.end()

    async def refuse(self, failure: Failure) -> None:
        """Answer with a rejection that this host made."""
        if self._exchange.has_begun:
            self.abort()
            return
        headers = [(b"Content-Type", b"application/json")]
        request_id = self._exchange.request.header(names.REQUEST_ID)
        if request_id is not None:
            headers.append((b"X-Request-Id", request_id))
        if failure.retry_after is not None:
            seconds = f"{failure.retry_after.total_seconds():g}"
            headers.append((b"Retry-After", seconds.encode()))
        await self._exchange.answer(failure.status, headers, failure.to_json())

    async def begin(self, head: ResponseHead) -> None:
        """Forward the head of a stream."""
        headers = drop_connection_headers(head.headers)
        await self._exchange.begin(head.status, headers, is_framed=head.is_framed)

    async def write(self, data: bytes) -> None:
        """Forward a chunk of a stream."""
        await self._exchange.write(data)

    async def end(self) -> None:
        """Mark a stream as complete."""
        await self._exchange.end()

    async def flush(self) -> None:
        """Wait until nearly all of the answer is sent."""
        await self._exchange.flush()

    def abort(self) -> None:
        """Close the connection, so that the answer can't look complete."""
        self._exchange.abort()


def decode_request(request: HttpRequest) -> FrontRequest:
    """Decode a caller's HTTP request.

    Raises:
        ValueError: A header can't be decoded.
    """
    request_id = _text(request, names.REQUEST_ID)
    time_left = _number(request, names.TIME_LEFT_MS)
    headers = drop_connection_headers(request.headers, extra=names.SYSTEM_HEADERS)
    return FrontRequest(
        id=request_id or "",
        host=(_text(request, names.HOST) or "").partition(":")[0],
        path=_path_of(request),
        key=_text(request, names.KEY),
        time_left=None if time_left is None else timedelta(milliseconds=time_left),
        position=int(_number(request, names.LAST_EVENT_ID) or 0),
        resumes=_text(request, names.RESUMES) or "",
        prompt=_decode_prompt(request),
        raw=RawCall(
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body,
        ),
    )


def _path_of(request: HttpRequest) -> str:
    path, _, _ = request.target.partition(b"?")
    return path.decode("latin-1")


def _decode_prompt(request: HttpRequest) -> Prompt | None:
    parts = _text(request, names.PROMPT_PARTS)
    if not parts:
        return None
    counts = (_text(request, names.TOKEN_COUNTS) or "0,0").split(",")
    last_part, _, _ = parts.rsplit(",", 1)[-1].strip().partition(":")
    return Prompt(
        last_part=last_part,
        tokens=_decode_count(counts[0]),
        max_output=_decode_count(counts[-1]),
    )


def _decode_count(text: str) -> int:
    """Decode a number of tokens.

    Raises:
        ValueError: The text is not a whole number from 0 to ``MAX_COUNT``.
    """
    count = int(text)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f"{names.TOKEN_COUNTS.decode()}: out of range")
    return count


def _text(request: HttpRequest, name: bytes) -> str | None:
    value = request.header(name)
    return None if value is None else value.decode("latin-1").strip()


def _number(request: HttpRequest, name: bytes) -> float | None:
    text = _text(request, name)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < 1e12:
        raise ValueError(f"{name.decode()}: {text!r} is not a number")
    return number


def encode_ready(is_ready: bool) -> tuple[int, bytes]:
    """Return the status and body that answer the balancer's readiness check."""
    status = 200 if is_ready else 503
    return status, msgspec.json.encode({"ready": is_ready})
