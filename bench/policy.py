"""Routing policies on one workload in virtual time, with and without faults.

The policy "affinity" and the dispatcher are those of the product; the engines are
queues behind the engine interface. All policies receive the same requests.
"""

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Sequence
from datetime import timedelta

import attrs
from hdrh.histogram import HdrHistogram

from bench.report import Figure
from passtally.admission_request import AdmissionRequest, RequestClass
from passtally.clock import Clock
from passtally.dispatcher import Dispatcher
from passtally.fleet import Fleet
from passtally.gate import Gate
from passtally.generation import Generation, GenerationRequest
from passtally.load_probe import LoadProbe
from passtally.objects import Endpoint, EndpointState, Service, ServiceKind
from passtally.outcome import RefusedError
from passtally.placement import Placement
from passtally.priority import Priority
from passtally.retry import RetryLimits
from passtally.retry_budget import RetryBudgets
from passtally.routing import (
    Choose,
    EndpointView,
    RouteDecision,
    RouteQuery,
    choose_endpoint,
)
from standins.fake_engine import EngineSpeed, FakeEngine
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import make_catalog

SEED = 20
SECONDS = 40
REQUESTS_PER_SECOND = 16
DOMAINS = ("pilar", "tigre", "escobar")
ENGINES = 12
HOSTS = 3
#: Weight of each workspace in the workload; two workspaces send most requests.
WORKSPACES = {f"w{n}": weight for n, weight in enumerate((30, 20, *[3] * 8))}
LONG_SHARE = 0.09
LONG_TOKENS = (1500, 3000)
MEDIAN_TOKENS = 120
LOOKUP_TOKENS = 60
PREFIXES = 40
SPEED = EngineSpeed(max_batch=8, crowding=0.1, prefixes=8, prefill_rate=12_000)
MAX_MICROSECONDS = 600_000_000


@attrs.frozen(kw_only=True)
class Arrival:
    """Request of the workload; ``at`` is its arrival time in seconds."""

    at: float
    host: int
    workspace: str
    prompt: str
    tokens: int
    request_class: RequestClass


@attrs.define(kw_only=True)
class Outcome:
    """Latencies and counts of one run of the workload.

    Attributes:
        first_token: Time to the first token, in microseconds.
        between_tokens: Interval between later outputs, in microseconds.
        lookups: Duration of lookup requests, in microseconds.
        delivered: Tokens of completed requests.
        refused: Requests that failed before any output.
        cut: Requests that failed after some output.
        tokens_by_workspace: Delivered outputs by workspace.
        wanted_by_workspace: Requested tokens by workspace.
    """

    first_token: HdrHistogram
    between_tokens: HdrHistogram
    lookups: HdrHistogram
    delivered: int = 0
    refused: int = 0
    cut: int = 0
    tokens_by_workspace: Counter = attrs.field(factory=Counter)
    wanted_by_workspace: Counter = attrs.field(factory=Counter)


def run() -> list[Figure]:
    """Run each policy without and with faults."""
    logging.disable()
    arrivals = _make_workload()
    figures = []
    for faults in (False, True):
        for name, make in POLICIES.items():
            result, engines = run_virtually(_run_policy(make, arrivals, faults))
            label = f"policy.{'faults' if faults else 'calm'}.{name}"
            figures += _figures(label, result, engines)
    return figures


def _make_workload() -> list[Arrival]:
    rng = random.Random(SEED)
    prefixes = [f"prefix {n} ".ljust(256, "x") for n in range(PREFIXES)]
    arrivals = []
    at = 0.0
    while at < SECONDS:
        at += rng.expovariate(REQUESTS_PER_SECOND)
        workspace = rng.choices(list(WORKSPACES), WORKSPACES.values())[0]
        is_long = rng.random() < LONG_SHARE
        tokens = rng.randint(*LONG_TOKENS) if is_long else _draw_length(rng)
        index = min(int(rng.paretovariate(0.7)) - 1, PREFIXES - 1)
        prompt = prefixes[index] + "y" * rng.randint(500, 12_000)
        name = RequestClass.JOB if is_long else RequestClass.INTERACTIVE
        if tokens < LOOKUP_TOKENS:
            name = RequestClass.LOOKUP
        arrivals.append(
            Arrival(
                at=at,
                host=rng.randrange(HOSTS),
                workspace=workspace,
                prompt=prompt,
                tokens=tokens,
                request_class=name,
            )
        )
    return arrivals


def _draw_length(rng: random.Random) -> int:
    return max(5, min(2000, int(rng.lognormvariate(0, 1.0) * MEDIAN_TOKENS)))


class _Recorder:
    """Sink of one request that measures the latencies that a caller sees."""

    def __init__(self, arrival: Arrival, result: Outcome, started: float) -> None:
        self._arrival = arrival
        self._result = result
        self._last = started
        self._has_begun = False

    def switch(self, generation: Generation, attempt: object) -> None:
        """Do nothing: the latencies do not depend on the attempt."""

    async def write(self, deliveries: Sequence[object]) -> None:
        """Record the time since the previous output, or since the start."""
        now = asyncio.get_running_loop().time()
        gap = max(1, int((now - self._last) * 1e6))
        self._last = now
        if self._has_begun:
            self._result.between_tokens.record_value(gap)
        else:
            self._has_begun = True
            self._result.first_token.record_value(gap)
        self._result.tokens_by_workspace[self._arrival.workspace] += len(deliveries)


class _Bench:
    """Hosts and engines of one run, in virtual time."""

    def __init__(self, choose: Choose, clock: Clock) -> None:
        service = Service(id="s", kind=ServiceKind.MODEL, model="m", version="1")
        endpoints = [
            Endpoint(
                id=f"r{n}",
                service="s",
                url=f"http://r{n}",
                failure_domain=DOMAINS[n % len(DOMAINS)],
                max_streams=SPEED.max_batch,
            )
            for n in range(ENGINES)
        ]
        self.engines = {
            endpoint.id: FakeEngine(name=endpoint.id, clock=clock, speed=SPEED)
            for endpoint in endpoints
        }
        self.dispatchers = []
        self.gates = []
        self.tasks = []
        self.fleets = []
        for n in range(HOSTS):
            fleet = Fleet(
                catalog=make_catalog([service], endpoints),
                clock=clock,
                connect=lambda endpoint: self.engines[endpoint.id],
            )
            dispatcher = Dispatcher(
                fleet=fleet,
                clock=clock,
                placement=Placement(
                    fleet=fleet,
                    clock=clock,
                    failure_domain=DOMAINS[n],
                    choose=choose,
                ),
                limits=RetryLimits(),
                budgets=RetryBudgets(),
            )
            gate = Gate(fleet=fleet, clock=clock)
            self.fleets.append(fleet)
            self.dispatchers.append(dispatcher)
            self.gates.append(gate)
            self.tasks.append(asyncio.ensure_future(fleet.watch_silence()))
            self.tasks.append(
                asyncio.ensure_future(LoadProbe(fleet=fleet, clock=clock).run())
            )
            self.tasks.append(asyncio.ensure_future(gate.run()))


async def _run_policy(
    make: type, arrivals: Sequence[Arrival], faults: bool
) -> tuple[Outcome, list[FakeEngine]]:
    clock = VirtualClock()
    policy = make(random.Random(SEED))
    bench = _Bench(policy.choose, clock)
    result = Outcome(
        first_token=HdrHistogram(1, MAX_MICROSECONDS, 3),
        between_tokens=HdrHistogram(1, MAX_MICROSECONDS, 3),
        lookups=HdrHistogram(1, MAX_MICROSECONDS, 3),
    )
    if faults:
        bench.tasks.append(asyncio.ensure_future(_inject_faults(bench)))
    if hasattr(policy, "probe"):
        bench.tasks.append(asyncio.ensure_future(policy.probe(bench)))
    loop = asyncio.get_running_loop()
    work = []
    for arrival in arrivals:
        await asyncio.sleep(arrival.at - loop.time())
        work.append(asyncio.ensure_future(_send(bench, arrival, result)))
    await asyncio.gather(*work)
    for task in bench.tasks:
        task.cancel()
    return result, list(bench.engines.values())


async def _inject_faults(bench: _Bench) -> None:
    """Crash and restart one engine, freeze and thaw another, crash a third for good."""
    await asyncio.sleep(6)
    bench.engines["r0"].die()
    await asyncio.sleep(4)
    bench.engines["r4"].freeze()
    await asyncio.sleep(3)
    bench.engines["r0"].restart()
    await asyncio.sleep(3)
    bench.engines["r4"].thaw()
    bench.engines["r8"].die()


async def _send(bench: _Bench, arrival: Arrival, result: Outcome) -> None:
    loop = asyncio.get_running_loop()
    started = loop.time()
    request = GenerationRequest(
        id=f"gen-{id(arrival):x}-{started}",
        workspace=arrival.workspace,
        service="s",
        model="m",
        version="1",
        adapter="",
        prompt=arrival.prompt,
        max_tokens=arrival.tokens,
        temperature=0,
        seed=1,
        priority=Priority(rank=arrival.request_class, route_rank=arrival.request_class),
    )
    admission = AdmissionRequest(
        id=request.id,
        workspace=arrival.workspace,
        share=1,
        request_class=arrival.request_class,
    )
    generation = Generation(request=request)
    result.wanted_by_workspace[arrival.workspace] += arrival.tokens
    sink = _Recorder(arrival, result, started)
    try:
        async with bench.gates[arrival.host].enter("s", admission):
            await bench.dispatchers[arrival.host].run(generation, sink)
    except RefusedError:
        result.refused += not generation.delivered
        result.cut += bool(generation.delivered)
        return
    result.delivered += generation.position
    if arrival.request_class is RequestClass.LOOKUP:
        result.lookups.record_value(max(1, int((loop.time() - started) * 1e6)))


def _figures(
    label: str, result: Outcome, engines: Sequence[FakeEngine]
) -> list[Figure]:
    generated = sum(engine.counts.generated for engine in engines)
    requests = sum(engine.counts.requests for engine in engines)
    hits = sum(engine.counts.prefix_hits for engine in engines)
    shares = [
        result.tokens_by_workspace[name] / wanted
        for name, wanted in result.wanted_by_workspace.items()
    ]

    def figure(part: str, value: float, unit: str) -> Figure:
        return Figure(name=f"{label}.{part}", value=value, unit=unit)

    def at(histogram: HdrHistogram, percent: float) -> float:
        return histogram.get_value_at_percentile(percent) / 1e6

    return [
        figure("first_token_p95", at(result.first_token, 95), "s"),
        figure("between_tokens_p95", at(result.between_tokens, 95) * 1000, "ms"),
        figure("lookup_p99", at(result.lookups, 99), "s"),
        figure("goodput", result.delivered / SECONDS, "tokens/s"),
        figure("refused", result.refused, "requests"),
        figure("cut", result.cut, "answers"),
        figure("least_share", min(shares), "of wanted"),
        figure("wasted", 1 - result.delivered / generated, "of generated"),
        figure("prefix_hits", hits / requests, "of requests"),
    ]


class _Affinity:
    """Policy of the product: prefix affinity and load, comparing two endpoints."""

    def __init__(self, rng: random.Random) -> None:
        del rng

    def choose(
        self, query: RouteQuery, endpoints: Sequence[EndpointView], *, now: timedelta
    ) -> RouteDecision:
        """Choose with the routing decision of the product."""
        return choose_endpoint(query, endpoints, now=now)


def _usable(
    query: RouteQuery, endpoints: Sequence[EndpointView], now: timedelta
) -> list[EndpointView]:
    return [
        view
        for view in endpoints
        if view.state is EndpointState.ACTIVE
        and view.id not in query.exclude
        and (view.ejected_until is None or view.ejected_until <= now)
    ]


def _decide(choice: EndpointView | None) -> RouteDecision:
    name = choice.id if choice else None
    return RouteDecision(endpoint_id=name, candidates=(), reason="baseline")


class _RoundRobin:
    """Baseline: round robin over the usable endpoints."""

    def __init__(self, rng: random.Random) -> None:
        self._count = rng.randrange(ENGINES)

    def choose(
        self, query: RouteQuery, endpoints: Sequence[EndpointView], *, now: timedelta
    ) -> RouteDecision:
        """Choose the next usable endpoint in turn."""
        usable = _usable(query, endpoints, now)
        self._count += 1
        return _decide(usable[self._count % len(usable)] if usable else None)


class _LeastReported:
    """Baseline: lowest load by load reports alone."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, query: RouteQuery, endpoints: Sequence[EndpointView], *, now: timedelta
    ) -> RouteDecision:
        """Choose the endpoint with the fewest reported streams, ties at random."""
        usable = _usable(query, endpoints, now)
        self._rng.shuffle(usable)
        key = lambda view: view.reported_streams  # noqa: E731
        return _decide(min(usable, key=key, default=None))


class _Probing:
    """Baseline: lowest load of up to three random endpoints, with random probes.

    Modelled after Prequal (NSDI 2024).
    """

    PROBES_PER_SECOND = 10

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    async def probe(self, bench: _Bench) -> None:
        """Probe a random endpoint from each host, at ``PROBES_PER_SECOND``."""
        while True:
            await asyncio.sleep(1 / self.PROBES_PER_SECOND)
            for fleet in bench.fleets:
                live = fleet.find(self._rng.choice(list(bench.engines)))
                report = await live.engine.probe()
                if report is not None:
                    live.update_report(report)

    def choose(
        self, query: RouteQuery, endpoints: Sequence[EndpointView], *, now: timedelta
    ) -> RouteDecision:
        """Choose the least loaded of up to three random endpoints."""
        usable = _usable(query, endpoints, now)
        compared = self._rng.sample(usable, min(3, len(usable)))
        key = lambda view: view.load  # noqa: E731
        return _decide(min(compared, key=key, default=None))


POLICIES = {
    "round_robin": _RoundRobin,
    "least_reported": _LeastReported,
    "probing": _Probing,
    "affinity": _Affinity,
}
