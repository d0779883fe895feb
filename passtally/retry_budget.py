"""Retry budgets: bound retries to a share of the requests. Pure.

The bound keeps retries from multiplying the load while endpoints fail.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

import attrs

from passtally.clock import Clock

#: Retries that each request earns.
SHARE = 0.1
#: Maximum number of retries that a workspace can accumulate.
MAX_SAVED = 20.0
#: First and maximum delay between attempts to get a retry while none is available.
#: Each attempt may ask four hosts; callers notice a pause of 700 ms, and may wait for
#: many seconds.
FIRST_CHECK_DELAY = timedelta(milliseconds=200)
MAX_CHECK_DELAY = timedelta(seconds=1)
#: Tolerance, in retries, for rounding errors in the sum of borrowed fractions.
ROUNDING_ERROR = 1e-9


class Budgets(Protocol):
    """A budget from which requests take retries and resumes."""

    def earn(self, workspace: str, *, service: str = "") -> None:
        """Count one request towards the budget."""

    def try_spend(self, workspace: str, *, service: str = "") -> bool:
        """Take one retry of a new request, if the budget has one left."""

    def try_resume(self, workspace: str, *, service: str = "") -> bool:
        """Take one resume of an answer that has begun, if the budget has one left."""

    def release(self, *, service: str) -> None:
        """Return a retry or a resume that was taken but not used."""

    async def borrow(self, *, service: str, is_resume: bool) -> bool:
        """Take one retry or resume, borrowing what is missing from other hosts."""


async def acquire_retry(
    budgets: Budgets, workspace: str, *, service: str, is_resume: bool
) -> bool:
    """Take a retry or a resume from the local budget, or borrow from other hosts.

    Args:
        budgets: The local budget.
        workspace: The workspace that sent the request.
        service: The service.
        is_resume: Whether the request's answer has begun.
    """
    take = budgets.try_resume if is_resume else budgets.try_spend
    if take(workspace, service=service):
        return True
    return await budgets.borrow(service=service, is_resume=is_resume)


async def wait_for_retry(
    take: Callable[[], Awaitable[bool]],
    *,
    clock: Clock,
    until: timedelta | None = None,
) -> bool:
    """Take a retry, and while none is available try again with exponential back-off.

    Args:
        take: Takes a retry if one is available, and returns whether it did.
        clock: The clock.
        until: The deadline, on the monotonic clock; None for no deadline.

    Returns:
        Whether a retry was taken before the deadline.
    """
    delay = FIRST_CHECK_DELAY
    while not await take():
        if until is not None:
            remaining = until - clock.monotonic()
            if remaining <= timedelta(0):
                return False
            delay = min(delay, remaining)
        await clock.sleep(delay)
        delay = min(2 * delay, MAX_CHECK_DELAY)
    return True


@attrs.define(kw_only=True)
class RetryBudget:
    """The retries that one workspace or failure domain may still make.

    Attributes:
        share: The retries that each request earns.
        max_saved: The maximum number of retries that can accumulate.
        saved: The number of retries that may be spent now.
    """

    share: float = SHARE
    max_saved: float = MAX_SAVED
    saved: float = MAX_SAVED

    def earn(self) -> None:
        """Add what one request earns."""
        self.saved = min(self.max_saved, self.saved + self.share)

    def has_saved_retry(self, *, above: float = 0) -> bool:
        """Return whether a retry is left.

        Args:
            above: The number of retries that must remain besides.
        """
        return self.saved >= 1 + above

    def spend(self) -> None:
        """Take one retry."""
        self.saved -= 1


class RetryBudgets:
    """The budgets of each workspace and of the host's failure domain."""

    def __init__(self) -> None:
        self._domain = RetryBudget(max_saved=10 * MAX_SAVED, saved=10 * MAX_SAVED)
        self._by_workspace: dict[str, RetryBudget] = {}

    def earn(self, workspace: str, *, service: str = "") -> None:
        """Count one request towards the budget."""
        self._domain.earn()
        self._budget_of(workspace).earn()

    def try_spend(self, workspace: str, *, service: str = "") -> bool:
        """Take one retry, if both its workspace and the domain have one left."""
        workspace_budget = self._budget_of(workspace)
        if not (workspace_budget.has_saved_retry() and self._domain.has_saved_retry()):
            return False
        workspace_budget.spend()
        self._domain.spend()
        return True

    def try_resume(self, workspace: str, *, service: str = "") -> bool:
        """Allow any resume: the resume budget of each endpoint bounds them instead."""
        return True

    def release(self, *, service: str) -> None:
        """Do nothing: only resumes are taken in advance, and they are not counted."""

    async def borrow(self, *, service: str, is_resume: bool) -> bool:
        """Return False: this budget is not shared with other hosts."""
        return False

    def _budget_of(self, workspace: str) -> RetryBudget:
        return self._by_workspace.setdefault(workspace, RetryBudget())


Lend = Callable[[str, float], Awaitable[float]]


async def lend_nothing(service: str, amount: float) -> float:
    """Lend nothing, for a host that has no other hosts to ask."""
    return 0.0


class ServiceBudgets:
    """One host's part of the retry budgets, one per service, that all hosts share.

    In the sliding window that ends with a retry, the retries number at most a share of
    the requests in the window, plus a fixed number of extra retries. What requests
    earned before endpoints are lost can thus be spent at once when they are. A part of
    the extra retries is reserved for resumes, so that retries of new requests can't use
    up what answers that have begun need.

    Among hundreds of hosts each gets only a request or two per window, and less than
    one of the extra retries. A host may therefore borrow what other hosts have left.
    The lender counts it as used, so that all hosts together stay within the budget.

    Args:
        share: The retries that each request earns.
        extra: Returns the number of extra retries of this host for one service.
        window: The length of the window.
        clock: The clock.
        resume_share: The part of the extra retries that is reserved for resumes, 0 to
            1.
        warm_up: The time after its start in which this host has only a part of its
            extra retries, as it does not know yet how many hosts share them.
        ask_others: Asks other hosts for retries of a service, and returns the number
            that they lent, which may be a fraction.
    """

    def __init__(
        self,
        *,
        share: float,
        extra: Callable[[], float],
        window: timedelta,
        clock: Clock,
        resume_share: float = 0.5,
        warm_up: timedelta = timedelta(0),
        ask_others: Lend = lend_nothing,
    ) -> None:
        self.share = share
        self._extra = extra
        self.window = window
        self._clock = clock
        self._resume_part = resume_share
        self._warm_up = warm_up
        self._ask_others = ask_others
        self._started_at = clock.monotonic()
        self._recent_by_service: dict[str, _Recent] = {}

    def earn(self, workspace: str, *, service: str = "") -> None:
        """Count one request towards the budget."""
        now = self._clock.monotonic()
        self._recent(service, now).requests.append(now)

    def try_spend(self, workspace: str, *, service: str = "") -> bool:
        """Take one retry, unless only what is reserved for resumes is left."""
        return self._acquire(service, above=self._reserved_for_resumes())

    def try_resume(self, workspace: str, *, service: str = "") -> bool:
        """Take one resume; it may use the reserved part too."""
        return self._acquire(service, above=0)

    def release(self, *, service: str) -> None:
        """Return a retry or a resume that was taken but not used."""
        recent = self._recent(service, self._clock.monotonic())
        if recent.retries:
            recent.retries.pop()

    async def borrow(self, *, service: str, is_resume: bool) -> bool:
        """Take one retry or resume, borrowing what is missing from other hosts."""
        above = 0.0 if is_resume else self._reserved_for_resumes()
        missing = 1 + above - self._available(service)
        lent = await self._ask_others(service, missing) if missing > 0 else 0.0
        now = self._clock.monotonic()
        self._recent(service, now).borrowed.append((now, lent))
        return self._acquire(service, above=above)

    def lend(self, service: str, amount: float) -> float:
        """Lend another host a part of what is left, and count it as used.

        Args:
            service: The service.
            amount: The number of retries that it lacks, which may be a fraction.

        Returns:
            The number of retries that it may use within the window.
        """
        lent = max(0.0, min(amount, self._available(service)))
        now = self._clock.monotonic()
        self._recent(service, now).lent.append((now, lent))
        return lent

    def _reserved_for_resumes(self) -> float:
        return self._resume_part * self._extra_now()

    def _extra_now(self) -> float:
        """Return the current extra retries of this host, which grow during warm-up.

        They grow with the square of the time: gossip about the first other hosts
        arrives early, but about the last ones late.
        """
        running = self._clock.monotonic() - self._started_at
        part = 1.0 if running >= self._warm_up else (running / self._warm_up) ** 2
        return part * self._extra()

    def _available(self, service: str) -> float:
        recent = self._recent(service, self._clock.monotonic())
        allowed = self.share * len(recent.requests) + self._extra_now()
        borrowed = sum(amount for _, amount in recent.borrowed)
        lent = sum(amount for _, amount in recent.lent)
        return allowed + borrowed - lent - len(recent.retries)

    def _acquire(self, service: str, *, above: float) -> bool:
        if self._available(service) < 1 + above - ROUNDING_ERROR:
            return False
        now = self._clock.monotonic()
        self._recent(service, now).retries.append(now)
        return True

    def _recent(self, service: str, now: timedelta) -> "_Recent":
        recent = self._recent_by_service.setdefault(service, _Recent())
        for times in (recent.requests, recent.retries):
            while times and now - times[0] >= self.window:
                times.popleft()
        for amounts in (recent.borrowed, recent.lent):
            while amounts and now - amounts[0][0] >= self.window:
                amounts.popleft()
        return recent


@attrs.define(kw_only=True)
class _Recent:
    """The times of requests and retries, and the loans, of the last window."""

    requests: deque[timedelta] = attrs.field(factory=deque)
    retries: deque[timedelta] = attrs.field(factory=deque)
    borrowed: deque[tuple[timedelta, float]] = attrs.field(factory=deque)
    lent: deque[tuple[timedelta, float]] = attrs.field(factory=deque)
