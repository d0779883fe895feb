"""Silence limit: trade-off between resume latency after a freeze and false alarms.

In virtual time, engines stall briefly from time to time, mostly while they still answer
probes. Less often, an engine freezes for ``FREEZE_SECONDS``.
"""

import asyncio
import random
from datetime import timedelta
from itertools import count

import attrs

from bench.report import Figure, percentile
from passtally.dispatcher import Dispatcher
from passtally.fleet import Fleet
from passtally.generation import Generation, GenerationRequest
from passtally.metrics import Metric, NoMetrics
from passtally.objects import Endpoint, Service, ServiceKind
from passtally.outcome import RefusedError
from passtally.placement import Placement
from passtally.retry import RetryLimits
from passtally.retry_budget import RetryBudgets
from passtally.silence import Phase, SilenceBounds
from standins.fake_engine import FakeEngine
from standins.virtual import VirtualClock, run_virtually
from tests.fakes import make_catalog

FLOORS_MS = (100, 200, 400, 800, 1600)
SECONDS = 120
ENGINES = 6
STREAMS = 24
TOKENS = 300
STALL_EVERY = 15.0
STALL_MEDIAN = 0.25
STALL_SIGMA = 0.9
#: Share of stalls during which the engine does not answer probes either.
MUTE_SHARE = 0.2
FREEZE_EVERY = 30.0
FREEZE_SECONDS = 15.0
SEED = 5


@attrs.define(kw_only=True)
class _Result:
    latencies: list[float] = attrs.field(factory=list)
    hit: int = 0
    lost: int = 0
    answers: int = 0


class _CountingMetrics(NoMetrics):
    """Metrics that count attempts lost because the engine was silent."""

    def __init__(self, result: _Result) -> None:
        self._result = result

    def count(self, metric: Metric, part: str = "") -> None:
        """Count a lost attempt if its engine was frozen."""
        if metric is Metric.LOST and part == "frozen":
            self._result.lost += 1


class _Watcher:
    """Sink of one stream that measures the time from a freeze to the next output."""

    def __init__(self, result: _Result) -> None:
        self.engine = ""
        self.hit_at: float | None = None
        self._result = result

    def switch(self, generation: Generation, attempt: object) -> None:
        """Record the endpoint of a new attempt."""
        self.engine = attempt.endpoint_id

    async def write(self, deliveries: list) -> None:
        """Record the latency of the first output after a freeze."""
        if self.hit_at is not None:
            now = asyncio.get_running_loop().time()
            self._result.latencies.append(now - self.hit_at)
            self.hit_at = None


def run() -> list[Figure]:
    """Measure each lower bound of the silence limit."""
    figures = []
    for floor in FLOORS_MS:
        result = run_virtually(_run_floor(timedelta(milliseconds=floor)))
        false_alarms = max(0, result.lost - result.hit)

        def figure(part: str, value: float, unit: str, floor: int = floor) -> Figure:
            return Figure(
                name=f"silence.floor_{floor}ms.{part}", value=value, unit=unit
            )

        figures += [
            figure("resume_p50", percentile(result.latencies, 0.5), "s"),
            figure("resume_p95", percentile(result.latencies, 0.95), "s"),
            figure("resume_max", max(result.latencies), "s"),
            figure("false_alarms", false_alarms / result.answers, "an answer"),
            figure("hit", result.hit, "streams"),
        ]
    return figures


async def _run_floor(floor: timedelta) -> _Result:
    clock = VirtualClock()
    result = _Result()
    engines = {f"r{n}": FakeEngine(name=f"r{n}", clock=clock) for n in range(ENGINES)}
    fleet, dispatcher = _build(clock, engines, floor, result)
    watchers: set[_Watcher] = set()
    rng = random.Random(SEED)
    tasks = [asyncio.ensure_future(fleet.watch_silence())]
    numbers = count()
    for engine in engines.values():
        tasks.append(asyncio.ensure_future(_stall(engine, rng)))
    tasks.append(asyncio.ensure_future(_freeze(engines, rng, watchers, result)))
    for _ in range(STREAMS):
        work = _stream(dispatcher, numbers, watchers, result)
        tasks.append(asyncio.ensure_future(work))
    await asyncio.sleep(SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return result


def _build(
    clock: VirtualClock,
    engines: dict[str, FakeEngine],
    floor: timedelta,
    result: _Result,
) -> tuple[Fleet, Dispatcher]:
    service = Service(id="s", kind=ServiceKind.MODEL, model="m", version="1")
    endpoints = [
        Endpoint(id=name, service="s", url=f"http://{name}", failure_domain="d")
        for name in engines
    ]
    bounds = SilenceBounds(
        initial=max(floor, timedelta(seconds=0.8)),
        floor=floor,
        ceiling=max(floor, timedelta(seconds=1.5)),
    )
    fleet = Fleet(
        catalog=make_catalog([service], endpoints),
        clock=clock,
        connect=lambda endpoint: engines[endpoint.id],
        bounds_by_phase={Phase.FIRST_TOKEN: bounds, Phase.NEXT_TOKEN: bounds},
    )
    dispatcher = Dispatcher(
        fleet=fleet,
        clock=clock,
        placement=Placement(fleet=fleet, clock=clock, failure_domain="d"),
        limits=RetryLimits(max_attempts=50),
        budgets=RetryBudgets(),
        metrics=_CountingMetrics(result),
    )
    return fleet, dispatcher


async def _stream(
    dispatcher: Dispatcher, numbers: count, watchers: set[_Watcher], result: _Result
) -> None:
    while True:
        number = next(numbers)
        request = GenerationRequest(
            id=f"gen-0-{number}",
            workspace="w",
            service="s",
            model="m",
            version="1",
            adapter="",
            prompt=f"{number} " * 200,
            max_tokens=TOKENS,
            temperature=0,
            seed=1,
        )
        watcher = _Watcher(result)
        watchers.add(watcher)
        try:
            await dispatcher.run(Generation(request=request), watcher)
            result.answers += 1
        except RefusedError:
            await asyncio.sleep(0.1)
        finally:
            watchers.discard(watcher)


async def _stall(engine: FakeEngine, rng: random.Random) -> None:
    while True:
        await asyncio.sleep(rng.expovariate(1 / STALL_EVERY))
        length = rng.lognormvariate(0, STALL_SIGMA) * STALL_MEDIAN
        if engine.is_frozen:
            continue
        engine.freeze(mute=rng.random() < MUTE_SHARE)
        await asyncio.sleep(length)
        engine.thaw()


async def _freeze(
    engines: dict[str, FakeEngine],
    rng: random.Random,
    watchers: set[_Watcher],
    result: _Result,
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(rng.expovariate(1 / FREEZE_EVERY) + 1)
        engine = rng.choice(list(engines.values()))
        if engine.is_frozen:
            continue
        engine.freeze()
        for watcher in watchers:
            if watcher.engine == engine.name and watcher.hit_at is None:
                watcher.hit_at = loop.time()
                result.hit += 1
        await asyncio.sleep(FREEZE_SECONDS)
        engine.thaw()
