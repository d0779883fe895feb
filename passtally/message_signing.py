"""Signatures of the messages between hosts."""

import hashlib
import hmac
import itertools
from collections.abc import Sequence

MAC_BYTES = 12
#: Maximum key length of BLAKE2b, in bytes; longer keys are cut.
MAX_KEY_BYTES = 64


class MessageSigner:
    """Signs messages, so that hosts accept only those of hosts of their own system.

    Args:
        keys: The accepted signing keys; the first one signs this host's messages.

    Attributes:
        accepted_keys: The keys by one of which a message must be signed.
        signing_keys: The keys that sign this host's messages.
    """

    def __init__(self, *, keys: Sequence[bytes]) -> None:
        self.use_keys(keys)

    def use_keys(self, keys: Sequence[bytes], *, former: Sequence[bytes] = ()) -> None:
        """Change the keys.

        Hosts receive a change one after the other. Messages that are also signed with
        the former keys are accepted by all hosts in the meantime.

        Args:
            keys: The accepted signing keys; the first one signs this host's messages.
            former: Former keys that are accepted and also sign each message.
        """
        former = [key for key in former if key not in keys]
        self.accepted_keys = [key[:MAX_KEY_BYTES] for key in (*keys, *former)]
        self.signing_keys = [key[:MAX_KEY_BYTES] for key in (keys[0], *former)]

    def sign(self, *parts: bytes) -> bytes:
        """Return the signatures of a message by all signing keys."""
        return b"".join(_sign(key, parts) for key in self.signing_keys)

    def is_signed(self, mac: bytes, *parts: bytes) -> bool:
        """Return whether one of a message's signatures is by an accepted key.

        Args:
            mac: The signatures.
            parts: The message.
        """
        expected = [_sign(key, parts) for key in self.accepted_keys]
        signed = [mac[at : at + MAC_BYTES] for at in range(0, len(mac), MAC_BYTES)]
        return any(
            hmac.compare_digest(*pair) for pair in itertools.product(expected, signed)
        )


def _sign(key: bytes, parts: Sequence[bytes]) -> bytes:
    mac = hashlib.blake2b(key=key, digest_size=MAC_BYTES)
    for part in parts:
        mac.update(part)
    return mac.digest()
