"""Fleets of hosts that receive changes over links of limited rate, in virtual time."""

import asyncio
import json
import random
import string
from collections.abc import Collection, Sequence
from datetime import timedelta
from functools import partial

import msgspec

from passtally.follower import MAX_RETRY_DELAY, Follower
from passtally.messages import MemberRow
from passtally.object_store import Listing, StoredObject, UnavailableError
from passtally.shared_watch import SharedWatch
from passtally.view import View
from standins.virtual import VirtualClock
from tests.fakes import FakePlatform
from tests.rated_network import FixedRoster, RatedNetwork, Wire

ROUTES = 1980
#: Seconds added to a watch's requested wait for its timeout.
WATCH_SLACK = 0.4
#: Size in bytes of the segments in which a store's answer is carried. Other messages on
#: the host's link can pass between two segments.
SEGMENT_BYTES = 16 * 1024


def make_config(version: int, *, routes: int = ROUTES, workspaces: int = 0) -> bytes:
    rng = random.Random(version)

    def word(length: int) -> str:
        letters = string.ascii_lowercase + string.digits
        return "".join(rng.choice(letters) for _ in range(length))

    listed = [
        {
            "name": f"r-{word(7)}",
            "hostname": f"{word(6)}.example",
            "path_prefix": f"/{word(7)}/",
            "kind": "stream",
            "timeout_ms": 25000,
            "target_latency_ms": 4510,
            "priority": 1,
            "service": "modelo",
            "max_attempts": 5,
            "public": False,
            "session_affinity": True,
            "resume_streams": True,
            "target_gap_ms": 700,
        }
        for _ in range(routes)
    ]
    config = {"version": version, "routes": listed}
    if workspaces:
        config["tenants"] = [
            {"name": f"t-{word(5)}", "api_keys": [word(32)]} for _ in range(workspaces)
        ]
    return json.dumps(config).encode()


class StoreLink:
    """One host's connection to a store, with latency, over the host's rated link."""

    def __init__(
        self, *, store: FakePlatform, wire: Wire, latency_s: float = 0.004
    ) -> None:
        self.latency_s = latency_s
        #: Whether the store refuses this host's calls.
        self.is_refused = False
        #: Loop time until which this host's watch receives nothing from the store.
        self.silent_until = 0.0
        self._store = store
        self._wire = wire

    async def list_objects(self, prefix: str) -> Listing:
        self._admit("list")
        return await self._carry(await self._store.list_objects(prefix))

    async def watch(self, prefix: str, *, after: int, wait: timedelta) -> Listing:
        self._admit("watch")
        try:
            async with asyncio.timeout(wait.total_seconds() + WATCH_SLACK):
                changes = await self._store.watch(prefix, after=after, wait=wait)
                now = asyncio.get_running_loop().time()
                await asyncio.sleep(self.silent_until - now)
        except TimeoutError as error:
            raise UnavailableError("late", step="watch", peer="fake") from error
        self._admit("watch")
        return await self._carry(changes)

    def _admit(self, call: str) -> None:
        if self.is_refused:
            raise UnavailableError("refused", step=call, peer="fake")

    async def _carry(self, listing: Listing) -> Listing:
        await asyncio.sleep(self.latency_s)
        left = sum(len(bytes(stored.value)) + 100 for stored in listing.objects)
        while left > 0:
            await self._wire.carry(min(left, SEGMENT_BYTES))
            left -= SEGMENT_BYTES
        return listing


class LagRecorder:
    """Records how long each host lags behind the versions that the store confirmed."""

    def __init__(self) -> None:
        self.max_lag_by_host: dict[str, float] = {}
        self._confirmed_at_by_version: dict[int, float] = {}
        self._version_by_host: dict[str, int] = {}

    def confirm(self, version: int) -> None:
        """Record that the store has confirmed the next version."""
        self._confirmed_at_by_version[version] = asyncio.get_running_loop().time()

    def record_applied(self, host_id: str, version: int) -> None:
        """Record that a version is in force on a host from now on."""
        self._update_lag(host_id)
        self._version_by_host[host_id] = version

    def record_left(self, host_id: str) -> None:
        """Record that a host has left."""
        self._update_lag(host_id)
        self._version_by_host.pop(host_id, None)

    def max_lag(self) -> float:
        """Return the longest lag of any host, in seconds."""
        for host_id in self._version_by_host:
            self._update_lag(host_id)
        return max(self.max_lag_by_host.values(), default=0.0)

    def _update_lag(self, host_id: str) -> None:
        """Update a host's longest lag from the version that it has had until now."""
        now = asyncio.get_running_loop().time()
        missing = self._version_by_host.get(host_id, 0) + 1
        since = self._confirmed_at_by_version.get(missing, now)
        if host_id in self._version_by_host:
            lag = max(now - since, self.max_lag_by_host.get(host_id, 0.0))
            self.max_lag_by_host[host_id] = lag


class Fleet:
    """Hosts of one or several failure domains that follow one store."""

    def __init__(
        self,
        *,
        hosts: int,
        bits_per_second: float,
        domains: Sequence[str] = ("d",),
        wait: timedelta = timedelta(seconds=2),
        pause: timedelta = timedelta(0),
        max_retry_delay: timedelta = MAX_RETRY_DELAY,
        out_of_date_after: timedelta | None = None,
    ) -> None:
        self.wait = wait
        self.pause = pause
        self.max_retry_delay = max_retry_delay
        self.out_of_date_after = out_of_date_after
        self.lag_recorder = LagRecorder()
        self.platform = FakePlatform()
        self.network = RatedNetwork(bits_per_second=bits_per_second)
        self.clock = VirtualClock()
        self.values_by_host: dict[str, bytes] = {}
        self.applied_at_by_host: dict[str, float] = {}
        self.shares_by_host: dict[str, SharedWatch] = {}
        self.stores_by_host: dict[str, FakePlatform | StoreLink] = {}
        self.tasks_by_host: dict[str, asyncio.Task] = {}
        self.rows = [
            MemberRow(
                host_id=f"{domain}-{number:02}",
                failure_domain=domain,
                counter=1,
                config_version=0,
                leaving=False,
            )
            for domain in domains
            for number in range(hosts)
        ]

    def start(
        self, row: MemberRow, *, platform: FakePlatform | StoreLink | None = None
    ) -> None:
        host_id = row.host_id
        self.stores_by_host[host_id] = platform or self.platform
        share = SharedWatch(
            host_id=host_id,
            views=(View(prefix="config/", apply=self._applier(host_id)),),
            follow=partial(self._follow, host_id),
            peers=self.network.peers_by_id.get(host_id) or self.network.add(host_id),
            roster=FixedRoster(own=row, rows=self.rows),
            clock=self.clock,
            rng=random.Random(host_id),
            reach_changed=lambda is_receiving: None,
        )
        self.shares_by_host[host_id] = share
        self.tasks_by_host[host_id] = asyncio.create_task(share.run())

    def start_linked(self, row: MemberRow, *, bits_per_second: float | None = None):
        """Start a host whose calls to the store have latency and use its rated link."""
        peers = self.network.add(row.host_id, bits_per_second=bits_per_second)
        self.start(row, platform=StoreLink(store=self.platform, wire=peers.down))

    async def stop(self, host_id: str) -> None:
        """Stop a host, and remove it from the other hosts' member rows."""
        self.lag_recorder.record_left(host_id)
        self.rows[:] = [row for row in self.rows if row.host_id != host_id]
        self.network.cut.add(host_id)
        self.tasks_by_host.pop(host_id).cancel()
        await self.shares_by_host.pop(host_id).stop()

    async def change(self, value: bytes) -> None:
        """Change the configuration, and record the time of the store's confirmation."""
        version = self.platform.version
        await self.platform.update("config/main", value, version=version)
        self.lag_recorder.confirm(version + 1)

    async def storm(
        self, values: Sequence[bytes], *, every: float, seconds: float
    ) -> None:
        """Change the configuration every given seconds, cycling through the values."""
        for number in range(round(seconds / every)):
            await self.change(values[number % len(values)])
            await asyncio.sleep(every)

    async def gossip(self) -> None:
        """Update the versions in the member rows every second, until cancelled."""
        while True:
            await asyncio.sleep(1)
            self.rows[:] = [self._with_version(row) for row in self.rows]

    def _with_version(self, row: MemberRow) -> MemberRow:
        share = self.shares_by_host.get(row.host_id)
        if share is None or row.host_id in self.network.cut:
            return row
        return msgspec.structs.replace(row, versions_by_prefix=share.newest())

    def longest_wait(self, without: Collection[str] = ()) -> float:
        """Return the longest backlog on any link, in seconds."""
        return max(
            wire.longest_backlog
            for host_id, peers in self.network.peers_by_id.items()
            for wire in (peers.up, peers.down)
            if host_id not in without
        )

    def _applier(self, host_id: str):
        def apply(changed: Sequence[StoredObject]) -> None:
            for stored in changed:
                self.values_by_host[host_id] = bytes(stored.value)
                self.applied_at_by_host[host_id] = asyncio.get_running_loop().time()
                self.lag_recorder.record_applied(host_id, stored.version)

        return apply

    def _follow(self, host_id: str, share: SharedWatch, view: View) -> Follower:
        return Follower(
            prefix=view.prefix,
            platform=self.stores_by_host[host_id],
            replace=lambda listing: share.replace(view, listing),
            advance=lambda changes: share.advance(view, changes),
            clock=self.clock,
            rng=random.Random(1),
            relist_pause=lambda: timedelta(milliseconds=200),
            wait=self.wait,
            pause=self.pause,
            max_retry_delay=self.max_retry_delay,
            out_of_date_after=self.out_of_date_after,
        )

    async def wait_for(self, value: bytes, *, hosts: int) -> float:
        """Wait until a number of hosts have a value, and return the loop time."""
        async with asyncio.timeout(60):
            while list(self.values_by_host.values()).count(value) < hosts:
                await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time()

    @property
    def watchers(self) -> list[str]:
        return [name for name, share in self.shares_by_host.items() if share.is_up]
