"""Faults of hosts, endpoints, the store and the links, drawn from a seed."""

import asyncio
import random
import signal

from soak.evidence import Evidence, now
from soak.host import HostProcess
from soak.link import LinkFault
from soak.series import Fault, FaultSeries
from soak.world import World
from standins.runner import RunnerFaults

LINK_FAULTS = [fault for fault in LinkFault if fault is not LinkFault.NONE]


class FaultInjector(FaultSeries):
    """Injects faults into hosts, endpoints, the store and the links between them."""

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        super().__init__(world=world, evidence=evidence, rng=rng)
        self.faults_by_name = {
            "kill": Fault(weight=3, run=self._kill),
            "pause": Fault(weight=3, run=self._pause),
            "stop": Fault(weight=3, run=self._stop),
            "reload": Fault(weight=2, run=self._reload),
            "kill all": Fault(weight=1, run=self._kill_all),
            "store link": Fault(weight=4, run=self._break_store_link),
            "store": Fault(weight=2, run=self._break_store),
            "compact": Fault(weight=2, run=self._compact),
            "endpoint crash": Fault(weight=4, run=self._crash),
            "endpoint link": Fault(weight=4, run=self._break_endpoint_link),
            "endpoint drain": Fault(weight=2, run=self._drain),
            "wrong answers": Fault(weight=3, run=self._corrupt_answers),
            "configuration": Fault(weight=4, run=self._configure),
        }

    def _pick_host(self) -> HostProcess | None:
        up = [host for host in self._world.hosts_by_name.values() if host.is_up]
        return self._rng.choice(up) if up else None

    async def _kill(self, duration: float) -> None:
        host = self._pick_host()
        if host is None:
            return
        began_at, process_run = now(), host.process_run
        process_run.kill()
        await asyncio.to_thread(process_run.popen.wait)
        await asyncio.sleep(duration / 2)
        self._world.start_host(host)
        self._record_fault("kill", host.name, began_at)

    async def _kill_all(self, duration: float) -> None:
        began_at = now()
        hosts = [host for host in self._world.hosts_by_name.values() if host.is_up]
        killed = [host.process_run for host in hosts]
        for process_run in killed:
            process_run.kill()
        for process_run in killed:
            await asyncio.to_thread(process_run.popen.wait)
        await asyncio.sleep(duration / 2)
        for host in hosts:
            self._world.start_host(host)
            self._record_fault("kill all", host.name, began_at)

    async def _pause(self, duration: float) -> None:
        host = self._pick_host()
        if host is None:
            return
        began_at, process_run = now(), host.process_run
        process_run.popen.send_signal(signal.SIGSTOP)
        process_run.pauses += 1
        await asyncio.sleep(duration)
        process_run.pauses -= 1
        if process_run.popen.poll() is None:
            process_run.popen.send_signal(signal.SIGCONT)
        self._record_fault("pause", host.name, began_at)

    async def _stop(self, duration: float) -> None:
        """Stop a host as planned and restart it; kill it after its grace period."""
        host = self._pick_host()
        if host is None:
            return
        began_at, process_run = now(), host.process_run
        process_run.send(signal.SIGTERM)
        await self._wait_stopped(process_run)
        self._record_fault("stop", host.name, began_at, is_planned=True)
        self._world.start_host(host)

    async def _reload(self, duration: float) -> None:
        host = self._pick_host()
        if host is None:
            return
        began_at = now()
        host.touch_settings()
        host.process_run.send(signal.SIGHUP)
        await asyncio.sleep(duration / 4)
        self._record_fault("reload", host.name, began_at, is_planned=True)

    async def _break_store_link(self, duration: float) -> None:
        host = self._rng.choice(list(self._world.hosts_by_name.values()))
        began_at = now()
        host.store_link.fail(self._rng.choice(LINK_FAULTS))
        await asyncio.sleep(duration)
        host.store_link.fail(LinkFault.NONE)
        self._record_fault("store link", f"store of {host.name}", began_at)

    async def _break_store(self, duration: float) -> None:
        store, began_at = self._world.store, now()
        if self._rng.random() < 0.5:
            store.refusal = self._rng.choice((429, 503))
        else:
            store.is_silent = True
        await asyncio.sleep(duration)
        store.refusal, store.is_silent = None, False
        self._record_fault("store", "store", began_at)

    async def _compact(self, duration: float) -> None:
        store, began_at = self._world.store, now()
        store.is_deaf = True
        await asyncio.sleep(min(duration, 1.0))
        store.is_deaf = False
        store.forget_history()
        self._record_fault("compact", "store", began_at)

    async def _crash(self, duration: float) -> None:
        place = self._pick_place()
        if place is None:
            return
        began_at, name = now(), place.runner.name
        await self._world.stop_runner(place)
        await asyncio.sleep(duration / 2)
        # The next endpoint reuses the address while the entry of the crashed one is
        # still in the store.
        await self._world.start_runner(place)
        await asyncio.sleep(duration / 2)
        self._world.store.remove("servers", name)
        self._record_fault("endpoint crash", name, began_at)

    async def _break_endpoint_link(self, duration: float) -> None:
        place = self._pick_place()
        if place is None:
            return
        began_at = now()
        place.link.fail(self._rng.choice(LINK_FAULTS))
        await asyncio.sleep(duration)
        place.link.fail(LinkFault.NONE)
        self._record_fault("endpoint link", str(place.link.port), began_at)

    async def _drain(self, duration: float) -> None:
        """Drain an endpoint as planned, then replace it at the same address."""
        place = self._pick_place()
        if place is None:
            return
        began_at, runner = now(), place.runner
        self._world.put_entry(place, state="draining")
        self._evidence.draining_since[runner.name] = began_at
        await asyncio.sleep(4.0 + duration)
        if place.runner is runner:
            await self._world.stop_runner(place)
            self._world.store.remove("servers", runner.name)
            await self._world.start_runner(place)
        self._record_fault("endpoint drain", runner.name, began_at, is_planned=True)

    async def _corrupt_answers(self, duration: float) -> None:
        place = self._pick_place()
        if place is None:
            return
        began_at, faults = now(), place.runner.faults
        change = self._rng.choice(
            [
                {"refusals": 3},
                {"lose_answers": 2},
                {"no_proof": True},
                {"other_id": True},
                {"encoding": "gzip"},
                {"extra": b"HTTP/1.1 200 OK\r\n\r\n"},
                {"unframed": True},
                {"break_after": self._rng.randint(0, 30), "break_inside": True},
                {"hang_after": self._rng.randint(0, 30)},
            ]
        )
        for name, value in change.items():
            setattr(faults, name, value)
        await asyncio.sleep(duration)
        defaults = RunnerFaults()
        for name in change:
            setattr(faults, name, getattr(defaults, name))
        self._record_fault("wrong answers", str(place.link.port), began_at)

    async def _configure(self, duration: float) -> None:
        for _ in range(self._rng.choice((1, 1, 5))):
            self._world.change_config()
            await asyncio.sleep(self._rng.uniform(0, 0.2))
