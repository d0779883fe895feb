"""One generation: its attempts, and the seams between them.

Pure: it reads no clock and does no I/O. Positions count token ids from the
start of the answer, so that a resumed attempt is joined on exactly, also where
a token is half a character or a stop sequence spans the seam.
"""

from array import array
from collections.abc import Sequence
from datetime import timedelta

import attrs
import msgspec

from passtally.http_client import ResponseHead
from passtally.statechart import Machine


class ResumeMismatchError(Exception):
    """An attempt sent tokens that do not join on to what was delivered."""


@attrs.frozen(kw_only=True)
class RawCall:
    """A request whose content is not read, only handed on as it came.

    Attributes:
        method: The HTTP method.
        target: The path and query, byte for byte.
        headers: The headers to hand on.
        body: The body.
    """

    method: bytes
    target: bytes
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes


@attrs.frozen(kw_only=True)
class GenerationRequest:
    """What a caller asked for.

    Attributes:
        id: The generation's id.
        workspace: Whose it is.
        service: The service it names.
        model: The model's name at the engines.
        version: The model's version, pinned for the whole answer.
        adapter: The adapter's name, or empty.
        prompt: The prompt's text; what names its last part, where the text is
            not read.
        max_tokens: The length at which it ends, over all attempts.
        temperature: The sampling temperature.
        seed: The sampling seed, the same for all attempts.
        stop: Strings that end the answer.
        priority: The engine's priority; lower goes first.
        failure_domain: Where it is to run if it can; empty for the host's own.
        prompt_tokens: The prompt's length; 0 where it is not known.
        max_attempts: The dispatches it may have, where it has a limit of its own.
        deadline: When its caller stops waiting, on the monotonic clock.
        patience: How long it may wait for an endpoint before it has begun.
        target: Within what time its first output is to come, if it is known.
        max_gap: The longest pause between two outputs that its caller allows, if it
            is known.
        raw: What to hand on, where the content is not read.
        route: The route that led to the service, or empty.
        fingerprint: What its later tries have in common with it, see
            :func:`passtally.fingerprint.fingerprint_of`; empty where it has none.
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
    priority: int = 10
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


class TokenEvent(msgspec.Struct, kw_only=True):
    """What an engine sent in one event, as it came off the wire.

    Attributes:
        position: The position of its first token.
        token_ids: Its tokens; may be empty on the last event.
        text_offset: Where its text starts, in characters of the answer.
        text: What the tokens added to the text; a half character adds nothing.
        finish_reason: Why the answer ended, on the last event only.
        prompt_tokens: The prompt's length, on the last event only.
        payload: The event's bytes, where its content is not read; it then counts
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
        finish_reason: Why the answer ended, or None while it goes on.
        payload: The bytes to pass on, where the content is not read.
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
        number: Counts the dispatches from 1.
        endpoint_id: Where it runs.
        start_position: The position it went on from.
        replica_id: The endpoint that keeps a replica of its state, or empty.
        replica_ref: What names that replica to the endpoint, or empty.
        resume_ref: What names the replica that it goes on from, or empty.
        dropped_tokens: Tokens it sent that were already there, or too late.
        head: The head of the endpoint's answer, where it is passed on.
        begun_at: When its endpoint began to answer, on the monotonic clock; None
            before that.
    """

    number: int
    endpoint_id: str
    start_position: int
    replica_id: str = ""
    replica_ref: str = ""
    resume_ref: str = ""
    dropped_tokens: int = 0
    head: ResponseHead | None = None
    begun_at: timedelta | None = None


class Generation:
    """The answer to one request, joined from the output of its attempts.

    Args:
        request: What the caller asked for.
        token_ids: Tokens that an earlier entry host already had.
        delivered: How many of them the caller already has.
        delivered_characters: How many characters of text the caller already has.
        attempts_before: How many attempts earlier entry hosts made.
    """

    def __init__(
        self,
        *,
        request: GenerationRequest,
        token_ids: Sequence[int] = (),
        delivered: int = 0,
        delivered_characters: int = 0,
        attempts_before: int = 0,
    ) -> None:
        self.request = request
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
        """How many tokens are held; the next attempt goes on from here."""
        return len(self.token_ids)

    @property
    def current(self) -> Attempt | None:
        """The attempt whose tokens count, if one is open."""
        return self._current

    @property
    def attempt_count(self) -> int:
        """How many attempts were made, on this entry host and before."""
        return self._attempts_before + len(self.attempts)

    def start_attempt(
        self,
        endpoint_id: str,
        *,
        attach: bool = False,
        replica_id: str = "",
        resume_ref: str = "",
    ) -> Attempt:
        """Open the next attempt.

        Args:
            endpoint_id: Where it runs.
            attach: Whether it takes up a stream that the endpoint still holds.
            replica_id: The endpoint that is to keep a replica of its state, if any.
            resume_ref: What names the replica that it goes on from, if any.

        Returns:
            The attempt; from now on only its tokens count.
        """
        self.machine.send("attach" if attach else "dispatch")
        attempt = Attempt(
            number=self.attempt_count + 1,
            endpoint_id=endpoint_id,
            start_position=self.position,
            replica_id=replica_id,
            resume_ref=resume_ref,
        )
        self.attempts.append(attempt)
        self._current = attempt
        return attempt

    def lose_attempt(self, attempt: Attempt) -> None:
        """Close an attempt that can't go on. One that is not current is ignored."""
        if attempt is not self._current:
            return
        self._current = None
        self.machine.send("lose")

    def accept(self, attempt: Attempt, event: TokenEvent) -> Delivery | None:
        """Join one event on.

        Args:
            attempt: The attempt that sent it.
            event: What the engine sent.

        Returns:
            What is new for the caller, or None where nothing is.

        Raises:
            ResumeMismatchError: Tokens or text are missing before the event, or it
                contradicts tokens that are already held.
        """
        if attempt is not self._current:
            attempt.dropped_tokens += len(event.token_ids)
            return None
        if self.machine.state == "prefilling":
            self.machine.send("token")
        self._join_tokens(attempt, event)
        text = self._join_text(event)
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

    def restore(self, token_ids: Sequence[int]) -> None:
        """Take in the tokens that the caller has, from a copy.

        Raises:
            ResumeMismatchError: They are too few, or contradict tokens that are held.
        """
        held = self.position
        if len(token_ids) < self.delivered or held > len(token_ids):
            raise ResumeMismatchError(f"the copy ends at {len(token_ids)}")
        if self.token_ids != array("I", token_ids[:held]):
            raise ResumeMismatchError("the copy has other tokens")
        self.token_ids = array("I", token_ids)

    def refuse(self) -> None:
        """End with an honest refusal."""
        self._current = None
        self.machine.send("refuse")

    def abandon(self) -> None:
        """End because the caller left, unless the answer is whole already."""
        self._current = None
        if not self.machine.is_final:
            self.machine.send("abandon")

    def _join_tokens(self, attempt: Attempt, event: TokenEvent) -> None:
        held = self.position
        overlap = held - event.position
        if overlap < 0:
            raise ResumeMismatchError(f"tokens {held} to {event.position} are missing")
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

    def _join_text(self, event: TokenEvent) -> str:
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
        if self.position < self.delivered:
            raise ResumeMismatchError(
                f"it ended at {self.position}, before {self.delivered}"
            )
        self.finish_reason = event.finish_reason
        self.prompt_tokens = event.prompt_tokens
        self._current = None
        self.machine.send("finish")
