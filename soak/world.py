"""The processes and stand-ins of one run, and the links between them."""

import asyncio
import random
import signal
from collections.abc import Callable
from pathlib import Path

import aiohttp
import attrs
from aiohttp import web

from passtally.platform.settings import METRICS_PORT
from passtally.platform.settings_file import parse_lines
from passtally.settings import variable_of
from soak.evidence import Evidence, now
from soak.host import HostProcess
from soak.link import FaultyLink
from soak.network import CONTROL_PORT, FRONT_PORT, READY_PORT, LoopbackNetwork
from standins.object_store import ObjectStoreStandIn, StoreCopy
from standins.platform_config import ENGINE, LOOKUPS, make_config
from standins.runner import RunnerStandIn

#: Events of one stream, and the pause between two: a run takes 1.2 s.
EVENTS = 40
GAP_SECONDS = 0.03
#: How long a planned stop may take, in seconds.
GRACE_SECONDS = 6
START_SECONDS = 20.0
#: How many hosts the others are told of.
SEEDS = 3
#: The platform starts a host that ended by itself again after this, in seconds.
RESTART_SECONDS = 1.0
WATCH_SECONDS = 0.05
VERSION_METRIC = "config_version"

#: Hosts reach the store over links of their own, so they can't derive one key.
_ENVIRONMENT = {variable_of("resume_keys"): "soak:only-for-this-run-of-the-soak"}
#: What the body of a request begins with that ends each endpoint that runs it.
FATAL_PREFIX = b"fatal "
_SETTINGS = """\
node_name={name}
zone={domain}
region=soak
ip={ip}
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
seeds={seeds}
bounds.grace_s={grace}
bounds.retry_budget_ratio=0.8
bounds.budget_extra=150
bounds.budget_window_s=10
bounds.config_apply_ms=2000
platform.address=127.0.0.1:{store}
"""


class SeenRunner(RunnerStandIn):
    """An endpoint that notes what reaches it."""

    evidence: Evidence

    def is_fatal(self, body: bytes) -> bool:
        return body.startswith(FATAL_PREFIX)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id")
        if request_id is not None:
            self.evidence.arrivals.append((now(), self.name, request_id))
        ran_before = len(self.ran)
        try:
            return await super()._serve(request)
        finally:
            if request_id in self.ran[ran_before:]:
                self.evidence.ran[request_id] += 1


@attrs.define(kw_only=True)
class Place:
    """An address at which one endpoint after the other runs.

    Attributes:
        service: What runs there.
        domain: Its failure domain.
        link: Leads there.
        runner: What runs there now.
        state: What its entry says of it.
    """

    service: str
    domain: str
    link: FaultyLink
    runner: SeenRunner | None = None
    state: str = "ready"


class World:
    """Hosts, endpoints and the store of one run.

    Args:
        folder: Where settings and logs go.
        evidence: What is seen.
        rng: Decides names.
    """

    def __init__(self, *, folder: Path, evidence: Evidence, rng: random.Random) -> None:
        self.store = ObjectStoreStandIn()
        self.hosts_by_name: dict[str, HostProcess] = {}
        self.places: list[Place] = []
        self.version = 1
        self._folder = folder
        self.evidence = evidence
        self._rng = rng
        self._network: LoopbackNetwork | None = None
        #: Called with an endpoint that a request has ended, and where it was.
        self.on_crash: Callable[[Place, SeenRunner], None] = lambda place, runner: None

    def addresses_by_host(self) -> dict[str, tuple[str, int]]:
        """Return where callers reach the hosts, running or not."""
        return {name: host.front for name, host in self.hosts_by_name.items()}

    async def start(self, *, hosts: int, engines: int, lookups: int) -> None:
        """Start everything; hosts may take a while to be ready."""
        self.store.put("config", "main", make_config(self.version))
        store_port = await self.store.start()
        for number in range(engines + lookups):
            service = ENGINE if number < engines else LOOKUPS
            domain = ("pilar", "tigre")[number % 2]
            place = Place(service=service, domain=domain, link=FaultyLink(target=0))
            await place.link.start()
            self.places.append(place)
            await self.start_runner(place)
        self._network = LoopbackNetwork(hosts=hosts)
        ips = [self._network.ip(number) for number in range(hosts)]
        seeds = ",".join(f"{ip}:{CONTROL_PORT}" for ip in ips[:SEEDS])
        for number, ip in enumerate(ips):
            await self._add_host(number, ip, seeds, store_port)

    async def wait_configured(self) -> bool:
        """Wait until all hosts have the configuration, and report those that don't.

        Returns:
            Whether all have it.
        """
        waiting = list(self.hosts_by_name.values())
        until = now() + START_SECONDS
        while waiting and now() < until:
            versions = [await self.read_version(host) for host in waiting]
            waiting = [
                host
                for host, version in zip(waiting, versions, strict=True)
                if version != self.version
            ]
            await asyncio.sleep(WATCH_SECONDS)
        for host in waiting:
            self.evidence.report(
                f"{host.name} has no configuration {START_SECONDS:.0f} s after the"
                f" start: {host.life.last_line() or 'no line'}"
            )
        return not waiting

    async def restart_ended(self) -> None:
        """Start hosts that ended by themselves again, as the platform does."""
        while True:
            for host in self.hosts_by_name.values():
                life = host.life
                if not life.is_over or life.was_told_to_end:
                    continue
                if now() > life.ended_at + RESTART_SECONDS:
                    self.start_host(host)
            await asyncio.sleep(WATCH_SECONDS)

    async def stop(self) -> None:
        """End every process that was started here, and all stand-ins."""
        for host in self.hosts_by_name.values():
            if host.is_up:
                host.life.popen.send_signal(signal.SIGCONT)
                host.life.kill()
            self.evidence.ends += [life.end() for life in host.lives]
            host.store_link.stop()
            host.spare_link.stop()
        for place in self.places:
            place.link.stop()
            if place.runner is not None:
                await place.runner.stop()
        await self.store.stop()
        if self._network is not None:
            self._network.release()

    async def start_runner(self, place: Place) -> None:
        """Start a new endpoint at a place and enter it in the store."""
        name = f"i-{self._rng.getrandbits(40):010x}"
        runner = SeenRunner(
            name,
            events=EVENTS,
            gap=GAP_SECONDS,
            find=self._find,
            on_crash=lambda runner: self._record_crash(place, runner),
        )
        runner.evidence = self.evidence
        if not place.link.is_listening:
            await place.link.start()
        address = await runner.start()
        place.link.target = int(address.rpartition(":")[2])
        runner.address = f"127.0.0.1:{place.link.port}"
        place.runner = runner
        self.enter(place)

    def enter(self, place: Place, state: str = "ready") -> None:
        """Write a place's endpoint into the store."""
        runner, place.state = place.runner, state
        entry = runner.entry(place.service, zone=place.domain, state=state)
        self.store.put("servers", runner.name, entry)

    def write_again(self, copy: StoreCopy) -> None:
        """Write what a store lost that came back from a copy, as it is by now."""
        self.store.put("config", "main", make_config(self.version))
        places = [place for place in self.places if place.runner is not None]
        for place in places:
            self.enter(place, state=place.state)
        running = {place.runner.name for place in places}
        for kind, name in copy.items:
            if kind == "servers" and name not in running:
                self.store.remove(kind, name)

    async def stop_runner(self, place: Place) -> None:
        """End a place's endpoint as a crash does; its entry stays for a while."""
        runner, place.runner = place.runner, None
        place.link.reset()
        await runner.stop()

    def _record_crash(self, place: Place, runner: SeenRunner) -> None:
        """Close the way to an endpoint that a request has ended."""
        if place.runner is runner:
            place.runner = None
            place.link.stop()
            self.on_crash(place, runner)

    def start_host(self, host: HostProcess) -> None:
        """Start a host's process, unless another one has done so meanwhile."""
        host.start(_ENVIRONMENT)

    def change_config(self) -> None:
        """Accept a new version of the configuration; versions rise unevenly."""
        self.version += self._rng.randint(1, 5)
        self.store.put("config", "main", make_config(self.version))

    async def read_version(self, host: HostProcess) -> int | None:
        """Return the version in force at a host, by its metrics; None if unknown."""
        url = f"http://{host.ip}:{METRICS_PORT}/metrics"
        timeout = aiohttp.ClientTimeout(total=0.5)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(url) as response,
            ):
                text = await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        for line in text.splitlines():
            if VERSION_METRIC in line and not line.startswith("#"):
                return int(float(line.split()[-1]))
        return None

    async def _add_host(
        self, number: int, ip: str, seeds: str, store_port: int
    ) -> None:
        name = f"host-{number}"
        link, spare = FaultyLink(target=store_port), FaultyLink(target=store_port)
        await spare.start()
        text = _SETTINGS.format(
            name=name,
            ip=ip,
            domain=("pilar", "tigre")[number % 2],
            front=FRONT_PORT,
            ready=READY_PORT,
            control=CONTROL_PORT,
            seeds=seeds,
            grace=GRACE_SECONDS,
            store=await link.start(),
        )
        path = self._folder / f"{name}.conf"
        host = HostProcess(
            name=name,
            path=path,
            settings=parse_lines(text),
            ip=ip,
            store_link=link,
            spare_link=spare,
        )
        host.write_settings()
        self.hosts_by_name[name] = host
        self.start_host(host)

    def _find(self, address: str) -> SeenRunner | None:
        for place in self.places:
            if place.runner is not None and place.runner.address == address:
                return place.runner
        return None
