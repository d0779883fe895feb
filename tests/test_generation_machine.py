"""A generation under attempts, host changes and repeated output in any order.

Guards against answers with missing, repeated or wrong text after a resume. Three broken
generations check that the tests detect this.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from passtally.generation import Generation, ResumeMismatchError, TokenEvent
from tests.test_generation import make_generation

#: Contains characters of two and three bytes, which the one-byte tokens split.
ANSWER = "ruta 8 ñandú – സുരേഷ് 12"
BYTES = ANSWER.encode()


def event_at(position: int, length: int, *, other: bool = False) -> TokenEvent:
    """Return an event with a token for each byte.

    The text of a character is sent with its last byte.
    """
    end = min(position + length, len(BYTES))
    data = BYTES[position:end]
    token_ids = [byte ^ 1 if other else byte for byte in data]
    before = BYTES[:position].decode(errors="ignore")
    through = BYTES[:end].decode(errors="ignore")
    return TokenEvent(
        position=position,
        token_ids=token_ids,
        text_offset=len(before),
        text=through[len(before) :],
        finish_reason="stop" if end == len(BYTES) else None,
    )


class GenerationMachine(RuleBasedStateMachine):
    """One answer to one caller, over many attempts and hosts."""

    generation_class = Generation

    def __init__(self) -> None:
        super().__init__()
        self.received = ""
        self.received_tokens = 0
        self.ends = 0
        self.attempts = []
        self.sent = {}
        self.open_generation()

    def open_generation(self, **options) -> None:
        plain = make_generation(**options)
        self.generation = self.generation_class(request=plain.request, **options)

    @precondition(lambda self: self.generation.machine.state == "waiting")
    @rule()
    def dispatch(self):
        if self.generation.position < self.generation.delivered:
            return
        attempt = self.generation.start_attempt("r")
        self.attempts.append(attempt)
        self.sent[id(attempt)] = attempt.start_position

    @precondition(lambda self: self.attempts and not self.generation.machine.is_final)
    @rule(
        index=st.integers(0, 20),
        length=st.integers(0, 4),
        shift=st.sampled_from([0, 0, 0, 0, -1, -3, 1]),
        other=st.sampled_from([False, False, False, True]),
    )
    def send(self, index, length, shift, other):
        attempt = self.attempts[index % len(self.attempts)]
        position = max(0, self.sent[id(attempt)] + shift)
        event = event_at(position, length, other=other and shift < 0)
        try:
            delivery = self.generation.accept(attempt, event)
        except ResumeMismatchError:
            self.generation.lose_attempt(attempt)
            return
        self.sent[id(attempt)] = max(
            self.sent[id(attempt)], position + len(event.token_ids)
        )
        if delivery is not None:
            self.received += delivery.text
            self.received_tokens = delivery.position
            self.ends += delivery.finish_reason is not None

    @precondition(lambda self: self.generation.current is not None)
    @rule()
    def lose(self):
        self.generation.lose_attempt(self.generation.current)

    @precondition(lambda self: not self.generation.machine.is_final)
    @rule(copied=st.booleans())
    def move_to_another_host(self, copied):
        token_ids = list(self.generation.token_ids)
        if len(token_ids) < self.received_tokens:
            return
        self.open_generation(
            delivered=self.received_tokens,
            delivered_characters=len(self.received),
            attempts_before=self.generation.attempt_count,
        )
        if copied:
            self.generation.restore(token_ids[: self.received_tokens])
            return
        attempt = self.generation.start_attempt("r", attach=True)
        self.attempts.append(attempt)
        self.sent[id(attempt)] = 0

    @invariant()
    def the_received_text_is_a_prefix_of_the_answer(self):
        assert ANSWER.startswith(self.received)
        assert self.received_tokens <= len(BYTES)

    @invariant()
    def the_answer_ends_once_and_complete(self):
        assert self.ends <= 1
        if self.ends:
            assert self.received == ANSWER


class Unfenced(Generation):
    """Broken generation that accepts tokens of older attempts."""

    def accept(self, attempt, event):
        return super().accept(self.current or attempt, event)


class Unchecked(Generation):
    """Broken generation that appends all output without checks."""

    def _append_tokens(self, attempt, event):
        self.token_ids.extend(event.token_ids)

    def _append_text(self, event):
        self.delivered_characters += len(event.text)
        return event.text


class Gapped(Generation):
    """Broken generation that does not detect missing tokens or text."""

    def _append_text(self, event):
        overlap = max(0, self.delivered_characters - event.text_offset)
        text = event.text[overlap:]
        self.delivered_characters += len(text)
        return text

    def _append_tokens(self, attempt, event):
        overlap = max(0, self.position - event.position)
        self.token_ids.extend(event.token_ids[overlap:])


def run_machine(generation: type[Generation], examples: int = 300) -> None:
    class Machine(GenerationMachine):
        generation_class = generation

    run_state_machine_as_test(
        Machine,
        settings=settings(
            max_examples=examples, deadline=None, derandomize=True, print_blob=False
        ),
    )


class TestGenerationMachine:
    def test_answers_are_complete(self):
        run_machine(Generation)

    @pytest.mark.parametrize("broken", [Unchecked, Gapped])
    def test_the_machine_detects_broken_resume_checks(self, broken):
        with pytest.raises(AssertionError):
            run_machine(broken)

    def test_only_the_fence_rejects_differing_tokens_of_a_late_attempt(self):
        generation = make_generation()
        broken = Unfenced(request=generation.request)
        for target in (generation, broken):
            first = target.start_attempt("a")
            target.accept(first, event_at(0, 2))
            target.lose_attempt(first)
            target.start_attempt("b")
            late = event_at(2, 3, other=True)
            delivery = target.accept(first, late)
            assert (delivery is None) is (target is generation)
