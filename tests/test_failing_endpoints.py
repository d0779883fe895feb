"""Endpoints for calls that take each call and fail it, while others of them are well.

The pattern: one of four resets each call that it has read, or answers each with an
error. A call that may run only once is lost there, and a host sends most of its calls
to the endpoint in its own failure domain.
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
from passtally.plain import PlainAnswer, PlainCall, PlainCaller
from passtally.retry import LossKind
from passtally.retry_budget import RetryBudgets
from standins.platform_config import LOOKUPS, make_config
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import make_catalog
from tests.platform_system import PlatformSystem, run

SERVICE = Service(id="s", kind=ServiceKind.PLAIN)
HOSTS = 6
ENDPOINTS = 4
#: Calls a second that each host gets.
RATE = 2.0
#: How long a call takes, in seconds.
WORK = 0.045
#: How long traffic lasts, in seconds.
SECONDS = 30.0

#: Fails a call at some time, or does not; gets the time and a random number below 1.
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
    """Endpoints that fail some calls, seen by one host.

    Attributes:
        rng: Decides which calls fail.
        faults: What each endpoint does wrong, by its id.
        sent: When each call was sent, and where.
    """

    rng: random.Random
    faults: Mapping[str, Fault]
    sent: list[tuple[float, str, str]] = attrs.field(factory=list)

    async def send(self, call, live, *, before_send=None) -> PlainAnswer:
        now = asyncio.get_running_loop().time()
        name = live.endpoint.id
        self.sent.append((now, call.id, name))
        await asyncio.sleep(WORK)
        fault = self.faults.get(name, lambda now, luck: None)
        result = fault(now, self.rng.random())
        if isinstance(result, LossKind):
            raise AttemptLostError(result, step="call", peer=name, detail="lost")
        return PlainAnswer(status=result or 200, headers=CIMultiDict(), body=b"")


@attrs.define(kw_only=True)
class Host:
    """One host and what it sent."""

    sender: FaultySender
    fleet: Fleet
    caller: PlainCaller


@attrs.define(kw_only=True)
class Seen:
    """What callers saw and endpoints got.

    Attributes:
        hosts: The hosts.
        statuses: How often callers got which status.
    """

    hosts: list[Host] = attrs.field(factory=list)
    statuses: Counter[int] = attrs.field(factory=Counter)

    @property
    def served(self) -> float:
        return self.statuses[200] / self.statuses.total()

    def sends(self, *, after: float = 0.0) -> list[tuple[str, str]]:
        """Return which calls were sent where after some second."""
        return [
            (call, name)
            for host in self.hosts
            for at, call, name in host.sender.sent
            if at >= after
        ]

    def arrivals(self, endpoint: str, *, after: float = 0.0) -> int:
        """Return how many calls an endpoint got after some second."""
        return sum(name == endpoint for _, name in self.sends(after=after))

    def failing(self) -> Counter[str]:
        """Return how many hosts have put which endpoints out of use."""
        return Counter(
            endpoint
            for host in self.hosts
            for endpoint in host.fleet.list_failing(SERVICE.id)
        )

    def most_sends(self) -> int:
        """Return how often the call that was sent most often was sent."""
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
) -> Seen:
    """Send calls that may run once from all hosts, and return what was seen."""

    async def ask(host: Host, call_id: str, seen: Seen) -> None:
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
            seen.statuses[answer.status] += 1
        except RefusedError as error:
            if error.failure.status == 502:
                assert error.failure.outcome is Outcome.UNKNOWN
            seen.statuses[error.failure.status] += 1

    async def send(number: int, seen: Seen, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as asks:
            while True:
                await asyncio.sleep(rng.expovariate(rate))
                if loop.time() >= SECONDS:
                    return
                name = f"c{number}-{loop.time()}"
                asks.create_task(ask(seen.hosts[number], name, seen))

    async def test() -> Seen:
        seen = Seen(
            hosts=[
                make_host(number, seed, faults, endpoints) for number in range(HOSTS)
            ]
        )
        rng = random.Random(seed)
        async with asyncio.TaskGroup() as group:
            for number in range(HOSTS):
                group.create_task(send(number, seen, random.Random(rng.random())))
        return seen

    return run_virtually(test())


@pytest.mark.parametrize("seed", range(5))
class TestOneEndpointFails:
    """It gets a bounded share of the calls, and is used again once it is well.

    Of 360 calls a quarter, 90, are its share.
    """

    @pytest.mark.parametrize("fault", [reset, answer_500])
    def test_most_calls_go_to_its_neighbours(self, fault: Fault, seed: int):
        seen = play({"e1": fault}, seed=seed)
        assert seen.served > 0.9
        assert seen.arrivals("e1", after=SECONDS / 2) <= 0.04 * seen.statuses.total()

    def test_its_neighbour_alone_takes_them(self, seed: int):
        assert play({"e1": reset}, seed=seed, endpoints=2).served > 0.87

    def test_one_that_fails_half_its_calls(self, seed: int):
        assert play({"e1": reset_part(0.5)}, seed=seed).served > 0.91

    def test_it_is_used_again(self, seed: int):
        seen = play({"e1": reset_until(5)}, seed=seed)
        assert seen.served > 0.94
        baseline = play({}, seed=seed)
        back = seen.arrivals("e1", after=15)
        assert back > 0.7 * baseline.arrivals("e1", after=15)

    def test_it_is_tried_at_once_where_it_is_the_last(self, seed: int):
        faults = {"e0": unreachable_from(10), "e1": reset_until(8)}
        seen = play(faults, seed=seed, endpoints=2)
        calls = {call for call, _ in seen.sends(after=10)}
        there = {call for call, name in seen.sends(after=10) if name == "e1"}
        assert len(there) > 0.95 * len(calls)

    def test_no_call_is_sent_twice(self, seed: int):
        assert play({"e1": reset}, seed=seed).most_sends() == 1


def on_all(fault: Fault) -> Mapping[str, Fault]:
    return {f"e{number}": fault for number in range(ENDPOINTS)}


def shares(seen: Seen) -> list[float]:
    """Return each endpoint's share of the calls."""
    total = seen.statuses.total()
    return [seen.arrivals(f"e{number}") / total for number in range(ENDPOINTS)]


@pytest.mark.parametrize("seed", range(5))
class TestAllFailAlike:
    """What hits all endpoints alike puts none out of use."""

    @pytest.mark.parametrize("fault", [reset, answer_500])
    def test_all_of_a_service(self, fault: Fault, seed: int):
        seen = play(on_all(fault), seed=seed)
        assert not seen.failing()
        assert seen.statuses[200] == 0
        assert seen.statuses[503] == 0
        assert min(shares(seen)) > 0.15

    def test_a_cut_that_ends(self, seed: int):
        seen = play(on_all(reset_until(5)), seed=seed)
        assert not seen.failing()
        during = len(seen.sends()) - len(seen.sends(after=5))
        assert seen.statuses[502] == during
        assert seen.statuses[200] == seen.statuses.total() - during

    def test_calls_that_were_given_too_little_time(self, seed: int):
        seen = play({"e1": answer_504}, seed=seed)
        assert not seen.failing()
        baseline = play({}, seed=seed)
        assert seen.arrivals("e1") == baseline.arrivals("e1")

    def test_at_most_half_are_put_out_of_use(self, seed: int):
        faults = {"e0": reset, "e1": reset, "e2": reset}
        seen = play(faults, seed=seed)
        for host in seen.hosts:
            assert len(host.fleet.list_failing(SERVICE.id)) <= ENDPOINTS / 2
        assert seen.statuses[503] == 0

    def test_the_only_endpoint_is_used_on(self, seed: int):
        seen = play({"e0": reset_until(5)}, seed=seed, endpoints=1)
        assert not seen.failing()
        assert seen.statuses[503] == 0
        assert seen.served > 0.75


def note(record: CallRecord, name: str, results: str, *, at: float = 0.0) -> None:
    """Note answers: ``x`` for a failure, ``.`` for none."""
    for result in results:
        now = timedelta(seconds=at)
        record.note(name, is_failure=result == "x", now=now)


def is_failing(record: CallRecord, name: str, *, at: float = 0.0, left_out=()) -> bool:
    now = timedelta(seconds=at)
    return record.is_failing(name, left_out=left_out, now=now)


class TestCallRecord:
    def test_one_failure_is_chance(self):
        record = CallRecord()
        note(record, "a", "x")
        note(record, "b", ".")
        assert not is_failing(record, "a")

    def test_two_in_a_row_are_not_where_a_neighbour_answers(self):
        record = CallRecord()
        note(record, "a", "x")
        note(record, "b", ".")
        note(record, "a", "x")
        assert is_failing(record, "a")
        assert not is_failing(record, "b")

    def test_without_a_neighbours_answer_this_host_may_be_at_fault(self):
        record = CallRecord()
        note(record, "b", "..")
        note(record, "a", "xxxxxx")
        assert not is_failing(record, "a")
        note(record, "b", "x")
        assert not is_failing(record, "a")

    def test_what_failed_among_many_that_did_not_is_chance(self):
        record = CallRecord()
        note(record, "a", "x")
        note(record, "b", "." * 20)
        note(record, "a", "." * 20 + "x")
        assert not is_failing(record, "a")

    def test_neighbours_that_fail_as_often(self):
        record = CallRecord()
        note(record, "a", "x")
        note(record, "b", "x.x")
        note(record, "a", "x.x")
        assert not is_failing(record, "a")

    def test_a_neighbour_that_is_known_to_fail_says_nothing(self):
        record = CallRecord()
        note(record, "a", "x")
        note(record, "b", "xxxx")
        note(record, "c", "..")
        note(record, "a", "x")
        assert not is_failing(record, "a")
        assert is_failing(record, "a", left_out={"b"})

    def test_old_failures_are_forgotten(self):
        record = CallRecord()
        later = SPAN.total_seconds() + 1
        note(record, "a", "x")
        note(record, "b", ".", at=later)
        note(record, "a", "x", at=later)
        assert not is_failing(record, "a", at=later)

    def test_it_remembers_so_many(self):
        record = CallRecord()
        note(record, "a", "x")
        note(record, "b", "." * MAX_ANSWERS)
        note(record, "a", "x")
        assert not is_failing(record, "a")


class TestOverConnections:
    """The same with a host before endpoints that it reaches over connections."""

    CALLS = 80

    @pytest.mark.parametrize(
        "faults", [{"lose_answers": 10**6}, {"own_status": 500}, {"no_proof": True}]
    )
    def test_one_that_fails_each_call_gets_few(self, faults: dict[str, int]):
        async def test(system: PlatformSystem) -> None:
            await self._start(system)
            bad = system.runners["i-1"]
            for name, value in faults.items():
                setattr(bad.faults, name, value)
            began = time.monotonic()
            answers = [await system.send("/book/1") for _ in range(self.CALLS)]
            took = time.monotonic() - began
            served = sum(answer.status == 200 for answer in answers)
            # Two show that it fails; it is tried again a second later at the soonest.
            assert len(bad.ran) <= 2 + took
            assert served == self.CALLS - len(bad.ran)
            ran = [name for item in system.runners.values() for name in item.ran]
            assert len(ran) == len(set(ran)) == self.CALLS

        run(test)

    def test_all_that_lose_answers_at_once_are_used_on(self):
        async def test(system: PlatformSystem) -> None:
            await self._start(system)
            runners = system.runners.values()
            for runner in runners:
                runner.faults.lose_answers = 10**6
            lost = [await system.send("/book/1") for _ in range(self.CALLS)]
            assert {answer.status for answer in lost} == {502}
            assert not system.hosts[0].fleet.list_failing(LOOKUPS)
            for runner in runners:
                runner.faults.lose_answers = 0
            served = [await system.send("/book/1") for _ in range(self.CALLS)]
            assert {answer.status for answer in served} == {200}

        run(test)

    async def _start(self, system: PlatformSystem) -> None:
        """Start a host before some endpoints."""
        system.store.put("config", "main", make_config())
        for number in range(ENDPOINTS):
            await system.add_runner(f"i-{number}", LOOKUPS)
        await system.add_host()
        await system.wait_ready()
