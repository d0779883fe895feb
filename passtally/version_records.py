"""The software versions of services, recorded in the store, which outlives the hosts.

Hosts that have all been restarted know the versions that serve now, but not those at
which answers began before. So each service whose answers can be taken up has a record
from the time on at which a host knows that no answer began at another version. Evidence
that is collected after the loss of all hosts is weak: what the store keeps then is the
same whether the version served all along or replaced another one meanwhile.
"""

import asyncio
import contextlib
from collections import defaultdict
from collections.abc import Callable, Hashable, Iterable
from datetime import timedelta
from typing import Protocol

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.object_store import PlatformError
from passtally.seen_versions import SeenVersions

#: Interval between checks whether the record of a service is up to date.
CHECK_INTERVAL = timedelta(seconds=1)
#: Time for which a caller waits for the record. A slow store takes 240 ms a call, and
#: without a record there are up to five.
LEARN_TIMEOUT = timedelta(milliseconds=1200)
#: Longest time without any host after which the only version is taken for the one that
#: served before: an endpoint that had run for longer when this host started ran while
#: there were hosts.
MAX_LOSS_TIME = timedelta(seconds=20)
#: Time after a host's start in which it looks back again if it may have missed changes;
#: later, this would cost calls after each gap.
LOOK_BACK_TIME = timedelta(seconds=5)
#: Time after a failed attempt in which no further one is made.
RETRY_INTERVAL = timedelta(seconds=1)
#: Longest pause between attempts to look back while the store does not answer, and the
#: pause between attempts to record an only version while it takes no writes.
MAX_RETRY_PAUSE = timedelta(seconds=8)


@attrs.frozen(kw_only=True)
class VersionRecord:
    """The record of a service.

    Attributes:
        versions: The versions at which answers may have begun.
        revision: The revision of the record in the store.
        is_current: Whether it was written since the store was last restored from an
            older copy. An earlier one may lack versions that were recorded after the
            copy was made.
    """

    versions: frozenset[str]
    revision: int
    is_current: bool = True


class VersionStore(Protocol):
    """The records of versions in the store. Each call may raise a PlatformError."""

    @property
    def lineage(self) -> Hashable:
        """What changes when the store moves, or is restored from an older copy."""

    async def find(self, service: str) -> VersionRecord | None:
        """Return the record of a service, or None where there is none."""

    async def create(self, service: str, versions: Iterable[str]) -> VersionRecord:
        """Create the record of a service, and return the record that now exists."""

    async def replace(
        self, service: str, versions: Iterable[str], *, revision: int
    ) -> None:
        """Replace the record of a service if it has exactly this revision."""

    async def list_past(self, service: str) -> frozenset[str]:
        """Return the versions of all endpoints that the store has ever held.

        Raises:
            PlatformError: The store no longer keeps its history from the beginning.
        """

    async def find_changed(self, service: str, *, after: int) -> frozenset[str]:
        """Return the versions in the entries of a service that changed since then.

        Args:
            service: The service.
            after: The store-wide version whose changes are known.
        """

    async def served_before(
        self, service: str, version: str, *, ago: timedelta
    ) -> bool:
        """Return whether a version served that long ago.

        A version that the whole history shows as the only one counts too.

        Args:
            service: The service.
            version: The version.
            ago: The time for which an endpoint of it has to have run.
        """


class VersionRecords:
    """The records of versions that this host wrote or read.

    A record holds the versions at which answers may have begun that can still be taken
    up. It is written once a service has two versions, or one that is known to be the
    only one, and again after each change.

    Args:
        store: The records in the store.
        seen: The versions that this host sees.
        clock: The clock.
        is_writer: Returns whether this host writes the records of what it sees.
        is_resumable: Returns whether answers of a service can be taken up.
        is_first_start: Returns whether the whole system starts for the first time, so
            that no answer is older than this host.
    """

    def __init__(
        self,
        *,
        store: VersionStore,
        seen: SeenVersions,
        clock: Clock,
        is_writer: Callable[[], bool],
        is_resumable: Callable[[str], bool] = lambda service: False,
        is_first_start: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_resumable = is_resumable
        self._is_first_start = is_first_start
        self._started_at = clock.monotonic()
        self._store = store
        self._seen = seen
        self._clock = clock
        self._is_writer = is_writer
        self._lineage = store.lineage
        #: The versions of the time before this host began to see them.
        self._past_by_service: dict[str, frozenset[str]] = {}
        #: What this host saw when it last brought a record up to date, and whether it
        #: had seen the service for as long as answers last.
        self._saved_by_service: dict[str, tuple[frozenset[str], bool]] = {}
        #: The last record that this host wrote or read. It is written again if the
        #: store is restored from a copy.
        self._recorded_by_service: dict[str, frozenset[str]] = {}
        #: When the store last took no record of a service's only version.
        self._refused_at_by_service: dict[str, timedelta] = {}
        #: The services whose past was looked up after this host's start.
        self._looked_back: set[str] = set()
        #: The services and versions that served before the hosts were lost.
        self._served_before: set[tuple[str, str]] = set()
        self._must_save = asyncio.Event()
        self._must_look_back = asyncio.Event()
        self._failed_at_by_service: dict[str, timedelta] = {}
        self._locks_by_service: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def run(self) -> None:
        """Keep the records up to date, and look back, until cancelled."""
        # A second version is recorded without a wait for a store that answers no reads.
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._keep_saved())
            tasks.create_task(self._keep_looking_back())

    def wake(self) -> None:
        """Bring the records up to date now, since a version has appeared."""
        self._must_save.set()
        self._must_look_back.set()

    async def _keep_saved(self) -> None:
        while True:
            self._must_save.clear()
            for service, versions in self._seen.versions_by_service().items():
                if self._may_write() or self._is_outdated(service, versions):
                    await self._save(service, versions)
            await _wait(self._must_save, CHECK_INTERVAL)

    async def _keep_looking_back(self) -> None:
        pause = CHECK_INTERVAL
        while True:
            self._must_look_back.clear()
            are_answered = [
                await self._look_back(service, versions)
                for service, versions in self._seen.versions_by_service().items()
                if self._looks_back(service)
            ]
            is_answered = all(are_answered)
            pause = CHECK_INTERVAL if is_answered else min(2 * pause, MAX_RETRY_PAUSE)
            await _wait(self._must_look_back, pause)

    def _may_write(self) -> bool:
        """Return whether this host writes; one that knows no others yet does not."""
        return self._age >= CHECK_INTERVAL and self._is_writer()

    def _looks_back(self, service: str) -> bool:
        """Return whether this host finds out at its start what served before it."""
        return self._is_resumable(service) and not self._is_first_start()

    @property
    def _age(self) -> timedelta:
        """The time since this host's start."""
        return self._clock.monotonic() - self._started_at

    @property
    def _has_seen_long(self) -> bool:
        """Whether this host has seen all versions for as long as answers last."""
        return self._seen.covers(self._clock.monotonic())

    async def _look_back(self, service: str, versions: frozenset[str]) -> bool:
        """Find out whether the only version of a service served before this host.

        Returns:
            Whether nothing is left to ask, since the store has answered or the host
            knows more by itself.
        """
        is_known = service in self._looked_back or len(versions) > 1
        if is_known or self._has_seen_long:
            return True
        try:
            record = await self._store.find(service)
            if record is not None and record.is_current:
                self._past_by_service[service] = record.versions
                self._recorded_by_service[service] = record.versions
                if record.versions == versions:
                    self._saved_by_service.setdefault(service, (versions, False))
            if record is None:
                await self._has_served_before(service, *versions)
        except PlatformError as error:
            log_event("versions", "No look back.", service=service, why=error)
            return False
        self._looked_back.add(service)
        return True

    def _is_outdated(self, service: str, versions: frozenset[str]) -> bool:
        """Return whether a record that this host read has a version that is gone.

        The hosts that saw the version go may be gone too.
        """
        past = self._past_by_service.get(service, versions)
        return past != versions and self._has_seen_long

    def find(self, service: str) -> frozenset[str] | None:
        """Return the versions that a service had in the past, or None if unknown."""
        self._check_lineage()
        return self._past_by_service.get(service)

    def forget_past(self) -> None:
        """Forget what was learned, since this host may have missed changes."""
        self._past_by_service.clear()
        if self._age <= LOOK_BACK_TIME:
            self._looked_back.clear()

    async def learn(self, service: str, versions: Iterable[str]) -> None:
        """Ask the store which versions a service had in the past, unless it is known.

        Args:
            service: The service.
            versions: The versions that it has now.
        """
        async with self._locks_by_service[service]:
            if self.find(service) is not None or self._has_just_failed(service):
                return
            past = await self._read_past(service, frozenset(versions))
            if past is None:
                self._failed_at_by_service[service] = self._clock.monotonic()
            else:
                self._past_by_service[service] = past
                log_event(
                    "versions", "Learned.", service=service, versions=sorted(past)
                )

    def _has_just_failed(self, service: str) -> bool:
        failed_at = self._failed_at_by_service.get(service)
        now = self._clock.monotonic()
        return failed_at is not None and now - failed_at < RETRY_INTERVAL

    async def _read_past(
        self, service: str, versions: frozenset[str]
    ) -> frozenset[str] | None:
        """Return the versions in a service's record, else in the store's history."""
        try:
            async with asyncio.timeout(LEARN_TIMEOUT.total_seconds()):
                try:
                    past = await self._read_record(service, versions)
                except PlatformError as error:
                    log_event("versions", "No record.", service=service, why=error)
                    past = None
                return past or await self._store.list_past(service)
        except (PlatformError, TimeoutError) as error:
            why = error or "no answer in time"
            log_event("versions", "No complete history.", service=service, why=why)
            return None

    async def _read_record(
        self, service: str, versions: frozenset[str]
    ) -> frozenset[str] | None:
        """Return the versions in a service's record, or None where it shows nothing.

        Hosts record a second version as soon as they see one. A missing record
        therefore shows that there was only one, if that version already served while
        hosts ran: it may have replaced another one while all of them were down.
        """
        record = await self._store.find(service)
        if record is not None:
            return record.versions if record.is_current else None
        for version in versions:
            if not await self._has_served_before(service, version):
                log_event(
                    "versions", "Came too recently.", service=service, version=version
                )
                return None
        return (await self._store.create(service, versions)).versions

    async def _has_served_before(self, service: str, version: str) -> bool:
        """Return whether a version served before the hosts were lost."""
        if (service, version) in self._served_before:
            return True
        ago = MAX_LOSS_TIME
        if self._looks_back(service):
            ago += self._age
        is_before = await self._store.served_before(service, version, ago=ago)
        if is_before:
            self._served_before.add((service, version))
        return is_before

    async def _save(self, service: str, versions: frozenset[str]) -> None:
        """Bring the record of a service up to date.

        The record is read again at each change: another host may have replaced it.
        """
        self._check_lineage()
        # A host that has not seen the service for long enough may not know all.
        is_whole = self._has_seen_long
        if self._saved_by_service.get(service) == (versions, is_whole):
            return
        if not self._must_record(service, versions):
            return
        known = self._recorded_by_service.get(service, frozenset())
        try:
            record = await self._store.create(service, versions | known)
            wanted = versions | record.versions
            if not record.is_current:
                wanted |= known
            if is_whole:
                wanted = versions
            if wanted != record.versions or not record.is_current:
                revision = record.revision
                await self._store.replace(service, wanted, revision=revision)
        except PlatformError as error:
            log_event("versions", "Not recorded.", service=service, why=error)
            self._refused_at_by_service[service] = self._clock.monotonic()
            return
        log_event("versions", "Recorded.", service=service, versions=sorted(wanted))
        self._refused_at_by_service.pop(service, None)
        self._recorded_by_service[service] = wanted
        self._saved_by_service[service] = versions, is_whole
        if is_whole:
            self._past_by_service.pop(service, None)

    def _must_record(self, service: str, versions: frozenset[str]) -> bool:
        """Return whether the versions that this host sees belong in a record.

        An only version is recorded if no answer that can be taken up began at another
        one: hosts which start later rely on the record.
        """
        if len(versions) > 1 or self._is_outdated(service, versions):
            return True
        if service in self._saved_by_service:
            return True
        if not self._is_resumable(service) or self._was_just_refused(service):
            return False
        return (
            service in self._recorded_by_service
            or self._is_first_start()
            or self._has_seen_long
            or all((service, version) in self._served_before for version in versions)
        )

    def _was_just_refused(self, service: str) -> bool:
        refused_at = self._refused_at_by_service.get(service)
        now = self._clock.monotonic()
        return refused_at is not None and now - refused_at < MAX_RETRY_PAUSE

    def _check_lineage(self) -> None:
        """Forget the records of a store that was replaced or restored since."""
        if self._lineage != self._store.lineage:
            self._lineage = self._store.lineage
            self.forget_past()
            self._saved_by_service.clear()


async def _wait(event: asyncio.Event, duration: timedelta) -> None:
    """Wait until an event is set, or for a time."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(duration.total_seconds()):
            await event.wait()
