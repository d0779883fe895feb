"""Faults around the starts and stops of hosts, drawn from a seed."""

import asyncio
import random
import signal
import socket

from soak.evidence import Evidence, now
from soak.host import HostProcess, ProcessRun
from soak.series import Fault, FaultSeries
from soak.world import World

#: Maximum delay of an early signal after the host's start, in seconds. A host loads in
#: 0.7 s and serves after 0.9 s, later on a busy machine.
STARTUP_SECONDS = 1.0
#: Maximum time between two kills in a row, and between two stop signals, in seconds.
MAX_PAUSE_SECONDS = 0.5
#: Maximum time for which another socket occupies a host's address, in seconds.
MAX_OCCUPIED_SECONDS = 3.0


class StartFaultInjector(FaultSeries):
    """Stops, kills and restarts hosts while they start or stop.

    Also occupies one of their addresses while they start.
    """

    min_pause = 0.3
    max_pause = 3.0

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        super().__init__(world=world, evidence=evidence, rng=rng)
        self.faults_by_name = {
            "early stop": Fault(weight=4, run=self._stop_early),
            "early reload": Fault(weight=2, run=self._reload_early),
            "kill in a row": Fault(weight=2, run=self._kill_in_a_row),
            "stop twice": Fault(weight=2, run=self._stop_twice),
            "address in use": Fault(weight=4, run=self._occupy_address),
        }

    async def _kill(self, host: HostProcess) -> None:
        process_run = host.process_run
        process_run.kill()
        await asyncio.to_thread(process_run.popen.wait)

    async def _kill_and_restart(self, host: HostProcess) -> ProcessRun:
        """Kill a host, restart it at once and return its new process."""
        await self._kill(host)
        self._world.start_host(host)
        return host.process_run

    async def _stop_early(self, duration: float) -> None:
        host, wait = self._draw_host(), self._rng.uniform(0, STARTUP_SECONDS)
        number = self._rng.choice((signal.SIGTERM, signal.SIGINT))
        began_at = now()
        process_run = await self._kill_and_restart(host)
        await asyncio.sleep(wait)
        process_run.send(number)
        await self._wait_stopped(process_run)
        self._world.start_host(host)
        self._record_fault("early stop", host.name, began_at)

    async def _reload_early(self, duration: float) -> None:
        host, wait = self._draw_host(), self._rng.uniform(0, STARTUP_SECONDS)
        began_at = now()
        process_run = await self._kill_and_restart(host)
        await asyncio.sleep(wait)
        host.touch_settings()
        process_run.send(signal.SIGHUP)
        self._record_fault("early reload", host.name, began_at)

    async def _kill_in_a_row(self, duration: float) -> None:
        host, began_at = self._draw_host(), now()
        pauses = [
            self._rng.uniform(0, MAX_PAUSE_SECONDS)
            for _ in range(self._rng.randint(1, 3))
        ]
        for pause in pauses:
            await self._kill_and_restart(host)
            await asyncio.sleep(pause)
        self._record_fault("kill in a row", host.name, began_at)

    async def _stop_twice(self, duration: float) -> None:
        host, wait = self._draw_host(), self._rng.uniform(0, MAX_PAUSE_SECONDS)
        began_at, process_run = now(), host.process_run
        process_run.send(signal.SIGTERM)
        await asyncio.sleep(wait)
        process_run.send(signal.SIGTERM)
        await self._wait_stopped(process_run)
        self._record_fault("stop twice", host.name, began_at, is_planned=True)
        self._world.start_host(host)

    async def stop_in_quiet(self) -> None:
        """Stop a host while no other fault is in effect, and wait until it recovers.

        Reports each host that had to be killed at the end of its grace period.
        """
        process_runs = [host.process_run for host in self._world.hosts_by_name.values()]
        await self._stop_twice(0.0)
        for process_run in process_runs:
            if any(told.number is signal.SIGKILL for told in process_run.told):
                self._evidence.report(
                    f"{process_run.name} outlasted the grace of its stop"
                )
        await self._world.wait_configured()

    async def _occupy_address(self, duration: float) -> None:
        """Restart a host while another socket occupies one of its addresses."""
        host, duration = self._draw_host(), min(duration, MAX_OCCUPIED_SECONDS)
        name = self._rng.choice(sorted(host.addresses_by_name))
        began_at = now()
        await self._kill(host)
        try:
            holder = socket.create_server(host.addresses_by_name[name])
        except OSError:
            # Another fault has already started the host, or occupies the address.
            self._world.start_host(host)
            self._record_fault("kill in a row", host.name, began_at)
            return
        with holder:
            host.held.append(name)
            self._world.start_host(host)
            await asyncio.sleep(duration)
            host.held.remove(name)
        self._record_fault(f"address in use ({name})", host.name, began_at)
