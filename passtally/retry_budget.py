"""Lets repeats be a share of the requests, so that they can't pile up. Pure."""

from collections.abc import Callable
from typing import Protocol

import attrs

SHARE = 0.1
MOST = 20.0


class Budgets(Protocol):
    """How many repeats are left."""

    def earn(self, workspace: str, *, service: str = "") -> None:
        """Count one request."""

    def try_spend(self, workspace: str, *, service: str = "") -> bool:
        """Take the repeat of one request, if there is one left."""

    def try_resume(self, workspace: str, *, service: str = "") -> bool:
        """Take the resume of an answer that has begun, if there is one left."""


@attrs.define(kw_only=True)
class RetryBudget:
    """The repeats that one workspace, service or failure domain may still make.

    Attributes:
        share: How many repeats each request earns.
        most: How many can be saved up.
        saved: How many may be spent now.
    """

    share: float = SHARE
    most: float = MOST
    saved: float = MOST

    def earn(self) -> None:
        """Count one request."""
        self.saved = min(self.most, self.saved + self.share)

    def has_one(self, *, above: float = 0) -> bool:
        """Return whether a repeat is left.

        Args:
            above: What is to be left besides.
        """
        return self.saved >= 1 + above

    def spend(self) -> None:
        """Take one repeat."""
        self.saved -= 1


class RetryBudgets:
    """The budgets of all workspaces, and one of the host's failure domain."""

    def __init__(self) -> None:
        self._domain = RetryBudget(most=10 * MOST, saved=10 * MOST)
        self._by_workspace: dict[str, RetryBudget] = {}

    def earn(self, workspace: str, *, service: str = "") -> None:
        """Count one request."""
        self._domain.earn()
        self._of(workspace).earn()

    def try_spend(self, workspace: str, *, service: str = "") -> bool:
        """Take one repeat, if both its workspace and the domain have one left."""
        own = self._of(workspace)
        if not (own.has_one() and self._domain.has_one()):
            return False
        own.spend()
        self._domain.spend()
        return True

    def try_resume(self, workspace: str, *, service: str = "") -> bool:
        """Allow it: the resume budget of each endpoint bounds resumes instead."""
        return True

    def _of(self, workspace: str) -> RetryBudget:
        return self._by_workspace.setdefault(workspace, RetryBudget())


class ServiceBudgets:
    """One host's part of a budget for each service that all hosts share.

    A part of what is saved up is kept back for resumes, so that repeats of new
    requests can't use up what answers that have begun need.

    Args:
        share: How many repeats each request earns.
        most: Returns how many this host may save up for one service now.
        resume_part: The part of it that only resumes may use.
    """

    def __init__(
        self, *, share: float, most: Callable[[], float], resume_part: float = 0.5
    ) -> None:
        self._share = share
        self._most = most
        self._resume_part = resume_part
        self._by_service: dict[str, RetryBudget] = {}

    def earn(self, workspace: str, *, service: str = "") -> None:
        """Count one request."""
        self._of(service).earn()

    def try_spend(self, workspace: str, *, service: str = "") -> bool:
        """Take a repeat, unless only what is kept back is left."""
        return self._take(service, above=self._resume_part * self._most())

    def try_resume(self, workspace: str, *, service: str = "") -> bool:
        """Take a resume from all that is left."""
        return self._take(service, above=0)

    def _take(self, service: str, *, above: float) -> bool:
        budget = self._of(service)
        if not budget.has_one(above=above):
            return False
        budget.spend()
        return True

    def _of(self, service: str) -> RetryBudget:
        most = self._most()
        budget = self._by_service.get(service)
        if budget is None:
            budget = RetryBudget(share=self._share, most=most, saved=most)
            self._by_service[service] = budget
        budget.most = most
        budget.saved = min(budget.saved, most)
        return budget
