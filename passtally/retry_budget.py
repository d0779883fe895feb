"""Lets repeats be a share of the requests, so that they can't pile up. Pure."""

from collections import deque
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

import attrs

from passtally.clock import Clock

SHARE = 0.1
MAX_SAVED = 20.0
#: When who waits for a repeat looks again, and the longest pause of that. Each look
#: may ask four hosts; callers notice a pause of 700 ms, and may wait for many seconds.
FIRST_CHECK_DELAY = timedelta(milliseconds=200)
MAX_CHECK_DELAY = timedelta(seconds=1)
#: Parts of a repeat that are lent add up to whole ones but for so much.
ROUNDING = 1e-9


class Budgets(Protocol):
    """How many repeats are left."""

    def earn(self, workspace: str, *, service: str = "") -> None:
        """Count one request."""

    def try_spend(self, workspace: str, *, service: str = "") -> bool:
        """Take the repeat of one request, if there is one left."""

    def try_resume(self, workspace: str, *, service: str = "") -> bool:
        """Take the resume of an answer that has begun, if there is one left."""

    def release(self, *, service: str) -> None:
        """Leave to others a repeat or a resume that was taken and not needed."""

    async def borrow(self, *, service: str, is_resume: bool) -> bool:
        """Take a repeat or a resume with the help of what other hosts have left."""


async def acquire_retry(
    budgets: Budgets, workspace: str, *, service: str, is_resume: bool
) -> bool:
    """Take a repeat or a resume, from the own part or with what others have left.

    Args:
        budgets: How many are left.
        workspace: Whose request it is.
        service: The service.
        is_resume: Whether its answer has begun.
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
    """Take a repeat, and wait for one where there is none, less often each time.

    Args:
        take: Takes one, if there is one.
        clock: The clock.
        until: How long, on the monotonic clock; None for as long as it takes.
    """
    pause = FIRST_CHECK_DELAY
    while not await take():
        if until is not None:
            left = until - clock.monotonic()
            if left <= timedelta(0):
                return False
            pause = min(pause, left)
        await clock.sleep(pause)
        pause = min(2 * pause, MAX_CHECK_DELAY)
    return True


@attrs.define(kw_only=True)
class RetryBudget:
    """The repeats that one workspace, service or failure domain may still make.

    Attributes:
        share: How many repeats each request earns.
        most: How many can be saved up.
        saved: How many may be spent now.
    """

    share: float = SHARE
    most: float = MAX_SAVED
    saved: float = MAX_SAVED

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
        self._domain = RetryBudget(most=10 * MAX_SAVED, saved=10 * MAX_SAVED)
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

    def release(self, *, service: str) -> None:
        """Do nothing: resumes, which alone are taken ahead, are not counted here."""

    async def borrow(self, *, service: str, is_resume: bool) -> bool:
        """Take none: this budget is shared with nobody."""
        return False

    def _of(self, workspace: str) -> RetryBudget:
        return self._by_workspace.setdefault(workspace, RetryBudget())


Lend = Callable[[str, float], Awaitable[float]]


async def lend_nothing(service: str, amount: float) -> float:
    """Return what other hosts lend where there are none."""
    return 0.0


class ServiceBudgets:
    """One host's part of a budget for each service that all hosts share.

    In the window of time that ends with a repeat the repeats are at most a share of the
    requests in it, and a fixed number more. What a calm time earned can so be spent at
    once when endpoints are lost. A part of the fixed number is kept back for resumes,
    so that repeats of new requests can't use up what answers that have begun need.

    Among hundreds of hosts each has a request or two in the window, and less than one
    of the fixed number. What one has left another may borrow: the lender counts it as
    used, so that all together keep to the whole.

    Args:
        share: How many repeats each request earns.
        extra: Returns how many more this host may make for one service.
        window: The window's length.
        clock: The clock.
        resume_part: The part of the extra ones that only resumes may use.
        warm_up: How long after its start this host has only a part of the extra ones:
            it does not know yet how many share them.
        ask_others: Asks other hosts for repeats of a service and returns how many,
            or what part of one, they lent.
    """

    def __init__(
        self,
        *,
        share: float,
        extra: Callable[[], float],
        window: timedelta,
        clock: Clock,
        resume_part: float = 0.5,
        warm_up: timedelta = timedelta(0),
        ask_others: Lend = lend_nothing,
    ) -> None:
        self.share = share
        self._extra = extra
        self.window = window
        self._clock = clock
        self._resume_part = resume_part
        self._warm_up = warm_up
        self._ask_others = ask_others
        self._started_at = clock.monotonic()
        self._recent_by_service: dict[str, _Recent] = {}

    def earn(self, workspace: str, *, service: str = "") -> None:
        """Count one request."""
        now = self._clock.monotonic()
        self._recent(service, now).requests.append(now)

    def try_spend(self, workspace: str, *, service: str = "") -> bool:
        """Take a repeat, unless only what is kept back is left."""
        return self._take(service, above=self._kept_back())

    def try_resume(self, workspace: str, *, service: str = "") -> bool:
        """Take a resume from all that is left."""
        return self._take(service, above=0)

    def release(self, *, service: str) -> None:
        """Leave to others a repeat or a resume that was taken and not needed."""
        recent = self._recent(service, self._clock.monotonic())
        if recent.repeats:
            recent.repeats.pop()

    async def borrow(self, *, service: str, is_resume: bool) -> bool:
        """Take a repeat or a resume with the help of what other hosts have left."""
        above = 0.0 if is_resume else self._kept_back()
        missing = 1 + above - self._left(service)
        lent = await self._ask_others(service, missing) if missing > 0 else 0.0
        now = self._clock.monotonic()
        self._recent(service, now).borrowed.append((now, lent))
        return self._take(service, above=above)

    def lend(self, service: str, amount: float) -> float:
        """Give another host a part of what is left, and count it as used.

        Args:
            service: The service.
            amount: The repeats, or the part of one, that it lacks.

        Returns:
            What it may use within the window.
        """
        lent = max(0.0, min(amount, self._left(service)))
        now = self._clock.monotonic()
        self._recent(service, now).lent.append((now, lent))
        return lent

    def _kept_back(self) -> float:
        return self._resume_part * self._extra_now()

    def _extra_now(self) -> float:
        """Return the extra repeats of this host; they grow while it warms up.

        They grow by the square of the time: the first words of others come soon, those
        of the last ones late.
        """
        running = self._clock.monotonic() - self._started_at
        part = 1.0 if running >= self._warm_up else (running / self._warm_up) ** 2
        return part * self._extra()

    def _left(self, service: str) -> float:
        recent = self._recent(service, self._clock.monotonic())
        allowed = self.share * len(recent.requests) + self._extra_now()
        borrowed = sum(amount for _, amount in recent.borrowed)
        lent = sum(amount for _, amount in recent.lent)
        return allowed + borrowed - lent - len(recent.repeats)

    def _take(self, service: str, *, above: float) -> bool:
        if self._left(service) < 1 + above - ROUNDING:
            return False
        now = self._clock.monotonic()
        self._recent(service, now).repeats.append(now)
        return True

    def _recent(self, service: str, now: timedelta) -> "_Recent":
        recent = self._recent_by_service.setdefault(service, _Recent())
        for times in (recent.requests, recent.repeats):
            while times and now - times[0] >= self.window:
                times.popleft()
        for amounts in (recent.borrowed, recent.lent):
            while amounts and now - amounts[0][0] >= self.window:
                amounts.popleft()
        return recent


@attrs.define(kw_only=True)
class _Recent:
    """When the requests and repeats of the last window came, and what was lent."""

    requests: deque[timedelta] = attrs.field(factory=deque)
    repeats: deque[timedelta] = attrs.field(factory=deque)
    borrowed: deque[tuple[timedelta, float]] = attrs.field(factory=deque)
    lent: deque[tuple[timedelta, float]] = attrs.field(factory=deque)
