"""Chooses the endpoints of calls to plain services."""

from collections.abc import Collection

from passtally.clock import Clock
from passtally.crash_guard import CrashGuard
from passtally.decision import log_decision
from passtally.fleet import Fleet
from passtally.plain_call import PlainCall
from passtally.routing import RouteDecision, RouteQuery, choose_endpoint


class CallRouter:
    """Chooses an endpoint for each send of a call.

    Args:
        fleet: The endpoints and their state.
        clock: The clock.
        failure_domain: The failure domain of this host.
        guard: The quarantine of calls that crash endpoints.
    """

    def __init__(
        self, *, fleet: Fleet, clock: Clock, failure_domain: str, guard: CrashGuard
    ) -> None:
        self.failure_domain = failure_domain
        self._fleet = fleet
        self._clock = clock
        self._guard = guard

    def choose(
        self, call: PlainCall, excluded: Collection[str], *, is_trial: bool = False
    ) -> RouteDecision:
        """Choose an endpoint that is not excluded."""
        is_suspect = self._guard.is_suspect(call.fingerprint)
        return choose_endpoint(
            RouteQuery(
                affinity=call.id.encode(),
                failure_domain=call.failure_domain or self.failure_domain,
                exclude=excluded,
                suspect=call.fingerprint if is_suspect else b"",
                separated=self._guard.list_separated(),
            ),
            self._fleet.views(call.service.id, is_trial=is_trial),
            now=self._clock.monotonic(),
        )

    def route_first(self, call: PlainCall) -> str | None:
        """Choose the first endpoint; trials go to a new version where possible."""
        versions = self._fleet.versions
        if versions.acquire_trial(call.service.id):
            endpoint_id = self.route(call, (), is_trial=True)
            if endpoint_id is not None:
                return endpoint_id
            versions.release(call.service.id)
        return self.route(call, ())

    def route(
        self, call: PlainCall, excluded: Collection[str], *, is_trial: bool = False
    ) -> str | None:
        """Choose an endpoint that is not excluded and log why; None if none is left."""
        decision = self.choose(call, excluded, is_trial=is_trial)
        log_decision(
            "route",
            request=call.id,
            choice=decision.endpoint_id,
            reason=decision.reason,
            candidates=decision.candidates,
        )
        return decision.endpoint_id
