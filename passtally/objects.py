"""The configuration objects that operators create and the platform keeps."""

import hashlib
from enum import StrEnum
from typing import TypeVar

import attrs
import msgspec

ObjectT = TypeVar("ObjectT")


class ServiceKind(StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class Protection(StrEnum):
    """What is spent so that an answer survives the death of its entry host."""

    #: The engine holds the stream; nothing else is spent.
    ENGINE = "engine"
    #: One peer also holds a copy of the token ids.
    COPY = "copy"


class EndpointState(StrEnum):
    """Whether an endpoint may get new work."""

    ACTIVE = "active"
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class Service:
    """A model or a plain service that callers reach by its id.

    Attributes:
        id: Its name; for a model service, the ``model`` that callers ask for.
        kind: What stands behind it.
        model: The model's name at the engines.
        version: The model's version; a resume runs on no other.
        adapter: The adapter's name, or empty.
        protection: What is spent so that its answers survive.
        repeatable: Whether a call may run more than once.
        deduplicates: Whether its endpoints themselves run a key at most once.
        max_tokens: The length of an answer when the caller names none.
    """

    id: str
    kind: ServiceKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    protection: Protection = Protection.ENGINE
    repeatable: bool = True
    deduplicates: bool = False
    max_tokens: int = 4096


@attrs.frozen(kw_only=True)
class Endpoint:
    """One back end of a service.

    Attributes:
        id: Its name.
        service: The id of the service it serves.
        url: Where it listens, by IP number.
        failure_domain: Where it stands.
        state: Whether it may get new work.
        checks_fencing: Whether it refuses orders with an old fencing number.
        max_streams: How many requests it takes at once.
    """

    id: str
    service: str
    url: str
    failure_domain: str
    state: EndpointState = EndpointState.ACTIVE
    checks_fencing: bool = True
    max_streams: int = 64


@attrs.frozen(kw_only=True)
class Workspace:
    """One customer.

    Attributes:
        id: Its name.
        token_sha256: The hex digest of the token its callers bring.
        share: Its weight against the other workspaces under load.
        services: The services it may use; empty means all.
    """

    id: str
    token_sha256: str
    share: int = 1
    services: tuple[str, ...] = ()


def digest_token(token: str) -> str:
    """Return the hex SHA-256 digest under which a caller's token is kept."""
    return hashlib.sha256(token.encode()).hexdigest()


def decode_object(value: bytes, kind: type[ObjectT]) -> ObjectT:
    """Read one object.

    Args:
        value: Its JSON.
        kind: Its class.

    Raises:
        ValueError: The JSON is broken or does not fit the class.
    """
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
