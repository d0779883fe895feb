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

    def record(self, endpoints: Iterable[Endpoint], *, now: timedelta) -> None:
        """Record the versions of the endpoints that are registered now.

        An endpoint whose entry was not read yet has no version that could be seen.
        """
        for endpoint in endpoints:
            if endpoint.has_entry:
                self._seen_at_by_version[endpoint.service, endpoint.software] = now
        self._seen_at_by_version = {
            version: seen_at
            for version, seen_at in self._seen_at_by_version.items()
            if now - seen_at <= RECORD_TTL
        }

    def list_versions(self, service: str) -> set[str]:
        """Return the versions of a service; an empty one for entries without any."""
        return {
            software for name, software in self._seen_at_by_version if name == service
        }
