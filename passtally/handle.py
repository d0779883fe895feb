"""Signed resume handles: what a caller brings when its entry host is gone.

Every event to a caller carries one as its ``id``. A handle is bound to the
workspace and to the request's body, so that nobody else can go on with it and
no other request can be joined on to it.
"""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping, Sequence

import attrs
import msgspec

from passtally.generation import GenerationRequest

MAC_BYTES = 12
MAX_HANDLE_CHARACTERS = 4096


class HandleError(ValueError):
    """A handle that was not issued here, or not for this request."""


@attrs.frozen(kw_only=True)
class StreamRef:
    """Where a stream is, the same for all events of one attempt.

    Attributes:
        generation_id: The generation.
        endpoint_id: The endpoint that runs the current attempt.
        attempt: The current attempt's number.
        model: The model's name at the engines.
        version: The model's version.
        adapter: The adapter's name, or empty.
        seed: The sampling seed.
        max_tokens: The length at which the answer ends.
        copy_host: The peer that holds the copy, or empty.
        copy_id: The copy's id there.
    """

    generation_id: str
    endpoint_id: str
    attempt: int
    model: str
    version: str
    adapter: str
    seed: int
    max_tokens: int
    copy_host: str = ""
    copy_id: str = ""

    @classmethod
    def of(
        cls,
        request: GenerationRequest,
        *,
        endpoint_id: str,
        attempt: int,
        copy_host: str = "",
        copy_id: str = "",
    ) -> "StreamRef":
        """Return where a request's stream is, and all that its resume must keep."""
        return cls(
            generation_id=request.id,
            endpoint_id=endpoint_id,
            attempt=attempt,
            model=request.model,
            version=request.version,
            adapter=request.adapter,
            seed=request.seed,
            max_tokens=request.max_tokens,
            copy_host=copy_host,
            copy_id=copy_id,
        )


@attrs.frozen(kw_only=True)
class ResumePoint:
    """How far a caller has come.

    Attributes:
        stream: Where its stream is.
        position: The tokens delivered.
        characters: The characters of text delivered.
        tail_start: The position of the tail's first token.
        tail: The last token ids delivered, those that the copy may lack.
    """

    stream: StreamRef
    position: int
    characters: int
    tail_start: int = 0
    tail: tuple[int, ...] = ()


class HandleSigner:
    """Issues and opens handles.

    Args:
        keys_by_id: The signing keys. All open handles; to rotate, add the new
            key everywhere, then make it active, then remove the old one.
        active_key: The id of the key that signs.

    Raises:
        ValueError: The active key is not among the keys.
    """

    def __init__(self, *, keys_by_id: Mapping[str, bytes], active_key: str) -> None:
        if active_key not in keys_by_id:
            raise ValueError(f"no key {active_key!r} among the resume keys")
        self._keys_by_id = dict(keys_by_id)
        self.active_key = active_key

    def writer(self, stream: StreamRef, *, binding: bytes) -> "HandleWriter":
        """Return what writes the handles of one attempt.

        Args:
            stream: Where the stream is.
            binding: What the handles are bound to; see :func:`bind`.
        """
        body = base64.urlsafe_b64encode(msgspec.msgpack.encode(_as_row(stream)))
        prefix = f"{self.active_key}.{body.decode().rstrip('=')}."
        return HandleWriter(
            prefix=prefix, key=self._keys_by_id[self.active_key], binding=binding
        )

    def open(self, handle: str, *, binding: bytes) -> ResumePoint:
        """Read a handle that a caller brought.

        Args:
            handle: The last event id.
            binding: What it must be bound to.

        Raises:
            HandleError: It is damaged, forged, or of another request.
        """
        if len(handle) > MAX_HANDLE_CHARACTERS:
            raise HandleError("the resume handle is too long")
        signed, _, mac = handle.rpartition(".")
        key = self._keys_by_id.get(signed.partition(".")[0])
        if key is None or not handle.isascii():
            raise HandleError("the resume handle is damaged or its key was retired")
        if not hmac.compare_digest(_sign(_keyed(key, binding), signed), mac):
            raise HandleError("the resume handle does not belong to this request")
        return _parse(signed)


class HandleWriter:
    """Writes the handles of one attempt, cheaply enough for every token.

    Args:
        prefix: The part that all of them share.
        key: The signing key.
        binding: What they are bound to.
    """

    def __init__(self, *, prefix: str, key: bytes, binding: bytes) -> None:
        self._prefix = prefix
        self._keyed = _keyed(key, binding)

    def write(
        self, position: int, characters: int, tail_start: int, tail: Sequence[int]
    ) -> str:
        """Return one handle; see :class:`ResumePoint` for the arguments."""
        tail_text = "-".join(map(str, tail)) if tail else ""
        signed = f"{self._prefix}{position}.{characters}.{tail_start}.{tail_text}"
        return f"{signed}.{_sign(self._keyed, signed)}"


def bind(workspace: str, body: bytes) -> bytes:
    """Return what a handle is bound to: a workspace and a request's body."""
    digest = hashlib.blake2b(body, digest_size=16, person=b"passtally-body")
    return workspace.encode() + b"\0" + digest.digest()


def _as_row(stream: StreamRef) -> tuple[str | int, ...]:
    return attrs.astuple(stream)


def _keyed(key: bytes, binding: bytes) -> "hashlib.blake2b":
    return hashlib.blake2b(binding, key=key[:64], digest_size=MAC_BYTES)


def _sign(keyed: "hashlib.blake2b", signed: str) -> str:
    mac = keyed.copy()
    mac.update(signed.encode())
    return mac.hexdigest()


def _parse(signed: str) -> ResumePoint:
    try:
        _, body, position, characters, tail_start, tail = signed.split(".")
        padded = body + "=" * (-len(body) % 4)
        row = msgspec.msgpack.decode(base64.urlsafe_b64decode(padded))
        names = [field.name for field in attrs.fields(StreamRef)]
        return ResumePoint(
            stream=StreamRef(**dict(zip(names, row, strict=True))),
            position=int(position),
            characters=int(characters),
            tail_start=int(tail_start),
            tail=tuple(int(token) for token in tail.split("-") if token),
        )
    except (ValueError, binascii.Error, msgspec.MsgspecError, TypeError) as error:
        raise HandleError("the resume handle is damaged") from error
