"""Endpoints that leave or ask for rest by their answers, and a store from a copy."""

import asyncio
import random

import attrs

from soak.evidence import DRAIN_SECONDS, MARGIN_SECONDS, Evidence, Seen, now
from soak.series import Fault, FaultSeries
from soak.world import World

#: Requests that come so soon after their host was turned away were under way already.
UNDER_WAY_SECONDS = 0.5
#: The most that may come in the rest of the time.
MOST_WHILE_RESTING = 2
RESTS = ("0.7", "1.5", "2", "soon")
#: How long the store is away, at most, and how long it takes until what was lost is
#: written again, in seconds.
AWAY_SECONDS = 0.8
WRITTEN_AFTER_SECONDS = 1.5


@attrs.frozen(kw_only=True)
class Told:
    """What an endpoint told all that asked it, for a while.

    Attributes:
        endpoint_id: The endpoint.
        since: Since when.
        until: Until when.
        rest: The seconds of rest that it asked for; None where it said that it leaves.
    """

    endpoint_id: str
    since: float
    until: float
    rest: float | None = None


class WordSaboteur(FaultSeries):
    """Lets endpoints speak by their answers alone, and the store forget."""

    shortest_pause = 0.5
    longest_pause = 3.0

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        super().__init__(world=world, evidence=evidence, rng=rng)
        self._told: list[Told] = []
        self.faults_by_name = {
            "leaving": Fault(weight=3, run=self._leave),
            "rest": Fault(weight=3, run=self._rest),
            "older copy": Fault(weight=2, run=self._come_back),
        }

    async def _leave(self, lasts: float) -> None:
        """Let an endpoint say that it leaves, and another one come in its place."""
        place = self._pick_place()
        if place is None:
            return
        began_at, runner = now(), place.runner
        runner.faults.leaving = "1"
        await asyncio.sleep(DRAIN_SECONDS + MARGIN_SECONDS + lasts)
        self._told.append(Told(endpoint_id=runner.name, since=began_at, until=now()))
        if place.runner is runner:
            await self._world.stop_runner(place)
            self._world.store.remove("servers", runner.name)
            await self._world.start_runner(place)
        self._note("leaving", runner.name, began_at, is_planned=True)

    async def _rest(self, lasts: float) -> None:
        place = self._pick_place()
        if place is None:
            return
        began_at, runner = now(), place.runner
        text = runner.faults.rest = self._rng.choice(RESTS)
        await asyncio.sleep(lasts)
        runner.faults.rest = None
        if text != "soon":
            told = Told(
                endpoint_id=runner.name,
                since=began_at,
                until=now(),
                rest=float(text),
            )
            self._told.append(told)
        self._note("rest", runner.name, began_at)

    async def _come_back(self, lasts: float) -> None:
        """Let the store come back as it was; what it lost is written again."""
        store, began_at = self._world.store, now()
        copy = store.copy()
        await asyncio.sleep(lasts)
        store.refusal = 503
        await asyncio.sleep(self._rng.uniform(0.1, AWAY_SECONDS))
        store.come_back(copy)
        store.refusal = None
        await asyncio.sleep(self._rng.uniform(0.1, WRITTEN_AFTER_SECONDS))
        self._world.write_again(copy)
        self._note("older copy", "store", began_at)

    def judge(self) -> None:
        """Look for requests that came though the endpoint had said it wants none."""
        seen_by_id = {seen.id: seen for seen in self._evidence.tries}
        for told in self._told:
            arrivals = [
                (at, seen_by_id[request_id])
                for at, endpoint_id, request_id in self._evidence.arrivals
                if endpoint_id == told.endpoint_id
                and told.since <= at <= told.until
                and request_id in seen_by_id
            ]
            for host in {seen.host for _, seen in arrivals}:
                own = [(at, seen) for at, seen in arrivals if seen.host == host]
                if told.rest is None:
                    self._judge_leaving(told, host, own)
                else:
                    self._judge_rest(told, host, [at for at, _ in own])

    def _judge_leaving(
        self, told: Told, host: str, own: list[tuple[float, Seen]]
    ) -> None:
        answered = [seen.ended_at for _, seen in own if seen.status]
        if not answered:
            return
        heard_at = min(answered)
        late = heard_at + DRAIN_SECONDS
        count = sum(seen.sent_at > late for _, seen in own)
        if count and not self._is_excused(host, heard_at, told.until):
            self._evidence.report(
                f"{told.endpoint_id} got {count} requests of {host} long after it said"
                " that it leaves"
            )

    def _judge_rest(self, told: Told, host: str, times: list[float]) -> None:
        for turned_away_at in times:
            until = turned_away_at + told.rest
            count = sum(turned_away_at + UNDER_WAY_SECONDS < at < until for at in times)
            if count > MOST_WHILE_RESTING and not self._is_excused(
                host, turned_away_at, until
            ):
                self._evidence.report(
                    f"{told.endpoint_id} had asked {host} for {told.rest:g} s of rest,"
                    f" and got {count} requests"
                )
                return

    def _is_excused(self, host: str, since: float, until: float) -> bool:
        """Whether the host was started again, paused or cut off meanwhile."""
        return any(
            trouble.target == host and trouble.is_felt(since, until)
            for trouble in self._evidence.troubles
        )
