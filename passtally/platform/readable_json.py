"""Sanitizes JSON, so that one object can't make a whole answer of the store unreadable.

Objects may come from other writers. JSON that is valid to the store may still contain
what a decoder rejects: a lone surrogate, or values nested thousands of levels deep. One
such object would make each request for an answer of 500 objects fail.
"""

import re
from collections.abc import Iterator

#: Nesting depth from which on values become null. Configurations are nested five levels
#: deep, and a decoder accepts some hundreds.
MAX_DEPTH = 64

_SURROGATE = b"\\ud"
_HIGH = rb"\\u[dD][89abAB][0-9a-fA-F]{2}"
_LOW = rb"\\u[dD][c-fC-F][0-9a-fA-F]{2}"
#: An escaped backslash, a surrogate pair, or a lone surrogate.
_ESCAPES = re.compile(rb"(?P<whole>\\\\|%b%b)|%b|%b" % (_HIGH, _LOW, _HIGH, _LOW))
_REPLACEMENT = b"\\ufffd"
_STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)
_NULL = b"null"


def replace_lone_surrogates(body: bytes) -> bytes:
    """Return JSON in which U+FFFD replaces each escape of a lone surrogate."""
    if _SURROGATE not in body.lower():
        return body
    return _ESCAPES.sub(_replace_lone, body)


def replace_deep_values(body: bytes) -> bytes:
    """Return JSON with null for each value nested ``MAX_DEPTH`` levels deep."""
    return b"".join(_shallow_parts(body))


def _replace_lone(escapes: re.Match[bytes]) -> bytes:
    return escapes.group() if escapes.group("whole") else _REPLACEMENT


def _shallow_parts(body: bytes) -> Iterator[bytes]:
    """Yield the text between values that are too deep, each followed by null."""
    depth = 0
    kept_from = 0
    for found in _STRING_OR_BRACKET.finditer(body):
        token = found.group()
        if token in (b"[", b"{"):
            depth += 1
            if depth == MAX_DEPTH:
                yield body[kept_from : found.start()] + _NULL
        elif token in (b"]", b"}"):
            if depth == MAX_DEPTH:
                kept_from = found.end()
            depth -= 1
    yield body[kept_from:]
