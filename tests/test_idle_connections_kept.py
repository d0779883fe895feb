"""A caller that leaves tells nothing of its endpoint's other connections."""

import asyncio
import time
from datetime import timedelta

from passtally.front_host import FrontHost
from passtally.platform import runner_link
from passtally.settings import Address, parse_address
from tests.platform_system import PlatformSystem, run
from tests.test_callers_that_leave import Leaver, Runners, start, until

#: Longer than any pause of this process between a call and its caller's end.
LONG = timedelta(hours=1)


def record_opened(host: FrontHost) -> list[Address]:
    """Return the addresses to which a host opens connections from now on."""
    opened: list[Address] = []
    open_connection = host.pool.open

    async def note(address: Address, **options):
        opened.append(address)
        return await open_connection(address, **options)

    host.pool.open = note
    return opened


class TestACallerThatLeaves:
    def test_costs_its_own_connection_and_no_idle_ones(self, monkeypatch):
        """The process may be held up for longer than an endpoint counts as silent.

        So that time is set here, and only connections to the endpoint count: after such
        a pause the store's are opened anew too.
        """
        monkeypatch.setattr(runner_link, "SILENT_AFTER", LONG)

        async def test(system: PlatformSystem) -> None:
            host = await start(system, engines=0, lookups=1)
            runners = Runners(system)
            runners.set_faults(head_delay=0.1)
            await asyncio.gather(*(system.send("/look/1") for _ in range(3)))
            opened = record_opened(host)
            runners.set_faults(head_delay=5)
            arrivals = runners.arrivals
            caller = Leaver(host, "/look/1")
            await until(lambda: runners.arrivals > arrivals)
            time.sleep(0.6)
            caller.leave()
            await until(lambda: not host.drain.open_requests)
            runners.set_faults(head_delay=0)
            assert (await system.send("/look/1")).status == 200
            assert parse_address(runners.all[0].address) not in opened

        run(test)
