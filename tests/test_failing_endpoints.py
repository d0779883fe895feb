"""An endpoint that accepts calls and fails them, while others of its service work.

One of four endpoints resets the connection of each call that it has read, or answers
with an error. A call that may only run once is lost there. Hosts in its failure domain
lose the most, since a host sends most of its calls to the endpoint in its own domain.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta

import attrs
import pytest
from multidict import CIMultiDict

from passtally.engine import AttemptLostError
from passtally.failing_endpoints import MAX_ANSWERS, SPAN, CallRecord
from passtally.fleet import Fleet
from passtally.objects import Endpoint, Service, ServiceKind
from passtally.outcome import Outcome, RefusedError
from passtally.plain import PlainCaller
from passtally.plain_call import PlainAnswer, PlainCall
from passtally.retry import LossKind
from passtally.retry_budget import RetryBudgets
from standins.platform_config import LOOKUPS, make_config
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import make_catalog
from tests.platform_system import PlatformSystem, run

SERVICE = Service(id="s", kind=ServiceKind.PLAIN)
HOSTS = 6
ENDPOINTS = 4
#: Calls per second to each host.
RATE = 2.0
#: Duration of a call, in seconds.
CALL_TIME = 0.045
#: Duration of the traffic, in seconds.
SECONDS = 30.0

#: Returns the failure of a call, if any, by its time in seconds and a random number
#: below 1.
Fault = Callable[[float, float], LossKind | int | None]


def reset(now: float, luck: float) -> LossKind:
    return LossKind.RESET


def answer_500(now: float, luck: float) -> int:
    return 500


def answer_504(now: float, luck: float) -> int:
    return 504


def unreachable_from(start: float) -> Fault:
    return lambda now, luck: LossKind.UNREACHABLE if now >= start else None


def reset_part(part: float) -> Fault:
    return lambda now, luck: LossKind.RESET if luck < part else None


def reset_until(end: float) -> Fault:
    return lambda now, luck: LossKind.RESET if now < end else None


@attrs.define(kw_only=True)
class FaultySender:
    """Sends one host's calls to endpoints that fail some of them.

    Attributes:
        rng: Random source for the choice of calls that fail.
        faults: The fault of each faulty endpoint, by its id.
        sent: The time, call id and endpoint id of each call that was sent.
    """

    rng: random.Random
    faults: Mapping[str, Fault]
    sent: list[tuple[float, str, str]] = attrs.field(factory=list)

    async def send(self, call, live, *, before_send=None) -> PlainAnswer:
        now = asyncio.get_running_loop().time()
        name = live.endpoint.id
        self.sent.append((now, call.id, name))
        await asyncio.sleep(CALL_TIME)
        fault = self.faults.get(name, lambda now, luck: None)
        outcome = fault(now, self.rng.random())
        if isinstance(outcome, LossKind):
            raise AttemptLostError(outcome, step="call", peer=name, detail="lost")
        return PlainAnswer(status=outcome or 200, headers=CIMultiDict(), body=b"")


@attrs.define(kw_only=True)
class Host:
    """One host, with a sender that records its calls."""

    sender: FaultySender
    fleet: Fleet
    caller: PlainCaller


@attrs.define(kw_only=True)
class TrafficResult:
    """The answers to callers, and the calls that endpoints received.

    Attributes:
        hosts: The hosts.
        statuses: Number of answers to callers by status.
    """

    hosts: list[Host] = attrs.field(factory=list)
    statuses: Counter[int] = attrs.field(factory=Counter)

    @property
    def served(self) -> float:
        return self.statuses[200] / self.statuses.total()

    def sends(self, *, after: float = 0.0) -> list[tuple[str, str]]:
        """Return the call id and endpoint id of each call sent after a time."""
        return [
            (call, name)
            for host in self.hosts
            for at, call, name in host.sender.sent
            if at >= after
        ]

    def arrivals(self, endpoint: str, *, after: float = 0.0) -> int:
        """Return the number of calls sent to an endpoint after a time, in seconds."""
        return sum(name == endpoint for _, name in self.sends(after=after))

    def failing(self) -> Counter[str]:
        """Return the number of hosts that have ejected each endpoint."""
        return Counter(
            endpoint
            for host in self.hosts
            for endpoint in host.fleet.call_failures.list_failing(SERVICE.id)
        )

    def max_sends(self) -> int:
        """Return the maximum number of times that a single call was sent."""
        calls = Counter(call for call, _ in self.sends())
        return max(calls.values())


def make_host(
    number: int, seed: int, faults: Mapping[str, Fault], endpoints: int
) -> Host:
    clock = VirtualClock()
    catalog = make_catalog(
        [SERVICE],
        [
            Endpoint(
                id=f"e{index}",
                service="s",
                url=f"http://10.0.0.{index}:1",
                failure_domain=f"d{index}",
                host="",
            )
            for index in range(endpoints)
        ],
    )
    fleet = Fleet(catalog=catalog, clock=clock, connect=lambda endpoint: None)
    sender = FaultySender(rng=random.Random(f"{seed} {number}"), faults=faults)
    caller = PlainCaller(
        fleet=fleet,
        clock=clock,
        failure_domain=f"d{number % endpoints}",
        budgets=RetryBudgets(),
        sender=sender,
    )
    return Host(sender=sender, fleet=fleet, caller=caller)


def play(
    faults: Mapping[str, Fault],
    *,
    seed: int = 1,
    endpoints: int = ENDPOINTS,
    rate: float = RATE,
) -> TrafficResult:
    """Send calls that may only run once to all hosts, and return the result."""

    async def ask(host: Host, call_id: str, result: TrafficResult) -> None:
        call = PlainCall(
            id=call_id,
            workspace="w",
            service=SERVICE,
            method="POST",
            path="/",
            headers=CIMultiDict(),
            body=b"",
            repeatable=False,
            key="",
            max_attempts=1,
        )
        try:
            answer = await host.caller.call(call)
            result.statuses[answer.status] += 1
        except RefusedError as error:
            if error.failure.status == 502:
                assert error.failure.outcome is Outcome.UNKNOWN
            result.statuses[error.failure.status] += 1

    async def send(number: int, result: TrafficResult, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as asks:
            while True:
                await asyncio.sleep(rng.expovariate(rate))
                if loop.time() >= SECONDS:
                    return
                name = f"c{number}-{loop.time()}"
                asks.create_task(ask(result.hosts[number], name, result))

    async def test() -> TrafficResult:
        result = TrafficResult(
            hosts=[
                make_host(number, seed, faults, endpoints) for number in range(HOSTS)
            ]
        )
        rng = random.Random(seed)
        async with asyncio.TaskGroup() as group:
            for number in range(HOSTS):
                group.create_task(send(number, result, random.Random(rng.random())))
        return result

    return run_virtually(test())


@pytest.mark.parametrize("seed", range(5))
class TestOneEndpointFails:
    """A failing endpoint gets few calls, and its share again once it has recovered.

    Its share is a quarter of the calls, 90 of 360.
    """

    @pytest.mark.parametrize("fault", [reset, answer_500])
    def test_most_calls_go_to_its_neighbours(self, fault: Fault, seed: int):
        result = play({"e1": fault}, seed=seed)
        assert result.served > 0.9
        assert (
            result.arrivals("e1", after=SECONDS / 2) <= 0.04 * result.statuses.total()
        )

    def test_a_single_neighbour_takes_over_its_calls(self, seed: int):
        assert play({"e1": reset}, seed=seed, endpoints=2).served > 0.87

    def test_an_endpoint_that_fails_half_its_calls_is_ejected(self, seed: int):
        assert play({"e1": reset_part(0.5)}, seed=seed).served > 0.91

    def test_it_is_used_again_after_recovery(self, seed: int):
        result = play({"e1": reset_until(5)}, seed=seed)
        assert result.served > 0.94
        baseline = play({}, seed=seed)
        back = result.arrivals("e1", after=15)
        assert back > 0.7 * baseline.arrivals("e1", after=15)

    def test_it_is_used_at_once_if_no_other_is_reachable(self, seed: int):
        faults = {"e0": unreachable_from(10), "e1": reset_until(8)}
        result = play(faults, seed=seed, endpoints=2)
        calls = {call for call, _ in result.sends(after=10)}
        there = {call for call, name in result.sends(after=10) if name == "e1"}
        assert len(there) > 0.95 * len(calls)

    def test_no_call_is_sent_twice(self, seed: int):
        assert play({"e1": reset}, seed=seed).max_sends() == 1


def on_all(fault: Fault) -> Mapping[str, Fault]:
    return {f"e{number}": fault for number in range(ENDPOINTS)}


def shares(result: TrafficResult) -> list[float]:
    """Return each endpoint's share of the calls."""
    total = result.statuses.total()
    return [result.arrivals(f"e{number}") / total for number in range(ENDPOINTS)]


@pytest.mark.parametrize("seed", range(5))
class TestAllFailAlike:
    """A fault that affects all endpoints alike ejects none."""

    @pytest.mark.parametrize("fault", [reset, answer_500])
    def test_a_fault_of_all_endpoints_ejects_none(self, fault: Fault, seed: int):
        result = play(on_all(fault), seed=seed)
        assert not result.failing()
        assert result.statuses[200] == 0
        assert result.statuses[503] == 0
        assert min(shares(result)) > 0.15

    def test_a_temporary_network_cut_ejects_none(self, seed: int):
        result = play(on_all(reset_until(5)), seed=seed)
        assert not result.failing()
        during = len(result.sends()) - len(result.sends(after=5))
        assert result.statuses[502] == during
        assert result.statuses[200] == result.statuses.total() - during

    def test_calls_with_too_short_deadlines_eject_none(self, seed: int):
        result = play({"e1": answer_504}, seed=seed)
        assert not result.failing()
        baseline = play({}, seed=seed)
        assert result.arrivals("e1") == baseline.arrivals("e1")

    def test_at_most_half_of_the_endpoints_are_ejected(self, seed: int):
        faults = {"e0": reset, "e1": reset, "e2": reset}
        result = play(faults, seed=seed)
        for host in result.hosts:
            assert (
                len(host.fleet.call_failures.list_failing(SERVICE.id)) <= ENDPOINTS / 2
            )
        assert result.statuses[503] == 0

    def test_the_only_endpoint_stays_in_use(self, seed: int):
        result = play({"e0": reset_until(5)}, seed=seed, endpoints=1)
        assert not result.failing()
        assert result.statuses[503] == 0
        assert result.served > 0.75


def add_results(
    record: CallRecord, name: str, results: str, *, at: float = 0.0
) -> None:
    """Add results to a record: ``x`` for a failure, ``.`` for a success."""
    for result in results:
        now = timedelta(seconds=at)
        record.add(name, is_failure=result == "x", now=now)


def is_failing(record: CallRecord, name: str, *, at: float = 0.0, excluded=()) -> bool:
    now = timedelta(seconds=at)
    return record.is_failing(name, excluded=excluded, now=now)


class TestCallRecord:
    def test_one_failure_is_not_enough(self):
        record = CallRecord()
        add_results(record, "a", "x")
        add_results(record, "b", ".")
        assert not is_failing(record, "a")

    def test_two_failures_in_a_row_suffice_if_a_neighbour_succeeds(self):
        record = CallRecord()
        add_results(record, "a", "x")
        add_results(record, "b", ".")
        add_results(record, "a", "x")
        assert is_failing(record, "a")
        assert not is_failing(record, "b")

    def test_without_a_success_of_a_neighbour_the_host_may_be_at_fault(self):
        record = CallRecord()
        add_results(record, "b", "..")
        add_results(record, "a", "xxxxxx")
        assert not is_failing(record, "a")
        add_results(record, "b", "x")
        assert not is_failing(record, "a")

    def test_rare_failures_are_not_enough(self):
        record = CallRecord()
        add_results(record, "a", "x")
        add_results(record, "b", "." * 20)
        add_results(record, "a", "." * 20 + "x")
        assert not is_failing(record, "a")

    def test_an_endpoint_is_not_failing_if_neighbours_fail_as_often(self):
        record = CallRecord()
        add_results(record, "a", "x")
        add_results(record, "b", "x.x")
        add_results(record, "a", "x.x")
        assert not is_failing(record, "a")

    def test_neighbours_known_to_fail_are_not_compared_with(self):
        record = CallRecord()
        add_results(record, "a", "x")
        add_results(record, "b", "xxxx")
        add_results(record, "c", "..")
        add_results(record, "a", "x")
        assert not is_failing(record, "a")
        assert is_failing(record, "a", excluded={"b"})

    def test_old_failures_are_forgotten(self):
        record = CallRecord()
        later = SPAN.total_seconds() + 1
        add_results(record, "a", "x")
        add_results(record, "b", ".", at=later)
        add_results(record, "a", "x", at=later)
        assert not is_failing(record, "a", at=later)

    def test_the_number_of_remembered_answers_is_bounded(self):
        record = CallRecord()
        add_results(record, "a", "x")
        add_results(record, "b", "." * MAX_ANSWERS)
        add_results(record, "a", "x")
        assert not is_failing(record, "a")


class TestOverConnections:
    """The same with a real host and endpoints over connections."""

    CALLS = 80

    @pytest.mark.parametrize(
        "faults", [{"lose_answers": 10**6}, {"own_status": 500}, {"no_proof": True}]
    )
    def test_an_endpoint_that_fails_all_calls_gets_few(self, faults: dict[str, int]):
        async def test(system: PlatformSystem) -> None:
            await self._start(system)
            bad = system.runners["i-1"]
            for name, value in faults.items():
                setattr(bad.faults, name, value)
            began = time.monotonic()
            answers = [await system.send("/book/1") for _ in range(self.CALLS)]
            took = time.monotonic() - began
            served = sum(answer.status == 200 for answer in answers)
            # Two failures eject it, and it is tried again after at least a second.
            assert len(bad.ran) <= 2 + took
            assert served == self.CALLS - len(bad.ran)
            ran = [name for item in system.runners.values() for name in item.ran]
            assert len(ran) == len(set(ran)) == self.CALLS

        run(test)

    def test_all_endpoints_stay_in_use_if_all_lose_answers(self):
        async def test(system: PlatformSystem) -> None:
            await self._start(system)
            runners = system.runners.values()
            for runner in runners:
                runner.faults.lose_answers = 10**6
            lost = [await system.send("/book/1") for _ in range(self.CALLS)]
            assert {answer.status for answer in lost} == {502}
            assert not system.hosts[0].fleet.call_failures.list_failing(LOOKUPS)
            for runner in runners:
                runner.faults.lose_answers = 0
            served = [await system.send("/book/1") for _ in range(self.CALLS)]
            assert {answer.status for answer in served} == {200}

        run(test)

    async def _start(self, system: PlatformSystem) -> None:
        """Start a host and the endpoints of a service."""
        system.store.put("config", "main", make_config())
        for number in range(ENDPOINTS):
            await system.add_runner(f"i-{number}", LOOKUPS)
        await system.add_host()
        await system.wait_ready()
