"""The framing of messages and data on a tunnel's connection between two hosts."""

import struct
from collections.abc import Iterator

import msgspec

from passtally.message_signing import MessageSigner
from passtally.tunnel_messages import TunnelMessage

#: The kind of a frame and the length of its payload, in bytes.
_HEAD = struct.Struct("!BI")
_DATA = 0
_MESSAGE = 1
#: The length of a message's signatures, in bytes, at the head of its payload.
_MAC_LENGTH = struct.Struct("!B")
#: Maximum size of a frame's payload, in bytes, which is that of one read.
MAX_FRAME_BYTES = 1 << 18

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(TunnelMessage).decode


class FrameError(Exception):
    """A frame that can't be decoded, or that no host of this system has signed."""


def encode_data(data: bytes) -> bytes:
    """Return the frames of a piece of data."""
    pieces = (
        data[at : at + MAX_FRAME_BYTES] for at in range(0, len(data), MAX_FRAME_BYTES)
    )
    return b"".join(_HEAD.pack(_DATA, len(piece)) + piece for piece in pieces)


def encode_message(message: TunnelMessage, signer: MessageSigner) -> bytes:
    """Return the frame of a signed message."""
    payload = _encode(message)
    mac = signer.sign(payload)
    size = _MAC_LENGTH.size + len(mac) + len(payload)
    return _HEAD.pack(_MESSAGE, size) + _MAC_LENGTH.pack(len(mac)) + mac + payload


class FrameDecoder:
    """Decodes the frames of one connection.

    Args:
        signer: Checks the signatures of messages.
    """

    def __init__(self, *, signer: MessageSigner) -> None:
        self._signer = signer
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[bytes | TunnelMessage]:
        """Yield the data and the messages that have been received completely.

        Raises:
            FrameError: A frame is too long, can't be decoded or has a wrong signature.
        """
        self._buffer += data
        while len(self._buffer) >= _HEAD.size:
            kind, size = _HEAD.unpack_from(self._buffer)
            if size > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {size} bytes")
            end = _HEAD.size + size
            if len(self._buffer) < end:
                return
            payload = bytes(self._buffer[_HEAD.size : end])
            del self._buffer[:end]
            yield payload if kind == _DATA else self._decode(payload)

    def _decode(self, payload: bytes) -> TunnelMessage:
        if not payload:
            raise FrameError("an empty message")
        mac_end = _MAC_LENGTH.size + payload[0]
        mac, encoded = payload[_MAC_LENGTH.size : mac_end], payload[mac_end:]
        if not self._signer.is_signed(mac, encoded):
            raise FrameError("a message with a wrong signature")
        try:
            return _decode(encoded)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise FrameError(str(error)) from error
