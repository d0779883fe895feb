"""Lets repeats be a share of the requests, so that they can't pile up. Pure."""

from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import attrs

from passtally.clock import Clock

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

    In the window of time that ends with a repeat the repeats are at most a share of the
    requests in it, and a fixed number more. What a calm time earned can so be spent at
    once when endpoints are lost. A part of the fixed number is kept back for resumes,
    so that repeats of new requests can't use up what answers that have begun need.

    Args:
        share: How many repeats each request earns.
        extra: Returns how many more this host may make for one service.
        window: The window's length.
        clock: The clock.
        resume_part: The part of the extra ones that only resumes may use.
    """

    def __init__(
        self,
        *,
        share: float,
        extra: Callable[[], float],
        window: timedelta,
        clock: Clock,
        resume_part: float = 0.5,
    ) -> None:
        self._share = share
        self._extra = extra
        self._window = window
        self._clock = clock
        self._resume_part = resume_part
        self._recent_by_service: dict[str, _Recent] = {}

    def earn(self, workspace: str, *, service: str = "") -> None:
        """Count one request."""
        now = self._clock.monotonic()
        recent = self._recent(service, now)
        recent.requests.append(now)

    def try_spend(self, workspace: str, *, service: str = "") -> bool:
        """Take a repeat, unless only what is kept back is left."""
        return self._take(service, above=self._resume_part * self._extra())

    def try_resume(self, workspace: str, *, service: str = "") -> bool:
        """Take a resume from all that is left."""
        return self._take(service, above=0)

    def _take(self, service: str, *, above: float) -> bool:
        now = self._clock.monotonic()
        recent = self._recent(service, now)
        allowed = self._share * len(recent.requests) + self._extra()
        if allowed - len(recent.repeats) < 1 + above:
            return False
        recent.repeats.append(now)
        return True

    def _recent(self, service: str, now: timedelta) -> "_Recent":
        recent = self._recent_by_service.setdefault(service, _Recent())
        for times in (recent.requests, recent.repeats):
            while times and now - times[0] >= self._window:
                times.popleft()
        return recent


@attrs.define(kw_only=True)
class _Recent:
    """When the requests and repeats of the last window came."""

    requests: deque[timedelta] = attrs.field(factory=deque)
    repeats: deque[timedelta] = attrs.field(factory=deque)
