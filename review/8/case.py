"""Runners and hosts start again together, as after a power failure."""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from testbed import (  # noqa: E402
    CouldNotRunError,
    Host,
    Testbed,
    call,
    is_trouble_on,
    make_config,
    make_route,
    make_service,
    run_case,
)

RUNNERS, MODEL_RUNNERS, HOSTS = 3, 12, 2
#: Seconds after which the runners and the hosts are started again, and the longest time
#: for which they may be down.
RUNNERS_DOWN, HOSTS_DOWN = 0.8, 1.4
RUNNERS_LIMIT, HOSTS_LIMIT = 1.2, 1.5
#: The bound ``recovery_s`` of the settings of small installations.
RECOVERY_S = 12
CALLS = 60
#: Number of entries on a page of the store, so that the runners take two pages.
PAGE = 10


async def run(bed: Testbed) -> bool:
    """Return whether a quarter of the calls is served again after the recovery."""
    bed.store.page = PAGE
    route = make_route("book", "unsafe", "booking", max_attempts=2)
    services = [make_service("booking"), make_service("model", is_engine=True)]
    bed.store.put("config", "main", make_config(1, [route], services))
    runners = [
        await bed.start_runner(f"i-{number}9f2", "booking") for number in range(RUNNERS)
    ]
    for number in range(MODEL_RUNNERS):
        await bed.start_runner(f"m-{number}", "model", "--events=10")
    hosts = [bed.add_host(number + 1) for number in range(HOSTS)]
    for host in hosts:
        bed.start_host(host)
    for host in hosts:
        await bed.wait_ready(host)
    before = await count_served(bed, hosts, "before")
    bed.store.put("config", "main", make_config(2, [route], services))
    bed.say("a change of the config is acknowledged")
    if is_trouble_on():
        ended_at = time.monotonic()
        for process in [*runners, *hosts]:
            process.popen.kill()
        for process in [*runners, *hosts]:
            process.popen.wait()
        bed.say("the runners of the service and all processes of the system end")
        await asyncio.sleep(RUNNERS_DOWN)
        await asyncio.gather(*(restart(bed, number) for number in range(RUNNERS)))
        bed.say("the runners are back at their addresses, under new ids")
        bed.check_dose("runners down, s", time.monotonic() - ended_at, RUNNERS_LIMIT)
        await asyncio.sleep(max(0.0, ended_at + HOSTS_DOWN - time.monotonic()))
        for host in hosts:
            bed.start_host(host)
        bed.check_dose("hosts down, s", time.monotonic() - ended_at, HOSTS_LIMIT)
    await asyncio.sleep(RECOVERY_S + 0.5)
    after = await count_served(bed, hosts, "after")
    if before < CALLS / 4:
        raise CouldNotRunError("less than a quarter was served before the fault")
    return after >= CALLS / 4


async def restart(bed: Testbed, number: int) -> None:
    """Start a runner again at its address, under a new id."""
    port = int(bed.runners[f"i-{number}9f2"].address.rpartition(":")[2])
    await bed.start_runner(f"i-{number}1c7", "booking", port=port)


async def count_served(bed: Testbed, hosts: list[Host], when: str) -> int:
    """Send calls to the hosts that say they are ready; return how many are served."""
    ready = [host for host in hosts if await bed.ask_ready(host) == 200] or hosts
    served = 0
    for number in range(CALLS):
        request_id = f"{when}-{number}"
        host = ready[number % len(ready)]
        answer = await call(
            host, "POST", "/book/1", request_id, body=b"slot 7", budget_ms=1500
        )
        status = answer.status if answer else None
        served += status == 200
        bed.say(f"{request_id} at {host.name}: {status}")
        await asyncio.sleep(0.05)
    bed.say(f"{when}: {served} of {CALLS} served by {len(ready)} ready hosts")
    return served


if __name__ == "__main__":
    run_case(run, CASE)
