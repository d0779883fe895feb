"""What the hosts know of the software versions that services have and had."""

from collections.abc import Awaitable, Callable, Collection
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.object_store import PlatformError
from passtally.origin_keepers import OriginKeepers
from passtally.origin_question import OriginQuestion
from passtally.seen_versions import SeenVersions
from passtally.service_index import ServiceIndex
from passtally.version_records import VersionRecords

#: Minimum interval between two looks at the versions that serve, for other hosts.
SEEN_INTERVAL = timedelta(milliseconds=100)


@attrs.frozen(kw_only=True)
class ServiceVersions:
    """What one host knows of the versions of a service.

    Attributes:
        names: The versions that it saw of late, and those of the time before its start
            as far as it knows them.
        is_current: Whether it receives all changes of endpoints.
        is_complete: Whether these are all versions at which answers began that may
            still be taken up.
    """

    names: Collection[str]
    is_current: bool
    is_complete: bool


class KnownVersions:
    """The versions that this host knows, with what other hosts reply.

    Args:
        catalog: The endpoints.
        seen: The versions that this host sees.
        records: The versions of the time before that.
        clock: The clock.
        is_current: Returns whether this host receives all changes of endpoints.
        find_changed: Asks the store for the versions of a service in the changes that
            this host has not received; may raise a PlatformError.
        has_others: Returns whether there are, or have been, other hosts.
        keepers: The hosts that keep records of answers.
    """

    def __init__(
        self,
        *,
        catalog: ServiceIndex,
        seen: SeenVersions,
        records: VersionRecords,
        clock: Clock,
        is_current: Callable[[], bool],
        find_changed: Callable[[str], Awaitable[frozenset[str]]],
        has_others: Callable[[], bool],
        keepers: OriginKeepers,
    ) -> None:
        self._catalog = catalog
        self._seen = seen
        self._records = records
        self._clock = clock
        self._is_current = is_current
        self._find_changed = find_changed
        self._has_others = has_others
        self._keepers = keepers
        self._seen_at = -SEEN_INTERVAL

    @property
    def is_current(self) -> bool:
        """Whether this host receives all changes of endpoints from the store."""
        return self._is_current()

    @property
    def has_been_current(self) -> bool:
        """Whether this host has received changes of endpoints since its start."""
        return self._seen.has_been_current

    @property
    def has_seen_long(self) -> bool:
        """Whether this host has seen all versions for as long as answers last."""
        return self._seen.covers(self._clock.monotonic())

    def record(self) -> None:
        """Look at the versions that serve now."""
        self._seen_at = self._clock.monotonic()
        has_missed = self._seen.record(
            self._catalog.endpoints_by_id.values(),
            now=self._seen_at,
            is_current=self._is_current(),
        )
        if has_missed:
            self._records.forget_past()

    def of_service(self, service: str) -> ServiceVersions:
        """Return what this host knows of a service."""
        if self._clock.monotonic() - self._seen_at >= SEEN_INTERVAL:
            self.record()
        return self._own(service)

    def has_several(self, service: str) -> bool:
        """Return whether answers of a service may have begun at several versions."""
        return len(self.of_service(service).names) > 1

    async def find_sole(self, service: str, question: OriginQuestion) -> str | None:
        """Return the only version at which an answer can have begun, or None.

        That one version serves now does not show it: the answer may be older than the
        hosts, and its version gone.

        Args:
            service: The service of the answer.
            question: The replies of other hosts.
        """
        changed = await self._find_missed(service, question)
        if changed is None:
            return None
        known = self._with_replies(service, question, changed)
        if len(known.names) == 1 and not known.is_complete:
            await self._records.learn(service, known.names)
            known = self._with_replies(service, question, changed)
        if len(known.names) != 1 or not known.is_complete:
            return None
        return next(iter(known.names))

    async def _find_missed(
        self, service: str, question: OriginQuestion
    ) -> frozenset[str] | None:
        """Return the versions that this host may have missed, or None if unknown.

        A host or a domain that is cut off, or stood still, knows only what served
        before: others may serve a second version. It takes itself for current until its
        watch times out. So other hosts of each domain have to reply, or the store to a
        call that is made now.
        """
        replies = question.found_by_address.values()
        domains = {self._keepers.own_domain, *question.answered_domains}
        if replies and domains >= self._keepers.known_domains:
            return frozenset()
        if not self._has_others():
            return frozenset()
        try:
            return await self._find_changed(service)
        except PlatformError as error:
            log_event("versions", "Not confirmed.", service=service, why=error)
            return None

    def _with_replies(
        self, service: str, question: OriginQuestion, changed: frozenset[str]
    ) -> ServiceVersions:
        """Return what this host, those that replied and the store know of a service.

        A host that does not receive changes now may lack those of late; it counts as
        complete only if nobody receives them.
        """
        self.record()
        own = self._own(service)
        replies = question.found_by_address.values()
        known = [own, *replies]
        current = [item for item in known if item.is_current]
        return ServiceVersions(
            names=changed.union(own.names, *(found.versions for found in replies)),
            is_current=bool(current),
            is_complete=any(item.is_complete for item in current or known),
        )

    def _own(self, service: str) -> ServiceVersions:
        is_covered = self._seen.covers(self._clock.monotonic())
        past = None if is_covered else self._records.find(service)
        return ServiceVersions(
            names=self._seen.list_versions(service) | (past or frozenset()),
            is_current=self._is_current(),
            is_complete=is_covered or past is not None,
        )
