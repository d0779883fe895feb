"""Finds the endpoint that still keeps a prompt in its memory.

A caller whose host died takes its answer up again at another host, which does not
know where it ran. Reading the prompt again costs an engine a second; where it is kept
the answer goes on at once.
"""

import asyncio
from collections.abc import Collection, Sequence
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_event
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.objects import EndpointState
from passtally.routing import EndpointView, affinity_of, affinity_rank

#: In larger services not all endpoints are asked: each answer has some 7 KB.
MAX_ASKED = 40
#: There a prompt was most likely placed at one of the first endpoints in the order that
#: its affinity decides: a host hears the loads of a few others only, so most endpoints
#: look idle to it, and among equal ones that order counts. So many are asked of the
#: host's own failure domain, where callers mostly come back,
NEAR_ASKED = 6
#: and, if none of them keeps it, so many of each other one.
FAR_ASKED = 2
#: An answer is used again for so long: callers come back all at once.
CACHE_TIME = timedelta(milliseconds=250)


@attrs.frozen(kw_only=True)
class _Answer:
    prompts: Collection[str]
    asked_at: timedelta


class PrefixFinder:
    """Asks the endpoints of a service which prompts they keep.

    Args:
        fleet: The endpoints.
        clock: The clock.
        failure_domain: This host's own.
    """

    def __init__(self, *, fleet: Fleet, clock: Clock, failure_domain: str) -> None:
        self._fleet = fleet
        self._clock = clock
        self.failure_domain = failure_domain
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
            view
            for view in self._fleet.views(service)
            if view.state is EndpointState.ACTIVE
            and view.accepts_requests
            and view.id not in exclude
            and self._fleet.is_usable(view.id)
        ]
        if len(usable) <= MAX_ASKED:
            return await self._ask_all([view.id for view in usable], prompt)
        near, far = choose_likely(usable, prompt, failure_domain=self.failure_domain)
        return await self._ask_all(near, prompt) or await self._ask_all(far, prompt)

    async def _ask_all(self, endpoint_ids: Sequence[str], prompt: str) -> str | None:
        """Return the first of some endpoints that keeps a prompt, or None."""
        kept = await asyncio.gather(*(self._ask(name) for name in endpoint_ids))
        for name, prompts in zip(endpoint_ids, kept, strict=True):
            if prompt in prompts:
                return name
        return None

    async def _ask(self, endpoint_id: str) -> Collection[str]:
        """Return the prompts that an endpoint keeps; one question serves many."""
        known = self._answers_by_id.get(endpoint_id)
        now = self._clock.monotonic()
        if known is not None and now - known.asked_at < CACHE_TIME:
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
                prompts = await live.engine.list_cached_prompts()
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
            if now - answer.asked_at < CACHE_TIME
        }


def choose_likely(
    views: Sequence[EndpointView], prompt: str, *, failure_domain: str
) -> tuple[list[str], list[str]]:
    """Choose the endpoints that most likely keep a prompt. Pure.

    Args:
        views: The service's endpoints.
        prompt: What names the prompt.
        failure_domain: The asking host's own.

    Returns:
        The ids of those of the own failure domain, and of those of others.
    """
    affinity = affinity_of(prompt)
    ranked = sorted(views, key=lambda view: affinity_rank(affinity, view.id))
    ids_by_domain: dict[str, list[str]] = {}
    for view in ranked:
        ids_by_domain.setdefault(view.failure_domain, []).append(view.id)
    near = ids_by_domain.pop(failure_domain, [])[:NEAR_ASKED]
    far = [name for ids in ids_by_domain.values() for name in ids[:FAR_ASKED]]
    return near, far
