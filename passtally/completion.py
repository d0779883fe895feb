"""Parses requests of the usual completion API, and renders its events and answers."""

import secrets
import time
from enum import StrEnum
from typing import Any

import attrs
import msgspec

from passtally.copies import CopiedStream
from passtally.fingerprint import fingerprint_of
from passtally.generation import Attempt, Delivery, Generation, GenerationRequest
from passtally.handle import HandleSigner, HandleWriter, StreamRef
from passtally.objects import Service, Workspace
from passtally.outcome import Code, RefusedError, refuse

MAX_TOKENS_LIMIT = 1 << 20
_SEED_BITS = 31


class Flavour(StrEnum):
    """The two flavours of the API: chat messages or a text prompt."""

    CHAT = "chat"
    TEXT = "text"


class _Message(msgspec.Struct):
    role: str
    content: str


class _StreamOptions(msgspec.Struct):
    include_usage: bool = False


class CompletionBody(msgspec.Struct, kw_only=True):
    """The body of a caller's request. Fields that are not listed are ignored.

    Attributes:
        model: The service's id.
        messages: The conversation, for the chat flavour.
        prompt: The prompt, for the text flavour.
        max_tokens: The maximum length of the answer in tokens.
        max_completion_tokens: The newer name of ``max_tokens``; takes precedence.
        temperature: The sampling temperature, 0 to 2.
        seed: The sampling seed; a random one is chosen if it is missing.
        stop: Strings that end the answer.
        stream: Whether the answer is sent as events.
        stream_options: Whether the last event carries the usage.
    """

    model: str
    messages: list[_Message] = []
    prompt: str = ""
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    temperature: float = 0.0
    seed: int | None = None
    stop: str | list[str] | None = None
    stream: bool = False
    stream_options: _StreamOptions | None = None


def parse_body(raw: bytes, flavour: Flavour) -> CompletionBody:
    """Parse and validate the body of a caller's request.

    Raises:
        RefusedError: The body is not JSON, or not a request of this flavour.
    """
    try:
        body = msgspec.json.decode(raw, type=CompletionBody)
    except msgspec.ValidationError as error:
        raise _bad_request(Code.BAD_REQUEST, str(error)) from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _bad_request(Code.BAD_JSON, f"The body is not JSON: {error}") from error
    problem = _find_problem(body, flavour)
    if problem:
        raise _bad_request(Code.BAD_REQUEST, problem)
    return body


def build_request(
    body: CompletionBody,
    flavour: Flavour,
    *,
    workspace: Workspace,
    service: Service,
    generation_id: str = "",
) -> GenerationRequest:
    """Return the generation request for a caller's request.

    Args:
        body: The body of the caller's request.
        flavour: The flavour of the API.
        workspace: The caller's workspace.
        service: The service that the body names.
        generation_id: The generation's id; empty for a new id.
    """
    seed = body.seed if body.seed is not None else secrets.randbits(_SEED_BITS)
    prompt = body.prompt if flavour is Flavour.TEXT else _flatten(body.messages)
    return GenerationRequest(
        id=generation_id or new_generation_id(),
        workspace=workspace.id,
        service=service.id,
        model=service.model,
        version=service.version,
        adapter=service.adapter,
        prompt=prompt,
        max_tokens=body.max_completion_tokens or body.max_tokens or service.max_tokens,
        temperature=body.temperature,
        seed=seed,
        stop=(body.stop,) if isinstance(body.stop, str) else tuple(body.stop or ()),
        failure_domain=workspace.placements.get(service.id, ""),
        fingerprint=fingerprint_of(
            workspace.id, service.id.encode(), prompt.encode("utf-8", "replace")
        ),
    )


def resume_request(request: GenerationRequest, stream: StreamRef) -> GenerationRequest:
    """Return a request with the parameters of its stream.

    The service's configuration may have changed since the answer began.
    """
    return attrs.evolve(
        request,
        id=stream.generation_id,
        model=stream.model,
        version=stream.version,
        adapter=stream.adapter,
        seed=stream.seed,
        max_tokens=stream.max_tokens,
    )


def new_generation_id() -> str:
    """Return a new id; its first part is the time of creation in seconds, in hex."""
    return f"gen-{int(time.time()):08x}-{secrets.token_hex(8)}"


@attrs.frozen(kw_only=True)
class AnswerFormat:
    """Renders events and answers in one flavour of the API.

    Attributes:
        flavour: The flavour of the API.
        include_usage: Whether the last event carries the usage.
    """

    flavour: Flavour
    include_usage: bool = False

    def event_parts(self, request: GenerationRequest) -> tuple[bytes, bytes]:
        """Return the bytes before and after the text in each event but the last."""
        head = msgspec.json.encode(self._common_fields(request, "chunk"))[:-1]
        if self.flavour is Flavour.CHAT:
            before = head + b',"choices":[{"index":0,"delta":{"content":'
            return before, b'},"finish_reason":null}]}\n\n'
        before = head + b',"choices":[{"index":0,"text":'
        return before, b',"finish_reason":null}]}\n\n'

    def last_event(self, generation: Generation, text: str) -> bytes:
        """Return the data of the event that ends an answer."""
        row = {"content": text} if text else {}
        row = {"delta": row} if self.flavour is Flavour.CHAT else {"text": text}
        event = self._common_fields(generation.request, "chunk") | {
            "choices": [row | {"index": 0, "finish_reason": generation.finish_reason}]
        }
        if self.include_usage:
            event["usage"] = _usage(generation)
        return msgspec.json.encode(event)

    def render_answer(self, generation: Generation, text: str) -> bytes:
        """Return the body of an answer that is not streamed."""
        message: dict[str, Any] = {"text": text}
        if self.flavour is Flavour.CHAT:
            message = {"message": {"role": "assistant", "content": text}}
        choice = message | {"index": 0, "finish_reason": generation.finish_reason}
        return msgspec.json.encode(
            self._common_fields(generation.request, "whole")
            | {"choices": [choice], "usage": _usage(generation)}
        )

    def _common_fields(self, request: GenerationRequest, form: str) -> dict[str, Any]:
        names = {
            (Flavour.CHAT, "chunk"): "chat.completion.chunk",
            (Flavour.CHAT, "whole"): "chat.completion",
        }
        return {
            "id": request.id,
            "object": names.get((self.flavour, form), "text_completion"),
            "created": int(request.id.split("-")[1], 16),
            "model": request.service,
        }


class EventWriter:
    """Encodes deliveries as server-sent events, each with a resume handle.

    Args:
        answer_format: Renders the events.
        signer: Signs the handles.
        binding: The workspace and body that the handles are bound to.
        copy: The answer's copy at a peer, or None for no copy.
    """

    def __init__(
        self,
        *,
        answer_format: AnswerFormat,
        signer: HandleSigner,
        binding: bytes,
        copy: CopiedStream | None = None,
    ) -> None:
        self._answer_format = answer_format
        self._signer = signer
        self._binding = binding
        self._copy = copy
        self._copy_host = ""
        self._before = self._after = b""
        self._attempt: Attempt | None = None
        self._handles: HandleWriter | None = None

    def switch(self, generation: Generation, attempt: Attempt) -> None:
        """Encode the following events as output of a new attempt."""
        self._attempt = attempt
        self._before, self._after = self._answer_format.event_parts(generation.request)
        self._open_handles(generation.request, self._copy_host)

    def encode(self, generation: Generation, deliveries: list[Delivery]) -> bytes:
        """Return the events of deliveries, as sent on the wire."""
        return b"".join(self._encode_one(generation, item) for item in deliveries)

    def _encode_one(self, generation: Generation, delivery: Delivery) -> bytes:
        handle = self._write_handle(generation, delivery)
        if delivery.finish_reason is not None:
            data = self._answer_format.last_event(generation, delivery.text)
            return b"id: %b\ndata: %b\n\ndata: [DONE]\n\n" % (handle, data)
        text = msgspec.json.encode(delivery.text)
        return b"id: %b\ndata: %b%b%b" % (handle, self._before, text, self._after)

    def _write_handle(self, generation: Generation, delivery: Delivery) -> bytes:
        position = delivery.position
        start = self._find_tail_start(generation, position)
        tail = generation.token_ids[start:position] if start < position else ()
        handle = self._handles.write(position, delivery.characters, start, tail)
        return handle.encode()

    def _find_tail_start(self, generation: Generation, position: int) -> int:
        """Return the position from which a handle carries token ids.

        If the copy has become usable or unusable, this handle and later ones name it or
        leave it out.
        """
        if self._copy is None:
            return position
        start = self._copy.tail_start(position)
        copy_host = self._copy.peer if start is not None else ""
        if copy_host != self._copy_host:
            self._open_handles(generation.request, copy_host)
        return start if copy_host else position

    def _open_handles(self, request: GenerationRequest, copy_host: str) -> None:
        self._copy_host = copy_host
        stream = StreamRef.of(
            request,
            endpoint_id=self._attempt.endpoint_id,
            attempt=self._attempt.number,
            copy_host=copy_host,
            copy_id=self._copy.copy_id if copy_host else "",
            software=self._attempt.origin.software if self._attempt.origin else "",
        )
        self._handles = self._signer.writer(stream, binding=self._binding)


def _usage(generation: Generation) -> dict[str, int]:
    completion = generation.position
    return {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": completion,
        "total_tokens": generation.prompt_tokens + completion,
    }


def _flatten(messages: list[_Message]) -> str:
    return "\n".join(f"{message.role}: {message.content}" for message in messages)


def _find_problem(body: CompletionBody, flavour: Flavour) -> str:
    if flavour is Flavour.CHAT and not body.messages:
        return "messages is missing or empty."
    if flavour is Flavour.TEXT and not body.prompt:
        return "prompt is missing or empty."
    wanted = body.max_completion_tokens or body.max_tokens
    if wanted is not None and not 0 < wanted <= MAX_TOKENS_LIMIT:
        return f"max_tokens must lie between 1 and {MAX_TOKENS_LIMIT}."
    if not 0 <= body.temperature <= 2:
        return "temperature must lie between 0 and 2."
    return ""


def _bad_request(code: Code, message: str) -> RefusedError:
    return refuse(code, message, status=400, step="parse")
