"""An order of names that all hosts work out alike, and that differs for each key."""

import hashlib

RANK_BYTES = 8


def rank_of(key: str, name: str) -> bytes:
    """Return a name's place in the order that a key decides."""
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=RANK_BYTES).digest()
