"""Asks endpoints whether they are still there, once for all that want to know."""

import asyncio
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.retry import LossKind

#: Time for which an answer is used again.
CACHE_TIME = timedelta(milliseconds=500)


@attrs.frozen(kw_only=True)
class _Answer:
    is_present: bool
    received_at: timedelta


class EndpointCheck:
    """Checks whether endpoints are still the ones that they were.

    Args:
        fleet: The endpoints. What a check finds is recorded there.
        clock: The clock.
    """

    def __init__(self, *, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._answers_by_id: dict[str, _Answer] = {}
        self._checks_by_id: dict[str, asyncio.Task[bool]] = {}

    async def is_present(self, endpoint_id: str) -> bool:
        """Return whether an endpoint answers under its id; callers share one query."""
        known = self._answers_by_id.get(endpoint_id)
        now = self._clock.monotonic()
        if known is not None and now - known.received_at < CACHE_TIME:
            return known.is_present
        check = self._checks_by_id.get(endpoint_id)
        if check is None:
            check = asyncio.create_task(self._check(endpoint_id))
            self._checks_by_id[endpoint_id] = check
            check.add_done_callback(lambda _: self._checks_by_id.pop(endpoint_id))
        return await asyncio.shield(check)

    async def _check(self, endpoint_id: str) -> bool:
        is_present = await self._ask(endpoint_id)
        now = self._clock.monotonic()
        self._answers_by_id = {
            name: answer
            for name, answer in self._answers_by_id.items()
            if now - answer.received_at < CACHE_TIME
        }
        self._answers_by_id[endpoint_id] = _Answer(
            is_present=is_present, received_at=now
        )
        return is_present

    async def _ask(self, endpoint_id: str) -> bool:
        live = self._fleet.find(endpoint_id)
        if live is None:
            return False
        try:
            await live.count_waiting()
        except AttemptLostError as loss:
            if loss.kind is LossKind.REPLACED:
                self._fleet.losses.record_replaced(live, loss.successor)
            elif loss.kind is LossKind.UNREACHABLE and not live.own_streams:
                live.eject(self._clock.monotonic())
                self._fleet.losses.record(live, is_endpoint_unreachable=True)
            # An endpoint that rejects the question is there.
            return loss.kind is LossKind.REFUSED
        return True
