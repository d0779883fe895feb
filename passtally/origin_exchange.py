"""Tells a few hosts where each answer began and runs, and answers their questions.

A caller whose answer broke off takes it up at any host, and names the try that brought
the first output. The host that began the answer may be dead by then, so it tells some
others, which every host can compute from that id (:mod:`passtally.origin_keepers`).
:mod:`passtally.origin_lookup` asks them. If these are lost too, the backups in the
store may tell (:mod:`passtally.origin_backup`).
"""

import contextlib
from collections.abc import Callable, Iterator
from datetime import timedelta

import attrs

from passtally.backed_up_origins import BackedUpOrigins
from passtally.clock import Clock
from passtally.datagrams import Datagrams
from passtally.generation import Generation
from passtally.known_versions import KnownVersions
from passtally.messages import (
    AskOrigin,
    OriginFound,
    OriginRow,
    TellOrigins,
)
from passtally.origin import Origin, OriginRule
from passtally.origin_backup import merge_software
from passtally.origin_keepers import OriginKeepers
from passtally.origin_question import address_of
from passtally.origin_rows import from_origin_row, origin_at, to_origin_row
from passtally.origin_table import OriginTable, origin_key, prompt_key
from passtally.prefix_finder import MAX_QUERIED
from passtally.running_answer import RunningAnswer
from passtally.service_index import ServiceIndex
from passtally.settings import Address

#: Interval between checks which records are due, and between looks at the versions that
#: serve.
CHECK_INTERVAL = timedelta(seconds=1)
#: Maximum number of records in one datagram, so that it fits into one packet.
MAX_ROWS = 30


@attrs.frozen(kw_only=True)
class _BegunAnswer:
    """What is kept of an answer after its end: not its request, which may be large."""

    key: bytes
    service: str
    origin: Origin

    @classmethod
    def of(cls, answer: RunningAnswer) -> "_BegunAnswer | None":
        """Return this of an answer, or None if it has not begun."""
        generation = answer.generation
        if generation.origin is None:
            return None
        service = generation.request.service
        return cls(key=answer.key, service=service, origin=generation.origin)


class OriginExchange:
    """The origins of answers, shared among the hosts.

    Args:
        keepers: Chooses the hosts that keep the record of an answer.
        datagrams: The datagrams to and from other hosts.
        catalog: The endpoints.
        rule: Finds the version of an answer that this host began.
        versions: The versions of services.
        backups: The origins in the store; those read are dropped when they expire.
        clock: The clock.

    Attributes:
        table: The records that this host was told.
    """

    def __init__(
        self,
        *,
        keepers: OriginKeepers,
        datagrams: Datagrams,
        catalog: ServiceIndex,
        rule: OriginRule,
        versions: KnownVersions,
        backups: BackedUpOrigins,
        clock: Clock,
    ) -> None:
        self.table = OriginTable()
        #: Called when an answer that runs here was told to others, at its first output.
        self.on_told: Callable[[], None] = lambda: None
        self._keepers = keepers
        self._datagrams = datagrams
        self._catalog = catalog
        self._rule = rule
        self._clock = clock
        self._versions = versions
        self._backups = backups
        self._running: set[RunningAnswer] = set()
        #: The answers that ended since the last call of :meth:`take_origins`.
        self._just_ended: list[_BegunAnswer] = []
        datagrams.listen(TellOrigins, self._store)
        datagrams.listen(AskOrigin, self._answer)

    async def run(self) -> None:
        """Renew the records of running answers until cancelled."""
        while True:
            self.renew()
            await self._clock.sleep(CHECK_INTERVAL)

    def renew(self) -> None:
        """Tell the records that are due, and look at the versions that serve."""
        now = self._clock.monotonic()
        self._versions.record()
        self._backups.expire()
        due = [answer for answer in self._running if answer.is_due(now)]
        rows_by_address: dict[Address, list[OriginRow]] = {}
        for answer in due:
            for row in self._record(answer):
                for address in self._list_keepers(row.key):
                    rows_by_address.setdefault(address, []).append(row)
        for address, rows in rows_by_address.items():
            for start in range(0, len(rows), MAX_ROWS):
                part = rows[start : start + MAX_ROWS]
                self._datagrams.send([address], TellOrigins(rows=part))

    @contextlib.contextmanager
    def running(
        self, generation: Generation, *, first_id: str
    ) -> Iterator[RunningAnswer]:
        """Keep the record of an answer alive while it runs here.

        Args:
            generation: The answer.
            first_id: The id of the try that brought its first output.
        """
        request = generation.request
        answer = RunningAnswer(
            key=origin_key(request.workspace, request.service, first_id),
            prompt_key=prompt_key(request.workspace, request.service, request.prompt)
            if self._is_large(request.service)
            else b"",
            generation=generation,
        )
        self._running.add(answer)
        try:
            yield answer
        finally:
            self._running.discard(answer)
            if (begun := _BegunAnswer.of(answer)) is not None:
                self._just_ended.append(begun)

    def tell(self, answer: RunningAnswer) -> None:
        """Tell the hosts that keep the record of an answer, without any wait."""
        for row in self._record(answer):
            self._datagrams.send(self._list_keepers(row.key), TellOrigins(rows=[row]))
        self.on_told()

    def take_origins(self) -> dict[bytes, str]:
        """Return the versions of the answers that ran here since the last call, by key.

        Only services are covered where several versions may have begun answers. The
        version is empty where answers of one key began at different ones.
        """
        begun = map(_BegunAnswer.of, self._running)
        answers = [*filter(None, begun), *self._just_ended]
        self._just_ended.clear()
        services = {answer.service for answer in answers}
        covered = {name for name in services if self._versions.has_several(name)}
        software_by_key: dict[bytes, str] = {}
        for answer in answers:
            software = self._rule.software_of(answer.origin)
            if software and answer.service in covered:
                known = software_by_key.get(answer.key)
                software_by_key[answer.key] = merge_software(known, software)
        return software_by_key

    def _record(self, answer: RunningAnswer) -> list[OriginRow]:
        """Record an answer here, and return the rows to tell; none before it begins."""
        origin = answer.generation.origin
        if origin is None:
            return []
        software = self._rule.software_of(origin)
        if software:
            origin = origin_at(software)
        holder_id = answer.holder_id
        rows = [to_origin_row(answer.key, origin, holder_id=holder_id)]
        if answer.prompt_key:
            rows.append(
                OriginRow(key=answer.prompt_key, software="", holder_id=holder_id)
            )
        for row in rows:
            self._put(row)
        answer.told_at = self._clock.monotonic()
        answer.told_holder_id = holder_id
        return rows

    def _is_large(self, service: str) -> bool:
        """Return whether a service has too many endpoints to ask all of them."""
        return len(self._catalog.endpoints_of(service)) > MAX_QUERIED

    def _list_keepers(self, key: bytes) -> list[Address]:
        keepers = self._keepers.list_keepers(key)
        return [address_of(keeper.address) for keeper in keepers]

    def _store(self, message: TellOrigins, sender: Address) -> None:
        for row in message.rows:
            self._put(row)

    def _put(self, row: OriginRow) -> None:
        now = self._clock.monotonic()
        self.table.put(row.key, from_origin_row(row), now=now, holder_id=row.holder_id)

    def _answer(self, message: AskOrigin, sender: Address) -> None:
        now = self._clock.monotonic()
        record = self.table.find(message.key, now=now)
        age = timedelta(0) if record is None else now - record.told_at
        row = None
        if record is not None and record.origin is not None:
            row = to_origin_row(message.key, record.origin, holder_id=record.holder_id)
        versions = self._versions.of_service(message.service)
        found = OriginFound(
            number=message.number,
            row=row,
            age_ms=round(age.total_seconds() * 1000),
            versions=sorted(versions.names),
            is_current=versions.is_current,
            is_complete=versions.is_complete,
        )
        self._datagrams.send([sender], found)
