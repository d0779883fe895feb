"""Callers of a low priority that flood the engines, and endpoints that are slow."""

import asyncio
import random

from soak.caller import Caller
from soak.evidence import Evidence, now
from soak.series import Fault, FaultSeries
from soak.world import EVENTS, ROUTINE_KEY, World

#: Number of callers in a flood. They ask for about twice what the engines hold.
FLOOD_CALLERS = 24
#: Maximum pause of such a caller between two requests, in seconds.
FLOOD_PAUSE_SECONDS = 0.1
#: Duration of the flood in quiet, and its first part, in which the engines are still
#: full of what was admitted before the hosts knew of it, in seconds.
QUIET_FLOOD_SECONDS = 6.0
NOTICE_SECONDS = 3.0
#: Minimum number of urgent tries in a flood for a judgement, and the share of them
#: that has to be served.
MIN_TRIES = 6
SERVED_SHARE = 0.9
#: Time that a slow endpoint takes for an answer or a first output, in seconds, and the
#: percentage by which its answers tell it.
SLOW_SECONDS = 0.25
SLOWNESS_PERCENT = 500


class LoadFaultInjector(FaultSeries):
    """Floods the engines with routine streams, and makes endpoints slow."""

    min_pause = 0.5
    max_pause = 3.0

    def __init__(self, *, world: World, evidence: Evidence, rng: random.Random) -> None:
        super().__init__(world=world, evidence=evidence, rng=rng)
        self._flood_evidence = Evidence()
        self.faults_by_name = {
            "flood": Fault(weight=2, run=self._flood),
            "slow endpoint": Fault(weight=3, run=self._slow_down),
        }

    async def _flood(self, duration: float) -> None:
        """Send streams of a workspace of a low priority to all hosts."""
        began_at = now()
        callers = [
            Caller(
                kind="stream",
                key=ROUTINE_KEY,
                addresses_by_host=self._world.addresses_by_host,
                evidence=self._flood_evidence,
                rng=random.Random(self._rng.random()),
                events=EVENTS,
                disconnects=False,
            )
            for _ in range(FLOOD_CALLERS)
        ]
        until = began_at + duration
        await asyncio.gather(*(self._send_until(caller, until) for caller in callers))
        self._record_fault("flood", "endpoints", began_at)

    async def _send_until(self, caller: Caller, until: float) -> None:
        while now() < until:
            await caller.send_request()
            await asyncio.sleep(self._rng.uniform(0, FLOOD_PAUSE_SECONDS))

    async def _slow_down(self, duration: float) -> None:
        """Make an endpoint slow; at times its answers tell it."""
        place = self._pick_place()
        if place is None:
            return
        began_at, faults = now(), place.runner.faults
        is_told = self._rng.random() < 0.5
        faults.slowness_percent = SLOWNESS_PERCENT if is_told else 100
        faults.answer_delay = faults.first_delay = SLOW_SECONDS
        await asyncio.sleep(duration)
        faults.answer_delay = faults.first_delay = 0.0
        faults.slowness_percent = 100
        self._record_fault("slow endpoint", str(place.link.port), began_at)

    async def flood_in_quiet(self) -> None:
        """Flood the engines without other faults, and check who is served."""
        began_at = now()
        await self._flood(QUIET_FLOOD_SECONDS)
        self._judge_urgent(began_at + NOTICE_SECONDS, began_at + QUIET_FLOOD_SECONDS)
        self._judge_routine(began_at)

    def _judge_urgent(self, since: float, until: float) -> None:
        """Report urgent streams that were not served while routine ones flooded."""
        tries = [
            outcome
            for outcome in self._evidence.tries
            if outcome.kind == "stream"
            and since <= outcome.sent_at <= until
            and not outcome.caller_left
        ]
        served = sum(outcome.status == 200 for outcome in tries)
        if len(tries) >= MIN_TRIES and served < SERVED_SHARE * len(tries):
            self._evidence.report(
                f"{served} of {len(tries)} urgent streams served in a flood"
            )

    def _judge_routine(self, since: float) -> None:
        """Report tries of the flood that got no answer, or a wrong one."""
        for outcome in self._flood_evidence.tries:
            if outcome.sent_at < since:
                continue
            if outcome.problem or not outcome.status:
                problem = outcome.problem or "no answer"
                self._evidence.report(
                    f"routine {outcome.id} at {outcome.host}: {problem}"
                )
