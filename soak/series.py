"""Draws faults from a seeded generator and injects them, some at the same time."""

import asyncio
import random
import subprocess
from collections.abc import Awaitable, Callable, Mapping

import attrs

from soak.evidence import Evidence, FaultRecord, now
from soak.host import HostProcess, ProcessRun
from soak.world import GRACE_SECONDS, Place, World

#: Minimum and maximum duration of a fault, in seconds.
MIN_DURATION, MAX_DURATION = 0.4, 3.5


@attrs.frozen(kw_only=True)
class Fault:
    """One kind of fault.

    Attributes:
        weight: Its relative frequency among the kinds of a series.
        run: Injects a fault of the kind, for a duration in seconds.
    """

    weight: int
    run: Callable[[float], Awaitable[None]]


class FaultSeries:
    """Injects faults of several kinds at random intervals.

    Attributes:
        faults_by_name: The kinds of faults, by name.
        min_pause: Minimum time between the starts of two faults, in seconds; short, so
            that some faults follow at once.
        max_pause: Maximum time between these starts, in seconds; short against the
            duration of faults, so that most overlap.

    Args:
        world: The system to disturb.
        evidence: The record for the faults.
        rng: The generator of all draws.
    """

    faults_by_name: Mapping[str, Fault]
    min_pause = 0.1
    max_pause = 1.5

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        self._world = world
        self._evidence = evidence
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Inject faults for a number of seconds, then wait until all have ended."""
        until = now() + seconds
        names = list(self.faults_by_name)
        weights = [self.faults_by_name[name].weight for name in names]
        while now() < until:
            name = self._rng.choices(names, weights)[0]
            duration = self._rng.uniform(MIN_DURATION, MAX_DURATION)
            task = asyncio.create_task(self.faults_by_name[name].run(duration))
            self._tasks.add(task)
            await asyncio.sleep(self._rng.uniform(self.min_pause, self.max_pause))
        await asyncio.gather(*self._tasks)

    def _draw_host(self) -> HostProcess:
        """Draw a host, running or not, so that the draws depend on the seed alone."""
        return self._rng.choice(list(self._world.hosts_by_name.values()))

    def _pick_place(self) -> Place | None:
        """Draw a place with an endpoint whose service has another one running.

        Returns:
            The place; None if no service has two running endpoints.
        """
        running = [place for place in self._world.places if place.runner is not None]
        spare = [
            place
            for place in running
            if sum(other.service == place.service for other in running) > 1
        ]
        return self._rng.choice(spare) if spare else None

    def _record_fault(
        self, kind: str, target: str, began_at: float, *, is_planned: bool = False
    ) -> None:
        fault = FaultRecord(
            kind=kind,
            target=target,
            began_at=began_at,
            ended_at=now(),
            is_planned=is_planned,
        )
        self._evidence.faults.append(fault)

    async def _wait_stopped(self, process_run: ProcessRun) -> None:
        """Wait for a process to stop, and kill it at the end of its grace period."""
        try:
            await asyncio.to_thread(process_run.popen.wait, GRACE_SECONDS)
        except subprocess.TimeoutExpired:
            process_run.kill()
            await asyncio.to_thread(process_run.popen.wait)
