"""Tells a few hosts at which software version each answer began, and asks them.

A caller whose answer broke off takes it up at any host, and names the try that brought
the first output. The host that began the answer may be dead by then, so it tells some
others, which every host can compute from that id (:mod:`passtally.origin_keepers`).
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable, Iterator, Sequence
from datetime import timedelta
from functools import lru_cache

import attrs

from passtally.clock import Clock
from passtally.datagrams import Datagrams
from passtally.decision import log_event
from passtally.generation import Generation
from passtally.messages import (
    AskOrigin,
    MemberRow,
    OriginFound,
    OriginRow,
    TellOrigins,
)
from passtally.metrics import Metric, Metrics
from passtally.objects import EndpointStart
from passtally.origin import Origin, OriginRule
from passtally.origin_keepers import MemberSource, OriginKeepers
from passtally.origin_table import OriginTable, origin_key
from passtally.seen_versions import SeenVersions
from passtally.service_index import ServiceIndex
from passtally.settings import Address, parse_address

#: Interval between checks which records are due, and between looks at the versions that
#: serve.
CHECK_INTERVAL = timedelta(seconds=1)
#: Time after which the record of a running answer is renewed. Records that were lost,
#: or whose hosts have been replaced, are complete again after it.
RENEW_INTERVAL = timedelta(seconds=10)
#: Maximum number of records in one datagram, so that it fits into one packet.
MAX_ROWS = 30
#: Time after its start in which a host asks again before it refuses, and the interval:
#: it learns of the other hosts and of the endpoints within about a second.
SETTLE_TIME = timedelta(seconds=1.5)
SETTLE_POLL_INTERVAL = timedelta(milliseconds=50)
#: Minimum interval between two looks at the versions that serve, for other hosts.
SEEN_INTERVAL = timedelta(milliseconds=100)
#: Waits for answers to a question, after which it is asked again, and given up. A
#: round trip takes some milliseconds, between regions some ten.
ANSWER_WAITS = (timedelta(milliseconds=80), timedelta(milliseconds=160))

#: Number of addresses and of versions that are kept in parsed form.
MAX_CACHED_ADDRESSES = 2048
MAX_CACHED_VERSIONS = 256

_address_of = lru_cache(maxsize=MAX_CACHED_ADDRESSES)(parse_address)


class UnknownOriginError(Exception):
    """No host in reach knows where an answer began, and several versions may serve."""


@attrs.define(kw_only=True, eq=False)
class RunningAnswer:
    """An answer that this host runs.

    Attributes:
        key: Its key.
        generation: The answer.
        told_at: The monotonic time at which its record was last told; None before the
            first time.
    """

    key: bytes
    generation: Generation
    told_at: timedelta | None = None


@attrs.define(kw_only=True, eq=False)
class _Question:
    asked: Sequence[MemberRow]
    found_by_address: dict[Address, OriginFound] = attrs.field(factory=dict)
    is_settled: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, sender: Address, found: OriginFound) -> None:
        self.found_by_address[sender] = found
        if found.row is not None or len(self.found_by_address) >= len(self.asked):
            self.is_settled.set()

    def list_told(self) -> list[tuple[Address, OriginFound]]:
        """Return the answers that name an origin; none if they differ in it."""
        told = [
            (sender, found)
            for sender, found in self.found_by_address.items()
            if found.row is not None
        ]
        origins = [_origin_of(found.row) for _, found in told]
        agree = all(origins[0].agrees_with(other) for other in origins[1:])
        return told if agree else []

    @property
    def is_contradictory(self) -> bool:
        """Whether hosts were told different versions for the same id."""
        is_told = any(found.row is not None for found in self.found_by_address.values())
        return is_told and not self.list_told()

    @property
    def answered_domains(self) -> set[str]:
        """The failure domains of the hosts that answered."""
        return {
            row.failure_domain
            for row in self.asked
            if _address_of(row.address) in self.found_by_address
        }

    @property
    def unanswered(self) -> list[Address]:
        addresses = (_address_of(row.address) for row in self.asked)
        return [item for item in addresses if item not in self.found_by_address]


class OriginExchange:
    """The origins of answers, shared among the hosts.

    Args:
        members: The known hosts.
        datagrams: The datagrams to and from other hosts.
        catalog: The endpoints.
        rule: Finds the version of an answer that this host began.
        clock: The clock.
        metrics: The metrics sink.
        is_current: Returns whether this host receives all changes of endpoints.
        has_others: Returns whether there are, or have been, other hosts.
    """

    def __init__(
        self,
        *,
        members: MemberSource,
        datagrams: Datagrams,
        catalog: ServiceIndex,
        rule: OriginRule,
        clock: Clock,
        metrics: Metrics,
        is_current: Callable[[], bool],
        has_others: Callable[[], bool],
    ) -> None:
        self.table = OriginTable()
        self._members = members
        self._keepers = OriginKeepers(members=members)
        self._datagrams = datagrams
        self._catalog = catalog
        self._rule = rule
        self._clock = clock
        self._metrics = metrics
        self._is_current = is_current
        self._has_others = has_others
        self._started_at = clock.monotonic()
        self._seen = SeenVersions()
        self._seen_at = -SEEN_INTERVAL
        self._running: set[RunningAnswer] = set()
        self._questions_by_number: dict[int, _Question] = {}
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
        self._record_seen()
        due = [
            answer
            for answer in self._running
            if answer.told_at is not None and now - answer.told_at >= RENEW_INTERVAL
        ]
        rows_by_address: dict[Address, list[OriginRow]] = {}
        for answer in due:
            row = self._record(answer)
            if row is None:
                continue
            for keeper in self._keepers.list_keepers(answer.key):
                address = _address_of(keeper.address)
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
            generation=generation,
        )
        self._running.add(answer)
        try:
            yield answer
        finally:
            self._running.discard(answer)

    def tell(self, answer: RunningAnswer) -> None:
        """Tell the hosts that keep the record of an answer, without any wait."""
        row = self._record(answer)
        if row is not None:
            keepers = self._keepers.list_keepers(answer.key)
            addresses = [_address_of(keeper.address) for keeper in keepers]
            self._datagrams.send(addresses, TellOrigins(rows=[row]))

    async def find(
        self, *, workspace: str, service: str, first_id: str, request_id: str
    ) -> Origin:
        """Return the origin of an answer that a caller takes up here.

        Args:
            workspace: The caller's workspace.
            service: The service of the answer.
            first_id: The id of the try that brought its first output.
            request_id: The id of this try, for the log.

        Raises:
            UnknownOriginError: No endpoint would be right but by a guess.
        """
        key = origin_key(workspace, service, first_id)
        fields = {"request": request_id, "resumes": first_id}
        now = self._clock.monotonic()
        record = self.table.find(key, now=now)
        if record is not None and record.origin is not None:
            age = now - record.told_at
            return self._found(record.origin, peer="", age=age, **fields)
        while True:
            question = await self._ask(key, service)
            for sender, found in question.list_told():
                origin = _origin_of(found.row)
                self.table.put(key, origin, now=self._clock.monotonic())
                age = timedelta(milliseconds=found.age_ms)
                return self._found(origin, peer=sender, age=age, **fields)
            sole = self._find_sole(service, question)
            if sole is not None or not self._is_young():
                return self._use_sole(sole, question, **fields)
            await self._clock.sleep(SETTLE_POLL_INTERVAL)

    def _is_young(self) -> bool:
        """Return whether this host may not know all others and all endpoints yet."""
        return self._clock.monotonic() - self._started_at < SETTLE_TIME

    def _use_sole(
        self, sole: str | None, question: _Question, **fields: object
    ) -> Origin:
        """Return the origin of an answer that nobody knows, by the only version.

        Raises:
            UnknownOriginError: There may be several versions.
        """
        asked = [row.host_id for row in question.asked]
        answered = len(question.found_by_address)
        log_event(
            "origin", "Not known.", **fields, asked=asked, answered=answered, sole=sole
        )
        if sole is None:
            self._metrics.count(Metric.TAKE_UPS, "unknown")
            raise UnknownOriginError(f"none of {len(asked)} hosts asked knows it")
        self._metrics.count(Metric.TAKE_UPS, "sole")
        return Origin(software=sole)

    def _found(self, origin: Origin, **fields: object) -> Origin:
        self._metrics.count(Metric.TAKE_UPS, "known")
        software = self._rule.software_of(origin)
        log_event("origin", "Found.", software=software, **fields)
        return origin

    def _find_sole(self, service: str, question: _Question) -> str | None:
        """Return the only version that a service had of late, or None.

        A host or a domain that is cut off knows only what served before: others may
        serve a second version.
        """
        if question.is_contradictory:
            return None
        replies = question.found_by_address.values()
        domains = {self._members.own.failure_domain, *question.answered_domains}
        if not (
            self._is_current()
            or any(found.is_current for found in replies)
            or (replies and domains >= self._keepers.known_domains)
            or not self._has_others()
        ):
            return None
        self._record_seen()
        versions = self._seen.list_versions(service)
        versions.update(*(found.versions for found in replies))
        return versions.pop() if len(versions) == 1 else None

    def _record(self, answer: RunningAnswer) -> OriginRow | None:
        """Record an answer here, and return the row to tell; None before it begins."""
        origin = answer.generation.origin
        if origin is None:
            return None
        software = self._rule.software_of(origin)
        if software:
            origin = _origin_at(software)
        now = self._clock.monotonic()
        self.table.put(answer.key, origin, now=now)
        answer.told_at = now
        return _row_of(answer.key, origin)

    def _record_seen(self) -> None:
        self._seen_at = self._clock.monotonic()
        endpoints = self._catalog.endpoints_by_id.values()
        self._seen.record(endpoints, now=self._seen_at)

    async def _ask(self, key: bytes, service: str) -> _Question:
        question = _Question(asked=self._keepers.list_asked(key))
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
        now = self._clock.monotonic()
        for row in message.rows:
            self.table.put(row.key, _origin_of(row), now=now)

    def _answer(self, message: AskOrigin, sender: Address) -> None:
        now = self._clock.monotonic()
        record = self.table.find(message.key, now=now)
        age = timedelta(0) if record is None else now - record.told_at
        origin = None if record is None else record.origin
        if now - self._seen_at >= SEEN_INTERVAL:
            self._record_seen()
        found = OriginFound(
            number=message.number,
            row=None if origin is None else _row_of(message.key, origin),
            age_ms=round(age.total_seconds() * 1000),
            versions=sorted(self._seen.list_versions(message.service)),
            is_current=self._is_current(),
        )
        self._datagrams.send([sender], found)

    def _receive_found(self, message: OriginFound, sender: Address) -> None:
        question = self._questions_by_number.get(message.number)
        if question is not None:
            question.add(sender, message)


@lru_cache(maxsize=MAX_CACHED_VERSIONS)
def _origin_at(software: str) -> Origin:
    """Return the origin of answers at a version, one object for all their records."""
    return Origin(software=software)


def _row_of(key: bytes, origin: Origin) -> OriginRow:
    start = origin.start
    if origin.software or start is None:
        return OriginRow(key=key, software=origin.software)
    return OriginRow(
        key=key,
        software="",
        endpoint_id=start.endpoint_id,
        incarnation=start.incarnation,
    )


def _origin_of(row: OriginRow) -> Origin:
    if not row.endpoint_id:
        return _origin_at(row.software)
    start = EndpointStart(endpoint_id=row.endpoint_id, incarnation=row.incarnation)
    return Origin(software=row.software, start=start)
