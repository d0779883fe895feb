"""Gossip between entry hosts: failure detection and the spread of membership changes.

Each host probes a few of the hosts that it is linked to. A host that does not answer
after three tries is suspected. The suspicion spreads with later probes and replies, and
the suspected host refutes it once it receives it (the SWIM protocol, over the existing
links). There is no consensus: hosts may differ in their views.
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
from passtally.reported_exits import ReportedExits

#: Interval between rounds while there are no changes to send.
GOSSIP_INTERVAL = timedelta(seconds=1)
#: Interval between rounds while there are changes to send. A change reaches all of 195
#: hosts within 2 s.
UPDATE_INTERVAL = timedelta(milliseconds=300)
#: Number of peers probed in each round.
FANOUT = 2
#: Number of reachable hosts from which on a host mostly probes hosts of its own failure
#: domain, since traffic between failure domains is expensive.
DOMAIN_BIAS_MIN_HOSTS = 24
#: Share of rounds in which a host of another failure domain is probed. While there are
#: changes to send, a domain of 39 hosts sends 39 probes a second to other domains.
REMOTE_SHARE = 0.3
#: Number of tries of a probe before the peer is suspected. At 3% message loss one in
#: 5,000 probes ends in a false suspicion, and each suspicion is sent to all hosts.
MAX_TRIES = 3
#: Maximum number of changes in one message, about 2.5 KB.
UPDATE_ROWS = 30
#: Number of rows that a message is filled up to while there are few changes, with a
#: random sample of other hosts. They reach hosts that missed the changes.
FILL_ROWS = 3
#: Maximum number of rows sent to a host that knows few others, about 30 KB. It covers
#: all hosts of a fleet of the target size.
MAX_ROWS = 400
#: Maximum number of replies with all rows in a second. It bounds the traffic of the
#: seeds when all hosts of a fleet start at once; other hosts then send the rest.
FULL_REPLIES_PER_SECOND = 4
#: Number of known hosts up to which a host is sent all rows also by another failure
#: domain, since it may not know any host of its own domain yet.
FEW_HOSTS = 3


class DepartureUpdates(Protocol):
    """Updates about leaving endpoints, sent in the gossip messages."""

    @property
    def has_updates(self) -> bool:
        """Whether a departure was sent to only a few peers so far."""

    def pop_updates(self) -> list[DepartureRow]:
        """Return departures to send, and count them as sent."""

    def merge(self, rows: Sequence[DepartureRow]) -> None:
        """Merge departures received from a peer."""


class Gossip:
    """Probes peers and exchanges membership changes with them.

    Args:
        table: The membership table of the local host.
        peers: The links to other hosts.
        clock: The clock.
        rng: The random source for the choice of peers.
        departures: Updates about leaving endpoints, sent in the same messages.
        exits: Reports of endpoints that have exited, sent in the same messages.
    """

    def __init__(
        self,
        *,
        table: MemberTable,
        peers: Peers,
        clock: Clock,
        rng: random.Random,
        departures: DepartureUpdates,
        exits: ReportedExits | None = None,
    ) -> None:
        self.table = table
        self._departures = departures
        self._exits = exits or ReportedExits(clock=clock)
        self.config_version = 0
        self.leaving = False
        #: Returns the newest known version under each prefix, sent in the local row.
        self.versions: Callable[[], Mapping[str, int]] = dict
        #: Returns whether gossip is the only source of configuration changes, because
        #: the platform rejects all hosts of this failure domain. The host then uses the
        #: shorter interval and probes a host of another domain in each round, so that
        #: the versions of all 74 hosts are known in it within 2 s instead of 3.8 s.
        self.seeks_versions: Callable[[], bool] = lambda: False
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._full_replies_at: list[timedelta] = []
        #: The probes in flight, by peer.
        self._probes_by_id: dict[str, asyncio.Task[None]] = {}
        peers.on(Hello, self._answer)

    async def run(self) -> None:
        """Run gossip rounds until cancelled."""
        try:
            while True:
                await self._clock.sleep(self._interval())
                await self.run_round()
        finally:
            for task in list(self._probes_by_id.values()):
                task.cancel()

    def _interval(self) -> timedelta:
        has_updates = (
            self.table.has_updates
            or self._departures.has_updates
            or self._exits.has_updates
        )
        is_urgent = has_updates or self.seeks_versions()
        return UPDATE_INTERVAL if is_urgent else GOSSIP_INTERVAL

    async def run_round(self) -> None:
        """Probe a few random peers, and send them the pending changes.

        Waits for their replies for at most ``UPDATE_INTERVAL``. Probes of a peer that
        has not replied by then continue while later rounds probe other peers.
        """
        self._update()
        free = [
            host_id for host_id in self._peers.ids if host_id not in self._probes_by_id
        ]
        remote_share = 1.0 if self.seeks_versions() else REMOTE_SHARE
        chosen = choose_probed(free, self.table, self._rng, remote_share=remote_share)
        if not chosen:
            return
        for host_id in chosen:
            task = asyncio.create_task(self._probe(host_id))
            self._probes_by_id[host_id] = task
            task.add_done_callback(lambda _, name=host_id: self._probes_by_id.pop(name))
        await asyncio.wait(
            [self._probes_by_id[host_id] for host_id in chosen],
            timeout=UPDATE_INTERVAL.total_seconds(),
        )

    def views(self) -> list[MemberView]:
        """Return the status of all peers and all other known hosts."""
        return self.table.views(self._peers.ids, self._clock.monotonic())

    def newest_config(self) -> tuple[str, int]:
        """Return the reachable host with the highest configuration version."""
        return self.table.newest_config()

    def _update(self) -> None:
        self.table.update_own(
            config_version=self.config_version,
            leaving=self.leaving,
            versions_by_prefix=self.versions(),
        )
        self.table.expire(self._clock.monotonic())

    async def _probe(self, host_id: str) -> None:
        """Probe one peer, and suspect it if no try is answered."""
        for _ in range(MAX_TRIES):
            try:
                reply = await self._peers.ask(host_id, self._hello())
            except PeerError as error:
                why = error
                continue
            if isinstance(reply, Hello):
                self._merge(reply)
            return
        if host_id in self._peers.ids and self.table.find(host_id) is not None:
            log_event("members", "Peer does not answer.", peer=host_id, why=why)
            self.table.suspect(host_id, self._clock.monotonic())

    def _hello(self, *, extra_rows: Sequence[MemberRow] = ()) -> Hello:
        """Build a message of the local row, pending changes, and a few other rows.

        Args:
            extra_rows: Rows that are sent in any case.
        """
        updates = self.table.pop_updates(UPDATE_ROWS)
        fill = self.table.sample(max(0, FILL_ROWS - len(updates)), self._rng)
        rows_by_id = {row.host_id: row for row in (*extra_rows, *updates, *fill)}
        rows_by_id.pop(self.table.own.host_id, None)
        return Hello(
            rows=[self.table.own, *rows_by_id.values()],
            departures=self._departures.pop_updates(),
            known=self.table.count_reachable(),
            exits=self._exits.pop_updates(),
        )

    async def _answer(self, message: Hello) -> Hello:
        self._merge(message)
        self._update()
        if self._should_send_all(message):
            return self._hello(extra_rows=self.table.sample(MAX_ROWS, self._rng))
        # The reply includes the row that this host has of the requester, which can then
        # refute it if it is suspect, dead, or of an earlier run.
        requester = self.table.find(message.rows[0].host_id)
        return self._hello(extra_rows=() if requester is None else (requester,))

    def _should_send_all(self, message: Hello) -> bool:
        """Return whether to send all rows to a sender that knows few hosts.

        Returns False once the limit of such replies per second is reached.
        """
        if 2 * message.known >= self.table.count_reachable():
            return False
        is_local = message.rows[0].failure_domain == self.table.own.failure_domain
        if not is_local and message.known > FEW_HOSTS:
            return False
        now = self._clock.monotonic()
        second = timedelta(seconds=1)
        self._full_replies_at = [
            at for at in self._full_replies_at if now - at < second
        ]
        if len(self._full_replies_at) >= FULL_REPLIES_PER_SECOND:
            return False
        self._full_replies_at.append(now)
        return True

    def _merge(self, message: Hello) -> None:
        now = self._clock.monotonic()
        self.table.merge(message.rows, now)
        self.table.record_contact(message.rows[0].host_id, now)
        self._departures.merge(message.departures)
        self._exits.merge(message.exits)


def choose_probed(
    host_ids: Sequence[str],
    table: MemberTable,
    rng: random.Random,
    *,
    remote_share: float = REMOTE_SHARE,
) -> list[str]:
    """Choose the peers to probe, in a large fleet mostly of the local domain. Pure.

    Args:
        host_ids: The linked hosts to choose from.
        table: The membership table.
        rng: The random source.
        remote_share: Share of rounds in which a host of another domain is probed.
    """
    local = [host_id for host_id in host_ids if _is_in_local_domain(table, host_id)]
    remote = [
        host_id for host_id in host_ids if not _is_in_local_domain(table, host_id)
    ]
    if table.count_reachable() < DOMAIN_BIAS_MIN_HOSTS or not local:
        local, remote = list(host_ids), []
    chosen = rng.sample(local, min(FANOUT, len(local)))
    if remote and rng.random() < remote_share:
        chosen[-1] = rng.choice(remote)
    return chosen


def _is_in_local_domain(table: MemberTable, host_id: str) -> bool:
    row = table.find(host_id)
    return row is not None and row.failure_domain == table.own.failure_domain
