"""Which versions of a service's endpoints get requests while a roll-out runs."""

from datetime import timedelta
from typing import Protocol

from passtally.objects import Endpoint


class Versions(Protocol):
    """Selects endpoints by version, and records how each version answers."""

    def allows(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get requests that are not trials."""

    def accepts_trials(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get trial requests of a new version."""

    def may_resume(self, endpoint: Endpoint) -> bool:
        """Return whether answers that an endpoint's version began may go on at it."""

    def acquire_trial(self, service: str) -> bool:
        """Count a new request, and return whether it is a trial of a new version."""

    def release(self, service: str) -> None:
        """Release a trial for which no endpoint was available to another request."""

    def record_answer(
        self,
        endpoint: Endpoint,
        *,
        route: str,
        answers: int = 0,
        failures: int = 0,
        took: timedelta | None = None,
    ) -> None:
        """Record how an endpoint answered.

        Args:
            endpoint: The endpoint.
            route: The route, or the name of a measure of its answers.
            answers: Number of additional answers, including those that failed to come.
            failures: Number of these that failed or were incomplete.
            took: Time that the answer took.
        """


class AllVersions:
    """Sends requests to all versions, without trials."""

    def allows(self, endpoint: Endpoint) -> bool:
        """Return True."""
        return True

    def accepts_trials(self, endpoint: Endpoint) -> bool:
        """Return False."""
        return False

    def may_resume(self, endpoint: Endpoint) -> bool:
        """Return True."""
        return True

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
