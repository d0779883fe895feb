"""The software versions that a service's endpoints had, for as long as answers last."""

from collections.abc import Iterable
from datetime import timedelta

from passtally.objects import Endpoint
from passtally.origin_table import RECORD_TTL


class SeenVersions:
    """The software versions that this host saw in the entries of endpoints. Pure.

    An answer may have begun at a version whose endpoints are all gone.
    """

    def __init__(self) -> None:
        self._seen_at_by_version: dict[tuple[str, str], timedelta] = {}
        self._is_current = False
        #: The time from which on this host has received all changes of endpoints.
        self._complete_since: timedelta | None = None

    def record(
        self, endpoints: Iterable[Endpoint], *, now: timedelta, is_current: bool = True
    ) -> bool:
        """Record the versions of the endpoints that are registered now.

        An endpoint whose entry was not read yet has no version that could be seen.

        Args:
            endpoints: The endpoints.
            now: The monotonic time.
            is_current: Whether this host receives all changes of endpoints.

        Returns:
            Whether this host may have missed changes before this moment: it receives
            them again, or for the first time.
        """
        for endpoint in endpoints:
            if endpoint.has_entry:
                self._seen_at_by_version[endpoint.service, endpoint.software] = now
        self._seen_at_by_version = {
            version: seen_at
            for version, seen_at in self._seen_at_by_version.items()
            if now - seen_at <= RECORD_TTL
        }
        has_missed = is_current and not self._is_current
        self._is_current = is_current
        if has_missed:
            self._complete_since = now
        return has_missed

    @property
    def has_been_current(self) -> bool:
        """Whether this host has received changes of endpoints at any time."""
        return self._complete_since is not None

    def covers(self, now: timedelta) -> bool:
        """Return whether each answer that may be taken up ran at a version seen here.

        A host that is younger than an answer can't know the version that began it by
        what it has seen itself.
        """
        since = self._complete_since
        return since is not None and now - since >= RECORD_TTL

    def list_versions(self, service: str) -> set[str]:
        """Return the versions of a service; an empty one for entries without any."""
        return {
            software for name, software in self._seen_at_by_version if name == service
        }

    def versions_by_service(self) -> dict[str, frozenset[str]]:
        """Return the versions of all services."""
        names = {service for service, _ in self._seen_at_by_version}
        return {name: frozenset(self.list_versions(name)) for name in sorted(names)}
