"""Draws faults from a seed, in series and overlapping."""

import asyncio
import random
import subprocess
from collections.abc import Awaitable, Callable, Mapping

import attrs

from soak.evidence import Evidence, Trouble, now
from soak.host import HostProcess, Life
from soak.world import GRACE_SECONDS, Place, World

#: How long a fault lasts, in seconds.
SHORTEST, LONGEST = 0.4, 3.5


@attrs.frozen(kw_only=True)
class Fault:
    """One kind of trouble.

    Attributes:
        weight: How often it is drawn.
        run: Brings it about, for so many seconds.
    """

    weight: int
    run: Callable[[float], Awaitable[None]]


class FaultSeries:
    """Injects faults of its kinds for a while.

    Attributes:
        faults_by_name: Its kinds.
        shortest_pause: Between two faults, in seconds; some come in series.
        longest_pause: The longest of these pauses; most faults overlap.

    Args:
        world: What to disturb.
        evidence: Where the faults are noted.
        rng: Decides all.
    """

    faults_by_name: Mapping[str, Fault]
    shortest_pause = 0.1
    longest_pause = 1.5

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        self._world = world
        self._evidence = evidence
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Inject faults for a while, then wait until the last one has ended."""
        until = now() + seconds
        names = list(self.faults_by_name)
        weights = [self.faults_by_name[name].weight for name in names]
        while now() < until:
            name = self._rng.choices(names, weights)[0]
            lasts = self._rng.uniform(SHORTEST, LONGEST)
            task = asyncio.create_task(self.faults_by_name[name].run(lasts))
            self._tasks.add(task)
            await asyncio.sleep(
                self._rng.uniform(self.shortest_pause, self.longest_pause)
            )
        await asyncio.gather(*self._tasks)

    def _draw_host(self) -> HostProcess:
        """Draw a host, whether it runs or not: so draws depend on the seed alone."""
        return self._rng.choice(list(self._world.hosts_by_name.values()))

    def _pick_place(self) -> Place | None:
        """Pick a place with an endpoint; each service keeps one."""
        running = [place for place in self._world.places if place.runner is not None]
        spare = [
            place
            for place in running
            if sum(other.service == place.service for other in running) > 1
        ]
        return self._rng.choice(spare) if spare else None

    def _note(
        self, kind: str, target: str, began_at: float, *, is_planned: bool = False
    ) -> None:
        trouble = Trouble(
            kind=kind,
            target=target,
            began_at=began_at,
            ended_at=now(),
            is_planned=is_planned,
        )
        self._evidence.troubles.append(trouble)

    async def _wait_stopped(self, life: Life) -> None:
        """Wait for the end of a planned stop; what outlasts its grace is killed."""
        try:
            await asyncio.to_thread(life.popen.wait, GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            life.kill()
            await asyncio.to_thread(life.popen.wait)
