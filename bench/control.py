"""Cost of the control plane: idle hosts, configuration changes and take-over."""

import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from bench.load import cpu_seconds, memory_mb
from bench.report import Figure, percentile
from standins.processes import OPERATOR_TOKEN, Processes, call_json

HOST_COUNTS = (3, 9, 18)
IDLE_SECONDS = 10
CHANGES = 15
SLOW_LATENCY = 0.2
OUTAGE_SECONDS = 3.0
WAIT_TIMEOUT_SECONDS = 40
DOMAINS = ("pilar", "tigre", "escobar")
HEADERS = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}


def run() -> list[Figure]:
    """Measure idle cost at each host count, and changes at the middle one."""
    figures = []
    for count in HOST_COUNTS:
        with (
            tempfile.TemporaryDirectory() as folder,
            Processes(Path(folder)) as processes,
        ):
            names = _start(processes, count)
            figures += _measure_idle(processes, names, count)
            if count == HOST_COUNTS[1]:
                figures += _measure_changes(processes, names)
                figures += _measure_drain(processes, names)
                figures += _measure_take_over(processes, names)
    return figures


def _start(processes: Processes, count: int) -> list[str]:
    processes.start_platform()
    engines = [
        (processes.start_engine(f"runner-{domain}"), domain) for domain in DOMAINS
    ]
    processes.add_model("drafting", engines)
    domains = {f"entry-{n}": DOMAINS[n % len(DOMAINS)] for n in range(count)}
    processes.start_hosts(domains)
    processes.wait_ready()
    time.sleep(2)
    return list(domains)


def _status(processes: Processes, name: str) -> dict:
    url = processes.by_name[name].url
    return call_json("GET", f"{url}/operator/v1/status", headers=HEADERS)


def _measure_idle(processes: Processes, names: list[str], count: int) -> list[Figure]:
    """Return the CPU, traffic, platform calls and memory of hosts without requests."""
    pids = [processes.by_name[name].popen.pid for name in names]
    platform = processes.platform

    def read() -> tuple[float, int, int]:
        cpu = sum(cpu_seconds(pid) for pid in pids)
        sent = sum(_status(processes, name)["peer_bytes_sent"] for name in names)
        return cpu, sent, sum(platform.counts()["calls"].values())

    before = read()
    time.sleep(IDLE_SECONDS)
    after = read()
    cpu, sent, calls = (
        (late - early) / IDLE_SECONDS / count
        for early, late in zip(before, after, strict=True)
    )
    memory = sum(memory_mb(pid) for pid in pids) / count
    name = f"control.rest_{count}"
    return [
        Figure(name=f"{name}.cpu", value=cpu * 100, unit="% of a core/host"),
        Figure(name=f"{name}.peer_bytes", value=sent, unit="bytes/s/host"),
        Figure(name=f"{name}.platform_calls", value=calls, unit="1/s/host"),
        Figure(name=f"{name}.memory", value=memory, unit="MB/host"),
    ]


def _measure_changes(processes: Processes, names: list[str]) -> list[Figure]:
    """Return the time until a change is active on each host.

    The platform is healthy, slow, or has just recovered from an outage.
    """
    platform = processes.platform
    healthy = [_time_change(processes, names, n) for n in range(CHANGES)]
    platform.control(latency=SLOW_LATENCY)
    slow = [_time_change(processes, names, 100 + n) for n in range(CHANGES // 3)]
    platform.control()
    recovered = [_time_after_outage(processes, names)]
    figures = []
    for state, times in (("well", healthy), ("slow", slow), ("back", recovered)):
        all_times = [value for row in times for value in row]
        for part, value in (
            ("p50", percentile(all_times, 0.5)),
            ("p95", percentile(all_times, 0.95)),
            ("max", max(all_times)),
        ):
            name = f"control.change_{state}.{part}"
            figures.append(Figure(name=name, value=value, unit="s"))
    return figures


def _time_change(processes: Processes, names: list[str], number: int) -> list[float]:
    url = processes.by_name[names[number % len(names)]].url
    value = {"id": f"w{number}", "token_sha256": f"{number:064d}"}
    answer = call_json(
        "PUT",
        f"{url}/operator/v1/config/workspaces/w{number}",
        value,
        headers=HEADERS,
    )
    return _wait_everywhere(processes, names, answer["version"])


def _time_after_outage(processes: Processes, names: list[str]) -> list[float]:
    """Return the time per host to apply a change that is made after an outage."""
    processes.platform.control(outage=True)
    time.sleep(OUTAGE_SECONDS)
    processes.platform.control()
    return _time_change(processes, names, 999)


def _wait_everywhere(
    processes: Processes, names: list[str], version: int
) -> list[float]:
    started = time.monotonic()
    pending_names = list(names)
    times = []
    while pending_names:
        for name in list(pending_names):
            state = call_json("GET", f"{processes.by_name[name].url}/readyz")
            if state["config_version"] >= version:
                pending_names.remove(name)
                times.append(time.monotonic() - started)
        if time.monotonic() - started > WAIT_TIMEOUT_SECONDS:
            raise RuntimeError(f"hosts {pending_names} did not reach version {version}")
    return times


def _measure_drain(processes: Processes, names: list[str]) -> list[Figure]:
    """Return the time from the confirmation of a drain until all hosts apply it."""
    plan = _declare(processes, names[0], "drain", endpoints="runner-pilar")
    started = time.monotonic()
    _confirm(processes, names[0], plan)

    def is_drained(name: str) -> bool:
        rows = _status(processes, name)["endpoints"]
        return any(
            row["id"] == "runner-pilar" and row["state"] == "draining" for row in rows
        )

    _wait(lambda: all(is_drained(name) for name in names))
    in_force = time.monotonic() - started
    _wait(lambda: _state(processes, names[0], plan) == "done")
    done = time.monotonic() - started
    return [
        Figure(name="control.drain_in_force", value=in_force, unit="s"),
        Figure(name="control.drain_done", value=done, unit="s"),
    ]


def _measure_take_over(processes: Processes, names: list[str]) -> list[Figure]:
    """Return the time from the death of an intent's holder to its take-over."""
    processes.by_name["runner-tigre"].kill()
    plan = _declare(processes, names[0], "load", endpoints="runner-tigre", version="9")
    _confirm(processes, names[0], plan)

    def read() -> dict:
        alive = next(n for n in names if processes.by_name[n].popen.poll() is None)
        url = processes.by_name[alive].url
        return call_json("GET", f"{url}/operator/v1/intents/{plan}", headers=HEADERS)

    _wait(lambda: read()["holder"] != "")
    holder, fence = read()["holder"], read()["fence"]
    processes.by_name[holder].kill()
    started = time.monotonic()
    _wait(lambda: read()["fence"] > fence)
    took = time.monotonic() - started
    return [Figure(name="control.take_over", value=took, unit="s")]


def _declare(processes: Processes, name: str, kind: str, **params: str) -> str:
    url = processes.by_name[name].url
    body = {"kind": kind, "params": params}
    return call_json("POST", f"{url}/operator/v1/intents", body, headers=HEADERS)["id"]


def _confirm(processes: Processes, name: str, intent_id: str) -> None:
    url = processes.by_name[name].url
    call_json("POST", f"{url}/operator/v1/intents/{intent_id}/confirm", headers=HEADERS)


def _state(processes: Processes, name: str, intent_id: str) -> str:
    url = processes.by_name[name].url
    path = f"{url}/operator/v1/intents/{intent_id}"
    return call_json("GET", path, headers=HEADERS)["state"]


def _wait(condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"condition not met within {WAIT_TIMEOUT_SECONDS} s")
        time.sleep(0.02)
