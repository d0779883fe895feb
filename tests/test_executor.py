"""Execution of intents in virtual time.

Lease holders die, are suspended or race with others, and the platform loses answers.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec
import pytest

from passtally.catalog import Catalog
from passtally.config_store import ConfigStore
from passtally.executor import LEASE_KEY, MIN_IDLE_TIME, Executor
from passtally.fleet import Fleet
from passtally.intent import (
    Intent,
    IntentKind,
    IntentState,
    Plan,
    StepState,
)
from passtally.intents import Intents
from passtally.lease import LEASE_DURATION, Lease
from passtally.objects import (
    Endpoint,
    EndpointState,
    Service,
    ServiceKind,
    Workspace,
    digest_token,
)
from passtally.orders import EndpointReport, FencedError, OrderError
from passtally.outcome import Code, RefusedError
from standins.fake_engine import FakeEngine
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import FakePlatform

ENDPOINTS = {"r1": "pilar", "r2": "pilar", "r3": "tigre"}


def make_intent(plan: Plan, **options) -> Intent:
    return Intent(
        id="i", kind=IntentKind.DRAIN, params={}, state=IntentState.PLANNED, plan=plan
    )


class FakeOrders:
    """Endpoints that record orders and reject those with an old fencing number."""

    def __init__(self) -> None:
        self.loaded = {name: {"1"} for name in ENDPOINTS}
        self.roles = dict.fromkeys(ENDPOINTS, "serve")
        self.fences = dict.fromkeys(ENDPOINTS, 0)
        self.received: list[tuple[str, str, int]] = []
        self.unreachable_ids: set[str] = set()

    async def send_order(self, endpoint, *, kind, value, fence, before_send) -> None:
        await asyncio.sleep(0.01)
        before_send()
        self._check(endpoint)
        if fence < self.fences[endpoint.id]:
            raise FencedError("old", step=kind, peer=endpoint.id)
        self.fences[endpoint.id] = fence
        self.received.append((endpoint.id, value, fence))
        if kind == "load":
            self.loaded[endpoint.id].add(value)
        else:
            self.roles[endpoint.id] = value

    async def report(self, endpoint) -> EndpointReport:
        self._check(endpoint)
        return EndpointReport(
            role=self.roles[endpoint.id], loaded=sorted(self.loaded[endpoint.id])
        )

    def _check(self, endpoint) -> None:
        if endpoint.id in self.unreachable_ids:
            raise OrderError("no answer", step="order", peer=endpoint.id)


class ControlHost:
    """The control components of a host: catalog, intents, lease and executor."""

    def __init__(self, name: str, bench: "ControlBench") -> None:
        self.catalog = Catalog()
        self.fleet = Fleet(
            catalog=self.catalog,
            clock=bench.clock,
            connect=lambda endpoint: bench.engines[endpoint.id],
        )
        self.store = ConfigStore(platform=bench.platform, clock=bench.clock)
        self.intents = Intents(store=self.store, catalog=self.catalog, fleet=self.fleet)
        self.lease = Lease(
            key=LEASE_KEY, holder=name, platform=bench.platform, clock=bench.clock
        )
        self.executor = Executor(
            host_id=name,
            host_ids=["a", "b"],
            store=self.store,
            catalog=self.catalog,
            fleet=self.fleet,
            orders=bench.orders,
            lease=self.lease,
            clock=bench.clock,
        )
        self.tasks = [
            asyncio.ensure_future(self.executor.run()),
            asyncio.ensure_future(self._follow(bench)),
        ]

    def die(self) -> None:
        for task in [*self.tasks, *self.executor._tasks_by_intent.values()]:
            task.cancel()

    async def _follow(self, bench: "ControlBench") -> None:
        while True:
            objects = bench.platform.objects_by_key
            for key in list(self.catalog.current_versions()):
                if key not in objects:
                    self.catalog.replace(await bench.list_without_faults())
            self.catalog.advance(await bench.list_without_faults())
            await asyncio.sleep(0.1)


class ControlBench:
    """The control components of several hosts that share a platform."""

    def __init__(self, *names: str) -> None:
        self.clock = VirtualClock()
        self.platform = FakePlatform()
        self.orders = FakeOrders()
        self.engines = {
            name: FakeEngine(name=name, clock=self.clock) for name in ENDPOINTS
        }
        self.hosts = {name: ControlHost(name, self) for name in names or ("a", "b")}

    async def list_without_faults(self):
        down, self.platform.is_down = self.platform.is_down, False
        faults, self.platform.faults = (
            self.platform.faults,
            type(self.platform.faults)(),
        )
        try:
            return await self.platform.list_objects("config/")
        finally:
            self.platform.is_down, self.platform.faults = down, faults

    async def seed(self) -> None:
        service = Service(id="draft", kind=ServiceKind.MODEL, model="m", version="1")
        await self.put("services", service)
        for name, domain in ENDPOINTS.items():
            endpoint = Endpoint(
                id=name,
                service="draft",
                url="http://x",
                failure_domain=domain,
                versions=("1",),
            )
            await self.put("endpoints", endpoint)
        workspace = Workspace(id="w", token_sha256=digest_token("t"))
        await self.put("workspaces", workspace)
        await asyncio.sleep(0.5)

    async def put(self, kind: str, value) -> None:
        key = f"config/{kind}/{value.id}"
        known = self.platform.objects_by_key.get(key)
        data = msgspec.json.encode(value)
        if known is None:
            await self.platform.create(key, data)
        else:
            await self.platform.update(key, data, version=known.version)

    def read(self, intent_id: str) -> Intent:
        stored = self.platform.objects_by_key[f"intents/{intent_id}"]
        return msgspec.json.decode(bytes(stored.value), type=Intent)

    def endpoint(self, name: str) -> Endpoint:
        stored = self.platform.objects_by_key[f"config/endpoints/{name}"]
        return msgspec.json.decode(bytes(stored.value), type=Endpoint)

    async def wait_for(self, intent_id: str, seconds: float = 300) -> Intent:
        for _ in range(int(seconds * 10)):
            intent = self.read(intent_id)
            if intent.state not in (IntentState.PLANNED, IntentState.CONFIRMED):
                return intent
            await asyncio.sleep(0.1)
        raise AssertionError(f"{intent} did not end")

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        for _ in range(3000):
            if condition():
                return
            await asyncio.sleep(0.1)
        raise AssertionError("the condition did not come true")


def run_bench(work) -> None:
    async def run():
        bench = ControlBench()
        await bench.seed()
        await work(bench)
        for host in bench.hosts.values():
            host.die()

    run_virtually(run())


MOVE = {"workspace": "w", "service": "draft", "to": "tigre"}
LOAD = {"endpoints": "r1", "version": "2"}


class TestExecution:
    def test_nothing_happens_before_it_is_confirmed(self):
        async def work(bench):
            intents = bench.hosts["a"].intents
            declared = await intents.declare(IntentKind.LOAD, LOAD)
            await asyncio.sleep(60)
            assert bench.orders.received == []
            await intents.confirm(declared.id)
            done = await bench.wait_for(declared.id)
            assert done.state is IntentState.DONE
            assert bench.endpoint("r1").versions == ("1", "2")
            catalog = bench.hosts["a"].catalog
            await bench.wait_until(lambda: not catalog.ledger.entries)

        run_bench(work)

    def test_another_host_resumes_after_the_holders_death(self):
        async def work(bench):
            intents = bench.hosts["a"].intents
            bench.orders.unreachable_ids.add("r1")
            declared = await intents.declare(IntentKind.LOAD, LOAD)
            await intents.confirm(declared.id)
            await bench.wait_until(lambda: bench.read(declared.id).holder)
            first = bench.read(declared.id)
            died_at = bench.clock.monotonic()
            bench.hosts[first.holder].die()
            bench.orders.unreachable_ids.clear()
            done = await bench.wait_for(declared.id)
            assert done.state is IntentState.DONE
            assert done.holder != first.holder
            assert done.fence > first.fence
            took = bench.clock.monotonic() - died_at
            assert took < 3 * LEASE_DURATION

        run_bench(work)

    def test_a_holder_that_was_suspended_sends_no_more_orders(self):
        async def work(bench):
            intents = bench.hosts["a"].intents
            bench.orders.unreachable_ids.add("r1")
            declared = await intents.declare(IntentKind.LOAD, LOAD)
            await intents.confirm(declared.id)
            await bench.wait_until(lambda: bench.read(declared.id).holder)
            former_lease = bench.hosts[bench.read(declared.id).holder].lease
            old_fence = former_lease.fence
            former_lease._held_until = None
            former_lease.try_acquire = lambda: asyncio.sleep(0, result=False)
            bench.orders.unreachable_ids.clear()
            await bench.wait_for(declared.id)
            assert all(fence > old_fence for _, _, fence in bench.orders.received)

        run_bench(work)

    def test_a_drain_waits_for_the_last_request_however_long(self):
        async def work(bench):
            bench.engines["r1"].running = 1
            intents = bench.hosts["a"].intents
            declared = await intents.declare(IntentKind.DRAIN, {"endpoints": "r1"})
            await intents.confirm(declared.id)
            await asyncio.sleep(1200)
            assert bench.endpoint("r1").state is EndpointState.DRAINING
            assert bench.read(declared.id).state is IntentState.CONFIRMED
            bench.engines["r1"].running = 0
            idle_at = bench.clock.monotonic()
            done = await bench.wait_for(declared.id)
            assert done.state is IntentState.DONE
            assert bench.clock.monotonic() - idle_at >= MIN_IDLE_TIME

        run_bench(work)

    def test_a_workspace_moves_only_after_the_version_is_loaded(self):
        async def work(bench):
            bench.orders.loaded["r3"].clear()
            cold = Endpoint(
                id="r3", service="draft", url="http://x", failure_domain="tigre"
            )
            await bench.put("endpoints", cold)
            await asyncio.sleep(0.5)
            intents = bench.hosts["a"].intents
            declared = await intents.declare(IntentKind.MOVE_WORKSPACE, MOVE)
            await intents.confirm(declared.id)
            key = "config/workspaces/w"
            before = bench.platform.objects_by_key[key].version
            await bench.wait_until(
                lambda: bench.platform.objects_by_key[key].version != before
            )
            assert "1" in bench.orders.loaded["r3"]

        run_bench(work)

    def test_an_endpoint_that_cannot_load_fails_the_intent_and_gets_no_requests(self):
        async def work(bench):
            bench.orders.unreachable_ids.add("r1")
            intents = bench.hosts["a"].intents
            declared = await intents.declare(IntentKind.LOAD, LOAD)
            await intents.confirm(declared.id)
            failed = await bench.wait_for(declared.id)
            assert failed.state is IntentState.FAILED
            assert "r1" in failed.reason
            assert bench.endpoint("r1").versions == ("1",)
            catalog = bench.hosts["b"].catalog
            await bench.wait_until(lambda: not catalog.ledger.entries)

        run_bench(work)

    def test_a_step_that_would_overwrite_a_change_fails_the_intent(self):
        async def work(bench):
            bench.engines["r1"].running = 1
            intents = bench.hosts["a"].intents
            role = {"endpoint": "r1", "role": "embed"}
            declared = await intents.declare(IntentKind.SET_ROLE, role)
            await intents.confirm(declared.id)
            await bench.wait_until(
                lambda: bench.endpoint("r1").state is EndpointState.DRAINING
            )
            changed = Endpoint(
                id="r1", service="draft", url="http://y", failure_domain="pilar"
            )
            await bench.put("endpoints", changed)
            bench.engines["r1"].running = 0
            failed = await bench.wait_for(declared.id)
            assert failed.state is IntentState.FAILED
            assert "changed" in failed.reason

        run_bench(work)

    @pytest.mark.parametrize("seed", range(12))
    def test_an_intent_completes_despite_lost_answers_and_outages(self, seed):
        async def work(bench):
            kinds = ["ok", "lost", "late", "down"]
            plan = [kinds[(seed * 7 + n * n) % 4] for n in range(60)]
            intents = bench.hosts["a"].intents
            declared = await intents.declare(IntentKind.LOAD, LOAD)
            bench.platform.faults.extend(plan[:8])
            while True:
                try:
                    await intents.confirm(declared.id)
                    break
                except RefusedError as error:
                    assert error.failure.code is Code.PLATFORM_AWAY
            bench.platform.faults.extend(plan[8:])
            done = await bench.wait_for(declared.id)
            assert done.state is IntentState.DONE
            assert all(step.state is StepState.DONE for step in done.plan.steps)

        run_bench(work)


class TestUnfencedEndpoints:
    def run_late_order(self, *, checks_fencing: bool) -> tuple[IntentState, str]:
        """Set a role while a late order of a former lease holder sets another one.

        Return the final state of the intent and the final role.
        """
        ended = []

        async def work(bench):
            endpoint = Endpoint(
                id="r1",
                service="draft",
                url="http://x",
                failure_domain="pilar",
                versions=("1",),
                checks_fencing=checks_fencing,
            )
            await bench.put("endpoints", endpoint)
            await asyncio.sleep(0.5)
            intents = bench.hosts["a"].intents
            role = {"endpoint": "r1", "role": "embed"}
            declared = await intents.declare(IntentKind.SET_ROLE, role)
            await intents.confirm(declared.id)
            await bench.wait_until(lambda: bench.orders.roles["r1"] == "embed")
            if not checks_fencing:
                await asyncio.sleep(LEASE_DURATION.total_seconds() / 2)
                bench.orders.roles["r1"] = "old"
            done = await bench.wait_for(declared.id)
            ended.append((done.state, bench.orders.roles["r1"]))

        run_bench(work)
        return ended[0]

    def test_a_late_order_is_corrected(self):
        assert self.run_late_order(checks_fencing=False) == (IntentState.DONE, "embed")

    def test_an_endpoint_that_checks_fencing_ends_with_the_ordered_role(self):
        assert self.run_late_order(checks_fencing=True) == (IntentState.DONE, "embed")


class TestRaces:
    def test_of_two_conflicting_confirms_one_is_refused(self):
        async def work(bench):
            first, second = (host.intents for host in bench.hosts.values())
            bench.engines["r1"].running = bench.engines["r2"].running = 1
            one = await first.declare(IntentKind.DRAIN, {"endpoints": "r1"})
            two = await second.declare(IntentKind.DRAIN, {"endpoints": "r2"})
            results = await asyncio.gather(
                first.confirm(one.id), second.confirm(two.id), return_exceptions=True
            )
            refused = [item for item in results if isinstance(item, RefusedError)]
            assert len(refused) == 1
            failure = refused[0].failure
            assert failure.code in (Code.INTENT_CONFLICT, Code.PLAN_STALE)
            assert "config/endpoints" in failure.message

        run_bench(work)

    def test_a_stale_plan_is_refused_with_the_changed_keys(self):
        async def work(bench):
            intents = bench.hosts["a"].intents
            declared = await intents.declare(IntentKind.LOAD, LOAD)
            changed = Endpoint(
                id="r1", service="draft", url="http://z", failure_domain="pilar"
            )
            await bench.put("endpoints", changed)
            with pytest.raises(RefusedError) as caught:
                await intents.confirm(declared.id)
            assert caught.value.failure.code is Code.PLAN_STALE
            assert "config/endpoints/r1" in caught.value.failure.message

        run_bench(work)

    def test_a_repeated_confirm_is_executed_once(self):
        async def work(bench):
            intents = bench.hosts["a"].intents
            declared = await intents.declare(IntentKind.LOAD, LOAD)
            await intents.confirm(declared.id)
            await bench.hosts["b"].intents.confirm(declared.id)
            await bench.wait_for(declared.id)
            again = await intents.confirm(declared.id)
            assert again.state is IntentState.DONE
            assert [value for _, value, _ in bench.orders.received] == ["2"]

        run_bench(work)

    def test_a_cancelled_intent_stops_before_its_next_step(self):
        async def work(bench):
            bench.engines["r1"].running = 1
            intents = bench.hosts["a"].intents
            declared = await intents.declare(
                IntentKind.SET_ROLE, {"endpoint": "r1", "role": "embed"}
            )
            await intents.confirm(declared.id)
            await asyncio.sleep(20)
            await intents.cancel(declared.id)
            bench.engines["r1"].running = 0
            await asyncio.sleep(60)
            assert bench.orders.roles["r1"] == "serve"
            assert bench.read(declared.id).state is IntentState.CANCELLED
            with pytest.raises(RefusedError) as caught:
                await intents.confirm(declared.id)
            assert caught.value.failure.code is Code.INTENT_ENDED

        run_bench(work)


class TestLeaseTakeover:
    def test_a_lease_is_taken_over_only_after_it_lapsed_by_the_local_clock(self):
        async def work(bench):
            holder = bench.hosts["a"].lease
            other = bench.hosts["b"].lease
            for host in bench.hosts.values():
                host.die()
            assert await holder.try_acquire()
            assert not await other.try_acquire()
            await asyncio.sleep(LEASE_DURATION.total_seconds() / 2)
            assert await holder.try_acquire()
            await asyncio.sleep(LEASE_DURATION.total_seconds() * 0.7)
            assert not await other.try_acquire()
            await asyncio.sleep((LEASE_DURATION + timedelta(1e-3)).total_seconds())
            assert await other.try_acquire()
            assert other.fence > holder.fence
            assert not holder.is_held

        run_bench(work)
