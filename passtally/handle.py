"""Signed resume handles, with which a caller resumes an answer at another entry host.

Every event to a caller carries a handle as its ``id``. A handle is bound to the
workspace and to the request's body, so that no other workspace and no other request
can resume the answer with it.
"""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Mapping, Sequence

import attrs
import msgspec

from passtally.generation import GenerationRequest
from passtally.objects import EndpointStart
from passtally.origin import Origin

MAC_BYTES = 12
MAX_HANDLE_CHARACTERS = 4096


class HandleError(ValueError):
    """A handle that no host signed, or that was issued for another request."""


@attrs.frozen(kw_only=True)
class StreamRef:
    """The location and fixed parameters of a stream, the same for a whole attempt.

    Attributes:
        generation_id: The generation's id.
        endpoint_id: The endpoint that runs the current attempt.
        attempt: The current attempt's number.
        model: The model's name at the engines.
        version: The model's version.
        adapter: The adapter's name, or empty.
        seed: The sampling seed.
        max_tokens: The maximum length of the answer in tokens.
        copy_host: The peer that has a copy of the answer, or empty.
        copy_id: The copy's id at that peer.
        software: The version of the endpoint's software; empty if it is not known, as
            in handles of hosts of an earlier version.
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
    software: str = ""

    @property
    def origin(self) -> Origin:
        """The origin of the answer, whose attempts all run at one version."""
        start = EndpointStart(endpoint_id=self.endpoint_id)
        return Origin(software=self.software, start=start)

    @classmethod
    def of(
        cls,
        request: GenerationRequest,
        *,
        endpoint_id: str,
        attempt: int,
        copy_host: str = "",
        copy_id: str = "",
        software: str = "",
    ) -> "StreamRef":
        """Return the reference of a request's stream at an endpoint."""
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
            software=software,
        )


@attrs.frozen(kw_only=True)
class ResumePoint:
    """The point from which a caller resumes an answer.

    Attributes:
        stream: The reference of the answer's stream.
        position: Number of tokens delivered.
        characters: Number of characters of text delivered.
        tail_start: The position of the tail's first token.
        tail: The last token ids delivered, which the copy may lack.
    """

    stream: StreamRef
    position: int
    characters: int
    tail_start: int = 0
    tail: tuple[int, ...] = ()


class HandleSigner:
    """Signs and verifies handles.

    Args:
        keys_by_id: The signing keys; each of them verifies handles. To rotate, add the
            new key on all hosts, then make it active, then remove the old one.
        active_key: The id of the key that signs new handles.

    Raises:
        ValueError: The active key is not among the keys.
    """

    def __init__(self, *, keys_by_id: Mapping[str, bytes], active_key: str) -> None:
        if active_key not in keys_by_id:
            raise ValueError(f"no key {active_key!r} among the resume keys")
        self._keys_by_id = dict(keys_by_id)
        self.active_key = active_key

    def writer(self, stream: StreamRef, *, binding: bytes) -> "HandleWriter":
        """Return a writer for the handles of one attempt.

        Args:
            stream: The reference of the attempt's stream.
            binding: The workspace and body that the handles are bound to; see
                :func:`bind`.
        """
        body = base64.urlsafe_b64encode(msgspec.msgpack.encode(_to_row(stream)))
        prefix = f"{self.active_key}.{body.decode().rstrip('=')}."
        return HandleWriter(
            prefix=prefix, key=self._keys_by_id[self.active_key], binding=binding
        )

    def open(self, handle: str, *, binding: bytes) -> ResumePoint:
        """Verify and decode a handle that a caller sent.

        Args:
            handle: The caller's last event id.
            binding: The workspace and body that it must be bound to.

        Raises:
            HandleError: The handle is damaged, forged, or bound to another request.
        """
        if len(handle) > MAX_HANDLE_CHARACTERS:
            raise HandleError("the resume handle is too long")
        signed, _, mac = handle.rpartition(".")
        key = self._keys_by_id.get(signed.partition(".")[0])
        if key is None or not handle.isascii():
            raise HandleError("the resume handle is damaged or its key was retired")
        if not hmac.compare_digest(_sign(_keyed_hash(key, binding), signed), mac):
            raise HandleError("the resume handle does not belong to this request")
        return _parse(signed)


class HandleWriter:
    """Writes the handles of one attempt, cheaply enough for every token.

    Args:
        prefix: The prefix of all handles of the attempt.
        key: The signing key.
        binding: The workspace and body that the handles are bound to.
    """

    def __init__(self, *, prefix: str, key: bytes, binding: bytes) -> None:
        self._prefix = prefix
        self._keyed_hash = _keyed_hash(key, binding)

    def write(
        self, position: int, characters: int, tail_start: int, tail: Sequence[int]
    ) -> str:
        """Return one handle; see :class:`ResumePoint` for the arguments."""
        tail_text = "-".join(map(str, tail)) if tail else ""
        signed = f"{self._prefix}{position}.{characters}.{tail_start}.{tail_text}"
        return f"{signed}.{_sign(self._keyed_hash, signed)}"


def bind(workspace: str, body: bytes) -> bytes:
    """Return the binding of a handle to a workspace and a request's body."""
    digest = hashlib.blake2b(body, digest_size=16, person=b"passtally-body")
    return workspace.encode() + b"\0" + digest.digest()


def _to_row(stream: StreamRef) -> tuple[str | int, ...]:
    return attrs.astuple(stream)


def _keyed_hash(key: bytes, binding: bytes) -> "hashlib.blake2b":
    return hashlib.blake2b(binding, key=key[:64], digest_size=MAC_BYTES)


def _sign(keyed_hash: "hashlib.blake2b", signed: str) -> str:
    mac = keyed_hash.copy()
    mac.update(signed.encode())
    return mac.hexdigest()


def _parse(signed: str) -> ResumePoint:
    try:
        _, body, position, characters, tail_start, tail = signed.split(".")
        padded = body + "=" * (-len(body) % 4)
        row = msgspec.msgpack.decode(base64.urlsafe_b64decode(padded))
        names = [field.name for field in attrs.fields(StreamRef)]
        return ResumePoint(
            # The last fields are missing in handles of hosts of an earlier version.
            stream=StreamRef(**dict(zip(names, row, strict=False))),
            position=int(position),
            characters=int(characters),
            tail_start=int(tail_start),
            tail=tuple(int(token) for token in tail.split("-") if token),
        )
    except (ValueError, binascii.Error, msgspec.MsgspecError, TypeError) as error:
        raise HandleError("the resume handle is damaged") from error
