"""Finds the endpoint that still keeps a prompt in its memory.

A caller whose host died takes its answer up again at another host, which does not
know where it ran. Reading the prompt again costs an engine a second; where it is kept
the answer goes on at once.
"""

import asyncio
from collections.abc import Collection
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.objects import EndpointState

#: In larger services endpoints are not asked: each question costs a few hundred bytes
#: and some processor time at both ends.
MAX_ASKED = 40
#: An answer is used again for so long: callers come back all at once.
KEEP_FOR = timedelta(milliseconds=250)


@attrs.frozen(kw_only=True)
class _Answer:
    prompts: Collection[str]
    asked_at: timedelta


class PrefixFinder:
    """Asks the endpoints of a service which prompts they keep.

    Args:
        fleet: The endpoints.
        clock: The clock.
    """

    def __init__(self, *, fleet: Fleet, clock: Clock) -> None:
        self._fleet = fleet
        self._clock = clock
        self._answers_by_id: dict[str, _Answer] = {}
        self._asking_by_id: dict[str, asyncio.Task[Collection[str]]] = {}

    async def find(
        self, service: str, prompt: str, *, exclude: Collection[str] = ()
    ) -> str | None:
        """Return the endpoint that keeps a prompt, or None if none tells so.

        Args:
            service: The service.
            prompt: What names the prompt.
            exclude: Endpoints that are not to be used.
        """
        usable = [
            view.id
            for view in self._fleet.views(service)
            if view.state is EndpointState.ACTIVE
            and view.id not in exclude
            and self._fleet.is_usable(view.id)
        ]
        if len(usable) > MAX_ASKED:
            return None
        kept = await asyncio.gather(*(self._ask(name) for name in usable))
        return next(
            (
                name
                for name, prompts in zip(usable, kept, strict=True)
                if prompt in prompts
            ),
            None,
        )

    async def _ask(self, endpoint_id: str) -> Collection[str]:
        """Return the prompts that an endpoint keeps; one question serves many."""
        known = self._answers_by_id.get(endpoint_id)
        now = self._clock.monotonic()
        if known is not None and now - known.asked_at < KEEP_FOR:
            return known.prompts
        asking = self._asking_by_id.get(endpoint_id)
        if asking is None:
            asking = asyncio.create_task(self._fetch(endpoint_id))
            self._asking_by_id[endpoint_id] = asking
            asking.add_done_callback(lambda _: self._asking_by_id.pop(endpoint_id))
        return await asyncio.shield(asking)

    async def _fetch(self, endpoint_id: str) -> Collection[str]:
        live = self._fleet.find(endpoint_id)
        prompts: Collection[str] = ()
        if live is not None:
            try:
                prompts = await live.engine.list_kept_prompts()
            except AttemptLostError as loss:
                log_event("prefixes", "Not told.", peer=endpoint_id, why=loss)
        self._forget_old()
        self._answers_by_id[endpoint_id] = _Answer(
            prompts=prompts, asked_at=self._clock.monotonic()
        )
        return prompts

    def _forget_old(self) -> None:
        now = self._clock.monotonic()
        self._answers_by_id = {
            name: answer
            for name, answer in self._answers_by_id.items()
            if now - answer.asked_at < KEEP_FOR
        }
