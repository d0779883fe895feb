"""Who else is there: heartbeats that spread by gossip. Nothing is agreed by it.

Each host tells a few random peers a second what it knows, so a host's bytes do
not grow with the number of hosts; how long news takes grows with its logarithm.
"""

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from datetime import timedelta
from typing import Protocol

import attrs
import msgspec

from passtally.clock import Clock
from passtally.messages import DepartureRow, Hello, MemberRow
from passtally.peers import PeerError, Peers

GOSSIP_INTERVAL = timedelta(seconds=1)
#: Peers told in each interval.
FANOUT = 2
#: Rows sent along in each message, besides the sender's own.
SAMPLE = 10
#: The most rows sent to a host that has just started: all of a fleet of the target's
#: size, some 25 KB.
MAX_ROWS = 400
#: A host that nobody has heard for this long counts as out of reach. Among 55
#: hosts the oldest word that a host had of another was 15 s old.
ALIVE_FOR = timedelta(seconds=20)


@attrs.define(kw_only=True)
class _Known:
    row: MemberRow
    heard_at: timedelta


@attrs.frozen(kw_only=True)
class MemberView:
    """What is known of one host.

    Attributes:
        id: Its name.
        failure_domain: Where it stands.
        config_version: The configuration version in force there, as last heard.
        leaving: Whether it is stopping.
        heard_ago: How long ago it was heard of; None if never.
        alive: Whether it is in reach.
    """

    id: str
    failure_domain: str
    config_version: int
    leaving: bool
    heard_ago: timedelta | None
    alive: bool


class MemberTable:
    """The newest heartbeat of each host. Pure.

    Args:
        own: This host's first row.
        alive_for: A host that nobody has heard for this long is out of reach.
    """

    def __init__(self, *, own: MemberRow, alive_for: timedelta = ALIVE_FOR) -> None:
        self.own = own
        self._alive_for = alive_for
        self._known_by_id: dict[str, _Known] = {}

    def beat(
        self,
        *,
        config_version: int,
        leaving: bool,
        versions_by_prefix: Mapping[str, int] | None = None,
    ) -> MemberRow:
        """Count this host's own heartbeat up and return its row."""
        self.own = msgspec.structs.replace(
            self.own,
            counter=self.own.counter + 1,
            config_version=config_version,
            leaving=leaving,
            versions_by_prefix=dict(versions_by_prefix or {}),
        )
        return self.own

    def merge(self, rows: Sequence[MemberRow], now: timedelta) -> None:
        """Take in rows from a peer; older ones change nothing."""
        for row in rows:
            if row.host_id == self.own.host_id:
                self._outrun(row)
                continue
            known = self._known_by_id.get(row.host_id)
            if known is None or row.counter > known.row.counter:
                self._known_by_id[row.host_id] = _Known(row=row, heard_at=now)

    def sample(self, count: int, rng: random.Random) -> list[MemberRow]:
        """Return this host's row and some others, taken at random."""
        known = list(self._known_by_id.values())
        picked = rng.sample(known, min(count, len(known)))
        return [self.own, *(item.row for item in picked)]

    def views(self, names: Collection[str], now: timedelta) -> list[MemberView]:
        """Return what is known of the hosts named and of all others heard of."""
        everyone = sorted({*names, *self._known_by_id} - {self.own.host_id})
        return [self._view(name, now) for name in everyone]

    def newest_config(self, now: timedelta) -> tuple[str, int]:
        """Return the living host with the highest configuration version."""
        best = ("", 0)
        for name, known in self._known_by_id.items():
            is_alive = now - known.heard_at < self._alive_for
            if is_alive and known.row.config_version > best[1]:
                best = (name, known.row.config_version)
        return best

    def alive_rows(self, now: timedelta) -> list[MemberRow]:
        """Return the rows of the other hosts that are in reach."""
        return [
            known.row
            for known in self._known_by_id.values()
            if now - known.heard_at < self._alive_for
        ]

    def _outrun(self, row: MemberRow) -> None:
        """Go above a counter from before a restart, so that news is not ignored."""
        if row.counter > self.own.counter:
            self.own = msgspec.structs.replace(self.own, counter=row.counter + 1)

    def _view(self, name: str, now: timedelta) -> MemberView:
        known = self._known_by_id.get(name)
        if known is None:
            return MemberView(
                id=name,
                failure_domain="",
                config_version=0,
                leaving=False,
                heard_ago=None,
                alive=False,
            )
        ago = now - known.heard_at
        return MemberView(
            id=name,
            failure_domain=known.row.failure_domain,
            config_version=known.row.config_version,
            leaving=known.row.leaving,
            heard_ago=ago,
            alive=ago < self._alive_for,
        )


class DepartureNews(Protocol):
    """The departures that are spread along."""

    def rows(self) -> list[DepartureRow]:
        """Return the newest ones."""

    def merge(self, rows: Sequence[DepartureRow]) -> None:
        """Take in what a peer tells."""


class Gossip:
    """Spreads and gathers heartbeats.

    Args:
        table: What is known.
        peers: The links.
        clock: The clock.
        rng: Where the choice of peers comes from.
        departures: Spread along.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        departures: DepartureNews,
    ) -> None:
        self.table = table
        self._departures = departures
        self.config_version = 0
        self.leaving = False
        #: Returns the newest version known under each prefix, to be spread along.
        self.versions: Callable[[], Mapping[str, int]] = dict
        self._peers = peers
        self._clock = clock
        self._rng = rng
        peers.on(Hello, self._answer)

    async def run(self) -> None:
        """Tell a few peers, every interval, for ever."""
        while True:
            await self._clock.sleep(GOSSIP_INTERVAL)
            await self.tell()

    async def tell(self) -> None:
        """Exchange rows with a few random peers."""
        self.table.beat(
            config_version=self.config_version,
            leaving=self.leaving,
            versions_by_prefix=self.versions(),
        )
        ids = self._peers.ids
        for host_id in self._rng.sample(ids, min(FANOUT, len(ids))):
            try:
                reply = await self._peers.ask(host_id, self._hello())
            except PeerError:
                continue
            if isinstance(reply, Hello):
                self._merge(reply)

    def views(self) -> list[MemberView]:
        """Return what is known of all hosts."""
        return self.table.views(self._peers.ids, self._clock.monotonic())

    def newest_config(self) -> tuple[str, int]:
        """Return the living host with the highest configuration version."""
        return self.table.newest_config(self._clock.monotonic())

    def _hello(self, *, count: int = SAMPLE) -> Hello:
        rows = self.table.sample(count, self._rng)
        return Hello(rows=rows, departures=self._departures.rows())

    async def _answer(self, message: Hello) -> Hello:
        self._merge(message)
        if len(message.rows) <= SAMPLE:
            # Who sends so few rows knows no others yet: it gets all at once.
            return self._hello(count=MAX_ROWS)
        return self._hello()

    def _merge(self, message: Hello) -> None:
        self.table.merge(message.rows, self._clock.monotonic())
        self._departures.merge(message.departures)
