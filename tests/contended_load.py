"""Callers of several kinds that compete for three engines behind three hosts."""

import asyncio
import itertools
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Any

import attrs

from passtally.front_host import FrontHost
from standins.platform_config import ENGINE, make_config
from tests.platform_system import Answer, PlatformSystem, UnreachableHostError

ZONES = ("pilar", "tigre", "escobar")
#: Each engine runs 4 streams and queues 8. A stream takes 0.3 s, so that all engines
#: together serve some 40 streams a second.
SLOTS, QUEUE = 4, 8
EVENTS, GAP = 10, 0.03
#: Time in which hosts learn what the others use, and the interval of samples, in
#: seconds.
WARM_UP, SAMPLE_INTERVAL = 1.0, 0.02


@attrs.frozen(kw_only=True)
class Kind:
    """Callers of one kind.

    Attributes:
        name: Name of the kind, also the prefix of its route's path.
        per_second: Number of streams that are sent in a second.
        target: Time within which the first event is wanted.
        rank: Rank of the route's priority.
        workspace: Workspace of the callers, or empty for one of the kind's own.
        workspace_rank: Rank of the workspace's priority; None for none.
    """

    name: str
    per_second: float
    target: timedelta
    rank: int = 1
    workspace_rank: int | None = None


@attrs.frozen(kw_only=True)
class Outcome:
    """How the streams of one kind ended.

    Attributes:
        sent: Number of streams.
        in_time: Number of those that were whole and began within the target.
        refused: Number of those that were refused.
        first_outputs: Times to the first event, in seconds.
        refused_at: When streams were sent that were refused, in seconds of the event
            loop's time.
    """

    sent: int
    in_time: int
    refused: int
    first_outputs: Sequence[float]
    refused_at: Sequence[float]

    @property
    def share_in_time(self) -> float:
        return self.in_time / self.sent


class ContendedLoad:
    """Plays callers of several kinds against three hosts.

    Args:
        system: The system.
        kinds: The kinds of callers.
    """

    def __init__(self, system: PlatformSystem, kinds: Sequence[Kind]) -> None:
        self.system = system
        self._kinds = kinds
        self._hosts: itertools.cycle[FrontHost] | None = None
        self._removed_hosts: list[FrontHost] = []
        self._numbers = itertools.count()
        #: Share of the engines' slots that were busy, after `WARM_UP`.
        self.busy_share = 0.0

    async def start(self, *, hosts: int = 3) -> None:
        """Start the engines and the hosts, and wait until all know each other."""
        system = self.system
        system.store.put("config", "main", self._config())
        for number, zone in enumerate(ZONES):
            await self.add_engine(f"i-{number}", zone=zone)
        seeds = ""
        for number in range(hosts):
            zone = ZONES[number % len(ZONES)]
            host = await system.add_host(f"front-{number}", seeds, zone=zone)
            seeds = seeds or str(host.settings.peer_listen)
        await system.wait_ready()
        while any(len(host.roster.linked()) < hosts - 1 for host in system.hosts):
            await asyncio.sleep(0.02)
        self._hosts = itertools.cycle(system.hosts)

    async def add_engine(self, name: str, *, zone: str, port: int = 0) -> None:
        """Start an engine, at a free port if it is 0, and put its entry."""
        system = self.system
        runner = await system.add_runner(
            name, zone=zone, port=port, events=EVENTS, gap=GAP
        )
        runner.faults.slots, runner.faults.queue = SLOTS, QUEUE
        entry = runner.entry(ENGINE, zone=zone, slots=SLOTS)
        system.store.put("servers", runner.name, entry)

    def _config(self) -> dict[str, Any]:
        base = make_config()
        stream = base["routes"][0]
        routes = [
            stream
            | {
                "name": f"r-{kind.name}",
                "path_prefix": f"/{kind.name}/",
                "target_latency_ms": kind.target / timedelta(milliseconds=1),
                "timeout_ms": 10_000,
                "priority": kind.rank,
            }
            for kind in self._kinds
        ]
        tenants = [
            {"name": f"w-{kind.name}", "api_keys": [_key_of(kind)]}
            | ({} if kind.workspace_rank is None else {"priority": kind.workspace_rank})
            for kind in self._kinds
        ]
        return base | {"routes": routes, "tenants": tenants}

    async def play(self, *, seconds: float) -> Mapping[str, Outcome]:
        """Send the streams of all kinds evenly for some seconds."""
        watching = asyncio.create_task(self._watch_slots(seconds))
        sent = await asyncio.gather(
            *(self._send_all(kind, seconds=seconds) for kind in self._kinds)
        )
        await watching
        return dict(zip((kind.name for kind in self._kinds), sent, strict=True))

    async def _watch_slots(self, seconds: float) -> None:
        """Measure the share of busy slots while streams are sent."""
        await asyncio.sleep(WARM_UP)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds - WARM_UP
        runners = self.system.runners.values()
        busy: list[int] = []
        while loop.time() < ends_at:
            busy.append(sum(runner.busy_slots for runner in runners))
            await asyncio.sleep(SAMPLE_INTERVAL)
        self.busy_share = sum(busy) / len(busy) / (SLOTS * len(runners))

    async def _send_all(self, kind: Kind, *, seconds: float) -> Outcome:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        tasks = []
        for number in range(round(kind.per_second * seconds)):
            await asyncio.sleep(began_at + number / kind.per_second - loop.time())
            tasks.append(asyncio.create_task(self._send(kind)))
        return _sum_up(kind, await asyncio.gather(*tasks))

    def remove_host(self, host: FrontHost) -> None:
        """Send no more streams to a host."""
        self._removed_hosts.append(host)
        left = [item for item in self.system.hosts if item not in self._removed_hosts]
        self._hosts = itertools.cycle(left)

    async def _send(self, kind: Kind) -> "_Ended":
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        path = f"/{kind.name}/{next(self._numbers)}"
        host = next(self._hosts)
        first_at: list[float] = []

        def on_body() -> None:
            first_at.append(loop.time())

        try:
            answer = await self._stream(kind, path, host=host, on_body=on_body)
        except UnreachableHostError:
            # A listener that closes resets connections that it has not accepted yet.
            if host not in self._removed_hosts:
                raise
            host = next(self._hosts)
            answer = await self._stream(kind, path, host=host, on_body=on_body)
        first = (first_at[0] if first_at else loop.time()) - began_at
        return _Ended(
            sent_at=began_at, status=answer.status, first=first, whole=answer.is_whole
        )

    async def _stream(
        self, kind: Kind, path: str, *, host: FrontHost, on_body: Callable[[], None]
    ) -> Answer:
        return await self.system.stream(
            path, host=host, key=_key_of(kind), on_body=on_body, X_Deadline_Ms="10000"
        )


@attrs.frozen(kw_only=True)
class _Ended:
    """How one stream ended.

    Attributes:
        sent_at: When it was sent, in seconds of the event loop's time.
        status: Its status.
        first: Time to its first event, or to its end without one, in seconds.
        whole: Whether it was answered whole.
    """

    sent_at: float
    status: int
    first: float
    whole: bool


def _key_of(kind: Kind) -> str:
    return f"key-of-{kind.name}"


def _sum_up(kind: Kind, ended: Sequence[_Ended]) -> Outcome:
    target = kind.target.total_seconds()
    whole = [item.first for item in ended if item.status == 200 and item.whole]
    refused_at = [item.sent_at for item in ended if item.status == 503]
    return Outcome(
        sent=len(ended),
        in_time=sum(first <= target for first in whole),
        refused=len(refused_at),
        first_outputs=whole,
        refused_at=refused_at,
    )
