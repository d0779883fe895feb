"""Asks other hosts whether they are there, and spreads what has changed.

Each host asks a few of the hosts that it is linked to. One that does not answer three
times is suspected; word of it spreads with the questions and answers, and the suspected
host contradicts it when it hears of it (the SWIM protocol, over the links that there
are).
Nothing is agreed by it.
"""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from typing import Protocol

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.member_table import MemberTable, MemberView
from passtally.messages import DepartureRow, Hello, MemberRow
from passtally.peers import PeerError, Peers

GOSSIP_INTERVAL = timedelta(seconds=1)
#: The same while there are changes to tell: all of 195 hosts know of one within 2 s.
UPDATE_INTERVAL = timedelta(milliseconds=300)
#: Peers asked in each interval.
FANOUT = 2
#: Among so many hosts those of the own failure domain are asked first: bytes between
#: failure domains are dear.
MANY = 24
#: The part of the rounds in which one of another failure domain is asked: 39 words a
#: second come from each domain of 39 hosts while there is something to tell.
FAR_PART = 0.3
#: How often a peer is asked before it is suspected. Where 3 in 100 messages get lost,
#: one in 5,000 questions ends in a wrong suspicion, and each is told to all hosts.
TRIES = 3
#: The most changes told in one message, some 2.5 KB.
UPDATE_ROWS = 30
#: Rows of others sent along where there are few changes, for hosts that missed some.
FILL_ROWS = 3
#: The most rows sent to a host that knows few: all of a fleet of the target's size,
#: some 30 KB.
MAX_ROWS = 400
#: How many hosts are told all rows in a second: when all hosts of a fleet start at
#: once, what their seeds send is bounded, and the others tell the rest.
FULL_ANSWERS = 4
#: A host that knows so few others is told all rows also by another failure domain: it
#: may know none of its own yet.
FEW = 3


class DepartureUpdates(Protocol):
    """The departures that are spread along."""

    @property
    def has_updates(self) -> bool:
        """Whether peers have hardly been told of some departure."""

    def pop_updates(self) -> list[DepartureRow]:
        """Return some to tell, and count them as told."""

    def merge(self, rows: Sequence[DepartureRow]) -> None:
        """Take in what a peer tells."""


class Gossip:
    """Asks and tells other hosts.

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
        departures: DepartureUpdates,
    ) -> None:
        self.table = table
        self._departures = departures
        self.config_version = 0
        self.leaving = False
        #: Returns the newest version known under each prefix, to be told along.
        self.versions: Callable[[], Mapping[str, int]] = dict
        #: Returns whether this host hears of changes of the configuration by gossip
        #: alone: its failure domain is turned away by the platform. It then asks as if
        #: there were news, and each time one host of another domain, so that all 74
        #: hosts' versions are known in it within 2 s and not 3.8 s.
        self.seeks_versions: Callable[[], bool] = lambda: False
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._full_answers_at: list[timedelta] = []
        #: The questions that are under way.
        self._asked: dict[str, asyncio.Task[None]] = {}
        peers.on(Hello, self._answer)

    async def run(self) -> None:
        """Ask and tell a few peers, every interval, for ever."""
        try:
            while True:
                await self._clock.sleep(self._interval())
                await self.run_round()
        finally:
            for task in list(self._asked.values()):
                task.cancel()

    def _interval(self) -> timedelta:
        has_updates = self.table.has_updates or self._departures.has_updates
        is_urgent = has_updates or self.seeks_versions()
        return UPDATE_INTERVAL if is_urgent else GOSSIP_INTERVAL

    async def run_round(self) -> None:
        """Ask a few random peers, and tell them what has changed.

        Waits for their answers, but not long for one that does not come: the others
        are met meanwhile.
        """
        self._update()
        free = [host_id for host_id in self._peers.ids if host_id not in self._asked]
        far_part = 1.0 if self.seeks_versions() else FAR_PART
        chosen = choose_asked(free, self.table, self._rng, far_part=far_part)
        if not chosen:
            return
        for host_id in chosen:
            task = asyncio.create_task(self._ask(host_id))
            self._asked[host_id] = task
            task.add_done_callback(lambda _, name=host_id: self._asked.pop(name))
        await asyncio.wait(
            [self._asked[host_id] for host_id in chosen],
            timeout=UPDATE_INTERVAL.total_seconds(),
        )

    def views(self) -> list[MemberView]:
        """Return what is known of all hosts."""
        return self.table.views(self._peers.ids, self._clock.monotonic())

    def newest_config(self) -> tuple[str, int]:
        """Return the host in reach with the highest configuration version."""
        return self.table.newest_config()

    def _update(self) -> None:
        self.table.update_own(
            config_version=self.config_version,
            leaving=self.leaving,
            versions_by_prefix=self.versions(),
        )
        self.table.expire(self._clock.monotonic())

    async def _ask(self, host_id: str) -> None:
        """Ask one peer; suspect it where it does not answer."""
        for _ in range(TRIES):
            try:
                reply = await self._peers.ask(host_id, self._hello())
            except PeerError as error:
                why = error
                continue
            if isinstance(reply, Hello):
                self._merge(reply)
            return
        if host_id in self._peers.ids and self.table.find(host_id) is not None:
            log_event("members", "Does not answer.", peer=host_id, why=why)
            self.table.suspect(host_id, self._clock.monotonic())

    def _hello(self, *, first: Sequence[MemberRow] = ()) -> Hello:
        """Return this host's row, changes to tell, and some rows of others.

        Args:
            first: Rows to be told in any case.
        """
        news = self.table.pop_updates(UPDATE_ROWS)
        fill = self.table.sample(max(0, FILL_ROWS - len(news)), self._rng)
        rows_by_id = {row.host_id: row for row in (*first, *news, *fill)}
        rows_by_id.pop(self.table.own.host_id, None)
        return Hello(
            rows=[self.table.own, *rows_by_id.values()],
            departures=self._departures.pop_updates(),
            known=self.table.count_reachable(),
        )

    async def _answer(self, message: Hello) -> Hello:
        self._merge(message)
        self._update()
        if self._should_tell_all(message):
            return self._hello(first=self.table.sample(MAX_ROWS, self._rng))
        # Whoever holds the asker for gone, or knows it from a past life, says so.
        asker = self.table.find(message.rows[0].host_id)
        return self._hello(first=() if asker is None else (asker,))

    def _should_tell_all(self, message: Hello) -> bool:
        """Return whether the asker knows few hosts, and its turn has come."""
        if 2 * message.known >= self.table.count_reachable():
            return False
        is_near = message.rows[0].failure_domain == self.table.own.failure_domain
        if not is_near and message.known > FEW:
            return False
        now = self._clock.monotonic()
        second = timedelta(seconds=1)
        self._full_answers_at = [
            at for at in self._full_answers_at if now - at < second
        ]
        if len(self._full_answers_at) >= FULL_ANSWERS:
            return False
        self._full_answers_at.append(now)
        return True

    def _merge(self, message: Hello) -> None:
        now = self._clock.monotonic()
        self.table.merge(message.rows, now)
        self.table.record_contact(message.rows[0].host_id, now)
        self._departures.merge(message.departures)


def choose_asked(
    host_ids: Sequence[str],
    table: MemberTable,
    rng: random.Random,
    *,
    far_part: float = FAR_PART,
) -> list[str]:
    """Choose whom to ask: among many mostly hosts of the own failure domain. Pure.

    Args:
        host_ids: The linked hosts.
        table: What is known of them.
        rng: Where the choice comes from.
    """
    near = [host_id for host_id in host_ids if _is_near(table, host_id)]
    far = [host_id for host_id in host_ids if not _is_near(table, host_id)]
    if table.count_reachable() < MANY or not near:
        near, far = list(host_ids), []
    chosen = rng.sample(near, min(FANOUT, len(near)))
    if far and rng.random() < far_part:
        chosen[-1] = rng.choice(far)
    return chosen


def _is_near(table: MemberTable, host_id: str) -> bool:
    row = table.find(host_id)
    return row is not None and row.failure_domain == table.own.failure_domain
