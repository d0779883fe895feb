"""Plans: their steps, the reasons to refuse one, and conflicts between them."""

import attrs
import msgspec
import pytest

from passtally.intent import IntentKind, Ledger, StepKind, find_overlap, find_stale
from passtally.objects import (
    Endpoint,
    EndpointState,
    Service,
    ServiceKind,
    Workspace,
    digest_token,
)
from passtally.planner import PlanRefusedError, PlanView, make_plan
from tests.test_executor import make_intent

SERVICE = Service(
    id="draft", kind=ServiceKind.MODEL, model="m", version="1", weights_gb=30
)


def make_endpoint(name: str, domain: str, **options) -> Endpoint:
    row = {"versions": ("1",), "max_streams": 10} | options
    return Endpoint(
        id=name, service="draft", url=f"http://{name}", failure_domain=domain, **row
    )


def make_view(*endpoints: Endpoint, streams=None) -> PlanView:
    endpoints_by_id = {endpoint.id: endpoint for endpoint in endpoints}
    versions = {"config/services/draft": 3, "config/workspaces/w": 4}
    versions |= {f"config/endpoints/{name}": 5 for name in endpoints_by_id}
    workspace = Workspace(id="w", token_sha256=digest_token("t"))
    return PlanView(
        services_by_id={"draft": SERVICE},
        endpoints_by_id=endpoints_by_id,
        workspaces_by_id={"w": workspace},
        versions_by_key=versions,
        streams_by_endpoint=streams or {},
    )


def kinds(plan) -> list[StepKind]:
    return [step.kind for step in plan.steps]


class TestMoveWorkspace:
    def test_the_new_domain_has_the_version_loaded_before_routing(self):
        view = make_view(make_endpoint("a", "p"), make_endpoint("b", "t", versions=()))
        params = {"workspace": "w", "service": "draft", "to": "t"}
        plan = make_plan(IntentKind.MOVE_WORKSPACE, params, view)
        assert kinds(plan) == [
            StepKind.LOAD,
            StepKind.VERIFY,
            StepKind.PUT,
            StepKind.PUT,
        ]
        assert plan.steps[0].seconds == 30
        assert plan.steps[-1].key == "config/workspaces/w"
        moved = msgspec.json.decode(plan.steps[-1].value, type=Workspace)
        assert moved.placements == {"draft": "t"}

    def test_a_domain_without_endpoints_is_refused(self):
        view = make_view(make_endpoint("a", "p"))
        params = {"workspace": "w", "service": "draft", "to": "t"}
        with pytest.raises(PlanRefusedError, match="no endpoint in use in t"):
            make_plan(IntentKind.MOVE_WORKSPACE, params, view)


class TestDrain:
    def test_it_stops_new_requests_then_waits(self):
        view = make_view(
            make_endpoint("a", "p"), make_endpoint("b", "t"), streams={"a": 7}
        )
        plan = make_plan(IntentKind.DRAIN, {"endpoints": "a"}, view)
        assert kinds(plan) == [StepKind.PUT, StepKind.WAIT_IDLE]
        assert plan.steps[1].streams == 7
        assert (plan.capacity_before, plan.capacity_after) == (
            {"draft": 20},
            {"draft": 10},
        )

    def test_the_last_endpoint_is_refused(self):
        with pytest.raises(PlanRefusedError, match="capacity for 0 requests"):
            view = make_view(make_endpoint("a", "p"))
            make_plan(IntentKind.DRAIN, {"endpoints": "a"}, view)

    def test_too_little_capacity_for_open_requests_is_refused(self):
        view = make_view(
            make_endpoint("a", "p"),
            make_endpoint("b", "t"),
            streams={"a": 8, "b": 8},
        )
        with pytest.raises(PlanRefusedError, match="capacity for 10 requests, but 16"):
            make_plan(IntentKind.DRAIN, {"endpoints": "a"}, view)

    def test_a_restored_endpoint_has_a_new_incarnation(self):
        drained = make_endpoint("a", "p", state=EndpointState.DRAINING)
        view = make_view(drained, make_endpoint("b", "t"))
        plan = make_plan(IntentKind.RESTORE, {"endpoints": "a"}, view)
        restored = msgspec.json.decode(plan.steps[-1].value, type=Endpoint)
        assert (restored.state, restored.incarnation) == (EndpointState.ACTIVE, 1)


class TestOthers:
    @pytest.mark.parametrize(
        ("kind", "params", "reason"),
        [
            (IntentKind.DRAIN, {"endpoints": "zz"}, "no endpoint"),
            (IntentKind.DRAIN, {}, "parameter"),
            (IntentKind.DRAIN, {"endpoints": " , "}, "named"),
            (IntentKind.LOAD, {"endpoints": "a", "version": "1"}, "Nothing"),
            (IntentKind.PUT_SERVICE, {"value": "{"}, "value"),
            (IntentKind.REMOVE_SERVICE, {"service": "zz"}, "no service"),
            (
                IntentKind.PLACE_SERVICE,
                {"service": "draft", "failure_domains": "x"},
                "no endpoint in x",
            ),
        ],
    )
    def test_invalid_requests_are_refused_with_the_reason(self, kind, params, reason):
        view = make_view(make_endpoint("a", "p"), make_endpoint("b", "t"))
        with pytest.raises(PlanRefusedError, match=reason):
            make_plan(kind, params, view)

    def test_a_new_version_is_loaded_everywhere_before_it_is_active(self):
        view = make_view(make_endpoint("a", "p"), make_endpoint("b", "t"))
        wanted = attrs.evolve(SERVICE, version="2")
        params = {"value": msgspec.json.encode(wanted).decode()}
        plan = make_plan(IntentKind.PUT_SERVICE, params, view)
        assert kinds(plan).count(StepKind.LOAD) == 2
        assert plan.steps[-1].key == "config/services/draft"

    def test_a_role_changes_only_after_the_last_request(self):
        view = make_view(make_endpoint("a", "p"), make_endpoint("b", "t"))
        plan = make_plan(IntentKind.SET_ROLE, {"endpoint": "a", "role": "embed"}, view)
        assert kinds(plan) == [
            StepKind.PUT,
            StepKind.WAIT_IDLE,
            StepKind.SET_ROLE,
            StepKind.PUT,
        ]


class TestConflicts:
    def test_two_drains_that_leave_none_together_conflict(self):
        view = make_view(make_endpoint("a", "p"), make_endpoint("b", "t"))
        first = make_plan(IntentKind.DRAIN, {"endpoints": "a"}, view)
        second = make_plan(IntentKind.DRAIN, {"endpoints": "b"}, view)
        ledger = Ledger().add(make_intent(first))
        conflict = ledger.find_conflict(second)
        assert conflict is not None
        assert find_overlap(second, conflict)

    def test_plans_that_depend_on_other_objects_do_not_conflict(self):
        view = make_view(make_endpoint("a", "p"), make_endpoint("b", "t", versions=()))
        load = make_plan(IntentKind.LOAD, {"endpoints": "a", "version": "2"}, view)
        other = make_plan(IntentKind.LOAD, {"endpoints": "b", "version": "2"}, view)
        assert Ledger().add(make_intent(load)).find_conflict(other) is None

    def test_a_changed_object_makes_a_plan_stale(self):
        view = make_view(make_endpoint("a", "p"), make_endpoint("b", "t"))
        plan = make_plan(IntentKind.DRAIN, {"endpoints": "a"}, view)
        versions = dict(view.versions_by_key)
        assert find_stale(plan, versions) == []
        versions["config/endpoints/b"] = 99
        assert find_stale(plan, versions) == ["config/endpoints/b"]
