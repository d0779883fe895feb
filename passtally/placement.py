"""Where the next attempt of a generation runs, and where its replica is kept."""

from collections.abc import Callable
from datetime import timedelta

from passtally.clock import Clock
from passtally.decision import log_decision
from passtally.fleet import Fleet
from passtally.forecast import Forecast
from passtally.generation import Generation
from passtally.prefix_finder import PrefixFinder
from passtally.relay import (
    count_kv_tokens,
    count_prefill_tokens,
    count_resume_tokens,
)
from passtally.routing import (
    Choose,
    RouteDecision,
    RouteQuery,
    affinity_of,
    choose_endpoint,
    choose_replica,
)
from passtally.survey import Survey

#: How long an answer that has begun waits for an endpoint to go on with.
RESUME_PATIENCE = timedelta(seconds=4)
RESUME_POLL = timedelta(milliseconds=50)


class NoPlaceError(Exception):
    """No endpoint is to run a generation; the text says why."""


class Placement:
    """Chooses endpoints for generations.

    Args:
        fleet: The endpoints.
        clock: The clock.
        failure_domain: This host's own.
        choose: The routing policy.
        keeps_replicas: Tells of a service whether its endpoints keep replicas of
            each other's runs.
        survey: Asks the best candidates for a prompt what waits there.
        prefixes: Finds where the prompt of an answer that is taken up is kept.
        forecast: Tells what an answer still needs; who runs answers teaches it.
        is_suspect: Returns whether several endpoints ended under a request, by its
            fingerprint.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        failure_domain: str,
        choose: Choose = choose_endpoint,
        keeps_replicas: Callable[[str], bool] = lambda service: False,
        survey: Survey | None = None,
        prefixes: PrefixFinder | None = None,
        forecast: Forecast | None = None,
        is_suspect: Callable[[bytes], bool] = lambda fingerprint: False,
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._failure_domain = failure_domain
        self._choose = choose
        self._keeps_replicas = keeps_replicas
        self._survey = survey or Survey(fleet=fleet, is_needed=lambda: False)
        self._prefixes = prefixes or PrefixFinder(
            fleet=fleet, clock=clock, failure_domain=failure_domain
        )
        self.forecast = forecast or Forecast()
        self._is_suspect = is_suspect

    def move(self, failure_domain: str) -> None:
        """Take in that this host stands in another failure domain."""
        self._failure_domain = failure_domain
        self._prefixes.failure_domain = failure_domain

    async def place(self, generation: Generation, excluded: set[str]) -> str:
        """Choose an endpoint, and wait for one a while where there is none.

        Args:
            generation: What is to run.
            excluded: Endpoints that lost it; cleared while an answer that has begun
                waits, since there may be no others.

        Raises:
            NoPlaceError: There is none, or the answer could not be whole in time.
        """
        request = generation.request
        if generation.delivered and not generation.attempts:
            kept_at = await self._find_prompt(generation, excluded)
            if kept_at is not None:
                return kept_at
        self._check_time(generation)
        tried = await self._place_trial(generation, excluded)
        if tried is not None:
            return tried
        patience = RESUME_PATIENCE if generation.delivered else request.patience
        deadline = self._clock.monotonic() + patience
        while True:
            decision = self._decide(generation, excluded)
            if decision.endpoint_id is not None:
                self._check_target(generation, decision.endpoint_id)
                return await self._survey_and_log(generation, decision)
            if not self._may_wait(generation, until=deadline):
                self._log(generation, None, decision)
                raise NoPlaceError(decision.reason)
            if generation.delivered:
                excluded.clear()
            await self._clock.sleep(RESUME_POLL)

    def _may_wait(self, generation: Generation, *, until: timedelta) -> bool:
        """Return whether waiting for an endpoint may help.

        An answer that has begun has nothing but to wait.
        """
        patience = until - self._clock.monotonic()
        if patience <= timedelta(0):
            return False
        service = generation.request.service
        return bool(generation.delivered) or self._fleet.may_accept_within(
            service, patience
        )

    async def _place_trial(
        self, generation: Generation, excluded: set[str]
    ) -> str | None:
        """Return an endpoint of a new version, for a request that is to try it."""
        versions = self._fleet.versions
        service = generation.request.service
        is_new = not generation.attempts and not generation.delivered
        if not is_new or not versions.acquire_trial(service):
            return None
        decision = self._decide(generation, excluded, is_trial=True)
        if decision.endpoint_id is None:
            versions.release(service)
            return None
        return await self._survey_and_log(generation, decision)

    def can_place(self, generation: Generation, excluded: set[str]) -> bool:
        """Return whether there is an endpoint now, and time to be whole there.

        Args:
            generation: What is to run.
            excluded: Endpoints that are not asked.
        """
        try:
            self._check_time(generation)
        except NoPlaceError:
            return False
        return self._decide(generation, excluded).endpoint_id is not None

    def place_replica(
        self, generation: Generation, endpoint_id: str, excluded: set[str]
    ) -> str:
        """Choose where a replica of the next attempt is kept; empty for nowhere.

        Args:
            generation: What is to run.
            endpoint_id: Where it runs.
            excluded: Endpoints that lost it.
        """
        request = generation.request
        if not self._keeps_replicas(request.service):
            return ""
        return choose_replica(
            endpoint_id,
            RouteQuery(
                affinity=affinity_of(generation.request.prompt),
                failure_domain=self._failure_domain,
                exclude=excluded,
            ),
            self._fleet.views(request.service),
            now=self._clock.monotonic(),
        )

    def _decide(
        self, generation: Generation, excluded: set[str], *, is_trial: bool = False
    ) -> RouteDecision:
        request = generation.request
        is_suspect = self._is_suspect(request.fingerprint)
        return self._choose(
            RouteQuery(
                affinity=affinity_of(generation.request.prompt),
                failure_domain=request.failure_domain or self._failure_domain,
                exclude=excluded,
                resume_tokens=count_resume_tokens(generation),
                tokens=count_kv_tokens(generation),
                prompt_tokens=count_prefill_tokens(generation),
                suspect=request.fingerprint if is_suspect else b"",
            ),
            self._fleet.views(request.service, is_trial=is_trial),
            now=self._clock.monotonic(),
        )

    async def _survey_and_log(
        self, generation: Generation, decision: RouteDecision
    ) -> str:
        ranked = decision.ranked or (decision.endpoint_id,)
        found = await self._survey.choose(ranked)
        asked = [f"{name}:{n}" for name, n in found.waiting_by_id.items()]
        self._log(generation, found.endpoint_id, decision, asked=asked)
        return found.endpoint_id

    async def _find_prompt(
        self, generation: Generation, excluded: set[str]
    ) -> str | None:
        """Return where the prompt of an answer that began at another host is kept."""
        request = generation.request
        kept_at = await self._prefixes.find(
            request.service, request.prompt, exclude=excluded
        )
        log_decision(
            "route",
            request=request.id,
            choice=kept_at,
            reason="its prompt is kept there" if kept_at else "no endpoint keeps it",
            position=generation.position,
        )
        return kept_at

    def _check_time(self, generation: Generation) -> None:
        """Refuse what could not be whole before its caller stops waiting."""
        request = generation.request
        if request.deadline is None:
            return
        left = request.deadline - self._clock.monotonic()
        needed = self.forecast.min_time(
            request.service,
            tokens=count_prefill_tokens(generation),
            position=generation.position,
        )
        if left < needed:
            raise NoPlaceError(f"{left} are left, and a short answer needs {needed}")

    def _check_target(self, generation: Generation, endpoint_id: str) -> None:
        """Refuse a new stream whose first output would come too late.

        It would hold up others, which can still be in time, and serve its caller late.
        """
        request = generation.request
        if request.target is None or generation.delivered or generation.attempts:
            return
        ahead = self._fleet.view(endpoint_id).prefill_tokens
        tokens = ahead + count_prefill_tokens(generation)
        needed = self.forecast.prefill_time(request.service, tokens)
        if needed > request.target:
            raise NoPlaceError(f"its first output would take {needed} at least")

    def _log(
        self,
        generation: Generation,
        choice: str | None,
        decision: RouteDecision,
        **fields: object,
    ) -> None:
        log_decision(
            "route",
            request=generation.request.id,
            choice=choice,
            reason=decision.reason,
            candidates=decision.candidates,
            position=generation.position,
            **fields,
        )
