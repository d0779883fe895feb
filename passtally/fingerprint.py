"""Fingerprints that identify a request when its caller retries it at any host."""

import hashlib

#: Length of a fingerprint in bytes; 96 bits make collisions among the requests of a
#: day practically impossible.
FINGERPRINT_BYTES = 12


def fingerprint_of(caller: str, target: bytes, body: bytes) -> bytes:
    """Return a hash that is equal for all retries of a request and no other request.

    Args:
        caller: The workspace that sent the request.
        target: Path and query of the request, or the name of a service.
        body: The request's body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (caller.encode(), target, body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()
