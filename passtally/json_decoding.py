"""Decodes JSON of other writers, whatever it contains."""

from typing import TypeVar

import msgspec

T = TypeVar("T")


class NestingError(ValueError):
    """The values of a JSON text are nested deeper than the decoder can follow."""


def decode_json(text: bytes | msgspec.Raw, kind: type[T]) -> T:
    """Decode JSON into a type.

    Raises:
        NestingError: The text is nested too deep, also in fields that the type lacks.
        ValueError: The text is not JSON, is not UTF-8, or does not match the type.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except RecursionError as error:
        raise NestingError("nested too deep") from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise ValueError(str(error)) from error
