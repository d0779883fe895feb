"""The retries of one generation, from the budgets of this host and of others."""

from datetime import timedelta
from functools import partial

from passtally.clock import Clock
from passtally.dispatch_progress import Progress
from passtally.generation import Generation, GenerationRequest
from passtally.retry import CLOSED_KINDS, LossKind
from passtally.retry_budget import Budgets, acquire_retry, wait_for_retry

#: A caller is expected to give up a silent stream after the longest of this time,
#: ``GIVE_UP_TARGET_FACTOR`` times its target for the first output, and
#: ``GIVE_UP_GAP_FACTOR`` times the maximum gap that it allows between outputs.
MIN_GIVE_UP = timedelta(seconds=2)
GIVE_UP_TARGET_FACTOR = 4
GIVE_UP_GAP_FACTOR = 8


class GenerationRetries:
    """Acquires and releases the retries of generations.

    Args:
        budgets: The retry budgets.
        clock: The clock.
    """

    def __init__(self, *, budgets: Budgets, clock: Clock) -> None:
        self._budgets = budgets
        self._clock = clock

    async def acquire(
        self, generation: Generation, progress: Progress, kind: LossKind
    ) -> bool:
        """Acquire the retry for a loss, and return whether there is one.

        An answer that has begun waits while the budget is exhausted: each new request
        earns a fraction of a retry, on this host and on the hosts that lend retries.
        """
        if progress.has_retry:
            progress.has_retry = False
            return True
        until = progress.last_output_at
        if generation.delivered and generation.request.deadline is not None:
            until += _max_retry_wait(generation.request, kind)
        acquire = partial(self._try_acquire, generation)
        return await wait_for_retry(acquire, clock=self._clock, until=until)

    async def _try_acquire(self, generation: Generation) -> bool:
        """Acquire a retry or resume from the local budget or those of other hosts."""
        request = generation.request
        return await acquire_retry(
            self._budgets,
            request.workspace,
            service=request.service,
            is_resume=generation.delivered > 0,
        )

    async def acquire_ahead(self, generation: Generation, progress: Progress) -> bool:
        """Acquire the retry for a loss that is expected, unless there is one."""
        if not progress.has_retry:
            progress.has_retry = await self._try_acquire(generation)
        return progress.has_retry

    def release(self, generation: Generation, progress: Progress) -> None:
        """Release a retry that was acquired in advance and is not needed.

        The silent endpoint has sent output after all, or the caller left.
        """
        if progress.has_retry:
            progress.has_retry = False
            self._budgets.release(service=generation.request.service)


def _max_retry_wait(request: GenerationRequest, kind: LossKind) -> timedelta:
    """Return how long after its last output an answer may wait for a retry.

    An answer whose connection was closed waits only for the maximum gap that its
    caller allows: after that the caller should learn of the failure at once and resume
    at another host. An answer that this host took from a silent endpoint waits until
    its caller is expected to give up.
    """
    max_gap = request.max_gap or timedelta(0)
    if kind in CLOSED_KINDS:
        return max_gap
    target = request.target or timedelta(0)
    return max(
        MIN_GIVE_UP, GIVE_UP_TARGET_FACTOR * target, GIVE_UP_GAP_FACTOR * max_gap
    )
