"""Callers that compete for too little room while a part of the system fails.

Three hosts and three engines on loopback, of which twice the capacity is wanted.
Guards against urgent requests that are refused while routine ones are admitted, since
hosts lost what they knew of each other's use, or of the engines.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

import pytest

from tests.contended_load import ZONES, ContendedLoad, Kind, Outcome
from tests.platform_system import PlatformSystem, run

SECONDS = 9
#: When the fault begins, and the time after it in which urgent requests may be refused,
#: in seconds.
FAULT_AT, RECOVERS_WITHIN = 2, 3
#: Intervals between crashes of engines, and until the next one is there, in seconds.
CRASH_INTERVAL, RESTART_TIME = 2.0, 1.2
URGENT = Kind(name="urgent", per_second=4, target=timedelta(milliseconds=600), rank=0)
FLOOD = Kind(name="flood", per_second=80, target=timedelta(seconds=2), rank=2)

Fault = Callable[[ContendedLoad], Awaitable[None]]


async def store_away(load: ContendedLoad) -> None:
    load.system.store.refusal = 503


async def host_lost(load: ContendedLoad) -> None:
    """Stop a host that adds up what the hosts of its failure domain use."""
    host = load.system.hosts[0]
    load.remove_host(host)
    await host.stop()


async def engines_lost(load: ContendedLoad) -> None:
    """Crash the engines in turn; another one starts at the same address."""
    system = load.system
    for zone, (name, runner) in zip(ZONES, list(system.runners.items()), strict=True):
        _, _, port = runner.address.rpartition(":")
        runner.crash()
        del system.runners[name]
        await asyncio.sleep(RESTART_TIME)
        system.store.remove("servers", name)
        await load.add_engine(f"{name}-again", zone=zone, port=int(port))
        await asyncio.sleep(CRASH_INTERVAL - RESTART_TIME)


class TestFaults:
    @pytest.mark.parametrize("fault", [store_away, host_lost, engines_lost])
    def test_urgent_requests_are_served_soon_after(self, fault: Fault):
        urgent, flood, fault_at = self.play(fault)
        last_refused = max(urgent.refused_at, default=0.0)
        assert last_refused <= fault_at + RECOVERS_WITHIN
        assert flood.first_outputs

    def play(self, fault: Fault) -> tuple[Outcome, Outcome, float]:
        """Return how the urgent and the routine streams ended, and the fault's time."""
        results: list[tuple[Outcome, Outcome, float]] = []

        async def test(system: PlatformSystem) -> None:
            load = ContendedLoad(system, [URGENT, FLOOD])
            await load.start()
            loop = asyncio.get_running_loop()
            began_at = loop.time()

            async def injure() -> None:
                await asyncio.sleep(FAULT_AT)
                await fault(load)

            injuring = asyncio.create_task(injure())
            outcomes = await load.play(seconds=SECONDS)
            await injuring
            results.append((outcomes["urgent"], outcomes["flood"], began_at + FAULT_AT))

        run(test)
        return results[0]
