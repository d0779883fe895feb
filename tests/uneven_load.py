"""Calls through three hosts to four servers of which some are slow at times."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import attrs

from standins.platform_config import LOOKUPS, make_config
from standins.runner import RunnerStandIn
from tests.platform_system import PlatformSystem

SERVERS, SLOTS = 4, 2
#: Usual time of a call, in seconds, and the factor of a slow one.
USUAL, SLOW = 0.06, 5
#: Calls in a second: 0.4 of the capacity.
PER_SECOND = 54
#: Time within which an answer is wanted: four calls of the usual time.
TARGET = timedelta(seconds=4 * USUAL)
#: Share of the spells in which a server is slow, and their length in seconds.
SPELL_SHARE, SPELL = 0.15, 1.8

Play = Callable[["UnevenLoad"], Awaitable[None]]


@attrs.frozen(kw_only=True)
class CallOutcome:
    """How the calls ended.

    Attributes:
        sent: Number of calls.
        in_time: Number of those that were answered within the target.
        per_server: Number of calls that each server ran.
    """

    sent: int
    in_time: int
    per_server: list[int]

    @property
    def share_in_time(self) -> float:
        return self.in_time / self.sent


class UnevenLoad:
    """Sends calls, a mix of all hosts, while servers become slow and fast again."""

    def __init__(self, system: PlatformSystem) -> None:
        self.system = system
        self.servers: list[RunnerStandIn] = []
        self._rng = random.Random(1)

    async def start(self) -> None:
        system = self.system
        config = make_config()
        for route in config["routes"]:
            route["target_latency_ms"] = 1000
        system.store.put("config", "main", config)
        for number in range(SERVERS):
            server = await system.add_runner(f"i-{number}", LOOKUPS)
            server.faults.slots, server.faults.queue = SLOTS, 24
            server.faults.answer_delay = USUAL
            entry = server.entry(LOOKUPS, slots=SLOTS)
            system.store.put("servers", server.name, entry)
            self.servers.append(server)
        seeds = ""
        for number in range(3):
            host = await system.add_host(f"front-{number}", seeds)
            seeds = seeds or str(host.settings.peer_listen)
        await system.wait_ready()

    async def play(self, faults: Play, *, seconds: float) -> CallOutcome:
        """Send calls evenly for some seconds, beside faults that are injected."""
        loop = asyncio.get_running_loop()
        injecting = asyncio.create_task(faults(self))
        hosts = itertools.cycle(self.system.hosts)
        began_at, tasks = loop.time(), []
        for number in range(round(PER_SECOND * seconds)):
            await asyncio.sleep(began_at + number / PER_SECOND - loop.time())
            tasks.append(asyncio.create_task(self._send(next(hosts), number)))
        ended = await asyncio.gather(*tasks)
        injecting.cancel()
        return CallOutcome(
            sent=len(ended),
            in_time=sum(ended),
            per_server=[len(server.ran) for server in self.servers],
        )

    async def _send(self, host, number: int) -> bool:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        answer = await self.system.send(f"/look/{number}", host=host)
        took = loop.time() - began_at
        return answer.status == 200 and took <= TARGET.total_seconds()


async def one_slow(load: UnevenLoad) -> None:
    """Make one server slow for good."""
    load.servers[0].faults.answer_delay = SLOW * USUAL


async def one_slow_reporting(load: UnevenLoad) -> None:
    """Make one server slow for good, of which the reports of its load say nothing."""
    for server in load.servers:
        server.faults.slowness_percent = 100
    await one_slow(load)


async def slow_spells(load: UnevenLoad, *, is_told: bool = False) -> None:
    """Make each server slow in some spells, until cancelled."""
    while True:
        for server in load.servers:
            is_slow = load._rng.random() < SPELL_SHARE
            factor = SLOW if is_slow else 1
            server.faults.answer_delay = factor * USUAL
            server.faults.slowness_percent = 100 * factor if is_told else None
        await asyncio.sleep(SPELL)


async def told_spells(load: UnevenLoad) -> None:
    """Make each server slow in some spells, and let their answers say so."""
    await slow_spells(load, is_told=True)


async def all_fast(load: UnevenLoad) -> None:
    """Leave all servers as they are."""
