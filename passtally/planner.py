"""Makes plans for intents, as pure functions of the configuration and the load."""

from collections.abc import Iterable, Mapping

import attrs
import msgspec

from passtally.intent import IntentKind, Plan, Step, StepKind
from passtally.objects import (
    SERVE_ROLE,
    Endpoint,
    EndpointState,
    Service,
    ServiceKind,
    Workspace,
    can_serve,
    find_problems,
)
from passtally.statechart import follow

#: Assumed rate at which an endpoint loads weights, in GB per second.
STORE_GB_PER_SECOND = 1.0
#: Expected duration of a verify step, in seconds: the warm-up after a load.
WARM_UP_SECONDS = 5.0


class PlanRefusedError(Exception):
    """Raised when no plan can be made, with the reason.

    The request is invalid, changes nothing, or leaves a service too little capacity.
    """


@attrs.frozen(kw_only=True)
class PlanView:
    """The state from which a plan is made.

    Attributes:
        services_by_id: The configured services.
        endpoints_by_id: The configured endpoints.
        workspaces_by_id: The configured workspaces.
        versions_by_key: The version of each object, by its platform key.
        streams_by_endpoint: The number of open requests per endpoint, as last reported.
        store_gb_per_second: The rate of the weight store, in GB per second.
    """

    services_by_id: Mapping[str, Service]
    endpoints_by_id: Mapping[str, Endpoint]
    workspaces_by_id: Mapping[str, Workspace]
    versions_by_key: Mapping[str, int]
    streams_by_endpoint: Mapping[str, int]
    store_gb_per_second: float = STORE_GB_PER_SECOND


def make_plan(kind: IntentKind, params: Mapping[str, str], view: PlanView) -> Plan:
    """Return the plan for an intent.

    Args:
        kind: The kind of change.
        params: The parameters of that kind, by name.
        view: The state from which the plan is made.

    Raises:
        PlanRefusedError: The request is invalid, changes nothing, or leaves a service
            too little capacity.
    """
    draft = _Draft(view)
    planners = {
        IntentKind.PUT_SERVICE: _plan_put_service,
        IntentKind.REMOVE_SERVICE: _plan_remove_service,
        IntentKind.PLACE_SERVICE: _plan_place_service,
        IntentKind.MOVE_WORKSPACE: _plan_move_workspace,
        IntentKind.DRAIN: _plan_drain,
        IntentKind.RESTORE: _plan_restore,
        IntentKind.LOAD: _plan_load,
        IntentKind.SET_ROLE: _plan_set_role,
    }
    try:
        planners[kind](draft, params)
    except KeyError as error:
        raise PlanRefusedError(f"The parameter {error} is missing.") from error
    if not draft.steps:
        raise PlanRefusedError("Nothing would change.")
    return draft.finish()


class _Draft:
    """A plan under construction, and the configuration that results from its steps.

    Every object that is read or written is recorded, since a change to it by another
    writer makes the plan stale.
    """

    def __init__(self, view: PlanView) -> None:
        self.view = view
        self.steps: list[Step] = []
        self.endpoints_by_id = dict(view.endpoints_by_id)
        self.services_by_id = dict(view.services_by_id)
        self._read: set[str] = set()

    def service(self, service_id: str) -> Service:
        self._read.add(f"config/services/{service_id}")
        if service_id not in self.services_by_id:
            raise PlanRefusedError(f"There is no service {service_id!r}.")
        return self.services_by_id[service_id]

    def endpoint(self, endpoint_id: str) -> Endpoint:
        self._read.add(f"config/endpoints/{endpoint_id}")
        if endpoint_id not in self.endpoints_by_id:
            raise PlanRefusedError(f"There is no endpoint {endpoint_id!r}.")
        return self.endpoints_by_id[endpoint_id]

    def workspace(self, workspace_id: str) -> Workspace:
        self._read.add(f"config/workspaces/{workspace_id}")
        if workspace_id not in self.view.workspaces_by_id:
            raise PlanRefusedError(f"There is no workspace {workspace_id!r}.")
        return self.view.workspaces_by_id[workspace_id]

    def endpoints_of(self, service_id: str, domain: str = "") -> list[Endpoint]:
        found = [
            endpoint
            for endpoint in self.endpoints_by_id.values()
            if endpoint.service == service_id
            and domain in ("", endpoint.failure_domain)
        ]
        self._read.update(f"config/endpoints/{endpoint.id}" for endpoint in found)
        return sorted(found, key=lambda endpoint: endpoint.id)

    def put(self, kind: str, value: Service | Endpoint | Workspace, why: str) -> None:
        key = f"config/{kind}/{value.id}"
        self._read.add(key)
        text = msgspec.json.encode(value).decode()
        self.steps.append(Step(kind=StepKind.PUT, why=why, key=key, value=text))
        if kind == "endpoints":
            self.endpoints_by_id[value.id] = value
        if kind == "services":
            self.services_by_id[value.id] = value

    def remove(self, kind: str, object_id: str, why: str) -> None:
        key = f"config/{kind}/{object_id}"
        self._read.add(key)
        self.steps.append(Step(kind=StepKind.REMOVE, why=why, key=key))
        if kind == "endpoints":
            self.endpoints_by_id.pop(object_id)
        if kind == "services":
            self.services_by_id.pop(object_id)

    def load(self, endpoint: Endpoint, version: str, weights_gb: float) -> None:
        """Add steps that load a version, verify it, and list it on the endpoint."""
        if version in endpoint.versions:
            return
        self.endpoint(endpoint.id)
        self.steps.append(
            Step(
                kind=StepKind.LOAD,
                why=f"{endpoint.id} lacks {version}",
                endpoint=endpoint.id,
                value=version,
                seconds=weights_gb / self.view.store_gb_per_second,
            )
        )
        self.steps.append(
            Step(
                kind=StepKind.VERIFY,
                why="requests must not meet a cold endpoint",
                endpoint=endpoint.id,
                value=version,
                seconds=WARM_UP_SECONDS,
            )
        )
        loaded = attrs.evolve(endpoint, versions=(*endpoint.versions, version))
        self.put("endpoints", loaded, f"{version} is loaded")

    def drain(self, endpoint: Endpoint, why: str) -> None:
        if endpoint.state is EndpointState.DRAINING:
            return
        draining = attrs.evolve(endpoint, state=_next_state(endpoint, "drain"))
        self.put("endpoints", draining, why)
        self.steps.append(
            Step(
                kind=StepKind.WAIT_IDLE,
                why="running requests end where they are",
                endpoint=endpoint.id,
                streams=self.view.streams_by_endpoint.get(endpoint.id, 0),
            )
        )

    def finish(self) -> Plan:
        before = _capacity(self.view.services_by_id, self.view.endpoints_by_id.values())
        after = _capacity(self.services_by_id, self.endpoints_by_id.values())
        self._require_capacity(before, after)
        versions = {key: self.view.versions_by_key.get(key, 0) for key in self._read}
        return Plan(
            steps=tuple(self.steps),
            versions_by_key=versions,
            capacity_before=before,
            capacity_after=after,
        )

    def _require_capacity(self, before: dict[str, int], after: dict[str, int]) -> None:
        for service_id in self.services_by_id:
            left = after.get(service_id, 0)
            if left >= before.get(service_id, 0):
                continue
            load = sum(
                self.view.streams_by_endpoint.get(endpoint.id, 0)
                for endpoint in self.endpoints_of(service_id)
            )
            if left == 0 or left < load:
                raise PlanRefusedError(
                    f"{service_id} would have capacity for {left} requests,"
                    f" but {load} are open."
                )


def _capacity(
    services_by_id: Mapping[str, Service], endpoints: Iterable[Endpoint]
) -> dict[str, int]:
    capacity_by_service = dict.fromkeys(services_by_id, 0)
    for endpoint in endpoints:
        service = services_by_id.get(endpoint.service)
        if service is not None and is_in_use(endpoint, service):
            capacity_by_service[service.id] += endpoint.max_streams
    return capacity_by_service


def is_in_use(endpoint: Endpoint, service: Service) -> bool:
    """Return whether the configuration allows requests to an endpoint."""
    return can_serve(endpoint, service) and endpoint.state is EndpointState.ACTIVE


def _plan_put_service(draft: _Draft, params: Mapping[str, str]) -> None:
    try:
        wanted = msgspec.json.decode(params["value"], type=Service)
    except msgspec.MsgspecError as error:
        raise PlanRefusedError(f"value: {error}") from error
    problems = find_problems("services", wanted.id, wanted)
    if problems:
        raise PlanRefusedError("; ".join(problems))
    known = draft.view.services_by_id.get(wanted.id)
    if known == wanted:
        return
    if known is not None and known.kind is not wanted.kind:
        raise PlanRefusedError(
            f"{wanted.id} is a {known.kind} service; its kind cannot change."
        )
    if wanted.kind is ServiceKind.MODEL and known is not None:
        for endpoint in draft.endpoints_of(wanted.id):
            draft.load(endpoint, wanted.version, wanted.weights_gb)
    why = "change the service" if known else "create the service"
    draft.put("services", wanted, why)


def _plan_remove_service(draft: _Draft, params: Mapping[str, str]) -> None:
    service = draft.service(params["service"])
    endpoints = draft.endpoints_of(service.id)
    draft.remove("services", service.id, "no new requests")
    for endpoint in endpoints:
        draft.drain(endpoint, "its service is gone")
    for endpoint in endpoints:
        draft.remove("endpoints", endpoint.id, "it is idle")


def _plan_place_service(draft: _Draft, params: Mapping[str, str]) -> None:
    service = draft.service(params["service"])
    domains = tuple(name for name in params["failure_domains"].split(",") if name)
    for domain in domains:
        endpoints = draft.endpoints_of(service.id, domain)
        if not endpoints:
            raise PlanRefusedError(f"{service.id} has no endpoint in {domain}.")
        for endpoint in endpoints:
            _ensure_loaded(draft, service, endpoint)
    if service.failure_domains != domains:
        placed = attrs.evolve(service, failure_domains=domains)
        draft.put("services", placed, "route to the new places")


def _plan_move_workspace(draft: _Draft, params: Mapping[str, str]) -> None:
    workspace = draft.workspace(params["workspace"])
    service = draft.service(params["service"])
    domain = params["to"]
    if service.failure_domains and domain not in service.failure_domains:
        raise PlanRefusedError(f"{service.id} is not placed in {domain}.")
    endpoints = [
        endpoint
        for endpoint in draft.endpoints_of(service.id, domain)
        if endpoint.state is EndpointState.ACTIVE and endpoint.role == SERVE_ROLE
    ]
    if not endpoints:
        raise PlanRefusedError(f"{service.id} has no endpoint in use in {domain}.")
    for endpoint in endpoints:
        _ensure_loaded(draft, service, endpoint)
    if workspace.placements.get(service.id) != domain:
        placements = workspace.placements | {service.id: domain}
        moved = attrs.evolve(workspace, placements=placements)
        draft.put("workspaces", moved, f"route {workspace.id} to {domain}")


def _plan_drain(draft: _Draft, params: Mapping[str, str]) -> None:
    for endpoint_id in _parse_names(params["endpoints"]):
        draft.drain(draft.endpoint(endpoint_id), "no new work")


def _plan_restore(draft: _Draft, params: Mapping[str, str]) -> None:
    for endpoint_id in _parse_names(params["endpoints"]):
        endpoint = draft.endpoint(endpoint_id)
        service = draft.service(endpoint.service)
        _ensure_loaded(draft, service, endpoint)
        restored = attrs.evolve(
            draft.endpoint(endpoint_id),
            state=EndpointState.ACTIVE,
            incarnation=endpoint.incarnation + 1,
        )
        draft.put("endpoints", restored, "back into use")


def _plan_load(draft: _Draft, params: Mapping[str, str]) -> None:
    version = params["version"]
    for endpoint_id in _parse_names(params["endpoints"]):
        endpoint = draft.endpoint(endpoint_id)
        service = draft.service(endpoint.service)
        draft.load(endpoint, version, service.weights_gb)


def _plan_set_role(draft: _Draft, params: Mapping[str, str]) -> None:
    endpoint = draft.endpoint(params["endpoint"])
    role = params["role"]
    if endpoint.role == role:
        return
    if endpoint.role == SERVE_ROLE:
        draft.drain(endpoint, "it leaves its role")
    draft.steps.append(
        Step(
            kind=StepKind.SET_ROLE,
            why=f"from {endpoint.role} to {role}",
            endpoint=endpoint.id,
            value=role,
        )
    )
    changed = attrs.evolve(
        draft.endpoint(endpoint.id),
        role=role,
        state=EndpointState.ACTIVE,
        incarnation=endpoint.incarnation + 1,
    )
    draft.put("endpoints", changed, "its new role is in force")


def _next_state(endpoint: Endpoint, event: str) -> EndpointState:
    return EndpointState(follow("endpoint", endpoint.state, event))


def _ensure_loaded(draft: _Draft, service: Service, endpoint: Endpoint) -> None:
    """Add steps that load the service's version before requests are routed there."""
    if service.kind is ServiceKind.MODEL:
        draft.load(endpoint, service.version, service.weights_gb)


def _parse_names(text: str) -> list[str]:
    names = [name.strip() for name in text.split(",") if name.strip()]
    if not names:
        raise PlanRefusedError("No endpoint is named.")
    return names
