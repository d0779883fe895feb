"""Tokenizer and sampler of the stand-in engine.

A token is up to three ASCII bytes or one other byte, so a token may be part of a
character. The output is the prompt with normalized spaces, title case and no empty
lines. At a temperature above zero the case of each word is also random, so that
two runs differ.
"""

import random
from collections.abc import Sequence

_PIECE_BYTES = 3
_BYTE_IDS = 256
_WRONG_TOKEN = int.from_bytes(b"\x01?!?")
_MAX_WRONG_TOKENS = 10_000
_VARIANTS = (str.upper, str.lower, str.title)


def tokenize(text: str) -> list[int]:
    """Return the token ids of a text: up to three ASCII bytes or one byte each."""
    data = text.encode()
    token_ids: list[int] = []
    index = 0
    while index < len(data):
        piece = data[index : index + _PIECE_BYTES]
        if len(piece) > 1 and piece.isascii():
            # The leading 1 byte encodes the length of the piece in its id.
            token_ids.append(int.from_bytes(b"\x01" + piece))
        else:
            piece = piece[:1]
            token_ids.append(piece[0])
        index += len(piece)
    return token_ids


def detokenize(token_ids: Sequence[int]) -> bytes:
    """Return the bytes of token ids; they may end within a character."""
    return b"".join(_bytes_of(token_id) for token_id in token_ids)


def _bytes_of(token_id: int) -> bytes:
    if token_id < _BYTE_IDS:
        return bytes([token_id])
    return token_id.to_bytes((token_id.bit_length() + 7) // 8)[1:]


def answer_to(prompt: str) -> str:
    """Return the text that a run at temperature zero produces."""
    lines = (" ".join(line.split()).title() for line in prompt.splitlines())
    return "\n".join(line for line in lines if line)


class Sampler:
    """Source of the tokens of one stream.

    Args:
        prompt: Prompt that the answer is derived from.
        temperature: Sampling temperature; above zero the case of words is random.
        prior: Token ids of the answer that earlier attempts produced.
    """

    def __init__(
        self, *, prompt: str, temperature: float, prior: Sequence[int]
    ) -> None:
        text = answer_to(prompt)
        if temperature > 0:
            rng = random.Random()
            text = " ".join(rng.choice(_VARIANTS)(word) for word in text.split(" "))
        self._target = tokenize(text)
        sampled = temperature > 0
        self._is_prior_valid = sampled or list(prior) == self._target[: len(prior)]

    def next_token(self, position: int) -> int | None:
        """Return the token at a position, or None at the answer's end."""
        if not self._is_prior_valid:
            # A prior that does not match the answer must be visible in the text.
            return _WRONG_TOKEN if position < _MAX_WRONG_TOKENS else None
        if position >= len(self._target):
            return None
        return self._target[position]
