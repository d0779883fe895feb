"""Tells a request again when its caller sends it anew, at whichever host."""

import hashlib

#: Enough that no two requests of a day share one, in bytes.
FINGERPRINT_BYTES = 12


def fingerprint_of(caller: str, target: bytes, body: bytes) -> bytes:
    """Return what each try of one request has in common, and no other request has.

    Args:
        caller: Whose it is.
        target: What it asks for: its path and query, or a service's name.
        body: Its body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (caller.encode(), target, body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
