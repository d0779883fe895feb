"""Configuration objects, created by operators and stored by the platform."""

import hashlib
from enum import StrEnum
from typing import TypeVar

import attrs

from passtally.store_order import era_of

ObjectT = TypeVar("ObjectT")

SERVE_ROLE = "serve"
TOKEN_DIGEST_CHARACTERS = 64
#: Incarnation of an endpoint that does not report its starts.
UNKNOWN_INCARNATION = 0
REQUEST_CLASSES = ("lookup", "interactive", "job")


class ServiceKind(StrEnum):
    """Kind of a service's endpoints."""

    #: Model engines that generate tokens.
    MODEL = "model"
    #: HTTP back ends that generate no tokens.
    PLAIN = "plain"


class Protection(StrEnum):
    """How answers survive the death of their entry host."""

    #: Only the engine holds the stream; this costs nothing more.
    ENGINE = "engine"
    #: One peer also stores a copy of the token ids.
    COPY = "copy"


class EndpointState(StrEnum):
    """Whether an endpoint may get new requests."""

    ACTIVE = "active"
    #: Gets no new requests.
    DRAINING = "draining"


@attrs.frozen(kw_only=True)
class Service:
    """A model or a plain service that callers reach by its id.

    Attributes:
        id: The service's id; for a model service, the ``model`` in callers' requests.
        kind: Kind of its endpoints.
        model: Name of the model at the engines.
        version: Version of the model; an answer is resumed on the same version only.
        adapter: Name of the adapter, or empty.
        protection: How its answers survive the death of their entry host.
        repeatable: Whether a call may run more than once.
        deduplicates: Whether its endpoints run calls with the same idempotency key at
            most once.
        max_tokens: Maximum length of an answer if the request states none.
        failure_domains: The failure domains that serve it; empty means all.
        weights_gb: Size of the model's weights in GB.
        request_class: Class of requests that state none: ``lookup``, ``interactive``
            or ``job``.
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
    """One start of an endpoint's process.

    An endpoint that restarts may keep its id, and even its address, but loses its
    state. Nothing that is known of one start applies to the next.

    Attributes:
        endpoint_id: Id of the endpoint.
        incarnation: See :class:`Endpoint`.
    """

    endpoint_id: str
    incarnation: int = UNKNOWN_INCARNATION

    def precedes(self, other: "EndpointStart") -> bool:
        """Return whether ``other`` is a later start of the same endpoint.

        False if an incarnation is unknown, since both may be the same start.
        """
        return UNKNOWN_INCARNATION < self.incarnation < other.incarnation

    def may_equal(self, other: "EndpointStart") -> bool:
        """Return whether both may be the same start, as far as they are known."""
        if self.precedes(other) or other.precedes(self):
            return False
        return self.endpoint_id == other.endpoint_id


@attrs.frozen(kw_only=True)
class Endpoint:
    """One back end of a service.

    Attributes:
        id: The endpoint's id.
        service: Id of the service it serves.
        url: The URL it listens on, with an IP address.
        failure_domain: The endpoint's failure domain.
        state: Whether it may get new requests.
        checks_fencing: Whether it rejects orders with an outdated fencing number.
        max_streams: Maximum number of concurrent requests.
        host: Name of the host it runs on in the platform's list, or empty.
        incarnation: Number that rises each time the endpoint is put back into service
            and, if it reports its starts, at each restart; 0 if unknown.
        role: Role of the endpoint; only ``serve`` gets requests.
        versions: The model versions and adapters that it has loaded.
        software: Version of its software, or empty.
        is_cold: Whether it is still slow after its start.
        has_entry: Whether its own entry was read; otherwise it is known only by its
            address, and its version is not known yet.
        created_version: The store-wide version at which its entry was created; None if
            unknown.
    """

    id: str
    service: str
    url: str
    failure_domain: str
    state: EndpointState = EndpointState.ACTIVE
    checks_fencing: bool = True
    max_streams: int = 64
    host: str = ""
    incarnation: int = UNKNOWN_INCARNATION
    role: str = SERVE_ROLE
    versions: tuple[str, ...] = ()
    software: str = ""
    is_cold: bool = False
    has_entry: bool = True
    created_version: int | None = None

    def starts_after(self, other: "Endpoint") -> bool:
        """Return whether it is known to have started after another endpoint.

        Entries are compared by their creation. After the store was restored from an
        older copy, its versions tell nothing beside those from before.
        """
        created, other_created = self.created_version, other.created_version
        if None in (created, other_created) or era_of(created) != era_of(other_created):
            return UNKNOWN_INCARNATION < other.incarnation < self.incarnation
        return created > other_created

    @property
    def start(self) -> EndpointStart:
        """The start of the endpoint that this entry describes."""
        return EndpointStart(endpoint_id=self.id, incarnation=self.incarnation)


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer, with its token, share and services.

    Attributes:
        id: The workspace's id.
        token_sha256: Hex SHA-256 digest of its callers' token.
        share: Weight in fair queueing against the other workspaces under load.
        services: Ids of the services it may use; empty means all.
        placements: The preferred failure domain by service id; for a service
            without one, the failure domain of the entry host is preferred.
    """

    id: str
    token_sha256: str
    share: int = 1
    services: tuple[str, ...] = ()
    placements: dict[str, str] = attrs.field(factory=dict)


def can_serve(endpoint: Endpoint, service: Service) -> bool:
    """Return whether an endpoint's failure domain and role let it serve a service."""
    domains = service.failure_domains
    in_domain = not domains or endpoint.failure_domain in domains
    return in_domain and endpoint.role == SERVE_ROLE


CONFIG_KINDS: dict[str, type] = {
    "services": Service,
    "endpoints": Endpoint,
    "workspaces": Workspace,
}


def find_problems(kind: str, object_id: str, value: object) -> list[str]:
    """Return all problems of a decoded object, one line each.

    Args:
        kind: The object's kind, a key of :data:`CONFIG_KINDS`.
        object_id: The id under which the object is stored.
        value: The object.
    """
    problems = []
    if value.id != object_id:
        problems.append(f"id: is {value.id!r}, but the path has {object_id!r}")
    if not object_id or not object_id.replace("-", "").replace("_", "").isalnum():
        problems.append(
            f"id: {object_id!r} must consist of letters, digits, '-' and '_', "
            "with at least one letter or digit"
        )
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
    """Return the hex SHA-256 digest that is stored for a caller's token."""
    return hashlib.sha256(token.encode()).hexdigest()
