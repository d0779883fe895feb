"""Decodes the platform's objects into the product's types."""

import re
from datetime import timedelta
from typing import Annotated, Literal

import msgspec

from passtally.http_exchange import ServerLimits
from passtally.json_decoding import NestingError, decode_json
from passtally.objects import UNKNOWN_INCARNATION, Endpoint, EndpointState
from passtally.routes import (
    CallKind,
    Route,
    RouteSet,
    ServiceInfo,
    ServiceShare,
    WorkspaceKeys,
)
from passtally.settings import MAX_DURATION, parse_address

#: Concurrent requests of an endpoint of a service without an engine if its entry states
#: none.
DEFAULT_SLOTS = 1

_MAX_MS = MAX_DURATION / timedelta(milliseconds=1)

#: Maximum of a count of requests, tokens, connections or bytes. Hosts compute with such
#: counts as floats, and send sums of them to each other as 64-bit integers.
MAX_COUNT = 10**12

#: Maximum size of a name that is sent in a header, in bytes.
MAX_NAME_BYTES = 1024
#: Visible characters, with spaces and tabs between them, in any encoding.
_NAME = re.compile(rb"[^\x00-\x20\x7f]([^\x00-\x08\x0a-\x1f\x7f]*[^\x00-\x20\x7f])?")
_HANDLE = re.compile(r"[\x21-\x7e]+", re.ASCII)

_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_MS)]
_Seconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION.total_seconds())]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
#: A rank, a weight, or a count that may be below zero, which then stands for the least.
_Number = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
#: Limits of the HTTP server. A limit of zero would refuse every request.
_SizeLimit = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
_TimeLimit = Annotated[float, msgspec.Meta(gt=0, le=_MAX_MS)]
#: Hosts send incarnations and versions to each other as 64-bit integers.
_Int64 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class _Split(msgspec.Struct):
    service: str
    weight: _Number


class _Route(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    kind: str
    timeout_ms: _Milliseconds
    target_latency_ms: _Milliseconds
    priority: _Number = 0
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: _Number = 1
    public: bool = False
    resume_streams: bool = False
    target_gap_ms: _Milliseconds = 0


class _Engine(msgspec.Struct):
    kv_capacity_tokens: _Count = 0
    backups: bool = False
    handle_s: _Seconds = 0


class _Service(msgspec.Struct):
    name: str
    max_connections: _Count = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: _SizeLimit
    max_body_bytes: _Count
    header_timeout_ms: _TimeLimit
    idle_timeout_ms: _TimeLimit


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: _Number | None = None


class _ConfigVersion(msgspec.Struct):
    version: _Int64


class _Config(_ConfigVersion, kw_only=True):
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] = []


class _EndpointService(msgspec.Struct):
    service: str


class _EndpointSoftware(_EndpointService):
    #: The version of the endpoint's software, not of its weights or of this entry.
    version: str = ""


class _EndpointHeartbeats(_EndpointSoftware):
    #: How often the endpoint has written its entry since its start.
    sequence: _Count = 0


class _Server(_EndpointSoftware, kw_only=True):
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: _Number = DEFAULT_SLOTS
    #: The Unix time in milliseconds of the endpoint's start. An endpoint may start
    #: again under the same id.
    born: _Int64 = UNKNOWN_INCARNATION
    #: Remaining time of the slow phase after a start, in milliseconds, as of the last
    #: change of the entry.
    cold_remaining_ms: float = 0


class _Run(msgspec.Struct, array_like=True):
    id: str
    #: The tokens in KV memory, of prompt and output.
    tokens: float
    #: The number of events that the run has produced.
    events: int


class _Report(msgspec.Struct):
    models: list[msgspec.Raw]
    queued: _Count = 0
    #: All runs that have a slot, including those in prefill.
    running: _Count = 0
    #: Only the runs that have output, not all that are running; None if the report
    #: does not list them.
    runs: list[_Run] | None = None


class _CacheEvent(msgspec.Struct, array_like=True):
    number: int
    #: "+" if a part was added to the cache, "-" if it was evicted.
    sign: str
    #: Always empty on this platform.
    text: str
    #: The id of the part of a prompt.
    part: str


class _CacheEvents(msgspec.Struct):
    events: list[_CacheEvent]


class _CopyOrder(msgspec.Struct):
    id: str
    #: The address of the endpoint that receives the copy. Despite the field's name, it
    #: is not a version.
    target_version: str


class _Copied(msgspec.Struct):
    handle: str


def encode_copy_order(generation_id: str, target: str) -> bytes:
    """Return the order to copy a run to another endpoint's address."""
    return msgspec.json.encode(_CopyOrder(id=generation_id, target_version=target))


def decode_copy_handle(body: bytes) -> str:
    """Return the handle under which the source reports the copy.

    Raises:
        ValueError: The answer does not match the schema, or the handle can't be sent as
            part of a path.
    """
    handle = decode_json(body, _Copied).handle
    if len(handle) > MAX_NAME_BYTES or not _HANDLE.fullmatch(handle):
        raise ValueError("the handle can't be part of a path")
    return handle


def is_engine_report(body: bytes) -> bool:
    """Return whether an endpoint's report is that of a model engine."""
    try:
        return bool(decode_json(body, _Report).models)
    except ValueError:
        return False


def count_waiting_runs(body: bytes) -> int:
    """Return the number of runs in an endpoint's report that have no output yet.

    Raises:
        ValueError: The report does not match the schema.
    """
    report = decode_json(body, _Report)
    if report.runs is None:
        return report.queued
    with_output = sum(run.events > 0 for run in report.runs)
    return report.queued + max(report.running, len(report.runs)) - with_output


def decode_cached_parts(body: bytes) -> frozenset[str]:
    """Return the parts of prompts that an endpoint caches, by its last cache events.

    Raises:
        ValueError: The events do not match the schema.
    """
    signs_by_part = {
        event.part: event.sign for event in decode_json(body, _CacheEvents).events
    }
    return frozenset(part for part, sign in signs_by_part.items() if sign == "+")


def decode_routes(spec: bytes) -> RouteSet:
    """Decode the configuration of routes, services, workspaces and limits.

    Raises:
        ValueError: The configuration does not match the schema, or a number is out of
            range. The message states the version, if it can be decoded.
    """
    try:
        return _to_route_set(decode_json(spec, _Config))
    except ValueError as error:
        raise ValueError(f"{_describe_version(spec)}: {error}") from error


def decode_endpoint(endpoint_id: str, spec: bytes) -> Endpoint:
    """Decode an endpoint's entry.

    Raises:
        ValueError: The entry does not match the schema, or its name can't be sent in a
            header; it may be of another writer.
    """
    _check_name(endpoint_id)
    server = decode_json(spec, _Server)
    is_ready = server.state == "ready"
    return Endpoint(
        id=endpoint_id,
        service=server.service,
        url=f"http://{parse_address(server.address)}",
        failure_domain=server.zone,
        state=EndpointState.ACTIVE if is_ready else EndpointState.DRAINING,
        max_streams=max(server.slots, 1),
        incarnation=server.born,
        software=server.version,
        is_cold=server.cold_remaining_ms > 0,
    )


def decode_software(spec: bytes, *, service: str) -> str | None:
    """Return the software version that an endpoint's entry states.

    Unlike :func:`decode_endpoint`, this needs no other field to be valid.

    Args:
        spec: The entry, of any writer.
        service: The service whose endpoints are meant.

    Returns:
        The version, or None for an entry that does not name this service.

    Raises:
        ValueError: The entry names this service, or may name it, but its version can't
            be decoded.
    """
    try:
        named = decode_json(spec, _EndpointService).service
    except NestingError:
        raise
    except ValueError:
        return None
    return decode_json(spec, _EndpointSoftware).version if named == service else None


def decode_heartbeats(spec: bytes, *, service: str, software: str) -> int:
    """Return how often an endpoint has written its entry since its start.

    Args:
        spec: The entry, of any writer.
        service: The service whose endpoints are meant.
        software: The software version whose endpoints are meant.

    Returns:
        The number; 0 for other endpoints.

    Raises:
        ValueError: The entry does not match the schema.
    """
    entry = decode_json(spec, _EndpointHeartbeats)
    is_meant = (entry.service, entry.version) == (service, software)
    return entry.sequence if is_meant else 0


def _describe_version(spec: bytes) -> str:
    try:
        return f"version {decode_json(spec, _ConfigVersion).version}"
    except ValueError:
        return "unknown version"


def _to_route_set(config: _Config) -> RouteSet:
    return RouteSet(
        version=config.version,
        routes=tuple(_to_route(route) for route in config.routes),
        services=tuple(_to_service(service) for service in config.services),
        workspaces=tuple(_to_workspace(tenant) for tenant in config.tenants),
        limits=ServerLimits(
            max_header=config.limits.max_header_bytes,
            max_body=config.limits.max_body_bytes,
            header_timeout=_ms(config.limits.header_timeout_ms),
            idle_timeout=_ms(config.limits.idle_timeout_ms),
        ),
    )


def _to_route(route: _Route) -> Route:
    shares = tuple(
        ServiceShare(service=split.service, weight=split.weight)
        for split in route.traffic_split
    )
    return Route(
        name=route.name,
        host=route.hostname,
        path_prefix=route.path_prefix,
        kind=CallKind(route.kind),
        timeout=_ms(route.timeout_ms),
        target=_ms(route.target_latency_ms),
        max_gap=_ms(route.target_gap_ms) if route.target_gap_ms else None,
        rank=route.priority,
        shares=shares or (ServiceShare(service=route.service, weight=1),),
        max_attempts=max(route.max_attempts, 1),
        is_public=route.public,
        is_resumable=route.resume_streams,
    )


def _to_workspace(tenant: _Tenant) -> WorkspaceKeys:
    if tenant.name:
        _check_name(tenant.name)
    return WorkspaceKeys(
        workspace=tenant.name, keys=tuple(tenant.api_keys), rank=tenant.priority
    )


def _check_name(name: str) -> None:
    """Check a name that is sent to endpoints in a header.

    Raises:
        ValueError: The name can't be a header's value.
    """
    encoded = name.encode()
    if len(encoded) > MAX_NAME_BYTES or not _NAME.fullmatch(encoded):
        raise ValueError(f"the name {name[:40]!r} can't be sent in a header")


def _to_service(service: _Service) -> ServiceInfo:
    engine = service.engine or _Engine()
    return ServiceInfo(
        id=service.name,
        max_connections=service.max_connections,
        keeps_replicas=engine.backups,
        replica_ttl=timedelta(seconds=engine.handle_s),
        capacity_tokens=engine.kv_capacity_tokens,
    )


def _ms(value: float) -> timedelta:
    return timedelta(milliseconds=value)
