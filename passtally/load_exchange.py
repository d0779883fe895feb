"""Exchange of the load of runs at endpoints between hosts.

Without it each host would only see its own runs, and hosts that pick the least loaded
endpoint at the same moment would all pick the same one.
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

#: Minimum time in which changes are batched before they are sent.
SEND_INTERVAL = timedelta(milliseconds=20)
#: Minimum of that time per linked host, which bounds the messages sent per second.
SEND_INTERVAL_PER_HOST = timedelta(milliseconds=4)
#: Interval at which unchanged loads are sent again, for peers that missed them.
RESEND_INTERVAL = timedelta(seconds=2)
#: Interval at which loads are sent to hosts that were unreachable or have just joined.
#: Until then these hosts consider endpoints idle that are not.
CATCH_UP_INTERVAL = timedelta(milliseconds=200)
#: Time without an update after which a host's loads are dropped, as it may be dead.
FORGET_AFTER = timedelta(seconds=5)
NO_LOAD = TokenLoad()


@attrs.frozen(kw_only=True)
class _HostLoads:
    loads_by_endpoint: Mapping[str, TokenLoad]
    received_at: timedelta


class LoadTable:
    """The load of the other hosts' runs at endpoints. Pure."""

    def __init__(self) -> None:
        self._loads_by_host: dict[str, _HostLoads] = {}
        self._totals_by_start: dict[EndpointStart, TokenLoad] = {}

    def update(
        self,
        host_id: str,
        loads_by_endpoint: Mapping[str, TokenLoad],
        *,
        now: timedelta,
    ) -> None:
        """Replace the loads of one host, and update the totals.

        Args:
            host_id: The host that reports the loads.
            loads_by_endpoint: Its loads; endpoints without any are omitted.
            now: The monotonic time.
        """
        self._loads_by_host[host_id] = _HostLoads(
            loads_by_endpoint=loads_by_endpoint, received_at=now
        )
        self._update_totals()

    def remove_expired(self, now: timedelta) -> None:
        """Drop the loads of hosts without an update for ``FORGET_AFTER``."""
        expired = [
            host_id
            for host_id, host_loads in self._loads_by_host.items()
            if now - host_loads.received_at > FORGET_AFTER
        ]
        for host_id in expired:
            del self._loads_by_host[host_id]
        if expired:
            self._update_totals()

    def load(self, start: EndpointStart) -> TokenLoad:
        """Return the total load of other hosts' runs at one start of an endpoint."""
        return self._totals_by_start.get(start, NO_LOAD)

    def _update_totals(self) -> None:
        self._totals_by_start = {}
        for host_loads in self._loads_by_host.values():
            for endpoint_id, load in host_loads.loads_by_endpoint.items():
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
    """Sends this host's loads, losses and request limits to peers, and applies theirs.

    Args:
        host_id: This host's id.
        load_table: Receives the loads of the other hosts.
        fleet: The live endpoints.
        peers: The links to other hosts.
        roster: The known hosts.
        clock: The clock.
        on_lost: Called with each start of an endpoint that a peer reports unreachable.
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
        self._sent_loads: Mapping[str, TokenLoad] = {}
        self._sent_rates: Mapping[tuple[str, int], float | None] = {}
        self._sent_brittle_revision = 0
        self._sent_at = timedelta(0)
        #: The hosts that have received the current loads.
        self._up_to_date_ids: set[str] = set()
        self._is_first = True
        peers.listen(HostNews, self._receive)

    async def run(self) -> None:
        """Send changes to all linked hosts, forever."""
        while True:
            await self._wait_for_change()
            host_ids = self._linked_ids()
            await self._clock.sleep(
                max(SEND_INTERVAL, len(host_ids) * SEND_INTERVAL_PER_HOST)
            )
            self._load_table.remove_expired(self._clock.monotonic())
            await self._send_updates(host_ids)

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(CATCH_UP_INTERVAL.total_seconds()):
                await self._fleet.load_changed.wait()
        except TimeoutError:
            return
        finally:
            self._fleet.load_changed.clear()

    def _linked_ids(self) -> list[str]:
        return [row.host_id for row in self._roster.linked()]

    async def _send_updates(self, host_ids: list[str]) -> None:
        loads = self._fleet.loads_by_endpoint()
        lost = self._fleet.losses.pop_unreported()
        now = self._clock.monotonic()
        limits = self._fleet.send_limits.requests.rows(now=now)
        rates = {(row.endpoint_id, row.incarnation): row.rate for row in limits}
        brittle = self._fleet.send_limits.brittle
        brittle_rows = brittle.rows(now=now)
        is_changed = (
            loads != self._sent_loads
            or rates != self._sent_rates
            or brittle.revision != self._sent_brittle_revision
        )
        is_resend_due = now - self._sent_at > RESEND_INTERVAL
        is_due = bool(loads or rates or brittle_rows) and is_resend_due
        if is_changed or lost or is_due:
            self._sent_loads, self._sent_rates, self._sent_at = loads, rates, now
            self._sent_brittle_revision = brittle.revision
            self._up_to_date_ids.clear()
        missing = [
            host_id for host_id in host_ids if host_id not in self._up_to_date_ids
        ]
        if missing:
            message = HostNews(
                host_id=self.host_id,
                loads_by_endpoint=loads,
                lost=[start.endpoint_id for start in lost],
                lost_incarnations=[start.incarnation for start in lost],
                is_first=self._is_first,
                limits=limits,
                brittle=brittle_rows,
            )
            reached = await self._peers.send_message(missing, message)
            self._up_to_date_ids |= reached
            self._is_first = self._is_first and not reached

    def _receive(self, message: HostNews) -> None:
        now = self._clock.monotonic()
        self._load_table.update(message.host_id, message.loads_by_endpoint, now=now)
        if self._fleet.send_limits.requests.merge(message.limits, now=now):
            self._fleet.load_changed.set()
        self._fleet.send_limits.merge_brittle(message.brittle)
        if message.is_first:
            self._up_to_date_ids.discard(message.host_id)
        for start in message.lost_starts():
            self._on_lost(start)
