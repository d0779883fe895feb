"""What goes wrong around the starts and stops of hosts, drawn from a seed."""

import asyncio
import random
import signal
import socket

from soak.evidence import Evidence, now
from soak.host import HostProcess, Life
from soak.series import Fault, FaultSeries
from soak.world import World

#: For so long after its start a host meets signals here, in seconds: it takes 0.7 s to
#: load and 0.9 s until it serves, beside other work longer.
FIRST_SECONDS = 1.0
#: The longest time between two kills in a row, and between two signals to stop.
SERIES_SECONDS = 0.5
#: The longest time that another socket has a host's address, in seconds.
MAX_HOLD = 3.0


class StartSaboteur(FaultSeries):
    """Stops, kills and starts hosts at moments that suit them badly."""

    shortest_pause = 0.3
    longest_pause = 3.0

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        super().__init__(world=world, evidence=evidence, rng=rng)
        self.faults_by_name = {
            "early stop": Fault(weight=4, run=self._stop_early),
            "early reload": Fault(weight=2, run=self._reload_early),
            "kill in a row": Fault(weight=2, run=self._kill_in_a_row),
            "stop twice": Fault(weight=2, run=self._stop_twice),
            "address in use": Fault(weight=4, run=self._hold_address),
        }

    async def _kill(self, host: HostProcess) -> None:
        life = host.life
        life.kill()
        await asyncio.to_thread(life.popen.wait)

    async def _start_anew(self, host: HostProcess) -> Life:
        """Kill a host and start it at once."""
        await self._kill(host)
        self._world.start_host(host)
        return host.life

    async def _stop_early(self, lasts: float) -> None:
        host, wait = self._draw_host(), self._rng.uniform(0, FIRST_SECONDS)
        number = self._rng.choice((signal.SIGTERM, signal.SIGINT))
        began_at = now()
        life = await self._start_anew(host)
        await asyncio.sleep(wait)
        life.send(number)
        await self._wait_stopped(life)
        self._world.start_host(host)
        self._note("early stop", host.name, began_at)

    async def _reload_early(self, lasts: float) -> None:
        host, wait = self._draw_host(), self._rng.uniform(0, FIRST_SECONDS)
        began_at = now()
        life = await self._start_anew(host)
        await asyncio.sleep(wait)
        host.change_settings()
        life.send(signal.SIGHUP)
        self._note("early reload", host.name, began_at)

    async def _kill_in_a_row(self, lasts: float) -> None:
        host, began_at = self._draw_host(), now()
        pauses = [
            self._rng.uniform(0, SERIES_SECONDS) for _ in range(self._rng.randint(1, 3))
        ]
        for pause in pauses:
            await self._start_anew(host)
            await asyncio.sleep(pause)
        self._note("kill in a row", host.name, began_at)

    async def _stop_twice(self, lasts: float) -> None:
        host, wait = self._draw_host(), self._rng.uniform(0, SERIES_SECONDS)
        began_at, life = now(), host.life
        life.send(signal.SIGTERM)
        await asyncio.sleep(wait)
        life.send(signal.SIGTERM)
        await self._wait_stopped(life)
        self._note("stop twice", host.name, began_at, is_planned=True)
        self._world.start_host(host)

    async def stop_in_quiet(self) -> None:
        """Stop a host while nothing else goes on, and wait until it is back."""
        lives = [host.life for host in self._world.hosts_by_name.values()]
        await self._stop_twice(0.0)
        for life in lives:
            if any(told.number is signal.SIGKILL for told in life.told):
                self._evidence.report(f"{life.name} outlasted the grace of its stop")
        await self._world.wait_configured()

    async def _hold_address(self, lasts: float) -> None:
        """Let another socket have one of a host's addresses around its start."""
        host, lasts = self._draw_host(), min(lasts, MAX_HOLD)
        name = self._rng.choice(sorted(host.addresses_by_name))
        began_at = now()
        await self._kill(host)
        try:
            holder = socket.create_server(host.addresses_by_name[name])
        except OSError:
            # Another fault has started the host meanwhile, or holds the address.
            self._world.start_host(host)
            self._note("kill in a row", host.name, began_at)
            return
        with holder:
            host.held.append(name)
            self._world.start_host(host)
            await asyncio.sleep(lasts)
            host.held.remove(name)
        self._note(f"address in use ({name})", host.name, began_at)
