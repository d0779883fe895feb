"""The stand-in engine's model: token ids, text, and what comes next.

A token is up to three ASCII bytes or one other byte, so it may be half a
character. The output tidies the prompt's lines. With a temperature above zero,
the case of each word is also varied at random, so that no two runs agree.
"""

import random
from collections.abc import Sequence

_PIECE_BYTES = 3
_BYTE_IDS = 256
_WRONG = int.from_bytes(b"\x01?!?")
_MAX_WRONG = 10_000
_VARIANTS = (str.upper, str.lower, str.title)


def tokenize(text: str) -> list[int]:
    """Return the token ids of a text: pieces of ASCII bytes, or single bytes."""
    data = text.encode()
    token_ids: list[int] = []
    index = 0
    while index < len(data):
        piece = data[index : index + _PIECE_BYTES]
        if len(piece) > 1 and piece.isascii():
            # A leading 1 keeps the piece's length in its number.
            token_ids.append(int.from_bytes(b"\x01" + piece))
        else:
            piece = piece[:1]
            token_ids.append(piece[0])
        index += len(piece)
    return token_ids


def detokenize(token_ids: Sequence[int]) -> bytes:
    """Return the bytes of some token ids, perhaps ending within a character."""
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
    """Gives one stream its next tokens.

    Args:
        prompt: The prompt.
        temperature: Above zero, words vary at random.
        prior: Tokens of the answer that are there already.
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
        self._is_sane = sampled or list(prior) == self._target[: len(prior)]

    def next_token(self, position: int) -> int | None:
        """Return the token at a position, or None at the answer's end."""
        if not self._is_sane:
            # A wrong continuation must show in the text.
            return _WRONG if position < _MAX_WRONG else None
        if position >= len(self._target):
            return None
        return self._target[position]
