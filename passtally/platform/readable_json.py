"""Keeps one object's text from making a whole answer of the store unreadable.

Objects may come from other writers. What is valid JSON to the store may still be more
than a decoder takes: half a character, or values nested thousands of times. An answer
of 500 objects would fail for one of them, each time that it is asked for.
"""

import re
from collections.abc import Iterator

#: How deep values may be nested; what is deeper is left out. Configurations are nested
#: five deep, and a decoder takes some hundreds.
MAX_DEPTH = 64

_SURROGATE = b"\\ud"
_HIGH = rb"\\u[dD][89abAB][0-9a-fA-F]{2}"
_LOW = rb"\\u[dD][c-fC-F][0-9a-fA-F]{2}"
#: An escaped backslash, a pair of escapes that make one character, or half of one.
_ESCAPES = re.compile(rb"(?P<whole>\\\\|%b%b)|%b|%b" % (_HIGH, _LOW, _HIGH, _LOW))
_REPLACEMENT = b"\\ufffd"
_STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
_LEFT_OUT = b"null"


def replace_half_characters(body: bytes) -> bytes:
    """Return JSON in which each escape of half a character is a replacement mark."""
    if _SURROGATE not in body.lower():
        return body
    return _ESCAPES.sub(_replace_half, body)


def leave_out_deep_values(body: bytes) -> bytes:
    """Return JSON in which values that are nested too deep are null."""
    return b"".join(_shallow_parts(body))


def _replace_half(escapes: re.Match[bytes]) -> bytes:
    return escapes.group() if escapes.group("whole") else _REPLACEMENT


def _shallow_parts(body: bytes) -> Iterator[bytes]:
    depth = 0
    kept_from = 0
    for found in _STRING_OR_BRACKET.finditer(body):
        token = found.group()
        if token in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH:
                yield body[kept_from : found.start()] + _LEFT_OUT
        elif token in (b"]", b"}"):
            if depth == MAX_DEPTH:
                kept_from = found.end()
            depth -= 1
    yield body[kept_from:]
