"""Processor time for a forwarded token, against a bare relay in the same run."""

import asyncio
import sys
import tempfile
from pathlib import Path

from bench.load import LoadResult, cpu_seconds, memory_mb, run_streams
from bench.report import Figure
from passtally.objects import Protection
from standins.processes import Process, Processes, free_port

STREAMS = 500
TOKENS = 160
STEP = 0.05
PROMPT = "av. rivadavia 1234, pilar\n" * 60


def run() -> list[Figure]:
    """Measure the daemon without and with copies, and the relay."""
    with tempfile.TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        token = _start(processes)
        relay = processes.by_name["relay"]
        host = processes.by_name["entry-a"]
        chat = {
            "model": "drafting",
            "messages": [{"role": "user", "content": PROMPT}],
            "stream": True,
            "max_tokens": TOKENS,
        }
        headers = {"Authorization": f"Bearer {token}"}
        idle_mb = memory_mb(host.popen.pid)
        plain = {"request_id": "", "prompt": PROMPT, "max_tokens": TOKENS}
        relayed = _measure(relay, "/v1/completions", plain, None)
        served = _measure(host, "/v1/chat/completions", chat, headers)
        busy_mb = memory_mb(host.popen.pid)
        copied = _measure(
            host, "/v1/chat/completions", chat | {"model": "copied"}, headers
        )
    micro = 1e6
    relay_us, host_us, copy_us = (
        cpu / result.events * micro for cpu, result in (relayed, served, copied)
    )
    bytes_ratio = _bytes_an_event(served[1]) / _bytes_an_event(relayed[1])
    return [
        Figure(name="forward.relay_cpu", value=relay_us, unit="us/token"),
        Figure(name="forward.host_cpu", value=host_us, unit="us/token"),
        Figure(name="forward.host_cpu_copies", value=copy_us, unit="us/token"),
        Figure(name="forward.cpu_ratio", value=host_us / relay_us, unit="x relay"),
        Figure(
            name="forward.cpu_ratio_copies", value=copy_us / relay_us, unit="x relay"
        ),
        Figure(name="forward.caller_bytes_ratio", value=bytes_ratio, unit="x relay"),
        Figure(
            name="forward.memory_a_stream",
            value=(busy_mb - idle_mb) * 1024 / STREAMS,
            unit="KB",
        ),
        Figure(name="forward.memory_idle", value=idle_mb, unit="MB"),
    ]


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
) -> tuple[float, LoadResult]:
    before = cpu_seconds(process.popen.pid)
    result = asyncio.run(
        run_streams(process.url + path, body, STREAMS, headers=headers)
    )
    if result.failures:
        raise RuntimeError(f"{result.failures} streams failed at {process.name}")
    return cpu_seconds(process.popen.pid) - before, result


def _bytes_an_event(result: LoadResult) -> float:
    return result.wire_bytes / result.events
