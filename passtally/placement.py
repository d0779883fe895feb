"""Placement: selects endpoints for a generation's next attempt and its replica."""

from collections.abc import Callable
from datetime import timedelta

import attrs

from passtally.clock import Clock
from passtally.decision import log_decision
from passtally.fleet import Fleet
from passtally.forecast import Forecast
from passtally.generation import Generation
from passtally.origin import Origin
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
from passtally.suspect import NoSuspects, Suspects

RESUME_POLL_INTERVAL = timedelta(milliseconds=50)
NO_VERSION_LEFT = "no endpoint of the software version that began it is left"


class NoEndpointError(Exception):
    """No endpoint can run a generation in time; the message is the reason."""


class NoVersionLeftError(NoEndpointError):
    """No endpoint runs the software version that began an answer."""


@attrs.frozen(kw_only=True)
class Placed:
    """The endpoint chosen for an attempt.

    Attributes:
        endpoint_id: The endpoint.
        caches_prompt: Whether it reports that it caches the prompt.
    """

    endpoint_id: str
    caches_prompt: bool = False


class Placement:
    """Chooses endpoints for generations and their replicas.

    Args:
        fleet: The endpoints.
        clock: The clock.
        failure_domain: The failure domain of this host.
        choose: The routing policy.
        keeps_replicas: Returns whether the endpoints of a service, given by its id,
            keep replicas of each other's runs.
        survey: Queries the best candidates for the number of their waiting runs.
        prefixes: Finds the endpoint that caches the prompt of a resumed answer.
        forecast: Estimates the time that an answer still needs. The dispatcher
            feeds it with the durations of finished answers.
        suspects: The requests that may crash their endpoints; None for no requests.
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
        suspects: Suspects | None = None,
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
        self._suspects = suspects or NoSuspects()

    def set_failure_domain(self, failure_domain: str) -> None:
        """Set the failure domain of this host after a change of its settings."""
        self._failure_domain = failure_domain
        self._prefixes.failure_domain = failure_domain

    async def place(
        self, generation: Generation, excluded: set[str], *, waiting_since: timedelta
    ) -> Placed:
        """Choose an endpoint, and wait for a limited time while none is usable.

        Args:
            generation: The generation to run.
            excluded: Ids of endpoints that lost the generation. Cleared while an
                answer that has begun waits, since there may be no other endpoints.
            waiting_since: The time from which no endpoint could be reached. An answer
                that has begun waits from then for as long as the endpoints of its
                service usually take to return.

        Raises:
            NoEndpointError: No endpoint is usable, or the answer could not be complete
                before its deadline.
        """
        request = generation.request
        if generation.is_taken_up:
            cached_endpoint_id = await self._find_prompt(generation, excluded)
            if cached_endpoint_id is not None:
                return Placed(endpoint_id=cached_endpoint_id, caches_prompt=True)
        self._check_deadline(generation)
        trial_endpoint_id = await self._place_trial(generation, excluded)
        if trial_endpoint_id is not None:
            return Placed(endpoint_id=trial_endpoint_id)
        deadline = self._clock.monotonic() + request.patience
        if generation.delivered:
            max_wait = self._fleet.losses.return_times.max_wait(request.service)
            deadline = waiting_since + max_wait
        while True:
            decision = self._decide(generation, excluded)
            if decision.endpoint_id is not None:
                decision = self._meet_target(generation, decision)
                chosen = await self._survey_and_log(generation, decision)
                return Placed(endpoint_id=chosen)
            self._check_version(generation)
            if not self._may_wait(generation, until=deadline):
                self._log(generation, None, decision)
                raise NoEndpointError(decision.reason)
            if generation.delivered:
                excluded.clear()
            await self._clock.sleep(RESUME_POLL_INTERVAL)

    def _check_version(self, generation: Generation) -> None:
        """Refuse an answer that no endpoint of its software version can continue."""
        origin, service = generation.origin, generation.request.service
        if origin is None or self._fleet.can_ever_continue(origin, service):
            return
        software = self._fleet.origin_rule.software_of(origin)
        log_decision(
            "route",
            request=generation.request.id,
            choice=None,
            reason=NO_VERSION_LEFT,
            software=software,
            position=generation.position,
        )
        raise NoVersionLeftError(f"{NO_VERSION_LEFT} ({software or 'unknown'})")

    def _may_wait(self, generation: Generation, *, until: timedelta) -> bool:
        """Return whether an endpoint may become usable before ``until``.

        An answer that has begun always waits until then: its only alternative is
        to fail.
        """
        wait_time = until - self._clock.monotonic()
        if wait_time <= timedelta(0):
            return False
        service = generation.request.service
        return bool(generation.delivered) or self._fleet.send_limits.may_accept_within(
            service, wait_time
        )

    async def _place_trial(
        self, generation: Generation, excluded: set[str]
    ) -> str | None:
        """Return an endpoint of a new version if the request becomes a trial of it."""
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
        """Return whether an endpoint is usable now, with time left to finish.

        Args:
            generation: The generation to run.
            excluded: Ids of endpoints that are not considered.
        """
        try:
            self._check_deadline(generation)
        except NoEndpointError:
            return False
        return self._decide(generation, excluded).endpoint_id is not None

    def place_replica(
        self, generation: Generation, endpoint_id: str, excluded: set[str]
    ) -> str:
        """Return the id of the endpoint for the next attempt's replica, or empty.

        Args:
            generation: The generation to run.
            endpoint_id: Id of the endpoint that runs the attempt.
            excluded: Ids of endpoints that lost the generation.
        """
        request = generation.request
        live = self._fleet.find(endpoint_id)
        if live is None or not self._keeps_replicas(request.service):
            return ""
        return choose_replica(
            endpoint_id,
            RouteQuery(
                affinity=affinity_of(generation.request.prompt),
                failure_domain=self._failure_domain,
                exclude=excluded,
            ),
            self._fleet.views(request.service, origin=Origin.of(live.endpoint)),
            now=self._clock.monotonic(),
        )

    def _decide(
        self, generation: Generation, excluded: set[str], *, is_trial: bool = False
    ) -> RouteDecision:
        request = generation.request
        is_suspect = self._suspects.is_suspect(request.fingerprint)
        return self._choose(
            RouteQuery(
                affinity=affinity_of(generation.request.prompt),
                failure_domain=request.failure_domain or self._failure_domain,
                exclude=excluded,
                resume_tokens=count_resume_tokens(generation),
                tokens=count_kv_tokens(generation),
                prompt_tokens=count_prefill_tokens(generation),
                suspect=request.fingerprint if is_suspect else b"",
                separated=self._suspects.list_separated(),
            ),
            self._fleet.views(
                request.service, is_trial=is_trial, origin=generation.origin
            ),
            now=self._clock.monotonic(),
        )

    async def _survey_and_log(
        self, generation: Generation, decision: RouteDecision
    ) -> str:
        ranked = decision.ranked or (decision.endpoint_id,)
        survey_result = await self._survey.choose(
            ranked, prompt_tokens=count_prefill_tokens(generation)
        )
        asked = [f"{name}:{n}" for name, n in survey_result.waiting_by_id.items()]
        self._log(generation, survey_result.endpoint_id, decision, asked=asked)
        return survey_result.endpoint_id

    async def _find_prompt(
        self, generation: Generation, excluded: set[str]
    ) -> str | None:
        """Return the endpoint that caches the prompt of an answer begun elsewhere."""
        request = generation.request
        cached_endpoint_id = await self._prefixes.find(
            request.service,
            request.prompt,
            origin=generation.origin,
            exclude=excluded,
            likely=generation.holder_id,
        )
        log_decision(
            "route",
            request=request.id,
            choice=cached_endpoint_id,
            reason="prompt is cached there"
            if cached_endpoint_id
            else "no endpoint caches the prompt",
            position=generation.position,
        )
        return cached_endpoint_id

    def _check_deadline(self, generation: Generation) -> None:
        """Refuse an answer that could not be complete before its caller's deadline.

        One that a caller takes up goes on if its prefill fits: each further event is of
        use to a caller that has the others, and what is left of it may be short.
        """
        request = generation.request
        if request.deadline is None:
            return
        time_left = request.deadline - self._clock.monotonic()
        tokens = count_prefill_tokens(generation)
        if generation.is_taken_up:
            part = "the prefill"
            needed = self.forecast.min_prefill_time(request.service, tokens=tokens)
        else:
            part = "a short answer"
            needed = self.forecast.min_time(
                request.service, tokens=tokens, position=generation.position
            )
        if time_left < needed:
            raise NoEndpointError(
                f"the deadline is in {time_left}, and {part} takes {needed}"
            )

    def _meet_target(
        self, generation: Generation, decision: RouteDecision
    ) -> RouteDecision:
        """Limit a new stream to the endpoints that meet the target of its first output.

        Costs are rounded, so that the cheapest endpoint may miss the target while
        another one meets it. Where all miss it, the prefill would only stall streams
        that can still meet theirs.

        Raises:
            NoEndpointError: The first output would miss its target at all candidates.
        """
        request = generation.request
        if request.target is None or generation.delivered or generation.attempts:
            return decision
        ranked = decision.ranked or (decision.endpoint_id,)
        times_by_id = {
            name: self._first_output_time(generation, name) for name in ranked
        }
        meeting = tuple(name for name in ranked if times_by_id[name] <= request.target)
        if not meeting:
            needed = min(times_by_id.values())
            raise NoEndpointError(f"the first output would take at least {needed}")
        return attrs.evolve(decision, endpoint_id=meeting[0], ranked=meeting)

    def _first_output_time(self, generation: Generation, endpoint_id: str) -> timedelta:
        """Return the minimum time to a new stream's first output at an endpoint.

        It is 0 at an idle endpoint: no stream is stalled there, and a host that refused
        there too would never learn that first outputs have become faster.
        """
        view = self._fleet.view(endpoint_id)
        if not view.prefill_tokens and not view.running_streams:
            return timedelta(0)
        return self.forecast.first_output_time(
            generation.request.service,
            tokens=count_prefill_tokens(generation),
            tokens_ahead=view.prefill_tokens,
            priority=generation.request.priority,
            now=self._clock.monotonic(),
        )

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
