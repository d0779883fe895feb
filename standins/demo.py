"""End-to-end demo with separate processes and an engine killed mid-answer."""

import asyncio
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import aiohttp
import attrs

from standins.caller import Answer, Caller
from standins.model import answer_to
from standins.processes import Process, Processes

SAMPLES = Path(__file__).parent.parent / "samples"
KILL_AT_EVENT = 400


@attrs.frozen(kw_only=True)
class Row:
    """One line of the demo's report.

    ``longest_gap_ms`` is the longest interval between two events. ``is_whole``
    tells whether the answer was complete and identical to the expected one.
    """

    name: str
    tokens: int
    attempts: int
    longest_gap_ms: float
    is_whole: bool


def main() -> None:
    """Run the demo; exit 0 only if every answer is complete and correct."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Processes(Path(folder)) as processes,
    ):
        rows = asyncio.run(_run(processes))
    print(f"{'request':34}{'tokens':>8}{'attempts':>10}{'resume ms':>11}  identical")
    for row in rows:
        print(
            f"{row.name:34}{row.tokens:8}{row.attempts:10}"
            f"{row.longest_gap_ms:11.0f}  {'yes' if row.is_whole else 'NO'}"
        )
    sys.exit(0 if all(row.is_whole for row in rows) else 1)


async def _run(processes: Processes) -> list[Row]:
    urls, engines, token = _start(processes)
    async with aiohttp.ClientSession() as session:
        caller = Caller(session=session, urls=urls, token=token)
        manifest = (SAMPLES / "manifest.txt").read_text()
        donors = (SAMPLES / "donors.txt").read_text()
        undisturbed = _generate(processes, caller, "manifest, undisturbed", manifest)
        rows = [await undisturbed]
        killer = _Killer(engines)
        rows += await asyncio.gather(
            _generate(
                processes, caller, "manifest, its engine killed", manifest, killer.watch
            ),
            _generate(processes, caller, "donor history, beside it", donors),
        )
        rows.append(await _book(caller, session, urls[0]))
    return rows


def _start(processes: Processes) -> tuple[list[str], list[Process], str]:
    started = time.monotonic()
    processes.start_platform()
    engines = [
        processes.start_engine(f"runner-{domain}", step=0.002)
        for domain in ("pilar", "tigre")
    ]
    booking = processes.start_booking("booking-pilar")
    processes.add_model("drafting", list(zip(engines, ("pilar", "tigre"), strict=True)))
    processes.add_plain("booking", [(booking, "pilar")], repeatable=False)
    token = processes.add_workspace("couriers")
    processes.start_hosts({"entry-pilar": "pilar", "entry-tigre": "tigre"})
    processes.wait_ready()
    hosts = [processes.by_name["entry-pilar"], processes.by_name["entry-tigre"]]
    print(
        f"{len(processes.by_name)} processes up in {time.monotonic() - started:.1f} s"
    )
    return [host.url for host in hosts], engines, token


class _Killer:
    """Kills the first engine at event ``KILL_AT_EVENT`` of the watched answer."""

    def __init__(self, engines: list[Process]) -> None:
        self._engines = engines
        self._is_killed = False

    def watch(self, answer: Answer) -> None:
        if self._is_killed or answer.events < KILL_AT_EVENT:
            return
        self._is_killed = True
        self._engines[0].kill()
        print(f"killed {self._engines[0].name} at event {answer.events}")


async def _generate(
    processes: Processes,
    caller: Caller,
    name: str,
    prompt: str,
    on_event: Callable[[Answer], None] | None = None,
) -> Row:
    answer = await caller.chat(
        "drafting", prompt, on_event=on_event, stream_options={"include_usage": True}
    )
    expected = answer_to(f"user: {prompt}")
    return Row(
        name=name,
        tokens=(answer.usage or {}).get("completion_tokens", 0),
        attempts=_count_attempts(processes, answer.generation_id),
        longest_gap_ms=answer.longest_gap * 1000,
        is_whole=answer.text == expected and answer.reported == 1,
    )


def _count_attempts(processes: Processes, generation_id: str) -> int:
    """Return the number of routing entries for a generation in the hosts' logs."""
    logs = processes.folder.glob("entry-*.log")
    lines = [line for log in logs for line in log.read_text().splitlines()]
    return sum(generation_id in line and "passtally:route" in line for line in lines)


async def _book(caller: Caller, session: aiohttp.ClientSession, url: str) -> Row:
    headers = caller.headers | {"Idempotency-Key": "slot-17-donor-4711"}
    async with session.post(
        f"{url}/services/booking/slots/17", headers=headers
    ) as response:
        body = await response.json()
    return Row(
        name="booking, once",
        tokens=0,
        attempts=1,
        longest_gap_ms=0,
        is_whole=response.status == 200 and body["runs"] == 1,
    )


if __name__ == "__main__":
    main()
