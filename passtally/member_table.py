"""Who is there: what one host knows of the others. Pure.

A host counts as in reach until it was found not to answer, and did not contradict that
for a while. Only changes are spread: that a host came, is suspected, was found gone, or
says that it is there after all. So what each host sends and keeps does not grow with
the number of hosts, but for one row each, and no word has to be renewed in time.
"""

import math
import random
from collections.abc import Collection, Iterable, Mapping, Sequence
from datetime import timedelta
from enum import IntEnum

import attrs
import msgspec

from passtally.messages import MemberRow

#: A host that is suspected has so long to contradict it. Word reaches all of 1,000
#: hosts in 4 s, and its answer takes as long; cuts of a failure domain that the users
#: play last 5 to 6 s, after which nothing has to be undone.
SUSPECT_FOR = timedelta(seconds=12)
#: Rows of hosts that are gone are kept for so long, so that late word of them is known
#: to be old, and a failure domain that comes back is found.
FORGET_AFTER = timedelta(minutes=5)
#: Each change is told so many times by each host, times the logarithm of their number:
#: 16 times among 195.
SENDS_PER_LOG = 2


class MemberState(IntEnum):
    """What a row says of its host; of two rows of one counter the higher one counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@attrs.define(kw_only=True)
class _Known:
    """One host.

    Attributes:
        row: The newest row.
        last_contact_at: When the host itself, or a change, was heard of last.
        state_since: Since when it is in its state.
    """

    row: MemberRow
    last_contact_at: timedelta
    state_since: timedelta


@attrs.frozen(kw_only=True)
class MemberView:
    """What is known of one host.

    Attributes:
        id: Its name.
        failure_domain: Where it stands.
        config_version: The configuration version in force there, as last heard.
        leaving: Whether it is stopping.
        since_contact: How long ago it was heard of; None if never.
        alive: Whether it is in reach.
    """

    id: str
    failure_domain: str
    config_version: int
    leaving: bool
    since_contact: timedelta | None
    alive: bool


class MemberTable:
    """The newest row of each host, and the changes that are still to be told.

    Args:
        own: This host's first row.
        suspect_for: How long a host is suspected before it counts as gone.
    """

    def __init__(self, *, own: MemberRow, suspect_for: timedelta = SUSPECT_FOR) -> None:
        self.own = own
        #: Goes up whenever a host comes, goes, or changes its state.
        self.revision = 0
        self._suspect_for = suspect_for
        self._known_by_id: dict[str, _Known] = {}
        #: The hosts that are suspected or gone; few, so that looking at them is cheap.
        self._failing_ids: set[str] = set()
        #: How many times each change was told, by the host that it is about.
        self._told_by_id: dict[str, int] = {own.host_id: 0}

    def update_own(
        self,
        *,
        config_version: int,
        leaving: bool,
        versions_by_prefix: Mapping[str, int] | None = None,
    ) -> None:
        """Take in this host's own state; only what all must know is news.

        What it knows of the configuration is told along. As news it hid the words of
        hosts that come and go: where it changed every 400 ms, 74 hosts sent 12 KB a
        second each, and not 0.9, and an end was known to all after 14 s, and not 4.
        """
        own = self.own
        if leaving != own.leaving:
            counter = own.counter + 1
            own = msgspec.structs.replace(own, counter=counter, leaving=leaving)
            self._told_by_id[own.host_id] = 0
        self.own = msgspec.structs.replace(
            own,
            config_version=config_version,
            versions_by_prefix=dict(versions_by_prefix or {}),
        )

    def change_own(
        self,
        *,
        now: timedelta,
        host_id: str | None = None,
        failure_domain: str | None = None,
        address: str | None = None,
    ) -> None:
        """Take in where this host stands now, and what it is called.

        Under a name that it has no more it is told to be gone, so that the others need
        not find out that nobody answers to it.

        Args:
            now: The monotonic time.
            host_id: Its name; None where it stays. So with the others.
            failure_domain: Its failure domain.
            address: Where its peers reach it.
        """
        before = self.own
        own = msgspec.structs.replace(
            before,
            counter=before.counter + 1,
            host_id=before.host_id if host_id is None else host_id,
            failure_domain=(
                before.failure_domain if failure_domain is None else failure_domain
            ),
            address=before.address if address is None else address,
        )
        if own.host_id != before.host_id:
            known = self._known_by_id.pop(own.host_id, None)
            self._failing_ids.discard(own.host_id)
            if known is not None:
                counter = max(own.counter, known.row.counter + 1)
                own = msgspec.structs.replace(own, counter=counter)
            dead = msgspec.structs.replace(
                before, counter=before.counter + 1, state=MemberState.DEAD
            )
            self._put(dead, now)
        self.own = own
        self._told_by_id[own.host_id] = 0
        self.revision += 1

    def merge(self, rows: Iterable[MemberRow], now: timedelta) -> None:
        """Take in rows from a peer; older ones change nothing."""
        for row in rows:
            if row.host_id == self.own.host_id:
                self._refute(row)
            else:
                self._merge_other(row, now)

    def record_contact(self, host_id: str, now: timedelta) -> None:
        """Take in that a host itself was heard."""
        known = self._known_by_id.get(host_id)
        if known is not None:
            known.last_contact_at = now

    def suspect(self, host_id: str, now: timedelta) -> None:
        """Take in that a host did not answer."""
        known = self._known_by_id.get(host_id)
        if known is not None and known.row.state == MemberState.ALIVE:
            self._change(known.row, MemberState.SUSPECT, now)

    def expire(self, now: timedelta) -> None:
        """Give up hosts that were suspected for long, and forget those long gone."""
        for host_id in list(self._failing_ids):
            known = self._known_by_id[host_id]
            lasted = now - known.state_since
            if known.row.state == MemberState.SUSPECT and lasted >= self._suspect_for:
                self._change(known.row, MemberState.DEAD, now)
            elif known.row.state == MemberState.DEAD and lasted >= FORGET_AFTER:
                del self._known_by_id[host_id]
                self._failing_ids.discard(host_id)
                self._told_by_id.pop(host_id, None)
                self.revision += 1

    @property
    def has_updates(self) -> bool:
        """Whether changes are still to be told."""
        return bool(self._told_by_id)

    def pop_updates(self, most: int) -> list[MemberRow]:
        """Return changes to tell, those told least first, and count them as told.

        Args:
            most: How many at the most.
        """
        limit = SENDS_PER_LOG * math.ceil(math.log2(len(self._known_by_id) + 2))
        chosen = sorted(self._told_by_id, key=self._told_by_id.__getitem__)[:most]
        rows = [row for name in chosen if (row := self.find(name)) is not None]
        for name in chosen:
            self._told_by_id[name] += 1
            if self._told_by_id[name] >= limit:
                del self._told_by_id[name]
        return rows

    def sample(self, count: int, rng: random.Random) -> list[MemberRow]:
        """Return some rows of other hosts, taken at random."""
        known = list(self._known_by_id.values())
        return [item.row for item in rng.sample(known, min(count, len(known)))]

    def find(self, host_id: str) -> MemberRow | None:
        """Return the row of a host, or None."""
        if host_id == self.own.host_id:
            return self.own
        known = self._known_by_id.get(host_id)
        return known.row if known is not None else None

    def count_reachable(self) -> int:
        """Return how many other hosts are in reach."""
        return len(self._known_by_id) - len(self.dead())

    def reachable(self) -> list[MemberRow]:
        """Return the rows of the other hosts that are in reach."""
        rows = [known.row for known in self._known_by_id.values()]
        if not self._failing_ids:
            return rows
        return [row for row in rows if row.state != MemberState.DEAD]

    def dead(self) -> list[MemberRow]:
        """Return the rows of the hosts that were found gone not long ago."""
        rows = [self._known_by_id[host_id].row for host_id in self._failing_ids]
        return [row for row in rows if row.state == MemberState.DEAD]

    def views(self, names: Collection[str], now: timedelta) -> list[MemberView]:
        """Return what is known of the hosts named and of all others heard of."""
        everyone = sorted({*names, *self._known_by_id} - {self.own.host_id})
        return [self._view(name, now) for name in everyone]

    def newest_config(self) -> tuple[str, int]:
        """Return the host in reach with the highest configuration version."""
        best = ("", 0)
        for row in self.reachable():
            if row.config_version > best[1]:
                best = (row.host_id, row.config_version)
        return best

    def _merge_other(self, row: MemberRow, now: timedelta) -> None:
        known = self._known_by_id.get(row.host_id)
        if known is None:
            self._put(row, now)
        elif (row.counter, row.state) > (known.row.counter, known.row.state):
            is_sudden = (
                row.state == MemberState.DEAD
                and row.counter == known.row.counter
                and known.row.state == MemberState.ALIVE
            )
            if is_sudden:
                # It may be a host beyond a cut that has ended: let it contradict.
                row = msgspec.structs.replace(row, state=MemberState.SUSPECT)
            self._put(row, now)
        elif row.counter == known.row.counter:
            known.row = _with_newest_versions(known.row, row)

    def _put(self, row: MemberRow, now: timedelta) -> None:
        self._known_by_id[row.host_id] = _Known(
            row=row, last_contact_at=now, state_since=now
        )
        self._record_state(row)

    def _change(self, row: MemberRow, state: MemberState, now: timedelta) -> None:
        known = self._known_by_id[row.host_id]
        known.row = msgspec.structs.replace(row, state=state)
        known.state_since = now
        self._record_state(known.row)

    def _record_state(self, row: MemberRow) -> None:
        """Take in that a host has a new row, which is to be told."""
        if row.state == MemberState.ALIVE:
            self._failing_ids.discard(row.host_id)
        else:
            self._failing_ids.add(row.host_id)
        self._told_by_id[row.host_id] = 0
        self.revision += 1

    def _refute(self, row: MemberRow) -> None:
        """Outrun word of this host that is not its own: of a past life, or wrong."""
        is_other_life = row.counter > self.own.counter
        is_wrong = row.counter == self.own.counter and row.state != MemberState.ALIVE
        if is_other_life or is_wrong:
            self.own = msgspec.structs.replace(self.own, counter=row.counter + 1)
            self._told_by_id[self.own.host_id] = 0

    def _view(self, name: str, now: timedelta) -> MemberView:
        known = self._known_by_id.get(name)
        if known is None:
            return MemberView(
                id=name,
                failure_domain="",
                config_version=0,
                leaving=False,
                since_contact=None,
                alive=False,
            )
        return MemberView(
            id=name,
            failure_domain=known.row.failure_domain,
            config_version=known.row.config_version,
            leaving=known.row.leaving,
            since_contact=now - known.last_contact_at,
            alive=known.row.state != MemberState.DEAD,
        )


def _with_newest_versions(row: MemberRow, other: MemberRow) -> MemberRow:
    """Return a row with the higher of each version in two of one counter."""
    config_version = max(row.config_version, other.config_version)
    versions = dict(row.versions_by_prefix)
    for prefix, version in other.versions_by_prefix.items():
        versions[prefix] = max(version, versions.get(prefix, 0))
    if (config_version, versions) == (row.config_version, row.versions_by_prefix):
        return row
    return msgspec.structs.replace(
        row, config_version=config_version, versions_by_prefix=versions
    )


def pick_dead_hosts(rows: Sequence[MemberRow], alive: Sequence[MemberRow]) -> list:
    """Return one host that is gone for each failure domain without one in reach.

    They are asked now and then, so that the end of a long cut is seen.
    """
    domains = {row.failure_domain for row in alive}
    one_by_domain = {
        row.failure_domain: row
        for row in sorted(rows, key=lambda row: row.host_id)
        if row.failure_domain not in domains
    }
    return list(one_by_domain.values())
