"""CPU time per forwarded token, compared with a plain relay in the same run."""

import asyncio
import sys
import tempfile
from pathlib import Path

import attrs

from bench.load import LoadResult, cpu_seconds, memory_mb, run_streams
from bench.report import Figure
from passtally.objects import Protection
from standins.ports import free_port
from standins.processes import Process, Processes

STREAMS = 500
SHORT_TOKENS = 40
LONG_TOKENS = 240
STEP = 0.05
PROMPT = "av. rivadavia 1234, pilar\n" * 120


@attrs.frozen(kw_only=True)
class _Cost:
    """Cost of one process, derived from runs with short and with long answers.

    Attributes:
        token_us: CPU time per token, in microseconds: the slope between the two
            answer lengths.
        request_us: CPU time per request without its tokens, in microseconds.
        event_bytes: Bytes sent to the caller per event.
    """

    token_us: float
    request_us: float
    event_bytes: float


def run() -> list[Figure]:
    """Measure the daemon without and with copies of runs, and the relay."""
    with tempfile.TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        token = _start(processes)
        relay = processes.by_name["relay"]
        host = processes.by_name["entry-a"]
        headers = {"Authorization": f"Bearer {token}"}
        chat = {
            "model": "drafting",
            "messages": [{"role": "user", "content": PROMPT}],
            "stream": True,
        }
        idle_mb = memory_mb(host.popen.pid)
        relayed = _measure(
            relay, "/v1/completions", {"request_id": "", "prompt": PROMPT}, None
        )
        path = "/v1/chat/completions"
        served = _measure(host, path, chat, headers)
        busy_mb = memory_mb(host.popen.pid)
        copied = _measure(host, path, chat | {"model": "copied"}, headers)
    stream_kb = (busy_mb - idle_mb) * 1024 / STREAMS
    return [
        *_cost_figures("relay", relayed),
        *_cost_figures("host", served),
        *_cost_figures("host_copies", copied),
        _ratio("cpu_ratio", served.token_us, relayed.token_us),
        _ratio("cpu_ratio_copies", copied.token_us, relayed.token_us),
        _ratio("request_cpu_ratio", served.request_us, relayed.request_us),
        _ratio("caller_bytes_ratio", served.event_bytes, relayed.event_bytes),
        Figure(name="forward.memory_a_stream", value=stream_kb, unit="KB"),
        Figure(name="forward.memory_idle", value=idle_mb, unit="MB"),
    ]


def _cost_figures(name: str, cost: _Cost) -> list[Figure]:
    return [
        Figure(name=f"forward.{name}.token", value=cost.token_us, unit="us"),
        Figure(name=f"forward.{name}.request", value=cost.request_us, unit="us"),
        Figure(name=f"forward.{name}.event", value=cost.event_bytes, unit="bytes"),
    ]


def _ratio(name: str, value: float, base: float) -> Figure:
    return Figure(name=f"forward.{name}", value=value / base, unit="x relay")


def _start(processes: Processes) -> str:
    processes.start_platform()
    engines = [
        processes.start_engine(
            f"runner-{n}", step=STEP, max_batch=STREAMS, prefill_rate=1e6
        )
        for n in "12"
    ]
    placed = [(engine, "pilar") for engine in engines]
    processes.add_model("drafting", placed, max_streams=STREAMS)
    copies = [
        processes.start_engine(
            f"runner-copied-{n}", step=STEP, max_batch=STREAMS, prefill_rate=1e6
        )
        for n in "12"
    ]
    processes.add_model(
        "copied",
        [(engine, "pilar") for engine in copies],
        protection=Protection.COPY,
        max_streams=STREAMS,
    )
    token = processes.add_workspace("load")
    processes.start_hosts({"entry-a": "pilar", "entry-b": "tigre"})
    port = free_port()
    upstreams = [f"--upstream={engine.url}" for engine in engines]
    command = [sys.executable, "-m", "bench.relay", f"--port={port}", *upstreams]
    processes.start("relay", command, port)
    processes.wait_ready()
    return token


def _measure(
    process: Process, path: str, body: dict, headers: dict[str, str] | None
) -> _Cost:
    def run_once(tokens: int) -> tuple[float, LoadResult]:
        before = cpu_seconds(process.popen.pid)
        limited_body = body | {"max_tokens": tokens}
        work = run_streams(process.url + path, limited_body, STREAMS, headers=headers)
        result = asyncio.run(work)
        if result.failures:
            raise RuntimeError(f"{result.failures} streams failed at {process.name}")
        return (cpu_seconds(process.popen.pid) - before) * 1e6 / STREAMS, result

    run_once(SHORT_TOKENS)
    short, _ = run_once(SHORT_TOKENS)
    long, result = run_once(LONG_TOKENS)
    token_us = (long - short) / (LONG_TOKENS - SHORT_TOKENS)
    return _Cost(
        token_us=token_us,
        request_us=short - token_us * SHORT_TOKENS,
        event_bytes=result.wire_bytes / result.events,
    )
