"""Tells a few hosts where each answer began and runs, and asks them.

A caller whose answer broke off takes it up at any host, and names the try that brought
the first output. The host that began the answer may be dead by then, so it tells some
others, which every host can compute from that id (:mod:`passtally.origin_keepers`). If
these are lost too, the backups in the store may tell (:mod:`passtally.origin_backup`).
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterator
from datetime import timedelta

import attrs

from passtally.backed_up_origins import BackedUpOrigins
from passtally.clock import Clock
from passtally.datagrams import Datagrams
from passtally.decision import log_event
from passtally.generation import Generation
from passtally.known_versions import KnownVersions
from passtally.messages import (
    AskOrigin,
    OriginFound,
    OriginRow,
    TellOrigins,
)
from passtally.metrics import Metric, Metrics
from passtally.origin import KnownAnswer, Origin, OriginRule
from passtally.origin_backup import merge_software
from passtally.origin_keepers import OriginKeepers
from passtally.origin_question import OriginQuestion, address_of
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
#: Time after its start in which a host asks again before it refuses, and the interval:
#: it learns of the other hosts and of the endpoints within about a second.
SETTLE_TIME = timedelta(seconds=1.5)
SETTLE_POLL_INTERVAL = timedelta(milliseconds=50)
#: Waits for answers to a question, after which it is asked again, and given up. A
#: round trip takes some milliseconds, between regions some ten.
ANSWER_WAITS = (timedelta(milliseconds=80), timedelta(milliseconds=160))


def _ignore() -> None:
    """Do nothing."""


class UnknownOriginError(Exception):
    """No host in reach knows where an answer began, and several versions may serve."""


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
        backups: The origins in the store.
        clock: The clock.
        metrics: The metrics sink.
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
        metrics: Metrics,
    ) -> None:
        self.table = OriginTable()
        #: Called when an answer that runs here was told to others, at its first output.
        self.on_told: Callable[[], None] = _ignore
        self._keepers = keepers
        self._datagrams = datagrams
        self._catalog = catalog
        self._rule = rule
        self._clock = clock
        self._metrics = metrics
        self._started_at = clock.monotonic()
        self._versions = versions
        self._backups = backups
        self._running: set[RunningAnswer] = set()
        #: The answers that ended since the last call of :meth:`take_origins`.
        self._just_ended: list[_BegunAnswer] = []
        self._questions_by_number: dict[int, OriginQuestion] = {}
        self._numbers = itertools.count(1)
        datagrams.listen(TellOrigins, self._store)
        datagrams.listen(AskOrigin, self._answer)
        datagrams.listen(OriginFound, self._receive_found)

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

    async def find(
        self,
        *,
        workspace: str,
        service: str,
        first_id: str,
        request_id: str,
        prompt: str = "",
    ) -> KnownAnswer:
        """Return where an answer began and ran that a caller takes up here.

        Args:
            workspace: The caller's workspace.
            service: The service of the answer.
            first_id: The id of the try that brought its first output; empty if the
                caller does not name it.
            request_id: The id of this try, for the log.
            prompt: Identifies the prompt. Without the id of the first try it tells the
                endpoint that ran the answer, but not the origin: the same prompt may be
                answered at two versions.

        Raises:
            UnknownOriginError: No endpoint would be right but by a guess.
        """
        key = (
            origin_key(workspace, service, first_id)
            if first_id
            else prompt_key(workspace, service, prompt)
        )
        fields = {"request": request_id, "resumes": first_id}
        now = self._clock.monotonic()
        record = self.table.find(key, now=now)
        if first_id and record is not None and record.origin is not None:
            known = KnownAnswer(origin=record.origin, holder_id=record.holder_id)
            age = now - record.told_at
            return self._found(known, peer="", age=age, **fields)
        while True:
            question = await self._ask(key, service, is_settled_by_one=bool(first_id))
            for sender, found in question.list_told() if first_id else ():
                self._put(found.row)
                known = KnownAnswer(
                    origin=from_origin_row(found.row), holder_id=found.row.holder_id
                )
                age = timedelta(milliseconds=found.age_ms)
                return self._found(known, peer=sender, age=age, **fields)
            sole = None
            if not self._is_contradictory(key, question):
                # The record of versions may lack one that a backup names.
                is_young = not self._versions.has_seen_long
                known = await self._find_backup(key, **fields) if is_young else None
                if known is None:
                    sole = await self._versions.find_sole(service, question)
                if known is None and sole is None and not is_young:
                    known = await self._find_backup(key, **fields)
                if known is not None:
                    return known
            if sole is not None or not self._is_young():
                holder_id = "" if record is None else record.holder_id
                holder_id = holder_id or question.holder_id
                return self._use_sole(sole, question, holder_id=holder_id, **fields)
            await self._clock.sleep(SETTLE_POLL_INTERVAL)

    def _is_contradictory(self, key: bytes, question: OriginQuestion) -> bool:
        """Return whether hosts were told different versions for the same id."""
        record = self.table.find(key, now=self._clock.monotonic())
        is_known_as_such = record is not None and record.origin is None
        return is_known_as_such or question.is_contradictory

    async def _find_backup(self, key: bytes, **fields: object) -> KnownAnswer | None:
        """Return the origin of an answer in the backup of a host that is gone.

        A host that the store sends no changes does not wait for it: another host may
        reach the store.
        """
        if not fields["resumes"]:
            return None
        found = await self._backups.find(key, may_list=self._versions.is_current)
        if found is None:
            return None
        host_id = found.backup.host_id
        if not found.software:
            log_event("origin", "Several versions.", backup=host_id, **fields)
            return None
        known = KnownAnswer(origin=origin_at(found.software))
        self._put(to_origin_row(key, known.origin, holder_id=""))
        age = self._clock.now() - found.backup.written_at
        return self._found(known, source="backup", backup=host_id, age=age, **fields)

    def _is_young(self) -> bool:
        """Return whether this host may not know all others and all endpoints yet."""
        return self._clock.monotonic() - self._started_at < SETTLE_TIME

    def _use_sole(
        self,
        sole: str | None,
        question: OriginQuestion,
        *,
        holder_id: str,
        **fields: object,
    ) -> KnownAnswer:
        """Return the origin of an answer that nobody knows, by the only version.

        Raises:
            UnknownOriginError: There may be several versions.
        """
        asked = [row.host_id for row in question.asked]
        answered = len(question.found_by_address)
        log_event(
            "origin",
            "Not known.",
            **fields,
            asked=asked,
            answered=answered,
            sole=sole,
            holder=holder_id,
        )
        if sole is None:
            self._metrics.count(Metric.TAKE_UPS, "unknown")
            raise UnknownOriginError(f"none of {len(asked)} hosts asked knows it")
        self._metrics.count(Metric.TAKE_UPS, "sole")
        return KnownAnswer(origin=Origin(software=sole), holder_id=holder_id)

    def _found(
        self, known: KnownAnswer, *, source: str = "known", **fields: object
    ) -> KnownAnswer:
        self._metrics.count(Metric.TAKE_UPS, source)
        software = self._rule.software_of(known.origin)
        log_event(
            "origin", "Found.", software=software, holder=known.holder_id, **fields
        )
        return known

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

    async def _ask(
        self, key: bytes, service: str, *, is_settled_by_one: bool
    ) -> OriginQuestion:
        question = OriginQuestion(
            asked=self._keepers.list_asked(key), is_settled_by_one=is_settled_by_one
        )
        if not question.asked:
            return question
        number = next(self._numbers)
        self._questions_by_number[number] = question
        message = AskOrigin(number=number, key=key, service=service)
        try:
            for wait in ANSWER_WAITS:
                self._datagrams.send(question.unanswered, message)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait.total_seconds()):
                        await question.is_settled.wait()
                        break
        finally:
            del self._questions_by_number[number]
        return question

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

    def _receive_found(self, message: OriginFound, sender: Address) -> None:
        question = self._questions_by_number.get(message.number)
        if question is not None:
            question.add(sender, message)
