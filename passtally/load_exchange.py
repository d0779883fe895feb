"""Tells peers what this host's runs take at endpoints, and hears it of theirs.

Without it each host would see its own runs only, and hosts that choose the least
loaded endpoint at the same moment would choose the same one.
"""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.fleet import Fleet
from passtally.messages import HostNews, TokenLoad
from passtally.objects import EndpointStart
from passtally.peers import Peers
from passtally.roster import Roster

#: How long changes are gathered before they are told, where few hosts are told.
SEND_INTERVAL = timedelta(milliseconds=20)
#: Each host to be told makes the interval longer, so that the cost is bounded.
SEND_INTERVAL_PER_HOST = timedelta(milliseconds=4)
#: Loads that did not change are told again this often, for peers that missed them.
REPEAT_INTERVAL = timedelta(seconds=2)
#: Hosts that could not be told, or have just come, are told this soon: until then they
#: take endpoints for idle that are not.
CATCH_UP_INTERVAL = timedelta(milliseconds=200)
#: Loads that were not told again are forgotten: their host may be gone.
FORGET_AFTER = timedelta(seconds=5)
NO_LOAD = TokenLoad()


@attrs.frozen(kw_only=True)
class _HostLoads:
    loads_by_endpoint: Mapping[str, TokenLoad]
    received_at: timedelta


class LoadTable:
    """What the other hosts' runs take at endpoints. Pure."""

    def __init__(self) -> None:
        self._heard_by_host: dict[str, _HostLoads] = {}
        self._totals_by_start: dict[EndpointStart, TokenLoad] = {}

    def take(
        self,
        host_id: str,
        loads_by_endpoint: Mapping[str, TokenLoad],
        *,
        now: timedelta,
    ) -> None:
        """Take in one host's loads."""
        self._heard_by_host[host_id] = _HostLoads(
            loads_by_endpoint=loads_by_endpoint, received_at=now
        )
        self._sum()

    def forget_old(self, now: timedelta) -> None:
        """Forget the hosts that were not heard of for long."""
        old = [
            host_id
            for host_id, heard in self._heard_by_host.items()
            if now - heard.received_at > FORGET_AFTER
        ]
        for host_id in old:
            del self._heard_by_host[host_id]
        if old:
            self._sum()

    def load(self, start: EndpointStart) -> TokenLoad:
        """Return what the others' runs take at one start of an endpoint."""
        return self._totals_by_start.get(start, NO_LOAD)

    def _sum(self) -> None:
        self._totals_by_start = {}
        for heard in self._heard_by_host.values():
            for endpoint_id, load in heard.loads_by_endpoint.items():
                start = EndpointStart(
                    endpoint_id=endpoint_id, incarnation=load.incarnation
                )
                known = self.load(start)
                self._totals_by_start[start] = TokenLoad(
                    held=known.held + load.held,
                    reading=known.reading + load.reading,
                    running=known.running + load.running,
                    incarnation=load.incarnation,
                )


class LoadExchange:
    """Tells and hears news.

    Args:
        host_id: This host's name.
        load_table: Where the others' loads go.
        fleet: The endpoints.
        peers: The links.
        roster: Who is there.
        clock: The clock.
        on_lost: Called with each start of an endpoint that a peer found gone.
    """

    def __init__(
        self,
        *,
        host_id: str,
        load_table: LoadTable,
        fleet: Fleet,
        peers: Peers,
        roster: Roster,
        clock: Clock,
        on_lost: Callable[[EndpointStart], None],
    ) -> None:
        self.host_id = host_id
        self._load_table = load_table
        self._fleet = fleet
        self._peers = peers
        self._roster = roster
        self._clock = clock
        self._on_lost = on_lost
        self._told: Mapping[str, TokenLoad] = {}
        self._told_rates: Mapping[tuple[str, int], float | None] = {}
        self._told_at = timedelta(0)
        #: The hosts that were told the loads as they are now.
        self._told_ids: set[str] = set()
        self._is_first = True
        peers.listen(HostNews, self._receive)

    async def run(self) -> None:
        """Tell changes, for ever."""
        while True:
            await self._wait_for_change()
            host_ids = self._audience()
            await self._clock.sleep(
                max(SEND_INTERVAL, len(host_ids) * SEND_INTERVAL_PER_HOST)
            )
            self._load_table.forget_old(self._clock.monotonic())
            await self._send_updates(host_ids)

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(CATCH_UP_INTERVAL.total_seconds()):
                await self._fleet.load_changed.wait()
        except TimeoutError:
            return
        finally:
            self._fleet.load_changed.clear()

    def _audience(self) -> list[str]:
        return [row.host_id for row in self._roster.linked()]

    async def _send_updates(self, host_ids: list[str]) -> None:
        loads = self._fleet.loads_by_endpoint()
        lost = self._fleet.pop_losses()
        now = self._clock.monotonic()
        limits = self._fleet.limits.rows(now=now)
        rates = {(row.endpoint_id, row.incarnation): row.rate for row in limits}
        is_due = bool(loads or rates) and now - self._told_at > REPEAT_INTERVAL
        if loads != self._told or rates != self._told_rates or lost or is_due:
            self._told, self._told_rates, self._told_at = loads, rates, now
            self._told_ids.clear()
        missing = [host_id for host_id in host_ids if host_id not in self._told_ids]
        if missing:
            news = HostNews(
                host_id=self.host_id,
                loads_by_endpoint=loads,
                lost=[start.endpoint_id for start in lost],
                lost_incarnations=[start.incarnation for start in lost],
                is_first=self._is_first,
                limits=limits,
            )
            told = await self._peers.send_message(missing, news)
            self._told_ids |= told
            self._is_first = self._is_first and not told

    def _receive(self, news: HostNews) -> None:
        now = self._clock.monotonic()
        self._load_table.take(news.host_id, news.loads_by_endpoint, now=now)
        if self._fleet.limits.merge(news.limits, now=now):
            self._fleet.load_changed.set()
        if news.is_first:
            self._told_ids.discard(news.host_id)
        for start in news.lost_starts():
            self._on_lost(start)
