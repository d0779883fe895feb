"""A caller that disconnects does not make its endpoint's idle connections close."""

import asyncio
import time
from datetime import timedelta

from passtally.front_host import FrontHost
from passtally.platform import runner_link
from passtally.settings import Address, parse_address
from tests.platform_system import PlatformSystem, run
from tests.test_callers_that_leave import LeavingCaller, Runners, start, until

#: Longer than any pause of this process between a call and its caller's disconnect.
LONG = timedelta(hours=1)


def record_opened(host: FrontHost) -> list[Address]:
    """Return a list to which each address is added that a host opens from now on."""
    opened: list[Address] = []
    open_connection = host.pool.open

    async def record(address: Address, **options):
        opened.append(address)
        return await open_connection(address, **options)

    host.pool.open = record
    return opened


class TestCallerThatDisconnects:
    def test_closes_its_own_connection_and_no_idle_ones(self, monkeypatch):
        """The test process may be paused for longer than the silence timeout.

        The timeout is therefore raised, and only connections to the endpoint are
        counted: after such a pause the connections to the store are reopened too.
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
            caller = LeavingCaller(host, "/look/1")
            await until(lambda: runners.arrivals > arrivals)
            time.sleep(0.6)
            caller.leave()
            await until(lambda: not host.drain.open_requests)
            runners.set_faults(head_delay=0)
            assert (await system.send("/look/1")).status == 200
            assert parse_address(runners.all[0].address) not in opened

        run(test)
