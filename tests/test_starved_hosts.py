"""The balancer avoids a host that gets too little processor time.

Guards against a host that stays ready while other processes use its processor. Beside
14 busy processes on its core such a host served 232 of 928 calls at 100 calls per
second, while its neighbour served all 928 in 25 ms each; at 30 calls per second it
served all, in 114 ms.

How it comes about, as far as is known: the host gets a tenth of a core, enough for some
80 calls per second. Further connections wait to be accepted, the oldest first, until
their callers give up; the host then accepts connections that no caller waits for any
more. It accepted two or three connections every 40 ms, at 1.2 ms of processor time
each. Its timers were only 20 to 50 ms late, too little to be detected as a pause.
"""

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import attrs

from standins.ports import free_ports
from tests.busy_machine import busy_machine
from tests.host_process import (
    HostFiles,
    Running,
    is_ready,
    messages,
    started,
    wait_ready,
)
from tests.test_own_pauses import call, serving

BUSY_PROCESSES = 14
CALLS_PER_SECOND = 100
SECONDS = 10.0
#: Timeout of each call, in seconds.
CALL_TIMEOUT = 1.5
#: Time for the host and the balancer to detect the overload, in seconds.
DETECTION_TIME = 4.0


@contextlib.asynccontextmanager
async def neighbour(place: HostFiles, folder: Path) -> AsyncIterator[Running]:
    """Start a second host on the same store, in another failure domain."""
    front, ready, control = free_ports(3)
    text = place.path.read_text().replace("=pilar\n", "=tigre\n")
    for before, after in (
        (f":{place.front}\n", f":{front}\n"),
        (f":{place.ready}\n", f":{ready}\n"),
        (f":{place.control}\n", f":{control}\n"),
        ("front-pilar-1", "front-tigre-1"),
        (f"ip={place.ip}", "ip="),
    ):
        text = text.replace(before, after)
    path = folder / "neighbour.conf"
    path.write_text(f"{text}seeds=127.0.0.1:{place.control}\n")
    own = HostFiles(
        path=path,
        log=folder / "neighbour.log",
        front=front,
        ready=ready,
        control=control,
        ip=place.ip,
        store=place.store,
    )
    async with started(own) as host:
        await wait_ready(host)
        yield host


@attrs.define(kw_only=True)
class Balancer:
    """Polls a host once a second, and avoids it after two negative answers."""

    host: Running
    other: Running
    misses: int = 0

    @property
    def chosen(self) -> Running:
        """The host that a new caller is sent to."""
        return self.host if self.misses < 2 else self.other

    async def run(self) -> None:
        """Poll the host until cancelled."""
        while True:
            try:
                async with asyncio.timeout(1):
                    is_ready_now = await is_ready(self.host)
            except TimeoutError:
                is_ready_now = False
            self.misses = 0 if is_ready_now else self.misses + 1
            await asyncio.sleep(1)


class TestStarvedHost:
    def test_callers_are_served_although_a_host_is_starved(self, tmp_path):
        core, *others = sorted(os.sched_getaffinity(0))

        async def ask(balancer: Balancer, number: int) -> bool:
            work = call(
                balancer.chosen, "/look/1", deadline=CALL_TIMEOUT, number=number
            )
            try:
                return await asyncio.wait_for(work, CALL_TIMEOUT) == 200
            except (OSError, TimeoutError):
                return False

        async def main() -> None:
            async with (
                serving(tmp_path, answer_delay=0.02) as (host, _),
                neighbour(host, tmp_path) as other,
            ):
                os.sched_setaffinity(host.process.pid, {core})
                for thread in os.listdir(f"/proc/{host.process.pid}/task"):
                    os.sched_setaffinity(int(thread), {core})
                balancer = Balancer(host=host, other=other)
                polling = asyncio.create_task(balancer.run())
                with busy_machine(BUSY_PROCESSES, core=core):
                    await asyncio.sleep(1)
                    calls = []
                    for number in range(int(SECONDS * CALLS_PER_SECOND)):
                        calls.append(asyncio.create_task(ask(balancer, number)))
                        await asyncio.sleep(1 / CALLS_PER_SECOND)
                    served = await asyncio.gather(*calls)
                polling.cancel()
                late = served[int(DETECTION_TIME * CALLS_PER_SECOND) :]
                assert sum(late) >= 0.9 * len(late), (
                    sum(late),
                    messages(host.log)[-20:],
                )

        own = partial(os.sched_setaffinity, 0)
        own(others)
        try:
            asyncio.run(main())
        finally:
            own([core, *others])
