"""A runner's address goes to a runner of another service while the store is down."""

import asyncio
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from testbed import (  # noqa: E402
    Testbed,
    call,
    is_trouble_on,
    make_config,
    make_route,
    make_service,
    run_case,
)

#: The service of the route, and another one with engines that no config names.
MODEL, OTHER = "model", "other-model"
RUNNERS, HOSTS = 7, 6
OPTIONS = ("--events=20", "--gap=0.01")
#: Seconds for which the store is down, and after which an address may be used again.
STORE_DOWN, STORE_LIMIT, REUSE_AFTER = 4.4, 4.5, 2.0
#: Seconds between two streams, and seconds of traffic after the store is back.
INTERVAL, REST = 0.02, 2.0


async def run(bed: Testbed) -> bool:
    """Return whether no runner of the other service ran a request."""
    route = make_route(
        "draft",
        "stream",
        MODEL,
        timeout_ms=25000,
        target_latency_ms=4500,
        target_gap_ms=700,
        session_affinity=True,
        resume_streams=True,
        max_attempts=5,
    )
    service = make_service(MODEL, is_engine=True)
    service["engine"]["backups"] = False
    bed.store.put("config", "main", make_config(1, [route], [service]))
    runners = [
        await bed.start_runner(f"i-{number}", MODEL, *OPTIONS)
        for number in range(RUNNERS)
    ]
    hosts = [bed.add_host(number + 1) for number in range(HOSTS)]
    for host in hosts:
        bed.start_host(host)
    for host in hosts:
        await bed.wait_ready(host)
    await asyncio.sleep(2)

    async def draft(number: int) -> None:
        request_id = f"draft-{number}"
        prompt = f"aa:200,{request_id.encode().hex()}:300"
        answer = await call(
            hosts[number % HOSTS],
            "POST",
            "/draft/1",
            request_id,
            body=b"history",
            budget_ms=25000,
            headers={
                "X-Model": "m",
                "X-Token-Usage": "500,300",
                "X-Prefix-Hash": prompt,
            },
        )
        bed.say(f"{request_id}: {answer.status if answer else None}")

    port = 0
    began_at = time.monotonic()
    if is_trouble_on():
        bed.store.is_down = True
        bed.say("the store is down: 503")
        runners[0].popen.kill()
        runners[0].popen.wait()
        bed.say("runner i-0 crashed")
        port = int(runners[0].address.rpartition(":")[2])
    drafts: list[asyncio.Task] = []
    other = None
    while (at := time.monotonic() - began_at) < STORE_DOWN + REST:
        if other is None and at > REUSE_AFTER + 0.1:
            started_at = time.monotonic()
            other = await bed.start_runner("z-0", OTHER, *OPTIONS, port=port)
            bed.say(f"a runner of {OTHER} starts at {other.address}")
        if bed.store.is_down and at >= STORE_DOWN:
            bed.store.is_down = False
            bed.say("the store is back")
            bed.check_dose("store down, s", time.monotonic() - began_at, STORE_LIMIT)
        drafts.append(asyncio.create_task(draft(len(drafts))))
        await asyncio.sleep(INTERVAL)
    await asyncio.gather(*drafts)
    foreign = [item["id"] for item in other.runs() if item["what"] == "runs"]
    rejected = [item["id"] for item in other.runs() if item["what"] == "rejected"]
    bed.say(f"the runner of {OTHER} rejected {' '.join(rejected) or 'nothing'}")
    bed.say(f"the runner of {OTHER} ran {' '.join(foreign) or 'nothing'}")
    bed.say(f"an address was used again {started_at - began_at:.3f} s after the crash")
    bed.check_served(": 200")
    return not foreign


if __name__ == "__main__":
    run_case(run, CASE)
