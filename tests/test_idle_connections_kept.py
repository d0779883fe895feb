"""A caller that leaves tells nothing of its endpoint's other connections."""

import asyncio

from tests.platform_system import PlatformSystem, run
from tests.test_callers_that_leave import Leaver, Runners, start, until


class TestACallerThatLeaves:
    def test_costs_its_own_connection_and_no_idle_ones(self):
        async def test(system: PlatformSystem) -> None:
            host = await start(system, engines=0, lookups=1)
            runners = Runners(system)
            runners.set_faults(head_delay=0.1)
            await asyncio.gather(*(system.send("/look/1") for _ in range(3)))
            opened = host.pool.opened
            runners.set_faults(head_delay=5)
            arrivals = runners.arrivals
            caller = Leaver(host, "/look/1")
            await until(lambda: runners.arrivals > arrivals)
            caller.leave()
            await until(lambda: not host.drain.open_requests)
            runners.set_faults(head_delay=0)
            assert (await system.send("/look/1")).status == 200
            assert host.pool.opened == opened

        run(test)
