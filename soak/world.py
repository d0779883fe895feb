"""The hosts, endpoints and object store of one soak run, and the links between them."""

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
from soak.network import (
    CONTROL_PORT,
    FRONT_PORT,
    READY_PORT,
    TUNNEL_PORT,
    LoopbackNetwork,
)
from standins.object_store import ObjectStoreStandIn, StoreCopy
from standins.platform_config import ENGINE, KEY, LOOKUPS, WORKSPACE, make_config
from standins.runner import RunnerStandIn

#: Number of events in a stream and the interval between them, in seconds; a complete
#: stream takes 1.2 s.
EVENTS = 40
EVENT_INTERVAL_SECONDS = 0.03
#: Grace period of a planned stop, in seconds; a host still running then is killed.
GRACE_SECONDS = 6
#: Time in which all hosts must receive the configuration after the start, in seconds.
START_SECONDS = 20.0
#: Number of hosts that are listed as seeds in every host's settings.
SEED_HOSTS = 3
#: Delay before a host that exited by itself is restarted, in seconds.
RESTART_DELAY_SECONDS = 1.0
#: Interval between checks of the hosts, in seconds.
HOST_POLL_SECONDS = 0.05
#: Workspace of a lower priority than that of the usual callers, and its key.
ROUTINE_WORKSPACE, ROUTINE_KEY = "lova12", "ylv0nq5ka3x8wz7h2e4t"
#: Memory of an engine in tokens if workspaces compete for it: three streams of 600
#: tokens with their replicas.
SMALL_CAPACITY = 3_600
#: Part of the name of the metric with the configuration version in force.
VERSION_METRIC = "config_version"

#: Each host reaches the store over a separate link, so the hosts can't derive a common
#: key for their messages from the store's address. The key is therefore set.
_HOST_ENVIRONMENT = {variable_of("resume_keys"): "soak:only-for-this-run-of-the-soak"}
#: Prefix of the body of a fatal request, which crashes every endpoint that runs it.
FATAL_PREFIX = b"fatal "
_SETTINGS = """\
node_name={name}
zone={domain}
region=soak
ip={ip}
listen.front={ip}:{front}
listen.ready={ip}:{ready}
listen.control={ip}:{control}
port_range={tunnels},{tunnels}
seeds={seeds}
bounds.grace_s={grace}
bounds.retry_budget_ratio=0.8
bounds.budget_extra=150
bounds.budget_window_s=10
bounds.config_apply_ms=2000
platform.address=127.0.0.1:{store}
"""


class TracedRunner(RunnerStandIn):
    """An endpoint that records which requests reach it and which of them run."""

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
    """An address that successive endpoints of one service use.

    Attributes:
        service: The service of its endpoints.
        domain: Its failure domain.
        link: The link through which hosts reach the endpoint.
        runner: The running endpoint; None while there is none.
        state: The state in the endpoint's store entry.
    """

    service: str
    domain: str
    link: FaultyLink
    runner: TracedRunner | None = None
    state: str = "ready"


class World:
    """Hosts, endpoints and the store of one run.

    Args:
        folder: The folder for the settings files and logs of the hosts.
        evidence: The record of the run.
        rng: The generator of endpoint names and configuration versions.
        has_versions: Whether endpoints of two software versions serve.
        has_priorities: Whether workspaces of two priorities compete for engines with
            little memory.
    """

    def __init__(
        self,
        *,
        folder: Path,
        evidence: Evidence,
        rng: random.Random,
        has_versions: bool = True,
        has_priorities: bool = False,
    ) -> None:
        self.store = ObjectStoreStandIn()
        self.hosts_by_name: dict[str, HostProcess] = {}
        self.places: list[Place] = []
        self.version = 1
        self._folder = folder
        self.evidence = evidence
        evidence.streams.count_endpoints = self._count_engines
        self._has_versions = has_versions
        self._has_priorities = has_priorities
        self._rng = rng
        self._network: LoopbackNetwork | None = None
        #: Callback for each endpoint that a request crashed, with its place.
        self.on_crash: Callable[[Place, TracedRunner], None] = lambda place, runner: (
            None
        )

    def addresses_by_host(self) -> dict[str, tuple[str, int]]:
        """Return the address for callers of each host, whether it runs or not."""
        return {name: host.front for name, host in self.hosts_by_name.items()}

    async def start(self, *, hosts: int, engines: int, lookups: int) -> None:
        """Start the store, endpoints and hosts, without waiting for readiness."""
        self._put_config()
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
        seeds = ",".join(f"{ip}:{CONTROL_PORT}" for ip in ips[:SEED_HOSTS])
        for number, ip in enumerate(ips):
            await self._add_host(number, ip, seeds, store_port)

    async def wait_configured(self) -> bool:
        """Wait until all hosts run with the current configuration version.

        Reports each host that does not within ``START_SECONDS``.

        Returns:
            Whether all hosts have the configuration.
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
            await asyncio.sleep(HOST_POLL_SECONDS)
        for host in waiting:
            self.evidence.report(
                f"{host.name} has no configuration {START_SECONDS:.0f} s after the"
                f" start: {host.process_run.last_line() or 'no line'}"
            )
        return not waiting

    async def restart_ended(self) -> None:
        """Restart hosts that exited by themselves, as the platform does."""
        while True:
            for host in self.hosts_by_name.values():
                process_run = host.process_run
                if not process_run.is_over or process_run.was_sent_ending_signal:
                    continue
                if now() > process_run.ended_at + RESTART_DELAY_SECONDS:
                    self.start_host(host)
            await asyncio.sleep(HOST_POLL_SECONDS)

    async def stop(self) -> None:
        """Kill all host processes and stop the endpoints, links and the store."""
        for host in self.hosts_by_name.values():
            if host.is_up:
                host.process_run.popen.send_signal(signal.SIGCONT)
                host.process_run.kill()
            self.evidence.exits += [
                process_run.exit_record() for process_run in host.process_runs
            ]
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
        """Start a new endpoint at a place and put its entry into the store."""
        name = f"i-{self._rng.getrandbits(40):010x}"
        runner = TracedRunner(
            name,
            events=EVENTS,
            gap=EVENT_INTERVAL_SECONDS,
            find=self._find_runner,
            on_crash=lambda runner: self._record_crash(place, runner),
            version=self._version_of(name),
            marks_version=True,
        )
        runner.evidence = self.evidence
        if not place.link.is_listening:
            await place.link.start()
        address = await runner.start()
        place.link.target = int(address.rpartition(":")[2])
        runner.address = f"127.0.0.1:{place.link.port}"
        place.runner = runner
        self.put_entry(place)

    def _version_of(self, name: str) -> str:
        """Return the software version of an endpoint, so that each has about half."""
        is_second = self._has_versions and int(name.removeprefix("i-"), 16) % 2
        return "v2" if is_second else "v1"

    def _count_engines(self, version: str) -> int:
        return sum(
            place.service == ENGINE
            and place.runner is not None
            and place.state == "ready"
            and place.runner.version == version
            for place in self.places
        )

    def put_entry(self, place: Place, state: str = "ready") -> None:
        """Put the entry of a place's endpoint into the store, with a state."""
        runner, place.state = place.runner, state
        entry = runner.entry(place.service, zone=place.domain, state=state)
        self.store.put("servers", runner.name, entry)

    def rewrite_entries(self, copy: StoreCopy) -> None:
        """Bring a store that was restored from a copy up to the current state.

        Puts the current configuration and endpoint entries, and removes entries of
        the copy whose endpoints no longer run.
        """
        self._put_config()
        places = [place for place in self.places if place.runner is not None]
        for place in places:
            self.put_entry(place, state=place.state)
        running = {place.runner.name for place in places}
        for kind, name in copy.items:
            if kind == "servers" and name not in running:
                self.store.remove(kind, name)

    async def stop_runner(self, place: Place) -> None:
        """Stop a place's endpoint as a crash does: its store entry stays."""
        runner, place.runner = place.runner, None
        place.link.reset()
        await runner.stop()

    def _record_crash(self, place: Place, runner: TracedRunner) -> None:
        """Stop the link to an endpoint that a request crashed."""
        if place.runner is runner:
            place.runner = None
            place.link.stop()
            self.on_crash(place, runner)

    def start_host(self, host: HostProcess) -> None:
        """Start a host's process, unless another fault has already started it."""
        host.start(_HOST_ENVIRONMENT)

    def change_config(self) -> None:
        """Publish a new configuration version, 1 to 5 above the last one."""
        self.version += self._rng.randint(1, 5)
        self._put_config()

    def _put_config(self) -> None:
        config = make_config(self.version)
        if self._has_priorities:
            config["tenants"] = [
                {"name": WORKSPACE, "api_keys": [KEY], "priority": 0},
                {"name": ROUTINE_WORKSPACE, "api_keys": [ROUTINE_KEY], "priority": 2},
            ]
            engine = config["services"][0]["engine"]
            engine["kv_capacity_tokens"] = SMALL_CAPACITY
        self.store.put("config", "main", config)

    async def read_version(self, host: HostProcess) -> int | None:
        """Return the version in force from a host's metrics; None if unreachable."""
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
            tunnels=TUNNEL_PORT,
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

    def _find_runner(self, address: str) -> TracedRunner | None:
        for place in self.places:
            if place.runner is not None and place.runner.address == address:
                return place.runner
        return None
