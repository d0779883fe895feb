"""The configuration objects that operators create and the platform keeps."""

import hashlib
from enum import StrEnum
from typing import TypeVar

import attrs
import msgspec

ObjectT = TypeVar("ObjectT")

SERVE_ROLE = "serve"
TOKEN_DIGEST_CHARACTERS = 64
#: The incarnation of an endpoint that does not tell when it started.
UNTOLD_START = 0
REQUEST_CLASSES = ("lookup", "interactive", "job")


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
        failure_domains: Where it is served; empty means everywhere.
        weights_gb: The size of the model's weights, in GB.
        request_class: How urgent its requests are where the caller says nothing:
            ``lookup``, ``interactive`` or ``job``.
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
    failure_domains: tuple[str, ...] = ()
    weights_gb: float = 0.0
    request_class: str = "interactive"


@attrs.frozen(kw_only=True)
class EndpointStart:
    """One start of one endpoint.

    An endpoint that starts again may keep its id, and even its address, but holds
    nothing of before. What was learned of one start says nothing of the next.

    Attributes:
        endpoint_id: The endpoint.
        incarnation: See :class:`Endpoint`.
    """

    endpoint_id: str
    incarnation: int = UNTOLD_START

    def is_followed_by(self, other: "EndpointStart") -> bool:
        """Return whether another start of the same endpoint came after this one.

        An endpoint that does not tell its start may be the same as before.
        """
        return UNTOLD_START < self.incarnation < other.incarnation


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
        host: The host it runs on, as the platform's list names it, or empty.
        incarnation: Goes up each time it is brought back into use, or started again
            where it tells its starts; 0 where nothing tells.
        role: What it is for; only ``serve`` gets requests.
        versions: The model versions and adapters that it has loaded.
        software: The version of its software, or empty.
        is_cold: Whether it is still slow from its start.
    """

    id: str
    service: str
    url: str
    failure_domain: str
    state: EndpointState = EndpointState.ACTIVE
    checks_fencing: bool = True
    max_streams: int = 64
    host: str = ""
    incarnation: int = UNTOLD_START
    role: str = SERVE_ROLE
    versions: tuple[str, ...] = ()
    software: str = ""
    is_cold: bool = False

    @property
    def start(self) -> EndpointStart:
        """Which start of it this is."""
        return EndpointStart(endpoint_id=self.id, incarnation=self.incarnation)


@attrs.frozen(kw_only=True)
class Workspace:
    """One customer.

    Attributes:
        id: Its name.
        token_sha256: The hex digest of the token its callers bring.
        share: Its weight against the other workspaces under load.
        services: The services it may use; empty means all.
        placements: The failure domain in which it uses a service, by service;
            where none is named, the caller's nearest.
    """

    id: str
    token_sha256: str
    share: int = 1
    services: tuple[str, ...] = ()
    placements: dict[str, str] = attrs.field(factory=dict)


def is_placed(endpoint: Endpoint, service: Service) -> bool:
    """Return whether an endpoint stands and has the role to serve a service."""
    domains = service.failure_domains
    in_domain = not domains or endpoint.failure_domain in domains
    return in_domain and endpoint.role == SERVE_ROLE


CONFIG_KINDS: dict[str, type] = {
    "services": Service,
    "endpoints": Endpoint,
    "workspaces": Workspace,
}


def find_problems(kind: str, object_id: str, value: object) -> list[str]:
    """Return everything that is wrong with a decoded object, one line each.

    Args:
        kind: Its kind, a key of :data:`CONFIG_KINDS`.
        object_id: The id under which it is to be kept.
        value: The object.
    """
    problems = []
    if value.id != object_id:
        problems.append(f"id: is {value.id!r}, but the path says {object_id!r}")
    if not object_id or not object_id.replace("-", "").replace("_", "").isalnum():
        problems.append(f"id: {object_id!r} is not a name")
    checks = {
        "services": _service_problems,
        "endpoints": _endpoint_problems,
        "workspaces": _workspace_problems,
    }
    return problems + checks[kind](value)


def _service_problems(service: Service) -> list[str]:
    problems = []
    if service.kind is ServiceKind.MODEL and not service.model:
        problems.append("model: is missing")
    if service.kind is ServiceKind.MODEL and not service.version:
        problems.append("version: is missing")
    if service.max_tokens < 1:
        problems.append("max_tokens: must be above zero")
    if service.request_class not in REQUEST_CLASSES:
        problems.append(f"request_class: is not one of {', '.join(REQUEST_CLASSES)}")
    if service.weights_gb < 0:
        problems.append("weights_gb: must not be negative")
    return problems


def _endpoint_problems(endpoint: Endpoint) -> list[str]:
    problems = []
    if not endpoint.url.startswith("http://"):
        problems.append("url: is not an http:// URL")
    if not endpoint.service:
        problems.append("service: is missing")
    if not endpoint.failure_domain:
        problems.append("failure_domain: is missing")
    if endpoint.max_streams < 1:
        problems.append("max_streams: must be above zero")
    return problems


def _workspace_problems(workspace: Workspace) -> list[str]:
    problems = []
    if len(workspace.token_sha256) != TOKEN_DIGEST_CHARACTERS:
        problems.append("token_sha256: is not a hex SHA-256 digest")
    if workspace.share < 1:
        problems.append("share: must be above zero")
    return problems


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
