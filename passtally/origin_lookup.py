"""Finds where an answer began and ran that a caller takes up at this host.

The records of the hosts (:mod:`passtally.origin_exchange`) tell it. If those hosts are
lost, the backups in the store may tell (:mod:`passtally.backed_up_origins`). An answer
that none of them knows can only have begun at the version that its service has had all
along, if there is just one (:mod:`passtally.known_versions`).
"""

import asyncio
import contextlib
import itertools
from datetime import timedelta

import attrs

from passtally.backed_up_origins import BackedUpOrigins
from passtally.clock import Clock
from passtally.datagrams import Datagrams
from passtally.decision import log_event
from passtally.known_versions import KnownVersions
from passtally.messages import AskOrigin, OriginFound
from passtally.metrics import Metric, Metrics
from passtally.origin import KnownAnswer, Origin, OriginRule
from passtally.origin_keepers import OriginKeepers
from passtally.origin_question import OriginQuestion
from passtally.origin_rows import from_origin_row, origin_at
from passtally.origin_table import OriginRecord, OriginTable, origin_key, prompt_key
from passtally.settings import Address

#: Time after its start in which a host asks again before it refuses, and the interval:
#: it learns of the other hosts and of the endpoints within about a second.
SETTLE_TIME = timedelta(seconds=1.5)
SETTLE_POLL_INTERVAL = timedelta(milliseconds=50)
#: The same time for a host that has received no changes of endpoints since its start.
#: It begins to after 1.2 s at the earliest, if no other host of its domain does.
FIRST_CHANGES_TIMEOUT = timedelta(seconds=3)
#: Waits for answers to a question, after which it is asked again, and given up. A
#: round trip takes some milliseconds, between regions some ten.
ANSWER_WAITS = (timedelta(milliseconds=80), timedelta(milliseconds=160))


class UnknownOriginError(Exception):
    """No host in reach knows where an answer began, and several versions may serve."""


@attrs.frozen(kw_only=True)
class _TakeUp:
    """A request that takes an answer up.

    Attributes:
        key: The key of the answer's record.
        service: The service of the answer.
        first_id: The id of the try that brought the answer's first output; empty if
            the caller does not name it.
        request_id: The id of this try.
        holder_id: The endpoint that runs the answer, or ran it last, as far as this
            host knows; empty if unknown.
    """

    key: bytes
    service: str
    first_id: str
    request_id: str
    holder_id: str

    @property
    def log_fields(self) -> dict[str, str]:
        """The fields that identify the request in the log."""
        return {"request": self.request_id, "resumes": self.first_id}


class OriginLookup:
    """Finds the origins of answers that callers take up.

    Args:
        table: The records that this host was told; those found are added.
        keepers: Chooses the hosts that are asked.
        datagrams: The datagrams to and from other hosts.
        rule: Finds the version of an answer that this host began.
        versions: The versions of services.
        backups: The origins in the store.
        clock: The clock.
        metrics: The metrics sink.
    """

    def __init__(
        self,
        *,
        table: OriginTable,
        keepers: OriginKeepers,
        datagrams: Datagrams,
        rule: OriginRule,
        versions: KnownVersions,
        backups: BackedUpOrigins,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._table = table
        self._keepers = keepers
        self._datagrams = datagrams
        self._rule = rule
        self._versions = versions
        self._backups = backups
        self._clock = clock
        self._metrics = metrics
        self._started_at = clock.monotonic()
        self._questions_by_number: dict[int, OriginQuestion] = {}
        self._numbers = itertools.count(1)
        datagrams.listen(OriginFound, self._receive_found)

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
        record = self._find_record(key)
        take_up = _TakeUp(
            key=key,
            service=service,
            first_id=first_id,
            request_id=request_id,
            holder_id="" if record is None else record.holder_id,
        )
        if first_id and record is not None and record.origin is not None:
            known = KnownAnswer(origin=record.origin, holder_id=record.holder_id)
            age = self._clock.monotonic() - record.told_at
            return self._found(take_up, known, peer="", age=age)
        while True:
            # What is learned during this pass is used in the next one.
            may_learn_more = self._may_learn_more()
            question = await self._ask(take_up)
            known = self._find_told(take_up, question)
            if known is None:
                known = await self._find_untold(take_up, question)
            if known is not None:
                return known
            if not may_learn_more:
                self._log_unknown(take_up, question, source="unknown")
                asked = len(question.asked)
                raise UnknownOriginError(f"none of {asked} hosts asked knows it")
            await self._clock.sleep(SETTLE_POLL_INTERVAL)

    def _find_told(
        self, take_up: _TakeUp, question: OriginQuestion
    ) -> KnownAnswer | None:
        """Return the origin that other hosts reply, or None.

        A prompt does not tell the origin of its answer.
        """
        told = question.list_told() if take_up.first_id else []
        if not told:
            return None
        sender, found = told[0]
        known = KnownAnswer(
            origin=from_origin_row(found.row), holder_id=found.row.holder_id
        )
        self._record(take_up, known)
        age = timedelta(milliseconds=found.age_ms)
        return self._found(take_up, known, peer=sender, age=age)

    async def _find_untold(
        self, take_up: _TakeUp, question: OriginQuestion
    ) -> KnownAnswer | None:
        """Return the origin of an answer that no host in reach knows, or None.

        A host that has not seen the versions for as long as answers last relies on the
        records of versions, which may lack one that a backup names. It looks in the
        backups first.
        """
        if self._is_contradictory(take_up, question):
            return None
        known = None
        has_seen_long = self._versions.has_seen_long
        if not has_seen_long:
            known = await self._find_backup(take_up)
        if known is None:
            known = await self._find_sole(take_up, question)
        if known is None and has_seen_long:
            known = await self._find_backup(take_up)
        return known

    def _is_contradictory(self, take_up: _TakeUp, question: OriginQuestion) -> bool:
        """Return whether hosts were told different versions for the same id."""
        record = self._find_record(take_up.key)
        is_known_as_such = record is not None and record.origin is None
        return is_known_as_such or question.is_contradictory

    async def _find_backup(self, take_up: _TakeUp) -> KnownAnswer | None:
        """Return the origin of an answer in the backup of a host that is gone.

        A host that the store sends no changes does not wait for it: another host may
        reach the store. One that has just started does, as it can't receive any yet.
        """
        if not take_up.first_id:
            return None
        may_list = self._versions.is_current or (
            self._may_learn_more() and self._versions.has_several(take_up.service)
        )
        found = await self._backups.find(take_up.key, may_list=may_list)
        if found is None:
            return None
        host_id = found.backup.host_id
        if not found.software:
            log_event(
                "origin", "Several versions.", backup=host_id, **take_up.log_fields
            )
            return None
        known = KnownAnswer(origin=origin_at(found.software))
        self._record(take_up, known)
        age = self._clock.now() - found.backup.written_at
        return self._found(take_up, known, source="backup", backup=host_id, age=age)

    async def _find_sole(
        self, take_up: _TakeUp, question: OriginQuestion
    ) -> KnownAnswer | None:
        """Return the only version of a service as the origin; None if not the only."""
        sole = await self._versions.find_sole(take_up.service, question)
        if sole is None:
            return None
        self._log_unknown(take_up, question, source="sole", sole=sole)
        holder_id = take_up.holder_id or question.holder_id
        return KnownAnswer(origin=Origin(software=sole), holder_id=holder_id)

    def _may_learn_more(self) -> bool:
        """Return whether this host may not know all others and all endpoints yet."""
        age = self._clock.monotonic() - self._started_at
        if self._versions.has_been_current:
            return age < SETTLE_TIME
        return age < FIRST_CHANGES_TIMEOUT

    def _log_unknown(
        self,
        take_up: _TakeUp,
        question: OriginQuestion,
        *,
        source: str,
        sole: str | None = None,
    ) -> None:
        """Log and count that neither a host nor a backup knows an answer.

        Args:
            take_up: The request.
            question: The replies of other hosts.
            source: The label of the count.
            sole: The version that is used instead; None if there may be several.
        """
        self._metrics.count(Metric.TAKE_UPS, source)
        log_event(
            "origin",
            "Not known.",
            **take_up.log_fields,
            asked=[row.host_id for row in question.asked],
            answered=len(question.found_by_address),
            sole=sole,
            holder=take_up.holder_id or question.holder_id,
        )

    def _found(
        self,
        take_up: _TakeUp,
        known: KnownAnswer,
        *,
        source: str = "known",
        **details: object,
    ) -> KnownAnswer:
        """Log and count an origin that was found, and return it."""
        self._metrics.count(Metric.TAKE_UPS, source)
        log_event(
            "origin",
            "Found.",
            software=self._rule.software_of(known.origin),
            holder=known.holder_id,
            **details,
            **take_up.log_fields,
        )
        return known

    def _find_record(self, key: bytes) -> OriginRecord | None:
        return self._table.find(key, now=self._clock.monotonic())

    def _record(self, take_up: _TakeUp, known: KnownAnswer) -> None:
        now = self._clock.monotonic()
        self._table.put(take_up.key, known.origin, now=now, holder_id=known.holder_id)

    async def _ask(self, take_up: _TakeUp) -> OriginQuestion:
        """Ask other hosts, and return the question with the replies so far."""
        question = OriginQuestion(
            asked=self._keepers.list_asked(take_up.key),
            is_settled_by_one=bool(take_up.first_id),
        )
        if not question.asked:
            return question
        number = next(self._numbers)
        self._questions_by_number[number] = question
        message = AskOrigin(number=number, key=take_up.key, service=take_up.service)
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

    def _receive_found(self, message: OriginFound, sender: Address) -> None:
        question = self._questions_by_number.get(message.number)
        if question is not None:
            question.add(sender, message)
