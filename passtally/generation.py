"""The state of one generation, whose answer is assembled from its attempts.

This module reads no clock and does no I/O. Positions count token ids from the start
of the answer, so that a resumed attempt continues at the right token, even if a token
is half a character or a stop sequence spans two attempts.
"""

from array import array
from collections.abc import Sequence
from datetime import timedelta

import attrs
import msgspec

from passtally.http_client import ResponseHead
from passtally.origin import Origin
from passtally.priority import Priority
from passtally.statechart import Machine

#: Finish reason of an answer whose events state none.
END_OF_STREAM = "end"


class ResumeMismatchError(Exception):
    """An attempt sent output that does not continue the answer so far."""


@attrs.frozen(kw_only=True)
class RawCall:
    """A request that is forwarded without parsing its content.

    Attributes:
        method: The HTTP method.
        target: The path and query, byte for byte.
        headers: The headers to forward.
        body: The body.
    """

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


@attrs.frozen(kw_only=True)
class GenerationRequest:
    """A caller's request and its limits, the same for all attempts.

    Attributes:
        id: The generation's id.
        workspace: The id of the caller's workspace.
        service: The id of the service.
        model: The model's name at the engines.
        version: The model's version, pinned for the whole answer.
        adapter: The adapter's name, or empty.
        prompt: The prompt's text; an identifier of its last part if the text is not
            parsed.
        max_tokens: The maximum length of the answer in tokens, over all attempts.
        temperature: The sampling temperature.
        seed: The sampling seed, the same for all attempts.
        stop: Strings that end the answer.
        priority: Who goes first where requests compete.
        failure_domain: The preferred failure domain; empty for that of the host.
        prompt_tokens: The prompt's length in tokens; 0 if unknown.
        max_attempts: The maximum number of dispatches; None for the limit of the host.
        deadline: The time on the monotonic clock at which the caller stops waiting;
            None if unknown.
        patience: The maximum wait for an endpoint before the answer has begun.
        target: The time within which the first output is expected; None if unknown.
        max_gap: The maximum gap between two outputs that the caller allows; None if
            unknown.
        raw: The request to forward if its content is not parsed.
        route: The route that led to the service, or empty.
        fingerprint: The same for all tries of one request by its caller, see
            :func:`passtally.fingerprint.fingerprint_of`; empty for no fingerprint.
    """

    id: str
    workspace: str
    service: str
    model: str
    version: str = ""
    adapter: str = ""
    prompt: str
    max_tokens: int
    temperature: float = 0.0
    seed: int = 0
    stop: tuple[str, ...] = ()
    priority: Priority = Priority()
    failure_domain: str = ""
    prompt_tokens: int = 0
    max_attempts: int | None = None
    deadline: timedelta | None = None
    patience: timedelta = timedelta(0)
    target: timedelta | None = None
    max_gap: timedelta | None = None
    raw: RawCall | None = None
    route: str = ""
    fingerprint: bytes = b""

    @property
    def may_resume(self) -> bool:
        """Whether a further attempt may continue an answer that has begun."""
        return self.max_attempts != 1


class TokenEvent(msgspec.Struct, kw_only=True):
    """One event of an engine's output, as received on the wire.

    Attributes:
        position: The position of its first token.
        token_ids: Its token ids; may be empty on the last event.
        text_offset: The start of its text, in characters of the answer.
        text: The text that the tokens add; half a character adds nothing.
        finish_reason: Why the answer ended, on the last event only.
        prompt_tokens: The prompt's length in tokens, on the last event only.
        payload: The event's bytes if its content is not parsed; the event then counts
            as one token.
    """

    position: int
    token_ids: list[int]
    text_offset: int
    text: str
    finish_reason: str | None = None
    prompt_tokens: int = 0
    payload: bytes = b""


class Delivery(msgspec.Struct, frozen=True, kw_only=True):
    """New output for the caller.

    Attributes:
        position: The number of tokens delivered, this output included.
        characters: The number of characters delivered, this output included.
        text: The new text.
        finish_reason: Why the answer ended, or None before its end.
        payload: The bytes to forward if the content is not parsed.
    """

    position: int
    characters: int
    text: str
    finish_reason: str | None
    payload: bytes = b""


@attrs.define(kw_only=True)
class Attempt:
    """One dispatch of a generation to an endpoint.

    Attributes:
        number: The number of the dispatch, counted from 1.
        endpoint_id: The endpoint that runs the attempt.
        start_position: The position that the attempt continues from.
        replica_id: The endpoint that keeps a replica of the attempt's state, or empty.
        replica_ref: The identifier of that replica at the endpoint, or empty.
        resume_ref: The identifier of the replica that the attempt resumes, or empty.
        dropped_tokens: Number of tokens that the attempt sent again or sent after it
            was closed.
        head: The head of the endpoint's answer, if it is forwarded.
        sent_at: Time on the monotonic clock at which the attempt was sent; None before
            that.
        begun_at: Time on the monotonic clock at which the endpoint began to answer;
            None before that.
        is_separated: Whether it was sent there as a suspect, see
            :mod:`passtally.quarantine`.
        origin: The origin of an answer that begins with this attempt; None if the
            endpoint is not known.
        follows_lost_run: Whether an earlier attempt was lost after its endpoint began
            to answer.
        broken_off_at: Position of the last whole output, if the attempt was lost inside
            the output after it; None if it was lost between two outputs.
    """

    number: int
    endpoint_id: str
    start_position: int
    replica_id: str = ""
    replica_ref: str = ""
    resume_ref: str = ""
    dropped_tokens: int = 0
    head: ResponseHead | None = None
    sent_at: timedelta | None = None
    begun_at: timedelta | None = None
    is_separated: bool = False
    origin: Origin | None = None
    follows_lost_run: bool = False
    broken_off_at: int | None = None


class Generation:
    """The answer to one request, assembled from the output of its attempts.

    Args:
        request: The caller's request.
        token_ids: Token ids that an earlier entry host already received.
        delivered: Number of tokens that the caller already has.
        delivered_characters: Number of characters of text that the caller already has.
        attempts_before: Number of attempts made by earlier entry hosts.
        origin: The origin of an answer that an earlier entry host began.

    Attributes:
        origin: The origin of the answer; None while it has no output.
        holder_id: The endpoint that ran the answer last at an earlier entry host;
            empty if unknown.
    """

    def __init__(
        self,
        *,
        request: GenerationRequest,
        token_ids: Sequence[int] = (),
        delivered: int = 0,
        delivered_characters: int = 0,
        attempts_before: int = 0,
        origin: Origin | None = None,
    ) -> None:
        self.request = request
        self.origin = origin
        self.holder_id = ""
        self.machine = Machine(chart="generation")
        self.attempts: list[Attempt] = []
        self.token_ids = array("I", token_ids)
        self.delivered = delivered
        self.delivered_characters = delivered_characters
        self.finish_reason: str | None = None
        self.prompt_tokens = 0
        self._current: Attempt | None = None
        self._attempts_before = attempts_before

    @property
    def position(self) -> int:
        """Number of tokens on this host; the next attempt continues from here."""
        return len(self.token_ids)

    @property
    def is_taken_up(self) -> bool:
        """Whether its caller takes it up here, and no attempt was made for that yet."""
        return self.delivered > 0 and not self.attempts

    @property
    def has_lost_output(self) -> bool:
        """Whether an attempt was lost inside output after the current position."""
        broken_off = (attempt.broken_off_at for attempt in self.attempts)
        return any(at is not None and at >= self.position for at in broken_off)

    @property
    def current(self) -> Attempt | None:
        """The open attempt, the only one whose output is accepted; None if none is."""
        return self._current

    @property
    def attempt_count(self) -> int:
        """Number of attempts made, on this entry host and on earlier ones."""
        return self._attempts_before + len(self.attempts)

    def start_attempt(
        self,
        endpoint_id: str,
        *,
        attach: bool = False,
        replica_id: str = "",
        resume_ref: str = "",
        is_separated: bool = False,
        origin: Origin | None = None,
    ) -> Attempt:
        """Open the next attempt.

        Args:
            endpoint_id: The endpoint that runs it.
            attach: Whether it attaches to a stream that the endpoint still has.
            replica_id: The endpoint that is to keep a replica of its state, or empty.
            resume_ref: The identifier of the replica that it resumes, or empty.
            is_separated: Whether it is sent there as a suspect.
            origin: The origin of an answer that begins with it.

        Returns:
            The attempt; from now on only its output is accepted.
        """
        self.machine.send("attach" if attach else "dispatch")
        attempt = Attempt(
            number=self.attempt_count + 1,
            endpoint_id=endpoint_id,
            start_position=self.position,
            replica_id=replica_id,
            resume_ref=resume_ref,
            is_separated=is_separated,
            origin=origin,
            follows_lost_run=any(item.begun_at is not None for item in self.attempts),
        )
        self.attempts.append(attempt)
        self._current = attempt
        return attempt

    def lose_attempt(self, attempt: Attempt) -> None:
        """Close an attempt that can't continue. Ignore one that is not current."""
        if attempt is not self._current:
            return
        self._current = None
        self.machine.send("lose")

    def accept(self, attempt: Attempt, event: TokenEvent) -> Delivery | None:
        """Append the output of one event to the answer.

        Args:
            attempt: The attempt that sent the event.
            event: The event.

        Returns:
            The new output for the caller, or None if there is none.

        Raises:
            ResumeMismatchError: Tokens or text before the event are missing, or its
                tokens differ from those received before.
        """
        if attempt is not self._current:
            attempt.dropped_tokens += len(event.token_ids)
            return None
        if self.machine.state == "prefilling":
            self.machine.send("token")
        self._append_tokens(attempt, event)
        if self.origin is None and event.token_ids:
            self.origin = attempt.origin
        text = self._append_text(event)
        newly_delivered = self.position > self.delivered
        self.delivered = max(self.delivered, self.position)
        if event.finish_reason is not None:
            self._finish(event)
        elif not newly_delivered and not text:
            return None
        return Delivery(
            position=self.delivered,
            characters=self.delivered_characters,
            text=text,
            finish_reason=event.finish_reason,
            payload=event.payload if newly_delivered else b"",
        )

    def end(self, attempt: Attempt) -> Delivery:
        """Complete the answer at its position, without a further event.

        Args:
            attempt: The current attempt.

        Returns:
            The end for the caller.
        """
        last = TokenEvent(
            position=self.position,
            token_ids=[],
            text_offset=self.delivered_characters,
            text="",
            finish_reason=END_OF_STREAM,
        )
        return self.accept(attempt, last)

    def restore(self, token_ids: Sequence[int]) -> None:
        """Set the tokens that the caller has, from a copy.

        Raises:
            ResumeMismatchError: The copy is too short, or its tokens differ from those
                received before.
        """
        position = self.position
        if len(token_ids) < self.delivered or position > len(token_ids):
            raise ResumeMismatchError(f"the copy ends at token {len(token_ids)}")
        if self.token_ids != array("I", token_ids[:position]):
            raise ResumeMismatchError("the copy has other tokens than this host")
        self.token_ids = array("I", token_ids)

    def refuse(self) -> None:
        """End without a complete answer; the caller receives an error."""
        self._current = None
        self.machine.send("refuse")

    def abandon(self) -> None:
        """End because the caller left, unless the generation has ended already."""
        self._current = None
        if not self.machine.is_final:
            self.machine.send("abandon")

    def _append_tokens(self, attempt: Attempt, event: TokenEvent) -> None:
        position = self.position
        overlap = position - event.position
        if overlap < 0:
            raise ResumeMismatchError(
                f"tokens {position} to {event.position} are missing"
            )
        if overlap == 0:
            self.token_ids.extend(event.token_ids)
            return
        repeated = event.token_ids[:overlap]
        known = self.token_ids[event.position : event.position + len(repeated)]
        if list(known) != list(repeated):
            raise ResumeMismatchError(
                f"other tokens were delivered from {event.position} on"
            )
        attempt.dropped_tokens += len(repeated)
        self.token_ids.extend(event.token_ids[overlap:])

    def _append_text(self, event: TokenEvent) -> str:
        overlap = self.delivered_characters - event.text_offset
        if overlap < 0:
            raise ResumeMismatchError(
                f"characters {self.delivered_characters} to"
                f" {event.text_offset} are missing"
            )
        text = event.text[overlap:] if overlap else event.text
        self.delivered_characters += len(text)
        return text

    def _finish(self, event: TokenEvent) -> None:
        end = event.position + len(event.token_ids)
        if end < self.delivered:
            raise ResumeMismatchError(
                f"the answer ended at token {end}, but {self.delivered} were delivered"
            )
        self.finish_reason = event.finish_reason
        self.prompt_tokens = event.prompt_tokens
        self._current = None
        self.machine.send("finish")
