"""Finds the endpoint that still caches a prompt in its KV memory.

A caller whose host died resumes its answer at another host, which does not know the
endpoint that ran it. Another prefill of the prompt takes an engine about a second; at
an endpoint that caches the prompt the answer continues at once.
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
from passtally.origin import Origin
from passtally.routing import EndpointView, affinity_of, affinity_rank

#: Maximum number of endpoints that are all queried. In a larger service only the most
#: likely ones are, since each reply has about 7 KB.
MAX_QUERIED = 40
#: Number of endpoints queried first in the local failure domain of a larger service,
#: where callers mostly reconnect. A prompt was most likely placed at one of the first
#: endpoints in the order of its affinity: a host knows the loads of a few other hosts
#: only, so most endpoints look idle to it, and that order decides between equal ones.
MAX_LOCAL_QUERIES = 6
#: Number of endpoints queried in each other failure domain if no local one caches the
#: prompt.
MAX_REMOTE_QUERIES = 2
#: Time for which a reply is reused, since after the loss of a host its callers
#: reconnect all at once.
CACHE_TIME = timedelta(milliseconds=250)


@attrs.frozen(kw_only=True)
class _CachedPrompts:
    prompts: Collection[str]
    received_at: timedelta


class PrefixFinder:
    """Queries the endpoints of a service for their cached prompts.

    Args:
        fleet: The endpoints.
        clock: The clock.
        failure_domain: The failure domain of this host.
    """

    def __init__(self, *, fleet: Fleet, clock: Clock, failure_domain: str) -> None:
        self._fleet = fleet
        self._clock = clock
        self.failure_domain = failure_domain
        self._cached_prompts_by_id: dict[str, _CachedPrompts] = {}
        self._queries_by_id: dict[str, asyncio.Task[Collection[str]]] = {}

    async def find(
        self,
        service: str,
        prompt: str,
        *,
        origin: Origin | None = None,
        exclude: Collection[str] = (),
        likely: str = "",
    ) -> str | None:
        """Return the id of an endpoint that reports a prompt as cached, or None.

        Args:
            service: The id of the service.
            prompt: Identifies the prompt.
            origin: The origin of the answer that goes on; None if it has no output.
            exclude: Ids of endpoints that are not queried.
            likely: Id of the endpoint that ran the answer last, which is queried before
                the others; empty if unknown.
        """
        usable = [
            view
            for view in self._fleet.views(service, origin=origin)
            if view.state is EndpointState.ACTIVE
            and view.accepts_requests
            and view.id not in exclude
            and self._fleet.is_healthy(view.id)
        ]
        if any(view.id == likely for view in usable):
            found = await self._query_all([likely], prompt)
            if found is not None:
                return found
        if len(usable) <= MAX_QUERIED:
            return await self._query_all([view.id for view in usable], prompt)
        for endpoint_ids in choose_likely(
            usable, prompt, failure_domain=self.failure_domain
        ):
            found = await self._query_all(endpoint_ids, prompt)
            if found is not None:
                return found
        return None

    async def _query_all(self, endpoint_ids: Sequence[str], prompt: str) -> str | None:
        """Query endpoints concurrently; return the first with the prompt, or None."""
        prompts_by_endpoint = await asyncio.gather(
            *(self._query(name) for name in endpoint_ids)
        )
        for name, prompts in zip(endpoint_ids, prompts_by_endpoint, strict=True):
            if prompt in prompts:
                return name
        return None

    async def _query(self, endpoint_id: str) -> Collection[str]:
        """Return an endpoint's cached prompts; concurrent callers share one query."""
        known = self._cached_prompts_by_id.get(endpoint_id)
        now = self._clock.monotonic()
        if known is not None and now - known.received_at < CACHE_TIME:
            return known.prompts
        query = self._queries_by_id.get(endpoint_id)
        if query is None:
            query = asyncio.create_task(self._fetch(endpoint_id))
            self._queries_by_id[endpoint_id] = query
            query.add_done_callback(lambda _: self._queries_by_id.pop(endpoint_id))
        return await asyncio.shield(query)

    async def _fetch(self, endpoint_id: str) -> Collection[str]:
        live = self._fleet.find(endpoint_id)
        prompts: Collection[str] = ()
        if live is not None:
            try:
                prompts = await live.engine.list_cached_prompts()
            except AttemptLostError as loss:
                log_event(
                    "prefixes",
                    "Cached prompts could not be listed.",
                    peer=endpoint_id,
                    why=loss,
                )
        self._drop_expired()
        self._cached_prompts_by_id[endpoint_id] = _CachedPrompts(
            prompts=prompts, received_at=self._clock.monotonic()
        )
        return prompts

    def _drop_expired(self) -> None:
        now = self._clock.monotonic()
        self._cached_prompts_by_id = {
            name: answer
            for name, answer in self._cached_prompts_by_id.items()
            if now - answer.received_at < CACHE_TIME
        }


def choose_likely(
    views: Sequence[EndpointView], prompt: str, *, failure_domain: str
) -> tuple[list[str], list[str], list[str]]:
    """Choose the endpoints that most likely cache a prompt. Pure.

    Args:
        views: Views of the service's endpoints.
        prompt: Identifies the prompt.
        failure_domain: The failure domain of the querying host.

    Returns:
        The ids of the most likely endpoints in that failure domain, of those in the
        others, and of more in that domain, each to be queried if those before do not
        have the prompt.
    """
    affinity = affinity_of(prompt)
    ranked = sorted(views, key=lambda view: affinity_rank(affinity, view.id))
    ids_by_domain: dict[str, list[str]] = {}
    for view in ranked:
        ids_by_domain.setdefault(view.failure_domain, []).append(view.id)
    in_domain = ids_by_domain.pop(failure_domain, [])
    local, further = in_domain[:MAX_LOCAL_QUERIES], in_domain[MAX_LOCAL_QUERIES:]
    remote = [
        name for ids in ids_by_domain.values() for name in ids[:MAX_REMOTE_QUERIES]
    ]
    return local, remote, further[: MAX_QUERIED - len(local) - len(remote)]
