"""Resume latency and extra tokens after faults, compared with restarting requests."""

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

import aiohttp
import attrs
import msgspec

from bench.report import Figure, percentile
from passtally.objects import Protection
from standins.caller import Answer, Caller
from standins.ports import free_port
from standins.processes import Processes

ROUNDS = 3
STREAMS = 8
TOKENS = 500
STEP = 0.01
FAULT_AFTER = 1.5
HOSTS = {"entry-a": "pilar", "entry-b": "tigre", "entry-c": "escobar"}
PROMPT = "\n".join(f"av. rivadavia {n},  pilar" for n in range(120))
#: A stream that continues within this time was not hit by the fault.
UNAFFECTED_SECONDS = 0.03


@attrs.define
class Round:
    """Measurements of one round; token counts start at the fault.

    Attributes:
        latencies: Time from the fault to the next token of each stream that was
            hit, in seconds.
        delivered: Number of tokens that callers received.
        generated: Number of tokens that engines generated.
        prefilled: Number of tokens that engines prefilled again.
        failures: Number of incomplete streams.
    """

    latencies: list[float] = attrs.field(factory=list)
    delivered: int = 0
    generated: int = 0
    prefilled: int = 0
    failures: int = 0


@attrs.frozen(kw_only=True)
class Scenario:
    """Fault to inject and the setup in which it occurs.

    Attributes:
        name: Name of the scenario in the figures.
        protection: Protection level of the service.
        inject_fault: Function that causes the fault.
        is_baseline: Whether the relay that restarts lost requests serves.
    """

    name: str
    inject_fault: Callable[[Processes], None]
    protection: Protection = Protection.ENGINE
    is_baseline: bool = False


def _kill_engine(processes: Processes) -> None:
    processes.by_name["runner-1"].kill()


def _freeze_engine(processes: Processes) -> None:
    processes.by_name["runner-1"].signal(signal.SIGSTOP)


def _kill_host(processes: Processes) -> None:
    processes.by_name["entry-a"].kill()


def _kill_both(processes: Processes) -> None:
    _kill_engine(processes)
    _kill_host(processes)


SCENARIOS = (
    Scenario(name="engine_killed", inject_fault=_kill_engine),
    Scenario(name="engine_frozen", inject_fault=_freeze_engine),
    Scenario(name="host_killed", inject_fault=_kill_host),
    Scenario(
        name="host_and_engine_killed",
        inject_fault=_kill_both,
        protection=Protection.COPY,
    ),
    Scenario(name="start_again_baseline", inject_fault=_kill_engine, is_baseline=True),
)


def run() -> list[Figure]:
    """Run all scenarios and compare them with the baseline.

    Incomplete streams are counted in ``not_whole``, which has a bound of 0 for every
    scenario but the baseline.
    """
    figures = []
    rounds_by_name = {}
    for scenario in SCENARIOS:
        rounds = [_run_round(scenario) for _ in range(ROUNDS)]
        rounds_by_name[scenario.name] = rounds
        figures += _figures(scenario.name, rounds)
    killed = rounds_by_name["engine_killed"]
    baseline = rounds_by_name["start_again_baseline"]
    base_p95 = percentile(_latencies(baseline), 0.95)

    def ratio(name: str, value: float, base: float) -> Figure:
        unit = "x starting again"
        return Figure(name=f"survive.{name}", value=value / base, unit=unit)

    figures.append(ratio("extra_tokens_ratio", _extra(killed), _extra(baseline)))
    for name in ("engine_killed", "host_killed", "host_and_engine_killed"):
        p95 = percentile(_latencies(rounds_by_name[name]), 0.95)
        figures.append(ratio(f"{name}.resume_ratio", p95, base_p95))
    return figures


def _latencies(rounds: list[Round]) -> list[float]:
    return [latency for item in rounds for latency in item.latencies]


def _extra(rounds: list[Round]) -> float:
    """Return the number of tokens generated twice, per stream that was hit."""
    extra = sum(item.generated - item.delivered for item in rounds)
    return max(extra, 0) / max(1, sum(len(item.latencies) for item in rounds))


def _figures(name: str, rounds: list[Round]) -> list[Figure]:
    latencies = _latencies(rounds)
    if not latencies:
        raise RuntimeError(f"{name}: the fault hit no stream")
    hit = len(latencies)
    prefilled = sum(item.prefilled for item in rounds) / hit

    def figure(part: str, value: float, unit: str) -> Figure:
        return Figure(name=f"survive.{name}.{part}", value=value, unit=unit)

    return [
        figure("resume_p50", percentile(latencies, 0.5), "s"),
        figure("resume_p95", percentile(latencies, 0.95), "s"),
        figure("resume_max", max(latencies), "s"),
        figure("hit", hit, "streams"),
        figure("not_whole", sum(item.failures for item in rounds), "streams"),
        figure("generated_twice", _extra(rounds), "tokens/hit"),
        figure("read_again", prefilled, "tokens/hit"),
    ]


def _run_round(scenario: Scenario) -> Round:
    with tempfile.TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        token = _start(processes, scenario)
        return asyncio.run(_run_streams(processes, scenario, token))


def _start(processes: Processes, scenario: Scenario) -> str:
    processes.start_platform()
    engines = [processes.start_engine(f"runner-{n}", step=STEP) for n in range(1, 5)]
    domains = ("pilar", "tigre", "escobar", "pilar")
    placed = list(zip(engines, domains, strict=True))
    processes.add_model("drafting", placed, protection=scenario.protection)
    token = processes.add_workspace("load")
    if scenario.is_baseline:
        port = free_port()
        upstreams = [f"--upstream={engine.url}" for engine in engines]
        command = [sys.executable, "-m", "bench.relay", f"--port={port}", *upstreams]
        processes.start("relay", [*command, "--start-again"], port)
    else:
        processes.start_hosts(HOSTS)
    processes.wait_ready()
    return token


async def _run_streams(processes: Processes, scenario: Scenario, token: str) -> Round:
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=120),
    ) as session:
        if scenario.is_baseline:
            url = processes.by_name["relay"].url
            work = [_read_relay(session, url, n) for n in range(STREAMS)]
        else:
            urls = [processes.by_name[name].url for name in HOSTS]
            work = [_read_host(session, urls, token, n) for n in range(STREAMS)]
        gathered = asyncio.ensure_future(asyncio.gather(*work))
        await asyncio.sleep(FAULT_AFTER)
        before = await asyncio.to_thread(_count, processes)
        fault_at = time.monotonic()
        scenario.inject_fault(processes)
        answers = await gathered
    for process in processes.by_name.values():
        if process.popen.poll() is None:
            process.signal(signal.SIGCONT)
    after = _count(processes)
    return _evaluate(answers, fault_at, before, after)


def _count(processes: Processes) -> dict[str, dict[str, int]]:
    running = [
        process
        for name, process in processes.by_name.items()
        if name.startswith("runner") and process.popen.poll() is None
    ]
    return {process.name: process.counts() for process in running}


def _evaluate(
    answers: list[Answer], fault_at: float, before: dict, after: dict
) -> Round:
    result = Round()
    for answer in answers:
        result.failures += answer.events != TOKENS or answer.error is not None
        result.delivered += sum(at > fault_at for at in answer.arrivals)
        for earlier, later in pairwise(answer.arrivals):
            if earlier <= fault_at < later and later - fault_at > UNAFFECTED_SECONDS:
                result.latencies.append(later - fault_at)
    for name, counts in after.items():
        result.generated += counts["generated"] - before[name]["generated"]
        result.prefilled += counts["prefilled"] - before[name]["prefilled"]
    return result


async def _read_host(
    session: aiohttp.ClientSession, urls: list[str], token: str, number: int
) -> Answer:
    caller = Caller(session=session, urls=urls, token=token)
    return await caller.chat("drafting", f"{number}\n{PROMPT}", max_tokens=TOKENS)


async def _read_relay(session: aiohttp.ClientSession, url: str, number: int) -> Answer:
    answer = Answer()
    body = {
        "request_id": "",
        "prompt": f"user: {number}\n{PROMPT}",
        "max_tokens": TOKENS,
    }
    data = msgspec.json.encode(body)
    async with session.post(f"{url}/v1/completions", data=data) as response:
        while chunk := await response.content.readany():
            count = chunk.count(b"data: {")
            answer.events += count
            answer.arrivals += [time.monotonic()] * count
    return answer
