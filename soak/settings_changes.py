"""Settings that change while hosts serve, drawn from a seed."""

import asyncio
import random
import signal

from soak.evidence import Evidence, now
from soak.host import HostProcess
from soak.link import LinkFault
from soak.network import (
    CONTROL_PORTS,
    FRONT_PORTS,
    READY_PORTS,
)
from soak.series import Fault, FaultSeries
from soak.world import World

#: How long a host may take to be where its settings tell, in seconds: it looks at them
#: each 5 s, or at once when it is signalled.
TAKE_SECONDS = 7.0
POLL_SECONDS = 0.05
#: The longest time for which a file is broken or half written, in seconds.
LONGEST_BROKEN = 0.6
#: How often a setting goes to and fro in a series, and the pause between, in seconds.
SERIES = 6
SERIES_PAUSE = 0.2


class SettingsSaboteur(FaultSeries):
    """Changes what hosts are told, by whole and broken files, signalled or not."""

    shortest_pause = 0.2
    longest_pause = 2.5

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        super().__init__(world=world, evidence=evidence, rng=rng)
        self.faults_by_name = {
            "address for callers": Fault(weight=4, run=self._move_callers),
            "address for hosts": Fault(weight=2, run=self._move_hosts),
            "address for readiness": Fault(weight=2, run=self._move_readiness),
            "address of the store": Fault(weight=4, run=self._move_store),
            "name": Fault(weight=2, run=self._rename),
            "domain": Fault(weight=2, run=self._move_domain),
            "seeds": Fault(weight=1, run=self._change_seeds),
            "figures": Fault(weight=3, run=self._change_figures),
            "to and fro": Fault(weight=2, run=self._go_to_and_fro),
            "broken file": Fault(weight=3, run=self._break_file),
        }

    def _tell(self, host: HostProcess, *, is_signalled: bool) -> None:
        """Write a host's settings, and signal that they have changed."""
        host.write_settings()
        if is_signalled:
            host.life.send(signal.SIGHUP)

    async def _change(self, kind: str, host: HostProcess, key: str, value: str) -> None:
        is_signalled = self._rng.random() < 0.5
        began_at = now()
        host.settings[key] = value
        self._tell(host, is_signalled=is_signalled)
        await asyncio.sleep(SERIES_PAUSE)
        self._note(kind, host.name, began_at, is_planned=True)

    async def _move_callers(
        self, lasts: float, host: HostProcess | None = None
    ) -> None:
        host, port = host or self._draw_host(), self._rng.choice(FRONT_PORTS)
        await self._change(
            "address for callers", host, "listen.front", f"{host.ip}:{port}"
        )
        await self._wait_open(host, "listen.front")

    async def _move_hosts(self, lasts: float) -> None:
        host, port = self._draw_host(), self._rng.choice(CONTROL_PORTS)
        await self._change(
            "address for hosts", host, "listen.control", f"{host.ip}:{port}"
        )
        await self._wait_open(host, "listen.control")

    async def _move_readiness(self, lasts: float) -> None:
        host, port = self._draw_host(), self._rng.choice(READY_PORTS)
        await self._change(
            "address for readiness", host, "listen.ready", f"{host.ip}:{port}"
        )
        await self._wait_open(host, "listen.ready")

    async def _wait_open(self, host: HostProcess, key: str) -> None:
        """Wait until a host listens where it is told to; callers go there then."""
        told, life = host.settings[key], host.life
        due_at = now() + TAKE_SECONDS
        while not await host.accepts(told):
            if host.settings[key] != told:
                return
            if host.life is not life or life.is_over or life.pauses or host.held:
                life, due_at = host.life, now() + TAKE_SECONDS
            if now() > due_at:
                self._evidence.report(f"{life.name} does not listen at {key}={told}")
                return
            await asyncio.sleep(POLL_SECONDS)
        if key == "listen.front" and host.settings[key] == told:
            host.front_port = int(told.rpartition(":")[2])

    async def _move_store(self, lasts: float) -> None:
        """Move the store's address, and let nothing answer at the one before."""
        host = self._draw_host()
        host.store_link, host.spare_link = host.spare_link, host.store_link
        host.store_link.fail(LinkFault.NONE)
        address = f"127.0.0.1:{host.store_link.port}"
        await self._change("address of the store", host, "platform.address", address)
        left = host.spare_link
        await asyncio.sleep(TAKE_SECONDS)
        if host.spare_link is left:
            left.fail(LinkFault.RESET)

    async def _rename(self, lasts: float, host: HostProcess | None = None) -> None:
        host = host or self._draw_host()
        name = f"{host.name}-{self._rng.randint(0, 2)}"
        await self._change("name", host, "node_name", name)

    async def _move_domain(self, lasts: float, host: HostProcess | None = None) -> None:
        host, domain = host or self._draw_host(), self._rng.choice(("pilar", "tigre"))
        await self._change("domain", host, "zone", domain)

    async def _change_seeds(self, lasts: float) -> None:
        host = self._draw_host()
        others = list(self._world.hosts_by_name.values())
        seeds = self._rng.sample(others, 2)
        told = ",".join(other.settings["listen.control"] for other in seeds)
        await self._change("seeds", host, "seeds", told)

    async def _change_figures(self, lasts: float) -> None:
        """Change a limit; the callers' promises hold with each of these."""
        host = self._draw_host()
        key, values = self._rng.choice(
            (
                ("bounds.retry_budget_ratio", ("0.6", "0.8", "1.0")),
                ("bounds.budget_extra", ("100", "150", "200")),
                ("bounds.budget_window_s", ("8", "10", "12")),
                ("bounds.config_apply_ms", ("1500", "2000")),
                ("bounds.exposure_share", ("0", "0.1")),
                ("ip", (host.ip, "")),
            )
        )
        if key == "ip":
            # Its metrics are read all the time: told away, and back at once.
            await self._change("figures", host, key, "")
            await self._change("figures", host, key, host.ip)
            return
        await self._change("figures", host, key, self._rng.choice(values))

    async def _go_to_and_fro(self, lasts: float) -> None:
        host = self._draw_host()
        kind = self._rng.choice((self._move_callers, self._rename, self._move_domain))
        moves = []
        for _ in range(SERIES):
            moves.append(asyncio.create_task(kind(lasts, host)))
            await asyncio.sleep(SERIES_PAUSE)
        await asyncio.gather(*moves)

    async def _break_file(self, lasts: float) -> None:
        """Let a file be half written, or none, for a while."""
        host = self._draw_host()
        part = self._rng.choice((0.0, self._rng.random(), 1.0))
        is_signalled = self._rng.random() < 0.5
        began_at = now()
        host.break_settings(part)
        if is_signalled:
            host.life.send(signal.SIGHUP)
        await asyncio.sleep(min(lasts, LONGEST_BROKEN))
        self._tell(host, is_signalled=is_signalled)
        self._note("broken file", host.name, began_at, is_planned=True)
