"""Endpoints that announce directives, and a store restored from an older copy."""

import asyncio
import random

import attrs

from soak.evidence import DRAIN_SECONDS, MARGIN_SECONDS, Evidence, TryOutcome, now
from soak.series import Fault, FaultSeries
from soak.world import World

#: Time after a rejection during which requests of the host may still arrive because
#: they were already in flight, in seconds.
IN_FLIGHT_SECONDS = 0.5
#: Maximum number of a host's requests that may arrive in the rest of a back-off.
MAX_DURING_BACKOFF = 2
#: Back-offs that endpoints ask for, in seconds; "soon" is not valid.
BACKOFFS = ("0.7", "1.5", "2", "soon")
#: Maximum time for which the store is unavailable, and maximum time from then on until
#: the objects that the copy lacks are written again, in seconds.
MAX_OUTAGE_SECONDS = 0.8
MAX_REWRITE_SECONDS = 1.5


@attrs.frozen(kw_only=True)
class AnnouncedDirective:
    """A directive that an endpoint announced in its answers, and when.

    Attributes:
        endpoint_id: The endpoint.
        since: Start of the announcement on the monotonic clock, in seconds.
        until: End of the announcement.
        backoff: The back-off that it asked for, in seconds; None for leaving.
    """

    endpoint_id: str
    since: float
    until: float
    backoff: float | None = None


class DirectiveFaultInjector(FaultSeries):
    """Lets endpoints announce directives, and restores the store from older copies."""

    min_pause = 0.5
    max_pause = 3.0

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        super().__init__(world=world, evidence=evidence, rng=rng)
        self._directives: list[AnnouncedDirective] = []
        self.faults_by_name = {
            "leaving": Fault(weight=3, run=self._announce_leaving),
            "rest": Fault(weight=3, run=self._announce_backoff),
            "older copy": Fault(weight=2, run=self._restore_older_copy),
        }

    async def _announce_leaving(self, duration: float) -> None:
        """Let an endpoint announce that it leaves, then replace it."""
        place = self._pick_place()
        if place is None:
            return
        began_at, runner = now(), place.runner
        runner.faults.leaving = "1"
        await asyncio.sleep(DRAIN_SECONDS + MARGIN_SECONDS + duration)
        self._directives.append(
            AnnouncedDirective(endpoint_id=runner.name, since=began_at, until=now())
        )
        if place.runner is runner:
            await self._world.stop_runner(place)
            self._world.store.remove("servers", runner.name)
            await self._world.start_runner(place)
        self._record_fault("leaving", runner.name, began_at, is_planned=True)

    async def _announce_backoff(self, duration: float) -> None:
        place = self._pick_place()
        if place is None:
            return
        began_at, runner = now(), place.runner
        text = runner.faults.rest = self._rng.choice(BACKOFFS)
        await asyncio.sleep(duration)
        runner.faults.rest = None
        if text != "soon":
            directive = AnnouncedDirective(
                endpoint_id=runner.name,
                since=began_at,
                until=now(),
                backoff=float(text),
            )
            self._directives.append(directive)
        self._record_fault("rest", runner.name, began_at)

    async def _restore_older_copy(self, duration: float) -> None:
        """Restore the store from an older copy, then write the lost objects again."""
        store, began_at = self._world.store, now()
        copy = store.copy()
        await asyncio.sleep(duration)
        store.refusal = 503
        await asyncio.sleep(self._rng.uniform(0.1, MAX_OUTAGE_SECONDS))
        store.come_back(copy)
        store.refusal = None
        await asyncio.sleep(self._rng.uniform(0.1, MAX_REWRITE_SECONDS))
        self._world.rewrite_entries(copy)
        self._record_fault("older copy", "store", began_at)

    def judge(self) -> None:
        """Report requests that reached endpoints against their directives."""
        tries_by_id = {outcome.id: outcome for outcome in self._evidence.tries}
        for directive in self._directives:
            arrivals = [
                (at, tries_by_id[request_id])
                for at, endpoint_id, request_id in self._evidence.arrivals
                if endpoint_id == directive.endpoint_id
                and directive.since <= at <= directive.until
                and request_id in tries_by_id
            ]
            for host in {outcome.host for _, outcome in arrivals}:
                arrivals_of_host = [
                    (at, outcome) for at, outcome in arrivals if outcome.host == host
                ]
                if directive.backoff is None:
                    self._judge_leaving(directive, host, arrivals_of_host)
                else:
                    self._judge_backoff(
                        directive, host, [at for at, _ in arrivals_of_host]
                    )

    def _judge_leaving(
        self,
        directive: AnnouncedDirective,
        host: str,
        arrivals_of_host: list[tuple[float, TryOutcome]],
    ) -> None:
        answered = [
            outcome.ended_at for _, outcome in arrivals_of_host if outcome.status
        ]
        if not answered:
            return
        received_at = min(answered)
        deadline = received_at + DRAIN_SECONDS
        count = sum(outcome.sent_at > deadline for _, outcome in arrivals_of_host)
        if count and not self._is_excused(host, received_at, directive.until):
            self._evidence.report(
                f"{directive.endpoint_id} got {count} requests of {host} long after it"
                " announced that it leaves"
            )

    def _judge_backoff(
        self, directive: AnnouncedDirective, host: str, times: list[float]
    ) -> None:
        for rejected_at in times:
            until = rejected_at + directive.backoff
            count = sum(rejected_at + IN_FLIGHT_SECONDS < at < until for at in times)
            if count > MAX_DURING_BACKOFF and not self._is_excused(
                host, rejected_at, until
            ):
                self._evidence.report(
                    f"{directive.endpoint_id} had asked {host} for"
                    f" {directive.backoff:g} s of back-off, and got {count} requests"
                )
                return

    def _is_excused(self, host: str, since: float, until: float) -> bool:
        """Whether a fault of the host, such as a restart, may be the cause."""
        return any(
            fault.target == host and fault.may_affect(since, until)
            for fault in self._evidence.faults
        )
