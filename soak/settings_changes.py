"""Changes of settings while hosts serve, drawn from a seed."""

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

#: Time in which a host must apply changed settings, in seconds: it checks its settings
#: file every second, and at once on SIGHUP.
SETTINGS_APPLY_SECONDS = 7.0
POLL_SECONDS = 0.05
#: Maximum time for which a settings file is truncated or empty, in seconds.
MAX_BROKEN_SECONDS = 0.6
#: Number of changes in a series to one setting of a host, and the pause after each
#: change, in seconds.
TOGGLE_COUNT = 6
CHANGE_PAUSE = 0.2


class SettingsFaultInjector(FaultSeries):
    """Changes or truncates settings files of hosts, with and without SIGHUP."""

    min_pause = 0.2
    max_pause = 2.5

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        super().__init__(world=world, evidence=evidence, rng=rng)
        self.faults_by_name = {
            "address for callers": Fault(weight=4, run=self._change_front_address),
            "address for hosts": Fault(weight=2, run=self._change_control_address),
            "address for readiness": Fault(
                weight=2, run=self._change_readiness_address
            ),
            "address of the store": Fault(weight=4, run=self._change_store_address),
            "name": Fault(weight=2, run=self._change_name),
            "domain": Fault(weight=2, run=self._change_domain),
            "seeds": Fault(weight=1, run=self._change_seeds),
            "figures": Fault(weight=3, run=self._change_limit),
            "to and fro": Fault(weight=2, run=self._toggle),
            "broken file": Fault(weight=3, run=self._break_file),
        }

    def _write_settings(self, host: HostProcess, *, is_signalled: bool) -> None:
        """Write a host's settings file, and send SIGHUP if ``is_signalled``."""
        host.write_settings()
        if is_signalled:
            host.process_run.send(signal.SIGHUP)

    async def _change(self, kind: str, host: HostProcess, key: str, value: str) -> None:
        is_signalled = self._rng.random() < 0.5
        began_at = now()
        host.settings[key] = value
        self._write_settings(host, is_signalled=is_signalled)
        await asyncio.sleep(CHANGE_PAUSE)
        self._record_fault(kind, host.name, began_at, is_planned=True)

    async def _change_front_address(
        self, duration: float, host: HostProcess | None = None
    ) -> None:
        host, port = host or self._draw_host(), self._rng.choice(FRONT_PORTS)
        await self._change(
            "address for callers", host, "listen.front", f"{host.ip}:{port}"
        )
        await self._wait_open(host, "listen.front")

    async def _change_control_address(self, duration: float) -> None:
        host, port = self._draw_host(), self._rng.choice(CONTROL_PORTS)
        await self._change(
            "address for hosts", host, "listen.control", f"{host.ip}:{port}"
        )
        await self._wait_open(host, "listen.control")

    async def _change_readiness_address(self, duration: float) -> None:
        host, port = self._draw_host(), self._rng.choice(READY_PORTS)
        await self._change(
            "address for readiness", host, "listen.ready", f"{host.ip}:{port}"
        )
        await self._wait_open(host, "listen.ready")

    async def _wait_open(self, host: HostProcess, key: str) -> None:
        """Wait until a host listens on the address in its settings.

        Callers use a new front address from then on. The time limit starts again when
        the host restarts, is paused or finds an address occupied. Another change of
        the setting ends the wait.
        """
        wanted, process_run = host.settings[key], host.process_run
        due_at = now() + SETTINGS_APPLY_SECONDS
        while not await host.accepts(wanted):
            if host.settings[key] != wanted:
                return
            if (
                host.process_run is not process_run
                or process_run.is_over
                or process_run.pauses
                or host.held
            ):
                process_run, due_at = host.process_run, now() + SETTINGS_APPLY_SECONDS
            if now() > due_at:
                self._evidence.report(
                    f"{process_run.name} does not listen at {key}={wanted}"
                )
                return
            await asyncio.sleep(POLL_SECONDS)
        if key == "listen.front" and host.settings[key] == wanted:
            host.front_port = int(wanted.rpartition(":")[2])

    async def _change_store_address(self, duration: float) -> None:
        """Change a host's store address, then reset connections at the former one."""
        host = self._draw_host()
        host.store_link, host.spare_link = host.spare_link, host.store_link
        host.store_link.fail(LinkFault.NONE)
        address = f"127.0.0.1:{host.store_link.port}"
        await self._change("address of the store", host, "platform.address", address)
        old_link = host.spare_link
        await asyncio.sleep(SETTINGS_APPLY_SECONDS)
        if host.spare_link is old_link:
            old_link.fail(LinkFault.RESET)

    async def _change_name(
        self, duration: float, host: HostProcess | None = None
    ) -> None:
        host = host or self._draw_host()
        name = f"{host.name}-{self._rng.randint(0, 2)}"
        await self._change("name", host, "node_name", name)

    async def _change_domain(
        self, duration: float, host: HostProcess | None = None
    ) -> None:
        host, domain = host or self._draw_host(), self._rng.choice(("pilar", "tigre"))
        await self._change("domain", host, "zone", domain)

    async def _change_seeds(self, duration: float) -> None:
        host = self._draw_host()
        others = list(self._world.hosts_by_name.values())
        seeds = self._rng.sample(others, 2)
        seed_list = ",".join(other.settings["listen.control"] for other in seeds)
        await self._change("seeds", host, "seeds", seed_list)

    async def _change_limit(self, duration: float) -> None:
        """Change a limit to another value under which the promises to callers hold."""
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
            # The soak reads the host's metrics at this address all the time, so the
            # setting is emptied and restored at once.
            await self._change("figures", host, key, "")
            await self._change("figures", host, key, host.ip)
            return
        await self._change("figures", host, key, self._rng.choice(values))

    async def _toggle(self, duration: float) -> None:
        host = self._draw_host()
        kind = self._rng.choice(
            (self._change_front_address, self._change_name, self._change_domain)
        )
        moves = []
        for _ in range(TOGGLE_COUNT):
            moves.append(asyncio.create_task(kind(duration, host)))
            await asyncio.sleep(CHANGE_PAUSE)
        await asyncio.gather(*moves)

    async def _break_file(self, duration: float) -> None:
        """Leave a host's settings file truncated or empty for a while."""
        host = self._draw_host()
        part = self._rng.choice((0.0, self._rng.random(), 1.0))
        is_signalled = self._rng.random() < 0.5
        began_at = now()
        host.write_truncated_settings(part)
        if is_signalled:
            host.process_run.send(signal.SIGHUP)
        await asyncio.sleep(min(duration, MAX_BROKEN_SECONDS))
        self._write_settings(host, is_signalled=is_signalled)
        self._record_fault("broken file", host.name, began_at, is_planned=True)
