"""Requests of callers as decoded from the wire, and the writer of their answers."""

from datetime import timedelta
from typing import Protocol

import attrs

from passtally.generation import RawCall
from passtally.http_client import ResponseHead
from passtally.outcome import Failure
from passtally.plain_call import PlainAnswer


@attrs.frozen(kw_only=True)
class Prompt:
    """The properties of a prompt that its caller states, without the prompt itself.

    Attributes:
        last_part: The name of the prompt's last part, which belongs to this request
            alone or to its session.
        tokens: The length of the prompt in tokens.
        max_output: The maximum length of the answer in tokens.
    """

    last_part: str
    tokens: int
    max_output: int


@attrs.frozen(kw_only=True)
class FrontRequest:
    """A request as decoded from the wire.

    Attributes:
        id: The caller's id of this try.
        host: The requested host name.
        path: The path, without the query.
        key: The key of a workspace, or None.
        time_left: The time until the caller gives up, if stated.
        position: The number of the last stream event that the caller has received.
        resumes: The id of the try that brought the first of these events; empty if the
            caller does not name it.
        prompt: The stated properties of the prompt, if any.
        raw: The method, target, headers and body to forward.
    """

    id: str
    host: str
    path: str
    key: str | None
    time_left: timedelta | None
    position: int
    resumes: str
    prompt: Prompt | None
    raw: RawCall


class Responder(Protocol):
    """The writer of the answer to one request."""

    async def answer(self, answer: PlainAnswer) -> None:
        """Write the complete answer of an endpoint."""

    async def refuse(self, failure: Failure) -> None:
        """Write a refusal by this host."""

    async def begin(self, head: ResponseHead) -> None:
        """Write the head of a stream."""

    async def write(self, data: bytes) -> None:
        """Write a part of a stream.

        Raises:
            ConnectionError: The caller disconnected.
        """

    async def end(self) -> None:
        """Mark the stream as complete."""

    async def flush(self) -> None:
        """Wait until nearly all of the answer is sent.

        Raises:
            ConnectionError: The caller disconnected.
        """

    def abort(self) -> None:
        """Abort the stream, so that it can't be taken for complete."""
