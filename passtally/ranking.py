"""Rendezvous hashing: an order of names per key that is the same on all hosts."""

import hashlib

RANK_BYTES = 8


def rank_of(key: str, name: str) -> bytes:
    """Return the sort key of a name in the order given by a key."""
    return hashlib.blake2b(f"{key} {name}".encode(), digest_size=RANK_BYTES).digest()
