"""Which versions of a service's endpoints get requests, where a new one is tried."""

from datetime import timedelta
from typing import Protocol

from passtally.objects import Endpoint


class Versions(Protocol):
    """Decides by version, and hears how each version answers."""

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get requests that are not counted."""

    def is_tried(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get requests that try a new version."""

    def acquire_trial(self, service: str) -> bool:
        """Count a new request, and return whether it is to try a new version."""

    def release(self, service: str) -> None:
        """Leave a trial to another request: no endpoint could take it."""

    def record_answer(
        self,
        endpoint: Endpoint,
        *,
        route: str,
        answers: int = 0,
        failures: int = 0,
        took: timedelta | None = None,
    ) -> None:
        """Hear how an endpoint answered.

        Args:
            endpoint: The endpoint.
            route: The route, or a measure of its answers.
            answers: How many more answers came, or should have.
            failures: How many more of them failed or did not come whole.
            took: How long it took.
        """


class AnyVersion:
    """Lets all versions have all requests."""

    def allows(self, endpoint: Endpoint) -> bool:
        """Return True."""
        return True

    def is_tried(self, endpoint: Endpoint) -> bool:
        """Return False."""
        return False

    def acquire_trial(self, service: str) -> bool:
        """Return False."""
        return False

    def release(self, service: str) -> None:
        """Do nothing."""

    def record_answer(
        self,
        endpoint: Endpoint,
        *,
        route: str,
        answers: int = 0,
        failures: int = 0,
        took: timedelta | None = None,
    ) -> None:
        """Do nothing."""
